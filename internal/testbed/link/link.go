// Package link provides a TCP relay on loopback between a gateway and a server that adds a delay and loses responses. A byte stream cannot
// continue after lost data, so a connection that loses a response delivers nothing more to the client, like a connection whose segments
// are dropped until it times out.
package link

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	bufferSize = 32 << 10 // bytes
	// lossStream is the PCG stream of links, so that their random numbers differ from others with the same seed.
	lossStream = 0x6c696e6b
)

// Link is a relay. Its methods are safe for concurrent use.
type Link struct {
	Addr string // host:port at which the relay listens

	target     string
	listener   net.Listener
	goroutines sync.WaitGroup

	mu          sync.Mutex
	random      *rand.Rand
	delay       time.Duration // each way
	loss        float64       // fraction of responses that are lost
	lost        int           // number of lost responses
	connections map[net.Conn]struct{}
	closed      bool
}

// Start starts a relay to target at a free loopback address. With the same seed and the same order of responses, the same responses are
// lost. Close must be called.
func Start(target string, seed uint64) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	l := &Link{
		Addr:        listener.Addr().String(),
		target:      target,
		listener:    listener,
		random:      rand.New(rand.NewPCG(seed, lossStream)),
		connections: map[net.Conn]struct{}{},
	}
	l.goroutines.Go(l.accept)
	return l, nil
}

// SetDelay sets the delay in each direction from now on.
func (l *Link) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// SetLoss sets the fraction, from 0 to 1, of responses that are lost from now on.
func (l *Link) SetLoss(fraction float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loss = fraction
}

// Lost returns how many responses were lost.
func (l *Link) Lost() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// Close closes the listener and all connections, and waits until the relay's goroutines have ended.
func (l *Link) Close() {
	l.closeAll()
	l.goroutines.Wait()
}

func (l *Link) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.listener.Close()
	for connection := range l.connections {
		connection.Close()
	}
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		if !l.track(client) {
			return
		}
		l.goroutines.Go(func() { l.relay(client) })
	}
}

// relay connects to the target and copies in both directions until both have ended.
func (l *Link) relay(client net.Conn) {
	defer l.untrack(client)
	server, err := net.Dial("tcp", l.target)
	if err != nil || !l.track(server) {
		return
	}
	defer l.untrack(server)
	clientEnded := make(chan struct{})
	l.goroutines.Go(func() {
		defer close(clientEnded)
		l.copyStream(server, client, false)
		l.untrack(server)
	})
	if l.copyStream(client, server, true) {
		// A response was lost: keep the client's connection open until the client closes it.
		<-clientEnded
	}
}

// track registers a connection, so that Close closes it. If the link is closed already, it closes the connection and returns false.
func (l *Link) track(connection net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		connection.Close()
		return false
	}
	l.connections[connection] = struct{}{}
	return true
}

// untrack closes a connection and removes it from the registered ones.
func (l *Link) untrack(connection net.Conn) {
	connection.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, connection)
}

// copyStream copies one direction until a side closes its connection or a response is lost. It reports whether a response was lost.
func (l *Link) copyStream(to, from net.Conn, responses bool) (lost bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			delay, lost := l.draw(responses)
			if lost {
				return true
			}
			time.Sleep(delay)
			if _, err := to.Write(buffer[:n]); err != nil {
				return false
			}
		}
		if err != nil {
			return false
		}
	}
}

// draw returns the delay of a chunk of data and, for a response, whether it is lost at random.
func (l *Link) draw(response bool) (delay time.Duration, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost = response && l.loss > 0 && l.random.Float64() < l.loss
	if lost {
		l.lost++
	}
	return l.delay, lost
}
