// Package lease is the state machine of leases that a quorum applies: who may do what only one process may do, with which
// fencing token. It has no clock, no I/O and no goroutine.
//
// Time is the reading of the leader's monotonic clock that a command carries. Readings of different leaders have nothing
// to do with each other: a command Lead begins each term, and counts every lease that is held anew from its reading on,
// as nobody knows how much of it is left. So a lease is never given away before its whole length has passed on the
// clock of one leader.
//
// Safety does not rest on any clock. Each grant has a token that is higher than all before it, over all names, and whoever
// receives an act of a holder refuses one with a token older than the highest it has seen (see Fence).
//
// The same commands give the same state and results on every replica. A Table must be used by one goroutine at a time.
package lease

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"robindrum/internal/unknownfields"
)

// Bounds of a table. Danger: names and members come from outside, and the table is in every snapshot.
const (
	maxLeases  = 1024
	maxWaiters = 1024 // of one lease
	maxMembers = 4096 // whose births are known
	maxName    = 128  // bytes
	// MinLength and MostLength bound how long a lease is.
	MinLength = 100 * time.Millisecond
	MaxLength = time.Hour
)

// Member is a process that asks for leases. Births of one name rise with each start of its process.
type Member struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"birth"`
	Site        string `json:"site,omitempty"`
	Load        int    `json:"load,omitempty"` // duties that it has; the least loaded is preferred
}

func (m Member) is(o Member) bool { return m.Name == o.Name && m.Incarnation == o.Incarnation }

// Rules are of one lease, given when it is asked for the first time.
type Rules struct {
	Length time.Duration `json:"length"`
	// Site is preferred; empty: none is.
	Site string `json:"site,omitempty"`
	// MaxWait is how long one who waits may be passed over by preference; then the longest in line is next.
	MaxWait time.Duration `json:"patience,omitempty"`
	// MinHold is the least time between two grants to different holders, against flapping.
	MinHold time.Duration `json:"floor,omitempty"`
}

func (r Rules) check() error {
	switch {
	case r.Length < MinLength || r.Length > MaxLength:
		return fmt.Errorf("length: want %v to %v, not %v", MinLength, MaxLength, r.Length)
	case r.MaxWait < 0 || r.MaxWait > MaxLength:
		return fmt.Errorf("patience: want 0 to %v, not %v", MaxLength, r.MaxWait)
	case r.MinHold < 0 || r.MinHold > MaxLength:
		return fmt.Errorf("floor: want 0 to %v, not %v", MaxLength, r.MinHold)
	case len(r.Site) > maxName:
		return fmt.Errorf("site: %d bytes, %d at most", len(r.Site), maxName)
	}
	return nil
}

// Grant is what a holder is told. Its time counts from when it sent what was granted, never from when it heard of it.
type Grant struct {
	Token  uint64        `json:"token"`
	Length time.Duration `json:"length"`
}

// What an asker may be told.
var (
	// ErrWaiting is that another one holds it; the asker stands in line for as long as it goes on asking.
	ErrWaiting = errors.New("another one holds it")
	// ErrNotHeld is that the lease is not the asker's, or not with this token.
	ErrNotHeld = errors.New("the lease is not held with this token")
	// ErrStaleIncarnation is that a process of the same name with a later birth is known.
	ErrStaleIncarnation = errors.New("a later process of this name is known")
	// ErrStaleTerm is that the command is of a leader that is none any more.
	ErrStaleTerm = errors.New("of an earlier term")
	// ErrFull is that a bound of the table is reached.
	ErrFull = errors.New("the table is full")
)

// Waiter stands in line.
type Waiter struct {
	Member       Member        `json:"member"`
	WaitingSince time.Duration `json:"since"`
	LastAskedAt  time.Duration `json:"asked"` // for the last time
}

// Lease is one name's. Its holder's name is empty where nobody has it.
type Lease struct {
	Rules     Rules                `json:"rules"`
	Holder    Member               `json:"holder"`
	Token     uint64               `json:"token"`             // of the last grant
	ExpiresAt time.Duration        `json:"until"`             // may not be given away before
	GrantedAt time.Duration        `json:"granted"`           // the last time to another holder
	Revoked   bool                 `json:"revoked,omitempty"` // no renewal; it is given away when its time is over
	Successor string               `json:"heir,omitempty"`    // whom it was left to
	Waiters   []Waiter             `json:"line,omitempty"`
	Unknown   unknownfields.Fields `json:"-"` // handed on
}

// MarshalJSON and UnmarshalJSON keep the fields that this program does not know.
func (l Lease) MarshalJSON() ([]byte, error) {
	type plain Lease
	return unknownfields.Marshal(plain(l), l.Unknown)
}

// UnmarshalJSON is the other way of MarshalJSON.
func (l *Lease) UnmarshalJSON(text []byte) error {
	type plain Lease
	return unknownfields.Unmarshal(text, (*plain)(l), &l.Unknown)
}

// Table is all leases.
type Table struct {
	Term         uint64               `json:"term"`
	Now          time.Duration        `json:"now"` // the latest reading of the term
	LastToken    uint64               `json:"last_token"`
	Leases       map[string]*Lease    `json:"leases"`
	Incarnations map[string]uint64    `json:"births"` // the latest of each name that holds or waits
	Unknown      unknownfields.Fields `json:"-"`
}

// MarshalJSON and UnmarshalJSON keep the fields that this program does not know.
func (t Table) MarshalJSON() ([]byte, error) {
	type plain Table
	return unknownfields.Marshal(plain(t), t.Unknown)
}

// UnmarshalJSON is the other way of MarshalJSON.
func (t *Table) UnmarshalJSON(text []byte) error {
	type plain Table
	return unknownfields.Unmarshal(text, (*plain)(t), &t.Unknown)
}

// NewTable makes an empty table.
func NewTable() *Table {
	return &Table{Leases: map[string]*Lease{}, Incarnations: map[string]uint64{}}
}

// Restore reads a table as encoding/json wrote it. A table that no commands can have led to is an error: a token that is
// granted twice would defeat fencing.
func Restore(text []byte) (*Table, error) {
	return unknownfields.Restore("leases", text, NewTable())
}

// Validate returns an error where no sequence of commands can have led to the table.
func (t *Table) Validate() error {
	if t.Leases == nil || t.Incarnations == nil || len(t.Leases) > maxLeases || len(t.Incarnations) > maxMembers || t.LastToken == math.MaxUint64 || t.Term == math.MaxUint64 {
		return errors.New("not a table")
	}
	for name, l := range t.Leases {
		if l == nil || name == "" || len(name) > maxName || len(l.Waiters) > maxWaiters {
			return fmt.Errorf("%q is no lease", name)
		}
		if err := l.Rules.check(); err != nil {
			return fmt.Errorf("%q: %w", name, err)
		}
		if l.Token > t.LastToken {
			return fmt.Errorf("%q has token %d, the last one granted is %d", name, l.Token, t.LastToken)
		}
	}
	return nil
}

// BeginTerm begins a term. Every lease that is held, and every floor, counts from now on.
func (t *Table) BeginTerm(term uint64, now time.Duration) error {
	if term <= t.Term {
		return ErrStaleTerm
	}
	before := t.Now
	t.Term, t.Now = term, now
	for _, l := range t.Leases {
		l.ExpiresAt, l.GrantedAt = now+l.Rules.Length, now
		for i := range l.Waiters { // who waited keeps its place and what it waited
			w := &l.Waiters[i]
			w.WaitingSince, w.LastAskedAt = now-(before-w.WaitingSince), now
		}
	}
	return nil
}

// at takes a command's reading of the clock; one that goes back counts as the latest, so that time never does.
func (t *Table) at(term uint64, now time.Duration) error {
	if term != t.Term {
		return ErrStaleTerm
	}
	t.Now = max(t.Now, now)
	return nil
}

// known takes the birth of a member that asks.
func (t *Table) known(m Member) error {
	if m.Name == "" || len(m.Name) > maxName || len(m.Site) > maxName {
		return fmt.Errorf("member: a name of %d and a site of %d bytes, want 1 to %d", len(m.Name), len(m.Site), maxName)
	}
	b, ok := t.Incarnations[m.Name]
	switch {
	case ok && m.Incarnation < b:
		return ErrStaleIncarnation
	case !ok && len(t.Incarnations) >= maxMembers: // Forget makes room
		return fmt.Errorf("members: %w", ErrFull)
	}
	return nil
}

// Acquire asks for a lease, or for the same once more where the answer was lost: its holder gets the token that it has.
// rules count where the lease is new. A process that has restarted waits like any other, as nobody knows whether the
// one before it still acts.
func (t *Table) Acquire(term uint64, now time.Duration, name string, rules Rules, m Member) (Grant, error) {
	if err := t.at(term, now); err != nil {
		return Grant{}, err
	}
	if err := errors.Join(rules.check(), t.known(m)); err != nil {
		return Grant{}, err
	}
	l := t.Leases[name]
	if l == nil {
		if name == "" || len(name) > maxName || len(t.Leases) >= maxLeases {
			return Grant{}, fmt.Errorf("lease %q: %w", name, ErrFull)
		}
		l = &Lease{Rules: rules, GrantedAt: t.Now - rules.MinHold}
		t.Leases[name] = l
	}
	t.free(l)
	if l.Holder.is(m) && !l.Revoked {
		return t.renew(l), nil
	}
	if !t.wait(l, m) {
		return Grant{}, fmt.Errorf("the line of %q: %w", name, ErrFull)
	}
	t.Incarnations[m.Name] = m.Incarnation
	if next := t.next(l); next >= 0 && l.Waiters[next].Member.is(m) {
		return t.grant(l, next), nil
	}
	return Grant{}, ErrWaiting
}

// wait puts m in line, or notes that it asked again. A later birth takes the place of an earlier one.
func (t *Table) wait(l *Lease, m Member) bool {
	for i := range l.Waiters {
		if w := &l.Waiters[i]; w.Member.Name == m.Name {
			if w.Member.Incarnation != m.Incarnation {
				w.WaitingSince = t.Now
			}
			w.Member, w.LastAskedAt = m, t.Now
			return true
		}
	}
	if len(l.Waiters) >= maxWaiters {
		return false
	}
	l.Waiters = append(l.Waiters, Waiter{Member: m, WaitingSince: t.Now, LastAskedAt: t.Now})
	return true
}

// free takes a lease from a holder whose time is over, and drops who has not asked for a length.
func (t *Table) free(l *Lease) {
	if l.Holder.Name != "" && t.Now >= l.ExpiresAt {
		l.Holder, l.Revoked = Member{}, false
	}
	l.Waiters = slices.DeleteFunc(l.Waiters, func(w Waiter) bool { return t.Now-w.LastAskedAt > l.Rules.Length })
}

// next is who gets a lease that is free, by place in line; -1: nobody yet. An heir is first; then whoever has waited for
// longer than the patience, the longest first; then the preferred site, the least loaded, the longest in line.
func (t *Table) next(l *Lease) int {
	if l.Holder.Name != "" || len(l.Waiters) == 0 {
		return -1
	}
	heir := slices.IndexFunc(l.Waiters, func(w Waiter) bool { return w.Member.Name == l.Successor })
	if l.Successor != "" && heir >= 0 {
		return heir
	}
	if t.Now-l.GrantedAt < l.Rules.MinHold || l.Successor != "" && t.Now < l.ExpiresAt { // an heir has a length to come
		return -1
	}
	return t.best(l)
}

// best is who of those in line would have a lease that is free; there is one at the least.
func (t *Table) best(l *Lease) int {
	best := 0
	for i := range l.Waiters {
		if t.before(l, &l.Waiters[i], &l.Waiters[best]) {
			best = i
		}
	}
	return best
}

func (t *Table) before(l *Lease, a, b *Waiter) bool {
	late := func(w *Waiter) int {
		if t.Now-w.WaitingSince > l.Rules.MaxWait {
			return 0
		}
		return 1
	}
	if x, y := late(a), late(b); x != y || x == 0 {
		return cmp.Or(cmp.Compare(x, y), cmp.Compare(a.WaitingSince, b.WaitingSince)) < 0
	}
	away := func(w *Waiter) int {
		if l.Rules.Site != "" && w.Member.Site != l.Rules.Site {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(away(a), away(b)), cmp.Compare(a.Member.Load, b.Member.Load), cmp.Compare(a.WaitingSince, b.WaitingSince)) < 0
}

// NextGrant tells one who waits when a lease may be free at the earliest, counted from the latest reading of the clock, and whether
// it would be first then. Who asks just then, and others now and then, hands over quickly without many asking.
func (t *Table) NextGrant(name string, m Member) (left time.Duration, first bool) {
	l := t.Leases[name]
	if l == nil || len(l.Waiters) == 0 {
		return 0, false
	}
	at := l.GrantedAt + l.Rules.MinHold
	if l.Holder.Name != "" || l.Successor != "" {
		at = max(at, l.ExpiresAt)
	}
	return max(at-t.Now, 0), l.Waiters[t.best(l)].Member.is(m)
}

// grant gives a lease to one in line, under a new token.
func (t *Table) grant(l *Lease, i int) Grant {
	l.Holder = l.Waiters[i].Member
	l.Waiters = slices.Delete(l.Waiters, i, i+1)
	t.LastToken++
	l.Token, l.GrantedAt, l.Successor, l.Revoked = t.LastToken, t.Now, "", false
	return t.renew(l)
}

func (t *Table) renew(l *Lease) Grant {
	l.ExpiresAt = t.Now + l.Rules.Length
	return Grant{Token: l.Token, Length: l.Rules.Length}
}

// held gives a lease that m has with a token.
func (t *Table) held(term uint64, now time.Duration, name string, m Member, token uint64) (*Lease, error) {
	if err := t.at(term, now); err != nil {
		return nil, err
	}
	l := t.Leases[name]
	if l == nil || !l.Holder.is(m) || l.Token != token {
		return nil, ErrNotHeld
	}
	return l, nil
}

// Renew has the lease last for its length from now on. Once its time is over it is lost, also where nobody else has
// asked: its holder has stopped by its own count, and asks anew.
func (t *Table) Renew(term uint64, now time.Duration, name string, m Member, token uint64) (Grant, error) {
	l, err := t.held(term, now, name, m, token)
	if err != nil {
		return Grant{}, err
	}
	switch t.free(l); {
	case l.Holder.Name == "", l.Revoked:
		return Grant{}, ErrNotHeld
	case t.Incarnations[m.Name] > m.Incarnation: // its process has been started again, or its name stands in two files
		return Grant{}, ErrStaleIncarnation
	}
	return t.renew(l), nil
}

// Release gives a lease back, by a holder that has stopped. heir, if not empty, is who is to have it next: it has a length
// to ask for it before others are considered. Released once more, nothing changes.
func (t *Table) Release(term uint64, now time.Duration, name string, m Member, token uint64, heir string) error {
	l, err := t.held(term, now, name, m, token)
	switch {
	case errors.Is(err, ErrNotHeld):
		return nil
	case err != nil:
		return err
	case len(heir) > maxName:
		return fmt.Errorf("heir: %d bytes, %d at most", len(heir), maxName)
	}
	l.Holder, l.Revoked, l.Successor = Member{}, false, heir
	l.ExpiresAt = t.Now
	if heir != "" {
		l.ExpiresAt = t.Now + l.Rules.Length
	}
	return nil
}

// Revoke has a lease end with the length that its holder was granted last: it is not renewed any more. Nobody can take it
// from a holder that does not hear of it sooner.
func (t *Table) Revoke(term uint64, now time.Duration, name string) error {
	if err := t.at(term, now); err != nil {
		return err
	}
	l := t.Leases[name]
	if l == nil || l.Holder.Name == "" {
		return ErrNotHeld
	}
	l.Revoked = true
	return nil
}

// Forget drops leases that nobody holds or waits for, and births of names that are in no lease. Tokens go on rising.
// Danger: a later process's birth is forgotten with it, and an earlier one that still runs may ask again; it gets a
// new token like any other.
func (t *Table) Forget(term uint64, now time.Duration) error {
	if err := t.at(term, now); err != nil {
		return err
	}
	named := map[string]bool{}
	for _, name := range slices.Collect(maps.Keys(t.Leases)) {
		l := t.Leases[name]
		t.free(l)
		if l.Holder.Name == "" && len(l.Waiters) == 0 && t.Now >= l.ExpiresAt && t.Now-l.GrantedAt >= l.Rules.MinHold {
			delete(t.Leases, name)
			continue
		}
		named[l.Holder.Name] = true
		for _, w := range l.Waiters {
			named[w.Member.Name] = true
		}
	}
	maps.DeleteFunc(t.Incarnations, func(name string, _ uint64) bool { return !named[name] })
	return nil
}
