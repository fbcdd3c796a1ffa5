package admission

import (
	"math"
	"time"
)

// rateWindow is the time constant of the exponential decay of a rate.
const rateWindow = 500 * time.Millisecond

// rate measures events per second with exponential decay.
type rate struct {
	count     float64
	decayedAt time.Duration // time up to which count has decayed
	lastEvent time.Duration
	runStart  time.Duration // start of the current run: the first event, or the first after a pause of more than two windows
}

// decay applies the decay up to now.
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

// add counts an event.
func (r *rate) add(now time.Duration) {
	r.decay(now)
	if r.count == 0 {
		r.runStart = now
	}
	r.lastEvent = now
	r.count++
}

// perSecond returns the rate. It compensates for a run that is too short to fill the window.
func (r *rate) perSecond(now time.Duration) float64 {
	r.decay(now)
	effectiveWindow := float64(rateWindow) * (1 - math.Exp(-float64(now-r.runStart)/float64(rateWindow)))
	return r.count * float64(time.Second) / max(effectiveWindow, float64(rateWindow)/20)
}

// significant reports whether the rate rests on enough recent events over a long enough run.
func (r *rate) significant(now time.Duration) bool {
	return r.count >= minResponses && now-r.runStart >= 2*period && now-r.lastEvent < rateWindow
}
