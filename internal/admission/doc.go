// Package admission decides whether a request to a cluster is admitted, queued for a short time or rejected, and limits retries.
// While a cluster responds in time, all its requests are admitted. The limit on requests in flight is decreased only on evidence
// of overload: responses that show queueing at the endpoints, late responses, or attempts that were rejected or timed out.
//
// A Controller serves one cluster of one gateway; gateways share no admission state. It reads no clock, does no I/O and starts no
// goroutine: the caller passes the time, and the same seed and the same calls give the same decisions. If a call passes a time
// before that of an earlier call, the Controller uses the earlier call's time. A Controller must be called from one goroutine at
// a time.
//
// The terms are those of Envoy's circuit breakers, retry budget and adaptive concurrency filter. The queue is based on CoDel and
// adaptive LIFO, see docs/design/admission.md.
package admission
