package backend

import "sync/atomic"

// Budget counts the descriptors that clients and backend connections hold together.
type Budget struct {
	limit int64
	used  atomic.Int64
	evict []func() bool
}

// NewBudget makes a budget of limit descriptors.
func NewBudget(limit int) *Budget { return &Budget{limit: int64(max(limit, 2))} }

// OnShort adds a way to free a descriptor: fn closes one idle connection and tells whether there was one.
func (b *Budget) OnShort(fn func() bool) { b.evict = append(b.evict, fn) }

// Take reserves a descriptor for a dial. Where none is left an idle connection makes room, if there is one.
func (b *Budget) Take() bool {
	for {
		u := b.used.Load()
		if u < b.limit {
			if b.used.CompareAndSwap(u, u+1) {
				return true
			}
		} else if !b.Room() {
			return false
		}
	}
}

// Force books a descriptor that is held already: an accepted connection. It makes room behind itself.
func (b *Budget) Force() {
	if b.used.Add(1) > b.limit {
		b.Room()
	}
}

// Give returns a descriptor.
func (b *Budget) Give() { b.used.Add(-1) }

// Limit is how many descriptors there are.
func (b *Budget) Limit() int { return int(b.limit) }

// Used is how many are held.
func (b *Budget) Used() int { return int(b.used.Load()) }

// Room closes one idle connection, and tells whether there was one.
func (b *Budget) Room() bool {
	for _, fn := range b.evict {
		if fn() {
			return true
		}
	}
	return false
}
