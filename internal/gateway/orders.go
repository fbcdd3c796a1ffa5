package gateway

import (
	"fmt"
	"os"
	"time"

	"arrowhitch/internal/fleet"
	"arrowhitch/internal/node"
	"arrowhitch/internal/order"
	"arrowhitch/internal/release"
)

// orderWait is how long a gateway that starts waits to be told what is ordered. Then it serves without: that nobody answers must
// not keep a whole fleet from coming up.
const orderWait = 5 * time.Second

// awaitOrders asks what is ordered before this gateway is ready: one that was taken out, killed and started again must not serve.
func (g *Gateway) awaitOrders() {
	known := g.fleet.AskOrders(g.life, orderWait)
	if !known && g.life.Err() == nil {
		g.log.Warn("nobody says what is ordered; this gateway serves without knowing", "after", orderWait)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ordered = true
}

// Ordered takes over what is ordered, and tells how this gateway stands then. It is called by one goroutine at a time.
func (g *Gateway) Ordered(v order.View, full bool) fleet.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.takeOrders(v)
	r := fleet.Report{Version: v.Version, InHand: map[string]int{}}
	g.report(&r, v, full)
	return r
}

func (g *Gateway) takeOrders(v order.View) {
	held := map[string]map[string]bool{}
	var drain *order.Order
	for i := range v.Out {
		o := &v.Out[i]
		switch {
		case !o.State.Out():
		case o.Target.Gateway == g.fleet.Conf().Member:
			drain = o
		case o.Target.Gateway == "":
			m := held[o.Target.Cluster]
			if m == nil {
				m = map[string]bool{}
				held[o.Target.Cluster] = m
			}
			m[o.Target.Endpoint] = true
		}
	}
	if g.drain == nil && drain != nil {
		g.drainAt = g.Now()
		g.log.Info("taken out of service by an order", "id", drain.ID, "owner", drain.Owner, "reason", drain.Reason, "token", drain.Token)
	}
	if g.drain != nil && drain == nil {
		g.log.Info("in service again", "id", g.drain.ID)
	}
	g.drain = drain
	g.front.Closing(drain != nil)
	g.refuses.Store(drain != nil && g.Now()-g.drainAt >= drain.Notice)
	old := g.held
	g.held = held
	for name, c := range g.clusters {
		if !same(old[name], held[name]) && c.view.Told() {
			w, _ := c.view.Last()
			for i := range w.Endpoints {
				w.Endpoints[i].Held = false // tell says which are now
			}
			g.tell(c, w)
		}
	}
}

func same(a, b map[string]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for k := range a {
		if !b[k] {
			return false
		}
	}
	return true
}

// report says how this gateway and its endpoints stand. Endpoints that are well are named only where all are asked for.
func (g *Gateway) report(r *fleet.Report, v order.View, full bool) {
	r.Serving = !g.stopping && g.drain == nil && g.ordered
	routes := g.routes.Load()
	for n := range names(routes) {
		if c := g.clusters[n]; c == nil || !c.view.Told() {
			r.Serving = false
		}
	}
	r.Figures, r.Pending = g.figures(), g.pending != nil
	inHand := map[[2]string]int{}
	for name, c := range g.clusters {
		out := map[string]bool{}
		count := func(in *instance) {
			in.core.Endpoints(func(id string, n int, ejected bool) {
				inHand[[2]string{name, id}] += n
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
			cold := s.Since > 0 && g.Now()-s.Since < c.spec.conf.WarmUp.Time.D()
			if well := s.Out == "" && !cold && !out[s.Address]; !well || full {
				r.Endpoints = append(r.Endpoints, order.Endpoint{Cluster: name, Address: s.Address, Zone: s.Zone, Well: well})
			}
		}
	}
	for i := range v.Out {
		switch o := &v.Out[i]; {
		case o.Target.Gateway == "":
			r.InHand[o.ID] = inHand[[2]string{o.Target.Cluster, o.Target.Endpoint}]
		case o.Target.Gateway == g.fleet.Conf().Member:
			n := 0
			for _, c := range g.clusters {
				n += c.in.core.InHand()
			}
			for in := range g.old {
				n += in.core.InHand()
			}
			if !g.refuses.Load() { // what still may come counts as one
				n++
			}
			r.InHand[o.ID] = n
		}
	}
}

// figures are what the requests of this process came to, those of clusters that are gone included.
func (g *Gateway) figures() release.Figures {
	var t node.Stats
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
	return release.Figures{Taken: t.Taken + nowhere, Bad: t.Failed + t.Refused + nowhere, Served: t.Served, Seconds: t.Took.Seconds(), Memory: resident()}
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
