package fleet

import (
	"cmp"
	"time"

	"robindrum/balancer"
)

const (
	// loadWindow is the time window over which a server's load is measured.
	loadWindow = time.Second
	// crashTime is how long a server refuses connections after a crash.
	crashTime = 2 * time.Second
	// connectionLossDelay is the time from a server's failure until gateways notice that their connections are lost.
	connectionLossDelay = time.Millisecond
	// minSpeed is the lower bound of Group.Speed.
	minSpeed = 1e-3
	// lostResponses sets the fraction of responses that a server sends in the state LosesResponses: one in lostResponses.
	lostResponses = 5
)

// ServerState is how a server behaves.
type ServerState uint8

// The states of a server.
const (
	Healthy ServerState = iota
	RefusesConnections
	NeverResponds      // accepts requests
	Responds503        // immediately; requests have no effect
	ResetsAfterRequest // after the last byte; requests have an effect
	LosesResponses     // loses four of five responses
)

// server is a server with workers and a queue.
type server struct {
	fleet            *Fleet
	id               string
	zone             string
	workers          int
	queueSize        int
	speed            func(time.Duration) float64
	startedAt        time.Duration // 0: long before the simulation's start
	state            ServerState
	crashedUntil     time.Duration
	draining         bool
	drainPublishedAt time.Duration   // when the endpoint list first showed the drain; 0: it does not show it
	rejects          map[string]bool // by class
	slowdown         float64         // factor of the service time
	busy             int             // busy workers
	queue            []*attempt
	arrivals         []time.Duration // during the last loadWindow
}

func (f *Fleet) addServer(id string, group Group) {
	s := &server{
		fleet:     f,
		id:        id,
		zone:      group.Zone,
		workers:   cmp.Or(group.Workers, f.options.Workers),
		queueSize: cmp.Or(group.QueueSize, f.options.QueueSize),
		speed:     group.Speed,
		slowdown:  1,
	}
	f.servers[id] = s
	f.serverOrder = append(f.serverOrder, s)
}

// warmth returns the server's speed as a fraction of the full speed, as limited by its warm-up.
func (s *server) warmth() float64 {
	o := &s.fleet.options
	age := s.fleet.now - s.startedAt
	if s.startedAt == 0 || age >= o.WarmUp {
		return 1
	}
	return o.InitialSpeed + (1-o.InitialSpeed)*float64(age)/float64(o.WarmUp)
}

// groupSpeed returns the server's speed as a fraction of the full speed, as given by Group.Speed.
func (s *server) groupSpeed() float64 {
	if s.speed == nil {
		return 1
	}
	return max(s.speed(s.fleet.Now()), minSpeed)
}

// load returns the number of requests in the last second as a multiple of what the server can serve in a second at its current speed.
func (s *server) load() float64 {
	for len(s.arrivals) > 0 && s.arrivals[0] < s.fleet.now-loadWindow {
		s.arrivals = s.arrivals[1:]
	}
	return float64(len(s.arrivals)) / (float64(s.workers) / s.fleet.options.ServiceTime.Seconds() * s.warmth() * s.groupSpeed())
}

// receive handles an attempt that reaches the server. end is called with its result, unless the server does not respond.
func (s *server) receive(a *attempt, end func(balancer.Result)) {
	s.measureLoad()
	switch {
	case s.state == RefusesConnections, s.fleet.now < s.crashedUntil:
		end(balancer.NotConnected)
	case s.state == NeverResponds:
	case s.state == Responds503, s.rejects[a.request.class.Name], len(s.queue) >= s.queueSize:
		end(balancer.Rejected)
	case s.state == ResetsAfterRequest:
		s.takeEffect(a)
		end(balancer.ConnectionLost)
	default:
		s.enqueue(a, end)
	}
}

// measureLoad counts an arrival, and crashes the server if it is cold and overloaded.
func (s *server) measureLoad() {
	f := s.fleet
	s.arrivals = append(s.arrivals, f.now)
	phase := f.phase()
	load := s.load()
	phase.MaxLoad = max(phase.MaxLoad, load)
	cold := s.warmth() < 1
	if !cold || s.state != Healthy || f.now < s.crashedUntil {
		return
	}
	phase.MaxColdLoad = max(phase.MaxColdLoad, load)
	if load > f.options.OverloadMultiple {
		phase.Overloads++
		s.crashedUntil = f.now + crashTime
		s.dropQueue()
	}
}

// dropQueue empties the queue and breaks the connections of all queued attempts.
func (s *server) dropQueue() {
	for _, a := range s.queue {
		s.fleet.breakConnection(a)
	}
	s.queue = nil
}

// breakConnection ends an attempt as lost, unless its request has ended.
func (f *Fleet) breakConnection(a *attempt) {
	for _, g := range f.gateways {
		if r := g.open[a.request.id]; r != nil && r == a.request {
			f.after(connectionLossDelay, func() { g.endAttempt(a, balancer.ConnectionLost) })
			return
		}
	}
}

// enqueue begins an attempt immediately if a worker is free, and queues it otherwise.
func (s *server) enqueue(a *attempt, end func(balancer.Result)) {
	phase := s.fleet.phase()
	phase.MaxQueue = max(phase.MaxQueue, s.busy+len(s.queue)+1)
	a.server = s
	a.begin = func() { s.begin(a, end) }
	if s.busy < s.workers {
		a.begin()
		return
	}
	s.queue = append(s.queue, a)
}

// begin makes a worker serve an attempt.
func (s *server) begin(a *attempt, end func(balancer.Result)) {
	s.busy++
	startedAt := s.startedAt
	s.fleet.after(s.drawServiceTime(a), func() {
		if s.startedAt != startedAt || s.state == RefusesConnections {
			return // the server failed or restarted in the meantime
		}
		s.busy--
		s.takeEffect(a)
		if s.state == Healthy || s.state == LosesResponses && s.fleet.random.IntN(lostResponses) == 0 {
			end(balancer.Served)
		}
		s.beginNext()
	})
}

func (s *server) drawServiceTime(a *attempt) time.Duration {
	var drawn time.Duration
	if draw := a.request.class.DrawServiceTime; draw != nil {
		drawn = draw(s.fleet.random)
	} else {
		drawn = time.Duration(s.fleet.random.ExpFloat64() * float64(s.fleet.options.ServiceTime))
	}
	return time.Duration(float64(drawn+a.connectTime) * s.slowdown / s.warmth() / s.groupSpeed())
}

// beginNext makes a free worker begin the first queued attempt that has not ended.
func (s *server) beginNext() {
	for len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if !next.done {
			next.begin()
			return
		}
	}
}

// takeEffect counts the effect of a request that has an idempotency key. The servers of a group drop repeats of an idempotent request.
func (s *server) takeEffect(a *attempt) {
	r := a.request
	if r.key == "" {
		return
	}
	groups := s.fleet.runs[r.key]
	if groups == nil {
		groups = map[string]int{}
		s.fleet.runs[r.key] = groups
	}
	group := s.zone
	idempotent := r.class.Effect == balancer.IdempotentWithKey
	if idempotent && r.class.Group == balancer.GroupAll {
		group = "" // one group of all servers
	}
	if idempotent && groups[group] > 0 {
		return
	}
	groups[group]++
}
