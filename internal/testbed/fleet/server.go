package fleet

import (
	"cmp"
	"time"

	"robindrum/balancer"
)

const (
	// loadWindow is the time over which a server's load is measured.
	loadWindow = time.Second
	// crashTime is for how long a server refuses connections after it crashed.
	crashTime = 2 * time.Second
	// connectionLossDelay is how long after a server's failure gateways notice lost connections.
	connectionLossDelay = time.Millisecond
	// minSpeed bounds Group.Speed.
	minSpeed = 1e-3
	// lostResponses is the reciprocal of the fraction of responses that a server sends in the state LosesResponses.
	lostResponses = 5
)

// ServerState is how a server behaves.
type ServerState uint8

// The states of a server.
const (
	Healthy ServerState = iota
	RefusesConnections
	NeverResponds      // it accepts requests
	Responds503        // at once, without an effect
	ResetsAfterRequest // after the last byte, with an effect
	LosesResponses     // four of five
)

// server is a server with workers and a queue.
type server struct {
	fleet            *Fleet
	id               string
	zone             string
	workers          int
	queueSize        int
	speed            func(time.Duration) float64
	startedAt        time.Duration // 0: long ago
	state            ServerState
	crashedUntil     time.Duration
	draining         bool
	drainPublishedAt time.Duration // when the endpoint list showed the drain; 0: it does not
	rejects          map[string]bool
	slowdown         float64 // multiple of the service time
	busy             int     // workers
	queue            []*attempt
	arrivals         []time.Duration // of the last second
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

// warmth returns the fraction of its speed that the server has by its warm-up.
func (s *server) warmth() float64 {
	o := &s.fleet.options
	age := s.fleet.now - s.startedAt
	if s.startedAt == 0 || age >= o.WarmUp {
		return 1
	}
	return o.InitialSpeed + (1-o.InitialSpeed)*float64(age)/float64(o.WarmUp)
}

// groupSpeed returns the fraction of its speed that the server has by its group.
func (s *server) groupSpeed() float64 {
	if s.speed == nil {
		return 1
	}
	return max(s.speed(s.fleet.Now()), minSpeed)
}

// load returns the requests of the last second as a multiple of what the server can serve in one.
func (s *server) load() float64 {
	for len(s.arrivals) > 0 && s.arrivals[0] < s.fleet.now-loadWindow {
		s.arrivals = s.arrivals[1:]
	}
	return float64(len(s.arrivals)) / (float64(s.workers) / s.fleet.options.ServiceTime.Seconds() * s.warmth() * s.groupSpeed())
}

// receive takes an attempt. end is called with its result, unless the server never responds.
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

// measureLoad counts an arrival. A cold server crashes if it is overloaded.
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

// dropQueue has the connections of all queued attempts break.
func (s *server) dropQueue() {
	for _, a := range s.queue {
		s.fleet.breakConnection(a)
	}
	s.queue = nil
}

// breakConnection ends an attempt, unless its request has ended.
func (f *Fleet) breakConnection(a *attempt) {
	for _, g := range f.gateways {
		if r := g.open[a.request.id]; r != nil && r == a.request {
			f.after(connectionLossDelay, func() { g.endAttempt(a, balancer.ConnectionLost) })
			return
		}
	}
}

// enqueue has an attempt begin, at once if a worker is free.
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

// begin has a worker serve an attempt.
func (s *server) begin(a *attempt, end func(balancer.Result)) {
	s.busy++
	startedAt := s.startedAt
	s.fleet.after(s.drawServiceTime(a), func() {
		if s.startedAt != startedAt || s.state == RefusesConnections {
			return // it failed meanwhile
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

// beginNext has a free worker begin the first queued attempt that was not cancelled.
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

// takeEffect counts the effect of a request with a key. The repeat of an idempotent one is dropped by the servers of its group.
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
		group = "" // of all servers
	}
	if idempotent && groups[group] > 0 {
		return
	}
	groups[group]++
}
