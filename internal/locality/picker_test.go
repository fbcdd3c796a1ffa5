package locality

import (
	"fmt"
	"math"
	"testing"
	"time"

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

func served(string) (balancer.Result, time.Duration) { return balancer.Served, 5 * ms }

func refusesConnections(string) (balancer.Result, time.Duration) { return balancer.NotConnected, ms }

func silent(string) (balancer.Result, time.Duration) { return balancer.TimedOut, 2 * time.Second }

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
