package proxy

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"robindrum/internal/backend"
)

// DefaultMaxBodyBytes is the maximum size of a request body if FrontOptions sets none. It keeps one client from using up the
// memory for bodies.
const DefaultMaxBodyBytes = 64 << 10

const firstChunkBytes = 4 << 10 // size of the first chunk of a body; each further chunk is twice as large

var (
	errBodyTooLong  = errors.New("the body is too long")
	errNoBodyMemory = errors.New("no memory is left for the body")
	errShuttingDown = errors.New("the node is ending")
)

// bodyBudget is a Quota of bytes for request bodies.
type bodyBudget struct{ left atomic.Int64 }

// Acquire reserves n bytes, or returns false if fewer are left.
func (b *bodyBudget) Acquire(n int64) bool {
	if b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

// Release gives back n reserved bytes.
func (b *bodyBudget) Release(n int64) { b.left.Add(n) }

// readBody reads a request's body, which must be complete by readDeadline. It reserves memory before it reads each chunk. The
// caller must release the reserved bytes, even after an error.
func (f *Front) readBody(c *client, r *http.Request, memory Quota, readDeadline time.Time) (body backend.Body, reserved int64, err error) {
	if r.ContentLength == 0 || r.Body == nil {
		return nil, 0, nil
	}
	if r.ContentLength > f.maxBodyBytes {
		return nil, 0, errBodyTooLong
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		c.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
		if _, err := io.WriteString(c.TCPConn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, 0, err
		}
	}
	var total int64
	chunk := int64(firstChunkBytes)
	for {
		if r.ContentLength > 0 {
			chunk = min(chunk, r.ContentLength-total+1)
		}
		if !memory.Acquire(chunk) {
			return nil, reserved, errNoBodyMemory
		}
		reserved += chunk
		buffer := make([]byte, chunk)
		filled := 0
		for filled < len(buffer) && err == nil {
			if c.SetReadDeadline(readDeadline); f.hasExpired() {
				return nil, reserved, errShuttingDown
			}
			var n int
			n, err = r.Body.Read(buffer[filled:])
			filled += n
		}
		if total += int64(filled); total > f.maxBodyBytes {
			return nil, reserved, errBodyTooLong
		}
		if filled > 0 {
			body = append(body, buffer[:filled])
		}
		if errors.Is(err, io.EOF) {
			return body, reserved, nil
		}
		if err != nil {
			return nil, reserved, err
		}
		chunk *= 2
	}
}
