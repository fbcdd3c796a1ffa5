// Package gateway wires a configuration to fronts, routes and clusters: it opens listeners, feeds each cluster's core
// with what its source says of endpoints, takes over new configurations under load, and stops without losing a request.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"

	"robindrum/balancer"
	"robindrum/internal/backend"
	"robindrum/internal/capture"
	"robindrum/internal/config"
	"robindrum/internal/drain"
	"robindrum/internal/fleet"
	"robindrum/internal/proxy"
	"robindrum/internal/resource"
	"robindrum/internal/route"
	"robindrum/internal/supervisor"
	"robindrum/internal/xds"
)

// Gateway is one running gateway.
type Gateway struct {
	log              *slog.Logger
	startedAt        time.Time
	startUnix        time.Duration // boot as Unix time
	descriptorBudget *backend.Budget
	memoryPool       *resource.Pool
	requestPool      *resource.Pool
	front            *proxy.Front
	lastRequestID    atomic.Uint64
	routing          atomic.Pointer[routing]
	recorder         atomic.Pointer[capture.Recorder] // nil: no recording is under way
	fleet            *fleet.Fleet                     // nil: this process knows of no other one
	sharedSource     atomic.Pointer[sharedSource]     // what the subscription's duty and its pushes go to; nil: none
	ctx              context.Context
	cancel           context.CancelFunc
	background       sync.WaitGroup

	announced        *config.File // by tellFleet, which alone has both
	announcedVersion string

	mu              sync.Mutex    // all below; news of sources and new configurations are taken one after the other
	config          *config.File  // in use
	localConfig     *config.File  // this process's own
	releaseSections string        // the sections that a release brings; empty: none
	reloadedAt      time.Duration // when the configuration in use was taken over
	rejection       string        // why the last one was not, empty if it was
	rejectedAt      time.Duration
	listeners       map[string]*listener // by name
	admin           *adminServer
	watches         map[string]*watch
	clusters        map[string]*cluster
	retired         map[*coreInstance]struct{} // retired, with requests in hand
	quotasMissing   bool                       // some cluster has less than its part
	totals          map[string]*clusterTotals  // by cluster name, also of those that are gone
	rateLimits      []*rateLimit
	pendingRouting  *pendingRouting
	stopping        bool
	drainedTargets  []drain.Target // endpoints, and zones of clusters, that orders have taken out
	drainRequest    *drain.Request // that has taken this gateway out; nil: none
	drainedAt       time.Duration  // when it was heard of
	graceExpired    bool           // what it had in hand at the end of the grace was answered
	drainsKnown     bool           // it is known what is ordered, or it was waited for long enough

	outcomes outcomeCounters // of requests that have ended

	rejectsNew atomic.Bool   // nothing new is taken, by an order
	unrouted   atomic.Uint64 // requests that no core took: no route, a rate limit, out of service
}

type listener struct {
	net.Listener
	configuredAddress string
	done              chan struct{}
}

// routing is what requests see: it never changes.
type routing struct {
	configured        *route.Table
	dynamic           *route.Table // behind the file's; nil: none
	clusters          map[string]*cluster
	keyRequired       map[string]bool // classes whose requests need a key to be sent twice
	rateLimits        []*rateLimit
	latencyObjectives map[string]time.Duration // by class: an answer within it is in time
}

// pendingRouting is a routing that waits until the clusters that it names anew have endpoints.
type pendingRouting struct {
	routing *routing
	since   time.Duration
	timer   *time.Timer
}

// withoutKey is behind the name of a keyed class for requests that have no key: what cannot be told apart is never sent
// twice.
const withoutKey = "!unkeyed"

// New checks that a configuration can be run and opens its listeners; nothing is served before Run. The logger's level
// and format are the caller's.
func New(f *config.File, log *slog.Logger) (*Gateway, error) { return NewSupervised(f, log, nil) }

// NewSupervised is New of a process that is supervised, which releases have started as other versions; nil: it is not.
func NewSupervised(f *config.File, log *slog.Logger, child *supervisor.Child) (*Gateway, error) {
	g := &Gateway{log: log, startedAt: time.Now(), descriptorBudget: backend.NewBudget(maxDescriptors(f.Limits.Descriptors, log)),
		memoryPool: resource.NewPool(int64(f.Limits.Memory)), requestPool: resource.NewPool(int64(f.Limits.Requests)),
		listeners: map[string]*listener{}, watches: map[string]*watch{}, clusters: map[string]*cluster{}, retired: map[*coreInstance]struct{}{}, totals: map[string]*clusterTotals{}}
	g.startUnix = time.Duration(g.startedAt.UnixNano())
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.front = proxy.NewFront(proxy.FrontOptions{Budget: g.descriptorBudget, BodyBytes: int64(f.Limits.Memory), MaxBodyBytes: int64(f.Limits.Body), Router: g, WholeSeconds: true, ShedSilentClients: true})
	g.routing.Store(&routing{configured: &route.Table{}, clusters: map[string]*cluster{}})
	g.localConfig = f
	err := g.joinFleet(f)
	if child != nil && g.fleet != nil {
		g.fleet.SetSupervised(child.Version, child)
	}
	if err == nil {
		g.mu.Lock()
		err = g.apply(f, true)
		g.mu.Unlock()
	}
	if err != nil {
		g.Close()
		return nil, err
	}
	if g.fleet != nil {
		g.fleet.Start()
		g.background.Go(g.announceState)
		g.background.Go(g.awaitDrains)
	}
	return g, nil
}

// Now is the time, as Unix time that never goes back.
func (g *Gateway) Now() time.Duration { return g.startUnix + time.Since(g.startedAt) }

// Addr is where a listener listens; nil if there is none of that name.
func (g *Gateway) Addr(name string) net.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l := g.listeners[name]; l != nil {
		return l.Addr()
	}
	return nil
}

// AdminAddr is where the operators ask; nil: nowhere.
func (g *Gateway) AdminAddr() net.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.admin == nil {
		return nil
	}
	return g.admin.listener.Addr()
}

// Reload takes over a new configuration: new clusters, routes, classes and listeners; requests in hand end where they
// are. Limits of the whole process wait for the next start. Where something of it cannot be had nothing changes.
func (g *Gateway) Reload(f *config.File) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return errors.New("the gateway is stopping")
	}
	n, err := g.withRelease(f, g.releaseSections)
	if err == nil {
		err = g.apply(n, false)
	}
	if err != nil {
		g.recordRejection(err)
		return err
	}
	g.localConfig = f
	return nil
}

// withRelease gives a file with a release's sections in place of its own; none: as it is.
func (g *Gateway) withRelease(f *config.File, release string) (*config.File, error) {
	if release == "" {
		return f, nil
	}
	return f.With(release)
}

// Configure has the gateway use a release's sections in place of its file's, or its file's again.
func (g *Gateway) Configure(_, text string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return errors.New("the gateway is stopping")
	}
	n, err := g.withRelease(g.localConfig, text)
	if err == nil {
		err = g.apply(n, false)
	}
	if err == nil {
		g.releaseSections = text
	}
	return err
}

// RecordRejection notes that a new configuration could not even be read.
func (g *Gateway) RecordRejection(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordRejection(err)
}

func (g *Gateway) recordRejection(err error) {
	g.rejection, g.rejectedAt = err.Error(), g.Now()
	g.log.Error("the new configuration is refused, the old one goes on", "err", err)
}

// apply takes over a configuration.
func (g *Gateway) apply(f *config.File, first bool) error {
	table, err := route.Compile(f.Table(), route.Options{})
	if err != nil {
		return fmt.Errorf("%s: %w", f.Path(), err)
	}
	opened, err := g.openListeners(f)
	if err != nil {
		return err
	}
	adm, err := g.listenAdmin(f)
	if err != nil {
		for _, l := range opened {
			l.Close()
		}
		return err
	}
	undo := func() {
		for _, l := range opened {
			l.Close()
		}
		if adm != nil && adm != g.admin {
			adm.listener.Close()
		}
	}
	feeds, after, err := g.openWatches(f, first)
	if err != nil {
		undo()
		return err
	}
	if old := g.config; old != nil && (old.Limits.Descriptors != f.Limits.Descriptors || old.Limits.Memory != f.Limits.Memory ||
		old.Limits.Requests != f.Limits.Requests || old.Limits.Body != f.Limits.Body) {
		g.log.Warn("the limits of the whole process change with the next start")
	}
	if old := g.config; old != nil && !reflect.DeepEqual(old.Fleet, f.Fleet) {
		g.log.Warn("fleet changes with the next start")
	}
	g.config, g.reloadedAt, g.rejection = f, g.Now(), ""
	g.rateLimits = rateLimits(f, g.rateLimits)
	g.replaceWatches(feeds, after)
	g.replaceListeners(f, opened)
	g.replaceAdmin(adm)
	g.reconcile(table)
	return nil
}

// openListeners opens the listeners that are new. One of the same name and address stays.
func (g *Gateway) openListeners(f *config.File) (map[string]*listener, error) {
	opened := map[string]*listener{}
	for _, c := range f.Listeners {
		if l := g.listeners[c.Name]; l != nil && l.configuredAddress == c.Address {
			continue
		}
		l, err := net.Listen("tcp", c.Address)
		if err != nil {
			for _, o := range opened {
				o.Close()
			}
			return nil, fmt.Errorf("listener %q: %w", c.Name, err)
		}
		opened[c.Name] = &listener{Listener: l, configuredAddress: c.Address, done: make(chan struct{})}
	}
	return opened, nil
}

func (g *Gateway) replaceListeners(f *config.File, opened map[string]*listener) {
	named := map[string]bool{}
	for _, c := range f.Listeners {
		named[c.Name] = true
	}
	for name, l := range g.listeners {
		if !named[name] || opened[name] != nil {
			l.Close()
			delete(g.listeners, name)
		}
	}
	for name, l := range opened {
		g.listeners[name] = l
		g.background.Go(func() {
			defer close(l.done)
			g.front.ServeAs(name, l)
		})
	}
}

// Route finds where a request goes.
func (g *Gateway) Route(r *http.Request, from proxy.Peer) proxy.Destination {
	d := g.destination(r, from)
	if d.Core == nil {
		g.unrouted.Add(1)
	}
	return d
}

func (g *Gateway) destination(r *http.Request, from proxy.Peer) proxy.Destination {
	if g.rejectsNew.Load() {
		return proxy.Destination{Status: http.StatusServiceUnavailable, Text: "this gateway is taken out of service", RetryAfter: time.Second, Close: true}
	}
	t := g.routing.Load()
	path := r.URL.EscapedPath()
	if hasDotSegment(path) {
		return proxy.Destination{Status: http.StatusBadRequest, Text: "a path with . or .. segments", Close: true}
	}
	q := route.Request{Host: r.Host, Method: r.Method, Path: path, RawQuery: r.URL.RawQuery, Header: r.Header}
	found, ok := t.configured.Find(&q, rand.Uint64())
	if !ok && t.dynamic != nil {
		found, ok = t.dynamic.Find(&q, rand.Uint64())
	}
	if !ok {
		return proxy.Destination{Status: http.StatusNotFound, Text: "no route"}
	}
	c := t.clusters[found.Cluster]
	if c == nil {
		return proxy.Destination{Status: http.StatusServiceUnavailable, Text: "cluster " + found.Cluster + " is not known"}
	}
	if drop := c.dropThreshold.Load(); drop > 0 && rand.Uint64N(1<<32) < drop {
		c.totals.dropped.Add(1)
		return proxy.Destination{Status: http.StatusServiceUnavailable, Text: "refused by the control plane's drop_overloads"}
	}
	w := balancer.Request{ID: strconv.FormatUint(g.lastRequestID.Add(1), 36), Class: found.Class, Key: found.Key, Tenant: found.Tenant, HighPriority: found.Route.High}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		if w.Class == "" {
			w.Class = config.DefaultSafe
		}
	default:
		w.Write = true
		if w.Class == "" {
			w.Class = config.DefaultUnsafe
		}
	}
	if d := t.checkRateLimits(g.Now(), r, from, found.Route.Name, w.Class); d != nil {
		return *d
	}
	if t.keyRequired[w.Class] && w.Key == "" {
		w.Class += withoutKey
	}
	core := c.core.Load()
	if w.TimeLeft = core.Deadline(w.Class); w.TimeLeft <= 0 { // a class that went with the last configuration
		return proxy.Destination{Status: http.StatusServiceUnavailable, Text: "class " + found.Class + " is not known"}
	}
	if ms, err := strconv.ParseInt(r.Header.Get("X-Expires-In-Ms"), 10, 64); err == nil && ms > 0 && ms < w.TimeLeft.Milliseconds() {
		w.TimeLeft = time.Duration(ms) * time.Millisecond
	}
	return proxy.Destination{Core: core, Attributes: w}
}

// hasDotSegment tells whether a path has a segment that leads elsewhere than it says. Danger: who stands behind the gateway
// may take /a/../b as /b, and it would have been routed as something below /a.
func hasDotSegment(path string) bool {
	if !strings.Contains(path, ".") && !strings.Contains(path, "%2") {
		return false
	}
	for s := range strings.SplitSeq(path, "/") {
		if len(s) <= 6 {
			s = strings.ReplaceAll(strings.ToLower(s), "%2e", ".")
			if s == "." || s == ".." {
				return true
			}
		}
	}
	return false
}

// reconcile brings clusters and routes up to date with the configuration and what the sources say. table is the
// configuration's; nil: the one in use.
func (g *Gateway) reconcile(table *route.Table) {
	g.reconcileClusters()
	r := &routing{configured: table, clusters: maps.Clone(g.clusters), keyRequired: map[string]bool{}, latencyObjectives: map[string]time.Duration{}}
	if table == nil {
		r.configured = g.routing.Load().configured
		if g.pendingRouting != nil {
			r.configured = g.pendingRouting.routing.configured
		}
	}
	for _, c := range g.config.Classes {
		r.latencyObjectives[c.Name] = c.Wanted.D()
		if balancer.Effect(c.Effect) == balancer.IdempotentWithKey {
			r.keyRequired[c.Name] = true
		}
	}
	r.rateLimits = g.rateLimits
	if f := g.watches[xdsWatch]; f != nil {
		switch routes, why := f.routes(g.config.XDS); {
		case routes != nil:
			r.dynamic = routes.Table
		case why == "": // no word of the ones that are named now: those before go on
			r.dynamic = g.routing.Load().dynamic
		}
	}
	g.proposeRouting(r)
}

// proposeRouting makes a routing the one in use: at once, or once the clusters that it names anew have endpoints.
func (g *Gateway) proposeRouting(r *routing) {
	now := g.Now()
	since := now
	if g.pendingRouting != nil {
		since = g.pendingRouting.since
		g.pendingRouting.timer.Stop()
		g.pendingRouting = nil
	}
	wait := g.maxRoutingWait() - (now - since)
	if wait <= 0 || g.stopping || !g.mustWaitForEndpoints(r) {
		g.useRouting(r)
		return
	}
	// What is new of the clusters counts at once; where requests go changes later.
	cur := *g.routing.Load()
	cur.clusters, cur.keyRequired, cur.rateLimits, cur.latencyObjectives = r.clusters, r.keyRequired, r.rateLimits, r.latencyObjectives
	g.routing.Store(&cur)
	p := &pendingRouting{routing: r, since: since}
	p.timer = time.AfterFunc(wait, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.pendingRouting == p {
			g.pendingRouting = nil
			g.useRouting(p.routing)
		}
	})
	g.pendingRouting = p
}

func (g *Gateway) maxRoutingWait() time.Duration {
	if g.config.XDS == nil {
		return 0
	}
	return g.config.XDS.InitialFetchTimeout.D()
}

func (g *Gateway) useRouting(r *routing) {
	named := clusterNames(r)
	var leave []*cluster
	for _, c := range g.clusters {
		if c.isLeaving() && !named[c.name] {
			leave = append(leave, c)
		}
	}
	if len(leave) > 0 {
		r.clusters = maps.Clone(r.clusters) // requests may be looking at it already
		for _, c := range leave {
			delete(r.clusters, c.name)
		}
	}
	g.routing.Store(r)
	for _, c := range leave {
		g.removeCluster(c, removalDelay)
	}
}

// mustWaitForEndpoints tells whether a routing names a cluster that the one in use does not and that has no endpoints yet, while what is
// in use still works.
func (g *Gateway) mustWaitForEndpoints(r *routing) bool {
	before := clusterNames(g.routing.Load())
	works := false
	for n := range before {
		if c := g.clusters[n]; c != nil && c.view.Usable() > 0 {
			works = true
		}
	}
	if !works {
		return false
	}
	for n := range clusterNames(r) {
		if c := g.clusters[n]; !before[n] && (c == nil || c.view.Usable() == 0) {
			return true
		}
	}
	return false
}

func clusterNames(r *routing) map[string]bool {
	m := map[string]bool{}
	for _, t := range []*route.Table{r.configured, r.dynamic} {
		if t != nil {
			for _, n := range t.Clusters() {
				m[n] = true
			}
		}
	}
	return m
}

// Ready tells whether requests can be served: every cluster that a route names has had word of its endpoints, or is
// known to have none, and no stop has begun.
func (g *Gateway) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping || g.drainRequest != nil || g.fleet != nil && !g.drainsKnown {
		return false
	}
	r := g.routing.Load()
	for n := range clusterNames(r) {
		if c := g.clusters[n]; c == nil || !c.view.Known() {
			return false
		}
	}
	return r.configured.Len() > 0 || r.dynamic != nil
}

// Stop ends the gateway without losing a request: it goes on accepting for a moment, answers what it holds, and ends
// when all is answered or ctx is over.
func (g *Gateway) Stop(ctx context.Context) {
	g.mu.Lock()
	g.stopping = true
	if g.pendingRouting != nil {
		g.pendingRouting.timer.Stop()
		p := g.pendingRouting.routing
		g.pendingRouting = nil
		g.useRouting(p)
	}
	var l []net.Listener
	for _, x := range g.listeners {
		l = append(l, x)
	}
	g.mu.Unlock()
	if g.fleet != nil {
		g.background.Go(g.fleet.Drain)
	}
	g.front.Stop(ctx, l...)
}

// Close ends what still runs; what is not answered by then is lost.
func (g *Gateway) Close() {
	g.mu.Lock()
	g.stopping = true
	if g.pendingRouting != nil {
		g.pendingRouting.timer.Stop()
		g.pendingRouting = nil
	}
	for _, l := range g.listeners {
		l.Close()
	}
	feeds := slices.Collect(maps.Values(g.watches))
	adm := g.admin
	g.mu.Unlock()
	g.cancel()
	for _, f := range feeds {
		f.stop()
	}
	if adm != nil {
		adm.close()
	}
	g.mu.Lock()
	var all []*coreInstance
	for _, c := range g.clusters {
		c.stopStaleTimer()
		all = append(all, c.current)
	}
	all = append(all, slices.Collect(maps.Keys(g.retired))...)
	g.mu.Unlock()
	for _, in := range all {
		in.core.Retire()
		in.core.Close()
	}
	g.front.CloseIdle()
	g.background.Wait()
	if g.fleet != nil {
		g.fleet.Stop(fleetLeaveTimeout)
	}
}

func xdsNode(f *config.File) *corev3.Node {
	return xds.Node(f.XDS.Node.ID, f.XDS.Node.Cluster, f.Zone)
}
