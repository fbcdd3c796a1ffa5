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
	Failing                // in use, but other localities are preferred
	Dark                   // gets only probes
	Returning              // on the recovery ramp: gets a share that grows while attempts succeed
)

func (s State) String() string { return [...]string{"up", "failing", "dark", "returning"}[s] }

// Transition is a change of a locality's state.
type Transition struct {
	At       time.Duration
	Locality balancer.Locality
	From, To State
	Evidence string
	Hold     time.Duration // shortest time in Dark, if To is Dark
}

const (
	minRampAnswers      = 3    // good attempts that a step of the recovery ramp needs
	rampFailureBadShare = 0.2  // share of a step's attempts that failed or were late; above it the step failed
	rampSuccessBadShare = 0.1  // like rampFailureBadShare; up to it the step succeeded
	probesToReturn      = 2    // consecutive served probes that end Dark
	maxOutages          = 16   // consecutive outages, each of which doubles the next hold
	stableHolds         = 10   // after being Up for longer than this multiple of the hold, an outage is not consecutive
	minJitter           = 0.75 // holds and probe intervals are multiplied by a random factor from minJitter to minJitter+0.5
)

// locality is a locality and what the Picker knows about it.
type locality struct {
	id   balancer.Locality
	rank rank
	own  bool // in the gateway's zone

	// Sums of endpoint weights from the last UpdateHealth; see balancer.LocalityHealth.
	listed  float64
	running float64
	ready   float64

	share   float64 // of the load
	inPanic bool    // ejected endpoints are used as well

	state      State
	stateSince time.Duration
	evidence   string // of the last transition

	// When the evidence began that leads to a transition; 0: there is none.
	failingSince time.Duration
	downSince    time.Duration
	healthySince time.Duration

	consecutiveOutages    int
	darkUntil             time.Duration // earliest end of Dark
	noEndpoints           bool          // Dark because no endpoint is running
	nextProbeAt           time.Duration
	firstProbeAt          time.Duration // when the first of the probes in flight was sent
	probesInFlight        int
	consecutiveGoodProbes int

	rampStep   int
	rampStepAt time.Duration

	inFlight            int
	retriesInFlight     int
	consecutiveFailures int           // over all classes
	lastAnswerAt        time.Duration // or the start of a later wait for an answer
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

// updateState moves a locality to the state that its evidence calls for.
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

// updateWithoutEndpoints keeps a locality Dark while no endpoint is running. There is no hold: Dark ends as soon as an endpoint runs.
func (p *Picker) updateWithoutEndpoints(now time.Duration, l *locality) {
	if l.state != Dark {
		p.goDark(now, l, "no endpoint is to be used")
		l.darkUntil = now
		l.noEndpoints = true
	}
	l.consecutiveGoodProbes = 0
}

func (p *Picker) updateUp(now time.Duration, l *locality, e evidence) {
	if heldFor(&l.failingSince, now, e.failing(l), p.options.FailHold) {
		p.transition(now, l, Failing, e.describe(now, l))
	}
}

func (p *Picker) updateFailing(now time.Duration, l *locality, e evidence) {
	if heldFor(&l.downSince, now, e.down(l), p.options.DarkHold) {
		p.goDark(now, l, e.describe(now, l))
		return
	}
	if heldFor(&l.healthySince, now, e.healthy(), p.options.UpHold) {
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
	manyBad := bad >= minRampAnswers && float64(bad) > rampFailureBadShare*float64(all)
	if e.silent || manyBad {
		p.rampStepFailed(now, l, e.silent, good, bad)
		return
	}
	succeeded := good >= minRampAnswers && float64(bad) <= rampSuccessBadShare*float64(all)
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

// rampStepFailed goes back one step of the recovery ramp, or to Dark if it is the first step or the locality is silent without a good
// attempt in the step.
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

// heldFor reports whether a condition has held for at least a minimum duration. It maintains since, the time at which the condition
// began to hold, or 0 if it does not hold.
func heldFor(since *time.Duration, now time.Duration, condition bool, minimum time.Duration) bool {
	if !condition {
		*since = 0
		return false
	}
	if *since == 0 {
		*since = max(now, 1)
	}
	return now-*since >= minimum
}

// rampAttempts returns the numbers of good and bad attempts in the current step of the recovery ramp. They are those of the class with
// the highest share of good ones among the classes with enough attempts, because a class that fails alone is ejected separately. If no
// class has enough attempts, they are those of all classes.
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

// beginRampStep starts a step of the recovery ramp, which the locality enters if it is not Returning yet.
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

// hold returns the shortest time in Dark, without jitter, if the locality went Dark now.
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
	l.failingSince, l.downSince, l.healthySince = 0, 0, 0
	l.transitions++
	if to == Dark || to == Returning {
		l.capacity.reset(&p.options, l.own)
	}
	if p.options.Notify != nil {
		p.options.Notify(t)
	}
	p.splitLoad()
}
