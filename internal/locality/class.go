package locality

import "time"

const (
	maxClassStates        = 64   // of a locality; more are not expected, as classes come from the configuration
	bestLatencyRise       = 1.02 // factor per second by which bestLatency rises while no mean latency is as low
	maxHealthyFailedShare = 0.2  // share of failed attempts, below which a class counts as served
	minEjectionFailures   = 5    // consecutive failures after which a class is ejected
	maxClassEjection      = 16 * time.Second
	maxEjections          = 4 // consecutive ejections, each of which doubles the next ejection's duration
)

// classState holds what is known about how a locality serves one class.
type classState struct {
	inFlight int

	// Attempts that ended recently.
	ended  decayingCount
	failed decayingCount
	late   decayingCount // served, but late

	bestLatency float64 // lowest mean latency, in nanoseconds; 0: unknown
	// Served attempts of the current second.
	latencySum   float64
	latencyCount float64
	secondStart  time.Duration

	// Attempts of the current step of the recovery ramp.
	rampGood int
	rampBad  int

	consecutiveFailures  int
	consecutiveEjections int
	ejectedUntil         time.Duration
	trial                bool // an attempt was sent after the ejection expired
}

// class returns the state of a class and creates it if necessary.
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

// observeLatency updates the best latency once a second. The first one is known as soon as there are enough answers.
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

// observeRampStep counts an attempt of the current step of the recovery ramp.
func (s *classState) observeRampStep(good bool) {
	if good {
		s.rampGood++
	} else {
		s.rampBad++
	}
}

// beginRampStep discards the observations made before the step.
func (s *classState) beginRampStep() {
	s.rampGood = 0
	s.rampBad = 0
	s.ended = decayingCount{}
	s.failed = decayingCount{}
	s.late = decayingCount{}
}

// updateEjection ejects a locality for a class that fails there while other classes are served. Each consecutive ejection lasts longer.
// Capacity and state do not keep such a class away: its attempts fail at once and so leave capacity free, and the other classes show
// that the locality is healthy.
func (s *classState) updateEjection(now time.Duration, served bool, l *locality) {
	if served {
		s.consecutiveFailures = 0
		s.consecutiveEjections = 0
		s.ejectedUntil = 0
		s.trial = false
		return
	}
	s.consecutiveFailures++
	othersServed := l.servesOtherClasses(s, now)
	if othersServed && s.consecutiveFailures >= minEjectionFailures && (s.trial || now >= s.ejectedUntil) {
		s.ejectedUntil = now + min(time.Second<<s.consecutiveEjections, maxClassEjection)
		s.consecutiveEjections = min(s.consecutiveEjections+1, maxEjections)
		s.trial = false
	}
}

// servesOtherClasses reports whether the locality serves any class other than that of s.
func (l *locality) servesOtherClasses(s *classState, now time.Duration) bool {
	for _, other := range l.byClass {
		if other == s || other.ended.decayEvidence(now).count < 1 {
			continue
		}
		if other.failed.decayEvidence(now).count < maxHealthyFailedShare*other.ended.count {
			return true
		}
	}
	return false
}

// ejected reports whether the locality is ejected for the class.
func (s *classState) ejected(now time.Duration) bool {
	return now < s.ejectedUntil
}

// recordSent records that an attempt was sent. The first one after an ejection is a trial: the class stays ejected for one more second,
// or until an attempt is served.
func (s *classState) recordSent(now time.Duration) {
	if s.consecutiveEjections > 0 && now >= s.ejectedUntil {
		s.ejectedUntil = now + countWindow
		s.trial = true
	}
}
