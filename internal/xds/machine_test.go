package xds

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"

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
	// One resource is rejected, the others are used, and the NACK names the previous version.
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
	// An older version is accepted as well; resources that it leaves out are removed together with their endpoints.
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
	// A type that is not subscribed to, and a resource of another type than its response.
	if out, _ = m.HandleSotW(6*sec, &discoveryv3.DiscoveryResponse{TypeUrl: "x", Nonce: "n"}); out[0].SotW.GetErrorDetail() == nil {
		t.Error("a type that was not asked for is accepted")
	}
	other := clusters(t, "4", "n5", "b")
	other.Resources[0].TypeUrl = string(EndpointType)
	if out, _ = m.HandleSotW(7*sec, other); out[0].SotW.GetErrorDetail() == nil {
		t.Error("one type is taken as another")
	}
	// The same resources under a new nonce are accepted, and only the version changes.
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

// An hour of resources with ever new names leaves no state behind.
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
