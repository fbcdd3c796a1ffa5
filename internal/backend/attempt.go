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
	// CompleteAnswerBytes is the longest response body that is read completely before it is forwarded; longer ones are
	// streamed.
	CompleteAnswerBytes     = 64 << 10
	maxHeadBytes            = 64 << 10 // of a response
	maxErrorBodyBytes       = 64 << 10 // of an error response, beyond which its connection is closed
	defaultMaxResponseBytes = 32 << 20 // a response that announces more is invalid
	maxInlineBodyBytes      = 16 << 10
	defaultStallTimeout     = 1500 * time.Millisecond
	defaultPauseTimeout     = 250 * time.Millisecond
	pauseGrace              = 5 * time.Millisecond
	errorBodyTimeout        = 20 * time.Millisecond // to read an error's body, so that its connection can be reused
)

// Attempt sends a request once to one endpoint. Cancel and Abort may be called at any time; Do is called once.
type Attempt struct {
	upstream *Upstream
	req      *Request
	deadline time.Time

	mu         sync.Mutex
	conn       *conn
	cancelDial context.CancelFunc // of the dial
	cancelled  bool
	aborted    bool // the rest of the request must not be written
	written    bool // the request's last byte
}

// NewAttempt returns an attempt that times out at deadline.
func NewAttempt(up *Upstream, req *Request, deadline time.Time) *Attempt {
	return &Attempt{upstream: up, req: req, deadline: deadline}
}

var longAgo = time.Unix(1, 0)

// Cancel ends the attempt. It does not block.
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

// Abort ends an attempt that has not yet written the request's last byte; its result is NotSent, since an endpoint does not
// start a request before that byte. An attempt that has written it goes on. Abort does not block.
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

// isOverLocked reports whether the attempt must not go on. The lock is held.
func (a *Attempt) isOverLocked() bool { return a.cancelled || a.aborted && !a.written }

// bind makes c the connection that Cancel and Abort interrupt. It returns false if one of them was called before.
func (a *Attempt) bind(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	return !a.isOverLocked()
}

// unbind undoes bind. It returns false if Cancel or Abort has interrupted the connection.
func (a *Attempt) unbind() bool { return a.bind(nil) }

func (a *Attempt) isCancelled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cancelled
}

func (a *Attempt) isOver() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isOverLocked()
}

func (a *Attempt) extendDeadline(c *conn, to time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.isOverLocked() && c.SetDeadline(to) == nil
}

func (a *Attempt) extendWithin(c *conn, d time.Duration) bool {
	t := time.Now().Add(d)
	return t.Before(a.deadline) && a.extendDeadline(c, t)
}

// Do runs the attempt to its end and returns its result.
func (a *Attempt) Do(begin Begin) Reply {
	c, err := a.connect()
	if err != nil {
		var timeout interface{ Timeout() bool }
		switch {
		case errors.Is(err, errNotWanted):
			return Reply{Result: balancer.NotSent, Unwanted: true}
		case a.isCancelled():
			return Reply{Result: balancer.Cancelled}
		case a.isOver():
			return Reply{Result: balancer.NotSent}
		case errors.As(err, &timeout) && timeout.Timeout() && !time.Now().Before(a.deadline):
			// The client's time ran out, which is not the endpoint's failure.
			return Reply{Result: balancer.TimedOut}
		case isLocalError(err):
			return Reply{Result: balancer.NotSent}
		}
		return Reply{Result: balancer.NotConnected}
	}
	reply, clean := a.roundTrip(c, begin)
	// After unbind a late Cancel cannot interrupt the next request of the connection.
	if a.unbind() && clean {
		c.returnToPool()
	} else {
		c.drop()
	}
	return reply
}

func (a *Attempt) connect() (*conn, error) {
	if a.isOver() {
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
		if a.isOver() {
			return nil, context.Canceled
		}
		var err error
		if c, err = a.upstream.dial(ctx, a.deadline); err != nil {
			return nil, err
		}
		// The client may have left while the connection came up.
		if !a.stillWanted() {
			c.returnToPool()
			return nil, errNotWanted
		}
	}
	if !a.bind(c) {
		c.drop()
		return nil, context.Canceled
	}
	// The endpoint may have been drained or removed while the connection came up.
	if a.upstream.closedToNew.Load() {
		a.unbind()
		c.drop()
		return nil, errNoAddress
	}
	return c, nil
}

func (a *Attempt) stillWanted() bool { return a.req.StillWanted == nil || a.req.StillWanted() }

// roundTrip writes the request and reads the response. If clean is true the connection can be reused.
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
	// The end of a response without framing cannot be told from a broken connection. A response that announces too much
	// is refused before its head is forwarded, while a retry is still possible.
	if !delimited(resp) && a.req.Method != http.MethodHead || resp.ContentLength > a.upstream.pool.maxResponseBytes() && a.req.Method != http.MethodHead {
		return Reply{Result: balancer.ConnectionLost, LoadReport: reply.LoadReport}, false
	}
	if !a.readBody(c, resp, begin, &reply) {
		return reply, false
	}
	// Only now: a head whose body broke off is not a response.
	reply.Status, reply.Header, reply.Length = resp.StatusCode, resp.Header, resp.ContentLength
	return reply, join() == nil && !resp.Close && c.br.Buffered() == 0
}
