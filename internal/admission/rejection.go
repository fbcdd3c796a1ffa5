package admission

import (
	"slices"
	"time"

	"robindrum/internal/resource"
)

// Reason is the reason for which a request was rejected.
type Reason uint8

// The reasons for rejections.
const (
	QueueFull           Reason = iota // the queue is full and holds no request that may be displaced
	ExpectedWaitTooLong               // the expected wait was too long at arrival
	WaitedTooLong                     // the maximum wait expired in the queue
	Displaced                         // replaced by a request of a class with a higher weight or of a tenant with fewer queued requests
	reasonCount
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

// drop removes a request from the queue. A later call of Next returns it as rejected.
func (c *Controller) drop(now time.Duration, e *entry, reason Reason) {
	c.remove(e)
	retryAfter := c.reject(now, e.class, reason)
	c.queue.dropped = append(c.queue.dropped, droppedRequest{e.seq, retryAfter})
	c.queue.free(e)
}

// fitsBytes reports whether Options.PendingBytes allows the request to be queued, possibly after dropping requests of the same
// priority whose class has a lower weight.
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

// leastValuableClass returns the class with the lowest weight among the classes with queued requests that have the priority of k
// and a lower weight than k. It returns nil if there is none.
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

// displace makes room in a full queue for a request of class k. It drops the oldest request of the class returned by
// leastValuableClass or, if there is none, of the tenant of class k with the most queued requests, provided that the tenant still
// has at least as many as the request's tenant afterwards. It reports whether it dropped a request.
func (c *Controller) displace(now time.Duration, k *class, tenant string) bool {
	if lowerClass := c.leastValuableClass(k); lowerClass != nil {
		c.drop(now, lowerClass.longestQueue().first, Displaced)
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
