package testbed

import (
	"net"
	"sync"
	"testing"
)

// Peer accepts connections on a loopback address and runs a script on each. Its methods are safe for concurrent use.
type Peer struct {
	Addr string // host:port at which the peer listens

	listener   net.Listener
	goroutines sync.WaitGroup

	mu          sync.Mutex
	connections []net.Conn // all accepted connections, including closed ones
	closed      bool
}

// NewPeer starts a peer and closes it when the test ends. For each connection, script runs in its own goroutine with the connection and its
// number, counted from 0. The connection is closed when script returns. Close waits for all scripts, so a script must return when its
// connection is closed.
func NewPeer(t testing.TB, script func(connection net.Conn, number int)) *Peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &Peer{Addr: listener.Addr().String(), listener: listener}
	p.goroutines.Go(func() { p.accept(script) })
	t.Cleanup(p.Close)
	return p
}

// accept accepts connections until the listener is closed.
func (p *Peer) accept(script func(connection net.Conn, number int)) {
	for number := 0; ; number++ {
		connection, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.register(connection)
		p.goroutines.Go(func() {
			defer connection.Close()
			script(connection, number)
		})
	}
}

// register records a connection, so that Close closes it. If the peer is closed already, it closes the connection.
func (p *Peer) register(connection net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		connection.Close()
	}
	p.connections = append(p.connections, connection)
}

// Connections returns how many connections were accepted, including closed ones.
func (p *Peer) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.connections)
}

// Close closes the listener and all connections, and waits until all scripts have returned. It may be called more than once.
func (p *Peer) Close() {
	p.listener.Close()
	p.closeConnections()
	p.goroutines.Wait()
}

func (p *Peer) closeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, connection := range p.connections {
		connection.Close()
	}
}

// Reset closes a TCP connection so that the other side receives a reset. It panics for other kinds of connections.
func Reset(connection net.Conn) {
	_ = connection.(*net.TCPConn).SetLinger(0)
	connection.Close()
}

// RefusingAddress returns a loopback address at which nothing listens.
func RefusingAddress(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
