// Package backend sends requests to endpoints over HTTP/1.1. It has a connection pool for each endpoint and attempts, each
// of which writes its request once on one connection and returns one result; nothing here retries.
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

// Options configure a Pool.
type Options struct {
	ConnectTimeout time.Duration // for a new connection
	IdleTimeout    time.Duration
	// ReuseDelay is how long a connection rests after a response before it is reused. Bytes that an endpoint sends late and
	// unasked would otherwise be taken for the next response. 0 means none.
	ReuseDelay time.Duration
	// IsAnswer reports whether a response with this status is forwarded; others are endpoint failures, whose short bodies
	// come with the Reply. If nil, 200 alone is, and nothing of a failure's response is retained.
	IsAnswer func(status int) bool
	// PauseTimeout bounds the pauses within a response; 0 means 250 ms.
	PauseTimeout time.Duration
	// StallTimeout bounds the pauses within a response that is being streamed; 0 means 1.5 s.
	StallTimeout time.Duration
	// MaxResponseBytes bounds the announced length of a response; 0 means 32 MiB.
	MaxResponseBytes int64
	// StreamResponse reports by a response's head whether it is streamed however short it is; nil means none is.
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

// Pool holds the idle connections to all endpoints. Its methods may be called by several goroutines at once.
type Pool struct {
	opt          Options
	budget       Descriptors
	stopEvicting func() // unregisters evict from the budget
	dialer       net.Dialer

	mu        sync.Mutex
	upstreams map[*Upstream]struct{}
	sweeping  bool
	closed    bool
}

// Upstream is one endpoint at one address.
type Upstream struct {
	pool    *Pool
	addr    string
	since   time.Duration
	idle    []*conn // ordered by lastUsed
	retired bool
	// closedToNew is set once the endpoint is removed or draining: no new attempt begins.
	closedToNew atomic.Bool
}

// conn is a connection to an endpoint. It carries one request at a time.
type conn struct {
	*net.TCPConn
	br            *bufio.Reader
	headBytesLeft int64
	lastUsed      time.Time
	upstream      *Upstream

	attempt       *Attempt
	responseBegun bool // some bytes of the response have arrived
}

var errHeadTooLong = errors.New("the head of the answer is too long")

// Read bounds the response's head, for which net/http's parser has no limit.
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

// readBounded bounds the pauses of a response that has begun. Otherwise an endpoint that stops half way would hold the
// request until the client's deadline, when another one could still have served it.
func (c *conn) readBounded(p []byte) (int, error) {
	a := c.attempt
	bounded := a != nil && c.responseBegun && a.extendWithin(c, a.upstream.pool.pauseTimeout())
	n, err := c.TCPConn.Read(p)
	if bounded && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && a.extendWithin(c, pauseGrace) {
		// If this process was not scheduled for so long, the rest may have arrived meanwhile.
		n, err = c.TCPConn.Read(p)
	}
	c.responseBegun = c.responseBegun || n > 0
	return n, err
}

// NewPool returns an empty pool whose connections count against budget.
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

// Nowhere returns an endpoint without an address: attempts at it end as not sent.
func (p *Pool) Nowhere() *Upstream { return &Upstream{pool: p, retired: true} }

// Upstream adds an endpoint that started at since.
func (p *Pool) Upstream(addr string, since time.Duration) *Upstream {
	u := &Upstream{pool: p, addr: addr, since: since}
	p.mu.Lock()
	p.upstreams[u] = struct{}{}
	p.mu.Unlock()
	return u
}

// Addr returns the endpoint's address.
func (u *Upstream) Addr() string { return u.addr }

// Since returns when the endpoint started.
func (u *Upstream) Since() time.Duration { return u.since }

// Retire removes an endpoint that has left the list or has moved. Attempts in flight go on.
func (u *Upstream) Retire() {
	u.closedToNew.Store(true)
	u.pool.mu.Lock()
	u.retired = true
	delete(u.pool.upstreams, u)
	u.pool.mu.Unlock()
	u.CloseIdle()
}

// SetDraining sets whether the endpoint is draining: attempts that have not begun by then end as not sent.
func (u *Upstream) SetDraining(on bool) {
	u.closedToNew.Store(on)
	if on {
		u.CloseIdle()
	}
}

// CloseIdle closes the endpoint's idle connections.
func (u *Upstream) CloseIdle() {
	u.pool.mu.Lock()
	idle := u.idle
	u.idle = nil
	u.pool.mu.Unlock()
	u.pool.dropAll(idle)
}

// Close closes all idle connections, and others when they are returned.
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

// isUsable reports whether the peer has neither closed the connection nor sent anything unasked.
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

// returnToPool puts a connection back into the pool, or closes it if the endpoint or the pool is closed.
func (c *conn) returnToPool() {
	c.lastUsed = time.Now()
	c.insertIdle()
}

// insertIdle is returnToPool for a connection that was not used and so keeps its idle time.
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

// isLocalError reports whether a dial failed for lack of a local resource, which must not count as an endpoint's failure:
// a shortage here would eject healthy endpoints.
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
		p.budget.Release() // a failed dial holds no descriptor
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
