package gateway

import (
	"errors"
	"fmt"
	"reflect"

	"robindrum/internal/config"
	"robindrum/internal/route"
)

// ErrStopping is returned if the gateway is shutting down and no longer accepts a configuration.
var ErrStopping = errors.New("the gateway is stopping")

// Reload applies a new configuration: clusters, routes, classes and listeners. Requests in flight complete with the previous
// one. Changed process limits and fleet settings take effect only after a restart. On an error nothing changes, and the
// status shows that the configuration was rejected.
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

// Configure replaces sections of the process's own configuration with the sections in text, which a release sets. An empty
// text removes the sections of the previous release. On an error nothing changes. It implements fleet.Agent.
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

// applyWithRelease applies a configuration after replacing sections of it with those of a release, if there are any.
func (g *Gateway) applyWithRelease(f *config.File, sections string) error {
	if sections != "" {
		var err error
		f, err = f.WithRelease(sections)
		if err != nil {
			return err
		}
	}
	return g.apply(f, false)
}

// RecordRejection records that a new configuration could not be read, so that the status shows it.
func (g *Gateway) RecordRejection(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordRejection(err)
}

func (g *Gateway) recordRejection(err error) {
	g.rejection = err.Error()
	g.rejectedAt = g.Now()
	g.log.Error("configuration rejected, keeping the current one", "error", err)
}

// apply applies a configuration. It performs all steps that can fail first, and changes nothing if one of them does.
func (g *Gateway) apply(f *config.File, first bool) error {
	table, err := route.Compile(f.RouteTable(), route.Options{})
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
		g.warnIfRestartRequired(g.config, f)
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

// warnIfRestartRequired logs which changes take effect only after a restart.
func (g *Gateway) warnIfRestartRequired(old, updated *config.File) {
	a, b := &old.Limits, &updated.Limits
	if a.Descriptors != b.Descriptors || a.Memory != b.Memory || a.Requests != b.Requests || a.Body != b.Body {
		g.log.Warn("changed process limits take effect after a restart")
	}
	if !reflect.DeepEqual(old.Fleet, updated.Fleet) {
		g.log.Warn("changed fleet settings take effect after a restart")
	}
}
