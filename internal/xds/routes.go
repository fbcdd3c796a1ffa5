package xds

import (
	"errors"
	"fmt"
	"strings"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	matcherv3 "github.com/envoyproxy/go-control-plane/envoy/type/matcher/v3"

	"robindrum/internal/route"
)

// Routes is a RouteConfiguration in the words of package route.
type Routes struct {
	Name   string
	Routes []route.Route
	Table  *route.Table
}

// mostRoutes of a RouteConfiguration, and of one virtual host, whose order is checked pair by pair.
const (
	maxRoutes     = 100_000
	maxHostRoutes = 2_000
)

var (
	routesTable = fieldTable{supported: []string{"name", "virtual_hosts"},
		ignored: []string{"validate_clusters", "internal_only_headers", "ignore_port_in_host_matching", "metadata",
			"max_direct_response_body_size_bytes", "response_headers_to_add", "response_headers_to_remove"}}
	virtualHostTable = fieldTable{supported: []string{"name", "domains", "routes"},
		ignored: []string{"metadata", "retry_policy", "include_request_attempt_count", "response_headers_to_add", "response_headers_to_remove"}}
	routeTable = fieldTable{supported: []string{"name", "match", "route", "metadata"},
		ignored: []string{"decorator", "tracing", "stat_prefix", "response_headers_to_add", "response_headers_to_remove"}}
	matchTable  = fieldTable{supported: []string{"prefix", "path", "path_separated_prefix", "headers", "query_parameters", "case_sensitive"}}
	actionTable = fieldTable{supported: []string{"cluster", "weighted_clusters", "priority"},
		ignored: []string{"timeout", "idle_timeout", "retry_policy", "cluster_not_found_response_code", "max_stream_duration", "hash_policy"}}
	weightedClustersTable = fieldTable{supported: []string{"clusters"}, ignored: []string{"total_weight", "runtime_key_prefix"}}
	clusterWeightTable    = fieldTable{supported: []string{"name", "weight"}}
	headerTable           = fieldTable{supported: []string{"name", "exact_match", "present_match", "prefix_match", "suffix_match", "contains_match",
		"string_match", "invert_match"}}
	queryTable  = fieldTable{supported: []string{"name", "string_match", "present_match"}}
	stringTable = fieldTable{supported: []string{"exact", "prefix", "suffix", "contains"}}
)

// ParseRoutes checks a RouteConfiguration. classes are those that a route's metadata may name; nil: any. Envoy takes the
// first route of a virtual host that matches, package route the most specific one; an order in which the two differ is
// refused.
func ParseRoutes(m *routev3.RouteConfiguration, classes map[string]bool) (*Routes, []string, error) {
	return parseRoutes(m, classes, false)
}

func parseRoutes(m *routev3.RouteConfiguration, classes map[string]bool, inListener bool) (*Routes, []string, error) {
	var warn []string
	if m.GetName() == "" && !inListener {
		return nil, nil, errors.New("name: is missing")
	}
	if err := routesTable.audit(m, "", &warn); err != nil {
		return nil, nil, err
	}
	c := &Routes{Name: m.GetName()}
	for i, h := range m.GetVirtualHosts() {
		at := fmt.Sprintf("virtual_hosts[%d].", i)
		if err := virtualHostTable.audit(h, at, &warn); err != nil {
			return nil, nil, err
		}
		if len(h.GetDomains()) == 0 {
			return nil, nil, fmt.Errorf("%sdomains: none is given", at)
		}
		if len(h.GetRoutes()) > maxHostRoutes {
			return nil, nil, fmt.Errorf("%sroutes: %d, %d at most", at, len(h.GetRoutes()), maxHostRoutes)
		}
		first := len(c.Routes)
		for j, r := range h.GetRoutes() {
			out, err := parseRoute(r, fmt.Sprintf("%sroutes[%d].", at, j), classes, &warn)
			if err != nil {
				return nil, nil, err
			}
			out.Hosts = h.GetDomains()
			for k := first; k < len(c.Routes); k++ {
				if takesPrecedence(&out, &c.Routes[k]) {
					return nil, nil, fmt.Errorf("%sroutes[%d]: stands behind routes[%d], which takes some of what it would, but is more specific: put it first",
						at, j, k-first)
				}
			}
			if c.Routes = append(c.Routes, out); len(c.Routes) > maxRoutes {
				return nil, nil, fmt.Errorf("virtual_hosts: more than %d routes", maxRoutes)
			}
		}
	}
	var err error
	if c.Table, err = route.Compile(c.Routes, route.Options{HostsExclude: true}); err != nil {
		return nil, nil, err
	}
	return c, warn, nil
}

// takesPrecedence tells whether package route would give r some request that matches first as well.
func takesPrecedence(r, first *route.Route) bool {
	covers := func(p *route.Route, path string) bool {
		if !p.Textual {
			pre := strings.TrimSuffix(p.Prefix, "/")
			return path == pre || strings.HasPrefix(path, pre+"/")
		}
		return strings.HasPrefix(path, p.Prefix)
	}
	same := false
	switch {
	case first.Path != "" && r.Path != "":
		if same = first.Path == r.Path; !same {
			return false
		}
	case first.Path != "": // exact before prefix: as here
		return false
	case r.Path != "":
		if !covers(first, r.Path) {
			return false
		}
	default:
		if same = first.Prefix == r.Prefix && first.Textual == r.Textual; !same && (!covers(first, r.Prefix) || len(first.Prefix) > len(r.Prefix)) {
			return false
		}
	}
	disjoint := func(x, y []route.Condition) bool {
		for _, a := range x {
			for _, b := range y {
				if a.Name == b.Name && a.Op == route.Exact && b.Op == route.Exact && (a.Not == b.Not && !a.Not && a.Value != b.Value || a.Not != b.Not && a.Value == b.Value) {
					return true
				}
			}
		}
		return false
	}
	if disjoint(r.Headers, first.Headers) || disjoint(r.Query, first.Query) || disjointMethods(r.Methods, first.Methods) {
		return false
	}
	return !same || conditionCount(r) > conditionCount(first)
}

func conditionCount(r *route.Route) int {
	n := len(r.Headers) + len(r.Query)
	if len(r.Methods) > 0 {
		n++
	}
	return n
}

func disjointMethods(x, y []string) bool {
	if len(x) == 0 || len(y) == 0 {
		return false
	}
	for _, a := range x {
		for _, b := range y {
			if a == b {
				return false
			}
		}
	}
	return true
}

func parseRoute(m *routev3.Route, at string, classes map[string]bool, warn *[]string) (r route.Route, err error) {
	if err := routeTable.audit(m, at, warn); err != nil {
		return r, err
	}
	if m.GetMatch() == nil || m.GetRoute() == nil {
		return r, fmt.Errorf("%smatch: a match and a route action are needed", at)
	}
	r.Name = m.GetName()
	if err := parseMatch(m.GetMatch(), at+"match.", &r, warn); err != nil {
		return r, err
	}
	a, path := m.GetRoute(), at+"route."
	if err := actionTable.audit(a, path, warn); err != nil {
		return r, err
	}
	switch {
	case a.GetCluster() != "":
		r.Clusters = []route.Weighted{{Cluster: a.GetCluster(), Weight: 1}}
	case a.GetWeightedClusters() != nil:
		if err := weightedClustersTable.audit(a.GetWeightedClusters(), path+"weighted_clusters.", warn); err != nil {
			return r, err
		}
		for i, w := range a.GetWeightedClusters().GetClusters() {
			if err := clusterWeightTable.audit(w, fmt.Sprintf("%sweighted_clusters.clusters[%d].", path, i), warn); err != nil {
				return r, err
			}
			r.Clusters = append(r.Clusters, route.Weighted{Cluster: w.GetName(), Weight: w.GetWeight().GetValue()})
		}
	default:
		return r, fmt.Errorf("%scluster: is missing", path)
	}
	switch a.GetPriority() {
	case corev3.RoutingPriority_DEFAULT:
	case corev3.RoutingPriority_HIGH:
		r.High = true
	default:
		return r, fmt.Errorf("%spriority: %d is not known", path, a.GetPriority())
	}
	if f := m.GetMetadata().GetFilterMetadata()[metadataName].GetFields(); f != nil {
		r.Class = f["class"].GetStringValue()
		r.Key.Header, r.Key.Query = f["key_header"].GetStringValue(), f["key_query"].GetStringValue()
		r.Tenant.Header = f["tenant_header"].GetStringValue()
		if r.Class != "" && classes != nil && !classes[r.Class] {
			return r, fmt.Errorf("%smetadata.%s.class: there is no class %q", at, metadataName, r.Class)
		}
	}
	return r, nil
}

func parseMatch(m *routev3.RouteMatch, at string, r *route.Route, warn *[]string) error {
	if err := matchTable.audit(m, at, warn); err != nil {
		return err
	}
	if m.GetCaseSensitive() != nil && !m.GetCaseSensitive().GetValue() {
		return fmt.Errorf("%scase_sensitive: false is not supported", at)
	}
	switch p := m.GetPathSpecifier().(type) {
	case *routev3.RouteMatch_Path:
		r.Path = p.Path
	case *routev3.RouteMatch_Prefix:
		if r.Prefix, r.Textual = p.Prefix, true; r.Prefix == "/" { // which any path begins with
			r.Textual = false
		}
	case *routev3.RouteMatch_PathSeparatedPrefix:
		r.Prefix = p.PathSeparatedPrefix
	}
	if r.Path == "" && r.Prefix == "" {
		return fmt.Errorf("%spath_specifier: one of prefix, path and path_separated_prefix is needed", at)
	}
	for i, h := range m.GetHeaders() {
		path := fmt.Sprintf("%sheaders[%d].", at, i)
		if err := headerTable.audit(h, path, warn); err != nil {
			return err
		}
		c := route.Condition{Name: h.GetName(), Not: h.GetInvertMatch()}
		switch s := h.GetHeaderMatchSpecifier().(type) {
		case *routev3.HeaderMatcher_ExactMatch:
			//lint:ignore SA1019 control planes still send it
			c.Op, c.Value = route.Exact, s.ExactMatch
		case *routev3.HeaderMatcher_PrefixMatch:
			//lint:ignore SA1019 control planes still send it
			c.Op, c.Value = route.Prefix, s.PrefixMatch
		case *routev3.HeaderMatcher_SuffixMatch:
			//lint:ignore SA1019 control planes still send it
			c.Op, c.Value = route.Suffix, s.SuffixMatch
		case *routev3.HeaderMatcher_ContainsMatch:
			//lint:ignore SA1019 control planes still send it
			c.Op, c.Value = route.Contains, s.ContainsMatch
		case *routev3.HeaderMatcher_PresentMatch:
			c.Not = c.Not == s.PresentMatch
		case *routev3.HeaderMatcher_StringMatch:
			if err := parseString(s.StringMatch, path+"string_match.", &c, warn); err != nil {
				return err
			}
		}
		if strings.HasPrefix(c.Name, ":") {
			if c.Name != ":method" || c.Op != route.Exact || c.Not {
				return fmt.Errorf("%sname: of %s only an exact :method is supported", path, c.Name)
			}
			r.Methods = append(r.Methods, c.Value)
			continue
		}
		r.Headers = append(r.Headers, c)
	}
	if len(r.Methods) > 1 {
		return fmt.Errorf("%sheaders: :method stands twice", at)
	}
	for i, q := range m.GetQueryParameters() {
		path := fmt.Sprintf("%squery_parameters[%d].", at, i)
		if err := queryTable.audit(q, path, warn); err != nil {
			return err
		}
		c := route.Condition{Name: q.GetName()}
		switch s := q.GetQueryParameterMatchSpecifier().(type) {
		case *routev3.QueryParameterMatcher_PresentMatch:
			c.Not = !s.PresentMatch
		case *routev3.QueryParameterMatcher_StringMatch:
			if err := parseString(s.StringMatch, path+"string_match.", &c, warn); err != nil {
				return err
			}
		}
		r.Query = append(r.Query, c)
	}
	return nil
}

func parseString(m *matcherv3.StringMatcher, at string, c *route.Condition, warn *[]string) error {
	if err := stringTable.audit(m, at, warn); err != nil {
		return err
	}
	switch p := m.GetMatchPattern().(type) {
	case *matcherv3.StringMatcher_Exact:
		c.Op, c.Value = route.Exact, p.Exact
	case *matcherv3.StringMatcher_Prefix:
		c.Op, c.Value = route.Prefix, p.Prefix
	case *matcherv3.StringMatcher_Suffix:
		c.Op, c.Value = route.Suffix, p.Suffix
	case *matcherv3.StringMatcher_Contains:
		c.Op, c.Value = route.Contains, p.Contains
	default:
		return fmt.Errorf("%smatch_pattern: is missing", at)
	}
	return nil
}

// Node is how the gateway calls itself toward control planes.
func Node(id, cluster, zone string) *corev3.Node {
	return &corev3.Node{Id: id, Cluster: cluster, Locality: &corev3.Locality{Zone: zone}, UserAgentName: "robindrum",
		ClientFeatures: []string{"xds.config.resource-in-sotw"}}
}
