package balancer

import (
	"fmt"
	"testing"
	"time"
)

// known gives a balancer that knows how long its classes take: 10 ms, give or take 2.
func known(t *testing.T, set Settings) (*Balancer, *recorder) {
	t.Helper()
	b, h := start(t, set, oneZone(4))
	for i := range 60 {
		for _, class := range []string{"safe", "once"} {
			id := fmt.Sprint(class, i)
			b.Request(time.Duration(i)*10*ms, Request{ID: id, Class: class, TimeLeft: 1000 * ms})
			h.take()
			end(b, time.Duration(i)*10*ms+10*ms, id, Served, time.Duration(8+4*(i%2))*ms)
		}
	}
	b.Timer(605*ms, hedgeTimer) // nothing is out: no further look is asked for
	if h.take(); b.hedgeTimerSet {
		t.Error("looks at nothing")
	}
	return b, h
}

// No copy is made of what must not run twice, where copies are not allowed, or beyond the budget.
func TestNoSecondCopy(t *testing.T) {
	for name, c := range map[string]struct {
		class string
		spoil func(*Balancer)
	}{
		"unsafe":      {"once", func(*Balancer) {}},
		"not allowed": {"safe", func(b *Balancer) { b.settings.ParallelAttempts = false }},
		"no budget":   {"safe", func(b *Balancer) { b.retryBudget.tokens = 0.5 }},
	} {
		b, h := known(t, settings())
		c.spoil(b)
		b.Request(700*ms, Request{ID: "r", Class: c.class, TimeLeft: 1000 * ms})
		h.take()
		b.Timer(1200*ms, hedgeTimer)
		if a := h.take(); len(a) != 0 {
			t.Errorf("%s: %v", name, a)
		}
	}
}

// A copy waits for an answer that is late by the class's own spread, not by its mean: the tail of usual answers
// is no reason for one, as copies eat the retry budget.
func TestSecondCopyWaitsForTheSpread(t *testing.T) {
	b, h := known(t, settings())
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

// A server is held to hang by the spread as well: twice the mean is no silence to speak of.
func TestUsualSilenceEjectsNobody(t *testing.T) {
	b, h := known(t, settings())
	b.Request(700*ms, Request{ID: "r", Class: "once", TimeLeft: 1000 * ms})
	s := b.endpoints.byID[h.take()[0].server]
	if b.ejected(s, 725*ms) {
		t.Error("out after 25 ms, where answers take 10 give or take 2")
	}
	if !b.ejected(s, 760*ms) {
		t.Error("in after 60 ms")
	}
}
