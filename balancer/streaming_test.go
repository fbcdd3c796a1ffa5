package balancer

import (
	"fmt"
	"testing"
)

// While an answer is being streamed, its attempt does not count as in flight and its server is not ejected. The latency objective
// applies to the start of the answer.
func TestStreamedAnswersAreNotInFlight(t *testing.T) {
	b, h := newTestBalancer(t, settings(), oneZone(4))
	now, rejected := 10*ms, 0
	for i := range 400 {
		now += 10 * ms
		h.now = now
		id := fmt.Sprint("r", i)
		b.Request(now, Request{ID: id, Class: "safe", TimeLeft: 1000 * ms})
		switch a := h.takeActions(); {
		case len(a) == 1 && a[0].kind == "reject":
			rejected++
			continue
		case len(a) != 1 || a[0].kind != "send":
			t.Fatalf("request %s: got actions %v, want a send", id, a)
		}
		if i%5 == 0 { // one answer in five starts after 5 ms and ends only after the loop
			b.Started(now+5*ms, id, 0)
			continue
		}
		b.Outcome(now+5*ms, Outcome{ID: id, Result: Served, Latency: 5 * ms, Final: true})
	}
	if rejected > 0 {
		t.Errorf("%d of 400 requests were rejected with idle servers, want 0", rejected)
	}
	for _, s := range b.endpoints.ordered {
		if s.inFlight != 0 || b.ejected(s, now) {
			t.Errorf("server %s has %d attempts in flight, ejected = %v; want 0, false", s.ID, s.inFlight, b.ejected(s, now))
		}
	}
	sum := b.overload.withinObjective.sum
	for i := 0; i < 400; i += 5 {
		b.Outcome(now+5*ms, Outcome{ID: fmt.Sprint("r", i), Result: Served, Latency: 5 * ms, Final: true})
	}
	if b.load.inFlight != 0 || len(b.requests.byID) != 0 || b.overload.withinObjective.sum < sum+79 {
		t.Errorf("at the end: %d in flight, %d requests, %v of 80 answers within the objective; want 0, 0, 80", b.load.inFlight, len(b.requests.byID), b.overload.withinObjective.sum-sum)
	}
}

// An attempt of a class with Stream set counts as in flight until its answer ends.
func TestStreamClassStaysInFlight(t *testing.T) {
	cfg := settings()
	cfg.Classes[0].Stream = true
	b, h := newTestBalancer(t, cfg, oneZone(1))
	b.Request(ms, Request{ID: "r", Class: "safe", TimeLeft: 1000 * ms})
	h.takeActions()
	b.Started(2*ms, "r", 0)
	if b.load.inFlight != 1 || b.endpoints.ordered[0].inFlight != 1 {
		t.Errorf("during the answer: %d in flight in total, %d at the server; want 1, 1", b.load.inFlight, b.endpoints.ordered[0].inFlight)
	}
	b.Outcome(900*ms, Outcome{ID: "r", Result: Served, Latency: ms, Final: true})
	if b.load.inFlight != 0 || b.endpoints.ordered[0].inFlight != 0 {
		t.Errorf("after the answer: %d in flight in total, %d at the server; want 0, 0", b.load.inFlight, b.endpoints.ordered[0].inFlight)
	}
}
