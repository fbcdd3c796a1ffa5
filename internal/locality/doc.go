// Package locality decides which locality of a cluster takes an attempt: the own zone first, then others in tiers of preference,
// each by its health, its state and the capacity that it has shown.
//
// A Picker serves one cluster of one gateway. Gateways share nothing: each limits its own part. A Picker reads no clock, does no
// I/O and starts no goroutine: time is an argument and never goes back, and the same seed and the same calls give the same
// decisions. It must be called from one goroutine at a time.
//
// The terms are Envoy's: priority, locality, overprovisioning factor, panic threshold, outlier, retry budget. Load is split over
// priorities as Envoy's documentation on priority levels says.
package locality
