package locality

import "time"

const (
	maxClassStates   = 64   // classes come from the configuration, so that there are few
	bestLatencyRise  = 1.02 // factor a second by which a best latency rises that is not met any more
	healthyShare     = 0.2  // of failed attempts, below which a class is served
	minFailures      = 5    // consecutive, that eject a class
	maxClassEjection = 16 * time.Second
	maxEjections     = 4 // consecutive, by which the ejection grows
)

// classState is how a locality serves one class.
type classState struct {
	inFlight int

	// Attempts that ended lately.
	ended  decayingCount
	failed decayingCount
	late   decayingCount // served, but late

	bestLatency float64 // lowest mean latency, in nanoseconds; 0: unknown
	// Served attempts of the second under way.
	latencySum   float64
	latencyCount float64
	secondStart  time.Duration

	// Attempts of the present step of the recovery ramp.
	rampGood int
	rampBad  int

	consecutiveFailures  int
	consecutiveEjections int
	ejectedUntil         time.Duration
	trial                bool // an attempt was let through after an ejection
}

// class returns the state of a class, which is added if need be.
func (l *locality) class(name string) *classState {
	state := l.byClass[name]
	if state == nil {
		if len(l.byClass) >= maxClassStates {
			clear(l.byClass)
		}
		state = &classState{}
		l.byClass[name] = state
	}
	return state
}

func (s *classState) observe(now time.Duration, o observation) {
	s.ended.decayEvidence(now).count++
	if !o.served {
		s.failed.decayEvidence(now).count++
		return
	}
	if o.late {
		s.late.decayEvidence(now).count++
	}
	s.observeLatency(now, o.latency)
}

// observeLatency updates the best latency once a second, and as soon as there are enough answers for a first one.
func (s *classState) observeLatency(now, latency time.Duration) {
	if s.secondStart == 0 {
		s.secondStart = now
	}
	s.latencySum += float64(latency)
	s.latencyCount++
	first := s.bestLatency == 0
	if first && s.latencyCount < minAnswers {
		return
	}
	if !first && now-s.secondStart < countWindow {
		return
	}
	mean := s.latencySum / s.latencyCount
	if first || mean < s.bestLatency {
		s.bestLatency = mean
	} else {
		s.bestLatency = min(s.bestLatency*bestLatencyRise, mean)
	}
	s.latencySum = 0
	s.latencyCount = 0
	s.secondStart = now
}

// observeRampStep counts an attempt of the present step of the recovery ramp.
func (s *classState) observeRampStep(good bool) {
	if good {
		s.rampGood++
	} else {
		s.rampBad++
	}
}

// beginRampStep drops what was seen before the step.
func (s *classState) beginRampStep() {
	s.rampGood = 0
	s.rampBad = 0
	s.ended = decayingCount{}
	s.failed = decayingCount{}
	s.late = decayingCount{}
}

// updateEjection ejects a locality for a class that alone fails there, longer each time. It fails that class at once and would have
// capacity for it, while the other classes show that the locality is well.
func (s *classState) updateEjection(now time.Duration, served bool, l *locality) {
	if served {
		s.consecutiveFailures = 0
		s.consecutiveEjections = 0
		s.ejectedUntil = 0
		s.trial = false
		return
	}
	s.consecutiveFailures++
	othersServed := l.servesOtherThan(s, now)
	if othersServed && s.consecutiveFailures >= minFailures && (s.trial || now >= s.ejectedUntil) {
		s.ejectedUntil = now + min(time.Second<<s.consecutiveEjections, maxClassEjection)
		s.consecutiveEjections = min(s.consecutiveEjections+1, maxEjections)
		s.trial = false
	}
}

func (l *locality) servesOtherThan(s *classState, now time.Duration) bool {
	for _, other := range l.byClass {
		if other == s || other.ended.decayEvidence(now).count < 1 {
			continue
		}
		if other.failed.decayEvidence(now).count < healthyShare*other.ended.count {
			return true
		}
	}
	return false
}

// ejected reports whether the locality is ejected for the class.
func (s *classState) ejected(now time.Duration) bool {
	return now < s.ejectedUntil
}

// trialSent notes that an attempt was sent. After an ejection it is a trial, and no further one is let through for a while.
func (s *classState) trialSent(now time.Duration) {
	if s.consecutiveEjections > 0 && now >= s.ejectedUntil {
		s.ejectedUntil = now + countWindow
		s.trial = true
	}
}
