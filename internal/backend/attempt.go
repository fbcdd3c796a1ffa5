package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
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

// Body is a request's body in pieces. It can be read any number of times.
type Body [][]byte

// Len returns the length in bytes.
func (b Body) Len() (n int64) {
	for _, p := range b {
		n += int64(len(p))
	}
	return n
}

// Request is what is sent to an endpoint. All attempts of a client's request share it and must not modify it. Its strings
// are written as they are: the caller has validated what came from a client.
type Request struct {
	Method string
	URI    string // path and query
	Host   string
	Header http.Header
	Body   Body
	// StillWanted, if not nil, is called right before an attempt connects and before it writes the request; if it returns
	// false the attempt ends as unwanted. It may be called by several goroutines at once and must not block.
	StillWanted func() bool
}

// Reply is the result of an attempt.
type Reply struct {
	Result      balancer.Result
	Status      int // 0 if there is no complete response to forward
	Header      http.Header
	Body        []byte
	Length      int64 // Content-Length of a response to HEAD; -1 if not given
	Streamed    bool
	Unwanted    bool          // nothing was written, since the client has left
	RetryAfter  time.Duration // of a 503; 0 if not given
	FirstByteAt time.Time     // of a streamed response
	LoadReport  string
}

// Begin commits a request to the attempt whose response is to be streamed. It returns the client's writer, or nil if the
// request has its final answer already.
type Begin func(status int, header http.Header, length int64) io.Writer

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

var headBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

func (a *Attempt) writeRequest(c *conn) error {
	r := a.req
	p := headBuffers.Get().(*[]byte)
	defer headBuffers.Put(p)
	b := append(append(append(append((*p)[:0], r.Method...), ' '), r.URI...), " HTTP/1.1\r\n"...)
	host := r.Host
	if host == "" {
		host = a.upstream.addr
	}
	b = appendField(b, "Host", host)
	for name, values := range r.Header {
		for _, v := range values {
			b = appendField(b, name, v)
		}
	}
	b = append(b, "X-Expires-In-Ms: "...)
	b = strconv.AppendInt(b, max(time.Until(a.deadline).Milliseconds(), 1), 10)
	n := r.Body.Len()
	if n > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), n, 10)
	}
	b = append(b, "\r\n\r\n"...)
	rest := r.Body
	if n <= maxInlineBodyBytes {
		for _, part := range rest {
			b = append(b, part...)
		}
		rest = nil
	}
	*p = b
	if _, err := c.Write(b); err != nil {
		return err
	}
	for _, part := range rest {
		if _, err := c.Write(part); err != nil {
			return err
		}
	}
	a.mu.Lock()
	a.written = true
	a.mu.Unlock()
	return nil
}

func appendField(b []byte, name, value string) []byte {
	return append(append(append(append(b, name...), ": "...), value...), "\r\n"...)
}

// startWriting writes the request, a long body beside the reading of the response. The returned function waits for the end
// of the writing, interrupting it if it still goes on, and returns its error.
func (a *Attempt) startWriting(c *conn) (join func() error) {
	write := func() error {
		err := a.writeRequest(c)
		if err != nil {
			a.extendWithin(c, errorBodyTimeout)
		}
		return err
	}
	if a.req.Body.Len() <= maxInlineBodyBytes {
		err := write()
		return func() error { return err }
	}
	// An endpoint may answer, with an error for example, without reading the whole body.
	done := make(chan error, 1)
	go func() { done <- write() }()
	return sync.OnceValue(func() error {
		select {
		case err := <-done:
			return err
		default:
		}
		c.SetWriteDeadline(longAgo)
		return <-done
	})
}

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

// readError fills in the reply to an error response. It returns true if the connection can be reused.
func (a *Attempt) readError(c *conn, resp *http.Response, join func() error, reply *Reply) (clean bool) {
	reply.Result = balancer.ServerError
	mayPromise := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	if mayPromise && resp.Header.Get("X-Never-Ran") == "1" {
		reply.Result = balancer.Rejected
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		reply.RetryAfter = parseRetryAfter(resp.Header.Get("Retry-After"), time.Now())
	}
	if join() != nil || resp.Close || !delimited(resp) {
		return false
	}
	c.attempt = nil
	a.extendDeadline(c, time.Now().Add(errorBodyTimeout))
	body := io.LimitReader(resp.Body, maxErrorBodyBytes)
	if a.upstream.pool.opt.IsAnswer == nil {
		n, err := io.Copy(io.Discard, body)
		return err == nil && n < maxErrorBodyBytes && c.br.Buffered() == 0
	}
	text, err := io.ReadAll(body)
	if err != nil || len(text) == maxErrorBodyBytes {
		return false
	}
	reply.Status, reply.Header, reply.Body = resp.StatusCode, resp.Header, text
	return c.br.Buffered() == 0
}

// parseRetryAfter parses a Retry-After in seconds or as a date (RFC 9110, 10.2.3). It returns 0 for anything else.
func parseRetryAfter(text string, now time.Time) time.Duration {
	if n, err := strconv.ParseUint(text, 10, 31); err == nil {
		return time.Duration(n) * time.Second
	}
	if at, err := http.ParseTime(text); err == nil {
		return max(at.Sub(now), 0)
	}
	return 0
}

// delimited reports whether the response is framed by a length or by chunks.
func delimited(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) == 1 && r.TransferEncoding[0] == "chunked"
}

// readHead reads the head of the final response and skips informational ones.
func (a *Attempt) readHead(c *conn) (*http.Response, error) {
	c.headBytesLeft = maxHeadBytes
	defer func() { c.headBytesLeft = -1 }()
	for range 8 {
		if err := c.awaitVersion(); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.br, &http.Request{Method: a.req.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, errors.New("no final answer")
}

// awaitVersion waits for the HTTP version that begins a response. net/http's parser waits for the end of the line, which
// garbage may not have, while another endpoint could still serve the request.
func (c *conn) awaitVersion() error {
	const version = "HTTP/1."
	for n := range len(version) {
		b, err := c.br.Peek(n + 1)
		if err != nil {
			return err
		}
		if b[n] != version[n] {
			return errors.New("not an answer of HTTP/1")
		}
	}
	return nil
}

// classifyFailure returns the result of a round trip without a response, by the errors of reading and writing.
func (a *Attempt) classifyFailure(read, wrote error) balancer.Result {
	switch {
	case a.isCancelled():
		return balancer.Cancelled
	case wrote != nil && a.isOver():
		return balancer.NotSent
	case !time.Now().Before(a.deadline) && errors.Is(read, os.ErrDeadlineExceeded):
		return balancer.TimedOut
	case wrote != nil:
		return balancer.NotConnected
	case errors.Is(read, os.ErrDeadlineExceeded): // the response stalled
		return balancer.TimedOut
	}
	return balancer.ConnectionLost
}

func (a *Attempt) readBody(c *conn, resp *http.Response, begin Begin, reply *Reply) bool {
	size := int64(CompleteAnswerBytes)
	if n := resp.ContentLength; n >= 0 && n <= size {
		size = n
	} else if n > size {
		size = 4 << 10 // it is streamed from its first bytes on
	}
	buf := make([]byte, 0, min(size+1, 1<<10))
	atOnce := a.upstream.pool.opt.StreamResponse != nil && a.req.Method != http.MethodHead && a.upstream.pool.opt.StreamResponse(resp.Header)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := resp.Body.Read(buf[len(buf):min(cap(buf), int(size)+1)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			reply.Result, reply.Body = balancer.Served, buf
			return true
		}
		if err != nil {
			reply.Result = a.classifyFailure(err, nil)
			return false
		}
		if atOnce && len(buf) > 0 || int64(len(buf)) > CompleteAnswerBytes || resp.ContentLength > CompleteAnswerBytes && len(buf) > 0 {
			break
		}
	}
	reply.FirstByteAt = time.Now()
	w := begin(resp.StatusCode, resp.Header, resp.ContentLength)
	if w == nil {
		reply.Result = balancer.Cancelled
		return false
	}
	reply.Streamed = true
	return a.stream(c, resp, buf, w, reply)
}

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// stream forwards the rest of the body. The deadline no longer applies, only the stall timeouts of both sides.
func (a *Attempt) stream(c *conn, resp *http.Response, first []byte, w io.Writer, reply *Reply) bool {
	p := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(p)
	c.attempt = nil
	part, end := first, error(nil)
	for {
		if len(part) > 0 {
			if _, err := w.Write(part); err != nil {
				reply.Result = balancer.Cancelled // by the client
				return false
			}
		}
		if errors.Is(end, io.EOF) {
			reply.Result = balancer.Served
			return true
		}
		if end != nil {
			reply.Result = balancer.ConnectionLost
			return false
		}
		a.extendDeadline(c, time.Now().Add(a.upstream.pool.stallTimeout()))
		var n int
		n, end = resp.Body.Read(*p)
		part = (*p)[:n]
	}
}

// HealthCheck requests path from an endpoint and returns the result.
func HealthCheck(ctx context.Context, up *Upstream, path string, timeout time.Duration) Reply {
	req := &Request{Method: http.MethodGet, URI: path, Header: http.Header{}}
	a := NewAttempt(up, req, time.Now().Add(timeout))
	defer context.AfterFunc(ctx, a.Cancel)()
	return a.Do(func(int, http.Header, int64) io.Writer { return nil })
}

// ParseLoad reads a load report, "TEXT inflight=7, queue=2". What is not understood is passed over.
func ParseLoad(text string) map[string]float64 {
	text, ok := strings.CutPrefix(text, "TEXT ")
	if !ok {
		return nil
	}
	load := map[string]float64{}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			load[name] = v
		}
	}
	return load
}
