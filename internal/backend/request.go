package backend

import (
	"net/http"
	"strconv"
	"sync"
	"time"
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
