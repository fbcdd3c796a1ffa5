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
	log      *slog.Logger
	boot     time.Time
	base     time.Duration // boot as Unix time
	budget   *backend.Budget
	memory   *resource.Pool
	open     *resource.Pool
	front    *proxy.Front
	ids      atomic.Uint64
	routes   atomic.Pointer[routing]
	recorder atomic.Pointer[capture.Recorder] // nil: no recording is under way
	fleet    *fleet.Fleet                     // nil: this process knows of no other one
	shared   atomic.Pointer[shared]           // what the subscription's duty and its pushes go to; nil: none
	life     context.Context
	end      context.CancelFunc
	work     sync.WaitGroup

	told        *config.File // by tellFleet, which alone has both
	toldVersion string

	mu        sync.Mutex    // all below; news of sources and new configurations are taken one after the other
	file      *config.File  // in use
	local     *config.File  // this process's own
	release   string        // the sections that a release brings; empty: none
	reloaded  time.Duration // when the configuration in use was taken over
	refused   string        // why the last one was not, empty if it was
	refusedAt time.Duration
	listeners map[string]*listener // by name
	admin     *admin
	feeds     map[string]*feed
	clusters  map[string]*cluster
	old       map[*instance]struct{} // retired, with requests in hand
	short     bool                   // some cluster has less than its part
	past      map[string]*past       // by cluster name, also of those that are gone
	limits    []*rateLimit
	pending   *pending
	stopping  bool
	held      []drain.Target // endpoints, and zones of clusters, that orders have taken out
	drain     *drain.Request // that has taken this gateway out; nil: none
	drainAt   time.Duration  // when it was heard of
	expired   bool           // what it had in hand at the end of the grace was answered
	ordered   bool           // it is known what is ordered, or it was waited for long enough

	shows shows // of requests that have ended

	refuses atomic.Bool   // nothing new is taken, by an order
	nowhere atomic.Uint64 // requests that no core took: no route, a rate limit, out of service
}

type listener struct {
	net.Listener
	asked string
	done  chan struct{}
}

// routing is what requests see: it never changes.
type routing struct {
	file     *route.Table
	xds      *route.Table // behind the file's; nil: none
	clusters map[string]*cluster
	keyed    map[string]bool // classes whose requests need a key to be sent twice
	limits   []*rateLimit
	wanted   map[string]time.Duration // by class: an answer within it is in time
}

// pending is a routing that waits until the clusters that it names anew have endpoints.
type pending struct {
	routing *routing
	since   time.Duration
	timer   *time.Timer
}

// unkeyed is behind the name of a keyed class for requests that have no key: what cannot be told apart is never sent
// twice.
const unkeyed = "!unkeyed"

// New checks that a configuration can be run and opens its listeners; nothing is served before Run. The logger's level
// and format are the caller's.
func New(f *config.File, log *slog.Logger) (*Gateway, error) { return NewSupervised(f, log, nil) }

// NewSupervised is New of a process that is supervised, which releases have started as other versions; nil: it is not.
func NewSupervised(f *config.File, log *slog.Logger, child *supervisor.Child) (*Gateway, error) {
	g := &Gateway{log: log, boot: time.Now(), budget: backend.NewBudget(descriptors(f.Limits.Descriptors, log)),
		memory: resource.NewPool(int64(f.Limits.Memory)), open: resource.NewPool(int64(f.Limits.Requests)),
		listeners: map[string]*listener{}, feeds: map[string]*feed{}, clusters: map[string]*cluster{}, old: map[*instance]struct{}{}, past: map[string]*past{}}
	g.base = time.Duration(g.boot.UnixNano())
	g.life, g.end = context.WithCancel(context.Background())
	g.front = proxy.NewFront(proxy.FrontOptions{Budget: g.budget, BodyBytes: int64(f.Limits.Memory), MaxBodyBytes: int64(f.Limits.Body), Router: g, WholeSeconds: true, ShedSilentClients: true})
	g.routes.Store(&routing{file: &route.Table{}, clusters: map[string]*cluster{}})
	g.local = f
	err := g.joinFleet(f)
	if child != nil && g.fleet != nil {
		g.fleet.SetSupervised(child.Version, child)
	}
	if err == nil {
		g.mu.Lock()
		err = g.take(f, true)
		g.mu.Unlock()
	}
	if err != nil {
		g.Close()
		return nil, err
	}
	if g.fleet != nil {
		g.fleet.Start()
		g.work.Go(g.tellFleet)
		g.work.Go(g.awaitOrders)
	}
	return g, nil
}

// Now is the time, as Unix time that never goes back.
func (g *Gateway) Now() time.Duration { return g.base + time.Since(g.boot) }

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
	return g.admin.l.Addr()
}

// Reload takes over a new configuration: new clusters, routes, classes and listeners; requests in hand end where they
// are. Limits of the whole process wait for the next start. Where something of it cannot be had nothing changes.
func (g *Gateway) Reload(f *config.File) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return errors.New("the gateway is stopping")
	}
	n, err := g.with(f, g.release)
	if err == nil {
		err = g.take(n, false)
	}
	if err != nil {
		g.refuse(err)
		return err
	}
	g.local = f
	return nil
}

// with gives a file with a release's sections in place of its own; none: as it is.
func (g *Gateway) with(f *config.File, release string) (*config.File, error) {
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
	n, err := g.with(g.local, text)
	if err == nil {
		err = g.take(n, false)
	}
	if err == nil {
		g.release = text
	}
	return err
}

// Refuse notes that a new configuration could not even be read.
func (g *Gateway) Refuse(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refuse(err)
}

func (g *Gateway) refuse(err error) {
	g.refused, g.refusedAt = err.Error(), g.Now()
	g.log.Error("the new configuration is refused, the old one goes on", "err", err)
}

// take takes over a configuration.
func (g *Gateway) take(f *config.File, first bool) error {
	table, err := route.Compile(f.Table(), route.Options{})
	if err != nil {
		return fmt.Errorf("%s: %w", f.Path(), err)
	}
	opened, err := g.listen(f)
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
			adm.l.Close()
		}
	}
	feeds, after, err := g.sources(f, first)
	if err != nil {
		undo()
		return err
	}
	if old := g.file; old != nil && (old.Limits.Descriptors != f.Limits.Descriptors || old.Limits.Memory != f.Limits.Memory ||
		old.Limits.Requests != f.Limits.Requests || old.Limits.Body != f.Limits.Body) {
		g.log.Warn("the limits of the whole process change with the next start")
	}
	if old := g.file; old != nil && !reflect.DeepEqual(old.Fleet, f.Fleet) {
		g.log.Warn("fleet changes with the next start")
	}
	g.file, g.reloaded, g.refused = f, g.Now(), ""
	g.limits = rateLimits(f, g.limits)
	g.swap(feeds, after)
	g.replaceListeners(f, opened)
	g.replaceAdmin(adm)
	g.sync(table)
	return nil
}

// listen opens the listeners that are new. One of the same name and address stays.
func (g *Gateway) listen(f *config.File) (map[string]*listener, error) {
	opened := map[string]*listener{}
	for _, c := range f.Listeners {
		if l := g.listeners[c.Name]; l != nil && l.asked == c.Address {
			continue
		}
		l, err := net.Listen("tcp", c.Address)
		if err != nil {
			for _, o := range opened {
				o.Close()
			}
			return nil, fmt.Errorf("listener %q: %w", c.Name, err)
		}
		opened[c.Name] = &listener{Listener: l, asked: c.Address, done: make(chan struct{})}
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
		g.work.Go(func() {
			defer close(l.done)
			g.front.ServeAs(name, l)
		})
	}
}

// Route finds where a request goes.
func (g *Gateway) Route(r *http.Request, from proxy.Peer) proxy.Destination {
	d := g.destination(r, from)
	if d.Core == nil {
		g.nowhere.Add(1)
	}
	return d
}

func (g *Gateway) destination(r *http.Request, from proxy.Peer) proxy.Destination {
	if g.refuses.Load() {
		return proxy.Destination{Status: http.StatusServiceUnavailable, Text: "this gateway is taken out of service", RetryAfter: time.Second, Close: true}
	}
	t := g.routes.Load()
	path := r.URL.EscapedPath()
	if climbs(path) {
		return proxy.Destination{Status: http.StatusBadRequest, Text: "a path with . or .. segments", Close: true}
	}
	q := route.Request{Host: r.Host, Method: r.Method, Path: path, RawQuery: r.URL.RawQuery, Header: r.Header}
	found, ok := t.file.Find(&q, rand.Uint64())
	if !ok && t.xds != nil {
		found, ok = t.xds.Find(&q, rand.Uint64())
	}
	if !ok {
		return proxy.Destination{Status: http.StatusNotFound, Text: "no route"}
	}
	c := t.clusters[found.Cluster]
	if c == nil {
		return proxy.Destination{Status: http.StatusServiceUnavailable, Text: "cluster " + found.Cluster + " is not known"}
	}
	if drop := c.drop.Load(); drop > 0 && rand.Uint64N(1<<32) < drop {
		c.past.dropped.Add(1)
		return proxy.Destination{Status: http.StatusServiceUnavailable, Text: "refused by the control plane's drop_overloads"}
	}
	w := balancer.Request{ID: strconv.FormatUint(g.ids.Add(1), 36), Class: found.Class, Key: found.Key, Tenant: found.Tenant, HighPriority: found.Route.High}
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
	if d := t.limited(g.Now(), r, from, found.Route.Name, w.Class); d != nil {
		return *d
	}
	if t.keyed[w.Class] && w.Key == "" {
		w.Class += unkeyed
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

// climbs tells whether a path has a segment that leads elsewhere than it says. Danger: who stands behind the gateway
// may take /a/../b as /b, and it would have been routed as something below /a.
func climbs(path string) bool {
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

// sync brings clusters and routes up to date with the configuration and what the sources say. table is the
// configuration's; nil: the one in use.
func (g *Gateway) sync(table *route.Table) {
	g.syncClusters()
	r := &routing{file: table, clusters: maps.Clone(g.clusters), keyed: map[string]bool{}, wanted: map[string]time.Duration{}}
	if table == nil {
		r.file = g.routes.Load().file
		if g.pending != nil {
			r.file = g.pending.routing.file
		}
	}
	for _, c := range g.file.Classes {
		r.wanted[c.Name] = c.Wanted.D()
		if balancer.Effect(c.Effect) == balancer.IdempotentWithKey {
			r.keyed[c.Name] = true
		}
	}
	r.limits = g.limits
	if f := g.feeds[xdsFeed]; f != nil {
		switch routes, why := f.routes(g.file.XDS); {
		case routes != nil:
			r.xds = routes.Table
		case why == "": // no word of the ones that are named now: those before go on
			r.xds = g.routes.Load().xds
		}
	}
	g.propose(r)
}

// propose makes a routing the one in use: at once, or once the clusters that it names anew have endpoints.
func (g *Gateway) propose(r *routing) {
	now := g.Now()
	since := now
	if g.pending != nil {
		since = g.pending.since
		g.pending.timer.Stop()
		g.pending = nil
	}
	wait := g.patience() - (now - since)
	if wait <= 0 || g.stopping || !g.waits(r) {
		g.use(r)
		return
	}
	// What is new of the clusters counts at once; where requests go changes later.
	cur := *g.routes.Load()
	cur.clusters, cur.keyed, cur.limits, cur.wanted = r.clusters, r.keyed, r.limits, r.wanted
	g.routes.Store(&cur)
	p := &pending{routing: r, since: since}
	p.timer = time.AfterFunc(wait, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.pending == p {
			g.pending = nil
			g.use(p.routing)
		}
	})
	g.pending = p
}

func (g *Gateway) patience() time.Duration {
	if g.file.XDS == nil {
		return 0
	}
	return g.file.XDS.InitialFetchTimeout.D()
}

func (g *Gateway) use(r *routing) {
	named := names(r)
	var leave []*cluster
	for _, c := range g.clusters {
		if c.leaving() && !named[c.name] {
			leave = append(leave, c)
		}
	}
	if len(leave) > 0 {
		r.clusters = maps.Clone(r.clusters) // requests may be looking at it already
		for _, c := range leave {
			delete(r.clusters, c.name)
		}
	}
	g.routes.Store(r)
	for _, c := range leave {
		g.drop(c, leaveTime)
	}
}

// waits tells whether a routing names a cluster that the one in use does not and that has no endpoints yet, while what is
// in use still works.
func (g *Gateway) waits(r *routing) bool {
	before := names(g.routes.Load())
	works := false
	for n := range before {
		if c := g.clusters[n]; c != nil && c.view.Usable() > 0 {
			works = true
		}
	}
	if !works {
		return false
	}
	for n := range names(r) {
		if c := g.clusters[n]; !before[n] && (c == nil || c.view.Usable() == 0) {
			return true
		}
	}
	return false
}

func names(r *routing) map[string]bool {
	m := map[string]bool{}
	for _, t := range []*route.Table{r.file, r.xds} {
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
	if g.stopping || g.drain != nil || g.fleet != nil && !g.ordered {
		return false
	}
	r := g.routes.Load()
	for n := range names(r) {
		if c := g.clusters[n]; c == nil || !c.view.Known() {
			return false
		}
	}
	return r.file.Len() > 0 || r.xds != nil
}

// Stop ends the gateway without losing a request: it goes on accepting for a moment, answers what it holds, and ends
// when all is answered or ctx is over.
func (g *Gateway) Stop(ctx context.Context) {
	g.mu.Lock()
	g.stopping = true
	if g.pending != nil {
		g.pending.timer.Stop()
		p := g.pending.routing
		g.pending = nil
		g.use(p)
	}
	var l []net.Listener
	for _, x := range g.listeners {
		l = append(l, x)
	}
	g.mu.Unlock()
	if g.fleet != nil {
		g.work.Go(g.fleet.Drain)
	}
	g.front.Stop(ctx, l...)
}

// Close ends what still runs; what is not answered by then is lost.
func (g *Gateway) Close() {
	g.mu.Lock()
	g.stopping = true
	if g.pending != nil {
		g.pending.timer.Stop()
		g.pending = nil
	}
	for _, l := range g.listeners {
		l.Close()
	}
	feeds := slices.Collect(maps.Values(g.feeds))
	adm := g.admin
	g.mu.Unlock()
	g.end()
	for _, f := range feeds {
		f.stop()
	}
	if adm != nil {
		adm.close()
	}
	g.mu.Lock()
	var all []*instance
	for _, c := range g.clusters {
		c.stopTimer()
		all = append(all, c.in)
	}
	all = append(all, slices.Collect(maps.Keys(g.old))...)
	g.mu.Unlock()
	for _, in := range all {
		in.core.Retire()
		in.core.Close()
	}
	g.front.CloseIdle()
	g.work.Wait()
	if g.fleet != nil {
		g.fleet.Stop(leaveFleet)
	}
}

func nodeOf(f *config.File) *corev3.Node {
	return xds.Node(f.XDS.Node.ID, f.XDS.Node.Cluster, f.Zone)
}
