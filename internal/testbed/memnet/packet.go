package memnet

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"
)

// maxPackets is the maximum number of packets that an address queues until they are read. Further packets are lost.
const maxPackets = 512

type packet struct {
	from    *net.UDPAddr
	content []byte
}

// packetConn implements net.PacketConn.
type packetConn struct {
	network  *Net
	address  *net.UDPAddr
	received chan packet
	closed   chan struct{}
	once     sync.Once // guards closing
}

func (p *packetConn) LocalAddr() net.Addr { return p.address }

func (p *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case received := <-p.received:
		return copy(b, received.content), received.from, nil
	case <-p.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo does not block. As on a real network, the loss of a packet is not an error.
func (p *packetConn) WriteTo(b []byte, address net.Addr) (int, error) {
	select {
	case <-p.closed:
		return 0, net.ErrClosed
	default:
	}
	p.network.deliver(packet{from: p.address, content: slices.Clone(b)}, address)
	return len(b), nil
}

// deliver queues a packet at its destination, or counts it as lost.
func (n *Net) deliver(sent packet, address net.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	receiver := n.packets[address.String()]
	if receiver == nil {
		n.lost++
		return
	}
	select {
	case receiver.received <- sent:
	default:
		n.lost++
	}
}

func (p *packetConn) Close() error {
	p.once.Do(func() {
		p.network.mu.Lock()
		delete(p.network.packets, p.address.String())
		p.network.mu.Unlock()
		close(p.closed)
	})
	return nil
}

// Deadlines are not supported, because fleet members do not set them on packet connections.
func (p *packetConn) SetDeadline(time.Time) error      { return errors.ErrUnsupported }
func (p *packetConn) SetReadDeadline(time.Time) error  { return errors.ErrUnsupported }
func (p *packetConn) SetWriteDeadline(time.Time) error { return errors.ErrUnsupported }
