package fleet

import (
	"fmt"
	"time"

	"robindrum/balancer"
	"robindrum/internal/locality"
)

// publishedDrainGrace is how long attempts at a draining server are allowed after the endpoint list showed the drain.
const publishedDrainGrace = time.Second

// gateway is a simulated gateway with its balancer. It implements balancer.Actions.
type gateway struct {
	fleet     *Fleet
	number    int
	zone      string
	balancer  *balancer.Balancer
	open      map[string]*request        // by id
	idle      map[string][]time.Duration // idle connections by server: when each became idle; empty if connections are free
	ready     bool                       // has received the endpoint list
	killed    bool                       // replaced by another gateway
	startedAt time.Duration
}

// attempt is an attempt of a gateway at a server.
type attempt struct {
	request     *request
	number      int
	server      *server
	sentAt      time.Duration
	connectTime time.Duration // the server's processing time for a new connection
	done        bool
	begin       func() // makes a worker begin the attempt; set when the server enqueues it
}

// newGateway returns a gateway that is not ready.
func (f *Fleet) newGateway(number int) (*gateway, error) {
	o := &f.options
	seed := uint64(f.gatewaysCreated)
	f.gatewaysCreated++
	g := &gateway{
		fleet:  f,
		number: number,
		zone:   o.Zones[number%len(o.Zones)],
		open:   map[string]*request{},
		idle:   map[string][]time.Duration{},
	}
	settings := g.settings()
	switch o.Mode {
	case Tiers:
		picker, err := locality.New(g.pickerOptions(), o.Seed+seed)
		if err != nil {
			return nil, err
		}
		settings.Localities = picker
	case Failover:
		settings.Localities = &failoverPicker{ownZone: g.zone}
	}
	if o.Admission != nil {
		admission, err := o.Admission(number)
		if err != nil {
			return nil, err
		}
		settings.Admission = admission
	}
	var err error
	g.balancer, err = balancer.New(settings, o.Seed*1000+seed, g)
	return g, err
}

func (g *gateway) settings() balancer.Settings {
	o := &g.fleet.options
	settings := balancer.Settings{
		Zone:             g.zone,
		Index:            g.number,
		Proxies:          o.Gateways,
		MaxAttempts:      3,
		ParallelAttempts: true,
		MayCancel:        true,
		RetryAfter:       true,
		MaxRetryAfter:    5 * time.Second,
		Multiplex:        1,
		DrainGrace:       time.Second,
		WarmUpTime:       o.WarmUp,
		WarmUpShare:      o.InitialSpeed,
		OverloadMultiple: o.OverloadMultiple,
		OverloadWindow:   time.Second,
		Price:            balancer.Prices{CrossZone: 0.05},
		Weights:          balancer.WeightNominal,
	}
	for _, class := range o.Classes {
		settings.Classes = append(settings.Classes, class.Class)
	}
	return settings
}

func (g *gateway) pickerOptions() locality.Options {
	o := &g.fleet.options
	options := o.Zone
	options.OwnZone = g.zone
	options.Gateways = o.Gateways
	for _, class := range o.Classes {
		options.Classes = append(options.Classes, locality.Class{
			Name:             class.Name,
			PriorityWeight:   class.PriorityWeight,
			LatencyObjective: class.LatencyObjective,
			Effect:           class.Effect,
		})
	}
	if o.Trace != nil {
		options.Notify = func(transition locality.Transition) {
			o.Trace(transition.At-simulationStart, fmt.Sprintf("gateway %d: %s %v to %v (%s)", g.number, transition.Locality.Zone, transition.From, transition.To, transition.Evidence))
		}
	}
	return options
}

// Send sends an attempt to a server.
func (g *gateway) Send(id, serverID string, _ time.Duration) {
	f, r := g.fleet, g.open[id]
	s := f.servers[serverID] // nil if the server has been renamed since
	a := &attempt{request: r, number: len(r.attempts), server: s, sentAt: f.now, connectTime: g.connect(serverID)}
	r.attempts = append(r.attempts, a)
	r.phase.Attempts++
	if s != nil && s.zone != g.zone {
		r.phase.CrossZone++
	}
	delay := g.drawDelay(s)
	if s != nil {
		f.observeAttempt(s)
	}
	if s == nil || s.state == RefusesConnections {
		g.endAfter(a, balancer.NotConnected, 2*delay)
		return
	}
	f.after(r.deadline-f.now, func() { g.endAttempt(a, balancer.TimedOut) })
	f.after(delay, func() {
		s.receive(a, func(result balancer.Result) { g.endAfter(a, result, delay) })
	})
}

// drawDelay returns a random one-way delay to a server.
func (g *gateway) drawDelay(s *server) time.Duration {
	o := &g.fleet.options
	delay := o.CrossZoneDelay / 16
	if s != nil && s.zone != g.zone {
		delay = o.CrossZoneDelay / 2
	}
	delay += o.Link.Delay
	if o.Link.Jitter > 0 {
		delay += time.Duration(g.fleet.random.ExpFloat64() * float64(o.Link.Jitter))
	}
	return delay
}

func (f *Fleet) observeAttempt(s *server) {
	if s.drainPublishedAt > 0 && f.now > s.drainPublishedAt+publishedDrainGrace {
		f.result.AttemptsAfterDrain++
	}
	if f.options.Observer.AttemptSent != nil {
		f.options.Observer.AttemptSent(f.Now(), s.zone, s.id)
	}
}

// endAfter ends an attempt when its result reaches the gateway, after delay. A response may be lost on the way.
func (g *gateway) endAfter(a *attempt, result balancer.Result, delay time.Duration) {
	loss := g.fleet.options.Link.Loss
	if result == balancer.Served {
		delay += a.request.class.ResponseTime
		if loss > 0 && g.fleet.random.Float64() < loss {
			result = balancer.ConnectionLost
		}
	}
	g.fleet.after(delay, func() { g.endAttempt(a, result) })
}

// endAttempt ends an attempt that has not ended yet, and, if the attempt was served, its request.
func (g *gateway) endAttempt(a *attempt, result balancer.Result) {
	if a.done {
		return
	}
	a.done = true
	if g.killed {
		return
	}
	g.retainConnection(a, result)
	f, r := g.fleet, a.request
	final := r.answered
	if result == balancer.Served && !r.answered {
		final = true
		took := f.now - r.sentAt
		inTime := took <= r.class.LatencyObjective
		delete(g.open, r.id)
		f.respond(r, func(c *ClassCount) { c.countServed(r, took) }, Response{InTime: inTime, Late: !inTime})
	}
	g.balancer.Outcome(f.now, balancer.Outcome{ID: r.id, Attempt: a.number, Result: result, Latency: f.now - a.sentAt, Final: final})
}

// Reject responds to a client that its request is rejected. The client may retry; the request counts as rejected when it gives up.
func (g *gateway) Reject(id string, retryAfter time.Duration) {
	f, r := g.fleet, g.open[id]
	if f.options.ClientRetry == RetryAtOnce || retryAfter <= 0 {
		retryAfter = f.options.CrossZoneDelay
	}
	if r == nil || r.answered || f.options.ClientRetry == NoRetry || f.now+retryAfter >= r.began+r.class.LatencyObjective {
		g.endUnserved(id, true)
		return
	}
	delete(g.open, id)
	f.pendingRetries++
	retry := *r
	retry.attempts = nil
	r.answered = true // the results of its remaining attempts are ignored
	f.after(retryAfter, func() {
		f.pendingRetries--
		f.route(g, &retry)
	})
}

// Fail responds to a client that its request failed.
func (g *gateway) Fail(id string) { g.endUnserved(id, false) }

// endUnserved ends a request that was rejected or that failed.
func (g *gateway) endUnserved(id string, rejected bool) {
	r := g.open[id]
	if r == nil {
		return
	}
	delete(g.open, id)
	took := g.fleet.now - r.sentAt
	g.fleet.respond(r, func(c *ClassCount) { c.countNotServed(r, took, rejected) }, Response{Rejected: rejected, Failed: !rejected})
}

// Cancel cancels an attempt that is queued at a server. Its request may have been answered already.
func (g *gateway) Cancel(id string, number int) {
	for _, s := range g.fleet.serverOrder {
		for _, a := range s.queue {
			if a.request.id == id && a.number == number {
				g.fleet.after(0, func() { g.endAttempt(a, balancer.Cancelled) })
				return
			}
		}
	}
}

// SetTimer calls the balancer's Timer after a delay, unless the gateway was killed by then.
func (g *gateway) SetTimer(token uint64, after time.Duration) {
	g.fleet.after(after, func() {
		if !g.killed {
			g.balancer.Timer(g.fleet.now, token)
		}
	})
}

// Actions that the simulation does not need.

func (g *gateway) HealthCheck(string) {}
func (g *gateway) CloseIdle(string)   {}
func (g *gateway) Watch(bool)         {}
func (g *gateway) Fetch()             {}
func (g *gateway) Log(string)         {}

// connect reuses an idle connection to a server or opens a new one. It returns the server's processing time for the connection, which is
// 0 for a reused one.
func (g *gateway) connect(serverID string) time.Duration {
	f := g.fleet
	if f.options.ConnectTime == 0 {
		return 0
	}
	idle := g.idle[serverID]
	if n := len(idle); n > 0 {
		since := idle[n-1]
		g.idle[serverID] = idle[:n-1]
		if f.now-since < f.options.IdleTimeout {
			return 0
		}
		g.idle[serverID] = nil // the remaining connections have been idle for even longer
	}
	f.phase().NewConnections++
	return f.options.ConnectTime
}

// retainConnection keeps the connection of a served attempt for reuse.
func (g *gateway) retainConnection(a *attempt, result balancer.Result) {
	if g.fleet.options.ConnectTime > 0 && result == balancer.Served && a.server != nil {
		g.idle[a.server.id] = append(g.idle[a.server.id], g.fleet.now)
	}
}
