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

// Updates of the control plane are applied under load: draining, unhealthy or removed endpoints get no new requests, with an
// empty list requests are rejected at once, and the endpoints of the next list warm up.
func TestEndpointsFollowTheControlPlane(t *testing.T) {
	for _, variant := range []string{"sotw", "delta"} {
		t.Run(variant, func(t *testing.T) {
			testbed.Leaks(t)
			s := newControlPlane(t)
			a, b, c := newOrigin(t), newOrigin(t), newOrigin(t)
			push(t, s, "0", false, cds("c"), eds("c", a, b, c), rds("r", [2]string{"/", "c"}))
			g := runGateway(t, "clusters: []\nroutes: []\n"+adsConfig(s, ", variant: "+variant))
			testbed.Eventually(t, "the gateway to be ready", g.Ready)
			l := startLoad(t, g, 8, "/x")
			testbed.Eventually(t, "load on all", func() bool { return a.Requests() > 50 && b.Requests() > 50 && c.Requests() > 50 })
			version := 0
			out := func(what string, o *origin.Origin, r controlplane.Resource, usable int) {
				t.Helper()
				version++
				at := push(t, s, fmt.Sprint(version), false, r)
				testbed.Eventually(t, what, func() bool { return g.usable("c") == usable })
				n := l.ok.Load()
				testbed.Eventually(t, "more load", func() bool { return l.ok.Load() > n+300 })
				if late := o.RequestsAfter(at.Add(time.Second)); late != 0 {
					t.Errorf("%s: %d requests later than 1 s after it was told", what, late)
				}
				if d := o.LastRequest().Sub(at); d > time.Second {
					t.Errorf("%s: the last request %v after it was told", what, d)
				}
			}
			of := func(o *origin.Origin, h corev3.HealthStatus) controlplane.Endpoint {
				return controlplane.Endpoint{Addr: o.Addr, Zone: "a", Health: h}
			}
			out("draining", a, eds("c", of(a, corev3.HealthStatus_DRAINING), b, c), 2)
			out("unhealthy", a, eds("c", of(a, corev3.HealthStatus_UNHEALTHY), b, c), 2)
			out("removed", b, eds("c", a, c), 2)
			// All at once.
			version++
			at := push(t, s, fmt.Sprint(version), false, eds("c"))
			testbed.Eventually(t, "the empty list", func() bool { return g.usable("c") == 0 })
			began := time.Now()
			if r := newUser(t, g).get(t, "/x"); r.status != 503 {
				t.Errorf("%d with no endpoint", r.status)
			}
			if d := time.Since(began); d > time.Second { // the class has 15 s
				t.Errorf("refused after %v", d)
			}
			n := l.no.Load()
			testbed.Eventually(t, "refusals", func() bool { return l.no.Load() > n+100 })
			for _, o := range []*origin.Origin{a, b, c} {
				if late := o.RequestsAfter(at.Add(time.Second)); late != 0 {
					t.Errorf("%d requests to one that was removed", late)
				}
			}
			version++
			push(t, s, fmt.Sprint(version), false, eds("c", a, b))
			testbed.Eventually(t, "the list to be back", func() bool { return g.usable("c") == 2 })
			n = l.ok.Load()
			testbed.Eventually(t, "service", func() bool { return l.ok.Load() > n+10 })
			for _, e := range g.Status(0).Clusters[0].Endpoints {
				if e.Age <= 0 {
					t.Errorf("%s is not cold", e.Address)
				}
			}
			l.stop()
			l.checkNoneLost(t)
		})
	}
}

// While the control plane is disconnected the last list stays in use, and the status shows its age. When it returns with an
// older version and a smaller list, that is used.
func TestControlPlaneDisconnectsAndReturns(t *testing.T) {
	testbed.Leaks(t)
	s := newControlPlane(t)
	a, b := newOrigin(t), newOrigin(t)
	push(t, s, "9", false, cds("c"), eds("c", a, b), rds("r", [2]string{"/", "c"}))
	g := runGateway(t, "clusters: []\nroutes: []\n"+adsConfig(s, ""))
	testbed.Eventually(t, "the gateway to be ready", g.Ready)
	l := startLoad(t, g, 4, "/x")
	s.Stop()
	testbed.Eventually(t, "the loss to show", func() bool { src := g.Status(0).Sources[0]; return src.Connected == "" && src.Error != "" })
	n := l.ok.Load()
	testbed.Eventually(t, "service without it", func() bool { return l.ok.Load() > n+200 })
	first := *g.Status(0).Clusters[0].UpdateAge
	testbed.Eventually(t, "the list to age", func() bool { return *g.Status(0).Clusters[0].UpdateAge > first+0.01 })
	if !g.Ready() || g.usable("c") != 2 {
		t.Error("the list is gone with the control plane")
	}
	s.ClearAll()
	push(t, s, "3", false, cds("c"), eds("c", b), rds("r", [2]string{"/", "c"}))
	if err := s.Restart(); err != nil {
		t.Fatal(err)
	}
	testbed.Eventually(t, "the smaller list", func() bool { return g.usable("c") == 1 })
	l.stop()
	l.checkNoneLost(t)
	if l.no.Load() != 0 {
		t.Errorf("%d requests were refused: %q", l.no.Load(), *l.refused.Load())
	}
}

// A route changes to a cluster whose endpoints come later: until then it leads to the former cluster.
func TestRoutesWaitForEndpoints(t *testing.T) {
	testbed.Leaks(t)
	s := newControlPlane(t)
	a, b := newOrigin(t), newOrigin(t)
	push(t, s, "1", false, cds("old"), eds("old", a), rds("r", [2]string{"/", "old"}))
	g := runGateway(t, "clusters: []\nroutes: []\n"+adsConfig(s, ""))
	testbed.Eventually(t, "the gateway to be ready", g.Ready)
	l := startLoad(t, g, 4, "/x")
	push(t, s, "2", false, cds("new"), rds("r", [2]string{"/", "new"}))
	testbed.Eventually(t, "the flip to wait", func() bool { return g.Status(0).Routes.Pending })
	n := a.Requests()
	testbed.Eventually(t, "service by the old one", func() bool { return a.Requests() > n+100 })
	push(t, s, "3", false, eds("new", b))
	testbed.Eventually(t, "the flip", func() bool { return !g.Status(0).Routes.Pending && b.Requests() > 100 })
	n = a.Requests()
	m := b.Requests()
	testbed.Eventually(t, "service by the new one", func() bool { return b.Requests() > m+100 })
	if a.Requests() > n+8 {
		t.Errorf("%d requests to the old one after the flip", a.Requests()-n)
	}
	l.stop()
	l.checkNoneLost(t)
	if l.no.Load() != 0 {
		t.Errorf("%d requests were refused: %q", l.no.Load(), *l.refused.Load())
	}
}

// A cluster is renamed under load in the order of a control plane: the new name replaces the former one before the routes
// change.
func TestClusterRenamedUnderLoad(t *testing.T) {
	testbed.Leaks(t)
	s := newControlPlane(t)
	a := newOrigin(t)
	push(t, s, "1", false, cds("n0"), eds("n0", a), rds("r", [2]string{"/", "n0"}))
	g := runGateway(t, "clusters: []\nroutes: []\n"+adsConfig(s, ""))
	testbed.Eventually(t, "the gateway to be ready", g.Ready)
	l := startLoad(t, g, 4, "/x")
	for i := 1; i <= 10; i++ {
		name := fmt.Sprint("n", i)
		push(t, s, fmt.Sprint("v", i), true, eds(name, a), cds(name))
		push(t, s, fmt.Sprint("w", i), true, rds("r", [2]string{"/", name}))
		testbed.Eventually(t, "the new name", func() bool { return g.usable(name) == 1 && len(g.Status(0).Clusters) == 1 })
		n := l.ok.Load()
		testbed.Eventually(t, "service", func() bool { return l.ok.Load() > n+50 })
	}
	l.stop()
	l.checkNoneLost(t)
	if l.no.Load() != 0 {
		t.Errorf("%d requests were refused: %q", l.no.Load(), *l.refused.Load())
	}
	testbed.Eventually(t, "the old cores to end", func() bool { g.mu.Lock(); defer g.mu.Unlock(); return len(g.retired) == 0 })
}

// Requests to a withdrawn cluster are soon rejected, and served again when the cluster is back.
func TestClusterWithdrawnAndRestored(t *testing.T) {
	testbed.Leaks(t)
	s := newControlPlane(t)
	a, b := newOrigin(t), newOrigin(t)
	push(t, s, "1", false, cds("c"), cds("d"), eds("c", a), eds("d", b), rds("r", [2]string{"/c", "c"}, [2]string{"/d", "d"}))
	g := runGateway(t, "clusters: []\nroutes: []\n"+adsConfig(s, ""))
	testbed.Eventually(t, "the gateway to be ready", g.Ready)
	u := newUser(t, g)
	if r := u.get(t, "/c"); r.status != 200 {
		t.Fatal(r.status)
	}
	at := push(t, s, "2", true, cds("d"))
	testbed.Eventually(t, "refusals", func() bool { return u.get(t, "/c").status == 503 })
	if d := time.Since(at); d > time.Second+500*time.Millisecond {
		t.Errorf("refused after %v", d)
	}
	if a.RequestsAfter(at.Add(time.Second)) != 0 {
		t.Error("requests reach a cluster that is withdrawn")
	}
	if r := u.get(t, "/d"); r.status != 200 {
		t.Errorf("the other one: %d", r.status)
	}
	if m := g.Status(0).Routes.MissingClusters; len(m) != 1 || m[0] != "c" {
		t.Errorf("missing: %v", m)
	}
	push(t, s, "3", false, cds("c"), eds("c", a))
	testbed.Eventually(t, "service", func() bool { return u.get(t, "/c").status == 200 })
}

// Requests follow a listener that names routes, then other ones, and is withdrawn.
func TestListenerNamesTheRoutes(t *testing.T) {
	for _, variant := range []string{"sotw", "delta"} {
		t.Run(variant, func(t *testing.T) {
			testbed.Leaks(t)
			s := newControlPlane(t)
			a, b := newOrigin(t), newOrigin(t)
			lds := func(routes string) controlplane.Resource {
				return controlplane.Resource{Name: "l", Body: controlplane.Listener("l", routes)}
			}
			push(t, s, "1", false, cds("ca"), cds("cb"), eds("ca", a), eds("cb", b), rds("ra", [2]string{"/", "ca"}), rds("rb", [2]string{"/", "cb"}), lds("ra"))
			g := runGateway(t, fmt.Sprintf("clusters: []\nroutes: []\nxds: {servers: [%q], node: {id: gw}, clusters: true, listener: l, variant: %s}\n", s.Addr, variant))
			testbed.Eventually(t, "the gateway to be ready", g.Ready)
			u := newUser(t, g)
			if r := u.get(t, "/x"); r.header.Get("X-Origin") != a.Addr {
				t.Errorf("%+v", r)
			}
			push(t, s, "2", false, lds("rb"))
			testbed.Eventually(t, "the other routes", func() bool { return u.get(t, "/x").header.Get("X-Origin") == b.Addr })
			push(t, s, "3", false, controlplane.Resource{Name: "l"})
			testbed.Eventually(t, "no routes", func() bool { return u.get(t, "/x").status == 404 })
			if why := g.Status(0).Routes.Rejection; why != "the control plane withdrew it" {
				t.Errorf("%q", why)
			}
		})
	}
}

// Ever new cluster names, zones and endpoints leave nothing behind in the gateway, its sources and its cores.
func TestChangingNamesLeaveNothingBehind(t *testing.T) {
	for _, variant := range []string{"sotw", "delta"} {
		t.Run(variant, func(t *testing.T) {
			testbed.Leaks(t)
			s := newControlPlane(t)
			a := newOrigin(t)
			push(t, s, "0", false, cds("fixed"), eds("fixed", a), rds("r", [2]string{"/", "fixed"}))
			g := runGateway(t, "clusters: []\nroutes: []\n"+adsConfig(s, ", variant: "+variant))
			testbed.Eventually(t, "the gateway to be ready", g.Ready)
			const rounds = 300
			for i := range rounds {
				name := fmt.Sprint("c", i)
				zone := controlplane.Endpoint{Addr: a.Addr, Zone: fmt.Sprint("z", i), Kind: fmt.Sprint("k", i)}
				push(t, s, fmt.Sprint("v", i), true, cds("fixed"), cds(name), eds("fixed", zone), eds(name, zone))
			}
			testbed.Eventually(t, "the last names", func() bool { return g.usable(fmt.Sprint("c", rounds-1)) == 1 })
			testbed.Eventually(t, "the former ones to be gone", func() bool {
				g.mu.Lock()
				defer g.mu.Unlock()
				f := g.watches[xdsWatch]
				return len(g.clusters) == 2 && len(g.retired) == 0 && len(f.resources[xds.ClusterType]) == 2 && len(f.resources[xds.EndpointType]) == 2
			})
			if n := g.Status(0).Limits.Requests; n != 2*(4096/4/2) {
				t.Errorf("%d requests are kept for two clusters", n)
			}
			if r := newUser(t, g).get(t, "/x"); r.status != 200 {
				t.Errorf("%d", r.status)
			}
		})
	}
}

// drop_overloads rejects its fraction of requests, and endpoint_stale_after ends a list that is not renewed.
func TestDropOverloadsAndStaleAssignment(t *testing.T) {
	testbed.Leaks(t)
	s := newControlPlane(t)
	a := newOrigin(t)
	as := eds("c", a)
	if err := xdsPolicy(as, `{"policy":{"drop_overloads":[{"category":"x","drop_percentage":{"numerator":50}}]}}`); err != nil {
		t.Fatal(err)
	}
	push(t, s, "1", false, cds("c"), as, rds("r", [2]string{"/", "c"}))
	g := runGateway(t, "clusters: []\nroutes: []\n"+adsConfig(s, ""))
	testbed.Eventually(t, "the gateway to be ready", g.Ready)
	u := newUser(t, g)
	dropped := 0
	for range 200 {
		if u.get(t, "/x").status == 503 {
			dropped++
		}
	}
	if dropped < 50 || dropped > 150 {
		t.Errorf("%d of 200 are dropped", dropped)
	}
	as = eds("c", a)
	if err := xdsPolicy(as, `{"policy":{"endpoint_stale_after":"0.3s"}}`); err != nil {
		t.Fatal(err)
	}
	push(t, s, "2", false, as)
	testbed.Eventually(t, "the list to be stale", func() bool { return g.Status(0).Clusters[0].Stale != "" })
	if r := u.get(t, "/x"); r.status != 503 {
		t.Errorf("%d from a stale list", r.status)
	}
	push(t, s, "3", false, eds("c", a))
	testbed.Eventually(t, "a list that lasts", func() bool { return g.usable("c") == 1 })
	testbed.Eventually(t, "service", func() bool { return u.get(t, "/x").status == 200 })
}

// A file of resources provides clusters and routes like a control plane; an invalid one at the start is an error.
func TestResourceFileSource(t *testing.T) {
	testbed.Leaks(t)
	a, b := newOrigin(t), newOrigin(t)
	dir := t.TempDir()
	write := func(l ...*origin.Origin) {
		text := "resources:\n- '@type': type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment\n  cluster_name: c\n  endpoints:\n  - lb_endpoints:\n"
		for _, o := range l {
			host, port, _ := net.SplitHostPort(o.Addr)
			text += fmt.Sprintf("    - endpoint: {address: {socket_address: {address: %s, port_value: %s}}}\n", host, port)
		}
		if len(l) == 0 {
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
	if _, err := New(parse(t, head+rest), slog.New(slog.DiscardHandler)); err == nil || !strings.Contains(err.Error(), "r.yaml") {
		t.Errorf("%v", err)
	}
	if err := CheckFiles(parse(t, head+rest)); err == nil {
		t.Error("checked, and found good")
	}
	write(a)
	if err := CheckFiles(parse(t, head+rest)); err != nil {
		t.Error(err)
	}
	g := runGateway(t, rest)
	u := newUser(t, g)
	if r := u.get(t, "/x"); r.header.Get("X-Origin") != a.Addr {
		t.Errorf("%+v", r)
	}
	write(b)
	testbed.Eventually(t, "the new file", func() bool { return u.get(t, "/x").header.Get("X-Origin") == b.Addr })
	write()
	testbed.Eventually(t, "the refusal", func() bool { return g.Status(0).Sources[0].Error != "" })
	if r := u.get(t, "/x"); r.status != 200 {
		t.Errorf("%d after a file that cannot be read", r.status)
	}
}
