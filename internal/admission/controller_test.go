package admission

import (
	"fmt"
	"testing"
	"time"

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
