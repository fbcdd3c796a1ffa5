// Package lease is the state machine of leases that a quorum applies: it decides which process may do what only one process may do,
// and issues fencing tokens. It has no clock, no I/O and no goroutine.
//
// Time is the reading of the leader's monotonic clock that a command carries. Readings of different leaders are unrelated, so
// Table.BeginTerm starts each term and restarts every held lease from its reading: nobody knows how much of it is left. A lease is
// therefore never granted to another holder before its full length has passed on the clock of one leader.
//
// Safety does not depend on any clock. Each grant has a token that is higher than all earlier ones of all leases, and receivers of a
// holder's requests reject tokens lower than the highest they have seen (see Fence).
//
// The same commands give the same state and results on every replica. A Table must be used by one goroutine at a time.
package lease

import (
	"errors"
	"fmt"
	"time"

	"robindrum/internal/unknownfields"
)

// Limits of a table. Names and members come from outside, and the table is part of every snapshot.
const (
	maxLeases          = 1024
	maxWaitersPerLease = 1024
	maxMembers         = 4096 // with a recorded incarnation
	maxNameBytes       = 128
)

// MinLength and MaxLength bound the length of a lease.
const (
	MinLength = 100 * time.Millisecond
	MaxLength = time.Hour
)

// Errors of a Table's commands.
var (
	// ErrWaiting means that another member holds the lease. The caller waits in order of arrival for as long as it keeps asking.
	ErrWaiting = errors.New("another member holds the lease")
	// ErrNotHeld means that the caller does not hold the lease, or not with this token.
	ErrNotHeld = errors.New("the lease is not held with this token")
	// ErrStaleIncarnation means that a later incarnation of the caller is known.
	ErrStaleIncarnation = errors.New("a later incarnation of this member is known")
	// ErrStaleTerm means that the command is from a leader of an earlier term.
	ErrStaleTerm = errors.New("the command is of an earlier term")
	// ErrFull means that a limit of the table is reached.
	ErrFull = errors.New("the lease table is full")
)

// Member identifies a process that asks for leases.
type Member struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"birth"` // rises with each start of a process of this name
	Site        string `json:"site,omitempty"`
	Load        int    `json:"load,omitempty"` // number of leases held; the least loaded waiter is preferred
}

// sameProcess reports whether both are the same incarnation of the same name.
func (m Member) sameProcess(other Member) bool {
	return m.Name == other.Name && m.Incarnation == other.Incarnation
}

// Rules govern one lease. They are set by the first Acquire of it.
type Rules struct {
	Length  time.Duration `json:"length"`
	Site    string        `json:"site,omitempty"`     // waiters of this site are preferred; empty: no preference
	MaxWait time.Duration `json:"patience,omitempty"` // after which the longest waiter goes first, whatever its site and load
	MinHold time.Duration `json:"floor,omitempty"`    // least time between grants to different holders, against flapping
}

func (r Rules) validate() error {
	switch {
	case r.Length < MinLength || r.Length > MaxLength:
		return fmt.Errorf("length: want %v to %v, not %v", MinLength, MaxLength, r.Length)
	case r.MaxWait < 0 || r.MaxWait > MaxLength:
		return fmt.Errorf("max wait: want 0 to %v, not %v", MaxLength, r.MaxWait)
	case r.MinHold < 0 || r.MinHold > MaxLength:
		return fmt.Errorf("min hold: want 0 to %v, not %v", MaxLength, r.MinHold)
	case len(r.Site) > maxNameBytes:
		return fmt.Errorf("site: %d bytes, max %d", len(r.Site), maxNameBytes)
	}
	return nil
}

// Grant is the reply to a holder. Length counts from when the holder sent the request, not from when the reply arrived.
type Grant struct {
	Token  uint64        `json:"token"`
	Length time.Duration `json:"length"`
}

// Waiter is a member that waits for a lease.
type Waiter struct {
	Member       Member        `json:"member"`
	WaitingSince time.Duration `json:"since"`
	LastAskedAt  time.Duration `json:"asked"`
}

// Lease is the state of one lease. All times are readings of the current leader's clock.
type Lease struct {
	Rules     Rules                `json:"rules"`
	Holder    Member               `json:"holder"`            // its name is empty where nobody holds the lease
	Token     uint64               `json:"token"`             // of the last grant
	ExpiresAt time.Duration        `json:"until"`             // not granted to another member before
	GrantedAt time.Duration        `json:"granted"`           // of the last grant to another holder
	Revoked   bool                 `json:"revoked,omitempty"` // not renewed any more; ends at ExpiresAt
	Successor string               `json:"heir,omitempty"`    // chosen by the last holder on release; first in line until ExpiresAt
	Waiters   []Waiter             `json:"line,omitempty"`    // in order of arrival
	Unknown   unknownfields.Fields `json:"-"`                 // fields written by a newer version
}

// MarshalJSON writes the lease with its unknown fields.
func (l Lease) MarshalJSON() ([]byte, error) {
	type plain Lease
	return unknownfields.Marshal(plain(l), l.Unknown)
}

// UnmarshalJSON reads a lease and keeps unknown fields.
func (l *Lease) UnmarshalJSON(text []byte) error {
	type plain Lease
	return unknownfields.Unmarshal(text, (*plain)(l), &l.Unknown)
}

// waiterIndex returns the place of the waiter with this name, or -1.
func (l *Lease) waiterIndex(name string) int {
	for i := range l.Waiters {
		if l.Waiters[i].Member.Name == name {
			return i
		}
	}
	return -1
}
