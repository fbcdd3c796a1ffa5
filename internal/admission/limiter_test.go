package admission

import (
	"math"
	"testing"
	"time"

	"robindrum/balancer"
)

// runLoad keeps as many requests in flight as the limit allows, up to 40, for the given duration. latency returns the latency of a
// request when n are in flight. runLoad returns the lowest limit.
func (c *Controller) runLoad(t *testing.T, start, duration time.Duration, latency func(n int) time.Duration) (lowest int) {
	type pendingRequest struct{ sent, endsAt time.Duration }
	var pending []pendingRequest
	lowest = math.MaxInt
	for now := start; now < start+duration; now += ms {
		for len(pending) > 0 && pending[0].endsAt <= now {
			c.respond(t, now, now-pending[0].sent, "map")
			pending = pending[1:]
		}
		for i := uint64(0); len(pending) < 40 && c.inFlight < c.maxInFlight(); i++ {
			c.arrive(now, uint64(now)+i, "map", "")
			endsAt := now + latency(len(pending)+1)
			if n := len(pending); n > 0 { // responses arrive in the order of the requests
				endsAt = max(endsAt, pending[n-1].endsAt)
			}
			pending = append(pending, pendingRequest{now, endsAt})
		}
		lowest = min(lowest, c.maxInFlight())
	}
	for range pending {
		c.Release(start+duration, false)
	}
	return lowest
}

// A baseline first measured during an overload is corrected. A latency that stays long after the limit was decreased is not caused
// by queueing and becomes the baseline.
func TestBaselineAfterOverloadAndWithSlowResponses(t *testing.T) {
	queue := func(n int) time.Duration { return time.Duration(max(n, 4)) * 5 * ms } // four workers, 20 ms each
	c := newController(t, nil)
	c.runLoad(t, ms, 10*time.Second, queue)
	if finalLimit := c.maxInFlight(); finalLimit < 4 || finalLimit > 24 {
		t.Errorf("limit with four workers after an initial overload: got %d, want 4 to 24; baseline %v", finalLimit, time.Duration(c.byName[classKey{"map", false}].baseline))
	}
	c = newController(t, nil)
	slow := func(int) time.Duration { return 700 * ms } // more than twice the objective, for any number in flight
	c.runLoad(t, ms, 20*time.Second, slow)
	if finalLimit := c.maxInFlight(); finalLimit < 40 {
		t.Errorf("limit with 700 ms latency without queueing: got %d, want at least 40", finalLimit)
	}
	if low := c.runLoad(t, 30*time.Second, 20*time.Second, slow); low < 40 {
		t.Errorf("lowest limit after the baseline was corrected: got %d, want at least 40", low)
	}
}

// The latency of a backend rises tenfold without queueing and recovers: the limit is not decreased.
func TestSlowerBackendKeepsLimit(t *testing.T) {
	c := newController(t, nil)
	c.runLoad(t, ms, 5*time.Second, func(int) time.Duration { return 5 * ms })
	if low := c.runLoad(t, 5*time.Second, 10*time.Second, func(int) time.Duration { return 50 * ms }); low < 40 {
		t.Errorf("lowest limit with all responses within the objective: got %d, want at least 40", low)
	}
	if low := c.runLoad(t, 15*time.Second, 5*time.Second, func(int) time.Duration { return 5 * ms }); low < 40 {
		t.Errorf("lowest limit during recovery: got %d, want at least 40", low)
	}
}

// One class has responses of 5 ms and of 5 s without queueing: the limit is not decreased.
func TestBimodalLatencyKeepsLimit(t *testing.T) {
	c := newController(t, nil)
	before := c.maxInFlight()
	ends := map[time.Duration][]time.Duration{} // send times by end time
	for i := range 20000 {
		now := time.Duration(i) * ms
		for _, sent := range ends[now] {
			c.respond(t, now, now-sent, "map")
		}
		if i%5 == 0 { // 200 requests/s, one in eight takes 5 s: 125 in flight
			if v := c.arrive(now, uint64(i+1), "map", ""); v != balancer.Admit {
				t.Fatalf("Arrive at %v: got decision %d, want %d; limit %d, %d in flight", now, v, balancer.Admit, c.maxInFlight(), c.inFlight)
			}
			at := now + 5*ms
			if i%40 == 0 {
				at = now + 5*time.Second
			}
			ends[at] = append(ends[at], now)
		}
	}
	if c.maxInFlight() < before {
		t.Errorf("limit decreased from %d to %d: %s", before, c.maxInFlight(), c.limitEvidence)
	}
}

// A low limit rises again once responses are in time. It must also rise if it is fractional, so that fewer requests are in flight
// than the limit, and if the responses of a period are spread over so many classes that none has enough of them.
func TestLowLimitRises(t *testing.T) {
	for _, from := range []float64{2, 2.9, 3.85, 4.9} {
		c := newController(t, nil)
		c.limit.limit, c.limit.decreasedAt = from, ms
		seq := uint64(0)
		for now := 2 * ms; now < 10*time.Second && c.maxInFlight() < 16; now += 30 * ms {
			for range c.maxInFlight() {
				seq++
				c.arrive(now, seq, "map", "")
			}
			for i := range c.inFlight {
				c.respond(t, now+20*ms, 20*ms, []string{"map", "hold", "pay"}[(int(seq)+i)%3])
			}
		}
		if finalLimit := c.maxInFlight(); finalLimit < 16 {
			t.Errorf("starting at limit %v, after 10 s of responses in time: got limit %d, want at least 16", from, finalLimit)
		}
	}
}

// Errors within a millisecond are evidence of neither capacity nor overload.
func TestFastFailuresKeepLimit(t *testing.T) {
	c := newController(t, nil)
	before := c.maxInFlight()
	for i := range 20000 {
		now := time.Duration(i+1) * ms
		if v := c.arrive(now, uint64(i+1), "map", ""); v != balancer.Admit {
			t.Fatalf("Arrive: got decision %d, want %d", v, balancer.Admit)
		}
		c.Release(now+ms, false)
		c.AttemptEnded(now+ms, balancer.AttemptSample{Class: "map", SentAt: now, Latency: ms, Result: []balancer.Result{balancer.ServerError, balancer.ConnectionLost, balancer.NotConnected}[i%3]})
	}
	if c.maxInFlight() != before {
		t.Errorf("limit after fast failures: got %d, want %d", c.maxInFlight(), before)
	}
}

// The time jumps by 30 s, as after a suspended process: the queued requests expire and the limit is not decreased.
func TestClockJumpKeepsLimit(t *testing.T) {
	c := newController(t, func(o *Options) { o.PerEndpoint = 4 })
	for i := range uint64(8) {
		c.arrive(ms, i+1, "map", "")
	}
	before, now := c.maxInFlight(), 30*time.Second
	rejected := 0
	for range 8 {
		_, v, after, ok := c.Next(now)
		if !ok {
			break
		}
		if v == balancer.Reject && after > 0 && after <= c.options.MaxRetryAfter {
			rejected++
		}
	}
	if rejected != 4 {
		t.Errorf("rejected queued requests: got %d, want 4", rejected)
	}
	for range 4 {
		c.respond(t, now, now, "map")
	}
	if c.maxInFlight() < before || c.inFlight != 0 {
		t.Errorf("limit: got %d, want at least %d; in flight: got %d, want 0", c.maxInFlight(), before, c.inFlight)
	}
	c.Arrive(ms, balancer.Arrival{Seq: 99, Class: "map", TimeLeft: time.Second}) // earlier than the current time
	if c.now != now {
		t.Errorf("time after an earlier Arrive: got %v, want %v", c.now, now)
	}
}
