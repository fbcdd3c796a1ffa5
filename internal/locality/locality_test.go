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

func newPicker(t testing.TB, o Options) *Picker {
	t.Helper()
	picker, err := New(o, 1)
	if err != nil {
		t.Fatal(err)
	}
	return picker
}

func allReady(l ...balancer.Locality) (h []balancer.LocalityHealth) {
	for _, x := range l {
		h = append(h, balancer.LocalityHealth{Locality: x, Listed: 4, Running: 4, Ready: 4})
	}
	return h
}

func ready(l balancer.Locality, known, running, ready float64) balancer.LocalityHealth {
	return balancer.LocalityHealth{Locality: l, Listed: known, Running: running, Ready: ready}
}

// world answers the attempts of a Picker: each locality as its entry in does says.
type world struct {
	picker   *Picker
	now      time.Duration
	does     map[balancer.Locality]func(class string) (balancer.Result, time.Duration)
	sent     map[balancer.Locality]int
	rejected int
	draw     float64
	out      []answer // to come later
}

type answer struct {
	at   time.Duration
	to   balancer.Locality
	ask  balancer.LocalityRequest
	r    balancer.Result
	took time.Duration
}

func served(string) (balancer.Result, time.Duration)             { return balancer.Served, 5 * ms }
func refusesConnections(string) (balancer.Result, time.Duration) { return balancer.NotConnected, ms }
func silent(string) (balancer.Result, time.Duration)             { return balancer.TimedOut, 2 * time.Second }

// play sends rate requests a second for a time.
func (w *world) play(long time.Duration, rate int, class string) {
	if w.sent == nil {
		w.sent = map[balancer.Locality]int{}
	}
	gap := time.Second / time.Duration(rate)
	for end := w.now + long; w.now < end; w.now += gap {
		w.settle()
		w.draw = math.Mod(w.draw+math.Phi, 1)
		a := balancer.LocalityRequest{Class: class, TimeLeft: 2 * time.Second, Draw: w.draw}
		at, ok, _ := w.picker.Pick(w.now, a)
		if !ok {
			w.rejected++
			continue
		}
		w.sent[at]++
		a.SentAt = w.now
		w.picker.AttemptSent(w.now, at, a)
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
		w.picker.AttemptEnded(a.at, a.to, a.ask, a.r, a.took)
	}
	w.out = keep
}

func (w *world) state(l balancer.Locality) State { return w.picker.find(l).state }

func (w *world) clear() { clear(w.sent); w.rejected = 0 }

// While all is well, all requests go to the own zone.
func TestOwnZoneFirst(t *testing.T) {
	w := &world{picker: newPicker(t, options())}
	w.picker.UpdateHealth(0, allReady(own, other, third))
	w.play(5*time.Second, 400, "map")
	if w.sent[own] != 2000 || w.rejected != 0 {
		t.Errorf("%v, %d rejected", w.sent, w.rejected)
	}
}

// Load is split as in Envoy's documentation on priority levels, by health times the overprovisioning factor.
func TestSharesFollowEnvoyPriorityLevels(t *testing.T) {
	priority := func(n int) balancer.Locality { return balancer.Locality{Zone: "a", Priority: n} }
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
		{[]float64{0, 0, 0}, []float64{1, 0, 0}}, // in panic the ejected ones count
	} {
		o := options()
		o.Panic = 1e-9
		picker := newPicker(t, o)
		var l []balancer.LocalityHealth
		for i, h := range c.health {
			l = append(l, ready(priority(i), 100, 100, h))
		}
		picker.UpdateHealth(0, l)
		for i, want := range c.want {
			if got := picker.find(priority(i)).share; math.Abs(got-want) > 0.011 {
				t.Errorf("%v: priority %d gets %.3f, want %.3f", c.health, i, got, want)
			}
		}
	}
}

// Half a zone fails: below the panic threshold, and with too little elsewhere, its ejected endpoints count again.
func TestPanicThreshold(t *testing.T) {
	picker := newPicker(t, options())
	picker.UpdateHealth(0, []balancer.LocalityHealth{ready(own, 10, 10, 3), ready(other, 10, 10, 1)})
	for _, l := range []balancer.Locality{own, other} {
		if !picker.find(l).inPanic {
			t.Errorf("%v is not in panic", l)
		}
	}
	if s := picker.find(own).share; math.Abs(s-0.75) > 0.01 {
		t.Errorf("the own zone gets %v in a panic", s)
	}
	picker.UpdateHealth(0, []balancer.LocalityHealth{ready(own, 10, 10, 3), ready(other, 10, 10, 10)}) // enough elsewhere
	if picker.find(own).inPanic {
		t.Error("a panic though the other zone has the capacity")
	}
	if s := picker.find(own).share; math.Abs(s-0.42) > 0.01 {
		t.Errorf("the own zone gets %v with 3 of 10 ready", s)
	}
	// Endpoints that are not running are not used in a panic either.
	picker.UpdateHealth(0, []balancer.LocalityHealth{ready(own, 10, 0, 0), ready(other, 10, 2, 1)})
	if l := picker.find(own); l.share != 0 || l.inPanic {
		t.Errorf("a zone without running endpoints gets %v", l.share)
	}
}

// Each fault leads to Dark within a stated time, and after it the zone gets probes alone.
func TestFaultsLeadToDark(t *testing.T) {
	for _, c := range []struct {
		name   string
		do     func(string) (balancer.Result, time.Duration)
		within time.Duration
	}{
		{"refuses connections", refusesConnections, time.Second},
		{"accepts and does not answer", silent, 1500 * ms},
		{"answers 503", func(string) (balancer.Result, time.Duration) { return balancer.Rejected, ms }, time.Second},
		{"resets after the last byte", func(string) (balancer.Result, time.Duration) { return balancer.ConnectionLost, 2 * ms }, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := &world{picker: newPicker(t, options()), does: map[balancer.Locality]func(string) (balancer.Result, time.Duration){}}
			w.picker.UpdateHealth(0, allReady(own, other))
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
				t.Errorf("%d of 2000 served by the other zone, %d rejected", w.sent[other], w.rejected)
			}
		})
	}
}

// 80% of the answers are lost: the others keep the zone from being silent, and it goes dark all the same.
func TestMostAnswersLostLeadsToDark(t *testing.T) {
	w, n := &world{picker: newPicker(t, options()), does: map[balancer.Locality]func(string) (balancer.Result, time.Duration){}}, 0
	w.picker.UpdateHealth(0, allReady(own, other))
	w.play(3*time.Second, 200, "map")
	w.does[own] = func(string) (balancer.Result, time.Duration) {
		if n++; n%5 == 0 {
			return balancer.Served, 5 * ms
		}
		return balancer.TimedOut, 2 * time.Second
	}
	w.play(4*time.Second, 200, "map")
	if s := w.state(own); s != Dark {
		t.Errorf("%v, %s", s, w.picker.find(own).evidence)
	}
}

// Latency that doubles each second moves the load before answers take longer than their clients wait.
func TestRisingLatencyMovesLoad(t *testing.T) {
	w, took := &world{picker: newPicker(t, options()), does: map[balancer.Locality]func(string) (balancer.Result, time.Duration){}}, 5*ms
	w.picker.UpdateHealth(0, allReady(own, other))
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
		t.Errorf("%d of 200 still go to the slow zone, %v", w.sent[own], w.picker.find(own).evidence)
	}
	if w.rejected > 20 {
		t.Errorf("%d of 200 are rejected though the other zone is idle", w.rejected)
	}
}

// A zone that flaps is dark for longer each time.
func TestFlappingZoneIsDarkForLonger(t *testing.T) {
	w, outages := &world{does: map[balancer.Locality]func(string) (balancer.Result, time.Duration){}}, 0
	o := options()
	o.Notify = func(t Transition) {
		if t.To == Dark {
			outages++
		}
	}
	w.picker = newPicker(t, o)
	w.picker.UpdateHealth(0, allReady(own, other))
	w.play(3*time.Second, 200, "map")
	failed := 0
	for i := range 60 {
		w.does[own] = served
		if i%2 == 0 {
			w.does[own] = func(string) (balancer.Result, time.Duration) { failed++; return balancer.NotConnected, ms }
		}
		w.play(time.Second, 200, "map")
	}
	if outages > 8 {
		t.Errorf("dark %d times in a minute", outages)
	}
	if failed > 300 { // of 6,000 that would have met a dead zone
		t.Errorf("%d attempts at a zone that was down", failed)
	}
	if w.rejected > 200 {
		t.Errorf("%d of 12000 refused", w.rejected)
	}
}

// The recovery ramp: the share at most doubles with each step, and a failed step goes back one, not to nothing.
func TestRecoveryRamp(t *testing.T) {
	w := &world{picker: newPicker(t, options()), does: map[balancer.Locality]func(string) (balancer.Result, time.Duration){own: refusesConnections}}
	w.picker.UpdateHealth(0, allReady(own, other))
	w.play(3*time.Second, 400, "map")
	if w.state(own) != Dark {
		t.Fatal(w.state(own))
	}
	delete(w.does, own)
	for w.state(own) == Dark && w.now < 20*time.Second {
		w.play(50*ms, 400, "map")
	}
	l := w.picker.find(own)
	var steps []float64
	for w.state(own) == Returning && l.rampStep < 3 && w.now < 60*time.Second {
		if s := l.stateFactor(&w.picker.options); len(steps) == 0 || steps[len(steps)-1] != s {
			steps = append(steps, s)
		}
		w.clear()
		w.play(200*ms, 400, "map")
		if n := float64(w.sent[own]); n > 80*l.stateFactor(&w.picker.options)+3 {
			t.Errorf("%v of 80 at a share of %v", n, l.stateFactor(&w.picker.options))
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
	for at := l.rampStep; l.rampStep == at && w.state(own) == Returning && w.now < 80*time.Second; {
		w.play(50*ms, 400, "map")
	}
	if w.state(own) != Returning || l.rampStep != 2 {
		t.Errorf("%v at step %d after a failed step 3", w.state(own), l.rampStep)
	}
	delete(w.does, own)
	w.play(20*time.Second, 400, "map")
	if w.state(own) != Up {
		t.Errorf("%v in the end", w.state(own))
	}
}

// A zone whose endpoints leave the list is remembered: it returns with a ramp, whatever IDs its servers have.
func TestZoneReturnsToTheList(t *testing.T) {
	w := &world{picker: newPicker(t, options())}
	w.picker.UpdateHealth(0, allReady(own, other))
	w.play(time.Second, 200, "map")
	w.picker.UpdateHealth(w.now, allReady(other))
	w.play(10*time.Second, 200, "map") // the source is late
	if w.state(own) != Dark || w.rejected > 20 {
		t.Errorf("%v, %d rejected", w.state(own), w.rejected)
	}
	w.picker.UpdateHealth(w.now, allReady(own, other))
	w.clear()
	w.play(time.Second, 200, "map")
	if n := w.sent[own]; n == 0 || n > 20 {
		t.Errorf("%d of 200 in the first second of its return", n)
	}
}

// A zone that serves one class and rejects another gets the one, and the other now and then.
func TestEjectionForOneClass(t *testing.T) {
	w := &world{picker: newPicker(t, options())}
	w.does = map[balancer.Locality]func(string) (balancer.Result, time.Duration){own: func(class string) (balancer.Result, time.Duration) {
		if class == "hold" {
			return balancer.Rejected, ms
		}
		return balancer.Served, 5 * ms
	}}
	w.picker.UpdateHealth(0, allReady(own, other))
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

// With all zones dark requests are rejected at once, and the first zone to recover is found within the time of two probes.
func TestAllZonesDark(t *testing.T) {
	w := &world{picker: newPicker(t, options()), does: map[balancer.Locality]func(string) (balancer.Result, time.Duration){own: refusesConnections, other: refusesConnections}}
	w.picker.UpdateHealth(0, allReady(own, other))
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

// Retries have a budget in each tier, a request bound to a zone stays there, and hedges do not go to a busy zone.
func TestRetryBudgetAndHedges(t *testing.T) {
	picker := newPicker(t, options())
	picker.UpdateHealth(0, allReady(own, other))
	for range 40 {
		picker.AttemptSent(0, own, balancer.LocalityRequest{Class: "map"})
	}
	n := 0
	for range 40 {
		a := balancer.LocalityRequest{Class: "map", Purpose: balancer.Retry, Previous: own, TimeLeft: time.Second, Excluded: []balancer.Locality{other}}
		if at, ok, _ := picker.Pick(0, a); ok {
			picker.AttemptSent(0, at, a)
			n++
		}
	}
	if n < 8 || n > 10 { // a fifth of all attempts in flight, with the retries
		t.Errorf("%d retries beside 40 attempts", n)
	}
	a := balancer.LocalityRequest{Class: "hold", Purpose: balancer.Retry, OnlyZone: "a", Previous: own, TimeLeft: time.Second}
	if at, ok, _ := picker.Pick(0, a); ok {
		t.Errorf("bound to a zone without budget it goes to %v", at)
	}
	a.OnlyZone = ""
	if at, ok, _ := picker.Pick(0, a); !ok || at != other {
		t.Errorf("%v %v", at, ok)
	}
	c := balancer.LocalityRequest{Class: "map", Purpose: balancer.Hedge, Previous: own, TimeLeft: time.Second, Excluded: []balancer.Locality{own}}
	if _, ok, _ := picker.Pick(0, c); !ok {
		t.Error("no hedge to an idle zone")
	}
	for range int(picker.find(other).capacity.max / 2) {
		picker.AttemptSent(0, other, balancer.LocalityRequest{Class: "map"})
	}
	if at, ok, _ := picker.Pick(0, c); ok {
		t.Errorf("a hedge to %v, which is busy", at)
	}
}

// Requests over the capacity are rejected by their weight, with a floor for each class.
func TestCapacityByPriorityWeight(t *testing.T) {
	o := options()
	o.FirstRoom, o.Floor = 30, 0.1
	picker := newPicker(t, o)
	picker.UpdateHealth(0, allReady(other))
	fill := func(class string) (n int) {
		for range 100 {
			a := balancer.LocalityRequest{Class: class, TimeLeft: time.Second}
			at, ok, _ := picker.Pick(0, a)
			if !ok {
				break
			}
			picker.AttemptSent(0, at, a)
			n++
		}
		return n
	}
	maps, holds, pays := fill("map"), fill("hold"), fill("pay")
	if maps != 20 || maps+holds != 25 || maps+holds+pays != 30 {
		t.Errorf("%d maps, %d holds, %d pays at once in a capacity of 30", maps, holds, pays)
	}
	picker = newPicker(t, o)
	picker.UpdateHealth(0, allReady(other))
	if pays = fill("pay"); pays != 30 {
		t.Errorf("%d pays alone", pays)
	}
	if maps = fill("map"); maps != 3 {
		t.Errorf("%d maps beside a capacity full of others, its floor is 3", maps)
	}
}

// The Retry-After is spread over all its range, also where many are rejected for each that is served: no tenth of the longest one
// goes to more than a quarter of the clients.
func TestRetryAfterIsSpread(t *testing.T) {
	for _, refused := range []int{50, 5000} {
		o := options()
		o.FirstRoom = 1
		picker := newPicker(t, o)
		picker.UpdateHealth(0, allReady(other))
		picker.AttemptSent(0, other, balancer.LocalityRequest{Class: "map"})
		picker.AttemptSent(0, other, balancer.LocalityRequest{Class: "pay"})
		var tenths [10]int
		for i := range refused + 1000 {
			_, ok, wait := picker.Pick(0, balancer.LocalityRequest{Class: "map", TimeLeft: time.Second})
			if ok || wait <= 0 || wait > picker.options.MaxRetryAfter {
				t.Fatalf("%v, Retry-After %v", ok, wait)
			}
			if i >= refused {
				tenths[min(int(10*wait/picker.options.MaxRetryAfter), 9)]++
			}
		}
		for i, n := range tenths {
			if n > 250 {
				t.Errorf("after %d rejections %d of 1000 get the tenth %d of %v: %v", refused, n, i, picker.options.MaxRetryAfter, tenths)
			}
		}
	}
}

// Attempts from before a zone went dark are no probes, whenever and however they end: neither do good ones start its ramp nor do
// bad ones keep it dark.
func TestEarlierAttemptsAreNoProbes(t *testing.T) {
	for _, late := range []balancer.Result{balancer.Served, balancer.ServerError} {
		picker := newPicker(t, options())
		picker.UpdateHealth(0, allReady(own, other))
		old := balancer.LocalityRequest{Class: "map", TimeLeft: time.Minute}
		for range 20 {
			picker.AttemptSent(0, own, old)
		}
		now := ms
		for ; picker.find(own).state != Dark; now += 10 * ms {
			a := balancer.LocalityRequest{Class: "map", TimeLeft: time.Second, SentAt: now}
			picker.AttemptSent(now, own, a)
			picker.AttemptEnded(now+ms, own, a, balancer.NotConnected, ms)
		}
		probe := func() balancer.LocalityRequest {
			for ; ; now += 10 * ms {
				a := balancer.LocalityRequest{Class: "map", TimeLeft: time.Second, SentAt: now}
				if at, ok, _ := picker.Pick(now, a); ok && at == own {
					picker.AttemptSent(now, own, a)
					return a
				}
			}
		}
		a := probe()
		for range 5 {
			picker.AttemptEnded(now, own, old, late, now)
		}
		l := picker.find(own)
		if l.probesInFlight != 1 || l.consecutiveGoodProbes != 0 || l.state != Dark {
			t.Fatalf("%v: %d probes in flight, %d consecutive good ones, %v", late, l.probesInFlight, l.consecutiveGoodProbes, l.state)
		}
		picker.AttemptEnded(now, own, a, balancer.Served, ms)
		if picker.AttemptEnded(now, own, old, late, now); l.consecutiveGoodProbes != 1 {
			t.Fatalf("%v: %d consecutive good probes after one", late, l.consecutiveGoodProbes)
		}
		a = probe()
		for now < l.darkUntil { // the hold
			now += 10 * ms
		}
		picker.AttemptEnded(now, own, a, balancer.Served, ms)
		if l.state != Returning {
			t.Fatalf("%v: %v after two good probes", late, l.state)
		}
		for range minRampAnswers {
			picker.AttemptEnded(now, own, old, late, now)
		}
		if good, bad := l.rampAttempts(); good != 0 || bad != 0 {
			t.Errorf("%v: %d good and %d bad attempts count for a step that they were not sent in", late, good, bad)
		}
	}
}

// A request with less time left than the quickest answer takes is rejected before it crosses.
func TestAttemptWithoutTimeIsRejected(t *testing.T) {
	w := &world{picker: newPicker(t, options())}
	w.does = map[balancer.Locality]func(string) (balancer.Result, time.Duration){other: func(string) (balancer.Result, time.Duration) { return balancer.Served, 50 * ms }}
	w.picker.UpdateHealth(0, allReady(other))
	w.play(3*time.Second, 100, "map")
	if at, ok, _ := w.picker.Pick(w.now, balancer.LocalityRequest{Class: "map", TimeLeft: 40 * ms}); ok {
		t.Errorf("goes to %v with 40 ms left of 50", at)
	}
	if _, ok, _ := w.picker.Pick(w.now, balancer.LocalityRequest{Class: "map", TimeLeft: 200 * ms}); !ok {
		t.Error("rejected with 200 ms left of 50")
	}
}

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

// Under any sequence of observations: shares add up to 1 at most, a locality's share at most doubles with each step, and a dark
// locality gets probes alone.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := options()
		picker, err := New(o, rapid.Uint64().Draw(t, "seed"))
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
			checkShares(t, picker)
			for _, l := range picker.localities {
				f := l.stateFactor(&picker.options)
				if l.state == Up || l.state == Failing {
					f = 1
				}
				if r, ok := last[l.id]; ok && f > r.step+1e-9 {
					if f > max(2*r.step, picker.options.FirstShare)+1e-9 {
						t.Fatalf("%v rises from %v to %v at once", l.id, r.step, f)
					}
					if r.step > 0 && now-r.at < picker.options.Step {
						t.Fatalf("%v rises from %v to %v after %v", l.id, r.step, f, now-r.at)
					}
				}
				if r, ok := last[l.id]; !ok || r.step != f {
					last[l.id] = rise{now, f}
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
				picker.UpdateHealth(now, l)
			case 1, 2, 3, 4:
				a := balancer.LocalityRequest{Class: rapid.SampledFrom([]string{"map", "hold", "pay", "?"}).Draw(t, "class"),
					Purpose: balancer.Purpose(rapid.IntRange(0, 2).Draw(t, "purpose")), TimeLeft: time.Second,
					Draw: rapid.Float64Range(0, 0.999).Draw(t, "draw"), Previous: rapid.SampledFrom(localities).Draw(t, "from")}
				if at, ok, wait := picker.Pick(now, a); ok {
					l := picker.find(at)
					if l == nil || l.running == 0 {
						t.Fatalf("%v has no endpoint", at)
					}
					if l.state == Dark {
						if a.Purpose != balancer.FirstAttempt {
							t.Fatalf("purpose %d goes to %v, which is dark", a.Purpose, at)
						}
						darkSends[at] = append(darkSends[at], now)
						if s := darkSends[at]; len(s) > 1 && s[len(s)-1]-s[len(s)-2] < picker.options.ProbeInterval*3/4 {
							t.Fatalf("probes of %v at %v and %v", at, s[len(s)-2], s[len(s)-1])
						}
					}
					a.SentAt = now
					picker.AttemptSent(now, at, a)
					open = append(open, out{at, a})
				} else if a.Purpose == balancer.FirstAttempt && (wait <= 0 || wait > picker.options.MaxRetryAfter) {
					t.Fatalf("Retry-After %v", wait)
				}
			default:
				for range min(len(open), rapid.IntRange(1, 8).Draw(t, "ends")) {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
					x := open[i]
					open = append(open[:i], open[i+1:]...)
					picker.AttemptEnded(now, x.at, x.ask, balancer.Result(rapid.IntRange(0, int(balancer.NotSent)).Draw(t, "result")),
						time.Duration(rapid.IntRange(1, 300).Draw(t, "took"))*ms)
				}
			}
			step()
		}
	})
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

func TestNewRejectsInvalidOptions(t *testing.T) {
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
			t.Errorf("%s: accepted", name)
		}
	}
}

// Zones whose names always change leave nothing behind.
func TestStaleZonesAreForgotten(t *testing.T) {
	picker := newPicker(t, options())
	for i := range 10_000 {
		picker.UpdateHealth(time.Duration(i)*time.Second, allReady(own, balancer.Locality{Zone: fmt.Sprint("z", i)}))
	}
	if len(picker.localities) > maxLocalities+2 {
		t.Errorf("%d are retained", len(picker.localities))
	}
}

// BenchmarkPlace is what a Picker adds to a decision: a request's locality, its begin and its end.
func BenchmarkPlace(b *testing.B) {
	picker, err := New(options(), 1)
	if err != nil {
		b.Fatal(err)
	}
	picker.UpdateHealth(0, allReady(own, other, third))
	a := balancer.LocalityRequest{Class: "map", TimeLeft: time.Second}
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += 100 * time.Microsecond
		at, ok, _ := picker.Pick(now, a)
		if !ok {
			b.Fatal("no locality")
		}
		picker.AttemptSent(now, at, a)
		picker.AttemptEnded(now, at, a, balancer.Served, 5*ms)
	}
}
