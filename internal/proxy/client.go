package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	maxHeadBytes       = 8 << 10
	requestReadTimeout = 2500 * time.Millisecond // for a complete request; of the first one from the connection's start
	clientIdle         = 90 * time.Second        // between two requests of a connection
	clientStall        = 10 * time.Second
	lingerTimeout      = 500 * time.Millisecond
	maxLingerBytes     = 1 << 20
)

// client is the connection of one client, served by one goroutine.
type client struct {
	*net.TCPConn
	front            *Front
	raw              syscall.RawConn
	br               *bufio.Reader
	idleSince        atomic.Int64 // ns on the clientSet's clock since which nothing is read or answered; 0 while something is
	readAhead        atomic.Bool  // the reader waits behind bytes that came before the answer
	served           atomic.Bool
	headPendingSince atomic.Int64 // ns on the clientSet's clock since which a request head is awaited; 0 if none is, -1 once the client was shed
	prefix           netip.Prefix
	peer             Peer

	reading   sync.Mutex // held while bytes are read, and while the connection is closed as idle
	bytesRead bool       // since the last request was accepted
	closed    atomic.Bool
}

var errHeadTooLong = errors.New("the head is too long")

// Read reads from the connection and marks it as not idle in one step. In two steps, a request that was read in between
// could be closed with the idle connection, and its client could not tell that it was not processed.
func (c *client) Read(p []byte) (n int, err error) {
	if werr := c.raw.Read(func(fd uintptr) bool {
		c.reading.Lock()
		defer c.reading.Unlock()
		if c.closed.Load() {
			err = net.ErrClosed
			return true
		}
		for n, err = syscall.Read(int(fd), p); err == syscall.EINTR; n, err = syscall.Read(int(fd), p) {
		}
		if n > 0 {
			c.idleSince.Store(0)
			c.bytesRead = true
		}
		return err != syscall.EAGAIN
	}); werr != nil {
		return 0, werr
	}
	if n == 0 && err == nil && len(p) > 0 {
		err = io.EOF
	}
	return max(n, 0), err
}

// requestAccepted notes that the bytes read so far belong to a request that is now accepted.
func (c *client) requestAccepted() {
	c.reading.Lock()
	defer c.reading.Unlock()
	c.bytesRead = false
}

// answerWritten marks the connection as idle unless bytes of a next request have been read.
func (c *client) answerWritten() {
	c.reading.Lock()
	defer c.reading.Unlock()
	if !c.bytesRead {
		c.front.conns.markIdle(c)
	}
}

// closeIdle closes the connection if idle still returns true and nothing waits to be read.
func (c *client) closeIdle(idle func() bool) bool {
	c.reading.Lock()
	ends := idle()
	if waits, _ := c.peek(); waits { // last, since bytes may arrive at any time
		ends = false
	}
	ends = ends && !c.closed.Swap(true)
	c.reading.Unlock()
	if ends { // not under the lock: closing waits for the reader
		_ = c.closeConnection()
	}
	return ends
}

// peek reports whether bytes wait to be read, and whether the client has closed its side with nothing left to read.
func (c *client) peek() (waits, left bool) {
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits = n > 0
		left = n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return waits, left || err != nil
}

// Close closes the connection and releases its descriptor, once.
func (c *client) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	return c.closeConnection()
}

func (c *client) closeConnection() error {
	err := c.TCPConn.Close()
	c.front.conns.remove(c)
	return err
}

// serve serves the connection's requests one after the other until it ends.
func (c *client) serve() {
	defer func() { _ = c.Close() }()
	defer func() { // a panic in serving one client must not end the others
		if p := recover(); p != nil {
			slog.Error("serving a client", "panic", p, "stack", string(debug.Stack()))
		}
	}()
	c.br = bufio.NewReaderSize(c, maxHeadBytes)
	// A client that connects and sends nothing, or half a request, holds a descriptor that others need.
	until := time.Now().Add(requestReadTimeout)
	c.SetReadDeadline(until)
	for c.serveNext(until) {
		until = time.Time{}
	}
}

// serveNext serves one request, which must be complete by until or, if that is zero, within requestReadTimeout of its
// first byte. It returns false if the connection ends with it.
func (c *client) serveNext(until time.Time) bool {
	if _, err := c.br.Peek(1); err != nil {
		return false
	}
	c.idleSince.Store(0)
	if c.headPendingSince.Load() == 0 {
		c.front.conns.headPending(c)
	}
	if until.IsZero() {
		until = time.Now().Add(requestReadTimeout)
	}
	c.SetReadDeadline(until)
	head, err := c.readHead()
	if !c.front.conns.headArrived(c) {
		return false
	}
	switch {
	case errors.Is(err, errHeadTooLong):
		c.reject(http.StatusRequestHeaderFieldsTooLarge, err.Error())
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.reject(http.StatusRequestTimeout, "the head has not come whole")
		return false
	case err != nil && c.br.Buffered() == 0:
		return false
	case err != nil:
		c.reject(http.StatusBadRequest, "half a request")
		return false
	}
	length, coded := framing(head)
	r, err := http.ReadRequest(c.br)
	if err != nil {
		c.reject(http.StatusBadRequest, "not a request")
		return false
	}
	// net/http silently drops the length if there is an encoding as well, and an encoding in HTTP/1.0. An endpoint that
	// prefers the other one would find another request in the body: request smuggling.
	if coded && (length || len(r.TransferEncoding) == 0) {
		c.reject(http.StatusBadRequest, "where the body ends is not clear")
		return false
	}
	if text := malformed(r); text != "" {
		c.reject(http.StatusBadRequest, text)
		return false
	}
	return c.front.handleRequest(c, r, until)
}

// readHead waits for a complete request head and returns it without consuming it.
func (c *client) readHead() ([]byte, error) {
	for n := 1; ; {
		_, err := c.br.Peek(n)
		b, _ := c.br.Peek(c.br.Buffered())
		if end := headEnd(b); end > 0 {
			return b[:end], nil
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, errHeadTooLong
		}
		if err != nil {
			return nil, err
		}
		n = len(b) + 1
	}
}

// headEnd returns the index behind the empty line that ends a head; 0 if it has not arrived.
func headEnd(b []byte) int {
	for i, ch := range b {
		if ch != '\n' {
			continue
		}
		if rest := bytes.TrimPrefix(b[i+1:], []byte("\r")); len(rest) > 0 && rest[0] == '\n' {
			return len(b) - len(rest) + 1
		}
	}
	return 0
}

// framing reports whether a head has a Content-Length and whether it has a Transfer-Encoding.
func framing(head []byte) (length, coded bool) {
	for line := range bytes.Lines(head) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		name = bytes.TrimSpace(name)
		length = length || bytes.EqualFold(name, []byte("Content-Length"))
		coded = coded || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	return length, coded
}

// awaitAnswer waits until a request is answered and watches for the client's end meanwhile. It returns false if the
// connection ends with the request.
func (c *client) awaitAnswer(core *Core, q *Request, x *exchange) bool {
	_, err := c.br.Peek(1)
	if err == nil && !q.isDone() { // a pipelined request
		// Reading on shows whether the client leaves, after which its request must not be forwarded.
		c.readAhead.Store(true)
		for err == nil && !x.finished.Load() {
			_, err = c.br.Peek(c.br.Buffered() + 1)
		}
		c.readAhead.Store(false)
	}
	switch {
	case err == nil:
	case errors.Is(err, bufio.ErrBufferFull): // the full buffer hides whether the client leaves
		guard := time.NewTimer(time.Until(q.deadline) + abandonMargin)
		defer guard.Stop()
		select {
		case <-q.done:
		case <-guard.C:
			core.Abandon(q)
		case <-c.front.expired:
			core.End(q)
		}
	case errors.Is(err, os.ErrDeadlineExceeded):
		if c.front.hasExpired() {
			core.End(q)
		} else if !q.isDone() {
			core.Abandon(q)
		}
		if <-q.done; !x.closes {
			c.SetReadDeadline(time.Now().Add(clientIdle))
		}
	default: // the client left, or has closed its sending side and may still read
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

// closeGracefully closes the sending side and reads for a while, so that the answer is not lost to a reset.
func (c *client) closeGracefully() {
	c.front.conns.markIdle(c)
	_ = c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.br, maxLingerBytes)
}

// reject answers with an error and closes the connection.
func (c *client) reject(status int, text string) {
	c.answerAndClose(Answer{Status: status, Body: []byte(text + "\n")})
}

// answerAndClose writes an answer and closes the connection.
func (c *client) answerAndClose(a Answer) {
	_ = c.writeAnswer(a, true)
	c.closeGracefully()
}

// writeAnswer writes a complete answer; last adds Connection: close.
func (c *client) writeAnswer(a Answer, last bool) error {
	p := responseBuffers.Get().(*[]byte)
	defer responseBuffers.Put(p)
	b := appendHead((*p)[:0], a.Status, a.Header, last)
	if a.RetryAfter > 0 && c.front.wholeSeconds {
		b = append(strconv.AppendInt(append(b, "Retry-After: "...), int64(math.Ceil(a.RetryAfter.Seconds())), 10), "\r\n"...)
	} else if a.RetryAfter > 0 {
		b = append(strconv.AppendFloat(append(b, "Retry-After: "...), a.RetryAfter.Seconds(), 'f', 3, 64), "\r\n"...)
	}
	length := int64(len(a.Body))
	if a.noBody && length == 0 {
		length = a.Length
	}
	if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified && length >= 0 { // these have none (RFC 9110, 8.6)
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), length, 10), "\r\n"...)
	}
	b = append(b, "\r\n"...)
	c.SetWriteDeadline(time.Now().Add(clientStall))
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

// exchange is one request of a connection. It implements Client.
type exchange struct {
	client     *client
	wantsClose bool
	noBody     bool
	closes     bool // the connection ends with the answer; set before Done is closed
	finished   atomic.Bool
	stream     *stream
}

var (
	longAgo   = time.Unix(1, 0)
	errBroken = errors.New("the answer broke off")
)

// finish writes an answer and lets the connection go on or end.
func (x *exchange) finish(write func(last bool) error) {
	c := x.client
	x.closes = c.front.closesAfterAnswer(x.wantsClose)
	if write(x.closes) != nil {
		x.closes = true
	}
	c.answerWritten()
	if x.finished.Store(true); x.closes || c.readAhead.Load() {
		c.SetReadDeadline(longAgo) // wakes the reader, which closes the connection or serves the buffered request
	}
}

func (x *exchange) Answer(a Answer) {
	a.noBody = x.noBody
	x.finish(func(last bool) error { return x.client.writeAnswer(a, last) })
}

func (x *exchange) Begin(status int, h http.Header, length int64) io.Writer {
	x.stream = x.client.beginStream(status, h, length, x.wantsClose || x.client.front.stopping.Load() || x.client.front.closing.Load())
	return x.stream
}

func (x *exchange) Finish(whole bool) {
	x.finish(func(bool) error {
		if !whole {
			return errBroken
		}
		return x.stream.Close()
	})
}

// stream writes the body of a streamed answer.
type stream struct {
	client  *client
	body    io.Writer
	trailer io.Closer
}

// beginStream writes the head of a streamed answer.
func (c *client) beginStream(status int, h http.Header, length int64, last bool) *stream {
	p := responseBuffers.Get().(*[]byte)
	defer responseBuffers.Put(p)
	b := appendHead((*p)[:0], status, h, last)
	s := &stream{client: c, body: c.TCPConn}
	if length >= 0 {
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), length, 10), "\r\n"...)
	} else {
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
		w := httputil.NewChunkedWriter(c.TCPConn)
		s.body, s.trailer = w, w
	}
	c.SetWriteDeadline(time.Now().Add(clientStall))
	_, _ = c.Write(append(b, "\r\n"...)) // an error recurs with the first write of the body
	return s
}

// Write writes a part of the body, with a timeout against clients that do not read.
func (s *stream) Write(p []byte) (int, error) {
	s.client.SetWriteDeadline(time.Now().Add(clientStall))
	return s.body.Write(p)
}

// Close ends a complete body.
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
