package admission

import (
	"math"
	"testing"
	"time"

	"robindrum/balancer"
)

// feed keeps as many requests in flight as the limit allows, for a time, with the latency that takes returns. It returns the lowest
// limit.
func (c *Controller) feed(t *testing.T, from, long time.Duration, takes func(n int) time.Duration) (lowest int) {
	type out struct{ sent, at time.Duration }
	var open []out
	lowest = math.MaxInt
	for now := from; now < from+long; now += ms {
		for len(open) > 0 && open[0].at <= now {
			c.answer(t, now, now-open[0].sent, "map")
			open = open[1:]
		}
		for i := uint64(0); len(open) < 40 && c.inFlight < c.maxInFlight(); i++ {
			c.arrive(now, uint64(now)+i, "map", "")
			at := now + takes(len(open)+1)
			if n := len(open); n > 0 { // first in, first out
				at = max(at, open[n-1].at)
			}
			open = append(open, out{now, at})
		}
		lowest = min(lowest, c.maxInFlight())
	}
	for range open {
		c.Done(from+long, false)
	}
	return lowest
}

// A baseline that is first measured in an overload is corrected; a latency that is long by itself becomes the baseline after a fall.
func TestBaselineInOverloadAndOfSlowAnswers(t *testing.T) {
	queue := func(n int) time.Duration { return time.Duration(max(n, 4)) * 5 * ms } // four workers of 20 ms
	c := newController(t, nil)
	c.feed(t, ms, 10*time.Second, queue)
	if b := c.maxInFlight(); b < 4 || b > 24 {
		t.Errorf("limit %d for four workers that began in an overload; baseline %v", b, time.Duration(c.byName[classKey{"map", false}].baseline))
	}
	c = newController(t, nil)
	slow := func(int) time.Duration { return 700 * ms } // more than twice the objective, whatever is in flight
	c.feed(t, ms, 20*time.Second, slow)
	if b := c.maxInFlight(); b < 40 {
		t.Errorf("limit %d with answers that take 700 ms by themselves", b)
	}
	if low := c.feed(t, 30*time.Second, 20*time.Second, slow); low < 40 {
		t.Errorf("the limit falls to %d again", low)
	}
}

// An origin becomes ten times as slow and recovers, without queueing: the limit does not fall.
func TestSlowerOriginKeepsLimit(t *testing.T) {
	c := newController(t, nil)
	c.feed(t, ms, 5*time.Second, func(int) time.Duration { return 5 * ms })
	if low := c.feed(t, 5*time.Second, 10*time.Second, func(int) time.Duration { return 50 * ms }); low < 40 {
		t.Errorf("the limit falls to %d, though all answers are within the objective", low)
	}
	if low := c.feed(t, 15*time.Second, 5*time.Second, func(int) time.Duration { return 5 * ms }); low < 40 {
		t.Errorf("the limit falls to %d as it recovers", low)
	}
}

// Answers of 5 ms and of 5 s in one class, without queueing: the limit does not fall.
func TestBimodalLatencyKeepsLimit(t *testing.T) {
	c := newController(t, nil)
	before := c.maxInFlight()
	ends := map[time.Duration][]time.Duration{} // send times by the time of their end
	for i := range 20000 {
		now := time.Duration(i) * ms
		for _, sent := range ends[now] {
			c.answer(t, now, now-sent, "map")
		}
		if i%5 == 0 { // 200 a second, one of eight long: 125 in flight
			if v := c.arrive(now, uint64(i+1), "map", ""); v != balancer.Admit {
				t.Fatalf("verdict %d at %v, limit %d, %d in flight", v, now, c.maxInFlight(), c.inFlight)
			}
			at := now + 5*ms
			if i%40 == 0 {
				at = now + 5*time.Second
			}
			ends[at] = append(ends[at], now)
		}
	}
	if c.maxInFlight() < before {
		t.Errorf("the limit fell from %d to %d: %s", before, c.maxInFlight(), c.limitEvidence)
	}
}

// A low limit rises again once answers are in time: also a fractional one, so that the requests in flight stay well below it, and
// also where the answers of a period are spread over classes so that none has enough of them.
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
				c.answer(t, now+20*ms, 20*ms, []string{"map", "hold", "pay"}[(int(seq)+i)%3])
			}
		}
		if b := c.maxInFlight(); b < 16 {
			t.Errorf("from %v: limit %d after 10 s of answers in time", from, b)
		}
	}
}

// Errors within a millisecond show neither capacity nor overload.
func TestFastFailuresKeepLimit(t *testing.T) {
	c := newController(t, nil)
	before := c.maxInFlight()
	for i := range 20000 {
		now := time.Duration(i+1) * ms
		if v := c.arrive(now, uint64(i+1), "map", ""); v != balancer.Admit {
			t.Fatalf("verdict %d", v)
		}
		c.Done(now+ms, false)
		c.AttemptEnded(now+ms, balancer.Sample{Class: "map", SentAt: now, Latency: ms, Result: []balancer.Result{balancer.ServerError, balancer.ConnectionLost, balancer.NotConnected}[i%3]})
	}
	if c.maxInFlight() != before {
		t.Errorf("limit %d, %d before", c.maxInFlight(), before)
	}
}

// A clock that stands still for 30 s, as in a suspended process, ends the waits and leaves the limit as it is.
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
		t.Errorf("%d of 4 that were queued are rejected", rejected)
	}
	for range 4 {
		c.answer(t, now, now, "map")
	}
	if c.maxInFlight() < before || c.inFlight != 0 {
		t.Errorf("limit %d, %d in flight", c.maxInFlight(), c.inFlight)
	}
	c.Arrive(ms, balancer.Arrival{Seq: 99, Class: "map", TimeLeft: time.Second}) // an earlier time
	if c.now != now {
		t.Errorf("the time went back to %v", c.now)
	}
}
