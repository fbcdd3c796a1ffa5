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

const (
	DefaultMaxBodyBytes = 64 << 10 // bytes, the protocol's; longer ones of bad clients would eat what others' bodies need
	firstPiece          = 4 << 10
)

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

// read reads a body, which is to be whole by until. What it took of memory is the caller's to give back.
func (n *Front) read(c *client, r *http.Request, memory Quota, until time.Time) (body backend.Body, took int64, err error) {
	if r.ContentLength == 0 || r.Body == nil {
		return nil, 0, nil
	}
	if r.ContentLength > n.maxBodyBytes {
		return nil, 0, errTooLong
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		c.SetWriteDeadline(time.Now().Add(clientStall))
		if _, err := io.WriteString(c.TCPConn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, 0, err
		}
	}
	var total int64
	piece := int64(firstPiece)
	for {
		if r.ContentLength > 0 {
			piece = min(piece, r.ContentLength-total+1)
		}
		if !memory.Acquire(piece) {
			return nil, took, errNoMemory
		}
		took += piece
		part := make([]byte, piece)
		got := 0
		for got < len(part) && err == nil {
			if c.SetReadDeadline(until); n.ending() {
				return nil, took, errEnding
			}
			var k int
			k, err = r.Body.Read(part[got:])
			got += k
		}
		if total += int64(got); total > n.maxBodyBytes {
			return nil, took, errTooLong
		}
		if got > 0 {
			body = append(body, part[:got])
		}
		if errors.Is(err, io.EOF) {
			return body, took, nil
		}
		if err != nil {
			return nil, took, err
		}
		piece *= 2
	}
}
