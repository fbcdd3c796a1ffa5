package controlplane

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
)

// Request is a discovery request that was received. One of SotW and Delta is set.
type Request struct {
	Stream     int // numbered from 1
	ReceivedAt time.Time
	SotW       *discoveryv3.DiscoveryRequest
	Delta      *discoveryv3.DeltaDiscoveryRequest
}

// Type returns the type URL of the resources.
func (r Request) Type() string { return cmp.Or(r.SotW.GetTypeUrl(), r.Delta.GetTypeUrl()) }

// Error returns why the client rejects a response; empty: it does not.
func (r Request) Error() string {
	return cmp.Or(r.SotW.GetErrorDetail().GetMessage(), r.Delta.GetErrorDetail().GetMessage())
}

// Nonce returns the nonce of the response that the request acknowledges or rejects; empty: none.
func (r Request) Nonce() string { return cmp.Or(r.SotW.GetResponseNonce(), r.Delta.GetResponseNonce()) }

// record must be called with mu held.
func (s *Server) record(r Request) {
	r.ReceivedAt = time.Now()
	s.requests = append(s.requests, r)
	close(s.received)
	s.received = make(chan struct{})
}

// Requests returns all requests so far, in the order in which they were read.
func (s *Server) Requests() []Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests)
}

// Await blocks until there is a request that matches, among those with an index of at least from. It returns the request and its
// index, and an error when ctx ends.
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
			return Request{}, 0, fmt.Errorf("no such request among %d: %w", len(requests), ctx.Err())
		}
	}
}
