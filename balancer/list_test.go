package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A list that is known to have no running server refuses at once; one that has yet to come is waited for.
func TestKnownEmptyListRefusesAtOnce(t *testing.T) {
	draining := fleet(2)
	for i := range draining {
		draining[i].State = Draining
	}
	for name, c := range map[string]struct {
		u    EndpointUpdate
		want string
	}{
		"remembered, empty":    {EndpointUpdate{Kind: UpdateCached}, ""},
		"told, empty":          {EndpointUpdate{Kind: UpdateSnapshot}, "refuse"},
		"told, all draining":   {EndpointUpdate{Kind: UpdateSnapshot, Servers: draining}, "refuse"},
		"changes, none added":  {EndpointUpdate{Kind: UpdateDelta}, "refuse"},
		"refused is no news":   {EndpointUpdate{Kind: UpdateFailed}, ""},
		"told, one is running": {EndpointUpdate{Kind: UpdateSnapshot, Servers: fleet(1)}, "send"},
	} {
		h := &recorder{}
		b, err := New(settings(), 1, h)
		if err != nil {
			t.Fatal(err)
		}
		b.UpdateEndpoints(0, c.u)
		b.Request(ms, Request{ID: "r", Class: "once", TimeLeft: time.Second})
		got := ""
		if a := h.take(); len(a) > 0 {
			got = a[0].what
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

// What is held for a list that has yet to come is refused with the news that it is empty, and served by what comes next.
func TestHeldRequestsEndWithTheList(t *testing.T) {
	h := &recorder{}
	b, err := New(settings(), 1, h)
	if err != nil {
		t.Fatal(err)
	}
	b.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateCached})
	for i := range 3 {
		b.Request(ms, Request{ID: fmt.Sprint("r", i), Class: "once", TimeLeft: time.Second})
	}
	if a := h.take(); len(a) != 0 {
		t.Fatalf("%v before anything is known", a)
	}
	b.UpdateEndpoints(2*ms, EndpointUpdate{Kind: UpdateSnapshot})
	a := h.take()
	if len(a) != 3 || a[0] != (act{what: "refuse", id: "r0"}) || a[2].id != "r2" {
		t.Errorf("%v, want three refusals in order", a)
	}
	if len(b.requests.byID)+len(b.requests.unanswered) != 0 {
		t.Error("refused requests are kept")
	}
	b.UpdateEndpoints(3*ms, EndpointUpdate{Kind: UpdateSnapshot, Servers: fleet(2)})
	if ask(t, b, h, 4*ms, "later", "once") == "" {
		t.Error("the list came back and nothing is sent")
	}
}

// Whatever the news, the list, the lists of zones and the count of running servers agree with it.
func TestListsAgree(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b, _ := start(t, settings(), nil)
		want := map[string]Server{}
		for step := range 200 {
			u := EndpointUpdate{Kind: UpdateDelta}
			if rng.IntN(10) == 0 {
				u.Kind = UpdateSnapshot
				want = map[string]Server{}
			}
			for range rng.IntN(12) {
				s := Server{ID: fmt.Sprint(rng.IntN(30)), Zone: string(rune('a' + rng.IntN(4))), Weight: 1,
					State: State(rng.IntN(3)), Since: time.Duration(rng.IntN(2)) * ms}
				u.Servers = append(u.Servers, s)
				if delete(want, s.ID); s.State != Removed {
					want[s.ID] = s
				}
			}
			b.UpdateEndpoints(time.Duration(step)*ms, u)
			running, zoned := 0, 0
			for zone, l := range b.endpoints.byZone {
				zoned += len(l)
				if len(l) == 0 || !slices.IsSortedFunc(l, compareRank) {
					t.Fatalf("seed %d step %d: zone %s is empty or unsorted", seed, step, zone)
				}
				for _, s := range l {
					if s.Zone != zone || want[s.ID] != s.Server {
						t.Fatalf("seed %d step %d: %+v in zone %s, want %+v", seed, step, s.Server, zone, want[s.ID])
					}
					if s.State == Running {
						running++
					}
				}
			}
			if len(b.endpoints.ordered) != len(want) || len(b.endpoints.byID) != len(want) || zoned != len(want) || running != b.endpoints.running ||
				!slices.IsSortedFunc(b.endpoints.ordered, compareRank) {
				t.Fatalf("seed %d step %d: %d listed, %d by id, %d by zone, %d of %d running, want %d", seed, step,
					len(b.endpoints.ordered), len(b.endpoints.byID), zoned, b.endpoints.running, running, len(want))
			}
		}
	}
}

// An hour of zones, kinds and ids that are ever new leaves nothing behind.
func TestNamesThatAreEverNewAreForgotten(t *testing.T) {
	b, h := start(t, settings(), nil)
	for sec := range 3600 {
		now := time.Duration(sec+1) * time.Second
		l := make([]Server, 8)
		for i := range l {
			l[i] = Server{ID: fmt.Sprint(sec, i), Zone: fmt.Sprint("z", sec, i%4), Kind: fmt.Sprint("k", sec, i), Weight: 1}
		}
		b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateSnapshot, Servers: l})
		for i := range 4 {
			id := fmt.Sprint("r", sec, i)
			if ask(t, b, h, now, id, "once") != "" {
				end(b, now+10*ms, id, Served, 10*ms)
			}
		}
	}
	for what, n := range map[string]int{"servers": len(b.endpoints.byID), "list": len(b.endpoints.ordered), "byZone": len(b.endpoints.byZone),
		"kinds": len(b.latencies.byKind), "zones": len(b.zoneLoss), "places": len(b.endpoints.addedByZone), "requests": len(b.requests.byID)} {
		if n > 4*maxStaleNames {
			t.Errorf("%s holds %d entries after an hour", what, n)
		}
	}
}

// Of a long list a part is weighed, and that part goes round what cannot be used.
func TestLongListsFindWhoIsReady(t *testing.T) {
	l := oneZone(5000)
	for i := range l {
		if l[i].State = Draining; i == 4321 || i == 17 {
			l[i].State = Running
		}
	}
	b, h := start(t, settings(), l)
	for i := range 20 {
		id := fmt.Sprint("r", i)
		if got := ask(t, b, h, ms, id, "once"); got != l[4321].ID && got != l[17].ID {
			t.Fatalf("request %d went to %q, which is draining", i, got)
		}
		end(b, ms, id, Served, ms)
	}
	for i := range l {
		l[i].State = Running
	}
	b.UpdateEndpoints(2*ms, EndpointUpdate{Kind: UpdateSnapshot, Servers: l})
	ask(t, b, h, 3*ms, "all", "once")
	if len(b.subset.candidates) > 4*minCandidates {
		t.Errorf("%d of %d servers were weighed", len(b.subset.candidates), len(l))
	}
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
			l := fleet(n)
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

// BenchmarkDecision is a request with its outcome, by the length of the list.
func BenchmarkDecision(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, bal *Balancer, h *recorder, l []Server) {
		for i := range b.N {
			serveOne(bal, h, i)
		}
	})
}

// BenchmarkChange is one changed endpoint with a request behind it, by the length of the list.
func BenchmarkChange(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, bal *Balancer, h *recorder, l []Server) {
		for i := range b.N {
			s := l[i%len(l)]
			s.State = State(i / len(l) % 2)
			bal.UpdateEndpoints(time.Duration(i)*ms/10, EndpointUpdate{Kind: UpdateDelta, Servers: []Server{s}})
			serveOne(bal, h, i)
		}
	})
}

// However often a call for the list fails, it is asked for again, and soon.
func TestListIsAskedForHoweverOftenThatFails(t *testing.T) {
	s := settings()
	s.Polled, s.MaxPollInterval = true, 10*time.Second
	b, h := start(t, s, nil)
	for i := range 300 {
		at, ok := h.timers[pollTimer]
		if !ok || at-h.now > MaxPollInterval {
			t.Fatalf("call %d: due in %v, %v", i, at-h.now, ok)
		}
		h.now = at
		delete(h.timers, pollTimer)
		b.Timer(h.now, pollTimer)
		if a := h.take(); len(a) != 1 || a[0].what != "watch" {
			t.Fatalf("call %d: %v", i, a)
		}
		if i == 150 { // it worked once, and its watch broke
			b.UpdateEndpoints(h.now, EndpointUpdate{Kind: UpdateSnapshot, Servers: fleet(2)})
		}
		b.UpdateEndpoints(h.now, EndpointUpdate{Kind: UpdateFailed})
	}
}
