package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"robindrum/internal/proxy"
	"robindrum/internal/release"
)

// maxShown bounds the classes that are counted by name. Danger: configurations bring ever new ones.
const maxShown = 64

// shows counts what requests came to, by class and by time: by this a release is judged. Its methods may be called by several
// goroutines at once.
type shows struct {
	buckets [release.LatencyBuckets]atomic.Uint64
	mu      sync.RWMutex
	classes map[string]*classShows
}

type classShows struct{ taken, inTime atomic.Uint64 }

// add counts one request. Those whose client left are not counted: it is not known what they would have come to.
func (s *shows) add(class string, out proxy.RequestOutcome, took time.Duration, inTime bool) {
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
	c.taken.Add(1)
	if out == proxy.OutcomeServed && inTime {
		c.inTime.Add(1)
	}
}

func (s *shows) class(name string) *classShows {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.classes == nil {
		s.classes = map[string]*classShows{}
	}
	c := s.classes[name]
	if c == nil && len(s.classes) < maxShown {
		c = &classShows{}
		s.classes[name] = c
	}
	return c
}

// times are the answers by bucket, without the empty ones at the end.
func (s *shows) times() (l []uint64) {
	for i := range s.buckets {
		if n := s.buckets[i].Load(); n > 0 {
			l = append(l, make([]uint64, i+1-len(l))...)
			l[i] = n
		}
	}
	return l
}

func (s *shows) all() map[string]release.ClassFigures {
	s.mu.RLock()
	defer s.mu.RUnlock()
	m := make(map[string]release.ClassFigures, len(s.classes))
	for name, c := range s.classes {
		m[name] = release.ClassFigures{Accepted: c.taken.Load(), InTime: c.inTime.Load()}
	}
	return m
}
