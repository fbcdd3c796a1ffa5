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

// Gateways are hollow members that take orders and the subscription's news as gateways do, and serve nothing. Prepare is for
// Options. Its methods may be called by several goroutines at once.
type Gateways struct {
	mu    sync.Mutex
	all   map[string]*taker
	shows bool
}

// maxTimes are kept of what one was told.
const maxTimes = 4096

// taker is one's agent.
type taker struct {
	g    *Gateways
	name string
	m    *Member

	// Under g.mu:
	rounds  []time.Duration          // when it was told of orders, on fleet.Clock
	drained map[string]time.Duration // when it first heard that an order has it out
	served  uint64                   // requests that it says it has served
	share   *subscription.Subscription
	taken   map[[2]uint64]time.Duration // when it took a change, by token and number
	wholes  int                         // lists taken as a whole
	bytes   int64                       // of pushes
	pushes  int
}

// NewGateways makes none: Prepare adds them.
func NewGateways() *Gateways { return &Gateways{all: map[string]*taker{}} }

// Show has them say in each round that they have served some more requests, all alike, as a release is judged by that.
func (g *Gateways) Show() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shows = true
}

// The path of the subscription's news is the gateway's own (internal/gateway), whose whole front would come with its code.
const sharePath = "/fleet/v1/xds"

// Prepare has a member take orders and news.
func (g *Gateways) Prepare(m *Member) error {
	t := &taker{g: g, name: m.Name, m: m, drained: map[string]time.Duration{}, taken: map[[2]uint64]time.Duration{},
		share: subscription.New(fleet.Clock(), subscription.Options{DirectAfter: time.Hour})}
	g.mu.Lock()
	g.all[m.Name] = t
	g.mu.Unlock()
	m.SetAgent(t)
	m.Node().Handle(sharePath, 64<<20, t.receive)
	return nil
}

// ApplyDrains takes what is ordered and says how it stands: in service, or out with nothing in hand.
func (t *taker) ApplyDrains(v drain.View, _ bool) fleet.Report {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	now := fleet.Clock()
	if len(t.rounds) < maxTimes {
		t.rounds = append(t.rounds, now)
	}
	r := fleet.Report{Version: v.Version, Serving: true, InFlight: map[string]int{}}
	if t.g.shows {
		const more, took, memory = 100, 10 * time.Millisecond, 50 << 20
		t.served += more
		r.Figures = release.Figures{Accepted: t.served, Served: t.served, LatencySeconds: float64(t.served) * took.Seconds(), Memory: memory,
			LatencyCounts: append(make([]uint64, release.LatencyBucket(took)), t.served)}
	}
	for _, o := range v.Requests {
		if o.State.Unavailable() && o.Target.MatchesGateway(t.name, t.m.Site, "z0") {
			if t.drained[o.ID] == 0 {
				t.drained[o.ID] = now
			}
			r.Serving, r.InFlight[o.ID] = false, 0
		}
	}
	return r
}

// Configure takes any.
func (t *taker) Configure(string, string) error { return nil }

// receive takes a push as the gateway's does: the share decides, and what comes is read.
func (t *taker) receive(_ context.Context, body []byte) (any, error) {
	var p struct {
		subscription.Update
		Types []struct {
			Resources [][]byte `json:"resources"`
		} `json:"types"`
	}
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, &peer.StatusError{Status: http.StatusBadRequest, Err: err}
	}
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	now := fleet.Clock()
	v := t.share.Receive(now, p.Update, 0)
	t.pushes++
	t.bytes += int64(len(body))
	if v == subscription.Accept {
		t.taken[[2]uint64{p.Token, p.Seq}] = now
		if p.Full {
			t.wholes++
		}
	}
	return struct {
		Verdict subscription.Verdict `json:"verdict"`
		Highest uint64               `json:"highest"`
	}{v, t.share.HighestToken()}, nil
}

// Rounds gives the times between two of the leader's rounds as the gateways see them, sorted, and how often they were told in all,
// since a reading of fleet.Clock.
func (g *Gateways) Rounds(since time.Duration) (between []time.Duration, calls int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.all {
		last := time.Duration(0)
		for _, at := range t.rounds {
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

// Drained is when a gateway heard that an order has it out, on fleet.Clock; 0: it has not.
func (g *Gateways) Drained(name, id string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.all[name]; t != nil {
		return t.drained[id]
	}
	return 0
}

// First is when a gateway took its first change, on fleet.Clock, and the bytes of all pushes that have come to it; 0: it has taken none.
func (g *Gateways) First(name string) (at time.Duration, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.all[name]
	if t == nil {
		return 0, 0
	}
	for _, took := range t.taken {
		if at == 0 || took < at {
			at = took
		}
	}
	return at, t.bytes
}

// News is what the gateways took of the subscription since a reading of fleet.Clock: when each took its last change, sorted, and
// how many took none; the pushes and their bytes are all that came.
func (g *Gateways) News(since time.Duration) (took []time.Duration, none, wholes, pushes int, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.all {
		last := time.Duration(0)
		for _, at := range t.taken {
			if at >= since {
				last = max(last, at)
			}
		}
		if last == 0 {
			none++
		} else {
			took = append(took, last-since)
		}
		wholes, pushes, bytes = wholes+t.wholes, pushes+t.pushes, bytes+t.bytes
	}
	slices.Sort(took)
	return took, none, wholes, pushes, bytes
}
