// Package endpoints converts the endpoint lists of a cluster's source into updates for the balancer. Every source (the
// configuration, a file, xDS) provides complete lists in the same form. A View stores the last list, computes what has changed
// and records for each excluded endpoint why it gets no new requests. The package does no I/O and does not read the clock:
// functions get the time as an argument.
package endpoints

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"robindrum/balancer"
	"robindrum/internal/discovery"
)

// Health is the health status that a source reports for an endpoint. The values correspond to Envoy's HealthStatus.
type Health uint8

// The values of Health. Unknown counts as healthy, and Timeout (of a health check) as unhealthy. Degraded endpoints are used
// only if the priority in use has no healthy endpoint.
const (
	Unknown Health = iota
	Healthy
	Degraded
	Draining
	Unhealthy
	Timeout
)

// String returns the name in lower case, as /status shows it.
func (h Health) String() string {
	return [...]string{"unknown", "healthy", "degraded", "draining", "unhealthy", "timeout"}[h]
}

// Endpoint is one entry of an endpoint list.
type Endpoint struct {
	Address  string // host:port; identifies the endpoint within its cluster
	Hostname string
	Zone     string
	SubZone  string
	Kind     string
	Cell     int
	Weight   float64 // greater than 0; default 1
	Priority int     // 0 is the highest; only the highest priority that has a usable endpoint gets requests
	Health   Health
	// DrainedByFleet marks an endpoint that a drain request has taken out of service. It gets no new requests. When the drain
	// request ends, the endpoint counts as newly added.
	DrainedByFleet bool
}

// identity returns the properties that identify an endpoint besides its address. If they change, the endpoint at the address is
// a new one.
func (e *Endpoint) identity() string {
	return strings.Join([]string{e.Hostname, e.Zone, e.SubZone, e.Kind}, "\x00")
}

// isHealthy reports whether the endpoint is in service and its health is Healthy or Unknown.
func (e *Endpoint) isHealthy() bool {
	return !e.DrainedByFleet && (e.Health == Unknown || e.Health == Healthy)
}

// isUsable reports whether the endpoint is in service and its health is Healthy, Unknown or Degraded.
func (e *Endpoint) isUsable() bool {
	return e.isHealthy() || !e.DrainedByFleet && e.Health == Degraded
}

// Update is the complete endpoint list of a source at one time.
type Update struct {
	Source    string // "static", "file", "xds", ...
	Version   string
	Endpoints []Endpoint
	// Stale is the reason why the list must no longer be used, or empty. A stale list excludes all its endpoints.
	Stale string
}

// Server is an endpoint together with its state in a View.
type Server struct {
	Endpoint
	AddedAt        time.Duration // Unix time at which it was added; 0: it was in the first list
	ExcludedReason string        // why it gets no new requests; empty if it is not excluded
}

// balancerServer converts the endpoint for the balancer. The priority is left out unless withPriority is set.
func (s *Server) balancerServer(withPriority bool) balancer.Server {
	server := balancer.Server{
		ID:     s.Address,
		Zone:   s.Zone,
		Kind:   s.Kind,
		Cell:   s.Cell,
		Weight: s.Weight,
		Since:  s.AddedAt,
	}
	if withPriority {
		server.Priority = s.Priority
	}
	if s.ExcludedReason != "" {
		server.State = balancer.Draining
	}
	return server
}

// View stores the last endpoint list of one cluster. The zero View has no list. A View is not safe for concurrent use.
type View struct {
	// SendPriorities passes the priorities to the balancer, which then selects the priority to use. Endpoints of other
	// priorities than the one in use are then not excluded. Recompute must be called after a change of SendPriorities.
	SendPriorities bool

	known   bool // whether there was an update
	last    Update
	lastAt  time.Duration              // time of the last update, even if it changed nothing
	servers map[string]*Server         // by address
	sent    map[string]balancer.Server // as last sent to the balancer, by ID
	usable  int                        // number of servers that are not excluded
}

// Apply applies a source's list at now (Unix time) and returns the changes for the balancer, or nil if there are none. For the
// first list, it returns a snapshot. The endpoints of the first list count as warmed up. An endpoint counts as new if it is added
// later, is back in service after a drain request, or has another identity at the same address.
func (v *View) Apply(now time.Duration, update Update) *discovery.Update {
	first := !v.known
	v.known = true
	v.last = update
	v.lastAt = now
	v.replaceServers(now, update.Endpoints, first)
	v.updateExclusions()
	changes := v.replaceSent(first)
	if first {
		changes.Kind = balancer.UpdateSnapshot
		return changes
	}
	if len(changes.Servers) == 0 {
		return nil
	}
	return changes
}

// replaceServers replaces the servers by the endpoints of a new list. It never modifies an existing Server, because a List may
// refer to it.
func (v *View) replaceServers(now time.Duration, list []Endpoint, first bool) {
	servers := make(map[string]*Server, len(list))
	for _, endpoint := range list {
		server := &Server{Endpoint: endpoint}
		old := v.servers[endpoint.Address]
		same := old != nil && old.identity() == endpoint.identity()
		backInService := same && old.DrainedByFleet && !endpoint.DrainedByFleet
		switch {
		case same && !backInService:
			server.AddedAt = old.AddedAt
		case !first:
			server.AddedAt = now
		}
		servers[endpoint.Address] = server
	}
	v.servers = servers
}

// replaceSent computes the servers for the balancer and returns the difference from those that were last sent to it.
func (v *View) replaceSent(first bool) *discovery.Update {
	changes := &discovery.Update{Endpoints: map[string]string{}}
	changes.Kind = balancer.UpdateDelta
	sent := make(map[string]balancer.Server, len(v.servers))
	for _, endpoint := range v.last.Endpoints {
		server := v.servers[endpoint.Address].balancerServer(v.SendPriorities)
		old, wasSent := v.sent[server.ID]
		if first || !wasSent || old != server {
			changes.Servers = append(changes.Servers, server)
			changes.Endpoints[server.ID] = endpoint.Address
		}
		sent[server.ID] = server
	}
	for id, server := range v.sent {
		if _, listed := sent[id]; !listed {
			server.State = balancer.Removed
			changes.Servers = append(changes.Servers, server)
		}
	}
	v.sent = sent
	return changes
}

// Recompute applies a changed SendPriorities. Snapshot then returns the result.
func (v *View) Recompute() {
	if !v.known {
		return
	}
	v.updateExclusions()
	v.sent = make(map[string]balancer.Server, len(v.servers))
	for _, s := range v.servers {
		server := s.balancerServer(v.SendPriorities)
		v.sent[server.ID] = server
	}
}

// drainedReason is the ExcludedReason of an endpoint with DrainedByFleet set.
const drainedReason = "drained by an order of the fleet"

// updateExclusions sets ExcludedReason of all servers and counts the usable ones.
func (v *View) updateExclusions() {
	priority := v.priorityInUse()
	hasHealthy := map[int]bool{} // by priority
	for _, s := range v.servers {
		hasHealthy[s.Priority] = hasHealthy[s.Priority] || s.isHealthy()
	}
	v.usable = 0
	for _, s := range v.servers {
		s.ExcludedReason = v.exclusion(s, priority, hasHealthy[s.Priority])
		if s.ExcludedReason == "" {
			v.usable++
		}
	}
}

// priorityInUse returns the highest priority, which is the lowest number, that has a usable endpoint, or 0 if none has.
func (v *View) priorityInUse() int {
	lowest, found := 0, false
	for _, s := range v.servers {
		if s.isUsable() && (!found || s.Priority < lowest) {
			lowest, found = s.Priority, true
		}
	}
	return lowest
}

// exclusion returns why an endpoint gets no new requests, or "" if it is not excluded. hasHealthy reports whether the endpoint's priority
// has a healthy endpoint.
func (v *View) exclusion(s *Server, priorityInUse int, hasHealthy bool) string {
	switch {
	case v.last.Stale != "":
		return v.last.Stale
	case s.DrainedByFleet:
		return drainedReason
	case !s.isUsable():
		return s.Health.String()
	case s.Priority != priorityInUse && !v.SendPriorities:
		return fmt.Sprintf("priority %d is in use", priorityInUse)
	case s.Health == Degraded && hasHealthy:
		return Degraded.String()
	}
	return ""
}

// Snapshot returns the last list as a snapshot for a new balancer, or nil if there was no update.
func (v *View) Snapshot() *discovery.Update {
	if !v.known {
		return nil
	}
	snapshot := &discovery.Update{Endpoints: make(map[string]string, len(v.sent))}
	snapshot.Kind = balancer.UpdateSnapshot
	for _, s := range v.Servers() {
		snapshot.Servers = append(snapshot.Servers, v.sent[s.Address])
		snapshot.Endpoints[s.Address] = s.Address
	}
	return snapshot
}

// Known reports whether there was an update.
func (v *View) Known() bool { return v.known }

// Usable returns the number of endpoints that are not excluded.
func (v *View) Usable() int { return v.usable }

// LastUpdate returns the last update and its Unix time.
func (v *View) LastUpdate() (Update, time.Duration) { return v.last, v.lastAt }

// Servers returns the endpoints sorted by address.
func (v *View) Servers() []Server { return v.List().Sorted() }

// List returns the current endpoints in constant time.
func (v *View) List() List { return List{v.servers} }

// List is a list of endpoints that does not change. It may be read while its View applies updates.
type List struct {
	servers map[string]*Server
}

// Sorted returns the endpoints sorted by address.
func (l List) Sorted() []Server {
	sorted := make([]Server, 0, len(l.servers))
	for _, s := range l.servers {
		sorted = append(sorted, *s)
	}
	slices.SortFunc(sorted, func(x, y Server) int { return cmp.Compare(x.Address, y.Address) })
	return sorted
}

// CountBy returns the number of endpoints for each value of key.
func (l List) CountBy(key func(s *Server) string) map[string]int {
	counts := map[string]int{}
	for _, s := range l.servers {
		counts[key(s)]++
	}
	return counts
}
