// Package backend is the node's side toward the backends: a pool of connections for each of them, and one
// attempt of a request over HTTP/1.1. Nothing here is sent twice: an attempt writes its request once, on one
// connection, and reports one result.
package backend

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Options bound the pool.
type Options struct {
	ConnectTimeout time.Duration // a connection that is not up by then never was
	IdleTimeout    time.Duration
	// ReuseDelay is how long a connection is left alone behind an answer before it carries another request. What a backend sends
	// unasked some milliseconds late would pass for the answer to that one: HTTP/1.1 cannot tell. 0: not at all.
	ReuseDelay time.Duration
	// IsAnswer tells which statuses are answers to pass on; others are failures of the backend, whose short answers
	// come with the Reply as well. nil: 200 alone, and nothing of a failure's answer is kept.
	IsAnswer func(status int) bool
	// PauseTimeout is how long an answer may stand still once it has begun, Stall the same of one that is passed on already;
	// 0: 250 ms and 1.5 s, the platform's. Longest is the length that none may say to have; 0: 32 MiB, the platform's.
	PauseTimeout, StallTimeout time.Duration
	MaxResponseBytes           int64
	// StreamResponse tells from an answer's head that it is to be passed on as it comes, however short; nil: none is.
	StreamResponse func(head http.Header) bool
}

func (p *Pool) pauseTimeout() time.Duration { return cmp.Or(p.opt.PauseTimeout, defaultPauseTimeout) }
func (p *Pool) stallTimeout() time.Duration { return cmp.Or(p.opt.StallTimeout, defaultStallTimeout) }
func (p *Pool) maxResponseBytes() int64 {
	return cmp.Or(p.opt.MaxResponseBytes, defaultMaxResponseBytes)
}

func (p *Pool) isAnswer(status int) bool {
	if p.opt.IsAnswer == nil {
		return status == 200
	}
	return p.opt.IsAnswer(status)
}

// Pool keeps the idle connections of all backends.
type Pool struct {
	opt          Options
	budget       Descriptors
	stopEvicting func() // ends the pool's part in making room
	dialer       net.Dialer

	mu        sync.Mutex
	upstreams map[*Upstream]struct{}
	sweeping  bool
	closed    bool
}

// Upstream is one backend at one address.
type Upstream struct {
	pool    *Pool
	addr    string
	since   time.Duration
	idle    []*conn // by since: the one used last is at the end
	retired bool
	// closedToNew: it has left the list or is draining, and nothing new goes there.
	closedToNew atomic.Bool
}

// conn is a connection to a backend; it carries one request at a time.
type conn struct {
	*net.TCPConn
	br            *bufio.Reader
	headBytesLeft int64
	lastUsed      time.Time // when it was used last
	upstream      *Upstream

	attempt       *Attempt
	responseBegun bool // some of that answer has come
}

var errHeadTooLong = errors.New("the head of the answer is too long")

// Read bounds the head: net/http's parser has no limit of its own for an endless one.
func (c *conn) Read(p []byte) (int, error) {
	if c.headBytesLeft < 0 {
		return c.readBounded(p)
	}
	if c.headBytesLeft == 0 {
		return 0, errHeadTooLong
	}
	n, err := c.readBounded(p[:min(int64(len(p)), c.headBytesLeft)])
	c.headBytesLeft -= int64(n)
	return n, err
}

// readBounded bounds the pauses of an answer that has begun. Danger: a backend whose answer stops half way would hold
// the request until the client's time is up, when another could still have served it.
func (c *conn) readBounded(p []byte) (int, error) {
	a := c.attempt
	bounded := a != nil && c.responseBegun && a.extendWithin(c, a.upstream.pool.pauseTimeout())
	n, err := c.TCPConn.Read(p)
	if bounded && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && a.extendWithin(c, pauseGrace) {
		// Where this node got no CPU for so long, the rest may have come meanwhile.
		n, err = c.TCPConn.Read(p)
	}
	c.responseBegun = c.responseBegun || n > 0
	return n, err
}

// NewPool makes an empty pool whose connections count against budget.
func NewPool(opt Options, budget Descriptors) *Pool {
	if opt.ConnectTimeout <= 0 {
		opt.ConnectTimeout = 250 * time.Millisecond
	}
	if opt.IdleTimeout <= 0 {
		opt.IdleTimeout = 10 * time.Second
	}
	p := &Pool{opt: opt, budget: budget, upstreams: map[*Upstream]struct{}{}}
	p.dialer = net.Dialer{KeepAlive: -1}
	p.stopEvicting = budget.OnShort(p.evict)
	return p
}

// Nowhere is a backend that the node has no address for: nothing is sent to it.
func (p *Pool) Nowhere() *Upstream { return &Upstream{pool: p, retired: true} }

// Upstream adds a backend that started at since.
func (p *Pool) Upstream(addr string, since time.Duration) *Upstream {
	u := &Upstream{pool: p, addr: addr, since: since}
	p.mu.Lock()
	p.upstreams[u] = struct{}{}
	p.mu.Unlock()
	return u
}

// Addr is where the backend listens.
func (u *Upstream) Addr() string { return u.addr }

// Since is when the backend started.
func (u *Upstream) Since() time.Duration { return u.since }

// Retire forgets a backend that is gone or has moved. Attempts that are out end as they would have.
func (u *Upstream) Retire() {
	u.closedToNew.Store(true)
	u.pool.mu.Lock()
	u.retired = true
	delete(u.pool.upstreams, u)
	u.pool.mu.Unlock()
	u.CloseIdle()
}

// SetDraining says whether anything new may go to the backend. Attempts that have not begun by then end as not sent.
func (u *Upstream) SetDraining(on bool) {
	u.closedToNew.Store(on)
	if on {
		u.CloseIdle()
	}
}

// CloseIdle closes the backend's idle connections.
func (u *Upstream) CloseIdle() {
	u.pool.mu.Lock()
	idle := u.idle
	u.idle = nil
	u.pool.mu.Unlock()
	u.pool.dropAll(idle)
}

// Close closes all idle connections, and those that come back later.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	var idle []*conn
	for u := range p.upstreams {
		idle = append(idle, u.idle...)
		u.idle = nil
	}
	p.mu.Unlock()
	p.stopEvicting()
	p.dropAll(idle)
}

func (p *Pool) dropAll(conns []*conn) {
	for _, c := range conns {
		c.drop()
	}
}

func (c *conn) drop() {
	c.Close()
	c.upstream.pool.budget.Release()
}

func (p *Pool) maxIdle() time.Duration { return p.opt.IdleTimeout * 7 / 10 }

func (u *Upstream) reuse(deadline time.Time) *conn {
	p := u.pool
	for {
		p.mu.Lock()
		i := len(u.idle) - 1
		for i >= 0 && p.opt.ReuseDelay > 0 && time.Since(u.idle[i].lastUsed) < p.opt.ReuseDelay {
			i--
		}
		if i < 0 {
			p.mu.Unlock()
			return nil
		}
		c := u.idle[i]
		u.idle = slices.Delete(u.idle, i, i+1)
		p.mu.Unlock()
		if time.Since(c.lastUsed) < p.maxIdle() && c.SetDeadline(deadline) == nil && c.isUsable() {
			return c
		}
		c.drop()
	}
}

// isUsable tells whether the peer has neither closed the connection nor sent anything unasked.
func (c *conn) isUsable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	ok := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ok = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return ok && err == nil
}

// returnToPool puts the connection in the pool, or closes it where there is none to go back to. Danger: one that did
// neither would hold its descriptor, and a place at the backend, for good.
func (c *conn) returnToPool() {
	c.lastUsed = time.Now()
	c.insertIdle()
}

// insertIdle is keep for a connection that was not used: to the backend it has been idle for as long as before.
func (c *conn) insertIdle() {
	u, p := c.upstream, c.upstream.pool
	p.mu.Lock()
	kept := !u.retired && !p.closed
	if kept {
		at := len(u.idle)
		for at > 0 && u.idle[at-1].lastUsed.After(c.lastUsed) {
			at--
		}
		u.idle = slices.Insert(u.idle, at, c)
		if !p.sweeping {
			p.sweeping = true
			time.AfterFunc(p.sweepInterval(), p.sweep)
		}
	}
	p.mu.Unlock()
	if !kept {
		c.drop()
	}
}

func (p *Pool) sweepInterval() time.Duration { return max(p.maxIdle()/8, time.Millisecond) }

func (p *Pool) sweep() {
	var old []*conn
	any := false
	p.mu.Lock()
	for u := range p.upstreams {
		n := 0
		for n < len(u.idle) && time.Since(u.idle[n].lastUsed) >= p.maxIdle() {
			n++
		}
		old = append(old, u.idle[:n]...)
		u.idle = append(u.idle[:0], u.idle[n:]...)
		any = any || len(u.idle) > 0
	}
	p.sweeping = any
	if any {
		time.AfterFunc(p.sweepInterval(), p.sweep)
	}
	p.mu.Unlock()
	p.dropAll(old)
}

func (p *Pool) evict() bool {
	p.mu.Lock()
	var oldest *Upstream
	for u := range p.upstreams {
		if len(u.idle) > 0 && (oldest == nil || u.idle[0].lastUsed.Before(oldest.idle[0].lastUsed)) {
			oldest = u
		}
	}
	if oldest == nil {
		p.mu.Unlock()
		return false
	}
	c := oldest.idle[0]
	oldest.idle = append(oldest.idle[:0], oldest.idle[1:]...)
	p.mu.Unlock()
	c.drop()
	return true
}

var (
	errNoDescriptor = errors.New("no descriptor is left for a connection")
	errNoAddress    = errors.New("the backend is not on the list")
	errNotWanted    = errors.New("nobody waits for the answer any more")
)

// isLocalError tells whether a dial failed for want of something of this node's. Danger: taken for a backend that does
// not let itself be connected to, a shortage here has healthy backends put out of the draws.
func isLocalError(err error) bool {
	for _, e := range []error{errNoDescriptor, errNoAddress, syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL,
		syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

func (u *Upstream) dial(ctx context.Context, deadline time.Time) (*conn, error) {
	p := u.pool
	if u.addr == "" {
		return nil, errNoAddress
	}
	if !p.budget.Acquire() {
		return nil, errNoDescriptor
	}
	until := time.Now().Add(p.opt.ConnectTimeout)
	if until.After(deadline) {
		until = deadline
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	nc, err := p.dialer.DialContext(ctx, "tcp", u.addr)
	if err != nil {
		p.budget.Release() // or a backend that is down eats the descriptors, one for each try
		return nil, err
	}
	c := &conn{TCPConn: nc.(*net.TCPConn), upstream: u, headBytesLeft: -1}
	c.br = bufio.NewReaderSize(io.Reader(c), 4<<10)
	if err := c.SetDeadline(deadline); err != nil {
		c.drop()
		return nil, err
	}
	return c, nil
}
