package lease

import (
	"cmp"
	"time"
)

// noWaiter is the index that nextWaiter returns if the lease cannot be granted to any waiter yet.
const noWaiter = -1

// nextWaiter returns the index of the waiter to which the lease can be granted now, or noWaiter. A successor has priority for the
// length of the lease after its release. Without a successor, or if the successor is not queued by then, preferredWaiter selects the
// waiter once MinHold has passed.
func (t *Table) nextWaiter(lease *Lease) int {
	if lease.Holder.Name != "" || len(lease.Waiters) == 0 {
		return noWaiter
	}
	if lease.Successor != "" {
		if successor := lease.waiterIndex(lease.Successor); successor >= 0 {
			return successor
		}
		if t.Now < lease.ExpiresAt {
			return noWaiter
		}
	}
	if t.Now-lease.GrantedAt < lease.Rules.MinHold {
		return noWaiter
	}
	return t.preferredWaiter(lease)
}

// preferredWaiter returns the index of the waiter that would be granted the lease if it were free. The lease must have at least one
// waiter.
func (t *Table) preferredWaiter(lease *Lease) int {
	preferred := 0
	for i := range lease.Waiters {
		if t.precedes(lease.Rules, &lease.Waiters[i], &lease.Waiters[preferred]) {
			preferred = i
		}
	}
	return preferred
}

// precedes reports whether waiter a is preferred to waiter b. Waiters past MaxWait come first, in order of arrival. The others are
// ordered by preferred site, then by load (lowest first), then by arrival.
func (t *Table) precedes(rules Rules, a, b *Waiter) bool {
	byArrival := cmp.Compare(a.WaitingSince, b.WaitingSince)
	aOverdue, bOverdue := t.overdue(rules, a), t.overdue(rules, b)
	if aOverdue != bOverdue {
		return aOverdue
	}
	if aOverdue {
		return byArrival < 0
	}
	aPreferred, bPreferred := rules.prefersSite(a.Member.Site), rules.prefersSite(b.Member.Site)
	if aPreferred != bPreferred {
		return aPreferred
	}
	return cmp.Or(cmp.Compare(a.Member.Load, b.Member.Load), byArrival) < 0
}

func (t *Table) overdue(rules Rules, waiter *Waiter) bool {
	return t.Now-waiter.WaitingSince > rules.MaxWait
}

func (r Rules) prefersSite(site string) bool {
	return r.Site == "" || r.Site == site
}

// NextGrant returns the shortest time after which the lease may be free, counted from the latest reading of the clock, and whether the
// member would then be granted the lease. The waiter that is next in line retries at that time and the others retry less often, so
// that a hand-over is quick but needs few requests.
func (t *Table) NextGrant(name string, member Member) (availableIn time.Duration, next bool) {
	lease := t.Leases[name]
	if lease == nil || len(lease.Waiters) == 0 {
		return 0, false
	}
	availableAt := lease.GrantedAt + lease.Rules.MinHold
	if lease.Holder.Name != "" || lease.Successor != "" {
		availableAt = max(availableAt, lease.ExpiresAt)
	}
	preferred := lease.Waiters[t.preferredWaiter(lease)].Member
	return max(availableAt-t.Now, 0), preferred.sameProcess(member)
}
