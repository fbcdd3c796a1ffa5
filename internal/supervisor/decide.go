package supervisor

import (
	"fmt"
	"time"
)

// Defaults of Rules.
const (
	defaultMinPause     = 200 * time.Millisecond
	defaultMaxPause     = 30 * time.Second
	defaultStableAfter  = time.Minute
	defaultTrialCrashes = 3
	defaultGiveUp       = 10
)

// Rules configure when a process that has ended is restarted. Zero fields stand for the defaults.
type Rules struct {
	// MinPause is the pause before the restart after a first crash. The pause doubles with each consecutive crash. Default: 200 ms.
	MinPause time.Duration
	// MaxPause is the upper limit of the pause. Default: 30 s.
	MaxPause time.Duration
	// StableAfter is how long a process must have run for its crash to count as the first one. Default: 1 minute.
	StableAfter time.Duration
	// TrialCrashes is the number of consecutive crashes at which a version on trial is rolled back. Default: 3.
	TrialCrashes int
	// GiveUp is the number of consecutive crashes after which the supervisor stops restarting. Default: 10.
	GiveUp int
}

// SetDefaults sets the zero fields to their defaults.
func (r *Rules) SetDefaults() {
	if r.MinPause == 0 {
		r.MinPause = defaultMinPause
	}
	if r.MaxPause == 0 {
		r.MaxPause = defaultMaxPause
	}
	if r.StableAfter == 0 {
		r.StableAfter = defaultStableAfter
	}
	if r.TrialCrashes == 0 {
		r.TrialCrashes = defaultTrialCrashes
	}
	if r.GiveUp == 0 {
		r.GiveUp = defaultGiveUp
	}
}

// Action is what the supervisor does after a process has ended. The zero value restarts the current version immediately.
type Action struct {
	// Pause is the time before the next start.
	Pause time.Duration
	// Rollback makes the previous version the current one before the next start.
	Rollback bool
	// GiveUp means that the supervisor stops restarting because of too many crashes.
	GiveUp bool
	// End means that the process was stopped or exited successfully, and is not restarted.
	End bool
	// Reason describes the crash; it is empty if the process did not crash.
	Reason string
}

// Decider decides what to do after a process has ended, with a backoff for crash loops. It reads no clock and starts no process. It is
// not safe for concurrent use.
type Decider struct {
	Rules              Rules
	consecutiveCrashes int
}

// ProcessEnded returns what to do after a process ran for a time and ended with an exit code. stopped is true if the supervisor was asked
// to stop, onTrial if the version of the process has not been confirmed yet.
func (d *Decider) ProcessEnded(ran time.Duration, exitCode int, stopped, onTrial bool) Action {
	if stopped || exitCode == 0 {
		return Action{End: true}
	}
	if exitCode == ExitRestart {
		d.consecutiveCrashes = 0
		return Action{}
	}
	if ran >= d.Rules.StableAfter {
		d.consecutiveCrashes = 0
	}
	d.consecutiveCrashes++
	action := Action{
		Pause:  d.Rules.MinPause,
		Reason: fmt.Sprintf("it ended with %d after %v, %d times in a row", exitCode, ran.Round(time.Millisecond), d.consecutiveCrashes),
	}
	switch {
	case onTrial && d.consecutiveCrashes >= d.Rules.TrialCrashes:
		d.consecutiveCrashes = 0
		action.Rollback = true
	case d.consecutiveCrashes >= d.Rules.GiveUp:
		action.GiveUp = true
		return action
	}
	for range d.consecutiveCrashes - 1 {
		action.Pause = min(2*action.Pause, d.Rules.MaxPause)
	}
	return action
}
