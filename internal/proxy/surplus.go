package proxy

import "errors"

// errSurplus is why a request is rejected behind which bytes have come before its answer. Clients send one request at a time: such
// bytes belong to a body that is longer than its framing says, or are an attempt at request smuggling. Whether they have been read
// already depends on how they happened to arrive, so bytes in the reader's buffer and in the socket count alike.
var errSurplus = errors.New("more came than the request")

// requestAccepted records that the bytes read so far belong to a request that is now accepted. What comes before its answer is surplus.
func (c *client) requestAccepted() {
	c.reading.Lock()
	defer c.reading.Unlock()
	c.bytesRead = false
	c.awaitingAnswer = true
}

// hasSurplus reports whether bytes have come behind a request that was read completely.
func (c *client) hasSurplus() bool {
	if c.br.Buffered() > 0 {
		return true
	}
	unread, _ := c.peek()
	return unread
}

// stillWaits reports whether the client of the accepted request waits for the answer and has sent nothing behind the request. The
// goroutine that ends the request otherwise may be scheduled late on a busy machine, so each attempt asks before it sends, without
// waiting for that goroutine.
func (c *client) stillWaits() bool {
	unread, disconnected := c.peek()
	return !unread && !disconnected && !c.surplus.Load()
}

// beginAnswer begins the answer to the accepted request: what comes from now on belongs to the next request. It returns errSurplus if
// bytes have come before.
func (c *client) beginAnswer() error {
	c.reading.Lock()
	defer c.reading.Unlock()
	if unread, _ := c.peek(); unread {
		c.surplus.Store(true)
	}
	c.awaitingAnswer = false
	if c.surplus.Load() {
		return errSurplus
	}
	return nil
}
