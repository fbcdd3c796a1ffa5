package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"robindrum/balancer"
	"robindrum/internal/endpoints"
	"robindrum/internal/fleet"
	"robindrum/internal/proxy"
)

// Status is what the gateway says of itself, as JSON under /status. Ages are in seconds.
type Status struct {
	Ready     bool              `json:"ready"`
	Stopping  bool              `json:"stopping"`
	Uptime    float64           `json:"uptime_seconds"`
	Config    ConfigStatus      `json:"config"`
	Listeners map[string]string `json:"listeners"` // addresses by name
	Sources   []SourceStatus    `json:"sources"`
	Routes    RoutesStatus      `json:"routes"`
	Clusters  []ClusterStatus   `json:"clusters"`
	Limits    LimitsStatus      `json:"limits"`

	RateLimits []RateLimitStatus `json:"rate_limits,omitempty"`

	Fleet        *fleet.Status `json:"fleet,omitempty"`
	Subscription *Subscription `json:"subscription,omitempty"`
	Drained      string        `json:"drained,omitempty"` // the order that has taken this gateway out
}

// ConfigStatus is about the file.
type ConfigStatus struct {
	Path       string  `json:"path"`
	Age        float64 `json:"age_seconds"` // since it was taken over
	Refused    string  `json:"refused,omitempty"`
	RefusedAge float64 `json:"refused_age_seconds,omitempty"`
}

// SourceStatus is about a control plane, or a file of resources.
type SourceStatus struct {
	Name      string       `json:"name"`
	Connected string       `json:"connected"` // the control plane's address, or the file; empty: not connected
	Since     float64      `json:"connected_seconds,omitempty"`
	Heard     *float64     `json:"last_word_age_seconds"` // null: never
	Streams   int          `json:"streams"`
	Error     string       `json:"error,omitempty"`
	Types     []TypeStatus `json:"types"`
}

// TypeStatus is about all resources of one type.
type TypeStatus struct {
	Type      string `json:"type"`
	Version   string `json:"version,omitempty"`
	Accepted  int    `json:"accepted_responses"`
	Rejected  int    `json:"rejected_responses"`
	Error     string `json:"last_error,omitempty"`
	Resources int    `json:"resources"`
}

// RoutesStatus is about where requests go.
type RoutesStatus struct {
	File    int      `json:"from_config"`
	XDS     int      `json:"from_xds"`
	Pending bool     `json:"waiting_for_endpoints"` // new routes wait for their clusters' endpoints
	Refused string   `json:"refused,omitempty"`
	Missing []string `json:"missing_clusters,omitempty"` // that a route names and nobody knows
}

// ClusterStatus is about one cluster.
type ClusterStatus struct {
	Name      string           `json:"name"`
	Source    string           `json:"source"`
	Service   string           `json:"service,omitempty"`
	Version   string           `json:"version,omitempty"`
	Age       *float64         `json:"last_word_age_seconds"` // null: there was none yet
	Stale     string           `json:"stale,omitempty"`
	Refused   string           `json:"refused_update,omitempty"`
	Warnings  []string         `json:"warnings,omitempty"`
	Leaving   bool             `json:"leaving,omitempty"`
	Drop      float64          `json:"drop_fraction,omitempty"`
	Dropped   uint64           `json:"dropped,omitempty"`
	Usable    int              `json:"usable_endpoints"`
	Endpoints []EndpointStatus `json:"endpoints"`
	InHand    int              `json:"requests_in_hand"`
	Old       int              `json:"requests_in_hand_of_former_settings,omitempty"`
	Requests  RequestStatus    `json:"requests"`
	Holds     HoldStatus       `json:"holds"`
	Zones     []ZoneStatus     `json:"zones,omitempty"`
	Admission AdmissionStatus  `json:"admission"`
}

// EndpointStatus is about one endpoint.
type EndpointStatus struct {
	Address  string  `json:"address"`
	Zone     string  `json:"zone,omitempty"`
	Priority int     `json:"priority,omitempty"`
	Weight   float64 `json:"weight"`
	Health   string  `json:"health"`
	Age      float64 `json:"age_seconds,omitempty"` // since it was first told; 0: with the first list
	Out      string  `json:"out,omitempty"`         // why it gets nothing new
}

// RequestStatus counts requests.
type RequestStatus struct {
	Taken    uint64            `json:"taken"`
	Served   uint64            `json:"served"`
	Refused  uint64            `json:"refused"`
	Failed   uint64            `json:"failed"`
	Left     uint64            `json:"client_left"`
	Sends    uint64            `json:"sends"`
	Retries  uint64            `json:"retries"`
	Attempts map[string]uint64 `json:"attempts"`
	MeanMS   float64           `json:"mean_served_ms"`
}

// HoldStatus is what a cluster holds of the shared limits.
type HoldStatus struct {
	Descriptors int   `json:"descriptors"`
	Memory      int64 `json:"memory_bytes"`
	Requests    int64 `json:"requests"`
}

// LimitsStatus is what of the whole process's limits is held or kept for a cluster.
type LimitsStatus struct {
	Descriptors     int   `json:"descriptors"`
	DescriptorsMost int   `json:"descriptors_most"`
	Memory          int64 `json:"memory_bytes"`
	MemoryMost      int64 `json:"memory_bytes_most"`
	Requests        int64 `json:"requests"`
	RequestsMost    int64 `json:"requests_most"`
	Clients         int   `json:"client_connections"`
}

var results = [...]string{balancer.Served: "served", balancer.ServerError: "error", balancer.Rejected: "turned_away", balancer.TimedOut: "timed_out",
	balancer.NotConnected: "not_connected", balancer.ConnectionLost: "connection_lost", balancer.Cancelled: "cancelled", balancer.NotSent: "not_sent"}

// Status tells how the gateway stands. Of each cluster at most endpoints endpoints are named; 0: all.
func (g *Gateway) Status(endpoints int) Status {
	s, listings := g.status()
	// Not under the lock: news of the sources need it, and there may be many endpoints.
	now := g.Now()
	for i, l := range listings {
		all := l.Sorted()
		if endpoints > 0 && len(all) > endpoints {
			all = all[:endpoints]
		}
		for _, e := range all {
			es := EndpointStatus{Address: e.Address, Zone: e.Zone, Priority: e.Priority, Weight: e.Weight, Health: e.Health.String(), Out: e.ExcludedReason}
			if e.AddedAt > 0 {
				es.Age = max(now-e.AddedAt, 0).Seconds()
			}
			s.Clusters[i].Endpoints = append(s.Clusters[i].Endpoints, es)
		}
	}
	return s
}

// status gives all but the endpoints, and the listing of each cluster's.
func (g *Gateway) status() (Status, []endpoints.List) {
	ready := g.Ready()
	var fl *fleet.Status
	if g.fleet != nil {
		fl = new(g.fleet.Status())
	}
	var sub *Subscription
	if s := g.shared.Load(); s != nil {
		sub = s.status()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	age := func(at time.Duration) float64 { return max(now-at, 0).Seconds() }
	since := func(at time.Duration) *float64 {
		if at == 0 {
			return nil
		}
		return new(age(at))
	}
	s := Status{Ready: ready, Fleet: fl, Subscription: sub, Stopping: g.stopping, Uptime: time.Since(g.boot).Seconds(), Listeners: map[string]string{},
		Config: ConfigStatus{Path: g.file.Path(), Age: age(g.reloaded), Refused: g.refused}}
	if g.refused != "" {
		s.Config.RefusedAge = age(g.refusedAt)
	}
	if g.drain != nil {
		s.Drained = g.drain.ID
	}
	for name, l := range g.listeners {
		s.Listeners[name] = l.Addr().String()
	}
	for _, name := range slices.Sorted(maps.Keys(g.feeds)) {
		f := g.feeds[name]
		l := f.src.Link()
		src := SourceStatus{Name: name, Connected: l.Server, Heard: since(l.Heard), Streams: l.Streams, Error: l.Error}
		if l.Since > 0 && l.Server != "" {
			src.Since = age(l.Since)
		}
		for _, t := range f.src.Summaries() {
			src.Types = append(src.Types, TypeStatus{t.Type.Short(), t.Version, t.Accepted, t.Rejected, t.Error, t.Resources})
		}
		s.Sources = append(s.Sources, src)
	}
	r := g.routes.Load()
	s.Routes = RoutesStatus{File: r.file.Len(), Pending: g.pending != nil}
	if r.xds != nil {
		s.Routes.XDS = r.xds.Len()
	}
	if f := g.feeds[xdsFeed]; f != nil {
		_, s.Routes.Refused = f.routes(g.file.XDS)
	}
	for _, n := range slices.Sorted(maps.Keys(names(r))) {
		if g.clusters[n] == nil {
			s.Routes.Missing = append(s.Routes.Missing, n)
		}
	}
	var listings []endpoints.List
	for _, name := range slices.Sorted(maps.Keys(g.clusters)) {
		c := g.clusters[name]
		s.Clusters, listings = append(s.Clusters, g.clusterStatus(c, now)), append(listings, c.view.List())
	}
	s.RateLimits = g.rateLimitStatus()
	s.Limits = LimitsStatus{Descriptors: g.budget.Used(), DescriptorsMost: g.budget.Limit(), Memory: g.memory.Used(),
		MemoryMost: g.memory.Limit(), Requests: g.open.Used(), RequestsMost: g.open.Limit(), Clients: g.front.ConnectionCount()}
	return s, listings
}

func (g *Gateway) clusterStatus(c *cluster, now time.Duration) ClusterStatus {
	w, at := c.view.LastUpdate()
	s := ClusterStatus{Name: c.name, Source: cmp.Or(w.Source, sourceName(c.spec.source)), Service: c.spec.service, Version: w.Version,
		Stale: w.Stale, Refused: c.refused, Warnings: c.warn, Leaving: c.leaving(), Drop: float64(c.drop.Load()) / (1 << 32),
		Dropped: c.past.dropped.Load(), Usable: c.view.Usable(), InHand: c.in.core.InFlight(), Endpoints: []EndpointStatus{},
		Holds: HoldStatus{Descriptors: c.conns.Used(), Memory: c.mem.Used(), Requests: c.requests.Used()}}
	if c.view.Known() {
		s.Age = new(max(now-at, 0).Seconds())
	}
	s.Zones = c.in.zoneStatus()
	s.Admission = c.in.admissionStatus()
	for in := range g.old {
		if in.of == c {
			s.Old += in.core.InFlight()
		}
	}
	t := g.total(c)
	s.Requests = RequestStatus{Taken: t.Accepted, Served: t.Served, Refused: t.Rejected, Failed: t.Failed, Left: t.ClientLeft, Sends: t.Sends,
		Retries: t.Retries, Attempts: map[string]uint64{}}
	for i, n := range t.Attempts {
		if n > 0 {
			s.Requests.Attempts[results[i]] = n
		}
	}
	if t.Served > 0 {
		s.Requests.MeanMS = t.TotalLatency.Seconds() * 1000 / float64(t.Served)
	}
	return s
}

// total is what all cores of a cluster's name did, those that are gone included.
func (g *Gateway) total(c *cluster) proxy.Stats {
	t := c.past.Stats
	t.Add(c.in.core.Stats())
	for in := range g.old {
		if in.of.past == c.past {
			t.Add(in.core.Stats())
		}
	}
	return t
}

// why says in one of few words, as a metric has few, why an endpoint is out.
func why(s *endpoints.Server) string {
	switch {
	case s.ExcludedReason == "":
		return "usable"
	case s.Health == endpoints.Draining || s.Health == endpoints.Unhealthy || s.Health == endpoints.Timeout || s.Health == endpoints.Degraded:
		return s.Health.String()
	}
	return "not_in_use"
}
