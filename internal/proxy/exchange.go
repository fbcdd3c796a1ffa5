package proxy

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"time"
)

// exchange is one request on a connection and its answer. It implements Client.
type exchange struct {
	client     *client
	wantsClose bool
	noBody     bool
	closes     bool    // the connection is closed after the answer; set before the request's Done channel is closed
	stream     *stream // nil unless a streamed answer has begun
}

var (
	longAgo             = time.Unix(1, 0) // a deadline in the past, which interrupts blocked calls
	errIncompleteStream = errors.New("streamed answer is incomplete")
)

// finish writes an answer and then lets the reader serve the connection's next request or close the connection.
func (x *exchange) finish(write func(closeAfter bool) error) {
	c := x.client
	x.closes = c.front.closesAfterAnswer(x.wantsClose)
	if write(x.closes) != nil {
		x.closes = true
	}
	c.answerWritten()
	if x.closes {
		c.SetReadDeadline(longAgo) // wakes the reader, which closes the connection
	}
}

// Answer implements Client. A request with surplus bytes behind it is answered with errSurplus instead.
func (x *exchange) Answer(a Answer) {
	if !x.begin() {
		a = errorAnswer(http.StatusBadRequest, errSurplus.Error())
	}
	a.noBody = x.noBody
	x.finish(func(closeAfter bool) error { return x.client.writeAnswer(a, closeAfter) })
}

// Begin implements Client. If surplus bytes are behind the request, the returned writer fails, and Finish answers with errSurplus.
func (x *exchange) Begin(status int, h http.Header, length int64) io.Writer {
	if !x.begin() {
		return failingWriter{errSurplus}
	}
	x.stream = x.client.beginStream(status, h, length, x.wantsClose || x.client.front.stopping.Load() || x.client.front.closing.Load())
	return x.stream
}

// Finish implements Client. An incomplete answer ends with the connection, without the last chunk or the full length.
func (x *exchange) Finish(complete bool) {
	x.finish(func(bool) error {
		switch {
		case x.stream == nil:
			return x.client.writeAnswer(errorAnswer(http.StatusBadRequest, errSurplus.Error()), true)
		case !complete:
			return errIncompleteStream
		}
		return x.stream.Close()
	})
}

// begin begins the answer. It returns false if surplus bytes are behind the request: the connection closes after the answer then.
func (x *exchange) begin() bool {
	if x.client.beginAnswer() == nil {
		return true
	}
	x.wantsClose = true
	x.client.logRejection(http.StatusBadRequest, errSurplus.Error())
	return false
}

// awaitAnswer waits until a request is answered. It ends the request if the client disconnects or sends more than the request in the
// meantime. It returns false if the connection must be closed.
func (x *exchange) awaitAnswer(core *Core, q *Request) bool {
	c := x.client
	_, err := c.br.Peek(1)
	switch {
	case err == nil && c.surplus.Load():
		core.Fail(q, errorAnswer(http.StatusBadRequest, errSurplus.Error()))
	case err == nil: // the next request, as the answer has begun
	case errors.Is(err, os.ErrDeadlineExceeded):
		if c.front.hasExpired() {
			core.End(q)
		} else if !q.isDone() {
			core.Abandon(q)
		}
		if <-q.done; !x.closes {
			c.SetReadDeadline(time.Now().Add(clientIdleTimeout))
		}
	default: // the client disconnected, or closed its sending side and may still read
		core.Abandon(q)
		<-q.done
		return false
	}
	if <-q.done; x.closes {
		c.closeGracefully()
		return false
	}
	return true
}

// failingWriter is a writer whose writes fail with err.
type failingWriter struct{ err error }

func (w failingWriter) Write([]byte) (int, error) { return 0, w.err }

// writeAnswer writes a complete answer. closeAfter adds the header Connection: close.
func (c *client) writeAnswer(a Answer, closeAfter bool) error {
	p := responseBuffers.Get().(*[]byte)
	defer responseBuffers.Put(p)
	b := appendHead((*p)[:0], a.Status, a.Header, closeAfter)
	if a.RetryAfter > 0 && c.front.wholeSeconds {
		b = append(strconv.AppendInt(append(b, "Retry-After: "...), int64(math.Ceil(a.RetryAfter.Seconds())), 10), "\r\n"...)
	} else if a.RetryAfter > 0 {
		b = append(strconv.AppendFloat(append(b, "Retry-After: "...), a.RetryAfter.Seconds(), 'f', 3, 64), "\r\n"...)
	}
	length := int64(len(a.Body))
	if a.noBody && length == 0 {
		length = a.Length
	}
	if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified && length >= 0 { // these statuses need no Content-Length (RFC 9110, section 8.6)
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), length, 10), "\r\n"...)
	}
	b = append(b, "\r\n"...)
	c.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	if !a.noBody && len(a.Body) > 0 {
		if len(b)+len(a.Body) <= cap(b) {
			b = append(b, a.Body...)
		} else {
			parts := net.Buffers{b, a.Body}
			_, err := parts.WriteTo(c.TCPConn)
			return err
		}
	}
	_, err := c.Write(b)
	return err
}

// stream writes the body of a streamed answer.
type stream struct {
	client  *client
	body    io.Writer
	trailer io.Closer
}

// beginStream writes the head of a streamed answer. length is the Content-Length; if it is negative, the body is chunked.
func (c *client) beginStream(status int, h http.Header, length int64, closeAfter bool) *stream {
	p := responseBuffers.Get().(*[]byte)
	defer responseBuffers.Put(p)
	b := appendHead((*p)[:0], status, h, closeAfter)
	s := &stream{client: c, body: c.TCPConn}
	if length >= 0 {
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), length, 10), "\r\n"...)
	} else {
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
		w := httputil.NewChunkedWriter(c.TCPConn)
		s.body, s.trailer = w, w
	}
	c.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	_, _ = c.Write(append(b, "\r\n"...)) // an error is returned again by the first write of the body
	return s
}

// Write writes a part of the body. It times out if the client does not read.
func (s *stream) Write(p []byte) (int, error) {
	s.client.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	return s.body.Write(p)
}

// Close writes the end of a complete body.
func (s *stream) Close() error {
	if s.trailer == nil {
		return nil
	}
	if err := s.trailer.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(s.client.TCPConn, "\r\n") // no trailers
	return err
}

// appendHead appends a response head, without the length and the final empty line. It removes the hop-by-hop fields from h.
func appendHead(b []byte, status int, h http.Header, closeAfter bool) []byte {
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10)
	b = append(append(append(b, ' '), http.StatusText(status)...), "\r\n"...)
	for name, values := range removeHopByHop(h) {
		for _, v := range values {
			b = append(append(append(append(b, name...), ": "...), v...), "\r\n"...)
		}
	}
	if closeAfter {
		b = append(b, "Connection: close\r\n"...)
	}
	return b
}
