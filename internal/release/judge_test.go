package release

import (
	"testing"
	"time"
)

// classFigures returns figures of 1000 answers, of which slow took a second: of class maps, which is nearly always in time, and of the
// smaller class seats.
func classFigures(slow, seats, seatsInTime uint64) Figures {
	f := Figures{
		Accepted:      1000,
		Served:        1000,
		LatencyCounts: make([]uint64, LatencyBuckets),
		Classes:       map[string]ClassFigures{"maps": {900, 890}, "seats": {seats, seatsInTime}},
	}
	f.LatencyCounts[LatencyBucket(20*time.Millisecond)] = 1000 - slow
	f.LatencyCounts[LatencyBucket(time.Second)] = slow
	return f
}

// judgeTailAndClasses applies the checks for faults that the mean latency does not show, in the order of Ledger.judge.
func judgeTailAndClasses(c comparison, gate *Gate) verdict {
	if v := c.judgeTail(gate); v.outcome != passed {
		return v
	}
	return c.judgeClasses(gate)
}

func TestTailAndClassesAreJudged(t *testing.T) {
	var gate Gate
	gate.setDefaults()
	others := classFigures(0, 100, 99)
	for name, c := range map[string]struct {
		comparison comparison
		want       outcome
	}{
		"same as control":           {comparison{canary: classFigures(2, 100, 99), control: others}, passed},
		"slow tail":                 {comparison{canary: classFigures(60, 100, 99), control: others}, failed},
		"class late":                {comparison{canary: classFigures(0, 100, 60), control: others}, failed},
		"class with few requests":   {comparison{canary: classFigures(0, 10, 0), control: others}, passed},
		"no control or baseline":    {comparison{canary: classFigures(500, 100, 0)}, passed},
		"slow tail over a baseline": {comparison{canary: classFigures(60, 100, 99), baseline: others}, failed},
	} {
		t.Run(name, func(t *testing.T) {
			if v := judgeTailAndClasses(c.comparison, &gate); v.outcome != c.want {
				t.Errorf("outcome: got %d, want %d; reason %q", v.outcome, c.want, v.reason)
			}
		})
	}
}

func TestLatencyIsWithinItsBucket(t *testing.T) {
	for _, d := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond, time.Second, time.Hour} {
		bucket := LatencyBucket(d)
		if bucket == LatencyBuckets-1 {
			continue
		}
		if latencyBound(bucket)+100*time.Microsecond < d || bucket > 0 && latencyBound(bucket-1) > d {
			t.Errorf("LatencyBucket(%v) = %d with upper bound %v, want the first bucket that contains it", d, bucket, latencyBound(bucket))
		}
	}
}
