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

// Gateways provides agents for hollow members. Like gateways, the agents apply drain requests and subscription updates, but they serve no
// requests. Set Options.Prepare to its method Prepare. Its methods are safe for concurrent use.
type Gateways struct {
	mu              sync.Mutex
	agents          map[string]*gatewayAgent
	reportsRequests bool
}

// maxReconciles is the maximum number of ApplyDrains calls that are recorded for an agent.
const maxReconciles = 4096

// gatewayAgent is the agent of one member. Gateways.mu guards all fields except the first three.
type gatewayAgent struct {
	gateways *Gateways
	name     string
	member   *Member

	reconciles   []time.Duration          // times of the ApplyDrains calls, by fleet.Clock
	drained      map[string]time.Duration // when a drain request first made the gateway unavailable, by request id
	served       uint64                   // reported requests
	subscription *subscription.Subscription
	accepted     map[updateKey]time.Duration // when the agent accepted each update
	snapshots    int                         // accepted snapshots
	bytes        int64                       // of all received updates
	pushes       int                         // received updates
}

// updateKey identifies a subscription update by its fencing token and sequence number.
type updateKey struct {
	token    uint64
	sequence uint64
}

// NewGateways returns Gateways without agents. Prepare adds them.
func NewGateways() *Gateways { return &Gateways{agents: map[string]*gatewayAgent{}} }

// ReportRequests makes the agents report served requests from now on. Each call of ApplyDrains adds the same number of requests with
// the same latency and memory, so that the figures by which releases compare gateways do not differ.
func (g *Gateways) ReportRequests() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reportsRequests = true
}

// subscriptionPath is the path on which gateways receive updates. It is a copy of the constant of internal/gateway, so that this package
// does not have to import internal/gateway.
const subscriptionPath = "/fleet/v1/xds"

// Prepare adds an agent to a member. It is a function for Options.Prepare.
func (g *Gateways) Prepare(m *Member) error {
	agent := &gatewayAgent{gateways: g, name: m.Name, member: m, drained: map[string]time.Duration{}, accepted: map[updateKey]time.Duration{},
		subscription: subscription.New(fleet.Clock(), subscription.Options{DirectAfter: time.Hour})}
	g.mu.Lock()
	g.agents[m.Name] = agent
	g.mu.Unlock()
	m.SetAgent(agent)
	m.Node().Handle(subscriptionPath, 64<<20, agent.receive)
	return nil
}

// ApplyDrains records the call. It reports the gateway as serving, or, if a drain request makes it unavailable, as not serving with no
// requests in flight.
func (a *gatewayAgent) ApplyDrains(view drain.View, _ bool) fleet.Report {
	a.gateways.mu.Lock()
	defer a.gateways.mu.Unlock()
	now := fleet.Clock()
	if len(a.reconciles) < maxReconciles {
		a.reconciles = append(a.reconciles, now)
	}
	report := fleet.Report{Version: view.Version, Serving: true, InFlight: map[string]int{}}
	if a.gateways.reportsRequests {
		const increment, latency, memory = 100, 10 * time.Millisecond, 50 << 20
		a.served += increment
		report.Figures = release.Figures{Accepted: a.served, Served: a.served, LatencySeconds: float64(a.served) * latency.Seconds(), Memory: memory,
			LatencyCounts: append(make([]uint64, release.LatencyBucket(latency)), a.served)}
	}
	for _, request := range view.Requests {
		if request.State.Unavailable() && request.Target.MatchesGateway(a.name, a.member.Site, "z0") {
			if a.drained[request.ID] == 0 {
				a.drained[request.ID] = now
			}
			report.Serving, report.InFlight[request.ID] = false, 0
		}
	}
	return report
}

// Configure accepts every configuration and does nothing.
func (a *gatewayAgent) Configure(string, string) error { return nil }

// receive handles a pushed update like a gateway: subscription.Subscription decides whether it is accepted.
func (a *gatewayAgent) receive(_ context.Context, body []byte) (any, error) {
	var update struct {
		subscription.Update
		Types []struct {
			Resources [][]byte `json:"resources"`
		} `json:"types"`
	}
	if err := json.Unmarshal(body, &update); err != nil {
		return nil, &peer.StatusError{Status: http.StatusBadRequest, Err: err}
	}
	a.gateways.mu.Lock()
	defer a.gateways.mu.Unlock()
	now := fleet.Clock()
	verdict := a.subscription.Receive(now, update.Update, 0)
	a.pushes++
	a.bytes += int64(len(body))
	if verdict == subscription.Accept {
		a.accepted[updateKey{token: update.Token, sequence: update.Seq}] = now
		if update.Full {
			a.snapshots++
		}
	}
	return struct {
		Verdict subscription.Verdict `json:"verdict"`
		Highest uint64               `json:"highest"`
	}{verdict, a.subscription.HighestToken()}, nil
}

// ReconcileIntervals returns the intervals between successive ApplyDrains calls of an agent, for all agents and sorted, and the number of
// calls. It considers the calls after since, a reading of fleet.Clock.
func (g *Gateways) ReconcileIntervals(since time.Duration) (intervals []time.Duration, calls int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, agent := range g.agents {
		last := time.Duration(0)
		for _, at := range agent.reconciles {
			if at < since {
				continue
			}
			calls++
			if last > 0 {
				intervals = append(intervals, at-last)
			}
			last = at
		}
	}
	slices.Sort(intervals)
	return intervals, calls
}

// DrainedAt returns when a gateway first applied the drain request with the given id, by fleet.Clock; 0 if it has not.
func (g *Gateways) DrainedAt(name, id string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if agent := g.agents[name]; agent != nil {
		return agent.drained[id]
	}
	return 0
}

// FirstUpdate returns when a gateway accepted its first update, by fleet.Clock, or 0 if it has accepted none, and the bytes of all updates
// that it has received.
func (g *Gateways) FirstUpdate(name string) (at time.Duration, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	agent := g.agents[name]
	if agent == nil {
		return 0, 0
	}
	for _, acceptedAt := range agent.accepted {
		if at == 0 || acceptedAt < at {
			at = acceptedAt
		}
	}
	return at, agent.bytes
}

// UpdateCounts summarizes the updates that the gateways received from the subscription of their site.
type UpdateCounts struct {
	Delays       []time.Duration // until each gateway accepted its last update, sorted
	NeverUpdated int             // gateways that accepted no update
	Snapshots    int             // accepted since the start
	Pushes       int             // received since the start, including snapshots and updates that were not accepted
	Bytes        int64           // of all received updates
}

// Updates returns what the gateways received. Delays and NeverUpdated consider only updates accepted after since, a reading of
// fleet.Clock, and delays are measured from it. The other counts include all updates.
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
			counts.NeverUpdated++
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
