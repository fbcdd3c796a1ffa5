package balancer

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// action is a call of a Host method.
type action struct {
	what, id, server string
	n                int
	at               time.Duration
}

// recorder is a Host that records its calls.
type recorder struct {
	now    time.Duration
	acts   []action
	timers map[uint64]time.Duration
}

func (r *recorder) add(a action) { r.acts = append(r.acts, a) }

func (r *recorder) Send(id, s string, at time.Duration) { r.add(action{"send", id, s, 0, at}) }

func (r *recorder) Reject(id string, d time.Duration) { r.add(action{what: "reject", id: id, at: d}) }

func (r *recorder) Fail(id string) { r.add(action{what: "fail", id: id}) }

func (r *recorder) Cancel(id string, n int) { r.add(action{what: "cancel", id: id, n: n}) }

func (r *recorder) HealthCheck(s string) { r.add(action{what: "health check", server: s}) }

func (r *recorder) CloseIdle(s string) { r.add(action{what: "close", server: s}) }

func (r *recorder) Watch(bool) { r.add(action{what: "watch"}) }

func (r *recorder) Fetch() { r.add(action{what: "fetch"}) }

func (r *recorder) Log(string) {}

func (r *recorder) SetTimer(token uint64, d time.Duration) {
	if r.timers == nil {
		r.timers = map[uint64]time.Duration{}
	}
	r.timers[token] = r.now + max(d, 1)
}

// take returns the actions since the last call.
func (r *recorder) take() []action {
	a := r.acts
	r.acts = nil
	return a
}

// settings are those of most tests: two zones, and a class of each effect.
func settings() Settings {
	return Settings{Zone: "za", Zones: []string{"za", "zb"}, Proxies: 2,
		Classes: []Class{
			{Name: "safe", LatencyObjective: 100 * ms, Deadline: 1000 * ms, Effect: Idempotent, PriorityWeight: 1},
			{Name: "keyed", LatencyObjective: 100 * ms, Deadline: 1000 * ms, Effect: IdempotentWithKey, Group: GroupCell, Window: 400 * ms, PriorityWeight: 1},
			{Name: "once", LatencyObjective: 100 * ms, Deadline: 1000 * ms, Effect: NonIdempotent, PriorityWeight: 5}},
		MaxAttempts: 4, ParallelAttempts: true, MayCancel: true, WarmUpTime: 8 * time.Second, WarmUpShare: 0.3,
		OverloadMultiple: 2.5, OverloadWindow: time.Second, DrainGrace: 500 * ms, Price: Prices{CrossZone: 0.05}}
}

// twoZones returns n servers, alternately in the zones za and zb.
func twoZones(n int) []Server {
	var l []Server
	for i := range n {
		l = append(l, Server{ID: fmt.Sprint("s", i), Zone: []string{"za", "zb"}[i%2], Kind: "k", Cell: i % 4, Weight: 1})
	}
	return l
}

// oneZone returns n servers in the zone za.
func oneZone(n int) []Server {
	l := twoZones(n)
	for i := range l {
		l[i].Zone = "za"
	}
	return l
}

// start returns a Balancer that knows a cached list, and its Host.
func start(t *testing.T, set Settings, list []Server) (*Balancer, *recorder) {
	t.Helper()
	h := &recorder{}
	b, err := New(set, 7, h)
	if err != nil {
		t.Fatal(err)
	}
	b.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateCached, Servers: list})
	h.take()
	return b, h
}

// sendRequest sends one request and returns the server it went to; empty: none.
func sendRequest(t *testing.T, b *Balancer, h *recorder, now time.Duration, id, class string) string {
	t.Helper()
	h.now = now
	b.Request(now, Request{ID: id, Class: class, TimeLeft: time.Second})
	for _, a := range h.take() {
		if a.what == "send" {
			return a.server
		}
	}
	return ""
}

// endAttempt ends the first attempt of a request. It is the final answer if it was served.
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
			t.Errorf("%s: New gave %v", field, err)
		}
	}
}

// Valid but extreme lists are decided, and only ready servers are used.
func TestExtremeEndpointLists(t *testing.T) {
	each := func(n int, f func(*Server)) []Server {
		l := twoZones(n)
		for i := range l {
			f(&l[i])
		}
		return l
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
		set := settings()
		set.Proxies = c.proxies
		b, h := start(t, set, c.list)
		for i := range 100 {
			now := time.Second + time.Duration(i)*10*ms
			id := fmt.Sprint("r", i)
			got := sendRequest(t, b, h, now, id, "once")
			if (got != "") != c.served {
				t.Fatalf("%s: request %d was sent to %q", name, i, got)
			}
			if c.served {
				endAttempt(b, now+5*ms, id, Served, 5*ms)
			}
		}
		if len(b.requests.byID) != 0 && c.served {
			t.Errorf("%s: %d requests are retained", name, len(b.requests.byID))
		}
	}
}

// The same settings, seed and events give the same actions.
func TestSameEventsGiveSameActions(t *testing.T) {
	run := func() string {
		b, h := start(t, settings(), twoZones(30))
		for i := range 500 {
			now := time.Duration(i) * 2 * ms
			id := fmt.Sprint("r", i)
			h.now = now
			b.Request(now, Request{ID: id, Class: "safe", TimeLeft: time.Second})
			if i > 5 {
				b.Outcome(now, Outcome{ID: fmt.Sprint("r", i-5), Result: Result(i % 3), Latency: 10 * ms, Final: i%3 == 0})
			}
		}
		return fmt.Sprint(h.acts)
	}
	first, second := run(), run()
	if first != second {
		t.Error("two runs differ")
	}
}

// The names of zones, kinds, classes, tenants and servers have no effect.
func TestNamesDoNotAffectDecisions(t *testing.T) {
	run := func(p string) (log []action) {
		set := settings()
		set.Zone = p + set.Zone
		set.Zones = []string{p + "za", p + "zb"}
		for i := range set.Classes {
			set.Classes[i].Name = p + set.Classes[i].Name
		}
		set.Tenants = []Tenant{{Name: p + "t", Rate: 40}, {Name: p + "u", Rate: 20}}
		l := twoZones(8)
		for i := range l {
			l[i].ID, l[i].Zone, l[i].Kind = p+l[i].ID, p+l[i].Zone, p+[]string{"k", "l"}[i%3%2]
		}
		b, h := start(t, set, l)
		for i := range 800 {
			now := time.Duration(i) * 3 * ms
			h.now = now
			id := fmt.Sprint("r", i)
			b.Request(now, Request{ID: id, Class: set.Classes[i%3].Name, Tenant: set.Tenants[i%2].Name, TimeLeft: time.Second})
			if i >= 10 {
				res := Result(i * 7 % 11 % 8)
				b.Outcome(now, Outcome{ID: fmt.Sprint("r", i-10), Result: res, Latency: 30 * ms, Final: res == Served})
			}
			for _, a := range h.take() {
				if a.server != "" {
					a.server = a.server[len(p):]
				}
				log = append(log, a)
			}
		}
		return log
	}
	one, two := run(""), run("zz-")
	if fmt.Sprint(one) != fmt.Sprint(two) {
		t.Error("renaming changed the actions")
	}
	if len(one) < 800 {
		t.Errorf("only %d actions: the run shows nothing", len(one))
	}
}

// BenchmarkDecision is a request with its outcome, by the length of the list.
func BenchmarkDecision(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, bal *Balancer, h *recorder, l []Server) {
		for i := range b.N {
			serveOne(bal, h, i)
		}
	})
}

func benchmarkSizes(b *testing.B, run func(b *testing.B, bal *Balancer, h *recorder, l []Server)) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := &recorder{}
			set := settings()
			set.Proxies = 1
			bal, err := New(set, 1, h)
			if err != nil {
				b.Fatal(err)
			}
			l := twoZones(n)
			bal.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateSnapshot, Servers: l})
			b.ReportAllocs()
			b.ResetTimer()
			run(b, bal, h, l)
		})
	}
}

func serveOne(bal *Balancer, h *recorder, i int) {
	now := time.Duration(i) * ms / 10
	bal.Request(now, Request{ID: "r", Class: "once", TimeLeft: time.Second})
	bal.Outcome(now, Outcome{ID: "r", Result: Served, Latency: 10 * ms, Final: true})
	h.acts = h.acts[:0]
}
