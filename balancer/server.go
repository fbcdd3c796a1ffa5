package balancer

import "time"

// server is a server of the endpoint list and what this proxy knows of it.
type server struct {
	Server
	local       bool    // in this proxy's zone
	rank        float64 // place in the list's order, from 0 to 1
	addedBefore int     // servers added to the list before this one
	weight      float64 // by which it is drawn, as of the last refresh of the subset

	inFlight    int           // this proxy's attempts
	silentSince time.Duration // since when it has answered nothing while attempts were in flight
	sends       decayingMean  // its count: attempts within the overload window

	latency       decayingMean // as a multiple of its class's mean
	recentLatency decayingMean // the same over the short window

	outlier    outlierState
	rejections map[*class]*classRejections // of the classes that it has rejected since it served one
}

// outlierState is what ejects a server, and for how long.
type outlierState struct {
	consecutiveFailures  int
	consecutiveEjections int
	ejectedAt            time.Duration // the last time
	ejectedUntil         time.Duration
	onProbation          bool // has served nothing since it was ejected: one attempt at a time
}

// classRejections is how a server rejects one class.
type classRejections struct {
	consecutive          int
	consecutiveEjections int
	ejectedUntil         time.Duration
}

// restarted drops what was seen of the server's former process, which says nothing about the new one. Its attempts stay in
// flight until they end.
func (s *server) restarted(now time.Duration) {
	s.latency = decayingMean{}
	s.recentLatency = decayingMean{}
	s.silentSince = now
	s.outlier = outlierState{ejectedAt: s.outlier.ejectedAt}
	s.rejections = nil
}

// locality is where the server is.
func (s *server) locality() Locality {
	return Locality{Zone: s.Zone, Priority: s.Priority}
}

// sendsInWindow counts this proxy's attempts at the server within the overload window.
func (b *Balancer) sendsInWindow(s *server, now time.Duration) float64 {
	return b.decayedSends(s, now).count
}

func (b *Balancer) decayedSends(s *server, now time.Duration) *decayingMean {
	return s.sends.decay(now, b.settings.OverloadWindow+1)
}
