package proxy

import (
	"time"

	"robindrum/balancer"
	"robindrum/internal/backend"
	"robindrum/internal/discovery"
)

// UpdateEndpoints applies an update of the endpoint list.
func (c *Core) UpdateEndpoints(u discovery.Update) {
	settled := c.runLocked(func(now time.Duration) {
		if u.Kind != balancer.UpdateFailed {
			c.updateUpstreams(u)
		}
		c.balancer.UpdateEndpoints(now, u.EndpointUpdate)
	})
	// Written in separate goroutines, since a client that does not read must not delay the caller.
	for _, q := range settled {
		c.attempts.Go(func() { c.writeAnswer(q) })
	}
	if u.Kind == balancer.UpdateSnapshot || u.Kind == balancer.UpdateDelta || u.Kind == balancer.UpdateCached && len(u.Servers) > 0 {
		c.ready.Store(true)
	}
}

// EndpointServiceMoved reports that the endpoint list service gets another address. The caller begins a watch there.
func (c *Core) EndpointServiceMoved() {
	c.withBalancer(c.balancer.EndpointServiceMoved)
}

// updateUpstreams makes the upstreams match an update of the endpoint list.
func (c *Core) updateUpstreams(u discovery.Update) {
	if u.Kind == balancer.UpdateSnapshot || u.Kind == balancer.UpdateCached {
		for id := range c.upstreams {
			if _, ok := u.Endpoints[id]; !ok {
				c.retireUpstream(id)
			}
		}
	}
	for _, s := range u.Servers {
		addr, ok := u.Endpoints[s.ID]
		old := c.upstreams[s.ID]
		switch {
		case !ok:
			c.retireUpstream(s.ID)
		case old == nil:
			c.upstreams[s.ID] = c.pool.Upstream(addr, s.Since)
		case old.Addr() != addr || old.Since() != s.Since:
			c.retireUpstream(s.ID)
			c.upstreams[s.ID] = c.pool.Upstream(addr, s.Since)
		}
		if up := c.upstreams[s.ID]; up != nil {
			up.SetDraining(s.State == balancer.Draining)
		}
	}
}

func (c *Core) retireUpstream(id string) {
	if up := c.upstreams[id]; up != nil {
		up.Retire()
		delete(c.upstreams, id)
	}
}

// upstream returns a server's upstream. If the server is no longer in the endpoint list, the upstream has no address.
func (c *Core) upstream(server string) *backend.Upstream {
	if up := c.upstreams[server]; up != nil {
		return up
	}
	return c.pool.Unlisted()
}
