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

// allReady returns the health of localities whose endpoints are all ready.
func allReady(localities ...balancer.Locality) (list []balancer.LocalityHealth) {
	for _, l := range localities {
		list = append(list, balancer.LocalityHealth{Locality: l, Listed: 4, Running: 4, Ready: 4})
	}
	return list
}

// ready returns the health of a locality with these sums of endpoint weights.
func ready(l balancer.Locality, listed, running, ready float64) balancer.LocalityHealth {
	return balancer.LocalityHealth{Locality: l, Listed: listed, Running: running, Ready: ready}
}

// simulation sends requests by the decisions of a Picker and ends their attempts in simulated time.
type simulation struct {
	picker    *Picker
	now       time.Duration
	responses map[balancer.Locality]func(class string) (balancer.Result, time.Duration) // result and latency; served where there is none
	sent      map[balancer.Locality]int
	rejected  int
	draw      float64
	pending   []pendingAttempt
}

// pendingAttempt is an attempt in flight with the result that it will have.
type pendingAttempt struct {
	endsAt   time.Duration
	locality balancer.Locality
	request  balancer.LocalityRequest
	result   balancer.Result
	latency  time.Duration
}

func served(string) (balancer.Result, time.Duration) { return balancer.Served, 5 * ms }

func refusesConnections(string) (balancer.Result, time.Duration) { return balancer.NotConnected, ms }

func silent(string) (balancer.Result, time.Duration) { return balancer.TimedOut, 2 * time.Second }

// run sends rate requests per second for a duration.
func (sim *simulation) run(duration time.Duration, rate int, class string) {
	if sim.sent == nil {
		sim.sent = map[balancer.Locality]int{}
	}
	interval := time.Second / time.Duration(rate)
	for end := sim.now + duration; sim.now < end; sim.now += interval {
		sim.endDueAttempts()
		sim.draw = math.Mod(sim.draw+math.Phi, 1)
		request := balancer.LocalityRequest{Class: class, TimeLeft: 2 * time.Second, Draw: sim.draw}
		target, ok, _ := sim.picker.Pick(sim.now, request)
		if !ok {
			sim.rejected++
			continue
		}
		sim.sent[target]++
		request.SentAt = sim.now
		sim.picker.AttemptSent(sim.now, target, request)
		respond := sim.responses[target]
		if respond == nil {
			respond = served
		}
		result, latency := respond(class)
		sim.pending = append(sim.pending, pendingAttempt{sim.now + latency, target, request, result, latency})
	}
}

// endDueAttempts reports the results of the attempts that have ended by now.
func (sim *simulation) endDueAttempts() {
	remaining := sim.pending[:0]
	for _, a := range sim.pending {
		if a.endsAt > sim.now {
			remaining = append(remaining, a)
			continue
		}
		sim.picker.AttemptEnded(a.endsAt, a.locality, a.request, a.result, a.latency)
	}
	sim.pending = remaining
}

func (sim *simulation) state(l balancer.Locality) State { return sim.picker.find(l).state }

// clear resets the counts of requests.
func (sim *simulation) clear() { clear(sim.sent); sim.rejected = 0 }

// While the own zone is healthy, it gets all requests.
func TestOwnZoneFirst(t *testing.T) {
	sim := &simulation{picker: newPicker(t, options())}
	sim.picker.UpdateHealth(0, allReady(own, other, third))
	sim.run(5*time.Second, 400, "map")
	if sim.sent[own] != 2000 || sim.rejected != 0 {
		t.Errorf("attempts by locality %v, %d requests rejected, want 2000 to %v and 0", sim.sent, sim.rejected, own)
	}
}

// Each locality has a retry budget, a request that must not leave its zone stays there, and hedges do not go to a busy zone.
func TestRetryBudgetAndHedges(t *testing.T) {
	picker := newPicker(t, options())
	picker.UpdateHealth(0, allReady(own, other))
	for range 40 {
		picker.AttemptSent(0, own, balancer.LocalityRequest{Class: "map"})
	}
	retries := 0
	for range 40 {
		request := balancer.LocalityRequest{Class: "map", Purpose: balancer.Retry, Previous: own, TimeLeft: time.Second, Excluded: []balancer.Locality{other}}
		if target, ok, _ := picker.Pick(0, request); ok {
			picker.AttemptSent(0, target, request)
			retries++
		}
	}
	if retries < 8 || retries > 10 { // a fifth of all attempts in flight, which include the retries
		t.Errorf("%d retries beside 40 first attempts, want 8 to 10", retries)
	}
	request := balancer.LocalityRequest{Class: "hold", Purpose: balancer.Retry, OnlyZone: "a", Previous: own, TimeLeft: time.Second}
	if target, ok, _ := picker.Pick(0, request); ok {
		t.Errorf("a retry restricted to a zone without retry budget goes to %v, want none", target)
	}
	request.OnlyZone = ""
	if target, ok, _ := picker.Pick(0, request); !ok || target != other {
		t.Errorf("Pick of an unrestricted retry: got %v, %v, want %v, true", target, ok, other)
	}
	hedge := balancer.LocalityRequest{Class: "map", Purpose: balancer.Hedge, Previous: own, TimeLeft: time.Second, Excluded: []balancer.Locality{own}}
	if _, ok, _ := picker.Pick(0, hedge); !ok {
		t.Error("no locality for a hedge although the other zone is idle")
	}
	for range int(picker.find(other).capacity.max / 2) {
		picker.AttemptSent(0, other, balancer.LocalityRequest{Class: "map"})
	}
	if target, ok, _ := picker.Pick(0, hedge); ok {
		t.Errorf("a hedge goes to %v, which is busy, want none", target)
	}
}

// Requests beyond the capacity are rejected by priority weight, but each class has a guaranteed floor.
func TestCapacityByPriorityWeight(t *testing.T) {
	o := options()
	o.FirstRoom, o.Floor = 30, 0.1
	picker := newPicker(t, o)
	picker.UpdateHealth(0, allReady(other))
	fill := func(class string) (n int) {
		for range 100 {
			request := balancer.LocalityRequest{Class: class, TimeLeft: time.Second}
			target, ok, _ := picker.Pick(0, request)
			if !ok {
				break
			}
			picker.AttemptSent(0, target, request)
			n++
		}
		return n
	}
	maps, holds, pays := fill("map"), fill("hold"), fill("pay")
	if maps != 20 || maps+holds != 25 || maps+holds+pays != 30 {
		t.Errorf("capacity 30: %d map, %d hold and %d pay requests in flight, want 20, 5 and 5", maps, holds, pays)
	}
	picker = newPicker(t, o)
	picker.UpdateHealth(0, allReady(other))
	if pays = fill("pay"); pays != 30 {
		t.Errorf("capacity 30: %d pay requests in flight, want 30", pays)
	}
	if maps = fill("map"); maps != 3 {
		t.Errorf("%d map requests accepted beside 30 pay requests, want 3, the floor", maps)
	}
}

// The Retry-After is spread over its whole range, even if many requests are rejected for each one served: if the range is divided into
// tenths, no tenth gets more than a quarter of the clients.
func TestRetryAfterIsSpread(t *testing.T) {
	for _, rejections := range []int{50, 5000} {
		o := options()
		o.FirstRoom = 1
		picker := newPicker(t, o)
		picker.UpdateHealth(0, allReady(other))
		picker.AttemptSent(0, other, balancer.LocalityRequest{Class: "map"})
		picker.AttemptSent(0, other, balancer.LocalityRequest{Class: "pay"})
		var tenths [10]int
		for i := range rejections + 1000 {
			_, ok, wait := picker.Pick(0, balancer.LocalityRequest{Class: "map", TimeLeft: time.Second})
			if ok || wait <= 0 || wait > picker.options.MaxRetryAfter {
				t.Fatalf("Pick at full capacity: got ok %v and Retry-After %v, want false and more than 0 to %v", ok, wait, picker.options.MaxRetryAfter)
			}
			if i >= rejections {
				tenths[min(int(10*wait/picker.options.MaxRetryAfter), 9)]++
			}
		}
		for i, n := range tenths {
			if n > 250 {
				t.Errorf("after %d rejections: %d of 1000 get a Retry-After in tenth %d of %v, want at most 250; by tenth: %v", rejections, n, i, picker.options.MaxRetryAfter, tenths)
			}
		}
	}
}

// A request with less time left than the best latency is rejected before it is sent to another zone.
func TestAttemptWithoutTimeIsRejected(t *testing.T) {
	sim := &simulation{picker: newPicker(t, options())}
	sim.responses = map[balancer.Locality]func(string) (balancer.Result, time.Duration){other: func(string) (balancer.Result, time.Duration) { return balancer.Served, 50 * ms }}
	sim.picker.UpdateHealth(0, allReady(other))
	sim.run(3*time.Second, 100, "map")
	if target, ok, _ := sim.picker.Pick(sim.now, balancer.LocalityRequest{Class: "map", TimeLeft: 40 * ms}); ok {
		t.Errorf("sent to %v with 40 ms left at a latency of 50 ms, want rejected", target)
	}
	if _, ok, _ := sim.picker.Pick(sim.now, balancer.LocalityRequest{Class: "map", TimeLeft: 200 * ms}); !ok {
		t.Error("rejected with 200 ms left at a latency of 50 ms, want sent")
	}
}

// Localities that left the endpoint list are removed, so that zones with ever new names do not use up memory.
func TestStaleZonesAreForgotten(t *testing.T) {
	picker := newPicker(t, options())
	for i := range 10_000 {
		picker.UpdateHealth(time.Duration(i)*time.Second, allReady(own, balancer.Locality{Zone: fmt.Sprint("z", i)}))
	}
	if len(picker.localities) > maxLocalities+2 {
		t.Errorf("%d localities are kept, want at most %d", len(picker.localities), maxLocalities+2)
	}
}

// BenchmarkPick measures the cost of a Picker for one request: picking its locality and recording the start and end of its attempt.
func BenchmarkPick(b *testing.B) {
	picker, err := New(options(), 1)
	if err != nil {
		b.Fatal(err)
	}
	picker.UpdateHealth(0, allReady(own, other, third))
	request := balancer.LocalityRequest{Class: "map", TimeLeft: time.Second}
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += 100 * time.Microsecond
		target, ok, _ := picker.Pick(now, request)
		if !ok {
			b.Fatal("Pick returned no locality")
		}
		picker.AttemptSent(now, target, request)
		picker.AttemptEnded(now, target, request, balancer.Served, 5*ms)
	}
}
