package admission

import (
	"testing"
	"time"

	"robindrum/balancer"
)

// Covers the retries added by requests and by time, their expiry, and Envoy's max_retries and retry_budget limits.
func TestRetryBudget(t *testing.T) {
	c := newController(t, func(o *Options) { o.RetryRatio, o.RetryRate, o.RetryTTL = 0.2, 1, 10*time.Second })
	retryUntilDenied := func(now time.Duration) (n int) {
		for c.MayRetry(now, false) && n < 1000 {
			c.RetryStarted(now, false)
			n++
		}
		return n
	}
	if n := retryUntilDenied(0); n != 10 {
		t.Errorf("retries at the start: got %d, want 10 (1 per second for a TTL of 10 s)", n)
	}
	for i := range uint64(100) {
		c.arrive(time.Second, i+1, "map", "")
	}
	if n := retryUntilDenied(time.Second); n != 20 {
		t.Errorf("retries after 100 requests: got %d, want 20", n)
	}
	if n := retryUntilDenied(15 * time.Second); n != 10 {
		t.Errorf("retries 14 s later, with deposits and withdrawals expired: got %d, want 10", n)
	}
	for name, o := range map[string]func(*Options){
		"max_retries":  func(o *Options) { o.MaxRetries = 3 },
		"retry_budget": func(o *Options) { o.RetryPercent, o.MinRetries = 10, 3 },
	} {
		c = newController(t, o)
		if n := retryUntilDenied(0); n != 3 {
			t.Errorf("%s: got %d retries in flight, want 3", name, n)
		}
		c.AttemptEnded(0, balancer.AttemptSample{Class: "map", Retry: true, Result: balancer.Cancelled})
		if n := retryUntilDenied(0); n != 1 {
			t.Errorf("%s: got %d more retries after one ended, want 1", name, n)
		}
	}
	for i := range uint64(80) {
		c.arrive(0, i+1, "map", "")
	}
	if c.options.RetryPercent > 0 {
		if n := retryUntilDenied(0); n != 5 {
			t.Errorf("retry_budget: got %d more retries with 80 requests in flight, want 5", n)
		}
	}
}
