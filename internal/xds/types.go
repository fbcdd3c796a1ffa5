package xds

import (
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"
)

// Type is the URL of a resource type.
type Type string

// The supported resource types.
const (
	ClusterType  Type = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	EndpointType Type = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	ListenerType Type = "type.googleapis.com/envoy.config.listener.v3.Listener"
	RouteType    Type = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
)

// makeBeforeBreak is the order in which types are applied: a resource is applied after the resources that it refers to.
var makeBeforeBreak = []Type{ClusterType, EndpointType, ListenerType, RouteType}

// Short returns the short name of the type, which is used in /status and in logs.
func (t Type) Short() string {
	switch t {
	case ClusterType:
		return "cluster"
	case EndpointType:
		return "endpoints"
	case ListenerType:
		return "listener"
	case RouteType:
		return "routes"
	}
	return string(t)
}

// State is the state of a subscribed resource.
type State uint8

// The values of State.
const (
	Requested State = iota // subscribed, but no response has been received yet
	Received               // the last accepted version is in use
	Absent                 // does not exist, or has expired
)

// String returns the lower-case name of the state.
func (s State) String() string { return [...]string{"requested", "received", "absent"}[s] }

// Resource holds the state and the value of one resource. Times are readings of the caller's clock.
type Resource struct {
	Name           string
	State          State
	Version        string // version of Value
	Value          any    // *Cluster, *Assignment, *Listener or *Routes if State is Received
	Warnings       []string
	UpdatedAt      time.Duration // when Value was last received
	RejectedReason string        // why the newest version was rejected; empty if it is in use
	AbsentReason   string        // set if State is Absent

	expiresAt   time.Duration // 0: never
	requestedAt time.Duration
	body        *anypb.Any // set with Options.RetainBodies
}

// Body returns the encoded resource as received. It returns nil unless Options.RetainBodies is set and State is Received.
func (r *Resource) Body() *anypb.Any { return r.body }

// TTLLeft returns the remaining time to live, at least 1 ms; 0 if the resource does not expire.
func (r *Resource) TTLLeft(now time.Duration) time.Duration {
	if r.expiresAt == 0 {
		return 0
	}
	return max(r.expiresAt-now, time.Millisecond)
}

// Proto returns the resource as a protocol message, with its remaining time to live.
func (r *Resource) Proto(now time.Duration) *discoveryv3.Resource {
	message := &discoveryv3.Resource{Name: r.Name, Version: r.Version, Resource: r.body}
	if left := r.TTLLeft(now); left > 0 {
		message.Ttl = durationpb.New(left)
	}
	return message
}

// Change is a change of one resource. It contains a copy of the resource after the change.
type Change struct {
	Type Type
	Resource
}

// Request is a request to the control plane. Exactly one field is set, depending on the variant of the protocol.
type Request struct {
	SotW  *discoveryv3.DiscoveryRequest
	Delta *discoveryv3.DeltaDiscoveryRequest
}

// Summary summarizes the resources of a type and the responses received for it.
type Summary struct {
	Type      Type
	Version   string // last accepted version; empty with the incremental variant
	UpdatedAt time.Duration
	Accepted  int // number of accepted responses
	Rejected  int // number of rejected responses
	LastError string
	Resources int
}
