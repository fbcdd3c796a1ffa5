package gateway

import (
	"fmt"
	"math"
	"slices"
	"time"

	"robindrum/internal/drain"
	"robindrum/internal/endpoints"
	"robindrum/internal/xds"
)

// refreshCluster applies the current endpoint list of a cluster's source.
func (g *Gateway) refreshCluster(c *cluster) {
	spec := &c.spec
	switch {
	case spec.inline != nil:
		g.applyAssignment(c, spec.inline, spec.version, g.Now())
	case spec.source == sourceStatic:
		g.applyUpdate(c, staticUpdate(spec))
	default:
		if w := g.watches[spec.source]; w != nil {
			g.refreshFromWatch(c, w)
		}
	}
}

// staticUpdate returns the endpoint list of a cluster whose endpoints are in the configuration.
func staticUpdate(spec *clusterSpec) endpoints.Update {
	update := endpoints.Update{Source: sourceStatic}
	for i := range spec.staticEndpoints {
		e := &spec.staticEndpoints[i]
		update.Endpoints = append(update.Endpoints, endpoints.Endpoint{
			Address:  e.Address,
			Zone:     e.Zone,
			Kind:     e.Kind,
			Cell:     e.Cell,
			Weight:   e.Weight,
			Priority: e.Priority,
		})
	}
	return update
}

// refreshFromWatch applies the endpoint resource of a cluster if the watch has received it.
func (g *Gateway) refreshFromWatch(c *cluster, w *watch) {
	r, ok := w.get(xds.EndpointType, c.spec.service)
	if !ok {
		return
	}
	c.rejection = r.RejectedReason
	c.warnings = append(slices.Clone(c.spec.warnings), r.Warnings...)
	assignment, ok := r.Value.(*xds.Assignment)
	switch {
	case ok:
		g.applyAssignment(c, assignment, r.Version, r.UpdatedAt)
	case r.State == xds.Absent:
		c.stopStaleTimer()
		c.dropThreshold.Store(0)
		g.applyUpdate(c, endpoints.Update{Source: sourceName(c.spec.source), Stale: r.AbsentReason})
	}
}

// applyAssignment applies an assignment from a control plane or a file. If the assignment sets StaleAfter, it is marked stale
// after that time.
func (g *Gateway) applyAssignment(c *cluster, assignment *xds.Assignment, version string, updatedAt time.Duration) {
	c.stopStaleTimer()
	c.dropThreshold.Store(uint64(math.Round(assignment.DropFraction * dropScale)))
	c.overprovision = assignment.OverprovisioningFactor
	c.current.updateOverprovision()
	update := assignment.Update(sourceName(c.spec.source), version, c.spec.localityWeights)
	if assignment.StaleAfter > 0 {
		remaining := updatedAt + assignment.StaleAfter - g.Now()
		if remaining <= 0 {
			update.Stale = fmt.Sprintf("nothing was said of it for %v", assignment.StaleAfter)
		} else {
			c.staleTimer = time.AfterFunc(remaining, func() { g.expireAssignment(c) })
		}
	}
	g.applyUpdate(c, update)
}

func (g *Gateway) expireAssignment(c *cluster) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.clusters[c.name] == c && !g.stopping {
		g.refreshCluster(c)
	}
}

// applyUpdate marks the drained endpoints of an endpoint list, and applies the list to the view and to the current and the
// retired cores of a cluster.
func (g *Gateway) applyUpdate(c *cluster, update endpoints.Update) {
	if len(g.drainedTargets) > 0 {
		update.Endpoints = slices.Clone(update.Endpoints)
		for i := range update.Endpoints {
			e := &update.Endpoints[i]
			e.DrainedByFleet = g.isDrained(c.name, e)
		}
	}
	changes := c.view.Apply(g.Now(), update)
	if changes == nil {
		return
	}
	c.current.core.UpdateEndpoints(*changes)
	for instance := range g.retired {
		if instance.cluster == c {
			instance.core.UpdateEndpoints(*changes)
		}
	}
}

// isDrained reports whether an endpoint is out of service because of a drain request.
func (g *Gateway) isDrained(cluster string, e *endpoints.Endpoint) bool {
	return slices.ContainsFunc(g.drainedTargets, func(target drain.Target) bool {
		return target.MatchesEndpoint(cluster, e.Address, e.Zone)
	})
}
