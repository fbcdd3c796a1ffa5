package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"robindrum/balancer"
)

const ms = time.Millisecond

func options() Options {
	return Options{Classes: []Class{{"map", 1, 300 * ms}, {"hold", 5, 150 * ms}, {"pay", 20, 300 * ms}}}
}

func newController(t testing.TB, change func(*Options)) *Controller {
	t.Helper()
	o := options()
	if change != nil {
		change(&o)
	}
	c, err := New(o, 1)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func (c *Controller) arrive(now time.Duration, seq uint64, class, tenant string) balancer.Verdict {
	v, _ := c.Arrive(now, balancer.Arrival{Seq: seq, Class: class, Tenant: tenant, TimeLeft: 2 * time.Second})
	return v
}

func (c *Controller) answer(t *testing.T, now, took time.Duration, class string) {
	t.Helper()
	c.Done(now, false)
	c.AttemptEnded(now, balancer.Sample{Class: class, SentAt: now - took, Latency: took, Result: balancer.Served})
}

// startQueued returns the queued requests that start, until no more may.
func (c *Controller) startQueued(now time.Duration) (l []uint64) {
	for {
		seq, v, _, ok := c.Next(now)
		if !ok {
			return l
		}
		if v == balancer.Admit {
			l = append(l, seq)
		}
	}
}

// The class with the highest weight starts first, but for the floor of the others.
func TestHighestWeightStartsFirstAboveFloor(t *testing.T) {
	c := newController(t, func(o *Options) { o.Mode, o.Limit, o.Floor = Fixed, 1, 0.1 })
	c.arrive(0, 1, "map", "")
	for i := range uint64(60) {
		for j, class := range []string{"map", "hold", "pay"} {
			if v := c.arrive(0, 10+3*i+uint64(j), class, ""); v != balancer.Enqueue {
				t.Fatalf("verdict %d", v)
			}
		}
	}
	got := [3]int{}
	for range 60 {
		c.Done(0, false)
		for _, seq := range c.startQueued(0) {
			got[(seq-10)%3]++
		}
	}
	if got[2] < 45 || got[0] < 4 || got[1] < 4 {
		t.Errorf("of 60 starts %d map, %d hold, %d pay", got[0], got[1], got[2])
	}
}

// A tenant with a flood of requests waits for its own, also where the queue is full.
func TestTenantsTakeTurns(t *testing.T) {
	c := newController(t, func(o *Options) { o.Mode, o.Limit, o.MaxPending = Fixed, 1, 40 })
	c.arrive(0, 1, "map", "x")
	for i := range uint64(40) {
		c.arrive(0, 100+i, "map", "flood")
	}
	if v := c.arrive(0, 200, "map", "flood"); v != balancer.Reject {
		t.Errorf("one more of the flood: verdict %d", v)
	}
	for i := range uint64(5) {
		if v := c.arrive(0, 300+i, "map", "small"); v != balancer.Enqueue {
			t.Fatalf("a small tenant beside a flood: verdict %d", v)
		}
	}
	small := 0
	for range 10 {
		c.Done(0, false)
		for _, seq := range c.startQueued(0) {
			if seq >= 300 {
				small++
			}
		}
	}
	if small != 5 || c.rejected[Displaced] != 5 {
		t.Errorf("%d of 5 starts in 10, %d displaced", small, c.rejected[Displaced])
	}
	if v := c.arrive(0, 400, "pay", "flood"); v != balancer.Enqueue {
		t.Errorf("a more valuable request: verdict %d", v)
	}
}

// Queued requests that cannot be answered in time any more are rejected, and the newest starts first once the oldest are late.
func TestLateQueuedRequestsAreRejected(t *testing.T) {
	c := newController(t, func(o *Options) { o.Mode, o.Limit = Fixed, 1 })
	c.arrive(0, 1, "map", "")
	c.arrive(0, 2, "map", "")
	c.arrive(200*ms, 3, "map", "")
	if l := c.startQueued(260 * ms); len(l) != 0 {
		t.Errorf("%v start while one is in flight", l)
	}
	if seq, v, after, ok := c.Next(271 * ms); !ok || seq != 2 || v != balancer.Reject || after <= 0 {
		t.Errorf("%d: verdict %d, Retry-After %v", seq, v, after)
	}
	if c.rejected[WaitedTooLong] != 1 || c.queue.count != 1 {
		t.Errorf("%d waited too long, %d queued", c.rejected[WaitedTooLong], c.queue.count)
	}
	c.arrive(272*ms, 4, "map", "")
	c.Done(280*ms, false)
	if l := c.startQueued(280 * ms); fmt.Sprint(l) != "[4]" {
		t.Errorf("%v starts: requests wait for longer than the objective, the newest comes first", l)
	}
}

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

// The retry budget: what requests earn, what time earns, what expires, and both of Envoy's limits.
func TestRetryBudget(t *testing.T) {
	c := newController(t, func(o *Options) { o.RetryRatio, o.RetryRate, o.RetryTTL = 0.2, 1, 10*time.Second })
	spend := func(now time.Duration) (n int) {
		for c.MayRetry(now, false) && n < 1000 {
			c.RetryStarted(now, false)
			n++
		}
		return n
	}
	if n := spend(0); n != 10 {
		t.Errorf("%d retries from the start, the rate gives 10 in 10 s", n)
	}
	for i := range uint64(100) {
		c.arrive(time.Second, i+1, "map", "")
	}
	if n := spend(time.Second); n != 20 {
		t.Errorf("%d retries earned by 100 requests", n)
	}
	if n := spend(15 * time.Second); n != 10 {
		t.Errorf("%d retries 14 s later: what was spent has expired as well", n)
	}
	for name, o := range map[string]func(*Options){
		"max_retries":  func(o *Options) { o.MaxRetries = 3 },
		"retry_budget": func(o *Options) { o.RetryPercent, o.MinRetries = 10, 3 },
	} {
		c = newController(t, o)
		if n := spend(0); n != 3 {
			t.Errorf("%s: %d in flight", name, n)
		}
		c.AttemptEnded(0, balancer.Sample{Class: "map", Retry: true, Result: balancer.Cancelled})
		if n := spend(0); n != 1 {
			t.Errorf("%s: %d more as one has ended", name, n)
		}
	}
	for i := range uint64(80) {
		c.arrive(0, i+1, "map", "")
	}
	if c.options.RetryPercent > 0 {
		if n := spend(0); n != 5 {
			t.Errorf("retry_budget: %d more with 80 requests in flight", n)
		}
	}
}

// Each of Envoy's priorities has circuit breakers of its own, before one limit and one retry budget.
func TestPrioritiesHaveOwnBreakers(t *testing.T) {
	c := newController(t, func(o *Options) {
		o.Mode, o.Limit, o.RetryRate = Fixed, 3, 100
		o.Breakers = Breakers{MaxRequests: 2, MaxPending: 1, MaxRetries: 1}
		o.HighPriority = Breakers{MaxRequests: 2, MaxPending: 2, MaxRetries: 2}
	})
	ask := func(seq uint64, high bool) balancer.Verdict {
		v, _ := c.Arrive(0, balancer.Arrival{Seq: seq, Class: "map", HighPriority: high, TimeLeft: time.Second})
		return v
	}
	for i, want := range []struct {
		high bool
		v    balancer.Verdict
	}{{false, balancer.Admit}, {false, balancer.Admit}, {false, balancer.Enqueue}, {false, balancer.Reject}, {true, balancer.Admit}, {true, balancer.Enqueue}, {true, balancer.Enqueue},
		{true, balancer.Reject}} {
		if v := ask(uint64(i), want.high); v != want.v {
			t.Errorf("request %d, high %v: verdict %d, want %d", i, want.high, v, want.v)
		}
	}
	if c.Done(0, true); fmt.Sprint(c.startQueued(0)) != "[5]" { // 2 has room in the limit, but not in its breaker
		t.Error("one of HIGH ends: another of HIGH starts")
	}
	for _, want := range []string{"[6]", "[2]"} { // of equal weight HIGH starts first
		c.Done(0, want == "[2]")
		if l := c.startQueued(0); fmt.Sprint(l) != want {
			t.Errorf("one ends: %v starts, want %s", l, want)
		}
	}
	for _, high := range []bool{false, true} {
		n := 0
		for ; n < 10 && c.MayRetry(0, high); n++ {
			c.RetryStarted(0, high)
		}
		if want := map[bool]int{false: 1, true: 2}[high]; n != want {
			t.Errorf("high %v: %d retries in flight, want %d", high, n, want)
		}
	}
	if c.AttemptEnded(0, balancer.Sample{Class: "map", HighPriority: true, Retry: true, Result: balancer.Served}); !c.MayRetry(0, true) || c.MayRetry(0, false) {
		t.Error("a retry of HIGH ended: one more of HIGH may be made, none of DEFAULT")
	}
}

// Queued requests are limited in bytes; a more valuable request takes the place of less valuable ones, if that is enough.
func TestPendingBytesLimit(t *testing.T) {
	c := newController(t, func(o *Options) { o.Mode, o.Limit, o.PendingBytes = Fixed, 1, 100 })
	seq := uint64(0)
	ask := func(class string, size int64) balancer.Verdict {
		seq++
		v, _ := c.Arrive(0, balancer.Arrival{Seq: seq, Class: class, Size: size, TimeLeft: time.Second})
		return v
	}
	ask("map", 1000) // starts, and is not counted
	for i, want := range []struct {
		class  string
		size   int64
		v      balancer.Verdict
		queued int64
	}{{"map", 60, balancer.Enqueue, 60}, {"map", 41, balancer.Reject, 60}, {"map", 40, balancer.Enqueue, 100}, {"pay", 101, balancer.Reject, 100}, {"pay", 50, balancer.Enqueue, 90},
		{"hold", 60, balancer.Reject, 90}, {"hold", 50, balancer.Enqueue, 100}} {
		if v := ask(want.class, want.size); v != want.v || c.queue.bytes != want.queued {
			t.Errorf("%d, %s of %d bytes: verdict %d, %d queued; want %d, %d", i, want.class, want.size, v, c.queue.bytes, want.v, want.queued)
		}
	}
	if c.rejected[Displaced] != 2 || c.rejected[QueueFull] != 3 {
		t.Errorf("%v", c.rejected)
	}
}

// Under any order of arrivals, ends, withdrawals, times and evidence: each queued request ends once, counters return to 0, limits
// stay within their bounds, and the limit falls only with evidence.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := options()
		o.Mode = Mode(rapid.IntRange(0, 2).Draw(t, "mode"))
		o.PerEndpoint, o.Limit = rapid.IntRange(1, 20).Draw(t, "per endpoint"), rapid.IntRange(1, 20).Draw(t, "limit")
		o.MaxPending, o.MaxRequests = rapid.IntRange(1, 20).Draw(t, "pending"), rapid.IntRange(0, 30).Draw(t, "most")
		o.HighPriority.MaxPending, o.HighPriority.MaxRequests = rapid.IntRange(1, 20).Draw(t, "high pending"), rapid.IntRange(0, 30).Draw(t, "high most")
		o.PendingBytes = int64(rapid.IntRange(0, 100).Draw(t, "bytes"))
		c, err := New(o, rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		now, seq := time.Duration(0), uint64(0)
		waits, started, high, size := map[uint64]bool{}, []bool{}, map[uint64]bool{}, map[uint64]int64{}
		take := func() {
			for n := 0; ; n++ {
				id, v, after, ok := c.Next(now)
				if !ok {
					return
				}
				if !waits[id] {
					t.Fatalf("%d is not queued", id)
				}
				delete(waits, id)
				if v == balancer.Admit {
					started = append(started, high[id])
				} else if after <= 0 || after > c.options.MaxRetryAfter {
					t.Fatalf("Retry-After %v", after)
				}
			}
		}
		before := c.maxInFlight()
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * ms
			evidence := false
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1, 2:
				seq++
				high[seq], size[seq] = rapid.Bool().Draw(t, "high"), int64(rapid.IntRange(0, 60).Draw(t, "size"))
				v, after := c.Arrive(now, balancer.Arrival{Seq: seq, HighPriority: high[seq], Size: size[seq], Class: rapid.SampledFrom([]string{"map", "hold", "pay", "?"}).Draw(t, "class"),
					Tenant: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "tenant"), TimeLeft: time.Duration(rapid.IntRange(1, 2000).Draw(t, "left")) * ms})
				switch {
				case v == balancer.Admit:
					started = append(started, high[seq])
				case v == balancer.Enqueue && after > 0:
					waits[seq] = true
				case after <= 0:
					t.Fatalf("verdict %d after %v", v, after)
				}
			case 3:
				for id := range waits {
					c.Withdraw(id)
					delete(waits, id)
					break
				}
			case 4:
				c.SetEndpoints(now, rapid.IntRange(0, 5).Draw(t, "endpoints"))
				evidence = true
			default:
				if len(started) > 0 {
					h := started[0]
					started = started[1:]
					took := time.Duration(rapid.IntRange(0, 900).Draw(t, "took")) * ms
					c.Done(now, h)
					c.AttemptEnded(now, balancer.Sample{HighPriority: h, Class: "map", SentAt: now - took, Latency: took, Result: balancer.Result(rapid.IntRange(0, int(balancer.NotSent)).Draw(t, "result"))})
					evidence = true
				}
			}
			take()
			b := c.maxInFlight()
			if b < before && !evidence {
				t.Fatalf("the limit falls from %d to %d without evidence", before, b)
			}
			before = b
			if b < 1 || c.inFlight != len(started) || c.queue.count != len(waits) {
				t.Fatalf("limit %d, %d of %d in flight, %d of %d queued", b, c.inFlight, len(started), c.queue.count, len(waits))
			}
			bytes, count := int64(0), [2]int{}
			for id := range waits {
				bytes += size[id]
				count[map[bool]int{true: 1}[high[id]]]++
			}
			if bytes != c.queue.bytes || o.PendingBytes > 0 && bytes > o.PendingBytes {
				t.Fatalf("%d bytes wait, counted %d, %d may", bytes, c.queue.bytes, o.PendingBytes)
			}
			for i, p := range []Breakers{o.Breakers, o.HighPriority} {
				of := c.priorities[i]
				if of.queued != count[i] || of.queued > p.MaxPending || p.MaxRequests > 0 && of.inFlight > p.MaxRequests {
					t.Fatalf("priority %d: %d of %d wait, %d of %d in flight", i, of.queued, p.MaxPending, of.inFlight, p.MaxRequests)
				}
			}
			in := 0
			for _, k := range c.classes {
				n := 0
				for _, l := range k.turns {
					n += l.count
					if k.tenants[l.tenant] != l || l.count == 0 {
						t.Fatalf("tenant %q: %d queued", l.tenant, l.count)
					}
				}
				if in += n; n != k.queued || len(k.turns) != len(k.tenants) {
					t.Fatalf("%s: %d and %d queued", k.Name, n, k.queued)
				}
			}
			if in != c.queue.count || len(c.queue.expiry) != in || len(c.queue.bySeq) != in {
				t.Fatalf("%d, %d, %d, %d queued", in, c.queue.count, len(c.queue.expiry), len(c.queue.bySeq))
			}
		}
		for _, h := range started {
			c.Done(now, h)
		}
		started = nil
		now += time.Minute
		take()
		for len(started) > 0 {
			h := started[0]
			started = started[1:]
			c.Done(now, h)
			take()
		}
		if c.inFlight != 0 || c.priorities[0].inFlight != 0 || c.priorities[1].inFlight != 0 || c.queue.count != 0 || len(waits) != 0 {
			t.Fatalf("%d in flight, %d wait in the end", c.inFlight, c.queue.count)
		}
	})
}

func TestNewRejectsInvalidOptions(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"mode":   func(o *Options) { o.Mode = 9 },
		"limit":  func(o *Options) { o.Limit = -1 },
		"floor":  func(o *Options) { o.Floor = 0.9 },
		"budget": func(o *Options) { o.RetryRatio = math.NaN() },
		"wait":   func(o *Options) { o.MaxWait = -1 },
		"most":   func(o *Options) { o.MaxRequests = -1 },
		"high":   func(o *Options) { o.HighPriority.MaxRetries = -1 },
		"bytes":  func(o *Options) { o.PendingBytes = -1 },
	} {
		o := options()
		change(&o)
		if _, err := New(o, 1); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// BenchmarkRequest is what admission adds to a request: its arrival, its end and the observation of its attempt.
func BenchmarkRequest(b *testing.B) {
	c := newController(b, nil)
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * 100 * time.Microsecond
		if v, _ := c.Arrive(now, balancer.Arrival{Seq: uint64(i), Class: "map", TimeLeft: time.Second}); v != balancer.Admit {
			b.Fatal("not admitted")
		}
		c.Next(now)
		c.Done(now, false)
		c.AttemptEnded(now, balancer.Sample{Class: "map", SentAt: now, Latency: 5 * ms, Result: balancer.Served})
		c.Next(now)
	}
}
