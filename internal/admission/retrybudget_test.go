package admission

import (
	"testing"
	"time"

	"robindrum/balancer"
)

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
