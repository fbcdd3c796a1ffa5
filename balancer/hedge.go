package balancer

import (
	"maps"
	"slices"
	"time"
)

// hedgeDeviations is the number of mean deviations above the mean latency after which an answer is overdue. Latency has a long
// tail: with a limit that does not grow with the deviation, hedges would use up the retry budget.
const hedgeDeviations = 14.0

// hedgeDelay returns the time after which an answer is overdue and the request may be hedged.
func (c *class) hedgeDelay() time.Duration {
	if c.samples < minSamples {
		return c.Deadline
	}
	return time.Duration(c.latency + hedgeDeviations*c.deviation)
}

// setHedgeTimer starts the timer that all requests share, unless it is running. A timer per request would be expensive.
func (b *Balancer) setHedgeTimer() {
	if b.settings.ParallelAttempts && !b.hedgeTimerSet {
		b.hedgeTimerSet = true
		b.host.SetTimer(hedgeTimer, b.minObjective/4)
	}
}

// hedgeTimerExpired hedges the requests with overdue attempts, as far as the retry budget allows.
func (b *Balancer) hedgeTimerExpired(now time.Duration) {
	b.hedgeTimerSet = false
	if len(b.requests.unanswered) == 0 {
		return
	}
	if b.settings.Admission != nil || b.settings.Localities != nil || b.retryBudget.available() {
		for _, seq := range slices.Sorted(maps.Keys(b.requests.unanswered)) {
			r := b.requests.unanswered[seq]
			if r.inFlight > 0 {
				b.hedge(now, r)
			}
		}
	}
	b.setHedgeTimer()
}

// hedge sends another attempt of a request if its last one is overdue. A LocalityPicker may allow further hedges in another
// locality, because all attempts within an unresponsive locality fail together.
func (b *Balancer) hedge(now time.Duration, r *request) {
	attempts := len(r.attempts)
	if attempts > 1 && b.settings.Localities == nil {
		return
	}
	if r.class.Effect == NonIdempotent || r.streaming {
		return
	}
	if now-r.attempts[attempts-1].sentAt < r.class.hedgeDelay() {
		return
	}
	if s := b.findServer(now, r, Hedge); s != nil {
		b.send(now, r, s)
	}
}
