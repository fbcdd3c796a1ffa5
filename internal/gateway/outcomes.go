package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"robindrum/internal/proxy"
	"robindrum/internal/release"
)

// maxClassNames bounds the number of classes that are counted, because releases may keep adding new class names.
const maxClassNames = 64

// outcomeCounters counts the outcomes of requests by class, and their latencies. The gates of releases use these counts. Its
// methods are safe for concurrent use.
type outcomeCounters struct {
	latencies [release.LatencyBuckets]atomic.Uint64

	mu      sync.RWMutex
	classes map[string]*classCounters
}

type classCounters struct {
	accepted atomic.Uint64
	inTime   atomic.Uint64
}

// add counts one request. A request whose client left is not counted, as its outcome is unknown.
func (o *outcomeCounters) add(class string, outcome proxy.RequestOutcome, latency time.Duration, inTime bool) {
	if outcome == proxy.OutcomeClientLeft {
		return
	}
	served := outcome == proxy.OutcomeServed
	if served {
		o.latencies[release.LatencyBucket(latency)].Add(1)
	}
	counters := o.class(class)
	if counters == nil {
		return
	}
	counters.accepted.Add(1)
	if served && inTime {
		counters.inTime.Add(1)
	}
}

// class returns the counters of a class, or nil if there are too many classes.
func (o *outcomeCounters) class(name string) *classCounters {
	o.mu.RLock()
	counters := o.classes[name]
	o.mu.RUnlock()
	if counters != nil {
		return counters
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.classes == nil {
		o.classes = map[string]*classCounters{}
	}
	counters = o.classes[name]
	if counters == nil && len(o.classes) < maxClassNames {
		counters = &classCounters{}
		o.classes[name] = counters
	}
	return counters
}

// latencyCounts returns the number of served requests by latency bucket, without trailing empty buckets.
func (o *outcomeCounters) latencyCounts() []uint64 {
	var counts []uint64
	for i := range o.latencies {
		if n := o.latencies[i].Load(); n > 0 {
			counts = append(counts, make([]uint64, i+1-len(counts))...)
			counts[i] = n
		}
	}
	return counts
}

// byClass returns the counters of each class.
func (o *outcomeCounters) byClass() map[string]release.ClassFigures {
	o.mu.RLock()
	defer o.mu.RUnlock()
	figures := make(map[string]release.ClassFigures, len(o.classes))
	for name, counters := range o.classes {
		figures[name] = release.ClassFigures{Accepted: counters.accepted.Load(), InTime: counters.inTime.Load()}
	}
	return figures
}
