package hollow

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"robindrum/internal/drain"
	"robindrum/internal/fleet"
	"robindrum/internal/peer"
	"robindrum/internal/release"
	"robindrum/internal/subscription"
)

// Gateways are agents of hollow members that receive drain requests and subscription updates like gateways and serve nothing.
// Prepare is for Options. Its methods may be called by several goroutines at once.
type Gateways struct {
	mu              sync.Mutex
	agents          map[string]*gatewayAgent
	reportsRequests bool
}

// maxReconciles bounds the recorded calls of an agent.
const maxReconciles = 4096

// gatewayAgent is the agent of one member. The gateways' mu guards all but its first three fields.
type gatewayAgent struct {
	gateways *Gateways
	name     string
	member   *Member

	reconciles   []time.Duration          // when ApplyDrains was called, by fleet.Clock
	drained      map[string]time.Duration // when a drain request first took it out, by id
	served       uint64                   // reported requests
	subscription *subscription.Subscription
	accepted     map[updateKey]time.Duration // when it accepted an update
	snapshots    int                         // accepted ones
	bytes        int64                       // of pushes
	pushes       int
}

// updateKey identifies an update of a subscription.
type updateKey struct {
	token    uint64
	sequence uint64
}

// NewGateways returns no agents: Prepare adds them.
func NewGateways() *Gateways { return &Gateways{agents: map[string]*gatewayAgent{}} }

// ReportRequests has the agents report more served requests with each call from now on, equal for all, as releases are judged by
// them.
func (g *Gateways) ReportRequests() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reportsRequests = true
}

// subscriptionPath is that of internal/gateway, which is not linked for it.
const subscriptionPath = "/fleet/v1/xds"

// Prepare adds an agent to a member.
func (g *Gateways) Prepare(m *Member) error {
	t := &gatewayAgent{gateways: g, name: m.Name, member: m, drained: map[string]time.Duration{}, accepted: map[updateKey]time.Duration{},
		subscription: subscription.New(fleet.Clock(), subscription.Options{DirectAfter: time.Hour})}
	g.mu.Lock()
	g.agents[m.Name] = t
	g.mu.Unlock()
	m.SetAgent(t)
	m.Node().Handle(subscriptionPath, 64<<20, t.receive)
	return nil
}

// ApplyDrains records the call and reports the gateway as serving, or as drained with nothing in flight.
func (t *gatewayAgent) ApplyDrains(v drain.View, _ bool) fleet.Report {
	t.gateways.mu.Lock()
	defer t.gateways.mu.Unlock()
	now := fleet.Clock()
	if len(t.reconciles) < maxReconciles {
		t.reconciles = append(t.reconciles, now)
	}
	r := fleet.Report{Version: v.Version, Serving: true, InFlight: map[string]int{}}
	if t.gateways.reportsRequests {
		const more, took, memory = 100, 10 * time.Millisecond, 50 << 20
		t.served += more
		r.Figures = release.Figures{Accepted: t.served, Served: t.served, LatencySeconds: float64(t.served) * took.Seconds(), Memory: memory,
			LatencyCounts: append(make([]uint64, release.LatencyBucket(took)), t.served)}
	}
	for _, o := range v.Requests {
		if o.State.Unavailable() && o.Target.MatchesGateway(t.name, t.member.Site, "z0") {
			if t.drained[o.ID] == 0 {
				t.drained[o.ID] = now
			}
			r.Serving, r.InFlight[o.ID] = false, 0
		}
	}
	return r
}

// Configure accepts any configuration.
func (t *gatewayAgent) Configure(string, string) error { return nil }

// receive handles an update like a gateway: the subscription decides whether it is accepted.
func (t *gatewayAgent) receive(_ context.Context, body []byte) (any, error) {
	var p struct {
		subscription.Update
		Types []struct {
			Resources [][]byte `json:"resources"`
		} `json:"types"`
	}
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, &peer.StatusError{Status: http.StatusBadRequest, Err: err}
	}
	t.gateways.mu.Lock()
	defer t.gateways.mu.Unlock()
	now := fleet.Clock()
	v := t.subscription.Receive(now, p.Update, 0)
	t.pushes++
	t.bytes += int64(len(body))
	if v == subscription.Accept {
		t.accepted[updateKey{token: p.Token, sequence: p.Seq}] = now
		if p.Full {
			t.snapshots++
		}
	}
	return struct {
		Verdict subscription.Verdict `json:"verdict"`
		Highest uint64               `json:"highest"`
	}{v, t.subscription.HighestToken()}, nil
}

// ReconcileIntervals returns the times between two calls of ApplyDrains, sorted, and the number of calls, since a reading of
// fleet.Clock.
func (g *Gateways) ReconcileIntervals(since time.Duration) (between []time.Duration, calls int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.agents {
		last := time.Duration(0)
		for _, at := range t.reconciles {
			if at < since {
				continue
			}
			calls++
			if last > 0 {
				between = append(between, at-last)
			}
			last = at
		}
	}
	slices.Sort(between)
	return between, calls
}

// DrainedAt returns when a gateway received that a drain request takes it out, by fleet.Clock; 0: it has not.
func (g *Gateways) DrainedAt(name, id string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.agents[name]; t != nil {
		return t.drained[id]
	}
	return 0
}

// FirstUpdate returns when a gateway accepted its first update, by fleet.Clock, and the bytes of all updates that it received; 0:
// it has accepted none.
func (g *Gateways) FirstUpdate(name string) (at time.Duration, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.agents[name]
	if t == nil {
		return 0, 0
	}
	for _, took := range t.accepted {
		if at == 0 || took < at {
			at = took
		}
	}
	return at, t.bytes
}

// UpdateCounts is what gateways received from the subscription of their site.
type UpdateCounts struct {
	Delays    []time.Duration // until each gateway accepted its last update, sorted
	Without   int             // gateways that accepted none
	Snapshots int             // received since the start
	Pushes    int             // received since the start, snapshots included
	Bytes     int64           // of all pushes
}

// Updates returns what the gateways received. The delays are from a reading of fleet.Clock, and updates before it do not count for
// them.
func (g *Gateways) Updates(since time.Duration) UpdateCounts {
	g.mu.Lock()
	defer g.mu.Unlock()
	var counts UpdateCounts
	for _, agent := range g.agents {
		last := time.Duration(0)
		for _, at := range agent.accepted {
			if at >= since {
				last = max(last, at)
			}
		}
		if last == 0 {
			counts.Without++
		} else {
			counts.Delays = append(counts.Delays, last-since)
		}
		counts.Snapshots += agent.snapshots
		counts.Pushes += agent.pushes
		counts.Bytes += agent.bytes
	}
	slices.Sort(counts.Delays)
	return counts
}
