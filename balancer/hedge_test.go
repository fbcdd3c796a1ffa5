package balancer

import (
	"fmt"
	"testing"
	"time"
)

// startWithLatencies returns a Balancer that has observed the latencies of two classes: 10 ms with a mean deviation of 2 ms.
func startWithLatencies(t *testing.T, cfg Settings) (*Balancer, *recorder) {
	t.Helper()
	b, h := newTestBalancer(t, cfg, oneZone(4))
	for i := range 60 {
		for _, class := range []string{"safe", "once"} {
			id := fmt.Sprint(class, i)
			b.Request(time.Duration(i)*10*ms, Request{ID: id, Class: class, TimeLeft: 1000 * ms})
			h.takeActions()
			endAttempt(b, time.Duration(i)*10*ms+10*ms, id, Served, time.Duration(8+4*(i%2))*ms)
		}
	}
	b.Timer(605*ms, hedgeTimer) // nothing is in flight, so the timer is not set again
	if h.takeActions(); b.hedgeTimerSet {
		t.Error("hedge timer is set with nothing in flight")
	}
	return b, h
}

// No hedge is sent for a request that must not be repeated, if parallel attempts are not allowed, or without retry budget.
func TestHedgeIsNotSent(t *testing.T) {
	for name, c := range map[string]struct {
		class  string
		change func(*Balancer)
	}{
		"not idempotent": {"once", func(*Balancer) {}},
		"not allowed":    {"safe", func(b *Balancer) { b.settings.ParallelAttempts = false }},
		"no budget":      {"safe", func(b *Balancer) { b.retryBudget.tokens = 0.5 }},
	} {
		b, h := startWithLatencies(t, settings())
		c.change(b)
		b.Request(700*ms, Request{ID: "r", Class: c.class, TimeLeft: 1000 * ms})
		h.takeActions()
		b.Timer(1200*ms, hedgeTimer)
		if a := h.takeActions(); len(a) != 0 {
			t.Errorf("%s: got actions %v, want none", name, a)
		}
	}
}

// The hedge delay depends on the deviation of the latency, not only on its mean. Otherwise, hedges for the usual tail of latencies
// would use up the retry budget.
func TestHedgeWaitsForDeviation(t *testing.T) {
	b, h := startWithLatencies(t, settings())
	if c := b.classes["safe"]; c.deviation < 1e6 || c.deviation > 3e6 {
		t.Fatalf("got mean deviation %v ns, want about 2 ms", c.deviation)
	}
	b.Request(700*ms, Request{ID: "r", Class: "safe", TimeLeft: 1000 * ms})
	first := h.takeActions()
	b.Timer(725*ms, hedgeTimer) // 2.5 times the mean latency, but within 14 deviations
	if a := h.takeActions(); len(a) != 0 {
		t.Errorf("after 25 ms: got actions %v, want none", a)
	}
	b.Timer(750*ms, hedgeTimer)
	if a := h.takeActions(); len(a) != 1 || a[0].kind != "send" || a[0].server == first[0].server {
		t.Errorf("after 50 ms: got actions %v, want a send to another server", a)
	}
}
