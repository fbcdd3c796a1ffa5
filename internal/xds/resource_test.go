package xds

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"robindrum/internal/endpoints"
	"robindrum/internal/route"
)

// unmarshalJSON parses text into message and returns message.
func unmarshalJSON[M proto.Message](t testing.TB, message M, text string) M {
	t.Helper()
	if err := protojson.Unmarshal([]byte(text), message); err != nil {
		t.Fatalf("unmarshalling: got error %v, want none, for %s", err, text)
	}
	return message
}

const edsOverADS = `"eds_cluster_config":{"eds_config":{"ads":{}}}`

func TestParseCluster(t *testing.T) {
	for name, c := range map[string]struct{ text, err, warn string }{
		"eds":             {`{"name":"a","type":"EDS",` + edsOverADS + `}`, "", "lb_policy ROUND_ROBIN"},
		"least":           {`{"name":"a","type":"EDS","lb_policy":"LEAST_REQUEST",` + edsOverADS + `}`, "", ""},
		"static":          {`{"name":"a","lb_policy":"LEAST_REQUEST","load_assignment":{"cluster_name":"a"}}`, "", ""},
		"nameless":        {`{"type":"EDS",` + edsOverADS + `}`, "name: is missing", ""},
		"dns":             {`{"name":"a","type":"STRICT_DNS"}`, "type: STRICT_DNS is not supported", ""},
		"aggregate":       {`{"name":"a","cluster_type":{"name":"envoy.clusters.aggregate"}}`, `cluster_type: "envoy.clusters.aggregate" is not supported`, ""},
		"tls":             {`{"name":"a","type":"EDS","transport_socket":{"name":"tls"},` + edsOverADS + `}`, "transport_socket: not supported", ""},
		"http2":           {`{"name":"a","type":"EDS","http2_protocol_options":{},` + edsOverADS + `}`, "http2_protocol_options: not supported", ""},
		"ring":            {`{"name":"a","type":"EDS","lb_policy":"RING_HASH",` + edsOverADS + `}`, "lb_policy: RING_HASH is not supported", ""},
		"no eds":          {`{"name":"a","type":"EDS"}`, "eds_cluster_config: is missing", ""},
		"eds by path":     {`{"name":"a","type":"EDS","eds_cluster_config":{"eds_config":{"path":"/x"}}}`, "only ads and self", ""},
		"both":            {`{"name":"a","type":"EDS","load_assignment":{"cluster_name":"a"},` + edsOverADS + `}`, "load_assignment: only allowed for STATIC", ""},
		"two errors":      {`{"name":"a","type":"EDS","lb_policy":"MAGLEV","upstream_bind_config":{},` + edsOverADS + `}`, "lb_policy: MAGLEV", ""},
		"static, port 0":  {`{"name":"a","load_assignment":{"endpoints":[{"lb_endpoints":[{"endpoint":{"address":{"socket_address":{"address":"127.0.0.1","port_value":0}}}}]}]}}`, "load_assignment.endpoints[0].lb_endpoints[0].endpoint.address.socket_address.port_value: 0 is not a port", ""},
		"health checks":   {`{"name":"a","type":"EDS","lb_policy":"LEAST_REQUEST","outlier_detection":{},` + edsOverADS + `}`, "", "outlier_detection is ignored"},
		"timeout":         {`{"name":"a","type":"EDS","connect_timeout":"0s",` + edsOverADS + `}`, "connect_timeout: must be positive", ""},
		"ignored breaker": {`{"name":"a","type":"EDS","lb_policy":"LEAST_REQUEST","circuit_breakers":{"thresholds":[{"track_remaining":true}]},` + edsOverADS + `}`, "", "circuit_breakers.thresholds[0].track_remaining is ignored"},
		"zero requests":   {`{"name":"a","type":"EDS","lb_policy":"LEAST_REQUEST","circuit_breakers":{"thresholds":[{"max_requests":0}]},` + edsOverADS + `}`, "circuit_breakers.thresholds[0].max_requests: must be at least 1, as 0 would reject", ""},
	} {
		_, warn, err := ParseCluster(unmarshalJSON(t, &clusterv3.Cluster{}, c.text))
		if (err != nil) != (c.err != "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: ParseCluster: got error %v, want %q", name, err, c.err)
		}
		if w := strings.Join(warn, "; "); err == nil && (w != "") != (c.warn != "") || !strings.Contains(w, c.warn) {
			t.Errorf("%s: ParseCluster: got warnings %q, want %q", name, w, c.warn)
		}
	}
	c, _, err := ParseCluster(unmarshalJSON(t, &clusterv3.Cluster{}, `{"name":"a","type":"EDS","connect_timeout":"0.3s",
		"eds_cluster_config":{"eds_config":{"self":{}},"service_name":"b"},"lb_policy":"LEAST_REQUEST",
		"least_request_lb_config":{"slow_start_config":{"slow_start_window":"7s"}},
		"common_http_protocol_options":{"idle_timeout":"9s"},"common_lb_config":{"locality_weighted_lb_config":{}},
		"circuit_breakers":{"thresholds":[{"priority":"HIGH","max_requests":1,"max_retries":0},{"max_connections":5,"max_requests":6,"max_pending_requests":4294967295,"max_retries":8,
		"retry_budget":{"budget_percent":{"value":12.5}}}]}}`))
	want := Cluster{Name: "a", Service: "b", ConnectTimeout: 300 * time.Millisecond, IdleTimeout: 9 * time.Second, WarmUp: 7 * time.Second, LocalityWeights: true,
		Breakers:     Breakers{MaxConnections: 5, MaxRequests: 6, MaxPending: maxThreshold, MaxRetries: 8, RetryBudget: &RetryBudget{Percent: 12.5, MinRetries: 3}},
		HighPriority: Breakers{MaxRequests: 1, RetryBudget: &RetryBudget{Percent: noRetriesPercent}}}
	if err != nil || !reflect.DeepEqual(*c, want) {
		t.Errorf("ParseCluster = %+v, error %v, want %+v", c, err, want)
	}
	c, _, err = ParseCluster(unmarshalJSON(t, &clusterv3.Cluster{}, `{"name":"a","type":"EDS","eds_cluster_config":{"eds_config":{"self":{}}},
		"lb_policy":"LEAST_REQUEST","circuit_breakers":{"thresholds":[{"max_retries":0}]}}`))
	if err != nil || c.RetryBudget == nil || c.RetryBudget.MinRetries != 0 || c.RetryBudget.Percent > 0.01 {
		t.Errorf("max_retries 0: ParseCluster = %+v, error %v, want a retry budget with MinRetries 0 and Percent of at most 0.01", c, err)
	}
}

// endpointJSON returns an LbEndpoint in JSON. otherFields is empty or begins with a comma.
func endpointJSON(port int, otherFields string) string {
	return fmt.Sprintf(`{"endpoint":{"address":{"socket_address":{"address":"127.0.0.1","port_value":%d}}}%s}`, port, otherFields)
}

func TestParseAssignment(t *testing.T) {
	assignmentJSON := func(endpointsJSON ...string) string {
		return `{"cluster_name":"a","endpoints":[{"locality":{"zone":"z"},"lb_endpoints":[` + strings.Join(endpointsJSON, ",") + `]}]}`
	}
	for name, c := range map[string]struct{ text, err string }{
		"empty":              {`{"cluster_name":"a"}`, ""},
		"nameless":           {`{}`, "cluster_name: is missing"},
		"one":                {assignmentJSON(endpointJSON(1, "")), ""},
		"port 0":             {assignmentJSON(endpointJSON(1, ""), endpointJSON(0, "")), "lb_endpoints[1].endpoint.address.socket_address.port_value: 0 is not a port"},
		"port 70000":         {assignmentJSON(endpointJSON(70000, "")), "70000 is not a port"},
		"duplicate":          {assignmentJSON(endpointJSON(1, ""), endpointJSON(2, ""), endpointJSON(1, "")), "lb_endpoints[2].endpoint.address: duplicate address 127.0.0.1:1, already used by endpoints[0].lb_endpoints[0]"},
		"large weight":       {assignmentJSON(endpointJSON(1, `,"load_balancing_weight":1000000000`), endpointJSON(2, "")), ""},
		"weights":            {assignmentJSON(endpointJSON(1, `,"load_balancing_weight":4000000000`), endpointJSON(2, `,"load_balancing_weight":4000000000`)), "the sum of the endpoint weights exceeds 4294967295"},
		"weight 0":           {assignmentJSON(endpointJSON(1, `,"load_balancing_weight":0`)), "load_balancing_weight: must be at least 1"},
		"host name":          {strings.Replace(assignmentJSON(endpointJSON(1, "")), "127.0.0.1", "example.org", 1), "is not an IP address"},
		"no address":         {assignmentJSON(`{"endpoint":{}}`), "socket_address: is missing"},
		"pipe":               {assignmentJSON(`{"endpoint":{"address":{"pipe":{"path":"/x"}}}}`), "socket_address: is missing"},
		"endpoint by name":   {assignmentJSON(`{"endpoint_name":"x"}`), "endpoint_name: not supported"},
		"udp":                {strings.Replace(assignmentJSON(endpointJSON(1, "")), `"port_value"`, `"protocol":"UDP","port_value"`, 1), "only TCP"},
		"cell":               {assignmentJSON(endpointJSON(1, `,"metadata":{"filter_metadata":{"robindrum":{"cell":1.5}}}`)), "metadata.robindrum.cell: must be a non-negative integer"},
		"named endpoints":    {`{"cluster_name":"a","named_endpoints":{"x":{}}}`, "named_endpoints: not supported"},
		"priority gap":       {`{"cluster_name":"a","endpoints":[{"priority":1}]}`, "priority 0 is missing"},
		"priority":           {`{"cluster_name":"a","endpoints":[{"priority":129}]}`, "priority: 129 exceeds the maximum of 128"},
		"duplicate locality": {`{"cluster_name":"a","endpoints":[{"locality":{"zone":"z"}},{"locality":{"zone":"z"}}]}`, "endpoints[1].locality: duplicate locality /z/"},
		"locality reused":    {`{"cluster_name":"a","endpoints":[{"locality":{"zone":"z"}},{"locality":{"zone":"z"},"priority":1}]}`, ""},
		"locality weights":   {`{"cluster_name":"a","endpoints":[{"load_balancing_weight":4000000000},{"locality":{"zone":"z"},"load_balancing_weight":4000000000}]}`, "the sum of the locality weights in priority 0 exceeds"},
		"stale":              {`{"cluster_name":"a","policy":{"endpoint_stale_after":"-1s"}}`, "endpoint_stale_after: must be a valid duration and not negative"},
		"leds":               {`{"cluster_name":"a","endpoints":[{"leds_cluster_locality_config":{}}]}`, "leds_cluster_locality_config: not supported"},
		"overprovisioning":   {`{"cluster_name":"a","policy":{"overprovisioning_factor":140}}`, ""},
	} {
		_, _, err := ParseAssignment(unmarshalJSON(t, &endpointv3.ClusterLoadAssignment{}, c.text))
		if (err != nil) != (c.err != "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: ParseAssignment: got error %v, want %q", name, err, c.err)
		}
	}
	assignment, _, err := ParseAssignment(unmarshalJSON(t, &endpointv3.ClusterLoadAssignment{}, `{"cluster_name":"a",
		"policy":{"drop_overloads":[{"category":"x","drop_percentage":{"numerator":50}},{"drop_percentage":{"numerator":200000,"denominator":"MILLION"}}],"endpoint_stale_after":"3s"},
		"endpoints":[{"locality":{"region":"r","zone":"z","sub_zone":"s"},"load_balancing_weight":30,"lb_endpoints":[`+
		endpointJSON(1, `,"health_status":"DRAINING","load_balancing_weight":1,"metadata":{"filter_metadata":{"robindrum":{"cell":2,"kind":"k"}}}`)+`,`+endpointJSON(2, `,"load_balancing_weight":2`)+
		`]},{"locality":{"region":"r2"},"priority":1,"load_balancing_weight":5,"lb_endpoints":[`+endpointJSON(3, "")+`]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if assignment.DropFraction < 0.599 || assignment.DropFraction > 0.601 || assignment.StaleAfter != 3*time.Second {
		t.Errorf("got DropFraction %v and StaleAfter %v, want 0.6 and 3s", assignment.DropFraction, assignment.StaleAfter)
	}
	update := assignment.Update("xds", "7", false)
	want := endpoints.Endpoint{Address: "127.0.0.1:1", Zone: "z", SubZone: "s", Kind: "k", Cell: 2, Weight: 1, Health: endpoints.Draining}
	if update.Endpoints[0] != want || update.Endpoints[2].Zone != "r2" || update.Endpoints[2].Priority != 1 || update.Version != "7" {
		t.Errorf("Update = %+v, want first endpoint %+v, third endpoint in zone r2 with priority 1, and version 7", update, want)
	}
	if update := assignment.Update("xds", "7", true); update.Endpoints[0].Weight != 10 || update.Endpoints[1].Weight != 20 || update.Endpoints[2].Weight != 5 {
		t.Errorf("Update with locality weights: got endpoints %+v, want weights 10, 20 and 5", update.Endpoints)
	}
}

func TestParseRoutes(t *testing.T) {
	configJSON := func(routes string) string {
		return `{"name":"r","virtual_hosts":[{"name":"h","domains":["*"],"routes":[` + routes + `]}]}`
	}
	routeJSON := func(match, cluster string) string {
		return `{"match":{` + match + `},"route":{"cluster":"` + cluster + `"}}`
	}
	for name, c := range map[string]struct{ text, err string }{
		"plain":             {configJSON(routeJSON(`"path":"/a"`, "x") + "," + routeJSON(`"prefix":"/a"`, "y") + "," + routeJSON(`"prefix":"/"`, "z")), ""},
		"nameless":          {`{}`, "name: is missing"},
		"no domain":         {`{"name":"r","virtual_hosts":[{"name":"h"}]}`, "virtual_hosts[0].domains: must not be empty"},
		"wildcard at end":   {`{"name":"r","virtual_hosts":[{"domains":["a.*"],"routes":[` + routeJSON(`"prefix":"/"`, "x") + `]}]}`, `"a.*" is not a host`},
		"regex":             {configJSON(routeJSON(`"safe_regex":{"regex":"a"}`, "x")), "match.safe_regex: not supported"},
		"no path":           {configJSON(routeJSON(`"headers":[{"name":"a"}]`, "x")), "match.path_specifier"},
		"case":              {configJSON(routeJSON(`"prefix":"/","case_sensitive":false`, "x")), "case_sensitive: false"},
		"redirect":          {configJSON(`{"match":{"prefix":"/"},"redirect":{}}`), "redirect: not supported"},
		"direct":            {configJSON(`{"match":{"prefix":"/"},"direct_response":{"status":200}}`), "direct_response: not supported"},
		"rewrite":           {configJSON(`{"match":{"prefix":"/"},"route":{"cluster":"x","prefix_rewrite":"/y"}}`), "route.prefix_rewrite: not supported"},
		"mirror":            {configJSON(`{"match":{"prefix":"/"},"route":{"cluster":"x","request_mirror_policies":[{"cluster":"y"}]}}`), "request_mirror_policies: not supported"},
		"no cluster":        {configJSON(`{"match":{"prefix":"/"},"route":{}}`), "route.cluster: is missing"},
		"cluster by header": {configJSON(`{"match":{"prefix":"/"},"route":{"cluster_header":"x"}}`), "cluster_header: not supported"},
		"weights":           {configJSON(`{"match":{"prefix":"/"},"route":{"weighted_clusters":{"clusters":[{"name":"a","weight":1},{"name":"b","weight":0}]}}}`), ""},
		"weights of 0":      {configJSON(`{"match":{"prefix":"/"},"route":{"weighted_clusters":{"clusters":[{"name":"a"}]}}}`), "the weights add up to nothing"},
		"ignored":           {configJSON(`{"match":{"prefix":"/"},"route":{"cluster":"x","timeout":"1s","retry_policy":{}}}`), ""},
		"method":            {configJSON(routeJSON(`"prefix":"/","headers":[{"name":":method","string_match":{"exact":"GET"}}]`, "x")), ""},
		"method prefix":     {configJSON(routeJSON(`"prefix":"/","headers":[{"name":":method","prefix_match":"G"}]`, "x")), "pseudo-header :method: only an exact match of :method"},
		"authority":         {configJSON(routeJSON(`"prefix":"/","headers":[{"name":":authority","exact_match":"a"}]`, "x")), "pseudo-header :authority: only an exact match of :method"},
		"ignore case":       {configJSON(routeJSON(`"prefix":"/","headers":[{"name":"a","string_match":{"exact":"b","ignore_case":true}}]`, "x")), "ignore_case: not supported"},
		"general first":     {configJSON(routeJSON(`"prefix":"/"`, "x") + "," + routeJSON(`"prefix":"/a"`, "y")), "routes[1]: is more specific than routes[0], which precedes it and matches some of the same requests"},
		"prefix first":      {configJSON(routeJSON(`"prefix":"/a"`, "x") + "," + routeJSON(`"path":"/ab"`, "y")), "is more specific than routes[0], which precedes it"},
		"conditions last":   {configJSON(routeJSON(`"prefix":"/a"`, "x") + "," + routeJSON(`"prefix":"/a","headers":[{"name":"b"}]`, "y")), "is more specific than routes[0], which precedes it"},
		"apart":             {configJSON(routeJSON(`"prefix":"/","headers":[{"name":":method","exact_match":"GET"}]`, "x") + "," + routeJSON(`"prefix":"/a","headers":[{"name":":method","exact_match":"PUT"}]`, "y")), ""},
		"exclusive values":  {configJSON(routeJSON(`"prefix":"/","headers":[{"name":"a","exact_match":"1"}]`, "x") + "," + routeJSON(`"prefix":"/a","headers":[{"name":"a","exact_match":"2"}]`, "y")), ""},
		"disjoint paths":    {configJSON(routeJSON(`"prefix":"/a/"`, "x") + "," + routeJSON(`"prefix":"/b/c"`, "y") + "," + routeJSON(`"path":"/a"`, "z")), ""},
		"duplicate match":   {configJSON(routeJSON(`"prefix":"/a"`, "x") + "," + routeJSON(`"prefix":"/a"`, "y")), "can never be taken"},
		"class":             {configJSON(`{"match":{"prefix":"/"},"route":{"cluster":"x"},"metadata":{"filter_metadata":{"robindrum":{"class":"hold","key_header":"k"}}}}`), ""},
		"unknown class":     {configJSON(`{"match":{"prefix":"/"},"route":{"cluster":"x"},"metadata":{"filter_metadata":{"robindrum":{"class":"nope"}}}}`), `unknown class "nope"`},
		"cluster specifier": {`{"name":"r","cluster_specifier_plugins":[{"extension":{"name":"x"}}]}`, "cluster_specifier_plugins: not supported"},
	} {
		_, _, err := ParseRoutes(unmarshalJSON(t, &routev3.RouteConfiguration{}, c.text), map[string]bool{"hold": true})
		if (err != nil) != (c.err != "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: ParseRoutes: got error %v, want %q", name, err, c.err)
		}
	}
	parsed, _, err := ParseRoutes(unmarshalJSON(t, &routev3.RouteConfiguration{}, configJSON(
		routeJSON(`"prefix":"/a","query_parameters":[{"name":"q","present_match":true},{"name":"n","present_match":false}],"headers":[{"name":"h","suffix_match":"x","invert_match":true}]`, "c1")+","+
			routeJSON(`"path_separated_prefix":"/b"`, "c2")+","+routeJSON(`"prefix":"/"`, "c3"))), nil)
	if err != nil {
		t.Fatal(err)
	}
	for target, want := range map[string]string{"/ab?q": "c1", "/ab?q&n": "c3", "/b/c": "c2", "/bc": "c3"} {
		path, query, _ := strings.Cut(target, "?")
		got, ok := parsed.Table.Find(&route.Request{Host: "x", Path: path, RawQuery: query}, 0)
		if !ok || got.Cluster != want {
			t.Errorf("Find(%s) = cluster %q, want %q", target, got.Cluster, want)
		}
	}
}

func TestParseListener(t *testing.T) {
	listenerJSON := func(managerFields string) string {
		return `{"name":"l","filter_chains":[{"filters":[{"name":"h","typed_config":{"@type":"` + hcmURL + `",` + managerFields + `}}]}]}`
	}
	const rds = `"rds":{"route_config_name":"r","config_source":{"ads":{}}}`
	for name, c := range map[string]struct{ text, err string }{
		"rds":          {listenerJSON(rds + `,"http_filters":[{"name":"router","typed_config":{"@type":"` + routerURL + `"}}]`), ""},
		"api":          {`{"name":"l","api_listener":{"api_listener":{"@type":"` + hcmURL + `",` + rds + `}}}`, ""},
		"inline":       {listenerJSON(`"route_config":{"virtual_hosts":[{"domains":["*"],"routes":[{"match":{"prefix":"/"},"route":{"cluster":"x"}}]}]}`), ""},
		"inline error": {listenerJSON(`"route_config":{"virtual_hosts":[{"domains":["*"],"routes":[{"match":{"prefix":"/"},"redirect":{}}]}]}`), "route_config.virtual_hosts[0].routes[0].redirect: not supported"},
		"nameless":     {`{}`, "name: is missing"},
		"no chain":     {`{"name":"l"}`, "filter_chains: must have exactly 1 element, got 0"},
		"two filters":  {`{"name":"l","filter_chains":[{"filters":[{},{}]}]}`, "filters: must have exactly 1 element, got 2"},
		"chain match":  {`{"name":"l","filter_chains":[{"filter_chain_match":{"server_names":["a"]}}]}`, "filter_chain_match: not supported"},
		"tls":          {`{"name":"l","filter_chains":[{"transport_socket":{"name":"tls"}}]}`, "transport_socket: not supported"},
		"other filter": {`{"name":"l","filter_chains":[{"filters":[{"name":"x"}]}]}`, "is not supported"},
		"http2":        {listenerJSON(rds + `,"codec_type":"HTTP2"`), "codec_type: HTTP2 is not supported"},
		"jwt":          {listenerJSON(rds + `,"http_filters":[{"name":"jwt"}]`), `http_filters[0].name: "jwt" is not supported`},
		"optional":     {listenerJSON(rds + `,"http_filters":[{"name":"jwt","is_optional":true}]`), ""},
		"no routes":    {listenerJSON(`"stat_prefix":"x"`), "route_specifier"},
		"rds by path":  {listenerJSON(`"rds":{"route_config_name":"r","config_source":{"path":"/x"}}`), "only ads and self"},
		"rds nameless": {listenerJSON(`"rds":{"config_source":{"ads":{}}}`), "route_config_name: is missing"},
		"upgrade":      {listenerJSON(rds + `,"upgrade_configs":[{"upgrade_type":"websocket"}]`), "upgrade_configs: not supported"},
	} {
		listener, _, err := ParseListener(unmarshalJSON(t, &listenerv3.Listener{}, c.text), nil)
		if (err != nil) != (c.err != "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: ParseListener: got error %v, want %q", name, err, c.err)
		}
		if err == nil && (listener.RouteName == "r") == (listener.Inline != nil) {
			t.Errorf("%s: ParseListener = %+v, want either RouteName r or Inline", name, listener)
		}
	}
}

// The parsers do not panic for any input. The values that they accept are valid: clusters have a name and a connect timeout,
// endpoint weights are positive, and requests can be matched to routes.
func FuzzResources(f *testing.F) {
	for _, message := range []proto.Message{
		unmarshalJSON(f, &clusterv3.Cluster{}, `{"name":"a","type":"EDS",`+edsOverADS+`}`),
		unmarshalJSON(f, &endpointv3.ClusterLoadAssignment{}, `{"cluster_name":"a","endpoints":[{"locality":{"zone":"z"},"load_balancing_weight":2,"lb_endpoints":[`+endpointJSON(1, "")+`]}]}`),
		unmarshalJSON(f, &routev3.RouteConfiguration{}, `{"name":"r","virtual_hosts":[{"domains":["*"],"routes":[{"match":{"prefix":"/"},"route":{"cluster":"x"}}]}]}`),
	} {
		encoded, err := proto.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var cluster clusterv3.Cluster
		if proto.Unmarshal(encoded, &cluster) == nil {
			if got, _, err := ParseCluster(&cluster); err == nil && (got.Name == "" || got.ConnectTimeout <= 0) {
				t.Errorf("ParseCluster = %+v, want a name and a positive connect timeout", got)
			}
		}
		var assignment endpointv3.ClusterLoadAssignment
		if proto.Unmarshal(encoded, &assignment) == nil {
			if got, _, err := ParseAssignment(&assignment); err == nil {
				var view endpoints.View
				view.Apply(1, got.Update("xds", "", true))
				for _, server := range view.Servers() {
					if !(server.Weight > 0) {
						t.Errorf("server = %+v, want a positive weight", server)
					}
				}
			}
		}
		var listener listenerv3.Listener
		if proto.Unmarshal(encoded, &listener) == nil {
			_, _, _ = ParseListener(&listener, nil)
		}
		var routes routev3.RouteConfiguration
		if proto.Unmarshal(encoded, &routes) == nil {
			if got, _, err := ParseRoutes(&routes, nil); err == nil {
				got.Table.Find(&route.Request{Host: "a", Path: "/a"}, 1)
			}
		}
	})
}
