package balancer

import "time"

// server is an entry of the endpoint list with what this proxy has observed of the server.
type server struct {
	Server
	local       bool    // in this proxy's zone
	rank        float64 // position in the order of this proxy, from 0 to below 1
	addedBefore int     // servers added to the list before this one
	weight      float64 // relative probability of being drawn, as of the last refresh of the subset

	inFlight    int           // this proxy's attempts in flight at the server
	silentSince time.Duration // start of the period in which attempts were in flight and none was answered
	sends       decayingMean  // only count is used: attempts within the overload window

	latency       decayingMean // as a multiple of its class's mean
	recentLatency decayingMean // like latency, over the short window

	outlier    outlierState
	rejections map[*class]*classRejections // of each class that it has rejected since it last served the class
}

// outlierState holds the failures and the ejection of a server.
type outlierState struct {
	consecutiveFailures  int
	consecutiveEjections int
	ejectedAt            time.Duration // start of the last ejection
	ejectedUntil         time.Duration
	onProbation          bool // has served nothing since it was ejected; limited to one attempt at a time
}

// classRejections counts the rejections of one class by a server and holds the ejection of the server for the class.
type classRejections struct {
	consecutive          int
	consecutiveEjections int
	ejectedUntil         time.Duration
}

// restarted discards the observations of the server's previous process, as they do not apply to the new one. Attempts at the
// previous process stay in flight until they end.
func (s *server) restarted(now time.Duration) {
	s.latency = decayingMean{}
	s.recentLatency = decayingMean{}
	s.silentSince = now
	s.outlier = outlierState{ejectedAt: s.outlier.ejectedAt}
	s.rejections = nil
}

// locality returns the zone and priority of the server.
func (s *server) locality() Locality {
	return Locality{Zone: s.Zone, Priority: s.Priority}
}

// sendsInWindow returns the decayed number of this proxy's attempts at the server within the overload window.
func (b *Balancer) sendsInWindow(s *server, now time.Duration) float64 {
	return b.decayedSends(s, now).count
}

// decayedSends returns the attempts at the server, decayed to now.
func (b *Balancer) decayedSends(s *server, now time.Duration) *decayingMean {
	return s.sends.decay(now, b.settings.OverloadWindow+1)
}
