package gateway

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"robindrum/internal/admission"
	"robindrum/internal/backend"
	"robindrum/internal/config"
	"robindrum/internal/endpoints"
	"robindrum/internal/locality"
	"robindrum/internal/proxy"
	"robindrum/internal/resource"
)

// cluster is a cluster in use. Its view outlives its cores: a core created by a reload starts with the latest endpoint
// list, and a core retired by a reload receives updates until its last request is answered.
type cluster struct {
	name    string
	spec    clusterSpec
	view    endpoints.View
	current *coreInstance
	core    atomic.Pointer[proxy.Core] // the core of current, for requests, which do not hold Gateway.mu

	// Quotas of the shared limits. All cores of the cluster use the same quotas.
	connectionQuota *backend.Share
	memoryQuota     *resource.Share
	requestQuota    *resource.Share
	reserved        config.Amount // the guaranteed amounts that are reserved

	overprovision float64       // control plane's overprovisioning factor, which overrides the configured one; 0 if not set
	dropThreshold atomic.Uint64 // number of requests to drop out of dropScale
	totals        *clusterTotals
	staleTimer    *time.Timer // fires when the assignment becomes stale
	removalTimer  *time.Timer // non-nil while the removal of the cluster is scheduled
	rejection     string      // why the latest update was rejected; empty if it was accepted
	warnings      []string
}

// coreInstance is a core of a cluster with the picker and the controller that its balancer uses.
type coreInstance struct {
	core    *proxy.Core
	cluster *cluster
	// Both are guarded by the core's lock and must be used only within core.Inspect.
	localities *locality.Picker // nil if localities are not balanced
	admission  *admission.Controller
}

// clusterTotals accumulates the counters of the closed cores of all clusters that had the same name.
type clusterTotals struct {
	proxy.Stats
	dropped atomic.Uint64 // requests dropped because of the control plane's drop_overloads
}

// maxClusterTotals bounds the number of cluster names whose counters are retained, because a control plane may keep sending
// new names.
const maxClusterTotals = 1024

// totalsOf returns the counters of a cluster name. A cluster that is removed and added again continues its counters, so
// that they do not decrease.
func (g *Gateway) totalsOf(name string) *clusterTotals {
	totals := g.totals[name]
	if totals == nil {
		if len(g.totals) >= maxClusterTotals {
			g.dropUnusedTotals()
		}
		totals = &clusterTotals{}
		g.totals[name] = totals
	}
	return totals
}

func (g *Gateway) dropUnusedTotals() {
	used := map[*clusterTotals]bool{}
	for _, c := range g.clusters {
		used[c.totals] = true
	}
	for instance := range g.retired {
		used[instance.cluster.totals] = true
	}
	maps.DeleteFunc(g.totals, func(_ string, totals *clusterTotals) bool { return !used[totals] })
}

// newCluster returns a cluster without quotas, endpoints or a core.
func (g *Gateway) newCluster(name string) *cluster {
	c := &cluster{name: name, totals: g.totalsOf(name), connectionQuota: g.descriptorBudget.Share(0, 0)}
	c.memoryQuota, _ = g.memoryPool.Share(0, 0) // a share of 0 is always granted
	c.requestQuota, _ = g.requestPool.Share(0, 0)
	return c
}

// reconcileClusters adds, updates and removes clusters to match the current specs.
func (g *Gateway) reconcileClusters() {
	specs := g.clusterSpecs()
	for _, name := range slices.Sorted(maps.Keys(g.clusters)) {
		c := g.clusters[name]
		if specs[name] == nil && !c.isLeaving() {
			g.scheduleRemoval(c)
		}
	}
	var changed, all []*cluster
	for _, name := range slices.Sorted(maps.Keys(specs)) {
		c := g.clusters[name]
		if c == nil {
			c = g.newCluster(name)
			g.clusters[name] = c
		}
		c.cancelRemoval()
		previous := c.spec
		c.spec = *specs[name]
		c.warnings = c.spec.warnings
		if c.current == nil || !c.spec.sameCore(&previous) {
			changed = append(changed, c)
		}
		all = append(all, c)
	}
	g.reserveQuotas()
	for _, c := range changed {
		g.startCore(c)
	}
	for _, c := range all {
		g.refreshCluster(c)
	}
}

// reserveQuotas reserves the guaranteed quota of each cluster. It first reduces the quotas that shrink, which frees what
// the growing ones need. A cluster that is leaving keeps its quota until it is removed.
func (g *Gateway) reserveQuotas() {
	g.quotasMissing = false
	var staying []*cluster
	for _, name := range slices.Sorted(maps.Keys(g.clusters)) {
		if c := g.clusters[name]; !c.isLeaving() {
			staying = append(staying, c)
		}
	}
	for _, c := range staying {
		quota := &c.spec.quota
		_ = c.reserve(minAmount(c.reserved, quota.Guaranteed), quota.Max) // a reduction is always granted
	}
	for _, c := range staying {
		quota := &c.spec.quota
		err := c.reserve(quota.Guaranteed, quota.Max)
		if err != nil {
			g.quotasMissing = true
			g.log.Warn("guaranteed quota not yet available", "cluster", c.name, "error", err)
		}
	}
}

// minAmount returns the minimum of two amounts, field by field.
func minAmount(a, b config.Amount) config.Amount {
	return config.Amount{
		Descriptors: min(a.Descriptors, b.Descriptors),
		Memory:      min(a.Memory, b.Memory),
		Requests:    min(a.Requests, b.Requests),
	}
}

// reserve resizes the quotas of a cluster. A quota that cannot be granted keeps its size, and the error says which.
func (c *cluster) reserve(guaranteed, maximum config.Amount) error {
	c.connectionQuota.Resize(guaranteed.Descriptors, maximum.Descriptors)
	c.reserved.Descriptors = guaranteed.Descriptors
	errMemory := c.memoryQuota.Resize(int64(guaranteed.Memory), int64(maximum.Memory))
	if errMemory == nil {
		c.reserved.Memory = guaranteed.Memory
	}
	errRequests := c.requestQuota.Resize(int64(guaranteed.Requests), int64(maximum.Requests))
	if errRequests == nil {
		c.reserved.Requests = guaranteed.Requests
	}
	return errors.Join(errMemory, errRequests)
}

// removalDelay is how long a removed cluster keeps serving while routes still refer to it, because the update of the routes
// may arrive later than that of the clusters. It is well below 1 s, after which a removed endpoint must not get requests.
const removalDelay = 500 * time.Millisecond

// scheduleRemoval schedules the removal of a cluster after removalDelay. useRouting removes the cluster earlier if no route
// refers to it.
func (g *Gateway) scheduleRemoval(c *cluster) {
	c.removalTimer = time.AfterFunc(removalDelay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.clusters[c.name] != c || !c.isLeaving() || g.stopping {
			return
		}
		g.removeCluster(c, 0)
		if g.pendingRouting != nil {
			g.proposeRouting(g.pendingRouting.routing)
			return
		}
		updated := *g.routing.Load()
		updated.clusters = maps.Clone(g.clusters)
		g.routing.Store(&updated)
	})
}

// isLeaving reports whether the removal of the cluster is scheduled.
func (c *cluster) isLeaving() bool { return c.removalTimer != nil }

func (c *cluster) cancelRemoval() {
	if c.removalTimer != nil {
		c.removalTimer.Stop()
		c.removalTimer = nil
	}
}

// removeCluster removes a cluster. Its requests in flight continue, but after delay no further attempts, not even retries,
// are sent to its endpoints.
func (g *Gateway) removeCluster(c *cluster, delay time.Duration) {
	delete(g.clusters, c.name)
	c.cancelRemoval()
	c.stopStaleTimer()
	g.retireCore(c.current)                          // done first, so that new requests are routed again
	_ = c.reserve(config.Amount{}, c.spec.quota.Max) // a reduction is always granted; amounts in use are returned later
	if g.quotasMissing && !g.stopping {
		g.reserveQuotas()
	}
	excludeEndpoints := func() {
		g.applyUpdate(c, endpoints.Update{Source: c.spec.source, Stale: "the cluster is gone"})
	}
	if delay <= 0 {
		excludeEndpoints()
		return
	}
	time.AfterFunc(delay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if !g.stopping {
			excludeEndpoints()
		}
	})
}

func (c *cluster) stopStaleTimer() {
	if c.staleTimer != nil {
		c.staleTimer.Stop()
		c.staleTimer = nil
	}
}

const (
	// responsePauseTimeout is the maximum pause within a response before any of it is forwarded.
	responsePauseTimeout = time.Minute
	// streamStallTimeout is the maximum pause within a response that is being streamed.
	streamStallTimeout = 5 * time.Minute
	// reuseDelay is how long a connection is idle before it is reused: an endpoint may send a second response some milliseconds
	// after the first, which would be taken for the response to the next request.
	reuseDelay = 10 * time.Millisecond
	// responseSettleTime is how long a complete response is held back at most. It adds to the latency of each request.
	responseSettleTime = time.Millisecond
)

// startCore creates a new core for a cluster and retires the previous core.
func (g *Gateway) startCore(c *cluster) {
	instance := &coreInstance{cluster: c}
	settings := c.spec.balancerSettings()
	instance.admission = g.newAdmissionController(c)
	settings.Admission = instance.admission
	if c.spec.zones != nil {
		instance.localities = g.newLocalityPicker(c)
		settings.Localities = instance.localities
	}
	options := proxy.Options{
		Settings:        settings,
		Seed:            uint64(g.Now()),
		OpenRequests:    c.requestQuota,
		BodyMemory:      c.memoryQuota,
		HonorRetryAfter: true,
		OnCompleted:     g.recordCompleted,
	}
	core, err := proxy.NewCore(options, c.newPool())
	if err != nil { // cannot happen: the configuration was checked
		panic(fmt.Sprintf("cluster %s: %v", c.name, err))
	}
	instance.core = core
	sendPriorities := c.spec.zones != nil
	if c.view.SendPriorities != sendPriorities {
		c.view.SendPriorities = sendPriorities
		c.view.Recompute()
	}
	if snapshot := c.view.Snapshot(); snapshot != nil {
		core.UpdateEndpoints(*snapshot)
	}
	if c.current != nil {
		g.retireCore(c.current)
	}
	c.current = instance
	c.core.Store(core)
}

// newPool returns the connection pool of a new core. Its limits allow for large and slow responses: what bounds a response
// is the deadline of its request.
func (c *cluster) newPool() *backend.Pool {
	options := backend.Options{
		ConnectTimeout:   c.spec.config.ConnectTimeout.D(),
		IdleTimeout:      c.spec.config.IdleTimeout.D(),
		ReuseDelay:       reuseDelay,
		SettleTime:       responseSettleTime,
		IsForwarded:      func(status int) bool { return status < http.StatusInternalServerError },
		PauseTimeout:     responsePauseTimeout,
		StallTimeout:     streamStallTimeout,
		MaxResponseBytes: math.MaxInt64,
		StreamResponse:   isEventStream,
	}
	return backend.NewPool(options, c.connectionQuota)
}

// retireCore retires a core, which still finishes its requests in flight, and closes it in the background afterwards.
func (g *Gateway) retireCore(instance *coreInstance) {
	g.retired[instance] = struct{}{}
	idle := instance.core.Retire()
	g.background.Go(func() {
		select {
		case <-idle:
		case <-g.ctx.Done():
			return // Gateway.Close closes the core
		}
		instance.core.Close()
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.retired, instance)
		instance.cluster.totals.Add(instance.core.Stats())
	})
}

// isEventStream reports whether a response is a stream of server-sent events, which must be forwarded as they arrive.
func isEventStream(header http.Header) bool {
	mediaType, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}
