package locality

import (
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"robindrum/balancer"
)

// goroutineT allows calls of checkShares from goroutines other than the test's, where testing.T.Fatalf must not be called.
type goroutineT struct{ *testing.T }

func (t goroutineT) Fatalf(format string, args ...any) {
	t.Errorf(format, args...)
	runtime.Goexit()
}

// checkShares checks the invariants of the shares and of the attempts in flight.
func checkShares(t interface {
	Helper()
	Fatalf(string, ...any)
}, picker *Picker) {
	t.Helper()
	sum := 0.0
	for _, l := range picker.localities {
		sum += l.share
		if l.share < 0 || l.share > 1+1e-9 || l.state == Dark && l.share != 0 {
			t.Fatalf("%v is %v and has a share of %v, want 0 to 1, and 0 if dark", l.id, l.state, l.share)
		}
		if l.inFlight < 0 || l.retriesInFlight < 0 || l.retriesInFlight > l.inFlight {
			t.Fatalf("%v: %d attempts in flight, %d of them retries, want neither negative nor more retries than attempts", l.id, l.inFlight, l.retriesInFlight)
		}
		if l.state == Returning && l.share > l.stateFactor(&picker.options)+1e-9 {
			t.Fatalf("%v is returning with a share of %v, want at most its state factor %v", l.id, l.share, l.stateFactor(&picker.options))
		}
	}
	if sum > 1+1e-9 {
		t.Fatalf("sum of the shares: got %v, want at most 1", sum)
	}
}

// randomRun applies random events to one Picker and checks its invariants.
type randomRun struct {
	t                 *rapid.T
	picker            *Picker
	now               time.Duration
	inFlight          []inFlightAttempt
	lastFactorChanges map[balancer.Locality]factorChange
	probeTimes        map[balancer.Locality][]time.Duration
	localities        []balancer.Locality
}

type inFlightAttempt struct {
	locality balancer.Locality
	request  balancer.LocalityRequest
}

// factorChange is a change of a locality's state factor.
type factorChange struct {
	at     time.Duration
	factor float64
}

// Under any sequence of events, the shares add up to at most 1, a locality's share at most doubles with each step, and a dark locality
// gets only probes.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		picker, err := New(options(), rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		p := &randomRun{
			t:                 t,
			picker:            picker,
			lastFactorChanges: map[balancer.Locality]factorChange{},
			probeTimes:        map[balancer.Locality][]time.Duration{},
			localities:        []balancer.Locality{own, other, third, {Zone: "b", Priority: 1}},
		}
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			p.now += time.Duration(rapid.IntRange(0, 700).Draw(t, "gap")) * ms
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				p.updateHealth()
			case 1, 2, 3, 4:
				p.pick()
			default:
				p.endAttempts()
			}
			checkShares(t, picker)
			p.checkFactorIncreases()
		}
	})
}

func (p *randomRun) updateHealth() {
	t := p.t
	var list []balancer.LocalityHealth
	for _, l := range p.localities {
		listed := float64(rapid.IntRange(0, 4).Draw(t, "known"))
		if listed == 0 {
			continue
		}
		running := min(listed, float64(rapid.IntRange(0, 4).Draw(t, "running")))
		list = append(list, ready(l, listed, running, min(running, float64(rapid.IntRange(0, 4).Draw(t, "ready")))))
	}
	p.picker.UpdateHealth(p.now, list)
}

func (p *randomRun) pick() {
	t := p.t
	request := balancer.LocalityRequest{
		Class:    rapid.SampledFrom([]string{"map", "hold", "pay", "?"}).Draw(t, "class"),
		Purpose:  balancer.Purpose(rapid.IntRange(0, 2).Draw(t, "purpose")),
		TimeLeft: time.Second,
		Draw:     rapid.Float64Range(0, 0.999).Draw(t, "draw"),
		Previous: rapid.SampledFrom(p.localities).Draw(t, "from"),
	}
	target, ok, wait := p.picker.Pick(p.now, request)
	if !ok {
		if request.Purpose == balancer.FirstAttempt && (wait <= 0 || wait > p.picker.options.MaxRetryAfter) {
			t.Fatalf("Retry-After of a rejected request: got %v, want more than 0 to %v", wait, p.picker.options.MaxRetryAfter)
		}
		return
	}
	l := p.picker.find(target)
	if l == nil || l.running == 0 {
		t.Fatalf("Pick returned %v, which has no running endpoint", target)
	}
	if l.state == Dark {
		p.checkProbe(target, request.Purpose)
	}
	request.SentAt = p.now
	p.picker.AttemptSent(p.now, target, request)
	p.inFlight = append(p.inFlight, inFlightAttempt{target, request})
}

// checkProbe records an attempt at a dark locality and checks that it is a valid probe.
func (p *randomRun) checkProbe(target balancer.Locality, purpose balancer.Purpose) {
	if purpose != balancer.FirstAttempt {
		p.t.Fatalf("attempt with purpose %d sent to %v, which is dark, want only first attempts", purpose, target)
	}
	p.probeTimes[target] = append(p.probeTimes[target], p.now)
	if times := p.probeTimes[target]; len(times) > 1 && times[len(times)-1]-times[len(times)-2] < p.picker.options.ProbeInterval*3/4 {
		p.t.Fatalf("probes of %v at %v and %v, want at least 3/4 of the probe interval between them", target, times[len(times)-2], times[len(times)-1])
	}
}

func (p *randomRun) endAttempts() {
	t := p.t
	for range min(len(p.inFlight), rapid.IntRange(1, 8).Draw(t, "ends")) {
		i := rapid.IntRange(0, len(p.inFlight)-1).Draw(t, "which")
		a := p.inFlight[i]
		p.inFlight = append(p.inFlight[:i], p.inFlight[i+1:]...)
		result := balancer.Result(rapid.IntRange(0, int(balancer.NotSent)).Draw(t, "result"))
		latency := time.Duration(rapid.IntRange(1, 300).Draw(t, "took")) * ms
		p.picker.AttemptEnded(p.now, a.locality, a.request, result, latency)
	}
}

// checkFactorIncreases checks that no locality's state factor more than doubles at once or increases again before the step has ended.
func (p *randomRun) checkFactorIncreases() {
	options := &p.picker.options
	for _, l := range p.picker.localities {
		factor := l.stateFactor(options)
		if l.state == Up || l.state == Failing {
			factor = 1
		}
		last, seen := p.lastFactorChanges[l.id]
		if seen && factor > last.factor+1e-9 {
			if factor > max(2*last.factor, options.FirstShare)+1e-9 {
				p.t.Fatalf("state factor of %v rises from %v to %v at once, want at most double", l.id, last.factor, factor)
			}
			if last.factor > 0 && p.now-last.at < options.Step {
				p.t.Fatalf("state factor of %v rises from %v to %v after %v, before the step has ended", l.id, last.factor, factor, p.now-last.at)
			}
		}
		if !seen || last.factor != factor {
			p.lastFactorChanges[l.id] = factorChange{p.now, factor}
		}
	}
}

// clone returns an independent copy of a Picker that makes the same decisions.
func clone(picker *Picker) *Picker {
	c := *picker
	sourceCopy := *picker.source
	c.source, c.rng = &sourceCopy, rand.New(&sourceCopy)
	c.localities = nil
	for _, l := range picker.localities {
		localityCopy := *l
		localityCopy.byClass = map[string]*classState{}
		for name, state := range l.byClass {
			stateCopy := *state
			localityCopy.byClass[name] = &stateCopy
		}
		c.localities = append(c.localities, &localityCopy)
	}
	return &c
}

// Walks every sequence of eight events: the zone serves, fails, is silent, serves for a long time, or leaves the endpoint list or returns
// to it. Only valid state transitions may occur, and each valid one must occur, except Returning to Up.
func TestAllPathsOfTheStateMachine(t *testing.T) {
	const depth = 8
	events := []func(sim *simulation){
		func(sim *simulation) { sim.responses[own] = served; sim.run(300*ms, 30, "map") },
		func(sim *simulation) { sim.responses[own] = refusesConnections; sim.run(400*ms, 40, "map") },
		func(sim *simulation) { sim.responses[own] = silent; sim.run(700*ms, 12, "map") },
		func(sim *simulation) { sim.responses[own] = served; sim.run(2500*ms, 4, "map") },
		func(sim *simulation) {
			if sim.picker.find(own).running > 0 {
				sim.picker.UpdateHealth(sim.now, allReady(other))
			} else {
				sim.picker.UpdateHealth(sim.now, allReady(own, other))
			}
		},
	}
	var walk func(sim *simulation, remaining int, events []func(*simulation), seen map[[2]State]int) (steps int)
	all := events
	walk = func(sim *simulation, remaining int, events []func(*simulation), seen map[[2]State]int) (steps int) {
		for _, apply := range events {
			v := &simulation{picker: clone(sim.picker), now: sim.now, responses: map[balancer.Locality]func(string) (balancer.Result, time.Duration){},
				draw: sim.draw, pending: slices.Clone(sim.pending)}
			before := v.state(own)
			v.picker.options.Notify = func(tr Transition) {
				if tr.Locality == own {
					seen[[2]State{tr.From, tr.To}]++
				}
			}
			apply(v)
			steps++
			checkShares(goroutineT{t}, v.picker)
			if l := v.picker.find(own); before == Dark && l.state == Up || l.state == Dark && l.darkUntil-v.now > v.picker.options.MaxHold {
				goroutineT{t}.Fatalf("transition from %v to %v with hold %v, want none from dark to up and a hold of at most %v", before, l.state, l.darkUntil-v.now, v.picker.options.MaxHold)
			}
			if remaining > 1 {
				steps += walk(v, remaining-1, all, seen)
			}
		}
		return steps
	}
	sim := &simulation{picker: newPicker(t, options())}
	sim.picker.UpdateHealth(0, allReady(own, other))
	// Each first event is walked in its own goroutine.
	seen, steps := map[[2]State]int{}, 0
	var walks sync.WaitGroup
	var mu sync.Mutex
	for i := range events {
		walks.Go(func() {
			partialSeen := map[[2]State]int{}
			n := walk(sim, depth, events[i:i+1], partialSeen)
			mu.Lock()
			defer mu.Unlock()
			steps += n
			for k, v := range partialSeen {
				seen[k] += v
			}
		})
	}
	walks.Wait()
	legal := map[[2]State]bool{{Up, Failing}: true, {Up, Dark}: true, {Failing, Up}: true, {Failing, Dark}: true,
		{Dark, Returning}: true, {Returning, Dark}: true, {Returning, Up}: true}
	for k, n := range seen {
		if !legal[k] {
			t.Errorf("%d invalid transitions from %v to %v, want 0", n, k[0], k[1])
		}
	}
	for k := range legal {
		if seen[k] == 0 && k != [2]State{Returning, Up} { // needs more steps than the walk has
			t.Errorf("got no transition from %v to %v, want at least one", k[0], k[1])
		}
	}
	t.Logf("%d steps; transitions: %v", steps, seen)
}
