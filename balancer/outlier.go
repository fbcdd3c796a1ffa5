package balancer

import "time"

const (
	maxServerRetryAfter     = 30 * time.Second // upper bound of a server's Retry-After
	hangDeviations          = 4.0              // mean deviations above the mean latency; a server hangs after twice this latency
	failuresToEject         = 2                // consecutive failures
	rejectionsToEject       = 3                // consecutive rejections of one class
	maxConsecutiveEjections = 4                // more do not lengthen the ejection
)

// ejected reports whether a server is excluded from the draws. Otherwise, a server that fails immediately would have few attempts
// in flight and attract most requests. A server that hangs is ejected by hangTimeout because its attempts report no failure.
func (b *Balancer) ejected(s *server, now time.Duration) bool {
	if now < s.outlier.ejectedUntil || s.outlier.onProbation && s.inFlight > 0 {
		return true
	}
	return s.inFlight > 0 && now-s.silentSince > b.hangTimeout()
}

// hangTimeout returns how long a server with attempts in flight may leave all of them unanswered.
func (b *Balancer) hangTimeout() time.Duration {
	var longest float64
	for i := range b.settings.Classes {
		c := b.classes[b.settings.Classes[i].Name]
		if c.samples >= minSamples {
			longest = max(longest, c.latency+hangDeviations*c.deviation)
		}
	}
	if longest == 0 {
		return b.longWindow
	}
	return time.Duration(2 * longest)
}

// observeOutcome updates the server and the zone of an attempt from its outcome. The loss that it adds for the zone is 1 for a
// failed attempt, and between 0 and 1 for a served one.
func (b *Balancer) observeOutcome(now time.Duration, r *request, a *attempt, o Outcome) {
	s := a.to
	silent := s.silentSince <= a.sentAt
	if o.Result != TimedOut && o.Result != Cancelled && o.Result != NotSent {
		s.silentSince = now
	}
	if o.RetryAfter > 0 {
		b.ejectUntil(s, now+min(o.RetryAfter, maxServerRetryAfter))
	}
	loss := 1.0
	switch o.Result {
	case Served:
		loss = b.observeServed(now, r.class, a, o.Latency)
	case Cancelled, NotSent:
		return
	case Rejected:
		b.observeLatency(now, s, maxLatencyRatio)
		b.observeRejection(now, s, r.class)
	case ServerError, NotConnected, ConnectionLost, TimedOut:
		clientLeftNoTime := o.Result == TimedOut && now >= r.deadline && o.Latency < r.class.LatencyObjective
		if clientLeftNoTime {
			return
		}
		b.observeLatency(now, s, maxLatencyRatio)
		if o.Result != TimedOut || silent {
			b.observeFailure(now, s, o.Result)
		}
	}
	b.lossOf(s.Zone, now).add(loss)
}

// observeServed updates the class and the server of a served attempt and returns the loss, which is the square of
// latency / LatencyObjective, but at most 1.
func (b *Balancer) observeServed(now time.Duration, c *class, a *attempt, latency time.Duration) float64 {
	s := a.to
	nanoseconds := float64(latency)
	c.observeLatency(nanoseconds)
	b.overload.work.add(c.latency)
	s.outlier.consecutiveFailures = 0
	s.outlier.consecutiveEjections = 0
	s.outlier.onProbation = false
	// An ejected server may get an attempt, for example if its locality has no other server. Serving it ends the ejection.
	mayReturnEarly := b.settings.Localities != nil || b.settings.Admission != nil
	if mayReturnEarly && now < s.outlier.ejectedUntil && a.sentAt >= s.outlier.ejectedAt {
		s.outlier.ejectedUntil = 0
		b.subset.stale = true
	}
	delete(s.rejections, c)
	b.observeLatency(now, s, nanoseconds/max(c.latency, 1))
	lateness := nanoseconds / float64(c.LatencyObjective)
	return min(lateness*lateness, 1)
}

// observeFailure ejects a server after consecutive failures, and immediately if the connection failed or the server is on probation.
func (b *Balancer) observeFailure(now time.Duration, s *server, result Result) {
	s.outlier.consecutiveFailures++
	if s.outlier.consecutiveFailures >= failuresToEject || s.outlier.onProbation || result == NotConnected {
		b.eject(now, s)
	}
}

// observeRejection ejects a server for one class that it keeps rejecting, for a longer time with each ejection. A server that serves
// the other classes well is not ejected as a whole, and it would attract the requests of this class because rejections end them
// immediately.
func (b *Balancer) observeRejection(now time.Duration, s *server, c *class) {
	if s.rejections == nil {
		s.rejections = map[*class]*classRejections{}
	}
	rejections := s.rejections[c]
	if rejections == nil {
		rejections = &classRejections{}
		s.rejections[c] = rejections
	}
	rejections.consecutive++
	if rejections.consecutive >= rejectionsToEject && now >= rejections.ejectedUntil {
		rejections.ejectedUntil = now + b.ejectionTime(rejections.consecutiveEjections)
		rejections.consecutiveEjections = min(rejections.consecutiveEjections+1, maxConsecutiveEjections)
	}
}

// accepts reports whether a server is not ejected for a class.
func (s *server) accepts(c *class, now time.Duration) bool {
	rejections := s.rejections[c]
	return rejections == nil || now >= rejections.ejectedUntil
}

// ejectUntil excludes a server from the draws at least until the given time, because of its Retry-After.
func (b *Balancer) ejectUntil(s *server, until time.Duration) {
	if until > s.outlier.ejectedUntil {
		s.outlier.ejectedUntil = until
		b.subset.stale = true
	}
}

// eject excludes a server from the draws, for a longer time with each consecutive ejection.
func (b *Balancer) eject(now time.Duration, s *server) {
	ejections := s.outlier.consecutiveEjections
	s.outlier = outlierState{
		ejectedAt:            now,
		ejectedUntil:         now + b.ejectionTime(ejections),
		consecutiveEjections: min(ejections+1, maxConsecutiveEjections),
		onProbation:          true,
	}
	b.subset.stale = true
}

// ejectionTime returns the duration of an ejection that follows the given number of consecutive ejections.
func (b *Balancer) ejectionTime(consecutiveEjections int) time.Duration {
	return min(b.longWindow/16<<consecutiveEjections, b.longWindow/2)
}
