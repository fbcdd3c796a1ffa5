package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"robindrum/internal/proxy"
	"robindrum/internal/release"
)

// maxClassNames bounds the classes that are counted by name. Danger: configurations bring ever new ones.
const maxClassNames = 64

// outcomeCounters counts what requests came to, by class and by time: by this a release is judged. Its methods may be called by several
// goroutines at once.
type outcomeCounters struct {
	buckets [release.LatencyBuckets]atomic.Uint64
	mu      sync.RWMutex
	classes map[string]*classCounters
}

type classCounters struct{ accepted, inTime atomic.Uint64 }

// add counts one request. Those whose client left are not counted: it is not known what they would have come to.
func (s *outcomeCounters) add(class string, out proxy.RequestOutcome, took time.Duration, inTime bool) {
	if out == proxy.OutcomeServed {
		s.buckets[release.LatencyBucket(took)].Add(1)
	}
	if out == proxy.OutcomeClientLeft {
		return
	}
	s.mu.RLock()
	c := s.classes[class]
	s.mu.RUnlock()
	if c == nil {
		if c = s.class(class); c == nil {
			return
		}
	}
	c.accepted.Add(1)
	if out == proxy.OutcomeServed && inTime {
		c.inTime.Add(1)
	}
}

func (s *outcomeCounters) class(name string) *classCounters {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.classes == nil {
		s.classes = map[string]*classCounters{}
	}
	c := s.classes[name]
	if c == nil && len(s.classes) < maxClassNames {
		c = &classCounters{}
		s.classes[name] = c
	}
	return c
}

// latencyCounts are the answers by bucket, without the empty ones at the end.
func (s *outcomeCounters) latencyCounts() (l []uint64) {
	for i := range s.buckets {
		if n := s.buckets[i].Load(); n > 0 {
			l = append(l, make([]uint64, i+1-len(l))...)
			l[i] = n
		}
	}
	return l
}

func (s *outcomeCounters) byClass() map[string]release.ClassFigures {
	s.mu.RLock()
	defer s.mu.RUnlock()
	m := make(map[string]release.ClassFigures, len(s.classes))
	for name, c := range s.classes {
		m[name] = release.ClassFigures{Accepted: c.accepted.Load(), InTime: c.inTime.Load()}
	}
	return m
}
