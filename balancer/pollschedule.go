package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

// MaxPollInterval is the longest time between two polls of the endpoint list while polls fail. All proxies count as notified of a
// change 6 s after the list becomes reachable; the remaining second is for the queue at the endpoint list service.
const MaxPollInterval = 5 * time.Second

const (
	// notifiedAfter is the time from the last line of a silent watch after which all proxies count as notified of what it missed.
	notifiedAfter  = 6 * time.Second
	maxLateness    = 500 * time.Millisecond // of a poll behind notifiedAfter: sends to draining servers are allowed for a second more
	minSilence     = 3 * time.Second        // a watch without a line for so long fell silent, since an open one gets a line every 2 s
	minRepeatPause = 400 * time.Millisecond // before a poll that was turned away is repeated

	firstInterruptedPause = 200 * time.Millisecond // before a poll whose answer was interrupted is repeated; doubled each time
	maxInterruptedRepeats = 4                      // in a row; the next poll is a regular one
)

// pollSchedule decides when a proxy polls the endpoint list. It spreads the polls of all proxies so that they do not overload the
// endpoint list service.
type pollSchedule struct {
	settings *Settings
	host     Host
	rng      *rand.Rand

	timerSet    bool          // the timer of the next poll is running
	pending     bool          // a poll is in progress
	watchBroken bool          // the watch broke, and no poll has ended since then
	notifiedAt  time.Duration // when this proxy counts as notified of what the broken watch missed; 0 if an update was received since
	polledAt    time.Duration // start of the last poll
	interrupted int           // polls in a row that were repeated because their answers were interrupted
}

// failed schedules the next poll after u, a poll that failed or a watch that broke.
func (p *pollSchedule) failed(now time.Duration, u EndpointUpdate) {
	interval := p.interval()
	switch {
	case !p.pending: // the watch broke and may have missed a change
		p.watchBroken = true
		p.notifiedAt = now - u.SilentFor + notifiedAfter
		p.schedule(p.spread(p.firstPollWindow(u.SilentFor)))
	case u.Interrupted && p.interrupted < maxInterruptedRepeats:
		pause := firstInterruptedPause << p.interrupted
		jitter := time.Duration(p.rng.Float64() * float64(pause))
		p.interrupted++
		p.schedule(pause + jitter)
	case u.Busy && p.repeatWindow(now) > 0:
		jitter := time.Duration(p.rng.Float64() * float64(p.repeatWindow(now)))
		p.schedule(minRepeatPause + jitter)
	case p.watchBroken:
		// The service also processes queued calls that have timed out. If proxies polled again soon after a failure, its queue
		// would never get shorter than the timeout. So each proxy moves once to its own offset within the interval and keeps it.
		p.watchBroken = false
		p.schedule(p.ownOffset() - now)
	default:
		// With a larger jitter, polls would arrive in bursts, and dozens of them would fail at a service that is near its capacity.
		jitter := time.Duration(p.rng.Float64() * float64(interval/20))
		p.schedule(p.polledAt + interval - jitter - now)
	}
	p.pending = false
}

// firstPollWindow returns the span over which the first polls of all proxies are spread after their watches broke. silentFor is how
// long the watch had received nothing. A silent watch is noticed late. The polls then take all the time that is left, because the
// queue of the service would get longer than the timeout of a call if they came in less.
func (p *pollSchedule) firstPollWindow(silentFor time.Duration) time.Duration {
	interval := p.interval()
	if silentFor < minSilence {
		return min(interval*3/10, interval-silentFor)
	}
	return min(interval/2, notifiedAfter-(MaxPollInterval-interval)-silentFor)
}

// repeatWindow returns the span over which proxies whose polls were turned away repeat them, behind minRepeatPause, so that they
// have the list in time after their watches broke. It is 0 if the next regular poll is early enough, or if it is too late for
// another one.
func (p *pollSchedule) repeatWindow(now time.Duration) time.Duration {
	latest := p.notifiedAt + maxLateness
	next := p.polledAt + p.interval()
	if p.watchBroken {
		next = p.ownOffset()
	}
	if next <= latest {
		return 0
	}
	return max(latest-now-minRepeatPause, 0)
}

// ownOffset returns the time of the next poll at this proxy's own offset within the interval, counted from the last poll.
func (p *pollSchedule) ownOffset() time.Duration {
	interval := p.interval()
	return p.polledAt + interval*2/5 + p.spread(interval*3/5)
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
	p.notifiedAt = 0
	p.interrupted = 0
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
