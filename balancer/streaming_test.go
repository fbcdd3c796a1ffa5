package balancer

import (
	"fmt"
	"testing"
)

// A streamed answer is not in flight while it is sent, is timely by its first bytes, and leaves its server in the draws.
func TestStreamedAnswersAreNotInFlight(t *testing.T) {
	b, h := start(t, settings(), oneZone(4))
	now, rejected := 10*ms, 0
	for i := range 400 {
		now += 10 * ms
		h.now = now
		id := fmt.Sprint("r", i)
		b.Request(now, Request{ID: id, Class: "safe", TimeLeft: 1000 * ms})
		switch a := h.take(); {
		case len(a) == 1 && a[0].what == "reject":
			rejected++
			continue
		case len(a) != 1 || a[0].what != "send":
			t.Fatalf("%s: %v", id, a)
		}
		if i%5 == 0 { // one in five has begun after 5 ms and is never done in this test
			b.Started(now+5*ms, id, 0)
			continue
		}
		b.Outcome(now+5*ms, Outcome{ID: id, Result: Served, Latency: 5 * ms, Final: true})
	}
	if rejected > 0 {
		t.Errorf("%d of 400 were rejected by idle servers", rejected)
	}
	for _, s := range b.endpoints.ordered {
		if s.inFlight != 0 || b.ejected(s, now) {
			t.Errorf("%s: %d in flight, ejected %v", s.ID, s.inFlight, b.ejected(s, now))
		}
	}
	sum := b.overload.timely.sum
	for i := 0; i < 400; i += 5 {
		b.Outcome(now+5*ms, Outcome{ID: fmt.Sprint("r", i), Result: Served, Latency: 5 * ms, Final: true})
	}
	if b.load.inFlight != 0 || len(b.requests.byID) != 0 || b.overload.timely.sum < sum+79 {
		t.Errorf("%d out, %d requests, %v timely of 80", b.load.inFlight, len(b.requests.byID), b.overload.timely.sum-sum)
	}
}

// An answer of a class that streams is in flight for as long as it lasts.
func TestStreamClassStaysInFlight(t *testing.T) {
	set := settings()
	set.Classes[0].Stream = true
	b, h := start(t, set, oneZone(1))
	b.Request(ms, Request{ID: "r", Class: "safe", TimeLeft: 1000 * ms})
	h.take()
	b.Started(2*ms, "r", 0)
	if b.load.inFlight != 1 || b.endpoints.ordered[0].inFlight != 1 {
		t.Errorf("%d out, %d in flight", b.load.inFlight, b.endpoints.ordered[0].inFlight)
	}
	b.Outcome(900*ms, Outcome{ID: "r", Result: Served, Latency: ms, Final: true})
	if b.load.inFlight != 0 || b.endpoints.ordered[0].inFlight != 0 {
		t.Errorf("after it: %d out, %d in flight", b.load.inFlight, b.endpoints.ordered[0].inFlight)
	}
}
