package lease

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"robindrum/internal/unknownfields"
)

// Table is the state of all leases. Each command takes the term of the leader that issued it and a reading of that leader's clock.
type Table struct {
	Term         uint64               `json:"term"`
	Now          time.Duration        `json:"now"` // the latest clock reading of the term
	LastToken    uint64               `json:"last_token"`
	Leases       map[string]*Lease    `json:"leases"`
	Incarnations map[string]uint64    `json:"births"` // the latest incarnation of each member that holds or waits for a lease, by name
	Unknown      unknownfields.Fields `json:"-"`      // fields written by a newer version
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{Leases: map[string]*Lease{}, Incarnations: map[string]uint64{}}
}

// MarshalJSON encodes the table, including its unknown fields.
func (t Table) MarshalJSON() ([]byte, error) {
	type plain Table
	return unknownfields.Marshal(plain(t), t.Unknown)
}

// UnmarshalJSON decodes a table and keeps unknown fields.
func (t *Table) UnmarshalJSON(text []byte) error {
	type plain Table
	return unknownfields.Unmarshal(text, (*plain)(t), &t.Unknown)
}

// Restore decodes a table that was encoded as JSON, and validates it.
func Restore(text []byte) (*Table, error) {
	return unknownfields.Restore("leases", text, NewTable())
}

// Validate returns an error if no sequence of commands can produce this table. It rejects tables that could grant a token twice, which
// would defeat fencing.
func (t *Table) Validate() error {
	switch {
	case t.Leases == nil || len(t.Leases) > maxLeases:
		return fmt.Errorf("invalid table: leases must be set and at most %d, got %d", maxLeases, len(t.Leases))
	case t.Incarnations == nil || len(t.Incarnations) > maxMembers:
		return fmt.Errorf("invalid table: members must be set and at most %d, got %d", maxMembers, len(t.Incarnations))
	case t.LastToken == math.MaxUint64 || t.Term == math.MaxUint64:
		return errors.New("invalid table: tokens or terms are exhausted")
	}
	for name, lease := range t.Leases {
		if lease == nil || name == "" || len(name) > maxNameBytes || len(lease.Waiters) > maxWaitersPerLease {
			return fmt.Errorf("invalid lease %q: must be set, have a name of 1 to %d bytes and at most %d waiters", name, maxNameBytes, maxWaitersPerLease)
		}
		if err := lease.Rules.validate(); err != nil {
			return fmt.Errorf("lease %q: %w", name, err)
		}
		if lease.Token > t.LastToken {
			return fmt.Errorf("lease %q has token %d, but the last token granted is %d", name, lease.Token, t.LastToken)
		}
	}
	return nil
}

// BeginTerm begins the term of a new leader. Every held lease and every MinHold restarts at now. It returns ErrStaleTerm unless the
// term is later than the current one.
func (t *Table) BeginTerm(term uint64, now time.Duration) error {
	if term <= t.Term {
		return ErrStaleTerm
	}
	before := t.Now
	t.Term, t.Now = term, now
	for _, lease := range t.Leases {
		lease.ExpiresAt = now + lease.Rules.Length
		lease.GrantedAt = now
		for i := range lease.Waiters { // keeps the order of the waiters and the time waited so far
			waiter := &lease.Waiters[i]
			waiter.WaitingSince = now - (before - waiter.WaitingSince)
			waiter.LastAskedAt = now
		}
	}
	return nil
}

// Acquire grants a lease to the member, or adds the member to the waiters and returns ErrWaiting. The holder may repeat Acquire if the
// reply was lost: it gets the same token, and its lease is renewed. rules apply only if the lease is new. A new incarnation of the
// holder waits like any other member, because the earlier incarnation may still be active.
func (t *Table) Acquire(term uint64, now time.Duration, name string, rules Rules, member Member) (Grant, error) {
	if err := t.advance(term, now); err != nil {
		return Grant{}, err
	}
	if err := errors.Join(rules.validate(), t.checkMember(member)); err != nil {
		return Grant{}, err
	}
	lease := t.Leases[name]
	if lease == nil {
		if name == "" || len(name) > maxNameBytes || len(t.Leases) >= maxLeases {
			return Grant{}, fmt.Errorf("lease %q: %w", name, ErrFull)
		}
		lease = &Lease{Rules: rules, GrantedAt: t.Now - rules.MinHold}
		t.Leases[name] = lease
	}
	t.expire(lease)
	if lease.Holder.sameProcess(member) && !lease.Revoked {
		return t.extend(lease), nil
	}
	if err := t.enqueue(lease, member); err != nil {
		return Grant{}, fmt.Errorf("waiters of lease %q: %w", name, err)
	}
	t.Incarnations[member.Name] = member.Incarnation
	next := t.nextWaiter(lease)
	if next == noWaiter || !lease.Waiters[next].Member.sameProcess(member) {
		return Grant{}, ErrWaiting
	}
	return t.grant(lease, next), nil
}

// Renew extends a held lease by its length, counted from now. It returns ErrNotHeld after the lease has expired or was revoked, even if
// no other member waits for the lease: by then the holder has stopped by its own clock and has to acquire the lease again.
func (t *Table) Renew(term uint64, now time.Duration, name string, member Member, token uint64) (Grant, error) {
	lease, err := t.heldBy(term, now, name, member, token)
	if err != nil {
		return Grant{}, err
	}
	t.expire(lease)
	if lease.Holder.Name == "" || lease.Revoked {
		return Grant{}, ErrNotHeld
	}
	if t.Incarnations[member.Name] > member.Incarnation { // the member has restarted, or two processes have the same name
		return Grant{}, ErrStaleIncarnation
	}
	return t.extend(lease), nil
}

// Release gives up a lease; the holder must have stopped using it. successor, if not empty, is the name of the member that has priority:
// it can acquire the lease for the lease's length before other members are considered. Releasing a lease that is not held has no
// effect.
func (t *Table) Release(term uint64, now time.Duration, name string, member Member, token uint64, successor string) error {
	lease, err := t.heldBy(term, now, name, member, token)
	switch {
	case errors.Is(err, ErrNotHeld):
		return nil
	case err != nil:
		return err
	case len(successor) > maxNameBytes:
		return fmt.Errorf("successor must be at most %d bytes, got %d", maxNameBytes, len(successor))
	}
	lease.Holder, lease.Revoked, lease.Successor = Member{}, false, successor
	lease.ExpiresAt = t.Now
	if successor != "" {
		lease.ExpiresAt = t.Now + lease.Rules.Length
	}
	return nil
}

// Revoke stops the renewal of a held lease, which then ends when the latest grant expires. The lease cannot end sooner, because the
// holder may not know of the revocation yet. Revoke returns ErrNotHeld if the lease is not held.
func (t *Table) Revoke(term uint64, now time.Duration, name string) error {
	if err := t.advance(term, now); err != nil {
		return err
	}
	lease := t.Leases[name]
	if lease == nil || lease.Holder.Name == "" {
		return ErrNotHeld
	}
	lease.Revoked = true
	return nil
}

// Forget deletes unused leases, and the incarnations of members that neither hold nor wait for a lease. Tokens keep increasing. After a
// member's later incarnation is forgotten, an earlier one may acquire leases again; it gets a new token like any other member.
func (t *Table) Forget(term uint64, now time.Duration) error {
	if err := t.advance(term, now); err != nil {
		return err
	}
	inUse := map[string]bool{}
	for _, name := range slices.Collect(maps.Keys(t.Leases)) {
		lease := t.Leases[name]
		t.expire(lease)
		if t.unused(lease) {
			delete(t.Leases, name)
			continue
		}
		inUse[lease.Holder.Name] = true
		for _, waiter := range lease.Waiters {
			inUse[waiter.Member.Name] = true
		}
	}
	maps.DeleteFunc(t.Incarnations, func(name string, _ uint64) bool { return !inUse[name] })
	return nil
}

// unused reports whether the lease has no holder and no waiters, its successor's priority has ended, and MinHold has passed.
func (t *Table) unused(lease *Lease) bool {
	free := lease.Holder.Name == "" && len(lease.Waiters) == 0
	return free && t.Now >= lease.ExpiresAt && t.Now-lease.GrantedAt >= lease.Rules.MinHold
}

// advance checks the term of a command and updates the table's clock to the command's reading. The clock never goes backwards: an
// earlier reading is ignored.
func (t *Table) advance(term uint64, now time.Duration) error {
	if term != t.Term {
		return ErrStaleTerm
	}
	t.Now = max(t.Now, now)
	return nil
}

// checkMember returns an error if the member may not acquire leases: its name or site is invalid, its incarnation is stale, or the
// table has reached maxMembers (Forget removes unused members).
func (t *Table) checkMember(member Member) error {
	if member.Name == "" || len(member.Name) > maxNameBytes || len(member.Site) > maxNameBytes {
		return fmt.Errorf("member: name must be 1 to %d bytes and site at most %d, got %d and %d", maxNameBytes, maxNameBytes, len(member.Name), len(member.Site))
	}
	latest, known := t.Incarnations[member.Name]
	switch {
	case known && member.Incarnation < latest:
		return ErrStaleIncarnation
	case !known && len(t.Incarnations) >= maxMembers:
		return fmt.Errorf("members: %w", ErrFull)
	}
	return nil
}

// enqueue adds a waiter, or updates the time of its latest request. A new incarnation replaces the earlier one and its waiting time
// restarts.
func (t *Table) enqueue(lease *Lease, member Member) error {
	if i := lease.waiterIndex(member.Name); i >= 0 {
		waiter := &lease.Waiters[i]
		if waiter.Member.Incarnation != member.Incarnation {
			waiter.WaitingSince = t.Now
		}
		waiter.Member, waiter.LastAskedAt = member, t.Now
		return nil
	}
	if len(lease.Waiters) >= maxWaitersPerLease {
		return ErrFull
	}
	lease.Waiters = append(lease.Waiters, Waiter{Member: member, WaitingSince: t.Now, LastAskedAt: t.Now})
	return nil
}

// expire ends a lease that has reached ExpiresAt, and removes waiters whose latest request is older than the lease's length.
func (t *Table) expire(lease *Lease) {
	if lease.Holder.Name != "" && t.Now >= lease.ExpiresAt {
		lease.Holder, lease.Revoked = Member{}, false
	}
	lease.Waiters = slices.DeleteFunc(lease.Waiters, func(waiter Waiter) bool {
		return t.Now-waiter.LastAskedAt > lease.Rules.Length
	})
}

// grant gives a free lease to the waiter with this index and issues a new token.
func (t *Table) grant(lease *Lease, waiter int) Grant {
	t.LastToken++
	lease.Holder = lease.Waiters[waiter].Member
	lease.Waiters = slices.Delete(lease.Waiters, waiter, waiter+1)
	lease.Token = t.LastToken
	lease.GrantedAt = t.Now
	lease.Successor = ""
	lease.Revoked = false
	return t.extend(lease)
}

// extend sets a held lease to expire after its length, counted from the table's clock.
func (t *Table) extend(lease *Lease) Grant {
	lease.ExpiresAt = t.Now + lease.Rules.Length
	return Grant{Token: lease.Token, Length: lease.Rules.Length}
}

// heldBy returns the lease that the member holds with the token, or ErrNotHeld.
func (t *Table) heldBy(term uint64, now time.Duration, name string, member Member, token uint64) (*Lease, error) {
	if err := t.advance(term, now); err != nil {
		return nil, err
	}
	lease := t.Leases[name]
	if lease == nil || !lease.Holder.sameProcess(member) || lease.Token != token {
		return nil, ErrNotHeld
	}
	return lease, nil
}
