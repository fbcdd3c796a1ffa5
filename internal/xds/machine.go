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
	Name     string
	State    State
	Version  string // of what is in use
	Value    any    // *Cluster, *Assignment, *Listener or *Routes while State is Received
	Warnings []string
	Updated  time.Duration // when Value was last told, on the caller's clock
	Rejected string        // why the newest version is not in use, empty if it is
	Why      string        // Absent: how that is known

	expires time.Duration // 0: never
	asked   time.Duration
	body    *anypb.Any // Options.Keep: as it was told
}

// Body is the resource as it was told, where Options.Keep has it kept and State is Received; else nil.
func (r *Resource) Body() *anypb.Any { return r.body }

// Left is the time to live that is left of it; 0: it has none.
func (r *Resource) Left(now time.Duration) time.Duration {
	if r.expires == 0 {
		return 0
	}
	return max(r.expires-now, time.Millisecond)
}

// Change is one resource's news. Resource is a copy.
type Change struct {
	Type Type
	Resource
}

// Options are what a Machine is told.
type Options struct {
	Delta        bool
	Node         *corev3.Node
	Clusters     bool            // ask for all clusters
	Names        []string        // ClusterLoadAssignments to ask for beside those that clusters name
	Routes       string          // the RouteConfiguration to ask for; empty: none
	Listener     string          // the Listener to ask for, and the RouteConfiguration that it names; empty: none
	Classes      map[string]bool // that routes may name
	Keep         bool            // keep resources as they were told, to hand them on
	FetchTimeout time.Duration   // a resource that nothing is said of for so long does not exist; 0: wait
}

// Message is one message toward the control plane; one of the two is set.
type Message struct {
	SotW  *discoveryv3.DiscoveryRequest
	Delta *discoveryv3.DeltaDiscoveryRequest
}

// kind is all that is known of one type.
type kind struct {
	typ      Type
	wildcard bool
	all      map[string]*Resource // asked for, or told where all are asked for
	version  string               // state of the world: the last one accepted
	nonce    string               // of the last response on this stream
	updated  time.Duration
	accepted int
	rejected int
	errors   string // of the last response, if it was refused
}

// Machine is the client's side of the protocol: responses in, requests and changes out. It has no clock, no connection
// and no goroutine, and is not safe for several at once. It follows the xDS transport protocol's description: a response
// is answered by an ACK with its version, or a NACK with the version before; valid resources of a refused response are
// used all the same, and each that is not keeps its former version.
type Machine struct {
	opt   Options
	kinds []*kind // in the order in which they are asked for
	on    bool    // a stream is open
	hello bool    // the stream's first request, which says who asks, has been given
}

// NewMachine makes one that has asked for nothing yet.
func NewMachine(opt Options) *Machine {
	m := &Machine{opt: opt}
	if opt.Clusters {
		m.kinds = append(m.kinds, &kind{typ: ClusterType, wildcard: true, all: map[string]*Resource{}})
	}
	m.kinds = append(m.kinds, &kind{typ: EndpointType, all: map[string]*Resource{}})
	if opt.Listener != "" {
		m.kinds = append(m.kinds, &kind{typ: ListenerType, all: map[string]*Resource{}})
	}
	if opt.Routes != "" || opt.Listener != "" {
		m.kinds = append(m.kinds, &kind{typ: RouteType, all: map[string]*Resource{}})
	}
	return m
}

func (m *Machine) kind(t Type) *kind {
	for _, k := range m.kinds {
		if k.typ == t {
			return k
		}
	}
	return nil
}

// Names changes which ClusterLoadAssignments are asked for beside those that clusters name.
func (m *Machine) Names(now time.Duration, names []string) ([]Message, []Change) {
	m.opt.Names = names
	return m.want(now)
}

// Classes changes which classes routes may name, from the next response on.
func (m *Machine) Classes(classes map[string]bool) { m.opt.Classes = classes }

// Begin opens a stream: it gives the first request of each type, which says what is in use.
func (m *Machine) Begin(now time.Duration) ([]Message, []Change) {
	m.on, m.hello = false, false
	_, changes := m.want(now)
	m.on = true
	for _, k := range m.kinds {
		k.nonce = ""
	}
	var out []Message
	for _, k := range m.kinds {
		if !k.wildcard && len(k.all) == 0 {
			continue
		}
		if m.opt.Delta {
			r := &discoveryv3.DeltaDiscoveryRequest{TypeUrl: string(k.typ), ResourceNamesSubscribe: k.subscribed(),
				InitialResourceVersions: map[string]string{}}
			for name, v := range k.all {
				if v.State == Received {
					r.InitialResourceVersions[name] = v.Version
				}
			}
			out = append(out, Message{Delta: r})
		} else {
			out = append(out, Message{SotW: &discoveryv3.DiscoveryRequest{TypeUrl: string(k.typ),
				ResourceNames: k.subscribed(), VersionInfo: k.version}})
		}
	}
	return m.greet(out), changes
}

// greet puts who asks into the first request of a stream.
func (m *Machine) greet(out []Message) []Message {
	if len(out) > 0 && !m.hello {
		m.hello = true
		if out[0].Delta != nil {
			out[0].Delta.Node = m.opt.Node
		} else {
			out[0].SotW.Node = m.opt.Node
		}
	}
	return out
}

// End closes the stream. What is in use stays.
func (m *Machine) End() { m.on = false }

func (k *kind) subscribed() []string {
	if k.wildcard {
		return nil // the legacy form of asking for all, which every control plane knows
	}
	return slices.Sorted(maps.Keys(k.all))
}

// want brings what is asked for up to date with what clusters and the configuration name.
func (m *Machine) want(now time.Duration) (out []Message, changes []Change) {
	eds := map[string]bool{}
	for _, n := range m.opt.Names {
		eds[n] = true
	}
	if k := m.kind(ClusterType); k != nil {
		for _, r := range k.all {
			if c, ok := r.Value.(*Cluster); ok && c.Service != "" {
				eds[c.Service] = true
			}
		}
	}
	sets := map[Type]map[string]bool{EndpointType: eds, ListenerType: {}, RouteType: {}}
	if m.opt.Routes != "" {
		sets[RouteType][m.opt.Routes] = true
	}
	if m.opt.Listener != "" {
		sets[ListenerType][m.opt.Listener] = true
		if r := m.kind(ListenerType).all[m.opt.Listener]; r != nil {
			if l, ok := r.Value.(*Listener); ok && l.RouteName != "" {
				sets[RouteType][l.RouteName] = true
			}
		}
	}
	for _, k := range m.kinds {
		if k.wildcard {
			continue
		}
		first := len(k.all) == 0
		var more, less []string
		for name := range sets[k.typ] {
			if k.all[name] == nil {
				k.all[name] = &Resource{Name: name, asked: now}
				more = append(more, name)
			}
		}
		for name, r := range k.all {
			if !sets[k.typ][name] {
				delete(k.all, name)
				less = append(less, name)
				if r.State == Received {
					changes = append(changes, Change{k.typ, Resource{Name: name, State: Absent, Why: "nothing names it any more", Updated: now}})
				}
			}
		}
		if !m.on || len(more)+len(less) == 0 {
			continue
		}
		slices.Sort(more)
		slices.Sort(less)
		if m.opt.Delta {
			out = append(out, Message{Delta: &discoveryv3.DeltaDiscoveryRequest{TypeUrl: string(k.typ), ResourceNamesSubscribe: more,
				ResourceNamesUnsubscribe: less}})
		} else {
			// Danger: an empty list as the first request asks for everything; later it asks for nothing.
			if first && len(k.all) == 0 {
				continue
			}
			out = append(out, Message{SotW: &discoveryv3.DiscoveryRequest{TypeUrl: string(k.typ), ResourceNames: k.subscribed(),
				VersionInfo: k.version, ResponseNonce: k.nonce}})
		}
	}
	sortChanges(changes)
	return m.greet(out), changes
}

func sortChanges(l []Change) {
	slices.SortFunc(l, func(x, y Change) int { return cmp.Or(cmp.Compare(x.Type, y.Type), cmp.Compare(x.Name, y.Name)) })
}

// incoming is one resource of a response.
type incoming struct {
	name, version string
	body          *anypb.Any // nil: only its time to live is told
	ttl           time.Duration
	hasTTL        bool
}

// SotW takes a response of the state-of-the-world variant.
func (m *Machine) SotW(now time.Duration, r *discoveryv3.DiscoveryResponse) ([]Message, []Change) {
	k := m.kind(Type(r.GetTypeUrl()))
	reply := &discoveryv3.DiscoveryRequest{TypeUrl: r.GetTypeUrl(), ResponseNonce: r.GetNonce()}
	if k == nil {
		reply.ErrorDetail = refusal(errors.New("this type was not asked for"))
		return []Message{{SotW: reply}}, nil
	}
	k.nonce = r.GetNonce()
	t := m.take(now, k)
	for i, any := range r.GetResources() {
		in := incoming{version: r.GetVersionInfo(), body: any}
		if any.GetTypeUrl() == "type.googleapis.com/envoy.service.discovery.v3.Resource" {
			var w discoveryv3.Resource
			if err := proto.Unmarshal(any.GetValue(), &w); err != nil {
				t.refuse("", fmt.Errorf("resources[%d]: %w", i, err))
				t.unnamed = true
				continue
			}
			in.name, in.body = w.GetName(), w.GetResource()
			in.ttl, in.hasTTL = w.GetTtl().AsDuration(), w.GetTtl() != nil
		}
		t.resource(in, i)
	}
	// Only clusters and listeners are told whole: of the others what is left out stays. Where one came that cannot be told by name,
	// what is left out may be that one.
	if (k.wildcard || k.typ == ListenerType) && !t.unnamed {
		for name, old := range k.all {
			if !t.named[name] && old.State != Absent {
				t.remove(old, "the control plane withdrew it")
			}
		}
	}
	if len(t.errs) == 0 {
		k.version = r.GetVersionInfo()
	} else {
		reply.ErrorDetail = refusal(t.errs...)
	}
	reply.VersionInfo = k.version
	more, changes := t.finish()
	reply.ResourceNames = k.subscribed()
	return m.after(Message{SotW: reply}, k, more), changes
}

// Delta takes a response of the incremental variant.
func (m *Machine) Delta(now time.Duration, r *discoveryv3.DeltaDiscoveryResponse) ([]Message, []Change) {
	k := m.kind(Type(r.GetTypeUrl()))
	reply := &discoveryv3.DeltaDiscoveryRequest{TypeUrl: r.GetTypeUrl(), ResponseNonce: r.GetNonce()}
	if k == nil {
		reply.ErrorDetail = refusal(errors.New("this type was not asked for"))
		return []Message{{Delta: reply}}, nil
	}
	k.nonce = r.GetNonce()
	t := m.take(now, k)
	for i, w := range r.GetResources() {
		t.resource(incoming{name: w.GetName(), version: w.GetVersion(), body: w.GetResource(), ttl: w.GetTtl().AsDuration(),
			hasTTL: w.GetTtl() != nil}, i)
	}
	for _, name := range r.GetRemovedResources() {
		if old := k.all[name]; old != nil {
			t.remove(old, "the control plane withdrew it")
		}
	}
	if len(t.errs) > 0 {
		reply.ErrorDetail = refusal(t.errs...)
	}
	more, changes := t.finish()
	return m.after(Message{Delta: reply}, k, more), changes
}

// after puts the answer first. In the state of the world a change of what is asked for of the same type is in it.
func (m *Machine) after(reply Message, k *kind, more []Message) []Message {
	out := []Message{reply}
	for _, n := range more {
		if reply.SotW != nil && n.SotW.GetTypeUrl() == string(k.typ) {
			continue
		}
		out = append(out, n)
	}
	return out
}

// taking is the work on one response.
type taking struct {
	m       *Machine
	k       *kind
	now     time.Duration
	errs    []error
	named   map[string]bool
	unnamed bool
	changes map[string]Change
}

func (m *Machine) take(now time.Duration, k *kind) *taking {
	return &taking{m: m, k: k, now: now, named: map[string]bool{}, changes: map[string]Change{}}
}

func (t *taking) refuse(name string, err error) {
	t.errs = append(t.errs, err)
	if r := t.k.all[name]; name != "" && r != nil {
		r.Rejected = cut(err.Error())
		t.changes[name] = Change{t.k.typ, *r}
	}
}

func (t *taking) resource(in incoming, i int) {
	if in.body == nil { // a heartbeat: the time to live begins anew
		if r := t.k.all[in.name]; r != nil && r.State == Received {
			t.named[in.name] = true
			r.expires = t.expiry(in)
		} else {
			t.refuse(in.name, fmt.Errorf("resources[%d] %q: no resource in it", i, in.name))
		}
		return
	}
	name, value, warn, err := t.m.parse(t.k.typ, in.body)
	if name == "" {
		name = in.name
	}
	if err == nil && in.name != "" && in.name != name {
		err = fmt.Errorf("its name is %q", name)
		name = in.name
	}
	if name == "" {
		t.unnamed = true
		t.refuse("", fmt.Errorf("resources[%d]: %w", i, err))
		return
	}
	if t.named[name] && err == nil {
		err = errors.New("stands twice")
	}
	t.named[name] = true
	r := t.k.all[name]
	if err != nil {
		if r == nil && t.k.wildcard && len(t.k.all) < maxResources {
			r = &Resource{Name: name, asked: t.now}
			t.k.all[name] = r
		}
		t.refuse(name, fmt.Errorf("resources[%d] %q: %w", i, name, err))
		return
	}
	if r == nil {
		if !t.k.wildcard {
			return // told though not asked for, as one that is not wanted any more may be
		}
		if len(t.k.all) >= maxResources {
			t.refuse("", fmt.Errorf("resources[%d] %q: more than %d resources", i, name, maxResources))
			return
		}
		r = &Resource{Name: name, asked: t.now}
		t.k.all[name] = r
	}
	r.State, r.Version, r.Value, r.Warnings, r.Updated, r.Rejected, r.Why = Received, in.version, value, warn, t.now, "", ""
	r.expires = t.expiry(in)
	if t.m.opt.Keep {
		r.body = in.body
	}
	t.changes[name] = Change{t.k.typ, *r}
}

func (t *taking) expiry(in incoming) time.Duration {
	if !in.hasTTL || in.ttl <= 0 {
		return 0
	}
	return t.now + in.ttl
}

func (t *taking) remove(r *Resource, why string) {
	t.changes[r.Name] = t.k.gone(t.now, r, why)
}

// gone marks a resource as absent. Where all are asked for it is forgotten.
func (k *kind) gone(now time.Duration, r *Resource, why string) Change {
	*r = Resource{Name: r.Name, State: Absent, Why: why, Updated: now, asked: r.asked}
	if k.wildcard {
		delete(k.all, r.Name)
	}
	return Change{k.typ, *r}
}

func (t *taking) finish() ([]Message, []Change) {
	t.k.updated = t.now
	if len(t.errs) > 0 {
		t.k.rejected++
		t.k.errors = cut(errors.Join(t.errs...).Error())
	} else {
		t.k.accepted++
		t.k.errors = ""
	}
	changes := slices.Collect(maps.Values(t.changes))
	sortChanges(changes)
	more, dropped := t.m.want(t.now)
	return more, append(changes, dropped...)
}

// Tick takes what time has done: resources that nothing was said of for too long, or whose time to live is over.
func (m *Machine) Tick(now time.Duration) ([]Message, []Change) {
	var changes []Change
	for _, k := range m.kinds {
		for _, r := range k.all {
			switch {
			case r.State == Received && r.expires > 0 && now >= r.expires:
				changes = append(changes, k.gone(now, r, "its time to live is over"))
			case r.State == Requested && m.opt.FetchTimeout > 0 && now-r.asked >= m.opt.FetchTimeout:
				why := fmt.Sprintf("the control plane said nothing of it within %v", m.opt.FetchTimeout)
				if r.Rejected != "" {
					why = "what the control plane said of it was refused: " + r.Rejected
				}
				changes = append(changes, k.gone(now, r, why))
			}
		}
	}
	sortChanges(changes)
	out, dropped := m.want(now)
	return out, append(changes, dropped...)
}

// Next is when Tick has something to do; 0: never.
func (m *Machine) Next() (at time.Duration) {
	sooner := func(t time.Duration) {
		if t > 0 && (at == 0 || t < at) {
			at = t
		}
	}
	for _, k := range m.kinds {
		for _, r := range k.all {
			switch {
			case r.State == Received:
				sooner(r.expires)
			case r.State == Requested && m.opt.FetchTimeout > 0:
				sooner(r.asked + m.opt.FetchTimeout)
			}
		}
	}
	return at
}

// Bundle is resources of several types, as another process accepted them.
type Bundle struct {
	Resources map[Type][]*discoveryv3.Resource
	Removed   map[Type][]string
	// Whole: what is not in Resources is withdrawn. Only: and what is asked for and not in it does not exist.
	Whole, Only bool
	// Versions are of the types as a whole, for the state-of-the-world variant.
	Versions map[Type]string
}

// Import takes what another process accepted, clusters first. It is for a time without a stream. What cannot be used is
// refused one by one, as from a control plane.
func (m *Machine) Import(now time.Duration, b *Bundle) ([]Change, error) {
	var errs []error
	_, all := m.want(now)
	for _, t := range []Type{ClusterType, EndpointType, ListenerType, RouteType} {
		k := m.kind(t)
		if k == nil {
			continue
		}
		r := &discoveryv3.DeltaDiscoveryResponse{TypeUrl: string(t), Resources: b.Resources[t], RemovedResources: slices.Clone(b.Removed[t])}
		if b.Whole {
			there := map[string]bool{}
			for _, res := range b.Resources[t] {
				there[res.GetName()] = true
			}
			for _, old := range m.Resources(t) {
				if !there[old.Name] && (old.State == Received || b.Only && old.State != Absent) {
					r.RemovedResources = append(r.RemovedResources, old.Name)
				}
			}
		}
		if len(r.Resources)+len(r.RemovedResources) > 0 {
			out, changes := m.Delta(now, r)
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
	b := &Bundle{Resources: map[Type][]*discoveryv3.Resource{}, Removed: map[Type][]string{}, Whole: true, Versions: map[Type]string{}}
	for _, k := range m.kinds {
		b.Versions[k.typ] = k.version
		for _, name := range slices.Sorted(maps.Keys(k.all)) {
			switch r := k.all[name]; {
			case r.State == Received && r.body != nil:
				b.Resources[k.typ] = append(b.Resources[k.typ], r.Wire(now))
			case r.State == Absent:
				b.Removed[k.typ] = append(b.Removed[k.typ], name)
			}
		}
	}
	return b
}

// Wire is a resource as it is handed on.
func (r *Resource) Wire(now time.Duration) *discoveryv3.Resource {
	w := &discoveryv3.Resource{Name: r.Name, Version: r.Version, Resource: r.body}
	if left := r.Left(now); left > 0 {
		w.Ttl = durationpb.New(left)
	}
	return w
}

// Digest stands for all that is in use, whatever the order in which it came and whatever its versions are called.
func (m *Machine) Digest() uint64 {
	var sum uint64
	for _, k := range m.kinds {
		for _, r := range k.all {
			if r.State == Received && r.body != nil {
				sum += digest(k.typ, r.Name, r.body)
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
	for _, k := range m.kinds {
		there := map[string]uint64{}
		for _, r := range b.Resources[k.typ] {
			there[r.GetName()] = digest(k.typ, r.GetName(), r.GetResource())
		}
		for _, r := range k.all {
			if r.State == Received && (r.body == nil || there[r.Name] != digest(k.typ, r.Name, r.body)) {
				return false
			}
		}
		if k.wildcard && len(there) != len(k.all) {
			return false
		}
	}
	return true
}

// Missing tells whether nothing has been said of something that is asked for.
func (m *Machine) Missing() bool {
	for _, k := range m.kinds {
		for _, r := range k.all {
			if r.State == Requested {
				return true
			}
		}
	}
	return false
}

// Open tells whether a stream is open.
func (m *Machine) Open() bool { return m.on }

// Answered tells whether a response of each type that is asked for has come on this stream.
func (m *Machine) Answered() bool {
	if !m.on {
		return false
	}
	for _, k := range m.kinds {
		if (k.wildcard || len(k.all) > 0) && k.nonce == "" {
			return false
		}
	}
	return true
}

// Resources gives copies of all that is known of a type, by name.
func (m *Machine) Resources(t Type) []Resource {
	k := m.kind(t)
	if k == nil {
		return nil
	}
	l := make([]Resource, 0, len(k.all))
	for _, name := range slices.Sorted(maps.Keys(k.all)) {
		l = append(l, *k.all[name])
	}
	return l
}

// Summary is what is known of a type as a whole.
type Summary struct {
	Type               Type
	Version            string // state of the world only
	Updated            time.Duration
	Accepted, Rejected int // responses
	Error              string
	Resources          int
}

// Summaries gives one for each type that is asked for.
func (m *Machine) Summaries() []Summary {
	var l []Summary
	for _, k := range m.kinds {
		l = append(l, Summary{k.typ, k.version, k.updated, k.accepted, k.rejected, k.errors, len(k.all)})
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
			value, warn, err = ParseListener(&c, m.opt.Classes)
		}
	case RouteType:
		var c routev3.RouteConfiguration
		if err = proto.Unmarshal(body.GetValue(), &c); err == nil {
			name = c.GetName()
			value, warn, err = ParseRoutes(&c, m.opt.Classes)
		}
	}
	return name, value, warn, err
}

// maxResources of one type are kept.
const maxResources = 100_000

// maxDetail bounds what is said of an error; a response can hold any number of them.
const maxDetail = 4 << 10

func cut(s string) string {
	if len(s) > maxDetail {
		return strings.ToValidUTF8(s[:maxDetail], "") + " ..."
	}
	return strings.ToValidUTF8(s, "?")
}

func refusal(errs ...error) *statuspb.Status {
	return &statuspb.Status{Code: int32(codes.InvalidArgument), Message: cut(errors.Join(errs...).Error())}
}
