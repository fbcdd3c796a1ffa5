package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
)

// Network is how a process reaches others and is reached: sockets, or a test's substitute. Addresses of its listeners are
// *net.TCPAddr.
type Network interface {
	Listen(address string) (net.Listener, error)
	ListenPacket(address *net.UDPAddr) (net.PacketConn, error)
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// socketNetwork is this machine's TCP and UDP.
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

// errPartitioned means that SetPartition separates this process from a peer.
var errPartitioned = errors.New("partitioned from the peer")

// SetPartition separates this process from each address for which separated returns true, from now on: packets to them are lost and
// new connections fail; open ones stay. Nil ends the partition. It is for tests and experiments.
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

// route returns the address by which a peer is reached from here.
func (n *Node) route(address string) string {
	if via, ok := n.options.Via[address]; ok {
		return via
	}
	return address
}

// dial connects to a peer by its own address.
func (n *Node) dial(ctx context.Context, address string) (net.Conn, error) {
	if n.partitionedFrom(address) {
		return nil, fmt.Errorf("%s: %w", address, errPartitioned)
	}
	conn, err := n.options.Network.Dial(ctx, n.route(address))
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counters: &n.traffic}, nil
}

// Private reports whether an address is localhost, or an IP address that is loopback, private or link-local.
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

// Port returns the port of an address, 0 where it has none.
func Port(address string) int {
	_, text, _ := net.SplitHostPort(address)
	port, _ := strconv.Atoi(text)
	return port
}
