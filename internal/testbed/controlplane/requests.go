package controlplane

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
)

// Request is a received discovery request. Exactly one of SotW and Delta is set.
type Request struct {
	Stream     int // number of the stream, from 1
	ReceivedAt time.Time
	SotW       *discoveryv3.DiscoveryRequest
	Delta      *discoveryv3.DeltaDiscoveryRequest
}

// Type returns the type URL of the requested resources.
func (r Request) Type() string { return cmp.Or(r.SotW.GetTypeUrl(), r.Delta.GetTypeUrl()) }

// Error returns why the client rejects a response, or an empty string if it does not.
func (r Request) Error() string {
	return cmp.Or(r.SotW.GetErrorDetail().GetMessage(), r.Delta.GetErrorDetail().GetMessage())
}

// Nonce returns the nonce of the response that the request acknowledges or rejects, or an empty string if there is none.
func (r Request) Nonce() string { return cmp.Or(r.SotW.GetResponseNonce(), r.Delta.GetResponseNonce()) }

// record stores a request and wakes Await. It must be called with mu held.
func (s *Server) record(r Request) {
	r.ReceivedAt = time.Now()
	s.requests = append(s.requests, r)
	close(s.received)
	s.received = make(chan struct{})
}

// Requests returns all requests so far, in the order in which they were received.
func (s *Server) Requests() []Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests)
}

// Await blocks until a request with an index of at least from matches. It returns the first such request and its index, or an error if
// ctx ends before.
func (s *Server) Await(ctx context.Context, from int, matches func(Request) bool) (Request, int, error) {
	for {
		s.mu.Lock()
		received := s.received
		requests := s.requests
		s.mu.Unlock()
		for ; from < len(requests); from++ {
			if matches(requests[from]) {
				return requests[from], from, nil
			}
		}
		select {
		case <-received:
		case <-ctx.Done():
			return Request{}, 0, fmt.Errorf("no matching request among %d received: %w", len(requests), ctx.Err())
		}
	}
}
