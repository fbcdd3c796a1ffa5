package backend

import (
	"errors"
	"os"
	"time"
)

// responseEnd is what follows the announced end of a response on its connection.
type responseEnd uint8

const (
	endOfData     responseEnd = iota // nothing
	endConnection                    // the endpoint has closed the connection, or the attempt was interrupted
	endResponse                      // another response, which nobody has asked for
	endMismatch                      // anything else: the announced length does not fit the body
)

// settleShare is the part of an attempt's remaining time for which its response may be held back.
const settleShare = 400

// settleTime returns how long to wait for what follows a response. A request with little time left waits less, down to a time
// that covers two writes of an endpoint in direct succession.
func (a *Attempt) settleTime() time.Duration {
	share := time.Until(a.deadline) / settleShare
	return min(a.upstream.pool.settleTime(), max(share, minSettleTime))
}

// awaitEnd waits for settle to see what follows a response that has been read to its announced end. Bytes that
// do not begin another response may be the rest of the body, in which case only a part of it has been read, or show that the end
// of the body was not where the head announced it. The endpoint may send them in a later write than the rest of the response.
func (a *Attempt) awaitEnd(c *conn, settle time.Duration) responseEnd {
	c.attempt = nil
	for {
		if !a.extendDeadline(c, time.Now().Add(settle)) {
			return endConnection
		}
		_, err := c.br.Peek(1)
		switch {
		case err == nil && c.awaitVersion() == nil:
			return endResponse
		case err == nil:
			return endMismatch
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return endConnection
		case c.isUsable():
			return endOfData
		}
		// The deadline expired only because this process was not scheduled: bytes, or the end of the connection, have arrived.
	}
}
