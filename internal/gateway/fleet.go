package gateway

import (
	"context"
	"net/http"
	"time"

	"robindrum/balancer"
	"robindrum/internal/config"
	"robindrum/internal/drain"
	"robindrum/internal/fleet"
	"robindrum/internal/leaderelection"
	"robindrum/internal/membership"
	"robindrum/internal/proxy"
	"robindrum/internal/release"
)

// fleetLeaveTimeout bounds how long a process that ends says so to its fleet.
const fleetLeaveTimeout = 500 * time.Millisecond

// joinFleet opens the fleet's address where the configuration has one, and says what comes there and which duties there are.
// Nothing is spoken before Start.
func (g *Gateway) joinFleet(f *config.File) error {
	if f.Fleet == nil {
		return nil
	}
	fl, err := fleet.New(f.Fleet, f.Zone, g.configVersion(f), membership.Joining, g.log)
	if err != nil {
		return err
	}
	g.fleet = fl
	fl.SetAgent(g)
	if f.Fleet.Subscription == nil {
		return nil
	}
	fl.Node().Handle(pushPath, maxPushBytes, func(_ context.Context, body []byte) (any, error) {
		s := g.sharedSource.Load()
		if s == nil {
			return pushResponse{Verdict: "same"}, nil
		}
		return s.receive(body)
	})
	fl.AddTask(leaderelection.Task{Name: "xds/" + f.Fleet.Site, Rules: fl.Rules(f.Fleet.Site), Run: func(ctx context.Context, h *leaderelection.Leadership) {
		if s := g.sharedSource.Load(); s != nil {
			s.lead(ctx, h, func() bool { return ctx.Err() == nil && g.sharedSource.Load() == s })
		} else {
			<-ctx.Done()
		}
	}})
	return nil
}

// configVersion stands for what gateways of one fleet have in common in their files.
func (g *Gateway) configVersion(f *config.File) string {
	c := *f
	c.Fleet, c.Gateway, c.Zone = nil, config.Gateway{}, ""
	text, err := c.Print()
	if err != nil {
		return ""
	}
	return fleet.ConfigVersion(text)
}

// announceState has the others know whether this gateway is ready.
func (g *Gateway) announceState() {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-tick.C:
		}
		g.mu.Lock()
		f, stopping := g.config, g.stopping
		g.mu.Unlock()
		if stopping {
			return
		}
		s := membership.Joining
		g.mu.Lock()
		drained := g.drainRequest != nil
		g.rejectsNew.Store(drained && g.Now()-g.drainedAt >= g.drainRequest.Notice)
		late := drained && !g.drainRequest.WaitForAll && !g.graceExpired && g.Now()-g.drainedAt >= g.drainRequest.Grace
		id := ""
		var cores []*proxy.Core
		if late {
			g.graceExpired, id = true, g.drainRequest.ID
			cores = g.cores()
		}
		g.mu.Unlock()
		if late {
			n := 0
			for _, c := range cores {
				n += c.ExpireAll(finalAnswers(f))
			}
			g.log.Info("the grace of an order is over: what was in hand is answered", "id", id, "requests", n)
		}
		switch {
		case drained:
			s = membership.Draining
		case g.Ready():
			s = membership.Serving
		}
		if f != g.announced {
			g.announced, g.announcedVersion = f, g.configVersion(f)
		}
		g.fleet.Announce(s, g.announcedVersion)
	}
}

// cores are all that may have something in hand.
func (g *Gateway) cores() (l []*proxy.Core) {
	for _, c := range g.clusters {
		l = append(l, c.current.core)
	}
	for in := range g.retired {
		l = append(l, in.core)
	}
	return l
}

// finalAnswers words the answer of a request that outlives the grace of an order, by its class.
func finalAnswers(f *config.File) func(balancer.Request, bool) proxy.Answer {
	effects := map[string]string{}
	for _, c := range f.Classes {
		effects[c.Name] = effectName(c.Effect)
	}
	return func(w balancer.Request, sent bool) proxy.Answer {
		status, again := drain.FinalAnswer(effects[w.Class], sent) // a class that is not known, and a keyed one without a key, count as unsafe
		a := proxy.Answer{Status: status, Header: http.Header{}, Body: []byte("this gateway is taken out of service\n")}
		if again {
			a.RetryAfter = time.Second
		}
		return a
	}
}

func effectName(e config.Effect) string {
	switch balancer.Effect(e) {
	case balancer.Idempotent:
		return "safe"
	case balancer.IdempotentWithKey:
		return "keyed"
	}
	return "unsafe"
}

// collectFleet gives the fleet's metrics.
func collectFleet(s *fleet.Status, put func(name string, v float64, labels ...string)) {
	states := map[membership.State]int{membership.Joining: 0, membership.Serving: 0, membership.Draining: 0, membership.Leaving: 0, membership.Witness: 0, membership.Suspect: 0, membership.Dead: 0}
	for _, m := range s.Members {
		states[m.State]++
	}
	for state, n := range states {
		put("fmembers", float64(n), string(state))
	}
	put("fconflicts", float64(s.Conflicts))
	put("fcontact", s.Contact.Age.Seconds())
	put("fsent", float64(s.SentBytes))
	if v := s.Vote; v != nil {
		for _, state := range []string{"waiting", "follower", "candidate", "leader", "stopped"} {
			n := 0.0
			if v.State == state {
				n = 1
			}
			put("fvote", n, state)
		}
	}
	if b := s.Ledger; b != nil {
		for _, state := range []drain.State{drain.Pending, drain.Granted, drain.Draining, drain.Drained, drain.Overdue, drain.Cancelled} {
			put("forders", float64(b.Drains[state]), string(state))
		}
		halted := 0.0
		if b.Halted {
			halted = 1
		}
		put("fhalted", halted)
		for _, state := range []release.State{release.Running, release.Halted, release.RollingBack} {
			is := 0.0
			if b.Release == state {
				is = 1
			}
			put("frelease", is, string(state))
		}
		for _, g := range b.Budgets {
			put("fbudget", float64(g.Allowed), g.Name, g.Scope, "may be out")
			put("fbudget", float64(len(g.Unavailable)), g.Name, g.Scope, "out")
		}
	}
	for _, d := range s.Tasks {
		held := 0.0
		if d.State == leaderelection.Leading {
			held = 1
		}
		put("fduty", held, d.Name)
		put("fheld", float64(d.TimesLed), d.Name)
		put("foverdue", float64(d.TimesOverdue), d.Name)
	}
}
