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

func read[M proto.Message](t testing.TB, m M, text string) M {
	t.Helper()
	if err := protojson.Unmarshal([]byte(text), m); err != nil {
		t.Fatalf("%v in %s", err, text)
	}
	return m
}

const ads = `"eds_cluster_config":{"eds_config":{"ads":{}}}`

func TestParseCluster(t *testing.T) {
	for name, c := range map[string]struct{ text, err, warn string }{
		"eds":              {`{"name":"a","type":"EDS",` + ads + `}`, "", "lb_policy ROUND_ROBIN"},
		"least":            {`{"name":"a","type":"EDS","lb_policy":"LEAST_REQUEST",` + ads + `}`, "", ""},
		"static":           {`{"name":"a","lb_policy":"LEAST_REQUEST","load_assignment":{"cluster_name":"a"}}`, "", ""},
		"nameless":         {`{"type":"EDS",` + ads + `}`, "name: is missing", ""},
		"dns":              {`{"name":"a","type":"STRICT_DNS"}`, "type: STRICT_DNS is not supported", ""},
		"aggregate":        {`{"name":"a","cluster_type":{"name":"envoy.clusters.aggregate"}}`, `cluster_type: "envoy.clusters.aggregate" is not supported`, ""},
		"tls":              {`{"name":"a","type":"EDS","transport_socket":{"name":"tls"},` + ads + `}`, "transport_socket: not supported", ""},
		"http2":            {`{"name":"a","type":"EDS","http2_protocol_options":{},` + ads + `}`, "http2_protocol_options: not supported", ""},
		"ring":             {`{"name":"a","type":"EDS","lb_policy":"RING_HASH",` + ads + `}`, "lb_policy: RING_HASH is not supported", ""},
		"no eds":           {`{"name":"a","type":"EDS"}`, "eds_cluster_config: is missing", ""},
		"eds elsewhere":    {`{"name":"a","type":"EDS","eds_cluster_config":{"eds_config":{"path":"/x"}}}`, "only ads and self", ""},
		"both":             {`{"name":"a","type":"EDS","load_assignment":{"cluster_name":"a"},` + ads + `}`, "load_assignment: is for STATIC", ""},
		"two at once":      {`{"name":"a","type":"EDS","lb_policy":"MAGLEV","upstream_bind_config":{},` + ads + `}`, "lb_policy: MAGLEV", ""},
		"static with port": {`{"name":"a","load_assignment":{"endpoints":[{"lb_endpoints":[{"endpoint":{"address":{"socket_address":{"address":"127.0.0.1","port_value":0}}}}]}]}}`, "load_assignment.endpoints[0].lb_endpoints[0].endpoint.address.socket_address.port_value: 0 is not a port", ""},
		"health checks":    {`{"name":"a","type":"EDS","lb_policy":"LEAST_REQUEST","outlier_detection":{},` + ads + `}`, "", "outlier_detection is ignored"},
		"timeout":          {`{"name":"a","type":"EDS","connect_timeout":"0s",` + ads + `}`, "connect_timeout: want more than 0", ""},
		"unknown breaker":  {`{"name":"a","type":"EDS","lb_policy":"LEAST_REQUEST","circuit_breakers":{"thresholds":[{"track_remaining":true}]},` + ads + `}`, "", "circuit_breakers.thresholds[0].track_remaining is ignored"},
		"no requests":      {`{"name":"a","type":"EDS","lb_policy":"LEAST_REQUEST","circuit_breakers":{"thresholds":[{"max_requests":0}]},` + ads + `}`, "circuit_breakers.thresholds[0].max_requests: 0 would refuse", ""},
	} {
		_, warn, err := ParseCluster(read(t, &clusterv3.Cluster{}, c.text))
		if (err != nil) != (c.err != "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: %v, want %q", name, err, c.err)
		}
		if w := strings.Join(warn, "; "); err == nil && (w != "") != (c.warn != "") || !strings.Contains(w, c.warn) {
			t.Errorf("%s: warnings %q, want %q", name, w, c.warn)
		}
	}
	c, _, err := ParseCluster(read(t, &clusterv3.Cluster{}, `{"name":"a","type":"EDS","connect_timeout":"0.3s",
		"eds_cluster_config":{"eds_config":{"self":{}},"service_name":"b"},"lb_policy":"LEAST_REQUEST",
		"least_request_lb_config":{"slow_start_config":{"slow_start_window":"7s"}},
		"common_http_protocol_options":{"idle_timeout":"9s"},"common_lb_config":{"locality_weighted_lb_config":{}},
		"circuit_breakers":{"thresholds":[{"priority":"HIGH","max_requests":1,"max_retries":0},{"max_connections":5,"max_requests":6,"max_pending_requests":4294967295,"max_retries":8,
		"retry_budget":{"budget_percent":{"value":12.5}}}]}}`))
	want := Cluster{Name: "a", Service: "b", ConnectTimeout: 300 * time.Millisecond, IdleTimeout: 9 * time.Second, WarmUp: 7 * time.Second, LocalityWeights: true,
		Breakers:     Breakers{MaxConnections: 5, MaxRequests: 6, MaxPending: maxThreshold, MaxRetries: 8, RetryBudget: &RetryBudget{Percent: 12.5, MinRetries: 3}},
		HighPriority: Breakers{MaxRequests: 1, RetryBudget: &RetryBudget{Percent: noRetriesPercent}}}
	if err != nil || !reflect.DeepEqual(*c, want) {
		t.Errorf("%+v, %v", c, err)
	}
	c, _, err = ParseCluster(read(t, &clusterv3.Cluster{}, `{"name":"a","type":"EDS","eds_cluster_config":{"eds_config":{"self":{}}},
		"lb_policy":"LEAST_REQUEST","circuit_breakers":{"thresholds":[{"max_retries":0}]}}`))
	if err != nil || c.RetryBudget == nil || c.RetryBudget.MinRetries != 0 || c.RetryBudget.Percent > 0.01 {
		t.Errorf("no retries at all: %+v, %v", c, err)
	}
}

func at(port int, rest string) string {
	return fmt.Sprintf(`{"endpoint":{"address":{"socket_address":{"address":"127.0.0.1","port_value":%d}}}%s}`, port, rest)
}

func TestParseAssignment(t *testing.T) {
	list := func(l ...string) string {
		return `{"cluster_name":"a","endpoints":[{"locality":{"zone":"z"},"lb_endpoints":[` + strings.Join(l, ",") + `]}]}`
	}
	for name, c := range map[string]struct{ text, err string }{
		"empty":              {`{"cluster_name":"a"}`, ""},
		"nameless":           {`{}`, "cluster_name: is missing"},
		"one":                {list(at(1, "")), ""},
		"port 0":             {list(at(1, ""), at(0, "")), "lb_endpoints[1].endpoint.address.socket_address.port_value: 0 is not a port"},
		"port 70000":         {list(at(70000, "")), "70000 is not a port"},
		"duplicate":          {list(at(1, ""), at(2, ""), at(1, "")), "lb_endpoints[2].endpoint.address: 127.0.0.1:1 stands at endpoints[0].lb_endpoints[0] already"},
		"a billion":          {list(at(1, `,"load_balancing_weight":1000000000`), at(2, "")), ""},
		"weights":            {list(at(1, `,"load_balancing_weight":4000000000`), at(2, `,"load_balancing_weight":4000000000`)), "the weights add up to more than 4294967295"},
		"weight 0":           {list(at(1, `,"load_balancing_weight":0`)), "load_balancing_weight: want 1 at least"},
		"host name":          {strings.Replace(list(at(1, "")), "127.0.0.1", "example.org", 1), "is not an IP address"},
		"no address":         {list(`{"endpoint":{}}`), "socket_address: is missing"},
		"pipe":               {list(`{"endpoint":{"address":{"pipe":{"path":"/x"}}}}`), "socket_address: is missing"},
		"by name":            {list(`{"endpoint_name":"x"}`), "endpoint_name: not supported"},
		"udp":                {strings.Replace(list(at(1, "")), `"port_value"`, `"protocol":"UDP","port_value"`, 1), "only TCP"},
		"cell":               {list(at(1, `,"metadata":{"filter_metadata":{"robindrum":{"cell":1.5}}}`)), "metadata.robindrum.cell: want a whole number"},
		"named endpoints":    {`{"cluster_name":"a","named_endpoints":{"x":{}}}`, "named_endpoints: not supported"},
		"priority gap":       {`{"cluster_name":"a","endpoints":[{"priority":1}]}`, "priority 0 is left out"},
		"priority":           {`{"cluster_name":"a","endpoints":[{"priority":129}]}`, "priority: 129, 128 at most"},
		"locality twice":     {`{"cluster_name":"a","endpoints":[{"locality":{"zone":"z"}},{"locality":{"zone":"z"}}]}`, "endpoints[1].locality: /z/ stands twice"},
		"locality elsewhere": {`{"cluster_name":"a","endpoints":[{"locality":{"zone":"z"}},{"locality":{"zone":"z"},"priority":1}]}`, ""},
		"locality weights":   {`{"cluster_name":"a","endpoints":[{"load_balancing_weight":4000000000},{"locality":{"zone":"z"},"load_balancing_weight":4000000000}]}`, "add up to more than"},
		"stale":              {`{"cluster_name":"a","policy":{"endpoint_stale_after":"-1s"}}`, "endpoint_stale_after: is negative"},
		"leds":               {`{"cluster_name":"a","endpoints":[{"leds_cluster_locality_config":{}}]}`, "leds_cluster_locality_config: not supported"},
		"overprovisioning":   {`{"cluster_name":"a","policy":{"overprovisioning_factor":140}}`, ""},
	} {
		_, _, err := ParseAssignment(read(t, &endpointv3.ClusterLoadAssignment{}, c.text))
		if (err != nil) != (c.err != "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: %v, want %q", name, err, c.err)
		}
	}
	a, _, err := ParseAssignment(read(t, &endpointv3.ClusterLoadAssignment{}, `{"cluster_name":"a",
		"policy":{"drop_overloads":[{"category":"x","drop_percentage":{"numerator":50}},{"drop_percentage":{"numerator":200000,"denominator":"MILLION"}}],"endpoint_stale_after":"3s"},
		"endpoints":[{"locality":{"region":"r","zone":"z","sub_zone":"s"},"load_balancing_weight":30,"lb_endpoints":[`+
		at(1, `,"health_status":"DRAINING","load_balancing_weight":1,"metadata":{"filter_metadata":{"robindrum":{"cell":2,"kind":"k"}}}`)+`,`+at(2, `,"load_balancing_weight":2`)+
		`]},{"locality":{"region":"r2"},"priority":1,"load_balancing_weight":5,"lb_endpoints":[`+at(3, "")+`]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if a.DropFraction < 0.599 || a.DropFraction > 0.601 || a.StaleAfter != 3*time.Second {
		t.Errorf("%+v", a)
	}
	w := a.Update("xds", "7", false)
	want := endpoints.Endpoint{Address: "127.0.0.1:1", Zone: "z", SubZone: "s", Kind: "k", Cell: 2, Weight: 1, Health: endpoints.Draining}
	if w.Endpoints[0] != want || w.Endpoints[2].Zone != "r2" || w.Endpoints[2].Priority != 1 || w.Version != "7" {
		t.Errorf("%+v", w)
	}
	if w := a.Update("xds", "7", true); w.Endpoints[0].Weight != 10 || w.Endpoints[1].Weight != 20 || w.Endpoints[2].Weight != 5 {
		t.Errorf("with the localities' weights: %+v", w.Endpoints)
	}
}

func TestParseRoutes(t *testing.T) {
	conf := func(routes string) string {
		return `{"name":"r","virtual_hosts":[{"name":"h","domains":["*"],"routes":[` + routes + `]}]}`
	}
	to := func(match, cluster string) string {
		return `{"match":{` + match + `},"route":{"cluster":"` + cluster + `"}}`
	}
	for name, c := range map[string]struct{ text, err string }{
		"plain":             {conf(to(`"path":"/a"`, "x") + "," + to(`"prefix":"/a"`, "y") + "," + to(`"prefix":"/"`, "z")), ""},
		"nameless":          {`{}`, "name: is missing"},
		"no domain":         {`{"name":"r","virtual_hosts":[{"name":"h"}]}`, "virtual_hosts[0].domains: none is given"},
		"wild end":          {`{"name":"r","virtual_hosts":[{"domains":["a.*"],"routes":[` + to(`"prefix":"/"`, "x") + `]}]}`, `"a.*" is not a host`},
		"regex":             {conf(to(`"safe_regex":{"regex":"a"}`, "x")), "match.safe_regex: not supported"},
		"no path":           {conf(to(`"headers":[{"name":"a"}]`, "x")), "match.path_specifier"},
		"case":              {conf(to(`"prefix":"/","case_sensitive":false`, "x")), "case_sensitive: false"},
		"redirect":          {conf(`{"match":{"prefix":"/"},"redirect":{}}`), "redirect: not supported"},
		"direct":            {conf(`{"match":{"prefix":"/"},"direct_response":{"status":200}}`), "direct_response: not supported"},
		"rewrite":           {conf(`{"match":{"prefix":"/"},"route":{"cluster":"x","prefix_rewrite":"/y"}}`), "route.prefix_rewrite: not supported"},
		"mirror":            {conf(`{"match":{"prefix":"/"},"route":{"cluster":"x","request_mirror_policies":[{"cluster":"y"}]}}`), "request_mirror_policies: not supported"},
		"no cluster":        {conf(`{"match":{"prefix":"/"},"route":{}}`), "route.cluster: is missing"},
		"by header":         {conf(`{"match":{"prefix":"/"},"route":{"cluster_header":"x"}}`), "cluster_header: not supported"},
		"weights":           {conf(`{"match":{"prefix":"/"},"route":{"weighted_clusters":{"clusters":[{"name":"a","weight":1},{"name":"b","weight":0}]}}}`), ""},
		"no weight":         {conf(`{"match":{"prefix":"/"},"route":{"weighted_clusters":{"clusters":[{"name":"a"}]}}}`), "the weights add up to nothing"},
		"ignored":           {conf(`{"match":{"prefix":"/"},"route":{"cluster":"x","timeout":"1s","retry_policy":{}}}`), ""},
		"method":            {conf(to(`"prefix":"/","headers":[{"name":":method","string_match":{"exact":"GET"}}]`, "x")), ""},
		"method prefix":     {conf(to(`"prefix":"/","headers":[{"name":":method","prefix_match":"G"}]`, "x")), "only an exact :method"},
		"authority":         {conf(to(`"prefix":"/","headers":[{"name":":authority","exact_match":"a"}]`, "x")), "of :authority"},
		"no case":           {conf(to(`"prefix":"/","headers":[{"name":"a","string_match":{"exact":"b","ignore_case":true}}]`, "x")), "ignore_case: not supported"},
		"wrong order":       {conf(to(`"prefix":"/"`, "x") + "," + to(`"prefix":"/a"`, "y")), "routes[1]: stands behind routes[0], which takes some of what it would"},
		"wrong exact":       {conf(to(`"prefix":"/a"`, "x") + "," + to(`"path":"/ab"`, "y")), "stands behind routes[0]"},
		"wrong conditions":  {conf(to(`"prefix":"/a"`, "x") + "," + to(`"prefix":"/a","headers":[{"name":"b"}]`, "y")), "stands behind routes[0]"},
		"apart":             {conf(to(`"prefix":"/","headers":[{"name":":method","exact_match":"GET"}]`, "x") + "," + to(`"prefix":"/a","headers":[{"name":":method","exact_match":"PUT"}]`, "y")), ""},
		"by value":          {conf(to(`"prefix":"/","headers":[{"name":"a","exact_match":"1"}]`, "x") + "," + to(`"prefix":"/a","headers":[{"name":"a","exact_match":"2"}]`, "y")), ""},
		"other paths":       {conf(to(`"prefix":"/a/"`, "x") + "," + to(`"prefix":"/b/c"`, "y") + "," + to(`"path":"/a"`, "z")), ""},
		"never taken":       {conf(to(`"prefix":"/a"`, "x") + "," + to(`"prefix":"/a"`, "y")), "can never be taken"},
		"class":             {conf(`{"match":{"prefix":"/"},"route":{"cluster":"x"},"metadata":{"filter_metadata":{"robindrum":{"class":"hold","key_header":"k"}}}}`), ""},
		"unknown class":     {conf(`{"match":{"prefix":"/"},"route":{"cluster":"x"},"metadata":{"filter_metadata":{"robindrum":{"class":"nope"}}}}`), `there is no class "nope"`},
		"cluster specifier": {`{"name":"r","cluster_specifier_plugins":[{"extension":{"name":"x"}}]}`, "cluster_specifier_plugins: not supported"},
	} {
		_, _, err := ParseRoutes(read(t, &routev3.RouteConfiguration{}, c.text), map[string]bool{"hold": true})
		if (err != nil) != (c.err != "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: %v, want %q", name, err, c.err)
		}
	}
	r, _, err := ParseRoutes(read(t, &routev3.RouteConfiguration{}, conf(
		to(`"prefix":"/a","query_parameters":[{"name":"q","present_match":true},{"name":"n","present_match":false}],"headers":[{"name":"h","suffix_match":"x","invert_match":true}]`, "c1")+","+
			to(`"path_separated_prefix":"/b"`, "c2")+","+to(`"prefix":"/"`, "c3"))), nil)
	if err != nil {
		t.Fatal(err)
	}
	for target, want := range map[string]string{"/ab?q": "c1", "/ab?q&n": "c3", "/b/c": "c2", "/bc": "c3"} {
		path, query, _ := strings.Cut(target, "?")
		got, ok := r.Table.Find(&route.Request{Host: "x", Path: path, RawQuery: query}, 0)
		if !ok || got.Cluster != want {
			t.Errorf("%s: %q, want %q", target, got.Cluster, want)
		}
	}
}

func TestParseListener(t *testing.T) {
	hcm := func(rest string) string {
		return `{"name":"l","filter_chains":[{"filters":[{"name":"h","typed_config":{"@type":"` + hcmURL + `",` + rest + `}}]}]}`
	}
	const rds = `"rds":{"route_config_name":"r","config_source":{"ads":{}}}`
	for name, c := range map[string]struct{ text, err string }{
		"rds":          {hcm(rds + `,"http_filters":[{"name":"router","typed_config":{"@type":"` + routerURL + `"}}]`), ""},
		"api":          {`{"name":"l","api_listener":{"api_listener":{"@type":"` + hcmURL + `",` + rds + `}}}`, ""},
		"inline":       {hcm(`"route_config":{"virtual_hosts":[{"domains":["*"],"routes":[{"match":{"prefix":"/"},"route":{"cluster":"x"}}]}]}`), ""},
		"inline bad":   {hcm(`"route_config":{"virtual_hosts":[{"domains":["*"],"routes":[{"match":{"prefix":"/"},"redirect":{}}]}]}`), "route_config.virtual_hosts[0].routes[0].redirect: not supported"},
		"nameless":     {`{}`, "name: is missing"},
		"no chain":     {`{"name":"l"}`, "filter_chains: want one, not 0"},
		"two filters":  {`{"name":"l","filter_chains":[{"filters":[{},{}]}]}`, "filters: want one, not 2"},
		"chain match":  {`{"name":"l","filter_chains":[{"filter_chain_match":{"server_names":["a"]}}]}`, "filter_chain_match: not supported"},
		"tls":          {`{"name":"l","filter_chains":[{"transport_socket":{"name":"tls"}}]}`, "transport_socket: not supported"},
		"other filter": {`{"name":"l","filter_chains":[{"filters":[{"name":"x"}]}]}`, "is not supported"},
		"http2":        {hcm(rds + `,"codec_type":"HTTP2"`), "codec_type: HTTP2 is not supported"},
		"jwt":          {hcm(rds + `,"http_filters":[{"name":"jwt"}]`), `http_filters[0].name: "jwt" is not supported`},
		"optional":     {hcm(rds + `,"http_filters":[{"name":"jwt","is_optional":true}]`), ""},
		"no routes":    {hcm(`"stat_prefix":"x"`), "route_specifier"},
		"rds by path":  {hcm(`"rds":{"route_config_name":"r","config_source":{"path":"/x"}}`), "only ads and self"},
		"rds nameless": {hcm(`"rds":{"config_source":{"ads":{}}}`), "route_config_name: is missing"},
		"upgrade":      {hcm(rds + `,"upgrade_configs":[{"upgrade_type":"websocket"}]`), "upgrade_configs: not supported"},
	} {
		l, _, err := ParseListener(read(t, &listenerv3.Listener{}, c.text), nil)
		if (err != nil) != (c.err != "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: %v, want %q", name, err, c.err)
		}
		if err == nil && (l.RouteName == "r") == (l.Inline != nil) {
			t.Errorf("%s: %+v", name, l)
		}
	}
}

// The parsers accept any bytes without panicking, and what they accept can be used.
func FuzzResources(f *testing.F) {
	for _, m := range []proto.Message{
		read(f, &clusterv3.Cluster{}, `{"name":"a","type":"EDS",`+ads+`}`),
		read(f, &endpointv3.ClusterLoadAssignment{}, `{"cluster_name":"a","endpoints":[{"locality":{"zone":"z"},"load_balancing_weight":2,"lb_endpoints":[`+at(1, "")+`]}]}`),
		read(f, &routev3.RouteConfiguration{}, `{"name":"r","virtual_hosts":[{"domains":["*"],"routes":[{"match":{"prefix":"/"},"route":{"cluster":"x"}}]}]}`),
	} {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var c clusterv3.Cluster
		if proto.Unmarshal(b, &c) == nil {
			if got, _, err := ParseCluster(&c); err == nil && (got.Name == "" || got.ConnectTimeout <= 0) {
				t.Errorf("%+v", got)
			}
		}
		var a endpointv3.ClusterLoadAssignment
		if proto.Unmarshal(b, &a) == nil {
			if got, _, err := ParseAssignment(&a); err == nil {
				var v endpoints.View
				v.Apply(1, got.Update("xds", "", true))
				for _, s := range v.Servers() {
					if !(s.Weight > 0) {
						t.Errorf("%+v", s)
					}
				}
			}
		}
		var l listenerv3.Listener
		if proto.Unmarshal(b, &l) == nil {
			_, _, _ = ParseListener(&l, nil)
		}
		var r routev3.RouteConfiguration
		if proto.Unmarshal(b, &r) == nil {
			if got, _, err := ParseRoutes(&r, nil); err == nil {
				got.Table.Find(&route.Request{Host: "a", Path: "/a"}, 1)
			}
		}
	})
}
