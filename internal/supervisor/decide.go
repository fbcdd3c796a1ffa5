package supervisor

import (
	"fmt"
	"time"
)

// Rules are how ended processes are started again.
type Rules struct {
	// First and Most bound the time before a process that crashed is started again; it doubles with each crash in a row.
	First, Most time.Duration
	// Steady is how long a process must have run for its crash to begin a new row.
	Steady time.Duration
	// Trial is how many crashes in a row a version on trial has before the one before is started in its place.
	Trial int
	// GiveUp is how many crashes in a row end it all.
	GiveUp int
}

// Fill sets what was left out.
func (r *Rules) Fill() {
	if r.First == 0 {
		r.First = 200 * time.Millisecond
	}
	if r.Most == 0 {
		r.Most = 30 * time.Second
	}
	if r.Steady == 0 {
		r.Steady = time.Minute
	}
	if r.Trial == 0 {
		r.Trial = 3
	}
	if r.GiveUp == 0 {
		r.GiveUp = 10
	}
}

// Action is what is to be done about a process that ended.
type Action struct {
	Wait   time.Duration // before the next start
	Back   bool          // first, the version before is linked again
	GiveUp bool
	End    bool // it ended as it was told to
	Why    string
}

// Decider decides that. It is pure: it knows no clock and no process.
type Decider struct {
	Rules Rules
	row   int // crashes in a row
}

// Ended decides about a process that ran so long and ended with a code; told: it was told to end. trial: its version was started
// in place of another one, and has not been seen at work yet.
func (d *Decider) Ended(ran time.Duration, code int, told, trial bool) Action {
	if told || code == 0 {
		return Action{End: true}
	}
	if code == Again {
		d.row = 0
		return Action{}
	}
	if ran >= d.Rules.Steady {
		d.row = 0
	}
	d.row++
	a := Action{Wait: d.Rules.First, Why: fmt.Sprintf("it ended with %d after %v, %d times in a row", code, ran.Round(time.Millisecond), d.row)}
	switch {
	case trial && d.row >= d.Rules.Trial:
		d.row = 0
		a.Back = true
	case d.row >= d.Rules.GiveUp:
		a.GiveUp = true
		return a
	}
	for range d.row - 1 {
		a.Wait = min(2*a.Wait, d.Rules.Most)
	}
	return a
}
