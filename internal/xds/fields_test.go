package xds

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
)

var writePage = flag.Bool("write-page", false, "rewrite docs/operate/xds-fields.md")

// The documentation page xds-fields.md lists exactly the fields in the tables.
func TestFieldsPageMatchesTables(t *testing.T) {
	const path = "../../docs/operate/xds-fields.md"
	var b strings.Builder
	b.WriteString("# Which xDS fields count\n\nMade from the tables in `internal/xds` by `go test ./internal/xds -run TestFieldsPageMatchesTables -write-page`. A field that is set and stands\n" +
		"in neither column has its resource refused, by the field's name. What is ignored shows as a warning in `/status`.\n\n" +
		"| message | honoured | ignored with a warning |\n| --- | --- | --- |\n")
	for _, m := range []struct {
		name string
		fieldTable
	}{
		{"Cluster", clusterTable}, {"Cluster.EdsClusterConfig", edsConfigTable}, {"CircuitBreakers", breakersTable},
		{"CircuitBreakers.Thresholds", thresholdsTable}, {"HttpProtocolOptions (common)", httpOptionsTable}, {"Cluster.CommonLbConfig", commonLbTable},
		{"Cluster.LeastRequestLbConfig", leastRequestTable}, {"Cluster.RoundRobinLbConfig", roundRobinTable}, {"Cluster.SlowStartConfig", slowStartTable},
		{"ClusterLoadAssignment", assignmentTable}, {"ClusterLoadAssignment.Policy", policyTable}, {"LocalityLbEndpoints", localityTable},
		{"LbEndpoint", lbEndpointTable}, {"Endpoint", endpointTable}, {"SocketAddress", socketAddressTable}, {"RouteConfiguration", routesTable},
		{"VirtualHost", virtualHostTable}, {"Route", routeTable}, {"RouteMatch", matchTable}, {"RouteAction", actionTable},
		{"WeightedCluster", weightedClustersTable}, {"WeightedCluster.ClusterWeight", clusterWeightTable}, {"HeaderMatcher", headerTable},
		{"QueryParameterMatcher", queryTable}, {"StringMatcher", stringTable}, {"Listener", listenerTable}, {"FilterChain", filterChainTable},
		{"HttpConnectionManager", hcmTable}, {"Rds", rdsTable}, {"HttpFilter", httpFilterTable},
	} {
		list := func(l []string) string { return strings.Join(slices.Sorted(slices.Values(l)), ", ") }
		fmt.Fprintf(&b, "| %s | %s | %s |\n", m.name, list(m.supported), list(m.ignored))
	}
	b.WriteString("\nMetadata under `filter_metadata.robindrum`: an endpoint's `kind` and `cell`, a route's `class`, `key_header`,\n`key_query` and `tenant_header`.\n" +
		"Types of cluster: EDS (over the same stream) and STATIC. Policies ROUND_ROBIN, LEAST_REQUEST and RANDOM are taken for the fewer\n" +
		"requests of two; RING_HASH, MAGLEV and others are refused. Of HTTP filters only the router counts; optional ones are passed over.\n")
	if *writePage {
		if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != b.String() {
		t.Errorf("%s does not match the tables; regenerate it with -write-page", path)
	}
}
