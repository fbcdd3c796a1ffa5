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

// quick are zones whose way back takes a test's time.
const quick = "zones: {tiers: [[a], [b]], hold: 100ms, most_hold: 400ms, probe: 50ms, step: 100ms, first_share: 0.25}\n"

// lines collects the log.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lines) has(parts ...string) bool {
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

func (g *Gateway) zone(t testing.TB, name string) ZoneStatus {
	t.Helper()
	for _, z := range g.Status(1).Clusters[0].Zones {
		if z.Zone == name {
			return z
		}
	}
	return ZoneStatus{State: "not known"}
}

// A zone that fails gets no requests, is probed and recovers in steps, whatever the source of its endpoints.
func TestZoneFailsAndRecovers(t *testing.T) {
	for _, source := range []string{"static", "file", "xds", "xds by priority"} {
		t.Run(source, func(t *testing.T) {
			testbed.Leaks(t)
			ledger := origin.NewLedger()
			var all []*origin.Origin
			for range 4 {
				o, err := origin.Start("", ledger)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(o.Kill)
				o.SetDelay(2 * time.Millisecond)
				all = append(all, o)
			}
			zones := []string{"a", "a", "b", "b"}
			rest := ""
			switch source {
			case "static":
				rest = "routes: [{match: {prefix: /}, cluster: c}]\nclusters:\n  - name: c\n    endpoints:\n"
				for i, o := range all {
					rest += fmt.Sprintf("      - {address: %q, zone: %s}\n", o.Addr, zones[i])
				}
			case "file":
				text := "resources:\n- '@type': type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment\n  cluster_name: c\n  endpoints:\n"
				for i, o := range all {
					host, port, _ := net.SplitHostPort(o.Addr)
					text += fmt.Sprintf("  - locality: {zone: %s, sub_zone: \"%d\"}\n    lb_endpoints: [{endpoint: {address: {socket_address: {address: %s, port_value: %s}}}}]\n", zones[i], i, host, port)
				}
				path := filepath.Join(t.TempDir(), "r.yaml")
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
				rest = fmt.Sprintf("routes: [{match: {prefix: /}, cluster: c}]\nclusters: [{name: c, file: {path: %q}}]\n", path)
			default:
				s := newControlPlane(t)
				var l []any
				for i, o := range all {
					e := controlplane.Endpoint{Addr: o.Addr, Zone: zones[i]}
					if source != "xds" && zones[i] == "b" {
						e.Priority = 1
					}
					l = append(l, e)
				}
				push(t, s, "1", false, cds("c"), eds("c", l...), rds("r", [2]string{"/", "c"}))
				rest = "clusters: []\nroutes: []\n" + adsConfig(s, "")
			}
			var log lines
			g, err := New(parse(t, head+quick+rest), slog.New(slog.NewTextHandler(&log, nil)))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(g.Close)
			t.Cleanup(func() {
				if t.Failed() {
					t.Logf("%+v\n%s", g.Status(1).Clusters[0].Zones, log.b.String())
				}
			})
			testbed.Eventually(t, "the gateway to be ready", g.Ready)
			l := startLoad(t, g, 6, "/x")
			// Where a machine gives it no time for long, a zone that is well looks like one that says nothing and is left until its
			// way back is done. So what counts is a stretch of load that stays at home, which must come.
			home, away := 0, 0
			testbed.Eventually(t, "load that stays at home", func() bool {
				h, n := all[0].Requests()+all[1].Requests(), all[2].Requests()+all[3].Requests()
				if n-away > (h-home)/10 || g.zone(t, "a").State != "up" {
					home, away = h, n
				}
				return h-home > 400
			})
			all[0].Kill()
			all[1].Kill()
			testbed.Eventually(t, "the zone to be dark", func() bool { return g.zone(t, "a").State == "dark" })
			n := l.ok.Load()
			testbed.Eventually(t, "service elsewhere", func() bool { return l.ok.Load() > n+300 })
			for _, o := range all[:2] {
				if err := o.Restart(); err != nil {
					t.Fatal(err)
				}
			}
			testbed.Eventually(t, "the zone to be up", func() bool { return g.zone(t, "a").State == "up" })
			l.stop()
			l.checkNoneLost(t)
			z := g.zone(t, "a")
			if z.Probes < 2 || z.Transitions < 4 || z.Tier != 0 || g.zone(t, "b").Crossed == 0 || g.zone(t, "b").Tier != 1 {
				t.Errorf("%+v, %+v", z, g.zone(t, "b"))
			}
			for _, turn := range [][2]string{{"up", "failing"}, {"failing", "dark"}, {"dark", "returning"}, {"returning", "up"}} {
				if !log.has("msg=zone", "zone=a", "from="+turn[0], "to="+turn[1], "evidence=", "cluster=c") {
					t.Errorf("no line for %v", turn)
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
					t.Errorf("%s is missing", want)
				}
			}
		})
	}
}

// With all zones dark requests are rejected at once with Retry-After, and the zones' states survive a reload.
func TestAllZonesDarkIsRejectedAndSurvivesReload(t *testing.T) {
	testbed.Leaks(t)
	a, b := newOrigin(t), newOrigin(t)
	rest := fmt.Sprintf("routes: [{match: {prefix: /}, cluster: c}]\nclusters:\n  - name: c\n    endpoints: [{address: %q, zone: a}, {address: %q, zone: b}]\n", a.Addr, b.Addr)
	slow := strings.Replace(quick, "hold: 100ms, most_hold: 400ms", "hold: 1m, most_hold: 2m", 1)
	g := runGateway(t, slow+rest)
	l := startLoad(t, g, 4, "/x")
	testbed.Eventually(t, "load", func() bool { return a.Requests() > 100 })
	a.Kill()
	b.Kill()
	testbed.Eventually(t, "both to be dark", func() bool { return g.zone(t, "a").State == "dark" && g.zone(t, "b").State == "dark" })
	l.stop()
	began := time.Now()
	r := newUser(t, g).get(t, "/x")
	if took := time.Since(began); r.status != 503 || r.header.Get("Retry-After") == "" || took > time.Second {
		t.Errorf("%d, Retry-After %q after %v", r.status, r.header.Get("Retry-After"), took)
	}
	if err := g.Reload(parse(t, head+slow+strings.Replace(rest, "name: c\n", "name: c\n    connect_timeout: 300ms\n", 1))); err != nil {
		t.Fatal(err)
	}
	if z := g.zone(t, "a"); z.State != "dark" {
		t.Errorf("%s after a reload", z.State)
	}
	// Without the section zones are weighed as ever.
	if err := g.Reload(parse(t, head+rest)); err != nil {
		t.Fatal(err)
	}
	if z := g.Status(1).Clusters[0].Zones; z != nil {
		t.Errorf("%+v without tiers", z)
	}
}

// The policy.overprovisioning_factor of an assignment replaces the configuration's.
func TestControlPlaneOverprovisioningFactor(t *testing.T) {
	testbed.Leaks(t)
	s := newControlPlane(t)
	a, b, c := newOrigin(t), newOrigin(t), newOrigin(t)
	list := func(policy string) controlplane.Resource {
		r := eds("c", controlplane.Endpoint{Addr: a.Addr, Zone: "a"}, controlplane.Endpoint{Addr: b.Addr, Zone: "a", Health: 2}, // unhealthy
			controlplane.Endpoint{Addr: c.Addr, Zone: "b", Priority: 1})
		if err := xdsPolicy(r, policy); err != nil {
			t.Fatal(err)
		}
		return r
	}
	push(t, s, "1", false, cds("c"), list(`{}`), rds("r", [2]string{"/", "c"}))
	g := runGateway(t, quick+"clusters: []\nroutes: []\n"+adsConfig(s, ""))
	testbed.Eventually(t, "the gateway to be ready", g.Ready)
	u := newUser(t, g)
	share := func(want float64) func() bool {
		return func() bool {
			u.get(t, "/x")
			d := g.zone(t, "a").Share - want
			return d < 0.01 && d > -0.01
		}
	}
	testbed.Eventually(t, "half of a zone times 1.4", share(0.7))
	push(t, s, "2", false, list(`{"policy":{"overprovisioning_factor":100}}`))
	testbed.Eventually(t, "half of a zone", share(0.5))
	push(t, s, "3", false, list(`{"policy":{"overprovisioning_factor":300}}`))
	testbed.Eventually(t, "the whole", share(1))
	push(t, s, "4", false, list(`{"policy":{"overprovisioning_factor":0}}`)) // refused
	testbed.Eventually(t, "the refusal", func() bool { return g.Status(1).Clusters[0].RejectedUpdate != "" })
	push(t, s, "5", false, list(`{}`))
	testbed.Eventually(t, "the configuration's again", share(0.7))
}

// A keyed request that may have run is not sent to another zone, although its own is dark and the other one idle.
func TestKeyedRequestDoesNotCrossZones(t *testing.T) {
	testbed.Leaks(t)
	one, two := origin.NewLedger(), origin.NewLedger()
	var all []*origin.Origin
	for _, ledger := range []*origin.Ledger{one, one, two, two} {
		o, err := origin.Start("", ledger)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(o.Kill)
		all = append(all, o)
	}
	text := strings.Replace(head, "group: all", "group: zone", 1) + quick + "routes: [{match: {prefix: /}, cluster: c, class: hold, key: {header: Idempotency-Key}}]\nclusters:\n  - name: c\n    endpoints:\n"
	for i, o := range all {
		text += fmt.Sprintf("      - {address: %q, zone: %c}\n", o.Addr, "aabb"[i])
	}
	g, err := New(parse(t, text), discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	u := newUser(t, g)
	for _, o := range all[:2] { // it takes the effect, and breaks before its answer
		o.SetHandler(func(w http.ResponseWriter, _ *http.Request) bool {
			c, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				testbed.Reset(c)
			}
			return true
		})
	}
	status := map[int]int{}
	for i := range 120 {
		r, err := u.do(http.MethodPost, "/hold", "Idempotency-Key", fmt.Sprint("k", i))
		if err != nil {
			t.Fatal(err)
		}
		status[r.status]++
	}
	if n := origin.DuplicateEffects(one, two); n != 0 {
		t.Errorf("%d effects taken twice, %v", n, status)
	}
	if status[200] == 0 || status[502] == 0 {
		t.Errorf("%v: some fail at first, and the others are served elsewhere", status)
	}
}

// A gateway that stops while a zone is dark loses no request.
func TestStopWhileZoneIsDark(t *testing.T) {
	testbed.Leaks(t)
	a, b := newOrigin(t), newOrigin(t)
	b.SetDelay(20 * time.Millisecond)
	g := runGateway(t, quick+fmt.Sprintf("routes: [{match: {prefix: /}, cluster: c}]\nclusters:\n  - name: c\n    endpoints: [{address: %q, zone: a}, {address: %q, zone: b}]\n", a.Addr, b.Addr))
	l := startLoad(t, g, 4, "/x")
	testbed.Eventually(t, "load", func() bool { return a.Requests() > 100 })
	a.Kill()
	testbed.Eventually(t, "the zone to be dark", func() bool { return g.zone(t, "a").State == "dark" })
	l.stop()
	ctx, cancel := context.WithTimeout(context.Background(), testbed.WaitTimeout)
	defer cancel()
	g.Stop(ctx)
	l.checkNoneLost(t)
}

// However a zone fails, the other one serves, no effect happens twice, and no request is lost.
func TestZoneFailureModes(t *testing.T) {
	ways := map[string]func(w http.ResponseWriter, r *http.Request) bool{
		"accepts and says nothing": func(_ http.ResponseWriter, r *http.Request) bool { <-r.Context().Done(); return true },
		"answers 503": func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		},
		"resets after the last byte": func(w http.ResponseWriter, _ *http.Request) bool {
			if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
				testbed.Reset(c)
			}
			return true
		},
		"loses four of five answers": func() func(http.ResponseWriter, *http.Request) bool {
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
	for name, way := range ways {
		t.Run(name, func(t *testing.T) {
			testbed.Leaks(t)
			one, two := origin.NewLedger(), origin.NewLedger()
			var all []*origin.Origin
			var links []*link.Link
			text := strings.Replace(head, "group: all", "group: zone", 1) + strings.Replace(quick, "hold: 100ms, most_hold: 400ms", "hold: 1m, most_hold: 2m", 1) + `routes:
  - {match: {prefix: /, methods: [GET]}, cluster: c}
  - {match: {prefix: /, methods: [POST]}, cluster: c, class: hold, key: {header: Idempotency-Key}}
clusters:
  - name: c
    endpoints:
`
			for i, ledger := range []*origin.Ledger{one, one, two, two} {
				o, err := origin.Start("", ledger)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(o.Kill)
				o.SetDelay(2 * time.Millisecond)
				all = append(all, o)
				at := o.Addr
				if way == nil {
					k, err := link.Start(o.Addr, uint64(i))
					if err != nil {
						t.Fatal(err)
					}
					t.Cleanup(k.Close)
					at, links = k.Addr, append(links, k)
				}
				text += fmt.Sprintf("      - {address: %q, zone: %c}\n", at, "aabb"[i])
			}
			g, err := New(parse(t, text), discardLogger())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(g.Close)
			l := startLoad(t, g, 6, "/x")
			testbed.Eventually(t, "load at home", func() bool { return all[0].Requests() > 200 && all[1].Requests() > 200 })
			for i, o := range all[:2] {
				if way == nil {
					links[i].SetLoss(0.8)
					continue
				}
				o.SetHandler(way)
			}
			u := newUser(t, g)
			var keys atomic.Int64
			var posts sync.WaitGroup
			for range 4 { // holds, while it goes dark
				posts.Go(func() {
					for range 10 {
						if _, err := u.do(http.MethodPost, "/hold", "Idempotency-Key", fmt.Sprint("k", keys.Add(1))); err != nil {
							t.Errorf("a hold has no answer: %v", err)
						}
					}
				})
			}
			testbed.Eventually(t, "the zone to be dark", func() bool { return g.zone(t, "a").State == "dark" })
			n := l.ok.Load()
			testbed.Eventually(t, "service elsewhere", func() bool { return l.ok.Load() > n+200 })
			posts.Wait()
			l.stop()
			if n := l.other.Load(); name != "resets after the last byte" && n != 0 { // those are 502 while the retry budget is spent
				t.Errorf("%d of %d were neither served nor refused: %s", n, l.requests.Load(), *l.why.Load())
			}
			if n := origin.DuplicateEffects(one, two); n != 0 {
				t.Errorf("%d effects taken twice", n)
			}
		})
	}
}
