package balancer

import "time"

const (
	retryTokensPerSuccess = 0.1
	maxRetryTokens        = 3.0
)

// retryBudget limits retries and hedges to a share of the requests that are served in time. It is used where no Admission is set.
type retryBudget struct {
	tokens float64
}

func (b *retryBudget) available() bool {
	return b.tokens >= 1
}

func (b *retryBudget) withdraw() {
	if b.available() {
		b.tokens--
	}
}

func (b *retryBudget) deposit() {
	b.tokens = min(b.tokens+retryTokensPerSuccess, maxRetryTokens)
}

// retryBudgetSpent reports whether no further retry or hedge may be made.
func (b *Balancer) retryBudgetSpent(now time.Duration, r *request) bool {
	if b.settings.Admission != nil {
		return !b.settings.Admission.MayRetry(now, r.HighPriority)
	}
	return !b.retryBudget.available()
}

// countRetry takes a retry or hedge from its budget.
func (b *Balancer) countRetry(now time.Duration, r *request) {
	if b.settings.Admission != nil {
		b.settings.Admission.RetryStarted(now, r.HighPriority)
		return
	}
	b.retryBudget.withdraw()
}

// mayAttempt reports whether a further attempt of a request at a server is allowed: by the number of attempts, by what is in
// flight, and by what a second execution would do.
func (b *Balancer) mayAttempt(r *request, s *server, now time.Duration) bool {
	if len(r.attempts) > 0 {
		if len(r.attempts) >= max(b.settings.MaxAttempts, 1) || r.finished || r.streaming {
			return false
		}
	}
	if r.inFlight > 0 && !b.settings.ParallelAttempts {
		return false
	}
	for i := range r.attempts {
		if !r.attempts[i].repeatableAt(r.class, s, now) {
			return false
		}
	}
	return true
}

// provesNotExecuted reports whether the server cannot have executed the request.
func (r Result) provesNotExecuted() bool {
	return r == Rejected || r == NotConnected || r == NotSent
}

// repeatableAt reports whether a request may be repeated at a server although it may have been executed by this attempt.
func (a *attempt) repeatableAt(c *class, s *server, now time.Duration) bool {
	if a.notExecuted || c.Effect == Idempotent {
		return true
	}
	if c.Effect == NonIdempotent || now-a.sentAt >= c.Window {
		return false
	}
	switch c.Group {
	case GroupZone:
		return a.to.Zone == s.Zone
	case GroupCell:
		return a.to.Zone == s.Zone && a.to.Cell == s.Cell
	default:
		return true
	}
}

// mayReject reports whether a request may be rejected, which promises that a repetition is harmless.
func (b *Balancer) mayReject(r *request) bool {
	if r.class.Effect == Idempotent || r.class.Effect == IdempotentWithKey && r.class.Group == GroupAll {
		return true
	}
	for i := range r.attempts {
		if !r.attempts[i].notExecuted {
			return false
		}
	}
	return true
}

// findServer returns the server of the next attempt, or nil if there is none or no attempt is allowed. A retry or hedge is taken
// from its budget.
func (b *Balancer) findServer(now time.Duration, r *request, purpose Purpose) *server {
	first := purpose == FirstAttempt
	// A LocalityPicker may let a hedge leave its locality without a budget.
	picksWithoutBudget := purpose == Hedge && b.settings.Localities != nil
	if !first && b.retryBudgetSpent(now, r) && !picksWithoutBudget {
		return nil
	}
	usable := func(s *server) bool {
		return !r.attemptedAt(s) && !b.warmUpLimitReached(s, now) && b.mayAttempt(r, s, now)
	}
	var s *server
	if b.settings.Localities != nil {
		s = b.pickInLocality(now, r, purpose, usable)
	} else {
		s = b.pick(now, func(s *server) bool { return s.accepts(r.class, now) && usable(s) })
		if s == nil && first { // all reject the class: trying one is better than not trying
			s = b.pick(now, usable)
		}
	}
	if s != nil && !first {
		b.countRetry(now, r)
	}
	return s
}
