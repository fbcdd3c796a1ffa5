package admission

import (
	"fmt"
	"testing"
	"time"

	"robindrum/balancer"
)

// The class with the highest weight starts first, except for the starts that the floor guarantees to the other classes.
func TestHighestWeightStartsFirstAboveFloor(t *testing.T) {
	c := newController(t, func(o *Options) { o.Mode, o.Limit, o.Floor = Fixed, 1, 0.1 })
	c.arrive(0, 1, "map", "")
	for i := range uint64(60) {
		for j, class := range []string{"map", "hold", "pay"} {
			if v := c.arrive(0, 10+3*i+uint64(j), class, ""); v != balancer.Enqueue {
				t.Fatalf("Arrive: got decision %d, want %d", v, balancer.Enqueue)
			}
		}
	}
	got := [3]int{}
	for range 60 {
		c.Release(0, false)
		for _, seq := range c.startQueued(0) {
			got[(seq-10)%3]++
		}
	}
	if got[2] < 45 || got[0] < 4 || got[1] < 4 {
		t.Errorf("60 starts: got %d map, %d hold, %d pay, want at least 4, 4, 45", got[0], got[1], got[2])
	}
}

// A tenant that floods the queue does not delay the requests of another tenant, even if the queue is full.
func TestTenantsTakeTurns(t *testing.T) {
	c := newController(t, func(o *Options) { o.Mode, o.Limit, o.MaxPending = Fixed, 1, 40 })
	c.arrive(0, 1, "map", "x")
	for i := range uint64(40) {
		c.arrive(0, 100+i, "map", "flood")
	}
	if v := c.arrive(0, 200, "map", "flood"); v != balancer.Reject {
		t.Errorf("one more request of the flooding tenant: got decision %d, want %d", v, balancer.Reject)
	}
	for i := range uint64(5) {
		if v := c.arrive(0, 300+i, "map", "small"); v != balancer.Enqueue {
			t.Fatalf("request of the small tenant: got decision %d, want %d", v, balancer.Enqueue)
		}
	}
	small := 0
	for range 10 {
		c.Release(0, false)
		for _, seq := range c.startQueued(0) {
			if seq >= 300 {
				small++
			}
		}
	}
	if small != 5 || c.rejected[Displaced] != 5 {
		t.Errorf("small tenant's starts among 10: got %d, want 5; displaced: got %d, want 5", small, c.rejected[Displaced])
	}
	if v := c.arrive(0, 400, "pay", "flood"); v != balancer.Enqueue {
		t.Errorf("request of a class with a higher weight: got decision %d, want %d", v, balancer.Enqueue)
	}
}

// Queued requests that can no longer get a response in time are rejected. The newest starts first once the oldest would be late.
func TestLateQueuedRequestsAreRejected(t *testing.T) {
	c := newController(t, func(o *Options) { o.Mode, o.Limit = Fixed, 1 })
	c.arrive(0, 1, "map", "")
	c.arrive(0, 2, "map", "")
	c.arrive(200*ms, 3, "map", "")
	if l := c.startQueued(260 * ms); len(l) != 0 {
		t.Errorf("requests started at the limit: got %v, want none", l)
	}
	if seq, v, after, ok := c.Next(271 * ms); !ok || seq != 2 || v != balancer.Reject || after <= 0 {
		t.Errorf("Next: got request %d, decision %d, Retry-After %v, ok %v, want request 2 rejected with a positive Retry-After", seq, v, after, ok)
	}
	if c.rejected[WaitedTooLong] != 1 || c.queue.count != 1 {
		t.Errorf("rejected after waiting too long: got %d, want 1; queued: got %d, want 1", c.rejected[WaitedTooLong], c.queue.count)
	}
	c.arrive(272*ms, 4, "map", "")
	c.Release(280*ms, false)
	if l := c.startQueued(280 * ms); fmt.Sprint(l) != "[4]" {
		t.Errorf("requests started when the oldest are late: got %v, want [4], the newest", l)
	}
}

// The total size of queued requests is limited. A request displaces requests of classes with a lower weight if that frees enough
// bytes.
func TestPendingBytesLimit(t *testing.T) {
	c := newController(t, func(o *Options) { o.Mode, o.Limit, o.PendingBytes = Fixed, 1, 100 })
	seq := uint64(0)
	sendRequest := func(class string, size int64) balancer.AdmissionDecision {
		seq++
		v, _ := c.Arrive(0, balancer.Arrival{Seq: seq, Class: class, Size: size, TimeLeft: time.Second})
		return v
	}
	sendRequest("map", 1000) // admitted at once, so its size does not count
	for i, want := range []struct {
		class  string
		size   int64
		v      balancer.AdmissionDecision
		queued int64
	}{{"map", 60, balancer.Enqueue, 60}, {"map", 41, balancer.Reject, 60}, {"map", 40, balancer.Enqueue, 100}, {"pay", 101, balancer.Reject, 100}, {"pay", 50, balancer.Enqueue, 90},
		{"hold", 60, balancer.Reject, 90}, {"hold", 50, balancer.Enqueue, 100}} {
		if v := sendRequest(want.class, want.size); v != want.v || c.queue.bytes != want.queued {
			t.Errorf("request %d, class %s, %d bytes: got decision %d, %d bytes queued, want %d, %d", i, want.class, want.size, v, c.queue.bytes, want.v, want.queued)
		}
	}
	if c.rejected[Displaced] != 2 || c.rejected[QueueFull] != 3 {
		t.Errorf("rejections: got %d displaced, %d for a full queue, want 2, 3", c.rejected[Displaced], c.rejected[QueueFull])
	}
}
