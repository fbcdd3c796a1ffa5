package membership

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"robindrum/internal/peer"
)

const (
	// streamKind is the kind of stream that replaces memberlist's TCP connections.
	streamKind     = "members"
	maxPacketBytes = 64 << 10
)

// transport carries memberlist's packets and streams over a peer.Node.
type transport struct {
	node    *peer.Node
	packets chan *memberlist.Packet
	streams chan net.Conn
	done    chan struct{} // closed by Shutdown
	once    sync.Once
}

func newTransport(node *peer.Node) *transport {
	t := &transport{
		node:    node,
		packets: make(chan *memberlist.Packet),
		streams: make(chan net.Conn),
		done:    make(chan struct{}),
	}
	accept := func(http.Header) (http.Header, error) { return http.Header{}, nil }
	node.HandleStream(streamKind, accept, func(conn net.Conn) {
		select {
		case t.streams <- conn:
		case <-t.done:
			conn.Close()
		}
	})
	go t.readPackets()
	return t
}

// readPackets passes packets to memberlist until the node is closed or a packet arrives after Shutdown.
func (t *transport) readPackets() {
	buffer := make([]byte, maxPacketBytes)
	for {
		size, from, err := t.node.ReadPacket(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || size == 0 {
			continue
		}
		packet := &memberlist.Packet{Buf: slices.Clone(buffer[:size]), From: from, Timestamp: time.Now()}
		select {
		case t.packets <- packet:
		case <-t.done:
			return
		}
	}
}

// FinalAdvertiseAddr returns the configured advertise address unchanged.
func (t *transport) FinalAdvertiseAddr(ip string, port int) (net.IP, int, error) {
	address := net.ParseIP(ip)
	if address == nil {
		return nil, 0, fmt.Errorf("advertise address must be an IP address, got %q", ip)
	}
	if v4 := address.To4(); v4 != nil {
		address = v4
	}
	return address, port, nil
}

// WriteTo sends a packet.
func (t *transport) WriteTo(packet []byte, address string) (time.Time, error) {
	return time.Now(), t.node.SendPacket(address, packet)
}

// PacketCh returns the received packets.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh returns the accepted streams.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// DialTimeout opens a stream to another member.
func (t *transport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, _, err := t.node.Stream(ctx, address, streamKind, http.Header{})
	return conn, err
}

// Shutdown stops passing packets and streams to memberlist. The node stays open; its owner closes it.
func (t *transport) Shutdown() error {
	t.once.Do(func() { close(t.done) })
	return nil
}
