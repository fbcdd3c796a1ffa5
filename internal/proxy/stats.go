package proxy

import (
	"time"

	"robindrum/balancer"
)

// Stats are a core's counters since its start.
type Stats struct {
	Accepted     uint64                       // requests
	Served       uint64                       // answered with an endpoint's successful response
	Rejected     uint64                       // answered 503 with the promise that a retry has no second effect
	Failed       uint64                       // answered with an error
	ClientLeft   uint64                       // whose client left, or whose time ran out before the balancer decided
	Sends        uint64                       // attempts
	Retries      uint64                       // attempts after a request's first
	Attempts     [balancer.NotSent + 1]uint64 // by balancer.Result
	TotalLatency time.Duration                // of all served requests
}

// Add adds o to s.
func (s *Stats) Add(o Stats) {
	s.Accepted, s.Served, s.Rejected, s.Failed = s.Accepted+o.Accepted, s.Served+o.Served, s.Rejected+o.Rejected, s.Failed+o.Failed
	s.ClientLeft, s.Sends, s.Retries, s.TotalLatency = s.ClientLeft+o.ClientLeft, s.Sends+o.Sends, s.Retries+o.Retries, s.TotalLatency+o.TotalLatency
	for i := range s.Attempts {
		s.Attempts[i] += o.Attempts[i]
	}
}

// Stats returns the counters.
func (n *Core) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stats
}
