package balancer

import (
	"testing"
	"time"
)

// Guards against attempts that are written after the servers have forgotten the key of another one, in whichever order they were decided.
func TestRepeatWindow(t *testing.T) {
	const span = 400 * ms
	keyed := Class{Effect: IdempotentWithKey, Window: span}
	type step struct {
		at      time.Duration
		attempt int
		ended   bool // the attempt ended with result; otherwise it is to be written
		result  Result
		want    bool // it may be written
	}
	for _, c := range []struct {
		name  string
		class Class
		steps []step
	}{
		{"within the window", keyed, []step{{at: 0, attempt: 0, want: true}, {at: span - 1, attempt: 1, want: true}}},
		{"at the end of the window", keyed, []step{{at: 0, attempt: 0, want: true}, {at: span, attempt: 1}}},
		{"after a result that leaves open whether it ran", keyed, []step{{at: 0, attempt: 0, want: true},
			{at: 100 * ms, attempt: 0, ended: true, result: ConnectionLost}, {at: span, attempt: 1}}},
		{"after a result that proves it did not run", keyed, []step{{at: 0, attempt: 0, want: true},
			{at: 100 * ms, attempt: 0, ended: true, result: Rejected}, {at: time.Minute, attempt: 1, want: true}}},
		{"the attempt decided first is written late", keyed, []step{{at: 0, attempt: 1, want: true}, {at: span, attempt: 0}}},
		{"the window of the earliest attempt counts", keyed, []step{{at: 0, attempt: 0, want: true}, {at: 300 * ms, attempt: 1, want: true},
			{at: span, attempt: 2}}},
		{"the earliest one did not run", keyed, []step{{at: 0, attempt: 0, want: true}, {at: 300 * ms, attempt: 1, want: true},
			{at: 350 * ms, attempt: 0, ended: true, result: NotConnected}, {at: span, attempt: 2, want: true}}},
		{"not to be repeated", Class{Effect: NonIdempotent, Window: span}, []step{{at: 0, attempt: 0, want: true}, {at: 1, attempt: 1},
			{at: 2, attempt: 0, ended: true, result: NotSent}, {at: 3, attempt: 1, want: true}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := NewRepeatWindow(c.class)
			for _, s := range c.steps {
				if s.ended {
					w.Ended(s.attempt, s.result)
				} else if got := w.Begin(s.at, s.attempt); got != s.want {
					t.Errorf("attempt %d at %v may be written: %t, want %t", s.attempt, s.at, got, s.want)
				}
			}
		})
	}
	if w := NewRepeatWindow(Class{Effect: Idempotent, Window: span}); w != nil {
		t.Errorf("an idempotent class has a window %+v, want none", w)
	}
}
