// Package endpoints turns what a source says of a cluster's endpoints into news for the decision module. Each source
// (the configuration, a file, xDS) gives whole lists in one form; a View remembers the last one, finds what changed, and
// says of each endpoint where it comes from and why it gets no requests. It is pure: time is an argument.
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

// Health is what a source says of an endpoint, in the words of Envoy's HealthStatus.
type Health uint8

const (
	Unknown Health = iota // taken as healthy
	Healthy
	Degraded // used while no healthy one is there
	Draining
	Unhealthy
	Timeout // its health check timed out: as unhealthy
)

func (h Health) String() string {
	return [...]string{"unknown", "healthy", "degraded", "draining", "unhealthy", "timeout"}[h]
}

// Endpoint is one entry of a source's list.
type Endpoint struct {
	Address  string // host:port; what it is told apart by
	Hostname string
	Zone     string
	SubZone  string
	Kind     string
	Cell     int
	Weight   float64 // above 0; 1 is usual
	Priority int     // of several, only those of the lowest that has anyone ready are used
	Health   Health
	// Retained: taken out by an order of the fleet. It gets nothing new, and is taken as started anew when it is back.
	Retained bool
}

// identity is what makes an endpoint another one though its address stays.
func (e *Endpoint) identity() string {
	return strings.Join([]string{e.Hostname, e.Zone, e.SubZone, e.Kind}, "\x00")
}

// Update is a source's whole list at one time.
type Update struct {
	Source    string // "static", "file", "xds", ...
	Version   string
	Endpoints []Endpoint
	// Stale is why the list is no longer to be used, if it is not: then no endpoint is.
	Stale string
}

// Server is an endpoint as the view has it.
type Server struct {
	Endpoint
	Since          time.Duration // when it was first told, as Unix time; 0: with the first list
	ExcludedReason string        // why it gets nothing new; empty: it does
}

// View is the last word on one cluster. The zero View has none. It is not safe for several goroutines at once.
type View struct {
	// Tiers has the decision module told of priorities: then those behind the lowest are used as well.
	Tiers   bool
	told    bool
	word    Update
	at      time.Duration // of the last word, also one that changed nothing
	servers map[string]*Server
	sent    map[string]balancer.Server
	usable  int
}

// Apply takes a source's word at now (Unix time) and gives what it changes, nil if nothing. The first list's endpoints
// are taken to have run for long; those that come later, or come back, or are others at the same address, are new and so
// cold.
func (v *View) Apply(now time.Duration, w Update) *discovery.Update {
	first := !v.told
	v.told, v.at, v.word = true, now, w
	servers := make(map[string]*Server, len(w.Endpoints))
	for _, e := range w.Endpoints {
		s := &Server{Endpoint: e}
		if old := v.servers[e.Address]; old != nil && old.identity() == e.identity() && (!old.Retained || e.Retained) {
			s.Since = old.Since
		} else if !first {
			s.Since = now
		}
		servers[e.Address] = s
	}
	v.servers = servers
	v.choose()
	sent := make(map[string]balancer.Server, len(servers))
	u := &discovery.Update{Endpoints: map[string]string{}}
	u.Kind = balancer.UpdateDelta
	for _, e := range w.Endpoints {
		s := servers[e.Address].balancer(v.Tiers)
		if old, ok := v.sent[s.ID]; first || !ok || old != s {
			u.Servers = append(u.Servers, s)
			u.Endpoints[s.ID] = e.Address
		}
		sent[s.ID] = s
	}
	for id, s := range v.sent {
		if _, ok := sent[id]; !ok {
			s.State = balancer.Removed
			u.Servers = append(u.Servers, s)
		}
	}
	v.sent = sent
	if first {
		u.Kind = balancer.UpdateSnapshot
	} else if len(u.Servers) == 0 {
		return nil
	}
	return u
}

// Resend chooses anew, where Tiers has changed: All gives what came of it.
func (v *View) Resend() {
	if !v.told {
		return
	}
	v.choose()
	v.sent = make(map[string]balancer.Server, len(v.servers))
	for _, s := range v.servers {
		l := s.balancer(v.Tiers)
		v.sent[l.ID] = l
	}
}

// held is why an endpoint is out by an order.
const held = "drained by an order of the fleet"

// choose says which endpoints are used.
func (v *View) choose() {
	ready := func(s *Server) bool { return !s.Retained && (s.Health == Unknown || s.Health == Healthy) }
	best, healthy, found := 0, false, false
	fine := map[int]bool{} // priorities with a healthy one
	for _, s := range v.servers {
		ok := ready(s)
		fine[s.Priority] = fine[s.Priority] || ok
		if !ok && (s.Retained || s.Health != Degraded) {
			continue
		}
		// The lowest priority with anyone to use; in it the healthy, and the degraded where there are none.
		if !found || s.Priority < best || s.Priority == best && ok && !healthy {
			best, healthy, found = s.Priority, ok, true
		}
	}
	v.usable = 0
	for _, s := range v.servers {
		switch {
		case v.word.Stale != "":
			s.ExcludedReason = v.word.Stale
		case s.Retained:
			s.ExcludedReason = held
		case !ready(s) && s.Health != Degraded:
			s.ExcludedReason = s.Health.String()
		case s.Priority != best && !v.Tiers:
			s.ExcludedReason = fmt.Sprintf("priority %d is in use", best)
		case s.Health == Degraded && fine[s.Priority]:
			s.ExcludedReason = Degraded.String()
		default:
			s.ExcludedReason = ""
			v.usable++
		}
	}
}

func (s *Server) balancer(tiers bool) balancer.Server {
	l := balancer.Server{ID: s.Address, Zone: s.Zone, Kind: s.Kind, Cell: s.Cell, Weight: s.Weight, Since: s.Since}
	if tiers {
		l.Priority = s.Priority
	}
	if s.ExcludedReason != "" {
		l.State = balancer.Draining
	}
	return l
}

// Snapshot is the last word whole, for a core that begins; nil if there was none.
func (v *View) Snapshot() *discovery.Update {
	if !v.told {
		return nil
	}
	u := &discovery.Update{Endpoints: make(map[string]string, len(v.sent))}
	u.Kind = balancer.UpdateSnapshot
	for _, s := range v.Servers() {
		u.Servers = append(u.Servers, v.sent[s.Address])
		u.Endpoints[s.Address] = s.Address
	}
	return u
}

// Known tells whether there was any word.
func (v *View) Known() bool { return v.told }

// Usable is how many endpoints are used.
func (v *View) Usable() int { return v.usable }

// LastUpdate is the last word and when it came.
func (v *View) LastUpdate() (Update, time.Duration) { return v.word, v.at }

// Servers gives the endpoints, sorted by address.
func (v *View) Servers() []Server { return v.Listing().Sorted() }

// Listing is the endpoints as they stood when it was asked for. It never changes, so that it may be read while the View
// goes on.
type Listing struct{ servers map[string]*Server }

// Listing gives the endpoints as they stand, whatever their number at no cost: each word makes all of them anew.
func (v *View) Listing() Listing { return Listing{v.servers} }

// Sorted gives them by address.
func (l Listing) Sorted() []Server {
	all := make([]Server, 0, len(l.servers))
	for _, s := range l.servers {
		all = append(all, *s)
	}
	slices.SortFunc(all, func(x, y Server) int { return cmp.Compare(x.Address, y.Address) })
	return all
}

// Count gives how many there are by what of says of each.
func (l Listing) Count(of func(s *Server) string) map[string]int {
	m := map[string]int{}
	for _, s := range l.servers {
		m[of(s)]++
	}
	return m
}
