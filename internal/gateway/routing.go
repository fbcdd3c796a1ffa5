package gateway

import (
	"maps"
	"time"

	"robindrum/balancer"
	"robindrum/internal/config"
	"robindrum/internal/route"
)

// withoutKey is appended to the class of a request that needs an idempotency key and has none. Such a class is never
// retried.
const withoutKey = "!unkeyed"

// routing is an immutable snapshot of what requests need.
type routing struct {
	configured        *route.Table
	dynamic           *route.Table // of a control plane, used where configured has no route; nil: none
	clusters          map[string]*cluster
	keyRequired       map[string]bool // classes that are idempotent with a key only
	rateLimits        []*rateLimit
	latencyObjectives map[string]time.Duration // by class
}

// pendingRouting is a routing that waits until the clusters that it names anew have endpoints.
type pendingRouting struct {
	routing *routing
	since   time.Duration
	timer   *time.Timer
}

// reconcile brings clusters and routes up to date with the configuration and its sources. A nil table means that the
// configured routes are unchanged.
func (g *Gateway) reconcile(table *route.Table) {
	g.reconcileClusters()
	if table == nil {
		table = g.latestRouting().configured
	}
	g.proposeRouting(g.newRouting(table))
}

// latestRouting returns the routing that waits for endpoints, or the one in use where none does.
func (g *Gateway) latestRouting() *routing {
	if g.pendingRouting != nil {
		return g.pendingRouting.routing
	}
	return g.routing.Load()
}

func (g *Gateway) newRouting(table *route.Table) *routing {
	r := &routing{
		configured:        table,
		dynamic:           g.dynamicRoutes(),
		clusters:          maps.Clone(g.clusters),
		keyRequired:       map[string]bool{},
		rateLimits:        g.rateLimits,
		latencyObjectives: map[string]time.Duration{},
	}
	for i := range g.config.Classes {
		class := &g.config.Classes[i]
		r.latencyObjectives[class.Name] = class.LatencyObjective.D()
		if needsKey(class) {
			r.keyRequired[class.Name] = true
		}
	}
	return r
}

// needsKey reports whether requests of a class are idempotent only with an idempotency key.
func needsKey(class *config.Class) bool {
	return balancer.Effect(class.Effect) == balancer.IdempotentWithKey
}

// dynamicRoutes returns the routes of the control plane. Until it has sent those that are subscribed to now, the former
// ones stay in use.
func (g *Gateway) dynamicRoutes() *route.Table {
	w := g.watches[xdsWatch]
	if w == nil {
		return nil
	}
	routes, reason := w.routes(g.config.XDS)
	switch {
	case routes != nil:
		return routes.Table
	case reason == "":
		return g.routing.Load().dynamic
	}
	return nil
}

// proposeRouting uses a routing at once, or once the clusters that it names anew have endpoints or the time for that has
// passed.
func (g *Gateway) proposeRouting(r *routing) {
	now := g.Now()
	since := now
	if former := g.takePendingRouting(); former != nil {
		since = former.since
	}
	wait := g.maxRoutingWait() - (now - since)
	if wait <= 0 || g.stopping || !g.mustWaitForEndpoints(r) {
		g.useRouting(r)
		return
	}
	g.updateAllButRoutes(r)
	pending := &pendingRouting{routing: r, since: since}
	pending.timer = time.AfterFunc(wait, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.pendingRouting == pending {
			g.pendingRouting = nil
			g.useRouting(pending.routing)
		}
	})
	g.pendingRouting = pending
}

// takePendingRouting stops the routing that waits, if there is one, and returns it.
func (g *Gateway) takePendingRouting() *pendingRouting {
	pending := g.pendingRouting
	if pending != nil {
		pending.timer.Stop()
		g.pendingRouting = nil
	}
	return pending
}

// updateAllButRoutes takes over clusters and classes of a routing whose routes have to wait.
func (g *Gateway) updateAllButRoutes(r *routing) {
	updated := *r
	current := g.routing.Load()
	updated.configured = current.configured
	updated.dynamic = current.dynamic
	g.routing.Store(&updated)
}

// maxRoutingWait returns how long new routes wait for endpoints of their clusters.
func (g *Gateway) maxRoutingWait() time.Duration {
	if g.config.XDS == nil {
		return 0
	}
	return g.config.XDS.InitialFetchTimeout.D()
}

// useRouting puts a routing into use, and removes the clusters that only waited for their routes to go.
func (g *Gateway) useRouting(r *routing) {
	named := r.clusterNames()
	var unused []*cluster
	for _, c := range g.clusters {
		if c.isLeaving() && !named[c.name] {
			unused = append(unused, c)
		}
	}
	if len(unused) > 0 {
		r.clusters = maps.Clone(r.clusters) // requests may be reading it already
		for _, c := range unused {
			delete(r.clusters, c.name)
		}
	}
	g.routing.Store(r)
	for _, c := range unused {
		g.removeCluster(c, removalDelay)
	}
}

// mustWaitForEndpoints reports whether a routing names a cluster that the one in use does not and that has no endpoints
// yet, while the one in use still works.
func (g *Gateway) mustWaitForEndpoints(r *routing) bool {
	current := g.routing.Load().clusterNames()
	works := false
	for name := range current {
		works = works || g.hasUsableEndpoints(name)
	}
	if !works {
		return false
	}
	for name := range r.clusterNames() {
		if !current[name] && !g.hasUsableEndpoints(name) {
			return true
		}
	}
	return false
}

func (g *Gateway) hasUsableEndpoints(cluster string) bool {
	c := g.clusters[cluster]
	return c != nil && c.view.Usable() > 0
}

// clusterNames returns the clusters that any route names.
func (r *routing) clusterNames() map[string]bool {
	names := map[string]bool{}
	for _, table := range []*route.Table{r.configured, r.dynamic} {
		if table == nil {
			continue
		}
		for _, name := range table.Clusters() {
			names[name] = true
		}
	}
	return names
}
