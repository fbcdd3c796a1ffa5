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

// cluster is a cluster in use. Its view outlives its cores: a core that a reload brings starts with the last endpoint
// list, and one that a reload retires gets updates until its last request is answered.
type cluster struct {
	name    string
	spec    clusterSpec
	view    endpoints.View
	current *coreInstance
	core    atomic.Pointer[proxy.Core] // current's, for requests

	// Quotas of the shared limits, of all cores of the cluster together.
	connectionQuota *backend.Share
	memoryQuota     *resource.Share
	requestQuota    *resource.Share
	reserved        config.Amount // the guaranteed part of the quotas

	overprovision float64       // the control plane's factor in place of the configuration's; 0: none
	dropThreshold atomic.Uint64 // of dropScale requests, how many are dropped
	totals        *clusterTotals
	staleTimer    *time.Timer // runs until the assignment is stale
	removalTimer  *time.Timer // runs while the cluster is to be removed but routes still lead to it
	rejection     string      // why the newest update was rejected
	warnings      []string
}

// coreInstance is a core of a cluster.
type coreInstance struct {
	core    *proxy.Core
	cluster *cluster
	// Both belong to the core and are read in its Inspect only.
	localities *locality.Picker // nil: localities are not balanced
	admission  *admission.Controller
}

// clusterTotals are the counters of the cores that clusters of one name no longer have.
type clusterTotals struct {
	proxy.Stats
	dropped atomic.Uint64 // requests dropped for the control plane
}

// maxClusterTotals is the number of names whose counters are retained, as a control plane may bring ever new names.
const maxClusterTotals = 1024

// totalsOf returns the counters of a name. A cluster that comes back continues its counters, which never decrease.
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

// newCluster returns a cluster without quotas, endpoints and core.
func (g *Gateway) newCluster(name string) *cluster {
	c := &cluster{name: name, totals: g.totalsOf(name), connectionQuota: g.descriptorBudget.Share(0, 0)}
	c.memoryQuota, _ = g.memoryPool.Share(0, 0) // an empty share is always granted
	c.requestQuota, _ = g.requestPool.Share(0, 0)
	return c
}

// reconcileClusters adds, changes and removes clusters.
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
		former := c.spec
		c.spec = *specs[name]
		c.warnings = c.spec.warnings
		if c.current == nil || !c.spec.sameCore(&former) {
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

// reserveQuotas reserves the guaranteed quota of each cluster: first of those that shrink, which makes room for those
// that grow. A cluster that is leaving retains its own until it is removed.
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
		_ = c.reserve(smaller(c.reserved, quota.Guaranteed), quota.Max) // less is always granted
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

// smaller returns the smaller one of two amounts, field by field.
func smaller(a, b config.Amount) config.Amount {
	return config.Amount{
		Descriptors: min(a.Descriptors, b.Descriptors),
		Memory:      min(a.Memory, b.Memory),
		Requests:    min(a.Requests, b.Requests),
	}
}

// reserve changes the quotas of a cluster. A quota that is not available stays as it was.
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

// removalDelay is how long a removed cluster goes on while routes still lead to it, as new routes may be on their way. It
// is well within the second after which a removed endpoint must get no more requests.
const removalDelay = 500 * time.Millisecond

// scheduleRemoval removes a cluster after removalDelay, or earlier once no route in use leads to it.
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

// isLeaving reports whether the cluster is to be removed.
func (c *cluster) isLeaving() bool { return c.removalTimer != nil }

func (c *cluster) cancelRemoval() {
	if c.removalTimer != nil {
		c.removalTimer.Stop()
		c.removalTimer = nil
	}
}

// removeCluster removes a cluster. Its requests in flight go on, but after the delay none of them is sent to an endpoint
// any more, not even as a retry.
func (g *Gateway) removeCluster(c *cluster, delay time.Duration) {
	delete(g.clusters, c.name)
	c.cancelRemoval()
	c.stopStaleTimer()
	g.retireCore(c.current)                          // first: new requests are routed again
	_ = c.reserve(config.Amount{}, c.spec.quota.Max) // less is always granted; what is in use goes back as it ends
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
	// responsePause is how long a response may stall before its client gets any of it.
	responsePause = time.Minute
	// responseStall is how long a response may stall that is being forwarded.
	responseStall = 5 * time.Minute
)

// startCore gives a cluster a new core. The former one is retired.
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
		Open:            c.requestQuota,
		Memory:          c.memoryQuota,
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

// newPool returns the connection pool of a new core. The size and the pauses of responses are left to the upstream, within
// the deadline of the request.
func (c *cluster) newPool() *backend.Pool {
	options := backend.Options{
		ConnectTimeout:   c.spec.config.ConnectTimeout.D(),
		IdleTimeout:      c.spec.config.IdleTimeout.D(),
		IsAnswer:         func(status int) bool { return status < http.StatusInternalServerError },
		PauseTimeout:     responsePause,
		StallTimeout:     responseStall,
		MaxResponseBytes: math.MaxInt64,
		StreamResponse:   isEventStream,
	}
	return backend.NewPool(options, c.connectionQuota)
}

// retireCore lets a core finish its requests in flight, and closes it then.
func (g *Gateway) retireCore(instance *coreInstance) {
	g.retired[instance] = struct{}{}
	idle := instance.core.Retire()
	g.background.Go(func() {
		select {
		case <-idle:
		case <-g.ctx.Done():
			return // Close closes it
		}
		instance.core.Close()
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.retired, instance)
		instance.cluster.totals.Add(instance.core.Stats())
	})
}

// isEventStream reports whether a response is a stream of server-sent events, which must be forwarded as they come.
func isEventStream(header http.Header) bool {
	mediaType, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}
