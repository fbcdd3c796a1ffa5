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

func controller(t testing.TB, change func(*Options)) *Controller {
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

func (c *Controller) ask(now time.Duration, seq uint64, class, tenant string) balancer.Verdict {
	v, _ := c.Arrive(now, balancer.Arrival{Seq: seq, Class: class, Tenant: tenant, TimeLeft: 2 * time.Second})
	return v
}

func (c *Controller) answered(t *testing.T, now, took time.Duration, class string) {
	t.Helper()
	c.Done(now, false)
	c.AttemptEnded(now, balancer.Sample{Class: class, SentAt: now - took, Latency: took, Result: balancer.Served})
}

// starts gives what starts until nothing more may.
func (c *Controller) starts(now time.Duration) (l []uint64) {
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

// What is worth most starts first, but for the floor of the others.
func TestWorthAndFloor(t *testing.T) {
	c := controller(t, func(o *Options) { o.Mode, o.Limit, o.Floor = Fixed, 1, 0.1 })
	c.ask(0, 1, "map", "")
	for i := range uint64(60) {
		for j, class := range []string{"map", "hold", "pay"} {
			if v := c.ask(0, 10+3*i+uint64(j), class, ""); v != balancer.Enqueue {
				t.Fatalf("verdict %d", v)
			}
		}
	}
	got := [3]int{}
	for range 60 {
		c.Done(0, false)
		for _, seq := range c.starts(0) {
			got[(seq-10)%3]++
		}
	}
	if got[2] < 45 || got[0] < 4 || got[1] < 4 {
		t.Errorf("of 60 starts %d map, %d hold, %d pay", got[0], got[1], got[2])
	}
}

// A tenant that floods waits behind itself, also where as many wait as may.
func TestTenantsTakeTurns(t *testing.T) {
	c := controller(t, func(o *Options) { o.Mode, o.Limit, o.MaxPending = Fixed, 1, 40 })
	c.ask(0, 1, "map", "x")
	for i := range uint64(40) {
		c.ask(0, 100+i, "map", "flood")
	}
	if v := c.ask(0, 200, "map", "flood"); v != balancer.Reject {
		t.Errorf("one more of those that flood: verdict %d", v)
	}
	for i := range uint64(5) {
		if v := c.ask(0, 300+i, "map", "small"); v != balancer.Enqueue {
			t.Fatalf("a small tenant beside a flood: verdict %d", v)
		}
	}
	small := 0
	for range 10 {
		c.Done(0, false)
		for _, seq := range c.starts(0) {
			if seq >= 300 {
				small++
			}
		}
	}
	if small != 5 || c.refused[Displaced] != 5 {
		t.Errorf("%d of 5 starts in 10, %d displaced", small, c.refused[Displaced])
	}
	if v := c.ask(0, 400, "pay", "flood"); v != balancer.Enqueue {
		t.Errorf("what is worth more: verdict %d", v)
	}
}

// What waits and cannot be answered in time any more is refused, and newest starts first once the oldest come late.
func TestWaitsEnd(t *testing.T) {
	c := controller(t, func(o *Options) { o.Mode, o.Limit = Fixed, 1 })
	c.ask(0, 1, "map", "")
	c.ask(0, 2, "map", "")
	c.ask(200*ms, 3, "map", "")
	if l := c.starts(260 * ms); len(l) != 0 {
		t.Errorf("%v start while one is in flight", l)
	}
	if seq, v, after, ok := c.Next(271 * ms); !ok || seq != 2 || v != balancer.Reject || after <= 0 {
		t.Errorf("%d: verdict %d, come back in %v", seq, v, after)
	}
	if c.refused[WaitedTooLong] != 1 || c.queue.n != 1 {
		t.Errorf("%d waited too long, %d wait", c.refused[WaitedTooLong], c.queue.n)
	}
	c.ask(272*ms, 4, "map", "")
	c.Done(280*ms, false)
	if l := c.starts(280 * ms); fmt.Sprint(l) != "[4]" {
		t.Errorf("%v starts: requests wait for longer than is wanted, the newest comes first", l)
	}
}

// feed has limit requests in flight all the time, answered as takes says, for so long; it gives the lowest and the last
// limit.
func (c *Controller) feed(t *testing.T, from, long time.Duration, takes func(n int) time.Duration) (lowest int) {
	type out struct{ sent, at time.Duration }
	var open []out
	lowest = math.MaxInt
	for now := from; now < from+long; now += ms {
		for len(open) > 0 && open[0].at <= now {
			c.answered(t, now, now-open[0].sent, "map")
			open = open[1:]
		}
		for i := uint64(0); len(open) < 40 && c.active < c.bound(); i++ {
			c.ask(now, uint64(now)+i, "map", "")
			at := now + takes(len(open)+1)
			if n := len(open); n > 0 { // first in, first out
				at = max(at, open[n-1].at)
			}
			open = append(open, out{now, at})
		}
		lowest = min(lowest, c.bound())
	}
	for range open {
		c.Done(from+long, false)
	}
	return lowest
}

// A baseline that is first measured in an overload is found out; one that is long by itself is believed after a fall.
func TestBaseline(t *testing.T) {
	queue := func(n int) time.Duration { return time.Duration(max(n, 4)) * 5 * ms } // four workers of 20 ms
	c := controller(t, nil)
	c.feed(t, ms, 10*time.Second, queue)
	if b := c.bound(); b < 4 || b > 24 {
		t.Errorf("limit %d before four workers that began in an overload; baseline %v", b, time.Duration(c.byName[named{"map", false}].base))
	}
	c = controller(t, nil)
	slow := func(int) time.Duration { return 700 * ms } // more than twice what is wanted, whatever is in flight
	c.feed(t, ms, 20*time.Second, slow)
	if b := c.bound(); b < 40 {
		t.Errorf("limit %d with answers that take 700 ms by themselves", b)
	}
	if low := c.feed(t, 30*time.Second, 20*time.Second, slow); low < 40 {
		t.Errorf("the limit falls to %d again", low)
	}
}

// An origin that becomes ten times as slow and recovers, with nothing standing before anything: no limit stays.
func TestSlowsTenTimes(t *testing.T) {
	c := controller(t, nil)
	c.feed(t, ms, 5*time.Second, func(int) time.Duration { return 5 * ms })
	if low := c.feed(t, 5*time.Second, 10*time.Second, func(int) time.Duration { return 50 * ms }); low < 40 {
		t.Errorf("the limit falls to %d, though all is within what is wanted", low)
	}
	if low := c.feed(t, 15*time.Second, 5*time.Second, func(int) time.Duration { return 5 * ms }); low < 40 {
		t.Errorf("the limit falls to %d as it recovers", low)
	}
}

// Answers of two kinds in one class, 5 ms and 5 s, with nothing standing before either: no limit is needed, and none falls.
func TestTwoKindsOfAnswers(t *testing.T) {
	c := controller(t, nil)
	before := c.bound()
	ends := map[time.Duration][]time.Duration{} // by when they end: when they were sent
	for i := range 20000 {
		now := time.Duration(i) * ms
		for _, sent := range ends[now] {
			c.answered(t, now, now-sent, "map")
		}
		if i%5 == 0 { // 200 a second, one of eight long: 125 in flight
			if v := c.ask(now, uint64(i+1), "map", ""); v != balancer.Admit {
				t.Fatalf("verdict %d at %v, limit %d, %d in flight", v, now, c.bound(), c.active)
			}
			at := now + 5*ms
			if i%40 == 0 {
				at = now + 5*time.Second
			}
			ends[at] = append(ends[at], now)
		}
	}
	if c.bound() < before {
		t.Errorf("the limit fell from %d to %d: %s", before, c.bound(), c.evidence)
	}
}

// A low limit rises again once answers are in time: also one that is no whole number, so that what is in flight stays well
// below it, and also where the answers of a tenth of a second are spread over classes so that none has enough of them.
func TestRisesFromTheBottom(t *testing.T) {
	for _, from := range []float64{2, 2.9, 3.85, 4.9} {
		c := controller(t, nil)
		c.limit.now, c.limit.cutAt = from, ms
		seq := uint64(0)
		for now := 2 * ms; now < 10*time.Second && c.bound() < 16; now += 30 * ms {
			for range c.bound() {
				seq++
				c.ask(now, seq, "map", "")
			}
			for i := range c.active {
				c.answered(t, now+20*ms, 20*ms, []string{"map", "hold", "pay"}[(int(seq)+i)%3])
			}
		}
		if b := c.bound(); b < 16 {
			t.Errorf("from %v: limit %d after 10 s of answers in time", from, b)
		}
	}
}

// Errors in a millisecond are no capacity, and no shortage.
func TestFastFailures(t *testing.T) {
	c := controller(t, nil)
	before := c.bound()
	for i := range 20000 {
		now := time.Duration(i+1) * ms
		if v := c.ask(now, uint64(i+1), "map", ""); v != balancer.Admit {
			t.Fatalf("verdict %d", v)
		}
		c.Done(now+ms, false)
		c.AttemptEnded(now+ms, balancer.Sample{Class: "map", SentAt: now, Latency: ms, Result: []balancer.Result{balancer.ServerError, balancer.ConnectionLost, balancer.NotConnected}[i%3]})
	}
	if c.bound() != before {
		t.Errorf("limit %d, %d before", c.bound(), before)
	}
}

// A clock that stands still for 30 s, as in a suspend, ends what waited and costs the limit nothing.
func TestSuspend(t *testing.T) {
	c := controller(t, func(o *Options) { o.PerEndpoint = 4 })
	for i := range uint64(8) {
		c.ask(ms, i+1, "map", "")
	}
	before, now := c.bound(), 30*time.Second
	refused := 0
	for range 8 {
		_, v, after, ok := c.Next(now)
		if !ok {
			break
		}
		if v == balancer.Reject && after > 0 && after <= c.opt.MaxRetryAfter {
			refused++
		}
	}
	if refused != 4 {
		t.Errorf("%d of 4 that waited are refused", refused)
	}
	for range 4 {
		c.answered(t, now, now, "map")
	}
	if c.bound() < before || c.active != 0 {
		t.Errorf("limit %d, %d in flight", c.bound(), c.active)
	}
	c.Arrive(ms, balancer.Arrival{Seq: 99, Class: "map", TimeLeft: time.Second}) // time that goes back
	if c.now != now {
		t.Errorf("the time went back to %v", c.now)
	}
}

// Retries: what requests earn, what time earns, what is forgotten, and both of Envoy's bounds.
func TestRetryBudget(t *testing.T) {
	c := controller(t, func(o *Options) { o.RetryRatio, o.RetryRate, o.RetryTTL = 0.2, 1, 10*time.Second })
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
		c.ask(time.Second, i+1, "map", "")
	}
	if n := spend(time.Second); n != 20 {
		t.Errorf("%d retries earned by 100 requests", n)
	}
	if n := spend(15 * time.Second); n != 10 {
		t.Errorf("%d retries 14 s later: what was spent is forgotten as well", n)
	}
	for name, o := range map[string]func(*Options){
		"max_retries":  func(o *Options) { o.MaxRetries = 3 },
		"retry_budget": func(o *Options) { o.RetryPercent, o.MinRetries = 10, 3 },
	} {
		c = controller(t, o)
		if n := spend(0); n != 3 {
			t.Errorf("%s: %d in flight", name, n)
		}
		c.AttemptEnded(0, balancer.Sample{Class: "map", Retry: true, Result: balancer.Cancelled})
		if n := spend(0); n != 1 {
			t.Errorf("%s: %d more as one has ended", name, n)
		}
	}
	for i := range uint64(80) {
		c.ask(0, i+1, "map", "")
	}
	if c.opt.RetryPercent > 0 {
		if n := spend(0); n != 5 {
			t.Errorf("retry_budget: %d more with 80 requests in flight", n)
		}
	}
}

// Each of Envoy's priorities has circuit breakers of its own, before one limit and one retry budget.
func TestPriorities(t *testing.T) {
	c := controller(t, func(o *Options) {
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
	if c.Done(0, true); fmt.Sprint(c.starts(0)) != "[5]" { // 2 has room in the limit, but not in its breaker
		t.Error("one of HIGH ends: another of HIGH starts")
	}
	for _, want := range []string{"[6]", "[2]"} { // of equal worth HIGH starts first
		c.Done(0, want == "[2]")
		if l := c.starts(0); fmt.Sprint(l) != want {
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

// Requests that wait are bounded in bytes; what is worth more takes the place of what is worth less, if that is enough.
func TestWaitingBytes(t *testing.T) {
	c := controller(t, func(o *Options) { o.Mode, o.Limit, o.PendingBytes = Fixed, 1, 100 })
	seq := uint64(0)
	ask := func(class string, size int64) balancer.Verdict {
		seq++
		v, _ := c.Arrive(0, balancer.Arrival{Seq: seq, Class: class, Size: size, TimeLeft: time.Second})
		return v
	}
	ask("map", 1000) // starts: what is in flight is not what waits
	for i, want := range []struct {
		class string
		size  int64
		v     balancer.Verdict
		kept  int64
	}{{"map", 60, balancer.Enqueue, 60}, {"map", 41, balancer.Reject, 60}, {"map", 40, balancer.Enqueue, 100}, {"pay", 101, balancer.Reject, 100}, {"pay", 50, balancer.Enqueue, 90},
		{"hold", 60, balancer.Reject, 90}, {"hold", 50, balancer.Enqueue, 100}} {
		if v := ask(want.class, want.size); v != want.v || c.queue.bytes != want.kept {
			t.Errorf("%d, %s of %d bytes: verdict %d, %d kept; want %d, %d", i, want.class, want.size, v, c.queue.bytes, want.v, want.kept)
		}
	}
	if c.refused[Displaced] != 2 || c.refused[QueueFull] != 3 {
		t.Errorf("%v", c.refused)
	}
}

// Under any order of arrivals, ends, leaves, times and evidence: each request that waits ends once, counters return to 0,
// limits stay within their bounds, and the limit falls only with evidence.
func TestAnyOrder(t *testing.T) {
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
					t.Fatalf("%d does not wait", id)
				}
				delete(waits, id)
				if v == balancer.Admit {
					started = append(started, high[id])
				} else if after <= 0 || after > c.opt.MaxRetryAfter {
					t.Fatalf("come back in %v", after)
				}
			}
		}
		before := c.bound()
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
			b := c.bound()
			if b < before && !evidence {
				t.Fatalf("the limit falls from %d to %d with no evidence", before, b)
			}
			before = b
			if b < 1 || c.active != len(started) || c.queue.n != len(waits) {
				t.Fatalf("limit %d, %d of %d in flight, %d of %d wait", b, c.active, len(started), c.queue.n, len(waits))
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
				of := c.priority[i]
				if of.waiting != count[i] || of.waiting > p.MaxPending || p.MaxRequests > 0 && of.active > p.MaxRequests {
					t.Fatalf("priority %d: %d of %d wait, %d of %d in flight", i, of.waiting, p.MaxPending, of.active, p.MaxRequests)
				}
			}
			in := 0
			for _, k := range c.classes {
				n := 0
				for _, l := range k.ring {
					n += l.n
					if k.tenants[l.tenant] != l || l.n == 0 {
						t.Fatalf("tenant %q: %d wait", l.tenant, l.n)
					}
				}
				if in += n; n != k.waiting || len(k.ring) != len(k.tenants) {
					t.Fatalf("%s: %d and %d wait", k.Name, n, k.waiting)
				}
			}
			if in != c.queue.n || len(c.queue.until) != in || len(c.queue.bySeq) != in {
				t.Fatalf("%d, %d, %d, %d wait", in, c.queue.n, len(c.queue.until), len(c.queue.bySeq))
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
		if c.active != 0 || c.priority[0].active != 0 || c.priority[1].active != 0 || c.queue.n != 0 || len(waits) != 0 {
			t.Fatalf("%d in flight, %d wait in the end", c.active, c.queue.n)
		}
	})
}

func TestOptionsThatCannotBe(t *testing.T) {
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
			t.Errorf("%s: taken", name)
		}
	}
}

// What admission adds to a request: its arrival, its end and what was seen of its attempt.
func BenchmarkRequest(b *testing.B) {
	c := controller(b, nil)
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * 100 * time.Microsecond
		if v, _ := c.Arrive(now, balancer.Arrival{Seq: uint64(i), Class: "map", TimeLeft: time.Second}); v != balancer.Admit {
			b.Fatal("not started")
		}
		c.Next(now)
		c.Done(now, false)
		c.AttemptEnded(now, balancer.Sample{Class: "map", SentAt: now, Latency: 5 * ms, Result: balancer.Served})
		c.Next(now)
	}
}
