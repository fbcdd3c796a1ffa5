package locality

import (
	"fmt"
	"time"

	"robindrum/balancer"
)

// State is the state of a locality.
type State uint8

// The states of a locality.
const (
	Up        State = iota // in use
	Failing                // in use, but others are preferred
	Dark                   // gets probes alone
	Returning              // gets a share that grows with good evidence: the recovery ramp
)

func (s State) String() string { return [...]string{"up", "failing", "dark", "returning"}[s] }

// Transition is a change of a locality's state.
type Transition struct {
	At       time.Duration
	Locality balancer.Locality
	From, To State
	Evidence string
	Hold     time.Duration // the shortest time in Dark
}

const (
	minRampAnswers   = 3    // good attempts that a step of the recovery ramp needs
	maxRampBadShare  = 0.2  // of a step's attempts; above it the step failed
	rampGoodBadShare = 0.1  // of a step's attempts; up to it the step succeeded
	probesToReturn   = 2    // consecutive served ones
	maxOutages       = 16   // consecutive, by which the hold grows
	stableHolds      = 10   // Up for longer than this multiple of its hold, a locality has no consecutive outages
	minJitter        = 0.75 // factor of holds and probe intervals, which reaches 0.5 above it
)

// locality is a locality and what the Picker knows of it.
type locality struct {
	id   balancer.Locality
	rank rank
	own  bool // in the gateway's zone

	// Weights of endpoints, from the last UpdateHealth.
	listed  float64
	running float64
	ready   float64

	share   float64 // of the load
	inPanic bool    // ejected endpoints are used as well

	state      State
	stateSince time.Duration
	evidence   string // of the last transition

	// Since when the evidence of a transition holds; 0: it does not.
	badSince   time.Duration
	worseSince time.Duration
	goodSince  time.Duration

	consecutiveOutages    int
	darkUntil             time.Duration // at least
	noEndpoints           bool          // Dark as no endpoint is running
	nextProbeAt           time.Duration
	firstProbeAt          time.Duration // when the first of the probes in flight was sent
	probesInFlight        int
	consecutiveGoodProbes int

	rampStep   int
	rampStepAt time.Duration

	inFlight            int
	retriesInFlight     int
	consecutiveFailures int           // over all classes
	lastAnswerAt        time.Duration // or when an attempt was sent after a pause
	byClass             map[string]*classState
	served              decayingCount
	capacity            capacity

	// Counters for reports.
	sent           uint64
	crossed        uint64
	rejected       uint64
	retriesSent    uint64
	retriesDenied  uint64
	probesSent     uint64
	skippedForTime uint64
	transitions    uint64
}

// updateState moves a locality to the state that the evidence demands.
func (p *Picker) updateState(now time.Duration, l *locality) {
	if l.running == 0 {
		p.updateWithoutEndpoints(now, l)
		return
	}
	e := l.collectEvidence(now, &p.options)
	switch l.state {
	case Up:
		p.updateUp(now, l, e)
	case Failing:
		p.updateFailing(now, l, e)
	case Dark:
		p.updateDark(now, l)
	case Returning:
		p.updateReturning(now, l, e)
	}
}

// updateWithoutEndpoints keeps a locality Dark until the list has running endpoints again; there is no hold beyond that.
func (p *Picker) updateWithoutEndpoints(now time.Duration, l *locality) {
	if l.state != Dark {
		p.goDark(now, l, "no endpoint is to be used")
		l.darkUntil = now
		l.noEndpoints = true
	}
	l.consecutiveGoodProbes = 0
}

func (p *Picker) updateUp(now time.Duration, l *locality, e evidence) {
	if heldFor(&l.badSince, now, e.bad(l), p.options.FailHold) {
		p.transition(now, l, Failing, e.describe(now, l))
	}
}

func (p *Picker) updateFailing(now time.Duration, l *locality, e evidence) {
	if heldFor(&l.worseSince, now, e.worse(l), p.options.DarkHold) {
		p.goDark(now, l, e.describe(now, l))
		return
	}
	if heldFor(&l.goodSince, now, e.good(), p.options.UpHold) {
		p.transition(now, l, Up, e.describe(now, l))
	}
}

func (p *Picker) updateDark(now time.Duration, l *locality) {
	probesServed := l.consecutiveGoodProbes >= probesToReturn
	if !l.noEndpoints && (now < l.darkUntil || !probesServed) {
		return
	}
	reason := "probes are served"
	if !probesServed {
		reason = "endpoints are to be used again"
	}
	l.rampStep = 0
	l.noEndpoints = false
	p.beginRampStep(now, l, reason)
}

func (p *Picker) updateReturning(now time.Duration, l *locality, e evidence) {
	good, bad := l.rampAttempts()
	all := good + bad
	manyBad := bad >= minRampAnswers && float64(bad) > maxRampBadShare*float64(all)
	if e.silent || manyBad {
		p.rampStepFailed(now, l, e.silent, good, bad)
		return
	}
	succeeded := good >= minRampAnswers && float64(bad) <= rampGoodBadShare*float64(all)
	if !succeeded || now-l.rampStepAt < p.options.Step {
		return
	}
	l.rampStep++
	if l.stateFactor(&p.options) >= 1 {
		p.transition(now, l, Up, "the way back is done")
		return
	}
	p.beginRampStep(now, l, fmt.Sprintf("%d of %d served in time", good, all))
}

// rampStepFailed goes back one step of the recovery ramp, or to Dark from the first one.
func (p *Picker) rampStepFailed(now time.Duration, l *locality, silent bool, good, bad int) {
	reason := fmt.Sprintf("%d of %d failed or late", bad, good+bad)
	if silent {
		reason = "no word"
	}
	if l.rampStep == 0 || silent && good == 0 {
		p.goDark(now, l, reason)
		return
	}
	l.rampStep--
	p.beginRampStep(now, l, reason)
}

// heldFor notes since when a condition holds and reports whether it has held for long enough.
func heldFor(since *time.Duration, now time.Duration, holds bool, long time.Duration) bool {
	if !holds {
		*since = 0
		return false
	}
	if *since == 0 {
		*since = max(now, 1)
	}
	return now-*since >= long
}

// rampAttempts counts the attempts of a step of the recovery ramp, of the class that fares best of those with enough attempts, as one
// that alone fails is ejected by itself. With too few for any class, it counts those of all classes.
func (l *locality) rampAttempts() (good, bad int) {
	best := -1.0
	for _, s := range l.byClass {
		attempts := s.rampGood + s.rampBad
		if attempts < minRampAnswers {
			continue
		}
		goodShare := float64(s.rampGood) / float64(attempts)
		if goodShare > best || goodShare == best && s.rampGood > good {
			best, good, bad = goodShare, s.rampGood, s.rampBad
		}
	}
	if best >= 0 {
		return good, bad
	}
	for _, s := range l.byClass {
		good += s.rampGood
		bad += s.rampBad
	}
	return good, bad
}

// beginRampStep begins a step of the recovery ramp.
func (p *Picker) beginRampStep(now time.Duration, l *locality, reason string) {
	l.rampStepAt = now
	for _, s := range l.byClass {
		s.beginRampStep()
	}
	l.lastAnswerAt = now
	if l.state != Returning {
		p.transition(now, l, Returning, reason)
		return
	}
	l.evidence = reason
	p.splitLoad()
}

// goDark moves a locality to Dark, with a longer hold after each consecutive outage.
func (p *Picker) goDark(now time.Duration, l *locality, reason string) {
	if l.state == Up && now-l.stateSince > stableHolds*p.hold(l) {
		l.consecutiveOutages = 0
	}
	jitter := minJitter + p.rng.Float64()/2
	hold := min(time.Duration(jitter*float64(p.hold(l))), p.options.MaxHold)
	l.consecutiveOutages = min(l.consecutiveOutages+1, maxOutages)
	l.darkUntil = now + hold
	l.nextProbeAt = now + hold/2
	l.consecutiveGoodProbes = 0
	l.probesInFlight = 0
	l.rampStep = 0
	p.transition(now, l, Dark, reason)
}

func (p *Picker) hold(l *locality) time.Duration {
	return min(p.options.Hold<<min(l.consecutiveOutages, maxOutages), p.options.MaxHold)
}

func (p *Picker) transition(now time.Duration, l *locality, to State, reason string) {
	t := Transition{At: now, Locality: l.id, From: l.state, To: to, Evidence: reason}
	if to == Dark {
		t.Hold = max(l.darkUntil-now, 0)
	}
	l.state = to
	l.stateSince = now
	l.evidence = reason
	l.consecutiveFailures = 0
	l.badSince, l.worseSince, l.goodSince = 0, 0, 0
	l.transitions++
	if to == Dark || to == Returning {
		l.capacity.reset(&p.options, l.own)
	}
	if p.options.Notify != nil {
		p.options.Notify(t)
	}
	p.splitLoad()
}
