package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"robindrum/internal/leaderelection"
	"robindrum/internal/membership"
	"robindrum/internal/subscription"
	"robindrum/internal/xds"
)

const (
	pushPath            = "/fleet/v1/xds"
	maxPushBytes        = 64 << 20
	maxConcurrentPushes = 64
	minPushTimeout      = time.Second
)

// pushRequest is a push from the leader of a subscription to another gateway. A push without resources is a heartbeat.
type pushRequest struct {
	subscription.Update
	Leader string     `json:"holder"`
	Types  []pushType `json:"types,omitempty"`
}

// pushType contains the resources of one type in a push.
type pushType struct {
	Type      xds.Type `json:"type"`
	Version   string   `json:"version,omitempty"`
	Resources [][]byte `json:"resources,omitempty"` // envoy.service.discovery.v3.Resource
	Removed   []string `json:"removed,omitempty"`
}

// pushResponse is the response to a push.
type pushResponse struct {
	Verdict subscription.Verdict `json:"verdict"`
	Highest uint64               `json:"highest"` // highest fencing token that the receiver has seen
}

// bundle decodes the resources of a push.
func (p *pushRequest) bundle() (*xds.Bundle, error) {
	bundle := newBundle()
	bundle.Full = p.Full
	for _, t := range p.Types {
		for i, encoded := range t.Resources {
			var r discoveryv3.Resource
			if err := proto.Unmarshal(encoded, &r); err != nil {
				return nil, fmt.Errorf("decoding %s resource %d: %w", t.Type.Short(), i, err)
			}
			bundle.Resources[t.Type] = append(bundle.Resources[t.Type], &r)
		}
		bundle.Removed[t.Type] = t.Removed
		bundle.Versions[t.Type] = t.Version
	}
	return bundle, nil
}

func newBundle() *xds.Bundle {
	return &xds.Bundle{
		Resources: map[xds.Type][]*discoveryv3.Resource{},
		Removed:   map[xds.Type][]string{},
		Versions:  map[xds.Type]string{},
	}
}

// encodeBundle encodes a bundle as the Types of a push. It omits types of which the bundle has no version.
func encodeBundle(bundle *xds.Bundle) []pushType {
	var types []pushType
	for _, t := range []xds.Type{xds.ClusterType, xds.EndpointType, xds.ListenerType, xds.RouteType} {
		version, known := bundle.Versions[t]
		if !known {
			continue
		}
		encoded := pushType{Type: t, Version: version, Removed: bundle.Removed[t]}
		for _, r := range bundle.Resources[t] {
			raw, err := proto.Marshal(r)
			if err == nil { // cannot fail: the resource was decoded from this format
				encoded.Resources = append(encoded.Resources, raw)
			}
		}
		types = append(types, encoded)
	}
	return types
}

// publisher pushes the leader's resources to the other gateways of the site.
type publisher struct {
	source     *sharedSource
	leadership *leaderelection.Leadership
	slots      chan struct{} // limits concurrent pushes; each push in flight occupies one slot
	pushes     sync.WaitGroup
	// ready is set once the resources in use are the control plane's current ones. Before that, all pushes are heartbeats.
	ready bool

	mu       sync.Mutex
	peers    map[string]peerState // by name
	snapshot *pushRequest         // latest snapshot, valid for its Seq
}

// peerState is the publisher's state of another gateway.
type peerState struct {
	incarnation uint64
	seq         uint64 // the gateway has all changes up to this seq; 0 if it has none
	sending     bool   // a push is in flight
	resend      bool   // there were changes while a push was in flight
}

func newPublisher(s *sharedSource, leadership *leaderelection.Leadership) *publisher {
	return &publisher{
		source:     s,
		leadership: leadership,
		peers:      map[string]peerState{},
		slots:      make(chan struct{}, maxConcurrentPushes),
	}
}

// targets returns the other gateways of the site, without those that are dead or gone.
func (p *publisher) targets() []membership.Member {
	view := p.source.fleet.Members()
	self := view.Self()
	var targets []membership.Member
	for _, member := range view.Members() {
		if member.Site != self.Site || member.Name == self.Name {
			continue
		}
		switch member.State {
		case membership.Dead, membership.Gone, membership.Witness:
		default:
			targets = append(targets, member)
		}
	}
	return targets
}

func (p *publisher) peerCount() int { return len(p.targets()) }

// pushAll starts a push to each target that has no push in flight. It blocks while maxConcurrentPushes are in flight.
func (p *publisher) pushAll(ctx context.Context) {
	for _, member := range p.targets() {
		if !p.beginPush(member) {
			continue
		}
		select {
		case p.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		p.pushes.Go(func() {
			defer func() { <-p.slots }()
			for p.push(ctx, member) {
			}
		})
	}
}

// beginPush reports whether the caller must start a push to a gateway. If a push is in flight, another one follows it.
func (p *publisher) beginPush(member membership.Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.peers[member.Name]
	if state.incarnation != member.Incarnation {
		state = peerState{incarnation: member.Incarnation, sending: state.sending}
	}
	begin := !state.sending
	state.resend = !begin
	state.sending = true
	p.peers[member.Name] = state
	return begin
}

// push sends one push and reports whether another one must follow immediately.
func (p *publisher) push(ctx context.Context, member membership.Member) (again bool) {
	request, ok := p.nextPush(p.clearResend(member.Name))
	var response pushResponse
	var err error
	if ok {
		err = p.call(ctx, member.Address, request, &response)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.peers[member.Name]
	switch {
	case !ok, err != nil: // the next pushAll tries again
	case response.Verdict == subscription.Reject:
		p.source.log.Warn("push rejected: the subscription has another leader",
			"gateway", member.Name, "token", request.Token, "highest", response.Highest)
	case response.Verdict == subscription.NeedSnapshot:
		again = !request.Full && p.ready
		state.seq = 0
	default:
		state.seq = request.Seq
		again = state.resend
	}
	state.sending = again
	p.peers[member.Name] = state
	return again
}

// clearResend clears the resend mark of a gateway, because all changes so far are about to be pushed. It returns the seq up
// to which the gateway has all changes.
func (p *publisher) clearResend(name string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.peers[name]
	state.resend = false
	p.peers[name] = state
	return state.seq
}

func (p *publisher) call(ctx context.Context, address string, request *pushRequest, response *pushResponse) error {
	timeout := max(p.source.config.Heartbeat.D(), minPushTimeout)
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return p.source.fleet.Node().Call(callCtx, address, pushPath, request, response)
}

// nextPush returns the push for a gateway that has all changes up to the seq have: a delta with the later changes, a snapshot
// if the later changes are not known, or a heartbeat if there is nothing to send. It returns false if the lease has ended.
func (p *publisher) nextPush(have uint64) (*pushRequest, bool) {
	token, _, ok := p.leadership.Token()
	if !ok {
		return nil, false
	}
	s := p.source
	connection := s.Connection()
	request := &pushRequest{
		Leader: s.fleet.Config().Member,
		Update: subscription.Update{Token: token, Connected: connection.Server != ""},
	}
	if !p.ready {
		return request, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s.Inspect(func(m *xds.Machine, now time.Duration) {
		s.mu.Lock()
		seq := s.seq
		floor := s.floor
		s.mu.Unlock()
		request.Seq = seq
		request.Digest = m.Digest()
		if connection.LastResponseAt > 0 {
			request.Age = now - connection.LastResponseAt
		}
		if have < floor || have == 0 {
			request.Full = true
			request.Types = p.snapshotOf(m, now, seq)
			return
		}
		request.Base = have
		if have != seq {
			request.Types = encodeBundle(s.changesSince(have, m.Export(now)))
		}
	})
	return request, true
}

// snapshotOf returns all resources in use. It encodes them once per seq. The caller must hold mu.
func (p *publisher) snapshotOf(m *xds.Machine, now time.Duration, seq uint64) []pushType {
	if p.snapshot == nil || p.snapshot.Seq != seq {
		p.snapshot = &pushRequest{Types: encodeBundle(m.Export(now))}
		p.snapshot.Seq = seq
	}
	return p.snapshot.Types
}

// changesSince returns the resources that were changed or removed after a seq. all contains all resources in use.
func (s *sharedSource) changesSince(seq uint64, all *xds.Bundle) *xds.Bundle {
	changes := newBundle()
	changes.Versions = all.Versions
	exists := map[resourceKey]bool{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for t, resources := range all.Resources {
		for _, r := range resources {
			key := resourceKey{t, r.GetName()}
			exists[key] = true
			if s.changedAt[key] > seq {
				changes.Resources[t] = append(changes.Resources[t], r)
			}
		}
	}
	for key, changedAt := range s.changedAt {
		if changedAt > seq && !exists[key] {
			changes.Removed[key.Type] = append(changes.Removed[key.Type], key.Name)
		}
	}
	return changes
}
