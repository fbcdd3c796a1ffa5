package balancer

import (
	"maps"
	"time"
)

const (
	priorSamples    = 4.0  // weight, in samples, of the broader mean used as a prior; fewer samples than this are mostly noise
	minSlowness     = 0.25 // lower bound of the slowness; faster servers all get the same weight
	maxLatencyRatio = 4.0  // upper bound of an observed latency ratio; failures count as this ratio
)

// kindLatencies holds the mean latency of each kind of server, as a multiple of the class's mean.
type kindLatencies struct {
	byKind   map[string]*decayingMean
	maxKinds int // forgetStaleKinds does nothing up to this number of kinds
}

// forgetStaleKinds deletes the kinds that none of the servers has, once there are many kinds.
func (k *kindLatencies) forgetStaleKinds(servers []*server) {
	if len(k.byKind) <= k.maxKinds {
		return
	}
	listed := map[string]bool{}
	for _, s := range servers {
		listed[s.Kind] = true
	}
	maps.DeleteFunc(k.byKind, func(kind string, _ *decayingMean) bool { return !listed[kind] })
	k.maxKinds = 2*len(k.byKind) + maxStaleNames
}

// observeLatency adds the latency of an attempt at a server. The ratio is the latency as a multiple of the class's mean.
func (b *Balancer) observeLatency(now time.Duration, s *server, ratio float64) {
	ratio = min(ratio, maxLatencyRatio)
	decayedByName(b.latencies.byKind, s.Kind, now, b.longWindow).add(ratio)
	s.latency.decay(now, b.longWindow).add(ratio)
	s.recentLatency.decay(now, b.shortWindow).add(ratio)
}

// slowness returns a server's mean latency as a multiple of the class's mean, shrunk toward the mean of the server's kind. With
// few samples, the mean of the kind dominates.
func (b *Balancer) slowness(s *server, now time.Duration) float64 {
	kindMean := decayedByName(b.latencies.byKind, s.Kind, now, b.longWindow).mean(1, priorSamples)
	return max(s.latency.decay(now, b.longWindow).mean(kindMean, priorSamples), minSlowness)
}

// recentSlowness returns the latency ratio over the short window, shrunk toward slowness.
func (b *Balancer) recentSlowness(s *server, now time.Duration) float64 {
	recent := s.recentLatency.decay(now, b.shortWindow)
	return recent.mean(b.slowness(s, now), 1)
}
