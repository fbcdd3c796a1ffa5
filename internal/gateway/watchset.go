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

// watchSpec is the desired state of a watch according to a configuration.
type watchSpec struct {
	name         string
	configKey    string // identifies the settings of the source; if it changes, a new source is needed
	subscription string // textual form of services and classes
	services     []string
	options      xds.Options
	isFile       bool
	path         string // of the file, if isFile is set
}

// watchSet is the set of watches of a configuration that is being applied.
type watchSet struct {
	watches     map[string]*watch
	resubscribe []func() // functions that change the subscriptions of watches that are kept
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

// servicesByWatch returns the services that each watch must subscribe to, by the name of the watch.
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

// applyXDS sets the spec according to the xds section of a configuration.
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

// openWatches returns the watches of a configuration. It keeps the current watches whose settings are unchanged and opens new
// ones for the others. If first is set, an invalid file is an error; otherwise only the status shows it, like any other
// rejected update.
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

// resubscribe changes the subscription of a watch in use. The caller holds the gateway's mu, which the source needs to deliver
// changes, so the source is changed in the background.
func (g *Gateway) resubscribe(w *watch, spec *watchSpec) {
	w.subscription = spec.subscription
	g.background.Go(func() { w.source.Subscribe(spec.services, spec.options.Classes) })
}

// openWatch returns a new watch. If its file cannot be read, openWatch returns both the error and a watch that can be used.
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

// newClient returns a client of the configured control planes, or a sharedSource if the fleet shares a subscription per site.
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

// replaceWatches replaces the current watches with those of a set. It starts the new watches, and stops those that are no
// longer needed in the background.
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
