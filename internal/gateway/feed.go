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

// xdsFeed is the feed of the configuration's control planes, or of the file in their place.
const xdsFeed = "xds"

func fileFeed(path string) string { return "file:" + path }

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

// feed is a source with what it told last. It is the source's Sink.
type feed struct {
	g     *Gateway
	name  string
	key   string // what it was made from: another one needs another source
	src   source
	end   context.CancelFunc
	done  sync.WaitGroup
	named string // what it was asked for last

	// under the gateway's lock:
	told map[xds.Type]map[string]xds.Resource
	gone bool
	// private: it is being made, and nobody else knows of it.
	private bool
}

// Changed takes what a source learnt.
func (f *feed) Changed(changes []xds.Change) {
	if f.private {
		f.note(changes)
		return
	}
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	f.changed(changes)
}

// note keeps what was told; whole tells whether it is more than endpoints.
func (f *feed) note(changes []xds.Change) (whole bool, services map[string]bool) {
	services = map[string]bool{}
	for _, c := range changes {
		m := f.told[c.Type]
		if m == nil {
			m = map[string]xds.Resource{}
			f.told[c.Type] = m
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

func (f *feed) changed(changes []xds.Change) {
	whole, services := f.note(changes)
	if f.gone || f.g.stopping || f.g.feeds[f.name] != f {
		return
	}
	if whole {
		f.g.sync(nil)
	} else {
		for _, c := range f.g.clusters {
			if c.spec.source == f.name && services[c.spec.service] && !c.leaving() {
				f.g.hear(c)
			}
		}
	}
	f.prune()
	if p := f.g.pending; p != nil && !whole { // its clusters may have endpoints now
		f.g.propose(p.routing)
	}
}

// prune forgets endpoints that no cluster has. Danger: a cluster that comes back would begin with the word that its
// endpoints are not asked for any more, and refuse requests that are to wait for them.
func (f *feed) prune() {
	used := map[string]bool{}
	for _, c := range f.g.clusters {
		if c.spec.source == f.name && !c.leaving() {
			used[c.spec.service] = true
		}
	}
	maps.DeleteFunc(f.told[xds.EndpointType], func(name string, _ xds.Resource) bool { return !used[name] })
}

func (f *feed) get(t xds.Type, name string) (xds.Resource, bool) {
	r, ok := f.told[t][name]
	return r, ok
}

// routes gives the routes that a source tells, and what it says of them where there are none.
func (f *feed) routes(x *config.XDS) (*xds.Routes, string) {
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

func (f *feed) all(t xds.Type) []xds.Resource {
	l := make([]xds.Resource, 0, len(f.told[t]))
	for _, name := range slices.Sorted(maps.Keys(f.told[t])) {
		l = append(l, f.told[t][name])
	}
	return l
}

// start has the source run.
func (f *feed) start(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	f.end = cancel
	f.done.Go(func() { f.src.Run(ctx) })
}

// stop ends it. It is not called with the gateway's lock held, which the source may be waiting for.
func (f *feed) stop() {
	if f.end != nil {
		f.end()
		f.done.Wait()
	}
}

func classes(f *config.File) map[string]bool {
	m := map[string]bool{}
	for _, c := range f.Classes {
		m[c.Name] = true
	}
	return m
}

// sources makes the feeds that a configuration needs and that are not there yet. At the first start a file that cannot
// be used is an error; later it shows in the status like any other refusal.
func (g *Gateway) sources(f *config.File, first bool) (feeds map[string]*feed, after []func(), err error) {
	want := map[string][]string{} // services by feed
	if f.XDS != nil {
		want[xdsFeed] = nil
	}
	for _, c := range f.Clusters {
		service := c.Name
		switch {
		case c.File != nil:
			if c.File.Service != "" {
				service = c.File.Service
			}
			key := fileFeed(f.Resolve(c.File.Path))
			want[key] = append(want[key], service)
		case c.XDS != nil:
			if c.XDS.Service != "" {
				service = c.XDS.Service
			}
			want[xdsFeed] = append(want[xdsFeed], service)
		}
	}
	feeds = map[string]*feed{}
	for _, name := range slices.Sorted(maps.Keys(want)) {
		services := want[name]
		slices.Sort(services)
		services = slices.Compact(services)
		key := name
		path, isFile := strings.CutPrefix(name, "file:")
		opt := xds.Options{Names: services, Classes: classes(f)}
		if name == xdsFeed {
			x := f.XDS
			key = fmt.Sprintf("%+v %s", *x, f.Zone)
			opt.Clusters, opt.Routes, opt.Listener, opt.Delta = x.Clusters, x.RouteName, x.Listener, x.Variant == config.Delta
			opt.FetchTimeout = x.InitialFetchTimeout.D()
			if x.Path != "" {
				path, isFile = f.Resolve(x.Path), true
			}
		}
		named := fmt.Sprint(services, opt.Classes)
		if old := g.feeds[name]; old != nil && old.key == key {
			feeds[name] = old
			if old.named != named {
				after = append(after, func() {
					old.named = named
					// Not here: a source tells what changes under the lock that is held now.
					g.work.Go(func() { old.src.Names(services, opt.Classes) })
				})
			}
			continue
		}
		n := &feed{g: g, name: name, key: key, named: named, told: map[xds.Type]map[string]xds.Resource{}}
		if isFile {
			src := xds.NewFileSource(path, opt, g.Now, g.log, n)
			n.private = true // its first word is taken here
			err := src.Load()
			n.private = false
			if err != nil && first {
				return nil, nil, err
			}
			n.src = src
		} else {
			opt.Node = nodeOf(f)
			x := f.XDS
			o := xds.ClientOptions{Options: opt, Servers: x.Servers, ConnectTimeout: x.ConnectTimeout.D(), BackoffBase: x.BackoffBase.D(),
				BackoffMost: x.BackoffMost.D(), Keepalive: x.Keepalive.D(), Message: int(x.Message), Now: g.Now, Log: g.log}
			if g.fleet != nil && g.fleet.Config().Subscription != nil {
				n.src = newShared(g.fleet, o, g.log, n)
			} else {
				n.src = xds.NewClient(o, n)
			}
		}
		feeds[name] = n
	}
	return feeds, after, nil
}

// swap puts the feeds in place of the old ones.
func (g *Gateway) swap(feeds map[string]*feed, after []func()) {
	for name, old := range g.feeds {
		if feeds[name] != old {
			old.gone = true
			g.work.Go(old.stop)
		}
	}
	for name, f := range feeds {
		if g.feeds[name] != f {
			f.start(g.life)
		}
	}
	g.feeds = feeds
	if f := feeds[xdsFeed]; f != nil {
		s, _ := f.src.(*shared)
		g.shared.Store(s)
	}
	for _, f := range after {
		f()
	}
}

// CheckFiles reads the files of resources that a configuration names.
func CheckFiles(f *config.File) error {
	g := &Gateway{log: slog.New(slog.DiscardHandler), feeds: map[string]*feed{}}
	g.boot = time.Now()
	_, _, err := g.sources(f, true)
	return err
}
