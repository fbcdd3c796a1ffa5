package locality

import (
	"fmt"
	"time"
)

const (
	minAnswers             = 5                      // attempts needed for evidence
	lostAnswersFactor      = 8                      // multiple of the usual attempts in flight, above which answers are lost
	minLostInFlight        = 2 * minAnswers         // answersLost is false below this many attempts in flight
	maxConsecutiveFailures = 2 * minAnswers         // consecutive failures after which a locality counts as down
	unknownFailedShare     = 2.0                    // higher than any real share
	silenceFactor          = 8                      // a locality is silent after this multiple of the best latency without an answer
	minSilence             = 300 * time.Millisecond // shortest time without an answer after which a locality is silent
)

// evidence is what recent attempts show about a locality.
type evidence struct {
	failedShare float64
	lateShare   float64
	known       bool // there are enough attempts
	silent      bool // no attempt is answered at all
}

// collectEvidence returns the evidence of the class with the lowest share of failures among those with enough attempts, because a class
// that fails alone is ejected separately. If no class has enough attempts, it takes all classes together.
func (l *locality) collectEvidence(now time.Duration, o *Options) evidence {
	e := l.evidenceOfBestClass(now)
	answersLost := l.answersLost(now)
	if !e.known {
		e = l.evidenceOfAllClasses(now)
	}
	if answersLost {
		e.lateShare = 1
		e.known = true
	}
	e.silent = l.inFlight > 0 && now-l.lastAnswerAt > l.silenceTimeout(o)
	return e
}

func (l *locality) evidenceOfBestClass(now time.Duration) evidence {
	best := evidence{failedShare: unknownFailedShare}
	for _, s := range l.byClass {
		ended := s.ended.decayEvidence(now).count
		if ended < minAnswers {
			continue
		}
		failedShare := s.failed.decayEvidence(now).count / ended
		if failedShare < best.failedShare {
			best = evidence{failedShare: failedShare, lateShare: s.late.decayEvidence(now).count / ended, known: true}
		}
	}
	return best
}

func (l *locality) evidenceOfAllClasses(now time.Duration) evidence {
	var ended, failed, late float64
	for _, s := range l.byClass {
		ended += s.ended.decayEvidence(now).count
		failed += s.failed.decayEvidence(now).count
		late += s.late.decayEvidence(now).count
	}
	if ended < minAnswers {
		return evidence{failedShare: unknownFailedShare}
	}
	return evidence{failedShare: failed / ended, lateShare: late / ended, known: true}
}

// answersLost reports whether far more attempts are in flight than there would be if all were answered as usual.
func (l *locality) answersLost(now time.Duration) bool {
	var baseline float64
	for _, s := range l.byClass {
		baseline += s.ended.decayEvidence(now).count * s.bestLatency / float64(evidenceWindow)
	}
	return l.inFlight >= minLostInFlight && float64(l.inFlight) > lostAnswersFactor*max(baseline, 1)
}

// silenceTimeout returns how long a locality may go without an answer while attempts are in flight.
func (l *locality) silenceTimeout(o *Options) time.Duration {
	longest := 0.0
	for name, s := range l.byClass {
		if s.inFlight == 0 {
			continue
		}
		best := s.bestLatency
		if best == 0 {
			best = o.expectedLatency(name)
		}
		longest = max(longest, best)
	}
	return max(time.Duration(silenceFactor*longest), minSilence)
}

// expectedLatency returns the latency to assume for a class without answers, in nanoseconds; 0 for an unknown class.
func (o *Options) expectedLatency(name string) float64 {
	expected := 0.0
	for _, c := range o.Classes {
		if c.Name == name {
			expected = float64(c.LatencyObjective) / 2
		}
	}
	return expected
}

// down reports whether there is evidence that a locality is down.
func (e evidence) down(l *locality) bool {
	return e.silent || e.known && e.failedShare >= 0.7 || l.consecutiveFailures >= maxConsecutiveFailures || l.ready == 0
}

// failing reports whether there is evidence that a locality is failing.
func (e evidence) failing(l *locality) bool {
	return e.down(l) || e.known && (e.failedShare >= 0.4 || e.lateShare >= 0.5)
}

// healthy reports whether there is no evidence against a locality.
func (e evidence) healthy() bool {
	return !e.silent && (!e.known || e.failedShare <= 0.1 && e.lateShare <= 0.25)
}

// describe returns the evidence as text for transitions and reports.
func (e evidence) describe(now time.Duration, l *locality) string {
	switch {
	case e.silent:
		return fmt.Sprintf("no word for %v", (now - l.lastAnswerAt).Round(time.Millisecond))
	case l.ready == 0:
		return "every endpoint is ejected"
	case l.consecutiveFailures >= maxConsecutiveFailures:
		return fmt.Sprintf("%d attempts in a row failed", l.consecutiveFailures)
	case !e.known:
		return "too few answers to tell"
	default:
		return fmt.Sprintf("%.0f%% failed, %.0f%% late", 100*e.failedShare, 100*e.lateShare)
	}
}
