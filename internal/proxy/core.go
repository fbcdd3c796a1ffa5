// Package proxy carries out what the decision module decides: its fronts take clients' requests, a core runs the
// attempts that the module asks for, and gives each request its one final answer. It decides nothing itself.
package proxy

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"robindrum/balancer"
	"robindrum/internal/backend"
	"robindrum/internal/discovery"
)

const (
	healthCheckTimeout = 500 * time.Millisecond
	logInterval        = 200 * time.Millisecond // between two lines of the module
)

// Options are what a core is told beside the module's settings.
type Options struct {
	Settings        balancer.Settings
	Seed            uint64
	MaxOpen         int  // requests in hand; 0: no limit
	LoadReports     bool // answers or probes carry them
	HealthCheckPath string
	Rests           bool  // a server's own Retry-After counts
	BodyBytes       int64 // for all requests' bodies together
	Budget          *backend.Budget
	// Open bounds the requests in hand beside MaxOpen, over all cores that share it; nil: no limit.
	Open Quota
	// Memory is what the requests' bodies are booked on; nil: the front's own.
	Memory Quota
	// OnCompleted is told of each request that has ended, once, with the core's lock held: it must not wait or call back; nil:
	// nobody is.
	OnCompleted func(Completed)
	// Source is asked for the list where the module decides when to ask; nil where nothing is asked for.
	Source Source
}

// Completed is how a request ended.
type Completed struct {
	Attributes balancer.Request
	Method     string
	Latency    time.Duration // until its answer was given, or its long answer was whole
	Outcome    RequestOutcome
}

// RequestOutcome is what became of a request.
type RequestOutcome uint8

// What may become of one.
const (
	OutcomeServed RequestOutcome = iota
	OutcomeRejected
	OutcomeFailed
	OutcomeClientLeft // its client, or its time ran out
)

// Quota is a part of what several cores share. Its methods may be called by several goroutines at once.
type Quota interface {
	Acquire(n int64) bool // books n, or tells that they are not to be had
	Release(n int64)      // ends that
}

// Source is where the list of backends is asked for.
type Source interface {
	Watch(on bool)
	Fetch()
}

// Client is where a request's one final answer goes: Answer is called once, or Begin and, once the answer has ended,
// End. It is not called once the request's Done channel is closed.
type Client interface {
	Answer(a Answer)
	// Begin gives the head of an answer whose body is long and where the body goes. A write fails where the client
	// has left or stands still.
	Begin(status int, h http.Header, length int64) io.Writer
	// Finish ends it. Where it is not whole the client must be able to tell.
	Finish(whole bool)
}

// Answer is a request's one final answer.
type Answer struct {
	Status     int
	RetryAfter time.Duration // 0: not said
	Header     http.Header
	Body       []byte
	Length     int64 // of the body that an answer to HEAD stands for; -1: not said
	noBody     bool  // the client asked for the head only
}

// Request is a client's request as a front hands it over. A front makes one for each and leaves it alone until Done.
type Request struct {
	Attributes    balancer.Request // its ID is the core's alone
	Send          backend.Request
	Client        Client
	ReservedBytes int64 // bytes of the Allowance that end with it

	id              string
	acceptedAt      time.Duration
	deadline        time.Time
	attempts        []*backend.Attempt
	attemptsRunning int
	answered        bool
	answer          Answer
	endpointError   *Answer          // a backend's own word of its failure
	stream          *backend.Attempt // whose long answer is being passed on
	memory          Quota
	done            chan struct{} // closed when the answer is written
}

type request = Request

// Done is closed when the answer is written. It is nil before the request is taken.
func (q *Request) Done() <-chan struct{} { return q.done }

func (q *Request) isDone() bool {
	select {
	case <-q.done:
		return true
	default:
		return false
	}
}

// Core runs the requests of one cluster: it carries out what one Balancer decides, knows no client's protocol, and
// gives each request one final answer.
type Core struct {
	opt            Options
	classDeadlines map[string]time.Duration // their deadlines
	pool           *backend.Pool
	boot           time.Time
	bootUnix       time.Duration // boot as Unix time
	ctx            context.Context
	cancel         context.CancelFunc
	attempts       sync.WaitGroup // attempts and probes

	ready atomic.Bool

	mu         sync.Mutex
	balancer   *balancer.Balancer
	requests   map[string]*request // in hand: unanswered, or with attempts out
	unanswered int                 // unanswered
	upstreams  map[string]*backend.Upstream
	lastLogged time.Time
	toAnswer   []*request // to be told their answer once the lock is free
	stats      Stats
	retired    bool
	idle       chan struct{} // closed when it is retired and nothing is in hand
}

// NewCore makes a core whose attempts go through pool.
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

// Deadline is how long a request of a class may take over all its tries; 0 if there is no such class.
func (n *Core) Deadline(class string) time.Duration { return n.classDeadlines[class] }

// Ready tells whether a list has come.
func (n *Core) Ready() bool { return n.ready.Load() }

// Clock is the core's reading of the time, as Unix time: what Server.Since is told on.
func (n *Core) Clock() time.Duration { return n.now() }

// Accept has the core see to a request. Where it does not, the status says why and nothing else happens: 409 where the
// ID is in hand, 503 where there are too many, 0 with false where the core is retired and another may take it.
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

// Abandon ends a request whose client has left, or whose time is over.
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

// End gives a request that has no answer yet the one that the decision module words as things stand.
func (n *Core) End(q *Request) {
	n.withBalancer(func(now time.Duration) { n.balancer.Expire(now, q.id) })
	n.Abandon(q) // where the module does not know of it
}

// ExpireAll gives every request in hand that has no answer yet its one answer now, as say words it: sent tells whether an attempt may
// have run. What is being passed on to a client goes on. It gives how many were answered.
func (n *Core) ExpireAll(say func(w balancer.Request, sent bool) Answer) (count int) {
	n.withBalancer(func(now time.Duration) {
		for _, q := range n.requests {
			if q.answered {
				continue
			}
			a := say(q.Attributes, len(q.attempts) > 0)
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

// Retire has the core take nothing more. What it gives is closed once nothing is in hand.
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

// Stats counts what a core did since its start.
type Stats struct {
	Accepted     uint64 // requests
	Served       uint64 // answered with an endpoint's answer
	Rejected     uint64 // answered 503: asking again is harmless
	Failed       uint64 // answered, but not with a good answer
	ClientLeft   uint64 // whose client left, or whose time ran out with no word of the decision module
	Sends        uint64
	Retries      uint64                       // of them, those after a request's first
	Attempts     [balancer.NotSent + 1]uint64 // by result
	TotalLatency time.Duration                // from the request to its answer, all served ones together
}

// Add adds o to s.
func (s *Stats) Add(o Stats) {
	s.Accepted, s.Served, s.Rejected, s.Failed = s.Accepted+o.Accepted, s.Served+o.Served, s.Rejected+o.Rejected, s.Failed+o.Failed
	s.ClientLeft, s.Sends, s.Retries, s.TotalLatency = s.ClientLeft+o.ClientLeft, s.Sends+o.Sends, s.Retries+o.Retries, s.TotalLatency+o.TotalLatency
	for i := range s.Attempts {
		s.Attempts[i] += o.Attempts[i]
	}
}

// Stats gives the counters.
func (n *Core) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stats
}

// Inspect runs fn while the decision module stands still: what it asks of may be looked at. fn must not call the Core.
func (n *Core) Inspect(fn func(now time.Duration)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	fn(n.now())
}

// EachServer tells of each server of the last list how many attempts are out at it, and whether it is ejected.
func (n *Core) EachServer(fn func(id string, inFlight int, ejected bool)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.balancer.EachServer(n.now(), fn)
}

// InFlight is how many requests have no answer yet.
func (n *Core) InFlight() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	in := n.unanswered
	for _, q := range n.requests {
		if q.stream != nil { // answered, and still being passed on
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

// writeAnswer gives a request its whole answer.
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

// UpdateEndpoints takes news of the list.
func (n *Core) UpdateEndpoints(u discovery.Update) {
	settled := n.runLocked(func(now time.Duration) {
		if u.Kind != balancer.UpdateFailed {
			n.updateUpstreams(u)
		}
		n.balancer.UpdateEndpoints(now, u.EndpointUpdate)
	})
	// Danger: a client that reads nothing would hold up who brings the news.
	for _, r := range settled {
		n.attempts.Go(func() { n.writeAnswer(r) })
	}
	if u.Kind == balancer.UpdateSnapshot || u.Kind == balancer.UpdateDelta || len(u.Servers) > 0 {
		n.ready.Store(true)
	}
}

// updateUpstreams brings the pools up to date.
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

// runAttempt runs one attempt and reports how it ended.
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
	if reply.Unwanted { // before the module is told how the attempt ended, or it would make another one
		n.Abandon(r)
	}
	o := balancer.Outcome{ID: r.id, Attempt: i, Result: reply.Result, Latency: time.Since(sent)}
	if n.opt.LoadReports {
		o.LoadReport = backend.ParseLoad(reply.LoadReport)
	}
	if n.opt.Rests {
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

// abortUnsent has what is not yet written of a request that is over written nowhere. Danger: the module may not call off an
// attempt everywhere, and one whose connection comes up late would send the request long after its answer.
func (q *Request) abortUnsent() {
	for _, a := range q.attempts {
		if a != nil && a != q.stream {
			a.Abort()
		}
	}
}

// countAnswered counts a request as answered.
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

// forgetIfFinished forgets a request that is answered and has nothing out.
func (n *Core) forgetIfFinished(r *request) {
	if r.answered && r.attemptsRunning == 0 && n.requests[r.id] == r {
		delete(n.requests, r.id)
		if r.memory != nil {
			r.memory.Release(r.ReservedBytes)
		}
		n.closeIdleIfRetired()
	}
}

// upstream is where a server is, or nowhere if it has left the list.
func (n *Core) upstream(server string) *backend.Upstream {
	if up := n.upstreams[server]; up != nil {
		return up
	}
	return n.pool.Nowhere()
}

// host is the Core as the module sees it: its methods are called with the lock held.
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
	if r != nil && r.endpointError != nil { // the backend's own word says more
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
		r.attempts[i] != r.stream { // what the client is getting is not called off
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

// Close ends what the core still runs: attempts are called off, and what they were for is answered by the module.
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
