package proxy

import (
	"io"
	"net/http"
	"time"

	"robindrum/balancer"
	"robindrum/internal/backend"
)

// runAttempt runs a, the attempt of q with index i, and reports its outcome to the balancer. If a is nil, the
// outcome is NotSent.
func (c *Core) runAttempt(q *request, i int, a *backend.Attempt) {
	defer c.attempts.Done()
	sent := time.Now()
	reply := backend.Reply{Result: balancer.NotSent}
	streams := false
	if a != nil {
		reply = a.Do(func(status int, h http.Header, length int64) io.Writer {
			if !c.beginStream(q, i) {
				return nil
			}
			streams = true
			return q.Client.Begin(status, h, length)
		})
	}
	if reply.Unwanted { // abandoned before the outcome is reported, since the balancer would retry otherwise
		c.Abandon(q)
	}
	q.repeats.ended(i, reply.Result)
	outcome := balancer.Outcome{ID: q.id, Attempt: i, Result: reply.Result, Latency: time.Since(sent)}
	if c.opt.LoadReports {
		outcome.LoadReport = backend.ParseLoad(reply.LoadReport)
	}
	if c.opt.HonorRetryAfter {
		outcome.RetryAfter = reply.RetryAfter
	}
	if streams {
		outcome.Latency = reply.FirstByteAt.Sub(sent)
		q.Client.Finish(reply.Result == balancer.Served)
		close(q.done)
	}
	c.withBalancer(func(now time.Duration) {
		q.attemptsRunning--
		switch response := (Answer{Status: reply.Status, Header: reply.Header, Body: reply.Body, Length: reply.Length}); {
		case streams:
			q.stream = nil
			if reply.Result == balancer.Served {
				c.recordServed(now, q)
			} else {
				c.stats.Failed++
				c.notifyCompleted(now, q, OutcomeFailed)
			}
		case reply.Result == balancer.Served:
			if c.settleAnswer(q, response) {
				c.recordServed(now, q)
			}
		case reply.Result == balancer.ServerError && reply.Status != 0:
			q.endpointError = &response
		}
		c.stats.Attempts[reply.Result]++
		if reply.Result != balancer.Served {
			c.events.info("attempt not served", "id", q.id, "attempt", i, "server", q.attemptServers[i], "result", reply.Result,
				"latency", outcome.Latency, "answered", q.answered)
		}
		outcome.Final = q.answered && q.stream == nil
		c.balancer.Outcome(now, outcome)
		c.forgetIfFinished(q)
	})
}

// beginStream makes the response of the attempt with index i the answer to q. It returns false if q is answered already.
func (c *Core) beginStream(q *request, i int) (ok bool) {
	c.withBalancer(func(now time.Duration) {
		if ok = !q.answered; ok {
			q.answered, q.stream = true, q.attempts[i]
			c.countAnswered()
			q.abortUnsent()
			c.balancer.Started(now, q.id, i)
		}
	})
	return ok
}

func (c *Core) recordServed(now time.Duration, q *request) {
	c.stats.Served++
	c.stats.TotalLatency += now - q.acceptedAt
	c.notifyCompleted(now, q, OutcomeServed)
}

// abortUnsent aborts the attempts that have not yet written the request. The settings may forbid cancelling attempts, and an
// attempt whose connection is established late would otherwise send the request long after its final answer.
func (q *Request) abortUnsent() {
	for _, a := range q.attempts {
		if a != nil && a != q.stream {
			a.Abort()
		}
	}
}
