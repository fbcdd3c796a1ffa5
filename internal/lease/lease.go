// Package lease implements the replicated state machine for leases. A lease lets at most one process at a time perform an exclusive
// task; each grant of a lease has a fencing token. The package reads no clock, does no I/O and starts no goroutines.
//
// Each command carries a reading of the quorum leader's monotonic clock. Readings of different leaders are unrelated, so
// Table.BeginTerm restarts every held lease at full length when a new leader takes over: the remaining time is unknown. A lease is
// therefore never granted to another holder before its full length has passed on the clock of a single leader.
//
// Safety does not depend on any clock. Each grant has a token that is higher than all earlier tokens of all leases, and receivers of a
// holder's requests reject tokens lower than the highest one they have seen (see Fence).
//
// The same commands produce the same state and results on every replica. A Table is not safe for concurrent use.
package lease

import (
	"errors"
	"fmt"
	"time"

	"robindrum/internal/unknownfields"
)

// Limits of a table. Lease names and members are external input, and the whole table is part of every snapshot.
const (
	maxLeases          = 1024
	maxWaitersPerLease = 1024
	maxMembers         = 4096 // members with a recorded incarnation
	maxNameBytes       = 128
)

// MinLength and MaxLength bound the length of a lease.
const (
	MinLength = 100 * time.Millisecond
	MaxLength = time.Hour
)

// Errors returned by the commands of a Table.
var (
	// ErrWaiting means that the lease is not granted to the caller yet. The caller is queued, and stays queued as long as it repeats
	// the request.
	ErrWaiting = errors.New("another member holds the lease")
	// ErrNotHeld means that the lease is not held, or not by the caller with this token.
	ErrNotHeld = errors.New("the lease is not held with this token")
	// ErrStaleIncarnation means that a process with the caller's name and a later incarnation is known.
	ErrStaleIncarnation = errors.New("a later incarnation of this member is known")
	// ErrStaleTerm means that the command was issued by the leader of another term.
	ErrStaleTerm = errors.New("the command is not from the current term")
	// ErrFull means that the table has reached one of its limits.
	ErrFull = errors.New("the lease table is full")
)

// Member identifies a process that acquires leases.
type Member struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"birth"` // increases with each start of a process with this name
	Site        string `json:"site,omitempty"`
	Load        int    `json:"load,omitempty"` // number of leases held; waiters with fewer leases are preferred
}

// sameProcess reports whether m and other have the same name and incarnation.
func (m Member) sameProcess(other Member) bool {
	return m.Name == other.Name && m.Incarnation == other.Incarnation
}

// Rules configure one lease. The first Acquire for a lease sets its rules.
type Rules struct {
	Length  time.Duration `json:"length"`
	Site    string        `json:"site,omitempty"`     // waiters at this site are preferred; empty: no preference
	MaxWait time.Duration `json:"patience,omitempty"` // waiters that have waited longer have priority, regardless of site and load
	MinHold time.Duration `json:"floor,omitempty"`    // minimum time between grants to different holders, to prevent flapping
}

func (r Rules) validate() error {
	switch {
	case r.Length < MinLength || r.Length > MaxLength:
		return fmt.Errorf("length must be %v to %v, got %v", MinLength, MaxLength, r.Length)
	case r.MaxWait < 0 || r.MaxWait > MaxLength:
		return fmt.Errorf("max wait must be 0 to %v, got %v", MaxLength, r.MaxWait)
	case r.MinHold < 0 || r.MinHold > MaxLength:
		return fmt.Errorf("min hold must be 0 to %v, got %v", MaxLength, r.MinHold)
	case len(r.Site) > maxNameBytes:
		return fmt.Errorf("site must be at most %d bytes, got %d", maxNameBytes, len(r.Site))
	}
	return nil
}

// Grant is the result of a successful Acquire or Renew. Length counts from the time at which the holder sent the request, not from the
// arrival of the reply.
type Grant struct {
	Token  uint64        `json:"token"`
	Length time.Duration `json:"length"`
}

// Waiter is a member that is queued for a lease.
type Waiter struct {
	Member       Member        `json:"member"`
	WaitingSince time.Duration `json:"since"`
	LastAskedAt  time.Duration `json:"asked"`
}

// Lease is the state of one lease. All times are readings of the current leader's clock.
type Lease struct {
	Rules     Rules                `json:"rules"`
	Holder    Member               `json:"holder"`            // the name is empty if the lease is not held
	Token     uint64               `json:"token"`             // of the latest grant
	ExpiresAt time.Duration        `json:"until"`             // the lease is not granted to another member earlier
	GrantedAt time.Duration        `json:"granted"`           // time of the latest grant to a new holder
	Revoked   bool                 `json:"revoked,omitempty"` // no longer renewed; ends at ExpiresAt
	Successor string               `json:"heir,omitempty"`    // chosen by the previous holder on release; has priority until ExpiresAt
	Waiters   []Waiter             `json:"line,omitempty"`    // in order of arrival
	Unknown   unknownfields.Fields `json:"-"`                 // fields written by a newer version
}

// MarshalJSON encodes the lease, including its unknown fields.
func (l Lease) MarshalJSON() ([]byte, error) {
	type plain Lease
	return unknownfields.Marshal(plain(l), l.Unknown)
}

// UnmarshalJSON decodes a lease and keeps unknown fields.
func (l *Lease) UnmarshalJSON(text []byte) error {
	type plain Lease
	return unknownfields.Unmarshal(text, (*plain)(l), &l.Unknown)
}

// waiterIndex returns the index of the waiter with this name, or -1.
func (l *Lease) waiterIndex(name string) int {
	for i := range l.Waiters {
		if l.Waiters[i].Member.Name == name {
			return i
		}
	}
	return -1
}
