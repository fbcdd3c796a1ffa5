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

func (c *Controller) arrive(now time.Duration, seq uint64, class, tenant string) balancer.AdmissionDecision {
	v, _ := c.Arrive(now, balancer.Arrival{Seq: seq, Class: class, Tenant: tenant, TimeLeft: 2 * time.Second})
	return v
}

func (c *Controller) respond(t *testing.T, now, took time.Duration, class string) {
	t.Helper()
	c.Release(now, false)
	c.AttemptEnded(now, balancer.AttemptSample{Class: class, SentAt: now - took, Latency: took, Result: balancer.Served})
}

// startQueued calls Next until it returns no request, and returns the requests that were admitted.
func (c *Controller) startQueued(now time.Duration) (started []uint64) {
	for {
		seq, v, _, ok := c.Next(now)
		if !ok {
			return started
		}
		if v == balancer.Admit {
			started = append(started, seq)
		}
	}
}

// The circuit breakers apply to each of Envoy's priorities separately; the limit and the retry budget are shared.
func TestPrioritiesHaveOwnBreakers(t *testing.T) {
	c := newController(t, func(o *Options) {
		o.Mode, o.Limit, o.RetryRate = Fixed, 3, 100
		o.Breakers = Breakers{MaxRequests: 2, MaxPending: 1, MaxRetries: 1}
		o.HighPriority = Breakers{MaxRequests: 2, MaxPending: 2, MaxRetries: 2}
	})
	sendRequest := func(seq uint64, high bool) balancer.AdmissionDecision {
		v, _ := c.Arrive(0, balancer.Arrival{Seq: seq, Class: "map", HighPriority: high, TimeLeft: time.Second})
		return v
	}
	for i, want := range []struct {
		high bool
		v    balancer.AdmissionDecision
	}{{false, balancer.Admit}, {false, balancer.Admit}, {false, balancer.Enqueue}, {false, balancer.Reject}, {true, balancer.Admit}, {true, balancer.Enqueue}, {true, balancer.Enqueue},
		{true, balancer.Reject}} {
		if v := sendRequest(uint64(i), want.high); v != want.v {
			t.Errorf("Arrive of request %d, high %v: got decision %d, want %d", i, want.high, v, want.v)
		}
	}
	if c.Release(0, true); fmt.Sprint(c.startQueued(0)) != "[5]" { // the limit would allow request 2, its circuit breaker does not
		t.Error("a HIGH request ended: request 5, also HIGH, did not start alone")
	}
	for _, want := range []string{"[6]", "[2]"} { // of equal weights, HIGH starts first
		c.Release(0, want == "[2]")
		if l := c.startQueued(0); fmt.Sprint(l) != want {
			t.Errorf("requests started after one ended: got %v, want %s", l, want)
		}
	}
	for _, high := range []bool{false, true} {
		n := 0
		for ; n < 10 && c.MayRetry(0, high); n++ {
			c.RetryStarted(0, high)
		}
		if want := map[bool]int{false: 1, true: 2}[high]; n != want {
			t.Errorf("retries in flight, high %v: got %d, want %d", high, n, want)
		}
	}
	if c.AttemptEnded(0, balancer.AttemptSample{Class: "map", HighPriority: true, Retry: true, Result: balancer.Served}); !c.MayRetry(0, true) || c.MayRetry(0, false) {
		t.Error("a HIGH retry ended: MayRetry did not allow one more for HIGH and none for DEFAULT")
	}
}

// BenchmarkRequest measures the cost that admission adds to a request: arrival, end and observation of its attempt.
func BenchmarkRequest(b *testing.B) {
	c := newController(b, nil)
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * 100 * time.Microsecond
		if v, _ := c.Arrive(now, balancer.Arrival{Seq: uint64(i), Class: "map", TimeLeft: time.Second}); v != balancer.Admit {
			b.Fatal("Arrive did not admit the request")
		}
		c.Next(now)
		c.Release(now, false)
		c.AttemptEnded(now, balancer.AttemptSample{Class: "map", SentAt: now, Latency: 5 * ms, Result: balancer.Served})
		c.Next(now)
	}
}
