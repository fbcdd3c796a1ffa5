package locality

import (
	"math"
	"time"
)

const (
	capacityPeriod    = 100 * time.Millisecond // of observations, at least
	minCapacitySample = 3                      // attempts in a period
	unknownBusyRatio  = 0.5                    // where no latency is known
	maxBadShare       = 0.2                    // of a period's attempts; above it the locality is busy
	maxOwnBadShare    = 0.5                    // the same for the own zone
	objectiveShare    = 0.3                    // of the latency objective, below which latency shows nothing
	ownObjectiveShare = 0.6                    // the same for the own zone
	capacityDecrease  = 0.8
	minUsedShare      = 0.7              // of the capacity, that must have been in flight for it to grow
	unlimitedAfter    = 10 * countWindow // without being busy, after which the own zone has no limit
)

// capacity limits the attempts in flight in a locality by what it has shown: it grows while it is used and answers are in time, and
// shrinks as soon as latency rises. The own zone has no limit until it is busy.
type capacity struct {
	max            float64 // attempts in flight
	min            float64
	tolerance      float64 // latency over the best one, above which the locality is busy
	objectiveShare float64
	unexplored     bool // the locality was never busy
	busyAt         time.Duration

	// Observations of the period under way.
	periodStart  time.Duration
	peak         float64 // most attempts in flight at once
	ended        float64
	bad          float64 // failed or late
	busyRatios   float64 // sum over the served attempts
	ratioSamples float64
}

// reset begins with what little is allowed where nothing is known.
func (c *capacity) reset(o *Options, own bool) {
	first := max(o.FirstRoom/float64(o.Gateways), 1)
	*c = capacity{
		max:            first,
		min:            max(first/4, 1),
		tolerance:      o.Tolerance,
		objectiveShare: objectiveShare,
		unexplored:     true,
		busyAt:         math.MinInt64 / 2,
	}
	if own {
		c.max = math.Inf(1)
		c.tolerance = o.OwnTolerance
		c.objectiveShare = ownObjectiveShare
	}
}

// busy reports whether latency was too high within the last second.
func (c *capacity) busy(now time.Duration) bool {
	return now-c.busyAt < countWindow
}

// halfFull reports whether a locality is too full for hedges from another one.
func (l *locality) halfFull(now time.Duration) bool {
	return float64(l.inFlight) >= l.capacity.max/2 || l.capacity.busy(now)
}

// busyRatio is a latency over the one that shows that a locality is busy: a multiple of the best one, but no less than a share of the
// objective, as a queue of one doubles the best latency.
func (c *capacity) busyRatio(bestLatency float64, o observation) float64 {
	busyLatency := max(c.tolerance*bestLatency, c.objectiveShare*float64(o.objective))
	if bestLatency <= 0 || busyLatency <= 0 {
		return unknownBusyRatio
	}
	return float64(o.latency) / busyLatency
}

// observe takes an attempt; ratio is its busyRatio, or 0 if it was not served.
func (c *capacity) observe(now time.Duration, l *locality, ratio float64, bad bool) {
	if c.periodStart == 0 {
		c.periodStart = now
	}
	c.ended++
	ownFailure := l.own && ratio <= 0 // which the state of the own zone deals with
	if bad && !ownFailure {
		c.bad++
	}
	if ratio > 0 {
		c.ratioSamples++
		c.busyRatios += ratio
	}
	if now-c.periodStart < capacityPeriod || c.ended < minCapacitySample {
		return
	}
	c.adjust(now, l.own)
	c.ended, c.bad, c.busyRatios, c.ratioSamples = 0, 0, 0, 0
	c.periodStart = now
	c.peak = float64(l.inFlight)
}

// adjust changes the limit by the observations of a period. It only grows while it is used: one that grows without need is no limit
// when there is need.
func (c *capacity) adjust(now time.Duration, own bool) {
	good := c.ended - c.bad
	slow := c.ratioSamples > 0 && c.busyRatios/c.ratioSamples > 1
	badShare := maxBadShare
	if own {
		badShare = maxOwnBadShare
	}
	switch {
	case slow || c.bad > badShare*c.ended:
		c.unexplored = false
		c.busyAt = now
		c.max = max(min(c.max, c.peak)*capacityDecrease, c.min)
	case c.peak >= minUsedShare*c.max:
		if c.unexplored {
			c.max += min(good, c.max/2)
		} else {
			c.max += min(good/c.max, max(c.max/10, 1))
		}
	case own && !c.busy(now-unlimitedAfter):
		c.max = math.Inf(1)
	}
}
