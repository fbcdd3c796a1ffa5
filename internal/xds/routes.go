package xds

import (
	"fmt"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"

	"robindrum/internal/route"
)

const (
	// maxRoutes limits the routes of a RouteConfiguration.
	maxRoutes = 100_000
	// maxHostRoutes limits the routes of a virtual host, as each pair of them is compared to check their order.
	maxHostRoutes = 2_000
)

// Routes is a RouteConfiguration converted to the types of package route.
type Routes struct {
	Name   string
	Routes []route.Route
	Table  *route.Table
}

var (
	routesTable = fieldTable{
		supported: []string{"name", "virtual_hosts"},
		ignored: []string{
			"validate_clusters", "internal_only_headers", "ignore_port_in_host_matching", "metadata",
			"max_direct_response_body_size_bytes", "response_headers_to_add", "response_headers_to_remove",
		},
	}
	virtualHostTable = fieldTable{
		supported: []string{"name", "domains", "routes"},
		ignored: []string{
			"metadata", "retry_policy", "include_request_attempt_count", "response_headers_to_add",
			"response_headers_to_remove",
		},
	}
	routeTable = fieldTable{
		supported: []string{"name", "match", "route", "metadata"},
		ignored: []string{
			"decorator", "tracing", "stat_prefix", "response_headers_to_add", "response_headers_to_remove",
		},
	}
	actionTable = fieldTable{
		supported: []string{"cluster", "weighted_clusters", "priority"},
		ignored: []string{
			"timeout", "idle_timeout", "retry_policy", "cluster_not_found_response_code", "max_stream_duration",
			"hash_policy",
		},
	}
	weightedClustersTable = fieldTable{
		supported: []string{"clusters"},
		ignored:   []string{"total_weight", "runtime_key_prefix"},
	}
	clusterWeightTable = fieldTable{
		supported: []string{"name", "weight"},
	}
)

// routesParser converts one RouteConfiguration. It stops at the first error.
type routesParser struct {
	routes   []route.Route
	classes  map[string]bool // nil: any
	warnings []string
}

// ParseRoutes checks and converts a RouteConfiguration. It also returns a warning for each ignored field. The metadata of
// routes may refer only to the given classes, or to any class if classes is nil. Of the matching routes of a virtual host,
// Envoy uses the first one and package route the most specific one. If the order of the routes makes the two differ,
// ParseRoutes returns an error.
func ParseRoutes(message *routev3.RouteConfiguration, classes map[string]bool) (*Routes, []string, error) {
	return parseRoutes(message, classes, false)
}

// parseRoutes implements ParseRoutes. With inListener, the RouteConfiguration is part of a listener and needs no name.
func parseRoutes(message *routev3.RouteConfiguration, classes map[string]bool, inListener bool) (*Routes, []string, error) {
	if message.GetName() == "" && !inListener {
		return nil, nil, errNoName
	}
	p := &routesParser{classes: classes}
	if err := routesTable.audit(message, "", &p.warnings); err != nil {
		return nil, nil, err
	}
	for i, host := range message.GetVirtualHosts() {
		if err := p.parseHost(host, fmt.Sprintf("virtual_hosts[%d].", i)); err != nil {
			return nil, nil, err
		}
	}
	table, err := route.Compile(p.routes, route.Options{MostSpecificHostOnly: true})
	if err != nil {
		return nil, nil, err
	}
	return &Routes{Name: message.GetName(), Routes: p.routes, Table: table}, p.warnings, nil
}

func (p *routesParser) parseHost(host *routev3.VirtualHost, path string) error {
	if err := virtualHostTable.audit(host, path, &p.warnings); err != nil {
		return err
	}
	if len(host.GetDomains()) == 0 {
		return fmt.Errorf("%sdomains: must not be empty", path)
	}
	if len(host.GetRoutes()) > maxHostRoutes {
		return fmt.Errorf("%sroutes: %d routes exceed the maximum of %d", path, len(host.GetRoutes()), maxHostRoutes)
	}
	firstOfHost := len(p.routes)
	for i, message := range host.GetRoutes() {
		parsed, err := p.parseRoute(message, fmt.Sprintf("%sroutes[%d].", path, i))
		if err != nil {
			return err
		}
		parsed.Hosts = host.GetDomains()
		for j, earlier := range p.routes[firstOfHost:] {
			if takesPrecedence(&parsed, &earlier) {
				return fmt.Errorf("%sroutes[%d]: is more specific than routes[%d], which precedes it and matches some of the same requests; move it before that route",
					path, i, j)
			}
		}
		p.routes = append(p.routes, parsed)
		if len(p.routes) > maxRoutes {
			return fmt.Errorf("virtual_hosts: more than %d routes", maxRoutes)
		}
	}
	return nil
}

func (p *routesParser) parseRoute(message *routev3.Route, path string) (parsed route.Route, err error) {
	if err := routeTable.audit(message, path, &p.warnings); err != nil {
		return parsed, err
	}
	if message.GetMatch() == nil || message.GetRoute() == nil {
		return parsed, fmt.Errorf("%smatch: a match and a route action are required", path)
	}
	parsed.Name = message.GetName()
	if err := p.parseMatch(message.GetMatch(), path+"match.", &parsed); err != nil {
		return parsed, err
	}
	if err := p.parseAction(message.GetRoute(), path+"route.", &parsed); err != nil {
		return parsed, err
	}
	return parsed, p.parseMetadata(message.GetMetadata(), path, &parsed)
}

func (p *routesParser) parseAction(action *routev3.RouteAction, path string, parsed *route.Route) error {
	if err := actionTable.audit(action, path, &p.warnings); err != nil {
		return err
	}
	switch {
	case action.GetCluster() != "":
		parsed.Clusters = []route.Weighted{{Cluster: action.GetCluster(), Weight: 1}}
	case action.GetWeightedClusters() != nil:
		if err := p.parseWeightedClusters(action.GetWeightedClusters(), path+"weighted_clusters.", parsed); err != nil {
			return err
		}
	default:
		return fmt.Errorf("%scluster: is missing", path)
	}
	switch action.GetPriority() {
	case corev3.RoutingPriority_DEFAULT:
	case corev3.RoutingPriority_HIGH:
		parsed.High = true
	default:
		return fmt.Errorf("%spriority: unknown value %d", path, action.GetPriority())
	}
	return nil
}

func (p *routesParser) parseWeightedClusters(message *routev3.WeightedCluster, path string, parsed *route.Route) error {
	if err := weightedClustersTable.audit(message, path, &p.warnings); err != nil {
		return err
	}
	for i, cluster := range message.GetClusters() {
		if err := clusterWeightTable.audit(cluster, fmt.Sprintf("%sclusters[%d].", path, i), &p.warnings); err != nil {
			return err
		}
		weighted := route.Weighted{Cluster: cluster.GetName(), Weight: cluster.GetWeight().GetValue()}
		parsed.Clusters = append(parsed.Clusters, weighted)
	}
	return nil
}

// parseMetadata reads the metadata fields that are specific to this gateway.
func (p *routesParser) parseMetadata(metadata *corev3.Metadata, path string, parsed *route.Route) error {
	fields := metadata.GetFilterMetadata()[metadataName].GetFields()
	if fields == nil {
		return nil
	}
	parsed.Class = fields["class"].GetStringValue()
	parsed.Key.Header = fields["key_header"].GetStringValue()
	parsed.Key.Query = fields["key_query"].GetStringValue()
	parsed.Tenant.Header = fields["tenant_header"].GetStringValue()
	if parsed.Class != "" && p.classes != nil && !p.classes[parsed.Class] {
		return fmt.Errorf("%smetadata.%s.class: unknown class %q", path, metadataName, parsed.Class)
	}
	return nil
}
