package balancer

import (
	"maps"
	"time"
)

const (
	priorSamples    = 4.0  // samples that a wider mean counts for; own samples below that are mostly noise
	minSlowness     = 0.25 // multiple of the mean latency below which faster servers are weighed alike
	maxLatencyRatio = 4.0  // that an observed attempt counts for at most; failures count for as much
)

// kindLatencies are the latencies of the kinds of servers, each as a multiple of its class's mean.
type kindLatencies struct {
	byKind   map[string]*decayingMean
	maxKinds int // stale ones are looked for above this number
}

// forgetStaleKinds drops the kinds that none of the servers has, once there are many.
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

// observeLatency takes the latency of an attempt at a server, as a multiple of its class's mean.
func (b *Balancer) observeLatency(now time.Duration, s *server, ratio float64) {
	ratio = min(ratio, maxLatencyRatio)
	decayedByName(b.latencies.byKind, s.Kind, now, b.longWindow).add(ratio)
	s.latency.decay(now, b.longWindow).add(ratio)
	s.recentLatency.decay(now, b.shortWindow).add(ratio)
}

// slowness is a server's latency as a multiple of its class's mean. Where few samples are known, the mean of its kind counts.
func (b *Balancer) slowness(s *server, now time.Duration) float64 {
	ofKind := decayedByName(b.latencies.byKind, s.Kind, now, b.longWindow).mean(1, priorSamples)
	return max(s.latency.decay(now, b.longWindow).mean(ofKind, priorSamples), minSlowness)
}

// recentSlowness is the same over the short window, shrunk toward the slowness.
func (b *Balancer) recentSlowness(s *server, now time.Duration) float64 {
	recent := s.recentLatency.decay(now, b.shortWindow)
	return recent.mean(b.slowness(s, now), 1)
}
