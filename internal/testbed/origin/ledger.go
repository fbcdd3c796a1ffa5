package origin

import "sync"

// Ledger counts the effects of requests on a group of origins, by key. Its methods are safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	runs       map[string]int // by key
	duplicates int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string]int{}} }

// record counts one run of a request. The group drops the repeat of an idempotent request, so that a repeat has no effect.
func (l *Ledger) record(key string, idempotent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs[key] > 0 {
		if idempotent {
			return
		}
		l.duplicates++
	}
	l.runs[key]++
}

// Effects returns the number of effects, and how many of them were not the first effect of their key.
func (l *Ledger) Effects() (all, duplicates int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, runs := range l.runs {
		all += runs
	}
	return all, l.duplicates
}

// addTo adds the ledger's effects to runs, by key.
func (l *Ledger) addTo(runs map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, n := range l.runs {
		runs[key] += n
	}
}

// DuplicateEffects returns the number of keys that had more than one effect over all groups together.
func DuplicateEffects(groups ...*Ledger) int {
	runs := map[string]int{}
	for _, l := range groups {
		l.addTo(runs)
	}
	duplicates := 0
	for _, n := range runs {
		if n > 1 {
			duplicates++
		}
	}
	return duplicates
}
