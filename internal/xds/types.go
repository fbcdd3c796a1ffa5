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

// makeBeforeBreak is the order in which types are applied, so that a resource comes after those that it refers to.
var makeBeforeBreak = []Type{ClusterType, EndpointType, ListenerType, RouteType}

// Short returns the name of the type in the status and in logs.
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

// State is the state of a resource that is subscribed to.
type State uint8

// The values of State.
const (
	Requested State = iota // subscribed to, without any response yet
	Received               // the last accepted version is in use
	Absent                 // known not to exist, or expired
)

// String returns the name in lower case.
func (s State) String() string { return [...]string{"requested", "received", "absent"}[s] }

// Resource is what is known of one resource. Times are of the caller's clock.
type Resource struct {
	Name           string
	State          State
	Version        string // of Value
	Value          any    // *Cluster, *Assignment, *Listener or *Routes if State is Received
	Warnings       []string
	UpdatedAt      time.Duration // when Value was last received
	RejectedReason string        // why the newest version is not in use; empty if it is
	AbsentReason   string        // if State is Absent

	expiresAt   time.Duration // 0: never
	requestedAt time.Duration
	body        *anypb.Any // with Options.RetainBodies
}

// Body returns the resource as it was received, with Options.RetainBodies and if State is Received; otherwise nil.
func (r *Resource) Body() *anypb.Any { return r.body }

// TTLLeft returns the remaining time to live; 0 if it does not expire.
func (r *Resource) TTLLeft(now time.Duration) time.Duration {
	if r.expiresAt == 0 {
		return 0
	}
	return max(r.expiresAt-now, time.Millisecond)
}

// Proto returns the resource in the protocol's form, with its remaining time to live.
func (r *Resource) Proto(now time.Duration) *discoveryv3.Resource {
	message := &discoveryv3.Resource{Name: r.Name, Version: r.Version, Resource: r.body}
	if left := r.TTLLeft(now); left > 0 {
		message.Ttl = durationpb.New(left)
	}
	return message
}

// Change is a change of one resource. Resource is a copy.
type Change struct {
	Type Type
	Resource
}

// Request is a request to the control plane, of either variant of the protocol; the other one is nil.
type Request struct {
	SotW  *discoveryv3.DiscoveryRequest
	Delta *discoveryv3.DeltaDiscoveryRequest
}

// Summary describes all resources of a type.
type Summary struct {
	Type      Type
	Version   string // of the state of the world; empty with the incremental variant
	UpdatedAt time.Duration
	Accepted  int // responses
	Rejected  int // responses
	LastError string
	Resources int
}
