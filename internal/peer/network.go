package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
)

// Network opens listeners and connections: on sockets, or on a simulated network in tests. The address of a listener must be a
// *net.TCPAddr.
type Network interface {
	Listen(address string) (net.Listener, error)
	ListenPacket(address *net.UDPAddr) (net.PacketConn, error)
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// socketNetwork implements Network with the TCP and UDP sockets of this machine.
type socketNetwork struct{}

func (socketNetwork) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

func (socketNetwork) ListenPacket(address *net.UDPAddr) (net.PacketConn, error) {
	return net.ListenUDP("udp", address)
}

func (socketNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// errPartitioned means that SetPartition has separated this process from the peer.
var errPartitioned = errors.New("partitioned from the peer")

// SetPartition simulates a network partition for tests and experiments: packets to each address for which separated returns true are
// dropped and new connections to it fail. Open connections are not affected. Nil ends the partition.
func (n *Node) SetPartition(separated func(address string) bool) {
	if separated == nil {
		n.partition.Store(nil)
		return
	}
	n.partition.Store(&separated)
}

func (n *Node) partitionedFrom(address string) bool {
	separated := n.partition.Load()
	return separated != nil && (*separated)(address)
}

// route returns the address at which this process reaches a peer; see Options.Via.
func (n *Node) route(address string) string {
	if via, ok := n.options.Via[address]; ok {
		return via
	}
	return address
}

// dial opens a connection to the peer with this address, which route may translate.
func (n *Node) dial(ctx context.Context, address string) (net.Conn, error) {
	if n.partitionedFrom(address) {
		return nil, fmt.Errorf("dial %s: %w", address, errPartitioned)
	}
	conn, err := n.options.Network.Dial(ctx, n.route(address))
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counters: &n.traffic}, nil
}

// Private reports whether the host of an address is localhost or a loopback, private or link-local IP address.
func Private(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	if host == "localhost" {
		return true
	}
	ip, err := netip.ParseAddr(host)
	return err == nil && (ip.IsLoopback() || ip.IsPrivate() || ip.IsLinkLocalUnicast())
}

// Port returns the port of an address, or 0 if it has none.
func Port(address string) int {
	_, text, _ := net.SplitHostPort(address)
	port, _ := strconv.Atoi(text)
	return port
}
