package admission

import (
	"fmt"
	"testing"
	"time"

	"robindrum/balancer"
)

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
