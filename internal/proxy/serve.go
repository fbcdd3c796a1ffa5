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
	d := f.router.Route(r, c.peer)
	switch {
	case d.Core == nil && (d.Close || r.ContentLength != 0): // an unread body would precede the next request
		c.answerAndClose(d.answer())
		return false
	case d.Core == nil:
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
	case f.conns.full():
		c.reject(http.StatusServiceUnavailable, "too many connections")
		return false
	}
	memory := d.Core.opt.Memory
	if memory == nil {
		memory = &f.bodies
	}
	q := &Request{}
	var err error
	if q.Send.Body, q.ReservedBytes, err = f.readBody(c, r, memory, until); err != nil {
		memory.Release(q.ReservedBytes)
		status := http.StatusBadRequest
		switch {
		case errors.Is(err, errTooLong):
			status = http.StatusRequestEntityTooLarge
		case errors.Is(err, errNoMemory), f.hasExpired(): // it was not forwarded
			status = http.StatusServiceUnavailable
		case errors.Is(err, os.ErrDeadlineExceeded):
			status = http.StatusRequestTimeout
		}
		c.reject(status, err.Error())
		return false
	}
	// Clients send one request at a time: further bytes belong to a body with a wrong length, or are an attempt at request
	// smuggling.
	if c.br.Buffered() > 0 {
		memory.Release(q.ReservedBytes)
		c.reject(http.StatusBadRequest, "more came than the request")
		return false
	}
	x := &exchange{client: c, wantsClose: r.Close, noBody: r.Method == http.MethodHead}
	q.Client = x
	// The goroutine that reads the client's end may be scheduled late on a busy machine, so attempts look for themselves.
	q.Send.StillWanted = func() bool {
		_, left := c.peek()
		return !left
	}
	// Route has read the header before the hop-by-hop fields, the deadline among them, are removed.
	q.Send.Method, q.Send.URI, q.Send.Host = r.Method, r.URL.RequestURI(), r.Host
	header := endToEnd(r.Header)
	q.Send.Header = header
	// The client may have left while its request waited to be read; forwarding it would waste an endpoint's work.
	if _, left := c.peek(); left {
		memory.Release(q.ReservedBytes)
		c.reject(http.StatusServiceUnavailable, "the client has left")
		return false
	}
	c.requestAccepted()
	for range maxRoutings {
		q.Attributes = d.Attributes
		q.Attributes.Size = q.Send.Body.Len()
		c.SetReadDeadline(time.Now().Add(q.Attributes.TimeLeft + abandonMargin))
		if f.hasExpired() { // after the deadline is set: Stop wakes readers by that deadline
			memory.Release(q.ReservedBytes)
			c.reject(http.StatusServiceUnavailable, errEnding.Error())
			return false
		}
		status, ok := d.Core.Accept(q)
		switch {
		case ok:
			return c.awaitAnswer(d.Core, q, x)
		case status == 0: // the core was retired while the body was read
			if d = f.router.Route(r, c.peer); d.Core != nil {
				continue
			}
			status = d.Status
		}
		memory.Release(q.ReservedBytes)
		c.reject(status, http.StatusText(status))
		return false
	}
	memory.Release(q.ReservedBytes)
	c.reject(http.StatusServiceUnavailable, "the routes keep changing")
	return false
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
