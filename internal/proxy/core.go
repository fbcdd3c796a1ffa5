// Package proxy implements the HTTP/1.1 proxy. A Front reads clients' requests. A Core runs the attempts that its
// balancer.Balancer asks for and gives each request exactly one final answer. All load-balancing decisions are made by the
// balancer.
package proxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"robindrum/balancer"
	"robindrum/internal/backend"
)

// Options configure a Core.
type Options struct {
	Settings        balancer.Settings
	Seed            uint64 // seeds the balancer's random numbers
	MaxOpen         int    // limit of requests without a final answer; 0 means no limit
	LoadReports     bool   // load reports are read from responses and health checks
	HealthCheckPath string
	// HonorRetryAfter passes the Retry-After of a server's 503 response to the balancer, which then sends the server no
	// requests for that time.
	HonorRetryAfter bool
	BodyBytes       int64 // memory limit for the bodies of all requests
	Budget          *backend.Budget
	// OpenRequests limits the requests without a final answer across all cores that share it, in addition to MaxOpen; nil means no
	// limit.
	OpenRequests Quota
	// BodyMemory limits the memory for request bodies; nil means the Front's own limit.
	BodyMemory Quota
	// LogRequests writes a log message about each retry, each attempt that is not served and each request that is rejected, fails or
	// is abandoned, up to maxEventsPerSecond.
	LogRequests bool
	// OnCompleted, if not nil, is called once for each completed request. The core's lock is held, so OnCompleted must
	// neither block nor call the Core.
	OnCompleted func(Completed)
	// Source fetches and watches the endpoint list when the balancer asks for it; nil if the list is pushed to the Core.
	Source Source
}

// Quota is a limited resource that several cores share. Its methods are safe for concurrent use.
type Quota interface {
	Acquire(n int64) bool // reserves n units, or returns false if fewer are left
	Release(n int64)      // gives back n acquired units
}

// Source fetches the endpoint list. Its methods do not block.
type Source interface {
	Watch(on bool) // starts or stops a watch
	Fetch()        // fetches one full snapshot
}

// Core runs the requests of one cluster. It carries out the decisions of one Balancer, is independent of the client
// protocol and gives each request exactly one final answer. Its methods are safe for concurrent use.
type Core struct {
	opt       Options
	classes   map[string]balancer.Class // by name
	pool      *backend.Pool
	startTime time.Time
	startUnix time.Duration // startTime as the time since the Unix epoch
	ctx       context.Context
	cancel    context.CancelFunc
	attempts  sync.WaitGroup // running attempts and health checks, and answers written in the background

	ready atomic.Bool

	mu         sync.Mutex
	balancer   *balancer.Balancer
	requests   map[string]*request          // by ID; requests that are unanswered or have attempts running
	unanswered int                          // requests without a final answer
	upstreams  map[string]*backend.Upstream // by server ID
	lastLogged time.Time
	events     *eventLog  // nil unless Options.LogRequests is set
	toAnswer   []*request // settled requests, to be answered once the lock is released
	stats      Stats
	retired    bool
	idle       chan struct{} // closed when the core is retired and has no requests left
}

// NewCore returns a core that sends its attempts through pool. The caller must call Close when done.
func NewCore(opt Options, pool *backend.Pool) (*Core, error) {
	c := &Core{opt: opt, pool: pool, startTime: time.Now(), classes: map[string]balancer.Class{}, idle: make(chan struct{}),
		requests: map[string]*request{}, upstreams: map[string]*backend.Upstream{}}
	if opt.LogRequests {
		c.events = &eventLog{}
	}
	c.startUnix = time.Duration(c.startTime.UnixNano())
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for _, class := range opt.Settings.Classes {
		c.classes[class.Name] = class
	}
	var err error
	c.balancer, err = balancer.New(opt.Settings, opt.Seed, (*host)(c))
	return c, err
}

// Deadline returns how long a request of a class may take across all attempts, or 0 if the class does not exist.
func (c *Core) Deadline(class string) time.Duration { return c.classes[class].Deadline }

// Ready reports whether the core has received an endpoint list.
func (c *Core) Ready() bool { return c.ready.Load() }

// Clock returns the time since the Unix epoch, advanced by the monotonic clock. balancer.Server.Since uses the same clock.
func (c *Core) Clock() time.Duration { return c.now() }

// Accept hands a request to the core. If ok is false the request was not accepted, and status is the reason: 409 if the
// core still has a request with the same ID, 503 if there are too many requests, 0 if the core is retired and another core
// may accept the request.
func (c *Core) Accept(q *Request) (status int, ok bool) {
	c.withBalancer(func(now time.Duration) {
		switch {
		case c.retired:
		case c.requests[q.Attributes.ID] != nil:
			status = http.StatusConflict
		case c.opt.MaxOpen > 0 && c.unanswered >= c.opt.MaxOpen, c.opt.OpenRequests != nil && !c.opt.OpenRequests.Acquire(1):
			status = http.StatusServiceUnavailable
		default:
			ok = true
			q.id, q.done, q.memory = q.Attributes.ID, make(chan struct{}), c.opt.BodyMemory
			c.requests[q.id] = q
			c.unanswered++
			c.stats.Accepted++
			q.acceptedAt = now
			q.repeats = c.newRepeatGuard(q.Attributes.Class)
			q.deadline = c.startTime.Add(now - c.startUnix + q.Attributes.TimeLeft)
			c.balancer.Request(now, q.Attributes)
		}
	})
	return status, ok
}

// Abandon ends a request whose client has disconnected or whose deadline has passed.
func (c *Core) Abandon(q *Request) {
	c.withBalancer(func(now time.Duration) {
		if c.settleAnswer(q, Answer{Status: http.StatusBadGateway}) {
			c.stats.ClientLeft++
			c.logEnd(now, "request abandoned", q)
			c.endUnanswered(now, q, OutcomeClientLeft)
		}
	})
}

// Fail ends a request that turns out to be invalid, with a as its answer unless it has one already.
func (c *Core) Fail(q *Request, a Answer) {
	c.withBalancer(func(now time.Duration) {
		if c.settleAnswer(q, a) {
			c.stats.Failed++
			c.logEnd(now, "request failed", q)
			c.endUnanswered(now, q, OutcomeFailed)
		}
	})
}

// endUnanswered ends a request at the balancer, which has chosen no answer to it. c.mu must be held.
func (c *Core) endUnanswered(now time.Duration, q *Request, outcome RequestOutcome) {
	c.notifyCompleted(now, q, outcome)
	c.balancer.ClientGone(now, q.id)
	c.forgetIfFinished(q)
}

// End ends a request immediately. If it has no answer yet, the balancer chooses its final answer.
func (c *Core) End(q *Request) {
	c.withBalancer(func(now time.Duration) { c.balancer.Expire(now, q.id) })
	c.Abandon(q) // in case the balancer does not have the request
}

// ExpireAll answers every unanswered request with the result of answer, whose argument sent tells whether an attempt was
// made. Responses that are being streamed are not interrupted. ExpireAll returns the number of requests that it answered.
func (c *Core) ExpireAll(answer func(attributes balancer.Request, sent bool) Answer) (count int) {
	c.withBalancer(func(now time.Duration) {
		for _, q := range c.requests {
			if q.answered {
				continue
			}
			a := answer(q.Attributes, len(q.attempts) > 0)
			c.settleAnswer(q, a)
			c.logEnd(now, "request answered at the end of the shutdown", q)
			count++
			outcome := OutcomeFailed
			if a.Status == http.StatusServiceUnavailable {
				outcome = OutcomeRejected
				c.stats.Rejected++
			} else {
				c.stats.Failed++
			}
			c.endUnanswered(now, q, outcome)
		}
	})
	return count
}

// Retire stops the core from accepting requests. The returned channel is closed once the core has no requests left.
func (c *Core) Retire() <-chan struct{} {
	c.withBalancer(func(time.Duration) {
		if !c.retired {
			c.retired = true
			c.closeIdleIfRetired()
		}
	})
	return c.idle
}

// closeIdleIfRetired closes c.idle once a retired core has no requests left. c.mu must be held.
func (c *Core) closeIdleIfRetired() {
	if c.retired && len(c.requests) == 0 {
		select {
		case <-c.idle:
		default:
			close(c.idle)
		}
	}
}

// Inspect calls fn with the core's lock held, so that fn can read the state of the balancer's LocalityPicker and
// Admission. fn must neither block nor call the Core.
func (c *Core) Inspect(fn func(now time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn(c.now())
}

// EachServer calls fn for each server of the endpoint list, with its number of attempts in flight and whether it is ejected.
func (c *Core) EachServer(fn func(id string, inFlight int, ejected bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.EachServer(c.now(), fn)
}

// InFlight returns the number of requests without a complete answer.
func (c *Core) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.unanswered
	for _, q := range c.requests {
		if q.stream != nil { // answered, and still being streamed
			count++
		}
	}
	return count
}

func (c *Core) now() time.Duration { return c.startUnix + time.Since(c.startTime) }

// withBalancer calls event with the lock held, and then answers the requests that event settled.
func (c *Core) withBalancer(event func(now time.Duration)) {
	for _, q := range c.runLocked(event) {
		c.writeAnswer(q)
	}
}

// writeAnswer passes a settled request's answer to its client and marks the request as done.
func (c *Core) writeAnswer(q *request) {
	q.Client.Answer(q.answer)
	close(q.done)
}

// runLocked calls event with the lock held and returns the requests to be answered.
func (c *Core) runLocked(event func(now time.Duration)) []*request {
	c.mu.Lock()
	defer c.mu.Unlock()
	event(c.now())
	settled := c.toAnswer
	c.toAnswer = nil
	return settled
}

// logEnd logs how a request ended that was not served.
func (c *Core) logEnd(now time.Duration, message string, q *request) {
	c.events.info(message, "id", q.id, "class", q.Attributes.Class, "attempts", len(q.attempts), "after", now-q.acceptedAt,
		"time_left", time.Until(q.deadline))
}

func (c *Core) notifyCompleted(now time.Duration, q *request, outcome RequestOutcome) {
	if c.opt.OnCompleted != nil {
		c.opt.OnCompleted(Completed{Attributes: q.Attributes, Method: q.Send.Method, Latency: now - q.acceptedAt, Outcome: outcome})
	}
}

// countAnswered removes an answered request from the count and the quota of open requests.
func (c *Core) countAnswered() {
	c.unanswered--
	if c.opt.OpenRequests != nil {
		c.opt.OpenRequests.Release(1)
	}
}

// settleAnswer sets the final answer of q, to be written once the lock is released. It returns false if q is nil or has an
// answer already.
func (c *Core) settleAnswer(q *request, a Answer) bool {
	if q == nil || q.answered {
		return false
	}
	q.answered, q.answer = true, a
	c.countAnswered()
	q.abortUnsent()
	c.toAnswer = append(c.toAnswer, q)
	return true
}

// forgetIfFinished removes a request that is answered and has no attempt running, and releases its memory.
func (c *Core) forgetIfFinished(q *request) {
	if q.answered && q.attemptsRunning == 0 && c.requests[q.id] == q {
		delete(c.requests, q.id)
		if q.memory != nil {
			q.memory.Release(q.ReservedBytes)
		}
		c.closeIdleIfRetired()
	}
}

// Close cancels all attempts, waits until they and the answers to their requests are done, and closes the pool.
func (c *Core) Close() {
	c.cancel()
	c.mu.Lock()
	for _, q := range c.requests {
		for _, a := range q.attempts {
			if a != nil {
				a.Cancel()
			}
		}
	}
	c.mu.Unlock()
	c.attempts.Wait()
	c.pool.Close()
}
