// Package peer is a process's one address among the processes of its fleet: HTTP/1.1 calls, streams that begin as one of
// them, and UDP packets to the same port. Other fleets are told apart by name at the first line and refused.
//
// Danger: nothing here is encrypted, and who reaches the address is believed. It stands on loopback unless told otherwise.
package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	fleetHeader = "Robindrum-Fleet"
	// maxStreams bounds streams and calls that are open at once; more are refused.
	maxStreams = 4096
	maxReply   = 64 << 20
	maxHead    = 16 << 10
	// dialTime bounds how long a connection may take to come up.
	dialTime = 3 * time.Second
)

// ErrRemoteRejected is that the other side is of another fleet, or refused for a reason that a repetition does not change.
var ErrRemoteRejected = errors.New("refused by the other side")

// Options are what a Node is told.
type Options struct {
	Fleet   string // its name; processes of another one are refused
	Address string // host:port to listen on; port 0: any
	// Via gives other addresses by which peers are reached from here, by their own one (port forwarding, a tunnel).
	Via map[string]string
	// Network is what the address is on; nil: this machine's sockets.
	Network Network
	Log     *slog.Logger
}

// Network is how a process reaches others, and is reached: sockets, or a stand-in's. Its listeners' addresses are a *net.TCPAddr.
type Network interface {
	Listen(addr string) (net.Listener, error)
	ListenPacket(addr *net.UDPAddr) (net.PacketConn, error)
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// sockets are this machine's.
type sockets struct{}

func (sockets) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
func (sockets) ListenPacket(addr *net.UDPAddr) (net.PacketConn, error) {
	return net.ListenUDP("udp", addr)
}
func (sockets) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTime}).DialContext(ctx, "tcp", addr)
}

// Node is a process's place among its fleet. Its methods may be called by several goroutines at once; handlers are
// registered before Serve.
type Node struct {
	opt     Options
	tcp     net.Listener
	udp     net.PacketConn
	mux     *http.ServeMux
	server  *http.Server
	client  *http.Client
	done    chan struct{}
	open    atomic.Int64
	sent    atomic.Int64
	traffic counters
	cut     atomic.Pointer[func(addr string) bool]
	mu      sync.Mutex
	streams map[net.Conn]struct{}
	via     map[string]*net.UDPAddr
	closed  bool
}

// Listen opens the address, for TCP and UDP.
func Listen(opt Options) (*Node, error) {
	n := &Node{opt: opt, mux: http.NewServeMux(), done: make(chan struct{}), streams: map[net.Conn]struct{}{}, via: map[string]*net.UDPAddr{}}
	if n.opt.Network == nil {
		n.opt.Network = sockets{}
	}
	var err error
	for range 16 { // a port that is free for TCP may be taken for UDP
		if n.tcp, err = n.opt.Network.Listen(opt.Address); err != nil {
			return nil, fmt.Errorf("fleet: %w", err)
		}
		at := n.tcp.Addr().(*net.TCPAddr)
		if n.udp, err = n.opt.Network.ListenPacket(&net.UDPAddr{IP: at.IP, Port: at.Port}); err == nil {
			break
		}
		n.tcp.Close()
		if _, port, _ := net.SplitHostPort(opt.Address); port != "0" {
			break
		}
	}
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	n.tcp = countedListener{n.tcp, &n.traffic}
	n.client = &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return n.dial(ctx, addr) },
		MaxIdleConnsPerHost: 2, MaxIdleConns: 512, IdleConnTimeout: 30 * time.Second, DisableCompression: true}}
	n.server = &http.Server{Handler: http.HandlerFunc(n.serve), ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: maxHead,
		ErrorLog: slog.NewLogLogger(opt.Log.Handler(), slog.LevelDebug)}
	return n, nil
}

// Addr is where it listens.
func (n *Node) Addr() string { return n.tcp.Addr().String() }

// Sent is how many bytes of calls and packets have been sent, without what streams carry.
func (n *Node) Sent() int64 { return n.sent.Load() }

// Serve answers until Close.
func (n *Node) Serve() {
	go func() {
		defer close(n.done)
		_ = n.server.Serve(n.tcp) // ends with Close
	}()
}

// Close ends it: what is open is cut.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	for c := range n.streams {
		c.Close()
	}
	n.mu.Unlock()
	n.server.Close()
	n.tcp.Close()
	n.udp.Close()
	n.client.CloseIdleConnections()
	select {
	case <-n.done:
	case <-time.After(time.Second): // Serve was never called
	}
}

func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	if f := r.Header.Get(fleetHeader); f != n.opt.Fleet {
		http.Error(w, fmt.Sprintf("this is fleet %q, not %q", n.opt.Fleet, f), http.StatusMisdirectedRequest)
		return
	}
	if n.open.Add(1) > maxStreams {
		n.open.Add(-1)
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many calls at once", http.StatusServiceUnavailable)
		return
	}
	defer n.open.Add(-1)
	n.mux.ServeHTTP(w, r)
}

// StatusError is an error that the caller of a handler is to see with a status.
type StatusError struct {
	Status int
	Err    error
}

func (f *StatusError) Error() string { return f.Err.Error() }
func (f *StatusError) Unwrap() error { return f.Err }

// Handle has fn answer calls of a path: a body of at most so many bytes, in JSON, and an answer in JSON. An error that is a
// Failure has its status, any other 500.
func (n *Node) Handle(path string, most int64, fn func(ctx context.Context, body []byte) (any, error)) {
	n.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		v, err := fn(r.Context(), body)
		if err != nil {
			status := http.StatusInternalServerError
			var f *StatusError
			if errors.As(err, &f) {
				status = f.Status
			}
			http.Error(w, err.Error(), status)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v) // to one who has left
	})
}

// Mux takes handlers of other kinds.
func (n *Node) Mux() *http.ServeMux { return n.mux }

// errCut is that a rig keeps this process from a peer.
var errCut = errors.New("cut off")

// SetPartition keeps this process from each address for which cut holds, from now on: packets there are lost, and connections come to nothing;
// what is open stays. nil: from none. It is for rigs that part a fleet.
func (n *Node) SetPartition(cut func(addr string) bool) {
	if cut == nil {
		n.cut.Store(nil)
		return
	}
	n.cut.Store(&cut)
}

func (n *Node) reaches(addr string) bool {
	cut := n.cut.Load()
	return cut == nil || !(*cut)(addr)
}

// dial connects to a peer, by the way that is set for it.
func (n *Node) dial(ctx context.Context, addr string) (net.Conn, error) {
	if !n.reaches(addr) {
		return nil, fmt.Errorf("%s: %w", addr, errCut)
	}
	if via, ok := n.opt.Via[addr]; ok {
		addr = via
	}
	c, err := n.opt.Network.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &counted{c, &n.traffic}, nil
}

// Call posts in, as JSON, and reads the answer into out, which may be nil. It ends with ctx.
func (n *Node) Call(ctx context.Context, addr, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	r.Header.Set(fleetHeader, n.opt.Fleet)
	n.sent.Add(int64(len(body)) + 200)
	n.traffic.calls.Add(1)
	resp, err := n.client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return fmt.Errorf("%s of %s: %w", path, addr, err)
	}
	if resp.StatusCode != http.StatusOK {
		err := fmt.Errorf("%s of %s: %s", path, addr, bytes.TrimSpace(text))
		if resp.StatusCode == http.StatusMisdirectedRequest || resp.StatusCode == http.StatusForbidden {
			err = fmt.Errorf("%w: %w", ErrRemoteRejected, err)
		}
		return &StatusError{Status: resp.StatusCode, Err: err}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(text, out); err != nil {
		return fmt.Errorf("%s of %s: %w", path, addr, err)
	}
	return nil
}

// HandleStream has streams of a kind taken: greet looks at what the other side says of itself and gives what is answered,
// or why it is refused; take owns the connection from then on.
func (n *Node) HandleStream(kind string, greet func(http.Header) (http.Header, error), take func(net.Conn)) {
	n.mux.HandleFunc("GET /fleet/v1/stream/"+kind, func(w http.ResponseWriter, r *http.Request) {
		answer, err := greet(r.Header)
		if err != nil {
			http.Error(w, err.Error(), http.StatusForbidden)
			return
		}
		c, rw, err := http.NewResponseController(w).Hijack()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_ = c.SetDeadline(time.Now().Add(dialTime))
		fmt.Fprintf(rw, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: robindrum-%s\r\n", kind)
		_ = answer.Write(rw)
		fmt.Fprint(rw, "\r\n")
		if rw.Flush() != nil || !n.keep(c) {
			c.Close()
			return
		}
		_ = c.SetDeadline(time.Time{})
		take(&stream{Conn: c, n: n, r: rw.Reader})
	})
}

// Stream opens a stream of a kind to a peer; say is what this side says of itself.
func (n *Node) Stream(ctx context.Context, addr, kind string, say http.Header) (net.Conn, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTime)
	defer cancel()
	n.traffic.streams.Add(1)
	c, err := n.dial(ctx, addr)
	if err != nil {
		return nil, nil, err
	}
	end := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	r, err := http.NewRequest(http.MethodGet, "http://"+addr+"/fleet/v1/stream/"+kind, nil)
	if err != nil {
		c.Close()
		return nil, nil, err
	}
	r.Header = say.Clone()
	r.Header.Set(fleetHeader, n.opt.Fleet)
	r.Header.Set("Connection", "Upgrade")
	r.Header.Set("Upgrade", "robindrum-"+kind)
	in := bufio.NewReader(c)
	err = r.Write(c)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(in, r)
	}
	if err == nil && resp.StatusCode != http.StatusSwitchingProtocols {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxHead))
		err = fmt.Errorf("%w: %s of %s: %s", ErrRemoteRejected, kind, addr, bytes.TrimSpace(text))
	}
	if err == nil && (!end() || !n.keep(c)) {
		err = context.Cause(ctx)
		if err == nil {
			err = net.ErrClosed
		}
	}
	if err != nil {
		end()
		c.Close()
		return nil, nil, err
	}
	return &stream{Conn: c, n: n, r: in}, resp.Header, nil
}

func (n *Node) keep(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || len(n.streams) >= maxStreams {
		return false
	}
	n.streams[c] = struct{}{}
	return true
}

// stream is a connection behind its greeting, some of which may have been read ahead.
type stream struct {
	net.Conn
	n *Node
	r io.Reader
}

func (s *stream) Read(b []byte) (int, error) { return s.r.Read(b) }

func (s *stream) Close() error {
	s.n.mu.Lock()
	delete(s.n.streams, s.Conn)
	s.n.mu.Unlock()
	return s.Conn.Close()
}

// SendPacket sends a UDP packet to a peer.
func (n *Node) SendPacket(addr string, b []byte) error {
	to, err := n.resolve(addr)
	if err != nil {
		return err
	}
	n.sent.Add(int64(len(b)))
	n.traffic.packets.Add(1)
	n.traffic.packetBytes.Add(int64(len(b)))
	if !n.reaches(addr) {
		return nil // as what is lost on the way
	}
	_, err = n.udp.WriteTo(b, to)
	return err
}

func (n *Node) resolve(addr string) (*net.UDPAddr, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a := n.via[addr]; a != nil {
		return a, nil
	}
	to := addr
	if via, ok := n.opt.Via[addr]; ok {
		to = via
	}
	a, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return nil, err
	}
	if len(n.via) >= maxStreams { // addresses come from outside
		clear(n.via)
	}
	n.via[addr] = a
	return a, nil
}

// ReadPacket waits for the next packet. It is for one goroutine; Close ends it.
func (n *Node) ReadPacket(b []byte) (int, net.Addr, error) { return n.udp.ReadFrom(b) }

// Private tells whether an address is one that only a private network leads to.
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

// Port is the port of an address, 0 where it has none.
func Port(address string) int {
	_, port, _ := net.SplitHostPort(address)
	p, _ := strconv.Atoi(port)
	return p
}
