package balancer

import "time"

const (
	maxServerRetryAfter     = 30 * time.Second // that a server may ask for
	hangDeviations          = 4.0              // mean deviations over the mean latency; a server hangs after twice that
	failuresToEject         = 2
	rejectionsToEject       = 3 // of one class
	maxConsecutiveEjections = 4 // by which the ejection time grows
)

// ejected reports whether a server is out of the draws. One that fails at once would otherwise have few in flight and win its
// pairs, and one that hangs never reports a failure.
func (b *Balancer) ejected(s *server, now time.Duration) bool {
	if now < s.outlier.ejectedUntil || s.outlier.onProbation && s.inFlight > 0 {
		return true
	}
	return s.inFlight > 0 && now-s.silentSince > b.hangTimeout()
}

// hangTimeout is how long a server may answer nothing while it has attempts in flight.
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

// judge takes what the outcome of an attempt says about its server and its zone.
func (b *Balancer) judge(now time.Duration, r *request, a *attempt, o Outcome) {
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
		loss = b.judgeServed(now, r.class, a, o.Latency)
	case Cancelled, NotSent:
		return
	case Rejected:
		b.observeLatency(now, s, maxLatencyRatio)
		b.judgeRejected(now, s, r.class)
	case ServerError, NotConnected, ConnectionLost, TimedOut:
		clientLeftNoTime := o.Result == TimedOut && now >= r.deadline && o.Latency < r.class.LatencyObjective
		if clientLeftNoTime {
			return
		}
		b.observeLatency(now, s, maxLatencyRatio)
		if o.Result != TimedOut || silent {
			b.judgeFailed(now, s, o.Result)
		}
	}
	b.lossOf(s.Zone, now).add(loss)
}

// judgeServed returns the lost value of an attempt that was served.
func (b *Balancer) judgeServed(now time.Duration, c *class, a *attempt, latency time.Duration) float64 {
	s := a.to
	nanoseconds := float64(latency)
	c.observeLatency(nanoseconds)
	b.overload.work.add(c.latency)
	s.outlier.consecutiveFailures = 0
	s.outlier.consecutiveEjections = 0
	s.outlier.onProbation = false
	// A server that was sent a health check, or an attempt for want of others, and serves it is back at once.
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

func (b *Balancer) judgeFailed(now time.Duration, s *server, result Result) {
	s.outlier.consecutiveFailures++
	if s.outlier.consecutiveFailures >= failuresToEject || s.outlier.onProbation || result == NotConnected {
		b.eject(now, s)
	}
}

// judgeRejected ejects a server for a class that it keeps rejecting, longer each time. A server that serves the other classes
// well is never ejected as a whole, and would win its pairs for this class as it ends its requests at once.
func (b *Balancer) judgeRejected(now time.Duration, s *server, c *class) {
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

// ejectUntil takes a server out of the draws that asks for it with a Retry-After.
func (b *Balancer) ejectUntil(s *server, until time.Duration) {
	if until > s.outlier.ejectedUntil {
		s.outlier.ejectedUntil = until
		b.subset.stale = true
	}
}

// eject takes a server out of the draws, longer each time.
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

// ejectionTime is how long a server is ejected after so many consecutive ejections.
func (b *Balancer) ejectionTime(consecutiveEjections int) time.Duration {
	return min(b.longWindow/16<<consecutiveEjections, b.longWindow/2)
}
