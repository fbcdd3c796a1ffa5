package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A restarted server is not judged by its former process: neither by its recent latency, which settles ties, nor by what it leaves
// unanswered.
func TestRestartedServerStartsWithoutHistory(t *testing.T) {
	set := settings()
	set.WarmUpTime = 0
	b, h := start(t, set, oneZone(2))
	now := 10 * ms
	for i := range 40 {
		now += 10 * ms
		id, took := fmt.Sprint("r", i), 10*ms
		if sendRequest(t, b, h, now, id, "once") == "s0" {
			took = 60 * ms
		}
		endAttempt(b, now, id, Served, took)
	}
	for i := range 9 { // until the old process has one in flight
		if sendRequest(t, b, h, now, fmt.Sprint("extra", i), "once") == "s0" {
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

// A list that is known to have no running server rejects at once; one that has yet to come is waited for.
func TestEmptyListRejectsAtOnce(t *testing.T) {
	draining := twoZones(2)
	for i := range draining {
		draining[i].State = Draining
	}
	for name, c := range map[string]struct {
		u    EndpointUpdate
		want string
	}{
		"cached, empty":         {EndpointUpdate{Kind: UpdateCached}, ""},
		"known, empty":          {EndpointUpdate{Kind: UpdateSnapshot}, "reject"},
		"known, all draining":   {EndpointUpdate{Kind: UpdateSnapshot, Servers: draining}, "reject"},
		"delta without servers": {EndpointUpdate{Kind: UpdateDelta}, "reject"},
		"failed update":         {EndpointUpdate{Kind: UpdateFailed}, ""},
		"known, one is running": {EndpointUpdate{Kind: UpdateSnapshot, Servers: twoZones(1)}, "send"},
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

// Requests that wait for the list are rejected when it comes and is empty, and later ones are served by the next list.
func TestWaitingRequestsAreRejectedWithEmptyList(t *testing.T) {
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
	if len(a) != 3 || a[0] != (action{what: "reject", id: "r0"}) || a[2].id != "r2" {
		t.Errorf("%v, want three rejections in order", a)
	}
	if len(b.requests.byID)+len(b.requests.unanswered) != 0 {
		t.Error("rejected requests are retained")
	}
	b.UpdateEndpoints(3*ms, EndpointUpdate{Kind: UpdateSnapshot, Servers: twoZones(2)})
	if sendRequest(t, b, h, 4*ms, "later", "once") == "" {
		t.Error("the list came back and nothing is sent")
	}
}

// Whatever the updates, the list, the lists of zones and the count of running servers agree.
func TestEndpointIndexesAgree(t *testing.T) {
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

// An hour of zones, kinds and IDs that always change leaves nothing behind.
func TestStaleNamesAreForgotten(t *testing.T) {
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
			if sendRequest(t, b, h, now, id, "once") != "" {
				endAttempt(b, now+10*ms, id, Served, 10*ms)
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

func TestEndpointUpdates(t *testing.T) {
	set := settings()
	set.Proxies = 1                                          // so that nothing is rejected at one server
	b, h := start(t, set, append(oneZone(3), oneZone(1)...)) // s0 twice
	if len(b.endpoints.ordered) != 3 {
		t.Fatalf("%d servers, want 3: the same one listed twice counts once", len(b.endpoints.ordered))
	}
	b.UpdateEndpoints(ms, EndpointUpdate{Kind: UpdateDelta, Servers: []Server{{ID: "s0", Zone: "za", State: Draining, Weight: 1}, {ID: "s1", State: Removed}}})
	for i := range 8 {
		if got := sendRequest(t, b, h, ms, fmt.Sprint("r", i), "once"); got != "s2" {
			t.Fatalf("request %d sent to %q, only s2 is ready", i, got)
		}
	}
	b.UpdateEndpoints(2*ms, EndpointUpdate{Kind: UpdateSnapshot, Servers: []Server{{ID: "s9", Zone: "za", Weight: 1}}})
	if got := sendRequest(t, b, h, 2*ms, "x", "once"); got != "s9" || b.endpoints.byID["s9"].inFlight != 1 {
		t.Errorf("sent to %q after a snapshot that names s9 only", got)
	}
}

func TestInvalidWeightsAreReplaced(t *testing.T) {
	l := oneZone(3)
	l[0].Weight, l[1].Weight = 0, -4
	b, h := start(t, settings(), l)
	seen := map[string]bool{}
	for i := range 200 {
		id := fmt.Sprint("r", i)
		seen[sendRequest(t, b, h, ms, id, "safe")] = true
		endAttempt(b, ms, id, Served, 10*ms)
	}
	if len(seen) != 3 {
		t.Errorf("only %v were used", seen)
	}
}

// A cached list that is empty has a request wait, then rejects it while the client can still use the answer.
func TestCachedEmptyListWaitsThenRejects(t *testing.T) {
	b, h := start(t, settings(), nil)
	if got := sendRequest(t, b, h, 0, "r", "once"); got != "" {
		t.Fatal("sent to", got)
	}
	for range 20 {
		at, ok := h.timers[1]
		if !ok {
			t.Fatal("waits without a timer")
		}
		h.now = at
		delete(h.timers, 1)
		b.Timer(at, 1)
		if a := h.take(); len(a) > 0 {
			if a[0].what != "reject" || at >= time.Second {
				t.Errorf("%v at %v", a, at)
			}
			return
		}
	}
	t.Error("never ended")
}

// BenchmarkChange is one changed endpoint with a request after it, by the length of the list.
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
