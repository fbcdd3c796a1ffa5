package gateway

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"

	"robindrum/internal/testbed"
	"robindrum/internal/testbed/controlplane"
	"robindrum/internal/testbed/origin"
	"robindrum/internal/xds"
)

// Updates of the control plane are applied under load: draining, unhealthy or removed endpoints get no new requests,
// requests are rejected immediately while the list is empty, and the endpoints of the next list warm up.
func TestEndpointsFollowTheControlPlane(t *testing.T) {
	for _, variant := range []string{"sotw", "delta"} {
		t.Run(variant, func(t *testing.T) {
			testbed.Leaks(t)
			server := newControlPlane(t)
			originA, originB, originC := newOrigin(t), newOrigin(t), newOrigin(t)
			pushResources(t, server, "0", false, cds("c"), eds("c", originA, originB, originC), rds("r", [2]string{"/", "c"}))
			g := runGateway(t, "clusters: []\nroutes: []\n"+adsConfig(server, ", variant: "+variant))
			testbed.Eventually(t, "the gateway to be ready", g.Ready)
			load := startLoad(t, g, 8, "/x")
			testbed.Eventually(t, "requests to all origins", func() bool { return originA.Requests() > 50 && originB.Requests() > 50 && originC.Requests() > 50 })
			version := 0
			// checkExcluded pushes an endpoint list r without o, or with o out of service, and checks that o gets no requests later
			// than 1 s after the push.
			checkExcluded := func(reason string, o *origin.Origin, r controlplane.Resource, usableEndpoints int) {
				t.Helper()
				version++
				pushedAt := pushResources(t, server, fmt.Sprint(version), false, r)
				testbed.Eventually(t, reason, func() bool { return g.usableEndpoints("c") == usableEndpoints })
				before := load.served.Load()
				testbed.Eventually(t, "more served requests", func() bool { return load.served.Load() > before+300 })
				if lateRequests := o.RequestsAfter(pushedAt.Add(time.Second)); lateRequests != 0 {
					t.Errorf("%s endpoint: got %d requests more than 1 s after the push, want 0", reason, lateRequests)
				}
				if d := o.LastRequest().Sub(pushedAt); d > time.Second {
					t.Errorf("%s endpoint: got the last request %v after the push, want at most 1s", reason, d)
				}
			}
			withHealth := func(o *origin.Origin, health corev3.HealthStatus) controlplane.Endpoint {
				return controlplane.Endpoint{Addr: o.Addr, Zone: "a", Health: health}
			}
			checkExcluded("draining", originA, eds("c", withHealth(originA, corev3.HealthStatus_DRAINING), originB, originC), 2)
			checkExcluded("unhealthy", originA, eds("c", withHealth(originA, corev3.HealthStatus_UNHEALTHY), originB, originC), 2)
			checkExcluded("removed", originB, eds("c", originA, originC), 2)
			// Remove all endpoints at once.
			version++
			pushedAt := pushResources(t, server, fmt.Sprint(version), false, eds("c"))
			testbed.Eventually(t, "the empty list to be applied", func() bool { return g.usableEndpoints("c") == 0 })
			start := time.Now()
			if r := newTestClient(t, g).get(t, "/x"); r.status != 503 {
				t.Errorf("GET /x without endpoints: got status %d, want 503", r.status)
			}
			if d := time.Since(start); d > time.Second { // the deadline of the class is 15 s
				t.Errorf("GET /x without endpoints was rejected after %v, want at most 1s", d)
			}
			before := load.rejected.Load()
			testbed.Eventually(t, "refusals", func() bool { return load.rejected.Load() > before+100 })
			for _, o := range []*origin.Origin{originA, originB, originC} {
				if lateRequests := o.RequestsAfter(pushedAt.Add(time.Second)); lateRequests != 0 {
					t.Errorf("removed endpoint %s: got %d requests more than 1 s after the push, want 0", o.Addr, lateRequests)
				}
			}
			version++
			pushResources(t, server, fmt.Sprint(version), false, eds("c", originA, originB))
			testbed.Eventually(t, "the next list to be applied", func() bool { return g.usableEndpoints("c") == 2 })
			before = load.served.Load()
			testbed.Eventually(t, "service", func() bool { return load.served.Load() > before+10 })
			for _, endpoint := range g.Status(0).Clusters[0].Endpoints {
				if endpoint.Age <= 0 {
					t.Errorf("endpoint %s: got age %v, want more than 0, as it was added again", endpoint.Address, endpoint.Age)
				}
			}
			load.stop()
			load.checkNoneLost(t)
		})
	}
}

// While the control plane is disconnected, the last endpoint list stays in use and the status shows its age. If the control
// plane returns with an older version and a smaller list, that list is used.
func TestControlPlaneDisconnectsAndReturns(t *testing.T) {
	testbed.Leaks(t)
	server := newControlPlane(t)
	originA, originB := newOrigin(t), newOrigin(t)
	pushResources(t, server, "9", false, cds("c"), eds("c", originA, originB), rds("r", [2]string{"/", "c"}))
	g := runGateway(t, "clusters: []\nroutes: []\n"+adsConfig(server, ""))
	testbed.Eventually(t, "the gateway to be ready", g.Ready)
	load := startLoad(t, g, 4, "/x")
	server.Stop()
	testbed.Eventually(t, "the status to show the lost connection", func() bool { source := g.Status(0).Sources[0]; return source.Connected == "" && source.Error != "" })
	before := load.served.Load()
	testbed.Eventually(t, "served requests without the control plane", func() bool { return load.served.Load() > before+200 })
	firstAge := *g.Status(0).Clusters[0].UpdateAge
	testbed.Eventually(t, "the age of the list to increase", func() bool { return *g.Status(0).Clusters[0].UpdateAge > firstAge+0.01 })
	if !g.Ready() || g.usableEndpoints("c") != 2 {
		t.Error("without the control plane: want a ready gateway with 2 usable endpoints, got ready", g.Ready(), "usable", g.usableEndpoints("c"))
	}
	server.ClearAll()
	pushResources(t, server, "3", false, cds("c"), eds("c", originB), rds("r", [2]string{"/", "c"}))
	if err := server.Restart(); err != nil {
		t.Fatal(err)
	}
	testbed.Eventually(t, "the smaller list to be applied", func() bool { return g.usableEndpoints("c") == 1 })
	load.stop()
	load.checkNoneLost(t)
	if load.rejected.Load() != 0 {
		t.Errorf("%d requests were rejected, want 0; the last answer: %q", load.rejected.Load(), *load.lastRejection.Load())
	}
}

// A route changes to a cluster whose endpoints arrive later. Until then it still leads to the previous cluster.
func TestRoutesWaitForEndpoints(t *testing.T) {
	testbed.Leaks(t)
	server := newControlPlane(t)
	originOld, originNew := newOrigin(t), newOrigin(t)
	pushResources(t, server, "1", false, cds("old"), eds("old", originOld), rds("r", [2]string{"/", "old"}))
	g := runGateway(t, "clusters: []\nroutes: []\n"+adsConfig(server, ""))
	testbed.Eventually(t, "the gateway to be ready", g.Ready)
	load := startLoad(t, g, 4, "/x")
	pushResources(t, server, "2", false, cds("new"), rds("r", [2]string{"/", "new"}))
	testbed.Eventually(t, "the new routes to be pending", func() bool { return g.Status(0).Routes.Pending })
	oldRequests := originOld.Requests()
	testbed.Eventually(t, "requests served by the old cluster", func() bool { return originOld.Requests() > oldRequests+100 })
	pushResources(t, server, "3", false, eds("new", originNew))
	testbed.Eventually(t, "the new routes to be used", func() bool { return !g.Status(0).Routes.Pending && originNew.Requests() > 100 })
	oldRequests = originOld.Requests()
	newRequests := originNew.Requests()
	testbed.Eventually(t, "requests served by the new cluster", func() bool { return originNew.Requests() > newRequests+100 })
	if originOld.Requests() > oldRequests+8 {
		t.Errorf("old cluster: got %d requests after the change of routes, want at most 8", originOld.Requests()-oldRequests)
	}
	load.stop()
	load.checkNoneLost(t)
	if load.rejected.Load() != 0 {
		t.Errorf("%d requests were rejected, want 0; the last answer: %q", load.rejected.Load(), *load.lastRejection.Load())
	}
}

// A cluster is renamed under load. As usual for a control plane, the cluster with the new name replaces the one with the old
// name before the routes change.
func TestClusterRenamedUnderLoad(t *testing.T) {
	testbed.Leaks(t)
	server := newControlPlane(t)
	backend := newOrigin(t)
	pushResources(t, server, "1", false, cds("n0"), eds("n0", backend), rds("r", [2]string{"/", "n0"}))
	g := runGateway(t, "clusters: []\nroutes: []\n"+adsConfig(server, ""))
	testbed.Eventually(t, "the gateway to be ready", g.Ready)
	load := startLoad(t, g, 4, "/x")
	for i := 1; i <= 10; i++ {
		name := fmt.Sprint("n", i)
		pushResources(t, server, fmt.Sprint("v", i), true, eds(name, backend), cds(name))
		pushResources(t, server, fmt.Sprint("w", i), true, rds("r", [2]string{"/", name}))
		testbed.Eventually(t, "the renamed cluster to be the only one", func() bool { return g.usableEndpoints(name) == 1 && len(g.Status(0).Clusters) == 1 })
		before := load.served.Load()
		testbed.Eventually(t, "service", func() bool { return load.served.Load() > before+50 })
	}
	load.stop()
	load.checkNoneLost(t)
	if load.rejected.Load() != 0 {
		t.Errorf("%d requests were rejected, want 0; the last answer: %q", load.rejected.Load(), *load.lastRejection.Load())
	}
	testbed.Eventually(t, "the retired cores to be closed", func() bool { g.mu.Lock(); defer g.mu.Unlock(); return len(g.retired) == 0 })
}

// Requests to a withdrawn cluster are rejected within 1.5 s, and served again once the cluster is restored.
func TestClusterWithdrawnAndRestored(t *testing.T) {
	testbed.Leaks(t)
	server := newControlPlane(t)
	originC, originD := newOrigin(t), newOrigin(t)
	pushResources(t, server, "1", false, cds("c"), cds("d"), eds("c", originC), eds("d", originD), rds("r", [2]string{"/c", "c"}, [2]string{"/d", "d"}))
	g := runGateway(t, "clusters: []\nroutes: []\n"+adsConfig(server, ""))
	testbed.Eventually(t, "the gateway to be ready", g.Ready)
	client := newTestClient(t, g)
	if r := client.get(t, "/c"); r.status != 200 {
		t.Fatal(r.status)
	}
	pushedAt := pushResources(t, server, "2", true, cds("d"))
	testbed.Eventually(t, "refusals", func() bool { return client.get(t, "/c").status == 503 })
	if d := time.Since(pushedAt); d > time.Second+500*time.Millisecond {
		t.Errorf("GET /c was rejected %v after the cluster was withdrawn, want at most 1.5s", d)
	}
	if originC.RequestsAfter(pushedAt.Add(time.Second)) != 0 {
		t.Error("withdrawn cluster: got requests more than 1 s after the push, want none")
	}
	if r := client.get(t, "/d"); r.status != 200 {
		t.Errorf("GET /d: got status %d, want 200", r.status)
	}
	if missing := g.Status(0).Routes.MissingClusters; len(missing) != 1 || missing[0] != "c" {
		t.Errorf("missing clusters: got %v, want [c]", missing)
	}
	pushResources(t, server, "3", false, cds("c"), eds("c", originC))
	testbed.Eventually(t, "service", func() bool { return client.get(t, "/c").status == 200 })
}

// Requests follow the RouteConfiguration that a listener refers to, also when the listener changes to another one, and get
// 404 once the listener is withdrawn.
func TestListenerNamesTheRoutes(t *testing.T) {
	for _, variant := range []string{"sotw", "delta"} {
		t.Run(variant, func(t *testing.T) {
			testbed.Leaks(t)
			server := newControlPlane(t)
			originA, originB := newOrigin(t), newOrigin(t)
			listener := func(routes string) controlplane.Resource {
				return controlplane.Resource{Name: "l", Body: controlplane.Listener("l", routes)}
			}
			pushResources(t, server, "1", false, cds("ca"), cds("cb"), eds("ca", originA), eds("cb", originB), rds("ra", [2]string{"/", "ca"}), rds("rb", [2]string{"/", "cb"}), listener("ra"))
			g := runGateway(t, fmt.Sprintf("clusters: []\nroutes: []\nxds: {servers: [%q], node: {id: gw}, clusters: true, listener: l, variant: %s}\n", server.Addr, variant))
			testbed.Eventually(t, "the gateway to be ready", g.Ready)
			client := newTestClient(t, g)
			if r := client.get(t, "/x"); r.header.Get("X-Origin") != originA.Addr {
				t.Errorf("GET /x: got %+v, want an answer of origin %s", r, originA.Addr)
			}
			pushResources(t, server, "2", false, listener("rb"))
			testbed.Eventually(t, "requests to follow the other routes", func() bool { return client.get(t, "/x").header.Get("X-Origin") == originB.Addr })
			pushResources(t, server, "3", false, controlplane.Resource{Name: "l"})
			testbed.Eventually(t, "requests to be answered with 404", func() bool { return client.get(t, "/x").status == 404 })
			if rejection := g.Status(0).Routes.Rejection; rejection != "the control plane withdrew it" {
				t.Errorf("rejection of the routes: got %q, want %q", rejection, "the control plane withdrew it")
			}
		})
	}
}

// A control plane that keeps sending new cluster names, zones and endpoints leaves no state of the removed ones in the
// gateway, its sources and its cores.
func TestChangingNamesLeaveNothingBehind(t *testing.T) {
	for _, variant := range []string{"sotw", "delta"} {
		t.Run(variant, func(t *testing.T) {
			testbed.Leaks(t)
			server := newControlPlane(t)
			backend := newOrigin(t)
			pushResources(t, server, "0", false, cds("fixed"), eds("fixed", backend), rds("r", [2]string{"/", "fixed"}))
			g := runGateway(t, "clusters: []\nroutes: []\n"+adsConfig(server, ", variant: "+variant))
			testbed.Eventually(t, "the gateway to be ready", g.Ready)
			const rounds = 300
			for i := range rounds {
				name := fmt.Sprint("c", i)
				endpoint := controlplane.Endpoint{Addr: backend.Addr, Zone: fmt.Sprint("z", i), Kind: fmt.Sprint("k", i)}
				pushResources(t, server, fmt.Sprint("v", i), true, cds("fixed"), cds(name), eds("fixed", endpoint), eds(name, endpoint))
			}
			testbed.Eventually(t, "the last cluster to be usable", func() bool { return g.usableEndpoints(fmt.Sprint("c", rounds-1)) == 1 })
			testbed.Eventually(t, "the state of removed clusters to be dropped", func() bool {
				g.mu.Lock()
				defer g.mu.Unlock()
				watched := g.watches[xdsWatch]
				return len(g.clusters) == 2 && len(g.retired) == 0 && len(watched.resources[xds.ClusterType]) == 2 && len(watched.resources[xds.EndpointType]) == 2
			})
			if reserved := g.Status(0).Limits.Requests; reserved != 2*(4096/4/2) {
				t.Errorf("got %d requests reserved for two clusters, want %d", reserved, 2*(4096/4/2))
			}
			if r := newTestClient(t, g).get(t, "/x"); r.status != 200 {
				t.Errorf("GET /x: got status %d, want 200", r.status)
			}
		})
	}
}

// drop_overloads rejects the configured fraction of requests, and endpoint_stale_after expires a list that is not renewed.
func TestDropOverloadsAndStaleAssignment(t *testing.T) {
	testbed.Leaks(t)
	server := newControlPlane(t)
	backend := newOrigin(t)
	assignment := eds("c", backend)
	if err := mergeJSON(assignment, `{"policy":{"drop_overloads":[{"category":"x","drop_percentage":{"numerator":50}}]}}`); err != nil {
		t.Fatal(err)
	}
	pushResources(t, server, "1", false, cds("c"), assignment, rds("r", [2]string{"/", "c"}))
	g := runGateway(t, "clusters: []\nroutes: []\n"+adsConfig(server, ""))
	testbed.Eventually(t, "the gateway to be ready", g.Ready)
	client := newTestClient(t, g)
	dropped := 0
	for range 200 {
		if client.get(t, "/x").status == 503 {
			dropped++
		}
	}
	if dropped < 50 || dropped > 150 {
		t.Errorf("drop_overloads of 50 %%: got %d of 200 requests dropped, want 50 to 150", dropped)
	}
	assignment = eds("c", backend)
	if err := mergeJSON(assignment, `{"policy":{"endpoint_stale_after":"0.3s"}}`); err != nil {
		t.Fatal(err)
	}
	pushResources(t, server, "2", false, assignment)
	testbed.Eventually(t, "the list to become stale", func() bool { return g.Status(0).Clusters[0].Stale != "" })
	if r := client.get(t, "/x"); r.status != 503 {
		t.Errorf("GET /x with a stale list: got status %d, want 503", r.status)
	}
	pushResources(t, server, "3", false, eds("c", backend))
	testbed.Eventually(t, "a list that does not expire", func() bool { return g.usableEndpoints("c") == 1 })
	testbed.Eventually(t, "service", func() bool { return client.get(t, "/x").status == 200 })
}

// A resource file provides endpoints like a control plane. An invalid file is an error at the start and is rejected later.
func TestResourceFileSource(t *testing.T) {
	testbed.Leaks(t)
	originA, originB := newOrigin(t), newOrigin(t)
	dir := t.TempDir()
	write := func(origins ...*origin.Origin) {
		text := "resources:\n- '@type': type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment\n  cluster_name: c\n  endpoints:\n  - lb_endpoints:\n"
		for _, o := range origins {
			host, port, _ := net.SplitHostPort(o.Addr)
			text += fmt.Sprintf("    - endpoint: {address: {socket_address: {address: %s, port_value: %s}}}\n", host, port)
		}
		if len(origins) == 0 {
			text = "resources: ["
		}
		if err := os.WriteFile(dir+"/new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(dir+"/new", dir+"/r.yaml"); err != nil {
			t.Fatal(err)
		}
	}
	rest := fmt.Sprintf("clusters: [{name: c, file: {path: %q}}]\nroutes: [{match: {prefix: /}, cluster: c}]\n", dir+"/r.yaml")
	write()
	if _, err := New(parseConfig(t, configHead+rest), slog.New(slog.DiscardHandler)); err == nil || !strings.Contains(err.Error(), "r.yaml") {
		t.Errorf("New with an invalid file: got error %v, want one that names r.yaml", err)
	}
	if err := CheckFiles(parseConfig(t, configHead+rest)); err == nil {
		t.Error("CheckFiles with an invalid file: got no error, want one")
	}
	write(originA)
	if err := CheckFiles(parseConfig(t, configHead+rest)); err != nil {
		t.Error(err)
	}
	g := runGateway(t, rest)
	client := newTestClient(t, g)
	if r := client.get(t, "/x"); r.header.Get("X-Origin") != originA.Addr {
		t.Errorf("GET /x: got %+v, want an answer of origin %s", r, originA.Addr)
	}
	write(originB)
	testbed.Eventually(t, "the new file to be applied", func() bool { return client.get(t, "/x").header.Get("X-Origin") == originB.Addr })
	write()
	testbed.Eventually(t, "the invalid file to be rejected", func() bool { return g.Status(0).Sources[0].Error != "" })
	if r := client.get(t, "/x"); r.status != 200 {
		t.Errorf("GET /x after an invalid file: got status %d, want 200", r.status)
	}
}
