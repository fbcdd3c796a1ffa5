// Package peer is a process's one address among the processes of its fleet: HTTP/1.1 calls, streams that begin as HTTP upgrades, and
// UDP packets to the same port. A header names the fleet; processes of other fleets are rejected.
//
// Nothing is encrypted or authenticated: whoever reaches the address is trusted. Listen on loopback or a private network.
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

// fleetHeader names the fleet of the process that calls.
const fleetHeader = "Robindrum-Fleet"

const (
	maxCalls             = 4096 // in progress at once
	maxStreams           = 4096 // open at once
	maxResolvedAddresses = 4096 // that are cached
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

// ErrRemoteRejected means that the other side is of another fleet, or rejected a call or stream for a reason that a retry does not
// change.
var ErrRemoteRejected = errors.New("rejected by the other side")

// Options configure a Node.
type Options struct {
	Fleet   string // name of the fleet; processes of others are rejected
	Address string // host:port to listen on; port 0: any
	// Via maps the addresses of peers to the ones by which this process reaches them (port forwarding, a tunnel).
	Via map[string]string
	// Network is what Address is on. Nil: this machine's sockets.
	Network Network
	Log     *slog.Logger
}

// Node is a process's address among its fleet. Its methods may be called by several goroutines at once, except that handlers are
// registered before Serve.
type Node struct {
	options   Options
	listener  net.Listener
	packets   net.PacketConn
	mux       *http.ServeMux
	server    *http.Server
	client    *http.Client
	served    chan struct{} // closed when the server ends
	calls     atomic.Int64  // being handled
	sentBytes atomic.Int64
	traffic   counters
	partition atomic.Pointer[func(address string) bool] // nil: none

	mu       sync.Mutex
	closed   bool
	streams  map[net.Conn]struct{}   // open ones
	resolved map[string]*net.UDPAddr // by the peer's own address
}

// Listen opens the address for TCP and UDP. The node answers calls once Serve is called.
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

// listen opens the same port for TCP and UDP. A port chosen for TCP may be taken for UDP, and then it tries others.
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

// Addr returns the address that the node listens on.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Sent returns the bytes of calls and packets that were sent, without those of streams.
func (n *Node) Sent() int64 { return n.sentBytes.Load() }

// Serve starts to answer calls and streams, until Close. It does not block and must be called at most once.
func (n *Node) Serve() {
	go func() {
		defer close(n.served)
		_ = n.server.Serve(n.listener) // ends with Close
	}()
}

// Close ends the node and closes all its connections.
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
	case <-time.After(closeTimeout): // Serve was never called
	}
}

// Mux returns the handlers by path, for handlers of other kinds than Handle's.
func (n *Node) Mux() *http.ServeMux { return n.mux }

// serveHTTP rejects calls of other fleets and calls beyond maxCalls, and hands others to their handlers.
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
