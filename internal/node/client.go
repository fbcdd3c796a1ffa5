package node

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	headLimit   = 32 << 10
	headTime    = 5 * time.Second
	clientIdle  = 90 * time.Second // between two requests of a client
	clientStall = 10 * time.Second
	linger      = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

type client struct {
	*net.TCPConn
	node          *Node
	br            *bufio.Reader
	head          int64
	quiet         atomic.Int64 // since when nothing is asked or read, on the node's clock; 0: something is
	busy, writing atomic.Bool  // a request is with the module; its answer is being written
	served        atomic.Bool
	gone          atomic.Bool
}

var errHeadTooLong = errors.New("the head is too long")

// Read bounds the head, and notes that the connection is not idle.
func (c *client) Read(p []byte) (int, error) {
	if c.head == 0 {
		return 0, errHeadTooLong
	}
	if c.head > 0 {
		p = p[:min(int64(len(p)), c.head)]
	}
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.quiet.Store(0)
		if c.head > 0 {
			c.head -= int64(n)
		}
	}
	return n, err
}

// Close gives the descriptor back, once.
func (c *client) Close() error {
	if c.gone.Swap(true) {
		return nil
	}
	err := c.TCPConn.Close()
	c.node.conns.remove(c)
	return err
}

// serve serves the client's requests, one after the other.
func (c *client) serve() {
	defer c.Close()
	defer func() { // a fault in serving one client is not to end the others
		if p := recover(); p != nil {
			slog.Error("serving a client", "panic", p, "stack", string(debug.Stack()))
		}
	}()
	c.head = -1
	c.br = bufio.NewReaderSize(c, 4<<10)
	c.SetReadDeadline(time.Now().Add(clientIdle))
	for c.next() {
	}
}

// next serves one request; false if it was the last one of the connection.
func (c *client) next() bool {
	if _, err := c.br.Peek(1); err != nil {
		return false
	}
	c.quiet.Store(0)
	c.SetReadDeadline(time.Now().Add(headTime))
	c.head = headLimit
	r, err := http.ReadRequest(c.br)
	c.head = -1
	if err != nil {
		if errors.Is(err, errHeadTooLong) {
			c.reject(http.StatusRequestHeaderFieldsTooLarge, "the head is too long")
		} else if !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
			c.reject(http.StatusBadRequest, "not a request")
		}
		return false
	}
	if text := malformed(r); text != "" {
		c.reject(http.StatusBadRequest, text)
		return false
	}
	return c.node.request(c, r)
}

func (c *client) watch(q *request) bool {
	_, err := c.br.Peek(1)
	switch {
	case err == nil: // the next request, or one that comes too early
		if !q.isDone() {
			guard := time.NewTimer(time.Until(q.deadline) + guardTime)
			defer guard.Stop()
			select {
			case <-q.done:
			case <-guard.C:
				c.node.abandon(q)
			}
		}
	case errors.Is(err, os.ErrDeadlineExceeded):
		if !q.isDone() {
			c.node.abandon(q)
		}
		if <-q.done; !q.last {
			c.SetReadDeadline(time.Now().Add(clientIdle))
		}
	default: // the client left, or has ended its sending and may yet read
		c.node.abandon(q)
		<-q.done
		return false
	}
	if <-q.done; q.last {
		c.hangUp()
		return false
	}
	return true
}

func (c *client) hangUp() {
	c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(linger))
	io.CopyN(io.Discard, c.br, lingerBytes)
}

func (c *client) reject(status int, text string) {
	c.write(answer{status: status, body: []byte(text + "\n")}, true)
	c.hangUp()
}

// write writes a whole answer.
func (c *client) write(a answer, last bool) error {
	p := buffers.Get().(*[]byte)
	defer buffers.Put(p)
	b := appendHead((*p)[:0], a.status, a.header, last)
	if a.retryAfter > 0 {
		b = append(strconv.AppendFloat(append(b, "Retry-After: "...), a.retryAfter.Seconds(), 'f', 3, 64), "\r\n"...)
	}
	b = append(strconv.AppendInt(append(b, "Content-Length: "...), int64(len(a.body)), 10), "\r\n\r\n"...)
	c.SetWriteDeadline(time.Now().Add(clientStall))
	if !a.noBody && len(a.body) > 0 {
		if len(b)+len(a.body) <= cap(b) {
			b = append(b, a.body...)
		} else {
			parts := net.Buffers{b, a.body}
			_, err := parts.WriteTo(c.TCPConn)
			return err
		}
	}
	_, err := c.TCPConn.Write(b)
	return err
}

type stream struct {
	c    *client
	body io.Writer
	end  io.Closer
}

// begin writes the head of a long answer.
func (c *client) begin(h http.Header, length int64, last bool) *stream {
	p := buffers.Get().(*[]byte)
	defer buffers.Put(p)
	b := appendHead((*p)[:0], http.StatusOK, h, last)
	s := &stream{c: c, body: c.TCPConn}
	if length >= 0 {
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), length, 10), "\r\n"...)
	} else {
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
		w := httputil.NewChunkedWriter(c.TCPConn)
		s.body, s.end = w, w
	}
	c.SetWriteDeadline(time.Now().Add(clientStall))
	c.TCPConn.Write(append(b, "\r\n"...)) // an error shows with the first part
	return s
}

// Write passes on a part. A client that stops reading is not waited for.
func (s *stream) Write(p []byte) (int, error) {
	s.c.SetWriteDeadline(time.Now().Add(clientStall))
	return s.body.Write(p)
}

// Close ends an answer that is whole.
func (s *stream) Close() error {
	if s.end == nil {
		return nil
	}
	if err := s.end.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(s.c.TCPConn, "\r\n") // no trailers
	return err
}

func appendHead(b []byte, status int, h http.Header, last bool) []byte {
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10)
	b = append(append(append(b, ' '), http.StatusText(status)...), "\r\n"...)
	for name, values := range endToEnd(h) {
		for _, v := range values {
			b = append(append(append(append(b, name...), ": "...), v...), "\r\n"...)
		}
	}
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	return b
}
