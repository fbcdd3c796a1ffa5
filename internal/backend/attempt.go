package backend

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"robindrum/balancer"
)

const (
	// MaxBufferedBodyBytes is the longest response body that is read completely before it is forwarded. Longer bodies are
	// streamed.
	MaxBufferedBodyBytes    = 64 << 10
	maxHeadBytes            = 64 << 10 // limit of a response head
	maxErrorBodyBytes       = 64 << 10 // an error response with a longer body closes its connection
	defaultMaxResponseBytes = 32 << 20 // a longer body makes a response invalid
	maxInlineBodyBytes      = 16 << 10 // a longer request body is written by another goroutine while the response is read
	defaultStallTimeout     = 1500 * time.Millisecond
	defaultPauseTimeout     = 250 * time.Millisecond
	defaultSettleTime       = 5 * time.Millisecond
	minSettleTime           = 500 * time.Microsecond
	pauseGrace              = 5 * time.Millisecond  // for a second read after a pause timeout; see readBounded
	errorBodyTimeout        = 20 * time.Millisecond // to read the body of an error response, so that its connection can be reused
)

// Attempt sends a request once to one endpoint. Cancel and Abort may be called at any time and concurrently with Do, which
// must be called once.
type Attempt struct {
	upstream *Upstream
	req      *Request
	deadline time.Time
	mayWrite func() bool // see OnWrite; nil if it always may

	mu         sync.Mutex
	conn       *conn
	cancelDial context.CancelFunc // nil unless a dial has begun
	cancelled  bool
	aborted    bool // the rest of the request must not be written, unless written is set
	written    bool // the last byte of the request has been written
}

// NewAttempt returns an attempt that times out at deadline.
func NewAttempt(up *Upstream, req *Request, deadline time.Time) *Attempt {
	return &Attempt{upstream: up, req: req, deadline: deadline}
}

// OnWrite sets a function that is called right before the first byte of the request is written. If it returns false, nothing is written
// and the result is NotSent. The function must not block. OnWrite must be called before Do.
func (a *Attempt) OnWrite(mayWrite func() bool) { a.mayWrite = mayWrite }

// longAgo is a deadline in the past. Setting it interrupts pending reads and writes.
var longAgo = time.Unix(1, 0)

// Cancel ends the attempt, whose result is then Cancelled unless it has already completed. It does not block.
func (a *Attempt) Cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = true
	if a.cancelDial != nil {
		a.cancelDial()
	}
	if a.conn != nil {
		a.conn.SetDeadline(longAgo)
	}
}

// Abort ends the attempt if it has not yet written the last byte of the request; its result is then NotSent, because an
// endpoint does not start a request before it has received that byte. Otherwise the attempt continues. Abort does not block.
func (a *Attempt) Abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.written {
		return
	}
	a.aborted = true
	if a.cancelDial != nil {
		a.cancelDial()
	}
	if a.conn != nil {
		a.conn.SetWriteDeadline(longAgo)
	}
}

// isInterruptedLocked reports whether Cancel or Abort has ended the attempt. The caller holds a.mu.
func (a *Attempt) isInterruptedLocked() bool { return a.cancelled || a.aborted && !a.written }

// bind makes c the connection that Cancel and Abort interrupt. It returns false if the attempt is already interrupted.
func (a *Attempt) bind(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	return !a.isInterruptedLocked()
}

// unbind reverses bind. It returns false if the attempt has been interrupted.
func (a *Attempt) unbind() bool { return a.bind(nil) }

func (a *Attempt) isCancelled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cancelled
}

func (a *Attempt) isInterrupted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isInterruptedLocked()
}

// extendDeadline sets the connection deadline. It returns false if the attempt is interrupted or the deadline cannot be set.
func (a *Attempt) extendDeadline(c *conn, to time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.isInterruptedLocked() && c.SetDeadline(to) == nil
}

// extendWithin sets the connection deadline to d from now if that is before the deadline of the attempt, and reports whether
// it has set it.
func (a *Attempt) extendWithin(c *conn, d time.Duration) bool {
	t := time.Now().Add(d)
	return t.Before(a.deadline) && a.extendDeadline(c, t)
}

// Do runs the attempt and returns its result. It calls begin if the response is streamed.
func (a *Attempt) Do(begin Begin) Reply {
	c, err := a.connect()
	if err != nil {
		var timeout interface{ Timeout() bool }
		switch {
		case errors.Is(err, errNotWanted):
			return Reply{Result: balancer.NotSent, Unwanted: true}
		case a.isCancelled():
			return Reply{Result: balancer.Cancelled}
		case a.isInterrupted():
			return Reply{Result: balancer.NotSent}
		case errors.As(err, &timeout) && timeout.Timeout() && !time.Now().Before(a.deadline):
			// The deadline of the request has passed, which is not a failure of the endpoint.
			return Reply{Result: balancer.TimedOut}
		case isLocalError(err):
			return Reply{Result: balancer.NotSent}
		}
		return Reply{Result: balancer.NotConnected}
	}
	reply, clean := a.roundTrip(c, begin)
	// After unbind, a late Cancel cannot interrupt the next request on the connection.
	if a.unbind() && clean {
		c.returnToPool()
	} else {
		c.drop()
	}
	return reply
}

func (a *Attempt) connect() (*conn, error) {
	if a.isInterrupted() {
		return nil, context.Canceled
	}
	c := a.upstream.reuse(a.deadline)
	if !a.stillWanted() {
		if c != nil {
			c.insertIdle()
		}
		return nil, errNotWanted
	}
	if c == nil {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		a.mu.Lock()
		a.cancelDial = stop
		a.mu.Unlock()
		if a.isInterrupted() {
			return nil, context.Canceled
		}
		var err error
		if c, err = a.upstream.dial(ctx, a.deadline); err != nil {
			return nil, err
		}
		// The client may have left while the connection was being established.
		if !a.stillWanted() {
			c.returnToPool()
			return nil, errNotWanted
		}
	}
	if !a.bind(c) {
		c.drop()
		return nil, context.Canceled
	}
	// The endpoint may have been drained or removed while the connection was being established.
	if a.upstream.closedToNew.Load() {
		a.unbind()
		c.drop()
		return nil, errNoAddress
	}
	return c, nil
}

func (a *Attempt) stillWanted() bool { return a.req.StillWanted == nil || a.req.StillWanted() }

// roundTrip writes the request and reads the response. If clean is true, the connection can be reused.
func (a *Attempt) roundTrip(c *conn, begin Begin) (reply Reply, clean bool) {
	join := a.startWriting(c)
	defer func() { _ = join() }()
	c.attempt, c.responseBegun = a, false
	defer func() { c.attempt = nil }()
	resp, err := a.readHead(c)
	if err != nil {
		return Reply{Result: a.classifyFailure(err, join())}, false
	}
	reply.LoadReport = resp.Header.Get("Endpoint-Load-Metrics")
	if !a.upstream.pool.isAnswer(resp.StatusCode) {
		clean = a.readError(c, resp, join, &reply)
		return reply, clean
	}
	// The end of an unframed response cannot be distinguished from a broken connection. A response with too large a
	// Content-Length is rejected before its head is forwarded, while a retry is still possible.
	isHead := a.req.Method == http.MethodHead
	if !isHead && (!delimited(resp) || resp.ContentLength > a.upstream.pool.maxResponseBytes()) {
		return Reply{Result: balancer.ConnectionLost, LoadReport: reply.LoadReport}, false
	}
	end, ok := a.readBody(c, resp, begin, &reply)
	if !ok {
		return reply, false
	}
	// Set only now, because a head with an incomplete body is not a complete response.
	reply.Status, reply.Header, reply.Length = resp.StatusCode, resp.Header, resp.ContentLength
	return reply, end == endOfData && join() == nil && !resp.Close && c.br.Buffered() == 0
}
