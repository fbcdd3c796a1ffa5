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

// Status is the state of a gateway, which /status serves as JSON. Ages are in seconds.
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
	DrainID      string              `json:"drained,omitempty"` // the drain request that took this gateway out of service
}

// ConfigStatus describes the configuration file in use.
type ConfigStatus struct {
	Path         string  `json:"path"`
	Age          float64 `json:"age_seconds"` // since it was loaded
	Rejection    string  `json:"refused,omitempty"`
	RejectionAge float64 `json:"refused_age_seconds,omitempty"`
}

// SourceStatus describes a control plane or a resource file.
type SourceStatus struct {
	Name             string       `json:"name"`
	Connected        string       `json:"connected"` // address of the control plane, or path of the file; empty if not connected
	ConnectedSeconds float64      `json:"connected_seconds,omitempty"`
	LastResponseAge  *float64     `json:"last_word_age_seconds"` // null if there was none
	Streams          int          `json:"streams"`
	Error            string       `json:"error,omitempty"`
	Types            []TypeStatus `json:"types"`
}

// TypeStatus describes the resources of one type from a source.
type TypeStatus struct {
	Type      string `json:"type"`
	Version   string `json:"version,omitempty"`
	Accepted  int    `json:"accepted_responses"`
	Rejected  int    `json:"rejected_responses"`
	Error     string `json:"last_error,omitempty"`
	Resources int    `json:"resources"`
}

// RoutesStatus describes the routes in use.
type RoutesStatus struct {
	FromConfig      int      `json:"from_config"`
	FromXDS         int      `json:"from_xds"`
	Pending         bool     `json:"waiting_for_endpoints"` // new routes are not used before their clusters have endpoints
	Rejection       string   `json:"refused,omitempty"`
	MissingClusters []string `json:"missing_clusters,omitempty"` // clusters that a route refers to and that do not exist
}

// ClusterStatus describes one cluster.
type ClusterStatus struct {
	Name            string           `json:"name"`
	Source          string           `json:"source"`
	Service         string           `json:"service,omitempty"`
	Version         string           `json:"version,omitempty"`
	UpdateAge       *float64         `json:"last_word_age_seconds"` // null if there was none yet
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

// EndpointStatus describes one endpoint.
type EndpointStatus struct {
	Address        string  `json:"address"`
	Zone           string  `json:"zone,omitempty"`
	Priority       int     `json:"priority,omitempty"`
	Weight         float64 `json:"weight"`
	Health         string  `json:"health"`
	Age            float64 `json:"age_seconds,omitempty"` // since it was added; 0 if it was in the first list
	ExcludedReason string  `json:"out,omitempty"`         // why it gets no new requests; empty if it does
}

// RequestStatus counts the requests and attempts of a cluster.
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

// UsageStatus describes how much of the shared limits a cluster uses.
type UsageStatus struct {
	Descriptors int   `json:"descriptors"`
	Memory      int64 `json:"memory_bytes"`
	Requests    int64 `json:"requests"`
}

// LimitsStatus describes the limits of the process and how much of them is in use or reserved.
type LimitsStatus struct {
	Descriptors       int   `json:"descriptors"`
	MaxDescriptors    int   `json:"descriptors_most"`
	Memory            int64 `json:"memory_bytes"`
	MaxMemory         int64 `json:"memory_bytes_most"`
	Requests          int64 `json:"requests"`
	MaxRequests       int64 `json:"requests_most"`
	ClientConnections int   `json:"client_connections"`
}

var attemptResultNames = [...]string{
	balancer.Served:         "served",
	balancer.ServerError:    "error",
	balancer.Rejected:       "turned_away",
	balancer.TimedOut:       "timed_out",
	balancer.NotConnected:   "not_connected",
	balancer.ConnectionLost: "connection_lost",
	balancer.Cancelled:      "cancelled",
	balancer.NotSent:        "not_sent",
}

// Status returns the state of the gateway, with at most maxEndpoints endpoints of each cluster; 0 means all.
func (g *Gateway) Status(maxEndpoints int) Status {
	status, lists := g.statusWithoutEndpoints()
	// There may be many endpoints. They are processed without holding mu, so that updates are not delayed.
	now := g.Now()
	for i, list := range lists {
		sorted := list.Sorted()
		if maxEndpoints > 0 && len(sorted) > maxEndpoints {
			sorted = sorted[:maxEndpoints]
		}
		cluster := &status.Clusters[i]
		for j := range sorted {
			cluster.Endpoints = append(cluster.Endpoints, endpointStatus(&sorted[j], now))
		}
	}
	return status
}

func endpointStatus(s *endpoints.Server, now time.Duration) EndpointStatus {
	status := EndpointStatus{
		Address:        s.Address,
		Zone:           s.Zone,
		Priority:       s.Priority,
		Weight:         s.Weight,
		Health:         s.Health.String(),
		ExcludedReason: s.ExcludedReason,
	}
	if s.AddedAt > 0 {
		status.Age = secondsBetween(s.AddedAt, now)
	}
	return status
}

// statusWithoutEndpoints returns the state of the gateway without endpoints, and the endpoint lists of its clusters in the
// order of Status.Clusters.
func (g *Gateway) statusWithoutEndpoints() (Status, []endpoints.List) {
	status := Status{Ready: g.Ready(), Uptime: time.Since(g.startedAt).Seconds()}
	if g.fleet != nil {
		status.Fleet = new(g.fleet.Status())
	}
	if source := g.sharedSource.Load(); source != nil {
		status.Subscription = source.status()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	status.Stopping = g.stopping
	if g.drainRequest != nil {
		status.DrainID = g.drainRequest.ID
	}
	status.Config = g.configStatus(now)
	status.Listeners = map[string]string{}
	for name, l := range g.listeners {
		status.Listeners[name] = l.Addr().String()
	}
	for _, name := range slices.Sorted(maps.Keys(g.watches)) {
		status.Sources = append(status.Sources, g.watches[name].status(now))
	}
	status.Routes = g.routesStatus()
	status.RateLimits = g.rateLimitStatus()
	status.Limits = g.limitsStatus()
	var lists []endpoints.List
	for _, name := range slices.Sorted(maps.Keys(g.clusters)) {
		c := g.clusters[name]
		status.Clusters = append(status.Clusters, g.clusterStatus(c, now))
		lists = append(lists, c.view.List())
	}
	return status, lists
}

// secondsBetween returns the seconds from at to now, or 0 if at is in the future.
func secondsBetween(at, now time.Duration) float64 { return max(now-at, 0).Seconds() }

func (g *Gateway) configStatus(now time.Duration) ConfigStatus {
	status := ConfigStatus{Path: g.config.Path(), Age: secondsBetween(g.reloadedAt, now), Rejection: g.rejection}
	if g.rejection != "" {
		status.RejectionAge = secondsBetween(g.rejectedAt, now)
	}
	return status
}

func (w *watch) status(now time.Duration) SourceStatus {
	connection := w.source.Connection()
	status := SourceStatus{Name: w.name, Connected: connection.Server, Streams: connection.Streams, Error: connection.LastError}
	if connection.LastResponseAt != 0 {
		status.LastResponseAge = new(secondsBetween(connection.LastResponseAt, now))
	}
	if connection.ConnectedAt > 0 && connection.Server != "" {
		status.ConnectedSeconds = secondsBetween(connection.ConnectedAt, now)
	}
	for _, summary := range w.source.Summaries() {
		status.Types = append(status.Types, TypeStatus{
			Type:      summary.Type.Short(),
			Version:   summary.Version,
			Accepted:  summary.Accepted,
			Rejected:  summary.Rejected,
			Error:     summary.LastError,
			Resources: summary.Resources,
		})
	}
	return status
}

func (g *Gateway) routesStatus() RoutesStatus {
	routing := g.routing.Load()
	status := RoutesStatus{FromConfig: routing.configured.Len(), Pending: g.pendingRouting != nil}
	if routing.dynamic != nil {
		status.FromXDS = routing.dynamic.Len()
	}
	if w := g.watches[xdsWatch]; w != nil {
		_, status.Rejection = w.routes(g.config.XDS)
	}
	for _, name := range slices.Sorted(maps.Keys(routing.clusterNames())) {
		if g.clusters[name] == nil {
			status.MissingClusters = append(status.MissingClusters, name)
		}
	}
	return status
}

func (g *Gateway) limitsStatus() LimitsStatus {
	return LimitsStatus{
		Descriptors:       g.descriptorBudget.Used(),
		MaxDescriptors:    g.descriptorBudget.Limit(),
		Memory:            g.memoryPool.Used(),
		MaxMemory:         g.memoryPool.Limit(),
		Requests:          g.requestPool.Used(),
		MaxRequests:       g.requestPool.Limit(),
		ClientConnections: g.front.ConnectionCount(),
	}
}

func (g *Gateway) clusterStatus(c *cluster, now time.Duration) ClusterStatus {
	update, updatedAt := c.view.LastUpdate()
	status := ClusterStatus{
		Name:           c.name,
		Source:         cmp.Or(update.Source, sourceName(c.spec.source)),
		Service:        c.spec.service,
		Version:        update.Version,
		Stale:          update.Stale,
		RejectedUpdate: c.rejection,
		Warnings:       c.warnings,
		Leaving:        c.isLeaving(),
		DropFraction:   float64(c.dropThreshold.Load()) / dropScale,
		Dropped:        c.totals.dropped.Load(),
		Usable:         c.view.Usable(),
		Endpoints:      []EndpointStatus{},
		InFlight:       c.current.core.InFlight(),
		Requests:       requestStatus(g.statsOf(c)),
		Usage: UsageStatus{
			Descriptors: c.connectionQuota.Used(),
			Memory:      c.memoryQuota.Used(),
			Requests:    c.requestQuota.Used(),
		},
		Zones:     c.current.zoneStatus(),
		Admission: c.current.admissionStatus(),
	}
	if c.view.Known() {
		status.UpdateAge = new(secondsBetween(updatedAt, now))
	}
	for instance := range g.retired {
		if instance.cluster == c {
			status.InFlightRetired += instance.core.InFlight()
		}
	}
	return status
}

func requestStatus(stats proxy.Stats) RequestStatus {
	status := RequestStatus{
		Accepted:   stats.Accepted,
		Served:     stats.Served,
		Rejected:   stats.Rejected,
		Failed:     stats.Failed,
		ClientLeft: stats.ClientLeft,
		Sends:      stats.Sends,
		Retries:    stats.Retries,
		Attempts:   map[string]uint64{},
	}
	for result, count := range stats.Attempts {
		if count > 0 {
			status.Attempts[attemptResultNames[result]] = count
		}
	}
	if stats.Served > 0 {
		status.MeanMS = stats.TotalLatency.Seconds() * 1000 / float64(stats.Served)
	}
	return status
}

// statsOf returns the counters of all cores, including closed ones, of clusters with the same name.
func (g *Gateway) statsOf(c *cluster) proxy.Stats {
	stats := c.totals.Stats
	stats.Add(c.current.core.Stats())
	for instance := range g.retired {
		if instance.cluster.totals == c.totals {
			stats.Add(instance.core.Stats())
		}
	}
	return stats
}

// endpointState returns the value of the "state" label for an endpoint. Unlike ExcludedReason, it has few possible values.
func endpointState(s *endpoints.Server) string {
	switch {
	case s.ExcludedReason == "":
		return "usable"
	case s.Health == endpoints.Draining || s.Health == endpoints.Unhealthy || s.Health == endpoints.Timeout || s.Health == endpoints.Degraded:
		return s.Health.String()
	}
	return "not_in_use"
}
