package balancer

import "time"

const (
	retryTokensPerSuccess = 0.1 // tokens per request that is served within its latency objective
	maxRetryTokens        = 3.0 // burst of retries and hedges
)

// retryBudget is a token bucket that limits retries and hedges to a fraction of the requests that are served within their latency
// objective. It is used if no Admission is set.
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

// retryBudgetSpent reports whether the retry budget allows no further retry or hedge.
func (b *Balancer) retryBudgetSpent(now time.Duration, r *request) bool {
	if b.settings.Admission != nil {
		return !b.settings.Admission.MayRetry(now, r.HighPriority)
	}
	return !b.retryBudget.available()
}

// countRetry charges a retry or hedge to the retry budget.
func (b *Balancer) countRetry(now time.Duration, r *request) {
	if b.settings.Admission != nil {
		b.settings.Admission.RetryStarted(now, r.HighPriority)
		return
	}
	b.retryBudget.withdraw()
}

// mayAttempt reports whether another attempt of a request at a server is allowed, considering the number of attempts, the attempts
// in flight and the effect of a second execution.
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

// provesNotExecuted reports whether the result proves that the server did not execute the request.
func (r Result) provesNotExecuted() bool {
	return r == Rejected || r == NotConnected || r == NotSent
}

// repeatableAt reports whether the request of this attempt may be repeated at server s.
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

// mayReject reports whether a request may be rejected. A rejection tells the client that repeating the request is safe.
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

// findServer returns the server for the next attempt, or nil if there is none or no attempt is allowed. A retry or hedge is charged
// to the retry budget.
func (b *Balancer) findServer(now time.Duration, r *request, purpose Purpose) *server {
	first := purpose == FirstAttempt
	// A LocalityPicker may let a hedge leave an unhealthy locality without retry budget.
	mayExceedBudget := purpose == Hedge && b.settings.Localities != nil
	if !first && b.retryBudgetSpent(now, r) && !mayExceedBudget {
		return nil
	}
	usable := func(s *server) bool {
		return !r.attemptedAt(s) && !b.warmUpLimitReached(s, now) && b.mayAttempt(r, s, now)
	}
	var s *server
	if b.settings.Localities != nil {
		s = b.pickLocalityAndServer(now, r, purpose, usable)
	} else {
		s = b.pick(now, func(s *server) bool { return s.accepts(r.class, now) && usable(s) })
		if s == nil && first { // all servers are ejected for the class: an attempt at one is better than none
			s = b.pick(now, usable)
		}
	}
	if s != nil && !first {
		b.countRetry(now, r)
	}
	return s
}
