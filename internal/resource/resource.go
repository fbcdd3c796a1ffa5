// Package resource divides limited resources, such as memory for bodies or requests in flight, among users with reservations.
package resource

import (
	"fmt"
	"sync"
)

// Pool is a limited amount of a resource. The methods of a Pool and its Shares may be called concurrently.
type Pool struct {
	mu    sync.Mutex
	limit int64
	used  int64 // reservations, plus the amount that shares use beyond them
}

// NewPool returns a pool with a total amount.
func NewPool(amount int64) *Pool { return &Pool{limit: amount} }

// Used returns the amount that is reserved or in use.
func (p *Pool) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// Limit returns the total amount.
func (p *Pool) Limit() int64 { return p.limit }

// Share is the part of a Pool that one user may use: a reservation and, beyond it, any amount that is not reserved.
type Share struct {
	pool            *Pool
	reserved, limit int64
	used            int64
}

// Share reserves an amount for one user until Close. The share may acquire up to maximum; 0 means that only the pool limits it.
// Share returns an error if the reservation is negative or not available.
func (p *Pool) Share(reservation, maximum int64) (*Share, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reservation < 0 || p.used+reservation > p.limit {
		return nil, fmt.Errorf("cannot reserve %d of %d: %d already reserved or in use", reservation, p.limit, p.used)
	}
	p.used += reservation
	return &Share{pool: p, reserved: reservation, limit: maximum}, nil
}

// Resize changes the reservation and the limit. The amount in use is not released. If the reservation is negative or not
// available, Resize returns an error and changes nothing.
func (s *Share) Resize(reservation, maximum int64) error {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	delta := reservation + max(s.used-reservation, 0) - s.reserved - max(s.used-s.reserved, 0)
	if reservation < 0 || delta > 0 && s.pool.used+delta > s.pool.limit {
		return fmt.Errorf("cannot reserve %d of %d: %d already reserved or in use", reservation, s.pool.limit, s.pool.used)
	}
	s.pool.used += delta
	s.reserved, s.limit = reservation, maximum
	return nil
}

// Close ends the reservation. The amount in use stays counted until Release.
func (s *Share) Close() { _ = s.Resize(0, s.limit) } // a smaller reservation is always available

// Acquire takes n. It returns false, and takes nothing, if n is negative or not available.
func (s *Share) Acquire(n int64) bool {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if n < 0 || s.limit > 0 && s.used+n > s.limit {
		return false
	}
	delta := max(s.used+n-s.reserved, 0) - max(s.used-s.reserved, 0)
	if delta > 0 && s.pool.used+delta > s.pool.limit {
		return false
	}
	s.used += n
	s.pool.used += delta
	return true
}

// Release returns n, which must have been acquired.
func (s *Share) Release(n int64) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.pool.used -= max(s.used-s.reserved, 0) - max(s.used-n-s.reserved, 0)
	s.used -= n
}

// Used returns the amount in use.
func (s *Share) Used() int64 {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.used
}
