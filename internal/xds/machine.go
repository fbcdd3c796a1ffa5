package xds

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
)

// Options are the options of a Machine.
type Options struct {
	Delta           bool // use the incremental variant of the protocol
	Node            *corev3.Node
	Clusters        bool            // subscribe to all clusters
	Services        []string        // ClusterLoadAssignments to subscribe to beside those that clusters name
	RouteConfigName string          // the RouteConfiguration to subscribe to; empty: none
	ListenerName    string          // the Listener to subscribe to, with the RouteConfiguration that it names; empty: none
	Classes         map[string]bool // the classes that routes may name; nil: any
	RetainBodies    bool            // retain resources as received, for Export
	FetchTimeout    time.Duration   // a resource without any response for so long does not exist; 0: it is waited for
}

// typeState is the state of one resource type.
type typeState struct {
	resourceType Type
	wildcard     bool                 // subscribed to all
	resources    map[string]*Resource // subscribed to, or received where wildcard is set
	version      string               // state of the world: the last accepted one
	nonce        string               // of the last response on this stream
	updatedAt    time.Duration
	accepted     int
	rejected     int
	lastError    string // of the last response, if it was rejected
}

// Machine is the client's side of the xDS transport protocol: responses in, requests and changes out. It has no clock, no
// connection and no goroutine, and is not safe for concurrent use. A response is answered by an ACK with its version or a
// NACK with the former one. Valid resources of a rejected response are used all the same; each invalid one keeps its former
// version.
type Machine struct {
	options    Options
	types      []*typeState // in the order of subscription
	streamOpen bool
	nodeSent   bool // on this stream, whose first request contains the node
}

// NewMachine returns a Machine without a stream.
func NewMachine(options Options) *Machine {
	m := &Machine{options: options}
	add := func(t Type) *typeState {
		state := &typeState{resourceType: t, resources: map[string]*Resource{}}
		m.types = append(m.types, state)
		return state
	}
	if options.Clusters {
		add(ClusterType).wildcard = true
	}
	add(EndpointType)
	if options.ListenerName != "" {
		add(ListenerType)
	}
	if options.RouteConfigName != "" || options.ListenerName != "" {
		add(RouteType)
	}
	return m
}

// stateOf returns the state of a type, or nil if it is not subscribed to.
func (m *Machine) stateOf(t Type) *typeState {
	for _, state := range m.types {
		if state.resourceType == t {
			return state
		}
	}
	return nil
}

// Subscribe replaces Options.Services.
func (m *Machine) Subscribe(now time.Duration, services []string) ([]Request, []Change) {
	m.options.Services = services
	return m.updateSubscriptions(now)
}

// SetClasses replaces Options.Classes from the next response on.
func (m *Machine) SetClasses(classes map[string]bool) { m.options.Classes = classes }

// StartStream starts a stream. It returns the first request of each type, which contains the versions in use.
func (m *Machine) StartStream(now time.Duration) ([]Request, []Change) {
	m.streamOpen = false
	m.nodeSent = false
	_, changes := m.updateSubscriptions(now)
	m.streamOpen = true
	var requests []Request
	for _, state := range m.types {
		state.nonce = ""
		if state.wildcard || len(state.resources) > 0 {
			requests = append(requests, m.firstRequest(state))
		}
	}
	return m.addNode(requests), changes
}

// firstRequest returns the first request of a type on a stream.
func (m *Machine) firstRequest(state *typeState) Request {
	if !m.options.Delta {
		return Request{SotW: &discoveryv3.DiscoveryRequest{
			TypeUrl:       string(state.resourceType),
			ResourceNames: state.subscribed(),
			VersionInfo:   state.version,
		}}
	}
	versions := map[string]string{}
	for name, r := range state.resources {
		if r.State == Received {
			versions[name] = r.Version
		}
	}
	return Request{Delta: &discoveryv3.DeltaDiscoveryRequest{
		TypeUrl:                 string(state.resourceType),
		ResourceNamesSubscribe:  state.subscribed(),
		InitialResourceVersions: versions,
	}}
}

// addNode adds the node to the first request of a stream.
func (m *Machine) addNode(requests []Request) []Request {
	if len(requests) == 0 || m.nodeSent {
		return requests
	}
	m.nodeSent = true
	if requests[0].Delta != nil {
		requests[0].Delta.Node = m.options.Node
	} else {
		requests[0].SotW.Node = m.options.Node
	}
	return requests
}

// EndStream ends the stream. The resources stay in use.
func (m *Machine) EndStream() { m.streamOpen = false }

// StreamOpen reports whether there is a stream.
func (m *Machine) StreamOpen() bool { return m.streamOpen }

// subscribed returns the names that a type subscribes to. A wildcard subscription uses the legacy form without names,
// which every control plane supports.
func (s *typeState) subscribed() []string {
	if s.wildcard {
		return nil
	}
	return slices.Sorted(maps.Keys(s.resources))
}

// updateSubscriptions brings the subscriptions up to date with what the options and the resources in use name.
func (m *Machine) updateSubscriptions(now time.Duration) (requests []Request, changes []Change) {
	names := m.referencedNames()
	for _, state := range m.types {
		if state.wildcard {
			continue
		}
		subscribedNone := len(state.resources) == 0
		added := state.addMissing(now, names[state.resourceType])
		removed, absent := state.removeUnnamed(now, names[state.resourceType])
		changes = append(changes, absent...)
		if !m.streamOpen || len(added)+len(removed) == 0 {
			continue
		}
		// An empty list as the first request of a type would subscribe to all resources; later it subscribes to none.
		if !m.options.Delta && subscribedNone && len(state.resources) == 0 {
			continue
		}
		requests = append(requests, m.subscriptionRequest(state, added, removed))
	}
	sortChanges(changes)
	return m.addNode(requests), changes
}

// referencedNames returns the names that the options and the resources in use name, by type.
func (m *Machine) referencedNames() map[Type]map[string]bool {
	services := map[string]bool{}
	for _, name := range m.options.Services {
		services[name] = true
	}
	if clusters := m.stateOf(ClusterType); clusters != nil {
		for _, r := range clusters.resources {
			if c, ok := r.Value.(*Cluster); ok && c.Service != "" {
				services[c.Service] = true
			}
		}
	}
	listeners := map[string]bool{}
	routes := map[string]bool{}
	if m.options.RouteConfigName != "" {
		routes[m.options.RouteConfigName] = true
	}
	if name := m.options.ListenerName; name != "" {
		listeners[name] = true
		if r := m.stateOf(ListenerType).resources[name]; r != nil {
			if l, ok := r.Value.(*Listener); ok && l.RouteName != "" {
				routes[l.RouteName] = true
			}
		}
	}
	return map[Type]map[string]bool{EndpointType: services, ListenerType: listeners, RouteType: routes}
}

// addMissing adds the resources that are named and not subscribed to, and returns their sorted names.
func (s *typeState) addMissing(now time.Duration, names map[string]bool) []string {
	var added []string
	for name := range names {
		if s.resources[name] == nil {
			s.resources[name] = &Resource{Name: name, requestedAt: now}
			added = append(added, name)
		}
	}
	slices.Sort(added)
	return added
}

// removeUnnamed removes the resources that nothing names any more. It returns their sorted names, and the changes of those
// that were in use.
func (s *typeState) removeUnnamed(now time.Duration, names map[string]bool) (removed []string, changes []Change) {
	for name, r := range s.resources {
		if names[name] {
			continue
		}
		delete(s.resources, name)
		removed = append(removed, name)
		if r.State == Received {
			absent := Resource{Name: name, State: Absent, AbsentReason: "nothing names it any more", UpdatedAt: now}
			changes = append(changes, Change{s.resourceType, absent})
		}
	}
	slices.Sort(removed)
	return removed, changes
}

// subscriptionRequest returns the request by which a subscription changes on an open stream.
func (m *Machine) subscriptionRequest(state *typeState, added, removed []string) Request {
	if m.options.Delta {
		return Request{Delta: &discoveryv3.DeltaDiscoveryRequest{
			TypeUrl:                  string(state.resourceType),
			ResourceNamesSubscribe:   added,
			ResourceNamesUnsubscribe: removed,
		}}
	}
	return Request{SotW: &discoveryv3.DiscoveryRequest{
		TypeUrl:       string(state.resourceType),
		ResourceNames: state.subscribed(),
		VersionInfo:   state.version,
		ResponseNonce: state.nonce,
	}}
}

func sortChanges(changes []Change) {
	slices.SortFunc(changes, func(x, y Change) int {
		return cmp.Or(cmp.Compare(x.Type, y.Type), cmp.Compare(x.Name, y.Name))
	})
}

// markAbsent marks a resource as absent. With a wildcard subscription it is removed.
func (s *typeState) markAbsent(now time.Duration, r *Resource, reason string) Change {
	*r = Resource{Name: r.Name, State: Absent, AbsentReason: reason, UpdatedAt: now, requestedAt: r.requestedAt}
	if s.wildcard {
		delete(s.resources, r.Name)
	}
	return Change{s.resourceType, *r}
}

// Tick marks resources as absent that have expired or got no response within FetchTimeout.
func (m *Machine) Tick(now time.Duration) ([]Request, []Change) {
	var changes []Change
	for _, state := range m.types {
		for _, r := range state.resources {
			if reason := m.timeoutReason(now, r); reason != "" {
				changes = append(changes, state.markAbsent(now, r, reason))
			}
		}
	}
	sortChanges(changes)
	requests, unsubscribed := m.updateSubscriptions(now)
	return requests, append(changes, unsubscribed...)
}

// timeoutReason returns why the time of a resource is over; empty if it is not.
func (m *Machine) timeoutReason(now time.Duration, r *Resource) string {
	deadline := m.deadline(r)
	if deadline <= 0 || now < deadline {
		return ""
	}
	switch {
	case r.State == Received:
		return "its time to live is over"
	case r.RejectedReason != "":
		return "what the control plane said of it was refused: " + r.RejectedReason
	}
	return fmt.Sprintf("the control plane said nothing of it within %v", m.options.FetchTimeout)
}

// deadline returns when the time of a resource is over; 0: never.
func (m *Machine) deadline(r *Resource) time.Duration {
	switch {
	case r.State == Received:
		return r.expiresAt
	case r.State == Requested && m.options.FetchTimeout > 0:
		return r.requestedAt + m.options.FetchTimeout
	}
	return 0
}

// NextDeadline returns when Tick is to be called next; 0: never.
func (m *Machine) NextDeadline() time.Duration {
	var next time.Duration
	for _, state := range m.types {
		for _, r := range state.resources {
			deadline := m.deadline(r)
			if deadline > 0 && (next == 0 || deadline < next) {
				next = deadline
			}
		}
	}
	return next
}

// HasMissing reports whether there was no response yet for some resource that is subscribed to.
func (m *Machine) HasMissing() bool {
	for _, state := range m.types {
		for _, r := range state.resources {
			if r.State == Requested {
				return true
			}
		}
	}
	return false
}

// Answered reports whether a response of each type that is subscribed to has come on this stream.
func (m *Machine) Answered() bool {
	if !m.streamOpen {
		return false
	}
	for _, state := range m.types {
		subscribed := state.wildcard || len(state.resources) > 0
		if subscribed && state.nonce == "" {
			return false
		}
	}
	return true
}

// Resources returns copies of all resources of a type, sorted by name.
func (m *Machine) Resources(t Type) []Resource {
	state := m.stateOf(t)
	if state == nil {
		return nil
	}
	resources := make([]Resource, 0, len(state.resources))
	for _, name := range slices.Sorted(maps.Keys(state.resources)) {
		resources = append(resources, *state.resources[name])
	}
	return resources
}

// Summaries returns a Summary of each type that is subscribed to.
func (m *Machine) Summaries() []Summary {
	var summaries []Summary
	for _, state := range m.types {
		summaries = append(summaries, Summary{
			Type:      state.resourceType,
			Version:   state.version,
			UpdatedAt: state.updatedAt,
			Accepted:  state.accepted,
			Rejected:  state.rejected,
			LastError: state.lastError,
			Resources: len(state.resources),
		})
	}
	return summaries
}
