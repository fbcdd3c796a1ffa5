package locality

import (
	"math"
	"time"
)

const (
	capacityPeriod    = 100 * time.Millisecond // shortest period of observations
	minCapacitySample = 3                      // attempts that a period needs
	unknownBusyRatio  = 0.5                    // busyRatio where no latency is known
	maxBadShare       = 0.2                    // share of a period's attempts that failed or were late; above it the locality is busy
	maxOwnBadShare    = 0.5                    // like maxBadShare, for the own zone
	objectiveShare    = 0.3                    // share of the latency objective; a latency below it never makes a locality busy
	ownObjectiveShare = 0.6                    // like objectiveShare, for the own zone
	capacityDecrease  = 0.8                    // factor by which the limit of a busy locality shrinks
	minUsedShare      = 0.7                    // share of the limit that must have been in flight for the limit to grow
	unlimitedAfter    = 10 * countWindow       // the own zone loses its limit after this long without being busy
)

// capacity limits the attempts in flight in a locality by its measured performance: the limit grows while it is used and answers are in
// time, and shrinks as soon as latency rises. The own zone has no limit until it is busy.
type capacity struct {
	max            float64 // attempts in flight
	min            float64
	tolerance      float64 // multiple of the best latency, above which the locality is busy
	objectiveShare float64
	neverBusy      bool          // the limit grows faster until the locality is busy for the first time
	busyAt         time.Duration // when the locality was last found busy

	// Observations of the current period.
	periodStart  time.Duration
	peak         float64 // most attempts in flight at once
	ended        float64 // attempts that ended
	bad          float64 // failed or late
	busyRatios   float64 // sum of the busy ratios of served attempts
	ratioSamples float64
}

// reset sets the initial limit, which is low because nothing is known about the locality. The own zone starts without a limit.
func (c *capacity) reset(o *Options, own bool) {
	initial := max(o.FirstRoom/float64(o.Gateways), 1)
	*c = capacity{
		max:            initial,
		min:            max(initial/4, 1),
		tolerance:      o.Tolerance,
		objectiveShare: objectiveShare,
		neverBusy:      true,
		busyAt:         math.MinInt64 / 2,
	}
	if own {
		c.max = math.Inf(1)
		c.tolerance = o.OwnTolerance
		c.objectiveShare = ownObjectiveShare
	}
}

// busy reports whether the locality was found busy within the last second.
func (c *capacity) busy(now time.Duration) bool {
	return now-c.busyAt < countWindow
}

// tooBusyForHedges reports whether a locality is too busy to take hedges from another locality.
func (l *locality) tooBusyForHedges(now time.Duration) bool {
	return float64(l.inFlight) >= l.capacity.max/2 || l.capacity.busy(now)
}

// busyRatio returns the latency of an observation divided by the latency above which the locality is busy. The latter is a multiple of
// the best latency, but at least a share of the objective, because a single queued request already doubles the best latency.
func (c *capacity) busyRatio(bestLatency float64, o observation) float64 {
	busyLatency := max(c.tolerance*bestLatency, c.objectiveShare*float64(o.objective))
	if bestLatency <= 0 || busyLatency <= 0 {
		return unknownBusyRatio
	}
	return float64(o.latency) / busyLatency
}

// observe records an attempt that ended and adjusts the limit at the end of a period. ratio is the attempt's busyRatio, or 0 if it was
// not served.
func (c *capacity) observe(now time.Duration, l *locality, ratio float64, bad bool) {
	if c.periodStart == 0 {
		c.periodStart = now
	}
	c.ended++
	ownFailure := l.own && ratio <= 0 // handled by the state of the own zone
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

// adjust changes the limit according to the observations of a period. The limit grows only while it is used: if it also grew under
// light load, it would be too high to protect the locality when the load rises.
func (c *capacity) adjust(now time.Duration, own bool) {
	good := c.ended - c.bad
	slow := c.ratioSamples > 0 && c.busyRatios/c.ratioSamples > 1
	badShare := maxBadShare
	if own {
		badShare = maxOwnBadShare
	}
	switch {
	case slow || c.bad > badShare*c.ended:
		c.neverBusy = false
		c.busyAt = now
		c.max = max(min(c.max, c.peak)*capacityDecrease, c.min)
	case c.peak >= minUsedShare*c.max:
		if c.neverBusy {
			c.max += min(good, c.max/2)
		} else {
			c.max += min(good/c.max, max(c.max/10, 1))
		}
	case own && !c.busy(now-unlimitedAfter):
		c.max = math.Inf(1)
	}
}
