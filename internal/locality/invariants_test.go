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

// goroutineT lets checkShares be used in a goroutine that is not the test's.
type goroutineT struct{ *testing.T }

func (t goroutineT) Fatalf(format string, args ...any) {
	t.Errorf(format, args...)
	runtime.Goexit()
}

// checkShares fails where an invariant of the shares does not hold.
func checkShares(t interface {
	Helper()
	Fatalf(string, ...any)
}, picker *Picker) {
	t.Helper()
	sum := 0.0
	for _, l := range picker.localities {
		sum += l.share
		if l.share < 0 || l.share > 1+1e-9 || l.state == Dark && l.share != 0 {
			t.Fatalf("%v is %v and gets %v", l.id, l.state, l.share)
		}
		if l.inFlight < 0 || l.retriesInFlight < 0 || l.retriesInFlight > l.inFlight {
			t.Fatalf("%v: %d in flight, %d retries", l.id, l.inFlight, l.retriesInFlight)
		}
		if l.state == Returning && l.share > l.stateFactor(&picker.options)+1e-9 {
			t.Fatalf("%v: share %v at a step of %v", l.id, l.share, l.stateFactor(&picker.options))
		}
	}
	if sum > 1+1e-9 {
		t.Fatalf("the shares add up to %v", sum)
	}
}

// randomPlay plays random events against one Picker and checks its invariants.
type randomPlay struct {
	t          *rapid.T
	picker     *Picker
	now        time.Duration
	open       []openAttempt
	lastRises  map[balancer.Locality]rise
	darkSends  map[balancer.Locality][]time.Duration
	localities []balancer.Locality
}

type openAttempt struct {
	at      balancer.Locality
	request balancer.LocalityRequest
}

// rise is when a locality came to a state factor.
type rise struct {
	at     time.Duration
	factor float64
}

// Under any sequence of observations: shares add up to 1 at most, a locality's share at most doubles with each step, and a dark
// locality gets probes alone.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		picker, err := New(options(), rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		p := &randomPlay{
			t:          t,
			picker:     picker,
			lastRises:  map[balancer.Locality]rise{},
			darkSends:  map[balancer.Locality][]time.Duration{},
			localities: []balancer.Locality{own, other, third, {Zone: "b", Priority: 1}},
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
			p.checkRises()
		}
	})
}

func (p *randomPlay) updateHealth() {
	t := p.t
	var list []balancer.LocalityHealth
	for _, x := range p.localities {
		listed := float64(rapid.IntRange(0, 4).Draw(t, "known"))
		if listed == 0 {
			continue
		}
		running := min(listed, float64(rapid.IntRange(0, 4).Draw(t, "running")))
		list = append(list, ready(x, listed, running, min(running, float64(rapid.IntRange(0, 4).Draw(t, "ready")))))
	}
	p.picker.UpdateHealth(p.now, list)
}

func (p *randomPlay) pick() {
	t := p.t
	request := balancer.LocalityRequest{
		Class:    rapid.SampledFrom([]string{"map", "hold", "pay", "?"}).Draw(t, "class"),
		Purpose:  balancer.Purpose(rapid.IntRange(0, 2).Draw(t, "purpose")),
		TimeLeft: time.Second,
		Draw:     rapid.Float64Range(0, 0.999).Draw(t, "draw"),
		Previous: rapid.SampledFrom(p.localities).Draw(t, "from"),
	}
	at, ok, wait := p.picker.Pick(p.now, request)
	if !ok {
		if request.Purpose == balancer.FirstAttempt && (wait <= 0 || wait > p.picker.options.MaxRetryAfter) {
			t.Fatalf("Retry-After %v", wait)
		}
		return
	}
	l := p.picker.find(at)
	if l == nil || l.running == 0 {
		t.Fatalf("%v has no endpoint", at)
	}
	if l.state == Dark {
		p.checkProbe(at, request.Purpose)
	}
	request.SentAt = p.now
	p.picker.AttemptSent(p.now, at, request)
	p.open = append(p.open, openAttempt{at, request})
}

func (p *randomPlay) checkProbe(at balancer.Locality, purpose balancer.Purpose) {
	if purpose != balancer.FirstAttempt {
		p.t.Fatalf("purpose %d goes to %v, which is dark", purpose, at)
	}
	p.darkSends[at] = append(p.darkSends[at], p.now)
	if s := p.darkSends[at]; len(s) > 1 && s[len(s)-1]-s[len(s)-2] < p.picker.options.ProbeInterval*3/4 {
		p.t.Fatalf("probes of %v at %v and %v", at, s[len(s)-2], s[len(s)-1])
	}
}

func (p *randomPlay) endAttempts() {
	t := p.t
	for range min(len(p.open), rapid.IntRange(1, 8).Draw(t, "ends")) {
		i := rapid.IntRange(0, len(p.open)-1).Draw(t, "which")
		a := p.open[i]
		p.open = append(p.open[:i], p.open[i+1:]...)
		result := balancer.Result(rapid.IntRange(0, int(balancer.NotSent)).Draw(t, "result"))
		latency := time.Duration(rapid.IntRange(1, 300).Draw(t, "took")) * ms
		p.picker.AttemptEnded(p.now, a.at, a.request, result, latency)
	}
}

// checkRises checks that no locality gets more than double its former part of the share at once, nor rises again too soon.
func (p *randomPlay) checkRises() {
	options := &p.picker.options
	for _, l := range p.picker.localities {
		factor := l.stateFactor(options)
		if l.state == Up || l.state == Failing {
			factor = 1
		}
		last, seen := p.lastRises[l.id]
		if seen && factor > last.factor+1e-9 {
			if factor > max(2*last.factor, options.FirstShare)+1e-9 {
				p.t.Fatalf("%v rises from %v to %v at once", l.id, last.factor, factor)
			}
			if last.factor > 0 && p.now-last.at < options.Step {
				p.t.Fatalf("%v rises from %v to %v after %v", l.id, last.factor, factor, p.now-last.at)
			}
		}
		if !seen || last.factor != factor {
			p.lastRises[l.id] = rise{p.now, factor}
		}
	}
}

// clone returns a Picker that decides as the given one would.
func clone(picker *Picker) *Picker {
	c := *picker
	src := *picker.source
	c.source, c.rng = &src, rand.New(&src)
	c.localities = nil
	for _, l := range picker.localities {
		q := *l
		q.byClass = map[string]*classState{}
		for name, u := range l.byClass {
			v := *u
			q.byClass[name] = &v
		}
		c.localities = append(c.localities, &q)
	}
	return &c
}

// Every path of the state machine to a depth of eight: the zone serves, fails, is silent, serves for long, leaves the list or
// returns to it.
func TestAllPathsOfTheStateMachine(t *testing.T) {
	const depth = 8
	events := []func(w *world){
		func(w *world) { w.does[own] = served; w.play(300*ms, 30, "map") },
		func(w *world) { w.does[own] = refusesConnections; w.play(400*ms, 40, "map") },
		func(w *world) { w.does[own] = silent; w.play(700*ms, 12, "map") },
		func(w *world) { w.does[own] = served; w.play(2500*ms, 4, "map") },
		func(w *world) {
			if w.picker.find(own).running > 0 {
				w.picker.UpdateHealth(w.now, allReady(other))
			} else {
				w.picker.UpdateHealth(w.now, allReady(own, other))
			}
		},
	}
	var walk func(w *world, left int, events []func(*world), seen map[[2]State]int) (steps int)
	all := events
	walk = func(w *world, left int, events []func(*world), seen map[[2]State]int) (steps int) {
		for _, do := range events {
			v := &world{picker: clone(w.picker), now: w.now, does: map[balancer.Locality]func(string) (balancer.Result, time.Duration){},
				draw: w.draw, out: slices.Clone(w.out)}
			before := v.state(own)
			v.picker.options.Notify = func(tr Transition) {
				if tr.Locality == own {
					seen[[2]State{tr.From, tr.To}]++
				}
			}
			do(v)
			steps++
			checkShares(goroutineT{t}, v.picker)
			if l := v.picker.find(own); before == Dark && l.state == Up || l.state == Dark && l.darkUntil-v.now > v.picker.options.MaxHold {
				goroutineT{t}.Fatalf("%v to %v, hold %v", before, l.state, l.darkUntil-v.now)
			}
			if left > 1 {
				steps += walk(v, left-1, all, seen)
			}
		}
		return steps
	}
	w := &world{picker: newPicker(t, options())}
	w.picker.UpdateHealth(0, allReady(own, other))
	// Each first event has a goroutine of its own.
	seen, steps := map[[2]State]int{}, 0
	var work sync.WaitGroup
	var mu sync.Mutex
	for i := range events {
		work.Go(func() {
			mine := map[[2]State]int{}
			n := walk(w, depth, events[i:i+1], mine)
			mu.Lock()
			defer mu.Unlock()
			steps += n
			for k, v := range mine {
				seen[k] += v
			}
		})
	}
	work.Wait()
	legal := map[[2]State]bool{{Up, Failing}: true, {Up, Dark}: true, {Failing, Up}: true, {Failing, Dark}: true,
		{Dark, Returning}: true, {Returning, Dark}: true, {Returning, Up}: true}
	for k, n := range seen {
		if !legal[k] {
			t.Errorf("%d times from %v to %v", n, k[0], k[1])
		}
	}
	for k := range legal {
		if seen[k] == 0 && k != [2]State{Returning, Up} { // which needs more steps than the walk has
			t.Errorf("never from %v to %v", k[0], k[1])
		}
	}
	t.Logf("%d steps, %v", steps, seen)
}
