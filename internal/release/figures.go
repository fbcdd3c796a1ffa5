package release

import (
	"math"
	"slices"
	"time"
)

// ClassFigures counts the requests of one request class.
type ClassFigures struct {
	Accepted uint64 `json:"taken"`
	InTime   uint64 `json:"in_time"` // answered within the class's latency objective
}

// Figures are the counters of a gateway process since its start, and its memory. Copies share the slice and the map, which must not be
// modified.
type Figures struct {
	Accepted       uint64  `json:"taken"`
	Failed         uint64  `json:"bad"`     // failed or rejected
	Served         uint64  `json:"served"`  // answered
	LatencySeconds float64 `json:"seconds"` // sum of the latencies of all answers
	Memory         int64   `json:"memory"`  // resident memory in bytes
	// LatencyCounts is the number of answers in each LatencyBucket. Empty buckets at the end are omitted.
	LatencyCounts []uint64                `json:"times,omitempty"`
	Classes       map[string]ClassFigures `json:"classes,omitempty"`
}

// since returns the figures counted since an earlier reading of the same gateway. If the process has restarted in between, all of f was
// counted since then.
func (f Figures) since(earlier Figures) Figures {
	restarted := f.Accepted < earlier.Accepted || f.Served < earlier.Served
	if restarted {
		return f
	}
	difference := Figures{
		Accepted:       f.Accepted - earlier.Accepted,
		Failed:         subtract(f.Failed, earlier.Failed),
		Served:         f.Served - earlier.Served,
		LatencySeconds: f.LatencySeconds - earlier.LatencySeconds,
		Memory:         f.Memory,
		LatencyCounts:  slices.Clone(f.LatencyCounts),
		Classes:        map[string]ClassFigures{},
	}
	for i := range min(len(f.LatencyCounts), len(earlier.LatencyCounts)) {
		difference.LatencyCounts[i] = subtract(f.LatencyCounts[i], earlier.LatencyCounts[i])
	}
	for name, class := range f.Classes {
		before := earlier.Classes[name]
		difference.Classes[name] = ClassFigures{
			Accepted: subtract(class.Accepted, before.Accepted),
			InTime:   subtract(class.InTime, before.InTime),
		}
	}
	return difference
}

// subtract returns the increase of a counter, or 0 if the earlier value is higher.
func subtract(n, earlier uint64) uint64 { return n - min(earlier, n) }

// add returns the sum of the figures of two gateways. Its Memory is the larger of the two.
func (f Figures) add(other Figures) Figures {
	sum := Figures{
		Accepted:       f.Accepted + other.Accepted,
		Failed:         f.Failed + other.Failed,
		Served:         f.Served + other.Served,
		LatencySeconds: f.LatencySeconds + other.LatencySeconds,
		Memory:         max(f.Memory, other.Memory),
		LatencyCounts:  make([]uint64, max(len(f.LatencyCounts), len(other.LatencyCounts))),
		Classes:        map[string]ClassFigures{},
	}
	for _, summand := range []Figures{f, other} {
		for i, n := range summand.LatencyCounts {
			sum.LatencyCounts[i] += n
		}
		for name, class := range summand.Classes {
			total := sum.Classes[name]
			sum.Classes[name] = ClassFigures{
				Accepted: total.Accepted + class.Accepted,
				InTime:   total.InTime + class.InTime,
			}
		}
	}
	return sum
}

// errorRate returns the fraction of the accepted requests that failed or were rejected.
func (f Figures) errorRate() float64 {
	if f.Accepted == 0 {
		return 0
	}
	return float64(f.Failed) / float64(f.Accepted)
}

// meanLatency returns the mean latency of all answers in seconds.
func (f Figures) meanLatency() float64 {
	if f.Served == 0 {
		return 0
	}
	return f.LatencySeconds / float64(f.Served)
}

// quantileBucket returns the latency bucket that contains the quantile q, from 0 to 1, of the answers' latencies.
func (f Figures) quantileBucket(q float64) int {
	total := uint64(0)
	for _, n := range f.LatencyCounts {
		total += n
	}
	sum := uint64(0)
	for bucket, n := range f.LatencyCounts {
		sum += n
		if n > 0 && float64(sum) >= q*float64(total) {
			return bucket
		}
	}
	return 0
}

// countAbove returns how many answers took longer than the upper bound of a latency bucket.
func (f Figures) countAbove(bucket int) uint64 {
	count := uint64(0)
	for i, n := range f.LatencyCounts {
		if i > bucket {
			count += n
		}
	}
	return count
}

const (
	// LatencyBuckets is the number of latency buckets. The last bucket has no upper bound.
	LatencyBuckets = 65

	bucketsPerDoubling = 4
	firstLatencyBound  = time.Millisecond
)

// LatencyBucket returns the index of a latency's bucket. Bucket 0 ends at 1 ms, and the upper bound doubles every four buckets.
func LatencyBucket(d time.Duration) int {
	if d <= firstLatencyBound {
		return 0
	}
	doublings := math.Log2(float64(d) / float64(firstLatencyBound))
	return min(bucketsIn(doublings), LatencyBuckets-1)
}

// bucketsIn returns how many buckets it takes to cover a number of doublings of the latency.
func bucketsIn(doublings float64) int { return int(math.Ceil(bucketsPerDoubling * doublings)) }

// latencyBound returns the upper bound of a bucket, rounded to 0.1 ms.
func latencyBound(bucket int) time.Duration {
	bound := float64(firstLatencyBound) * math.Pow(2, float64(bucket)/bucketsPerDoubling)
	return time.Duration(bound).Round(100 * time.Microsecond)
}
