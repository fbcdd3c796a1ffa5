package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"robindrum/internal/testbed"
	"robindrum/internal/testbed/controlplane"
	"robindrum/internal/testbed/link"
	"robindrum/internal/testbed/origin"
)

// fastRecovery is a zones section with times that are short enough for a zone to recover within a test.
const fastRecovery = "zones: {tiers: [[a], [b]], hold: 100ms, most_hold: 400ms, probe: 50ms, step: 100ms, first_share: 0.25}\n"

// logBuffer is a writer that collects log lines. It is safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// containsLine reports whether any line contains all parts.
func (l *logBuffer) containsLine(parts ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.SplitSeq(l.b.String(), "\n") {
		all := true
		for _, p := range parts {
			all = all && strings.Contains(line, p)
		}
		if all {
			return true
		}
	}
	return false
}

// zoneStatusOf returns the status of a zone of the first cluster.
func (g *Gateway) zoneStatusOf(t testing.TB, name string) ZoneStatus {
	t.Helper()
	for _, zone := range g.Status(1).Clusters[0].Zones {
		if zone.Zone == name {
			return zone
		}
	}
	return ZoneStatus{State: "not known"}
}

// A zone that fails gets no requests, is probed and recovers in steps, with every kind of source of its endpoints.
func TestZoneFailsAndRecovers(t *testing.T) {
	for _, source := range []string{"static", "file", "xds", "xds by priority"} {
		t.Run(source, func(t *testing.T) {
			testbed.Leaks(t)
			ledger := origin.NewLedger()
			var origins []*origin.Origin
			for range 4 {
				o, err := origin.Start("", ledger)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(o.Kill)
				o.SetDelay(2 * time.Millisecond)
				origins = append(origins, o)
			}
			zones := []string{"a", "a", "b", "b"}
			rest := ""
			switch source {
			case "static":
				rest = "routes: [{match: {prefix: /}, cluster: c}]\nclusters:\n  - name: c\n    endpoints:\n"
				for i, o := range origins {
					rest += fmt.Sprintf("      - {address: %q, zone: %s}\n", o.Addr, zones[i])
				}
			case "file":
				text := "resources:\n- '@type': type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment\n  cluster_name: c\n  endpoints:\n"
				for i, o := range origins {
					host, port, _ := net.SplitHostPort(o.Addr)
					text += fmt.Sprintf("  - locality: {zone: %s, sub_zone: \"%d\"}\n    lb_endpoints: [{endpoint: {address: {socket_address: {address: %s, port_value: %s}}}}]\n", zones[i], i, host, port)
				}
				path := filepath.Join(t.TempDir(), "r.yaml")
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
				rest = fmt.Sprintf("routes: [{match: {prefix: /}, cluster: c}]\nclusters: [{name: c, file: {path: %q}}]\n", path)
			default:
				server := newControlPlane(t)
				var l []any
				for i, o := range origins {
					endpoint := controlplane.Endpoint{Addr: o.Addr, Zone: zones[i]}
					if source != "xds" && zones[i] == "b" {
						endpoint.Priority = 1
					}
					l = append(l, endpoint)
				}
				pushResources(t, server, "1", false, cds("c"), eds("c", l...), rds("r", [2]string{"/", "c"}))
				rest = "clusters: []\nroutes: []\n" + adsConfig(server, "")
			}
			var log logBuffer
			g, err := New(parseConfig(t, configHead+fastRecovery+rest), slog.New(slog.NewTextHandler(&log, nil)))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(g.Close)
			t.Cleanup(func() {
				if t.Failed() {
					t.Logf("zones: %+v\nlog:\n%s", g.Status(1).Clusters[0].Zones, log.b.String())
				}
			})
			testbed.Eventually(t, "the gateway to be ready", g.Ready)
			l := startLoad(t, g, 6, "/x")
			// If the machine is busy and the process pauses for long, a healthy zone seems not to answer and gets no requests until
			// it has recovered. So wait for a period of load in which most requests stay in the gateway's own zone.
			homeBefore, awayBefore := 0, 0
			testbed.Eventually(t, "load that stays in the own zone", func() bool {
				homeRequests, n := origins[0].Requests()+origins[1].Requests(), origins[2].Requests()+origins[3].Requests()
				if n-awayBefore > (homeRequests-homeBefore)/10 || g.zoneStatusOf(t, "a").State != "up" {
					homeBefore, awayBefore = homeRequests, n
				}
				return homeRequests-homeBefore > 400
			})
			origins[0].Kill()
			origins[1].Kill()
			testbed.Eventually(t, "the zone to be dark", func() bool { return g.zoneStatusOf(t, "a").State == "dark" })
			n := l.served.Load()
			testbed.Eventually(t, "requests served by the other zone", func() bool { return l.served.Load() > n+300 })
			for _, o := range origins[:2] {
				if err := o.Restart(); err != nil {
					t.Fatal(err)
				}
			}
			testbed.Eventually(t, "the zone to be up", func() bool { return g.zoneStatusOf(t, "a").State == "up" })
			l.stop()
			l.checkNoneLost(t)
			zoneA := g.zoneStatusOf(t, "a")
			if zoneA.Probes < 2 || zoneA.Transitions < 4 || zoneA.Tier != 0 || g.zoneStatusOf(t, "b").Crossed == 0 || g.zoneStatusOf(t, "b").Tier != 1 {
				t.Errorf("got zone a %+v, zone b %+v, want at least 2 probes and 4 transitions of zone a in tier 0, crossed requests to zone b in tier 1", zoneA, g.zoneStatusOf(t, "b"))
			}
			for _, transition := range [][2]string{{"up", "failing"}, {"failing", "dark"}, {"dark", "returning"}, {"returning", "up"}} {
				if !log.containsLine("msg=zone", "zone=a", "from="+transition[0], "to="+transition[1], "evidence=", "cluster=c") {
					t.Errorf("log has no line for the transition from %s to %s, want one", transition[0], transition[1])
				}
			}
			resp, err := http.Get("http://" + g.AdminAddr().String() + "/metrics")
			if err != nil {
				t.Fatal(err)
			}
			text, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			http.DefaultClient.CloseIdleConnections()
			for _, want := range []string{`robindrum_zone_state{cluster="c",priority="0",state="up",zone="a"} 1`, `robindrum_zone_share{cluster="c"`,
				`robindrum_zone_events_total{cluster="c",event="crossed"`, "robindrum_zone_room_requests", "robindrum_zone_health", "robindrum_zone_in_flight"} {
				if !strings.Contains(string(text), want) {
					t.Errorf("GET /metrics: %s is missing in the response", want)
				}
			}
		})
	}
}

// While all zones are dark, requests are rejected immediately with Retry-After. The states of the zones survive a reload.
func TestAllZonesDarkRejectsAndSurvivesReload(t *testing.T) {
	testbed.Leaks(t)
	originA, originB := newOrigin(t), newOrigin(t)
	rest := fmt.Sprintf("routes: [{match: {prefix: /}, cluster: c}]\nclusters:\n  - name: c\n    endpoints: [{address: %q, zone: a}, {address: %q, zone: b}]\n", originA.Addr, originB.Addr)
	slowRecovery := strings.Replace(fastRecovery, "hold: 100ms, most_hold: 400ms", "hold: 1m, most_hold: 2m", 1)
	g := runGateway(t, slowRecovery+rest)
	load := startLoad(t, g, 4, "/x")
	testbed.Eventually(t, "load", func() bool { return originA.Requests() > 100 })
	originA.Kill()
	originB.Kill()
	testbed.Eventually(t, "both zones to be dark", func() bool { return g.zoneStatusOf(t, "a").State == "dark" && g.zoneStatusOf(t, "b").State == "dark" })
	load.stop()
	start := time.Now()
	r := newTestClient(t, g).get(t, "/x")
	if took := time.Since(start); r.status != 503 || r.header.Get("Retry-After") == "" || took > time.Second {
		t.Errorf("GET /x: got status %d, Retry-After %q after %v, want 503 with Retry-After within 1s", r.status, r.header.Get("Retry-After"), took)
	}
	if err := g.Reload(parseConfig(t, configHead+slowRecovery+strings.Replace(rest, "name: c\n", "name: c\n    connect_timeout: 300ms\n", 1))); err != nil {
		t.Fatal(err)
	}
	if z := g.zoneStatusOf(t, "a"); z.State != "dark" {
		t.Errorf("zone a after a reload: got state %s, want dark", z.State)
	}
	// Without the zones section, localities are not balanced.
	if err := g.Reload(parseConfig(t, configHead+rest)); err != nil {
		t.Fatal(err)
	}
	if z := g.Status(1).Clusters[0].Zones; z != nil {
		t.Errorf("zones without a zones section: got %+v, want none", z)
	}
}

// The policy.overprovisioning_factor of an assignment replaces the configuration's.
func TestControlPlaneOverprovisioningFactor(t *testing.T) {
	testbed.Leaks(t)
	server := newControlPlane(t)
	originA, originB, originC := newOrigin(t), newOrigin(t), newOrigin(t)
	assignment := func(policy string) controlplane.Resource {
		r := eds("c", controlplane.Endpoint{Addr: originA.Addr, Zone: "a"}, controlplane.Endpoint{Addr: originB.Addr, Zone: "a", Health: 2}, // unhealthy
			controlplane.Endpoint{Addr: originC.Addr, Zone: "b", Priority: 1})
		if err := mergeJSON(r, policy); err != nil {
			t.Fatal(err)
		}
		return r
	}
	pushResources(t, server, "1", false, cds("c"), assignment(`{}`), rds("r", [2]string{"/", "c"}))
	g := runGateway(t, fastRecovery+"clusters: []\nroutes: []\n"+adsConfig(server, ""))
	testbed.Eventually(t, "the gateway to be ready", g.Ready)
	client := newTestClient(t, g)
	hasShare := func(want float64) func() bool {
		return func() bool {
			client.get(t, "/x")
			difference := g.zoneStatusOf(t, "a").Share - want
			return difference < 0.01 && difference > -0.01
		}
	}
	testbed.Eventually(t, "a share of 0.7, 1.4 times the healthy half of the zone", hasShare(0.7))
	pushResources(t, server, "2", false, assignment(`{"policy":{"overprovisioning_factor":100}}`))
	testbed.Eventually(t, "a share of 0.5, the healthy half of the zone", hasShare(0.5))
	pushResources(t, server, "3", false, assignment(`{"policy":{"overprovisioning_factor":300}}`))
	testbed.Eventually(t, "a share of 1, since 3 times the healthy half exceeds the zone", hasShare(1))
	pushResources(t, server, "4", false, assignment(`{"policy":{"overprovisioning_factor":0}}`)) // rejected
	testbed.Eventually(t, "the update to be rejected", func() bool { return g.Status(1).Clusters[0].RejectedUpdate != "" })
	pushResources(t, server, "5", false, assignment(`{}`))
	testbed.Eventually(t, "a share of 0.7 again, with the configured factor of 1.4", hasShare(0.7))
}

// A request with an idempotency key that may have been executed is not retried in another zone, even if its own zone is dark
// and the other one is idle.
func TestKeyedRequestDoesNotCrossZones(t *testing.T) {
	testbed.Leaks(t)
	ledgerA, ledgerB := origin.NewLedger(), origin.NewLedger()
	var origins []*origin.Origin
	for _, ledger := range []*origin.Ledger{ledgerA, ledgerA, ledgerB, ledgerB} {
		o, err := origin.Start("", ledger)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(o.Kill)
		origins = append(origins, o)
	}
	text := strings.Replace(configHead, "group: all", "group: zone", 1) + fastRecovery + "routes: [{match: {prefix: /}, cluster: c, class: hold, key: {header: Idempotency-Key}}]\nclusters:\n  - name: c\n    endpoints:\n"
	for i, o := range origins {
		text += fmt.Sprintf("      - {address: %q, zone: %c}\n", o.Addr, "aabb"[i])
	}
	g, err := New(parseConfig(t, text), discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	client := newTestClient(t, g)
	for _, o := range origins[:2] { // these execute a request and reset the connection before the answer
		o.SetHandler(func(w http.ResponseWriter, _ *http.Request) bool {
			connection, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				testbed.Reset(connection)
			}
			return true
		})
	}
	status := map[int]int{}
	for i := range 120 {
		r, err := client.do(http.MethodPost, "/hold", "Idempotency-Key", fmt.Sprint("k", i))
		if err != nil {
			t.Fatal(err)
		}
		status[r.status]++
	}
	if n := origin.DuplicateEffects(ledgerA, ledgerB); n != 0 {
		t.Errorf("got %d duplicate effects, want 0; answers by status: %v", n, status)
	}
	if status[200] == 0 || status[502] == 0 {
		t.Errorf("answers by status: got %v, want some 502 from the failing zone and some 200 from the other zone", status)
	}
}

// A gateway that stops while a zone is dark loses no request.
func TestStopWhileZoneIsDark(t *testing.T) {
	testbed.Leaks(t)
	originA, originB := newOrigin(t), newOrigin(t)
	originB.SetDelay(20 * time.Millisecond)
	g := runGateway(t, fastRecovery+fmt.Sprintf("routes: [{match: {prefix: /}, cluster: c}]\nclusters:\n  - name: c\n    endpoints: [{address: %q, zone: a}, {address: %q, zone: b}]\n", originA.Addr, originB.Addr))
	load := startLoad(t, g, 4, "/x")
	testbed.Eventually(t, "load", func() bool { return originA.Requests() > 100 })
	originA.Kill()
	testbed.Eventually(t, "the zone to be dark", func() bool { return g.zoneStatusOf(t, "a").State == "dark" })
	load.stop()
	ctx, cancel := context.WithTimeout(context.Background(), testbed.WaitTimeout)
	defer cancel()
	g.Stop(ctx)
	load.checkNoneLost(t)
}

// In every failure mode of a zone, the other zone serves requests, no effect happens twice, and no request is lost.
func TestZoneFailureModes(t *testing.T) {
	failureModes := map[string]func(w http.ResponseWriter, r *http.Request) bool{
		"accepts requests and does not answer": func(_ http.ResponseWriter, r *http.Request) bool { <-r.Context().Done(); return true },
		"answers 503": func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		},
		"resets the connection after the request": func(w http.ResponseWriter, _ *http.Request) bool {
			if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
				testbed.Reset(c)
			}
			return true
		},
		"does not answer four of five requests": func() func(http.ResponseWriter, *http.Request) bool {
			var n atomic.Int64
			return func(_ http.ResponseWriter, r *http.Request) bool {
				if n.Add(1)%5 == 0 {
					return false
				}
				<-r.Context().Done()
				return true
			}
		}(),
		"has a link that loses four of five answers": nil,
	}
	for name, handler := range failureModes {
		t.Run(name, func(t *testing.T) {
			testbed.Leaks(t)
			ledgerA, ledgerB := origin.NewLedger(), origin.NewLedger()
			var origins []*origin.Origin
			var links []*link.Link
			text := strings.Replace(configHead, "group: all", "group: zone", 1) + strings.Replace(fastRecovery, "hold: 100ms, most_hold: 400ms", "hold: 1m, most_hold: 2m", 1) + `routes:
  - {match: {prefix: /, methods: [GET]}, cluster: c}
  - {match: {prefix: /, methods: [POST]}, cluster: c, class: hold, key: {header: Idempotency-Key}}
clusters:
  - name: c
    endpoints:
`
			for i, ledger := range []*origin.Ledger{ledgerA, ledgerA, ledgerB, ledgerB} {
				o, err := origin.Start("", ledger)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(o.Kill)
				o.SetDelay(2 * time.Millisecond)
				origins = append(origins, o)
				address := o.Addr
				if handler == nil {
					lossyLink, err := link.Start(o.Addr, uint64(i))
					if err != nil {
						t.Fatal(err)
					}
					t.Cleanup(lossyLink.Close)
					address, links = lossyLink.Addr, append(links, lossyLink)
				}
				text += fmt.Sprintf("      - {address: %q, zone: %c}\n", address, "aabb"[i])
			}
			g, err := New(parseConfig(t, text), discardLogger())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(g.Close)
			load := startLoad(t, g, 6, "/x")
			testbed.Eventually(t, "load in the own zone", func() bool { return origins[0].Requests() > 200 && origins[1].Requests() > 200 })
			for i, o := range origins[:2] {
				if handler == nil {
					links[i].SetLoss(0.8)
					continue
				}
				o.SetHandler(handler)
			}
			client := newTestClient(t, g)
			var keys atomic.Int64
			var posts sync.WaitGroup
			for range 4 { // requests of class hold while the zone becomes dark
				posts.Go(func() {
					for range 10 {
						if _, err := client.do(http.MethodPost, "/hold", "Idempotency-Key", fmt.Sprint("k", keys.Add(1))); err != nil {
							t.Errorf("POST /hold: got error %v, want an answer", err)
						}
					}
				})
			}
			testbed.Eventually(t, "the zone to be dark", func() bool { return g.zoneStatusOf(t, "a").State == "dark" })
			n := load.served.Load()
			testbed.Eventually(t, "requests served by the other zone", func() bool { return load.served.Load() > n+200 })
			posts.Wait()
			load.stop()
			if n := load.other.Load(); name != "resets the connection after the request" && n != 0 { // these are 502 while the retry budget is exhausted
				t.Errorf("%d of %d requests were neither served nor rejected, want 0; the last one: %s", n, load.requests.Load(), *load.lastFailure.Load())
			}
			if n := origin.DuplicateEffects(ledgerA, ledgerB); n != 0 {
				t.Errorf("got %d duplicate effects, want 0", n)
			}
		})
	}
}
