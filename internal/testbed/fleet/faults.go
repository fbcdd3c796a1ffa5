package fleet

import (
	"maps"
	"math"
	"slices"
	"time"
)

// serversOf returns the servers of a zone.
func (f *Fleet) serversOf(zone string) []*server {
	var servers []*server
	for _, s := range f.serverOrder {
		if s.zone == zone {
			servers = append(servers, s)
		}
	}
	return servers
}

// firstServersOf returns the first servers of a zone, as many as the given fraction.
func (f *Fleet) firstServersOf(zone string, fraction float64) []*server {
	servers := f.serversOf(zone)
	n := int(math.Round(fraction * float64(len(servers))))
	return servers[:min(max(n, 0), len(servers))]
}

// FailServers puts a fraction of a zone's servers into a state. The zone counts as live if the fraction is below 1.
func (f *Fleet) FailServers(zone string, state ServerState, fraction float64) {
	for _, s := range f.firstServersOf(zone, fraction) {
		s.state = state
		if state == RefusesConnections || state == ResetsAfterRequest || state == Responds503 {
			s.dropQueue()
			s.busy = 0
		}
	}
	f.liveZones[zone] = fraction < 1
}

// SetDraining starts or ends the drain of a fraction of a zone's servers. Gateways learn of it from PublishEndpoints.
func (f *Fleet) SetDraining(zone string, fraction float64, draining bool) {
	for _, s := range f.firstServersOf(zone, fraction) {
		s.draining = draining
		s.drainPublishedAt = 0
	}
}

// SlowDown multiplies the service time of a zone's servers.
func (f *Fleet) SlowDown(zone string, factor float64) {
	for _, s := range f.serversOf(zone) {
		s.slowdown *= factor
	}
}

// SetRejectedClass sets whether a zone's servers reject the requests of a class.
func (f *Fleet) SetRejectedClass(zone, class string, rejected bool) {
	for _, s := range f.serversOf(zone) {
		s.rejects = map[string]bool{class: rejected}
	}
}

// RestartServers restarts the failed servers of a zone, which are cold then. As many as renamed get new ids. Gateways learn of these from
// PublishEndpoints.
func (f *Fleet) RestartServers(zone string, renamed int) {
	f.liveZones[zone] = true
	for _, s := range f.serversOf(zone) {
		if s.state == Healthy {
			continue
		}
		if renamed > 0 {
			renamed--
			delete(f.servers, s.id)
			s.id += "'"
			f.servers[s.id] = s
		}
		s.restart()
	}
}

func (s *server) restart() {
	s.state = Healthy
	s.startedAt = s.fleet.now
	s.crashedUntil = 0
	s.draining = false
	s.drainPublishedAt = 0
	s.busy = 0
	s.queue = nil
	s.arrivals = nil
}

// ReviveServers ends the failure of a zone's servers without a restart: they are warm. The zone still does not count as live, because it may
// fail again.
func (f *Fleet) ReviveServers(zone string) {
	for _, s := range f.serversOf(zone) {
		s.state = Healthy
		s.busy = 0
		s.queue = nil
	}
}

// RestartGateways kills a fraction of the gateways at once, spread over the zones, and fails their requests in flight. The gateways start
// again after downtime, without an endpoint list. Until they are ready, clients use ready gateways. Run returns an error of
// RestartGateways.
func (f *Fleet) RestartGateways(fraction float64, downtime time.Duration) {
	n := int(math.Round(fraction * float64(len(f.gateways))))
	for number := range n {
		f.kill(f.gateways[number])
		g, err := f.newGateway(number)
		if err != nil {
			f.err = err
			return
		}
		g.startedAt = f.now
		f.gateways[number] = g
		f.after(downtime, func() {
			g.startedAt = f.now
			f.callSource(g, 0)
		})
	}
}

// kill ends a gateway and fails all its requests.
func (f *Fleet) kill(g *gateway) {
	g.killed = true
	g.ready = false
	// Fail requests in the order of ids, so that random pauses of clients are drawn in a reproducible order.
	for _, id := range slices.Sorted(maps.Keys(g.open)) {
		f.fail(g.open[id])
	}
	clear(g.open)
}
