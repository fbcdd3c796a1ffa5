package gateway

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"robindrum/internal/locality"
	"robindrum/internal/subscription"
)

// unlimited is the value of a limit's gauge if the limit is not set.
const unlimited = -1

// metric is a metric family: its description and whether it is a counter or a gauge.
type metric struct {
	description *prometheus.Desc
	kind        prometheus.ValueType
}

func (m metric) send(ch chan<- prometheus.Metric, value float64, labels ...string) {
	ch <- prometheus.MustNewConstMetric(m.description, m.kind, value, labels...)
}

func (m metric) sendBool(ch chan<- prometheus.Metric, value bool, labels ...string) {
	if value {
		m.send(ch, 1, labels...)
	} else {
		m.send(ch, 0, labels...)
	}
}

// descriptions collects the descriptions of all metrics that are created with its methods.
type descriptions []*prometheus.Desc

func (d *descriptions) metric(kind prometheus.ValueType, name, help string, labels []string) metric {
	description := prometheus.NewDesc("robindrum_"+name, help, labels, nil)
	*d = append(*d, description)
	return metric{description: description, kind: kind}
}

func (d *descriptions) counter(name, help string, labels ...string) metric {
	return d.metric(prometheus.CounterValue, name, help, labels)
}

func (d *descriptions) gauge(name, help string, labels ...string) metric {
	return d.metric(prometheus.GaugeValue, name, help, labels)
}

// collector is a prometheus.Collector that reads a gateway's status on each collection. Its methods are safe for concurrent
// use.
type collector struct {
	gateway      *Gateway
	descriptions descriptions

	process      processMetrics
	clusters     clusterMetrics
	localities   localityMetrics
	admission    admissionMetrics
	sources      sourceMetrics
	fleet        fleetMetrics
	subscription subscriptionMetrics
}

// newCollector returns the collector of a gateway's metrics. The gateway may be nil if only Describe is called.
func newCollector(g *Gateway) *collector {
	c := &collector{gateway: g}
	c.process = newProcessMetrics(&c.descriptions)
	c.clusters = newClusterMetrics(&c.descriptions)
	c.localities = newLocalityMetrics(&c.descriptions)
	c.admission = newAdmissionMetrics(&c.descriptions)
	c.sources = newSourceMetrics(&c.descriptions)
	c.fleet = newFleetMetrics(&c.descriptions)
	c.subscription = newSubscriptionMetrics(&c.descriptions)
	return c
}

// Describe sends the descriptions of all metrics that Collect may send.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, description := range c.descriptions {
		ch <- description
	}
}

// Collect sends the current values.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	status, lists := c.gateway.statusWithoutEndpoints()
	c.process.collect(ch, &status)
	for i := range status.Clusters {
		cluster := &status.Clusters[i]
		c.clusters.collect(ch, cluster)
		for state, count := range lists[i].CountBy(endpointState) {
			c.clusters.endpoints.send(ch, float64(count), cluster.Name, state)
		}
		for j := range cluster.Zones {
			c.localities.collect(ch, cluster.Name, &cluster.Zones[j])
		}
		c.admission.collect(ch, cluster.Name, &cluster.Admission)
	}
	if status.Fleet != nil {
		c.fleet.collect(ch, status.Fleet)
	}
	if status.Subscription != nil {
		c.subscription.collect(ch, status.Subscription)
	}
	for i := range status.Sources {
		c.sources.collect(ch, &status.Sources[i])
	}
}

// processMetrics are the metrics of the process as a whole, its limits and its rate limits.
type processMetrics struct {
	ready          metric
	configRejected metric
	clients        metric
	rateLimit      metric
	limitUsed      metric
	limitMax       metric
}

func newProcessMetrics(d *descriptions) processMetrics {
	return processMetrics{
		ready:          d.gauge("ready", "1 where requests can be served."),
		configRejected: d.gauge("config_refused", "1 where the newest configuration is refused and the one before goes on."),
		clients:        d.gauge("client_connections", "Connections of clients."),
		rateLimit:      d.counter("rate_limit_total", "Requests that fell under a rate limit, by what came of it.", "limit", "result"),
		limitUsed:      d.gauge("limit_used", "What is held, or kept for a cluster, of a limit.", "limit"),
		limitMax:       d.gauge("limit_most", "A limit.", "limit"),
	}
}

func (m *processMetrics) collect(ch chan<- prometheus.Metric, status *Status) {
	m.ready.sendBool(ch, status.Ready)
	m.configRejected.sendBool(ch, status.Config.Rejection != "")
	m.clients.send(ch, float64(status.Limits.ClientConnections))
	for _, limit := range status.RateLimits {
		m.rateLimit.send(ch, float64(limit.Allowed), limit.Name, "allowed")
		m.rateLimit.send(ch, float64(limit.Rejected), limit.Name, "refused")
		m.rateLimit.send(ch, float64(limit.CountedTogether), limit.Name, "counted_together")
	}
	limits := &status.Limits
	m.limitUsed.send(ch, float64(limits.Descriptors), "descriptors")
	m.limitMax.send(ch, float64(limits.MaxDescriptors), "descriptors")
	m.limitUsed.send(ch, float64(limits.Memory), "memory_bytes")
	m.limitMax.send(ch, float64(limits.MaxMemory), "memory_bytes")
	m.limitUsed.send(ch, float64(limits.Requests), "requests")
	m.limitMax.send(ch, float64(limits.MaxRequests), "requests")
}

// clusterMetrics are the metrics of the requests and endpoints of a cluster.
type clusterMetrics struct {
	requests    metric
	inFlight    metric
	servedTime  metric
	attempts    metric
	retries     metric
	dropped     metric
	endpoints   metric
	updateAge   metric
	connections metric
}

func newClusterMetrics(d *descriptions) clusterMetrics {
	return clusterMetrics{
		requests:    d.counter("requests_total", "Requests by how they were answered.", "cluster", "outcome"),
		inFlight:    d.gauge("requests_in_hand", "Requests without their answer.", "cluster"),
		servedTime:  d.counter("served_seconds_total", "Time from request to answer, of all served requests together.", "cluster"),
		attempts:    d.counter("attempts_total", "Attempts by result.", "cluster", "result"),
		retries:     d.counter("retries_total", "Attempts after a request's first.", "cluster"),
		dropped:     d.counter("dropped_total", "Requests refused by the control plane's drop_overloads.", "cluster"),
		endpoints:   d.gauge("endpoints", "Endpoints by whether they are used, and why not.", "cluster", "state"),
		updateAge:   d.gauge("cluster_last_word_age_seconds", "Since the source last said anything of the cluster's endpoints.", "cluster"),
		connections: d.gauge("cluster_connections", "Connections to endpoints.", "cluster"),
	}
}

func (m *clusterMetrics) collect(ch chan<- prometheus.Metric, cluster *ClusterStatus) {
	requests := &cluster.Requests
	m.requests.send(ch, float64(requests.Served), cluster.Name, "served")
	m.requests.send(ch, float64(requests.Rejected), cluster.Name, "refused")
	m.requests.send(ch, float64(requests.Failed), cluster.Name, "failed")
	m.requests.send(ch, float64(requests.ClientLeft), cluster.Name, "client_left")
	for result, count := range requests.Attempts {
		m.attempts.send(ch, float64(count), cluster.Name, result)
	}
	m.retries.send(ch, float64(requests.Retries), cluster.Name)
	m.inFlight.send(ch, float64(cluster.InFlight+cluster.InFlightRetired), cluster.Name)
	m.servedTime.send(ch, requests.MeanMS*float64(requests.Served)/1000, cluster.Name)
	m.dropped.send(ch, float64(cluster.Dropped), cluster.Name)
	m.connections.send(ch, float64(cluster.Usage.Descriptors), cluster.Name)
	if cluster.UpdateAge != nil {
		m.updateAge.send(ch, *cluster.UpdateAge, cluster.Name)
	}
}

// localityMetrics are the metrics of the zones of a cluster.
type localityMetrics struct {
	state       metric
	share       metric
	health      metric
	maxInFlight metric
	inFlight    metric
	events      metric
}

func newLocalityMetrics(d *descriptions) localityMetrics {
	return localityMetrics{
		state:       d.gauge("zone_state", "1 for the state that a zone is in.", "cluster", "zone", "priority", "state"),
		share:       d.gauge("zone_share", "Part of the load that a zone gets.", "cluster", "zone", "priority"),
		health:      d.gauge("zone_health", "Part of a zone's endpoints, by weight, that is ready.", "cluster", "zone", "priority"),
		maxInFlight: d.gauge("zone_room_requests", "Requests at once that a zone may get; -1: no bound.", "cluster", "zone", "priority"),
		inFlight:    d.gauge("zone_in_flight", "Attempts out at a zone.", "cluster", "zone", "priority"),
		events: d.counter("zone_events_total", "Attempts sent and of them crossed, retries and probes; requests refused for want of room, "+
			"retries denied, transitions.", "cluster", "zone", "priority", "event"),
	}
}

func (m *localityMetrics) collect(ch chan<- prometheus.Metric, cluster string, zone *ZoneStatus) {
	priority := strconv.Itoa(zone.Priority)
	for _, state := range []locality.State{locality.Up, locality.Failing, locality.Dark, locality.Returning} {
		m.state.sendBool(ch, zone.State == state.String(), cluster, zone.Zone, priority, state.String())
	}
	m.share.send(ch, zone.Share, cluster, zone.Zone, priority)
	m.health.send(ch, zone.Health, cluster, zone.Zone, priority)
	maxInFlight := zone.MaxInFlight
	if maxInFlight == 0 {
		maxInFlight = unlimited
	}
	m.maxInFlight.send(ch, maxInFlight, cluster, zone.Zone, priority)
	m.inFlight.send(ch, float64(zone.InFlight), cluster, zone.Zone, priority)
	events := map[string]uint64{
		"sent":         zone.Sent,
		"crossed":      zone.Crossed,
		"refused":      zone.RejectedNoCapacity,
		"retry":        zone.Retries,
		"retry_denied": zone.RetriesDenied,
		"probe":        zone.Probes,
		"transition":   zone.Transitions,
	}
	for event, count := range events {
		m.events.send(ch, float64(count), cluster, zone.Zone, priority, event)
	}
}

// admissionMetrics are the metrics of the admission of a cluster's requests.
type admissionMetrics struct {
	limit            metric
	inFlight         metric
	waiting          metric
	baseline         metric
	rejected         metric
	startedAfterWait metric
	overloaded       metric
	retriesLeft      metric
	retriesDenied    metric
}

func newAdmissionMetrics(d *descriptions) admissionMetrics {
	return admissionMetrics{
		limit:            d.gauge("admission_limit_requests", "Requests in flight that the cluster may have; -1: no bound.", "cluster"),
		inFlight:         d.gauge("admission_in_flight", "Requests that started and have no answer yet.", "cluster"),
		waiting:          d.gauge("admission_waiting", "Requests that wait to start.", "cluster", "class"),
		baseline:         d.gauge("admission_baseline_seconds", "What the quicker answers take where nothing stands before them.", "cluster", "class"),
		rejected:         d.counter("admission_refused_total", "Requests refused before they started.", "cluster", "reason"),
		startedAfterWait: d.counter("admission_waited_total", "Requests that started after a wait.", "cluster"),
		overloaded:       d.gauge("admission_short", "1 where requests were refused within the last seconds.", "cluster"),
		retriesLeft:      d.gauge("admission_retries_left", "Retries that the cluster's budget has left; -1: as many as may are in flight.", "cluster"),
		retriesDenied:    d.counter("admission_retries_denied_total", "Retries that the budget did not allow.", "cluster"),
	}
}

func (m *admissionMetrics) collect(ch chan<- prometheus.Metric, cluster string, admission *AdmissionStatus) {
	limit := admission.Limit
	if limit == 0 {
		limit = unlimited
	}
	m.limit.send(ch, float64(limit), cluster)
	m.inFlight.send(ch, float64(admission.InFlight), cluster)
	m.startedAfterWait.send(ch, float64(admission.StartedAfterWait), cluster)
	m.overloaded.sendBool(ch, admission.Overloaded, cluster)
	m.retriesLeft.send(ch, float64(admission.RetriesLeft), cluster)
	m.retriesDenied.send(ch, float64(admission.RetriesDenied), cluster)
	for reason, count := range admission.Rejected {
		m.rejected.send(ch, float64(count), cluster, reason)
	}
	for _, class := range admission.Classes {
		m.waiting.send(ch, float64(class.Waiting), cluster, class.Name)
		m.baseline.send(ch, class.Baseline/1000, cluster, class.Name)
	}
}

// sourceMetrics are the metrics of control planes and resource files.
type sourceMetrics struct {
	connected   metric
	responseAge metric
	responses   metric
}

func newSourceMetrics(d *descriptions) sourceMetrics {
	return sourceMetrics{
		connected:   d.gauge("xds_connected", "1 where a control plane is connected, or a file could be read.", "source"),
		responseAge: d.gauge("xds_last_word_age_seconds", "Since the source last said anything.", "source"),
		responses:   d.counter("xds_responses_total", "Responses of the source by whether they were accepted.", "source", "type", "result"),
	}
}

func (m *sourceMetrics) collect(ch chan<- prometheus.Metric, source *SourceStatus) {
	m.connected.sendBool(ch, source.Connected != "", source.Name)
	if source.LastResponseAge != nil {
		m.responseAge.send(ch, *source.LastResponseAge, source.Name)
	}
	for _, resources := range source.Types {
		m.responses.send(ch, float64(resources.Accepted), source.Name, resources.Type, "accepted")
		m.responses.send(ch, float64(resources.Rejected), source.Name, resources.Type, "rejected")
	}
}

// subscriptionMetrics are the metrics of the gateway's part in the site's shared subscription.
type subscriptionMetrics struct {
	mode        metric
	lastPushAge metric
}

func newSubscriptionMetrics(d *descriptions) subscriptionMetrics {
	return subscriptionMetrics{
		mode:        d.gauge("fleet_subscription", "1 for where this gateway's word of the control plane comes from.", "mode"),
		lastPushAge: d.gauge("fleet_subscription_heard_seconds", "Since a holder of the subscription last spoke."),
	}
}

func (m *subscriptionMetrics) collect(ch chan<- prometheus.Metric, status *SubscriptionStatus) {
	for _, mode := range []subscription.Mode{subscription.Waiting, subscription.Following, subscription.Direct, subscription.Leading} {
		m.mode.sendBool(ch, status.Mode == mode, string(mode))
	}
	m.lastPushAge.send(ch, status.LastPushAge)
}
