// Package resource shares bounded amounts, such as bytes or open requests, among users with reservations.
package resource

import (
	"fmt"
	"sync"
)

// Pool is a bounded amount. It and its Shares may be used by several goroutines at once.
type Pool struct {
	mu    sync.Mutex
	limit int64
	used  int64 // reservations, and what shares use beyond them
}

// NewPool returns a pool of an amount.
func NewPool(most int64) *Pool { return &Pool{limit: most} }

// Used returns how much is reserved or in use.
func (p *Pool) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// Limit returns the full amount.
func (p *Pool) Limit() int64 { return p.limit }

// Share is one user's part of a Pool: a reservation, and beyond it what nobody has reserved.
type Share struct {
	pool            *Pool
	reserved, limit int64
	used            int64
}

// Share reserves own for one user until Close. The user may acquire up to most; 0 means no bound of its own. It returns an
// error if own is not available.
func (p *Pool) Share(own, most int64) (*Share, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if own < 0 || p.used+own > p.limit {
		return nil, fmt.Errorf("%d of %d cannot be kept: %d are booked", own, p.limit, p.used)
	}
	p.used += own
	return &Share{pool: p, reserved: own, limit: most}, nil
}

// Resize changes the reservation and the limit. What is in use stays so. If own is not available it returns an error and
// changes nothing.
func (s *Share) Resize(own, most int64) error {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	more := own + max(s.used-own, 0) - s.reserved - max(s.used-s.reserved, 0)
	if own < 0 || more > 0 && s.pool.used+more > s.pool.limit {
		return fmt.Errorf("%d of %d cannot be kept: %d are booked", own, s.pool.limit, s.pool.used)
	}
	s.pool.used += more
	s.reserved, s.limit = own, most
	return nil
}

// Close ends the reservation. What is in use is returned by Release.
func (s *Share) Close() { _ = s.Resize(0, s.limit) } // a smaller reservation is always available

// Acquire takes n, or returns false if less is available.
func (s *Share) Acquire(n int64) bool {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if n < 0 || s.limit > 0 && s.used+n > s.limit {
		return false
	}
	more := max(s.used+n-s.reserved, 0) - max(s.used-s.reserved, 0)
	if more > 0 && s.pool.used+more > s.pool.limit {
		return false
	}
	s.used += n
	s.pool.used += more
	return true
}

// Release returns n that was acquired.
func (s *Share) Release(n int64) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.pool.used -= max(s.used-s.reserved, 0) - max(s.used-n-s.reserved, 0)
	s.used -= n
}

// Used returns how much is in use.
func (s *Share) Used() int64 {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.used
}
