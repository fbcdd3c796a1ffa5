package admission

import (
	"slices"
	"time"

	"robindrum/internal/resource"
)

// Reason is why a request was rejected.
type Reason uint8

// The reasons of rejections.
const (
	QueueFull     Reason = iota // the queue is full of requests of no less value
	TooLate                     // it would start too late
	WaitedTooLong               // it did not start in time
	Displaced                   // a more valuable request, or one of a tenant with fewer queued, took its place
	reasons
)

// String returns the reason's name in metrics and reports.
func (r Reason) String() string {
	return [...]string{"queue_full", "no_prospect", "waited_too_long", "displaced"}[r]
}

// reject counts a rejection and returns its Retry-After.
func (c *Controller) reject(now time.Duration, k *class, reason Reason) time.Duration {
	c.rejected[reason]++
	k.rejected++
	c.rejections.add(now)
	c.lastRejection = now
	if !c.overloaded {
		c.overloaded = true
		c.notify(now)
	}
	rejectionRate := c.rejections.perSecond(now)
	throughput := c.currentThroughput(now)
	return resource.RetryAfter(rejectionRate, throughput, c.options.MaxRetryAfter, c.rng.Float64())
}

// drop takes a request out of the queue, to be rejected by the next call of Next.
func (c *Controller) drop(now time.Duration, e *entry, reason Reason) {
	c.remove(e)
	retryAfter := c.reject(now, e.class, reason)
	c.queue.dropped = append(c.queue.dropped, droppedRequest{e.seq, retryAfter})
	c.queue.free(e)
}

// fitsBytes reports whether a request's bytes can be queued, if need be in place of those of less valuable requests.
func (c *Controller) fitsBytes(k *class, size int64) bool {
	if c.options.PendingBytes == 0 {
		return true
	}
	bytes := c.queue.bytes + size
	for _, other := range c.classes {
		if other.PriorityWeight < k.PriorityWeight && other.highPriority == k.highPriority {
			bytes -= other.queuedBytes
		}
	}
	return bytes <= c.options.PendingBytes
}

// leastValuableClass is the class with the lowest weight that has queued requests, of those of the same priority with a lower
// weight than k. It is nil if there is none.
func (c *Controller) leastValuableClass(k *class) *class {
	for _, other := range slices.Backward(c.classes) {
		if other.PriorityWeight >= k.PriorityWeight {
			return nil
		}
		if other.queued > 0 && other.highPriority == k.highPriority {
			return other
		}
	}
	return nil
}

// displace makes room for a request in a full queue. It drops the oldest request of the least valuable class below its own, or
// that of a tenant of its own class with more queued requests, and reports whether there was one.
func (c *Controller) displace(now time.Duration, k *class, tenant string) bool {
	if lesser := c.leastValuableClass(k); lesser != nil {
		c.drop(now, lesser.longestQueue().first, Displaced)
		return true
	}
	if k.queued == 0 {
		return false
	}
	longest := k.longestQueue()
	if longest.count <= k.queuedOf(tenant)+1 {
		return false
	}
	c.drop(now, longest.first, Displaced)
	return true
}
