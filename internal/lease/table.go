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

// Table is the state of all leases. Each command takes the term of the leader that issued it and the reading of that leader's clock.
type Table struct {
	Term         uint64               `json:"term"`
	Now          time.Duration        `json:"now"` // the latest reading of the term
	LastToken    uint64               `json:"last_token"`
	Leases       map[string]*Lease    `json:"leases"`
	Incarnations map[string]uint64    `json:"births"` // the latest of each member that holds or waits, by name
	Unknown      unknownfields.Fields `json:"-"`      // fields written by a newer version
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{Leases: map[string]*Lease{}, Incarnations: map[string]uint64{}}
}

// MarshalJSON writes the table with its unknown fields.
func (t Table) MarshalJSON() ([]byte, error) {
	type plain Table
	return unknownfields.Marshal(plain(t), t.Unknown)
}

// UnmarshalJSON reads a table and keeps unknown fields.
func (t *Table) UnmarshalJSON(text []byte) error {
	type plain Table
	return unknownfields.Unmarshal(text, (*plain)(t), &t.Unknown)
}

// Restore reads a table that encoding/json wrote, and validates it.
func Restore(text []byte) (*Table, error) {
	return unknownfields.Restore("leases", text, NewTable())
}

// Validate returns an error where no sequence of commands can have led to the table. A token that could be granted twice would
// defeat fencing.
func (t *Table) Validate() error {
	switch {
	case t.Leases == nil || len(t.Leases) > maxLeases:
		return fmt.Errorf("not a table: %d leases, max %d", len(t.Leases), maxLeases)
	case t.Incarnations == nil || len(t.Incarnations) > maxMembers:
		return fmt.Errorf("not a table: %d members, max %d", len(t.Incarnations), maxMembers)
	case t.LastToken == math.MaxUint64 || t.Term == math.MaxUint64:
		return errors.New("not a table: no token or term is left")
	}
	for name, lease := range t.Leases {
		if lease == nil || name == "" || len(name) > maxNameBytes || len(lease.Waiters) > maxWaitersPerLease {
			return fmt.Errorf("%q is no lease", name)
		}
		if err := lease.Rules.validate(); err != nil {
			return fmt.Errorf("%q: %w", name, err)
		}
		if lease.Token > t.LastToken {
			return fmt.Errorf("%q has token %d, the last one granted is %d", name, lease.Token, t.LastToken)
		}
	}
	return nil
}

// BeginTerm begins a leader's term: every held lease, and every MinHold, counts from now on. It returns ErrStaleTerm unless the
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
		for i := range lease.Waiters { // in the same order, with the time waited so far
			waiter := &lease.Waiters[i]
			waiter.WaitingSince = now - (before - waiter.WaitingSince)
			waiter.LastAskedAt = now
		}
	}
	return nil
}

// Acquire grants a lease to the member, or puts it in line and returns ErrWaiting. The holder may repeat it where the reply was
// lost: it gets its token once more and its lease is renewed. rules count where the lease is new. A new incarnation of the holder
// waits like any other member, as nobody knows whether the earlier one still acts.
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
		return Grant{}, fmt.Errorf("the line of %q: %w", name, err)
	}
	t.Incarnations[member.Name] = member.Incarnation
	next := t.nextWaiter(lease)
	if next == noWaiter || !lease.Waiters[next].Member.sameProcess(member) {
		return Grant{}, ErrWaiting
	}
	return t.grant(lease, next), nil
}

// Renew extends a held lease by its length from now on. It returns ErrNotHeld once the lease has expired or was revoked, also where
// nobody else has asked for it: its holder has stopped by its own clock and acquires it anew.
func (t *Table) Renew(term uint64, now time.Duration, name string, member Member, token uint64) (Grant, error) {
	lease, err := t.heldBy(term, now, name, member, token)
	if err != nil {
		return Grant{}, err
	}
	t.expire(lease)
	if lease.Holder.Name == "" || lease.Revoked {
		return Grant{}, ErrNotHeld
	}
	if t.Incarnations[member.Name] > member.Incarnation { // restarted, or two processes are configured with one name
		return Grant{}, ErrStaleIncarnation
	}
	return t.extend(lease), nil
}

// Release gives a lease back; its holder must have stopped acting on it. successor, if not empty, names the member that goes first:
// it has the lease's length to ask before others are considered. Releasing a lease that is not held changes nothing.
func (t *Table) Release(term uint64, now time.Duration, name string, member Member, token uint64, successor string) error {
	lease, err := t.heldBy(term, now, name, member, token)
	switch {
	case errors.Is(err, ErrNotHeld):
		return nil
	case err != nil:
		return err
	case len(successor) > maxNameBytes:
		return fmt.Errorf("successor: %d bytes, max %d", len(successor), maxNameBytes)
	}
	lease.Holder, lease.Revoked, lease.Successor = Member{}, false, successor
	lease.ExpiresAt = t.Now
	if successor != "" {
		lease.ExpiresAt = t.Now + lease.Rules.Length
	}
	return nil
}

// Revoke stops the renewal of a held lease, which then ends with the length last granted. It cannot end sooner: its holder may not
// know yet. It returns ErrNotHeld where nobody holds the lease.
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

// Forget drops leases that nobody holds or waits for, and the incarnations of members that are in no lease. Tokens go on rising. An
// earlier incarnation whose successor was forgotten may ask again; it gets a new token like any other member.
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

// unused reports whether nobody holds or waits for the lease, and neither a successor's time nor MinHold is running.
func (t *Table) unused(lease *Lease) bool {
	free := lease.Holder.Name == "" && len(lease.Waiters) == 0
	return free && t.Now >= lease.ExpiresAt && t.Now-lease.GrantedAt >= lease.Rules.MinHold
}

// advance takes a command's reading of the clock. A reading that goes back counts as the latest one.
func (t *Table) advance(term uint64, now time.Duration) error {
	if term != t.Term {
		return ErrStaleTerm
	}
	t.Now = max(t.Now, now)
	return nil
}

// checkMember returns an error where the member may not ask: its name or site is invalid, its incarnation is stale, or the table
// has no room for its name (Forget makes room).
func (t *Table) checkMember(member Member) error {
	if member.Name == "" || len(member.Name) > maxNameBytes || len(member.Site) > maxNameBytes {
		return fmt.Errorf("member: a name of %d and a site of %d bytes, want 1 to %d", len(member.Name), len(member.Site), maxNameBytes)
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

// enqueue adds a waiter, or notes that it has asked again. A new incarnation replaces the earlier one and waits anew.
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

// expire ends a lease whose time is over, and drops waiters that have not asked for the lease's length.
func (t *Table) expire(lease *Lease) {
	if lease.Holder.Name != "" && t.Now >= lease.ExpiresAt {
		lease.Holder, lease.Revoked = Member{}, false
	}
	lease.Waiters = slices.DeleteFunc(lease.Waiters, func(waiter Waiter) bool {
		return t.Now-waiter.LastAskedAt > lease.Rules.Length
	})
}

// grant gives a free lease to the waiter with this index, under a new token.
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

// extend lets a held lease last for its length from now on.
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
