package balancer

import (
	"maps"
	"slices"
	"time"
)

const (
	minSubset     = 5   // lowest number of servers per zone; also the intended number of proxies per server
	defaultSubset = 16  // servers per zone if there are few proxies
	minCandidates = 256 // candidates per zone; limits the cost of a refresh on a long list

	panicThreshold = 0.5 // ejections are ignored while ejected servers have more than this fraction of the total weight
)

// subset holds the servers that are drawn from. A proxy that uses few servers needs few connections and has many observations of
// each server.
type subset struct {
	servers           []*server
	cumulativeWeights []float64 // running sums of the weights of servers
	candidates        []*server // buffer of Balancer.candidates
	refreshedAt       time.Duration
	stale             bool
}

func (s *subset) add(member *server, cumulativeWeight float64) {
	s.servers = append(s.servers, member)
	s.cumulativeWeights = append(s.cumulativeWeights, cumulativeWeight)
}

// refreshSubset recomputes the weights and selects the servers of the subset, if the subset is stale or old enough.
func (b *Balancer) refreshSubset(now time.Duration) {
	if !b.subset.stale && now-b.subset.refreshedAt < b.minObjective/2 {
		return
	}
	b.subset.stale = false
	b.subset.refreshedAt = now
	candidates := b.candidates(now)
	if b.settings.Localities != nil {
		b.reportHealth(now, candidates)
	}
	applyEjections := b.computeWeights(now, candidates)
	b.selectSubset(now, candidates, applyEjections)
}

// computeWeights sets the weights of the candidates and counts the attempts in flight at ejected ones. It reports whether ejected
// servers are to be excluded: their weight does not exceed the panic threshold.
func (b *Balancer) computeWeights(now time.Duration, candidates []*server) (applyEjections bool) {
	var warm decayingMean
	for _, s := range candidates {
		s.weight = s.Weight / b.slowness(s, now)
		if b.capacityFraction(s, now) == 1 {
			warm.add(s.weight)
		}
	}
	b.load.inFlightEjected = 0
	var total, ejected float64
	for _, s := range candidates {
		// A server that is warming up is weighted by the capacity that it is guaranteed to have. With a lower weight, the
		// remaining requests would queue at the warm servers. warmUpLimitReached limits what it gets.
		if capacityFraction := b.capacityFraction(s, now); capacityFraction < 1 {
			s.weight = min(s.weight, warm.mean(s.weight, 0.001)) * capacityFraction
		}
		if !s.local && b.settings.Localities == nil {
			s.weight *= b.spillover(s.Zone, now)
		}
		total += s.weight
		if b.ejected(s, now) {
			ejected += s.weight
			b.load.inFlightEjected += s.inFlight
		}
	}
	return ejected <= panicThreshold*total
}

// selectSubset selects the first running candidates of each zone, up to subsetSize, and updates the baseline of slow start.
func (b *Balancer) selectSubset(now time.Duration, candidates []*server, applyEjections bool) {
	b.subset.servers = b.subset.servers[:0]
	b.subset.cumulativeWeights = b.subset.cumulativeWeights[:0]
	var totalWeight float64
	var sends decayingMean // attempts per unit of capacityFraction
	hasWarmServer := false
	selected := map[string]int{}
	for _, s := range candidates {
		if s.State != Running || applyEjections && b.ejected(s, now) || selected[s.Zone] >= b.subsetSize() {
			continue
		}
		selected[s.Zone]++
		capacityFraction := b.capacityFraction(s, now)
		sends.sum += b.sendsInWindow(s, now)
		sends.count += capacityFraction
		hasWarmServer = hasWarmServer || capacityFraction == 1
		totalWeight += s.weight
		b.subset.add(s, totalWeight)
	}
	b.slowStart.update(sends.mean(0, 0.001), hasWarmServer)
}

// subsetSize returns the number of servers per zone in the subset. It gives each server to a few proxies, and it grows while this
// proxy has many attempts in flight.
func (b *Balancer) subsetSize() int {
	share := minSubset * len(b.endpoints.ordered) / max(b.settings.Proxies, 1)
	return max(min(max(share, minSubset), defaultSubset), 2*b.load.inFlight)
}

// candidates returns the servers from which the subset is selected: the whole list if it is short, otherwise the first servers of
// each zone, more than the subset needs.
func (b *Balancer) candidates(now time.Duration) []*server {
	enough := max(minCandidates, 2*b.subsetSize())
	if len(b.endpoints.ordered) <= enough {
		return b.endpoints.ordered
	}
	b.subset.candidates = b.subset.candidates[:0]
	for _, zone := range slices.Sorted(maps.Keys(b.endpoints.byZone)) {
		usable := 0
		for _, s := range b.endpoints.byZone[zone] {
			if usable >= enough {
				break
			}
			b.subset.candidates = append(b.subset.candidates, s)
			if s.State == Running && !b.ejected(s, now) {
				usable++
			}
		}
	}
	return b.subset.candidates
}
