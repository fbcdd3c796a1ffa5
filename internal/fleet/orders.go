package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"time"

	"robindrum/internal/drain"
	"robindrum/internal/membership"
	"robindrum/internal/peer"
	"robindrum/internal/quorum"
	"robindrum/internal/release"
)

const (
	ordersPath = "/fleet/v1/orders"
	// doubt is the part of the gateways that answer whose word makes an endpoint one that is not well.
	doubt = 1.0 / 3
	// maxRound is how many members are asked at once.
	maxRound = 64
)

// Report is what a gateway says of itself, with a view of the orders taken over.
type Report struct {
	Version     uint64           `json:"version"`
	Incarnation uint64           `json:"birth"`
	Serving     bool             `json:"serving"`
	InFlight    map[string]int   `json:"in_hand,omitempty"`   // by order: at this gateway, or of it at the endpoint
	Endpoints   []drain.Endpoint `json:"endpoints,omitempty"` // those that are not well; with full all
	// Of releases.
	Config          string          `json:"has,omitempty"`
	Pending         bool            `json:"pending,omitempty"` // it has been taken over, and requests still go by the one before
	ConfigRejected  string          `json:"refused,omitempty"`
	Figures         release.Figures `json:"figures,omitzero"`
	RunningVersion  string          `json:"program,omitempty"`  // the version that it is supervised as
	AssignedVersion string          `json:"told,omitempty"`     // the version that it was told to run as
	VersionRejected string          `json:"not_this,omitempty"` // why it does not start as the version that it was told
}

// Supervised is this process's place under a supervisor. Its methods are called by one goroutine at a time.
type Supervised interface {
	// RejectReason says why this process would not start as a version; empty: it would.
	RejectReason(version string) string
	// SwitchTo has this process end and start as another version.
	SwitchTo(version string) error
	// Rollback has it end and the version before start in its place.
	Rollback(why string) error
	// ConfirmTrial tells that this version has been seen at work; Forgive has what was given up tried again when it is asked for.
	ConfirmTrial() error
	ClearRejected() error
	// OnTrial tells whether this version is still to be proved.
	OnTrial() bool
}

// Agent is the gateway that takes orders. Ordered is called by one goroutine at a time, and each time with a view that is no
// older than the one before.
type Agent interface {
	ApplyDrains(v drain.View, full bool) Report
	// Configure has the gateway use a configuration beside its own file; empty: its own file's alone. What it cannot use changes
	// nothing. It is called by one goroutine at a time.
	Configure(digest, text string) error
}

// orders is a process's part in them: it takes what it is told, and tells the others while its voter leads.
type orders struct {
	f       *Fleet
	agent   Agent
	program Supervised // nil: nobody supervises this process
	runs    string     // the version that it is supervised as

	mu    sync.Mutex
	view  drain.View
	known time.Duration // when the view was confirmed last; 0: never

	// What is to be had, by version, and what is; see configure.
	version      uint64
	want         string
	has, refused string
	told         time.Duration // when the leader spoke last
	under        bool          // by its word, a release is under way
	wantProgram  string
	notThis      string
	forgiven     bool
	news         chan struct{}

	shown  time.Duration            // when figures were agreed last
	absent map[string]time.Duration // gateways that were there and are not, since when this voter knows; its leader's loop alone has it
}

// told is what the leader sends.
type told struct {
	View    drain.View `json:"view"`
	Full    bool       `json:"full"`
	Want    string     `json:"want"` // the configuration that this gateway is to have
	Version uint64     `json:"version"`
	Program *string    `json:"program,omitempty"` // the version that it is to run as; empty: the one that it does; nil: it is not said
	// Under: a release is under way.
	Under bool `json:"under,omitempty"`
}

// SetSupervised has this process started as other versions by releases. It is called before Start.
func (f *Fleet) SetSupervised(version string, p Supervised) {
	f.orders.program, f.orders.runs = p, version
}

// SetAgent has the fleet's orders taken by a gateway. It is called before Start.
func (f *Fleet) SetAgent(a Agent) {
	f.orders.agent = a
	f.node.Handle(ordersPath, 4<<20, func(_ context.Context, body []byte) (any, error) {
		var t told
		if err := json.Unmarshal(body, &t); err != nil {
			return nil, &peer.StatusError{Status: http.StatusBadRequest, Err: err}
		}
		return f.orders.take(t), nil
	})
}

// take takes what the leader says, unless something newer is known, and says how the gateway stands.
func (o *orders) take(t told) Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.view.NewerThan(&t.View) {
		t.View = o.view
	}
	o.view, o.known, o.told = t.View, o.f.now(), o.f.now()
	if t.Version > o.version {
		o.version = t.Version
		if o.want != t.Want {
			o.want, o.refused = t.Want, ""
		}
		select {
		case o.news <- struct{}{}:
		default:
		}
	}
	if t.Program != nil && t.Version >= o.version { // a leader's word, not a voter's, and not of one that leads no more
		o.follow(*t.Program)
		o.under = t.Under
	}
	r := o.agent.ApplyDrains(t.View, t.Full)
	r.RunningVersion, r.AssignedVersion, r.VersionRejected = o.runs, o.wantProgram, o.notThis
	r.Incarnation, r.Config, r.ConfigRejected = o.f.list.Self().Incarnation, o.has, o.refused
	if r.Pending {
		r.Config = "pending"
	}
	return r
}

// follow notes the version that this process is to run as. What is in hand is seen to by the order that comes with it.
func (o *orders) follow(want string) {
	if o.program == nil {
		return
	}
	if o.wantProgram != want {
		o.wantProgram, o.notThis = want, ""
	}
	switch {
	case want == "" || want == o.runs:
		o.notThis = ""
		if !o.forgiven && o.program.ClearRejected() == nil { // this release of it is over
			o.forgiven = true
		}
	default:
		o.forgiven = false
		o.notThis = o.program.RejectReason(want)
	}
}

// Restart has this process end and start as another version. It is called by the agent, in Ordered.
func (f *Fleet) Restart(version string) {
	o := &f.orders
	if o.program == nil || version == o.runs {
		return
	}
	// Danger: one that has just come back from that version is still out by the same order.
	if o.notThis = o.program.RejectReason(version); o.notThis != "" {
		return
	}
	if err := o.program.SwitchTo(version); err != nil {
		o.notThis = err.Error()
		f.log.Error("cannot start as another version", "version", version, "err", err)
	}
}

// deadMan is so many heartbeats: a gateway that has a new configuration and is told nothing for so long goes back by itself.
const deadMan = 20

// configure has the gateway use what it is to have, until ctx ends.
func (o *orders) configure(ctx context.Context) {
	beat := o.f.conf.Quorum.Heartbeat.D()
	tick := time.NewTicker(beat)
	defer tick.Stop()
	born, trial := o.f.now(), o.program != nil && o.program.OnTrial()
	// What was given up for silence while the fleet had taken it is tried again: nobody was heard of for other reasons as well.
	var again, pause time.Duration
	before, since := "", time.Duration(0) // what was in use, and since when another one is that nobody has seen at work yet
	for {
		o.mu.Lock()
		want, has, refused, heard := o.want, o.has, o.refused, o.told
		if want == has {
			again = 0
		}
		if again > 0 && !o.under && o.f.now() >= again && heard > again-pause {
			again, refused, o.refused = 0, "", ""
		}
		switch {
		case trial && heard > 0:
			if err := o.program.ConfirmTrial(); err != nil {
				o.f.log.Warn("the version's trial goes on", "err", err)
			}
			trial = false
		case trial && o.f.now()-born > deadMan*beat:
			if err := o.program.Rollback("with it nobody is heard of"); err != nil {
				o.f.log.Error("cannot go back to the version before", "err", err)
			}
			trial = false
		}
		o.mu.Unlock()
		switch {
		case since > 0 && heard > since:
			since = 0
		case since > 0 && o.f.now()-since > deadMan*beat:
			o.use(ctx, before, "with it nobody is heard of any more")
			pause = min(max(2*pause, deadMan*beat), time.Hour)
			since, again = 0, o.f.now()+pause
		case want != has && refused == "":
			if o.use(ctx, want, "") {
				before, since = has, o.f.now()
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-o.news:
		}
	}
}

// use has the gateway use a configuration. why: another one is given up for it.
func (o *orders) use(ctx context.Context, digest, why string) bool {
	text := ""
	if digest != "" {
		var err error
		if text, err = o.f.client.Config(ctx, digest); err != nil {
			return false // the next time
		}
		if ConfigDigest([]byte(text)) != digest {
			o.f.log.Error("a configuration is not what its digest says", "digest", digest)
			return false
		}
	}
	err := o.agent.Configure(digest, text)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		why = err.Error()
		o.refused = why[:min(len(why), 200)]
		o.f.log.Error("a released configuration is refused, the one before goes on", "digest", digest, "err", err)
		return false
	}
	o.f.log.Info("configuration", "from", o.has, "to", digest, "why", why)
	o.has, o.refused = digest, why
	return true
}

// FetchDrains asks the voters what is ordered, within a time; false: nobody said.
func (f *Fleet) FetchDrains(ctx context.Context, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for ctx.Err() == nil {
		if l, err := f.client.Drains(ctx); err == nil && (l.Fresh || l.View.Term > 0) {
			f.orders.take(told{View: l.View, Want: l.DesiredConfigs[f.conf.Member], Version: l.Revision})
			f.orders.await(ctx)
			return true
		}
		t := time.NewTimer(f.conf.Quorum.Heartbeat.D() / 2)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
	return false
}

// await waits until what is to be had is in use, or refused.
func (o *orders) await(ctx context.Context) {
	for ctx.Err() == nil {
		o.mu.Lock()
		done := o.has == o.want || o.refused != ""
		o.mu.Unlock()
		if done {
			return
		}
		t := time.NewTimer(5 * time.Millisecond)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// lead tells everyone what is ordered and has agreed on what they say, for as long as this voter leads.
func (o *orders) lead(ctx context.Context) {
	beat := o.f.conf.Quorum.Heartbeat.D()
	tick := time.NewTicker(beat)
	defer tick.Stop()
	for idle := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !o.f.server.Leading() {
			continue
		}
		// Where nothing is ordered looking now and then is enough.
		if idle++; len(o.f.server.DrainView().Requests) > 0 || o.f.server.Desired(nil).InProgress || idle >= 4 {
			idle = 0
			if err := o.round(ctx); err != nil && ctx.Err() == nil {
				o.f.log.Debug("a round of orders", "err", err)
			}
		}
	}
}

// round is one.
func (o *orders) round(ctx context.Context) error {
	f, s := o.f, o.f.server
	if err := s.SetBudgets(f.budgets()); err != nil {
		return err
	}
	view := s.DrainView()
	// Begun here, so that what is granted is taken out under the token that the quorum gave, and by nobody else.
	for _, x := range view.Requests {
		if x.State == drain.Granted {
			if err := s.BeginDrain(x); err != nil {
				return err
			}
		}
	}
	view = s.DrainView()
	all := f.list.Members()
	var names []string
	for _, m := range all {
		names = append(names, m.Name)
	}
	want := s.Desired(names)
	reports := make([]*Report, len(all))
	var work sync.WaitGroup
	room := make(chan struct{}, maxRound)
	sites := map[string]bool{}
	for i, m := range all {
		// Also one that is given up: it may be cut off from the others, or just be back, and is to hear what is ordered before
		// the fleet has found it again.
		if m.State == membership.Witness || m.State == membership.Gone {
			continue
		}
		full := m.State != membership.Dead && !sites[m.Site]
		sites[m.Site] = sites[m.Site] || full
		room <- struct{}{}
		work.Go(func() {
			defer func() { <-room }()
			one, cancel := context.WithTimeout(ctx, 2*f.conf.Quorum.Heartbeat.D())
			defer cancel()
			var r Report
			if f.node.Call(one, m.Address, ordersPath, told{view, full, want.Configs[m.Name], want.Revision, new(want.Versions[m.Name]), want.InProgress}, &r) == nil && r.Version >= view.Version {
				reports[i] = &r
			}
		})
	}
	work.Wait()
	seen := &quorum.Observation{Version: view.Version}
	ends, bad, answered := map[[2]string]drain.Endpoint{}, map[[2]string]int{}, 0
	inHand, heard := map[string]int{}, map[string]int{}
	for i, m := range all {
		if m.State == membership.Witness || m.State == membership.Gone {
			continue
		}
		g := drain.Gateway{Name: m.Name, Site: m.Site, Zone: m.Zone, Incarnation: m.Incarnation}
		if r := reports[i]; r != nil {
			answered++
			g.Incarnation, g.Serving = r.Incarnation, r.Serving
			for id, n := range r.InFlight {
				inHand[id] += n
				heard[id]++
			}
			for _, e := range r.Endpoints {
				k := [2]string{e.Cluster, e.Address}
				if !e.Healthy {
					bad[k]++
				}
				e.Healthy = true
				ends[k] = e
			}
		}
		seen.Gateways = append(seen.Gateways, g)
		if r := reports[i]; r != nil {
			seen.Releases = append(seen.Releases, release.Gateway{Name: g.Name, Site: g.Site, Zone: g.Zone, Incarnation: g.Incarnation, Responding: true, Config: r.Config, ConfigRejected: r.ConfigRejected, Serving: r.Serving,
				Version: r.RunningVersion, AssignedVersion: r.AssignedVersion, VersionRejected: r.VersionRejected, Figures: r.Figures})
		} else {
			seen.Releases = append(seen.Releases, release.Gateway{Name: g.Name, Site: g.Site, Zone: g.Zone, Incarnation: g.Incarnation})
		}
	}
	// One that has left is missing all the same, until it is back or forgotten.
	there := map[string]bool{}
	for _, g := range seen.Gateways {
		there[g.Name] = true
		delete(o.absent, g.Name)
	}
	for _, g := range s.KnownGateways() {
		since, known := o.absent[g.Name]
		if !known {
			since = f.now()
		}
		if there[g.Name] || f.now()-since >= f.conf.Forget.D() {
			continue
		}
		o.absent[g.Name] = since
		g.Serving = false
		seen.Gateways = append(seen.Gateways, g)
		seen.Releases = append(seen.Releases, release.Gateway{Name: g.Name, Site: g.Site, Zone: g.Zone, Incarnation: g.Incarnation})
	}
	maps.DeleteFunc(o.absent, func(_ string, since time.Duration) bool { return f.now()-since >= 2*f.conf.Forget.D() })
	// A release begins with what is known then. While it is under way figures are agreed often enough for its soak, and no more: they
	// go into the log.
	if every := min(want.Soak/20, time.Second); (!want.InProgress || f.now()-o.shown < every) && s.StatesAgreed(seen.Releases) {
		seen.Releases = nil
	} else {
		o.shown = f.now()
	}
	for k, e := range ends {
		e.Healthy = float64(bad[k]) < max(doubt*float64(answered), 1)
		seen.Endpoints = append(seen.Endpoints, e)
	}
	if answered == 0 {
		return nil
	}
	if err := s.Observe(seen); err != nil {
		return err
	}
	alive := 0
	for _, m := range all {
		if m.State != membership.Dead && m.State != membership.Witness && m.State != membership.Gone {
			alive++
		}
	}
	for _, x := range view.Requests {
		// A gateway says itself; of an endpoint every gateway that is not known to be dead has to say.
		n, ok := inHand[x.ID]
		least := alive
		switch {
		case x.Target.Gateway != "":
			least = 1
		case x.Target.OfGateways():
			least = 0
			for _, m := range all {
				if x.Target.MatchesGateway(m.Name, m.Site, m.Zone) && m.State != membership.Dead && m.State != membership.Gone && m.State != membership.Witness {
					least++
				}
			}
		}
		if !x.State.Unavailable() || !ok || heard[x.ID] < least || x.State == drain.Drained && n == 0 {
			continue
		}
		if err := s.ReportDrainProgress(x, n); err != nil {
			return err
		}
	}
	return nil
}

// Drains asks the quorum for all orders.
func (f *Fleet) Drains(ctx context.Context) (quorum.DrainList, error) { return f.client.Drains(ctx) }

// order has the quorum do something about one.
func (f *Fleet) order(ctx context.Context, op quorum.Op, o *drain.Request) (drain.Request, error) {
	r, _, err := f.client.Do(ctx, quorum.Command{Op: op, Drain: o})
	if err == nil {
		err = r.Err()
	}
	if r.Drain != nil {
		return *r.Drain, err
	}
	return drain.Request{}, err
}

// budgets are the file's, or what is taken where it has none.
func (f *Fleet) budgets() []drain.Budget {
	var l []drain.Budget
	for _, b := range f.conf.Budgets {
		s := drain.Scope{Gateways: b.Cluster == "", Cluster: b.Cluster, Site: b.Site, Zone: b.Zone, EachZone: b.Each == "zone", EachSite: b.Each == "site"}
		l = append(l, drain.Budget{Name: b.Name, Scope: s, Max: b.Max, Fraction: b.Part})
	}
	return l
}
