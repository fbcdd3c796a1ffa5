// Package backend sends requests to endpoints over HTTP/1.1. It keeps a connection pool for each endpoint. An attempt writes
// its request once on one connection and returns one result; this package never retries.
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
	ConnectTimeout time.Duration // for a new connection; 0 means 250 ms
	IdleTimeout    time.Duration // of endpoints; connections are closed after 70 % of it; 0 means 10 s
	// ReuseDelay is the minimum idle time of a connection before it is reused. Without it, unsolicited bytes that an endpoint
	// sends late would be taken for the next response. 0 means no delay.
	ReuseDelay time.Duration
	// IsForwarded reports whether a response with this status is forwarded. Other responses are endpoint failures; the Reply
	// contains their bodies if these are short. If IsForwarded is nil, only status 200 is forwarded, and failure responses are
	// discarded.
	IsForwarded func(status int) bool
	// PauseTimeout is the maximum pause within a response that has begun; 0 means 250 ms.
	PauseTimeout time.Duration
	// StallTimeout is the maximum pause within a response that is being streamed; 0 means 1.5 s.
	StallTimeout time.Duration
	// SettleTime is how long a complete response is held back at most to see whether more follows than its head has announced; 0
	// means 5 ms.
	SettleTime time.Duration
	// MaxResponseBytes is the maximum length of a response body, however it is framed; 0 means 32 MiB.
	MaxResponseBytes int64
	// StreamResponse reports whether a response with this head is streamed regardless of its length. If nil, only long
	// responses are streamed.
	StreamResponse func(head http.Header) bool
}

func (p *Pool) pauseTimeout() time.Duration { return cmp.Or(p.opt.PauseTimeout, defaultPauseTimeout) }
func (p *Pool) stallTimeout() time.Duration { return cmp.Or(p.opt.StallTimeout, defaultStallTimeout) }
func (p *Pool) settleTime() time.Duration   { return cmp.Or(p.opt.SettleTime, defaultSettleTime) }
func (p *Pool) maxResponseBytes() int64 {
	return cmp.Or(p.opt.MaxResponseBytes, defaultMaxResponseBytes)
}

func (p *Pool) isAnswer(status int) bool {
	if p.opt.IsForwarded == nil {
		return status == 200
	}
	return p.opt.IsForwarded(status)
}

// Pool holds the idle connections to all endpoints. Its methods may be called concurrently.
type Pool struct {
	opt          Options
	budget       Descriptors
	stopEvicting func() // unregisters evict from the budget
	dialer       net.Dialer

	mu        sync.Mutex
	upstreams map[*Upstream]struct{}
	sweeping  bool // a sweep is scheduled
	closed    bool
}

// Upstream is one endpoint at one address.
type Upstream struct {
	pool    *Pool
	addr    string
	since   time.Duration
	idle    []*conn // ordered by lastUsed
	retired bool    // removed from the pool: returned connections are closed
	// closedToNew is set while the endpoint is draining or once it is removed: no new attempt begins.
	closedToNew atomic.Bool
}

// conn is a connection to an endpoint. It carries one request at a time.
type conn struct {
	*net.TCPConn
	br            *bufio.Reader
	headBytesLeft int64 // of the response head being read; -1 if no head is being read
	lastUsed      time.Time
	upstream      *Upstream

	attempt       *Attempt // whose pause timeout applies; nil if none does
	responseBegun bool     // at least one byte of the response has been read
}

var errHeadTooLong = errors.New("response head is too long")

// Read limits the length of a response head, for which http.ReadResponse has no limit.
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

// readBounded limits the pauses within a response that has begun. Otherwise an endpoint that stops partway would hold the
// request until its deadline, although another endpoint could still serve it.
func (c *conn) readBounded(p []byte) (int, error) {
	a := c.attempt
	bounded := a != nil && c.responseBegun && a.extendWithin(c, a.upstream.pool.pauseTimeout())
	n, err := c.TCPConn.Read(p)
	if bounded && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && a.extendWithin(c, pauseGrace) {
		// The timeout may have expired only because this process was not scheduled, and the rest may have arrived by now.
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
	p.stopEvicting = budget.RegisterEvictor(p.evict)
	return p
}

// Unlisted returns an endpoint without an address. Attempts to send to it end with NotSent.
func (p *Pool) Unlisted() *Upstream { return &Upstream{pool: p, retired: true} }

// Upstream adds an endpoint with an address and the time at which it started.
func (p *Pool) Upstream(addr string, since time.Duration) *Upstream {
	u := &Upstream{pool: p, addr: addr, since: since}
	p.mu.Lock()
	p.upstreams[u] = struct{}{}
	p.mu.Unlock()
	return u
}

// Addr returns the endpoint's address.
func (u *Upstream) Addr() string { return u.addr }

// Since returns the time at which the endpoint started.
func (u *Upstream) Since() time.Duration { return u.since }

// Retire removes an endpoint that has left the endpoint list or has changed its address. Attempts in flight continue.
func (u *Upstream) Retire() {
	u.closedToNew.Store(true)
	u.pool.mu.Lock()
	u.retired = true
	delete(u.pool.upstreams, u)
	u.pool.mu.Unlock()
	u.CloseIdle()
}

// SetDraining sets whether the endpoint is draining. While it is, attempts that have not yet obtained a connection end with
// NotSent.
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

// Close closes all idle connections now, and connections in use once they are returned.
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

// drop closes the connection and releases its descriptor.
func (c *conn) drop() {
	c.Close()
	c.upstream.pool.budget.Release()
}

func (p *Pool) maxIdle() time.Duration { return p.opt.IdleTimeout * 7 / 10 }

// reuse takes the most recently used usable connection that has been idle for at least ReuseDelay, or returns nil.
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

// isUsable reports whether the peer has neither closed the connection nor sent unsolicited bytes.
func (c *conn) isUsable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	ok := false
	err = raw.Control(func(fd uintptr) { // works after the deadline of the connection, too
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ok = errors.Is(err, syscall.EAGAIN)
	})
	return ok && err == nil
}

// returnToPool puts a connection that was used back into the pool, or closes it if the endpoint is retired or the pool is
// closed.
func (c *conn) returnToPool() {
	c.lastUsed = time.Now()
	c.insertIdle()
}

// insertIdle is like returnToPool, but for a connection that was not used: it keeps its lastUsed time.
func (c *conn) insertIdle() {
	u, p := c.upstream, c.upstream.pool
	p.mu.Lock()
	kept := !u.retired && !p.closed
	if kept {
		index := len(u.idle)
		for index > 0 && u.idle[index-1].lastUsed.After(c.lastUsed) {
			index--
		}
		u.idle = slices.Insert(u.idle, index, c)
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

// sweep closes the connections that have been idle for maxIdle and schedules the next sweep while any are left.
func (p *Pool) sweep() {
	var expired []*conn
	any := false
	p.mu.Lock()
	for u := range p.upstreams {
		n := 0
		for n < len(u.idle) && time.Since(u.idle[n].lastUsed) >= p.maxIdle() {
			n++
		}
		expired = append(expired, u.idle[:n]...)
		u.idle = append(u.idle[:0], u.idle[n:]...)
		any = any || len(u.idle) > 0
	}
	p.sweeping = any
	if any {
		time.AfterFunc(p.sweepInterval(), p.sweep)
	}
	p.mu.Unlock()
	p.dropAll(expired)
}

// evict closes the connection of the pool that has been idle the longest and reports whether there was one.
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
	errNoDescriptor = errors.New("no file descriptor available for a connection")
	errNoAddress    = errors.New("endpoint is draining or not in the endpoint list")
	errNotWanted    = errors.New("client no longer waits for the response")
	errNotAllowed   = errors.New("request must not be written any more")
)

// isLocalError reports whether a dial failed for a local reason, such as a resource shortage. Such an error must not count as
// a failure of the endpoint, because a local shortage would then eject healthy endpoints.
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
	connectDeadline := time.Now().Add(p.opt.ConnectTimeout)
	if connectDeadline.After(deadline) {
		connectDeadline = deadline
	}
	ctx, cancel := context.WithDeadline(ctx, connectDeadline)
	defer cancel()
	tcpConn, err := p.dialer.DialContext(ctx, "tcp", u.addr)
	if err != nil {
		p.budget.Release() // a failed dial uses no descriptor
		return nil, err
	}
	c := &conn{TCPConn: tcpConn.(*net.TCPConn), upstream: u, headBytesLeft: -1}
	c.br = bufio.NewReaderSize(io.Reader(c), 4<<10)
	if err := c.SetDeadline(deadline); err != nil {
		c.drop()
		return nil, err
	}
	return c, nil
}
