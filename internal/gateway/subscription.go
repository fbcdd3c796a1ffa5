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

// maxChangedNames bounds the number of changes that are recorded by name. If there are more, the next push to each gateway is
// a snapshot.
const maxChangedNames = 10_000

// sharedSource is a source that gets its resources from the leader of the site's subscription, or from a direct stream to the
// control plane if there is no leader.
type sharedSource struct {
	*xds.Client
	sink      xds.Sink
	fleet     *fleet.Fleet
	config    *config.Subscription
	log       *slog.Logger
	wake      chan struct{} // wakes lead after the resources in use have changed
	receiveMu sync.Mutex    // held while a push is applied

	mu           sync.Mutex
	subscription *subscription.Subscription
	leader       string                 // member that sent the last push that was not rejected
	seq          uint64                 // seq of the last change
	changedAt    map[resourceKey]uint64 // seq of the last change of each resource
	floor        uint64                 // changes up to this seq are not recorded in changedAt
}

// resourceKey identifies a resource by type and name.
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
		DirectAfter:    settings.DirectAfter.D(),
		Spread:         settings.Spread.D(),
		SpreadFraction: rand.Float64(),
	})
	options.RetainBodies = true
	s.Client = xds.NewClient(options, s)
	s.Pause(true)
	return s
}

// Changed records changes, from a stream or from a push, and passes them on to the sink. It implements xds.Sink.
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

// Run keeps the resources up to date until ctx is done.
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
	s.Inspect(func(m *xds.Machine, _ time.Duration) { missing = m.HasPending() })
	s.update(func(current *subscription.Subscription) {
		current.SetMissing(fleet.Clock(), missing)
		current.Tick(fleet.Clock())
	})
}

// update calls change with the subscription, and then opens or closes the direct stream as the new mode requires.
func (s *sharedSource) update(change func(current *subscription.Subscription)) {
	s.mu.Lock()
	previous, _ := s.subscription.Mode()
	change(s.subscription)
	s.mu.Unlock()
	s.applyMode(previous)
}

// applyMode opens or closes the direct stream as the mode requires, and logs a change from the previous mode.
func (s *sharedSource) applyMode(previous subscription.Mode) {
	s.mu.Lock()
	mode, _ := s.subscription.Mode()
	s.Pause(!s.subscription.WantsStream())
	token, seq, _, _ := s.subscription.LastUpdate(0)
	s.mu.Unlock()
	if mode != previous {
		s.log.Info("subscription", "from", string(previous), "to", string(mode), "token", token, "number", seq)
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
	s.receiveMu.Lock()
	defer s.receiveMu.Unlock()
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
			s.log.Warn("push only partially applied", "leader", push.Leader, "error", err)
		}
	}
	return response, nil
}

// inUseResources describes the resources that are in use when a push arrives.
type inUseResources struct {
	digest     uint64
	streamOpen bool // the direct stream is open
	covered    bool // the push is a snapshot that contains all resources in use
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

// verdict decides what to do with a push. A snapshot that contains all resources in use is adopted without being applied.
func verdict(current *subscription.Subscription, push *pushRequest, inUse inUseResources) subscription.Verdict {
	if inUse.streamOpen && !current.WantsStream() { // the stream is about to be closed
		return subscription.NeedSnapshot
	}
	received := current.Receive(fleet.Clock(), push.Update, inUse.digest)
	if received != subscription.CompareSnapshot {
		return received
	}
	if inUse.covered && current.Adopt(fleet.Clock(), push.Update) {
		return subscription.Unchanged
	}
	return subscription.Diverged
}

// lead subscribes to the control plane and pushes accepted resources to the other gateways of the site while isCurrent
// returns true. It returns early if it cannot reach the control plane and the site has other gateways, which may reach it.
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
		connection := s.Connection()
		connected := connection.Server != ""
		if connected {
			lastConnected = now
		} else if now-lastConnected > s.config.DirectAfter.D() && p.peerCount() > 0 {
			s.log.Warn("control plane unreachable, resigning as leader of the subscription", "error", connection.LastError)
			return
		}
		if connected && !p.ready {
			p.ready = s.isUpToDate(connection)
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

// isUpToDate reports whether the resources in use are the control plane's current ones. A control plane does not respond if
// it has nothing newer than the versions in the requests. Therefore resources also count as up to date if there was no
// response for a heartbeat interval after the stream was opened.
func (s *sharedSource) isUpToDate(connection xds.Connection) bool {
	upToDate := false
	s.Inspect(func(m *xds.Machine, now time.Duration) {
		upToDate = m.AllTypesAnswered() || m.StreamOpen() && now-connection.ConnectedAt > s.config.Heartbeat.D()
	})
	return upToDate
}

// SubscriptionStatus describes a gateway's part in the site's shared subscription. Times are in seconds.
type SubscriptionStatus struct {
	Mode            subscription.Mode `json:"mode"`
	ModeSeconds     float64           `json:"seconds"`
	Leader          string            `json:"holder,omitempty"` // member that sent the last push that was not rejected
	Token           uint64            `json:"token,omitempty"`
	Sequence        uint64            `json:"number,omitempty"`
	LastPushAge     float64           `json:"heard_seconds"`
	ControlPlaneAge float64           `json:"control_plane_seconds"` // age of the control plane's last response when the last push arrived
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
