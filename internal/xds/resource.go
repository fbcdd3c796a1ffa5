// Package xds takes clusters, endpoints and routes from control planes that speak Envoy's xDS protocol, version 3, and
// from files that hold the same resources.
//
// resource.go turns resources into the gateway's own words. What of each message is honoured or ignored with a warning
// stands in tables; whatever else is set is refused by the name of its field, so that nothing is dropped silently.
// machine.go is the protocol without a connection, state of the world and incremental; client.go runs it over gRPC.
package xds

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"robindrum/internal/endpoints"
)

// Type is a resource type's URL.
type Type string

// The types that are taken.
const (
	ClusterType  Type = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	EndpointType Type = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	ListenerType Type = "type.googleapis.com/envoy.config.listener.v3.Listener"
	RouteType    Type = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
)

// Short is how the type is called in status and logs.
func (t Type) Short() string {
	switch t {
	case ClusterType:
		return "cluster"
	case EndpointType:
		return "endpoints"
	case ListenerType:
		return "listener"
	case RouteType:
		return "routes"
	}
	return string(t)
}

// metadataName is the filter_metadata under which resources say what only this gateway knows: a cell and a kind for an
// endpoint, a class and a key for a route.
const metadataName = "robindrum"

// Bounds of one resource.
const (
	maxEndpoints = 100_000
	maxPriority  = 128 // Envoy's
	maxThreshold = 1_000_000
	minPercent   = 1e-9 // of a retry budget: it is there, and allows nothing
)

// Cluster is a cluster as a control plane describes it.
type Cluster struct {
	Name            string
	Service         string      // EDS: the name of its ClusterLoadAssignment
	Static          *Assignment // STATIC
	ConnectTimeout  time.Duration
	IdleTimeout     time.Duration // 0: not said
	Breakers                      // of the priority DEFAULT
	HighPriority    Breakers
	WarmUp          time.Duration
	LocalityWeights bool // the weights of localities count
}

// Breakers are the circuit breakers of a routing priority; 0: not said.
type Breakers struct {
	MaxConnections int
	MaxRequests    int
	MaxPending     int
	MaxRetries     int
	RetryBudget    *RetryBudget // nil: not said
}

func (b *Breakers) parse(t *clusterv3.CircuitBreakers_Thresholds) error {
	for _, to := range []struct {
		name string
		v    *wrapperspb.UInt32Value
		n    *int
	}{{"max_connections", t.GetMaxConnections(), &b.MaxConnections}, {"max_requests", t.GetMaxRequests(), &b.MaxRequests},
		{"max_pending_requests", t.GetMaxPendingRequests(), &b.MaxPending}, {"max_retries", t.GetMaxRetries(), &b.MaxRetries}} {
		if to.v != nil {
			*to.n = int(min(to.v.GetValue(), maxThreshold))
		}
		if to.v != nil && to.v.GetValue() == 0 && to.name != "max_retries" {
			return fmt.Errorf("%s: 0 would refuse all requests", to.name)
		}
	}
	switch r := t.GetRetryBudget(); {
	case r != nil: // Envoy's defaults where one is left out
		b.RetryBudget = &RetryBudget{Percent: 20, MinRetries: 3}
		if p := r.GetBudgetPercent(); p != nil {
			b.RetryBudget.Percent = max(p.GetValue(), minPercent)
		}
		if n := r.GetMinRetryConcurrency(); n != nil {
			b.RetryBudget.MinRetries = int(min(n.GetValue(), maxThreshold))
		}
	case t.GetMaxRetries() != nil && b.MaxRetries == 0:
		b.RetryBudget = &RetryBudget{Percent: minPercent} // none at all
	}
	return nil
}

// RetryBudget bounds retries in flight by requests in flight, in place of MostRetries.
type RetryBudget struct {
	Percent    float64
	MinRetries int
}

// Assignment is a cluster's endpoints.
type Assignment struct {
	Name         string
	Endpoints    []Endpoint
	DropFraction float64       // the part of requests that is to be refused, 0 to 1
	StaleAfter   time.Duration // 0: never
	// Overprovision is the factor by which a priority's health counts, where zones are tiers; 0: not said.
	Overprovision float64
}

// Endpoint is one of them. Its weight is within its locality.
type Endpoint struct {
	endpoints.Endpoint
	Locality       string
	LocalityWeight uint32 // 0: not said
}

// fieldTable says of a message's fields which are taken and which make no difference that matters; others are refused.
type fieldTable struct{ supported, ignored []string }

var (
	clusterTable = fieldTable{
		supported: []string{"name", "type", "eds_cluster_config", "connect_timeout", "load_assignment", "lb_policy", "circuit_breakers",
			"common_http_protocol_options", "common_lb_config", "least_request_lb_config", "round_robin_lb_config"},
		ignored: []string{"alt_stat_name", "metadata", "health_checks", "outlier_detection", "per_connection_buffer_limit_bytes",
			"track_cluster_stats", "track_timeout_budgets", "wait_for_warm_on_init", "dns_lookup_family", "load_balancing_policy",
			"preconnect_policy", "close_connections_on_host_health_failure", "ignore_health_on_host_removal", "upstream_connection_options",
			"http_protocol_options"},
	}
	edsConfigTable  = fieldTable{supported: []string{"eds_config", "service_name"}}
	breakersTable   = fieldTable{supported: []string{"thresholds"}, ignored: []string{"per_host_thresholds"}}
	thresholdsTable = fieldTable{supported: []string{"priority", "max_connections", "max_pending_requests", "max_requests", "max_retries", "retry_budget"},
		ignored: []string{"track_remaining", "max_connection_pools"}}
	httpOptionsTable = fieldTable{supported: []string{"idle_timeout"}, ignored: []string{"max_connection_duration", "max_headers_count", "max_requests_per_connection"}}
	commonLbTable    = fieldTable{supported: []string{"locality_weighted_lb_config"},
		ignored: []string{"healthy_panic_threshold", "zone_aware_lb_config", "update_merge_window", "ignore_new_hosts_until_first_hc", "close_connections_on_host_set_change"}}
	leastRequestTable  = fieldTable{supported: []string{"slow_start_config"}, ignored: []string{"choice_count", "active_request_bias", "locality_lb_config", "enable_full_scan", "selection_method"}}
	roundRobinTable    = fieldTable{supported: []string{"slow_start_config"}, ignored: []string{"locality_lb_config"}}
	slowStartTable     = fieldTable{supported: []string{"slow_start_window"}, ignored: []string{"aggression", "min_weight_percent"}}
	assignmentTable    = fieldTable{supported: []string{"cluster_name", "endpoints", "policy"}}
	policyTable        = fieldTable{supported: []string{"drop_overloads", "endpoint_stale_after", "overprovisioning_factor"}, ignored: []string{"weighted_priority_health"}}
	localityTable      = fieldTable{supported: []string{"locality", "lb_endpoints", "load_balancing_weight", "priority"}, ignored: []string{"metadata", "proximity"}}
	lbEndpointTable    = fieldTable{supported: []string{"endpoint", "health_status", "metadata", "load_balancing_weight"}}
	endpointTable      = fieldTable{supported: []string{"address", "hostname"}, ignored: []string{"health_check_config", "additional_addresses"}}
	socketAddressTable = fieldTable{supported: []string{"address", "port_value", "protocol"}, ignored: []string{"ipv4_compat"}}
)

// audit goes over the fields that are set.
func (t fieldTable) audit(m proto.Message, path string, warn *[]string) error {
	var errs []error
	m.ProtoReflect().Range(func(f protoreflect.FieldDescriptor, _ protoreflect.Value) bool {
		name := string(f.Name())
		switch {
		case slices.Contains(t.supported, name):
		case slices.Contains(t.ignored, name):
			if warn != nil && len(*warn) < 32 {
				*warn = append(*warn, path+name+" is ignored")
			}
		default:
			errs = append(errs, fmt.Errorf("%s%s: not supported", path, name))
		}
		return true
	})
	if n := len(m.ProtoReflect().GetUnknown()); n > 0 && warn != nil {
		*warn = append(*warn, fmt.Sprintf("%s%d bytes of unknown fields are ignored", path, n))
	}
	slices.SortFunc(errs, func(x, y error) int { return cmp.Compare(x.Error(), y.Error()) })
	return errors.Join(errs...)
}

// ParseCluster checks a Cluster.
func ParseCluster(m *clusterv3.Cluster) (*Cluster, []string, error) {
	var warn []string
	c := &Cluster{Name: m.GetName(), ConnectTimeout: 5 * time.Second} // Envoy's default
	if c.Name == "" {
		return nil, nil, errors.New("name: is missing")
	}
	err := clusterTable.audit(m, "", &warn)
	bad := func(reason string, args ...any) { err = errors.Join(err, fmt.Errorf(reason, args...)) }
	sub := func(t fieldTable, m proto.Message, path string) { err = errors.Join(err, t.audit(m, path, &warn)) }
	if d := m.GetConnectTimeout(); d != nil {
		if c.ConnectTimeout = d.AsDuration(); d.CheckValid() != nil || c.ConnectTimeout <= 0 {
			bad("connect_timeout: want more than 0")
		}
	}
	c.ConnectTimeout = min(c.ConnectTimeout, 10*time.Second)
	switch m.GetLbPolicy() {
	case clusterv3.Cluster_ROUND_ROBIN, clusterv3.Cluster_LEAST_REQUEST, clusterv3.Cluster_RANDOM, clusterv3.Cluster_LOAD_BALANCING_POLICY_CONFIG:
		if m.GetLbPolicy() != clusterv3.Cluster_LEAST_REQUEST {
			warn = append(warn, fmt.Sprintf("lb_policy %v: the fewer requests of two servers wins here", m.GetLbPolicy()))
		}
	default:
		bad("lb_policy: %v is not supported", m.GetLbPolicy())
	}
	switch d := m.GetClusterDiscoveryType().(type) {
	case *clusterv3.Cluster_ClusterType:
		bad("cluster_type: %q is not supported", d.ClusterType.GetName())
	default:
		switch m.GetType() {
		case clusterv3.Cluster_EDS:
			e := m.GetEdsClusterConfig()
			if e == nil {
				bad("eds_cluster_config: is missing")
				break
			}
			sub(edsConfigTable, e, "eds_cluster_config.")
			if s := e.GetEdsConfig(); s.GetAds() == nil && s.GetSelf() == nil {
				bad("eds_cluster_config.eds_config: only ads and self are supported")
			}
			if m.GetLoadAssignment() != nil {
				bad("load_assignment: is for STATIC clusters")
			}
			c.Service = cmp.Or(e.GetServiceName(), c.Name)
		case clusterv3.Cluster_STATIC:
			if m.GetEdsClusterConfig() != nil {
				bad("eds_cluster_config: is for EDS clusters")
			}
			a, w, aerr := parseAssignment(m.GetLoadAssignment(), true)
			if aerr != nil {
				bad("load_assignment.%w", aerr)
			}
			c.Static = a
			warn = append(warn, w...)
		default:
			bad("type: %v is not supported", m.GetType())
		}
	}
	if b := m.GetCircuitBreakers(); b != nil {
		sub(breakersTable, b, "circuit_breakers.")
		for i, t := range b.GetThresholds() {
			at := fmt.Sprintf("circuit_breakers.thresholds[%d].", i)
			sub(thresholdsTable, t, at)
			to := &c.Breakers
			switch t.GetPriority() {
			case corev3.RoutingPriority_DEFAULT:
			case corev3.RoutingPriority_HIGH:
				if to = &c.HighPriority; t.GetMaxConnections() != nil {
					warn = append(warn, at+"max_connections: connections are shared by both priorities, it is not read for HIGH")
				}
			default:
				bad("%spriority: %d is not known", at, t.GetPriority())
				continue
			}
			if berr := to.parse(t); berr != nil {
				bad("%s%w", at, berr)
			}
		}
	}
	//lint:ignore SA1019 control planes still send it here
	if h := m.GetCommonHttpProtocolOptions(); h != nil {
		sub(httpOptionsTable, h, "common_http_protocol_options.")
		if d := h.GetIdleTimeout(); d != nil {
			c.IdleTimeout = max(d.AsDuration(), 0)
		}
	}
	if l := m.GetCommonLbConfig(); l != nil {
		sub(commonLbTable, l, "common_lb_config.")
		c.LocalityWeights = l.GetLocalityWeightedLbConfig() != nil
	}
	slow := func(s *clusterv3.Cluster_SlowStartConfig, path string) {
		if s != nil {
			sub(slowStartTable, s, path)
			c.WarmUp = max(s.GetSlowStartWindow().AsDuration(), 0)
		}
	}
	if l := m.GetLeastRequestLbConfig(); l != nil {
		sub(leastRequestTable, l, "least_request_lb_config.")
		slow(l.GetSlowStartConfig(), "least_request_lb_config.slow_start_config.")
	}
	if l := m.GetRoundRobinLbConfig(); l != nil {
		sub(roundRobinTable, l, "round_robin_lb_config.")
		slow(l.GetSlowStartConfig(), "round_robin_lb_config.slow_start_config.")
	}
	if err != nil {
		return nil, nil, err
	}
	return c, warn, nil
}

// ParseAssignment checks a ClusterLoadAssignment.
func ParseAssignment(m *endpointv3.ClusterLoadAssignment) (*Assignment, []string, error) {
	return parseAssignment(m, false)
}

func parseAssignment(m *endpointv3.ClusterLoadAssignment, inCluster bool) (*Assignment, []string, error) {
	a := &Assignment{Name: m.GetClusterName()}
	if a.Name == "" && !inCluster {
		return nil, nil, errors.New("cluster_name: is missing")
	}
	if m == nil {
		return a, nil, nil
	}
	var warn []string
	if err := assignmentTable.audit(m, "", &warn); err != nil {
		return nil, nil, err
	}
	if err := a.parsePolicy(m.GetPolicy(), &warn); err != nil {
		return nil, nil, err
	}
	seen, localities := map[string]string{}, map[string]bool{}
	sums, present := map[uint32]uint64{}, map[uint32]bool{}
	for i, l := range m.GetEndpoints() {
		path := fmt.Sprintf("endpoints[%d].", i)
		if err := localityTable.audit(l, path, &warn); err != nil {
			return nil, nil, err
		}
		p, loc := l.GetPriority(), l.GetLocality()
		name := strings.Join([]string{loc.GetRegion(), loc.GetZone(), loc.GetSubZone()}, "/")
		if p > maxPriority {
			return nil, nil, fmt.Errorf("%spriority: %d, %d at most", path, p, maxPriority)
		}
		if key := fmt.Sprint(p, name); localities[key] {
			return nil, nil, fmt.Errorf("%slocality: %s stands twice in priority %d", path, name, p)
		} else {
			localities[key] = true
		}
		present[p] = true
		w := l.GetLoadBalancingWeight()
		if w != nil && w.GetValue() == 0 {
			return nil, nil, fmt.Errorf("%sload_balancing_weight: want 1 at least", path)
		}
		if sums[p] += uint64(w.GetValue()); sums[p] > math.MaxUint32 {
			return nil, nil, fmt.Errorf("%sload_balancing_weight: the localities' weights in priority %d add up to more than %d", path, p, uint32(math.MaxUint32))
		}
		var sum uint64
		for j, e := range l.GetLbEndpoints() {
			at := fmt.Sprintf("%slb_endpoints[%d].", path, j)
			ep, err := parseEndpoint(e, at, &warn)
			if err != nil {
				return nil, nil, err
			}
			if first, ok := seen[ep.Address]; ok {
				return nil, nil, fmt.Errorf("%sendpoint.address: %s stands at %s already", at, ep.Address, strings.TrimSuffix(first, "."))
			}
			seen[ep.Address] = at
			if sum += uint64(ep.Weight); sum > math.MaxUint32 {
				return nil, nil, fmt.Errorf("%sload_balancing_weight: the weights add up to more than %d", at, uint32(math.MaxUint32))
			}
			ep.Zone, ep.SubZone = cmp.Or(loc.GetZone(), loc.GetRegion()), loc.GetSubZone()
			ep.Locality, ep.LocalityWeight, ep.Priority = name, w.GetValue(), int(p)
			if a.Endpoints = append(a.Endpoints, ep); len(a.Endpoints) > maxEndpoints {
				return nil, nil, fmt.Errorf("endpoints: more than %d", maxEndpoints)
			}
		}
	}
	for p := range uint32(len(present)) {
		if !present[p] {
			return nil, nil, fmt.Errorf("endpoints: priority %d is left out", p)
		}
	}
	return a, warn, nil
}

func (a *Assignment) parsePolicy(p *endpointv3.ClusterLoadAssignment_Policy, warn *[]string) error {
	if p == nil {
		return nil
	}
	if err := policyTable.audit(p, "policy.", warn); err != nil {
		return err
	}
	keep := 1.0
	for i, d := range p.GetDropOverloads() {
		of := map[typev3.FractionalPercent_DenominatorType]float64{typev3.FractionalPercent_HUNDRED: 100,
			typev3.FractionalPercent_TEN_THOUSAND: 1e4, typev3.FractionalPercent_MILLION: 1e6}[d.GetDropPercentage().GetDenominator()]
		if of == 0 {
			return fmt.Errorf("policy.drop_overloads[%d].drop_percentage.denominator: not known", i)
		}
		keep *= 1 - min(float64(d.GetDropPercentage().GetNumerator())/of, 1)
	}
	a.DropFraction = 1 - keep
	if v := p.GetOverprovisioningFactor(); v != nil {
		if v.GetValue() == 0 {
			return errors.New("policy.overprovisioning_factor: is 0")
		}
		a.Overprovision = float64(v.GetValue()) / 100
	}
	if d := p.GetEndpointStaleAfter(); d != nil {
		if a.StaleAfter = d.AsDuration(); d.CheckValid() != nil || a.StaleAfter < 0 {
			return errors.New("policy.endpoint_stale_after: is negative")
		}
	}
	return nil
}

var healthByStatus = map[corev3.HealthStatus]endpoints.Health{corev3.HealthStatus_UNKNOWN: endpoints.Unknown,
	corev3.HealthStatus_HEALTHY: endpoints.Healthy, corev3.HealthStatus_UNHEALTHY: endpoints.Unhealthy,
	corev3.HealthStatus_DRAINING: endpoints.Draining, corev3.HealthStatus_TIMEOUT: endpoints.Timeout,
	corev3.HealthStatus_DEGRADED: endpoints.Degraded}

func parseEndpoint(m *endpointv3.LbEndpoint, path string, warn *[]string) (e Endpoint, err error) {
	if err := lbEndpointTable.audit(m, path, warn); err != nil {
		return e, err
	}
	if m.GetEndpoint() == nil {
		return e, fmt.Errorf("%sendpoint: is missing", path)
	}
	if err := endpointTable.audit(m.GetEndpoint(), path+"endpoint.", warn); err != nil {
		return e, err
	}
	s := m.GetEndpoint().GetAddress().GetSocketAddress()
	if s == nil {
		return e, fmt.Errorf("%sendpoint.address.socket_address: is missing, and others are not supported", path)
	}
	at := path + "endpoint.address.socket_address."
	if err := socketAddressTable.audit(s, at, warn); err != nil {
		return e, err
	}
	if net.ParseIP(s.GetAddress()) == nil {
		return e, fmt.Errorf("%saddress: %q is not an IP address", at, s.GetAddress())
	}
	if p := s.GetPortValue(); p == 0 || p > 65535 {
		return e, fmt.Errorf("%sport_value: %d is not a port", at, p)
	}
	if s.GetProtocol() != corev3.SocketAddress_TCP {
		return e, fmt.Errorf("%sprotocol: only TCP is supported", at)
	}
	health, ok := healthByStatus[m.GetHealthStatus()]
	if !ok {
		return e, fmt.Errorf("%shealth_status: %d is not known", path, m.GetHealthStatus())
	}
	e.Address = net.JoinHostPort(s.GetAddress(), strconv.Itoa(int(s.GetPortValue())))
	e.Hostname, e.Health, e.Weight = m.GetEndpoint().GetHostname(), health, 1
	if w := m.GetLoadBalancingWeight(); w != nil {
		if e.Weight = float64(w.GetValue()); w.GetValue() == 0 {
			return e, fmt.Errorf("%sload_balancing_weight: want 1 at least", path)
		}
	}
	if f := m.GetMetadata().GetFilterMetadata()[metadataName].GetFields(); f != nil {
		e.Kind = f["kind"].GetStringValue()
		cell := f["cell"].GetNumberValue()
		if cell < 0 || cell > math.MaxInt32 || cell != math.Trunc(cell) {
			return e, fmt.Errorf("%smetadata.%s.cell: want a whole number from 0", path, metadataName)
		}
		e.Cell = int(cell)
	}
	return e, nil
}

// Update gives an assignment as its cluster's last word. Where the weights of localities count, a locality's weight is
// shared among its endpoints by their own.
func (a *Assignment) Update(source, version string, localities bool) endpoints.Update {
	w := endpoints.Update{Source: source, Version: version, Endpoints: make([]endpoints.Endpoint, len(a.Endpoints))}
	type place struct {
		priority int
		locality string
	}
	sums := map[place]float64{}
	if localities {
		for _, e := range a.Endpoints {
			sums[place{e.Priority, e.Locality}] += e.Weight
		}
	}
	for i, e := range a.Endpoints {
		if localities {
			e.Weight *= float64(max(e.LocalityWeight, 1)) / sums[place{e.Priority, e.Locality}]
		}
		w.Endpoints[i] = e.Endpoint
	}
	return w
}
