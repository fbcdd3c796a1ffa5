// Package proxy is the HTTP/1.1 proxy around the balancer. A Front reads clients' requests, a Core runs the attempts
// that its balancer.Balancer asks for and gives each request exactly one final answer. Package proxy decides nothing itself.
package proxy

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"robindrum/balancer"
	"robindrum/internal/backend"
	"robindrum/internal/discovery"
)

// Options configure a Core.
type Options struct {
	Settings        balancer.Settings
	Seed            uint64 // of the balancer's random numbers
	MaxOpen         int    // requests without a final answer; 0 means no limit
	LoadReports     bool   // responses or health checks carry load reports
	HealthCheckPath string
	// HonorRetryAfter has a server that answers 503 left alone for as long as its Retry-After asks.
	HonorRetryAfter bool
	BodyBytes       int64 // memory for the bodies of all requests
	Budget          *backend.Budget
	// Open bounds the requests without a final answer over all cores that share it, beside MaxOpen; nil means no limit.
	Open Quota
	// Memory accounts for the requests' bodies; nil means the front's own.
	Memory Quota
	// OnCompleted, if not nil, is called once for each request that has ended, with the core's lock held: it must neither
	// block nor call the Core.
	OnCompleted func(Completed)
	// Source fetches and watches the endpoint list when the balancer asks for it; nil if the list is pushed.
	Source Source
}

// Quota is a bounded amount that several cores share. Its methods may be called by several goroutines at once.
type Quota interface {
	Acquire(n int64) bool // reserves n, or returns false if less is left
	Release(n int64)      // returns n that was acquired
}

// Source fetches the endpoint list. Its methods do not block.
type Source interface {
	Watch(on bool) // begins or ends a watch
	Fetch()        // fetches one full snapshot
}

// Core runs the requests of one cluster. It carries out the decisions of one Balancer, knows no client protocol and gives
// each request exactly one final answer. Its methods may be called by several goroutines at once.
type Core struct {
	opt            Options
	classDeadlines map[string]time.Duration
	pool           *backend.Pool
	boot           time.Time
	bootUnix       time.Duration // boot as Unix time
	ctx            context.Context
	cancel         context.CancelFunc
	attempts       sync.WaitGroup // attempts and probes

	ready atomic.Bool

	mu         sync.Mutex
	balancer   *balancer.Balancer
	requests   map[string]*request // unanswered, or with attempts running
	unanswered int                 // requests without a final answer
	upstreams  map[string]*backend.Upstream
	lastLogged time.Time
	toAnswer   []*request // to be answered once the lock is released
	stats      Stats
	retired    bool
	idle       chan struct{} // closed when the core is retired and has no requests left
}

// NewCore returns a core whose attempts go through pool. Close ends it.
func NewCore(opt Options, pool *backend.Pool) (*Core, error) {
	n := &Core{opt: opt, pool: pool, boot: time.Now(), classDeadlines: map[string]time.Duration{}, idle: make(chan struct{}),
		requests: map[string]*request{}, upstreams: map[string]*backend.Upstream{}}
	n.bootUnix = time.Duration(n.boot.UnixNano())
	n.ctx, n.cancel = context.WithCancel(context.Background())
	for _, c := range opt.Settings.Classes {
		n.classDeadlines[c.Name] = c.Deadline
	}
	var err error
	n.balancer, err = balancer.New(opt.Settings, opt.Seed, (*host)(n))
	return n, err
}

// Deadline returns how long a request of a class may take over all attempts; 0 if there is no such class.
func (n *Core) Deadline(class string) time.Duration { return n.classDeadlines[class] }

// Ready reports whether the core has received an endpoint list.
func (n *Core) Ready() bool { return n.ready.Load() }

// Clock returns the time since the Unix epoch by the monotonic clock; balancer.Server.Since uses the same.
func (n *Core) Clock() time.Duration { return n.now() }

// Accept hands a request to the core. If ok is false nothing was done and status says why: 409 if a request with the same
// ID is under way, 503 if there are too many requests, 0 if the core is retired and another core may take the request.
func (n *Core) Accept(q *Request) (status int, ok bool) {
	n.withBalancer(func(now time.Duration) {
		switch {
		case n.retired:
		case n.requests[q.Attributes.ID] != nil:
			status = http.StatusConflict
		case n.opt.MaxOpen > 0 && n.unanswered >= n.opt.MaxOpen, n.opt.Open != nil && !n.opt.Open.Acquire(1):
			status = http.StatusServiceUnavailable
		default:
			ok = true
			q.id, q.done, q.memory = q.Attributes.ID, make(chan struct{}), n.opt.Memory
			n.requests[q.id] = q
			n.unanswered++
			n.stats.Accepted++
			q.acceptedAt = now
			q.deadline = n.boot.Add(now - n.bootUnix + q.Attributes.TimeLeft)
			n.balancer.Request(now, q.Attributes)
		}
	})
	return status, ok
}

// Abandon ends a request whose client has left or whose time is over.
func (n *Core) Abandon(q *Request) {
	n.withBalancer(func(now time.Duration) {
		if n.settleAnswer(q, Answer{Status: http.StatusBadGateway}) {
			n.stats.ClientLeft++
			n.notifyCompleted(now, q, OutcomeClientLeft)
			n.balancer.ClientGone(now, q.id)
			n.forgetIfFinished(q)
		}
	})
}

// End gives a request that has no answer yet the final answer that the balancer chooses at this moment.
func (n *Core) End(q *Request) {
	n.withBalancer(func(now time.Duration) { n.balancer.Expire(now, q.id) })
	n.Abandon(q) // in case the balancer does not know of it
}

// ExpireAll gives every request without an answer the one that answer returns for it; sent is whether an attempt was made.
// Responses that are being streamed go on. It returns the number of requests that were answered.
func (n *Core) ExpireAll(answer func(attributes balancer.Request, sent bool) Answer) (count int) {
	n.withBalancer(func(now time.Duration) {
		for _, q := range n.requests {
			if q.answered {
				continue
			}
			a := answer(q.Attributes, len(q.attempts) > 0)
			n.settleAnswer(q, a)
			count++
			if a.Status == http.StatusServiceUnavailable {
				n.stats.Rejected++
				n.notifyCompleted(now, q, OutcomeRejected)
			} else {
				n.stats.Failed++
				n.notifyCompleted(now, q, OutcomeFailed)
			}
			n.balancer.ClientGone(now, q.id)
			n.forgetIfFinished(q)
		}
	})
	return count
}

// Retire has the core accept no more requests. The returned channel is closed once it has none left.
func (n *Core) Retire() <-chan struct{} {
	n.withBalancer(func(time.Duration) {
		if !n.retired {
			n.retired = true
			n.closeIdleIfRetired()
		}
	})
	return n.idle
}

func (n *Core) closeIdleIfRetired() {
	if n.retired && len(n.requests) == 0 {
		select {
		case <-n.idle:
		default:
			close(n.idle)
		}
	}
}

// Inspect calls fn with the core's lock held, so that fn may read the state of the balancer's LocalityPicker and
// Admission. fn must neither block nor call the Core.
func (n *Core) Inspect(fn func(now time.Duration)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	fn(n.now())
}

// EachServer calls fn for each server of the endpoint list with the attempts in flight and whether it is ejected.
func (n *Core) EachServer(fn func(id string, inFlight int, ejected bool)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.balancer.EachServer(n.now(), fn)
}

// InFlight returns the number of requests without a complete answer.
func (n *Core) InFlight() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	in := n.unanswered
	for _, q := range n.requests {
		if q.stream != nil { // answered, and still being streamed
			in++
		}
	}
	return in
}

func (n *Core) now() time.Duration { return n.bootUnix + time.Since(n.boot) }

func (n *Core) withBalancer(event func(now time.Duration)) {
	for _, r := range n.runLocked(event) {
		n.writeAnswer(r)
	}
}

// writeAnswer gives a request its answer.
func (n *Core) writeAnswer(r *request) {
	r.Client.Answer(r.answer)
	close(r.done)
}

func (n *Core) runLocked(event func(now time.Duration)) []*request {
	n.mu.Lock()
	defer n.mu.Unlock()
	event(n.now())
	settled := n.toAnswer
	n.toAnswer = nil
	return settled
}

// UpdateEndpoints applies an update of the endpoint list.
func (n *Core) UpdateEndpoints(u discovery.Update) {
	settled := n.runLocked(func(now time.Duration) {
		if u.Kind != balancer.UpdateFailed {
			n.updateUpstreams(u)
		}
		n.balancer.UpdateEndpoints(now, u.EndpointUpdate)
	})
	// On goroutines of their own: a client that does not read must not delay the caller.
	for _, r := range settled {
		n.attempts.Go(func() { n.writeAnswer(r) })
	}
	if u.Kind == balancer.UpdateSnapshot || u.Kind == balancer.UpdateDelta || len(u.Servers) > 0 {
		n.ready.Store(true)
	}
}

// updateUpstreams makes the upstreams match an update of the endpoint list.
func (n *Core) updateUpstreams(u discovery.Update) {
	if u.Kind != balancer.UpdateDelta {
		for uid := range n.upstreams {
			if _, ok := u.Endpoints[uid]; !ok {
				n.retireUpstream(uid)
			}
		}
	}
	for _, s := range u.Servers {
		addr, ok := u.Endpoints[s.ID]
		old := n.upstreams[s.ID]
		switch {
		case !ok:
			n.retireUpstream(s.ID)
		case old == nil:
			n.upstreams[s.ID] = n.pool.Upstream(addr, s.Since)
		case old.Addr() != addr || old.Since() != s.Since:
			n.retireUpstream(s.ID)
			n.upstreams[s.ID] = n.pool.Upstream(addr, s.Since)
		}
		if up := n.upstreams[s.ID]; up != nil {
			up.SetDraining(s.State == balancer.Draining)
		}
	}
}

func (n *Core) retireUpstream(uid string) {
	if u := n.upstreams[uid]; u != nil {
		u.Retire()
		delete(n.upstreams, uid)
	}
}

// runAttempt runs one attempt and reports its outcome to the balancer.
func (n *Core) runAttempt(r *request, i int, a *backend.Attempt) {
	defer n.attempts.Done()
	sent := time.Now()
	reply := backend.Reply{Result: balancer.NotSent}
	streams := false
	if a != nil {
		reply = a.Do(func(status int, h http.Header, length int64) io.Writer {
			if !n.beginStream(r, i) {
				return nil
			}
			streams = true
			return r.Client.Begin(status, h, length)
		})
	}
	if reply.Unwanted { // before the outcome is reported, or the balancer would retry
		n.Abandon(r)
	}
	o := balancer.Outcome{ID: r.id, Attempt: i, Result: reply.Result, Latency: time.Since(sent)}
	if n.opt.LoadReports {
		o.LoadReport = backend.ParseLoad(reply.LoadReport)
	}
	if n.opt.HonorRetryAfter {
		o.RetryAfter = reply.RetryAfter
	}
	if streams {
		o.Latency = reply.FirstByteAt.Sub(sent)
		r.Client.Finish(reply.Result == balancer.Served)
		close(r.done)
	}
	n.withBalancer(func(now time.Duration) {
		r.attemptsRunning--
		switch own := (Answer{Status: reply.Status, Header: reply.Header, Body: reply.Body, Length: reply.Length}); {
		case streams:
			r.stream = nil
			if reply.Result == balancer.Served {
				n.recordServed(now, r)
			} else {
				n.stats.Failed++
				n.notifyCompleted(now, r, OutcomeFailed)
			}
		case reply.Result == balancer.Served:
			if n.settleAnswer(r, own) {
				n.recordServed(now, r)
			}
		case reply.Result == balancer.ServerError && reply.Status != 0:
			r.endpointError = &own
		}
		n.stats.Attempts[reply.Result]++
		o.Final = r.answered && r.stream == nil
		n.balancer.Outcome(now, o)
		n.forgetIfFinished(r)
	})
}

func (n *Core) beginStream(r *request, i int) (ok bool) {
	n.withBalancer(func(now time.Duration) {
		if ok = !r.answered; ok {
			r.answered, r.stream = true, r.attempts[i]
			n.countAnswered()
			r.abortUnsent()
			n.balancer.Started(now, r.id, i)
		}
	})
	return ok
}

func (n *Core) recordServed(now time.Duration, r *request) {
	n.stats.Served++
	n.stats.TotalLatency += now - r.acceptedAt
	n.notifyCompleted(now, r, OutcomeServed)
}

func (n *Core) notifyCompleted(now time.Duration, r *request, out RequestOutcome) {
	if n.opt.OnCompleted != nil {
		n.opt.OnCompleted(Completed{Attributes: r.Attributes, Method: r.Send.Method, Latency: now - r.acceptedAt, Outcome: out})
	}
}

// abortUnsent aborts the attempts that have not yet written the request. Settings may forbid to cancel attempts, and one
// whose connection comes up late would send the request long after its final answer.
func (q *Request) abortUnsent() {
	for _, a := range q.attempts {
		if a != nil && a != q.stream {
			a.Abort()
		}
	}
}

// countAnswered releases an answered request's place among the open ones.
func (n *Core) countAnswered() {
	n.unanswered--
	if n.opt.Open != nil {
		n.opt.Open.Release(1)
	}
}

func (n *Core) settleAnswer(r *request, a Answer) bool {
	if r == nil || r.answered {
		return false
	}
	r.answered, r.answer = true, a
	n.countAnswered()
	r.abortUnsent()
	n.toAnswer = append(n.toAnswer, r)
	return true
}

// forgetIfFinished forgets a request that is answered and has no attempt running.
func (n *Core) forgetIfFinished(r *request) {
	if r.answered && r.attemptsRunning == 0 && n.requests[r.id] == r {
		delete(n.requests, r.id)
		if r.memory != nil {
			r.memory.Release(r.ReservedBytes)
		}
		n.closeIdleIfRetired()
	}
}

// upstream returns a server's upstream; one without an address if the server has left the endpoint list.
func (n *Core) upstream(server string) *backend.Upstream {
	if up := n.upstreams[server]; up != nil {
		return up
	}
	return n.pool.Nowhere()
}

// Close cancels all attempts, has the balancer answer their requests and waits for both.
func (n *Core) Close() {
	n.cancel()
	n.mu.Lock()
	for _, r := range n.requests {
		for _, a := range r.attempts {
			if a != nil {
				a.Cancel()
			}
		}
	}
	n.mu.Unlock()
	n.attempts.Wait()
	n.pool.Close()
}
