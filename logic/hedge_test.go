package logic

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
			b.Request(time.Duration(i)*10*ms, Request{ID: id, Class: class, Left: 1000 * ms})
			h.take()
			end(b, time.Duration(i)*10*ms+10*ms, id, Served, time.Duration(8+4*(i%2))*ms)
		}
	}
	b.Timer(605*ms, looksSeq) // nothing is out: no further look is asked for
	if h.take(); b.looking {
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
		"not allowed": {"safe", func(b *Balancer) { b.set.ParallelTries = false }},
		"no budget":   {"safe", func(b *Balancer) { b.budget = 0.5 }},
	} {
		b, h := known(t, settings())
		c.spoil(b)
		b.Request(700*ms, Request{ID: "r", Class: c.class, Left: 1000 * ms})
		h.take()
		b.Timer(1200*ms, looksSeq)
		if a := h.take(); len(a) != 0 {
			t.Errorf("%s: %v", name, a)
		}
	}
}
