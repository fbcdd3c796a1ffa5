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

// model is a control plane by the protocol's description, with the wires between: what is sent stays in order and is
// delivered when the test says so.
type model struct {
	delta    bool
	version  int
	valid    map[Type]map[string]bool
	all      map[Type]map[string]string // versions by name
	toClient []any
	toServer []Request
	asked    map[Type]map[string]bool
	known    map[Type]bool
	has      map[Type]map[string]string
	nonce    map[Type]string
	n        int
}

func newModel(delta bool) *model {
	s := &model{delta: delta, valid: map[Type]map[string]bool{}, all: map[Type]map[string]string{}}
	for _, t := range []Type{ClusterType, EndpointType} {
		s.valid[t], s.all[t] = map[string]bool{}, map[string]string{}
	}
	s.hangUp()
	return s
}

func (s *model) hangUp() {
	s.toClient, s.toServer = nil, nil
	s.asked, s.known, s.nonce = map[Type]map[string]bool{}, map[Type]bool{}, map[Type]string{}
	s.has = map[Type]map[string]string{ClusterType: {}, EndpointType: {}}
}

func (s *model) body(t *rapid.T, typ Type, name string) *anypb.Any {
	version := s.all[typ][name]
	if typ == ClusterType {
		c := controlplane.Cluster(name, "")
		ms, _ := time.ParseDuration(version + "ms")
		c.ConnectTimeout = durationpb.New(ms)
		if !s.valid[typ][name] {
			c.LbPolicy = 99
		}
		return pack(t, c)
	}
	a := controlplane.Assignment(name, controlplane.Endpoint{Addr: "127.0.0.1:" + version, Zone: "z"})
	if !s.valid[typ][name] {
		a.Endpoints[0].Priority = 7
	}
	return pack(t, a)
}

func (s *model) wants(typ Type, name string) bool { return typ == ClusterType || s.asked[typ][name] }

func (s *model) tell(t *rapid.T, typ Type) {
	if !s.known[typ] {
		return
	}
	s.n++
	s.nonce[typ] = fmt.Sprint("n", s.n)
	if !s.delta {
		r := &discoveryv3.DiscoveryResponse{TypeUrl: string(typ), VersionInfo: fmt.Sprint(s.version), Nonce: s.nonce[typ]}
		for _, name := range slices.Sorted(maps.Keys(s.all[typ])) {
			if s.wants(typ, name) {
				r.Resources = append(r.Resources, s.body(t, typ, name))
			}
		}
		s.toClient = append(s.toClient, r)
		return
	}
	r := &discoveryv3.DeltaDiscoveryResponse{TypeUrl: string(typ), Nonce: s.nonce[typ]}
	for _, name := range slices.Sorted(maps.Keys(s.all[typ])) {
		if s.wants(typ, name) && s.has[typ][name] != s.all[typ][name] {
			s.has[typ][name] = s.all[typ][name]
			r.Resources = append(r.Resources, &discoveryv3.Resource{Name: name, Version: s.all[typ][name], Resource: s.body(t, typ, name)})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.has[typ])) {
		if _, ok := s.all[typ][name]; !ok {
			delete(s.has[typ], name)
			r.RemovedResources = append(r.RemovedResources, name)
		}
	}
	s.toClient = append(s.toClient, r)
}

func (s *model) request(t *rapid.T, m Request) {
	if d := m.Delta; d != nil {
		typ := Type(d.GetTypeUrl())
		first := !s.known[typ]
		if s.known[typ] = true; s.asked[typ] == nil {
			s.asked[typ] = map[string]bool{}
		}
		if first {
			maps.Copy(s.has[typ], d.GetInitialResourceVersions())
		}
		for _, n := range d.GetResourceNamesSubscribe() {
			s.asked[typ][n] = true
			if !first {
				delete(s.has[typ], n)
			}
		}
		for _, n := range d.GetResourceNamesUnsubscribe() {
			delete(s.asked[typ], n)
			delete(s.has[typ], n)
		}
		if first || len(d.GetResourceNamesSubscribe()) > 0 {
			s.tell(t, typ)
		}
		return
	}
	typ := Type(m.SotW.GetTypeUrl())
	if s.known[typ] && m.SotW.GetResponseNonce() != s.nonce[typ] {
		return
	}
	names := map[string]bool{}
	for _, n := range m.SotW.GetResourceNames() {
		names[n] = true
	}
	changed := !s.known[typ] || !maps.Equal(names, s.asked[typ])
	s.known[typ], s.asked[typ] = true, names
	if changed {
		s.tell(t, typ)
	}
}

// Any legal interleaving of responses, removals, rejections, disconnects and replays ends in the state of the last accepted
// versions, in both variants of the protocol.
func TestAnyInterleavingEndsInLastAcceptedState(t *testing.T) {
	for _, delta := range []bool{false, true} {
		t.Run(fmt.Sprint("delta=", delta), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := newModel(delta)
				m := NewMachine(Options{Clusters: true, Delta: delta})
				now := sec
				inUse := map[Type]map[string]Resource{ClusterType: {}, EndpointType: {}} // as of the reported changes
				note := func(out []Request, changes []Change) {
					s.toServer = append(s.toServer, out...)
					for _, c := range changes {
						if c.State == Received {
							inUse[c.Type][c.Name] = c.Resource
						} else {
							delete(inUse[c.Type], c.Name)
						}
					}
				}
				note(m.StartStream(now))
				var last any
				deliver := func() {
					r := s.toClient[0]
					s.toClient, last = s.toClient[1:], r
					if d, ok := r.(*discoveryv3.DeltaDiscoveryResponse); ok {
						note(m.HandleDelta(now, d))
					} else {
						note(m.HandleSotW(now, r.(*discoveryv3.DiscoveryResponse)))
					}
				}
				name := rapid.SampledFrom([]string{"a", "b", "c"})
				typ := rapid.SampledFrom([]Type{ClusterType, EndpointType})
				for range rapid.IntRange(0, 60).Draw(t, "steps") {
					now += sec
					switch rapid.IntRange(0, 9).Draw(t, "step") {
					case 0, 1, 2: // push, now and then something malformed
						s.version++
						ty, n := typ.Draw(t, "type"), name.Draw(t, "name")
						s.all[ty][n], s.valid[ty][n] = fmt.Sprint(s.version), rapid.IntRange(0, 4).Draw(t, "bad") > 0
						s.tell(t, ty)
					case 3: // withdraw; endpoints cannot be withdrawn in the state of the world
						ty, n := typ.Draw(t, "type"), name.Draw(t, "name")
						if !delta {
							ty = ClusterType
						}
						s.version++
						delete(s.all[ty], n)
						s.tell(t, ty)
					case 4:
						m.EndStream()
						s.hangUp()
						note(m.StartStream(now))
						last = nil
					case 5: // the last response again, under a new nonce
						if r, ok := last.(*discoveryv3.DiscoveryResponse); ok {
							r = proto.CloneOf(r)
							s.n++
							r.Nonce = fmt.Sprint("n", s.n)
							s.nonce[Type(r.TypeUrl)] = r.Nonce
							s.toClient = append(s.toClient, r)
							s.tell(t, Type(r.TypeUrl)) // followed by the current state
						}
					case 6, 7:
						if len(s.toServer) > 0 {
							r := s.toServer[0]
							s.toServer = s.toServer[1:]
							s.request(t, r)
						}
					default:
						if len(s.toClient) > 0 {
							deliver()
						}
					}
				}
				for len(s.toClient)+len(s.toServer) > 0 {
					for len(s.toServer) > 0 {
						r := s.toServer[0]
						s.toServer = s.toServer[1:]
						s.request(t, r)
					}
					if len(s.toClient) > 0 {
						deliver()
					}
				}
				for _, ty := range []Type{ClusterType, EndpointType} {
					got := map[string]Resource{}
					for _, r := range m.Resources(ty) {
						if r.State == Received {
							got[r.Name] = r
						}
					}
					for n, r := range got {
						if inUse[ty][n].Version != r.Version {
							t.Fatalf("%s %s: the changes say %q, the machine has %q", ty.Short(), n, inUse[ty][n].Version, r.Version)
						}
						if _, ok := s.all[ty][n]; !ok && (ty == ClusterType || delta) {
							t.Fatalf("%s %s is in use, and withdrawn", ty.Short(), n)
						}
					}
					if len(got) != len(inUse[ty]) {
						t.Fatalf("%s: the changes say %d, the machine has %d", ty.Short(), len(inUse[ty]), len(got))
					}
					for n, v := range s.all[ty] {
						wanted := ty == ClusterType
						if !wanted {
							_, wanted = inUse[ClusterType][n]
						}
						r, ok := got[n]
						switch {
						case !wanted && ok:
							t.Fatalf("%s %s is in use though nothing names it", ty.Short(), n)
						case wanted && s.valid[ty][n] && (!ok || content(r) != v):
							t.Fatalf("%s %s: %q is in use (%v), the control plane has %q", ty.Short(), n, content(r), ok, v)
						case ok && !s.valid[ty][n] && content(r) == v:
							t.Fatalf("%s %s: a malformed version is in use", ty.Short(), n)
						}
					}
				}
			})
		})
	}
}

// content returns the version that is encoded in the contents of a resource.
func content(r Resource) string {
	switch v := r.Value.(type) {
	case *Assignment:
		_, port, _ := strings.Cut(v.Endpoints[0].Address, ":")
		return port
	case *Cluster:
		return fmt.Sprint(v.ConnectTimeout.Milliseconds())
	}
	return ""
}
