// Package endpoints turns the endpoint lists of a cluster's source into updates for the balancer. Every source (the
// configuration, a file, xDS) gives complete lists in one form. A View caches the last list, computes the difference, and
// records for each endpoint why it gets no requests. The package is pure: time is an argument.
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

// Health is the health that a source gives an endpoint, with the values of Envoy's HealthStatus.
type Health uint8

// The values of Health. Unknown counts as healthy and Timeout (of a health check) as unhealthy. Degraded endpoints are
// used only where the priority in use has no healthy one.
const (
	Unknown Health = iota
	Healthy
	Degraded
	Draining
	Unhealthy
	Timeout
)

// String returns the name in lower case, as in /status.
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
	Weight   float64 // above 0; 1 is the default
	Priority int     // 0 is the highest; only the first priority with a usable endpoint gets requests
	Health   Health
	// DrainedByFleet marks an endpoint that a drain request has taken out of service. It gets no new requests, and it
	// counts as newly added once the request has ended.
	DrainedByFleet bool
}

// identity returns what makes it a different endpoint at an unchanged address.
func (e *Endpoint) identity() string {
	return strings.Join([]string{e.Hostname, e.Zone, e.SubZone, e.Kind}, "\x00")
}

// isHealthy reports whether the endpoint may get requests beside other healthy ones.
func (e *Endpoint) isHealthy() bool {
	return !e.DrainedByFleet && (e.Health == Unknown || e.Health == Healthy)
}

// isUsable reports whether the endpoint is healthy, or degraded and in service.
func (e *Endpoint) isUsable() bool {
	return e.isHealthy() || !e.DrainedByFleet && e.Health == Degraded
}

// Update is a source's complete endpoint list at one time.
type Update struct {
	Source    string // "static", "file", "xds", ...
	Version   string
	Endpoints []Endpoint
	// Stale is the reason why the list may no longer be used; empty where it may. No endpoint of a stale list is used.
	Stale string
}

// Server is an endpoint with what the View knows of it.
type Server struct {
	Endpoint
	AddedAt        time.Duration // Unix time at which it was added; 0: with the first list
	ExcludedReason string        // why it gets no new requests; empty where it does
}

// balancerServer returns the endpoint in the balancer's form, with its priority where the balancer is to see it.
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

// View caches the last endpoint list of one cluster. The zero View has none. It is not safe for concurrent use.
type View struct {
	// SendPriorities passes priorities on to the balancer, which then chooses among them: endpoints behind the priority
	// in use are not excluded.
	SendPriorities bool

	known   bool
	last    Update
	lastAt  time.Duration // of the last update, also of one that changed nothing
	servers map[string]*Server
	sent    map[string]balancer.Server
	usable  int
}

// Apply takes a source's list at now (Unix time) and returns the difference, or nil if nothing has changed. The endpoints
// of the first list count as warmed up. Those that are added later, come back or differ at the same address are new.
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

// replaceServers takes over the endpoints of a new list. It never changes a former Server, as a List may share it.
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

// replaceSent computes the servers as the balancer is to have them, and returns the difference to what it has.
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
		if _, stays := sent[id]; !stays {
			server.State = balancer.Removed
			changes.Servers = append(changes.Servers, server)
		}
	}
	v.sent = sent
	return changes
}

// Recompute takes over a changed SendPriorities. Snapshot returns the result.
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

// drainedReason is the ExcludedReason of an endpoint with DrainedByFleet.
const drainedReason = "drained by an order of the fleet"

// updateExclusions determines which endpoints get requests.
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

// priorityInUse returns the lowest number of a priority that has a usable endpoint; 0 if none has.
func (v *View) priorityInUse() int {
	lowest, found := 0, false
	for _, s := range v.servers {
		if s.isUsable() && (!found || s.Priority < lowest) {
			lowest, found = s.Priority, true
		}
	}
	return lowest
}

// exclusion returns why an endpoint gets no new requests; empty if it does. hasHealthy is of the endpoint's priority.
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

// Snapshot returns the last list in full, for a balancer that starts, or nil if there is none.
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

// Known reports whether there was any update.
func (v *View) Known() bool { return v.known }

// Usable returns the number of endpoints that get requests.
func (v *View) Usable() int { return v.usable }

// LastUpdate returns the last update and its Unix time.
func (v *View) LastUpdate() (Update, time.Duration) { return v.last, v.lastAt }

// Servers returns the endpoints sorted by address.
func (v *View) Servers() []Server { return v.List().Sorted() }

// List returns the endpoints as they are now. It costs the same whatever their number.
func (v *View) List() List { return List{v.servers} }

// List is an immutable list of endpoints, which may be read while its View takes updates.
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
