// Package ratelimit limits the request rate of each of many keys. Its memory does not grow with the number of keys.
//
// The algorithm is GCRA (generic cell rate algorithm, ITU-T I.371), a token bucket that stores a single time for each key. Keys
// are stored in a set-associative table, where a key that is back to its full burst frees its slot. If all slots of a set are in
// use, a new key shares one limit with all keys of its shard that found no slot. A flood of new keys therefore limits new keys and
// evicts no known key.
package ratelimit

import (
	"fmt"
	"math"
	"sync"
	"time"
)

const (
	shards = 64
	ways   = 16 // slots of a set
)

// Table applies one limit to each of its keys. It is safe for concurrent use. It reads no clock: time is an argument.
type Table struct {
	interval  time.Duration // time between two requests of a key at its rate
	tolerance time.Duration // how far ahead of its rate a key may be
	burst     int
	sets      uint64 // number of sets in a shard
	shards    [shards]shard
}

type shard struct {
	mu            sync.Mutex
	slots         []slot // allocated at the first request
	sharedArrival int64  // theoretical arrival time shared by all keys that found no free slot
	sharedCount   uint64 // requests counted against sharedArrival
}

// slot is a key and its theoretical arrival time in GCRA, at which the key is back to its full burst.
type slot struct {
	key     uint64
	arrival int64 // in nanoseconds, like now in Allow
}

// Decision is the result of checking a request against the limit.
type Decision struct {
	OK         bool
	Remaining  int           // requests of the burst that are still available
	Reset      time.Duration // time until the full burst is available again
	RetryAfter time.Duration // time until the next request is allowed, if OK is false
}

// New returns a table with a rate in requests per second and a burst in requests. keys is the expected number of keys that are
// below their full burst at the same time; the table uses 32 bytes for each of them.
func New(rate float64, burst, keys int) (*Table, error) {
	switch {
	case !(rate > 0 && rate <= 1e9):
		return nil, fmt.Errorf("rate: want more than 0 and at most 1000000000, not %v", rate)
	case burst < 1 || burst > 1e9:
		return nil, fmt.Errorf("burst: want 1 to 1000000000, not %d", burst)
	case keys < 1 || keys > 1<<26:
		return nil, fmt.Errorf("keys: want 1 to %d, not %d", 1<<26, keys)
	}
	interval := max(time.Duration(float64(time.Second)/rate), 1)
	if float64(interval)*float64(burst) > math.MaxInt64/4 {
		return nil, fmt.Errorf("burst: %d requests at a rate of %v per second take more than 73 years to refill", burst, rate)
	}
	t := &Table{interval: interval, tolerance: interval * time.Duration(burst-1), burst: burst}
	t.sets = uint64(max(2*keys/shards/ways, 1))
	return t, nil
}

// Allow checks and counts a request of the key with a hash. Hashes must be uniformly distributed, and clients that choose keys
// must not be able to predict them. If now goes back, no correction is made: the key is then further ahead of its rate.
func (t *Table) Allow(now time.Duration, hash uint64) Decision {
	hash = max(hash, 1) // 0 marks a free slot
	s := &t.shards[hash%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slots == nil {
		s.slots = make([]slot, t.sets*ways)
	}
	first := (hash / shards) % t.sets * ways
	set := s.slots[first : first+ways]
	var free *slot
	for i := range set {
		if set[i].key == hash {
			return t.count(now, &set[i].arrival)
		}
		if free == nil && set[i].arrival <= int64(now) { // back to its full burst, which is the same as unknown
			free = &set[i]
		}
	}
	if free == nil {
		s.sharedCount++
		return t.count(now, &s.sharedArrival)
	}
	*free = slot{key: hash}
	return t.count(now, &free.arrival)
}

// count applies GCRA to a request. It advances arrival, the key's theoretical arrival time, if the request is allowed.
func (t *Table) count(now time.Duration, arrival *int64) Decision {
	start := max(time.Duration(*arrival), now)
	ahead := start - now
	if ahead > t.tolerance {
		return Decision{Reset: ahead, RetryAfter: ahead - t.tolerance}
	}
	*arrival = int64(start + t.interval)
	return Decision{OK: true, Remaining: int((t.tolerance - ahead) / t.interval), Reset: ahead + t.interval}
}

// Burst returns the limit's burst.
func (t *Table) Burst() int { return t.burst }

// Window returns the time in which an exhausted burst becomes fully available again.
func (t *Table) Window() time.Duration { return t.interval * time.Duration(t.burst) }

// SharedCount returns how many requests were counted against a limit shared with other keys because no slot was free.
func (t *Table) SharedCount() (n uint64) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += s.sharedCount
		s.mu.Unlock()
	}
	return n
}
