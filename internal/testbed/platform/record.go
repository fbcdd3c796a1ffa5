package platform

import (
	"fmt"
	"sync"
	"time"
)

// Record collects what happened in a run, and the breaches of the platform's rules. Its methods may be called concurrently.
type Record struct {
	start time.Time

	mu       sync.Mutex
	lines    []string
	breaches []string
	requests map[Outcome]int
}

// NewRecord returns an empty record that begins now.
func NewRecord() *Record { return &Record{start: time.Now(), requests: map[Outcome]int{}} }

// Printf adds a line with the time since the record began.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, r.stamp(format, args...))
}

// Breach adds a breach of a rule.
func (r *Record) Breach(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := r.stamp(format, args...)
	r.lines = append(r.lines, "BREACH "+line)
	r.breaches = append(r.breaches, line)
}

func (r *Record) stamp(format string, args ...any) string {
	return fmt.Sprintf("%8.3f %s", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Breaches returns the breaches so far.
func (r *Record) Breaches() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.breaches...)
}

// Lines returns all lines so far.
func (r *Record) Lines() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.lines...)
}

func (r *Record) count(outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[outcome]++
}

// Requests returns how many requests had an outcome.
func (r *Record) Requests(outcome Outcome) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests[outcome]
}
