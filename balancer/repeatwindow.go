package balancer

import (
	"slices"
	"time"
)

// RepeatWindow limits when the attempts of one request may be written to servers. An attempt may be decided in time and written late,
// for example because its connection came up late; a server that no longer recognizes the repetition would then execute it again. The
// window counts from the time at which another attempt was begun to be written, whichever of the two was decided first.
type RepeatWindow struct {
	span   time.Duration
	writes []attemptWrite // the attempts that may have been executed or may yet be
}

// attemptWrite is the time at which an attempt was begun to be written.
type attemptWrite struct {
	attempt int
	at      time.Duration
}

// NewRepeatWindow returns the window of a request of the class, or nil if it may be repeated at any time. An attempt of a request that
// is NonIdempotent may not be written while another one may have been executed.
func NewRepeatWindow(class Class) *RepeatWindow {
	switch class.Effect {
	case Idempotent:
		return nil
	case IdempotentWithKey:
		return &RepeatWindow{span: class.Window}
	case NonIdempotent:
	}
	return &RepeatWindow{}
}

// Until returns the time by which the last byte of an attempt must be written. limited is false if there is no such time yet, because no
// other attempt may have been executed.
func (w *RepeatWindow) Until(attempt int) (until time.Duration, limited bool) {
	for _, write := range w.writes {
		end := write.at + w.span
		if write.attempt != attempt && (!limited || end < until) {
			until, limited = end, true
		}
	}
	return until, limited
}

// Begin records that an attempt begins to be written, and returns true, or returns false if it must not be written any more.
func (w *RepeatWindow) Begin(now time.Duration, attempt int) bool {
	if until, limited := w.Until(attempt); limited && now >= until {
		return false
	}
	w.writes = append(w.writes, attemptWrite{attempt, now})
	return true
}

// Ended records the result of an attempt, which no longer counts if it proves that the server did not execute the request.
func (w *RepeatWindow) Ended(attempt int, result Result) {
	if result.provesNotExecuted() {
		w.writes = slices.DeleteFunc(w.writes, func(write attemptWrite) bool { return write.attempt == attempt })
	}
}
