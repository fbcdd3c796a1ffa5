package backend

import (
	"slices"
	"sync"
	"sync/atomic"
)

// Descriptors is the descriptor budget of a Pool. Its methods may be called by several goroutines at once.
type Descriptors interface {
	Acquire() bool // reserves one, or returns false if none is left
	Release()
	OnShort(fn func() bool) (leave func())
	Used() int
	Limit() int
}

// Budget counts the descriptors of client and endpoint connections together. Its methods may be called by several
// goroutines at once.
type Budget struct {
	limit    int64
	used     atomic.Int64
	mu       sync.Mutex
	evictors []*func() bool
}

// NewBudget returns a budget of limit descriptors.
func NewBudget(limit int) *Budget { return &Budget{limit: int64(max(limit, 2))} }

// OnShort registers fn, which closes one idle connection and reports whether there was one. The returned function
// unregisters it.
func (b *Budget) OnShort(fn func() bool) (leave func()) {
	p := &fn
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evictors = append(slices.Clone(b.evictors), p)
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.evictors = slices.DeleteFunc(slices.Clone(b.evictors), func(q *func() bool) bool { return q == p })
	}
}

// Acquire reserves a descriptor for a dial. If none is left it has an idle connection closed, if there is one.
func (b *Budget) Acquire() bool {
	for {
		u := b.used.Load()
		if u < b.limit {
			if b.used.CompareAndSwap(u, u+1) {
				return true
			}
		} else if !b.EvictOne() {
			return false
		}
	}
}

// Force counts a descriptor that is in use already, that of an accepted connection, and has an idle connection closed if
// there are too many now.
func (b *Budget) Force() {
	if b.used.Add(1) > b.limit {
		b.EvictOne()
	}
}

// Release returns a descriptor.
func (b *Budget) Release() { b.used.Add(-1) }

// Limit returns the number of descriptors.
func (b *Budget) Limit() int { return int(b.limit) }

// Used returns how many are in use or reserved.
func (b *Budget) Used() int { return int(b.used.Load()) }

// EvictOne closes one idle connection and reports whether there was one.
func (b *Budget) EvictOne() bool {
	b.mu.Lock()
	evict := b.evictors
	b.mu.Unlock()
	for _, fn := range evict {
		if (*fn)() {
			return true
		}
	}
	return false
}

// Share is one cluster's part of a Budget: a reserved number of descriptors, and beyond it those that no share has
// reserved. Its methods may be called by several goroutines at once.
type Share struct {
	budget *Budget

	mu              sync.Mutex
	reserved, limit int64
	used            int64
	evictors        []*func() bool
}

// Share reserves descriptors for one user until Close. The user may acquire up to limit; 0 means no limit of its own.
func (b *Budget) Share(reserved, limit int) *Share {
	s := &Share{budget: b}
	s.Resize(reserved, limit)
	return s
}

// Resize changes the reservation and the limit. Descriptors in use stay so.
func (s *Share) Resize(reserved, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	booked := func(reserved int64) int64 { return reserved + max(s.used-reserved, 0) }
	s.budget.used.Add(booked(int64(reserved)) - booked(s.reserved))
	s.reserved, s.limit = int64(reserved), int64(limit)
}

// Close ends the reservation. Descriptors in use are returned by Release.
func (s *Share) Close() { s.Resize(0, 0) }

// Limit returns how many descriptors may be in use.
func (s *Share) Limit() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit > 0 {
		return int(s.limit)
	}
	return s.budget.Limit()
}

// Used returns how many descriptors are in use.
func (s *Share) Used() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.used)
}

// Acquire reserves a descriptor. If none is left it has an idle connection closed, if there is one.
func (s *Share) Acquire() bool {
	s.mu.Lock()
	for s.limit > 0 && s.used >= s.limit {
		s.mu.Unlock()
		if !s.evictOne() {
			return false
		}
		s.mu.Lock()
	}
	s.used++
	own := s.used <= s.reserved
	s.mu.Unlock()
	if own || s.budget.Acquire() { // not under the lock: evicting calls Release, possibly of this share
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A descriptor released meanwhile was counted as the Budget's, because this one preceded it.
	if s.used--; s.used < s.reserved {
		s.budget.used.Add(1)
	}
	return false
}

// Release returns a descriptor.
func (s *Share) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.used--; s.used >= s.reserved {
		s.budget.Release()
	}
}

func (s *Share) exceedsReservation() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used > s.reserved
}

func (s *Share) evictOne() bool {
	s.mu.Lock()
	evict := s.evictors
	s.mu.Unlock()
	for _, fn := range evict {
		if (*fn)() {
			return true
		}
	}
	return false
}

// OnShort registers fn as Budget.OnShort does. Other users have it called only while this share exceeds its reservation.
func (s *Share) OnShort(fn func() bool) (leave func()) {
	p := &fn
	s.mu.Lock()
	s.evictors = append(slices.Clone(s.evictors), p)
	s.mu.Unlock()
	out := s.budget.OnShort(func() bool { return s.exceedsReservation() && fn() })
	return func() {
		out()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.evictors = slices.DeleteFunc(slices.Clone(s.evictors), func(q *func() bool) bool { return q == p })
	}
}
