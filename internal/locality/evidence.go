package locality

import (
	"fmt"
	"time"
)

const (
	minAnswers         = 5 // attempts that make evidence
	lostAnswersFactor  = 8 // in flight over the baseline, above which answers are lost
	minLostInFlight    = 2 * minAnswers
	maxFailuresInARow  = 2 * minAnswers
	unknownFailedShare = 2.0 // above every share
	silenceFactor      = 8   // best latencies without an answer, after which a locality is silent
	minSilence         = 300 * time.Millisecond
)

// evidence is what the attempts that ended lately say about a locality.
type evidence struct {
	failedShare float64
	lateShare   float64
	known       bool // there are enough attempts
	silent      bool // nothing is answered at all
}

// collectEvidence takes the class that fares best of those with enough attempts, as one that alone fails is ejected by itself. With
// too few for any class, it takes all classes together.
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

// answersLost reports whether many times the attempts are in flight that there would be if all were answered as usual.
func (l *locality) answersLost(now time.Duration) bool {
	var baseline float64
	for _, s := range l.byClass {
		baseline += s.ended.decayEvidence(now).count * s.bestLatency / float64(evidenceWindow)
	}
	return l.inFlight >= minLostInFlight && float64(l.inFlight) > lostAnswersFactor*max(baseline, 1)
}

// silenceTimeout is how long a locality may answer nothing while attempts are in flight.
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

// expectedLatency is the latency of a class of which no answer is known, in nanoseconds; 0 for an unknown class.
func (o *Options) expectedLatency(name string) float64 {
	expected := 0.0
	for _, c := range o.Classes {
		if c.Name == name {
			expected = float64(c.LatencyObjective) / 2
		}
	}
	return expected
}

// worse reports evidence that a locality is down.
func (e evidence) worse(l *locality) bool {
	return e.silent || e.known && e.failedShare >= 0.7 || l.consecutiveFailures >= maxFailuresInARow || l.ready == 0
}

// bad reports evidence that a locality may be failing.
func (e evidence) bad(l *locality) bool {
	return e.worse(l) || e.known && (e.failedShare >= 0.4 || e.lateShare >= 0.5)
}

// good reports that there is no evidence against a locality.
func (e evidence) good() bool {
	return !e.silent && (!e.known || e.failedShare <= 0.1 && e.lateShare <= 0.25)
}

// describe returns the text of the evidence for transitions and reports.
func (e evidence) describe(now time.Duration, l *locality) string {
	switch {
	case e.silent:
		return fmt.Sprintf("no word for %v", (now - l.lastAnswerAt).Round(time.Millisecond))
	case l.ready == 0:
		return "every endpoint is ejected"
	case l.consecutiveFailures >= maxFailuresInARow:
		return fmt.Sprintf("%d attempts in a row failed", l.consecutiveFailures)
	case !e.known:
		return "too few answers to tell"
	default:
		return fmt.Sprintf("%.0f%% failed, %.0f%% late", 100*e.failedShare, 100*e.lateShare)
	}
}
