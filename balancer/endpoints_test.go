package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A restarted server starts without the observations of its previous process: neither the recent latency, which breaks ties, nor
// unanswered attempts count.
func TestRestartedServerStartsWithoutHistory(t *testing.T) {
	cfg := settings()
	cfg.WarmUpTime = 0
	b, h := newTestBalancer(t, cfg, oneZone(2))
	now := 10 * ms
	for i := range 40 {
		now += 10 * ms
		id, took := fmt.Sprint("r", i), 10*ms
		if sendRequest(t, b, h, now, id, "once") == "s0" {
			took = 60 * ms
		}
		endAttempt(b, now, id, Served, took)
	}
	for i := range 9 { // until an attempt at the old process is in flight
		if sendRequest(t, b, h, now, fmt.Sprint("extra", i), "once") == "s0" {
			break
		}
	}
	s := b.endpoints.byID["s0"]
	if now += 600 * ms; s.inFlight == 0 || !b.ejected(s, now) || s.recentLatency.count == 0 {
		t.Fatalf("old process: got %d in flight, ejected = %v, %v recent samples; want all nonzero", s.inFlight, b.ejected(s, now), s.recentLatency.count)
	}
	restarted := s.Server
	restarted.Since = now
	b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateDelta, Servers: []Server{restarted}})
	if b.ejected(s, now+ms) || s.recentLatency.count != 0 || s.latency.count != 0 {
		t.Errorf("new process: got ejected = %v, %v recent samples, %v samples; want false, 0, 0", b.ejected(s, now+ms), s.recentLatency.count, s.latency.count)
	}
}

// Requests are rejected immediately if the list is known to have no running server, and wait if the list is not known yet.
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
		if a := h.takeActions(); len(a) > 0 {
			got = a[0].kind
		}
		if got != c.want {
			t.Errorf("%s: first action is %q, want %q", name, got, c.want)
		}
	}
}

// Requests that wait for the list are rejected when an empty list is received. Later requests use the next list.
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
	if actions := h.takeActions(); len(actions) != 0 {
		t.Fatalf("got actions %v before the list is known, want none", actions)
	}
	b.UpdateEndpoints(2*ms, EndpointUpdate{Kind: UpdateSnapshot})
	actions := h.takeActions()
	if len(actions) != 3 || actions[0] != (action{kind: "reject", id: "r0"}) || actions[2].id != "r2" {
		t.Errorf("got actions %v, want rejections of r0, r1 and r2 in this order", actions)
	}
	if len(b.requests.byID)+len(b.requests.unanswered) != 0 {
		t.Error("rejected requests are retained, want none")
	}
	b.UpdateEndpoints(3*ms, EndpointUpdate{Kind: UpdateSnapshot, Servers: twoZones(2)})
	if sendRequest(t, b, h, 4*ms, "later", "once") == "" {
		t.Error("request after the second list was not sent")
	}
}

// After any sequence of updates, the ordered list, the index by ID, the index by zone and the count of running servers agree.
func TestEndpointIndexesAgree(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b, _ := newTestBalancer(t, settings(), nil)
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
			running, inZones := 0, 0
			for zone, servers := range b.endpoints.byZone {
				inZones += len(servers)
				if len(servers) == 0 || !slices.IsSortedFunc(servers, compareRank) {
					t.Fatalf("seed %d step %d: index of zone %s is empty or unsorted", seed, step, zone)
				}
				for _, s := range servers {
					if s.Zone != zone || want[s.ID] != s.Server {
						t.Fatalf("seed %d step %d: index of zone %s has %+v, want %+v", seed, step, zone, s.Server, want[s.ID])
					}
					if s.State == Running {
						running++
					}
				}
			}
			if len(b.endpoints.ordered) != len(want) || len(b.endpoints.byID) != len(want) || inZones != len(want) || running != b.endpoints.running ||
				!slices.IsSortedFunc(b.endpoints.ordered, compareRank) {
				t.Fatalf("seed %d step %d: got %d ordered, %d by ID, %d by zone, %d counted as running of %d; want %d sorted servers", seed, step,
					len(b.endpoints.ordered), len(b.endpoints.byID), inZones, b.endpoints.running, running, len(want))
			}
		}
	}
}

// Memory stays bounded while zones, kinds and IDs change every second for an hour.
func TestStaleNamesAreForgotten(t *testing.T) {
	b, h := newTestBalancer(t, settings(), nil)
	for second := range 3600 {
		now := time.Duration(second+1) * time.Second
		servers := make([]Server, 8)
		for i := range servers {
			servers[i] = Server{ID: fmt.Sprint(second, i), Zone: fmt.Sprint("z", second, i%4), Kind: fmt.Sprint("k", second, i), Weight: 1}
		}
		b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateSnapshot, Servers: servers})
		for i := range 4 {
			id := fmt.Sprint("r", second, i)
			if sendRequest(t, b, h, now, id, "once") != "" {
				endAttempt(b, now+10*ms, id, Served, 10*ms)
			}
		}
	}
	for collection, n := range map[string]int{"servers": len(b.endpoints.byID), "list": len(b.endpoints.ordered), "byZone": len(b.endpoints.byZone),
		"kinds": len(b.latencies.byKind), "zones": len(b.zoneLoss), "places": len(b.endpoints.addedByZone), "requests": len(b.requests.byID)} {
		if n > 4*maxStaleNames {
			t.Errorf("%s has %d entries after an hour, want at most %d", collection, n, 4*maxStaleNames)
		}
	}
}

func TestEndpointUpdates(t *testing.T) {
	cfg := settings()
	cfg.Proxies = 1                                                    // avoids rejections with a single server
	b, h := newTestBalancer(t, cfg, append(oneZone(3), oneZone(1)...)) // s0 is listed twice
	if len(b.endpoints.ordered) != 3 {
		t.Fatalf("got %d servers, want 3 without the duplicate", len(b.endpoints.ordered))
	}
	b.UpdateEndpoints(ms, EndpointUpdate{Kind: UpdateDelta, Servers: []Server{{ID: "s0", Zone: "za", State: Draining, Weight: 1}, {ID: "s1", State: Removed}}})
	for i := range 8 {
		if got := sendRequest(t, b, h, ms, fmt.Sprint("r", i), "once"); got != "s2" {
			t.Fatalf("request %d was sent to %q, want s2, the only ready server", i, got)
		}
	}
	b.UpdateEndpoints(2*ms, EndpointUpdate{Kind: UpdateSnapshot, Servers: []Server{{ID: "s9", Zone: "za", Weight: 1}}})
	if got := sendRequest(t, b, h, 2*ms, "x", "once"); got != "s9" || b.endpoints.byID["s9"].inFlight != 1 {
		t.Errorf("request was sent to %q after a snapshot with only s9, want s9 with one attempt in flight", got)
	}
}

func TestInvalidWeightsAreReplaced(t *testing.T) {
	servers := oneZone(3)
	servers[0].Weight, servers[1].Weight = 0, -4
	b, h := newTestBalancer(t, settings(), servers)
	used := map[string]bool{}
	for i := range 200 {
		id := fmt.Sprint("r", i)
		used[sendRequest(t, b, h, ms, id, "safe")] = true
		endAttempt(b, ms, id, Served, 10*ms)
	}
	if len(used) != 3 {
		t.Errorf("requests were sent to %v, want all 3 servers", used)
	}
}

// With an empty cached list, a request waits and is rejected before its client gives up.
func TestCachedEmptyListWaitsThenRejects(t *testing.T) {
	b, h := newTestBalancer(t, settings(), nil)
	if got := sendRequest(t, b, h, 0, "r", "once"); got != "" {
		t.Fatal("request was sent, want it to wait; server:", got)
	}
	for range 20 {
		at, ok := h.timers[1]
		if !ok {
			t.Fatal("request waits without a timer")
		}
		h.now = at
		delete(h.timers, 1)
		b.Timer(at, 1)
		if a := h.takeActions(); len(a) > 0 {
			if a[0].kind != "reject" || at >= time.Second {
				t.Errorf("got actions %v at %v, want a rejection before 1s", a, at)
			}
			return
		}
	}
	t.Error("request got no answer after 20 timers")
}

// BenchmarkChange measures an update of one endpoint followed by one request, for several lengths of the endpoint list.
func BenchmarkChange(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, bal *Balancer, h *recorder, servers []Server) {
		for i := range b.N {
			s := servers[i%len(servers)]
			s.State = State(i / len(servers) % 2)
			bal.UpdateEndpoints(time.Duration(i)*ms/10, EndpointUpdate{Kind: UpdateDelta, Servers: []Server{s}})
			serveOne(bal, h, i)
		}
	})
}
