package release

import (
	"testing"
	"time"
)

// classFigures returns 1000 answers, some of them slow, of a class that is nearly always in time and one that is small.
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

// judgeRareFaults applies the gates for what a mean does not show, in the order in which a wave is judged.
func judgeRareFaults(c comparison, gate *Gate) verdict {
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
		"as the others":            {comparison{canary: classFigures(2, 100, 99), control: others}, passed},
		"a tail":                   {comparison{canary: classFigures(60, 100, 99), control: others}, failed},
		"a class":                  {comparison{canary: classFigures(0, 100, 60), control: others}, failed},
		"a class with few":         {comparison{canary: classFigures(0, 10, 0), control: others}, passed},
		"nothing to compare with":  {comparison{canary: classFigures(500, 100, 0)}, passed},
		"a tail over the baseline": {comparison{canary: classFigures(60, 100, 99), baseline: others}, failed},
	} {
		t.Run(name, func(t *testing.T) {
			if v := judgeRareFaults(c.comparison, &gate); v.outcome != c.want {
				t.Errorf("outcome %d, want %d: %s", v.outcome, c.want, v.reason)
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
			t.Errorf("%v is in bucket %d, up to %v", d, bucket, latencyBound(bucket))
		}
	}
}
