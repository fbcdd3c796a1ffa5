package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

// MaxPollInterval is the longest time between two polls of the endpoint list while polls fail. All proxies count as notified of a
// change 6 s after the list becomes reachable; the remaining second is for the queue at the endpoint list service.
const MaxPollInterval = 5 * time.Second

// pollSchedule decides when a proxy polls the endpoint list. It spreads the polls of all proxies so that they do not overload the
// endpoint list service.
type pollSchedule struct {
	settings *Settings
	host     Host
	rng      *rand.Rand

	timerSet    bool          // the timer of the next poll is running
	pending     bool          // a poll is in progress
	watchBroken bool          // the watch broke, and no poll has ended since then
	polledAt    time.Duration // start of the last poll
}

// failed schedules the next poll after a poll failed or the watch broke. silentFor is how long a broken watch had received nothing.
func (p *pollSchedule) failed(now, silentFor time.Duration) {
	interval := p.interval()
	switch {
	case !p.pending: // the watch broke and may have missed a change
		p.watchBroken = true
		p.schedule(p.spread(min(interval*3/10, interval-silentFor)))
	case p.watchBroken:
		// The service also processes queued calls that have timed out. If proxies polled again soon after a failure, its queue
		// would never get shorter than the timeout. So each proxy moves once to its own offset within the interval and keeps it.
		p.watchBroken = false
		p.schedule(p.polledAt + interval*2/5 + p.spread(interval*3/5) - now)
	default:
		// With a larger jitter, polls would arrive in bursts, and dozens of them would fail at a service that is near its capacity.
		jitter := time.Duration(p.rng.Float64() * float64(interval/20))
		p.schedule(p.polledAt + interval - jitter - now)
	}
	p.pending = false
}

// cachedListLoaded schedules the first poll. The polls are spread over the whole interval, because proxies that start together would
// otherwise wait in the queue of the service for longer than the timeout of a call.
func (p *pollSchedule) cachedListLoaded() {
	if p.settings.Polled {
		p.schedule(p.spread(p.interval()))
	}
}

// succeeded cancels the scheduled poll because an update of the list was received.
func (p *pollSchedule) succeeded() {
	p.timerSet, p.pending, p.watchBroken = false, false, false
}

// timerExpired polls the list, unless an update was received since the timer was set.
func (p *pollSchedule) timerExpired(now time.Duration) {
	if !p.timerSet {
		return
	}
	p.timerSet = false
	p.pending = true
	p.polledAt = now
	p.host.Watch(true)
}

// schedule sets the timer of the next poll, unless it is running or the list is not polled.
func (p *pollSchedule) schedule(after time.Duration) {
	if p.settings.Polled && !p.timerSet {
		p.timerSet = true
		p.host.SetTimer(pollTimer, max(after, 0))
	}
}

// interval returns the time in which every proxy polls once.
func (p *pollSchedule) interval() time.Duration {
	half := p.settings.MaxPollInterval / 2
	if half > 0 && half < MaxPollInterval {
		return half
	}
	return MaxPollInterval
}

// spread returns the offset of this proxy's poll within a span in which all proxies poll once. The offsets of any subset of the
// proxies are spread evenly.
func (p *pollSchedule) spread(span time.Duration) time.Duration {
	_, fraction := math.Modf(math.Phi*float64(max(p.settings.Index, 0)) + p.rng.Float64()/float64(max(p.settings.Proxies, 1)))
	return time.Duration(fraction * float64(max(span, 0)))
}
