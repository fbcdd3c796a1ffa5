package gateway

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"robindrum/internal/config"
	"robindrum/internal/xds"
)

// watchSpec is what a configuration needs of a watch.
type watchSpec struct {
	name         string
	configKey    string // a source made with other settings cannot be used on
	subscription string // the services and classes, as text
	services     []string
	options      xds.Options
	isFile       bool
	path         string // of a file
}

// watchSet is the watches of a configuration that is about to be used.
type watchSet struct {
	watches     map[string]*watch
	resubscribe []func() // changes the subscriptions of watches that stay
}

// watchSpecs returns the specs of a configuration's watches by name.
func watchSpecs(f *config.File) map[string]*watchSpec {
	specs := map[string]*watchSpec{}
	for name, services := range servicesByWatch(f) {
		slices.Sort(services)
		services = slices.Compact(services)
		spec := &watchSpec{
			name:      name,
			configKey: name,
			services:  services,
			options:   xds.Options{Services: services, Classes: classNames(f)},
		}
		spec.subscription = fmt.Sprint(services, spec.options.Classes)
		spec.path, spec.isFile = strings.CutPrefix(name, fileWatchPrefix)
		if name == xdsWatch {
			spec.applyXDS(f)
		}
		specs[name] = spec
	}
	return specs
}

// servicesByWatch returns the services that each watch is to subscribe to.
func servicesByWatch(f *config.File) map[string][]string {
	services := map[string][]string{}
	if f.XDS != nil {
		services[xdsWatch] = nil
	}
	for i := range f.Clusters {
		c := &f.Clusters[i]
		switch {
		case c.File != nil:
			name := fileWatch(f.Resolve(c.File.Path))
			services[name] = append(services[name], cmp.Or(c.File.Service, c.Name))
		case c.XDS != nil:
			services[xdsWatch] = append(services[xdsWatch], cmp.Or(c.XDS.Service, c.Name))
		}
	}
	return services
}

func classNames(f *config.File) map[string]bool {
	names := map[string]bool{}
	for i := range f.Classes {
		names[f.Classes[i].Name] = true
	}
	return names
}

// applyXDS takes over the settings of the control planes.
func (s *watchSpec) applyXDS(f *config.File) {
	settings := f.XDS
	s.configKey = fmt.Sprintf("%+v %s", *settings, f.Zone)
	s.options.Clusters = settings.Clusters
	s.options.RouteConfigName = settings.RouteConfigName
	s.options.ListenerName = settings.ListenerName
	s.options.Delta = settings.Variant == config.Delta
	s.options.FetchTimeout = settings.InitialFetchTimeout.D()
	if settings.Path != "" {
		s.path = f.Resolve(settings.Path)
		s.isFile = true
	}
}

// openWatches returns the watches of a configuration: those in use where their settings are unchanged, new ones else. At
// the first start a file that cannot be used is an error; later the status shows it like any other rejection.
func (g *Gateway) openWatches(f *config.File, first bool) (*watchSet, error) {
	set := &watchSet{watches: map[string]*watch{}}
	specs := watchSpecs(f)
	for _, name := range slices.Sorted(maps.Keys(specs)) {
		spec := specs[name]
		current := g.watches[name]
		if current != nil && current.configKey == spec.configKey {
			set.watches[name] = current
			if current.subscription != spec.subscription {
				set.resubscribe = append(set.resubscribe, func() { g.resubscribe(current, spec) })
			}
			continue
		}
		opened, err := g.openWatch(f, spec)
		if err != nil && first {
			return nil, err
		}
		set.watches[name] = opened
	}
	return set, nil
}

// resubscribe changes the subscription of a watch in use. It does so in the background, as the source delivers changes
// under the gateway's lock, which is held here.
func (g *Gateway) resubscribe(w *watch, spec *watchSpec) {
	w.subscription = spec.subscription
	g.background.Go(func() { w.source.Subscribe(spec.services, spec.options.Classes) })
}

// openWatch returns a new watch. The error is that of reading its file; the watch can be used all the same.
func (g *Gateway) openWatch(f *config.File, spec *watchSpec) (*watch, error) {
	w := &watch{
		gateway:      g,
		name:         spec.name,
		configKey:    spec.configKey,
		subscription: spec.subscription,
		resources:    map[xds.Type]map[string]xds.Resource{},
	}
	if !spec.isFile {
		w.source = g.newClient(f, spec, w)
		return w, nil
	}
	file := xds.NewFileSource(spec.path, spec.options, g.Now, g.log, w)
	w.source = file
	w.loading = true
	err := file.Load()
	w.loading = false
	return w, err
}

// newClient returns a client of the configured control planes, which the site shares where the fleet is to.
func (g *Gateway) newClient(f *config.File, spec *watchSpec, sink xds.Sink) source {
	settings := f.XDS
	options := xds.ClientOptions{
		Options:         spec.options,
		Servers:         settings.Servers,
		ConnectTimeout:  settings.ConnectTimeout.D(),
		BackoffBase:     settings.BackoffBase.D(),
		MaxBackoff:      settings.MaxBackoff.D(),
		Keepalive:       settings.Keepalive.D(),
		MaxMessageBytes: int(settings.MaxMessageBytes),
		Now:             g.Now,
		Log:             g.log,
	}
	options.Node = xds.Node(settings.Node.ID, settings.Node.Cluster, f.Zone)
	if g.fleet != nil && g.fleet.Config().Subscription != nil {
		return newSharedSource(g.fleet, options, g.log, sink)
	}
	return xds.NewClient(options, sink)
}

// replaceWatches uses new watches in place of the current ones: it starts those that are new and stops, in the background,
// those that are no longer needed.
func (g *Gateway) replaceWatches(set *watchSet) {
	for name, current := range g.watches {
		if set.watches[name] != current {
			current.stopped = true
			g.background.Go(current.stop)
		}
	}
	for name, w := range set.watches {
		if g.watches[name] != w {
			w.start(g.ctx)
		}
	}
	g.watches = set.watches
	if w := set.watches[xdsWatch]; w != nil {
		shared, _ := w.source.(*sharedSource)
		g.sharedSource.Store(shared)
	}
	for _, resubscribe := range set.resubscribe {
		resubscribe()
	}
}
