package backend

import (
	"slices"
	"sync"
	"sync/atomic"
)

// Descriptors is the file descriptor budget of a Pool. Its methods may be called concurrently.
type Descriptors interface {
	Acquire() bool // reserves a descriptor, or returns false if none is available
	Release()
	// RegisterEvictor registers fn, which closes one idle connection and reports whether there was one. Acquire calls it if no
	// descriptor is available.
	RegisterEvictor(fn func() bool) (unregister func())
	Used() int
	Limit() int
}

// Budget limits the file descriptors of client and endpoint connections together. Its methods may be called
// concurrently.
type Budget struct {
	limit    int64
	used     atomic.Int64
	mu       sync.Mutex
	evictors []*func() bool
}

// NewBudget returns a budget of limit descriptors, but at least 2.
func NewBudget(limit int) *Budget { return &Budget{limit: int64(max(limit, 2))} }

// RegisterEvictor registers fn, which closes one idle connection and reports whether there was one. It is called when descriptors
// run short.
func (b *Budget) RegisterEvictor(fn func() bool) (unregister func()) {
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

// Acquire reserves a descriptor for a dial. If none is available, it evicts an idle connection; it returns false if there is
// no idle connection either.
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

// AcquireForced counts the descriptor of an accepted connection, which is already in use, and evicts an idle connection if the limit
// is exceeded.
func (b *Budget) AcquireForced() {
	if b.used.Add(1) > b.limit {
		b.EvictOne()
	}
}

// Release returns a descriptor.
func (b *Budget) Release() { b.used.Add(-1) }

// Limit returns the maximum number of descriptors.
func (b *Budget) Limit() int { return int(b.limit) }

// Used returns how many descriptors are in use or reserved.
func (b *Budget) Used() int { return int(b.used.Load()) }

// EvictOne closes one idle connection and reports whether there was one.
func (b *Budget) EvictOne() bool {
	b.mu.Lock()
	registered := b.evictors
	b.mu.Unlock()
	for _, evict := range registered {
		if (*evict)() {
			return true
		}
	}
	return false
}

// Share is the part of a Budget that one cluster may use: a reserved number of descriptors and, beyond it, descriptors that no
// share has reserved. Its methods may be called concurrently.
type Share struct {
	budget *Budget

	mu              sync.Mutex
	reserved, limit int64
	used            int64
	evictors        []*func() bool
}

// Share reserves descriptors for one user until Close. The share may acquire up to limit descriptors; 0 means that only the
// budget limits it.
func (b *Budget) Share(reserved, limit int) *Share {
	s := &Share{budget: b}
	s.Resize(reserved, limit)
	return s
}

// Resize changes the reservation and the limit. Descriptors in use are not released.
func (s *Share) Resize(reserved, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// charge returns how many descriptors of the budget the share accounts for with a reservation.
	charge := func(reserved int64) int64 { return reserved + max(s.used-reserved, 0) }
	s.budget.used.Add(charge(int64(reserved)) - charge(s.reserved))
	s.reserved, s.limit = int64(reserved), int64(limit)
}

// Close ends the reservation. Descriptors in use stay counted until Release.
func (s *Share) Close() { s.Resize(0, 0) }

// Limit returns how many descriptors the share may have in use.
func (s *Share) Limit() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit > 0 {
		return int(s.limit)
	}
	return s.budget.Limit()
}

// Used returns how many descriptors the share has in use.
func (s *Share) Used() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.used)
}

// Acquire reserves a descriptor. If none is available, it evicts an idle connection; it returns false if there is no idle
// connection either.
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
	withinReservation := s.used <= s.reserved
	s.mu.Unlock()
	if withinReservation || s.budget.Acquire() { // without s.mu: eviction calls Release, possibly of this share
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A descriptor released in the meantime was returned to the budget, because s.used still included this failed one. If s.used
	// is now below the reservation, count it as reserved again.
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
	registered := s.evictors
	s.mu.Unlock()
	for _, evict := range registered {
		if (*evict)() {
			return true
		}
	}
	return false
}

// RegisterEvictor registers fn as Budget.RegisterEvictor does. A shortage of other users calls fn only while this share exceeds its
// reservation.
func (s *Share) RegisterEvictor(fn func() bool) (unregister func()) {
	p := &fn
	s.mu.Lock()
	s.evictors = append(slices.Clone(s.evictors), p)
	s.mu.Unlock()
	unregisterFromBudget := s.budget.RegisterEvictor(func() bool { return s.exceedsReservation() && fn() })
	return func() {
		unregisterFromBudget()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.evictors = slices.DeleteFunc(slices.Clone(s.evictors), func(q *func() bool) bool { return q == p })
	}
}
