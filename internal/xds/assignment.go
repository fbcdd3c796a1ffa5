package xds

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"

	"robindrum/internal/endpoints"
)

const (
	maxEndpoints = 100_000
	maxPriority  = 128 // the same as Envoy's limit
	maxPort      = 65535
)

// Assignment is a ClusterLoadAssignment converted to the gateway's type: the endpoints of a cluster.
type Assignment struct {
	Name                   string
	Endpoints              []Endpoint
	DropFraction           float64       // fraction of requests to drop, 0 to 1
	StaleAfter             time.Duration // age at which the assignment becomes stale; 0: never
	OverprovisioningFactor float64       // overprovisioning factor, which scales the health of a priority in locality balancing; 0: not set
}

// Endpoint is an endpoint of an assignment. Its weight is relative to the other endpoints of its locality.
type Endpoint struct {
	endpoints.Endpoint
	Locality       string
	LocalityWeight uint32 // 0: not set
}

var (
	assignmentTable = fieldTable{
		supported: []string{"cluster_name", "endpoints", "policy"},
	}
	policyTable = fieldTable{
		supported: []string{"drop_overloads", "endpoint_stale_after", "overprovisioning_factor"},
		ignored:   []string{"weighted_priority_health"},
	}
	localityTable = fieldTable{
		supported: []string{"locality", "lb_endpoints", "load_balancing_weight", "priority"},
		ignored:   []string{"metadata", "proximity"},
	}
	lbEndpointTable = fieldTable{
		supported: []string{"endpoint", "health_status", "metadata", "load_balancing_weight"},
	}
	endpointTable = fieldTable{
		supported: []string{"address", "hostname"},
		ignored:   []string{"health_check_config", "additional_addresses"},
	}
	socketAddressTable = fieldTable{
		supported: []string{"address", "port_value", "protocol"},
		ignored:   []string{"ipv4_compat"},
	}
)

// ParseAssignment checks and converts a ClusterLoadAssignment. It also returns a warning for each ignored field.
func ParseAssignment(message *endpointv3.ClusterLoadAssignment) (*Assignment, []string, error) {
	return parseAssignment(message, false)
}

// parseAssignment implements ParseAssignment. With inCluster, the assignment is part of a cluster and needs no name, and a nil
// message is an empty assignment.
func parseAssignment(message *endpointv3.ClusterLoadAssignment, inCluster bool) (*Assignment, []string, error) {
	p := newAssignmentParser(message.GetClusterName())
	if message.GetClusterName() == "" && !inCluster {
		return nil, nil, errors.New("cluster_name: is missing")
	}
	if message == nil {
		return p.assignment, nil, nil
	}
	err := p.parse(message)
	if err != nil {
		return nil, nil, err
	}
	return p.assignment, p.warnings, nil
}

// assignmentParser converts one ClusterLoadAssignment. It stops at the first error.
type assignmentParser struct {
	assignment      *Assignment
	warnings        []string
	pathByAddress   map[string]string // field path of each endpoint, by address
	localities      map[string]bool   // by priority and name, joined without a separator
	priorityWeights map[uint32]uint64 // sum of the locality weights of each priority
	hasPriority     map[uint32]bool
}

// localityKey identifies a locality within an assignment.
type localityKey struct {
	priority uint32
	name     string
}

func newAssignmentParser(name string) *assignmentParser {
	return &assignmentParser{
		assignment:      &Assignment{Name: name},
		pathByAddress:   map[string]string{},
		localities:      map[string]bool{},
		priorityWeights: map[uint32]uint64{},
		hasPriority:     map[uint32]bool{},
	}
}

func (p *assignmentParser) parse(message *endpointv3.ClusterLoadAssignment) error {
	if err := assignmentTable.audit(message, "", &p.warnings); err != nil {
		return err
	}
	if err := p.assignment.parsePolicy(message.GetPolicy(), &p.warnings); err != nil {
		return err
	}
	for i, locality := range message.GetEndpoints() {
		path := fmt.Sprintf("endpoints[%d].", i)
		if err := p.parseLocality(locality, path); err != nil {
			return err
		}
	}
	for priority := range uint32(len(p.hasPriority)) {
		if !p.hasPriority[priority] {
			return fmt.Errorf("endpoints: priority %d is missing, priorities must be consecutive", priority)
		}
	}
	return nil
}

func (p *assignmentParser) parseLocality(message *endpointv3.LocalityLbEndpoints, path string) error {
	if err := localityTable.audit(message, path, &p.warnings); err != nil {
		return err
	}
	locality := message.GetLocality()
	key := localityKey{
		priority: message.GetPriority(),
		name:     strings.Join([]string{locality.GetRegion(), locality.GetZone(), locality.GetSubZone()}, "/"),
	}
	if err := p.addLocality(key, message, path); err != nil {
		return err
	}
	var weights uint64
	for i, lbEndpoint := range message.GetLbEndpoints() {
		endpointPath := fmt.Sprintf("%slb_endpoints[%d].", path, i)
		endpoint, err := parseEndpoint(lbEndpoint, endpointPath, &p.warnings)
		if err != nil {
			return err
		}
		if first, ok := p.pathByAddress[endpoint.Address]; ok {
			return fmt.Errorf("%sendpoint.address: duplicate address %s, already used by %s", endpointPath, endpoint.Address, strings.TrimSuffix(first, "."))
		}
		p.pathByAddress[endpoint.Address] = endpointPath
		weights += uint64(endpoint.Weight)
		if weights > math.MaxUint32 {
			return fmt.Errorf("%sload_balancing_weight: the sum of the endpoint weights exceeds %d", endpointPath, uint32(math.MaxUint32))
		}
		endpoint.Zone = cmp.Or(locality.GetZone(), locality.GetRegion())
		endpoint.SubZone = locality.GetSubZone()
		endpoint.Locality = key.name
		endpoint.LocalityWeight = message.GetLoadBalancingWeight().GetValue()
		endpoint.Priority = int(key.priority)
		p.assignment.Endpoints = append(p.assignment.Endpoints, endpoint)
		if len(p.assignment.Endpoints) > maxEndpoints {
			return fmt.Errorf("endpoints: more than %d endpoints", maxEndpoints)
		}
	}
	return nil
}

// addLocality checks the priority, name and weight of a locality, and records them.
func (p *assignmentParser) addLocality(key localityKey, message *endpointv3.LocalityLbEndpoints, path string) error {
	priority := key.priority
	if priority > maxPriority {
		return fmt.Errorf("%spriority: %d exceeds the maximum of %d", path, priority, maxPriority)
	}
	// The key has no separator, so priority 1 with region "1" has the same key as priority 11 without a region.
	priorityAndName := fmt.Sprint(priority, key.name)
	if p.localities[priorityAndName] {
		return fmt.Errorf("%slocality: duplicate locality %s in priority %d", path, key.name, priority)
	}
	p.localities[priorityAndName] = true
	p.hasPriority[priority] = true
	weight := message.GetLoadBalancingWeight()
	if weight != nil && weight.GetValue() == 0 {
		return fmt.Errorf("%sload_balancing_weight: must be at least 1", path)
	}
	p.priorityWeights[priority] += uint64(weight.GetValue())
	if p.priorityWeights[priority] > math.MaxUint32 {
		return fmt.Errorf("%sload_balancing_weight: the sum of the locality weights in priority %d exceeds %d", path, priority, uint32(math.MaxUint32))
	}
	return nil
}

func (a *Assignment) parsePolicy(policy *endpointv3.ClusterLoadAssignment_Policy, warnings *[]string) error {
	if policy == nil {
		return nil
	}
	if err := policyTable.audit(policy, "policy.", warnings); err != nil {
		return err
	}
	if err := a.parseDrops(policy); err != nil {
		return err
	}
	if factor := policy.GetOverprovisioningFactor(); factor != nil {
		if factor.GetValue() == 0 {
			return errors.New("policy.overprovisioning_factor: must be at least 1, got 0")
		}
		a.OverprovisioningFactor = float64(factor.GetValue()) / 100
	}
	if staleAfter := policy.GetEndpointStaleAfter(); staleAfter != nil {
		a.StaleAfter = staleAfter.AsDuration()
		if staleAfter.CheckValid() != nil || a.StaleAfter < 0 {
			return errors.New("policy.endpoint_stale_after: must be a valid duration and not negative")
		}
	}
	return nil
}

var denominators = map[typev3.FractionalPercent_DenominatorType]float64{
	typev3.FractionalPercent_HUNDRED:      100,
	typev3.FractionalPercent_TEN_THOUSAND: 1e4,
	typev3.FractionalPercent_MILLION:      1e6,
}

// parseDrops combines the drop percentages into one fraction. Each percentage applies to the requests that the previous ones
// do not drop.
func (a *Assignment) parseDrops(policy *endpointv3.ClusterLoadAssignment_Policy) error {
	remaining := 1.0
	for i, drop := range policy.GetDropOverloads() {
		percentage := drop.GetDropPercentage()
		denominator, ok := denominators[percentage.GetDenominator()]
		if !ok {
			return fmt.Errorf("policy.drop_overloads[%d].drop_percentage.denominator: unknown value", i)
		}
		remaining *= 1 - min(float64(percentage.GetNumerator())/denominator, 1)
	}
	a.DropFraction = 1 - remaining
	return nil
}

var healthByStatus = map[corev3.HealthStatus]endpoints.Health{
	corev3.HealthStatus_UNKNOWN:   endpoints.Unknown,
	corev3.HealthStatus_HEALTHY:   endpoints.Healthy,
	corev3.HealthStatus_UNHEALTHY: endpoints.Unhealthy,
	corev3.HealthStatus_DRAINING:  endpoints.Draining,
	corev3.HealthStatus_TIMEOUT:   endpoints.Timeout,
	corev3.HealthStatus_DEGRADED:  endpoints.Degraded,
}

func parseEndpoint(message *endpointv3.LbEndpoint, path string, warnings *[]string) (endpoint Endpoint, err error) {
	if err := lbEndpointTable.audit(message, path, warnings); err != nil {
		return endpoint, err
	}
	if message.GetEndpoint() == nil {
		return endpoint, fmt.Errorf("%sendpoint: is missing", path)
	}
	if err := endpointTable.audit(message.GetEndpoint(), path+"endpoint.", warnings); err != nil {
		return endpoint, err
	}
	endpoint.Address, err = parseAddress(message.GetEndpoint().GetAddress(), path+"endpoint.address.", warnings)
	if err != nil {
		return endpoint, err
	}
	health, ok := healthByStatus[message.GetHealthStatus()]
	if !ok {
		return endpoint, fmt.Errorf("%shealth_status: unknown value %d", path, message.GetHealthStatus())
	}
	endpoint.Hostname = message.GetEndpoint().GetHostname()
	endpoint.Health = health
	endpoint.Weight = 1
	if weight := message.GetLoadBalancingWeight(); weight != nil {
		if weight.GetValue() == 0 {
			return endpoint, fmt.Errorf("%sload_balancing_weight: must be at least 1", path)
		}
		endpoint.Weight = float64(weight.GetValue())
	}
	return endpoint, endpoint.parseMetadata(message.GetMetadata(), path)
}

// parseAddress returns an address as host:port.
func parseAddress(address *corev3.Address, path string, warnings *[]string) (string, error) {
	socket := address.GetSocketAddress()
	if socket == nil {
		return "", fmt.Errorf("%ssocket_address: is missing, other types of addresses are not supported", path)
	}
	path += "socket_address."
	if err := socketAddressTable.audit(socket, path, warnings); err != nil {
		return "", err
	}
	if net.ParseIP(socket.GetAddress()) == nil {
		return "", fmt.Errorf("%saddress: %q is not an IP address", path, socket.GetAddress())
	}
	port := socket.GetPortValue()
	if port == 0 || port > maxPort {
		return "", fmt.Errorf("%sport_value: %d is not a port", path, port)
	}
	if socket.GetProtocol() != corev3.SocketAddress_TCP {
		return "", fmt.Errorf("%sprotocol: only TCP is supported", path)
	}
	return net.JoinHostPort(socket.GetAddress(), strconv.Itoa(int(port))), nil
}

// parseMetadata reads the metadata fields that are specific to this gateway.
func (e *Endpoint) parseMetadata(metadata *corev3.Metadata, path string) error {
	fields := metadata.GetFilterMetadata()[metadataName].GetFields()
	if fields == nil {
		return nil
	}
	e.Kind = fields["kind"].GetStringValue()
	cell := fields["cell"].GetNumberValue()
	if cell < 0 || cell > math.MaxInt32 || cell != math.Trunc(cell) {
		return fmt.Errorf("%smetadata.%s.cell: must be a non-negative integer", path, metadataName)
	}
	e.Cell = int(cell)
	return nil
}

// Update returns the assignment as an endpoint list. With useLocalityWeights, the weight of each locality is divided among
// its endpoints in proportion to the endpoint weights.
func (a *Assignment) Update(source, version string, useLocalityWeights bool) endpoints.Update {
	update := endpoints.Update{Source: source, Version: version, Endpoints: make([]endpoints.Endpoint, len(a.Endpoints))}
	weights := map[localityKey]float64{}
	if useLocalityWeights {
		for i := range a.Endpoints {
			weights[a.Endpoints[i].localityKey()] += a.Endpoints[i].Weight
		}
	}
	for i, endpoint := range a.Endpoints {
		if useLocalityWeights {
			endpoint.Weight *= float64(max(endpoint.LocalityWeight, 1)) / weights[endpoint.localityKey()]
		}
		update.Endpoints[i] = endpoint.Endpoint
	}
	return update
}

func (e *Endpoint) localityKey() localityKey {
	return localityKey{priority: uint32(e.Priority), name: e.Locality}
}
