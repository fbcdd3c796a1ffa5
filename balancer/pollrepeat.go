package balancer

import "time"

const (
	minRepeatPause = 150 * time.Millisecond // before a poll that was turned away is repeated
	minQueueTime   = 250 * time.Millisecond // a poll that is turned away later than this has waited in the queue of the service
	repeatReserve  = 2 * time.Second        // for repeats of the next regular poll, see reserve

	// overduePolls is the number of polls in an interval while the service turns them away at once behind the deadline. Such a service
	// has no queue that they make longer, and it may accept the next one.
	overduePolls = 4
	// queueingRunGap is the longest gap within a serviceQueueing, in intervals. A service whose queue is long also turns polls away at
	// once.
	queueingRunGap = 3
)

// turnedAway schedules the next poll after one that the service turned away: a repeat if the next regular poll would come too late and
// the service is not overloaded, otherwise a regular one.
func (p *pollSchedule) turnedAway(now time.Duration) {
	took := now - p.polledAt
	p.queueing.turnedAway(now, took, p.interval())
	queueing := p.queueing.isCurrent(now, p.interval())
	overdue := now > p.deadline+maxLateness
	overloaded := overdue && queueing && now-p.queueing.since >= p.interval()

	spacing := p.interval()
	if overdue && !queueing {
		spacing /= overduePolls
	}
	next := p.nextRegular(spacing)
	latest := p.latestAnswer()
	isLate := next+reserve(took, queueing, overdue || p.moved) > latest
	if isLate && !overloaded && now+minRepeatPause <= latest {
		p.schedule(now, p.repeatPause(latest-now-took, queueing))
		p.repeat = true
		return
	}
	p.scheduleRegular(now, next, spacing)
}

// reserve returns the time that the next regular poll must leave before the service must have answered, so that it can be repeated too;
// otherwise the last poll, which took the given time, is repeated at once. If the service has a queue, all proxies would make it longer
// with repeats that regular polls can still replace. A longer outage or a move leaves too little time for that.
func reserve(took time.Duration, queueing, urgent bool) time.Duration {
	switch {
	case !queueing:
		return repeatReserve
	case urgent:
		return took
	}
	return 0
}

// latestAnswer returns the time by which the service must have answered the last regular poll or a repeat of it. Behind the deadline,
// the service may have returned just after the regular poll before.
func (p *pollSchedule) latestAnswer() time.Duration {
	return max(p.deadline, p.regularAt+notifiedAfter-p.spacing) + maxLateness
}

// repeatPause returns the pause before a poll that was turned away is repeated. left is the time that is left for pauses. It takes a
// part of that, so that a repeat that is turned away can be repeated too: a larger part if the service has a queue.
func (p *pollSchedule) repeatPause(left time.Duration, queueing bool) time.Duration {
	longest := left / 4
	if queueing {
		longest = max(left/3, minQueueTime)
	}
	jitter := time.Duration(p.rng.Float64() * float64(max(longest-minRepeatPause, 0)))
	return minRepeatPause + jitter
}

// serviceQueueing is the latest run of polls that the service turned away only after they had waited in its queue. The zero value is no
// run.
type serviceQueueing struct {
	observed bool
	since    time.Duration // the first poll
	lastAt   time.Duration // the last poll
}

// turnedAway records a poll that was turned away after it took the given time.
func (q *serviceQueueing) turnedAway(now, took, interval time.Duration) {
	if took < minQueueTime {
		return
	}
	if !q.isCurrent(now, interval) {
		q.since = now
	}
	q.observed = true
	q.lastAt = now
}

// isCurrent reports whether the next poll would belong to the run.
func (q *serviceQueueing) isCurrent(now, interval time.Duration) bool {
	return q.observed && now-q.lastAt <= queueingRunGap*interval
}
