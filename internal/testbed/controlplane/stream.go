package controlplane

import (
	"context"
	"maps"
	"slices"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"
)

// stream is a client's stream. Exactly one of sotw and delta is set. The server's mu guards it.
type stream struct {
	server        *Server
	number        int // from 1
	sotw          discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer
	delta         discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer
	subscriptions map[string]*subscription // by type URL
}

// subscription is a stream's subscription to one type URL, and what the client was sent for it.
type subscription struct {
	names    map[string]bool
	wildcard bool
	nonce    string            // of the last response
	sent     bool              // whether any response was sent
	versions map[string]string // incremental streams: versions of the resources that the client has, by name
}

// subscription returns the stream's subscription to a type URL, and creates one if there is none.
func (st *stream) subscription(url string) *subscription {
	sub := st.subscriptions[url]
	if sub == nil {
		sub = &subscription{names: map[string]bool{}, versions: map[string]string{}}
		st.subscriptions[url] = sub
	}
	return sub
}

func (sub *subscription) includes(name string) bool { return sub.wildcard || sub.names[name] }

// send sends the resources of a type URL if the client subscribed to it: a state-of-the-world client gets all of them, an incremental
// client the changes since the last response. It sends nothing while the server is muted or stalled.
func (st *stream) send(url string) error {
	sub, ok := st.subscriptions[url]
	if !ok || st.server.muted || st.server.stalled != nil {
		return nil
	}
	if st.sotw != nil {
		return st.sendSnapshot(url, sub)
	}
	return st.sendDelta(url, sub)
}

func (st *stream) sendSnapshot(url string, sub *subscription) error {
	t := st.server.resourceType(url)
	response := &discoveryv3.DiscoveryResponse{VersionInfo: t.version, TypeUrl: url, Nonce: st.server.nextNonce()}
	for _, name := range slices.Sorted(maps.Keys(t.resources)) {
		if !sub.includes(name) {
			continue
		}
		resource := t.resources[name]
		body := resource.body
		if resource.ttl > 0 {
			var err error
			if body, err = anypb.New(resource.wrap(name)); err != nil {
				return err
			}
		}
		response.Resources = append(response.Resources, body)
	}
	sub.nonce = response.Nonce
	sub.sent = true
	return st.sotw.Send(response)
}

// sendDelta sends the changes since the last response. If there are none, it sends an empty response if the client has not been
// sent any response yet, and nothing otherwise.
func (st *stream) sendDelta(url string, sub *subscription) error {
	t := st.server.resourceType(url)
	response := &discoveryv3.DeltaDiscoveryResponse{SystemVersionInfo: t.version, TypeUrl: url, Nonce: st.server.nextNonce()}
	for _, name := range slices.Sorted(maps.Keys(t.resources)) {
		resource := t.resources[name]
		if !sub.includes(name) || sub.versions[name] == resource.version {
			continue
		}
		response.Resources = append(response.Resources, resource.wrap(name))
		sub.versions[name] = resource.version
	}
	for name := range sub.versions {
		if _, ok := t.resources[name]; !ok {
			response.RemovedResources = append(response.RemovedResources, name)
			delete(sub.versions, name)
		}
	}
	slices.Sort(response.RemovedResources)
	if sub.sent && len(response.Resources)+len(response.RemovedResources) == 0 {
		return nil
	}
	sub.nonce = response.Nonce
	sub.sent = true
	return st.delta.Send(response)
}

// wrap returns the resource as a discovery Resource with its name, version and time to live.
func (r servedResource) wrap(name string) *discoveryv3.Resource {
	wrapped := &discoveryv3.Resource{Name: name, Version: r.version, Resource: r.body}
	if r.ttl > 0 {
		wrapped.Ttl = durationpb.New(r.ttl)
	}
	return wrapped
}

// discoveryService is the gRPC service of a Server.
type discoveryService struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	server *Server
}

// StreamAggregatedResources serves a state-of-the-world client.
func (d discoveryService) StreamAggregatedResources(client discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	st := d.server.open(&stream{sotw: client})
	defer d.server.close(st)
	if err := d.server.admit(client.Context()); err != nil {
		return err
	}
	for {
		request, err := client.Recv()
		if err != nil {
			return nil
		}
		d.server.awaitResume(client.Context())
		if err := st.handleSotW(request); err != nil {
			return err
		}
	}
}

// DeltaAggregatedResources serves an incremental client.
func (d discoveryService) DeltaAggregatedResources(client discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	st := d.server.open(&stream{delta: client})
	defer d.server.close(st)
	if err := d.server.admit(client.Context()); err != nil {
		return err
	}
	for {
		request, err := client.Recv()
		if err != nil {
			return nil
		}
		d.server.awaitResume(client.Context())
		if err := st.handleDelta(request); err != nil {
			return err
		}
	}
}

func (s *Server) open(st *stream) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opened++
	st.server = s
	st.number = s.opened
	st.subscriptions = map[string]*subscription{}
	s.streams[st] = struct{}{}
	return st
}

func (s *Server) close(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, st)
}

// awaitResume blocks while the control plane is stalled, or until ctx ends.
func (s *Server) awaitResume(ctx context.Context) {
	s.mu.Lock()
	stalled := s.stalled
	s.mu.Unlock()
	if stalled == nil {
		return
	}
	select {
	case <-stalled:
	case <-ctx.Done():
	}
}

func (st *stream) handleSotW(request *discoveryv3.DiscoveryRequest) error {
	st.server.mu.Lock()
	defer st.server.mu.Unlock()
	st.server.record(Request{Stream: st.number, SotW: request})
	url := request.GetTypeUrl()
	_, known := st.subscriptions[url]
	sub := st.subscription(url)
	if known && request.GetResponseNonce() != sub.nonce {
		return nil // it refers to an older response; the client has yet to answer the last one
	}
	names := map[string]bool{}
	for _, name := range request.GetResourceNames() {
		names[name] = true
	}
	// Legacy wildcard: a first request without names subscribes to all resources.
	wildcard := len(names) == 0 && (!known || sub.wildcard)
	changed := !maps.Equal(names, sub.names) || wildcard != sub.wildcard
	sub.names = names
	sub.wildcard = wildcard
	if known && !changed {
		return nil
	}
	return st.send(url)
}

func (st *stream) handleDelta(request *discoveryv3.DeltaDiscoveryRequest) error {
	st.server.mu.Lock()
	defer st.server.mu.Unlock()
	st.server.record(Request{Stream: st.number, Delta: request})
	url := request.GetTypeUrl()
	_, known := st.subscriptions[url]
	sub := st.subscription(url)
	if !known {
		sub.wildcard = len(request.GetResourceNamesSubscribe()) == 0
		maps.Copy(sub.versions, request.GetInitialResourceVersions())
	}
	for _, name := range request.GetResourceNamesSubscribe() {
		if name == "*" {
			sub.wildcard = true
			continue
		}
		sub.names[name] = true
		if known {
			delete(sub.versions, name) // a repeated subscription requests the resource again
		}
	}
	for _, name := range request.GetResourceNamesUnsubscribe() {
		delete(sub.names, name)
		delete(sub.versions, name)
	}
	if known && len(request.GetResourceNamesSubscribe()) == 0 {
		return nil
	}
	return st.send(url)
}
