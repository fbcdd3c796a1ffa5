package balancer

import "math"

const (
	minSamples       = 10.0 // served attempts after which the latency of a class counts as known
	smoothingSamples = 50.0 // after minSamples, a new sample has a weight of 1/smoothingSamples
)

// class is a request class with its observed latency.
type class struct {
	Class
	latency   float64 // mean latency of served attempts, in nanoseconds
	deviation float64 // mean absolute deviation from latency, in nanoseconds
	samples   float64 // number of served attempts
}

// observeLatency adds the latency of a served attempt, in nanoseconds.
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

// weightPerWork returns the priority weight of a request per unit of work. The mean latency stands for the work.
func (c *class) weightPerWork(weightByWork bool) float64 {
	if weightByWork {
		return c.PriorityWeight
	}
	return c.PriorityWeight / max(c.latency, 1)
}

// objectiveStretch returns the latency objective as a multiple of the mean latency.
func (c *class) objectiveStretch() float64 {
	return float64(c.LatencyObjective) / max(c.latency, 1)
}
