package locality

import (
	"math"
	"testing"

	"robindrum/balancer"
)

// Load is split by health times the overprovisioning factor, with the same results as in Envoy's documentation on priority levels.
func TestSharesFollowEnvoyPriorityLevels(t *testing.T) {
	priority := func(n int) balancer.Locality { return balancer.Locality{Zone: "a", Priority: n} }
	for _, c := range []struct {
		health []float64 // ready of 100 endpoints, by priority
		want   []float64 // share of the load, by priority
	}{
		{[]float64{100, 100}, []float64{1, 0}},
		{[]float64{72, 100}, []float64{1, 0}},
		{[]float64{71, 100}, []float64{0.99, 0.01}},
		{[]float64{50, 100}, []float64{0.70, 0.30}},
		{[]float64{25, 100}, []float64{0.35, 0.65}},
		{[]float64{0, 100}, []float64{0, 1}},
		{[]float64{50, 20}, []float64{0.7 / 0.98, 0.28 / 0.98}},
		{[]float64{20, 20, 10}, []float64{0.4, 0.4, 0.2}},
		{[]float64{0, 0, 0}, []float64{1, 0, 0}}, // in panic, ejected endpoints count as usable
	} {
		o := options()
		o.Panic = 1e-9
		picker := newPicker(t, o)
		var list []balancer.LocalityHealth
		for i, h := range c.health {
			list = append(list, ready(priority(i), 100, 100, h))
		}
		picker.UpdateHealth(0, list)
		for i, want := range c.want {
			if got := picker.find(priority(i)).share; math.Abs(got-want) > 0.011 {
				t.Errorf("health %v: share of priority %d: got %.3f, want %.3f", c.health, i, got, want)
			}
		}
	}
}

// Ejected endpoints are used again if less than the panic threshold of a zone is ready and the other zones lack the capacity.
func TestPanicThreshold(t *testing.T) {
	picker := newPicker(t, options())
	picker.UpdateHealth(0, []balancer.LocalityHealth{ready(own, 10, 10, 3), ready(other, 10, 10, 1)})
	for _, l := range []balancer.Locality{own, other} {
		if !picker.find(l).inPanic {
			t.Errorf("%v: inPanic is false, want true", l)
		}
	}
	if s := picker.find(own).share; math.Abs(s-0.75) > 0.01 {
		t.Errorf("share of the own zone in panic: got %v, want 0.75", s)
	}
	picker.UpdateHealth(0, []balancer.LocalityHealth{ready(own, 10, 10, 3), ready(other, 10, 10, 10)}) // the other zone has enough capacity
	if picker.find(own).inPanic {
		t.Error("own zone: inPanic is true although the other zone has the capacity, want false")
	}
	if s := picker.find(own).share; math.Abs(s-0.42) > 0.01 {
		t.Errorf("share of the own zone with 3 of 10 endpoints ready: got %v, want 0.42", s)
	}
	// Endpoints that are not running are not used even in panic.
	picker.UpdateHealth(0, []balancer.LocalityHealth{ready(own, 10, 0, 0), ready(other, 10, 2, 1)})
	if l := picker.find(own); l.share != 0 || l.inPanic {
		t.Errorf("zone without running endpoints: got share %v and inPanic %v, want 0 and false", l.share, l.inPanic)
	}
}
