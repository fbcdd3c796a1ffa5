package platform

import (
	"net"
	"sync"
	"time"
)

const (
	crowdStep = 2 * time.Millisecond // between two idle connections
	redial    = 50 * time.Millisecond
)

// Crowd keeps idle connections open to an address, as far as they are accepted.
type Crowd struct {
	address string
	stopped chan struct{}
	holders sync.WaitGroup
}

// StartCrowd opens so many idle connections.
func StartCrowd(address string, connections int) *Crowd {
	c := &Crowd{address: address, stopped: make(chan struct{})}
	for i := range connections {
		c.holders.Go(func() { c.hold(time.Duration(i) * crowdStep) })
	}
	return c
}

// Stop closes the connections.
func (c *Crowd) Stop() {
	close(c.stopped)
	c.holders.Wait()
}

// hold keeps one connection open, and opens it again when the node closes it.
func (c *Crowd) hold(delay time.Duration) {
	for !c.pause(delay) {
		delay = redial
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			continue
		}
		closed := make(chan struct{})
		c.holders.Go(func() {
			_, _ = conn.Read(make([]byte, 1))
			close(closed)
		})
		select {
		case <-closed:
		case <-c.stopped:
		}
		conn.Close()
	}
}

// pause waits for d and reports whether the crowd was stopped.
func (c *Crowd) pause(d time.Duration) (stopped bool) {
	select {
	case <-c.stopped:
		return true
	case <-time.After(d):
		return false
	}
}
