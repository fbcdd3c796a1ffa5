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

// marshalAny packs a message into an Any.
func marshalAny(t interface{ Fatal(...any) }, message proto.Message) *anypb.Any {
	body, err := anypb.New(message)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// clusterResponse returns a state-of-the-world response with EDS clusters.
func clusterResponse(t *testing.T, version, nonce string, names ...string) *discoveryv3.DiscoveryResponse {
	response := &discoveryv3.DiscoveryResponse{VersionInfo: version, Nonce: nonce, TypeUrl: string(ClusterType)}
	for _, name := range names {
		response.Resources = append(response.Resources, marshalAny(t, controlplane.Cluster(name, "")))
	}
	return response
}

// describe returns the resources of a type as NAME=VERSION/STATE, separated by spaces.
func (m *Machine) describe(t Type) string {
	var states []string
	for _, resource := range m.Resources(t) {
		states = append(states, fmt.Sprintf("%s=%s/%v", resource.Name, resource.Version, resource.State))
	}
	return strings.Join(states, " ")
}

// The requests of the state-of-the-world variant comply with the protocol: node, ACKs, NACKs and their versions and nonces.
func TestStateOfTheWorldProtocol(t *testing.T) {
	machine := NewMachine(Options{Clusters: true, Node: Node("gw", "c", "z")})
	requests, _ := machine.StartStream(sec)
	if len(requests) != 1 || requests[0].SotW.GetTypeUrl() != string(ClusterType) || requests[0].SotW.GetNode().GetId() != "gw" || requests[0].SotW.GetVersionInfo() != "" {
		t.Fatalf("StartStream: requests = %v, want one for clusters, with the node and without a version", requests)
	}
	requests, changes := machine.HandleSotW(2*sec, clusterResponse(t, "1", "n1", "a", "b"))
	if len(requests) != 2 || requests[0].SotW.GetVersionInfo() != "1" || requests[0].SotW.GetResponseNonce() != "n1" || requests[0].SotW.GetErrorDetail() != nil {
		t.Fatalf("requests after the first response = %v, want an ACK of version 1 and nonce n1, and another request", requests)
	}
	if requests[1].SotW.GetTypeUrl() != string(EndpointType) || !slices.Equal(requests[1].SotW.GetResourceNames(), []string{"a", "b"}) || requests[1].SotW.GetNode() != nil {
		t.Fatalf("second request = %v, want a subscription to endpoints a and b without the node", requests[1])
	}
	if len(changes) != 2 || changes[0].Name != "a" || changes[0].State != Received {
		t.Fatalf("changes = %v, want 2, first cluster a received", changes)
	}
	// One resource is rejected, the others are used, and the NACK contains the previous version.
	partlyInvalid := clusterResponse(t, "2", "n2", "a", "c")
	cluster := controlplane.Cluster("b", "")
	cluster.EdsClusterConfig = nil
	partlyInvalid.Resources = append(partlyInvalid.Resources, marshalAny(t, cluster))
	requests, _ = machine.HandleSotW(3*sec, partlyInvalid)
	if detail := requests[0].SotW.GetErrorDetail(); requests[0].SotW.GetVersionInfo() != "1" || requests[0].SotW.GetResponseNonce() != "n2" || !strings.Contains(detail.GetMessage(), `"b": eds_cluster_config: is missing`) {
		t.Fatalf("reply = %v, want a NACK with version 1, nonce n2 and the error of cluster b", requests[0])
	}
	if got := machine.describe(ClusterType); got != "a=2/received b=1/received c=2/received" {
		t.Errorf("after a NACK: got clusters %q, want %q", got, "a=2/received b=1/received c=2/received")
	}
	if resource := machine.Resources(ClusterType)[1]; !strings.Contains(resource.RejectedReason, "eds_cluster_config") {
		t.Errorf("cluster b = %+v, want a RejectedReason that contains eds_cluster_config", resource)
	}
	// A resource whose name cannot be read may be any resource, so no omitted resource is removed.
	unreadable := clusterResponse(t, "3", "n3", "a")
	unreadable.Resources = append(unreadable.Resources, &anypb.Any{TypeUrl: string(ClusterType), Value: []byte{0xff}})
	if requests, _ = machine.HandleSotW(4*sec, unreadable); requests[0].SotW.GetErrorDetail() == nil {
		t.Error("reply to an unreadable resource has no error detail, want a NACK")
	}
	if got := machine.describe(ClusterType); got != "a=3/received b=1/received c=2/received" {
		t.Errorf("after an unreadable resource: got clusters %q, want %q", got, "a=3/received b=1/received c=2/received")
	}
	// An older version is accepted as well. Omitted clusters are removed, together with their endpoints.
	requests, changes = machine.HandleSotW(5*sec, clusterResponse(t, "1", "n4", "b"))
	if got := machine.describe(ClusterType); got != "b=1/received" || requests[0].SotW.GetVersionInfo() != "1" {
		t.Errorf("after an older version: got clusters %q and reply %v, want %q and an ACK of version 1", got, requests[0], "b=1/received")
	}
	if got := machine.describe(EndpointType); got != "b=/requested" {
		t.Errorf("after an older version: got endpoints %q, want %q", got, "b=/requested")
	}
	if len(changes) != 3 || changes[0].State != Absent || len(requests) != 2 || !slices.Equal(requests[1].SotW.GetResourceNames(), []string{"b"}) {
		t.Errorf("after an older version:\nchanges = %v, want 3, first absent\nrequests = %v, want 2, second for endpoints b", changes, requests)
	}
	// A response of a type that is not subscribed to, and a resource whose type differs from that of its response, are rejected.
	if requests, _ = machine.HandleSotW(6*sec, &discoveryv3.DiscoveryResponse{TypeUrl: "x", Nonce: "n"}); requests[0].SotW.GetErrorDetail() == nil {
		t.Error("reply to a type that is not subscribed to has no error detail, want a NACK")
	}
	wrongType := clusterResponse(t, "4", "n5", "b")
	wrongType.Resources[0].TypeUrl = string(EndpointType)
	if requests, _ = machine.HandleSotW(7*sec, wrongType); requests[0].SotW.GetErrorDetail() == nil {
		t.Error("reply to a resource of another type than its response has no error detail, want a NACK")
	}
	// A response that contains the same resource twice is rejected.
	requests, _ = machine.HandleSotW(8*sec, clusterResponse(t, "1", "n6", "b", "b"))
	if !strings.Contains(requests[0].SotW.GetErrorDetail().GetMessage(), "duplicate resource name") {
		t.Error("reply to a duplicate resource: got no NACK about the duplicate name, want one")
	}
	// The first requests of a new stream contain the version in use and no nonce; only the first one contains the node.
	machine.EndStream()
	requests, _ = machine.StartStream(9 * sec)
	if len(requests) != 2 || requests[0].SotW.GetVersionInfo() != "1" || requests[0].SotW.GetResponseNonce() != "" || requests[0].SotW.GetNode() == nil || requests[1].SotW.GetNode() != nil {
		t.Errorf("requests of the new stream = %v, want 2, first with the node, version 1 and no nonce", requests)
	}
	if summaries := machine.Summaries(); summaries[0].Rejected != 4 || summaries[0].Accepted != 2 || summaries[0].LastError == "" || summaries[0].Version != "1" {
		t.Errorf("Summaries() = %+v, want first 4 rejected and 2 accepted responses, an error and version 1", summaries)
	}
}

// The requests of the incremental variant comply with the protocol: subscriptions, ACKs, NACKs and initial versions.
func TestIncrementalProtocol(t *testing.T) {
	machine := NewMachine(Options{Clusters: true, Delta: true, Services: []string{"fixed"}, Node: Node("gw", "c", "z")})
	requests, _ := machine.StartStream(sec)
	if len(requests) != 2 || requests[0].Delta.GetResourceNamesSubscribe() != nil || !slices.Equal(requests[1].Delta.GetResourceNamesSubscribe(), []string{"fixed"}) {
		t.Fatalf("StartStream: requests = %v, want 2, first without names and second for endpoints fixed", requests)
	}
	resource := func(name, version string, machine proto.Message) *discoveryv3.Resource {
		return &discoveryv3.Resource{Name: name, Version: version, Resource: marshalAny(t, machine)}
	}
	requests, _ = machine.HandleDelta(2*sec, &discoveryv3.DeltaDiscoveryResponse{TypeUrl: string(ClusterType), Nonce: "n1", Resources: []*discoveryv3.Resource{
		resource("a", "1", controlplane.Cluster("a", "sa")), resource("b", "1", controlplane.Cluster("b", "")), resource("x", "1", controlplane.Cluster("y", ""))}})
	if detail := requests[0].Delta.GetErrorDetail().GetMessage(); !strings.Contains(detail, `"x": name in the resource is "y"`) || requests[0].Delta.GetResponseNonce() != "n1" {
		t.Errorf("reply = %v, want a NACK with nonce n1 and the mismatched name of x", requests[0])
	}
	if len(requests) != 2 || !slices.Equal(requests[1].Delta.GetResourceNamesSubscribe(), []string{"b", "sa"}) {
		t.Errorf("requests after the first response = %v, want 2, second for endpoints b and sa", requests)
	}
	machine.HandleDelta(3*sec, &discoveryv3.DeltaDiscoveryResponse{TypeUrl: string(EndpointType), Nonce: "n2", Resources: []*discoveryv3.Resource{
		resource("sa", "5", controlplane.Assignment("sa")), resource("stranger", "1", controlplane.Assignment("stranger"))}})
	if got := machine.describe(EndpointType); got != "b=/requested fixed=/requested sa=5/received" {
		t.Error(got)
	}
	requests, changes := machine.HandleDelta(4*sec, &discoveryv3.DeltaDiscoveryResponse{TypeUrl: string(ClusterType), Nonce: "n3", RemovedResources: []string{"a", "never"}})
	if len(requests) != 2 || !slices.Equal(requests[1].Delta.GetResourceNamesUnsubscribe(), []string{"sa"}) || len(changes) != 2 {
		t.Errorf("after the removal of cluster a: requests = %v, want 2, second unsubscribing from sa; changes = %v, want 2", requests, changes)
	}
	machine.HandleDelta(4*sec, &discoveryv3.DeltaDiscoveryResponse{TypeUrl: string(EndpointType), Nonce: "n4", Resources: []*discoveryv3.Resource{resource("b", "9", controlplane.Assignment("b"))}})
	machine.EndStream()
	requests, _ = machine.StartStream(5 * sec)
	if versions := requests[1].Delta.GetInitialResourceVersions(); len(versions) != 1 || versions["b"] != "9" {
		t.Errorf("initial resource versions = %v, want b: 9", versions)
	}
	// Withdrawn endpoints become absent, but stay subscribed.
	_, changes = machine.HandleDelta(6*sec, &discoveryv3.DeltaDiscoveryResponse{TypeUrl: string(EndpointType), Nonce: "n5", RemovedResources: []string{"b"}})
	if len(changes) != 1 || changes[0].State != Absent || machine.describe(EndpointType) != "b=/absent fixed=/requested" {
		t.Errorf("after the removal of endpoints b: changes = %v, want 1, absent; endpoints = %q, want %q", changes, machine.describe(EndpointType), "b=/absent fixed=/requested")
	}
	if requests, _ := machine.HandleDelta(7*sec, &discoveryv3.DeltaDiscoveryResponse{TypeUrl: "x"}); requests[0].Delta.GetErrorDetail() == nil {
		t.Error("reply to a type that is not subscribed to has no error detail, want a NACK")
	}
}

// A resource that gets no response times out. A resource with a time to live expires unless a heartbeat renews it.
func TestFetchTimeoutAndTimeToLive(t *testing.T) {
	machine := NewMachine(Options{Services: []string{"a", "b"}, FetchTimeout: 15 * sec})
	machine.StartStream(sec)
	wrap := func(name string, body proto.Message, ttl time.Duration) *anypb.Any {
		resource := &discoveryv3.Resource{Name: name, Ttl: durationpb.New(ttl)}
		if body != nil {
			resource.Resource = marshalAny(t, body)
		}
		return marshalAny(t, resource)
	}
	respond := func(now time.Duration, resources ...*anypb.Any) []Request {
		requests, _ := machine.HandleSotW(now, &discoveryv3.DiscoveryResponse{TypeUrl: string(EndpointType), VersionInfo: "1", Nonce: "n", Resources: resources})
		return requests
	}
	respond(2*sec, wrap("a", controlplane.Assignment("a"), 10*sec))
	if deadline := machine.NextDeadline(); deadline != 12*sec {
		t.Errorf("NextDeadline() = %v, want 12s", deadline)
	}
	if requests := respond(11*sec, wrap("a", nil, 10*sec)); requests[0].SotW.GetErrorDetail() != nil {
		t.Errorf("reply to a heartbeat = %v, want an ACK", requests)
	}
	if _, changes := machine.Tick(13 * sec); len(changes) != 0 {
		t.Errorf("Tick after a heartbeat: changes = %v, want none", changes)
	}
	if _, changes := machine.Tick(16 * sec); len(changes) != 1 || changes[0].Name != "b" || !strings.Contains(changes[0].AbsentReason, "within 15s") {
		t.Errorf("Tick after the fetch timeout: changes = %v, want b absent, with the timeout as the reason", changes)
	}
	if _, changes := machine.Tick(21 * sec); len(changes) != 1 || changes[0].Name != "a" || changes[0].State != Absent {
		t.Errorf("Tick after the time to live: changes = %v, want a absent", changes)
	}
	if machine.NextDeadline() != 0 {
		t.Errorf("NextDeadline() = %v, want 0", machine.NextDeadline())
	}
	if requests := respond(22*sec, wrap("a", nil, 10*sec)); requests[0].SotW.GetErrorDetail() == nil {
		t.Error("reply to a heartbeat of an absent resource has no error detail, want a NACK")
	}
	respond(23*sec, wrap("b", controlplane.Assignment("b"), 0), wrap("a", controlplane.Assignment("a"), 0))
	if got := machine.describe(EndpointType); got != "a=1/received b=1/received" {
		t.Error(got)
	}
}

// If one of 500 resources is invalid, the other 499 are used.
func TestValidResourcesOfRejectedResponseAreUsed(t *testing.T) {
	for _, delta := range []bool{false, true} {
		machine := NewMachine(Options{Clusters: true, Delta: delta})
		machine.StartStream(sec)
		sotwResponse := clusterResponse(t, "1", "n")
		deltaResponse := &discoveryv3.DeltaDiscoveryResponse{TypeUrl: string(ClusterType), Nonce: "n"}
		for i := range 500 {
			cluster := controlplane.Cluster(fmt.Sprintf("c%03d", i), "")
			if i == 250 {
				cluster.EdsClusterConfig.ServiceName, cluster.LbPolicy = "", 99
			}
			sotwResponse.Resources = append(sotwResponse.Resources, marshalAny(t, cluster))
			deltaResponse.Resources = append(deltaResponse.Resources, &discoveryv3.Resource{Name: cluster.Name, Version: "1", Resource: marshalAny(t, cluster)})
		}
		var requests []Request
		var changes []Change
		if delta {
			requests, changes = machine.HandleDelta(sec, deltaResponse)
		} else {
			requests, changes = machine.HandleSotW(sec, sotwResponse)
		}
		detail := requests[0].SotW.GetErrorDetail().GetMessage() + requests[0].Delta.GetErrorDetail().GetMessage()
		if !strings.Contains(detail, `"c250"`) || strings.Count(detail, "\n") != 0 {
			t.Errorf("delta=%v: error detail = %q, want one line about c250", delta, detail)
		}
		received := 0
		for _, cluster := range changes {
			if cluster.State == Received {
				received++
			}
		}
		if received != 499 {
			t.Errorf("delta=%v: got %d received clusters, want 499", delta, received)
		}
	}
}

// Whatever a response contains, the first request returned is a reply with the nonce of the response. Neither handling the
// response nor a later Tick panics.
func FuzzResponses(f *testing.F) {
	response := &discoveryv3.DiscoveryResponse{VersionInfo: "1", Nonce: "n", TypeUrl: string(ClusterType)}
	encoded, err := anypb.New(controlplane.Cluster("a", "b"))
	if err != nil {
		f.Fatal(err)
	}
	response.Resources = []*anypb.Any{encoded}
	sotwSeed, err := proto.Marshal(response)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sotwSeed)
	delta := &discoveryv3.DeltaDiscoveryResponse{Nonce: "n", TypeUrl: string(ClusterType), RemovedResources: []string{"x"},
		Resources: []*discoveryv3.Resource{{Name: "a", Version: "1", Resource: encoded, Ttl: durationpb.New(sec)}}}
	deltaSeed, err := proto.Marshal(delta)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(deltaSeed)
	f.Fuzz(func(t *testing.T, encoded []byte) {
		sotwMachine, delta := NewMachine(Options{Clusters: true, RouteConfigName: "r"}), NewMachine(Options{Clusters: true, RouteConfigName: "r", Delta: true})
		sotwMachine.StartStream(sec)
		delta.StartStream(sec)
		var sotwResponse discoveryv3.DiscoveryResponse
		if proto.Unmarshal(encoded, &sotwResponse) == nil {
			if requests, _ := sotwMachine.HandleSotW(sec, &sotwResponse); len(requests) == 0 || requests[0].SotW.GetResponseNonce() != sotwResponse.GetNonce() {
				t.Errorf("HandleSotW: requests = %v, want first a reply with nonce %q", requests, sotwResponse.GetNonce())
			}
			sotwMachine.Tick(sec * 100)
		}
		var deltaResponse discoveryv3.DeltaDiscoveryResponse
		if proto.Unmarshal(encoded, &deltaResponse) == nil {
			if requests, _ := delta.HandleDelta(sec, &deltaResponse); len(requests) == 0 || requests[0].Delta.GetResponseNonce() != deltaResponse.GetNonce() {
				t.Errorf("HandleDelta: requests = %v, want first a reply with nonce %q", requests, deltaResponse.GetNonce())
			}
			delta.Tick(sec * 100)
		}
	})
}

// A machine that receives new names for an hour retains no state of the removed resources.
func TestRemovedResourcesAreNotRetained(t *testing.T) {
	for _, delta := range []bool{false, true} {
		machine := NewMachine(Options{Clusters: true, Delta: delta})
		machine.StartStream(sec)
		var previous []string
		for i := range 3600 {
			now := time.Duration(i+1) * sec
			names := []string{fmt.Sprint("a", i), fmt.Sprint("b", i)}
			if !delta {
				machine.HandleSotW(now, clusterResponse(t, fmt.Sprint(i), "n", names...))
			} else {
				response := &discoveryv3.DeltaDiscoveryResponse{TypeUrl: string(ClusterType), RemovedResources: previous}
				for _, name := range names {
					response.Resources = append(response.Resources, &discoveryv3.Resource{Name: name, Version: "1", Resource: marshalAny(t, controlplane.Cluster(name, ""))})
				}
				machine.HandleDelta(now, response)
			}
			previous = names
		}
		for _, summary := range machine.Summaries() {
			if summary.Resources != 2 {
				t.Errorf("delta=%v: got %d resources of type %s, want 2", delta, summary.Resources, summary.Type.Short())
			}
		}
	}
}

// Clusters that refer to each other's names as their services are subscribed to like any others.
func TestCyclicClusterReferences(t *testing.T) {
	machine := NewMachine(Options{Clusters: true, RouteConfigName: "a"})
	machine.StartStream(sec)
	response := &discoveryv3.DiscoveryResponse{TypeUrl: string(ClusterType), VersionInfo: "1", Nonce: "n", Resources: []*anypb.Any{
		marshalAny(t, controlplane.Cluster("a", "b")), marshalAny(t, controlplane.Cluster("b", "a")), marshalAny(t, controlplane.Cluster("c", "c"))}}
	requests, _ := machine.HandleSotW(sec, response)
	if len(requests) != 2 || !slices.Equal(requests[1].SotW.GetResourceNames(), []string{"a", "b", "c"}) {
		t.Errorf("requests after the clusters = %v, want 2, second for endpoints a, b and c", requests)
	}
	requests, changes := machine.HandleSotW(2*sec, &discoveryv3.DiscoveryResponse{TypeUrl: string(RouteType), VersionInfo: "1", Nonce: "n", Resources: []*anypb.Any{
		marshalAny(t, controlplane.Routes("a", [2]string{"/", "a"}))}})
	if requests[0].SotW.GetErrorDetail() != nil || len(changes) != 1 {
		t.Errorf("after the routes: requests = %v, want first an ACK; changes = %v, want 1", requests, changes)
	}
}
