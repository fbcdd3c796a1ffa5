// Package controlplane provides a scripted control plane that speaks xDS over gRPC on loopback, written from the protocol's
// description. It serves resources to state-of-the-world and incremental clients, and injects faults on request: it withdraws and
// replays resources, sends invalid responses, stalls, stops, and restarts with another version. It records all requests.
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

// Server is a control plane. Its methods may be called by several goroutines at once.
type Server struct {
	// Addr is host:port. It stays the same over restarts.
	Addr string

	mu       sync.Mutex
	grpc     *grpc.Server // nil: stopped
	serving  chan struct{}
	types    map[string]*resourceType
	streams  map[*stream]struct{}
	opened   int // streams
	nonce    int
	requests []Request
	received chan struct{} // closed and replaced with each request
	stalled  chan struct{} // nil: not stalled
	muted    bool
	capacity *capacity // nil: unlimited
}

// Start starts a control plane at a loopback address, or at any free one if address is empty. It runs until Stop.
func Start(address string) (*Server, error) {
	s := &Server{
		Addr:     cmp.Or(address, "127.0.0.1:0"),
		types:    map[string]*resourceType{},
		streams:  map[*stream]struct{}{},
		received: make(chan struct{}),
	}
	return s, s.Restart()
}

// Restart has a stopped control plane listen at its address again, with the resources it had. It returns an error if the address is
// in use.
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
		_ = server.Serve(listener) // ends with Stop
	}()
	return nil
}

// Stop ends a stall, closes all streams and the listener, and waits for their ends. It does nothing if the control plane is stopped.
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

// Stall has the control plane neither read nor answer until Resume. Streams stay open.
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

// SetMuted has the control plane send nothing but what SendRaw does, or ends that.
func (s *Server) SetMuted(muted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted = muted
}

// Streams returns how many streams are open, and how many ever were.
func (s *Server) Streams() (open, ever int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams), s.opened
}
