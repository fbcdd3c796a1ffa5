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

// abandonMargin is the time after a request's deadline at which the Front abandons it. The balancer normally answers before.
const abandonMargin = 15 * time.Millisecond

// responseBuffers holds buffers for response heads and for complete short responses.
var responseBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 8<<10); return &b }}

// handleRequest reads a request's body, which must be complete by readDeadline, hands the request to a core and waits for the
// answer. It returns false if the connection must be closed.
func (f *Front) handleRequest(c *client, r *http.Request, readDeadline time.Time) bool {
	c.served.Store(true)
	destination := f.router.Route(r, c.peer)
	if destination.Core == nil {
		return f.answerWithoutCore(c, r, &destination)
	}
	if f.conns.full() {
		c.reject(http.StatusServiceUnavailable, "too many connections")
		return false
	}
	memory := destination.Core.opt.BodyMemory
	if memory == nil {
		memory = &f.bodies
	}
	q := &Request{}
	if status, text := f.prepare(c, r, q, memory, readDeadline); status != 0 {
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
	return x.awaitAnswer(core, q)
}

// answerWithoutCore answers a request whose Destination has no core. It returns false if the connection must be closed.
func (f *Front) answerWithoutCore(c *client, r *http.Request, d *Destination) bool {
	if d.Close || r.ContentLength != 0 { // an unread body would be parsed as the next request
		c.answerAndClose(d.answer())
		return false
	}
	if c.hasSurplus() {
		c.reject(http.StatusBadRequest, errSurplus.Error())
		return false
	}
	closeAfter := f.closesAfterAnswer(r.Close)
	a := d.answer()
	a.noBody = r.Method == http.MethodHead
	if c.writeAnswer(a, closeAfter) != nil {
		return false
	}
	c.front.conns.markIdle(c)
	if closeAfter {
		c.closeGracefully()
	}
	return !closeAfter
}

// prepare reads the request's body and sets q.Send, the request to an endpoint. If the request cannot be forwarded, prepare
// returns the status and text of the answer; otherwise the status is 0.
func (f *Front) prepare(c *client, r *http.Request, q *Request, memory Quota, readDeadline time.Time) (status int, text string) {
	var err error
	q.Send.Body, q.ReservedBytes, err = f.readBody(c, r, memory, readDeadline)
	if err != nil {
		return f.bodyErrorStatus(err), err.Error()
	}
	if c.hasSurplus() {
		return http.StatusBadRequest, errSurplus.Error()
	}
	q.Send.StillWanted = c.stillWaits
	// The hop-by-hop fields, including the client's deadline, are removed only now, since Route reads them.
	q.Send.Method = r.Method
	q.Send.URI = r.URL.RequestURI()
	q.Send.Host = r.Host
	q.Send.Header = removeHopByHop(r.Header)
	// The client may have disconnected before its request was read. Forwarding the request would waste an endpoint's work.
	if _, disconnected := c.peek(); disconnected {
		return http.StatusServiceUnavailable, "the client has left"
	}
	return 0, ""
}

// bodyErrorStatus returns the status of the answer to a request whose body could not be read.
func (f *Front) bodyErrorStatus(err error) int {
	switch {
	case errors.Is(err, errBodyTooLong):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errNoBodyMemory), f.hasExpired(): // it was not forwarded
		return http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

// handToCore hands a request to its core, and routes it again if that core was retired while the body was read. If no core
// accepts the request, handToCore returns a nil core and the status and text of the answer.
func (f *Front) handToCore(c *client, r *http.Request, q *Request, d Destination) (core *Core, status int, text string) {
	for range maxRoutings {
		q.Attributes = d.Attributes
		q.Attributes.Size = q.Send.Body.Len()
		c.SetReadDeadline(time.Now().Add(q.Attributes.TimeLeft + abandonMargin))
		// Checked after SetReadDeadline, which may have overwritten the past deadline that Stop sets to interrupt readers.
		if f.hasExpired() {
			return nil, http.StatusServiceUnavailable, errShuttingDown.Error()
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

// answer returns the answer to a request that no core handles.
func (d *Destination) answer() Answer {
	a := Answer{Status: d.Status, Header: d.Header, RetryAfter: d.RetryAfter}
	if d.Text != "" {
		a.Body = []byte(d.Text + "\n")
	}
	return a
}

// validateRequest checks a request that net/http's parser has accepted. It returns the text of the answer to a malformed
// request, or "" if the request is valid.
func validateRequest(r *http.Request) string {
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

// isPlainText reports whether text has no control characters except tabs.
func isPlainText(text string) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// hopByHop lists header fields that are not forwarded, in addition to those listed in a Connection header. X-Expires-In-Ms is one of
// them because each attempt sends its own remaining time.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Content-Length", "Upgrade", "Expect", "X-Expires-In-Ms"}

// removeHopByHop removes the hop-by-hop fields from h and returns h.
func removeHopByHop(h http.Header) http.Header {
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
