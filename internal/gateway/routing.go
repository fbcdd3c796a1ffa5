package gateway

import (
	"maps"
	"time"

	"robindrum/balancer"
	"robindrum/internal/config"
	"robindrum/internal/route"
)

// withoutKeySuffix is appended to the class of a request that needs an idempotency key and has none. Requests of such a
// class are not idempotent.
const withoutKeySuffix = "!unkeyed"

// routing is an immutable snapshot of the state that is needed to route requests.
type routing struct {
	configured        *route.Table
	dynamic           *route.Table // of a control plane, used if no route in configured matches; nil if none
	clusters          map[string]*cluster
	keyRequired       map[string]bool // classes that are idempotent only with a key
	rateLimits        []*rateLimit
	latencyObjectives map[string]time.Duration // by class
}

// pendingRouting is a routing that is not used before the clusters that it newly refers to have endpoints.
type pendingRouting struct {
	routing *routing
	since   time.Duration // when the first routing started to wait
	timer   *time.Timer
}

// reconcile updates clusters and routes to match the configuration and its sources. A nil table means that the configured
// routes are unchanged.
func (g *Gateway) reconcile(table *route.Table) {
	g.reconcileClusters()
	if table == nil {
		table = g.latestRouting().configured
	}
	g.proposeRouting(g.newRouting(table))
}

// latestRouting returns the pending routing, or the routing in use if none is pending.
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

// needsKey reports whether the requests of a class are idempotent only if they have an idempotency key.
func needsKey(class *config.Class) bool {
	return balancer.Effect(class.Effect) == balancer.IdempotentWithKey
}

// dynamicRoutes returns the routes of the control plane. The routes in use are kept until it has sent those that the gateway
// is now subscribed to.
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

// proposeRouting puts a routing into use. If the routing newly refers to clusters without endpoints, it is pending until
// they have endpoints, at most for maxRoutingWait.
func (g *Gateway) proposeRouting(r *routing) {
	now := g.Now()
	since := now
	if previous := g.takePendingRouting(); previous != nil {
		since = previous.since
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

// takePendingRouting cancels the pending routing and returns it, or nil if there is none.
func (g *Gateway) takePendingRouting() *pendingRouting {
	pending := g.pendingRouting
	if pending != nil {
		pending.timer.Stop()
		g.pendingRouting = nil
	}
	return pending
}

// updateAllButRoutes puts the clusters, classes and rate limits of a routing into use while its routes are pending.
func (g *Gateway) updateAllButRoutes(r *routing) {
	updated := *r
	current := g.routing.Load()
	updated.configured = current.configured
	updated.dynamic = current.dynamic
	g.routing.Store(&updated)
}

// maxRoutingWait returns the maximum time for which a routing is pending.
func (g *Gateway) maxRoutingWait() time.Duration {
	if g.config.XDS == nil {
		return 0
	}
	return g.config.XDS.InitialFetchTimeout.D()
}

// useRouting puts a routing into use, and removes leaving clusters that it does not refer to.
func (g *Gateway) useRouting(r *routing) {
	named := r.clusterNames()
	var unused []*cluster
	for _, c := range g.clusters {
		if c.isLeaving() && !named[c.name] {
			unused = append(unused, c)
		}
	}
	if len(unused) > 0 {
		r.clusters = maps.Clone(r.clusters) // requests may already be reading the map
		for _, c := range unused {
			delete(r.clusters, c.name)
		}
	}
	g.routing.Store(r)
	for _, c := range unused {
		g.removeCluster(c, removalDelay)
	}
}

// mustWaitForEndpoints reports whether a routing newly refers to a cluster that has no usable endpoints yet, while a cluster
// of the routing in use has some.
func (g *Gateway) mustWaitForEndpoints(r *routing) bool {
	current := g.routing.Load().clusterNames()
	currentUsable := false
	for name := range current {
		currentUsable = currentUsable || g.hasUsableEndpoints(name)
	}
	if !currentUsable {
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

// clusterNames returns the names of the clusters that the routes refer to.
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
