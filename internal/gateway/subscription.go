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

	"robindrum/internal/config"
	"robindrum/internal/fleet"
	"robindrum/internal/leaderelection"
	"robindrum/internal/peer"
	"robindrum/internal/subscription"
	"robindrum/internal/xds"
)

// maxChangedNames bounds the changes that are recorded by name. With more, the next push of each is a snapshot.
const maxChangedNames = 10_000

// sharedSource is a source that follows the leader of the site's subscription, and the control plane itself where there is
// no leader.
type sharedSource struct {
	*xds.Client
	sink      xds.Sink
	fleet     *fleet.Fleet
	config    *config.Subscription
	log       *slog.Logger
	wake      chan struct{} // wakes the leader: the resources in use have changed
	receiving sync.Mutex    // held while a push is applied

	mu           sync.Mutex
	subscription *subscription.Subscription
	leader       string                 // the member that sent the last push
	seq          uint64                 // of the last change
	changedAt    map[resourceKey]uint64 // the seq of the last change of each resource
	floor        uint64                 // changes up to this seq are not in changedAt
}

// resourceKey identifies a resource.
type resourceKey struct {
	Type xds.Type
	Name string
}

func newSharedSource(f *fleet.Fleet, options xds.ClientOptions, log *slog.Logger, sink xds.Sink) *sharedSource {
	settings := f.Config().Subscription
	s := &sharedSource{
		sink:      sink,
		fleet:     f,
		config:    settings,
		log:       log,
		wake:      make(chan struct{}, 1),
		seq:       1,
		changedAt: map[resourceKey]uint64{},
		floor:     1,
	}
	s.subscription = subscription.New(fleet.Clock(), subscription.Options{
		DirectAfter: settings.DirectAfter.D(),
		Spread:      settings.Spread.D(),
		Chance:      rand.Float64(),
	})
	options.RetainBodies = true
	s.Client = xds.NewClient(options, s)
	s.Pause(true)
	return s
}

// Changed implements xds.Sink: it records changes, from a stream or from a push, and passes them on.
func (s *sharedSource) Changed(changes []xds.Change) {
	s.sink.Changed(changes)
	s.mu.Lock()
	s.seq++
	for _, change := range changes {
		s.changedAt[resourceKey{change.Type, change.Name}] = s.seq
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

// Run follows the leader, or the control plane, until ctx ends.
func (s *sharedSource) Run(ctx context.Context) {
	var client sync.WaitGroup
	defer client.Wait()
	client.Go(func() { s.Client.Run(ctx) })
	ticker := time.NewTicker(s.config.Heartbeat.D() / 2)
	defer ticker.Stop()
	for {
		s.tick()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// tick advances the subscription to the current time.
func (s *sharedSource) tick() {
	missing := false
	s.Inspect(func(m *xds.Machine, _ time.Duration) { missing = m.HasMissing() })
	s.update(func(current *subscription.Subscription) {
		current.SetMissing(fleet.Clock(), missing)
		current.Tick(fleet.Clock())
	})
}

// update changes the subscription, and opens or closes the client's own stream as the mode then is.
func (s *sharedSource) update(change func(current *subscription.Subscription)) {
	s.mu.Lock()
	former, _ := s.subscription.Mode()
	change(s.subscription)
	s.mu.Unlock()
	s.applyMode(former)
}

func (s *sharedSource) applyMode(former subscription.Mode) {
	s.mu.Lock()
	mode, _ := s.subscription.Mode()
	s.Pause(!s.subscription.WantsStream())
	token, seq, _, _ := s.subscription.LastUpdate(0)
	s.mu.Unlock()
	if mode != former {
		s.log.Info("subscription", "from", string(former), "to", string(mode), "token", token, "number", seq)
	}
}

// receive applies a push of a leader and returns the response to it.
func (s *sharedSource) receive(body []byte) (any, error) {
	var push pushRequest
	err := json.NewDecoder(bytes.NewReader(body)).Decode(&push)
	if err != nil {
		return nil, &peer.StatusError{Status: http.StatusBadRequest, Err: err}
	}
	bundle, err := push.bundle()
	if err != nil {
		return nil, &peer.StatusError{Status: http.StatusBadRequest, Err: err}
	}
	s.receiving.Lock()
	defer s.receiving.Unlock()
	var response pushResponse
	inUse := s.inUse(&push, bundle)
	s.update(func(current *subscription.Subscription) {
		response.Verdict = verdict(current, &push, inUse)
		response.Highest = current.HighestToken()
		if response.Verdict != subscription.Reject {
			s.leader = push.Leader
		}
	})
	if response.Verdict == subscription.Accept {
		err := s.Import(bundle)
		if err != nil {
			s.log.Warn("push accepted in part", "leader", push.Leader, "error", err)
		}
	}
	return response, nil
}

// inUseResources describes the resources in use when a push arrives.
type inUseResources struct {
	digest     uint64
	streamOpen bool // the client has a stream of its own
	covered    bool // the push is a snapshot that contains all of them
}

func (s *sharedSource) inUse(push *pushRequest, bundle *xds.Bundle) inUseResources {
	var r inUseResources
	s.Inspect(func(m *xds.Machine, _ time.Duration) {
		r.digest = m.Digest()
		r.streamOpen = m.StreamOpen()
		r.covered = push.Full && m.CoveredBy(bundle)
	})
	return r
}

// verdict decides on a push. A snapshot that contains what is in use is adopted without applying it.
func verdict(current *subscription.Subscription, push *pushRequest, inUse inUseResources) subscription.Verdict {
	if inUse.streamOpen && !current.WantsStream() { // the stream is about to be closed
		return subscription.NeedSnapshot
	}
	received := current.Receive(fleet.Clock(), push.Update, inUse.digest)
	if received != subscription.Compare {
		return received
	}
	if inUse.covered && current.Adopt(fleet.Clock(), push.Update) {
		return subscription.Unchanged
	}
	return subscription.Diverged
}

// lead follows the control plane and pushes what it accepts to the other gateways of the site, while isCurrent. It returns
// early where it does not reach the control plane and another gateway may.
func (s *sharedSource) lead(ctx context.Context, leadership *leaderelection.Leadership, isCurrent func() bool) {
	token, _, ok := leadership.Token()
	if !ok {
		return
	}
	s.update(func(current *subscription.Subscription) { current.Lead(fleet.Clock(), token) })
	p := newPublisher(s, leadership)
	defer func() {
		p.pushes.Wait()
		s.mu.Lock()
		s.subscription.Release(fleet.Clock())
		s.mu.Unlock()
		s.applyMode(subscription.Leading)
	}()
	ticker := time.NewTicker(s.config.Heartbeat.D())
	defer ticker.Stop()
	lastConnected := fleet.Clock()
	for isCurrent() {
		now := fleet.Clock()
		link := s.Connection()
		connected := link.Server != ""
		if connected {
			lastConnected = now
		} else if now-lastConnected > s.config.DirectAfter.D() && p.peerCount() > 0 {
			s.log.Warn("control plane not reachable, resigning as leader of the subscription", "error", link.LastError)
			return
		}
		if connected && !p.ready {
			p.ready = s.isUpToDate(link)
		}
		p.pushAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.wake:
		}
	}
}

// isUpToDate reports whether the resources in use are the control plane's current ones. A control plane that has nothing
// newer than the versions that it was sent does not answer, so a heartbeat without a response counts as one.
func (s *sharedSource) isUpToDate(link xds.Connection) bool {
	upToDate := false
	s.Inspect(func(m *xds.Machine, now time.Duration) {
		upToDate = m.Answered() || m.StreamOpen() && now-link.ConnectedAt > s.config.Heartbeat.D()
	})
	return upToDate
}

// SubscriptionStatus describes a gateway's part in the site's subscription. Times are in seconds.
type SubscriptionStatus struct {
	Mode            subscription.Mode `json:"mode"`
	ModeSeconds     float64           `json:"seconds"`
	Leader          string            `json:"holder,omitempty"` // the member that sent the last accepted push
	Token           uint64            `json:"token,omitempty"`
	Sequence        uint64            `json:"number,omitempty"`
	LastPushAge     float64           `json:"heard_seconds"`
	ControlPlaneAge float64           `json:"control_plane_seconds"` // of the control plane's last response, at the last push
	Stale           string            `json:"stale,omitempty"`
}

func (s *sharedSource) status() *SubscriptionStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := fleet.Clock()
	mode, modeSince := s.subscription.Mode()
	token, seq, lastPushAge, controlPlaneAge := s.subscription.LastUpdate(now)
	status := &SubscriptionStatus{
		Mode:            mode,
		ModeSeconds:     (now - modeSince).Seconds(),
		Leader:          s.leader,
		Token:           token,
		Sequence:        seq,
		LastPushAge:     lastPushAge.Seconds(),
		ControlPlaneAge: controlPlaneAge.Seconds(),
	}
	if !s.subscription.WantsStream() && lastPushAge > 2*s.config.Heartbeat.D() {
		age := lastPushAge.Round(100 * time.Millisecond)
		status.Stale = fmt.Sprintf("no word of a holder for %v; what it said last is in use", age)
	}
	return status
}
