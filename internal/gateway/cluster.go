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
	name    string
	spec    clusterSpec
	view    endpoints.View
	current *coreInstance
	core    atomic.Pointer[proxy.Core]
	// What it holds of the shared limits, all its cores together: one that ends and one that begins own one part.
	connectionQuota *backend.Share
	memoryQuota     *resource.Share
	requestQuota    *resource.Share
	// overprovision is what the control plane says in place of the configuration's; 0: nothing.
	overprovision float64
	dropThreshold atomic.Uint64 // of 1<<32 requests, how many are to be refused
	totals        *clusterTotals
	staleTimer    *time.Timer   // runs when its assignment's time is over
	removalTimer  *time.Timer   // runs while the cluster is to go but routes still lead to it
	rejection     string        // why the newest word is not in use
	reserved      config.Amount // what is booked as its own
	warnings      []string
}

// coreInstance is a core, of a cluster.
type coreInstance struct {
	core    *proxy.Core
	cluster *cluster
	// Both belong to the core, and are looked at by its Inspect alone.
	localities *locality.Picker // nil: none
	admission  *admission.Controller
}

// clusterTotals is what cores that are gone did for the clusters of one name.
type clusterTotals struct {
	proxy.Stats
	dropped atomic.Uint64 // refused by drop_overloads
}

// maxClusterTotals is how many names' counters are kept. Danger: names that are ever new.
const maxClusterTotals = 1024

// totalsOf gives the counters of a name. A cluster that comes back goes on with its own: counters never go back.
func (g *Gateway) totalsOf(name string) *clusterTotals {
	p := g.totals[name]
	if p == nil {
		if len(g.totals) >= maxClusterTotals {
			used := map[*clusterTotals]bool{}
			for _, c := range g.clusters {
				used[c.totals] = true
			}
			for in := range g.retired {
				used[in.cluster.totals] = true
			}
			maps.DeleteFunc(g.totals, func(_ string, p *clusterTotals) bool { return !used[p] })
		}
		p = &clusterTotals{}
		g.totals[name] = p
	}
	return p
}

// clusterSpec is what a cluster is to be.
type clusterSpec struct {
	config          config.Cluster
	quota           config.Part
	classes         []config.Class
	zone            string
	gateway         config.Gateway
	zones           *config.Zones
	source          string // static, or a feed's name
	service         string
	staticEndpoints []config.Endpoint
	inline          *xds.Assignment // of a STATIC cluster that a control plane names
	version         string
	localityWeights bool // the weights of localities count
	warnings        []string
}

// sameCore tells whether a core made for one serves for the other: all that a core is told at its start is alike.
func (s *clusterSpec) sameCore(o *clusterSpec) bool {
	a, b := s.config, o.config
	for _, c := range []*config.Cluster{&a, &b} {
		c.Endpoints, c.File, c.XDS, c.Part = nil, nil, nil, nil
	}
	return reflect.DeepEqual(a, b) && reflect.DeepEqual(s.classes, o.classes) && s.zone == o.zone && s.gateway == o.gateway && reflect.DeepEqual(s.zones, o.zones)
}

// clusterSpecs gives what all clusters are to be: the configuration's, and behind them the control plane's.
func (g *Gateway) clusterSpecs() map[string]*clusterSpec {
	m := map[string]*clusterSpec{}
	for i := range g.config.Clusters {
		c := g.config.Clusters[i]
		s := &clusterSpec{config: c, quota: g.config.Of(&c), source: "static", staticEndpoints: c.Endpoints}
		if n := c.Breakers.MaxConnections; n > 0 {
			s.quota.Max.Descriptors = n
		}
		switch {
		case c.File != nil:
			s.source, s.service = fileWatch(g.config.Resolve(c.File.Path)), cmp.Or(c.File.Service, c.Name)
		case c.XDS != nil:
			s.source, s.service = xdsWatch, cmp.Or(c.XDS.Service, c.Name)
		}
		m[c.Name] = s
	}
	var named []*xds.Cluster
	f := g.watches[xdsWatch]
	if f != nil && g.config.XDS.Clusters {
		for _, r := range f.all(xds.ClusterType) {
			if c, ok := r.Value.(*xds.Cluster); ok && m[c.Name] == nil {
				named = append(named, c)
				m[c.Name] = &clusterSpec{config: config.Cluster{Name: c.Name, ConnectTimeout: config.Duration(c.ConnectTimeout),
					IdleTimeout: config.Duration(c.IdleTimeout), WarmUp: config.WarmUp{Time: config.Duration(c.WarmUp)}},
					source: xdsWatch, service: c.Service, inline: c.Static, localityWeights: c.Localities, version: r.Version, warnings: r.Warnings}
			}
		}
	}
	// Clusters that the configuration does not name share a part of what it leaves.
	l, n := g.config.Limits, max(len(named), 1)
	for _, c := range named {
		s := m[c.Name]
		s.config.Breakers = configBreakers(&c.Breakers)
		if c.High != (xds.Breakers{}) {
			s.config.Breakers.High = new(configBreakers(&c.High))
		}
		s.config.Fill()
		s.quota = config.Part{Guaranteed: config.Amount{Descriptors: l.Descriptors / 8 / n, Memory: l.Memory / 4 / config.Size(n),
			Requests: l.Requests / 4 / n}, Max: l.PerCluster.Max}
		if c.MaxConns > 0 {
			s.quota.Max.Descriptors = c.MaxConns
		}
	}
	for _, s := range m {
		s.classes, s.zone, s.gateway, s.zones = g.config.Classes, g.config.Zone, g.config.Gateway, g.config.Zones
	}
	return m
}

func configBreakers(b *xds.Breakers) config.Breakers {
	c := config.Breakers{MaxRequests: b.MaxRequests, MaxPending: b.MaxPending, MaxRetries: b.MaxRetries}
	if b.RetryBudget != nil {
		c.RetryBudget = &config.RetryBudget{Percent: b.RetryBudget.Percent, MinConcurrency: b.RetryBudget.MinRetries}
	}
	return c
}

// reconcileClusters makes, changes and drops clusters.
func (g *Gateway) reconcileClusters() {
	specs := g.clusterSpecs()
	for _, name := range slices.Sorted(maps.Keys(g.clusters)) {
		if c := g.clusters[name]; specs[name] == nil && !c.isLeaving() {
			g.scheduleRemoval(c)
		}
	}
	var begin, all []*cluster
	for _, name := range slices.Sorted(maps.Keys(specs)) {
		s := specs[name]
		c := g.clusters[name]
		if c == nil {
			c = &cluster{name: name, totals: g.totalsOf(name), connectionQuota: g.descriptorBudget.Share(0, 0)}
			c.memoryQuota, _ = g.memoryPool.Share(0, 0) // nothing can always be kept
			c.requestQuota, _ = g.requestPool.Share(0, 0)
			g.clusters[name] = c
		}
		c.cancelRemoval()
		old := c.spec
		c.spec, c.warnings = *s, s.warnings
		if c.current == nil || !s.sameCore(&old) {
			begin = append(begin, c)
		}
		all = append(all, c)
	}
	g.reserveQuotas()
	for _, c := range begin {
		g.startCore(c)
	}
	for _, c := range all {
		g.refreshCluster(c)
	}
}

// reserveQuotas keeps for each cluster its guaranteed part: first those that shrink, so that there is room for those that
// grow. One that is leaving keeps its own until it is gone.
func (g *Gateway) reserveQuotas() {
	g.quotasMissing = false
	names := slices.Sorted(maps.Keys(g.clusters))
	for _, name := range names {
		if c := g.clusters[name]; !c.isLeaving() {
			had, want := c.reserved, c.spec.quota.Guaranteed
			c.reserve(config.Amount{Descriptors: min(had.Descriptors, want.Descriptors), Memory: min(had.Memory, want.Memory),
				Requests: min(had.Requests, want.Requests)}, c.spec.quota.Max)
		}
	}
	for _, name := range names {
		c := g.clusters[name]
		if c.isLeaving() {
			continue
		}
		if err := c.reserve(c.spec.quota.Guaranteed, c.spec.quota.Max); err != nil {
			g.quotasMissing = true
			g.log.Warn("less is kept for the cluster than its part until others have given up theirs", "cluster", name, "err", err)
		}
	}
}

// reserve books what is a cluster's own. What cannot be had stays as it was.
func (c *cluster) reserve(own, most config.Amount) error {
	c.connectionQuota.Resize(own.Descriptors, most.Descriptors)
	c.reserved.Descriptors = own.Descriptors
	errMem := c.memoryQuota.Resize(int64(own.Memory), int64(most.Memory))
	if errMem == nil {
		c.reserved.Memory = own.Memory
	}
	errReq := c.requestQuota.Resize(int64(own.Requests), int64(most.Requests))
	if errReq == nil {
		c.reserved.Requests = own.Requests
	}
	return errors.Join(errMem, errReq)
}

// removalDelay is how long a cluster that is withdrawn goes on while routes lead to it: those that lead elsewhere may be on
// their way. It is well within the second in which a removed endpoint gets its last request.
const removalDelay = 500 * time.Millisecond

// scheduleRemoval ends a cluster, as soon as no route in use leads to it.
func (g *Gateway) scheduleRemoval(c *cluster) {
	c.removalTimer = time.AfterFunc(removalDelay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.clusters[c.name] == c && c.isLeaving() && !g.stopping {
			g.removeCluster(c, 0)
			if p := g.pendingRouting; p != nil {
				g.proposeRouting(p.routing)
			} else {
				r := *g.routing.Load()
				r.clusters = maps.Clone(g.clusters)
				g.routing.Store(&r)
			}
		}
	})
}

func (c *cluster) isLeaving() bool { return c.removalTimer != nil }

func (c *cluster) cancelRemoval() {
	if c.removalTimer != nil {
		c.removalTimer.Stop()
		c.removalTimer = nil
	}
}

// removeCluster ends a cluster that no route leads to, or whose time is over. What is in hand ends where it is; after the time
// given nothing is sent for it any more, not even again.
func (g *Gateway) removeCluster(c *cluster, after time.Duration) {
	delete(g.clusters, c.name)
	c.cancelRemoval()
	c.stopStaleTimer()
	g.retireCore(c.current)                          // first: what comes from now on is routed anew
	_ = c.reserve(config.Amount{}, c.spec.quota.Max) // less can always be had; what it holds goes back as it ends
	if g.quotasMissing && !g.stopping {
		g.reserveQuotas()
	}
	gone := func() { g.applyUpdate(c, endpoints.Update{Source: c.spec.source, Stale: "the cluster is gone"}) }
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

func (c *cluster) stopStaleTimer() {
	if c.staleTimer != nil {
		c.staleTimer.Stop()
		c.staleTimer = nil
	}
}

// startCore gives a cluster a new core; the old one ends with what it has in hand.
func (g *Gateway) startCore(c *cluster) {
	in := &coreInstance{cluster: c}
	set := balancerSettings(&c.spec)
	in.admission = g.newAdmissionController(c)
	set.Admission = in.admission
	if c.spec.zones != nil {
		in.localities = g.newLocalityPicker(c)
		set.Localities = in.localities
	}
	pool := backend.NewPool(backend.Options{ConnectTimeout: c.spec.config.ConnectTimeout.D(), IdleTimeout: c.spec.config.IdleTimeout.D(),
		IsAnswer: func(status int) bool { return status < http.StatusInternalServerError },
		// What the origin says goes: how long its answers are and when they pause is its own affair, within the deadline and
		// the time that a client is kept for nothing.
		PauseTimeout: time.Minute, StallTimeout: 5 * time.Minute, MaxResponseBytes: math.MaxInt64, StreamResponse: isEventStream}, c.connectionQuota)
	core, err := proxy.NewCore(proxy.Options{Settings: set, Seed: uint64(g.Now()), Open: c.requestQuota, Memory: c.memoryQuota, HonorRetryAfter: true, OnCompleted: g.recordCompleted}, pool)
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
	if c.current != nil {
		g.retireCore(c.current)
	}
	c.current = in
	c.core.Store(core)
}

// retireCore ends a core once it has nothing in hand.
func (g *Gateway) retireCore(in *coreInstance) {
	g.retired[in] = struct{}{}
	idle := in.core.Retire()
	g.background.Go(func() {
		select {
		case <-idle:
		case <-g.ctx.Done():
			return // Close ends it
		}
		in.core.Close()
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.retired, in)
		in.cluster.totals.Stats.Add(in.core.Stats())
	})
}

// isEventStream tells whether an answer is a stream of server-sent events, which are of use only as they come.
func isEventStream(head http.Header) bool {
	t, _, _ := strings.Cut(head.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(t), "text/event-stream")
}

// balancerSettings words a cluster for the decision module.
func balancerSettings(s *clusterSpec) balancer.Settings {
	c := s.config
	set := balancer.Settings{Zone: s.zone, Index: s.gateway.Number, Proxies: s.gateway.Of, MaxAttempts: c.Attempts, ParallelAttempts: *c.Hedge,
		MayCancel: true, RetryAfter: true, MaxRetryAfter: 5 * time.Second, ConnectTimeout: c.ConnectTimeout.D(), ConnIdle: c.IdleTimeout.D(),
		Multiplex: 1, DrainGrace: c.DrainGrace.D(), WarmUpTime: c.WarmUp.Time.D(), WarmUpShare: c.WarmUp.Share, OverloadMultiple: c.WarmUp.Max,
		OverloadWindow: time.Second, Price: balancer.Prices{CrossZone: *c.CrossZone}, Weights: balancer.WeightNominal}
	for _, k := range s.classes {
		lc := balancer.Class{Name: k.Name, LatencyObjective: k.Wanted.D(), Deadline: k.Deadline.D(), Effect: balancer.Effect(k.Effect),
			Group: balancer.Group(k.Group), Window: k.Window.D(), PriorityWeight: k.Worth}
		set.Classes = append(set.Classes, lc)
		if lc.Effect == balancer.IdempotentWithKey {
			lc.Name, lc.Effect, lc.Window, lc.Group = lc.Name+withoutKey, balancer.NonIdempotent, 0, 0
			set.Classes = append(set.Classes, lc)
		}
	}
	return set
}

// refreshCluster brings a cluster up to date with its source.
func (g *Gateway) refreshCluster(c *cluster) {
	s := &c.spec
	switch {
	case s.inline != nil:
		g.applyAssignment(c, s.inline, s.version, g.Now())
	case s.source == "static":
		w := endpoints.Update{Source: "static"}
		for _, e := range s.staticEndpoints {
			w.Endpoints = append(w.Endpoints, endpoints.Endpoint{Address: e.Address, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell,
				Weight: e.Weight, Priority: e.Priority})
		}
		g.applyUpdate(c, w)
	default:
		f := g.watches[s.source]
		if f == nil {
			return
		}
		r, ok := f.get(xds.EndpointType, s.service)
		if !ok {
			return // no word yet
		}
		c.rejection = r.Rejected
		c.warnings = append(slices.Clone(s.warnings), r.Warnings...)
		switch a, ok := r.Value.(*xds.Assignment); {
		case ok:
			g.applyAssignment(c, a, r.Version, r.Updated)
		case r.State == xds.Absent:
			c.stopStaleTimer()
			c.dropThreshold.Store(0)
			g.applyUpdate(c, endpoints.Update{Source: sourceName(s.source), Stale: r.Why})
		}
	}
}

// applyAssignment gives a cluster its assignment, which may end by time.
func (g *Gateway) applyAssignment(c *cluster, a *xds.Assignment, version string, updated time.Duration) {
	c.stopStaleTimer()
	c.dropThreshold.Store(uint64(math.Round(a.Drop * (1 << 32))))
	c.overprovision = a.Overprovision
	c.current.updateOverprovision()
	w := a.Word(sourceName(c.spec.source), version, c.spec.localityWeights)
	if a.StaleAfter > 0 {
		left := updated + a.StaleAfter - g.Now()
		if left <= 0 {
			w.Stale = fmt.Sprintf("nothing was said of it for %v", a.StaleAfter)
		} else {
			c.staleTimer = time.AfterFunc(left, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				if g.clusters[c.name] == c && !g.stopping {
					g.refreshCluster(c)
				}
			})
		}
	}
	g.applyUpdate(c, w)
}

// applyUpdate hands a source's word to a cluster's cores.
func (g *Gateway) applyUpdate(c *cluster, w endpoints.Update) {
	if len(g.drainedTargets) > 0 {
		w.Endpoints = slices.Clone(w.Endpoints)
		for i := range w.Endpoints {
			e := &w.Endpoints[i]
			e.DrainedByFleet = slices.ContainsFunc(g.drainedTargets, func(t drain.Target) bool { return t.MatchesEndpoint(c.name, e.Address, e.Zone) })
		}
	}
	u := c.view.Apply(g.Now(), w)
	if u == nil {
		return
	}
	c.current.core.UpdateEndpoints(*u)
	for in := range g.retired {
		if in.cluster == c {
			in.core.UpdateEndpoints(*u)
		}
	}
}
