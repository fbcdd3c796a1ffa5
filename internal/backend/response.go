package backend

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"robindrum/balancer"
)

// Reply is the result of an attempt.
type Reply struct {
	Result      balancer.Result
	Status      int // 0 if there is no complete response to forward
	Header      http.Header
	Body        []byte
	Length      int64 // Content-Length of a response to HEAD; -1 if not given
	Streamed    bool
	Unwanted    bool          // nothing was written, because StillWanted returned false
	RetryAfter  time.Duration // of a response with status 503; 0 if not given
	FirstByteAt time.Time     // of a streamed response
	LoadReport  string        // value of the Endpoint-Load-Metrics header
}

// Begin commits a request to the attempt whose response is to be streamed. It returns the writer to the client, or nil if the
// request has already been answered.
type Begin func(status int, header http.Header, length int64) io.Writer

// readError fills in reply from an error response. It returns true if the connection can be reused.
func (a *Attempt) readError(c *conn, resp *http.Response, join func() error, reply *Reply) (clean bool) {
	reply.Result = balancer.ServerError
	mayBeRejection := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	if mayBeRejection && resp.Header.Get("X-Never-Ran") == "1" {
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
	if a.upstream.pool.opt.IsForwarded == nil {
		n, err := io.Copy(io.Discard, body)
		return err == nil && n < maxErrorBodyBytes && c.br.Buffered() == 0
	}
	text, err := io.ReadAll(body)
	if err != nil || len(text) == maxErrorBodyBytes {
		return false
	}
	end := endOfData
	if a.req.Method != http.MethodHead {
		end = a.awaitEnd(c, a.settleTime())
	}
	if end == endMismatch {
		return false
	}
	reply.Status, reply.Header, reply.Body = resp.StatusCode, resp.Header, text
	return end == endOfData && c.br.Buffered() == 0
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

// delimited reports whether the response is framed by a Content-Length or by the chunked transfer coding.
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
	return nil, errors.New("no final response within 8 heads, or unexpected 101 Switching Protocols")
}

// awaitVersion waits for the HTTP version at the start of a response and returns an error as soon as a byte differs.
// http.ReadResponse would wait for the end of the line, which may never come in invalid data, while another endpoint could
// still serve the request.
func (c *conn) awaitVersion() error {
	const version = "HTTP/1."
	for n := range len(version) {
		b, err := c.br.Peek(n + 1)
		if err != nil {
			return err
		}
		if b[n] != version[n] {
			return errors.New(`response does not start with "HTTP/1."`)
		}
	}
	return nil
}

// classifyFailure returns the result of a round trip without a complete response from its read and write errors.
func (a *Attempt) classifyFailure(readErr, writeErr error) balancer.Result {
	switch {
	case a.isCancelled():
		return balancer.Cancelled
	case writeErr != nil && a.isInterrupted():
		return balancer.NotSent
	case !time.Now().Before(a.deadline) && errors.Is(readErr, os.ErrDeadlineExceeded):
		return balancer.TimedOut
	case writeErr != nil:
		return balancer.NotConnected
	case errors.Is(readErr, os.ErrDeadlineExceeded): // the response stalled
		return balancer.TimedOut
	}
	return balancer.ConnectionLost
}

// readBody reads a short response body completely, or begins to stream a long one. ok is true if the body is complete; end is then
// what follows it.
func (a *Attempt) readBody(c *conn, resp *http.Response, begin Begin, reply *Reply) (end responseEnd, ok bool) {
	maxBytes := a.upstream.pool.maxResponseBytes()
	size := int64(MaxBufferedBodyBytes)
	if n := resp.ContentLength; n >= 0 && n <= size {
		size = n
	} else if n > size {
		size = 4 << 10 // streamed from the first bytes on
	}
	buf := make([]byte, 0, min(size+1, 1<<10))
	streamImmediately := a.upstream.pool.opt.StreamResponse != nil && a.req.Method != http.MethodHead && a.upstream.pool.opt.StreamResponse(resp.Header)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := resp.Body.Read(buf[len(buf):min(cap(buf), int(size)+1)])
		buf = buf[:len(buf)+n]
		if int64(len(buf)) > maxBytes {
			reply.Result = balancer.ConnectionLost
			return end, false
		}
		if errors.Is(err, io.EOF) {
			return a.finishBody(c, buf, reply)
		}
		if err != nil {
			reply.Result = a.classifyFailure(err, nil)
			return end, false
		}
		if streamImmediately && len(buf) > 0 || int64(len(buf)) > MaxBufferedBodyBytes || resp.ContentLength > MaxBufferedBodyBytes && len(buf) > 0 {
			break
		}
	}
	reply.FirstByteAt = time.Now()
	w := begin(resp.StatusCode, resp.Header, resp.ContentLength)
	if w == nil {
		reply.Result = balancer.Cancelled
		return end, false
	}
	reply.Streamed = true
	return a.stream(c, resp, buf, w, reply)
}

// finishBody completes reply with a body that has been read to its announced end.
func (a *Attempt) finishBody(c *conn, body []byte, reply *Reply) (end responseEnd, ok bool) {
	// The body of a response to HEAD is not forwarded, so its length does not matter.
	if a.req.Method != http.MethodHead {
		end = a.awaitEnd(c, a.settleTime())
	}
	if end == endMismatch {
		reply.Result = balancer.ConnectionLost
		return end, false
	}
	reply.Result, reply.Body = balancer.Served, body
	return end, true
}

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// stream forwards first and then the rest of the body to w. The deadline of the attempt no longer applies, only the stall
// timeouts of the endpoint and the client. The last part is forwarded once it is known that the announced length fits, so that
// the client can tell that a body whose length does not fit is incomplete.
func (a *Attempt) stream(c *conn, resp *http.Response, first []byte, w io.Writer, reply *Reply) (end responseEnd, ok bool) {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	c.attempt = nil
	part, readErr := first, error(nil)
	total := int64(0)
	for {
		total += int64(len(part))
		complete := errors.Is(readErr, io.EOF)
		if complete {
			end = a.awaitEnd(c, a.upstream.pool.settleTime())
		}
		if end == endMismatch || total > a.upstream.pool.maxResponseBytes() {
			reply.Result = balancer.ConnectionLost
			return end, false
		}
		if len(part) > 0 {
			if _, err := w.Write(part); err != nil {
				reply.Result = balancer.Cancelled // the client has left
				return end, false
			}
		}
		if complete {
			reply.Result = balancer.Served
			return end, true
		}
		if readErr != nil {
			reply.Result = balancer.ConnectionLost
			return end, false
		}
		a.extendDeadline(c, time.Now().Add(a.upstream.pool.stallTimeout()))
		var n int
		n, readErr = resp.Body.Read(*buf)
		part = (*buf)[:n]
	}
}
