// Package memnet provides an in-memory network for the members of a fleet: connections and packets without sockets. With it, many members
// can run on the simulated clock of a testing/synctest bubble, independent of the machine's load. The network has no latency, and loses
// packets only if the receiver's queue is full or nothing listens at their destination.
package memnet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
)

// maxBacklog is the maximum number of connections that a listener queues until they are accepted.
const maxBacklog = 512

// errRefused is returned by Dial if nothing listens at the address.
var errRefused = errors.New("connection refused")

// Net is a network. Its methods are safe for concurrent use.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*listener   // by address
	packets   map[string]*packetConn // by address
	lost      int64                  // number of lost packets
}

// New returns a network on which nothing listens.
func New() *Net {
	return &Net{listeners: map[string]*listener{}, packets: map[string]*packetConn{}}
}

// Lost returns how many packets were sent to an address at which nothing listens, or to a receiver whose queue was full.
func (n *Net) Lost() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lost
}

// Listen listens for connections at an address of the form ip:port. It returns an error if the address is in use.
func (n *Net) Listen(address string) (net.Listener, error) {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[resolved.String()] != nil {
		return nil, fmt.Errorf("listen %s: address already in use", address)
	}
	l := &listener{network: n, address: resolved, backlog: make(chan net.Conn, maxBacklog), closed: make(chan struct{})}
	n.listeners[resolved.String()] = l
	return l, nil
}

// ListenPacket listens for packets at an address. It returns an error if the address is in use. The connection does not support
// deadlines.
func (n *Net) ListenPacket(address *net.UDPAddr) (net.PacketConn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.packets[address.String()] != nil {
		return nil, fmt.Errorf("listen %s: address already in use", address)
	}
	p := &packetConn{network: n, address: address, received: make(chan packet, maxPackets), closed: make(chan struct{})}
	n.packets[address.String()] = p
	return p, nil
}

// Dial connects to an address of the form ip:port. It blocks while the listener's backlog is full, until ctx ends.
func (n *Net) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("dial %s: %w", address, errRefused)
	}
	client, server := net.Pipe()
	select {
	case l.backlog <- server:
		return client, nil
	case <-l.closed:
		return nil, fmt.Errorf("dial %s: %w", address, errRefused)
	case <-ctx.Done():
		return nil, fmt.Errorf("dial %s: %w", address, ctx.Err())
	}
}

// listener implements net.Listener.
type listener struct {
	network *Net
	address *net.TCPAddr
	backlog chan net.Conn
	closed  chan struct{}
	once    sync.Once // guards closing
}

func (l *listener) Addr() net.Addr { return l.address }

func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
	}
	select {
	case connection := <-l.backlog:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close releases the address and closes the connections in the backlog.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address.String())
		l.network.mu.Unlock()
		close(l.closed)
		l.closeBacklog()
	})
	return nil
}

func (l *listener) closeBacklog() {
	for {
		select {
		case connection := <-l.backlog:
			connection.Close()
		default:
			return
		}
	}
}
