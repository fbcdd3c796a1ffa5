package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A server that answers with a Retry-After gets no requests for that time, as long as others serve.
func TestServerRetryAfterIsHonoured(t *testing.T) {
	set := settings()
	b, h := start(t, set, oneZone(2))
	b.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateSnapshot, Servers: oneZone(2)})
	first := sendRequest(t, b, h, 0, "a", "safe")
	b.Outcome(ms, Outcome{ID: "a", Result: Rejected, Latency: ms, RetryAfter: 5 * time.Second})
	h.take()
	b.Outcome(2*ms, Outcome{ID: "a", Attempt: 1, Result: Served, Latency: ms, Final: true})
	for i := range 40 {
		now := time.Duration(i+1) * 100 * ms
		id := fmt.Sprint("r", i)
		if to := sendRequest(t, b, h, now, id, "once"); to == first {
			t.Fatalf("%s is sent a request %v after its Retry-After of 5 s", to, now)
		}
		endAttempt(b, now+ms, id, Served, ms)
	}
	back := false
	for i := range 4 { // the other one still has its attempts in flight
		back = back || sendRequest(t, b, h, 5100*ms+time.Duration(i)*ms, fmt.Sprint("s", i), "once") == first
	}
	if !back {
		t.Error("it is never sent a request again")
	}
}

// An ejected server that serves an attempt which it got for want of others returns at once. An attempt from before its ejection
// has no such effect.
func TestEjectedServerReturnsAfterServing(t *testing.T) {
	set := settings()
	set.Localities = &fixedPicker{at: Locality{Zone: "za"}}
	b, h := start(t, set, oneZone(1))
	b.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateSnapshot, Servers: oneZone(1)})
	old := sendRequest(t, b, h, 0, "old", "once")
	now := ms
	for i := range 4 {
		id := fmt.Sprint("f", i)
		sendRequest(t, b, h, now, id, "once")
		endAttempt(b, now+ms, id, NotConnected, ms)
		now += 10 * ms
	}
	s := b.endpoints.byID[old]
	if s.outlier.ejectedUntil <= now {
		t.Fatalf("ejected until %v at %v", s.outlier.ejectedUntil, now)
	}
	endAttempt(b, now, "old", Served, now)
	if s.outlier.ejectedUntil <= now {
		t.Error("an answer to an attempt from before its ejection ends the ejection")
	}
	id := "r" // some are rejected for the overload estimate
	for sendRequest(t, b, h, now+ms, id, "once") == "" {
		if id += "!"; len(id) > 100 {
			t.Fatal("no attempt")
		}
	}
	if endAttempt(b, now+2*ms, id, Served, ms); s.outlier.ejectedUntil > now {
		t.Errorf("it served and is ejected until %v", s.outlier.ejectedUntil)
	}
}

// A server that fails at once has few in flight and would win its pairs.
func TestFailingServerIsEjected(t *testing.T) {
	b, h := start(t, settings(), oneZone(6))
	bad := 0
	for i := range 400 {
		id, now := fmt.Sprint("r", i), time.Duration(i)*5*ms
		if sendRequest(t, b, h, now, id, "once") == "s3" {
			bad++
			endAttempt(b, now+ms, id, ConnectionLost, ms)
		} else {
			endAttempt(b, now+ms, id, Served, 10*ms)
		}
	}
	if bad > 20 {
		t.Errorf("the failing server got %d of 400", bad)
	}
}

// An attempt that was not sent shows neither that its server fails nor that it answers.
func TestNotSentLeavesServerState(t *testing.T) {
	b, h := start(t, settings(), oneZone(1))
	s := b.endpoints.ordered[0]
	for i := range 2 {
		id := fmt.Sprint("r", i)
		sendRequest(t, b, h, ms, id, "safe")
		endAttempt(b, 9*ms, id, NotSent, 0)
		if b.ejected(s, 9*ms) || s.outlier.consecutiveFailures != 0 || s.recentLatency.count != 0 {
			t.Fatalf("ejected after %d that were not sent", i+1)
		}
	}
	b.overload.timely = decayingMean{} // not what is tested here
	if sendRequest(t, b, h, 10*ms, "silent", "safe") == "" || sendRequest(t, b, h, 20*ms, "unsent", "safe") == "" {
		t.Fatal("rejected")
	}
	if endAttempt(b, 30*ms, "unsent", NotSent, 0); s.silentSince != 10*ms {
		t.Errorf("silent since %v", s.silentSince)
	}
}

// A server that rejects one class is ejected for that class alone, and is tried again.
func TestServerIsEjectedForRejectedClass(t *testing.T) {
	set := settings()
	set.Proxies = 1
	b, h := start(t, set, oneZone(4))
	n, attempts := map[string]int{}, map[string]int{}
	play := func(from, to int, rejects bool) {
		clear(n)
		for i := from; i < to; i++ {
			now, class := time.Duration(i)*5*ms, []string{"safe", "once"}[i%2]
			id, old := fmt.Sprint("r", i), fmt.Sprint("r", i-8) // eight are in flight at any time
			h.now = now
			if k, ok := attempts[old]; ok {
				b.Outcome(now, Outcome{ID: old, Attempt: k, Result: Served, Latency: 40 * ms, Final: true})
			}
			b.Request(now, Request{ID: id, Class: class, TimeLeft: time.Second})
			for k := 0; ; k++ {
				a := h.take()
				if len(a) != 1 || a[0].what != "send" {
					break
				}
				attempts[id] = k
				if n[class+a[0].server]++; rejects && class == "once" && a[0].server == "s3" {
					delete(attempts, id)
					b.Outcome(now, Outcome{ID: id, Attempt: k, Result: Rejected, Latency: ms})
				}
			}
		}
	}
	play(0, 2000, true)
	if once, safe := n["onces3"], n["safes3"]; once > 60 || safe < 100 {
		t.Errorf("of 1000 each it got %d that it rejects and %d that it serves", once, safe)
	}
	if play(2000, 6000, false); n["onces3"] < 300 {
		t.Errorf("it serves them again and gets %d of 2000", n["onces3"])
	}
}

// When all servers fail, none is ejected.
func TestPanicThreshold(t *testing.T) {
	b, h := start(t, settings(), oneZone(4))
	for i := range 40 {
		now := time.Duration(i) * ms
		if sendRequest(t, b, h, now, fmt.Sprint("r", i), "safe") == "" {
			continue // rejected by the overload estimate
		}
		endAttempt(b, now, fmt.Sprint("r", i), ConnectionLost, ms)
		h.take()
	}
	b.subset.stale = true
	if b.refreshSubset(40 * ms); len(b.subset.servers) != 4 {
		t.Errorf("%d of 4 are ready", len(b.subset.servers))
	}
}

// The hang timeout grows with the deviation of the latency: twice the mean is no sign of a hang.
func TestHangTimeoutUsesDeviation(t *testing.T) {
	b, h := startWithLatencies(t, settings())
	b.Request(700*ms, Request{ID: "r", Class: "once", TimeLeft: 1000 * ms})
	s := b.endpoints.byID[h.take()[0].server]
	if b.ejected(s, 725*ms) {
		t.Error("ejected after 25 ms, where answers take 10 give or take 2")
	}
	if !b.ejected(s, 760*ms) {
		t.Error("not ejected after 60 ms")
	}
}
