package locality

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"robindrum/balancer"
)

const ms = time.Millisecond

var (
	own   = balancer.Locality{Zone: "a"}
	other = balancer.Locality{Zone: "b"}
	third = balancer.Locality{Zone: "c"}
)

func options() Options {
	return Options{OwnZone: "a", Tiers: [][]string{{"a"}, {"b"}, {"*"}}, Classes: []Class{
		{Name: "map", PriorityWeight: 1, LatencyObjective: 100 * ms, Effect: balancer.Idempotent},
		{Name: "hold", PriorityWeight: 5, LatencyObjective: 100 * ms, Effect: balancer.IdempotentWithKey},
		{Name: "pay", PriorityWeight: 20, LatencyObjective: 100 * ms, Effect: balancer.NonIdempotent}}}
}

func book(t testing.TB, o Options) *Picker {
	t.Helper()
	b, err := New(o, 1)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func whole(l ...balancer.Locality) (h []balancer.LocalityHealth) {
	for _, x := range l {
		h = append(h, balancer.LocalityHealth{Locality: x, Listed: 4, Running: 4, Ready: 4})
	}
	return h
}

func ready(l balancer.Locality, known, running, ready float64) balancer.LocalityHealth {
	return balancer.LocalityHealth{Locality: l, Listed: known, Running: running, Ready: ready}
}

// world answers a book's attempts: each locality as its entry says.
type world struct {
	b    *Picker
	now  time.Duration
	does map[balancer.Locality]func(class string) (balancer.Result, time.Duration)
	sent map[balancer.Locality]int
	no   int
	draw float64
	out  []answer // that come later
}

type answer struct {
	at   time.Duration
	to   balancer.Locality
	ask  balancer.LocalityRequest
	r    balancer.Result
	took time.Duration
}

func served(string) (balancer.Result, time.Duration)  { return balancer.Served, 5 * ms }
func refuses(string) (balancer.Result, time.Duration) { return balancer.NotConnected, ms }
func silent(string) (balancer.Result, time.Duration)  { return balancer.TimedOut, 2 * time.Second }

// play asks rate times a second for a while.
func (w *world) play(long time.Duration, rate int, class string) {
	if w.sent == nil {
		w.sent = map[balancer.Locality]int{}
	}
	gap := time.Second / time.Duration(rate)
	for end := w.now + long; w.now < end; w.now += gap {
		w.settle()
		w.draw = math.Mod(w.draw+math.Phi, 1)
		a := balancer.LocalityRequest{Class: class, TimeLeft: 2 * time.Second, Draw: w.draw}
		at, ok, _ := w.b.Pick(w.now, a)
		if !ok {
			w.no++
			continue
		}
		w.sent[at]++
		a.SentAt = w.now
		w.b.AttemptSent(w.now, at, a)
		do := w.does[at]
		if do == nil {
			do = served
		}
		r, took := do(class)
		w.out = append(w.out, answer{w.now + took, at, a, r, took})
	}
}

func (w *world) settle() {
	keep := w.out[:0]
	for _, a := range w.out {
		if a.at > w.now {
			keep = append(keep, a)
			continue
		}
		w.b.AttemptEnded(a.at, a.to, a.ask, a.r, a.took)
	}
	w.out = keep
}

func (w *world) state(l balancer.Locality) State { return w.b.find(l).state }

func (w *world) clear() { clear(w.sent); w.no = 0 }

// In good times all goes to the own zone.
func TestOwnZoneFirst(t *testing.T) {
	w := &world{b: book(t, options())}
	w.b.UpdateHealth(0, whole(own, other, third))
	w.play(5*time.Second, 400, "map")
	if w.sent[own] != 2000 || w.no != 0 {
		t.Errorf("%v, %d refused", w.sent, w.no)
	}
}

// Loads are split as Envoy's pages on priority levels do it, by health times the overprovisioning factor.
func TestSharesAreEnvoys(t *testing.T) {
	p := func(n int) balancer.Locality { return balancer.Locality{Zone: "a", Priority: n} }
	for _, c := range []struct {
		health []float64 // of 100, by priority
		want   []float64
	}{
		{[]float64{100, 100}, []float64{1, 0}},
		{[]float64{72, 100}, []float64{1, 0}},
		{[]float64{71, 100}, []float64{0.99, 0.01}},
		{[]float64{50, 100}, []float64{0.70, 0.30}},
		{[]float64{25, 100}, []float64{0.35, 0.65}},
		{[]float64{0, 100}, []float64{0, 1}},
		{[]float64{50, 20}, []float64{0.7 / 0.98, 0.28 / 0.98}},
		{[]float64{20, 20, 10}, []float64{0.4, 0.4, 0.2}},
		{[]float64{0, 0, 0}, []float64{1, 0, 0}}, // a panic: the ejected count
	} {
		o := options()
		o.Panic = 1e-9
		b := book(t, o)
		var l []balancer.LocalityHealth
		for i, h := range c.health {
			l = append(l, ready(p(i), 100, 100, h))
		}
		b.UpdateHealth(0, l)
		for i, want := range c.want {
			if got := b.find(p(i)).share; math.Abs(got-want) > 0.011 {
				t.Errorf("%v: priority %d gets %.3f, want %.3f", c.health, i, got, want)
			}
		}
	}
}

// Half a zone dies: below the panic threshold, and with too little elsewhere, the ejected count again.
func TestPanicThreshold(t *testing.T) {
	b := book(t, options())
	b.UpdateHealth(0, []balancer.LocalityHealth{ready(own, 10, 10, 3), ready(other, 10, 10, 1)})
	for _, l := range []balancer.Locality{own, other} {
		if !b.find(l).panic {
			t.Errorf("%v does not panic", l)
		}
	}
	if s := b.find(own).share; math.Abs(s-0.75) > 0.01 {
		t.Errorf("the own zone gets %v in a panic", s)
	}
	b.UpdateHealth(0, []balancer.LocalityHealth{ready(own, 10, 10, 3), ready(other, 10, 10, 10)}) // enough elsewhere
	if b.find(own).panic {
		t.Error("a panic though the other zone can take it")
	}
	if s := b.find(own).share; math.Abs(s-0.42) > 0.01 {
		t.Errorf("the own zone gets %v with 3 of 10 ready", s)
	}
	// What the list says is out stays out in a panic.
	b.UpdateHealth(0, []balancer.LocalityHealth{ready(own, 10, 0, 0), ready(other, 10, 2, 1)})
	if p := b.find(own); p.share != 0 || p.panic {
		t.Errorf("a zone of which none is to be used gets %v", p.share)
	}
}

// Each way to go dark is seen within a stated time, and after it the zone gets probes alone.
func TestEachWayToGoDark(t *testing.T) {
	for _, c := range []struct {
		name   string
		do     func(string) (balancer.Result, time.Duration)
		within time.Duration
	}{
		{"refuses connections", refuses, time.Second},
		{"accepts and says nothing", silent, 1500 * ms},
		{"answers 503", func(string) (balancer.Result, time.Duration) { return balancer.Rejected, ms }, time.Second},
		{"resets after the last byte", func(string) (balancer.Result, time.Duration) { return balancer.ConnectionLost, 2 * ms }, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := &world{b: book(t, options()), does: map[balancer.Locality]func(string) (balancer.Result, time.Duration){}}
			w.b.UpdateHealth(0, whole(own, other))
			w.play(3*time.Second, 200, "map")
			w.does[own] = c.do
			began := w.now
			for w.state(own) != Dark && w.now < began+5*time.Second {
				w.play(50*ms, 200, "map")
			}
			if d := w.now - began; d > c.within {
				t.Errorf("dark after %v", d)
			}
			w.clear()
			w.play(10*time.Second, 200, "map")
			if n := w.sent[own]; n > 25 { // a probe each 500 ms, and a quarter less between two
				t.Errorf("%d attempts in 10 s at a dark zone", n)
			}
			if w.sent[other] < 1900 {
				t.Errorf("%d of 2000 served by the other zone, %d refused", w.sent[other], w.no)
			}
		})
	}
}

// 80% of the answers are lost: what does come keeps the zone from being silent, and it goes dark all the same.
func TestMostAnswersAreLost(t *testing.T) {
	w, n := &world{b: book(t, options()), does: map[balancer.Locality]func(string) (balancer.Result, time.Duration){}}, 0
	w.b.UpdateHealth(0, whole(own, other))
	w.play(3*time.Second, 200, "map")
	w.does[own] = func(string) (balancer.Result, time.Duration) {
		if n++; n%5 == 0 {
			return balancer.Served, 5 * ms
		}
		return balancer.TimedOut, 2 * time.Second
	}
	w.play(4*time.Second, 200, "map")
	if s := w.state(own); s != Dark {
		t.Errorf("%v, %s", s, w.b.find(own).evidence)
	}
}

// Latency that doubles each second has the load go over before answers are later than their clients wait.
func TestLatencyDoubles(t *testing.T) {
	w, took := &world{b: book(t, options()), does: map[balancer.Locality]func(string) (balancer.Result, time.Duration){}}, 5*ms
	w.b.UpdateHealth(0, whole(own, other))
	w.play(3*time.Second, 200, "map")
	w.does[own] = func(string) (balancer.Result, time.Duration) {
		if took > 2*time.Second {
			return balancer.TimedOut, 2 * time.Second
		}
		return balancer.Served, took
	}
	for range 8 {
		took *= 2
		w.clear()
		w.play(time.Second, 200, "map")
	}
	if w.sent[own] > 100 {
		t.Errorf("%d of 200 still go to the slow zone, %v", w.sent[own], w.b.find(own).evidence)
	}
	if w.no > 20 {
		t.Errorf("%d of 200 are refused though the other zone is idle", w.no)
	}
}

// A zone that flaps is left out for longer each time.
func TestFlapping(t *testing.T) {
	w, turns := &world{does: map[balancer.Locality]func(string) (balancer.Result, time.Duration){}}, 0
	o := options()
	o.Notify = func(t Transition) {
		if t.To == Dark {
			turns++
		}
	}
	w.b = book(t, o)
	w.b.UpdateHealth(0, whole(own, other))
	w.play(3*time.Second, 200, "map")
	failed := 0
	for i := range 60 {
		w.does[own] = served
		if i%2 == 0 {
			w.does[own] = func(string) (balancer.Result, time.Duration) { failed++; return balancer.NotConnected, ms }
		}
		w.play(time.Second, 200, "map")
	}
	if turns > 8 {
		t.Errorf("dark %d times in a minute", turns)
	}
	if failed > 300 { // of 6,000 that would have met a dead zone
		t.Errorf("%d attempts at a zone that was down", failed)
	}
	if w.no > 200 {
		t.Errorf("%d of 12000 refused", w.no)
	}
}

// The way back: the share at most doubles each step, a step that fails goes back one, and not to nothing.
func TestWayBack(t *testing.T) {
	w := &world{b: book(t, options()), does: map[balancer.Locality]func(string) (balancer.Result, time.Duration){own: refuses}}
	w.b.UpdateHealth(0, whole(own, other))
	w.play(3*time.Second, 400, "map")
	if w.state(own) != Dark {
		t.Fatal(w.state(own))
	}
	delete(w.does, own)
	for w.state(own) == Dark && w.now < 20*time.Second {
		w.play(50*ms, 400, "map")
	}
	p := w.b.find(own)
	var steps []float64
	for w.state(own) == Returning && p.step < 3 && w.now < 60*time.Second {
		if s := p.factor(&w.b.opt); len(steps) == 0 || steps[len(steps)-1] != s {
			steps = append(steps, s)
		}
		w.clear()
		w.play(200*ms, 400, "map")
		if n := float64(w.sent[own]); n > 80*p.factor(&w.b.opt)+3 {
			t.Errorf("%v of 80 at a share of %v", n, p.factor(&w.b.opt))
		}
	}
	if want := fmt.Sprint([]float64{1.0 / 16, 1.0 / 8, 1.0 / 4}); fmt.Sprint(steps) != want {
		t.Errorf("steps %v, want %s", steps, want)
	}
	n := 0
	w.does[own] = func(string) (balancer.Result, time.Duration) { // a third of what it gets now is too much
		if n++; n%3 == 0 {
			return balancer.ServerError, ms
		}
		return balancer.Served, 5 * ms
	}
	for at := p.step; p.step == at && w.state(own) == Returning && w.now < 80*time.Second; {
		w.play(50*ms, 400, "map")
	}
	if w.state(own) != Returning || p.step != 2 {
		t.Errorf("%v at step %d after a failed step 3", w.state(own), p.step)
	}
	delete(w.does, own)
	w.play(20*time.Second, 400, "map")
	if w.state(own) != Up {
		t.Errorf("%v in the end", w.state(own))
	}
}

// A zone whose endpoints leave the list is remembered: it returns by steps, whatever ids its servers have.
func TestLeavesTheListAndReturns(t *testing.T) {
	w := &world{b: book(t, options())}
	w.b.UpdateHealth(0, whole(own, other))
	w.play(time.Second, 200, "map")
	w.b.UpdateHealth(w.now, whole(other))
	w.play(10*time.Second, 200, "map") // the source is late
	if w.state(own) != Dark || w.no > 20 {
		t.Errorf("%v, %d refused", w.state(own), w.no)
	}
	w.b.UpdateHealth(w.now, whole(own, other))
	w.clear()
	w.play(time.Second, 200, "map")
	if n := w.sent[own]; n == 0 || n > 20 {
		t.Errorf("%d of 200 in the first second of its return", n)
	}
}

// A zone that is back for one class gets that class, and of the other one now and then.
func TestBackForOneClass(t *testing.T) {
	w := &world{b: book(t, options())}
	w.does = map[balancer.Locality]func(string) (balancer.Result, time.Duration){own: func(class string) (balancer.Result, time.Duration) {
		if class == "hold" {
			return balancer.Rejected, ms
		}
		return balancer.Served, 5 * ms
	}}
	w.b.UpdateHealth(0, whole(own, other))
	for range 400 {
		w.play(25*ms, 200, "map")
		w.play(25*ms, 200, "hold")
	}
	w.clear()
	for range 200 {
		w.play(25*ms, 200, "map")
	}
	if w.state(own) != Up || w.sent[own] < 900 {
		t.Errorf("%v, %v of 1000 maps", w.state(own), w.sent)
	}
	w.clear()
	for range 200 {
		w.play(25*ms, 200, "hold")
		w.play(5*ms, 200, "map")
	}
	if n := w.sent[own]; n > 260 { // 200 maps, and trials
		t.Errorf("%d attempts at the own zone", n)
	}
}

// All zones dark: what comes is refused at once, and the first one back is found within two probes' time.
func TestAllDark(t *testing.T) {
	w := &world{b: book(t, options()), does: map[balancer.Locality]func(string) (balancer.Result, time.Duration){own: refuses, other: refuses}}
	w.b.UpdateHealth(0, whole(own, other))
	w.play(10*time.Second, 200, "map")
	w.clear()
	w.play(5*time.Second, 200, "map")
	if n := w.sent[own] + w.sent[other]; n > 40 {
		t.Errorf("%d attempts at dark zones in 5 s", n)
	}
	w.does[other] = served
	began := w.now
	for w.state(other) == Dark && w.now < began+time.Minute {
		w.play(10*ms, 200, "map")
	}
	if d := w.now - began; d > 2*time.Second {
		t.Errorf("found after %v", d)
	}
	w.clear()
	w.play(time.Second, 200, "map")
	if n := w.sent[other]; n > 60 {
		t.Errorf("%d of 200 rush to the one that is back", n)
	}
}

// Retries have a budget of their own at each tier, a bound one stays in its zone, copies do not go where it is busy.
func TestRetriesAndCopies(t *testing.T) {
	b := book(t, options())
	b.UpdateHealth(0, whole(own, other))
	for range 40 {
		b.AttemptSent(0, own, balancer.LocalityRequest{Class: "map"})
	}
	n := 0
	for range 40 {
		a := balancer.LocalityRequest{Class: "map", Purpose: balancer.Retry, Previous: own, TimeLeft: time.Second, Excluded: []balancer.Locality{other}}
		if at, ok, _ := b.Pick(0, a); ok {
			b.AttemptSent(0, at, a)
			n++
		}
	}
	if n < 8 || n > 10 { // a fifth of all that is out, the retries included
		t.Errorf("%d retries beside 40 attempts", n)
	}
	a := balancer.LocalityRequest{Class: "hold", Purpose: balancer.Retry, OnlyZone: "a", Previous: own, TimeLeft: time.Second}
	if at, ok, _ := b.Pick(0, a); ok {
		t.Errorf("bound to a zone without budget it goes to %v", at)
	}
	a.OnlyZone = ""
	if at, ok, _ := b.Pick(0, a); !ok || at != other {
		t.Errorf("%v %v", at, ok)
	}
	c := balancer.LocalityRequest{Class: "map", Purpose: balancer.Hedge, Previous: own, TimeLeft: time.Second, Excluded: []balancer.Locality{own}}
	if _, ok, _ := b.Pick(0, c); !ok {
		t.Error("no copy to an idle zone")
	}
	for range int(b.find(other).room.maximum / 2) {
		b.AttemptSent(0, other, balancer.LocalityRequest{Class: "map"})
	}
	if at, ok, _ := b.Pick(0, c); ok {
		t.Errorf("a copy to %v, which is busy", at)
	}
}

// What does not fit is refused by worth, with a floor for each class, and told when to come back.
func TestSheddingByWorth(t *testing.T) {
	o := options()
	o.FirstRoom, o.Floor = 30, 0.1
	b := book(t, o)
	b.UpdateHealth(0, whole(other))
	fill := func(class string) (n int) {
		for range 100 {
			a := balancer.LocalityRequest{Class: class, TimeLeft: time.Second}
			at, ok, _ := b.Pick(0, a)
			if !ok {
				break
			}
			b.AttemptSent(0, at, a)
			n++
		}
		return n
	}
	maps, holds, pays := fill("map"), fill("hold"), fill("pay")
	if maps != 20 || maps+holds != 25 || maps+holds+pays != 30 {
		t.Errorf("%d maps, %d holds, %d pays at once in a room of 30", maps, holds, pays)
	}
	b = book(t, o)
	b.UpdateHealth(0, whole(other))
	if pays = fill("pay"); pays != 30 {
		t.Errorf("%d pays alone", pays)
	}
	if maps = fill("map"); maps != 3 {
		t.Errorf("%d maps beside a room full of others, its floor is 3", maps)
	}
}

// What clients are told is spread to the end, also where many are refused for each that is served: no tenth of the longest
// advice is told to more than a quarter of them.
func TestAdviceIsSpread(t *testing.T) {
	for _, refused := range []int{50, 5000} {
		o := options()
		o.FirstRoom = 1
		b := book(t, o)
		b.UpdateHealth(0, whole(other))
		b.AttemptSent(0, other, balancer.LocalityRequest{Class: "map"})
		b.AttemptSent(0, other, balancer.LocalityRequest{Class: "pay"})
		var tenths [10]int
		for i := range refused + 1000 {
			_, ok, wait := b.Pick(0, balancer.LocalityRequest{Class: "map", TimeLeft: time.Second})
			if ok || wait <= 0 || wait > b.opt.MaxRetryAfter {
				t.Fatalf("%v, come back in %v", ok, wait)
			}
			if i >= refused {
				tenths[min(int(10*wait/b.opt.MaxRetryAfter), 9)]++
			}
		}
		for i, n := range tenths {
			if n > 250 {
				t.Errorf("after %d refusals %d of 1000 are told the tenth %d of %v: %v", refused, n, i, b.opt.MaxRetryAfter, tenths)
			}
		}
	}
}

// Attempts from before a zone went dark are no probes, whenever they end and however: neither good ones lead it back nor
// bad ones keep it dark.
func TestEarlierAttemptsAreNoProbes(t *testing.T) {
	for _, late := range []balancer.Result{balancer.Served, balancer.ServerError} {
		b := book(t, options())
		b.UpdateHealth(0, whole(own, other))
		old := balancer.LocalityRequest{Class: "map", TimeLeft: time.Minute}
		for range 20 {
			b.AttemptSent(0, own, old)
		}
		now := ms
		for ; b.find(own).state != Dark; now += 10 * ms {
			a := balancer.LocalityRequest{Class: "map", TimeLeft: time.Second, SentAt: now}
			b.AttemptSent(now, own, a)
			b.AttemptEnded(now+ms, own, a, balancer.NotConnected, ms)
		}
		probe := func() balancer.LocalityRequest {
			for ; ; now += 10 * ms {
				a := balancer.LocalityRequest{Class: "map", TimeLeft: time.Second, SentAt: now}
				if at, ok, _ := b.Pick(now, a); ok && at == own {
					b.AttemptSent(now, own, a)
					return a
				}
			}
		}
		a := probe()
		for range 5 {
			b.AttemptEnded(now, own, old, late, now)
		}
		p := b.find(own)
		if p.probing != 1 || p.probesInARow != 0 || p.state != Dark {
			t.Fatalf("%v: %d probes out, %d good in a row, %v", late, p.probing, p.probesInARow, p.state)
		}
		b.AttemptEnded(now, own, a, balancer.Served, ms)
		if b.AttemptEnded(now, own, old, late, now); p.probesInARow != 1 {
			t.Fatalf("%v: %d good in a row after a good probe", late, p.probesInARow)
		}
		a = probe()
		for now < p.until { // its hold
			now += 10 * ms
		}
		b.AttemptEnded(now, own, a, balancer.Served, ms)
		if p.state != Returning {
			t.Fatalf("%v: %v after two good probes", late, p.state)
		}
		for range steady {
			b.AttemptEnded(now, own, old, late, now)
		}
		if good, bad := p.steps(); good != 0 || bad != 0 {
			t.Errorf("%v: %d good and %d bad attempts count for a step that they were not sent in", late, good, bad)
		}
	}
}

// A request that has less time than the quickest answer takes is refused before it crosses.
func TestNoTimeLeft(t *testing.T) {
	w := &world{b: book(t, options())}
	w.does = map[balancer.Locality]func(string) (balancer.Result, time.Duration){other: func(string) (balancer.Result, time.Duration) { return balancer.Served, 50 * ms }}
	w.b.UpdateHealth(0, whole(other))
	w.play(3*time.Second, 100, "map")
	if at, ok, _ := w.b.Pick(w.now, balancer.LocalityRequest{Class: "map", TimeLeft: 40 * ms}); ok {
		t.Errorf("goes to %v with 40 ms left of 50", at)
	}
	if _, ok, _ := w.b.Pick(w.now, balancer.LocalityRequest{Class: "map", TimeLeft: 200 * ms}); !ok {
		t.Error("refused with 200 ms left of 50")
	}
}

// teller lets check be used in a goroutine that is not the test's.
type teller struct{ *testing.T }

func (t teller) Fatalf(format string, args ...any) {
	t.Errorf(format, args...)
	runtime.Goexit()
}

// check fails where a rule of shares does not hold.
func check(t interface {
	Helper()
	Fatalf(string, ...any)
}, b *Picker) {
	t.Helper()
	sum := 0.0
	for _, p := range b.places {
		sum += p.share
		if p.share < 0 || p.share > 1+1e-9 || p.state == Dark && p.share != 0 {
			t.Fatalf("%v is %v and gets %v", p.at, p.state, p.share)
		}
		if p.inFlight < 0 || p.retries < 0 || p.retries > p.inFlight {
			t.Fatalf("%v: %d out, %d retries", p.at, p.inFlight, p.retries)
		}
		if p.state == Returning && p.share > p.factor(&b.opt)+1e-9 {
			t.Fatalf("%v: share %v at a step of %v", p.at, p.share, p.factor(&b.opt))
		}
	}
	if sum > 1+1e-9 {
		t.Fatalf("the shares add up to %v", sum)
	}
}

// Under any sequence of observations: shares add up to 1 at most, what a locality may get at most doubles each step, and
// a dark one gets its probes alone.
func TestAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := options()
		b, err := New(o, rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		type out struct {
			at  balancer.Locality
			ask balancer.LocalityRequest
		}
		var open []out
		now := time.Duration(0)
		localities := []balancer.Locality{own, other, third, {Zone: "b", Priority: 1}}
		type rise struct {
			at   time.Duration
			step float64
		}
		last := map[balancer.Locality]rise{}
		darkSends := map[balancer.Locality][]time.Duration{}
		step := func() {
			check(t, b)
			for _, p := range b.places {
				f := p.factor(&b.opt)
				if p.state == Up || p.state == Failing {
					f = 1
				}
				if r, ok := last[p.at]; ok && f > r.step+1e-9 {
					if f > max(2*r.step, b.opt.FirstShare)+1e-9 {
						t.Fatalf("%v rises from %v to %v at once", p.at, r.step, f)
					}
					if r.step > 0 && now-r.at < b.opt.Step {
						t.Fatalf("%v rises from %v to %v after %v", p.at, r.step, f, now-r.at)
					}
				}
				if r, ok := last[p.at]; !ok || r.step != f {
					last[p.at] = rise{now, f}
				}
			}
		}
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "gap")) * ms
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				var l []balancer.LocalityHealth
				for _, x := range localities {
					known := float64(rapid.IntRange(0, 4).Draw(t, "known"))
					if known == 0 {
						continue
					}
					running := min(known, float64(rapid.IntRange(0, 4).Draw(t, "running")))
					l = append(l, ready(x, known, running, min(running, float64(rapid.IntRange(0, 4).Draw(t, "ready")))))
				}
				b.UpdateHealth(now, l)
			case 1, 2, 3, 4:
				a := balancer.LocalityRequest{Class: rapid.SampledFrom([]string{"map", "hold", "pay", "?"}).Draw(t, "class"),
					Purpose: balancer.Purpose(rapid.IntRange(0, 2).Draw(t, "purpose")), TimeLeft: time.Second,
					Draw: rapid.Float64Range(0, 0.999).Draw(t, "draw"), Previous: rapid.SampledFrom(localities).Draw(t, "from")}
				if at, ok, wait := b.Pick(now, a); ok {
					p := b.find(at)
					if p == nil || p.running == 0 {
						t.Fatalf("%v has nobody", at)
					}
					if p.state == Dark {
						if a.Purpose != balancer.FirstAttempt {
							t.Fatalf("purpose %d goes to %v, which is dark", a.Purpose, at)
						}
						darkSends[at] = append(darkSends[at], now)
						if s := darkSends[at]; len(s) > 1 && s[len(s)-1]-s[len(s)-2] < b.opt.ProbeInterval*3/4 {
							t.Fatalf("probes of %v at %v and %v", at, s[len(s)-2], s[len(s)-1])
						}
					}
					a.SentAt = now
					b.AttemptSent(now, at, a)
					open = append(open, out{at, a})
				} else if a.Purpose == balancer.FirstAttempt && (wait <= 0 || wait > b.opt.MaxRetryAfter) {
					t.Fatalf("come back in %v", wait)
				}
			default:
				for range min(len(open), rapid.IntRange(1, 8).Draw(t, "ends")) {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
					x := open[i]
					open = append(open[:i], open[i+1:]...)
					b.AttemptEnded(now, x.at, x.ask, balancer.Result(rapid.IntRange(0, int(balancer.NotSent)).Draw(t, "result")),
						time.Duration(rapid.IntRange(1, 300).Draw(t, "took"))*ms)
				}
			}
			step()
		}
	})
}

// clone is a book that goes on as b would.
func clone(b *Picker) *Picker {
	c := *b
	src := *b.src
	c.src, c.rng = &src, rand.New(&src)
	c.places = nil
	for _, p := range b.places {
		q := *p
		q.classes = map[string]*use{}
		for name, u := range p.classes {
			v := *u
			q.classes[name] = &v
		}
		c.places = append(c.places, &q)
	}
	return &c
}

// Every path of the state machine to a depth of eight: the zone serves, fails, is silent, serves for long, leaves the
// list or returns to it.
func TestWalkToDepthEight(t *testing.T) {
	const depth = 8
	events := []func(w *world){
		func(w *world) { w.does[own] = served; w.play(300*ms, 30, "map") },
		func(w *world) { w.does[own] = refuses; w.play(400*ms, 40, "map") },
		func(w *world) { w.does[own] = silent; w.play(700*ms, 12, "map") },
		func(w *world) { w.does[own] = served; w.play(2500*ms, 4, "map") },
		func(w *world) {
			if w.b.find(own).running > 0 {
				w.b.UpdateHealth(w.now, whole(other))
			} else {
				w.b.UpdateHealth(w.now, whole(own, other))
			}
		},
	}
	var walk func(w *world, left int, events []func(*world), seen map[[2]State]int) (steps int)
	all := events
	walk = func(w *world, left int, events []func(*world), seen map[[2]State]int) (steps int) {
		for _, do := range events {
			v := &world{b: clone(w.b), now: w.now, does: map[balancer.Locality]func(string) (balancer.Result, time.Duration){},
				draw: w.draw, out: slices.Clone(w.out)}
			before := v.state(own)
			v.b.opt.Notify = func(tr Transition) {
				if tr.Locality == own {
					seen[[2]State{tr.From, tr.To}]++
				}
			}
			do(v)
			steps++
			check(teller{t}, v.b)
			if p := v.b.find(own); before == Dark && p.state == Up || p.state == Dark && p.until-v.now > v.b.opt.MaxHold {
				teller{t}.Fatalf("%v to %v, held for %v", before, p.state, p.until-v.now)
			}
			if left > 1 {
				steps += walk(v, left-1, all, seen)
			}
		}
		return steps
	}
	w := &world{b: book(t, options())}
	w.b.UpdateHealth(0, whole(own, other))
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

func TestOptionsThatCannotBe(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"factor":    func(o *Options) { o.Overprovision = -1 },
		"panic":     func(o *Options) { o.Panic = 2 },
		"share":     func(o *Options) { o.FirstShare = 2 },
		"tolerance": func(o *Options) { o.Tolerance = 1 },
		"floor":     func(o *Options) { o.Floor = 0.9 },
		"hold":      func(o *Options) { o.Hold, o.MaxHold = time.Minute, time.Second },
		"room":      func(o *Options) { o.FirstRoom = 0.5 },
		"retries":   func(o *Options) { o.RetryShare = 2 },
		"tiers":     func(o *Options) { o.Tiers = [][]string{{"a"}, {"b", "a"}} },
	} {
		o := options()
		change(&o)
		if _, err := New(o, 1); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

// Zones that are ever new leave nothing behind.
func TestZonesThatAreEverNew(t *testing.T) {
	b := book(t, options())
	for i := range 10_000 {
		b.UpdateHealth(time.Duration(i)*time.Second, whole(own, balancer.Locality{Zone: fmt.Sprint("z", i)}))
	}
	if len(b.places) > remembered+2 {
		t.Errorf("%d are remembered", len(b.places))
	}
}

// What the tiers add to a decision: a request's locality, its begin and its end.
func BenchmarkPlace(b *testing.B) {
	book, err := New(options(), 1)
	if err != nil {
		b.Fatal(err)
	}
	book.UpdateHealth(0, whole(own, other, third))
	a := balancer.LocalityRequest{Class: "map", TimeLeft: time.Second}
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += 100 * time.Microsecond
		at, ok, _ := book.Pick(now, a)
		if !ok {
			b.Fatal("no place")
		}
		book.AttemptSent(now, at, a)
		book.AttemptEnded(now, at, a, balancer.Served, 5*ms)
	}
}
