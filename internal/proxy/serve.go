package proxy

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const abandonMargin = 15 * time.Millisecond

// responseBuffers are for the heads of responses, and for complete short ones.
var responseBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 8<<10); return &b }}

// handleRequest reads a request's body, which must be complete by until, and has the request answered. It returns false
// if the connection ends with it.
func (f *Front) handleRequest(c *client, r *http.Request, until time.Time) bool {
	c.served.Store(true)
	destination := f.router.Route(r, c.peer)
	if destination.Core == nil {
		return f.answerWithoutCore(c, r, &destination)
	}
	if f.conns.full() {
		c.reject(http.StatusServiceUnavailable, "too many connections")
		return false
	}
	memory := destination.Core.opt.Memory
	if memory == nil {
		memory = &f.bodies
	}
	q := &Request{}
	if status, text := f.prepare(c, r, q, memory, until); status != 0 {
		memory.Release(q.ReservedBytes)
		c.reject(status, text)
		return false
	}
	x := &exchange{client: c, wantsClose: r.Close, noBody: r.Method == http.MethodHead}
	q.Client = x
	c.requestAccepted()
	core, status, text := f.handToCore(c, r, q, destination)
	if core == nil {
		memory.Release(q.ReservedBytes)
		c.reject(status, text)
		return false
	}
	return c.awaitAnswer(core, q, x)
}

// answerWithoutCore answers a request that goes to no core. It returns false if the connection ends with it.
func (f *Front) answerWithoutCore(c *client, r *http.Request, d *Destination) bool {
	if d.Close || r.ContentLength != 0 { // an unread body would precede the next request
		c.answerAndClose(d.answer())
		return false
	}
	last := f.closesAfterAnswer(r.Close)
	a := d.answer()
	a.noBody = r.Method == http.MethodHead
	if c.writeAnswer(a, last) != nil {
		return false
	}
	if c.br.Buffered() == 0 {
		c.front.conns.markIdle(c)
	}
	if last {
		c.closeGracefully()
	}
	return !last
}

// prepare reads the request's body and fills in what is sent to an endpoint. If the request cannot be forwarded it returns
// the status and text of its answer; otherwise the status is 0.
func (f *Front) prepare(c *client, r *http.Request, q *Request, memory Quota, until time.Time) (status int, text string) {
	var err error
	q.Send.Body, q.ReservedBytes, err = f.readBody(c, r, memory, until)
	if err != nil {
		return f.bodyErrorStatus(err), err.Error()
	}
	// Clients send one request at a time: further bytes belong to a body with a wrong length, or are an attempt at request
	// smuggling.
	if c.br.Buffered() > 0 {
		return http.StatusBadRequest, "more came than the request"
	}
	// The goroutine that reads the client's end may be scheduled late on a busy machine, so attempts look for themselves.
	q.Send.StillWanted = func() bool {
		_, left := c.peek()
		return !left
	}
	// Route has read the header before the hop-by-hop fields, the deadline among them, are removed.
	q.Send.Method = r.Method
	q.Send.URI = r.URL.RequestURI()
	q.Send.Host = r.Host
	q.Send.Header = endToEnd(r.Header)
	// The client may have left while its request waited to be read; forwarding it would waste an endpoint's work.
	if _, left := c.peek(); left {
		return http.StatusServiceUnavailable, "the client has left"
	}
	return 0, ""
}

// bodyErrorStatus returns the status of the answer to a request whose body could not be read.
func (f *Front) bodyErrorStatus(err error) int {
	switch {
	case errors.Is(err, errTooLong):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errNoMemory), f.hasExpired(): // it was not forwarded
		return http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

// handToCore has a core accept a request, and routes it again if its core was retired while the body was read. If no core
// accepts it the returned core is nil and the answer's status and text are given.
func (f *Front) handToCore(c *client, r *http.Request, q *Request, d Destination) (core *Core, status int, text string) {
	for range maxRoutings {
		q.Attributes = d.Attributes
		q.Attributes.Size = q.Send.Body.Len()
		c.SetReadDeadline(time.Now().Add(q.Attributes.TimeLeft + abandonMargin))
		if f.hasExpired() { // after the deadline is set: Stop wakes readers by that deadline
			return nil, http.StatusServiceUnavailable, errEnding.Error()
		}
		status, ok := d.Core.Accept(q)
		if ok {
			return d.Core, 0, ""
		}
		if status == 0 { // the core was retired while the body was read
			if d = f.router.Route(r, c.peer); d.Core != nil {
				continue
			}
			status = d.Status
		}
		return nil, status, http.StatusText(status)
	}
	return nil, http.StatusServiceUnavailable, "the routes keep changing"
}

func (d *Destination) answer() Answer {
	a := Answer{Status: d.Status, Header: d.Header, RetryAfter: d.RetryAfter}
	if d.Text != "" {
		a.Body = []byte(d.Text + "\n")
	}
	return a
}

// malformed says what is wrong with a request that net/http's parser accepts; empty if nothing is.
func malformed(r *http.Request) string {
	if r.Host == "" && r.ProtoAtLeast(1, 1) || !isPlainText(r.Host) || strings.ContainsRune(r.Host, ' ') {
		return "Host is missing or malformed"
	}
	if r.ProtoMajor != 1 {
		return "not HTTP/1"
	}
	if uri := r.URL.RequestURI(); !strings.HasPrefix(uri, "/") || !isPlainText(uri) || strings.ContainsRune(uri, ' ') {
		return "not a path"
	}
	for _, v := range r.Header["X-Expires-In-Ms"] {
		if ms, err := strconv.ParseInt(v, 10, 64); err != nil || ms <= 0 {
			return "X-Expires-In-Ms is not a positive number"
		}
	}
	for _, values := range r.Header {
		for _, v := range values {
			if !isPlainText(v) {
				return "a header's value is malformed"
			}
		}
	}
	return ""
}

func isPlainText(text string) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Content-Length", "Upgrade", "Expect", "X-Expires-In-Ms"}

// endToEnd removes the hop-by-hop fields from h and returns it.
func endToEnd(h http.Header) http.Header {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			switch name = http.CanonicalHeaderKey(strings.TrimSpace(name)); name {
			case "X-Trace-Id", "Idempotency-Key": // forwarded whatever the client's Connection header says
			default:
				delete(h, name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
	return h
}
