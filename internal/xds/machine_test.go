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

const sec = time.Second

func pack(t interface{ Fatal(...any) }, m proto.Message) *anypb.Any {
	b, err := anypb.New(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func clusters(t *testing.T, version, nonce string, names ...string) *discoveryv3.DiscoveryResponse {
	r := &discoveryv3.DiscoveryResponse{VersionInfo: version, Nonce: nonce, TypeUrl: string(ClusterType)}
	for _, n := range names {
		r.Resources = append(r.Resources, pack(t, controlplane.Cluster(n, "")))
	}
	return r
}

func (m *Machine) state(t Type) string {
	var l []string
	for _, r := range m.Resources(t) {
		l = append(l, fmt.Sprintf("%s=%s/%v", r.Name, r.Version, r.State))
	}
	return strings.Join(l, " ")
}

// The requests of the state-of-the-world variant follow the protocol's description: node, ACKs, NACKs and their versions.
func TestStateOfTheWorldProtocol(t *testing.T) {
	m := NewMachine(Options{Clusters: true, Node: Node("gw", "c", "z")})
	out, _ := m.StartStream(sec)
	if len(out) != 1 || out[0].SotW.GetTypeUrl() != string(ClusterType) || out[0].SotW.GetNode().GetId() != "gw" || out[0].SotW.GetVersionInfo() != "" {
		t.Fatalf("%v", out)
	}
	out, changes := m.HandleSotW(2*sec, clusters(t, "1", "n1", "a", "b"))
	if len(out) != 2 || out[0].SotW.GetVersionInfo() != "1" || out[0].SotW.GetResponseNonce() != "n1" || out[0].SotW.GetErrorDetail() != nil {
		t.Fatalf("no ACK: %v", out)
	}
	if out[1].SotW.GetTypeUrl() != string(EndpointType) || !slices.Equal(out[1].SotW.GetResourceNames(), []string{"a", "b"}) || out[1].SotW.GetNode() != nil {
		t.Fatalf("the endpoints are not asked for: %v", out[1])
	}
	if len(changes) != 2 || changes[0].Name != "a" || changes[0].State != Received {
		t.Fatalf("%v", changes)
	}
	// One of them is refused, the rest is used, and the version before is named.
	bad := clusters(t, "2", "n2", "a", "c")
	c := controlplane.Cluster("b", "")
	c.EdsClusterConfig = nil
	bad.Resources = append(bad.Resources, pack(t, c))
	out, _ = m.HandleSotW(3*sec, bad)
	if d := out[0].SotW.GetErrorDetail(); out[0].SotW.GetVersionInfo() != "1" || out[0].SotW.GetResponseNonce() != "n2" || !strings.Contains(d.GetMessage(), `"b": eds_cluster_config: is missing`) {
		t.Fatalf("no NACK: %v", out[0])
	}
	if got := m.state(ClusterType); got != "a=2/received b=1/received c=2/received" {
		t.Errorf("after a refusal: %s", got)
	}
	if r := m.Resources(ClusterType)[1]; !strings.Contains(r.RejectedReason, "eds_cluster_config") {
		t.Errorf("the refusal does not show: %+v", r)
	}
	// One that cannot even be named may be any: nothing is taken as withdrawn.
	garbage := clusters(t, "3", "n3", "a")
	garbage.Resources = append(garbage.Resources, &anypb.Any{TypeUrl: string(ClusterType), Value: []byte{0xff}})
	if out, _ = m.HandleSotW(4*sec, garbage); out[0].SotW.GetErrorDetail() == nil {
		t.Error("garbage is accepted")
	}
	if got := m.state(ClusterType); got != "a=3/received b=1/received c=2/received" {
		t.Errorf("after garbage: %s", got)
	}
	// An older version is the control plane's word as well; what it leaves out is withdrawn, its endpoints with it.
	out, changes = m.HandleSotW(5*sec, clusters(t, "1", "n4", "b"))
	if got := m.state(ClusterType); got != "b=1/received" || out[0].SotW.GetVersionInfo() != "1" {
		t.Errorf("after an older version: %s", got)
	}
	if got := m.state(EndpointType); got != "b=/requested" {
		t.Errorf("%s", got)
	}
	if len(changes) != 3 || changes[0].State != Absent || len(out) != 2 || !slices.Equal(out[1].SotW.GetResourceNames(), []string{"b"}) {
		t.Errorf("%v\n%v", changes, out)
	}
	// A type that nobody asked for, and one that is told as another.
	if out, _ = m.HandleSotW(6*sec, &discoveryv3.DiscoveryResponse{TypeUrl: "x", Nonce: "n"}); out[0].SotW.GetErrorDetail() == nil {
		t.Error("a type that was not asked for is accepted")
	}
	other := clusters(t, "4", "n5", "b")
	other.Resources[0].TypeUrl = string(EndpointType)
	if out, _ = m.HandleSotW(7*sec, other); out[0].SotW.GetErrorDetail() == nil {
		t.Error("one type is taken as another")
	}
	// The same again under a new nonce: accepted anew, nothing changes but the version.
	out, _ = m.HandleSotW(8*sec, clusters(t, "1", "n6", "b", "b"))
	if !strings.Contains(out[0].SotW.GetErrorDetail().GetMessage(), "stands twice") {
		t.Error("one name twice is accepted")
	}
	// A new stream says what is in use, and names no nonce.
	m.EndStream()
	out, _ = m.StartStream(9 * sec)
	if len(out) != 2 || out[0].SotW.GetVersionInfo() != "1" || out[0].SotW.GetResponseNonce() != "" || out[0].SotW.GetNode() == nil || out[1].SotW.GetNode() != nil {
		t.Errorf("%v", out)
	}
	if s := m.Summaries(); s[0].Rejected != 4 || s[0].Accepted != 2 || s[0].LastError == "" || s[0].Version != "1" {
		t.Errorf("%+v", s)
	}
}

func TestIncrementalProtocol(t *testing.T) {
	m := NewMachine(Options{Clusters: true, Delta: true, Services: []string{"fixed"}, Node: Node("gw", "c", "z")})
	out, _ := m.StartStream(sec)
	if len(out) != 2 || out[0].Delta.GetResourceNamesSubscribe() != nil || !slices.Equal(out[1].Delta.GetResourceNamesSubscribe(), []string{"fixed"}) {
		t.Fatalf("%v", out)
	}
	res := func(name, version string, m proto.Message) *discoveryv3.Resource {
		return &discoveryv3.Resource{Name: name, Version: version, Resource: pack(t, m)}
	}
	out, _ = m.HandleDelta(2*sec, &discoveryv3.DeltaDiscoveryResponse{TypeUrl: string(ClusterType), Nonce: "n1", Resources: []*discoveryv3.Resource{
		res("a", "1", controlplane.Cluster("a", "sa")), res("b", "1", controlplane.Cluster("b", "")), res("x", "1", controlplane.Cluster("y", ""))}})
	if d := out[0].Delta.GetErrorDetail().GetMessage(); !strings.Contains(d, `"x": its name is "y"`) || out[0].Delta.GetResponseNonce() != "n1" {
		t.Errorf("%v", out[0])
	}
	if len(out) != 2 || !slices.Equal(out[1].Delta.GetResourceNamesSubscribe(), []string{"b", "sa"}) {
		t.Errorf("%v", out)
	}
	m.HandleDelta(3*sec, &discoveryv3.DeltaDiscoveryResponse{TypeUrl: string(EndpointType), Nonce: "n2", Resources: []*discoveryv3.Resource{
		res("sa", "5", controlplane.Assignment("sa")), res("stranger", "1", controlplane.Assignment("stranger"))}})
	if got := m.state(EndpointType); got != "b=/requested fixed=/requested sa=5/received" {
		t.Error(got)
	}
	out, changes := m.HandleDelta(4*sec, &discoveryv3.DeltaDiscoveryResponse{TypeUrl: string(ClusterType), Nonce: "n3", RemovedResources: []string{"a", "never"}})
	if len(out) != 2 || !slices.Equal(out[1].Delta.GetResourceNamesUnsubscribe(), []string{"sa"}) || len(changes) != 2 {
		t.Errorf("%v %v", out, changes)
	}
	m.HandleDelta(4*sec, &discoveryv3.DeltaDiscoveryResponse{TypeUrl: string(EndpointType), Nonce: "n4", Resources: []*discoveryv3.Resource{res("b", "9", controlplane.Assignment("b"))}})
	m.EndStream()
	out, _ = m.StartStream(5 * sec)
	if v := out[1].Delta.GetInitialResourceVersions(); len(v) != 1 || v["b"] != "9" {
		t.Errorf("%v", v)
	}
	// Withdrawn endpoints: known not to exist, still asked for.
	_, changes = m.HandleDelta(6*sec, &discoveryv3.DeltaDiscoveryResponse{TypeUrl: string(EndpointType), Nonce: "n5", RemovedResources: []string{"b"}})
	if len(changes) != 1 || changes[0].State != Absent || m.state(EndpointType) != "b=/absent fixed=/requested" {
		t.Errorf("%v %s", changes, m.state(EndpointType))
	}
	if out, _ := m.HandleDelta(7*sec, &discoveryv3.DeltaDiscoveryResponse{TypeUrl: "x"}); out[0].Delta.GetErrorDetail() == nil {
		t.Error("a type that was not asked for is accepted")
	}
}

// A resource without a response times out, and one with a time to live expires unless a heartbeat renews it.
func TestFetchTimeoutAndTimeToLive(t *testing.T) {
	m := NewMachine(Options{Services: []string{"a", "b"}, FetchTimeout: 15 * sec})
	m.StartStream(sec)
	wrap := func(name string, body proto.Message, ttl time.Duration) *anypb.Any {
		r := &discoveryv3.Resource{Name: name, Ttl: durationpb.New(ttl)}
		if body != nil {
			r.Resource = pack(t, body)
		}
		return pack(t, r)
	}
	say := func(now time.Duration, l ...*anypb.Any) []Request {
		out, _ := m.HandleSotW(now, &discoveryv3.DiscoveryResponse{TypeUrl: string(EndpointType), VersionInfo: "1", Nonce: "n", Resources: l})
		return out
	}
	say(2*sec, wrap("a", controlplane.Assignment("a"), 10*sec))
	if at := m.NextDeadline(); at != 12*sec {
		t.Errorf("next at %v", at)
	}
	if out := say(11*sec, wrap("a", nil, 10*sec)); out[0].SotW.GetErrorDetail() != nil {
		t.Errorf("a heartbeat is refused: %v", out)
	}
	if _, c := m.Tick(13 * sec); len(c) != 0 {
		t.Errorf("%v in spite of the heartbeat", c)
	}
	if _, c := m.Tick(16 * sec); len(c) != 1 || c[0].Name != "b" || !strings.Contains(c[0].AbsentReason, "within 15s") {
		t.Errorf("%v", c)
	}
	if _, c := m.Tick(21 * sec); len(c) != 1 || c[0].Name != "a" || c[0].State != Absent {
		t.Errorf("%v", c)
	}
	if m.NextDeadline() != 0 {
		t.Errorf("still something at %v", m.NextDeadline())
	}
	if out := say(22*sec, wrap("a", nil, 10*sec)); out[0].SotW.GetErrorDetail() == nil {
		t.Error("a heartbeat of what is not there is accepted")
	}
	say(23*sec, wrap("b", controlplane.Assignment("b"), 0), wrap("a", controlplane.Assignment("a"), 0))
	if got := m.state(EndpointType); got != "a=1/received b=1/received" {
		t.Error(got)
	}
}

// If 1 of 500 resources is malformed, the other 499 are used.
func TestValidResourcesOfRejectedResponseAreUsed(t *testing.T) {
	for _, delta := range []bool{false, true} {
		m := NewMachine(Options{Clusters: true, Delta: delta})
		m.StartStream(sec)
		s := clusters(t, "1", "n")
		d := &discoveryv3.DeltaDiscoveryResponse{TypeUrl: string(ClusterType), Nonce: "n"}
		for i := range 500 {
			c := controlplane.Cluster(fmt.Sprintf("c%03d", i), "")
			if i == 250 {
				c.EdsClusterConfig.ServiceName, c.LbPolicy = "", 99
			}
			s.Resources = append(s.Resources, pack(t, c))
			d.Resources = append(d.Resources, &discoveryv3.Resource{Name: c.Name, Version: "1", Resource: pack(t, c)})
		}
		var out []Request
		var changes []Change
		if delta {
			out, changes = m.HandleDelta(sec, d)
		} else {
			out, changes = m.HandleSotW(sec, s)
		}
		detail := out[0].SotW.GetErrorDetail().GetMessage() + out[0].Delta.GetErrorDetail().GetMessage()
		if !strings.Contains(detail, `"c250"`) || strings.Count(detail, "\n") != 0 {
			t.Errorf("%q", detail)
		}
		received := 0
		for _, c := range changes {
			if c.State == Received {
				received++
			}
		}
		if received != 499 {
			t.Errorf("%d are used", received)
		}
	}
}

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
				inUse := map[Type]map[string]Resource{ClusterType: {}, EndpointType: {}} // by the changes told
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
							s.tell(t, Type(r.TypeUrl)) // and what is true behind it
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

// Whatever a response contains, the machine answers it once and stays usable.
func FuzzResponses(f *testing.F) {
	r := &discoveryv3.DiscoveryResponse{VersionInfo: "1", Nonce: "n", TypeUrl: string(ClusterType)}
	b, err := anypb.New(controlplane.Cluster("a", "b"))
	if err != nil {
		f.Fatal(err)
	}
	r.Resources = []*anypb.Any{b}
	one, err := proto.Marshal(r)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(one)
	d := &discoveryv3.DeltaDiscoveryResponse{Nonce: "n", TypeUrl: string(ClusterType), RemovedResources: []string{"x"},
		Resources: []*discoveryv3.Resource{{Name: "a", Version: "1", Resource: b, Ttl: durationpb.New(sec)}}}
	two, err := proto.Marshal(d)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(two)
	f.Fuzz(func(t *testing.T, b []byte) {
		s, d := NewMachine(Options{Clusters: true, RouteConfigName: "r"}), NewMachine(Options{Clusters: true, RouteConfigName: "r", Delta: true})
		s.StartStream(sec)
		d.StartStream(sec)
		var sr discoveryv3.DiscoveryResponse
		if proto.Unmarshal(b, &sr) == nil {
			if out, _ := s.HandleSotW(sec, &sr); len(out) == 0 || out[0].SotW.GetResponseNonce() != sr.GetNonce() {
				t.Errorf("%v", out)
			}
			s.Tick(sec * 100)
		}
		var dr discoveryv3.DeltaDiscoveryResponse
		if proto.Unmarshal(b, &dr) == nil {
			if out, _ := d.HandleDelta(sec, &dr); len(out) == 0 || out[0].Delta.GetResponseNonce() != dr.GetNonce() {
				t.Errorf("%v", out)
			}
			d.Tick(sec * 100)
		}
	})
}

// An hour of ever new names leaves nothing behind.
func TestChangingNamesLeaveNothingBehind(t *testing.T) {
	for _, delta := range []bool{false, true} {
		m := NewMachine(Options{Clusters: true, Delta: delta})
		m.StartStream(sec)
		var before []string
		for i := range 3600 {
			now := time.Duration(i+1) * sec
			names := []string{fmt.Sprint("a", i), fmt.Sprint("b", i)}
			if !delta {
				m.HandleSotW(now, clusters(t, fmt.Sprint(i), "n", names...))
			} else {
				d := &discoveryv3.DeltaDiscoveryResponse{TypeUrl: string(ClusterType), RemovedResources: before}
				for _, n := range names {
					d.Resources = append(d.Resources, &discoveryv3.Resource{Name: n, Version: "1", Resource: pack(t, controlplane.Cluster(n, ""))})
				}
				m.HandleDelta(now, d)
			}
			before = names
		}
		for _, s := range m.Summaries() {
			if s.Resources != 2 {
				t.Errorf("delta %v: %d resources of %s are kept", delta, s.Resources, s.Type.Short())
			}
		}
	}
}

// Clusters whose services form a cycle are subscribed to like others.
func TestCyclicClusterReferences(t *testing.T) {
	m := NewMachine(Options{Clusters: true, RouteConfigName: "a"})
	m.StartStream(sec)
	r := &discoveryv3.DiscoveryResponse{TypeUrl: string(ClusterType), VersionInfo: "1", Nonce: "n", Resources: []*anypb.Any{
		pack(t, controlplane.Cluster("a", "b")), pack(t, controlplane.Cluster("b", "a")), pack(t, controlplane.Cluster("c", "c"))}}
	out, _ := m.HandleSotW(sec, r)
	if len(out) != 2 || !slices.Equal(out[1].SotW.GetResourceNames(), []string{"a", "b", "c"}) {
		t.Errorf("%v", out)
	}
	out, changes := m.HandleSotW(2*sec, &discoveryv3.DiscoveryResponse{TypeUrl: string(RouteType), VersionInfo: "1", Nonce: "n", Resources: []*anypb.Any{
		pack(t, controlplane.Routes("a", [2]string{"/", "a"}))}})
	if out[0].SotW.GetErrorDetail() != nil || len(changes) != 1 {
		t.Errorf("%v", out)
	}
}
