package admission

import (
	"math"
	"time"
)

// maxWait returns how long a request may be queued so that its response is still in time: within the latency objective and the
// client's remaining time. If responses take nearly as long as that, it returns an eighth of that time.
func (c *Controller) maxWait(k *class, timeLeft time.Duration) time.Duration {
	available := min(k.LatencyObjective, timeLeft)
	latency := k.mean
	limit := c.maxInFlightOf(k.highPriority)
	if c.throughput.known > 0 && limit < math.MaxInt { // the mean may date from a time with more requests in flight
		latency = min(latency, k.baseline+float64(limit)/c.throughput.known*float64(time.Second))
	}
	wait := max(available*9/10-time.Duration(latency+k.deviation), available/8)
	if c.options.MaxWait > 0 {
		wait = min(wait, c.options.MaxWait)
	}
	return wait
}

// expectedWait returns how long a new request of class k and the given tenant would be queued: the number of requests that start
// before it, divided by the throughput that is left for class k. It returns 0 if the throughput is unknown.
func (c *Controller) expectedWait(now time.Duration, k *class, tenant string) time.Duration {
	ahead, higherWeightRate := 0, 0.0
	for _, other := range c.classes {
		switch {
		case other == k:
			ahead += min(k.queued, (k.queuedOf(tenant)+1)*len(k.tenants)) // tenants take turns
		case other.PriorityWeight >= k.PriorityWeight:
			ahead += other.queued
			if other.PriorityWeight > k.PriorityWeight {
				higherWeightRate += other.arrivals.perSecond(now)
			}
		}
	}
	throughput := c.currentThroughput(now)
	if throughput <= 0 {
		return 0
	}
	throughput = max(throughput-higherWeightRate, throughput*c.options.Floor, 1e-3)
	return time.Duration(float64(ahead) / throughput * float64(time.Second))
}

// throughputEstimate estimates how many requests per second the endpoints can serve.
type throughputEstimate struct {
	whileQueued       rate          // responses while requests were queued
	known             float64       // last throughput measured while requests were queued, or the highest of an interval since; 0: unknown
	intervalResponses int           // in the current interval
	intervalStart     time.Duration // an interval lasts at least one period
}

// observeResponse records the end of a request. queued tells whether other requests are queued.
func (t *throughputEstimate) observeResponse(now time.Duration, queued bool) {
	if queued {
		t.whileQueued.add(now)
	}
	t.intervalResponses++
	length := now - t.intervalStart
	if length < period {
		return
	}
	if length < 2*period { // a longer interval contains a pause
		t.known = max(t.known, float64(t.intervalResponses)/length.Seconds())
	}
	t.intervalResponses = 0
	t.intervalStart = now
}

// currentThroughput returns how many requests per second the endpoints serve: the rate measured while requests are queued or, if
// that is not significant, the higher of the last known throughput and the estimate by Little's law. It returns 0 if nothing is
// known.
func (c *Controller) currentThroughput(now time.Duration) float64 {
	if c.queue.count > 0 && c.throughput.whileQueued.significant(now) {
		c.throughput.known = c.throughput.whileQueued.perSecond(now)
		return c.throughput.known
	}
	sum, weights := 0.0, 0.0
	for _, k := range c.classes {
		if k.mean > 0 {
			weight := k.responses.perSecond(now) + 1e-3
			sum += k.mean * weight
			weights += weight
		}
	}
	if weights == 0 || sum == 0 {
		return c.throughput.known
	}
	meanLatency := sum / weights
	return max(float64(c.inFlight)/meanLatency*float64(time.Second), c.throughput.known)
}
