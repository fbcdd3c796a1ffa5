// Package gateway runs the gateway that a configuration describes. It opens the listeners, routes requests to clusters,
// applies endpoint updates, reloads its configuration under load, participates in a fleet, and shuts down gracefully.
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

// Gateway is a running gateway. Its exported methods are safe for concurrent use unless documented otherwise.
type Gateway struct {
	log              *slog.Logger
	startedAt        time.Time
	startUnix        time.Duration // startedAt as Unix time
	descriptorBudget *backend.Budget
	memoryPool       *resource.Pool
	requestPool      *resource.Pool
	front            *proxy.Front
	fleet            *fleet.Fleet // nil if the gateway is not part of a fleet
	ctx              context.Context
	cancel           context.CancelFunc
	background       sync.WaitGroup

	lastRequestID     atomic.Uint64
	routing           atomic.Pointer[routing]
	recorder          atomic.Pointer[capture.Recorder] // nil if no capture is running
	sharedSource      atomic.Pointer[sharedSource]     // nil if the site does not share a subscription
	rejectingRequests atomic.Bool                      // new requests are rejected because of a drain request
	unrouted          atomic.Uint64                    // requests answered without a core: no route, rate limit, draining, ...
	outcomes          outcomeCounters

	// Used only by announceState.
	announced        *config.File
	announcedVersion string

	// mu serializes source updates and configuration changes, and guards all fields below.
	mu        sync.Mutex
	stopping  bool
	listeners map[string]*listener // by name
	admin     *adminServer

	config          *config.File // in use
	localConfig     *config.File // the process's own configuration, without the sections of a release
	releaseSections string       // configuration sections set by a release; empty if none
	reloadedAt      time.Duration
	rejection       string // why the latest configuration was rejected; empty if it was accepted
	rejectedAt      time.Duration

	watches        map[string]*watch
	clusters       map[string]*cluster
	retired        map[*coreInstance]struct{} // retired cores that still have requests in flight
	quotasMissing  bool                       // some cluster has less than its guaranteed quota
	totals         map[string]*clusterTotals  // by cluster name, including removed clusters
	rateLimits     []*rateLimit
	pendingRouting *pendingRouting

	drainedTargets []drain.Target // endpoints, and zones of clusters, taken out of service by drain requests
	drainRequest   *drain.Request // the request that took this gateway out of service; nil if none
	drainedAt      time.Duration  // when drainRequest was received
	graceExpired   bool           // the requests in flight were answered at the end of the grace period
	drainsKnown    bool           // the drain requests were fetched, or fetching them timed out
}

// New starts a gateway and returns once its listeners are open and served. It returns an error if the configuration cannot
// be applied. The caller must call Close when done.
func New(f *config.File, log *slog.Logger) (*Gateway, error) { return NewSupervised(f, log, nil) }

// NewSupervised is like New, for a process whose supervisor starts other versions of the program during releases. A nil
// child means that there is no supervisor.
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
		Budget:                 g.descriptorBudget,
		BodyBytes:              int64(f.Limits.Memory),
		MaxBodyBytes:           int64(f.Limits.Body),
		Router:                 g,
		RetryAfterWholeSeconds: true,
		ShedSilentClients:      true,
	})
	g.routing.Store(&routing{configured: &route.Table{}, clusters: map[string]*cluster{}})
	return g
}

// start joins the fleet, applies the first configuration and starts the background tasks.
func (g *Gateway) start(f *config.File, child *supervisor.Child) error {
	err := g.joinFleet(f)
	if err != nil {
		return err
	}
	if child != nil && g.fleet != nil {
		g.fleet.SetVersionController(child.Version, child)
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

// Now returns the time since the Unix epoch. It is monotonic: it does not follow adjustments of the wall clock.
func (g *Gateway) Now() time.Duration { return g.startUnix + time.Since(g.startedAt) }

// Addr returns the address of the listener with the given name, or nil if there is none.
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

// Ready reports whether the gateway can serve requests: it has routes, the endpoint list of every cluster that a route
// refers to is known, even if it is empty, and the gateway is neither draining nor shutting down. In a fleet, it must also
// have fetched the drain requests, or fetching them must have timed out.
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

// allClustersKnown reports whether the endpoint list of every cluster that a route refers to is known.
func (g *Gateway) allClustersKnown(r *routing) bool {
	for name := range r.clusterNames() {
		c := g.clusters[name]
		if c == nil || !c.view.Known() {
			return false
		}
	}
	return true
}

// Stop shuts the gateway down gracefully. It keeps accepting connections for a short time, answers the requests in flight,
// and returns when all are answered or ctx is done. The caller must call Close after Stop.
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

// Close stops everything that is still running and waits until it has ended. Requests in flight are dropped.
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
	for _, w := range watches { // without holding mu, which their sources may be waiting for
		w.stop()
	}
	if admin != nil {
		admin.close()
	}
	for _, instance := range g.allInstances() {
		instance.core.Retire()
		instance.core.Close()
	}
	g.front.CloseConnections()
	g.background.Wait()
	if g.fleet != nil {
		g.fleet.Stop(fleetLeaveTimeout)
	}
}

// allInstances returns the current and the retired cores of all clusters. It also stops the stale timers of the clusters.
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
