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

// Options configure a Machine.
type Options struct {
	Delta           bool // use the incremental variant of the protocol
	Node            *corev3.Node
	Clusters        bool            // subscribe to all clusters
	Services        []string        // ClusterLoadAssignments to subscribe to, in addition to those that clusters refer to
	RouteConfigName string          // the RouteConfiguration to subscribe to; empty: none
	ListenerName    string          // the Listener to subscribe to, with the RouteConfiguration that it refers to; empty: none
	Classes         map[string]bool // the classes that routes may refer to; nil: any
	RetainBodies    bool            // retain the encoded resources, which Export needs
	FetchTimeout    time.Duration   // a requested resource is marked absent after this time without a response; 0: never
}

// typeState is the state of one resource type.
type typeState struct {
	resourceType Type
	wildcard     bool                 // subscribed to all resources of the type
	resources    map[string]*Resource // by name: the subscribed resources, or with wildcard the known ones
	version      string               // state-of-the-world variant: the last accepted version
	nonce        string               // nonce of the last response on this stream
	updatedAt    time.Duration
	accepted     int
	rejected     int
	lastError    string // error of the last response; empty if it was accepted
}

// Machine implements the client side of the xDS transport protocol. It handles responses, and returns the requests to send
// and the changes of resources. It has no clock, connection or goroutine, and is not safe for concurrent use. It answers a
// response with an ACK that contains the new version or with a NACK that contains the previous one. Valid resources of a
// rejected response are still used; each invalid resource keeps its previous version.
type Machine struct {
	options    Options
	types      []*typeState // in the order of subscription
	streamOpen bool
	nodeSent   bool // the node was sent on this stream; only the first request contains it
}

// NewMachine returns a Machine without an open stream.
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

// stateOf returns the state of a type, or nil if the Machine does not use the type.
func (m *Machine) stateOf(t Type) *typeState {
	for _, state := range m.types {
		if state.resourceType == t {
			return state
		}
	}
	return nil
}

// Subscribe replaces Options.Services, and returns the requests and changes that result.
func (m *Machine) Subscribe(now time.Duration, services []string) ([]Request, []Change) {
	m.options.Services = services
	return m.updateSubscriptions(now)
}

// SetClasses replaces Options.Classes. The next response is the first that it affects.
func (m *Machine) SetClasses(classes map[string]bool) { m.options.Classes = classes }

// StartStream handles the start of a stream. It returns the first request of each type, which contains the versions in use.
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

// addNode adds the node to the first request of the stream.
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

// EndStream handles the end of the stream. The resources stay in use.
func (m *Machine) EndStream() { m.streamOpen = false }

// StreamOpen reports whether a stream is open.
func (m *Machine) StreamOpen() bool { return m.streamOpen }

// subscribed returns the names of the subscribed resources, sorted. It returns nil for a wildcard subscription: a request
// without names is the legacy form, which every control plane supports.
func (s *typeState) subscribed() []string {
	if s.wildcard {
		return nil
	}
	return slices.Sorted(maps.Keys(s.resources))
}

// updateSubscriptions updates the subscriptions to the resources that the options and the resources in use refer to.
func (m *Machine) updateSubscriptions(now time.Duration) (requests []Request, changes []Change) {
	names := m.referencedNames()
	for _, state := range m.types {
		if state.wildcard {
			continue
		}
		subscribedNone := len(state.resources) == 0
		added := state.addMissing(now, names[state.resourceType])
		removed, absent := state.removeUnreferenced(now, names[state.resourceType])
		changes = append(changes, absent...)
		if !m.streamOpen || len(added)+len(removed) == 0 {
			continue
		}
		// An empty list of names subscribes to all resources in the first request of a type, and to none in later ones.
		if !m.options.Delta && subscribedNone && len(state.resources) == 0 {
			continue
		}
		requests = append(requests, m.subscriptionRequest(state, added, removed))
	}
	sortChanges(changes)
	return m.addNode(requests), changes
}

// referencedNames returns, by type, the names of the resources that the options and the resources in use refer to.
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

// addMissing adds the named resources that are not subscribed yet, and returns their names, sorted.
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

// removeUnreferenced removes the resources whose names are not in names. It returns the removed names, sorted, and the
// changes of the resources that were in use.
func (s *typeState) removeUnreferenced(now time.Duration, names map[string]bool) (removed []string, changes []Change) {
	for name, r := range s.resources {
		if names[name] {
			continue
		}
		delete(s.resources, name)
		removed = append(removed, name)
		if r.State == Received {
			absent := Resource{Name: name, State: Absent, AbsentReason: "no longer referenced", UpdatedAt: now}
			changes = append(changes, Change{s.resourceType, absent})
		}
	}
	slices.Sort(removed)
	return removed, changes
}

// subscriptionRequest returns the request that changes a subscription on an open stream.
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

// markAbsent marks a resource as absent and returns the change. With a wildcard subscription the resource is removed.
func (s *typeState) markAbsent(now time.Duration, r *Resource, reason string) Change {
	*r = Resource{Name: r.Name, State: Absent, AbsentReason: reason, UpdatedAt: now, requestedAt: r.requestedAt}
	if s.wildcard {
		delete(s.resources, r.Name)
	}
	return Change{s.resourceType, *r}
}

// Tick marks the resources as absent that have expired or got no response within FetchTimeout. It returns the requests and
// changes that result.
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

// timeoutReason returns the reason why a resource has timed out; empty if it has not.
func (m *Machine) timeoutReason(now time.Duration, r *Resource) string {
	deadline := m.deadline(r)
	if deadline <= 0 || now < deadline {
		return ""
	}
	switch {
	case r.State == Received:
		return "time to live expired"
	case r.RejectedReason != "":
		return "the control plane's response was rejected: " + r.RejectedReason
	}
	return fmt.Sprintf("no response from the control plane within %v", m.options.FetchTimeout)
}

// deadline returns the time when a resource expires or its fetch times out; 0: never.
func (m *Machine) deadline(r *Resource) time.Duration {
	switch {
	case r.State == Received:
		return r.expiresAt
	case r.State == Requested && m.options.FetchTimeout > 0:
		return r.requestedAt + m.options.FetchTimeout
	}
	return 0
}

// NextDeadline returns the time at which Tick must be called next; 0: never.
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

// HasPending reports whether any subscribed resource is still waiting for its first response.
func (m *Machine) HasPending() bool {
	for _, state := range m.types {
		for _, r := range state.resources {
			if r.State == Requested {
				return true
			}
		}
	}
	return false
}

// AllTypesAnswered reports whether each subscribed type has received a response on the current stream.
func (m *Machine) AllTypesAnswered() bool {
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

// Summaries returns the Summary of each type that the Machine uses.
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
