package balancer

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// action is a recorded call of a Host method. The field at holds the expiresAt of Send or the retryAfter of Reject.
type action struct {
	kind, id, server string
	attempt          int
	at               time.Duration
}

// recorder is a Host that records its calls.
type recorder struct {
	now     time.Duration
	actions []action
	timers  map[uint64]time.Duration
}

func (r *recorder) add(a action) { r.actions = append(r.actions, a) }

func (r *recorder) Send(id, s string, at time.Duration) { r.add(action{"send", id, s, 0, at}) }

func (r *recorder) Reject(id string, retryAfter time.Duration) {
	r.add(action{kind: "reject", id: id, at: retryAfter})
}

func (r *recorder) Fail(id string) { r.add(action{kind: "fail", id: id}) }

func (r *recorder) Cancel(id string, attempt int) {
	r.add(action{kind: "cancel", id: id, attempt: attempt})
}

func (r *recorder) HealthCheck(s string) { r.add(action{kind: "health check", server: s}) }

func (r *recorder) CloseIdle(s string) { r.add(action{kind: "close", server: s}) }

func (r *recorder) Watch(bool) { r.add(action{kind: "watch"}) }

func (r *recorder) Fetch() { r.add(action{kind: "fetch"}) }

func (r *recorder) Log(string) {}

func (r *recorder) SetTimer(token uint64, after time.Duration) {
	if r.timers == nil {
		r.timers = map[uint64]time.Duration{}
	}
	r.timers[token] = r.now + max(after, 1)
}

// takeActions returns the actions since the last call of takeActions.
func (r *recorder) takeActions() []action {
	a := r.actions
	r.actions = nil
	return a
}

// settings returns the settings of most tests: two zones and one class of each effect.
func settings() Settings {
	return Settings{Zone: "za", Zones: []string{"za", "zb"}, Proxies: 2,
		Classes: []Class{
			{Name: "safe", LatencyObjective: 100 * ms, Deadline: 1000 * ms, Effect: Idempotent, PriorityWeight: 1},
			{Name: "keyed", LatencyObjective: 100 * ms, Deadline: 1000 * ms, Effect: IdempotentWithKey, Group: GroupCell, Window: 400 * ms, PriorityWeight: 1},
			{Name: "once", LatencyObjective: 100 * ms, Deadline: 1000 * ms, Effect: NonIdempotent, PriorityWeight: 5}},
		MaxAttempts: 4, ParallelAttempts: true, MayCancel: true, WarmUpTime: 8 * time.Second, WarmUpShare: 0.3,
		OverloadMultiple: 2.5, OverloadWindow: time.Second, DrainGrace: 500 * ms, Price: Prices{CrossZone: 0.05}}
}

// twoZones returns n servers that are alternately in the zones za and zb.
func twoZones(n int) []Server {
	var servers []Server
	for i := range n {
		servers = append(servers, Server{ID: fmt.Sprint("s", i), Zone: []string{"za", "zb"}[i%2], Kind: "k", Cell: i % 4, Weight: 1})
	}
	return servers
}

// oneZone returns n servers in the zone za.
func oneZone(n int) []Server {
	servers := twoZones(n)
	for i := range servers {
		servers[i].Zone = "za"
	}
	return servers
}

// newTestBalancer returns a Balancer with a cached endpoint list, and its Host.
func newTestBalancer(t *testing.T, cfg Settings, list []Server) (*Balancer, *recorder) {
	t.Helper()
	h := &recorder{}
	b, err := New(cfg, 7, h)
	if err != nil {
		t.Fatal(err)
	}
	b.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateCached, Servers: list})
	h.takeActions()
	return b, h
}

// sendRequest passes one request to the Balancer and returns the server that it is sent to, or an empty string if it is not sent.
func sendRequest(t *testing.T, b *Balancer, h *recorder, now time.Duration, id, class string) string {
	t.Helper()
	h.now = now
	b.Request(now, Request{ID: id, Class: class, TimeLeft: time.Second})
	for _, a := range h.takeActions() {
		if a.kind == "send" {
			return a.server
		}
	}
	return ""
}

// endAttempt ends the first attempt of a request. The result Served is the final answer.
func endAttempt(b *Balancer, now time.Duration, id string, res Result, took time.Duration) {
	b.Outcome(now, Outcome{ID: id, Result: res, Latency: took, Final: res == Served})
}

func TestNewRejectsInvalidSettings(t *testing.T) {
	for field, change := range map[string]func(*Settings){
		"Classes:":                 func(s *Settings) { s.Classes = nil },
		`Classes["safe"].Deadline`: func(s *Settings) { s.Classes[0].Deadline = 0 },
		`Classes["safe"].Effect`:   func(s *Settings) { s.Classes[0].Effect = 9 },
		`Classes["keyed"].Group`:   func(s *Settings) { s.Classes[1].Group = 9 },
	} {
		s := settings()
		change(&s)
		if _, err := New(s, 1, &recorder{}); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("New: got error %v, want one for %s", err, field)
		}
	}
}

// Extreme but valid endpoint lists work, and only ready servers get requests.
func TestExtremeEndpointLists(t *testing.T) {
	each := func(n int, f func(*Server)) []Server {
		servers := twoZones(n)
		for i := range servers {
			f(&servers[i])
		}
		return servers
	}
	for name, c := range map[string]struct {
		list    []Server
		proxies int
		served  bool
	}{
		"one server":           {twoZones(1), 2, true},
		"all in another zone":  {each(5, func(s *Server) { s.Zone = "zb" }), 2, true},
		"all warming up":       {each(9, func(s *Server) { s.Since = time.Second }), 2, true},
		"all draining":         {each(9, func(s *Server) { s.State = Draining }), 2, false},
		"ten thousand servers": {twoZones(10000), 2, true},
		"a thousand proxies":   {twoZones(20), 1000, true},
	} {
		cfg := settings()
		cfg.Proxies = c.proxies
		b, h := newTestBalancer(t, cfg, c.list)
		for i := range 100 {
			now := time.Second + time.Duration(i)*10*ms
			id := fmt.Sprint("r", i)
			got := sendRequest(t, b, h, now, id, "once")
			if (got != "") != c.served {
				t.Fatalf("%s: request %d was sent to %q, want sent = %v", name, i, got, c.served)
			}
			if c.served {
				endAttempt(b, now+5*ms, id, Served, 5*ms)
			}
		}
		if len(b.requests.byID) != 0 && c.served {
			t.Errorf("%s: %d requests are retained, want 0", name, len(b.requests.byID))
		}
	}
}

// The same settings, seed and events produce the same actions.
func TestSameEventsGiveSameActions(t *testing.T) {
	run := func() string {
		b, h := newTestBalancer(t, settings(), twoZones(30))
		for i := range 500 {
			now := time.Duration(i) * 2 * ms
			id := fmt.Sprint("r", i)
			h.now = now
			b.Request(now, Request{ID: id, Class: "safe", TimeLeft: time.Second})
			if i > 5 {
				b.Outcome(now, Outcome{ID: fmt.Sprint("r", i-5), Result: Result(i % 3), Latency: 10 * ms, Final: i%3 == 0})
			}
		}
		return fmt.Sprint(h.actions)
	}
	first, second := run(), run()
	if first != second {
		t.Error("two runs with the same settings, seed and events gave different actions")
	}
}

// The names of zones, kinds, classes, tenants and servers do not affect decisions.
func TestNamesDoNotAffectDecisions(t *testing.T) {
	run := func(prefix string) (log []action) {
		cfg := settings()
		cfg.Zone = prefix + cfg.Zone
		cfg.Zones = []string{prefix + "za", prefix + "zb"}
		for i := range cfg.Classes {
			cfg.Classes[i].Name = prefix + cfg.Classes[i].Name
		}
		cfg.Tenants = []Tenant{{Name: prefix + "t", Rate: 40}, {Name: prefix + "u", Rate: 20}}
		servers := twoZones(8)
		for i := range servers {
			servers[i].ID, servers[i].Zone, servers[i].Kind = prefix+servers[i].ID, prefix+servers[i].Zone, prefix+[]string{"k", "l"}[i%3%2]
		}
		b, h := newTestBalancer(t, cfg, servers)
		for i := range 800 {
			now := time.Duration(i) * 3 * ms
			h.now = now
			id := fmt.Sprint("r", i)
			b.Request(now, Request{ID: id, Class: cfg.Classes[i%3].Name, Tenant: cfg.Tenants[i%2].Name, TimeLeft: time.Second})
			if i >= 10 {
				res := Result(i * 7 % 11 % 8)
				b.Outcome(now, Outcome{ID: fmt.Sprint("r", i-10), Result: res, Latency: 30 * ms, Final: res == Served})
			}
			for _, a := range h.takeActions() {
				if a.server != "" {
					a.server = a.server[len(prefix):]
				}
				log = append(log, a)
			}
		}
		return log
	}
	one, two := run(""), run("zz-")
	if fmt.Sprint(one) != fmt.Sprint(two) {
		t.Error("other names gave different actions")
	}
	if len(one) < 800 {
		t.Errorf("got %d actions, want at least 800 for a meaningful comparison", len(one))
	}
}

// BenchmarkDecision measures one request with its outcome, for several lengths of the endpoint list.
func BenchmarkDecision(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, bal *Balancer, h *recorder, servers []Server) {
		for i := range b.N {
			serveOne(bal, h, i)
		}
	})
}

// benchmarkSizes runs a benchmark with endpoint lists of several lengths.
func benchmarkSizes(b *testing.B, run func(b *testing.B, bal *Balancer, h *recorder, servers []Server)) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := &recorder{}
			cfg := settings()
			cfg.Proxies = 1
			bal, err := New(cfg, 1, h)
			if err != nil {
				b.Fatal(err)
			}
			servers := twoZones(n)
			bal.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateSnapshot, Servers: servers})
			b.ReportAllocs()
			b.ResetTimer()
			run(b, bal, h, servers)
		})
	}
}

// serveOne passes request i and its outcome to the Balancer.
func serveOne(bal *Balancer, h *recorder, i int) {
	now := time.Duration(i) * ms / 10
	bal.Request(now, Request{ID: "r", Class: "once", TimeLeft: time.Second})
	bal.Outcome(now, Outcome{ID: "r", Result: Served, Latency: 10 * ms, Final: true})
	h.actions = h.actions[:0]
}
