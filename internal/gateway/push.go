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

// pushRequest is what the leader of a subscription sends. Without resources it is a heartbeat.
type pushRequest struct {
	subscription.Update
	Leader string     `json:"holder"`
	Types  []pushType `json:"types,omitempty"`
}

// pushType is what a push contains of one type.
type pushType struct {
	Type      xds.Type `json:"type"`
	Version   string   `json:"version,omitempty"`
	Resources [][]byte `json:"resources,omitempty"` // envoy.service.discovery.v3.Resource
	Removed   []string `json:"removed,omitempty"`
}

// pushResponse is the response to a push.
type pushResponse struct {
	Verdict subscription.Verdict `json:"verdict"`
	Highest uint64               `json:"highest"` // the highest token that the receiver has seen
}

// bundle decodes the resources of a push.
func (p *pushRequest) bundle() (*xds.Bundle, error) {
	bundle := newBundle()
	bundle.Full = p.Full
	for _, t := range p.Types {
		for i, encoded := range t.Resources {
			var r discoveryv3.Resource
			if err := proto.Unmarshal(encoded, &r); err != nil {
				return nil, fmt.Errorf("%s %d: %w", t.Type.Short(), i, err)
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

// encodeBundle returns the types of a push that contains a bundle.
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
			if err == nil { // cannot fail: it was decoded from the same form
				encoded.Resources = append(encoded.Resources, raw)
			}
		}
		types = append(types, encoded)
	}
	return types
}

// publisher pushes the resources of a leader to the other gateways of the site.
type publisher struct {
	source     *sharedSource
	leadership *leaderelection.Leadership
	slots      chan struct{} // one is taken by each push under way
	pushes     sync.WaitGroup
	// ready means that the resources in use are the control plane's. Until then the pushes are heartbeats.
	ready bool

	mu       sync.Mutex
	peers    map[string]peerState // by name
	snapshot *pushRequest         // the last one made, of its Seq
}

// peerState is what the publisher knows of a gateway.
type peerState struct {
	incarnation uint64
	seq         uint64 // up to which it has all changes; 0: none
	sending     bool
	resend      bool // there were changes while a push was under way
}

func newPublisher(s *sharedSource, leadership *leaderelection.Leadership) *publisher {
	return &publisher{
		source:     s,
		leadership: leadership,
		peers:      map[string]peerState{},
		slots:      make(chan struct{}, maxConcurrentPushes),
	}
}

// targets returns the gateways to push to.
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

// pushAll starts a push to each gateway of the site that none is under way to. It blocks while there are too many.
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

// beginPush reports whether a push to a gateway is to be started. If one is under way, that one will push again.
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

// push sends one push and reports whether to push again at once.
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
		p.source.log.Warn("push rejected, the subscription has another leader",
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

// clearResend notes that the changes so far are about to be pushed, and returns the seq that the gateway has.
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

// nextPush returns the push for a gateway that has all changes up to a seq: the changes since, a snapshot where they are
// not known, or a heartbeat where nothing is to be sent. It returns false where the lease has ended.
func (p *publisher) nextPush(have uint64) (*pushRequest, bool) {
	token, _, ok := p.leadership.Token()
	if !ok {
		return nil, false
	}
	s := p.source
	link := s.Connection()
	request := &pushRequest{
		Leader: s.fleet.Config().Member,
		Update: subscription.Update{Token: token, Connected: link.Server != ""},
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
		if link.LastResponseAt > 0 {
			request.Age = now - link.LastResponseAt
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

// snapshotOf returns all resources in use, encoded once for each seq. It is called with mu held.
func (p *publisher) snapshotOf(m *xds.Machine, now time.Duration, seq uint64) []pushType {
	if p.snapshot == nil || p.snapshot.Seq != seq {
		p.snapshot = &pushRequest{Types: encodeBundle(m.Export(now))}
		p.snapshot.Seq = seq
	}
	return p.snapshot.Types
}

// changesSince returns what has changed in all resources in use after a seq.
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
