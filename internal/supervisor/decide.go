package supervisor

import (
	"fmt"
	"time"
)

// Rules are how ended processes are started again.
type Rules struct {
	// MinPause and Most bound the time before a process that crashed is started again; it doubles with each crash in a row.
	MinPause, MaxPause time.Duration
	// StableAfter is how long a process must have run for its crash to begin a new row.
	StableAfter time.Duration
	// TrialCrashes is how many crashes in a row a version on trial has before the one before is started in its place.
	TrialCrashes int
	// GiveUp is how many crashes in a row end it all.
	GiveUp int
}

// Fill sets what was left out.
func (r *Rules) Fill() {
	if r.MinPause == 0 {
		r.MinPause = 200 * time.Millisecond
	}
	if r.MaxPause == 0 {
		r.MaxPause = 30 * time.Second
	}
	if r.StableAfter == 0 {
		r.StableAfter = time.Minute
	}
	if r.TrialCrashes == 0 {
		r.TrialCrashes = 3
	}
	if r.GiveUp == 0 {
		r.GiveUp = 10
	}
}

// Action is what is to be done about a process that ended.
type Action struct {
	Pause    time.Duration // before the next start
	Rollback bool          // first, the version before is linked again
	GiveUp   bool
	End      bool // it ended as it was told to
	Reason   string
}

// Decider decides that. It is pure: it knows no clock and no process.
type Decider struct {
	Rules              Rules
	consecutiveCrashes int // crashes in a row
}

// ProcessEnded decides about a process that ran so long and ended with a code; told: it was told to end. trial: its version was started
// in place of another one, and has not been seen at work yet.
func (d *Decider) ProcessEnded(ran time.Duration, code int, told, trial bool) Action {
	if told || code == 0 {
		return Action{End: true}
	}
	if code == ExitRestart {
		d.consecutiveCrashes = 0
		return Action{}
	}
	if ran >= d.Rules.StableAfter {
		d.consecutiveCrashes = 0
	}
	d.consecutiveCrashes++
	a := Action{Pause: d.Rules.MinPause, Reason: fmt.Sprintf("it ended with %d after %v, %d times in a row", code, ran.Round(time.Millisecond), d.consecutiveCrashes)}
	switch {
	case trial && d.consecutiveCrashes >= d.Rules.TrialCrashes:
		d.consecutiveCrashes = 0
		a.Rollback = true
	case d.consecutiveCrashes >= d.Rules.GiveUp:
		a.GiveUp = true
		return a
	}
	for range d.consecutiveCrashes - 1 {
		a.Pause = min(2*a.Pause, d.Rules.MaxPause)
	}
	return a
}
