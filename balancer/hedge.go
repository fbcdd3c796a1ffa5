package balancer

import (
	"maps"
	"slices"
	"time"
)

// hedgeDeviations is how many mean deviations over the mean latency an answer is overdue. Latency has a long tail: with a bound
// that does not grow with the spread, hedges would use up the retry budget.
const hedgeDeviations = 14.0

// hedgeDelay is how long an answer may take before it is overdue.
func (c *class) hedgeDelay() time.Duration {
	if c.samples < minSamples {
		return c.Deadline
	}
	return time.Duration(c.latency + hedgeDeviations*c.deviation)
}

// setHedgeTimer starts the one timer that serves all requests: one for each would be expensive.
func (b *Balancer) setHedgeTimer() {
	if b.settings.ParallelAttempts && !b.hedgeTimerSet {
		b.hedgeTimerSet = true
		b.host.SetTimer(hedgeTimer, b.minObjective/4)
	}
}

// hedgeTimerExpired looks for overdue attempts.
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

// hedge sends a further attempt of a request beside one that is overdue. A LocalityPicker may allow a second hedge in another
// locality, as all attempts within one that does not answer are lost alike.
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
