package xds

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

const (
	defaultConnectTimeout = 5 * time.Second // the same as Envoy's default
	maxConnectTimeout     = 10 * time.Second
	maxThreshold          = 1_000_000
	// noRetriesPercent is the retry budget of a cluster that allows no retries. It is not 0, as 0 means that no budget is set.
	noRetriesPercent = 1e-9
	// The defaults of a retry budget are the same as Envoy's.
	defaultRetryPercent = 20
	defaultMinRetries   = 3
)

// Cluster is a Cluster resource converted to the gateway's type.
type Cluster struct {
	Name            string
	Service         string      // EDS cluster: the name of its ClusterLoadAssignment
	Static          *Assignment // STATIC cluster: its endpoints
	ConnectTimeout  time.Duration
	IdleTimeout     time.Duration // 0: not set
	Breakers                      // for routing priority DEFAULT
	HighPriority    Breakers      // for routing priority HIGH
	WarmUp          time.Duration // the slow start window; 0: none
	LocalityWeights bool          // locality weights are used
}

// Breakers are the circuit breakers of a routing priority. A limit of 0 is not set.
type Breakers struct {
	MaxConnections int
	MaxRequests    int
	MaxPending     int
	MaxRetries     int
	RetryBudget    *RetryBudget // nil: not set
}

// RetryBudget limits the retries in flight to a percentage of the requests in flight, and replaces MaxRetries. MinRetries
// retries are always allowed.
type RetryBudget struct {
	Percent    float64
	MinRetries int
}

var (
	clusterTable = fieldTable{
		supported: []string{
			"name", "type", "eds_cluster_config", "connect_timeout", "load_assignment", "lb_policy",
			"circuit_breakers", "common_http_protocol_options", "common_lb_config", "least_request_lb_config",
			"round_robin_lb_config",
		},
		ignored: []string{
			"alt_stat_name", "metadata", "health_checks", "outlier_detection",
			"per_connection_buffer_limit_bytes", "track_cluster_stats", "track_timeout_budgets",
			"wait_for_warm_on_init", "dns_lookup_family", "load_balancing_policy", "preconnect_policy",
			"close_connections_on_host_health_failure", "ignore_health_on_host_removal",
			"upstream_connection_options", "http_protocol_options",
		},
	}
	edsConfigTable = fieldTable{
		supported: []string{"eds_config", "service_name"},
	}
	breakersTable = fieldTable{
		supported: []string{"thresholds"},
		ignored:   []string{"per_host_thresholds"},
	}
	thresholdsTable = fieldTable{
		supported: []string{
			"priority", "max_connections", "max_pending_requests", "max_requests", "max_retries", "retry_budget",
		},
		ignored: []string{"track_remaining", "max_connection_pools"},
	}
	httpOptionsTable = fieldTable{
		supported: []string{"idle_timeout"},
		ignored:   []string{"max_connection_duration", "max_headers_count", "max_requests_per_connection"},
	}
	commonLbTable = fieldTable{
		supported: []string{"locality_weighted_lb_config"},
		ignored: []string{
			"healthy_panic_threshold", "zone_aware_lb_config", "update_merge_window",
			"ignore_new_hosts_until_first_hc", "close_connections_on_host_set_change",
		},
	}
	leastRequestTable = fieldTable{
		supported: []string{"slow_start_config"},
		ignored: []string{
			"choice_count", "active_request_bias", "locality_lb_config", "enable_full_scan", "selection_method",
		},
	}
	roundRobinTable = fieldTable{
		supported: []string{"slow_start_config"},
		ignored:   []string{"locality_lb_config"},
	}
	slowStartTable = fieldTable{
		supported: []string{"slow_start_window"},
		ignored:   []string{"aggression", "min_weight_percent"},
	}
)

// clusterParser converts one Cluster. It collects all errors instead of stopping at the first one.
type clusterParser struct {
	message  *clusterv3.Cluster
	cluster  *Cluster
	warnings []string
	errs     []error
}

// ParseCluster checks and converts a Cluster. It also returns a warning for each ignored field. The error contains the name of
// each field that is invalid or not supported.
func ParseCluster(message *clusterv3.Cluster) (*Cluster, []string, error) {
	if message.GetName() == "" {
		return nil, nil, errNoName
	}
	p := &clusterParser{
		message: message,
		cluster: &Cluster{Name: message.GetName(), ConnectTimeout: defaultConnectTimeout},
	}
	p.audit(clusterTable, message, "")
	p.parseConnectTimeout()
	p.parsePolicy()
	p.parseDiscovery()
	p.parseBreakers()
	p.parseHTTPOptions()
	p.parseLoadBalancing()
	if len(p.errs) > 0 {
		return nil, nil, errors.Join(p.errs...)
	}
	return p.cluster, p.warnings, nil
}

func (p *clusterParser) audit(table fieldTable, message proto.Message, path string) {
	err := table.audit(message, path, &p.warnings)
	if err != nil {
		p.errs = append(p.errs, err)
	}
}

func (p *clusterParser) fail(format string, args ...any) {
	p.errs = append(p.errs, fmt.Errorf(format, args...))
}

func (p *clusterParser) warn(format string, args ...any) {
	p.warnings = append(p.warnings, fmt.Sprintf(format, args...))
}

func (p *clusterParser) parseConnectTimeout() {
	timeout := p.message.GetConnectTimeout()
	if timeout == nil {
		return
	}
	p.cluster.ConnectTimeout = min(timeout.AsDuration(), maxConnectTimeout)
	if timeout.CheckValid() != nil || p.cluster.ConnectTimeout <= 0 {
		p.fail("connect_timeout: must be positive")
	}
}

// parsePolicy checks the load balancing policy. All supported policies are replaced by LEAST_REQUEST: the less loaded of two
// random endpoints.
func (p *clusterParser) parsePolicy() {
	policy := p.message.GetLbPolicy()
	switch policy {
	case clusterv3.Cluster_LEAST_REQUEST:
	case clusterv3.Cluster_ROUND_ROBIN, clusterv3.Cluster_RANDOM, clusterv3.Cluster_LOAD_BALANCING_POLICY_CONFIG:
		p.warn("lb_policy %v: replaced by LEAST_REQUEST of two random servers", policy)
	default:
		p.fail("lb_policy: %v is not supported", policy)
	}
}

func (p *clusterParser) parseDiscovery() {
	if custom, ok := p.message.GetClusterDiscoveryType().(*clusterv3.Cluster_ClusterType); ok {
		p.fail("cluster_type: %q is not supported", custom.ClusterType.GetName())
		return
	}
	switch p.message.GetType() {
	case clusterv3.Cluster_EDS:
		p.parseEDS()
	case clusterv3.Cluster_STATIC:
		p.parseStatic()
	default:
		p.fail("type: %v is not supported", p.message.GetType())
	}
}

func (p *clusterParser) parseEDS() {
	eds := p.message.GetEdsClusterConfig()
	if eds == nil {
		p.fail("eds_cluster_config: is missing")
		return
	}
	p.audit(edsConfigTable, eds, "eds_cluster_config.")
	source := eds.GetEdsConfig()
	if source.GetAds() == nil && source.GetSelf() == nil {
		p.fail("eds_cluster_config.eds_config: only ads and self are supported")
	}
	if p.message.GetLoadAssignment() != nil {
		p.fail("load_assignment: only allowed for STATIC clusters")
	}
	p.cluster.Service = cmp.Or(eds.GetServiceName(), p.cluster.Name)
}

func (p *clusterParser) parseStatic() {
	if p.message.GetEdsClusterConfig() != nil {
		p.fail("eds_cluster_config: only allowed for EDS clusters")
	}
	assignment, warnings, err := parseAssignment(p.message.GetLoadAssignment(), true)
	if err != nil {
		p.fail("load_assignment.%w", err)
	}
	p.cluster.Static = assignment
	p.warnings = append(p.warnings, warnings...)
}

func (p *clusterParser) parseBreakers() {
	breakers := p.message.GetCircuitBreakers()
	if breakers == nil {
		return
	}
	p.audit(breakersTable, breakers, "circuit_breakers.")
	for i, thresholds := range breakers.GetThresholds() {
		path := fmt.Sprintf("circuit_breakers.thresholds[%d].", i)
		p.audit(thresholdsTable, thresholds, path)
		target := &p.cluster.Breakers
		switch thresholds.GetPriority() {
		case corev3.RoutingPriority_DEFAULT:
		case corev3.RoutingPriority_HIGH:
			target = &p.cluster.HighPriority
			if thresholds.GetMaxConnections() != nil {
				p.warn("%smax_connections: ignored for priority HIGH, as both priorities share the connections", path)
			}
		default:
			p.fail("%spriority: unknown value %d", path, thresholds.GetPriority())
			continue
		}
		if err := target.parse(thresholds); err != nil {
			p.fail("%s%w", path, err)
		}
	}
}

// parse copies the thresholds that are set.
func (b *Breakers) parse(thresholds *clusterv3.CircuitBreakers_Thresholds) error {
	for _, threshold := range []struct {
		name         string
		value        *wrapperspb.UInt32Value
		target       *int
		zeroRejected bool // 0 would reject all requests
	}{
		{"max_connections", thresholds.GetMaxConnections(), &b.MaxConnections, true},
		{"max_requests", thresholds.GetMaxRequests(), &b.MaxRequests, true},
		{"max_pending_requests", thresholds.GetMaxPendingRequests(), &b.MaxPending, true},
		{"max_retries", thresholds.GetMaxRetries(), &b.MaxRetries, false},
	} {
		if threshold.value == nil {
			continue
		}
		*threshold.target = int(min(threshold.value.GetValue(), maxThreshold))
		if threshold.zeroRejected && threshold.value.GetValue() == 0 {
			return fmt.Errorf("%s: must be at least 1, as 0 would reject all requests", threshold.name)
		}
	}
	budget := thresholds.GetRetryBudget()
	switch {
	case budget != nil:
		b.RetryBudget = parseRetryBudget(budget)
	case thresholds.GetMaxRetries() != nil && b.MaxRetries == 0:
		b.RetryBudget = &RetryBudget{Percent: noRetriesPercent}
	}
	return nil
}

func parseRetryBudget(message *clusterv3.CircuitBreakers_Thresholds_RetryBudget) *RetryBudget {
	budget := &RetryBudget{Percent: defaultRetryPercent, MinRetries: defaultMinRetries}
	if percent := message.GetBudgetPercent(); percent != nil {
		budget.Percent = max(percent.GetValue(), noRetriesPercent)
	}
	if minimum := message.GetMinRetryConcurrency(); minimum != nil {
		budget.MinRetries = int(min(minimum.GetValue(), maxThreshold))
	}
	return budget
}

func (p *clusterParser) parseHTTPOptions() {
	options := p.message.GetCommonHttpProtocolOptions() //nolint:staticcheck // deprecated, but control planes still send it
	if options == nil {
		return
	}
	p.audit(httpOptionsTable, options, "common_http_protocol_options.")
	if timeout := options.GetIdleTimeout(); timeout != nil {
		p.cluster.IdleTimeout = max(timeout.AsDuration(), 0)
	}
}

func (p *clusterParser) parseLoadBalancing() {
	if common := p.message.GetCommonLbConfig(); common != nil {
		p.audit(commonLbTable, common, "common_lb_config.")
		p.cluster.LocalityWeights = common.GetLocalityWeightedLbConfig() != nil
	}
	if leastRequest := p.message.GetLeastRequestLbConfig(); leastRequest != nil {
		p.audit(leastRequestTable, leastRequest, "least_request_lb_config.")
		p.parseSlowStart(leastRequest.GetSlowStartConfig(), "least_request_lb_config.slow_start_config.")
	}
	if roundRobin := p.message.GetRoundRobinLbConfig(); roundRobin != nil {
		p.audit(roundRobinTable, roundRobin, "round_robin_lb_config.")
		p.parseSlowStart(roundRobin.GetSlowStartConfig(), "round_robin_lb_config.slow_start_config.")
	}
}

func (p *clusterParser) parseSlowStart(slowStart *clusterv3.Cluster_SlowStartConfig, path string) {
	if slowStart != nil {
		p.audit(slowStartTable, slowStart, path)
		p.cluster.WarmUp = max(slowStart.GetSlowStartWindow().AsDuration(), 0)
	}
}
