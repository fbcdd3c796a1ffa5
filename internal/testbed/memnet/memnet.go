// Package memnet is a network in memory for processes' addresses of a fleet: connections and packets without sockets, so that many members
// run on the clock of a testing/synctest bubble, whatever else the machine does. It is faster than any network and loses only what a
// reader has no room for.
package memnet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// Queues are bounded as sockets' are.
const (
	maxWaiting = 512 // connections that nobody has accepted
	maxPackets = 512 // packets that nobody has read
)

// errRefused is that nobody listens there.
var errRefused = errors.New("connection refused")

// Net is one network. Its methods may be called by several goroutines at once.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*listener
	packets   map[string]*packetConn
	lost      int64
}

// New gives an empty one.
func New() *Net { return &Net{listeners: map[string]*listener{}, packets: map[string]*packetConn{}} }

// Lost is how many packets came to nobody, or to a reader without room.
func (n *Net) Lost() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lost
}

// Listen takes an address for connections. It has to be one of IP and port.
func (n *Net) Listen(addr string) (net.Listener, error) {
	a, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[a.String()] != nil {
		return nil, fmt.Errorf("listen %s: address already in use", addr)
	}
	l := &listener{n: n, addr: a, waiting: make(chan net.Conn, maxWaiting), closed: make(chan struct{})}
	n.listeners[a.String()] = l
	return l, nil
}

// ListenPacket takes an address for packets.
func (n *Net) ListenPacket(addr *net.UDPAddr) (net.PacketConn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.packets[addr.String()] != nil {
		return nil, fmt.Errorf("listen %s: address already in use", addr)
	}
	p := &packetConn{n: n, addr: addr, in: make(chan packet, maxPackets), closed: make(chan struct{})}
	n.packets[addr.String()] = p
	return p, nil
}

// Dial connects to an address.
func (n *Net) Dial(ctx context.Context, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("dial %s: %w", addr, errRefused)
	}
	here, there := net.Pipe()
	select {
	case l.waiting <- there:
		return here, nil
	case <-l.closed:
		return nil, fmt.Errorf("dial %s: %w", addr, errRefused)
	case <-ctx.Done():
		return nil, fmt.Errorf("dial %s: %w", addr, ctx.Err())
	}
}

type listener struct {
	n       *Net
	addr    *net.TCPAddr
	waiting chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Addr() net.Addr { return l.addr }

func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
	}
	select {
	case c := <-l.waiting:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close frees the address, and resets who waits.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.n.mu.Lock()
		delete(l.n.listeners, l.addr.String())
		l.n.mu.Unlock()
		close(l.closed)
		for {
			select {
			case c := <-l.waiting:
				c.Close()
				continue
			default:
			}
			return
		}
	})
	return nil
}

type packet struct {
	from *net.UDPAddr
	b    []byte
}

type packetConn struct {
	n      *Net
	addr   *net.UDPAddr
	in     chan packet
	closed chan struct{}
	once   sync.Once
}

func (p *packetConn) LocalAddr() net.Addr { return p.addr }

func (p *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case k := <-p.in:
		return copy(b, k.b), k.from, nil
	case <-p.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo sends, and loses what nobody listens for or has room for, as a network does.
func (p *packetConn) WriteTo(b []byte, addr net.Addr) (int, error) {
	select {
	case <-p.closed:
		return 0, net.ErrClosed
	default:
	}
	p.n.mu.Lock()
	defer p.n.mu.Unlock()
	if to := p.n.packets[addr.String()]; to != nil {
		select {
		case to.in <- packet{p.addr, slices.Clone(b)}:
			return len(b), nil
		default:
		}
	}
	p.n.lost++
	return len(b), nil
}

func (p *packetConn) Close() error {
	p.once.Do(func() {
		p.n.mu.Lock()
		delete(p.n.packets, p.addr.String())
		p.n.mu.Unlock()
		close(p.closed)
	})
	return nil
}

// Deadlines of packets are used by nobody here.
func (p *packetConn) SetDeadline(time.Time) error      { return errors.ErrUnsupported }
func (p *packetConn) SetReadDeadline(time.Time) error  { return errors.ErrUnsupported }
func (p *packetConn) SetWriteDeadline(time.Time) error { return errors.ErrUnsupported }
