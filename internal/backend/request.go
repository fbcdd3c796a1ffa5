package backend

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Body is a request body in parts. It can be read any number of times.
type Body [][]byte

// Len returns the length in bytes.
func (b Body) Len() (n int64) {
	for _, part := range b {
		n += int64(len(part))
	}
	return n
}

// Request is a request to an endpoint. All attempts of one client request share it and must not modify it. Its strings are
// written without escaping or validation: the caller must validate any client input.
type Request struct {
	Method string
	URI    string // request target: path and query
	Host   string
	Header http.Header
	Body   Body
	// StillWanted, if not nil, reports whether a client still waits for the response. An attempt calls it before it connects
	// and again after a dial, and if it returns false ends with Reply.Unwanted. It may be called concurrently and must not
	// block.
	StillWanted func() bool
}

var headBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

// writeRequest writes the head and the body of the request; a body of up to maxInlineBodyBytes in one write with the head.
func (a *Attempt) writeRequest(c *conn) error {
	r := a.req
	pooled := headBuffers.Get().(*[]byte)
	defer headBuffers.Put(pooled)
	b := append(append(append(append((*pooled)[:0], r.Method...), ' '), r.URI...), " HTTP/1.1\r\n"...)
	host := r.Host
	if host == "" {
		host = a.upstream.addr
	}
	b = appendField(b, "Host", host)
	for name, values := range r.Header {
		for _, value := range values {
			b = appendField(b, name, value)
		}
	}
	b = append(b, "X-Expires-In-Ms: "...)
	b = strconv.AppendInt(b, max(time.Until(a.deadline).Milliseconds(), 1), 10)
	bodyLength := r.Body.Len()
	if bodyLength > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), bodyLength, 10)
	}
	b = append(b, "\r\n\r\n"...)
	rest := r.Body
	if bodyLength <= maxInlineBodyBytes {
		for _, part := range rest {
			b = append(b, part...)
		}
		rest = nil
	}
	*pooled = b
	if a.mayWrite != nil && !a.mayWrite() {
		a.Abort()
		return errNotAllowed
	}
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

// startWriting writes the request; one with a body over maxInlineBodyBytes in another goroutine, while the response is read.
// The returned function interrupts an unfinished write, waits for it to end, and returns the error of the write.
func (a *Attempt) startWriting(c *conn) (join func() error) {
	write := func() error {
		err := a.writeRequest(c)
		switch {
		case err == nil:
		case a.isInterrupted(): // no response is awaited
			c.SetReadDeadline(longAgo)
		default:
			a.extendWithin(c, errorBodyTimeout)
		}
		return err
	}
	if a.req.Body.Len() <= maxInlineBodyBytes {
		err := write()
		return func() error { return err }
	}
	// An endpoint may respond, for example with an error, without reading the whole body.
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
