package cluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// maxPacketsInFlight limits the delayed packets of a relay; packets beyond the limit are dropped.
	maxPacketsInFlight = 4096
	maxPacketSize      = 64 << 10 // bytes
	relayBufferSize    = 32 << 10 // bytes
)

// relay forwards TCP connections and UDP packets from one process to another. UDP packets are forwarded only in that direction.
type relay struct {
	address    string
	target     string
	forward    *link // from the connecting process to the target
	backward   *link // from the target to the connecting process
	tcp        net.Listener
	udp        *net.UDPConn
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu          sync.Mutex
	connections map[net.Conn]struct{}
	closed      bool
}

// newRelay listens on address for TCP and UDP until close is called.
func newRelay(address, target string, forward, backward *link) (*relay, error) {
	r := &relay{address: address, target: target, forward: forward, backward: backward, connections: map[net.Conn]struct{}{}}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	var err error
	if r.tcp, err = net.Listen("tcp", address); err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	at := r.tcp.Addr().(*net.TCPAddr)
	if r.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port}); err != nil {
		r.tcp.Close()
		return nil, fmt.Errorf("relay: %w", err)
	}
	r.goroutines.Go(r.accept)
	r.goroutines.Go(r.relayPackets)
	return r, nil
}

// close closes the listeners and all connections, and waits for the relay's goroutines.
func (r *relay) close() {
	r.cancel()
	r.tcp.Close()
	r.udp.Close()
	r.closeConnections()
	r.goroutines.Wait()
}

func (r *relay) closeConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for connection := range r.connections {
		connection.Close()
	}
}

// track registers a connection that close closes. If the relay is already closed, it closes the connection and returns false.
func (r *relay) track(connection net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		connection.Close()
		return false
	}
	r.connections[connection] = struct{}{}
	return true
}

// untrack closes a connection and removes its registration.
func (r *relay) untrack(connection net.Conn) {
	connection.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, connection)
}

func (r *relay) accept() {
	for {
		client, err := r.tcp.Accept()
		if err != nil {
			return
		}
		if r.track(client) {
			r.goroutines.Go(func() { r.relayConnection(client) })
		}
	}
}

// relayConnection connects to the target as soon as the forward link lets it, and copies both directions until both have ended.
func (r *relay) relayConnection(client net.Conn) {
	defer r.untrack(client)
	if r.forward.waitToForward(r.ctx) != nil {
		return
	}
	server, err := net.Dial("tcp", r.target)
	if err != nil || !r.track(server) {
		return
	}
	defer r.untrack(server)
	var both sync.WaitGroup
	both.Go(func() { r.copyStream(server, client, r.forward) })
	both.Go(func() { r.copyStream(client, server, r.backward) })
	both.Wait()
}

// copyStream copies one direction of a connection. Data that the sender wrote before it closed the connection is still delivered,
// after the link's delay.
func (r *relay) copyStream(to, from net.Conn, l *link) {
	buffer := make([]byte, relayBufferSize)
	for {
		n, err := from.Read(buffer)
		if l.waitToForward(r.ctx) != nil {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			closeWrite(to, err)
			return
		}
	}
}

// closeWrite forwards the end of a stream: it half-closes the connection after io.EOF and closes it after any other error.
func closeWrite(to net.Conn, reason error) {
	if connection, ok := to.(*net.TCPConn); ok && errors.Is(reason, io.EOF) {
		_ = connection.CloseWrite()
		return
	}
	_ = to.Close()
}

func (r *relay) relayPackets() {
	target, err := net.ResolveUDPAddr("udp", r.target)
	if err != nil {
		return
	}
	inFlight := make(chan struct{}, maxPacketsInFlight)
	buffer := make([]byte, maxPacketSize)
	for {
		n, _, err := r.udp.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		for _, delay := range r.forward.packetDelays() {
			if delay == 0 {
				_, _ = r.udp.WriteToUDP(buffer[:n], target)
				continue
			}
			r.sendLater(slices.Clone(buffer[:n]), target, delay, inFlight)
		}
	}
}

// sendLater sends a packet after a delay, or drops it if too many packets are in flight. It does not block.
func (r *relay) sendLater(packet []byte, target *net.UDPAddr, delay time.Duration, inFlight chan struct{}) {
	select {
	case inFlight <- struct{}{}:
	default:
		return
	}
	r.goroutines.Go(func() {
		defer func() { <-inFlight }()
		if sleep(r.ctx, delay) == nil {
			_, _ = r.udp.WriteToUDP(packet, target)
		}
	})
}
