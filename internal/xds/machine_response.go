package xds

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	statuspb "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

const (
	// maxResources limits the resources of a type with a wildcard subscription.
	maxResources = 100_000
	// maxErrorBytes limits the text of an error, as a response can contain any number of invalid resources.
	maxErrorBytes = 4 << 10
	// wrapperType is the type that wraps a resource with a name and a time to live in a state-of-the-world response.
	wrapperType = "type.googleapis.com/envoy.service.discovery.v3.Resource"

	reasonWithdrawn = "the control plane withdrew it"
)

var (
	errNotSubscribed = errors.New("resource type is not subscribed to")
	errDuplicate     = errors.New("duplicate resource name")
)

// responseResource is one resource of a response.
type responseResource struct {
	name    string
	version string
	body    *anypb.Any // nil: the resource only renews the time to live
	ttl     time.Duration
	hasTTL  bool
}

func unwrap(r *discoveryv3.Resource, version string) responseResource {
	return responseResource{
		name:    r.GetName(),
		version: version,
		body:    r.GetResource(),
		ttl:     r.GetTtl().AsDuration(),
		hasTTL:  r.GetTtl() != nil,
	}
}

// HandleSotW handles a response of the state-of-the-world variant. The first request returned is its ACK or NACK.
func (m *Machine) HandleSotW(now time.Duration, response *discoveryv3.DiscoveryResponse) ([]Request, []Change) {
	state := m.stateOf(Type(response.GetTypeUrl()))
	reply := &discoveryv3.DiscoveryRequest{TypeUrl: response.GetTypeUrl(), ResponseNonce: response.GetNonce()}
	if state == nil {
		reply.ErrorDetail = nackDetail(errNotSubscribed)
		return []Request{{SotW: reply}}, nil
	}
	state.nonce = response.GetNonce()
	update := m.newResponseUpdate(now, state)
	for i, body := range response.GetResources() {
		update.applyAny(i, body, response.GetVersionInfo())
	}
	// Responses with clusters or listeners are complete, so omitted resources are removed; omitted resources of other types
	// are kept. If a resource of the response has no readable name, any omitted resource may be that one, and none is removed.
	if (state.wildcard || state.resourceType == ListenerType) && !update.hasUnnamed {
		update.removeOmitted()
	}
	if len(update.errs) == 0 {
		state.version = response.GetVersionInfo()
	} else {
		reply.ErrorDetail = nackDetail(update.errs...)
	}
	reply.VersionInfo = state.version
	requests, changes := update.finish()
	reply.ResourceNames = state.subscribed()
	return m.withReply(Request{SotW: reply}, state, requests), changes
}

// HandleDelta handles a response of the incremental variant. The first request returned is its ACK or NACK.
func (m *Machine) HandleDelta(now time.Duration, response *discoveryv3.DeltaDiscoveryResponse) ([]Request, []Change) {
	state := m.stateOf(Type(response.GetTypeUrl()))
	reply := &discoveryv3.DeltaDiscoveryRequest{TypeUrl: response.GetTypeUrl(), ResponseNonce: response.GetNonce()}
	if state == nil {
		reply.ErrorDetail = nackDetail(errNotSubscribed)
		return []Request{{Delta: reply}}, nil
	}
	state.nonce = response.GetNonce()
	update := m.newResponseUpdate(now, state)
	for i, r := range response.GetResources() {
		update.apply(unwrap(r, r.GetVersion()), i)
	}
	for _, name := range response.GetRemovedResources() {
		if r := state.resources[name]; r != nil {
			update.remove(r)
		}
	}
	if len(update.errs) > 0 {
		reply.ErrorDetail = nackDetail(update.errs...)
	}
	requests, changes := update.finish()
	return m.withReply(Request{Delta: reply}, state, requests), changes
}

// withReply returns the reply followed by the other requests. In the state-of-the-world variant the reply already contains
// the subscription of its type, so other requests of that type are omitted.
func (m *Machine) withReply(reply Request, state *typeState, others []Request) []Request {
	requests := []Request{reply}
	for _, other := range others {
		if reply.SotW != nil && other.SotW.GetTypeUrl() == string(state.resourceType) {
			continue
		}
		requests = append(requests, other)
	}
	return requests
}

// responseUpdate applies one response.
type responseUpdate struct {
	machine    *Machine
	state      *typeState
	now        time.Duration
	errs       []error
	seen       map[string]bool
	hasUnnamed bool // the name of at least one resource could not be read
	changes    map[string]Change
}

func (m *Machine) newResponseUpdate(now time.Duration, state *typeState) *responseUpdate {
	return &responseUpdate{machine: m, state: state, now: now, seen: map[string]bool{}, changes: map[string]Change{}}
}

// reject records an invalid resource. The name is empty if it could not be read or the resource could not be added.
func (u *responseUpdate) reject(name string, err error) {
	u.errs = append(u.errs, err)
	if r := u.state.resources[name]; name != "" && r != nil {
		r.RejectedReason = truncate(err.Error())
		u.changes[name] = Change{u.state.resourceType, *r}
	}
}

// applyAny applies one resource of a state-of-the-world response. The resource may be wrapped, see wrapperType.
func (u *responseUpdate) applyAny(i int, body *anypb.Any, version string) {
	if body.GetTypeUrl() != wrapperType {
		u.apply(responseResource{version: version, body: body}, i)
		return
	}
	var wrapper discoveryv3.Resource
	if err := proto.Unmarshal(body.GetValue(), &wrapper); err != nil {
		u.reject("", fmt.Errorf("resources[%d]: %w", i, err))
		u.hasUnnamed = true
		return
	}
	u.apply(unwrap(&wrapper, version), i)
}

// apply applies one resource of a response.
func (u *responseUpdate) apply(received responseResource, i int) {
	if received.body == nil {
		u.renew(received, i)
		return
	}
	parsed, err := u.machine.parse(u.state.resourceType, received.body)
	name := parsed.name
	if name == "" {
		name = received.name
	}
	if err == nil && received.name != "" && received.name != name {
		err = fmt.Errorf("name in the resource is %q", name)
		name = received.name
	}
	if name == "" {
		u.hasUnnamed = true
		u.reject("", fmt.Errorf("resources[%d]: %w", i, err))
		return
	}
	if u.seen[name] && err == nil {
		err = errDuplicate
	}
	u.seen[name] = true
	if err != nil {
		u.addIfWildcard(name)
		u.reject(name, fmt.Errorf("resources[%d] %q: %w", i, name, err))
		return
	}
	if u.state.resources[name] == nil {
		if !u.state.wildcard {
			return // not subscribed; happens after an unsubscription
		}
		if !u.addIfWildcard(name) {
			u.reject("", fmt.Errorf("resources[%d] %q: more than %d resources", i, name, maxResources))
			return
		}
	}
	u.accept(u.state.resources[name], received, parsed)
}

// addIfWildcard adds a resource of a wildcard subscription if it is not known yet. It reports whether the resource is known
// afterwards.
func (u *responseUpdate) addIfWildcard(name string) bool {
	if u.state.resources[name] != nil {
		return true
	}
	if !u.state.wildcard || len(u.state.resources) >= maxResources {
		return false
	}
	u.state.resources[name] = &Resource{Name: name, requestedAt: u.now}
	return true
}

// accept stores a valid resource, which is then in use.
func (u *responseUpdate) accept(r *Resource, received responseResource, parsed parsedResource) {
	r.State = Received
	r.Version = received.version
	r.Value = parsed.value
	r.Warnings = parsed.warnings
	r.UpdatedAt = u.now
	r.RejectedReason = ""
	r.AbsentReason = ""
	r.expiresAt = u.expiry(received)
	if u.machine.options.RetainBodies {
		r.body = received.body
	}
	u.changes[r.Name] = Change{u.state.resourceType, *r}
}

// renew handles a resource without a body, which renews the time to live of the resource in use.
func (u *responseUpdate) renew(received responseResource, i int) {
	r := u.state.resources[received.name]
	if r == nil || r.State != Received {
		u.reject(received.name, fmt.Errorf("resources[%d] %q: resource body is missing, and no such resource is in use", i, received.name))
		return
	}
	u.seen[received.name] = true
	r.expiresAt = u.expiry(received)
}

// expiry returns the time when a received resource expires; 0: never.
func (u *responseUpdate) expiry(received responseResource) time.Duration {
	if !received.hasTTL || received.ttl <= 0 {
		return 0
	}
	return u.now + received.ttl
}

// removeOmitted removes the resources that are not in a complete response.
func (u *responseUpdate) removeOmitted() {
	for name, r := range u.state.resources {
		if !u.seen[name] && r.State != Absent {
			u.remove(r)
		}
	}
}

func (u *responseUpdate) remove(r *Resource) {
	u.changes[r.Name] = u.state.markAbsent(u.now, r, reasonWithdrawn)
}

// finish updates the counters of the type. It returns the changes, and the requests for the subscriptions that they change.
func (u *responseUpdate) finish() ([]Request, []Change) {
	u.state.updatedAt = u.now
	u.state.lastError = ""
	if len(u.errs) > 0 {
		u.state.rejected++
		u.state.lastError = truncate(errors.Join(u.errs...).Error())
	} else {
		u.state.accepted++
	}
	changes := slices.Collect(maps.Values(u.changes))
	sortChanges(changes)
	requests, unsubscribed := u.machine.updateSubscriptions(u.now)
	return requests, append(changes, unsubscribed...)
}

// parsedResource is a resource converted to the gateway's type.
type parsedResource struct {
	name     string // also set for an invalid resource whose name could be read
	value    any
	warnings []string
}

// parse checks a resource and converts it.
func (m *Machine) parse(t Type, body *anypb.Any) (parsed parsedResource, err error) {
	if body.GetTypeUrl() != string(t) {
		return parsed, fmt.Errorf("unexpected resource type %q", body.GetTypeUrl())
	}
	switch t {
	case ClusterType:
		var message clusterv3.Cluster
		if err = proto.Unmarshal(body.GetValue(), &message); err == nil {
			parsed.name = message.GetName()
			parsed.value, parsed.warnings, err = ParseCluster(&message)
		}
	case EndpointType:
		var message endpointv3.ClusterLoadAssignment
		if err = proto.Unmarshal(body.GetValue(), &message); err == nil {
			parsed.name = message.GetClusterName()
			parsed.value, parsed.warnings, err = ParseAssignment(&message)
		}
	case ListenerType:
		var message listenerv3.Listener
		if err = proto.Unmarshal(body.GetValue(), &message); err == nil {
			parsed.name = message.GetName()
			parsed.value, parsed.warnings, err = ParseListener(&message, m.options.Classes)
		}
	case RouteType:
		var message routev3.RouteConfiguration
		if err = proto.Unmarshal(body.GetValue(), &message); err == nil {
			parsed.name = message.GetName()
			parsed.value, parsed.warnings, err = ParseRoutes(&message, m.options.Classes)
		}
	}
	return parsed, err
}

// truncate shortens a text that is longer than maxErrorBytes, and makes it valid UTF-8.
func truncate(text string) string {
	if len(text) > maxErrorBytes {
		return strings.ToValidUTF8(text[:maxErrorBytes], "") + " ..."
	}
	return strings.ToValidUTF8(text, "?")
}

// nackDetail returns the error detail of a NACK.
func nackDetail(errs ...error) *statuspb.Status {
	message := truncate(errors.Join(errs...).Error())
	return &statuspb.Status{Code: int32(codes.InvalidArgument), Message: message}
}
