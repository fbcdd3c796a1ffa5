package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"robindrum/internal/config"
	"robindrum/internal/fleet"
	"robindrum/internal/leaderelection"
	"robindrum/internal/membership"
	"robindrum/internal/peer"
	"robindrum/internal/subscription"
	"robindrum/internal/xds"
)

const (
	pushPath = "/fleet/v1/xds"
	// maxPushBytes bounds one push.
	maxPushBytes = 64 << 20
	// maxPushes are on their way at once.
	maxPushes = 64
	// maxChangedNames names are kept as changed; where there are more, the whole is sent.
	maxChangedNames = 10_000
)

// sharedSource is a source that lives on the site's one subscription, and on one of its own where there is none.
type sharedSource struct {
	*xds.Client
	sink      xds.Sink
	fleet     *fleet.Fleet
	conf      *config.Subscription
	log       *slog.Logger
	wake      chan struct{} // the mode or what is in use has changed
	receiving sync.Mutex    // one push at a time

	mu           sync.Mutex
	subscription *subscription.Subscription
	holder       string // who pushed last
	seq          uint64
	changedAt    map[resourceKey]uint64 // under which number each name changed last
	floor        uint64                 // changes up to here are not told one by one any more
}

type resourceKey struct {
	Type xds.Type
	Name string
}

func newSharedSource(f *fleet.Fleet, opt xds.ClientOptions, log *slog.Logger, sink xds.Sink) *sharedSource {
	c := f.Config().Subscription
	s := &sharedSource{sink: sink, fleet: f, conf: c, log: log, wake: make(chan struct{}, 1), seq: 1, changedAt: map[resourceKey]uint64{}, floor: 1}
	s.subscription = subscription.New(fleet.Clock(), subscription.Options{DirectAfter: c.OwnAfter.D(), Spread: c.Spread.D(), Chance: rand.Float64()})
	opt.Keep = true
	s.Client = xds.NewClient(opt, s)
	s.Pause(true)
	return s
}

// Changed takes what the client learnt, from a stream or from another gateway.
func (s *sharedSource) Changed(changes []xds.Change) {
	s.sink.Changed(changes)
	s.mu.Lock()
	s.seq++
	for _, c := range changes {
		s.changedAt[resourceKey{c.Type, c.Name}] = s.seq
	}
	if len(s.changedAt) > maxChangedNames {
		clear(s.changedAt)
		s.floor = s.seq
	}
	s.mu.Unlock()
	s.wakeLeader()
}

func (s *sharedSource) wakeLeader() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run follows a holder, or the control plane, until ctx ends.
func (s *sharedSource) Run(ctx context.Context) {
	var work sync.WaitGroup
	defer work.Wait()
	work.Go(func() { s.Client.Run(ctx) })
	tick := time.NewTicker(s.conf.Heartbeat.D() / 2)
	defer tick.Stop()
	for {
		s.tick()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// tick takes what time has done.
func (s *sharedSource) tick() {
	missing := false
	s.Look(func(m *xds.Machine, _ time.Duration) { missing = m.Missing() })
	s.mu.Lock()
	before, _ := s.subscription.Mode()
	s.subscription.SetMissing(fleet.Clock(), missing)
	s.subscription.Tick(fleet.Clock())
	s.mu.Unlock()
	s.applyMode(before)
}

// applyMode has the client keep a stream or not, as the mode is now.
func (s *sharedSource) applyMode(before subscription.Mode) {
	s.mu.Lock()
	mode, _ := s.subscription.Mode()
	s.Pause(!s.subscription.WantsStream())
	token, seq, _, _ := s.subscription.LastUpdate(0)
	s.mu.Unlock()
	if mode != before {
		s.log.Info("subscription", "from", string(before), "to", string(mode), "token", token, "number", seq)
	}
}

// pushRequest is what a holder sends.
type pushRequest struct {
	subscription.Update
	Holder string     `json:"holder"`
	Types  []pushType `json:"types,omitempty"`
}

type pushType struct {
	Type      xds.Type `json:"type"`
	Version   string   `json:"version,omitempty"`
	Resources [][]byte `json:"resources,omitempty"` // envoy.service.discovery.v3.Resource
	Removed   []string `json:"removed,omitempty"`
}

type pushResponse struct {
	Verdict subscription.Verdict `json:"verdict"`
	Highest uint64               `json:"highest"`
}

// bundle reads what came.
func (p *pushRequest) bundle() (*xds.Bundle, error) {
	b := &xds.Bundle{Resources: map[xds.Type][]*discoveryv3.Resource{}, Removed: map[xds.Type][]string{}, Versions: map[xds.Type]string{}, Whole: p.Full}
	for _, t := range p.Types {
		for i, raw := range t.Resources {
			var r discoveryv3.Resource
			if err := proto.Unmarshal(raw, &r); err != nil {
				return nil, fmt.Errorf("%s %d: %w", t.Type.Short(), i, err)
			}
			b.Resources[t.Type] = append(b.Resources[t.Type], &r)
		}
		b.Removed[t.Type], b.Versions[t.Type] = t.Removed, t.Version
	}
	return b, nil
}

// receive takes a push.
func (s *sharedSource) receive(body []byte) (any, error) {
	var p pushRequest
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(&p); err != nil {
		return nil, &peer.StatusError{Status: http.StatusBadRequest, Err: err}
	}
	b, err := p.bundle()
	if err != nil {
		return nil, &peer.StatusError{Status: http.StatusBadRequest, Err: err}
	}
	s.receiving.Lock()
	defer s.receiving.Unlock()
	var digest uint64
	open, covered := false, false
	s.Look(func(m *xds.Machine, _ time.Duration) {
		digest, open = m.Digest(), m.Open()
		covered = p.Full && m.CoveredBy(b)
	})
	s.mu.Lock()
	before, _ := s.subscription.Mode()
	var v subscription.Verdict
	if open && !s.subscription.WantsStream() { // its own stream is about to close
		v = subscription.NeedSnapshot
	} else if v = s.subscription.Receive(fleet.Clock(), p.Update, digest); v == subscription.Compare {
		if v = subscription.Diverged; covered && s.subscription.Adopt(fleet.Clock(), p.Update) {
			v = subscription.Unchanged
		}
	}
	if v != subscription.Reject {
		s.holder = p.Holder
	}
	highest := s.subscription.HighestToken()
	s.mu.Unlock()
	s.applyMode(before)
	if v == subscription.Accept {
		if err := s.Import(b); err != nil {
			s.log.Warn("what the holder of the subscription accepted is not taken as a whole", "holder", p.Holder, "err", err)
		}
	}
	return pushResponse{v, highest}, nil
}

// lead is the duty: it follows the control plane and hands what it accepts to the others.
func (s *sharedSource) lead(ctx context.Context, h *leaderelection.Leadership, current func() bool) {
	token, _, ok := h.Token()
	if !ok {
		return
	}
	s.mu.Lock()
	before, _ := s.subscription.Mode()
	s.subscription.Lead(fleet.Clock(), token)
	s.mu.Unlock()
	s.applyMode(before)
	out := &publisher{source: s, leadership: h, peers: map[string]peerState{}, slots: make(chan struct{}, maxPushes)}
	defer func() {
		out.work.Wait()
		s.mu.Lock()
		s.subscription.Release(fleet.Clock())
		s.mu.Unlock()
		s.applyMode(subscription.Leading)
	}()
	tick := time.NewTicker(s.conf.Heartbeat.D())
	defer tick.Stop()
	lost := fleet.Clock() // since when there is no stream
	for current() {
		now := fleet.Clock()
		link := s.Link()
		if link.Server != "" {
			lost = now
		} else if now-lost > s.conf.OwnAfter.D() && out.peerCount() > 0 {
			s.log.Warn("the subscription is given to another gateway: this one does not reach the control plane", "err", link.Error)
			return
		}
		if !out.ready && link.Server != "" {
			s.Look(func(m *xds.Machine, now time.Duration) {
				// A control plane that has nothing new since the version it is told says nothing.
				out.ready = m.Answered() || m.Open() && now-link.Since > s.conf.Heartbeat.D()
			})
		}
		out.pushAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-s.wake:
		}
	}
}

// publisher is a holder's work.
type publisher struct {
	source     *sharedSource
	leadership *leaderelection.Leadership
	ready      bool // what is in use here is the control plane's word on this stream
	slots      chan struct{}
	work       sync.WaitGroup

	mu       sync.Mutex
	peers    map[string]peerState
	snapshot *pushRequest // the last one made, and its number
}

type peerState struct {
	incarnation, seq uint64
	sending          bool
	resend           bool // there was news while one was on its way
}

func (p *publisher) targets() (l []membership.Member) {
	v := p.source.fleet.Members()
	self := v.Self()
	for _, m := range v.Members() {
		if m.Site == self.Site && m.Name != self.Name && m.State != membership.Dead && m.State != membership.Gone && m.State != membership.Witness {
			l = append(l, m)
		}
	}
	return l
}

func (p *publisher) peerCount() int { return len(p.targets()) }

// pushAll sends each gateway of the site what it lacks, or a sign of life.
func (p *publisher) pushAll(ctx context.Context) {
	for _, m := range p.targets() {
		p.mu.Lock()
		a := p.peers[m.Name]
		if a.incarnation != m.Incarnation {
			a = peerState{incarnation: m.Incarnation, sending: a.sending}
		}
		a.resend = a.sending
		start := !a.sending
		a.sending = true
		p.peers[m.Name] = a
		p.mu.Unlock()
		if !start {
			continue
		}
		select {
		case p.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		p.work.Go(func() {
			defer func() { <-p.slots }()
			for p.send(ctx, m) {
			}
		})
	}
}

// send sends once, and tells whether to send again at once.
func (p *publisher) send(ctx context.Context, m membership.Member) (again bool) {
	p.mu.Lock()
	a := p.peers[m.Name]
	a.resend = false
	p.peers[m.Name] = a
	p.mu.Unlock()
	body, ok := p.nextPush(a.seq)
	var r pushResponse
	var err error
	if ok {
		one, cancel := context.WithTimeout(ctx, max(p.source.conf.Heartbeat.D(), time.Second))
		err = p.source.fleet.Node().Call(one, m.Address, pushPath, body, &r)
		cancel()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a = p.peers[m.Name]
	a.sending = false
	switch {
	case !ok, err != nil: // with the next round
	case r.Verdict == subscription.Reject:
		p.source.log.Warn("a gateway refused the subscription's news: another one holds it", "gateway", m.Name, "token", body.Token, "highest", r.Highest)
	case r.Verdict == subscription.NeedSnapshot:
		again = !body.Full && p.ready
		a.seq = 0
	default:
		a.seq = body.Seq
		again = a.resend
	}
	a.sending = again
	p.peers[m.Name] = a
	return again
}

// nextPush gives what one who has everything up to a number lacks; 0: the whole. false: the lease is over.
func (p *publisher) nextPush(have uint64) (*pushRequest, bool) {
	token, _, ok := p.leadership.Token()
	if !ok {
		return nil, false
	}
	s := p.source
	link := s.Link()
	out := &pushRequest{Holder: s.fleet.Config().Member, Update: subscription.Update{Token: token, Connected: link.Server != ""}}
	if !p.ready {
		return out, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s.Look(func(m *xds.Machine, now time.Duration) {
		s.mu.Lock()
		seq, floor := s.seq, s.floor
		s.mu.Unlock()
		out.Seq, out.Digest = seq, m.Digest()
		if link.Heard > 0 {
			out.Age = now - link.Heard
		}
		if have < floor || have == 0 {
			if p.snapshot == nil || p.snapshot.Seq != seq {
				p.snapshot = &pushRequest{Types: encodeBundle(m.Export(now))}
				p.snapshot.Seq = seq
			}
			out.Full, out.Types = true, p.snapshot.Types
			return
		}
		out.Base = have
		if have == seq {
			return
		}
		b := m.Export(now)
		news := &xds.Bundle{Resources: map[xds.Type][]*discoveryv3.Resource{}, Removed: map[xds.Type][]string{}, Versions: b.Versions}
		there := map[resourceKey]bool{}
		s.mu.Lock()
		defer s.mu.Unlock()
		for t, l := range b.Resources {
			for _, r := range l {
				k := resourceKey{t, r.GetName()}
				there[k] = true
				if s.changedAt[k] > have {
					news.Resources[t] = append(news.Resources[t], r)
				}
			}
		}
		for k, at := range s.changedAt {
			if at > have && !there[k] {
				news.Removed[k.Type] = append(news.Removed[k.Type], k.Name)
			}
		}
		out.Types = encodeBundle(news)
	})
	return out, true
}

func encodeBundle(b *xds.Bundle) (l []pushType) {
	for _, t := range []xds.Type{xds.ClusterType, xds.EndpointType, xds.ListenerType, xds.RouteType} {
		version, known := b.Versions[t]
		if !known {
			continue
		}
		p := pushType{Type: t, Version: version, Removed: b.Removed[t]}
		for _, r := range b.Resources[t] {
			if raw, err := proto.Marshal(r); err == nil { // it was read from the same form
				p.Resources = append(p.Resources, raw)
			}
		}
		l = append(l, p)
	}
	return l
}

// SubscriptionStatus is how a gateway lives on the site's one subscription.
type SubscriptionStatus struct {
	Mode            subscription.Mode `json:"mode"`
	ModeSeconds     float64           `json:"seconds"`
	Leader          string            `json:"holder,omitempty"` // whose word was taken last
	Token           uint64            `json:"token,omitempty"`
	Sequence        uint64            `json:"number,omitempty"`
	LastPushAge     float64           `json:"heard_seconds"`         // ago
	ControlPlaneAge float64           `json:"control_plane_seconds"` // of the control plane's word when the holder spoke last
	Stale           string            `json:"stale,omitempty"`
}

func (s *sharedSource) status() *SubscriptionStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := fleet.Clock()
	mode, since := s.subscription.Mode()
	token, seq, heard, age := s.subscription.LastUpdate(now)
	v := &SubscriptionStatus{Mode: mode, ModeSeconds: (now - since).Seconds(), Leader: s.holder, Token: token, Sequence: seq, LastPushAge: heard.Seconds(), ControlPlaneAge: age.Seconds()}
	if !s.subscription.WantsStream() && heard > 2*s.conf.Heartbeat.D() {
		v.Stale = fmt.Sprintf("no word of a holder for %v; what it said last is in use", heard.Round(100*time.Millisecond))
	}
	return v
}
