// Package admission decides whether a request of a cluster may start now, is queued for a moment or is rejected, and limits
// retries. While a cluster answers in time, all its requests start. The limit on requests in flight falls on evidence alone:
// answers that were queued behind others, that are late, or attempts that are rejected.
//
// A Controller serves one cluster of one gateway; gateways share nothing. It reads no clock, does no I/O and starts no
// goroutine: time is an argument, and the same seed and the same calls give the same decisions. A time before an earlier one
// counts as that one. A Controller must be called from one goroutine at a time.
//
// The terms are Envoy's (circuit breakers, retry budget) and those of its adaptive concurrency filter. The queue follows CoDel
// and adaptive LIFO, see docs/design/admission.md.
package admission
