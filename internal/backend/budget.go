package backend

import (
	"slices"
	"sync"
	"sync/atomic"
)

// Descriptors are what a pool's connections are booked on.
type Descriptors interface {
	Acquire() bool // reserves one, or tells that none is left
	Release()
	OnShort(fn func() bool) (leave func())
	Used() int
	Limit() int
}

// Budget counts the descriptors that clients and backend connections hold together.
type Budget struct {
	limit    int64
	used     atomic.Int64
	mu       sync.Mutex
	evictors []*func() bool
}

// NewBudget makes a budget of limit descriptors.
func NewBudget(limit int) *Budget { return &Budget{limit: int64(max(limit, 2))} }

// OnShort adds a way to free a descriptor: fn closes one idle connection and tells whether there was one. What it
// gives ends that.
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

// Acquire reserves a descriptor for a dial. Where none is left an idle connection makes room, if there is one.
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

// Force books a descriptor that is held already: an accepted connection. It makes room behind itself.
func (b *Budget) Force() {
	if b.used.Add(1) > b.limit {
		b.EvictOne()
	}
}

// Release returns a descriptor.
func (b *Budget) Release() { b.used.Add(-1) }

// Limit is how many descriptors there are.
func (b *Budget) Limit() int { return int(b.limit) }

// Used is how many are held.
func (b *Budget) Used() int { return int(b.used.Load()) }

// EvictOne closes one idle connection, and tells whether there was one.
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

// Share is one cluster's part of a Budget: some descriptors are its own whatever the others do, the rest it takes from
// what nobody owns.
type Share struct {
	budget *Budget

	mu              sync.Mutex
	reserved, limit int64
	used            int64
	evictors        []*func() bool
}

// Share books own descriptors for one user alone, until End. It holds at most most of them; 0: as many as there are.
func (b *Budget) Share(own, most int) *Share {
	s := &Share{budget: b}
	s.Resize(own, most)
	return s
}

// Resize changes what is its own and the most that it may hold. What it holds stays.
func (s *Share) Resize(own, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	booked := func(own int64) int64 { return own + max(s.used-own, 0) }
	s.budget.used.Add(booked(int64(own)) - booked(s.reserved))
	s.reserved, s.limit = int64(own), int64(most)
}

// Close gives back what is its own. What it still holds goes back with each Give.
func (s *Share) Close() { s.Resize(0, 0) }

// Limit is how many may be held.
func (s *Share) Limit() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit > 0 {
		return int(s.limit)
	}
	return s.budget.Limit()
}

// Used is how many are held.
func (s *Share) Used() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.used)
}

// Acquire reserves a descriptor. Where none is left an idle connection makes room, if there is one.
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
	if own || s.budget.Acquire() { // not under the lock: room is made by giving back, maybe here
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// One that was given back meanwhile counted as one of the Budget's, since this one stood before it.
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

// OnShort adds a way to free a descriptor. Others may use it only while more is held than is this user's own.
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
