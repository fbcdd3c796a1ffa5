// Package ratelimit limits the request rate of each of many keys, in memory that does not grow with their number.
//
// The limit is GCRA, a token bucket that is stored as one time for each key (ITU-T I.371; the generic cell rate algorithm).
// Keys are stored in a table of sets, where a key that is back to its full burst frees its slot. If all slots of a set are in
// use, a new key is counted together with all others of its shard that found no slot: a flood of new keys limits new keys and
// evicts none.
package ratelimit

import (
	"fmt"
	"math"
	"sync"
	"time"
)

const (
	shards = 64
	ways   = 16 // keys of a set
)

// Table is one limit over all its keys. Its methods may be called by several goroutines at once; time is an argument.
type Table struct {
	gap       time.Duration // between two requests of a key at its rate
	tolerance time.Duration // how far ahead of its rate a key may be
	burst     int
	sets      uint64 // of a shard
	shards    [shards]shard
}

type shard struct {
	mu    sync.Mutex
	slots []slot // made at the first request
	rest  int64  // of those that found no room
	other uint64 // requests counted so
}

// slot is a key and the time at which it is back to its full burst (GCRA's theoretical arrival time).
type slot struct {
	key  uint64
	full int64
}

// Decision is the limit's decision about a request.
type Decision struct {
	OK         bool
	Remaining  int           // requests that are left of the burst
	Reset      time.Duration // until the full burst is available again
	RetryAfter time.Duration // until one more request is allowed, if OK is false
}

// New returns a table for a rate in requests a second, a burst in requests, and so many keys that are below their full
// burst at the same time. It takes 32 bytes for each of them.
func New(rate float64, burst, keys int) (*Table, error) {
	switch {
	case !(rate > 0 && rate <= 1e9):
		return nil, fmt.Errorf("rate: want more than 0 and at most 1000000000, not %v", rate)
	case burst < 1 || burst > 1e9:
		return nil, fmt.Errorf("burst: want 1 to 1000000000, not %d", burst)
	case keys < 1 || keys > 1<<26:
		return nil, fmt.Errorf("keys: want 1 to %d, not %d", 1<<26, keys)
	}
	gap := max(time.Duration(float64(time.Second)/rate), 1)
	if float64(gap)*float64(burst) > math.MaxInt64/4 {
		return nil, fmt.Errorf("burst: %d at %v a second take too long to come back", burst, rate)
	}
	t := &Table{gap: gap, tolerance: gap * time.Duration(burst-1), burst: burst}
	t.sets = uint64(max(2*keys/shards/ways, 1))
	return t, nil
}

// Allow counts a request of the key with this hash. The hash has to be even and unknown to who chooses the keys. Readings of
// time that go back count as they are: a key is then further ahead.
func (t *Table) Allow(now time.Duration, hash uint64) Decision {
	hash = max(hash, 1) // 0 marks a free slot
	s := &t.shards[hash%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slots == nil {
		s.slots = make([]slot, t.sets*ways)
	}
	at := (hash / shards) % t.sets * ways
	set := s.slots[at : at+ways]
	var free *slot
	for i := range set {
		if set[i].key == hash {
			return t.count(now, &set[i].full)
		}
		if free == nil && set[i].full <= int64(now) { // back to its full burst: as if it had never asked
			free = &set[i]
		}
	}
	if free == nil {
		s.other++
		return t.count(now, &s.rest)
	}
	*free = slot{key: hash}
	return t.count(now, &free.full)
}

func (t *Table) count(now time.Duration, full *int64) Decision {
	at := max(time.Duration(*full), now)
	ahead := at - now
	if ahead > t.tolerance {
		return Decision{Reset: ahead, RetryAfter: ahead - t.tolerance}
	}
	*full = int64(at + t.gap)
	return Decision{OK: true, Remaining: int((t.tolerance - ahead) / t.gap), Reset: ahead + t.gap}
}

// Burst returns the limit's burst.
func (t *Table) Burst() int { return t.burst }

// Window returns the time in which a full burst becomes available.
func (t *Table) Window() time.Duration { return t.gap * time.Duration(t.burst) }

// SharedCount returns how many requests were counted together with those of other keys, for lack of room.
func (t *Table) SharedCount() (n uint64) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += s.other
		s.mu.Unlock()
	}
	return n
}
