package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A server that answers with a Retry-After gets no requests for that time while other servers are available.
func TestServerRetryAfterIsHonoured(t *testing.T) {
	cfg := settings()
	b, h := newTestBalancer(t, cfg, oneZone(2))
	b.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateSnapshot, Servers: oneZone(2)})
	rejecting := sendRequest(t, b, h, 0, "a", "safe")
	b.Outcome(ms, Outcome{ID: "a", Result: Rejected, Latency: ms, RetryAfter: 5 * time.Second})
	h.takeActions()
	b.Outcome(2*ms, Outcome{ID: "a", Attempt: 1, Result: Served, Latency: ms, Final: true})
	for i := range 40 {
		now := time.Duration(i+1) * 100 * ms
		id := fmt.Sprint("r", i)
		if to := sendRequest(t, b, h, now, id, "once"); to == rejecting {
			t.Fatalf("server %s got a request at %v, before its Retry-After of 5 s had passed", to, now)
		}
		endAttempt(b, now+ms, id, Served, ms)
	}
	returned := false
	for i := range 4 { // the other server still has attempts in flight
		returned = returned || sendRequest(t, b, h, 5100*ms+time.Duration(i)*ms, fmt.Sprint("s", i), "once") == rejecting
	}
	if !returned {
		t.Error("server got no request after its Retry-After had passed")
	}
}

// An ejected server may get an attempt if there is no other server. Serving the attempt ends the ejection. Serving an attempt that was
// sent before the ejection does not.
func TestEjectedServerReturnsAfterServing(t *testing.T) {
	cfg := settings()
	cfg.Localities = &fixedPicker{at: Locality{Zone: "za"}}
	b, h := newTestBalancer(t, cfg, oneZone(1))
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
		t.Fatalf("after 4 failed connections: ejected until %v, want later than %v", s.outlier.ejectedUntil, now)
	}
	endAttempt(b, now, "old", Served, now)
	if s.outlier.ejectedUntil <= now {
		t.Error("serving an attempt from before the ejection ended the ejection")
	}
	id := "r" // the overload estimate rejects some requests
	for sendRequest(t, b, h, now+ms, id, "once") == "" {
		if id += "!"; len(id) > 100 {
			t.Fatal("no request was sent in 100 tries")
		}
	}
	if endAttempt(b, now+2*ms, id, Served, ms); s.outlier.ejectedUntil > now {
		t.Errorf("after serving an attempt: ejected until %v, want no ejection", s.outlier.ejectedUntil)
	}
}

// A server that fails immediately is ejected. It has few attempts in flight and would otherwise be picked most often.
func TestFailingServerIsEjected(t *testing.T) {
	b, h := newTestBalancer(t, settings(), oneZone(6))
	failed := 0
	for i := range 400 {
		id, now := fmt.Sprint("r", i), time.Duration(i)*5*ms
		if sendRequest(t, b, h, now, id, "once") == "s3" {
			failed++
			endAttempt(b, now+ms, id, ConnectionLost, ms)
		} else {
			endAttempt(b, now+ms, id, Served, 10*ms)
		}
	}
	if failed > 20 {
		t.Errorf("failing server got %d of 400 requests, want at most 20", failed)
	}
}

// An attempt that was not sent counts neither as a failure nor as an answer of its server.
func TestNotSentLeavesServerState(t *testing.T) {
	b, h := newTestBalancer(t, settings(), oneZone(1))
	s := b.endpoints.ordered[0]
	for i := range 2 {
		id := fmt.Sprint("r", i)
		sendRequest(t, b, h, ms, id, "safe")
		endAttempt(b, 9*ms, id, NotSent, 0)
		if b.ejected(s, 9*ms) || s.outlier.consecutiveFailures != 0 || s.recentLatency.count != 0 {
			t.Fatalf("after %d attempts with NotSent: got ejected = %v, %d failures, %v samples; want false, 0, 0",
				i+1, b.ejected(s, 9*ms), s.outlier.consecutiveFailures, s.recentLatency.count)
		}
	}
	b.overload.withinObjective = decayingMean{} // avoids rejections by the overload estimate
	if sendRequest(t, b, h, 10*ms, "silent", "safe") == "" || sendRequest(t, b, h, 20*ms, "unsent", "safe") == "" {
		t.Fatal("request was rejected, want both requests sent")
	}
	if endAttempt(b, 30*ms, "unsent", NotSent, 0); s.silentSince != 10*ms {
		t.Errorf("after NotSent: silent since %v, want 10ms", s.silentSince)
	}
}

// A server that rejects one class is ejected for that class only, and gets the class again after it stops rejecting.
func TestServerIsEjectedForRejectedClass(t *testing.T) {
	cfg := settings()
	cfg.Proxies = 1
	b, h := newTestBalancer(t, cfg, oneZone(4))
	sent, attempts := map[string]int{}, map[string]int{}
	sendRequests := func(from, to int, rejects bool) {
		clear(sent)
		for i := from; i < to; i++ {
			now, class := time.Duration(i)*5*ms, []string{"safe", "once"}[i%2]
			id, old := fmt.Sprint("r", i), fmt.Sprint("r", i-8) // eight are in flight at any time
			h.now = now
			if attempt, ok := attempts[old]; ok {
				b.Outcome(now, Outcome{ID: old, Attempt: attempt, Result: Served, Latency: 40 * ms, Final: true})
			}
			b.Request(now, Request{ID: id, Class: class, TimeLeft: time.Second})
			for attempt := 0; ; attempt++ {
				a := h.takeActions()
				if len(a) != 1 || a[0].kind != "send" {
					break
				}
				attempts[id] = attempt
				if sent[class+a[0].server]++; rejects && class == "once" && a[0].server == "s3" {
					delete(attempts, id)
					b.Outcome(now, Outcome{ID: id, Attempt: attempt, Result: Rejected, Latency: ms})
				}
			}
		}
	}
	sendRequests(0, 2000, true)
	if once, safe := sent["onces3"], sent["safes3"]; once > 60 || safe < 100 {
		t.Errorf("of 1000 requests each, server got %d of the rejected class and %d of the other, want at most 60 and at least 100", once, safe)
	}
	if sendRequests(2000, 6000, false); sent["onces3"] < 300 {
		t.Errorf("after the rejections, server got %d of 2000 requests, want at least 300", sent["onces3"])
	}
}

// If all servers fail, the panic threshold is exceeded and ejections are ignored.
func TestPanicThreshold(t *testing.T) {
	b, h := newTestBalancer(t, settings(), oneZone(4))
	for i := range 40 {
		now := time.Duration(i) * ms
		if sendRequest(t, b, h, now, fmt.Sprint("r", i), "safe") == "" {
			continue // rejected by the overload estimate
		}
		endAttempt(b, now, fmt.Sprint("r", i), ConnectionLost, ms)
		h.takeActions()
	}
	b.subset.stale = true
	if b.refreshSubset(40 * ms); len(b.subset.servers) != 4 {
		t.Errorf("subset has %d servers, want all 4", len(b.subset.servers))
	}
}

// The hang timeout depends on the deviation of the latency: an answer after twice the mean latency is no sign of a hang.
func TestHangTimeoutUsesDeviation(t *testing.T) {
	b, h := startWithLatencies(t, settings())
	b.Request(700*ms, Request{ID: "r", Class: "once", TimeLeft: 1000 * ms})
	s := b.endpoints.byID[h.takeActions()[0].server]
	if b.ejected(s, 725*ms) {
		t.Error("server is ejected after 25 ms without an answer, with latencies of 10 ms and a mean deviation of 2 ms")
	}
	if !b.ejected(s, 760*ms) {
		t.Error("server is not ejected after 60 ms without an answer")
	}
}
