package xds

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	statuspb "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"
)

// State is where a resource stands.
type State uint8

const (
	Requested State = iota // asked for, and no word of it yet
	Received               // the last accepted version is in use
	Absent                 // it is known not to exist, or its time ran out
)

func (s State) String() string { return [...]string{"requested", "received", "absent"}[s] }

// Resource is what is known of one resource.
type Resource struct {
	Name           string
	State          State
	Version        string // of what is in use
	Value          any    // *Cluster, *Assignment, *Listener or *Routes while State is Received
	Warnings       []string
	UpdatedAt      time.Duration // when Value was last told, on the caller's clock
	RejectedReason string        // why the newest version is not in use, empty if it is
	AbsentReason   string        // Absent: how that is known

	expiresAt   time.Duration // 0: never
	requestedAt time.Duration
	body        *anypb.Any // Options.Keep: as it was told
}

// Body is the resource as it was told, where Options.Keep has it kept and State is Received; else nil.
func (r *Resource) Body() *anypb.Any { return r.body }

// TTLLeft is the time to live that is left of it; 0: it has none.
func (r *Resource) TTLLeft(now time.Duration) time.Duration {
	if r.expiresAt == 0 {
		return 0
	}
	return max(r.expiresAt-now, time.Millisecond)
}

// Change is one resource's news. Resource is a copy.
type Change struct {
	Type Type
	Resource
}

// Options are what a Machine is told.
type Options struct {
	Delta           bool
	Node            *corev3.Node
	Clusters        bool            // ask for all clusters
	Services        []string        // ClusterLoadAssignments to ask for beside those that clusters name
	RouteConfigName string          // the RouteConfiguration to ask for; empty: none
	ListenerName    string          // the Listener to ask for, and the RouteConfiguration that it names; empty: none
	Classes         map[string]bool // that routes may name
	RetainBodies    bool            // keep resources as they were told, to hand them on
	FetchTimeout    time.Duration   // a resource that nothing is said of for so long does not exist; 0: wait
}

// Request is one message toward the control plane; one of the two is set.
type Request struct {
	SotW  *discoveryv3.DiscoveryRequest
	Delta *discoveryv3.DeltaDiscoveryRequest
}

// typeState is all that is known of one type.
type typeState struct {
	resourceType Type
	wildcard     bool
	resources    map[string]*Resource // asked for, or told where all are asked for
	version      string               // state of the world: the last one accepted
	nonce        string               // of the last response on this stream
	updatedAt    time.Duration
	accepted     int
	rejected     int
	lastError    string // of the last response, if it was refused
}

// Machine is the client's side of the protocol: responses in, requests and changes out. It has no clock, no connection
// and no goroutine, and is not safe for several at once. It follows the xDS transport protocol's description: a response
// is answered by an ACK with its version, or a NACK with the version before; valid resources of a refused response are
// used all the same, and each that is not keeps its former version.
type Machine struct {
	options    Options
	types      []*typeState // in the order in which they are asked for
	streamOpen bool         // a stream is open
	nodeSent   bool         // the stream's first request, which says who asks, has been given
}

// NewMachine makes one that has asked for nothing yet.
func NewMachine(opt Options) *Machine {
	m := &Machine{options: opt}
	if opt.Clusters {
		m.types = append(m.types, &typeState{resourceType: ClusterType, wildcard: true, resources: map[string]*Resource{}})
	}
	m.types = append(m.types, &typeState{resourceType: EndpointType, resources: map[string]*Resource{}})
	if opt.ListenerName != "" {
		m.types = append(m.types, &typeState{resourceType: ListenerType, resources: map[string]*Resource{}})
	}
	if opt.RouteConfigName != "" || opt.ListenerName != "" {
		m.types = append(m.types, &typeState{resourceType: RouteType, resources: map[string]*Resource{}})
	}
	return m
}

func (m *Machine) stateOf(t Type) *typeState {
	for _, k := range m.types {
		if k.resourceType == t {
			return k
		}
	}
	return nil
}

// Subscribe changes which ClusterLoadAssignments are asked for beside those that clusters name.
func (m *Machine) Subscribe(now time.Duration, names []string) ([]Request, []Change) {
	m.options.Services = names
	return m.updateSubscriptions(now)
}

// SetClasses changes which classes routes may name, from the next response on.
func (m *Machine) SetClasses(classes map[string]bool) { m.options.Classes = classes }

// StartStream opens a stream: it gives the first request of each type, which says what is in use.
func (m *Machine) StartStream(now time.Duration) ([]Request, []Change) {
	m.streamOpen, m.nodeSent = false, false
	_, changes := m.updateSubscriptions(now)
	m.streamOpen = true
	for _, k := range m.types {
		k.nonce = ""
	}
	var out []Request
	for _, k := range m.types {
		if !k.wildcard && len(k.resources) == 0 {
			continue
		}
		if m.options.Delta {
			r := &discoveryv3.DeltaDiscoveryRequest{TypeUrl: string(k.resourceType), ResourceNamesSubscribe: k.subscribed(),
				InitialResourceVersions: map[string]string{}}
			for name, v := range k.resources {
				if v.State == Received {
					r.InitialResourceVersions[name] = v.Version
				}
			}
			out = append(out, Request{Delta: r})
		} else {
			out = append(out, Request{SotW: &discoveryv3.DiscoveryRequest{TypeUrl: string(k.resourceType),
				ResourceNames: k.subscribed(), VersionInfo: k.version}})
		}
	}
	return m.addNode(out), changes
}

// addNode puts who asks into the first request of a stream.
func (m *Machine) addNode(out []Request) []Request {
	if len(out) > 0 && !m.nodeSent {
		m.nodeSent = true
		if out[0].Delta != nil {
			out[0].Delta.Node = m.options.Node
		} else {
			out[0].SotW.Node = m.options.Node
		}
	}
	return out
}

// EndStream closes the stream. What is in use stays.
func (m *Machine) EndStream() { m.streamOpen = false }

func (k *typeState) subscribed() []string {
	if k.wildcard {
		return nil // the legacy form of asking for all, which every control plane knows
	}
	return slices.Sorted(maps.Keys(k.resources))
}

// updateSubscriptions brings what is asked for up to date with what clusters and the configuration name.
func (m *Machine) updateSubscriptions(now time.Duration) (out []Request, changes []Change) {
	eds := map[string]bool{}
	for _, n := range m.options.Services {
		eds[n] = true
	}
	if k := m.stateOf(ClusterType); k != nil {
		for _, r := range k.resources {
			if c, ok := r.Value.(*Cluster); ok && c.Service != "" {
				eds[c.Service] = true
			}
		}
	}
	sets := map[Type]map[string]bool{EndpointType: eds, ListenerType: {}, RouteType: {}}
	if m.options.RouteConfigName != "" {
		sets[RouteType][m.options.RouteConfigName] = true
	}
	if m.options.ListenerName != "" {
		sets[ListenerType][m.options.ListenerName] = true
		if r := m.stateOf(ListenerType).resources[m.options.ListenerName]; r != nil {
			if l, ok := r.Value.(*Listener); ok && l.RouteName != "" {
				sets[RouteType][l.RouteName] = true
			}
		}
	}
	for _, k := range m.types {
		if k.wildcard {
			continue
		}
		first := len(k.resources) == 0
		var more, less []string
		for name := range sets[k.resourceType] {
			if k.resources[name] == nil {
				k.resources[name] = &Resource{Name: name, requestedAt: now}
				more = append(more, name)
			}
		}
		for name, r := range k.resources {
			if !sets[k.resourceType][name] {
				delete(k.resources, name)
				less = append(less, name)
				if r.State == Received {
					changes = append(changes, Change{k.resourceType, Resource{Name: name, State: Absent, AbsentReason: "nothing names it any more", UpdatedAt: now}})
				}
			}
		}
		if !m.streamOpen || len(more)+len(less) == 0 {
			continue
		}
		slices.Sort(more)
		slices.Sort(less)
		if m.options.Delta {
			out = append(out, Request{Delta: &discoveryv3.DeltaDiscoveryRequest{TypeUrl: string(k.resourceType), ResourceNamesSubscribe: more,
				ResourceNamesUnsubscribe: less}})
		} else {
			// Danger: an empty list as the first request asks for everything; later it asks for nothing.
			if first && len(k.resources) == 0 {
				continue
			}
			out = append(out, Request{SotW: &discoveryv3.DiscoveryRequest{TypeUrl: string(k.resourceType), ResourceNames: k.subscribed(),
				VersionInfo: k.version, ResponseNonce: k.nonce}})
		}
	}
	sortChanges(changes)
	return m.addNode(out), changes
}

func sortChanges(l []Change) {
	slices.SortFunc(l, func(x, y Change) int { return cmp.Or(cmp.Compare(x.Type, y.Type), cmp.Compare(x.Name, y.Name)) })
}

// responseResource is one resource of a response.
type responseResource struct {
	name, version string
	body          *anypb.Any // nil: only its time to live is told
	ttl           time.Duration
	hasTTL        bool
}

// HandleSotW takes a response of the state-of-the-world variant.
func (m *Machine) HandleSotW(now time.Duration, r *discoveryv3.DiscoveryResponse) ([]Request, []Change) {
	k := m.stateOf(Type(r.GetTypeUrl()))
	reply := &discoveryv3.DiscoveryRequest{TypeUrl: r.GetTypeUrl(), ResponseNonce: r.GetNonce()}
	if k == nil {
		reply.ErrorDetail = nackDetail(errors.New("this type was not asked for"))
		return []Request{{SotW: reply}}, nil
	}
	k.nonce = r.GetNonce()
	t := m.newResponseUpdate(now, k)
	for i, any := range r.GetResources() {
		in := responseResource{version: r.GetVersionInfo(), body: any}
		if any.GetTypeUrl() == "type.googleapis.com/envoy.service.discovery.v3.Resource" {
			var w discoveryv3.Resource
			if err := proto.Unmarshal(any.GetValue(), &w); err != nil {
				t.reject("", fmt.Errorf("resources[%d]: %w", i, err))
				t.hasUnnamed = true
				continue
			}
			in.name, in.body = w.GetName(), w.GetResource()
			in.ttl, in.hasTTL = w.GetTtl().AsDuration(), w.GetTtl() != nil
		}
		t.apply(in, i)
	}
	// Only clusters and listeners are told whole: of the others what is left out stays. Where one came that cannot be told by name,
	// what is left out may be that one.
	if (k.wildcard || k.resourceType == ListenerType) && !t.hasUnnamed {
		for name, old := range k.resources {
			if !t.seen[name] && old.State != Absent {
				t.remove(old, "the control plane withdrew it")
			}
		}
	}
	if len(t.errs) == 0 {
		k.version = r.GetVersionInfo()
	} else {
		reply.ErrorDetail = nackDetail(t.errs...)
	}
	reply.VersionInfo = k.version
	more, changes := t.finish()
	reply.ResourceNames = k.subscribed()
	return m.withReply(Request{SotW: reply}, k, more), changes
}

// HandleDelta takes a response of the incremental variant.
func (m *Machine) HandleDelta(now time.Duration, r *discoveryv3.DeltaDiscoveryResponse) ([]Request, []Change) {
	k := m.stateOf(Type(r.GetTypeUrl()))
	reply := &discoveryv3.DeltaDiscoveryRequest{TypeUrl: r.GetTypeUrl(), ResponseNonce: r.GetNonce()}
	if k == nil {
		reply.ErrorDetail = nackDetail(errors.New("this type was not asked for"))
		return []Request{{Delta: reply}}, nil
	}
	k.nonce = r.GetNonce()
	t := m.newResponseUpdate(now, k)
	for i, w := range r.GetResources() {
		t.apply(responseResource{name: w.GetName(), version: w.GetVersion(), body: w.GetResource(), ttl: w.GetTtl().AsDuration(),
			hasTTL: w.GetTtl() != nil}, i)
	}
	for _, name := range r.GetRemovedResources() {
		if old := k.resources[name]; old != nil {
			t.remove(old, "the control plane withdrew it")
		}
	}
	if len(t.errs) > 0 {
		reply.ErrorDetail = nackDetail(t.errs...)
	}
	more, changes := t.finish()
	return m.withReply(Request{Delta: reply}, k, more), changes
}

// withReply puts the answer first. In the state of the world a change of what is asked for of the same type is in it.
func (m *Machine) withReply(reply Request, k *typeState, more []Request) []Request {
	out := []Request{reply}
	for _, n := range more {
		if reply.SotW != nil && n.SotW.GetTypeUrl() == string(k.resourceType) {
			continue
		}
		out = append(out, n)
	}
	return out
}

// responseUpdate is the work on one response.
type responseUpdate struct {
	machine    *Machine
	state      *typeState
	now        time.Duration
	errs       []error
	seen       map[string]bool
	hasUnnamed bool
	changes    map[string]Change
}

func (m *Machine) newResponseUpdate(now time.Duration, k *typeState) *responseUpdate {
	return &responseUpdate{machine: m, state: k, now: now, seen: map[string]bool{}, changes: map[string]Change{}}
}

func (t *responseUpdate) reject(name string, err error) {
	t.errs = append(t.errs, err)
	if r := t.state.resources[name]; name != "" && r != nil {
		r.RejectedReason = truncate(err.Error())
		t.changes[name] = Change{t.state.resourceType, *r}
	}
}

func (t *responseUpdate) apply(in responseResource, i int) {
	if in.body == nil { // a heartbeat: the time to live begins anew
		if r := t.state.resources[in.name]; r != nil && r.State == Received {
			t.seen[in.name] = true
			r.expiresAt = t.expiry(in)
		} else {
			t.reject(in.name, fmt.Errorf("resources[%d] %q: no resource in it", i, in.name))
		}
		return
	}
	name, value, warn, err := t.machine.parse(t.state.resourceType, in.body)
	if name == "" {
		name = in.name
	}
	if err == nil && in.name != "" && in.name != name {
		err = fmt.Errorf("its name is %q", name)
		name = in.name
	}
	if name == "" {
		t.hasUnnamed = true
		t.reject("", fmt.Errorf("resources[%d]: %w", i, err))
		return
	}
	if t.seen[name] && err == nil {
		err = errors.New("stands twice")
	}
	t.seen[name] = true
	r := t.state.resources[name]
	if err != nil {
		if r == nil && t.state.wildcard && len(t.state.resources) < maxResources {
			r = &Resource{Name: name, requestedAt: t.now}
			t.state.resources[name] = r
		}
		t.reject(name, fmt.Errorf("resources[%d] %q: %w", i, name, err))
		return
	}
	if r == nil {
		if !t.state.wildcard {
			return // told though not asked for, as one that is not wanted any more may be
		}
		if len(t.state.resources) >= maxResources {
			t.reject("", fmt.Errorf("resources[%d] %q: more than %d resources", i, name, maxResources))
			return
		}
		r = &Resource{Name: name, requestedAt: t.now}
		t.state.resources[name] = r
	}
	r.State, r.Version, r.Value, r.Warnings, r.UpdatedAt, r.RejectedReason, r.AbsentReason = Received, in.version, value, warn, t.now, "", ""
	r.expiresAt = t.expiry(in)
	if t.machine.options.RetainBodies {
		r.body = in.body
	}
	t.changes[name] = Change{t.state.resourceType, *r}
}

func (t *responseUpdate) expiry(in responseResource) time.Duration {
	if !in.hasTTL || in.ttl <= 0 {
		return 0
	}
	return t.now + in.ttl
}

func (t *responseUpdate) remove(r *Resource, why string) {
	t.changes[r.Name] = t.state.markAbsent(t.now, r, why)
}

// markAbsent marks a resource as absent. Where all are asked for it is forgotten.
func (k *typeState) markAbsent(now time.Duration, r *Resource, why string) Change {
	*r = Resource{Name: r.Name, State: Absent, AbsentReason: why, UpdatedAt: now, requestedAt: r.requestedAt}
	if k.wildcard {
		delete(k.resources, r.Name)
	}
	return Change{k.resourceType, *r}
}

func (t *responseUpdate) finish() ([]Request, []Change) {
	t.state.updatedAt = t.now
	if len(t.errs) > 0 {
		t.state.rejected++
		t.state.lastError = truncate(errors.Join(t.errs...).Error())
	} else {
		t.state.accepted++
		t.state.lastError = ""
	}
	changes := slices.Collect(maps.Values(t.changes))
	sortChanges(changes)
	more, dropped := t.machine.updateSubscriptions(t.now)
	return more, append(changes, dropped...)
}

// Tick takes what time has done: resources that nothing was said of for too long, or whose time to live is over.
func (m *Machine) Tick(now time.Duration) ([]Request, []Change) {
	var changes []Change
	for _, k := range m.types {
		for _, r := range k.resources {
			switch {
			case r.State == Received && r.expiresAt > 0 && now >= r.expiresAt:
				changes = append(changes, k.markAbsent(now, r, "its time to live is over"))
			case r.State == Requested && m.options.FetchTimeout > 0 && now-r.requestedAt >= m.options.FetchTimeout:
				why := fmt.Sprintf("the control plane said nothing of it within %v", m.options.FetchTimeout)
				if r.RejectedReason != "" {
					why = "what the control plane said of it was refused: " + r.RejectedReason
				}
				changes = append(changes, k.markAbsent(now, r, why))
			}
		}
	}
	sortChanges(changes)
	out, dropped := m.updateSubscriptions(now)
	return out, append(changes, dropped...)
}

// NextDeadline is when Tick has something to do; 0: never.
func (m *Machine) NextDeadline() (at time.Duration) {
	sooner := func(t time.Duration) {
		if t > 0 && (at == 0 || t < at) {
			at = t
		}
	}
	for _, k := range m.types {
		for _, r := range k.resources {
			switch {
			case r.State == Received:
				sooner(r.expiresAt)
			case r.State == Requested && m.options.FetchTimeout > 0:
				sooner(r.requestedAt + m.options.FetchTimeout)
			}
		}
	}
	return at
}

// Bundle is resources of several types, as another process accepted them.
type Bundle struct {
	Resources map[Type][]*discoveryv3.Resource
	Removed   map[Type][]string
	// Full: what is not in Resources is withdrawn. Only: and what is asked for and not in it does not exist.
	Full, Authoritative bool
	// Versions are of the types as a whole, for the state-of-the-world variant.
	Versions map[Type]string
}

// Import takes what another process accepted, clusters first. It is for a time without a stream. What cannot be used is
// refused one by one, as from a control plane.
func (m *Machine) Import(now time.Duration, b *Bundle) ([]Change, error) {
	var errs []error
	_, all := m.updateSubscriptions(now)
	for _, t := range []Type{ClusterType, EndpointType, ListenerType, RouteType} {
		k := m.stateOf(t)
		if k == nil {
			continue
		}
		r := &discoveryv3.DeltaDiscoveryResponse{TypeUrl: string(t), Resources: b.Resources[t], RemovedResources: slices.Clone(b.Removed[t])}
		if b.Full {
			there := map[string]bool{}
			for _, res := range b.Resources[t] {
				there[res.GetName()] = true
			}
			for _, old := range m.Resources(t) {
				if !there[old.Name] && (old.State == Received || b.Authoritative && old.State != Absent) {
					r.RemovedResources = append(r.RemovedResources, old.Name)
				}
			}
		}
		if len(r.Resources)+len(r.RemovedResources) > 0 {
			out, changes := m.HandleDelta(now, r)
			all = append(all, changes...)
			if d := out[0].Delta.GetErrorDetail(); d != nil {
				errs = append(errs, errors.New(d.GetMessage()))
			}
		}
		if v, ok := b.Versions[t]; ok {
			k.version = v
		}
	}
	return all, errors.Join(errs...)
}

// Export gives all that is in use, with Options.Keep.
func (m *Machine) Export(now time.Duration) *Bundle {
	b := &Bundle{Resources: map[Type][]*discoveryv3.Resource{}, Removed: map[Type][]string{}, Full: true, Versions: map[Type]string{}}
	for _, k := range m.types {
		b.Versions[k.resourceType] = k.version
		for _, name := range slices.Sorted(maps.Keys(k.resources)) {
			switch r := k.resources[name]; {
			case r.State == Received && r.body != nil:
				b.Resources[k.resourceType] = append(b.Resources[k.resourceType], r.Proto(now))
			case r.State == Absent:
				b.Removed[k.resourceType] = append(b.Removed[k.resourceType], name)
			}
		}
	}
	return b
}

// Proto is a resource as it is handed on.
func (r *Resource) Proto(now time.Duration) *discoveryv3.Resource {
	w := &discoveryv3.Resource{Name: r.Name, Version: r.Version, Resource: r.body}
	if left := r.TTLLeft(now); left > 0 {
		w.Ttl = durationpb.New(left)
	}
	return w
}

// Digest stands for all that is in use, whatever the order in which it came and whatever its versions are called.
func (m *Machine) Digest() uint64 {
	var sum uint64
	for _, k := range m.types {
		for _, r := range k.resources {
			if r.State == Received && r.body != nil {
				sum += digest(k.resourceType, r.Name, r.body)
			}
		}
	}
	return sum
}

func digest(t Type, name string, body *anypb.Any) uint64 {
	h := xxhash.New()
	for _, s := range []string{string(t), name, body.GetTypeUrl()} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body.GetValue())
	return h.Sum64()
}

// CoveredBy tells whether a whole bundle has all that is in use here, and the same.
func (m *Machine) CoveredBy(b *Bundle) bool {
	for _, k := range m.types {
		there := map[string]uint64{}
		for _, r := range b.Resources[k.resourceType] {
			there[r.GetName()] = digest(k.resourceType, r.GetName(), r.GetResource())
		}
		for _, r := range k.resources {
			if r.State == Received && (r.body == nil || there[r.Name] != digest(k.resourceType, r.Name, r.body)) {
				return false
			}
		}
		if k.wildcard && len(there) != len(k.resources) {
			return false
		}
	}
	return true
}

// HasMissing tells whether nothing has been said of something that is asked for.
func (m *Machine) HasMissing() bool {
	for _, k := range m.types {
		for _, r := range k.resources {
			if r.State == Requested {
				return true
			}
		}
	}
	return false
}

// StreamOpen tells whether a stream is open.
func (m *Machine) StreamOpen() bool { return m.streamOpen }

// Answered tells whether a response of each type that is asked for has come on this stream.
func (m *Machine) Answered() bool {
	if !m.streamOpen {
		return false
	}
	for _, k := range m.types {
		if (k.wildcard || len(k.resources) > 0) && k.nonce == "" {
			return false
		}
	}
	return true
}

// Resources gives copies of all that is known of a type, by name.
func (m *Machine) Resources(t Type) []Resource {
	k := m.stateOf(t)
	if k == nil {
		return nil
	}
	l := make([]Resource, 0, len(k.resources))
	for _, name := range slices.Sorted(maps.Keys(k.resources)) {
		l = append(l, *k.resources[name])
	}
	return l
}

// Summary is what is known of a type as a whole.
type Summary struct {
	Type               Type
	Version            string // state of the world only
	UpdatedAt          time.Duration
	Accepted, Rejected int // responses
	LastError          string
	Resources          int
}

// Summaries gives one for each type that is asked for.
func (m *Machine) Summaries() []Summary {
	var l []Summary
	for _, k := range m.types {
		l = append(l, Summary{k.resourceType, k.version, k.updatedAt, k.accepted, k.rejected, k.lastError, len(k.resources)})
	}
	return l
}

func (m *Machine) parse(t Type, body *anypb.Any) (name string, value any, warn []string, err error) {
	if body.GetTypeUrl() != string(t) {
		return "", nil, nil, fmt.Errorf("is a %q", body.GetTypeUrl())
	}
	switch t {
	case ClusterType:
		var c clusterv3.Cluster
		if err = proto.Unmarshal(body.GetValue(), &c); err == nil {
			name = c.GetName()
			value, warn, err = ParseCluster(&c)
		}
	case EndpointType:
		var c endpointv3.ClusterLoadAssignment
		if err = proto.Unmarshal(body.GetValue(), &c); err == nil {
			name = c.GetClusterName()
			value, warn, err = ParseAssignment(&c)
		}
	case ListenerType:
		var c listenerv3.Listener
		if err = proto.Unmarshal(body.GetValue(), &c); err == nil {
			name = c.GetName()
			value, warn, err = ParseListener(&c, m.options.Classes)
		}
	case RouteType:
		var c routev3.RouteConfiguration
		if err = proto.Unmarshal(body.GetValue(), &c); err == nil {
			name = c.GetName()
			value, warn, err = ParseRoutes(&c, m.options.Classes)
		}
	}
	return name, value, warn, err
}

// maxResources of one type are kept.
const maxResources = 100_000

// maxErrorBytes bounds what is said of an error; a response can hold any number of them.
const maxErrorBytes = 4 << 10

func truncate(s string) string {
	if len(s) > maxErrorBytes {
		return strings.ToValidUTF8(s[:maxErrorBytes], "") + " ..."
	}
	return strings.ToValidUTF8(s, "?")
}

func nackDetail(errs ...error) *statuspb.Status {
	return &statuspb.Status{Code: int32(codes.InvalidArgument), Message: truncate(errors.Join(errs...).Error())}
}
