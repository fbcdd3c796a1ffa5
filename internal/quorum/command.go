package quorum

import (
	"errors"
	"fmt"
	"time"

	"robindrum/internal/drain"
	"robindrum/internal/lease"
	"robindrum/internal/release"
	"robindrum/internal/unknownfields"
)

// Op names what a Command does. Its values are stored in the Raft log.
type Op string

// Ops that clients may ask for.
const (
	OpAcquire Op = "acquire"
	OpRenew   Op = "renew"
	OpRelease Op = "release"
	OpRevoke  Op = "revoke"
	OpForget  Op = "forget"

	OpDrain        Op = "order"  // submits a drain request
	OpCancelDrain  Op = "cancel" // ends a drain request
	OpHaltDrains   Op = "halt"   // no further drain begins
	OpResumeDrains Op = "resume"

	OpStoreConfig     Op = "config"
	OpStartRelease    Op = "release-begin"
	OpHaltRelease     Op = "release-halt"
	OpResumeRelease   Op = "release-resume"
	OpRollbackRelease Op = "release-back"
	OpStopRelease     Op = "release-stop"
)

// Ops that only the leader proposes.
const (
	opBeginTerm     Op = "lead"
	opSetBudgets    Op = "limit"
	opObserve       Op = "see"
	opBeginDrain    Op = "begin"
	opDrainProgress Op = "progress"
)

// commandLevel is the set of ops that this program knows: 1 leases; 2 also drains and releases; 3 also drains of zones and those that
// releases of programs request. A voter skips entries that it does not know, and would lead without their effect.
const commandLevel = 3

// allowedForClients reports whether a client may ask for the op.
func (op Op) allowedForClients() bool {
	switch op {
	case OpAcquire, OpRenew, OpRelease, OpRevoke, OpForget,
		OpDrain, OpCancelDrain, OpHaltDrains, OpResumeDrains,
		OpStoreConfig, OpStartRelease, OpHaltRelease, OpResumeRelease, OpRollbackRelease, OpStopRelease:
		return true
	}
	return false
}

// needsCurrentVoters reports whether the op is rejected while a voter of a lower command level is known.
func (op Op) needsCurrentVoters() bool {
	return op == OpDrain || op == OpStoreConfig || op == OpStartRelease
}

// Command is one entry of the replicated log.
type Command struct {
	Op Op `json:"op"`

	// Of leases.
	Lease     string       `json:"lease,omitempty"`
	Rules     lease.Rules  `json:"rules,omitzero"` // OpAcquire
	Member    lease.Member `json:"member,omitzero"`
	Token     uint64       `json:"token,omitempty"`
	Successor string       `json:"heir,omitempty"` // OpRelease

	// Of drains.
	Drain       *drain.Request `json:"order,omitempty"`
	Budgets     []drain.Budget `json:"budgets,omitempty"` // opSetBudgets
	Observation *Observation   `json:"seen,omitempty"`    // opObserve

	// Of releases.
	Plan   *release.Plan `json:"plan,omitempty"`   // OpStartRelease
	Digest string        `json:"digest,omitempty"` // OpStoreConfig
	Text   string        `json:"text,omitempty"`   // OpStoreConfig: the configuration; else the operator's reason

	// Set by the leader.
	Now       time.Duration `json:"now,omitempty"`   // reading of its monotonic clock
	Fleet     string        `json:"fleet,omitempty"` // opBeginTerm: the ID that the fleet was bootstrapped with
	TokenBase uint64        `json:"base,omitempty"`  // opBeginTerm: tokens of a new fleet are higher than this

	// Unknown holds the fields of a newer client's command, which a leader of this version writes to the log.
	Unknown unknownfields.Fields `json:"-"`
}

// MarshalJSON writes the command with its unknown fields.
func (c Command) MarshalJSON() ([]byte, error) {
	type plain Command
	return unknownfields.Marshal(plain(c), c.Unknown)
}

// UnmarshalJSON reads a command and keeps unknown fields.
func (c *Command) UnmarshalJSON(text []byte) error {
	type plain Command
	return unknownfields.Unmarshal(text, (*plain)(c), &c.Unknown)
}

// Observation is the state of the fleet that the leader collected in one poll cycle.
type Observation struct {
	Version   uint64            `json:"version"` // of the drain view that every responding gateway has applied
	Gateways  []drain.Gateway   `json:"gateways"`
	Endpoints []drain.Endpoint  `json:"endpoints"`
	Releases  []release.Gateway `json:"release,omitempty"` // the gateways' state while a release is in progress; else nil
}

// Code is the kind of failure of a command. Its values go over the wire.
type Code string

// Codes of results. The zero value means success.
const (
	CodeWaiting          Code = "waiting"
	CodeNotHeld          Code = "lost"
	CodeStaleIncarnation Code = "old"
	CodeFull             Code = "full"
	CodeRejected         Code = "bad" // any other error
)

// leaseErrors maps codes to the errors of package lease that they stand for.
var leaseErrors = map[Code]error{
	CodeWaiting:          lease.ErrWaiting,
	CodeNotHeld:          lease.ErrNotHeld,
	CodeStaleIncarnation: lease.ErrStaleIncarnation,
	CodeFull:             lease.ErrFull,
}

// codeOf returns the code of an error that is not nil.
func codeOf(err error) Code {
	for code, target := range leaseErrors {
		if errors.Is(err, target) {
			return code
		}
	}
	return CodeRejected
}

// Result is the outcome of a command that was committed.
type Result struct {
	Grant lease.Grant    `json:"grant,omitzero"`
	Drain *drain.Request `json:"order,omitempty"` // after an op on one drain request
	Code  Code           `json:"code,omitempty"`
	Text  string         `json:"text,omitempty"` // of the error that Code stands for

	// Set with CodeWaiting.
	AvailableIn time.Duration `json:"left,omitempty"`  // until the lease may be free at the earliest
	NextInLine  bool          `json:"first,omitempty"` // the caller would be granted it then
}

// failure returns the result of a command that ended with err, and the empty result where err is nil.
func failure(err error) Result {
	if err == nil {
		return Result{}
	}
	return Result{Code: codeOf(err), Text: err.Error()}
}

// granted returns the result of a command that gave a grant or an error.
func granted(grant lease.Grant, err error) Result {
	if err != nil {
		return failure(err)
	}
	return Result{Grant: grant}
}

// Err returns nil, or the command's error; it wraps one of package lease's errors where the code stands for one.
func (r Result) Err() error {
	if r.Code == "" {
		return nil
	}
	if target, ok := leaseErrors[r.Code]; ok {
		return fmt.Errorf("%w (%s)", target, r.Text)
	}
	return errors.New(r.Text)
}

// Reply is a voter's answer to a command.
type Reply struct {
	Result
	Committed bool   `json:"done"`             // Result counts
	Leader    string `json:"leader,omitempty"` // address of the voter to ask instead, if known
	Reason    string `json:"why,omitempty"`    // why the command was not, or may not have been, committed
}
