package gateway

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"robindrum/internal/config"
	"robindrum/internal/xds"
)

// xdsWatch is the feed of the configuration's control planes, or of the file in their place.
const xdsWatch = "xds"

func fileWatch(path string) string { return "file:" + path }

func sourceName(feed string) string {
	kind, _, _ := strings.Cut(feed, ":")
	return kind
}

// source is a Client or a FileSource.
type source interface {
	Run(ctx context.Context)
	Names(names []string, classes map[string]bool)
	Link() xds.Link
	Summaries() []xds.Summary
}

// watch is a source with what it told last. It is the source's Sink.
type watch struct {
	g          *Gateway
	name       string
	configKey  string // what it was made from: another one needs another source
	source     source
	cancel     context.CancelFunc
	done       sync.WaitGroup
	subscribed string // what it was asked for last

	// under the gateway's lock:
	resources map[xds.Type]map[string]xds.Resource
	stopped   bool
	// loading: it is being made, and nobody else knows of it.
	loading bool
}

// Changed takes what a source learnt.
func (f *watch) Changed(changes []xds.Change) {
	if f.loading {
		f.store(changes)
		return
	}
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	f.applyChanges(changes)
}

// store keeps what was told; whole tells whether it is more than endpoints.
func (f *watch) store(changes []xds.Change) (whole bool, services map[string]bool) {
	services = map[string]bool{}
	for _, c := range changes {
		m := f.resources[c.Type]
		if m == nil {
			m = map[string]xds.Resource{}
			f.resources[c.Type] = m
		}
		if c.State == xds.Absent && c.Type == xds.ClusterType {
			delete(m, c.Name)
		} else {
			m[c.Name] = c.Resource
		}
		if c.Type == xds.EndpointType {
			services[c.Name] = true
		} else {
			whole = true
		}
	}
	return whole, services
}

func (f *watch) applyChanges(changes []xds.Change) {
	whole, services := f.store(changes)
	if f.stopped || f.g.stopping || f.g.watches[f.name] != f {
		return
	}
	if whole {
		f.g.reconcile(nil)
	} else {
		for _, c := range f.g.clusters {
			if c.spec.source == f.name && services[c.spec.service] && !c.isLeaving() {
				f.g.refreshCluster(c)
			}
		}
	}
	f.prune()
	if p := f.g.pendingRouting; p != nil && !whole { // its clusters may have endpoints now
		f.g.proposeRouting(p.routing)
	}
}

// prune forgets endpoints that no cluster has. Danger: a cluster that comes back would begin with the word that its
// endpoints are not asked for any more, and refuse requests that are to wait for them.
func (f *watch) prune() {
	used := map[string]bool{}
	for _, c := range f.g.clusters {
		if c.spec.source == f.name && !c.isLeaving() {
			used[c.spec.service] = true
		}
	}
	maps.DeleteFunc(f.resources[xds.EndpointType], func(name string, _ xds.Resource) bool { return !used[name] })
}

func (f *watch) get(t xds.Type, name string) (xds.Resource, bool) {
	r, ok := f.resources[t][name]
	return r, ok
}

// routes gives the routes that a source tells, and what it says of them where there are none.
func (f *watch) routes(x *config.XDS) (*xds.Routes, string) {
	name := x.RouteName
	if x.Listener != "" {
		r, _ := f.get(xds.ListenerType, x.Listener)
		l, ok := r.Value.(*xds.Listener)
		switch {
		case !ok:
			return nil, cmp.Or(r.Rejected, r.Why)
		case l.Inline != nil:
			return l.Inline, r.Rejected
		}
		name = l.RouteName
	}
	if name == "" {
		return nil, ""
	}
	r, _ := f.get(xds.RouteType, name)
	routes, _ := r.Value.(*xds.Routes)
	return routes, cmp.Or(r.Rejected, r.Why)
}

func (f *watch) all(t xds.Type) []xds.Resource {
	l := make([]xds.Resource, 0, len(f.resources[t]))
	for _, name := range slices.Sorted(maps.Keys(f.resources[t])) {
		l = append(l, f.resources[t][name])
	}
	return l
}

// start has the source run.
func (f *watch) start(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	f.cancel = cancel
	f.done.Go(func() { f.source.Run(ctx) })
}

// stop ends it. It is not called with the gateway's lock held, which the source may be waiting for.
func (f *watch) stop() {
	if f.cancel != nil {
		f.cancel()
		f.done.Wait()
	}
}

func classNames(f *config.File) map[string]bool {
	m := map[string]bool{}
	for _, c := range f.Classes {
		m[c.Name] = true
	}
	return m
}

// openWatches makes the feeds that a configuration needs and that are not there yet. At the first start a file that cannot
// be used is an error; later it shows in the status like any other refusal.
func (g *Gateway) openWatches(f *config.File, first bool) (feeds map[string]*watch, after []func(), err error) {
	want := map[string][]string{} // services by feed
	if f.XDS != nil {
		want[xdsWatch] = nil
	}
	for _, c := range f.Clusters {
		service := c.Name
		switch {
		case c.File != nil:
			if c.File.Service != "" {
				service = c.File.Service
			}
			key := fileWatch(f.Resolve(c.File.Path))
			want[key] = append(want[key], service)
		case c.XDS != nil:
			if c.XDS.Service != "" {
				service = c.XDS.Service
			}
			want[xdsWatch] = append(want[xdsWatch], service)
		}
	}
	feeds = map[string]*watch{}
	for _, name := range slices.Sorted(maps.Keys(want)) {
		services := want[name]
		slices.Sort(services)
		services = slices.Compact(services)
		key := name
		path, isFile := strings.CutPrefix(name, "file:")
		opt := xds.Options{Names: services, Classes: classNames(f)}
		if name == xdsWatch {
			x := f.XDS
			key = fmt.Sprintf("%+v %s", *x, f.Zone)
			opt.Clusters, opt.Routes, opt.Listener, opt.Delta = x.Clusters, x.RouteName, x.Listener, x.Variant == config.Delta
			opt.FetchTimeout = x.InitialFetchTimeout.D()
			if x.Path != "" {
				path, isFile = f.Resolve(x.Path), true
			}
		}
		named := fmt.Sprint(services, opt.Classes)
		if old := g.watches[name]; old != nil && old.configKey == key {
			feeds[name] = old
			if old.subscribed != named {
				after = append(after, func() {
					old.subscribed = named
					// Not here: a source tells what changes under the lock that is held now.
					g.background.Go(func() { old.source.Names(services, opt.Classes) })
				})
			}
			continue
		}
		n := &watch{g: g, name: name, configKey: key, subscribed: named, resources: map[xds.Type]map[string]xds.Resource{}}
		if isFile {
			src := xds.NewFileSource(path, opt, g.Now, g.log, n)
			n.loading = true // its first word is taken here
			err := src.Load()
			n.loading = false
			if err != nil && first {
				return nil, nil, err
			}
			n.source = src
		} else {
			opt.Node = xdsNode(f)
			x := f.XDS
			o := xds.ClientOptions{Options: opt, Servers: x.Servers, ConnectTimeout: x.ConnectTimeout.D(), BackoffBase: x.BackoffBase.D(),
				BackoffMost: x.BackoffMost.D(), Keepalive: x.Keepalive.D(), Message: int(x.Message), Now: g.Now, Log: g.log}
			if g.fleet != nil && g.fleet.Config().Subscription != nil {
				n.source = newSharedSource(g.fleet, o, g.log, n)
			} else {
				n.source = xds.NewClient(o, n)
			}
		}
		feeds[name] = n
	}
	return feeds, after, nil
}

// replaceWatches puts the feeds in place of the old ones.
func (g *Gateway) replaceWatches(feeds map[string]*watch, after []func()) {
	for name, old := range g.watches {
		if feeds[name] != old {
			old.stopped = true
			g.background.Go(old.stop)
		}
	}
	for name, f := range feeds {
		if g.watches[name] != f {
			f.start(g.ctx)
		}
	}
	g.watches = feeds
	if f := feeds[xdsWatch]; f != nil {
		s, _ := f.source.(*sharedSource)
		g.sharedSource.Store(s)
	}
	for _, f := range after {
		f()
	}
}

// CheckFiles reads the files of resources that a configuration names.
func CheckFiles(f *config.File) error {
	g := &Gateway{log: slog.New(slog.DiscardHandler), watches: map[string]*watch{}}
	g.startedAt = time.Now()
	_, _, err := g.openWatches(f, true)
	return err
}
