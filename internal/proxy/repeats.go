package proxy

import (
	"sync"
	"time"

	"robindrum/balancer"
	"robindrum/internal/backend"
)

// repeatGuard keeps the attempts of one request from being written outside its RepeatWindow, however long they wait between the decision
// and the write. Its methods may be called concurrently, with the core's lock held or not.
type repeatGuard struct {
	now func() time.Duration // the core's clock

	mu       sync.Mutex
	window   *balancer.RepeatWindow
	attempts []guardedAttempt // by the attempts' indexes
}

// guardedAttempt is an attempt that a repeatGuard limits.
type guardedAttempt struct {
	attempt *backend.Attempt // nil if it is not sent, or has ended
	timer   *time.Timer      // aborts the attempt at the end of the window; nil if there is none yet
}

// newRepeatGuard returns the guard of a request of the class, or nil if its attempts may be written at any time.
func (c *Core) newRepeatGuard(class string) *repeatGuard {
	window := balancer.NewRepeatWindow(c.classes[class])
	if window == nil {
		return nil
	}
	return &repeatGuard{now: c.now, window: window}
}

// add limits the request's next attempt, which may be nil. The attempt must not have begun.
func (g *repeatGuard) add(attempt *backend.Attempt) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	index := len(g.attempts)
	g.attempts = append(g.attempts, guardedAttempt{attempt: attempt})
	if attempt != nil {
		attempt.OnWrite(func() bool { return g.begin(index) })
		g.limit(index)
	}
}

// begin reports whether the attempt with the given index may be written now, and limits the others if so.
func (g *repeatGuard) begin(index int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.window.Begin(g.now(), index) {
		return false
	}
	g.limitAll()
	return true
}

// ended records the result of the attempt with the given index.
func (g *repeatGuard) ended(index int, result balancer.Result) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempts[index].stopTimer()
	g.attempts[index].attempt = nil
	g.window.Ended(index, result)
	g.limitAll()
}

// limitAll calls limit for all attempts. g.mu must be held.
func (g *repeatGuard) limitAll() {
	for index := range g.attempts {
		g.limit(index)
	}
}

// limit sets the timer that aborts an attempt if it is not written completely by the end of the window. g.mu must be held.
func (g *repeatGuard) limit(index int) {
	guarded := &g.attempts[index]
	guarded.stopTimer()
	until, limited := g.window.Until(index)
	if guarded.attempt != nil && limited {
		guarded.timer = time.AfterFunc(until-g.now(), guarded.attempt.Abort)
	}
}

func (a *guardedAttempt) stopTimer() {
	if a.timer != nil {
		a.timer.Stop()
	}
}
