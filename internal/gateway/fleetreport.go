package gateway

import (
	"fmt"
	"os"

	"robindrum/internal/drain"
	"robindrum/internal/fleet"
	"robindrum/internal/proxy"
	"robindrum/internal/release"
)

// report returns the state of the gateway and its endpoints. If full is set, it contains all endpoints, otherwise only those
// that are not healthy.
func (g *Gateway) report(view drain.View, full bool) fleet.Report {
	report := fleet.Report{
		Version:  view.Version,
		Serving:  g.isServing(),
		Pending:  g.pendingRouting != nil,
		Figures:  g.figures(),
		InFlight: map[string]int{},
	}
	inFlight := map[drain.Target]int{}
	for _, c := range g.clusters {
		ejected := g.countInFlight(c, inFlight)
		report.Endpoints = append(report.Endpoints, g.endpointReports(c, ejected, full)...)
	}
	for i := range view.Requests {
		request := &view.Requests[i]
		switch {
		case !request.Target.OfGateways():
			report.InFlight[request.ID] = g.inFlightAt(request.Target, inFlight)
		case g.matchesSelf(request):
			report.InFlight[request.ID] = g.ownInFlight()
		}
	}
	return report
}

func (g *Gateway) isServing() bool {
	if g.stopping || g.drainRequest != nil || !g.drainsKnown {
		return false
	}
	return g.allClustersKnown(g.routing.Load())
}

// countInFlight adds the number of requests in flight at each endpoint of a cluster to inFlight, and returns the IDs of the
// endpoints that the current core has ejected.
func (g *Gateway) countInFlight(c *cluster, inFlight map[drain.Target]int) map[string]bool {
	ejectedIDs := map[string]bool{}
	count := func(instance *coreInstance) {
		instance.core.EachServer(func(id string, n int, ejected bool) {
			inFlight[drain.Target{Cluster: c.name, Endpoint: id}] += n
			if ejected && instance == c.current {
				ejectedIDs[id] = true
			}
		})
	}
	count(c.current)
	for instance := range g.retired {
		if instance.cluster == c {
			count(instance)
		}
	}
	return ejectedIDs
}

// endpointReports returns the state of a cluster's endpoints, without the healthy ones unless full is set.
func (g *Gateway) endpointReports(c *cluster, ejected map[string]bool, full bool) []drain.Endpoint {
	warmUp := c.spec.config.WarmUp.Time.D()
	var reports []drain.Endpoint
	for _, s := range c.view.Servers() {
		warmingUp := s.AddedAt > 0 && g.Now()-s.AddedAt < warmUp
		healthy := s.ExcludedReason == "" && !warmingUp && !ejected[s.Address]
		if !healthy || full {
			reports = append(reports, drain.Endpoint{Cluster: c.name, Address: s.Address, Zone: s.Zone, Healthy: healthy})
		}
	}
	return reports
}

// inFlightAt returns the number of requests in flight at a target, which is an endpoint or a zone of a cluster.
func (g *Gateway) inFlightAt(target drain.Target, inFlight map[drain.Target]int) int {
	c := g.clusters[target.Cluster]
	if c == nil || target.Zone == "" {
		return inFlight[target]
	}
	total := 0
	for _, s := range c.view.Servers() {
		if target.MatchesEndpoint(c.name, s.Address, s.Zone) {
			total += inFlight[drain.Target{Cluster: c.name, Endpoint: s.Address}]
		}
	}
	return total
}

// ownInFlight returns the number of requests in flight at this gateway. While the gateway still accepts new requests, the
// number is one higher, so that it is not 0.
func (g *Gateway) ownInFlight() int {
	total := 0
	for _, core := range g.cores() {
		total += core.InFlight()
	}
	if !g.rejectingRequests.Load() {
		total++
	}
	return total
}

// figures returns the outcomes of all requests since this process started, including those to removed clusters.
func (g *Gateway) figures() release.Figures {
	var stats proxy.Stats
	for _, totals := range g.totals {
		stats.Add(totals.Stats)
	}
	for _, core := range g.cores() {
		stats.Add(core.Stats())
	}
	unrouted := g.unrouted.Load()
	return release.Figures{
		Accepted:       stats.Accepted + unrouted,
		Failed:         stats.Failed + stats.Rejected + unrouted,
		Served:         stats.Served,
		LatencySeconds: stats.TotalLatency.Seconds(),
		Memory:         residentMemory(),
		LatencyCounts:  g.outcomes.latencyCounts(),
		Classes:        g.outcomes.byClass(),
	}
}

// residentMemory returns the resident memory of this process in bytes, or 0 if it is not available.
func residentMemory() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var size, pages int64
	if _, err := fmt.Sscan(string(text), &size, &pages); err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
