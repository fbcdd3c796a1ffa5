package gateway

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"robindrum/internal/config"
	"robindrum/internal/xds"
)

// xdsWatch is the watch of the configured control planes, or of the file in their place.
const xdsWatch = "xds"

const fileWatchPrefix = "file:"

// fileWatch returns the name of the watch of a file of resources.
func fileWatch(path string) string { return fileWatchPrefix + path }

// sourceName returns the kind of a watch, as the status shows it.
func sourceName(watch string) string {
	kind, _, _ := strings.Cut(watch, ":")
	return kind
}

// source is a Client, a FileSource or a sharedSource.
type source interface {
	Run(ctx context.Context)
	Subscribe(names []string, classes map[string]bool)
	Connection() xds.Connection
	Summaries() []xds.Summary
}

// watch caches the resources of a source. It is the source's Sink.
type watch struct {
	gateway   *Gateway
	name      string
	configKey string // of the settings that the source was made with
	source    source
	cancel    context.CancelFunc // nil: not started
	running   sync.WaitGroup

	// Guarded by the gateway's mu.
	subscription string // what the source is subscribed to, as text
	resources    map[xds.Type]map[string]xds.Resource
	stopped      bool
	loading      bool // it is being made, and nothing else refers to it
}

// Changed implements xds.Sink.
func (w *watch) Changed(changes []xds.Change) {
	if w.loading {
		w.store(changes)
		return
	}
	w.gateway.mu.Lock()
	defer w.gateway.mu.Unlock()
	w.applyChanges(changes)
}

// store caches changed resources. It returns the changed endpoint resources and whether others changed as well.
func (w *watch) store(changes []xds.Change) (services map[string]bool, otherTypes bool) {
	services = map[string]bool{}
	for _, change := range changes {
		cached := w.resources[change.Type]
		if cached == nil {
			cached = map[string]xds.Resource{}
			w.resources[change.Type] = cached
		}
		if change.State == xds.Absent && change.Type == xds.ClusterType {
			delete(cached, change.Name)
		} else {
			cached[change.Name] = change.Resource
		}
		if change.Type == xds.EndpointType {
			services[change.Name] = true
		} else {
			otherTypes = true
		}
	}
	return services, otherTypes
}

// applyChanges caches changed resources and brings clusters and routes up to date with them.
func (w *watch) applyChanges(changes []xds.Change) {
	g := w.gateway
	services, otherTypes := w.store(changes)
	if w.stopped || g.stopping || g.watches[w.name] != w {
		return
	}
	if otherTypes {
		g.reconcile(nil)
		w.prune()
		return
	}
	for _, c := range g.clusters {
		if c.spec.source == w.name && services[c.spec.service] && !c.isLeaving() {
			g.refreshCluster(c)
		}
	}
	w.prune()
	if g.pendingRouting != nil { // its clusters may have endpoints now
		g.proposeRouting(g.pendingRouting.routing)
	}
}

// prune drops endpoint resources that no cluster uses. A cluster that comes back must not start with the state "not
// subscribed", by which it would reject requests that are to wait for its endpoints.
func (w *watch) prune() {
	used := map[string]bool{}
	for _, c := range w.gateway.clusters {
		if c.spec.source == w.name && !c.isLeaving() {
			used[c.spec.service] = true
		}
	}
	maps.DeleteFunc(w.resources[xds.EndpointType], func(name string, _ xds.Resource) bool { return !used[name] })
}

func (w *watch) get(t xds.Type, name string) (xds.Resource, bool) {
	r, ok := w.resources[t][name]
	return r, ok
}

// all returns the cached resources of a type sorted by name.
func (w *watch) all(t xds.Type) []xds.Resource {
	resources := make([]xds.Resource, 0, len(w.resources[t]))
	for _, name := range slices.Sorted(maps.Keys(w.resources[t])) {
		resources = append(resources, w.resources[t][name])
	}
	return resources
}

// routes returns the routes of the source and why the newest are not used. Routes are nil where there are none.
func (w *watch) routes(settings *config.XDS) (routes *xds.Routes, reason string) {
	name := settings.RouteConfigName
	if settings.ListenerName != "" {
		r, _ := w.get(xds.ListenerType, settings.ListenerName)
		listener, ok := r.Value.(*xds.Listener)
		switch {
		case !ok:
			return nil, cmp.Or(r.RejectedReason, r.AbsentReason)
		case listener.Inline != nil:
			return listener.Inline, r.RejectedReason
		}
		name = listener.RouteName
	}
	if name == "" {
		return nil, ""
	}
	r, _ := w.get(xds.RouteType, name)
	routes, _ = r.Value.(*xds.Routes)
	return routes, cmp.Or(r.RejectedReason, r.AbsentReason)
}

// start runs the source until stop, or until parent ends.
func (w *watch) start(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	w.cancel = cancel
	w.running.Go(func() { w.source.Run(ctx) })
}

// stop ends the source and waits for it. It must not be called with the gateway's lock held, which the source may wait
// for.
func (w *watch) stop() {
	if w.cancel != nil {
		w.cancel()
		w.running.Wait()
	}
}

// CheckFiles reads the files of resources that a configuration names and returns what is wrong with them.
func CheckFiles(f *config.File) error {
	g := &Gateway{log: slog.New(slog.DiscardHandler), watches: map[string]*watch{}, startedAt: time.Now()}
	_, err := g.openWatches(f, true)
	return err
}
