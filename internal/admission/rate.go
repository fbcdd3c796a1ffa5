package admission

import (
	"math"
	"time"
)

// rateWindow is the time constant of a rate.
const rateWindow = 500 * time.Millisecond

// rate counts events a second, with exponential decay.
type rate struct {
	count     float64
	decayedAt time.Duration
	lastEvent time.Duration
	runStart  time.Duration // first event after a long pause
}

func (r *rate) decay(now time.Duration) {
	elapsed := now - r.decayedAt
	if elapsed <= 0 {
		return
	}
	if elapsed > 2*rateWindow {
		r.runStart = now
	}
	r.count *= math.Exp(-float64(elapsed) / float64(rateWindow))
	r.decayedAt = now
}

func (r *rate) add(now time.Duration) {
	r.decay(now)
	if r.count == 0 {
		r.runStart = now
	}
	r.lastEvent = now
	r.count++
}

// perSecond returns the rate, corrected for a run that is shorter than the window.
func (r *rate) perSecond(now time.Duration) float64 {
	r.decay(now)
	counted := float64(rateWindow) * (1 - math.Exp(-float64(now-r.runStart)/float64(rateWindow)))
	return r.count * float64(time.Second) / max(counted, float64(rateWindow)/20)
}

// significant reports whether there are enough recent events, over enough time.
func (r *rate) significant(now time.Duration) bool {
	return r.count >= minAnswers && now-r.runStart >= 2*period && now-r.lastEvent < rateWindow
}
