// Package node carries out what the decision module decides: it takes clients' requests, runs the attempts
// that the module asks for, and gives each request its one final answer. It decides nothing itself.
package node

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"arrowhitch/internal/backend"
	"arrowhitch/internal/discovery"
	"arrowhitch/logic"
)

const (
	probeTime = 500 * time.Millisecond
	logGap    = 200 * time.Millisecond // between two lines of the module
	guardTime = 15 * time.Millisecond
)

// Options are what a node is told beside the module's settings.
type Options struct {
	Settings    logic.Settings
	Seed        uint64
	MaxOpen     int  // requests in hand; 0: no limit
	LoadReports bool // answers or probes carry them
	ProbePath   string
	BodyBytes   int64 // for all requests' bodies together
	Budget      *backend.Budget
}

// Node is one balancer node.
type Node struct {
	opt     Options
	classes map[string]time.Duration // their deadlines
	pool    *backend.Pool
	news    *discovery.Client
	conns   *conns
	bodies  bodyBudget
	boot    time.Time
	base    time.Duration // boot as Unix time
	life    context.Context
	end     context.CancelFunc
	work    sync.WaitGroup // attempts and probes

	ready, stopping, ending atomic.Bool

	mu        sync.Mutex
	bal       *logic.Balancer
	requests  map[string]*request // in hand: unanswered, or with attempts out
	open      int                 // unanswered
	upstreams map[string]*backend.Upstream
	logged    time.Time
	settled   []*request // to be told their answer once the lock is free
}

// answer is a request's one final answer.
type answer struct {
	status     int
	retryAfter time.Duration
	header     http.Header
	body       []byte
	noBody     bool // the client asked for the head only
}

type request struct {
	id         string
	client     *client
	deadline   time.Time
	send       backend.Request
	body       int64
	wantsClose bool
	noBody     bool

	attempts []*backend.Attempt
	running  int
	answered bool
	answer   answer
	stream   *backend.Attempt // whose long answer is being passed on

	last bool          // the connection ends with the answer; set before done
	done chan struct{} // closed when the answer is written
}

func (q *request) isDone() bool {
	select {
	case <-q.done:
		return true
	default:
		return false
	}
}

// New makes a node. Start has it watch the list of backends.
func New(opt Options, pool *backend.Pool) (*Node, error) {
	n := &Node{opt: opt, pool: pool, boot: time.Now(), classes: map[string]time.Duration{},
		requests: map[string]*request{}, upstreams: map[string]*backend.Upstream{}}
	n.base = time.Duration(n.boot.UnixNano())
	n.bodies.left.Store(opt.BodyBytes)
	n.life, n.end = context.WithCancel(context.Background())
	n.conns = newConns(opt.Budget)
	for _, c := range opt.Settings.Classes {
		n.classes[c.Name] = c.Deadline
	}
	var err error
	n.bal, err = logic.New(opt.Settings, opt.Seed, (*host)(n))
	return n, err
}

// Start delivers the list that the node remembers and begins to follow news of it.
func (n *Node) Start(news *discovery.Client, known []byte) error {
	n.news = news
	return news.Start(known)
}

func (n *Node) now() time.Duration { return n.base + time.Since(n.boot) }

func (n *Node) do(event func(now time.Duration)) {
	for _, r := range n.locked(event) {
		r.answer.noBody = r.noBody
		n.finish(r, func(last bool) error { return r.client.write(r.answer, last) })
	}
}

func (n *Node) locked(event func(now time.Duration)) []*request {
	n.mu.Lock()
	defer n.mu.Unlock()
	event(n.now())
	settled := n.settled
	n.settled = nil
	return settled
}

// finish writes an answer and lets the client's connection go on, or end.
func (n *Node) finish(r *request, write func(last bool) error) {
	c := r.client
	r.last = n.last(r.wantsClose)
	c.writing.Store(true)
	n.conns.rest(c)
	if write(r.last) != nil {
		r.last = true
	}
	c.writing.Store(false)
	if r.last {
		c.SetReadDeadline(longAgo) // wakes the reader, to close the connection
	}
	close(r.done)
}

var longAgo = time.Unix(1, 0)

// Fleet takes news of the list.
func (n *Node) Fleet(u discovery.Update) {
	n.do(func(now time.Duration) {
		if u.Kind != logic.FleetRefused {
			n.follow(u)
		}
		n.bal.Fleet(now, u.FleetUpdate)
	})
	if u.Kind == logic.FleetAll || u.Kind == logic.FleetChanges || len(u.Servers) > 0 {
		n.ready.Store(true)
	}
}

// follow brings the pools up to date.
func (n *Node) follow(u discovery.Update) {
	if u.Kind != logic.FleetChanges {
		for uid := range n.upstreams {
			if _, ok := u.Endpoints[uid]; !ok {
				n.retire(uid)
			}
		}
	}
	for _, s := range u.Servers {
		addr, ok := u.Endpoints[s.ID]
		old := n.upstreams[s.ID]
		switch {
		case !ok:
			n.retire(s.ID)
		case old == nil:
			n.upstreams[s.ID] = n.pool.Upstream(addr, s.Since)
		case old.Addr() != addr || old.Since() != s.Since:
			n.retire(s.ID)
			n.upstreams[s.ID] = n.pool.Upstream(addr, s.Since)
		case s.State == logic.Draining:
			old.CloseIdle()
		}
	}
}

func (n *Node) retire(uid string) {
	if u := n.upstreams[uid]; u != nil {
		u.Retire()
		delete(n.upstreams, uid)
	}
}

// attempt runs one attempt and reports how it ended.
func (n *Node) attempt(r *request, i int, a *backend.Attempt) {
	defer n.work.Done()
	sent := time.Now()
	reply := backend.Reply{Result: logic.NotSent}
	var s *stream
	if a != nil {
		reply = a.Do(func(h http.Header, length int64) io.Writer {
			if !n.begin(r, i) {
				return nil
			}
			s = r.client.begin(h, length, r.wantsClose || n.stopping.Load())
			return s
		})
	}
	o := logic.Outcome{ID: r.id, Attempt: i, Result: reply.Result, Took: time.Since(sent)}
	if n.opt.LoadReports {
		o.Load = backend.ParseLoad(reply.Load)
	}
	if s != nil {
		o.Took = reply.First.Sub(sent)
		n.finish(r, func(last bool) error {
			if reply.Result != logic.Served {
				return errBroken
			}
			return s.Close()
		})
	}
	n.do(func(now time.Duration) {
		r.running--
		if reply.Result == logic.Served && s == nil {
			n.settle(r, answer{status: http.StatusOK, header: reply.Header, body: reply.Body})
		}
		if s != nil {
			r.stream = nil
		}
		o.Done = r.answered && r.stream == nil
		n.bal.Outcome(now, o)
		n.release(r)
	})
}

var errBroken = errors.New("the answer broke off")

func (n *Node) begin(r *request, i int) (ok bool) {
	n.do(func(now time.Duration) {
		if ok = !r.answered; ok {
			r.answered, r.stream = true, r.attempts[i]
			n.open--
			n.bal.Started(now, r.id, i)
		}
	})
	return ok
}

func (n *Node) settle(r *request, a answer) bool {
	if r == nil || r.answered {
		return false
	}
	r.answered, r.answer = true, a
	n.open--
	n.settled = append(n.settled, r)
	return true
}

// release forgets a request that is answered and has nothing out.
func (n *Node) release(r *request) {
	if r.answered && r.running == 0 && n.requests[r.id] == r {
		delete(n.requests, r.id)
		n.bodies.left.Add(r.body)
	}
}

func (n *Node) abandon(r *request) {
	n.do(func(now time.Duration) {
		if n.settle(r, answer{status: http.StatusBadGateway}) {
			n.bal.Gone(now, r.id)
			n.release(r)
		}
	})
}

// upstream is where a server is, or nowhere if it has left the list.
func (n *Node) upstream(server string) *backend.Upstream {
	if up := n.upstreams[server]; up != nil {
		return up
	}
	return n.pool.Nowhere()
}

// host is the Node as the module sees it: its methods are called with the lock held.
type host Node

func (h *host) Send(id, server string, expire time.Duration) {
	n := (*Node)(h)
	r := n.requests[id]
	if r == nil {
		return
	}
	i := len(r.attempts)
	r.running++
	deadline := r.deadline
	if expire > 0 {
		if t := n.boot.Add(expire - n.base); t.Before(deadline) {
			deadline = t
		}
	}
	var a *backend.Attempt
	if !r.answered && i < max(n.opt.Settings.MaxAttempts, 1) {
		a = backend.NewAttempt(n.upstream(server), &r.send, deadline)
	}
	r.attempts = append(r.attempts, a)
	n.work.Add(1)
	go n.attempt(r, i, a)
}

func (h *host) Refuse(id string, retryAfter time.Duration) {
	h.answer(id, answer{status: http.StatusServiceUnavailable, retryAfter: retryAfter})
}

func (h *host) Fail(id string) { h.answer(id, answer{status: http.StatusBadGateway}) }

func (h *host) answer(id string, a answer) {
	n := (*Node)(h)
	if r := n.requests[id]; n.settle(r, a) {
		n.release(r)
	}
}

func (h *host) Cancel(id string, i int) {
	if r := h.requests[id]; r != nil && i >= 0 && i < len(r.attempts) && r.attempts[i] != nil &&
		r.attempts[i] != r.stream { // what the client is getting is not called off
		r.attempts[i].Cancel()
	}
}

func (h *host) Probe(server string) {
	n := (*Node)(h)
	up := n.upstream(server)
	n.work.Go(func() {
		sent := time.Now()
		reply := backend.Probe(n.life, up, n.opt.ProbePath, probeTime)
		p := logic.ProbeResult{Server: server, Result: reply.Result, Took: time.Since(sent)}
		if n.opt.LoadReports {
			p.Load = backend.ParseLoad(reply.Load)
			if p.Load == nil {
				p.Load = backend.ParseLoad(string(reply.Body))
			}
		}
		n.do(func(now time.Duration) { n.bal.Probed(now, p) })
	})
}

func (h *host) CloseIdle(server string) {
	if up := h.upstreams[server]; up != nil {
		up.CloseIdle()
	}
}

func (h *host) SetTimer(token uint64, after time.Duration) {
	n := (*Node)(h)
	time.AfterFunc(max(after, 0), func() {
		if n.life.Err() == nil {
			n.do(func(now time.Duration) { n.bal.Timer(now, token) })
		}
	})
}

func (h *host) Watch(on bool) { h.news.Watch(on) }
func (h *host) Fetch()        { h.news.Fetch() }

func (h *host) Log(text string) {
	if t := time.Now(); t.Sub(h.logged) >= logGap {
		h.logged = t
		slog.Info(text)
	}
}
