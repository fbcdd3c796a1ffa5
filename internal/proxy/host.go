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
	logInterval        = 200 * time.Millisecond // minimum time between two log messages of the balancer; others are dropped
)

// host implements balancer.Host for a Core. The balancer calls its methods with the core's lock held.
type host Core

func (h *host) Send(id, server string, expire time.Duration) {
	c := (*Core)(h)
	q := c.requests[id]
	if q == nil {
		return
	}
	i := len(q.attempts)
	c.stats.Sends++
	if i > 0 {
		c.stats.Retries++
	}
	q.attemptsRunning++
	deadline := q.deadline
	if expire > 0 {
		if t := c.startTime.Add(expire - c.startUnix); t.Before(deadline) {
			deadline = t
		}
	}
	var a *backend.Attempt
	if !q.answered && i < max(c.opt.Settings.MaxAttempts, 1) {
		a = backend.NewAttempt(c.upstream(server), &q.Send, deadline)
	}
	q.repeats.add(a)
	q.attempts = append(q.attempts, a)
	q.attemptServers = append(q.attemptServers, server)
	if i > 0 {
		c.events.info("request retried", "id", id, "attempt", i, "server", server, "running", q.attemptsRunning-1)
	}
	c.attempts.Add(1)
	go c.runAttempt(q, i, a)
}

func (h *host) Reject(id string, retryAfter time.Duration) {
	h.answer(id, Answer{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter})
}

func (h *host) Fail(id string) { h.answer(id, Answer{Status: http.StatusBadGateway}) }

// answer settles an unanswered request with a, or with the last error response from an endpoint.
func (h *host) answer(id string, a Answer) {
	c := (*Core)(h)
	q := c.requests[id]
	if q != nil && q.endpointError != nil { // the endpoint's error response is more specific
		a = *q.endpointError
	}
	if c.settleAnswer(q, a) {
		if a.Status == http.StatusServiceUnavailable && q.endpointError == nil {
			c.stats.Rejected++
			c.logEnd(c.now(), "request rejected", q)
			c.notifyCompleted(c.now(), q, OutcomeRejected)
		} else {
			c.stats.Failed++
			c.logEnd(c.now(), "request failed", q)
			c.notifyCompleted(c.now(), q, OutcomeFailed)
		}
		c.forgetIfFinished(q)
	}
}

func (h *host) Cancel(id string, i int) {
	if q := h.requests[id]; q != nil && i >= 0 && i < len(q.attempts) && q.attempts[i] != nil &&
		q.attempts[i] != q.stream { // a response that is being streamed is not interrupted
		q.attempts[i].Cancel()
	}
}

func (h *host) HealthCheck(server string) {
	c := (*Core)(h)
	up := c.upstream(server)
	c.attempts.Go(func() {
		sent := time.Now()
		reply := backend.HealthCheck(c.ctx, up, c.opt.HealthCheckPath, healthCheckTimeout)
		result := balancer.HealthCheckResult{Server: server, Result: reply.Result, Latency: time.Since(sent)}
		if c.opt.LoadReports {
			result.LoadReport = backend.ParseLoad(reply.LoadReport)
			if result.LoadReport == nil {
				result.LoadReport = backend.ParseLoad(string(reply.Body))
			}
		}
		c.withBalancer(func(now time.Duration) { c.balancer.HealthChecked(now, result) })
	})
}

func (h *host) CloseIdle(server string) {
	if up := h.upstreams[server]; up != nil {
		up.CloseIdle()
	}
}

func (h *host) SetTimer(token uint64, after time.Duration) {
	c := (*Core)(h)
	time.AfterFunc(max(after, 0), func() {
		if c.ctx.Err() == nil {
			c.withBalancer(func(now time.Duration) { c.balancer.Timer(now, token) })
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
