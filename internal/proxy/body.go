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

// DefaultMaxBodyBytes bounds a request's body where FrontOptions does not, so that one client cannot use up the memory for bodies.
const DefaultMaxBodyBytes = 64 << 10

const firstChunk = 4 << 10 // bytes of a body that are reserved and read at first; each chunk is twice the one before

var (
	errTooLong  = errors.New("the body is too long")
	errNoMemory = errors.New("no memory is left for the body")
	errEnding   = errors.New("the node is ending")
)

type bodyBudget struct{ left atomic.Int64 }

// Acquire books n bytes.
func (b *bodyBudget) Acquire(n int64) bool {
	if b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

// Release returns n bytes.
func (b *bodyBudget) Release(n int64) { b.left.Add(n) }

// readBody reads a body, which must be complete by until. The caller releases the reserved bytes, also after an error.
func (f *Front) readBody(c *client, r *http.Request, memory Quota, until time.Time) (body backend.Body, reserved int64, err error) {
	if r.ContentLength == 0 || r.Body == nil {
		return nil, 0, nil
	}
	if r.ContentLength > f.maxBodyBytes {
		return nil, 0, errTooLong
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		c.SetWriteDeadline(time.Now().Add(clientStall))
		if _, err := io.WriteString(c.TCPConn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, 0, err
		}
	}
	var total int64
	chunk := int64(firstChunk)
	for {
		if r.ContentLength > 0 {
			chunk = min(chunk, r.ContentLength-total+1)
		}
		if !memory.Acquire(chunk) {
			return nil, reserved, errNoMemory
		}
		reserved += chunk
		buffer := make([]byte, chunk)
		filled := 0
		for filled < len(buffer) && err == nil {
			if c.SetReadDeadline(until); f.hasExpired() {
				return nil, reserved, errEnding
			}
			var k int
			k, err = r.Body.Read(buffer[filled:])
			filled += k
		}
		if total += int64(filled); total > f.maxBodyBytes {
			return nil, reserved, errTooLong
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
