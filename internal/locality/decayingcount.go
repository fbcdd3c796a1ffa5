package locality

import (
	"math"
	"time"
)

const (
	countWindow    = time.Second            // time constant of most counts
	evidenceWindow = 400 * time.Millisecond // time constant of counts that serve as evidence
)

// decayingCount is a count that decays exponentially. All calls on one count must use the same time constant.
type decayingCount struct {
	count     float64
	decayedAt time.Duration
}

// decay applies the decay until now, over countWindow, and returns the count.
func (d *decayingCount) decay(now time.Duration) *decayingCount {
	return d.decayOver(now, countWindow)
}

// decayEvidence is like decay, but over evidenceWindow.
func (d *decayingCount) decayEvidence(now time.Duration) *decayingCount {
	return d.decayOver(now, evidenceWindow)
}

func (d *decayingCount) decayOver(now, timeConstant time.Duration) *decayingCount {
	if now > d.decayedAt {
		d.count *= math.Exp(-float64(now-d.decayedAt) / float64(timeConstant))
		d.decayedAt = now
	}
	return d
}
