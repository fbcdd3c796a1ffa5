package testbed

import (
	"net"
	"sync"
	"testing"
)

// Peer accepts connections on a loopback address and runs a script on each. Its methods may be called by several goroutines at
// once.
type Peer struct {
	Addr string // host:port on which it listens

	listener   net.Listener
	goroutines sync.WaitGroup

	mu          sync.Mutex
	connections []net.Conn // all that were ever accepted
	closed      bool
}

// NewPeer starts a peer and closes it when the test ends. Each connection runs script in a goroutine of its own, with the
// connection's number counted from 0, and is closed when script returns. Close waits for all scripts, so a script must return
// once its connection is closed.
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

// register counts a connection. One that was accepted while Close ran is closed at once.
func (p *Peer) register(connection net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		connection.Close()
	}
	p.connections = append(p.connections, connection)
}

// Connections returns how many connections were accepted, closed ones included.
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

// RefusingAddress returns a loopback address on which nothing listens.
func RefusingAddress(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
