package locality

import (
	"fmt"
	"testing"
	"time"

	"robindrum/balancer"
)

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
