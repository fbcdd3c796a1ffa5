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

// orderWait is how long a gateway that starts waits to be told what is ordered. Then it serves without: that nobody answers must
// not keep a whole fleet from coming up.
const orderWait = 5 * time.Second

// awaitOrders asks what is ordered before this gateway is ready: one that was taken out, killed and started again must not serve.
func (g *Gateway) awaitOrders() {
	known := g.fleet.FetchDrains(g.life, orderWait)
	if !known && g.life.Err() == nil {
		g.log.Warn("nobody says what is ordered; this gateway serves without knowing", "after", orderWait)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ordered = true
}

// ApplyDrains takes over what is ordered, and tells how this gateway stands then. It is called by one goroutine at a time.
func (g *Gateway) ApplyDrains(v drain.View, full bool) fleet.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.takeOrders(v)
	r := fleet.Report{Version: v.Version, InFlight: map[string]int{}}
	g.report(&r, v, full)
	return r
}

func (g *Gateway) takeOrders(v drain.View) {
	var held []drain.Target
	var own *drain.Request
	for i := range v.Requests {
		o := &v.Requests[i]
		switch {
		case !o.State.Unavailable():
		case g.mine(o):
			if own == nil || own.Restart == "" {
				own = o
			}
		case !o.Target.OfGateways():
			held = append(held, o.Target)
		}
	}
	if g.drain == nil && own != nil {
		g.drainAt, g.expired = g.Now(), false
		g.log.Info("taken out of service by an order", "id", own.ID, "owner", own.Owner, "reason", own.Reason, "token", own.Token)
	}
	if g.drain != nil && own == nil {
		g.log.Info("in service again", "id", g.drain.ID)
	}
	if own != nil && own.Restart != "" && (own.State == drain.Drained || own.State == drain.Overdue) {
		g.fleet.Restart(own.Restart)
	}
	g.drain = own
	g.front.SetClosing(own != nil)
	g.refuses.Store(own != nil && g.Now()-g.drainAt >= own.Notice)
	old := g.held
	g.held = held
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
			g.tell(c, w)
		}
	}
}

// mine tells whether an order takes this gateway out.
func (g *Gateway) mine(o *drain.Request) bool {
	return o.Target.MatchesGateway(g.fleet.Config().Member, g.fleet.Config().Site, g.fleet.Zone())
}

// report says how this gateway and its endpoints stand. Endpoints that are well are named only where all are asked for.
func (g *Gateway) report(r *fleet.Report, v drain.View, full bool) {
	r.Serving = !g.stopping && g.drain == nil && g.ordered
	routes := g.routes.Load()
	for n := range names(routes) {
		if c := g.clusters[n]; c == nil || !c.view.Known() {
			r.Serving = false
		}
	}
	r.Figures, r.Pending = g.figures(), g.pending != nil
	inHand := map[drain.Target]int{} // by endpoint
	for name, c := range g.clusters {
		out := map[string]bool{}
		count := func(in *instance) {
			in.core.EachServer(func(id string, n int, ejected bool) {
				inHand[drain.Target{Cluster: name, Endpoint: id}] += n
				out[id] = out[id] || ejected && in == c.in
			})
		}
		count(c.in)
		for in := range g.old {
			if in.of == c {
				count(in)
			}
		}
		for _, s := range c.view.Servers() {
			cold := s.AddedAt > 0 && g.Now()-s.AddedAt < c.spec.conf.WarmUp.Time.D()
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
		case g.mine(o):
			n := 0
			for _, c := range g.cores() {
				n += c.InFlight()
			}
			if !g.refuses.Load() { // what still may come counts as one
				n++
			}
			r.InFlight[o.ID] = n
		}
	}
}

// figures are what the requests of this process came to, those of clusters that are gone included.
func (g *Gateway) figures() release.Figures {
	var t proxy.Stats
	for _, p := range g.past {
		t.Add(p.Stats)
	}
	for _, c := range g.clusters {
		t.Add(c.in.core.Stats())
	}
	for in := range g.old {
		t.Add(in.core.Stats())
	}
	nowhere := g.nowhere.Load()
	return release.Figures{Accepted: t.Accepted + nowhere, Failed: t.Failed + t.Rejected + nowhere, Served: t.Served, LatencySeconds: t.TotalLatency.Seconds(), Memory: resident(),
		LatencyCounts: g.shows.times(), Classes: g.shows.all()}
}

// resident is this process's memory in bytes; 0 where the system does not say.
func resident() int64 {
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
