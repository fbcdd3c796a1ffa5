package locality

import (
	"fmt"
	"testing"
	"time"

	"robindrum/balancer"
)

// Each fault makes a zone Dark within a given time; from then on, the zone gets only probes.
func TestFaultsLeadToDark(t *testing.T) {
	for _, c := range []struct {
		name    string
		respond func(string) (balancer.Result, time.Duration)
		within  time.Duration
	}{
		{"refuses connections", refusesConnections, time.Second},
		{"accepts and does not answer", silent, 1500 * ms},
		{"answers 503", func(string) (balancer.Result, time.Duration) { return balancer.Rejected, ms }, time.Second},
		{"resets after the last byte", func(string) (balancer.Result, time.Duration) { return balancer.ConnectionLost, 2 * ms }, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := &simulation{picker: newPicker(t, options()), responses: map[balancer.Locality]func(string) (balancer.Result, time.Duration){}}
			sim.picker.UpdateHealth(0, allReady(own, other))
			sim.run(3*time.Second, 200, "map")
			sim.responses[own] = c.respond
			start := sim.now
			for sim.state(own) != Dark && sim.now < start+5*time.Second {
				sim.run(50*ms, 200, "map")
			}
			if elapsed := sim.now - start; elapsed > c.within {
				t.Errorf("dark after %v, want at most %v", elapsed, c.within)
			}
			sim.clear()
			sim.run(10*time.Second, 200, "map")
			if n := sim.sent[own]; n > 25 { // probes are 500 ms apart on average, and at least 375 ms
				t.Errorf("%d attempts in 10 s sent to a dark zone, want at most 25", n)
			}
			if sim.sent[other] < 1900 {
				t.Errorf("%d of 2000 requests sent to the other zone, %d rejected, want at least 1900 sent", sim.sent[other], sim.rejected)
			}
		})
	}
}

// A zone that loses 80% of its answers goes dark, although the remaining answers keep it from being silent.
func TestMostAnswersLostLeadsToDark(t *testing.T) {
	sim, n := &simulation{picker: newPicker(t, options()), responses: map[balancer.Locality]func(string) (balancer.Result, time.Duration){}}, 0
	sim.picker.UpdateHealth(0, allReady(own, other))
	sim.run(3*time.Second, 200, "map")
	sim.responses[own] = func(string) (balancer.Result, time.Duration) {
		if n++; n%5 == 0 {
			return balancer.Served, 5 * ms
		}
		return balancer.TimedOut, 2 * time.Second
	}
	sim.run(4*time.Second, 200, "map")
	if s := sim.state(own); s != Dark {
		t.Errorf("state of a zone that loses 80%% of its answers: got %v (%s), want dark", s, sim.picker.find(own).evidence)
	}
}

// If a zone's latency doubles every second, its load moves to the other zone before answers take longer than clients wait.
func TestRisingLatencyMovesLoad(t *testing.T) {
	sim, latency := &simulation{picker: newPicker(t, options()), responses: map[balancer.Locality]func(string) (balancer.Result, time.Duration){}}, 5*ms
	sim.picker.UpdateHealth(0, allReady(own, other))
	sim.run(3*time.Second, 200, "map")
	sim.responses[own] = func(string) (balancer.Result, time.Duration) {
		if latency > 2*time.Second {
			return balancer.TimedOut, 2 * time.Second
		}
		return balancer.Served, latency
	}
	for range 8 {
		latency *= 2
		sim.clear()
		sim.run(time.Second, 200, "map")
	}
	if sim.sent[own] > 100 {
		t.Errorf("%d of 200 requests still sent to the slow zone (%v), want at most 100", sim.sent[own], sim.picker.find(own).evidence)
	}
	if sim.rejected > 20 {
		t.Errorf("%d of 200 requests rejected although the other zone is idle, want at most 20", sim.rejected)
	}
}

// A flapping zone is dark for longer with each outage, so that few requests meet it while it is down.
func TestFlappingZoneIsDarkForLonger(t *testing.T) {
	sim, outages := &simulation{responses: map[balancer.Locality]func(string) (balancer.Result, time.Duration){}}, 0
	o := options()
	o.Notify = func(t Transition) {
		if t.To == Dark {
			outages++
		}
	}
	sim.picker = newPicker(t, o)
	sim.picker.UpdateHealth(0, allReady(own, other))
	sim.run(3*time.Second, 200, "map")
	failed := 0
	for i := range 60 {
		sim.responses[own] = served
		if i%2 == 0 {
			sim.responses[own] = func(string) (balancer.Result, time.Duration) { failed++; return balancer.NotConnected, ms }
		}
		sim.run(time.Second, 200, "map")
	}
	if outages > 8 {
		t.Errorf("zone went dark %d times in a minute, want at most 8", outages)
	}
	if failed > 300 { // of 6,000 requests sent while the zone was down
		t.Errorf("%d attempts sent to a zone that was down, want at most 300", failed)
	}
	if sim.rejected > 200 {
		t.Errorf("%d of 12000 requests rejected, want at most 200", sim.rejected)
	}
}

// On the recovery ramp, the share at most doubles with each step, and a failed step goes back by one step, not to Dark.
func TestRecoveryRamp(t *testing.T) {
	sim := &simulation{picker: newPicker(t, options()), responses: map[balancer.Locality]func(string) (balancer.Result, time.Duration){own: refusesConnections}}
	sim.picker.UpdateHealth(0, allReady(own, other))
	sim.run(3*time.Second, 400, "map")
	if sim.state(own) != Dark {
		t.Fatal(sim.state(own))
	}
	delete(sim.responses, own)
	for sim.state(own) == Dark && sim.now < 20*time.Second {
		sim.run(50*ms, 400, "map")
	}
	l := sim.picker.find(own)
	var steps []float64
	for sim.state(own) == Returning && l.rampStep < 3 && sim.now < 60*time.Second {
		if s := l.stateFactor(&sim.picker.options); len(steps) == 0 || steps[len(steps)-1] != s {
			steps = append(steps, s)
		}
		sim.clear()
		sim.run(200*ms, 400, "map")
		if n := float64(sim.sent[own]); n > 80*l.stateFactor(&sim.picker.options)+3 {
			t.Errorf("%v of 80 requests sent to a zone with a state factor of %v, want at most 80 times the factor plus 3", n, l.stateFactor(&sim.picker.options))
		}
	}
	if want := fmt.Sprint([]float64{1.0 / 16, 1.0 / 8, 1.0 / 4}); fmt.Sprint(steps) != want {
		t.Errorf("shares by ramp step: got %v, want %s", steps, want)
	}
	n := 0
	sim.responses[own] = func(string) (balancer.Result, time.Duration) { // from this step on, a third of the attempts fail
		if n++; n%3 == 0 {
			return balancer.ServerError, ms
		}
		return balancer.Served, 5 * ms
	}
	for step := l.rampStep; l.rampStep == step && sim.state(own) == Returning && sim.now < 80*time.Second; {
		sim.run(50*ms, 400, "map")
	}
	if sim.state(own) != Returning || l.rampStep != 2 {
		t.Errorf("after the failure of step 3: got %v at step %d, want returning at step 2", sim.state(own), l.rampStep)
	}
	delete(sim.responses, own)
	sim.run(20*time.Second, 400, "map")
	if sim.state(own) != Up {
		t.Errorf("state at the end: got %v, want up", sim.state(own))
	}
}

// A zone whose endpoints leave the endpoint list is remembered: when endpoints return, it gets a recovery ramp, even if their IDs are
// new.
func TestZoneReturnsToTheList(t *testing.T) {
	sim := &simulation{picker: newPicker(t, options())}
	sim.picker.UpdateHealth(0, allReady(own, other))
	sim.run(time.Second, 200, "map")
	sim.picker.UpdateHealth(sim.now, allReady(other))
	sim.run(10*time.Second, 200, "map") // the endpoint source is late
	if sim.state(own) != Dark || sim.rejected > 20 {
		t.Errorf("zone off the endpoint list: got %v and %d requests rejected, want dark and at most 20", sim.state(own), sim.rejected)
	}
	sim.picker.UpdateHealth(sim.now, allReady(own, other))
	sim.clear()
	sim.run(time.Second, 200, "map")
	if n := sim.sent[own]; n == 0 || n > 20 {
		t.Errorf("%d of 200 requests sent to the zone in the first second after its return, want 1 to 20", n)
	}
}

// A zone that serves one class and rejects another keeps getting the first one, and gets the other only for occasional trials.
func TestEjectionForOneClass(t *testing.T) {
	sim := &simulation{picker: newPicker(t, options())}
	sim.responses = map[balancer.Locality]func(string) (balancer.Result, time.Duration){own: func(class string) (balancer.Result, time.Duration) {
		if class == "hold" {
			return balancer.Rejected, ms
		}
		return balancer.Served, 5 * ms
	}}
	sim.picker.UpdateHealth(0, allReady(own, other))
	for range 400 {
		sim.run(25*ms, 200, "map")
		sim.run(25*ms, 200, "hold")
	}
	sim.clear()
	for range 200 {
		sim.run(25*ms, 200, "map")
	}
	if sim.state(own) != Up || sim.sent[own] < 900 {
		t.Errorf("state %v, map requests by locality %v, want up and at least 900 of 1000 to %v", sim.state(own), sim.sent, own)
	}
	sim.clear()
	for range 200 {
		sim.run(25*ms, 200, "hold")
		sim.run(5*ms, 200, "map")
	}
	if n := sim.sent[own]; n > 260 { // 200 map requests and the trials
		t.Errorf("%d attempts sent to the own zone, want at most 260", n)
	}
}

// While all zones are dark, requests are rejected at once. A zone that recovers is used again after two probes.
func TestAllZonesDark(t *testing.T) {
	sim := &simulation{picker: newPicker(t, options()), responses: map[balancer.Locality]func(string) (balancer.Result, time.Duration){own: refusesConnections, other: refusesConnections}}
	sim.picker.UpdateHealth(0, allReady(own, other))
	sim.run(10*time.Second, 200, "map")
	sim.clear()
	sim.run(5*time.Second, 200, "map")
	if n := sim.sent[own] + sim.sent[other]; n > 40 {
		t.Errorf("%d attempts sent to dark zones in 5 s, want at most 40", n)
	}
	sim.responses[other] = served
	start := sim.now
	for sim.state(other) == Dark && sim.now < start+time.Minute {
		sim.run(10*ms, 200, "map")
	}
	if elapsed := sim.now - start; elapsed > 2*time.Second {
		t.Errorf("recovered zone is in use after %v, want at most 2s", elapsed)
	}
	sim.clear()
	sim.run(time.Second, 200, "map")
	if n := sim.sent[other]; n > 60 {
		t.Errorf("%d of 200 requests sent to the recovered zone in the first second, want at most 60", n)
	}
}

// Attempts sent before a zone went dark do not count as probes, whenever and however they end: served ones do not start the recovery
// ramp, and failed ones do not keep the zone dark.
func TestEarlierAttemptsAreNotProbes(t *testing.T) {
	for _, result := range []balancer.Result{balancer.Served, balancer.ServerError} {
		picker := newPicker(t, options())
		picker.UpdateHealth(0, allReady(own, other))
		earlier := balancer.LocalityRequest{Class: "map", TimeLeft: time.Minute}
		for range 20 {
			picker.AttemptSent(0, own, earlier)
		}
		now := ms
		for ; picker.find(own).state != Dark; now += 10 * ms {
			request := balancer.LocalityRequest{Class: "map", TimeLeft: time.Second, SentAt: now}
			picker.AttemptSent(now, own, request)
			picker.AttemptEnded(now+ms, own, request, balancer.NotConnected, ms)
		}
		sendProbe := func() balancer.LocalityRequest {
			for ; ; now += 10 * ms {
				request := balancer.LocalityRequest{Class: "map", TimeLeft: time.Second, SentAt: now}
				if target, ok, _ := picker.Pick(now, request); ok && target == own {
					picker.AttemptSent(now, own, request)
					return request
				}
			}
		}
		request := sendProbe()
		for range 5 {
			picker.AttemptEnded(now, own, earlier, result, now)
		}
		l := picker.find(own)
		if l.probesInFlight != 1 || l.consecutiveGoodProbes != 0 || l.state != Dark {
			t.Fatalf("earlier attempts end with result %v: got %d probes in flight, %d consecutive good ones and state %v, want 1, 0 and dark", result, l.probesInFlight, l.consecutiveGoodProbes, l.state)
		}
		picker.AttemptEnded(now, own, request, balancer.Served, ms)
		if picker.AttemptEnded(now, own, earlier, result, now); l.consecutiveGoodProbes != 1 {
			t.Fatalf("earlier attempts end with result %v: got %d consecutive good probes after one served probe, want 1", result, l.consecutiveGoodProbes)
		}
		request = sendProbe()
		for now < l.darkUntil { // wait for the end of the hold
			now += 10 * ms
		}
		picker.AttemptEnded(now, own, request, balancer.Served, ms)
		if l.state != Returning {
			t.Fatalf("earlier attempts end with result %v: state after two served probes: got %v, want returning", result, l.state)
		}
		for range minRampAnswers {
			picker.AttemptEnded(now, own, earlier, result, now)
		}
		if good, bad := l.rampAttempts(); good != 0 || bad != 0 {
			t.Errorf("earlier attempts end with result %v: got %d good and %d bad attempts in the ramp step, want 0 and 0", result, good, bad)
		}
	}
}
