package origin

import "sync"

// Ledger counts the effects of requests on a group of origins, by key. Its methods may be called by several goroutines at once.
type Ledger struct {
	mu         sync.Mutex
	runs       map[string]int // by key
	duplicates int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string]int{}} }

// record counts one run of a request. The group drops the repeat of an idempotent request, which has no effect then.
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

// Effects returns how many effects there were, and how many of them were not the first one of their key.
func (l *Ledger) Effects() (all, duplicates int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, runs := range l.runs {
		all += runs
	}
	return all, l.duplicates
}

// addTo adds the ledger's runs to those of other groups.
func (l *Ledger) addTo(runs map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, n := range l.runs {
		runs[key] += n
	}
}

// DuplicateEffects returns how many keys had more than one effect on all groups together.
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
