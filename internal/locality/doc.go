// Package locality chooses the locality of a cluster that an attempt is sent to: the gateway's own zone first, then the others in tiers
// of preference, according to their health, their state and their measured capacity.
//
// A Picker serves one cluster of one gateway. Gateways do not share state: each limits only its own traffic. A Picker reads no clock,
// does no I/O and starts no goroutine: time is an argument and must not decrease, and the same seed and the same calls give the same
// decisions. It is not safe for concurrent use.
//
// The terms are Envoy's: priority, locality, overprovisioning factor, panic threshold, outlier, retry budget. Load is split among
// priorities as described in Envoy's documentation on priority levels.
package locality
