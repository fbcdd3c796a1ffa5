package locality

import (
	"math"
	"testing"

	"robindrum/balancer"
)

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
