package hollow

import (
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestFitOfLinearValues checks Extrapolate and CrossingSize for values on a line.
func TestFitOfLinearValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start, slope := rapid.Float64Range(1, 100).Draw(t, "start"), rapid.Float64Range(0.5, 20).Draw(t, "slope")
		var values []float64
		sizes := []float64{100, 300, 800, 2400}
		for _, n := range sizes {
			values = append(values, start+slope*n)
		}
		f, err := NewFit(sizes, values)
		if err != nil {
			t.Fatal(err)
		}
		near := func(got, want float64) bool { return math.Abs(got-want) <= 1e-6*math.Abs(want)+1e-6 }
		if v, multiple := f.Extrapolate(24000); !near(v, start+slope*24000) || multiple != 10 || f.IsNonlinear() || f.Residual > 1e-9 {
			t.Fatalf("fit %v: Extrapolate(24000) = %v, %v times the largest size; want %v, 10 times, linear", &f, v, multiple, start+slope*24000)
		}
		if at := f.CrossingSize(start + slope*1234); !near(at, 1234) {
			t.Fatalf("fit %v: CrossingSize: got %v, want 1234", &f, at)
		}
	})
}

// TestFitDetectsNonlinearityAndNoise checks that nonlinear values are extrapolated by a power law, and that flat values are not
// extrapolated.
func TestFitDetectsNonlinearityAndNoise(t *testing.T) {
	sizes := []float64{100, 300, 800, 2400}
	var square []float64
	for _, n := range sizes {
		square = append(square, n*n/1000)
	}
	f, err := NewFit(sizes, square)
	if err != nil {
		t.Fatal(err)
	}
	if v, _ := f.Extrapolate(24000); !f.IsNonlinear() || math.Abs(f.Power-2) > 1e-9 || math.Abs(v-576000) > 1 || !strings.Contains(f.String(), "BENDS") {
		t.Errorf("fit %v: Extrapolate(24000) = %v, want 576000 by power 2", &f, v)
	}
	if at := f.CrossingSize(576000); math.Abs(at-24000) > 1 {
		t.Errorf("CrossingSize(576000) = %v, want 24000", at)
	}
	if f, err = NewFit(sizes, []float64{100, 97, 102, 99}); err != nil {
		t.Fatal(err)
	}
	if v, _ := f.Extrapolate(1e6); !f.IsFlat() || v != 102 || !math.IsInf(f.CrossingSize(200), 1) || f.CrossingSize(50) != 100 {
		t.Errorf("fit %v: Extrapolate(1e6) = %v, CrossingSize(200) = %v, CrossingSize(50) = %v; want flat, 102, +Inf and 100", &f, v, f.CrossingSize(200), f.CrossingSize(50))
	}
}

// TestFitDoesNotFallBelowZero extrapolates a falling line to a size at which it is below zero.
func TestFitDoesNotFallBelowZero(t *testing.T) {
	f, err := NewFit([]float64{10, 20, 40, 80}, []float64{626, 580, 560, 540})
	if err != nil {
		t.Fatal(err)
	}
	if v, _ := f.Extrapolate(2400); f.IsFlat() || f.IsNonlinear() || v != 626 || !math.IsInf(f.CrossingSize(1000), 1) {
		t.Errorf("fit %v: Extrapolate(2400) = %v, want 626 and no crossing of 1000", &f, v)
	}
}

func TestFitRejectsInvalidSeries(t *testing.T) {
	for _, c := range []struct{ sizes, values []float64 }{{nil, nil}, {[]float64{1}, []float64{1}}, {[]float64{1, 2}, []float64{1}}, {[]float64{2, 1}, []float64{1, 2}}, {[]float64{0, 1}, []float64{1, 2}}} {
		if f, err := NewFit(c.sizes, c.values); err == nil {
			t.Errorf("NewFit(%v, %v) = %v, want an error", c.sizes, c.values, &f)
		}
	}
}

// TestRequirementBeyondMachineIsRejected checks the limits of memory, processes and file descriptors.
func TestRequirementBeyondMachineIsRejected(t *testing.T) {
	for what, c := range map[string]struct {
		members, processes int
		memory, files      int64
	}{
		"memory":      {4000, 0, 16 << 30, 1 << 20},
		"processes":   {10, 201, 256 << 30, 1 << 20},
		"descriptors": {2400, 0, 256 << 30, 1024},
	} {
		if err := MembersRequirement(c.members, c.processes).check(c.memory, c.files); err == nil || !strings.Contains(err.Error(), what) {
			t.Errorf("requirement beyond the limit of %s: got error %v, want one that names the limit", what, err)
		}
	}
	if err := MembersRequirement(800, 5).check(24<<30, 20000); err != nil {
		t.Errorf("800 members on a machine with 24 GiB: got %v, want no error", err)
	}
	if err := MembersRequirement(2400, 5).check(24<<30, 20000); err == nil {
		t.Error("2400 members on a machine with 24 GiB: want an error")
	}
	if _, err := New(Options{Members: 4001}); err == nil {
		t.Error("New with 4001 members: want an error")
	}
}

// TestAddressRangesDoNotOverlap reserves ranges with searches that begin at the same network, as those of several processes can.
func TestAddressRangesDoNotOverlap(t *testing.T) {
	seen := map[int]bool{}
	for range 5 {
		r, err := newAddressRange()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.close)
		rangeCount.Add(^uint32(0)) // the next search begins at the same network
		if seen[r.net] {
			t.Errorf("network 127.%d was reserved twice, want different networks", r.net)
		}
		seen[r.net] = true
	}
}
