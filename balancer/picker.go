package balancer

import (
	"slices"
	"time"
)

// maxDraws is the number of random draws before draw searches the whole subset for a usable server.
const maxDraws = 8

// pick draws two distinct servers by weight and returns the one with fewer of this proxy's attempts in flight. It returns nil if no
// server is usable.
func (b *Balancer) pick(now time.Duration, usable func(*server) bool) *server {
	b.refreshSubset(now)
	first := b.draw(usable, nil)
	if first == nil {
		return nil
	}
	second := b.draw(usable, first)
	if second == nil || first.inFlight < second.inFlight {
		return first
	}
	if second.inFlight < first.inFlight {
		return second
	}
	// With many proxies, most pairs have equally many attempts in flight.
	if b.recentSlowness(second, now) < b.recentSlowness(first, now) {
		return second
	}
	return first
}

// draw returns a usable server other than excluded, drawn by weight, or nil if there is none.
func (b *Balancer) draw(usable func(*server) bool, excluded *server) *server {
	servers, cumulative := b.subset.servers, b.subset.cumulativeWeights
	if len(servers) == 0 {
		return nil
	}
	total := cumulative[len(cumulative)-1]
	for range maxDraws {
		i, _ := slices.BinarySearch(cumulative, b.rng.Float64()*total)
		s := servers[min(i, len(servers)-1)]
		if s != excluded && usable(s) {
			return s
		}
	}
	return b.drawFromAll(usable, excluded)
}

// drawFromAll returns the same kind of result as draw, but checks each server of the subset and draws among the usable ones.
func (b *Balancer) drawFromAll(usable func(*server) bool, excluded *server) *server {
	var drawn *server
	var total float64
	for _, s := range b.subset.servers {
		if s == excluded || !usable(s) {
			continue
		}
		total += s.weight
		if drawn == nil || b.rng.Float64()*total < s.weight {
			drawn = s
		}
	}
	return drawn
}
