package balancer

import (
	"maps"
	"slices"
	"time"
)

const (
	minSubset     = 5   // servers of a zone; also the number of proxies that each server is meant to serve
	defaultSubset = 16  // servers of a zone where proxies are few
	minCandidates = 256 // servers of a zone that are weighed, so that the cost of a change does not grow with the list

	panicThreshold = 0.5 // fraction of the weight that may be ejected; above it ejections are ignored
)

// subset is the servers that are drawn from. A proxy that uses few servers has few connections and knows those servers well.
type subset struct {
	servers           []*server
	cumulativeWeights []float64 // of servers
	candidates        []*server // reused by candidates
	refreshedAt       time.Duration
	stale             bool
}

func (s *subset) add(member *server, cumulativeWeight float64) {
	s.servers = append(s.servers, member)
	s.cumulativeWeights = append(s.cumulativeWeights, cumulativeWeight)
}

// refreshSubset weighs the servers anew and selects those that are drawn from, if something has changed or some time has passed.
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
	ejectionsHold := b.weigh(now, candidates)
	b.selectSubset(now, candidates, ejectionsHold)
}

// weigh sets the weights of the candidates and counts what is in flight at ejected ones. It reports whether few enough are
// ejected to go without them.
func (b *Balancer) weigh(now time.Duration, candidates []*server) (ejectionsHold bool) {
	var warm decayingMean
	for _, s := range candidates {
		s.weight = s.Weight / b.slowness(s, now)
		if b.warmth(s, now) == 1 {
			warm.add(s.weight)
		}
	}
	b.load.inFlightEjected = 0
	var total, ejected float64
	for _, s := range candidates {
		// A server that warms up gets no less than it can do at least, as the rest would queue at the warm ones.
		// warmUpLimitReached says what is too much for it.
		if warmth := b.warmth(s, now); warmth < 1 {
			s.weight = min(s.weight, warm.mean(s.weight, 0.001)) * warmth
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

// selectSubset takes the first usable candidates of each zone.
func (b *Balancer) selectSubset(now time.Duration, candidates []*server, ejectionsHold bool) {
	b.subset.servers = b.subset.servers[:0]
	b.subset.cumulativeWeights = b.subset.cumulativeWeights[:0]
	var totalWeight float64
	var sends decayingMean // over the warmth of the servers
	hasWarmServer := false
	selected := map[string]int{}
	for _, s := range candidates {
		if s.State != Running || ejectionsHold && b.ejected(s, now) || selected[s.Zone] >= b.subsetSize() {
			continue
		}
		selected[s.Zone]++
		warmth := b.warmth(s, now)
		sends.sum += b.sendsInWindow(s, now)
		sends.count += warmth
		hasWarmServer = hasWarmServer || warmth == 1
		totalWeight += s.weight
		b.subset.add(s, totalWeight)
	}
	b.slowStart.update(sends.mean(0, 0.001), hasWarmServer)
}

// subsetSize is how many servers of a zone are drawn from: as many as give each server to a few proxies, and more while this
// proxy has much in flight.
func (b *Balancer) subsetSize() int {
	share := minSubset * len(b.endpoints.ordered) / max(b.settings.Proxies, 1)
	return max(min(max(share, minSubset), defaultSubset), 2*b.load.inFlight)
}

// candidates are the servers that are weighed: all of a short list, and of a longer one the first servers of each zone, more of
// them than are drawn from.
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
