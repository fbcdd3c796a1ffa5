package proxy

import (
	"time"

	"robindrum/balancer"
)

// Stats are a core's counters since its start.
type Stats struct {
	Accepted     uint64                       // requests
	Served       uint64                       // answered with an endpoint's successful response
	Rejected     uint64                       // answered 503, which tells the client that a retry has no second effect
	Failed       uint64                       // answered with an error
	ClientLeft   uint64                       // abandoned: the client disconnected, or the deadline passed before the balancer answered
	Sends        uint64                       // attempts
	Retries      uint64                       // attempts after a request's first one, including hedges
	Attempts     [balancer.NotSent + 1]uint64 // by balancer.Result
	TotalLatency time.Duration                // sum over all served requests
}

// Add adds the counters of other to s.
func (s *Stats) Add(other Stats) {
	s.Accepted, s.Served, s.Rejected, s.Failed = s.Accepted+other.Accepted, s.Served+other.Served, s.Rejected+other.Rejected, s.Failed+other.Failed
	s.ClientLeft, s.Sends, s.Retries, s.TotalLatency = s.ClientLeft+other.ClientLeft, s.Sends+other.Sends, s.Retries+other.Retries, s.TotalLatency+other.TotalLatency
	for i := range s.Attempts {
		s.Attempts[i] += other.Attempts[i]
	}
}

// Stats returns the counters.
func (c *Core) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}
