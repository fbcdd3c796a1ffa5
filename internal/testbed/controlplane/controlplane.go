// Package controlplane provides a scripted control plane that speaks xDS over gRPC on loopback, written from the protocol's
// specification. It serves resources to state-of-the-world and incremental clients, and records all requests. For fault injection it can
// withdraw and replay resources, send invalid responses, stall, stop, and restart with another version.
package controlplane

import (
	"cmp"
	"fmt"
	"net"
	"sync"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
)

// maxResponseSize bounds a response, in bytes.
const maxResponseSize = 1 << 30

// Server is a control plane. Its methods are safe for concurrent use.
type Server struct {
	// Addr is the server's address as host:port. It stays the same across restarts.
	Addr string

	mu       sync.Mutex
	grpc     *grpc.Server  // nil while the server is stopped
	serving  chan struct{} // closed when grpc has stopped
	types    map[string]*resourceType
	streams  map[*stream]struct{}
	opened   int // number of streams ever opened
	nonce    int
	requests []Request
	received chan struct{} // closed and replaced with each request
	stalled  chan struct{} // nil if not stalled; closed by Resume
	muted    bool          // send nothing except by SendRaw
	capacity *capacity     // nil if unlimited
}

// Start starts a control plane at a loopback address, or at any free loopback address if address is empty. It runs until Stop.
func Start(address string) (*Server, error) {
	s := &Server{
		Addr:     cmp.Or(address, "127.0.0.1:0"),
		types:    map[string]*resourceType{},
		streams:  map[*stream]struct{}{},
		received: make(chan struct{}),
	}
	return s, s.Restart()
}

// Restart makes a stopped control plane listen at its address again, with the same resources. It returns an error if the address is in
// use.
func (s *Server) Restart() error {
	listener, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return fmt.Errorf("control plane: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Addr = listener.Addr().String()
	server := grpc.NewServer(grpc.MaxSendMsgSize(maxResponseSize))
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(server, discoveryService{server: s})
	serving := make(chan struct{})
	s.grpc = server
	s.serving = serving
	go func() {
		defer close(serving)
		_ = server.Serve(listener) // returns after Stop
	}()
	return nil
}

// Stop ends a stall, closes the listener and all streams, and waits until the server has stopped. It may be called more than once.
func (s *Server) Stop() {
	s.Resume()
	s.mu.Lock()
	server, serving := s.grpc, s.serving
	s.grpc = nil
	s.mu.Unlock()
	if server != nil {
		server.Stop()
		<-serving
	}
}

// Stall makes the control plane neither read requests nor send responses until Resume. Streams stay open.
func (s *Server) Stall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stalled == nil {
		s.stalled = make(chan struct{})
	}
}

// Resume ends Stall.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stalled != nil {
		close(s.stalled)
		s.stalled = nil
	}
}

// SetMuted sets whether the control plane sends no responses except by SendRaw.
func (s *Server) SetMuted(muted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted = muted
}

// Streams returns how many streams are open, and how many were opened since the start.
func (s *Server) Streams() (open, ever int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams), s.opened
}
