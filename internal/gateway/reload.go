package gateway

import (
	"errors"
	"fmt"
	"reflect"

	"robindrum/internal/config"
	"robindrum/internal/route"
)

// ErrStopping is returned where the gateway is shutting down and takes no configuration any more.
var ErrStopping = errors.New("the gateway is stopping")

// Reload takes over a new configuration: clusters, routes, classes and listeners. Requests in flight end where they are.
// The limits of the process and the fleet change with the next start only. On an error nothing changes, and the status
// says that the configuration was rejected.
func (g *Gateway) Reload(f *config.File) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return ErrStopping
	}
	err := g.applyWithRelease(f, g.releaseSections)
	if err != nil {
		g.recordRejection(err)
		return err
	}
	g.localConfig = f
	return nil
}

// Configure replaces sections of the process's own configuration by those of a release, or removes the former release's
// where text is empty. On an error nothing changes. It implements fleet.Agent.
func (g *Gateway) Configure(_, text string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return ErrStopping
	}
	err := g.applyWithRelease(g.localConfig, text)
	if err != nil {
		return err
	}
	g.releaseSections = text
	return nil
}

// applyWithRelease applies a configuration with the sections of a release in place of its own, if there are any.
func (g *Gateway) applyWithRelease(f *config.File, sections string) error {
	if sections != "" {
		var err error
		f, err = f.With(sections)
		if err != nil {
			return err
		}
	}
	return g.apply(f, false)
}

// RecordRejection records that a new configuration could not even be read.
func (g *Gateway) RecordRejection(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordRejection(err)
}

func (g *Gateway) recordRejection(err error) {
	g.rejection = err.Error()
	g.rejectedAt = g.Now()
	g.log.Error("configuration rejected, keeping the former one", "error", err)
}

// apply takes over a configuration: it first prepares all that can fail, and changes nothing where something does.
func (g *Gateway) apply(f *config.File, first bool) error {
	table, err := route.Compile(f.Table(), route.Options{})
	if err != nil {
		return fmt.Errorf("%s: %w", f.Path(), err)
	}
	opened, err := g.openListeners(f)
	if err != nil {
		return err
	}
	admin, err := g.listenAdmin(f)
	if err != nil {
		closeListeners(opened)
		return err
	}
	watches, err := g.openWatches(f, first)
	if err != nil {
		closeListeners(opened)
		if admin != nil && admin != g.admin {
			admin.listener.Close()
		}
		return err
	}

	if g.config != nil {
		g.warnOfFixedSettings(g.config, f)
	}
	g.config = f
	g.reloadedAt = g.Now()
	g.rejection = ""
	g.rateLimits = newRateLimits(f, g.rateLimits)
	g.replaceWatches(watches)
	g.replaceListeners(f, opened)
	g.replaceAdmin(admin)
	g.reconcile(table)
	return nil
}

// warnOfFixedSettings logs which differences take effect at the next start only.
func (g *Gateway) warnOfFixedSettings(old, updated *config.File) {
	a, b := &old.Limits, &updated.Limits
	if a.Descriptors != b.Descriptors || a.Memory != b.Memory || a.Requests != b.Requests || a.Body != b.Body {
		g.log.Warn("changed limits of the process take effect at the next start")
	}
	if !reflect.DeepEqual(old.Fleet, updated.Fleet) {
		g.log.Warn("changed fleet settings take effect at the next start")
	}
}
