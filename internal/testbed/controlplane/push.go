package controlplane

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

// Resource is a resource for Push.
type Resource struct {
	Name string
	Body proto.Message // nil withdraws the resource; an Any is served unchanged
	TTL  time.Duration // 0: none
}

// servedResource is a resource that the control plane serves.
type servedResource struct {
	body    *anypb.Any
	version string
	ttl     time.Duration
}

// resourceType holds the resources of a type URL.
type resourceType struct {
	version   string
	resources map[string]servedResource // by name
}

// resourceType returns the resources of a type URL, and creates an empty set if there is none. It must be called with mu held.
func (s *Server) resourceType(url string) *resourceType {
	t := s.types[url]
	if t == nil {
		t = &resourceType{resources: map[string]servedResource{}}
		s.types[url] = t
	}
	return t
}

// Push sets resources at a version and sends them to all subscribed clients. Other resources of the same types stay, unless replace is
// true. It returns the time at which the last response was written.
func (s *Server) Push(version string, replace bool, resources ...Resource) (time.Time, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := map[string]bool{} // type URLs
	for _, r := range resources {
		if r.Body == nil {
			s.withdraw(r.Name, changed)
			continue
		}
		if err := s.set(version, replace, r, changed); err != nil {
			return time.Time{}, err
		}
	}
	var last time.Time
	for _, url := range slices.Sorted(maps.Keys(changed)) {
		s.resourceType(url).version = version
		for st := range s.streams {
			_ = st.send(url) // the client may have disconnected
			last = time.Now()
		}
	}
	return last, nil
}

// withdraw removes the resources with a name from all types, and adds the type URLs to changed. It must be called with mu held.
func (s *Server) withdraw(name string, changed map[string]bool) {
	for url, t := range s.types {
		if _, ok := t.resources[name]; ok {
			delete(t.resources, name)
			changed[url] = true
		}
	}
}

// set sets a resource and adds its type URL to changed. It must be called with mu held.
func (s *Server) set(version string, replace bool, r Resource, changed map[string]bool) error {
	body, err := anypb.New(r.Body)
	if err != nil {
		return fmt.Errorf("control plane: %w", err)
	}
	if packed, ok := r.Body.(*anypb.Any); ok {
		body = packed
	}
	url := body.GetTypeUrl()
	t := s.resourceType(url)
	if replace && !changed[url] {
		t.resources = map[string]servedResource{}
	}
	changed[url] = true
	t.resources[r.Name] = servedResource{body: body, version: version, ttl: r.TTL}
	return nil
}

// Clear withdraws all resources of a type URL at a version. It returns the time at which the last response was written.
func (s *Server) Clear(version, url string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.resourceType(url)
	t.resources = map[string]servedResource{}
	t.version = version
	for st := range s.streams {
		_ = st.send(url) // the client may have disconnected
	}
	return time.Now()
}

// ClearAll removes all resources and sends nothing, like a control plane that loses its resources in a restart.
func (s *Server) ClearAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.types = map[string]*resourceType{}
}

// SendRaw sends sotw on all state-of-the-world streams and delta on all incremental streams, without any checks. Either may be nil. An
// empty nonce is replaced by a new one.
func (s *Server) SendRaw(sotw *discoveryv3.DiscoveryResponse, delta *discoveryv3.DeltaDiscoveryResponse) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var errs []error
	for st := range s.streams {
		switch {
		case sotw != nil && st.sotw != nil:
			response := proto.CloneOf(sotw)
			response.Nonce = cmp.Or(response.Nonce, s.nextNonce())
			st.subscription(response.GetTypeUrl()).nonce = response.Nonce
			errs = append(errs, st.sotw.Send(response))
		case delta != nil && st.delta != nil:
			response := proto.CloneOf(delta)
			response.Nonce = cmp.Or(response.Nonce, s.nextNonce())
			st.subscription(response.GetTypeUrl()).nonce = response.Nonce
			errs = append(errs, st.delta.Send(response))
		}
	}
	return errors.Join(errs...)
}

// nextNonce returns a new nonce. It must be called with mu held.
func (s *Server) nextNonce() string {
	s.nonce++
	return "n" + strconv.Itoa(s.nonce)
}
