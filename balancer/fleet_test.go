package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Where the list must be asked for: subscribe soon after the start but not all at once, pause longer after each
// refusal, and never leave it unasked for as long as the settings allow.
func TestFollowsTheList(t *testing.T) {
	set := settings()
	set.Polled, set.MaxPollInterval = true, 10*time.Second
	starts := map[time.Duration]bool{}
	for seed := range uint64(50) {
		h := &recorder{}
		b, err := New(set, seed, h)
		if err != nil {
			t.Fatal(err)
		}
		b.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateCached, Servers: fleet(4)})
		now, longest := time.Duration(0), time.Duration(0)
		for range 30 {
			at, ok := h.timers[pollTimer]
			if !ok {
				t.Fatal("no call is planned")
			}
			if now == 0 {
				starts[at] = true
			}
			longest = max(longest, at-now)
			now, h.now = at, at
			delete(h.timers, pollTimer)
			b.Timer(now, pollTimer)
			if a := h.take(); len(a) != 1 || a[0].what != "watch" {
				t.Fatalf("%v, want one call", a)
			}
			b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateFailed})
			b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateFailed}) // a second refusal plans no second call
		}
		if longest >= set.MaxPollInterval {
			t.Errorf("seed %d: unasked for %v", seed, longest)
		}
		delete(h.timers, pollTimer)
		b.Timer(now, pollTimer)
		b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateDelta})
		if b.polls.timerSet || b.polls.pending || len(h.timers) != 0 {
			t.Errorf("seed %d: after an answer a call is due (%v, %v), %d timers", seed, b.polls.timerSet, b.polls.pending, len(h.timers))
		}
	}
	if len(starts) < 45 {
		t.Errorf("50 proxies began at only %d different times", len(starts))
	}
}

// Legal but extreme fleets are decided, and only ready servers are used.
func TestExtremeFleets(t *testing.T) {
	each := func(n int, f func(*Server)) []Server {
		l := fleet(n)
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
		"one server":           {fleet(1), 2, true},
		"all in another zone":  {each(5, func(s *Server) { s.Zone = "zb" }), 2, true},
		"all cold":             {each(9, func(s *Server) { s.Since = time.Second }), 2, true},
		"all draining":         {each(9, func(s *Server) { s.State = Draining }), 2, false},
		"ten thousand servers": {fleet(10000), 2, true},
		"a thousand proxies":   {fleet(20), 1000, true},
	} {
		set := settings()
		set.Proxies = c.proxies
		b, h := start(t, set, c.list)
		for i := range 100 {
			now := time.Second + time.Duration(i)*10*ms
			id := fmt.Sprint("r", i)
			got := ask(t, b, h, now, id, "once")
			if (got != "") != c.served {
				t.Fatalf("%s: request %d was sent to %q", name, i, got)
			}
			if c.served {
				end(b, now+5*ms, id, Served, 5*ms)
			}
		}
		if len(b.requests.byID) != 0 && c.served {
			t.Errorf("%s: %d requests are still held", name, len(b.requests.byID))
		}
	}
}

// The same settings, seed and events give the same actions.
func TestSameEventsSameActions(t *testing.T) {
	run := func() string {
		b, h := start(t, settings(), fleet(30))
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

// Zones: all stays at home while home does well, and moves as home gets late.
func TestSpillFollowsLoss(t *testing.T) {
	b, h := start(t, settings(), fleet(8))
	share := func(from int, home time.Duration) float64 {
		away := 0
		for i := range 600 {
			now := time.Duration(from+i) * 20 * ms
			id := fmt.Sprint("r", from+i)
			s := ask(t, b, h, now, id, "safe")
			if s == "" {
				continue
			}
			took := home
			if b.endpoints.byID[s].Zone != "za" {
				away, took = away+1, 20*ms
			}
			end(b, now+took, id, Served, took)
		}
		return float64(away) / 600
	}
	if calm := share(0, 10*ms); calm > 0.1 {
		t.Errorf("home is quick, yet %.2f go elsewhere", calm)
	}
	if late := share(600, 90*ms); late < 0.3 {
		t.Errorf("home is nearly late, yet only %.2f go elsewhere", late)
	}
}

// A server that has started anew is judged by nothing that its old process did: neither by its latency of late,
// which settles ties, nor by what it leaves unanswered.
func TestRestartForgets(t *testing.T) {
	set := settings()
	set.WarmUpTime = 0
	b, h := start(t, set, oneZone(2))
	now := 10 * ms
	for i := range 40 {
		now += 10 * ms
		id, took := fmt.Sprint("r", i), 10*ms
		if ask(t, b, h, now, id, "once") == "s0" {
			took = 60 * ms
		}
		end(b, now, id, Served, took)
	}
	for i := range 9 { // until the old process holds one
		if ask(t, b, h, now, fmt.Sprint("held", i), "once") == "s0" {
			break
		}
	}
	s := b.endpoints.byID["s0"]
	if now += 600 * ms; s.inFlight == 0 || !b.ejected(s, now) || s.recentLatency.count == 0 {
		t.Fatalf("the old process: %d in flight, out %v, %v answers of late", s.inFlight, b.ejected(s, now), s.recentLatency.count)
	}
	again := s.Server
	again.Since = now
	b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateDelta, Servers: []Server{again}})
	if b.ejected(s, now+ms) || s.recentLatency.count != 0 || s.latency.count != 0 {
		t.Errorf("the new process: out %v, %v answers of late, %v in all", b.ejected(s, now+ms), s.recentLatency.count, s.latency.count)
	}
}
