package balancer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// maxStaleNames limits the zones and kinds that are retained although no listed server has them.
const maxStaleNames = 64

// endpointList holds the servers of the endpoint list. Their order differs between proxies and does not follow the list, so that
// the proxies do not all prefer the servers that are listed first.
type endpointList struct {
	byID    map[string]*server
	ordered []*server            // in the order of compareRank
	byZone  map[string][]*server // in the order of compareRank; no empty zones

	known        bool           // a list other than the cached one has been received
	running      int            // servers in state Running
	added        int            // number of servers ever added
	addedByZone  map[string]int // like added, by zone
	listedWeight decayingMean   // mean of all weights listed so far, without decay
}

func newEndpointList() endpointList {
	return endpointList{byID: map[string]*server{}, byZone: map[string][]*server{}, addedByZone: map[string]int{}}
}

// UpdateEndpoints applies an update of the endpoint list. New servers start with nothing in flight, and attempts in flight at
// removed servers are still to be reported with Outcome.
func (b *Balancer) UpdateEndpoints(now time.Duration, u EndpointUpdate) {
	if u.Kind == UpdateFailed {
		b.polls.failed(now, u)
		return
	}
	b.subset.stale = true
	if u.Kind == UpdateSnapshot || u.Kind == UpdateCached {
		b.endpoints.retainOnly(u.Servers)
	}
	for _, entry := range u.Servers {
		b.updateEndpoint(now, entry)
	}
	b.forgetStaleNames()
	if b.settings.Admission != nil {
		b.settings.Admission.SetEndpoints(now, b.endpoints.running)
	}
	b.endpoints.known = b.endpoints.known || u.Kind == UpdateSnapshot || u.Kind == UpdateDelta
	if b.endpoints.known && b.endpoints.running == 0 {
		b.dispatchAll(now) // no server can be expected: all requests are answered with an error
	}
	b.admitQueued(now)
	switch u.Kind {
	case UpdateCached:
		b.polls.cachedListLoaded(now)
	case UpdateSnapshot, UpdateDelta:
		b.polls.succeeded()
	case UpdatePartial, UpdateFailed:
	}
}

// EndpointServiceMoved reports that the endpoint list service gets another address and that the host begins to watch the list there,
// without a call of Host.Watch. The result follows as an EndpointUpdate.
func (b *Balancer) EndpointServiceMoved(now time.Duration) {
	b.polls.serviceMoved(now)
}

// updateEndpoint adds, changes or removes one server.
func (b *Balancer) updateEndpoint(now time.Duration, entry Server) {
	list := &b.endpoints
	s := list.byID[entry.ID]
	if entry.State == Removed {
		if s != nil {
			list.remove(s)
		}
		return
	}
	if s == nil {
		s = list.add(entry, b.settings.Index)
	} else {
		if entry.Since != s.Since {
			s.restarted(now)
		}
		list.removeFromZone(s)
	}
	validWeight := entry.Weight > 0 && !math.IsInf(entry.Weight, 1)
	if !validWeight || b.settings.Weights == WeightLive {
		entry.Weight = list.listedWeight.mean(1, 0.001)
	}
	list.listedWeight.add(entry.Weight)
	s.Server = entry
	s.local = entry.Zone == b.settings.Zone
	list.addToZone(s)
}

// add inserts a new server into byID and ordered. The caller sets its entry and calls addToZone.
func (l *endpointList) add(entry Server, proxyIndex int) *server {
	// Fractional parts of the multiples of an irrational number are spread evenly for any number of servers and proxies.
	_, rank := math.Modf(math.Phi*float64(l.addedByZone[entry.Zone]) + math.Sqrt2*float64(max(proxyIndex, 0)))
	s := &server{rank: rank, addedBefore: l.added}
	l.addedByZone[entry.Zone]++
	l.added++
	l.byID[entry.ID] = s
	l.ordered = insertByRank(l.ordered, s)
	return s
}

func (l *endpointList) remove(s *server) {
	delete(l.byID, s.ID)
	l.ordered = deleteByRank(l.ordered, s)
	l.removeFromZone(s)
}

// retainOnly removes all servers that are not among the entries.
func (l *endpointList) retainOnly(entries []Server) {
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
	}
	for _, s := range slices.Clone(l.ordered) {
		if !listed[s.ID] {
			l.remove(s)
		}
	}
}

func (l *endpointList) addToZone(s *server) {
	l.byZone[s.Zone] = insertByRank(l.byZone[s.Zone], s)
	if s.State == Running {
		l.running++
	}
}

func (l *endpointList) removeFromZone(s *server) {
	if s.State == Running {
		l.running--
	}
	l.byZone[s.Zone] = deleteByRank(l.byZone[s.Zone], s)
	if len(l.byZone[s.Zone]) == 0 {
		delete(l.byZone, s.Zone)
	}
}

// forgetStaleNames deletes the data of zones and kinds that no server has, once there are many of them. Otherwise, memory would
// grow without bound if the names keep changing.
func (b *Balancer) forgetStaleNames() {
	byZone := b.endpoints.byZone
	maxZones := 2*len(byZone) + maxStaleNames
	if len(b.endpoints.addedByZone) > maxZones {
		maps.DeleteFunc(b.endpoints.addedByZone, func(zone string, _ int) bool { return len(byZone[zone]) == 0 })
	}
	if len(b.zoneLoss) > maxZones {
		maps.DeleteFunc(b.zoneLoss, func(zone string, _ *decayingMean) bool { return len(byZone[zone]) == 0 })
	}
	b.latencies.forgetStaleKinds(b.endpoints.ordered)
}

// compareRank orders servers by rank, and servers of equal rank in the order in which they were added.
func compareRank(x, y *server) int {
	return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.addedBefore, y.addedBefore))
}

func insertByRank(list []*server, s *server) []*server {
	i, _ := slices.BinarySearchFunc(list, s, compareRank)
	return slices.Insert(list, i, s)
}

func deleteByRank(list []*server, s *server) []*server {
	if i, ok := slices.BinarySearchFunc(list, s, compareRank); ok {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// EachServer calls fn for each server of the list with the number of this proxy's attempts in flight at the server and whether
// the server is ejected.
func (b *Balancer) EachServer(now time.Duration, fn func(id string, inFlight int, ejected bool)) {
	for _, s := range b.endpoints.ordered {
		fn(s.ID, s.inFlight, b.ejected(s, now))
	}
}
