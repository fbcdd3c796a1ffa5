// Package resource shares bounded amounts (bytes, requests in hand) among users, each of which has a part of its own.
package resource

import (
	"fmt"
	"sync"
)

// Pool is a bounded amount. Its Shares may be used by several goroutines at once.
type Pool struct {
	mu    sync.Mutex
	limit int64
	used  int64 // booked: what shares own, and what they hold beyond that
}

// NewPool makes a pool of an amount.
func NewPool(most int64) *Pool { return &Pool{limit: most} }

// Used is what is held or owned, Most what there is.
func (p *Pool) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// Limit is the whole amount.
func (p *Pool) Limit() int64 { return p.limit }

// Share is one user's part: own is kept for it whatever the others do, the rest it takes from what nobody owns.
type Share struct {
	pool            *Pool
	reserved, limit int64
	used            int64
}

// Share books own for one user until End. It holds at most most; 0: as much as there is. Where own is not to be had
// beside what is booked already, that is an error.
func (p *Pool) Share(own, most int64) (*Share, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if own < 0 || p.used+own > p.limit {
		return nil, fmt.Errorf("%d of %d cannot be kept: %d are booked", own, p.limit, p.used)
	}
	p.used += own
	return &Share{pool: p, reserved: own, limit: most}, nil
}

// Resize changes what is its own and the most that it may hold. What it holds stays. Where own is not to be had that
// is an error, and nothing changes.
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

// Close gives back what is its own. What it still holds goes back with each Give.
func (s *Share) Close() { _ = s.Resize(0, s.limit) } // less can always be had

// Acquire books n, or tells that they are not to be had.
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

// Release ends the booking of n.
func (s *Share) Release(n int64) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.pool.used -= max(s.used-s.reserved, 0) - max(s.used-n-s.reserved, 0)
	s.used -= n
}

// Used is what is held.
func (s *Share) Used() int64 {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.used
}
