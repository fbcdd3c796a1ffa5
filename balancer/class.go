package balancer

import "math"

const (
	minSamples       = 10.0 // served attempts from which on a class's latency counts as known
	smoothingSamples = 50.0 // of which a new sample counts for one from then on
)

// class is a class and how long its requests take.
type class struct {
	Class
	latency   float64 // mean of served attempts, in nanoseconds
	deviation float64 // mean deviation from it, in nanoseconds
	samples   float64
}

// observeLatency takes the latency of a served attempt, in nanoseconds.
func (c *class) observeLatency(latency float64) {
	c.samples++
	smoothing := smoothingSamples
	if c.samples <= minSamples {
		smoothing = c.samples
	}
	if c.samples > 1 { // a single sample has no deviation
		c.deviation += (math.Abs(latency-c.latency) - c.deviation) / smoothing
	}
	c.latency += (latency - c.latency) / smoothing
}

// weightPerWork is the priority weight of a request over the work that it takes.
func (c *class) weightPerWork(weightByWork bool) float64 {
	if weightByWork {
		return c.PriorityWeight
	}
	return c.PriorityWeight / max(c.latency, 1)
}

// objectiveStretch is the multiple of its mean latency that a request may take within the latency objective.
func (c *class) objectiveStretch() float64 {
	return float64(c.LatencyObjective) / max(c.latency, 1)
}
