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

// responseBuffers hold the heads of answers, and whole short ones.
var responseBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 8<<10); return &b }}

// handleRequest takes a client's request, whose body is to be whole by until, and sees to its answer; false if the
// connection ends with it.
func (f *Front) handleRequest(c *client, r *http.Request, until time.Time) bool {
	c.served.Store(true)
	d := f.router.Route(r, c.peer)
	switch {
	case d.Core == nil && (d.Close || r.ContentLength != 0): // a body that nobody reads stands before the next request
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
		case errors.Is(err, errNoMemory), f.hasExpired(): // it has not been sent on
			status = http.StatusServiceUnavailable
		case errors.Is(err, os.ErrDeadlineExceeded):
			status = http.StatusRequestTimeout
		}
		c.reject(status, err.Error())
		return false
	}
	// Danger: clients send one request at a time, so what stands behind one belongs to its body, whose length was
	// given wrong, or is meant to be taken for somebody else's request.
	if c.br.Buffered() > 0 {
		memory.Release(q.ReservedBytes)
		c.reject(http.StatusBadRequest, "more came than the request")
		return false
	}
	x := &exchange{client: c, wantsClose: r.Close, noBody: r.Method == http.MethodHead}
	q.Client = x
	// Danger: the end of a client is read by a goroutine of its own, which on a busy node may wait its turn behind thousands.
	q.Send.StillWanted = func() bool {
		_, left := c.peek()
		return !left
	}
	// d's words were taken before the header loses what concerns this connection only, its time with it.
	q.Send.Method, q.Send.URI, q.Send.Host = r.Method, r.URL.RequestURI(), r.Host
	header := endToEnd(r.Header)
	q.Send.Header = header
	// Danger: a client may have left while its request waited to be read. Nobody wants the answer, and the work is real.
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
		if f.hasExpired() { // not sooner: who ends what is in hand wakes its reader by that time
			memory.Release(q.ReservedBytes)
			c.reject(http.StatusServiceUnavailable, errEnding.Error())
			return false
		}
		status, ok := d.Core.Accept(q)
		switch {
		case ok:
			return c.awaitAnswer(d.Core, q, x)
		case status == 0: // its core was retired while the body came
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

// malformed tells what is wrong with a request that net/http's parser lets through, if anything.
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

// endToEnd takes from h what concerns one connection only.
func endToEnd(h http.Header) http.Header {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			switch name = http.CanonicalHeaderKey(strings.TrimSpace(name)); name {
			case "X-Trace-Id", "Idempotency-Key": // go on whatever the client says
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
