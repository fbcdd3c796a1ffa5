// Package gateway runs a configuration: it opens listeners, routes requests to clusters, applies the updates of endpoint
// sources, takes over new configurations under load, takes part in a fleet, and shuts down gracefully.
package gateway

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"robindrum/internal/backend"
	"robindrum/internal/capture"
	"robindrum/internal/config"
	"robindrum/internal/drain"
	"robindrum/internal/fleet"
	"robindrum/internal/proxy"
	"robindrum/internal/resource"
	"robindrum/internal/route"
	"robindrum/internal/supervisor"
)

// Gateway is one running gateway. Its exported methods may be called concurrently, unless they say otherwise.
type Gateway struct {
	log              *slog.Logger
	startedAt        time.Time
	startUnix        time.Duration // startedAt as Unix time
	descriptorBudget *backend.Budget
	memoryPool       *resource.Pool
	requestPool      *resource.Pool
	front            *proxy.Front
	fleet            *fleet.Fleet // nil: not part of a fleet
	ctx              context.Context
	cancel           context.CancelFunc
	background       sync.WaitGroup

	lastRequestID atomic.Uint64
	routing       atomic.Pointer[routing]
	recorder      atomic.Pointer[capture.Recorder] // nil: no capture is running
	sharedSource  atomic.Pointer[sharedSource]     // nil: the site shares no subscription
	rejectsNew    atomic.Bool                      // a drain request lets no new request in
	unrouted      atomic.Uint64                    // requests that no core got: no route, a rate limit, out of service
	outcomes      outcomeCounters

	// Used by announceState alone.
	announced        *config.File
	announcedVersion string

	// mu serializes updates of sources and of the configuration, and guards all below.
	mu        sync.Mutex
	stopping  bool
	listeners map[string]*listener // by name
	admin     *adminServer

	config          *config.File // in use
	localConfig     *config.File // the process's own, without a release's sections
	releaseSections string       // the sections that a release brings; empty: none
	reloadedAt      time.Duration
	rejection       string // why the last configuration was rejected; empty if it was not
	rejectedAt      time.Duration

	watches        map[string]*watch
	clusters       map[string]*cluster
	retired        map[*coreInstance]struct{} // with requests in flight
	quotasMissing  bool                       // some cluster has less than its guaranteed quota
	totals         map[string]*clusterTotals  // by cluster name, also of removed clusters
	rateLimits     []*rateLimit
	pendingRouting *pendingRouting

	drainedTargets []drain.Target // endpoints, and zones of clusters, that drain requests have taken out of service
	drainRequest   *drain.Request // the one that has taken this gateway out of service; nil: none
	drainedAt      time.Duration  // when drainRequest was received
	graceExpired   bool           // the requests in flight were answered at the end of the grace period
	drainsKnown    bool           // the drain requests were fetched, or the time for it has passed
}

// New checks that a configuration can be run and opens its listeners. It serves once it returns; Close ends it.
func New(f *config.File, log *slog.Logger) (*Gateway, error) { return NewSupervised(f, log, nil) }

// NewSupervised is New for a process whose supervisor starts other versions of the program for releases. A nil child
// means that there is no supervisor.
func NewSupervised(f *config.File, log *slog.Logger, child *supervisor.Child) (*Gateway, error) {
	g := newGateway(f, log)
	err := g.start(f, child)
	if err != nil {
		g.Close()
		return nil, err
	}
	return g, nil
}

func newGateway(f *config.File, log *slog.Logger) *Gateway {
	startedAt := time.Now()
	g := &Gateway{
		log:              log,
		startedAt:        startedAt,
		startUnix:        time.Duration(startedAt.UnixNano()),
		descriptorBudget: backend.NewBudget(maxDescriptors(f.Limits.Descriptors, log)),
		memoryPool:       resource.NewPool(int64(f.Limits.Memory)),
		requestPool:      resource.NewPool(int64(f.Limits.Requests)),
		localConfig:      f,
		listeners:        map[string]*listener{},
		watches:          map[string]*watch{},
		clusters:         map[string]*cluster{},
		retired:          map[*coreInstance]struct{}{},
		totals:           map[string]*clusterTotals{},
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.front = proxy.NewFront(proxy.FrontOptions{
		Budget:            g.descriptorBudget,
		BodyBytes:         int64(f.Limits.Memory),
		MaxBodyBytes:      int64(f.Limits.Body),
		Router:            g,
		WholeSeconds:      true,
		ShedSilentClients: true,
	})
	g.routing.Store(&routing{configured: &route.Table{}, clusters: map[string]*cluster{}})
	return g
}

// start joins the fleet, applies the first configuration and starts the tasks in the background.
func (g *Gateway) start(f *config.File, child *supervisor.Child) error {
	err := g.joinFleet(f)
	if err != nil {
		return err
	}
	if child != nil && g.fleet != nil {
		g.fleet.SetSupervised(child.Version, child)
	}
	g.mu.Lock()
	err = g.apply(f, true)
	g.mu.Unlock()
	if err != nil {
		return err
	}
	if g.fleet != nil {
		g.fleet.Start()
		g.background.Go(g.announceState)
		g.background.Go(g.awaitDrains)
	}
	return nil
}

// Now returns the Unix time by a clock that never goes back.
func (g *Gateway) Now() time.Duration { return g.startUnix + time.Since(g.startedAt) }

// Addr returns the address of the listener of that name, or nil if there is none.
func (g *Gateway) Addr(name string) net.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l := g.listeners[name]; l != nil {
		return l.Addr()
	}
	return nil
}

// AdminAddr returns the address of the admin listener, or nil if there is none.
func (g *Gateway) AdminAddr() net.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.admin == nil {
		return nil
	}
	return g.admin.listener.Addr()
}

// Ready reports whether requests can be served: for every cluster that a route names the endpoints are known, or known to
// be none, and the gateway is neither draining nor shutting down.
func (g *Gateway) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping || g.drainRequest != nil {
		return false
	}
	if g.fleet != nil && !g.drainsKnown {
		return false
	}
	routing := g.routing.Load()
	if !g.allClustersKnown(routing) {
		return false
	}
	return routing.configured.Len() > 0 || routing.dynamic != nil
}

// allClustersKnown reports whether every cluster that a route names has had an update of its endpoints.
func (g *Gateway) allClustersKnown(r *routing) bool {
	for name := range r.clusterNames() {
		c := g.clusters[name]
		if c == nil || !c.view.Known() {
			return false
		}
	}
	return true
}

// Stop shuts down gracefully: it goes on accepting connections for a moment, answers the requests in flight, and returns
// when all are answered or ctx ends. Close must be called after it.
func (g *Gateway) Stop(ctx context.Context) {
	g.mu.Lock()
	g.stopping = true
	if pending := g.takePendingRouting(); pending != nil {
		g.useRouting(pending.routing)
	}
	var listeners []net.Listener
	for _, l := range g.listeners {
		listeners = append(listeners, l)
	}
	g.mu.Unlock()
	if g.fleet != nil {
		g.background.Go(g.fleet.Drain)
	}
	g.front.Stop(ctx, listeners...)
}

// Close ends everything that still runs and waits for it. Requests without an answer are lost.
func (g *Gateway) Close() {
	g.mu.Lock()
	g.stopping = true
	g.takePendingRouting()
	for _, l := range g.listeners {
		l.Close()
	}
	watches := slices.Collect(maps.Values(g.watches))
	admin := g.admin
	g.mu.Unlock()
	g.cancel()
	for _, w := range watches { // without the lock, which their sources may wait for
		w.stop()
	}
	if admin != nil {
		admin.close()
	}
	for _, instance := range g.allInstances() {
		instance.core.Retire()
		instance.core.Close()
	}
	g.front.CloseIdle()
	g.background.Wait()
	if g.fleet != nil {
		g.fleet.Stop(fleetLeaveTimeout)
	}
}

// allInstances returns the current and the retired cores of all clusters, and stops the clusters' timers.
func (g *Gateway) allInstances() []*coreInstance {
	g.mu.Lock()
	defer g.mu.Unlock()
	var instances []*coreInstance
	for _, c := range g.clusters {
		c.stopStaleTimer()
		instances = append(instances, c.current)
	}
	return slices.AppendSeq(instances, maps.Keys(g.retired))
}
