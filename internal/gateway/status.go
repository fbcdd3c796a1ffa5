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

	Fleet        *fleet.Status       `json:"fleet,omitempty"`
	Subscription *SubscriptionStatus `json:"subscription,omitempty"`
	DrainID      string              `json:"drained,omitempty"` // the order that has taken this gateway out
}

// ConfigStatus is about the file.
type ConfigStatus struct {
	Path         string  `json:"path"`
	Age          float64 `json:"age_seconds"` // since it was taken over
	Rejection    string  `json:"refused,omitempty"`
	RejectionAge float64 `json:"refused_age_seconds,omitempty"`
}

// SourceStatus is about a control plane, or a file of resources.
type SourceStatus struct {
	Name             string       `json:"name"`
	Connected        string       `json:"connected"` // the control plane's address, or the file; empty: not connected
	ConnectedSeconds float64      `json:"connected_seconds,omitempty"`
	LastResponseAge  *float64     `json:"last_word_age_seconds"` // null: never
	Streams          int          `json:"streams"`
	Error            string       `json:"error,omitempty"`
	Types            []TypeStatus `json:"types"`
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
	FromConfig      int      `json:"from_config"`
	FromXDS         int      `json:"from_xds"`
	Pending         bool     `json:"waiting_for_endpoints"` // new routes wait for their clusters' endpoints
	Rejection       string   `json:"refused,omitempty"`
	MissingClusters []string `json:"missing_clusters,omitempty"` // that a route names and nobody knows
}

// ClusterStatus is about one cluster.
type ClusterStatus struct {
	Name            string           `json:"name"`
	Source          string           `json:"source"`
	Service         string           `json:"service,omitempty"`
	Version         string           `json:"version,omitempty"`
	UpdateAge       *float64         `json:"last_word_age_seconds"` // null: there was none yet
	Stale           string           `json:"stale,omitempty"`
	RejectedUpdate  string           `json:"refused_update,omitempty"`
	Warnings        []string         `json:"warnings,omitempty"`
	Leaving         bool             `json:"leaving,omitempty"`
	DropFraction    float64          `json:"drop_fraction,omitempty"`
	Dropped         uint64           `json:"dropped,omitempty"`
	Usable          int              `json:"usable_endpoints"`
	Endpoints       []EndpointStatus `json:"endpoints"`
	InFlight        int              `json:"requests_in_hand"`
	InFlightRetired int              `json:"requests_in_hand_of_former_settings,omitempty"`
	Requests        RequestStatus    `json:"requests"`
	Usage           UsageStatus      `json:"holds"`
	Zones           []ZoneStatus     `json:"zones,omitempty"`
	Admission       AdmissionStatus  `json:"admission"`
}

// EndpointStatus is about one endpoint.
type EndpointStatus struct {
	Address        string  `json:"address"`
	Zone           string  `json:"zone,omitempty"`
	Priority       int     `json:"priority,omitempty"`
	Weight         float64 `json:"weight"`
	Health         string  `json:"health"`
	Age            float64 `json:"age_seconds,omitempty"` // since it was first told; 0: with the first list
	ExcludedReason string  `json:"out,omitempty"`         // why it gets nothing new
}

// RequestStatus counts requests.
type RequestStatus struct {
	Accepted   uint64            `json:"taken"`
	Served     uint64            `json:"served"`
	Rejected   uint64            `json:"refused"`
	Failed     uint64            `json:"failed"`
	ClientLeft uint64            `json:"client_left"`
	Sends      uint64            `json:"sends"`
	Retries    uint64            `json:"retries"`
	Attempts   map[string]uint64 `json:"attempts"`
	MeanMS     float64           `json:"mean_served_ms"`
}

// UsageStatus is what a cluster holds of the shared limits.
type UsageStatus struct {
	Descriptors int   `json:"descriptors"`
	Memory      int64 `json:"memory_bytes"`
	Requests    int64 `json:"requests"`
}

// LimitsStatus is what of the whole process's limits is held or kept for a cluster.
type LimitsStatus struct {
	Descriptors       int   `json:"descriptors"`
	MaxDescriptors    int   `json:"descriptors_most"`
	Memory            int64 `json:"memory_bytes"`
	MaxMemory         int64 `json:"memory_bytes_most"`
	Requests          int64 `json:"requests"`
	MaxRequests       int64 `json:"requests_most"`
	ClientConnections int   `json:"client_connections"`
}

var attemptResultNames = [...]string{balancer.Served: "served", balancer.ServerError: "error", balancer.Rejected: "turned_away", balancer.TimedOut: "timed_out",
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
			es := EndpointStatus{Address: e.Address, Zone: e.Zone, Priority: e.Priority, Weight: e.Weight, Health: e.Health.String(), ExcludedReason: e.ExcludedReason}
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
	var sub *SubscriptionStatus
	if s := g.sharedSource.Load(); s != nil {
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
	s := Status{Ready: ready, Fleet: fl, Subscription: sub, Stopping: g.stopping, Uptime: time.Since(g.startedAt).Seconds(), Listeners: map[string]string{},
		Config: ConfigStatus{Path: g.config.Path(), Age: age(g.reloadedAt), Rejection: g.rejection}}
	if g.rejection != "" {
		s.Config.RejectionAge = age(g.rejectedAt)
	}
	if g.drainRequest != nil {
		s.DrainID = g.drainRequest.ID
	}
	for name, l := range g.listeners {
		s.Listeners[name] = l.Addr().String()
	}
	for _, name := range slices.Sorted(maps.Keys(g.watches)) {
		f := g.watches[name]
		l := f.source.Link()
		src := SourceStatus{Name: name, Connected: l.Server, LastResponseAge: since(l.Heard), Streams: l.Streams, Error: l.Error}
		if l.Since > 0 && l.Server != "" {
			src.ConnectedSeconds = age(l.Since)
		}
		for _, t := range f.source.Summaries() {
			src.Types = append(src.Types, TypeStatus{t.Type.Short(), t.Version, t.Accepted, t.Rejected, t.Error, t.Resources})
		}
		s.Sources = append(s.Sources, src)
	}
	r := g.routing.Load()
	s.Routes = RoutesStatus{FromConfig: r.configured.Len(), Pending: g.pendingRouting != nil}
	if r.dynamic != nil {
		s.Routes.FromXDS = r.dynamic.Len()
	}
	if f := g.watches[xdsWatch]; f != nil {
		_, s.Routes.Rejection = f.routes(g.config.XDS)
	}
	for _, n := range slices.Sorted(maps.Keys(clusterNames(r))) {
		if g.clusters[n] == nil {
			s.Routes.MissingClusters = append(s.Routes.MissingClusters, n)
		}
	}
	var listings []endpoints.List
	for _, name := range slices.Sorted(maps.Keys(g.clusters)) {
		c := g.clusters[name]
		s.Clusters, listings = append(s.Clusters, g.clusterStatus(c, now)), append(listings, c.view.List())
	}
	s.RateLimits = g.rateLimitStatus()
	s.Limits = LimitsStatus{Descriptors: g.descriptorBudget.Used(), MaxDescriptors: g.descriptorBudget.Limit(), Memory: g.memoryPool.Used(),
		MaxMemory: g.memoryPool.Limit(), Requests: g.requestPool.Used(), MaxRequests: g.requestPool.Limit(), ClientConnections: g.front.ConnectionCount()}
	return s, listings
}

func (g *Gateway) clusterStatus(c *cluster, now time.Duration) ClusterStatus {
	w, at := c.view.LastUpdate()
	s := ClusterStatus{Name: c.name, Source: cmp.Or(w.Source, sourceName(c.spec.source)), Service: c.spec.service, Version: w.Version,
		Stale: w.Stale, RejectedUpdate: c.rejection, Warnings: c.warnings, Leaving: c.isLeaving(), DropFraction: float64(c.dropThreshold.Load()) / (1 << 32),
		Dropped: c.totals.dropped.Load(), Usable: c.view.Usable(), InFlight: c.current.core.InFlight(), Endpoints: []EndpointStatus{},
		Usage: UsageStatus{Descriptors: c.connectionQuota.Used(), Memory: c.memoryQuota.Used(), Requests: c.requestQuota.Used()}}
	if c.view.Known() {
		s.UpdateAge = new(max(now-at, 0).Seconds())
	}
	s.Zones = c.current.zoneStatus()
	s.Admission = c.current.admissionStatus()
	for in := range g.retired {
		if in.cluster == c {
			s.InFlightRetired += in.core.InFlight()
		}
	}
	t := g.statsOf(c)
	s.Requests = RequestStatus{Accepted: t.Accepted, Served: t.Served, Rejected: t.Rejected, Failed: t.Failed, ClientLeft: t.ClientLeft, Sends: t.Sends,
		Retries: t.Retries, Attempts: map[string]uint64{}}
	for i, n := range t.Attempts {
		if n > 0 {
			s.Requests.Attempts[attemptResultNames[i]] = n
		}
	}
	if t.Served > 0 {
		s.Requests.MeanMS = t.TotalLatency.Seconds() * 1000 / float64(t.Served)
	}
	return s
}

// statsOf is what all cores of a cluster's name did, those that are gone included.
func (g *Gateway) statsOf(c *cluster) proxy.Stats {
	t := c.totals.Stats
	t.Add(c.current.core.Stats())
	for in := range g.retired {
		if in.cluster.totals == c.totals {
			t.Add(in.core.Stats())
		}
	}
	return t
}

// endpointState says in one of few words, as a metric has few, why an endpoint is out.
func endpointState(s *endpoints.Server) string {
	switch {
	case s.ExcludedReason == "":
		return "usable"
	case s.Health == endpoints.Draining || s.Health == endpoints.Unhealthy || s.Health == endpoints.Timeout || s.Health == endpoints.Degraded:
		return s.Health.String()
	}
	return "not_in_use"
}
