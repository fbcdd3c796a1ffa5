package gateway

import (
	"fmt"
	"os"
	"slices"
	"time"

	"robindrum/internal/drain"
	"robindrum/internal/fleet"
	"robindrum/internal/proxy"
	"robindrum/internal/release"
)

// drainFetchTimeout is how long a gateway that starts waits to be told what is ordered. Then it serves without: that nobody answers must
// not keep a whole fleet from coming up.
const drainFetchTimeout = 5 * time.Second

// awaitDrains asks what is ordered before this gateway is ready: one that was taken out, killed and started again must not serve.
func (g *Gateway) awaitDrains() {
	known := g.fleet.FetchDrains(g.ctx, drainFetchTimeout)
	if !known && g.ctx.Err() == nil {
		g.log.Warn("nobody says what is ordered; this gateway serves without knowing", "after", drainFetchTimeout)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drainsKnown = true
}

// ApplyDrains takes over what is ordered, and tells how this gateway stands then. It is called by one goroutine at a time.
func (g *Gateway) ApplyDrains(v drain.View, full bool) fleet.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyDrains(v)
	r := fleet.Report{Version: v.Version, InFlight: map[string]int{}}
	g.fillReport(&r, v, full)
	return r
}

func (g *Gateway) applyDrains(v drain.View) {
	var held []drain.Target
	var own *drain.Request
	for i := range v.Requests {
		o := &v.Requests[i]
		switch {
		case !o.State.Unavailable():
		case g.matchesSelf(o):
			if own == nil || own.Restart == "" {
				own = o
			}
		case !o.Target.OfGateways():
			held = append(held, o.Target)
		}
	}
	if g.drainRequest == nil && own != nil {
		g.drainedAt, g.graceExpired = g.Now(), false
		g.log.Info("taken out of service by an order", "id", own.ID, "owner", own.Owner, "reason", own.Reason, "token", own.Token)
	}
	if g.drainRequest != nil && own == nil {
		g.log.Info("in service again", "id", g.drainRequest.ID)
	}
	if own != nil && own.Restart != "" && (own.State == drain.Drained || own.State == drain.Overdue) {
		g.fleet.Restart(own.Restart)
	}
	g.drainRequest = own
	g.front.SetClosing(own != nil)
	g.rejectsNew.Store(own != nil && g.Now()-g.drainedAt >= own.Notice)
	old := g.drainedTargets
	g.drainedTargets = held
	if slices.Equal(old, held) {
		return
	}
	for name, c := range g.clusters {
		of := func(t drain.Target) bool { return t.Cluster == name }
		if (slices.ContainsFunc(old, of) || slices.ContainsFunc(held, of)) && c.view.Known() {
			w, _ := c.view.LastUpdate()
			w.Endpoints = slices.Clone(w.Endpoints)
			for i := range w.Endpoints {
				w.Endpoints[i].DrainedByFleet = false // tell says which are now
			}
			g.applyUpdate(c, w)
		}
	}
}

// matchesSelf tells whether an order takes this gateway out.
func (g *Gateway) matchesSelf(o *drain.Request) bool {
	return o.Target.MatchesGateway(g.fleet.Config().Member, g.fleet.Config().Site, g.fleet.Zone())
}

// fillReport says how this gateway and its endpoints stand. Endpoints that are well are named only where all are asked for.
func (g *Gateway) fillReport(r *fleet.Report, v drain.View, full bool) {
	r.Serving = !g.stopping && g.drainRequest == nil && g.drainsKnown
	routes := g.routing.Load()
	for n := range clusterNames(routes) {
		if c := g.clusters[n]; c == nil || !c.view.Known() {
			r.Serving = false
		}
	}
	r.Figures, r.Pending = g.figures(), g.pendingRouting != nil
	inHand := map[drain.Target]int{} // by endpoint
	for name, c := range g.clusters {
		out := map[string]bool{}
		count := func(in *coreInstance) {
			in.core.EachServer(func(id string, n int, ejected bool) {
				inHand[drain.Target{Cluster: name, Endpoint: id}] += n
				out[id] = out[id] || ejected && in == c.current
			})
		}
		count(c.current)
		for in := range g.retired {
			if in.cluster == c {
				count(in)
			}
		}
		for _, s := range c.view.Servers() {
			cold := s.AddedAt > 0 && g.Now()-s.AddedAt < c.spec.config.WarmUp.Time.D()
			if well := s.ExcludedReason == "" && !cold && !out[s.Address]; !well || full {
				r.Endpoints = append(r.Endpoints, drain.Endpoint{Cluster: name, Address: s.Address, Zone: s.Zone, Healthy: well})
			}
		}
	}
	for i := range v.Requests {
		switch o := &v.Requests[i]; {
		case !o.Target.OfGateways():
			n := 0
			if c := g.clusters[o.Target.Cluster]; c != nil && o.Target.Zone != "" {
				for _, s := range c.view.Servers() {
					if o.Target.MatchesEndpoint(c.name, s.Address, s.Zone) {
						n += inHand[drain.Target{Cluster: c.name, Endpoint: s.Address}]
					}
				}
			} else {
				n = inHand[o.Target]
			}
			r.InFlight[o.ID] = n
		case g.matchesSelf(o):
			n := 0
			for _, c := range g.cores() {
				n += c.InFlight()
			}
			if !g.rejectsNew.Load() { // what still may come counts as one
				n++
			}
			r.InFlight[o.ID] = n
		}
	}
}

// figures are what the requests of this process came to, those of clusters that are gone included.
func (g *Gateway) figures() release.Figures {
	var t proxy.Stats
	for _, p := range g.totals {
		t.Add(p.Stats)
	}
	for _, c := range g.clusters {
		t.Add(c.current.core.Stats())
	}
	for in := range g.retired {
		t.Add(in.core.Stats())
	}
	nowhere := g.unrouted.Load()
	return release.Figures{Accepted: t.Accepted + nowhere, Failed: t.Failed + t.Rejected + nowhere, Served: t.Served, LatencySeconds: t.TotalLatency.Seconds(), Memory: residentMemory(),
		LatencyCounts: g.outcomes.latencyCounts(), Classes: g.outcomes.byClass()}
}

// residentMemory is this process's memory in bytes; 0 where the system does not say.
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
