package balancer

import (
	"fmt"
	"testing"
	"time"
)

// startWithLatencies returns a Balancer that knows how long its classes take: 10 ms, give or take 2.
func startWithLatencies(t *testing.T, set Settings) (*Balancer, *recorder) {
	t.Helper()
	b, h := start(t, set, oneZone(4))
	for i := range 60 {
		for _, class := range []string{"safe", "once"} {
			id := fmt.Sprint(class, i)
			b.Request(time.Duration(i)*10*ms, Request{ID: id, Class: class, TimeLeft: 1000 * ms})
			h.take()
			endAttempt(b, time.Duration(i)*10*ms+10*ms, id, Served, time.Duration(8+4*(i%2))*ms)
		}
	}
	b.Timer(605*ms, hedgeTimer) // nothing is in flight: no further timer is set
	if h.take(); b.hedgeTimerSet {
		t.Error("sets a timer with nothing in flight")
	}
	return b, h
}

// No hedge is sent for a request that must not be repeated, where parallel attempts are not allowed, or without a retry budget.
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
		h.take()
		b.Timer(1200*ms, hedgeTimer)
		if a := h.take(); len(a) != 0 {
			t.Errorf("%s: %v", name, a)
		}
	}
}

// A hedge waits for an answer that is late by the deviation of its class, not by its mean: hedges for the usual tail would use up
// the retry budget.
func TestHedgeWaitsForDeviation(t *testing.T) {
	b, h := startWithLatencies(t, settings())
	if c := b.classes["safe"]; c.deviation < 1e6 || c.deviation > 3e6 {
		t.Fatalf("mean deviation %v ns, want about 2 ms", c.deviation)
	}
	b.Request(700*ms, Request{ID: "r", Class: "safe", TimeLeft: 1000 * ms})
	first := h.take()
	b.Timer(725*ms, hedgeTimer) // two and a half times the mean, but within 14 deviations
	if a := h.take(); len(a) != 0 {
		t.Errorf("after 25 ms: %v", a)
	}
	b.Timer(750*ms, hedgeTimer)
	if a := h.take(); len(a) != 1 || a[0].what != "send" || a[0].server == first[0].server {
		t.Errorf("after 50 ms: %v", a)
	}
}
