package proxy

import (
	"log/slog"
	"net/http"
	"time"

	"robindrum/balancer"
	"robindrum/internal/backend"
)

const (
	healthCheckTimeout = 500 * time.Millisecond
	logInterval        = 200 * time.Millisecond // between two log lines of the balancer
)

// host is the Core as a balancer.Host. Its methods are called with the lock held.
type host Core

func (h *host) Send(id, server string, expire time.Duration) {
	n := (*Core)(h)
	r := n.requests[id]
	if r == nil {
		return
	}
	i := len(r.attempts)
	n.stats.Sends++
	if i > 0 {
		n.stats.Retries++
	}
	r.attemptsRunning++
	deadline := r.deadline
	if expire > 0 {
		if t := n.boot.Add(expire - n.bootUnix); t.Before(deadline) {
			deadline = t
		}
	}
	var a *backend.Attempt
	if !r.answered && i < max(n.opt.Settings.MaxAttempts, 1) {
		a = backend.NewAttempt(n.upstream(server), &r.Send, deadline)
	}
	r.attempts = append(r.attempts, a)
	n.attempts.Add(1)
	go n.runAttempt(r, i, a)
}

func (h *host) Reject(id string, retryAfter time.Duration) {
	h.answer(id, Answer{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter})
}

func (h *host) Fail(id string) { h.answer(id, Answer{Status: http.StatusBadGateway}) }

func (h *host) answer(id string, a Answer) {
	n := (*Core)(h)
	r := n.requests[id]
	if r != nil && r.endpointError != nil { // the endpoint's own error says more
		a = *r.endpointError
	}
	if n.settleAnswer(r, a) {
		if a.Status == http.StatusServiceUnavailable && r.endpointError == nil {
			n.stats.Rejected++
			n.notifyCompleted(n.now(), r, OutcomeRejected)
		} else {
			n.stats.Failed++
			n.notifyCompleted(n.now(), r, OutcomeFailed)
		}
		n.forgetIfFinished(r)
	}
}

func (h *host) Cancel(id string, i int) {
	if r := h.requests[id]; r != nil && i >= 0 && i < len(r.attempts) && r.attempts[i] != nil &&
		r.attempts[i] != r.stream { // a response that is being streamed goes on
		r.attempts[i].Cancel()
	}
}

func (h *host) HealthCheck(server string) {
	n := (*Core)(h)
	up := n.upstream(server)
	n.attempts.Go(func() {
		sent := time.Now()
		reply := backend.HealthCheck(n.ctx, up, n.opt.HealthCheckPath, healthCheckTimeout)
		p := balancer.HealthCheckResult{Server: server, Result: reply.Result, Latency: time.Since(sent)}
		if n.opt.LoadReports {
			p.LoadReport = backend.ParseLoad(reply.LoadReport)
			if p.LoadReport == nil {
				p.LoadReport = backend.ParseLoad(string(reply.Body))
			}
		}
		n.withBalancer(func(now time.Duration) { n.balancer.HealthChecked(now, p) })
	})
}

func (h *host) CloseIdle(server string) {
	if up := h.upstreams[server]; up != nil {
		up.CloseIdle()
	}
}

func (h *host) SetTimer(token uint64, after time.Duration) {
	n := (*Core)(h)
	time.AfterFunc(max(after, 0), func() {
		if n.ctx.Err() == nil {
			n.withBalancer(func(now time.Duration) { n.balancer.Timer(now, token) })
		}
	})
}

func (h *host) Watch(on bool) {
	if h.opt.Source != nil {
		h.opt.Source.Watch(on)
	}
}

func (h *host) Fetch() {
	if h.opt.Source != nil {
		h.opt.Source.Fetch()
	}
}

func (h *host) Log(text string) {
	if t := time.Now(); t.Sub(h.lastLogged) >= logInterval {
		h.lastLogged = t
		slog.Info(text)
	}
}
