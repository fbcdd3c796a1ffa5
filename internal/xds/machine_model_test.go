package xds

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	"robindrum/internal/testbed/controlplane"
)

// modelControlPlane is a control plane that implements the protocol, together with the connection to the client. Requests and
// responses are queued in the order in which they are sent, and the test decides when to deliver the next one.
type modelControlPlane struct {
	delta          bool
	version        int
	valid          map[Type]map[string]bool   // whether the resource is valid, by name
	versions       map[Type]map[string]string // versions by name
	responses      []any                      // queued for the client
	requests       []Request                  // queued for the control plane
	subscribed     map[Type]map[string]bool   // names on the current stream
	requested      map[Type]bool              // whether the current stream has a request for the type
	clientVersions map[Type]map[string]string // incremental variant: versions that the client has, by name
	lastNonce      map[Type]string            // nonce of the last response on the current stream
	n              int                        // number of nonces used
}

func newModelControlPlane(delta bool) *modelControlPlane {
	s := &modelControlPlane{delta: delta, valid: map[Type]map[string]bool{}, versions: map[Type]map[string]string{}}
	for _, t := range []Type{ClusterType, EndpointType} {
		s.valid[t], s.versions[t] = map[string]bool{}, map[string]string{}
	}
	s.resetStream()
	return s
}

// resetStream discards the queues and the state of the stream.
func (s *modelControlPlane) resetStream() {
	s.responses, s.requests = nil, nil
	s.subscribed, s.requested, s.lastNonce = map[Type]map[string]bool{}, map[Type]bool{}, map[Type]string{}
	s.clientVersions = map[Type]map[string]string{ClusterType: {}, EndpointType: {}}
}

// encode returns a resource whose contents contain its version, see contentVersion. An invalid resource is one that the client
// must reject.
func (s *modelControlPlane) encode(t *rapid.T, typ Type, name string) *anypb.Any {
	version := s.versions[typ][name]
	if typ == ClusterType {
		cluster := controlplane.Cluster(name, "")
		timeout, _ := time.ParseDuration(version + "ms")
		cluster.ConnectTimeout = durationpb.New(timeout)
		if !s.valid[typ][name] {
			cluster.LbPolicy = 99
		}
		return marshalAny(t, cluster)
	}
	assignment := controlplane.Assignment(name, controlplane.Endpoint{Addr: "127.0.0.1:" + version, Zone: "z"})
	if !s.valid[typ][name] {
		assignment.Endpoints[0].Priority = 7
	}
	return marshalAny(t, assignment)
}

func (s *modelControlPlane) isSubscribed(typ Type, name string) bool {
	return typ == ClusterType || s.subscribed[typ][name]
}

// respond queues a response with the current resources or, in the incremental variant, with the changes. It does nothing before
// the first request for the type.
func (s *modelControlPlane) respond(t *rapid.T, typ Type) {
	if !s.requested[typ] {
		return
	}
	s.n++
	s.lastNonce[typ] = fmt.Sprint("n", s.n)
	if !s.delta {
		response := &discoveryv3.DiscoveryResponse{TypeUrl: string(typ), VersionInfo: fmt.Sprint(s.version), Nonce: s.lastNonce[typ]}
		for _, name := range slices.Sorted(maps.Keys(s.versions[typ])) {
			if s.isSubscribed(typ, name) {
				response.Resources = append(response.Resources, s.encode(t, typ, name))
			}
		}
		s.responses = append(s.responses, response)
		return
	}
	response := &discoveryv3.DeltaDiscoveryResponse{TypeUrl: string(typ), Nonce: s.lastNonce[typ]}
	for _, name := range slices.Sorted(maps.Keys(s.versions[typ])) {
		if s.isSubscribed(typ, name) && s.clientVersions[typ][name] != s.versions[typ][name] {
			s.clientVersions[typ][name] = s.versions[typ][name]
			response.Resources = append(response.Resources, &discoveryv3.Resource{Name: name, Version: s.versions[typ][name], Resource: s.encode(t, typ, name)})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.clientVersions[typ])) {
		if _, ok := s.versions[typ][name]; !ok {
			delete(s.clientVersions[typ], name)
			response.RemovedResources = append(response.RemovedResources, name)
		}
	}
	s.responses = append(s.responses, response)
}

// handleRequest updates the subscription, and responds if the protocol requires it.
func (s *modelControlPlane) handleRequest(t *rapid.T, request Request) {
	if delta := request.Delta; delta != nil {
		typ := Type(delta.GetTypeUrl())
		first := !s.requested[typ]
		if s.requested[typ] = true; s.subscribed[typ] == nil {
			s.subscribed[typ] = map[string]bool{}
		}
		if first {
			maps.Copy(s.clientVersions[typ], delta.GetInitialResourceVersions())
		}
		for _, name := range delta.GetResourceNamesSubscribe() {
			s.subscribed[typ][name] = true
			if !first {
				delete(s.clientVersions[typ], name)
			}
		}
		for _, name := range delta.GetResourceNamesUnsubscribe() {
			delete(s.subscribed[typ], name)
			delete(s.clientVersions[typ], name)
		}
		if first || len(delta.GetResourceNamesSubscribe()) > 0 {
			s.respond(t, typ)
		}
		return
	}
	typ := Type(request.SotW.GetTypeUrl())
	if s.requested[typ] && request.SotW.GetResponseNonce() != s.lastNonce[typ] {
		return
	}
	names := map[string]bool{}
	for _, name := range request.SotW.GetResourceNames() {
		names[name] = true
	}
	changed := !s.requested[typ] || !maps.Equal(names, s.subscribed[typ])
	s.requested[typ], s.subscribed[typ] = true, names
	if changed {
		s.respond(t, typ)
	}
}

// Any legal interleaving of responses, removals, rejections, disconnects and repeated responses ends with the last accepted
// versions in use, in both variants of the protocol.
func TestAnyInterleavingEndsInLastAcceptedState(t *testing.T) {
	for _, delta := range []bool{false, true} {
		t.Run(fmt.Sprint("delta=", delta), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				server := newModelControlPlane(delta)
				machine := NewMachine(Options{Clusters: true, Delta: delta})
				now := sec
				inUse := map[Type]map[string]Resource{ClusterType: {}, EndpointType: {}} // according to the reported changes
				record := func(sent []Request, changes []Change) {
					server.requests = append(server.requests, sent...)
					for _, change := range changes {
						if change.State == Received {
							inUse[change.Type][change.Name] = change.Resource
						} else {
							delete(inUse[change.Type], change.Name)
						}
					}
				}
				record(machine.StartStream(now))
				var last any
				deliver := func() {
					r := server.responses[0]
					server.responses, last = server.responses[1:], r
					if d, ok := r.(*discoveryv3.DeltaDiscoveryResponse); ok {
						record(machine.HandleDelta(now, d))
					} else {
						record(machine.HandleSotW(now, r.(*discoveryv3.DiscoveryResponse)))
					}
				}
				names := rapid.SampledFrom([]string{"a", "b", "c"})
				types := rapid.SampledFrom([]Type{ClusterType, EndpointType})
				for range rapid.IntRange(0, 60).Draw(t, "steps") {
					now += sec
					switch rapid.IntRange(0, 9).Draw(t, "step") {
					case 0, 1, 2: // change a resource, sometimes to an invalid one
						server.version++
						typ, n := types.Draw(t, "type"), names.Draw(t, "name")
						server.versions[typ][n], server.valid[typ][n] = fmt.Sprint(server.version), rapid.IntRange(0, 4).Draw(t, "bad") > 0
						server.respond(t, typ)
					case 3: // withdraw a resource; the state-of-the-world variant cannot withdraw endpoints
						typ, n := types.Draw(t, "type"), names.Draw(t, "name")
						if !delta {
							typ = ClusterType
						}
						server.version++
						delete(server.versions[typ], n)
						server.respond(t, typ)
					case 4: // reconnect
						machine.EndStream()
						server.resetStream()
						record(machine.StartStream(now))
						last = nil
					case 5: // repeat the last response under a new nonce
						if r, ok := last.(*discoveryv3.DiscoveryResponse); ok {
							r = proto.CloneOf(r)
							server.n++
							r.Nonce = fmt.Sprint("n", server.n)
							server.lastNonce[Type(r.TypeUrl)] = r.Nonce
							server.responses = append(server.responses, r)
							server.respond(t, Type(r.TypeUrl)) // then send the current state
						}
					case 6, 7: // deliver a request
						if len(server.requests) > 0 {
							r := server.requests[0]
							server.requests = server.requests[1:]
							server.handleRequest(t, r)
						}
					default: // deliver a response
						if len(server.responses) > 0 {
							deliver()
						}
					}
				}
				for len(server.responses)+len(server.requests) > 0 {
					for len(server.requests) > 0 {
						r := server.requests[0]
						server.requests = server.requests[1:]
						server.handleRequest(t, r)
					}
					if len(server.responses) > 0 {
						deliver()
					}
				}
				for _, typ := range []Type{ClusterType, EndpointType} {
					received := map[string]Resource{}
					for _, r := range machine.Resources(typ) {
						if r.State == Received {
							received[r.Name] = r
						}
					}
					for n, r := range received {
						if inUse[typ][n].Version != r.Version {
							t.Fatalf("%s %s: got version %q from the changes, want %q as in Resources", typ.Short(), n, inUse[typ][n].Version, r.Version)
						}
						if _, ok := server.versions[typ][n]; !ok && (typ == ClusterType || delta) {
							t.Fatalf("%s %s: got it in use after it was withdrawn, want it absent", typ.Short(), n)
						}
					}
					if len(received) != len(inUse[typ]) {
						t.Fatalf("%s: got %d resources in use from the changes, want %d as in Resources", typ.Short(), len(inUse[typ]), len(received))
					}
					for n, latest := range server.versions[typ] {
						wanted := typ == ClusterType
						if !wanted {
							_, wanted = inUse[ClusterType][n]
						}
						r, ok := received[n]
						switch {
						case !wanted && ok:
							t.Fatalf("%s %s: got it in use although no cluster refers to it, want it removed", typ.Short(), n)
						case wanted && server.valid[typ][n] && (!ok || contentVersion(r) != latest):
							t.Fatalf("%s %s: got version %q in use (present: %v), want version %q of the control plane", typ.Short(), n, contentVersion(r), ok, latest)
						case ok && !server.valid[typ][n] && contentVersion(r) == latest:
							t.Fatalf("%s %s: got an invalid version in use, want the last valid one", typ.Short(), n)
						}
					}
				}
			})
		})
	}
}

// contentVersion returns the version that modelControlPlane.encode stored in the contents of a resource.
func contentVersion(r Resource) string {
	switch value := r.Value.(type) {
	case *Assignment:
		_, port, _ := strings.Cut(value.Endpoints[0].Address, ":")
		return port
	case *Cluster:
		return fmt.Sprint(value.ConnectTimeout.Milliseconds())
	}
	return ""
}
