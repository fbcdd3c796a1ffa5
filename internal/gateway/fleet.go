package gateway

import (
	"context"
	"time"

	"arrowhitch/internal/config"
	"arrowhitch/internal/duty"
	"arrowhitch/internal/fleet"
	"arrowhitch/internal/members"
)

// leaveFleet bounds how long a process that ends says so to its fleet.
const leaveFleet = 500 * time.Millisecond

// joinFleet opens the fleet's address where the configuration has one, and says what comes there and which duties there are.
// Nothing is spoken before Start.
func (g *Gateway) joinFleet(f *config.File) error {
	if f.Fleet == nil {
		return nil
	}
	fl, err := fleet.New(f.Fleet, f.Zone, g.version(f), members.Joining, g.log)
	if err != nil {
		return err
	}
	g.fleet = fl
	fl.Serve(g)
	if f.Fleet.Subscription == nil {
		return nil
	}
	fl.Node().Handle(sharePath, mostShare, func(_ context.Context, body []byte) (any, error) {
		s := g.shared.Load()
		if s == nil {
			return pushed{Verdict: "same"}, nil
		}
		return s.receive(body)
	})
	fl.Add(duty.Duty{Name: "xds/" + f.Fleet.Site, Rules: fl.Rules(f.Fleet.Site), Run: func(ctx context.Context, h *duty.Hold) {
		if s := g.shared.Load(); s != nil {
			s.hold(ctx, h, func() bool { return ctx.Err() == nil && g.shared.Load() == s })
		} else {
			<-ctx.Done()
		}
	}})
	return nil
}

// version stands for what gateways of one fleet have in common in their files.
func (g *Gateway) version(f *config.File) string {
	c := *f
	c.Fleet, c.Gateway, c.Zone = nil, config.Gateway{}, ""
	text, err := c.Print()
	if err != nil {
		return ""
	}
	return fleet.ConfigVersion(text)
}

// tellFleet has the others know whether this gateway is ready.
func (g *Gateway) tellFleet() {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-g.life.Done():
			return
		case <-tick.C:
		}
		g.mu.Lock()
		f, stopping := g.file, g.stopping
		g.mu.Unlock()
		if stopping {
			return
		}
		s := members.Joining
		g.mu.Lock()
		drained := g.drain != nil
		g.refuses.Store(drained && g.Now()-g.drainAt >= g.drain.Notice)
		g.mu.Unlock()
		switch {
		case drained:
			s = members.Draining
		case g.Ready():
			s = members.Serving
		}
		if f != g.told {
			g.told, g.toldVersion = f, g.version(f)
		}
		g.fleet.Say(s, g.toldVersion)
	}
}

// collectFleet gives the fleet's metrics.
func collectFleet(s *fleet.Status, put func(name string, v float64, labels ...string)) {
	states := map[members.State]int{members.Joining: 0, members.Serving: 0, members.Draining: 0, members.Leaving: 0, members.Witness: 0, members.Suspect: 0, members.Dead: 0}
	for _, m := range s.Members {
		states[m.State]++
	}
	for state, n := range states {
		put("fmembers", float64(n), string(state))
	}
	put("fconflicts", float64(s.Conflicts))
	put("fcontact", s.Contact.Age.Seconds())
	put("fsent", float64(s.Sent))
	if v := s.Vote; v != nil {
		for _, state := range []string{"waiting", "follower", "candidate", "leader", "stopped"} {
			n := 0.0
			if v.State == state {
				n = 1
			}
			put("fvote", n, state)
		}
	}
	for _, d := range s.Duties {
		held := 0.0
		if d.State == duty.Holding {
			held = 1
		}
		put("fduty", held, d.Name)
		put("fheld", float64(d.Held), d.Name)
		put("foverdue", float64(d.Overdue), d.Name)
	}
}
