package locality

import (
	"math"
	"time"
)

const (
	countWindow    = time.Second            // time constant of counts
	evidenceWindow = 400 * time.Millisecond // time constant of counts that are evidence
)

// decayingCount is a count that decays exponentially. One count always decays with the same time constant.
type decayingCount struct {
	count     float64
	decayedAt time.Duration
}

// decay brings a count to now and returns it.
func (d *decayingCount) decay(now time.Duration) *decayingCount {
	return d.decayOver(now, countWindow)
}

// decayEvidence is decay for counts that are evidence.
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
