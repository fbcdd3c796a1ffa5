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
	// notifiedAfter is the time after which a proxy counts as notified of a change: from the last line of its watch, from its start, or
	// from the time at which the service could be reached again.
	notifiedAfter     = 6 * time.Second
	notifiedAfterMove = 4 * time.Second        // the same from the time at which the service gets another address
	maxLateness       = 500 * time.Millisecond // of a poll behind the deadline: sends to draining servers are allowed for a second more
	minSilence        = 3 * time.Second        // a watch without a line for so long fell silent, since an open one gets a line every 2 s

	firstInterruptedPause = 200 * time.Millisecond // before a poll whose answer was interrupted is repeated; doubled each time
	maxInterruptedRepeats = 4                      // in a row; the next poll is a regular one
)

// pollSchedule decides when a proxy polls the endpoint list. Polls are placed to meet one deadline: the time by which this proxy must
// have a list that holds every change made so far. A list moves the deadline, and failures don't. The regular polls of all proxies are
// spread so that a service at its capacity can answer all of them. In between, a poll that the service turned away is repeated where
// the next regular one would come too late.
type pollSchedule struct {
	settings *Settings
	host     Host
	rng      *rand.Rand

	timers   int           // that have not expired, also those of polls that were replaced or cancelled
	timerSet bool          // a poll is scheduled
	dueAt    time.Duration // when the scheduled poll is due
	repeat   bool          // the scheduled poll repeats one that was turned away; otherwise it is a regular one

	pending     bool          // a poll is in progress
	polledAt    time.Duration // start of the last poll
	regularAt   time.Duration // start of the last regular poll
	spacing     time.Duration // between the last two regular polls since the watch broke
	watchBroken bool          // the watch broke or the service moved, and no regular poll has been scheduled since then
	moved       bool          // the service moved, and likewise
	deadline    time.Duration // 0 while a watch is open
	interrupted int           // polls in a row that were repeated because their answers were interrupted
	queueing    serviceQueueing
}

// failed schedules the next poll after u, a poll that failed or a watch that broke.
func (p *pollSchedule) failed(now time.Duration, u EndpointUpdate) {
	wasPending := p.pending
	p.pending = false
	switch {
	case !wasPending:
		p.watchEnded(now, u.SilentFor)
	case u.Interrupted && p.interrupted < maxInterruptedRepeats:
		pause := firstInterruptedPause << p.interrupted
		jitter := time.Duration(p.rng.Float64() * float64(pause))
		p.interrupted++
		p.schedule(now, pause+jitter)
	case u.Busy:
		p.turnedAway(now)
	default:
		p.scheduleRegular(now, p.nextRegular(p.interval()), p.interval())
	}
}

// watchEnded schedules the first poll after a watch that broke, which may have missed a change. silentFor is how long it had received
// nothing.
func (p *pollSchedule) watchEnded(now, silentFor time.Duration) {
	p.watchBroken = true
	p.spacing = p.interval()
	if p.deadline == 0 {
		p.deadline = now - silentFor + notifiedAfter
	}
	p.schedule(now, p.spread(p.firstPollWindow(silentFor)))
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

// scheduleRegular schedules the next regular poll at a time that nextRegular has returned for the spacing.
func (p *pollSchedule) scheduleRegular(now, next, spacing time.Duration) {
	p.watchBroken, p.moved = false, false
	p.spacing = spacing
	p.schedule(now, max(next-now, minRepeatPause))
}

// nextRegular returns the time of the next regular poll at the given spacing from the last one.
func (p *pollSchedule) nextRegular(spacing time.Duration) time.Duration {
	if p.watchBroken {
		// The service also processes queued calls that have timed out. If proxies polled again soon after a failure, its queue
		// would never get shorter than the timeout. So each proxy moves once to its own offset within the interval and keeps it.
		interval := p.interval()
		return p.regularAt + interval*2/5 + p.spread(interval*3/5)
	}
	// With a larger jitter, polls would arrive in bursts, and dozens of them would fail at a service that is near its capacity.
	jitter := time.Duration(p.rng.Float64() * float64(spacing/20))
	return p.regularAt + spacing - jitter
}

// cachedListLoaded schedules the first poll. The polls are spread over the whole interval, because proxies that start together would
// otherwise wait in the queue of the service for longer than the timeout of a call.
func (p *pollSchedule) cachedListLoaded(now time.Duration) {
	p.spacing = p.interval()
	p.deadline = now + notifiedAfter
	p.schedule(now, p.spread(p.interval()))
}

// serviceMoved records that the service gets another address and that a poll there begins.
func (p *pollSchedule) serviceMoved(now time.Duration) {
	deadline := now + notifiedAfterMove
	if p.deadline < now || p.deadline > deadline {
		p.deadline = deadline
	}
	p.timerSet = false
	p.watchBroken, p.moved = true, true
	p.spacing = p.interval()
	p.interrupted = 0
	p.queueing = serviceQueueing{}
	p.begin(now, false)
}

// succeeded cancels the scheduled poll because an update of the list was received.
func (p *pollSchedule) succeeded() {
	p.timerSet, p.pending = false, false
	p.watchBroken, p.moved = false, false
	p.deadline = 0
	p.interrupted = 0
	p.queueing = serviceQueueing{}
}

// timerExpired polls the list, unless an update was received since the timer was set, or it was set for a poll that was replaced. The
// last timer is that of the scheduled poll, even if it expires early.
func (p *pollSchedule) timerExpired(now time.Duration) {
	p.timers = max(p.timers-1, 0)
	replaced := now < p.dueAt && p.timers > 0
	if !p.timerSet || replaced {
		return
	}
	p.timerSet = false
	p.begin(now, p.repeat)
	p.host.Watch(true)
}

// begin records the start of a poll, which is a regular one or a repeat of one that was turned away.
func (p *pollSchedule) begin(now time.Duration, repeat bool) {
	p.pending = true
	p.polledAt = now
	if !repeat {
		p.regularAt = now
	}
}

// schedule sets the timer of the next regular poll, unless it is running or the list is not polled.
func (p *pollSchedule) schedule(now, after time.Duration) {
	if p.settings.Polled && !p.timerSet {
		after = max(after, 0)
		p.timerSet = true
		p.repeat = false
		p.dueAt = now + after
		p.timers++
		p.host.SetTimer(pollTimer, after)
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
