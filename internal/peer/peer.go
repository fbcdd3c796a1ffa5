// Package peer provides communication between the processes of a fleet. Each process has one address, which accepts HTTP/1.1 calls,
// streams that begin as HTTP upgrades, and UDP packets on the same port. Calls and streams carry the name of the fleet in a header;
// processes of other fleets are rejected.
//
// Nothing is encrypted or authenticated: every process that can reach the address is trusted. Listen only on loopback or a private
// network.
package peer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// fleetHeader is the header with the name of the caller's fleet.
const fleetHeader = "Robindrum-Fleet"

const (
	maxCalls             = 4096 // handled concurrently
	maxStreams           = 4096 // open concurrently
	maxResolvedAddresses = 4096 // in the cache
	maxReplyBytes        = 64 << 20
	maxHeaderBytes       = 16 << 10

	dialTimeout       = 3 * time.Second
	readHeaderTimeout = 5 * time.Second
	idleConnTimeout   = 30 * time.Second
	closeTimeout      = time.Second

	maxIdleConns        = 512
	maxIdleConnsPerPeer = 2

	listenAttempts = 16
)

// ErrRemoteRejected means that the peer belongs to another fleet, or rejected a call or stream for another reason that makes a retry
// useless.
var ErrRemoteRejected = errors.New("rejected by the peer")

// Options configure a Node.
type Options struct {
	Fleet   string // name of the fleet; processes of other fleets are rejected
	Address string // host:port to listen on; port 0 selects a free port
	// Via maps addresses of peers to the addresses at which this process reaches them, for port forwarding or a tunnel.
	Via map[string]string
	// Network is the network of Address. The default is this machine's TCP and UDP sockets.
	Network Network
	Log     *slog.Logger
}

// Node is a process's connection to its fleet. Its methods may be called concurrently, except that all handlers must be registered
// before Serve.
type Node struct {
	options   Options
	listener  net.Listener
	packets   net.PacketConn
	mux       *http.ServeMux
	server    *http.Server
	client    *http.Client
	served    chan struct{} // closed when Serve's goroutine ends
	calls     atomic.Int64  // calls being handled
	sentBytes atomic.Int64
	traffic   counters
	partition atomic.Pointer[func(address string) bool] // nil: no partition

	mu       sync.Mutex
	closed   bool
	streams  map[net.Conn]struct{}   // open streams
	resolved map[string]*net.UDPAddr // by peer address, before Via
}

// Listen opens the address for TCP and UDP. The node handles calls and streams only after Serve is called.
func Listen(options Options) (*Node, error) {
	if options.Network == nil {
		options.Network = socketNetwork{}
	}
	n := &Node{
		options:  options,
		mux:      http.NewServeMux(),
		served:   make(chan struct{}),
		streams:  map[net.Conn]struct{}{},
		resolved: map[string]*net.UDPAddr{},
	}
	if err := n.listen(); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	n.client = &http.Client{Transport: &http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return n.dial(ctx, address) },
		MaxIdleConnsPerHost: maxIdleConnsPerPeer,
		MaxIdleConns:        maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}}
	n.server = &http.Server{
		Handler:           http.HandlerFunc(n.serveHTTP),
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(options.Log.Handler(), slog.LevelDebug),
	}
	return n, nil
}

// listen opens the same port for TCP and UDP. A free port selected for TCP may be in use for UDP; listen then tries other ports.
func (n *Node) listen() error {
	_, port, err := net.SplitHostPort(n.options.Address)
	anyPort := err == nil && port == "0"
	var lastErr error
	for range listenAttempts {
		listener, err := n.options.Network.Listen(n.options.Address)
		if err != nil {
			return err
		}
		address := listener.Addr().(*net.TCPAddr)
		packets, err := n.options.Network.ListenPacket(&net.UDPAddr{IP: address.IP, Port: address.Port})
		if err == nil {
			n.listener = countedListener{Listener: listener, counters: &n.traffic}
			n.packets = packets
			return nil
		}
		listener.Close()
		lastErr = err
		if !anyPort {
			break
		}
	}
	return lastErr
}

// Addr returns the address on which the node listens.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Sent returns the approximate number of bytes sent in calls and packets, without streams.
func (n *Node) Sent() int64 { return n.sentBytes.Load() }

// Serve starts a goroutine that handles calls and streams until Close. It does not block and must be called at most once.
func (n *Node) Serve() {
	go func() {
		defer close(n.served)
		_ = n.server.Serve(n.listener) // returns after Close
	}()
}

// Close stops the node and closes all its connections.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	for conn := range n.streams {
		conn.Close()
	}
	n.mu.Unlock()
	_ = n.server.Close()
	n.listener.Close()
	_ = n.packets.Close()
	n.client.CloseIdleConnections()
	select {
	case <-n.served:
	case <-time.After(closeTimeout): // Serve may never have been called
	}
}

// Mux returns the node's ServeMux, to register handlers for which Handle is not suitable.
func (n *Node) Mux() *http.ServeMux { return n.mux }

// serveHTTP rejects calls from other fleets and calls in excess of maxCalls, and passes other calls to their handlers.
func (n *Node) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if fleet := r.Header.Get(fleetHeader); fleet != n.options.Fleet {
		http.Error(w, fmt.Sprintf("this is fleet %q, not %q", n.options.Fleet, fleet), http.StatusMisdirectedRequest)
		return
	}
	defer n.calls.Add(-1)
	if n.calls.Add(1) > maxCalls {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many calls at once", http.StatusServiceUnavailable)
		return
	}
	n.mux.ServeHTTP(w, r)
}
