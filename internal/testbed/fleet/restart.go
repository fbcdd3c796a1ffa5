package fleet

import (
	"maps"
	"math"
	"slices"
	"time"

	"robindrum/balancer"
)

// Source is what tells gateways the list. One that starts has to ask it and is not ready before it was told; those that
// run hear of each change. The zero value answers at once, any number at a time.
type Source struct {
	Slots    int           // calls that it works on at once; 0: any number
	CallTime time.Duration // of a call
	MaxWait  time.Duration // that a call waits for a place before it fails; 0: for ever

	busy int
	line []*call
}

// call is one gateway's, which waits for a place.
type call struct {
	g *gateway
}

// The waits between calls of a gateway that failed: doubled each time, half of it at random, as internal/xds does.
const (
	firstWait = 500 * time.Millisecond
	maxWait   = 30 * time.Second
)

// askSource has a gateway ask the source for the list; n is how often it failed.
func (f *Fleet) askSource(g *gateway, n int) {
	s := &f.opt.Source
	if g.dead {
		return
	}
	c := &call{g: g}
	if s.Slots == 0 || s.busy < s.Slots {
		f.work(c)
		return
	}
	s.line = append(s.line, c)
	if s.MaxWait == 0 {
		return
	}
	f.after(s.MaxWait, func() {
		for i, w := range s.line {
			if w == c {
				s.line = append(s.line[:i], s.line[i+1:]...)
				f.result.SourceFailures++
				wait := min(firstWait<<min(n, 10), maxWait)
				f.after(wait/2+time.Duration(f.rng.Float64()*float64(wait/2)), func() { f.askSource(g, n+1) })
				return
			}
		}
	})
}

// work has the source answer a call, and then the one that waits longest.
func (f *Fleet) work(c *call) {
	s := &f.opt.Source
	s.busy++
	f.after(s.CallTime, func() {
		s.busy--
		if g := c.g; !g.dead && !f.away {
			g.bal.UpdateEndpoints(f.now, balancer.EndpointUpdate{Kind: balancer.UpdateSnapshot, Servers: f.list()})
			if !g.ready {
				g.ready = true
				f.result.MaxTimeToReady = max(f.result.MaxTimeToReady, f.now-g.born)
			}
		}
		if len(s.line) > 0 {
			next := s.line[0]
			s.line = s.line[1:]
			f.work(next)
		}
	})
}

// RestartGateways kills part of the gateways at once, spread over the zones, with all that they have in hand, and has them start
// from nothing after a while. Clients are led to those that are ready meanwhile. An error ends the run.
func (f *Fleet) RestartGateways(part float64, down time.Duration) {
	n := int(math.Round(part * float64(len(f.gateways))))
	for i := range n {
		old := f.gateways[i]
		old.dead, old.ready = true, false
		// In one order, as clients that ask again draw their pause then: the same seed is to give the same run.
		for _, id := range slices.Sorted(maps.Keys(old.open)) {
			f.answer(old.open[id], func(c *ClassCount) { c.Failed++ }, Response{Failed: true})
		}
		clear(old.open)
		g, err := f.newGateway(i)
		if err != nil {
			f.err = err
			return
		}
		f.gateways[i], g.born = g, f.now
		f.after(down, func() {
			g.born = f.now
			f.askSource(g, 0)
		})
	}
}

// front gives the gateway that a client of gateway i is led to: that one, or, while it is not ready, any that is.
func (f *Fleet) front(i int) *gateway {
	if g := f.gateways[i]; g.ready {
		return g
	}
	var ready []*gateway
	for _, g := range f.gateways {
		if g.ready {
			ready = append(ready, g)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[f.rng.IntN(len(ready))]
}

// connect gives what a new connection costs the server of an attempt, 0 where an idle one is left.
func (g *gateway) connect(to string) time.Duration {
	f := g.f
	if f.opt.ConnectTime == 0 {
		return 0
	}
	idle := g.idle[to]
	if n := len(idle); n > 0 {
		last := idle[n-1]
		g.idle[to] = idle[:n-1]
		if f.now-last < f.opt.IdleTimeout {
			return 0
		}
		g.idle[to] = nil // those before it have stood idle for longer
	}
	f.phase().NewConnections++
	return f.opt.ConnectTime
}

// keep has an attempt's connection wait for another one.
func (g *gateway) keep(a *attempt, res balancer.Result) {
	if g.f.opt.ConnectTime > 0 && res == balancer.Served && a.s != nil {
		g.idle[a.s.id] = append(g.idle[a.s.id], g.f.now)
	}
}
