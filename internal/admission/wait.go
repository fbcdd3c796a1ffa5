package admission

import (
	"math"
	"time"
)

// maxWait is how long a request may be queued so that its answer is in time. Where answers take nearly as long as the objective,
// it is an eighth of it.
func (c *Controller) maxWait(k *class, timeLeft time.Duration) time.Duration {
	available := min(k.LatencyObjective, timeLeft)
	latency := k.mean
	limit := c.maxInFlightOf(k.highPriority)
	if c.throughput.known > 0 && limit < math.MaxInt { // the mean may be of a time with more in flight
		latency = min(latency, k.baseline+float64(limit)/c.throughput.known*float64(time.Second))
	}
	wait := max(available*9/10-time.Duration(latency+k.deviation), available/8)
	if c.options.MaxWait > 0 {
		wait = min(wait, c.options.MaxWait)
	}
	return wait
}

// expectedWait is how long a request of a class would be queued: the requests that start before it, over the throughput. It is 0
// where the throughput is not known.
func (c *Controller) expectedWait(now time.Duration, k *class, tenant string) time.Duration {
	ahead, moreValuableRate := 0, 0.0
	for _, other := range c.classes {
		switch {
		case other == k:
			ahead += min(k.queued, (k.queuedOf(tenant)+1)*len(k.tenants)) // tenants take turns
		case other.PriorityWeight >= k.PriorityWeight:
			ahead += other.queued
			if other.PriorityWeight > k.PriorityWeight {
				moreValuableRate += other.arrivals.perSecond(now)
			}
		}
	}
	throughput := c.currentThroughput(now)
	if throughput <= 0 {
		return 0
	}
	throughput = max(throughput-moreValuableRate, throughput*c.options.Floor, 1e-3)
	return time.Duration(float64(ahead) / throughput * float64(time.Second))
}

// throughputEstimate is how many requests a second the endpoints can answer.
type throughputEstimate struct {
	whileQueued     rate          // answers while requests were queued
	known           float64       // the last throughput measured while requests were queued, or the highest of an interval since; 0: none
	intervalAnswers int           // in the interval under way
	intervalStart   time.Duration // an interval is one period long
}

// answered notes the end of a request.
func (t *throughputEstimate) answered(now time.Duration, queued bool) {
	if queued {
		t.whileQueued.add(now)
	}
	t.intervalAnswers++
	length := now - t.intervalStart
	if length < period {
		return
	}
	if length < 2*period { // otherwise there was a pause
		t.known = max(t.known, float64(t.intervalAnswers)/length.Seconds())
	}
	t.intervalAnswers = 0
	t.intervalStart = now
}

// currentThroughput is how many requests a second the endpoints answer: what they did while requests were queued or, before that
// is known again, the better of the last known one and what Little's law says. It is 0 where nothing is known.
func (c *Controller) currentThroughput(now time.Duration) float64 {
	if c.queue.count > 0 && c.throughput.whileQueued.significant(now) {
		c.throughput.known = c.throughput.whileQueued.perSecond(now)
		return c.throughput.known
	}
	sum, weights := 0.0, 0.0
	for _, k := range c.classes {
		if k.mean > 0 {
			weight := k.answers.perSecond(now) + 1e-3
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
