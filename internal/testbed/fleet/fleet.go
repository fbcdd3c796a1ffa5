// Package fleet simulates gateways and servers in several zones, on simulated time. Each gateway is a balancer with its own view of the
// servers and its own seed. Each server has workers, a queue and a warm-up, and crashes if it is overloaded while it is cold. The same
// Options produce the same Result.
package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// simulationStart is the first reading of the simulated clock. It is positive, so that 0 can stand for a time long before the start.
	simulationStart = time.Hour
	// simulationTail is how long a simulation continues after its duration, so that requests can end.
	simulationTail = 5 * time.Second
	// fleetStream is the PCG stream of the simulation, so that its random numbers differ from others with the same seed.
	fleetStream = 0x666c656574
)

// Fleet is a running simulation. Its methods may only be called by the functions of events, which run one after the other.
type Fleet struct {
	options Options
	random  *rand.Rand

	now      time.Duration
	events   eventHeap
	sequence uint64 // of events

	gateways        []*gateway
	gatewaysCreated int // including killed ones
	servers         map[string]*server
	serverOrder     []*server
	liveZones       map[string]bool

	controlPlaneDown bool
	sourceBusy       int           // calls in progress at the source
	sourceQueue      []*sourceCall // calls that wait for a slot

	requests       int                       // sent to gateways; also the id of the last request
	pendingRetries int                       // clients that wait before a retry
	runs           map[string]map[string]int // number of effects, by idempotency key and group of servers

	result Result
	err    error
}

// Run runs a simulation to its end. It does not wait for real time.
func Run(options Options) (Result, error) {
	f := newFleet(options.withDefaults())
	if err := f.addGateways(); err != nil {
		return Result{}, err
	}
	f.PublishEndpoints(0)
	for _, e := range f.options.Events {
		f.after(e.At, func() { e.Do(f) })
	}
	f.scheduleArrival()
	for client := range f.options.Clients {
		f.after(f.drawThinkTime(), func() { f.sendAsClient(client) })
	}
	f.runEvents()
	f.countUnfinished()
	return f.result, f.err
}

// newFleet returns a fleet with servers and without gateways.
func newFleet(o Options) *Fleet {
	f := &Fleet{
		options:   o,
		random:    rand.New(rand.NewPCG(o.Seed, fleetStream)),
		now:       simulationStart,
		servers:   map[string]*server{},
		liveZones: map[string]bool{},
		runs:      map[string]map[string]int{},
		result:    Result{Phases: newPhases(o)},
	}
	count := map[string]int{} // by zone
	for _, group := range o.Groups {
		f.liveZones[group.Zone] = true
		for range group.Servers {
			f.addServer(fmt.Sprintf("%s-%d", group.Zone, count[group.Zone]), group)
			count[group.Zone]++
		}
	}
	return f
}

func newPhases(o Options) []Phase {
	var phases []Phase
	from := time.Duration(0)
	for _, to := range append(slices.Clone(o.Phases), o.Duration) {
		phase := Phase{From: from, To: to, Classes: map[string]*ClassCount{}}
		for _, class := range o.Classes {
			phase.Classes[class.Name] = &ClassCount{}
		}
		phases = append(phases, phase)
		from = to
	}
	return phases
}

// addGateways adds the gateways, which are ready from the start.
func (f *Fleet) addGateways() error {
	for number := range f.options.Gateways {
		g, err := f.newGateway(number)
		if err != nil {
			return err
		}
		g.ready = true
		f.gateways = append(f.gateways, g)
	}
	return nil
}

func (f *Fleet) runEvents() {
	end := simulationStart + f.options.Duration + simulationTail
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		f.result.Events++
		f.now = e.at
		if f.now > end {
			return
		}
		e.do()
	}
}

// countUnfinished counts the requests and the gateway starts that have not ended when the simulation ends, and duplicate effects.
func (f *Fleet) countUnfinished() {
	f.result.Lost += f.pendingRetries
	for _, g := range f.gateways {
		if !g.ready {
			f.result.MaxTimeToReady = max(f.result.MaxTimeToReady, f.now-g.startedAt)
		}
		f.result.Lost += len(g.open)
	}
	for _, groups := range f.runs {
		effects := 0
		for _, n := range groups {
			effects += n
		}
		if effects > 1 {
			f.result.DuplicateEffects++
		}
	}
}

// Now returns the simulated time since the start.
func (f *Fleet) Now() time.Duration { return f.now - simulationStart }

// phase returns the current phase, or the last one after the end.
func (f *Fleet) phase() *Phase {
	for i := range f.result.Phases {
		if p := &f.result.Phases[i]; f.Now() < p.To {
			return p
		}
	}
	return &f.result.Phases[len(f.result.Phases)-1]
}

// after schedules do after a delay. Functions for the same time run in the order in which they were scheduled.
func (f *Fleet) after(delay time.Duration, do func()) {
	f.sequence++
	heap.Push(&f.events, event{at: f.now + max(delay, 0), sequence: f.sequence, do: do})
}

type event struct {
	at       time.Duration
	sequence uint64
	do       func()
}

// eventHeap is a heap.Interface ordered by time and sequence.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
