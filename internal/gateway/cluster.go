package gateway

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"robindrum/balancer"
	"robindrum/internal/admission"
	"robindrum/internal/backend"
	"robindrum/internal/config"
	"robindrum/internal/drain"
	"robindrum/internal/endpoints"
	"robindrum/internal/locality"
	"robindrum/internal/proxy"
	"robindrum/internal/resource"
	"robindrum/internal/xds"
)

// cluster is one that is in use. Its view outlives its cores: a core that a new configuration brings begins with the
// last word, and one that it retires hears the news until its last request is answered.
type cluster struct {
	name string
	spec spec
	view endpoints.View
	in   *instance
	core atomic.Pointer[proxy.Core]
	// What it holds of the shared limits, all its cores together: one that ends and one that begins own one part.
	conns    *backend.Share
	mem      *resource.Share
	requests *resource.Share
	// overprovision is what the control plane says in place of the configuration's; 0: nothing.
	overprovision float64
	drop          atomic.Uint64 // of 1<<32 requests, how many are to be refused
	past          *past
	stale         *time.Timer   // runs when its assignment's time is over
	leave         *time.Timer   // runs while the cluster is to go but routes still lead to it
	refused       string        // why the newest word is not in use
	kept          config.Amount // what is booked as its own
	warn          []string
}

// instance is a core, of a cluster.
type instance struct {
	core *proxy.Core
	of   *cluster
	// Both belong to the core, and are looked at by its Inspect alone.
	zones     *locality.Picker // nil: none
	admission *admission.Controller
}

// past is what cores that are gone did for the clusters of one name.
type past struct {
	proxy.Stats
	dropped atomic.Uint64 // refused by drop_overloads
}

// maxPast is how many names' counters are kept. Danger: names that are ever new.
const maxPast = 1024

// pastOf gives the counters of a name. A cluster that comes back goes on with its own: counters never go back.
func (g *Gateway) pastOf(name string) *past {
	p := g.past[name]
	if p == nil {
		if len(g.past) >= maxPast {
			used := map[*past]bool{}
			for _, c := range g.clusters {
				used[c.past] = true
			}
			for in := range g.old {
				used[in.of.past] = true
			}
			maps.DeleteFunc(g.past, func(_ string, p *past) bool { return !used[p] })
		}
		p = &past{}
		g.past[name] = p
	}
	return p
}

// spec is what a cluster is to be.
type spec struct {
	conf    config.Cluster
	part    config.Part
	classes []config.Class
	zone    string
	gateway config.Gateway
	zones   *config.Zones
	source  string // static, or a feed's name
	service string
	static  []config.Endpoint
	inline  *xds.Assignment // of a STATIC cluster that a control plane names
	version string
	local   bool // the weights of localities count
	warn    []string
}

// sameCore tells whether a core made for one serves for the other: all that a core is told at its start is alike.
func (s *spec) sameCore(o *spec) bool {
	a, b := s.conf, o.conf
	for _, c := range []*config.Cluster{&a, &b} {
		c.Endpoints, c.File, c.XDS, c.Part = nil, nil, nil, nil
	}
	return reflect.DeepEqual(a, b) && reflect.DeepEqual(s.classes, o.classes) && s.zone == o.zone && s.gateway == o.gateway && reflect.DeepEqual(s.zones, o.zones)
}

// specs gives what all clusters are to be: the configuration's, and behind them the control plane's.
func (g *Gateway) specs() map[string]*spec {
	m := map[string]*spec{}
	for i := range g.file.Clusters {
		c := g.file.Clusters[i]
		s := &spec{conf: c, part: g.file.Of(&c), source: "static", static: c.Endpoints}
		if n := c.Breakers.MaxConnections; n > 0 {
			s.part.Max.Descriptors = n
		}
		switch {
		case c.File != nil:
			s.source, s.service = fileFeed(g.file.Resolve(c.File.Path)), cmp.Or(c.File.Service, c.Name)
		case c.XDS != nil:
			s.source, s.service = xdsFeed, cmp.Or(c.XDS.Service, c.Name)
		}
		m[c.Name] = s
	}
	var named []*xds.Cluster
	f := g.feeds[xdsFeed]
	if f != nil && g.file.XDS.Clusters {
		for _, r := range f.all(xds.ClusterType) {
			if c, ok := r.Value.(*xds.Cluster); ok && m[c.Name] == nil {
				named = append(named, c)
				m[c.Name] = &spec{conf: config.Cluster{Name: c.Name, ConnectTimeout: config.Duration(c.ConnectTimeout),
					IdleTimeout: config.Duration(c.IdleTimeout), WarmUp: config.WarmUp{Time: config.Duration(c.WarmUp)}},
					source: xdsFeed, service: c.Service, inline: c.Static, local: c.Localities, version: r.Version, warn: r.Warnings}
			}
		}
	}
	// Clusters that the configuration does not name share a part of what it leaves.
	l, n := g.file.Limits, max(len(named), 1)
	for _, c := range named {
		s := m[c.Name]
		s.conf.Breakers = breakers(&c.Breakers)
		if c.High != (xds.Breakers{}) {
			s.conf.Breakers.High = new(breakers(&c.High))
		}
		s.conf.Fill()
		s.part = config.Part{Guaranteed: config.Amount{Descriptors: l.Descriptors / 8 / n, Memory: l.Memory / 4 / config.Size(n),
			Requests: l.Requests / 4 / n}, Max: l.PerCluster.Max}
		if c.MaxConns > 0 {
			s.part.Max.Descriptors = c.MaxConns
		}
	}
	for _, s := range m {
		s.classes, s.zone, s.gateway, s.zones = g.file.Classes, g.file.Zone, g.file.Gateway, g.file.Zones
	}
	return m
}

func breakers(b *xds.Breakers) config.Breakers {
	c := config.Breakers{MaxRequests: b.MaxRequests, MaxPending: b.MaxPending, MaxRetries: b.MaxRetries}
	if b.RetryBudget != nil {
		c.RetryBudget = &config.RetryBudget{Percent: b.RetryBudget.Percent, MinConcurrency: b.RetryBudget.MinRetries}
	}
	return c
}

// syncClusters makes, changes and drops clusters.
func (g *Gateway) syncClusters() {
	specs := g.specs()
	for _, name := range slices.Sorted(maps.Keys(g.clusters)) {
		if c := g.clusters[name]; specs[name] == nil && !c.leaving() {
			g.leave(c)
		}
	}
	var begin, all []*cluster
	for _, name := range slices.Sorted(maps.Keys(specs)) {
		s := specs[name]
		c := g.clusters[name]
		if c == nil {
			c = &cluster{name: name, past: g.pastOf(name), conns: g.budget.Share(0, 0)}
			c.mem, _ = g.memory.Share(0, 0) // nothing can always be kept
			c.requests, _ = g.open.Share(0, 0)
			g.clusters[name] = c
		}
		c.stay()
		old := c.spec
		c.spec, c.warn = *s, s.warn
		if c.in == nil || !s.sameCore(&old) {
			begin = append(begin, c)
		}
		all = append(all, c)
	}
	g.apportion()
	for _, c := range begin {
		g.begin(c)
	}
	for _, c := range all {
		g.hear(c)
	}
}

// apportion keeps for each cluster its guaranteed part: first those that shrink, so that there is room for those that
// grow. One that is leaving keeps its own until it is gone.
func (g *Gateway) apportion() {
	g.short = false
	names := slices.Sorted(maps.Keys(g.clusters))
	for _, name := range names {
		if c := g.clusters[name]; !c.leaving() {
			had, want := c.kept, c.spec.part.Guaranteed
			c.keep(config.Amount{Descriptors: min(had.Descriptors, want.Descriptors), Memory: min(had.Memory, want.Memory),
				Requests: min(had.Requests, want.Requests)}, c.spec.part.Max)
		}
	}
	for _, name := range names {
		c := g.clusters[name]
		if c.leaving() {
			continue
		}
		if err := c.keep(c.spec.part.Guaranteed, c.spec.part.Max); err != nil {
			g.short = true
			g.log.Warn("less is kept for the cluster than its part until others have given up theirs", "cluster", name, "err", err)
		}
	}
}

// keep books what is a cluster's own. What cannot be had stays as it was.
func (c *cluster) keep(own, most config.Amount) error {
	c.conns.Resize(own.Descriptors, most.Descriptors)
	c.kept.Descriptors = own.Descriptors
	errMem := c.mem.Resize(int64(own.Memory), int64(most.Memory))
	if errMem == nil {
		c.kept.Memory = own.Memory
	}
	errReq := c.requests.Resize(int64(own.Requests), int64(most.Requests))
	if errReq == nil {
		c.kept.Requests = own.Requests
	}
	return errors.Join(errMem, errReq)
}

// leaveTime is how long a cluster that is withdrawn goes on while routes lead to it: those that lead elsewhere may be on
// their way. It is well within the second in which a removed endpoint gets its last request.
const leaveTime = 500 * time.Millisecond

// leave ends a cluster, as soon as no route in use leads to it.
func (g *Gateway) leave(c *cluster) {
	c.leave = time.AfterFunc(leaveTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.clusters[c.name] == c && c.leaving() && !g.stopping {
			g.drop(c, 0)
			if p := g.pending; p != nil {
				g.propose(p.routing)
			} else {
				r := *g.routes.Load()
				r.clusters = maps.Clone(g.clusters)
				g.routes.Store(&r)
			}
		}
	})
}

func (c *cluster) leaving() bool { return c.leave != nil }

func (c *cluster) stay() {
	if c.leave != nil {
		c.leave.Stop()
		c.leave = nil
	}
}

// drop ends a cluster that no route leads to, or whose time is over. What is in hand ends where it is; after the time
// given nothing is sent for it any more, not even again.
func (g *Gateway) drop(c *cluster, after time.Duration) {
	delete(g.clusters, c.name)
	c.stay()
	c.stopTimer()
	g.retire(c.in)                               // first: what comes from now on is routed anew
	_ = c.keep(config.Amount{}, c.spec.part.Max) // less can always be had; what it holds goes back as it ends
	if g.short && !g.stopping {
		g.apportion()
	}
	gone := func() { g.tell(c, endpoints.Update{Source: c.spec.source, Stale: "the cluster is gone"}) }
	if after <= 0 {
		gone()
		return
	}
	time.AfterFunc(after, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if !g.stopping {
			gone()
		}
	})
}

func (c *cluster) stopTimer() {
	if c.stale != nil {
		c.stale.Stop()
		c.stale = nil
	}
}

// begin gives a cluster a new core; the old one ends with what it has in hand.
func (g *Gateway) begin(c *cluster) {
	in := &instance{of: c}
	set := settings(&c.spec)
	in.admission = g.admission(c)
	set.Admission = in.admission
	if c.spec.zones != nil {
		in.zones = g.book(c)
		set.Localities = in.zones
	}
	pool := backend.NewPool(backend.Options{ConnectTimeout: c.spec.conf.ConnectTimeout.D(), IdleTimeout: c.spec.conf.IdleTimeout.D(),
		IsAnswer: func(status int) bool { return status < http.StatusInternalServerError },
		// What the origin says goes: how long its answers are and when they pause is its own affair, within the deadline and
		// the time that a client is kept for nothing.
		PauseTimeout: time.Minute, StallTimeout: 5 * time.Minute, MaxResponseBytes: math.MaxInt64, StreamResponse: events}, c.conns)
	core, err := proxy.NewCore(proxy.Options{Settings: set, Seed: uint64(g.Now()), Open: c.requests, Memory: c.mem, HonorRetryAfter: true, OnCompleted: g.ended}, pool)
	if err != nil { // the configuration was checked: this cannot be
		panic(fmt.Sprintf("cluster %s: %v", c.name, err))
	}
	in.core = core
	if c.view.SendPriorities != (c.spec.zones != nil) {
		c.view.SendPriorities = c.spec.zones != nil
		c.view.Recompute()
	}
	if u := c.view.Snapshot(); u != nil {
		core.UpdateEndpoints(*u)
	}
	if c.in != nil {
		g.retire(c.in)
	}
	c.in = in
	c.core.Store(core)
}

// retire ends a core once it has nothing in hand.
func (g *Gateway) retire(in *instance) {
	g.old[in] = struct{}{}
	idle := in.core.Retire()
	g.work.Go(func() {
		select {
		case <-idle:
		case <-g.life.Done():
			return // Close ends it
		}
		in.core.Close()
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.old, in)
		in.of.past.Stats.Add(in.core.Stats())
	})
}

// events tells whether an answer is a stream of server-sent events, which are of use only as they come.
func events(head http.Header) bool {
	t, _, _ := strings.Cut(head.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(t), "text/event-stream")
}

// settings words a cluster for the decision module.
func settings(s *spec) balancer.Settings {
	c := s.conf
	set := balancer.Settings{Zone: s.zone, Index: s.gateway.Number, Proxies: s.gateway.Of, MaxAttempts: c.Attempts, ParallelAttempts: *c.Hedge,
		MayCancel: true, RetryAfter: true, MaxRetryAfter: 5 * time.Second, ConnectTimeout: c.ConnectTimeout.D(), ConnIdle: c.IdleTimeout.D(),
		Multiplex: 1, DrainGrace: c.DrainGrace.D(), WarmUpTime: c.WarmUp.Time.D(), WarmUpShare: c.WarmUp.Share, OverloadMultiple: c.WarmUp.Max,
		OverloadWindow: time.Second, Price: balancer.Prices{CrossZone: *c.CrossZone}, Weights: balancer.WeightNominal}
	for _, k := range s.classes {
		lc := balancer.Class{Name: k.Name, LatencyObjective: k.Wanted.D(), Deadline: k.Deadline.D(), Effect: balancer.Effect(k.Effect),
			Group: balancer.Group(k.Group), Window: k.Window.D(), PriorityWeight: k.Worth}
		set.Classes = append(set.Classes, lc)
		if lc.Effect == balancer.IdempotentWithKey {
			lc.Name, lc.Effect, lc.Window, lc.Group = lc.Name+unkeyed, balancer.NonIdempotent, 0, 0
			set.Classes = append(set.Classes, lc)
		}
	}
	return set
}

// hear brings a cluster up to date with its source.
func (g *Gateway) hear(c *cluster) {
	s := &c.spec
	switch {
	case s.inline != nil:
		g.assign(c, s.inline, s.version, g.Now())
	case s.source == "static":
		w := endpoints.Update{Source: "static"}
		for _, e := range s.static {
			w.Endpoints = append(w.Endpoints, endpoints.Endpoint{Address: e.Address, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell,
				Weight: e.Weight, Priority: e.Priority})
		}
		g.tell(c, w)
	default:
		f := g.feeds[s.source]
		if f == nil {
			return
		}
		r, ok := f.get(xds.EndpointType, s.service)
		if !ok {
			return // no word yet
		}
		c.refused = r.Rejected
		c.warn = append(slices.Clone(s.warn), r.Warnings...)
		switch a, ok := r.Value.(*xds.Assignment); {
		case ok:
			g.assign(c, a, r.Version, r.Updated)
		case r.State == xds.Absent:
			c.stopTimer()
			c.drop.Store(0)
			g.tell(c, endpoints.Update{Source: sourceName(s.source), Stale: r.Why})
		}
	}
}

// assign gives a cluster its assignment, which may end by time.
func (g *Gateway) assign(c *cluster, a *xds.Assignment, version string, updated time.Duration) {
	c.stopTimer()
	c.drop.Store(uint64(math.Round(a.Drop * (1 << 32))))
	c.overprovision = a.Overprovision
	c.in.overprovision()
	w := a.Word(sourceName(c.spec.source), version, c.spec.local)
	if a.StaleAfter > 0 {
		left := updated + a.StaleAfter - g.Now()
		if left <= 0 {
			w.Stale = fmt.Sprintf("nothing was said of it for %v", a.StaleAfter)
		} else {
			c.stale = time.AfterFunc(left, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				if g.clusters[c.name] == c && !g.stopping {
					g.hear(c)
				}
			})
		}
	}
	g.tell(c, w)
}

// tell hands a source's word to a cluster's cores.
func (g *Gateway) tell(c *cluster, w endpoints.Update) {
	if len(g.held) > 0 {
		w.Endpoints = slices.Clone(w.Endpoints)
		for i := range w.Endpoints {
			e := &w.Endpoints[i]
			e.DrainedByFleet = slices.ContainsFunc(g.held, func(t drain.Target) bool { return t.MatchesEndpoint(c.name, e.Address, e.Zone) })
		}
	}
	u := c.view.Apply(g.Now(), w)
	if u == nil {
		return
	}
	c.in.core.UpdateEndpoints(*u)
	for in := range g.old {
		if in.of == c {
			in.core.UpdateEndpoints(*u)
		}
	}
}
