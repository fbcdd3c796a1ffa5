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

// xdsWatch is the name of the watch of the configured control planes, or of the file that is configured instead of them.
const xdsWatch = "xds"

const fileWatchPrefix = "file:"

// fileWatch returns the name of the watch of a resource file.
func fileWatch(path string) string { return fileWatchPrefix + path }

// sourceName returns the kind of source of a watch as shown in /status.
func sourceName(watch string) string {
	kind, _, _ := strings.Cut(watch, ":")
	return kind
}

// source is an xds.Client, an xds.FileSource or a sharedSource.
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
	configKey string // identifies the settings of the source
	source    source
	cancel    context.CancelFunc // nil if not started
	running   sync.WaitGroup

	// Guarded by the gateway's mu.
	subscription string // textual form of what the source is subscribed to
	resources    map[xds.Type]map[string]xds.Resource
	stopped      bool
	loading      bool // being created; nothing else refers to the watch
}

// Changed applies changed resources. It implements xds.Sink.
func (w *watch) Changed(changes []xds.Change) {
	if w.loading {
		w.store(changes)
		return
	}
	w.gateway.mu.Lock()
	defer w.gateway.mu.Unlock()
	w.applyChanges(changes)
}

// store caches changed resources. It returns the names of the changed endpoint resources, and whether resources of other
// types have changed.
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

// applyChanges caches changed resources and updates clusters and routes accordingly.
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

// prune removes cached endpoint resources that no cluster uses. Otherwise a cluster that is added again would start in the
// state "not subscribed" and reject requests that must wait for its endpoints.
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

// routes returns the routes of the source, or nil if there are none, and the reason why the newest routes are not used.
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

// start runs the source in the background until stop is called or parent is done.
func (w *watch) start(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	w.cancel = cancel
	w.running.Go(func() { w.source.Run(ctx) })
}

// stop stops the source and waits until it has ended. The caller must not hold the gateway's mu, which the source may be
// waiting for.
func (w *watch) stop() {
	if w.cancel != nil {
		w.cancel()
		w.running.Wait()
	}
}

// CheckFiles reads the resource files of a configuration and returns an error if one of them is invalid.
func CheckFiles(f *config.File) error {
	g := &Gateway{log: slog.New(slog.DiscardHandler), watches: map[string]*watch{}, startedAt: time.Now()}
	_, err := g.openWatches(f, true)
	return err
}
