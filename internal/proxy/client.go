package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	maxHeadBytes       = 8 << 10
	requestReadTimeout = 2500 * time.Millisecond // to receive a complete request; for a connection's first request, measured from its accept
	clientIdleTimeout  = 90 * time.Second        // between two requests on a connection
	clientWriteTimeout = 10 * time.Second        // for one write to a client
	lingerTimeout      = 500 * time.Millisecond  // for reading from a connection after its sending side is closed
	maxLingerBytes     = 1 << 20
)

// client is the connection of one client. One goroutine serves it.
type client struct {
	*net.TCPConn
	front            *Front
	raw              syscall.RawConn
	br               *bufio.Reader
	idleSince        atomic.Int64 // when the connection became idle, in ns of the clientSet's clock; 0 while a request is read or answered
	served           atomic.Bool  // a complete request head has been read
	headPendingSince atomic.Int64 // since when a request head is awaited, in ns of the clientSet's clock; 0 if none is, -1 once the client is shed
	prefix           netip.Prefix // of the client's address; set only if the clientSet sheds silent clients
	peer             Peer

	reading        sync.Mutex  // held while bytes are read, while an answer begins, and while the connection is closed as idle
	bytesRead      bool        // bytes were read since the last request was accepted
	awaitingAnswer bool        // a request is accepted, and its answer has not begun
	surplus        atomic.Bool // bytes came while an answer was awaited; stored with reading held
	closed         atomic.Bool
}

var errHeadTooLong = errors.New("the head is too long")

// Read reads from the connection and atomically marks it as not idle. Otherwise the connection could be closed as idle after
// a request was read from it, and the client could not tell that the request was not processed.
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
			if c.awaitingAnswer {
				c.surplus.Store(true)
			}
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

// answerWritten marks the connection as idle unless bytes of the next request have been read.
func (c *client) answerWritten() {
	c.reading.Lock()
	defer c.reading.Unlock()
	if !c.bytesRead {
		c.front.conns.markIdle(c)
	}
}

// closeIdle closes the connection if idle still returns true and no bytes are waiting to be read. It reports whether it closed
// the connection.
func (c *client) closeIdle(idle func() bool) bool {
	c.reading.Lock()
	closing := idle()
	if unread, _ := c.peek(); unread { // checked last, since bytes may arrive at any time
		closing = false
	}
	closing = closing && !c.closed.Swap(true)
	c.reading.Unlock()
	if closing { // after the lock is released, since closing waits for the reader
		_ = c.closeConnection()
	}
	return closing
}

// peek reports whether bytes are waiting to be read, and whether the client has disconnected or closed its sending side and no
// bytes are left to read.
func (c *client) peek() (unread, disconnected bool) {
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = n > 0
		disconnected = n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return unread, disconnected || err != nil
}

// Close closes the connection and releases its descriptor. Further calls do nothing.
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

// serve serves the connection's requests one after the other and then closes the connection.
func (c *client) serve() {
	defer func() { _ = c.Close() }()
	defer func() { // a panic while serving one client must not affect the others
		if panicked := recover(); panicked != nil {
			slog.Error("panic while serving a client", "panic", panicked, "stack", string(debug.Stack()))
		}
	}()
	c.br = bufio.NewReaderSize(c, maxHeadBytes)
	// The timeout starts now, since a client that sends nothing or an incomplete request holds a descriptor that others need.
	readDeadline := time.Now().Add(requestReadTimeout)
	c.SetReadDeadline(readDeadline)
	for c.serveNext(readDeadline) {
		readDeadline = time.Time{}
	}
}

// serveNext serves one request, which must be complete by readDeadline or, if that is zero, within requestReadTimeout of its
// first byte. It returns false if the connection must be closed.
func (c *client) serveNext(readDeadline time.Time) bool {
	if _, err := c.br.Peek(1); err != nil {
		return false
	}
	c.idleSince.Store(0)
	if c.headPendingSince.Load() == 0 {
		c.front.conns.headPending(c)
	}
	if readDeadline.IsZero() {
		readDeadline = time.Now().Add(requestReadTimeout)
	}
	c.SetReadDeadline(readDeadline)
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
	hasLength, hasEncoding := framing(head)
	r, err := http.ReadRequest(c.br)
	if err != nil {
		c.reject(http.StatusBadRequest, "not a request")
		return false
	}
	// net/http silently ignores the Content-Length if there is also a Transfer-Encoding, and ignores a Transfer-Encoding in
	// HTTP/1.0. An endpoint that decides differently would parse part of the body as another request (request smuggling).
	if hasEncoding && (hasLength || len(r.TransferEncoding) == 0) {
		c.reject(http.StatusBadRequest, "where the body ends is not clear")
		return false
	}
	if text := validateRequest(r); text != "" {
		c.reject(http.StatusBadRequest, text)
		return false
	}
	return c.front.handleRequest(c, r, readDeadline)
}

// readHead waits for a complete request head and returns it without consuming it.
func (c *client) readHead() ([]byte, error) {
	for n := 1; ; {
		_, err := c.br.Peek(n)
		buffered, _ := c.br.Peek(c.br.Buffered())
		if end := headEnd(buffered); end > 0 {
			return buffered[:end], nil
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, errHeadTooLong
		}
		if err != nil {
			return nil, err
		}
		n = len(buffered) + 1
	}
}

// headEnd returns the index after the empty line that ends a request head, or 0 if the head is incomplete.
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

// framing reports whether a request head has a Content-Length and whether it has a Transfer-Encoding.
func framing(head []byte) (hasLength, hasEncoding bool) {
	for line := range bytes.Lines(head) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		name = bytes.TrimSpace(name)
		hasLength = hasLength || bytes.EqualFold(name, []byte("Content-Length"))
		hasEncoding = hasEncoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	return hasLength, hasEncoding
}

// closeGracefully closes the sending side and then reads for up to lingerTimeout. Closing with unread bytes would send a reset, and
// the client could lose the answer.
func (c *client) closeGracefully() {
	c.front.conns.markIdle(c)
	_ = c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.br, maxLingerBytes)
}

// reject answers with an error status and text, and closes the connection.
func (c *client) reject(status int, text string) {
	c.logRejection(status, text)
	c.answerAndClose(errorAnswer(status, text))
}

func (c *client) logRejection(status int, text string) {
	c.front.events.info("connection closed", "status", status, "reason", text, "client", c.RemoteAddr())
}

func errorAnswer(status int, text string) Answer {
	return Answer{Status: status, Body: []byte(text + "\n")}
}

// answerAndClose writes an answer and closes the connection.
func (c *client) answerAndClose(a Answer) {
	_ = c.writeAnswer(a, true)
	c.closeGracefully()
}
