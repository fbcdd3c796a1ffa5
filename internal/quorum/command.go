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

// Op is the operation of a Command. Its values are stored in the Raft log.
type Op string

// Ops that clients may request.
const (
	OpAcquire Op = "acquire"
	OpRenew   Op = "renew"
	OpRelease Op = "release"
	OpRevoke  Op = "revoke"
	OpForget  Op = "forget" // drops unused leases and member names

	OpDrain        Op = "order"  // submits a drain request
	OpCancelDrain  Op = "cancel" // ends a drain request
	OpHaltDrains   Op = "halt"   // no new drains begin until OpResumeDrains
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

// commandLevel identifies the set of ops that this version supports: level 1 has leases; level 2 adds drains and releases; level 3
// adds drains of zones and drains requested by releases of program versions. A voter skips log entries that it does not support, and
// would lack their effect if it became the leader.
const commandLevel = 3

// allowedForClients reports whether a client may request the op.
func (op Op) allowedForClients() bool {
	switch op {
	case OpAcquire, OpRenew, OpRelease, OpRevoke, OpForget,
		OpDrain, OpCancelDrain, OpHaltDrains, OpResumeDrains,
		OpStoreConfig, OpStartRelease, OpHaltRelease, OpResumeRelease, OpRollbackRelease, OpStopRelease:
		return true
	}
	return false
}

// needsCurrentVoters reports whether the op is rejected while any voter is known to have a lower command level.
func (op Op) needsCurrentVoters() bool {
	return op == OpDrain || op == OpStoreConfig || op == OpStartRelease
}

// Command is one entry of the replicated log.
type Command struct {
	Op Op `json:"op"`

	// Fields of lease ops.
	Lease     string       `json:"lease,omitempty"`
	Rules     lease.Rules  `json:"rules,omitzero"` // OpAcquire
	Member    lease.Member `json:"member,omitzero"`
	Token     uint64       `json:"token,omitempty"`
	Successor string       `json:"heir,omitempty"` // OpRelease

	// Fields of drain ops.
	Drain       *drain.Request `json:"order,omitempty"`
	Budgets     []drain.Budget `json:"budgets,omitempty"` // opSetBudgets
	Observation *Observation   `json:"seen,omitempty"`    // opObserve

	// Fields of release ops.
	Plan   *release.Plan `json:"plan,omitempty"`   // OpStartRelease
	Digest string        `json:"digest,omitempty"` // OpStoreConfig
	Text   string        `json:"text,omitempty"`   // OpStoreConfig: the configuration; other ops: the operator's reason

	// Set by the leader.
	Now       time.Duration `json:"now,omitempty"`   // reading of the leader's monotonic clock
	Fleet     string        `json:"fleet,omitempty"` // opBeginTerm: the ID that the fleet was bootstrapped with
	TokenBase uint64        `json:"base,omitempty"`  // opBeginTerm: fencing tokens of a new fleet are higher than this

	// Unknown holds fields that this version does not know, from a client of a newer version. The leader writes them to the log.
	Unknown unknownfields.Fields `json:"-"`
}

// MarshalJSON encodes the command, including its unknown fields.
func (c Command) MarshalJSON() ([]byte, error) {
	type plain Command
	return unknownfields.Marshal(plain(c), c.Unknown)
}

// UnmarshalJSON decodes a command and keeps its unknown fields.
func (c *Command) UnmarshalJSON(data []byte) error {
	type plain Command
	return unknownfields.Unmarshal(data, (*plain)(c), &c.Unknown)
}

// Observation is the state of the fleet that the leader collected in one poll cycle.
type Observation struct {
	Version   uint64            `json:"version"` // version of the drain view that every responding gateway has applied
	Gateways  []drain.Gateway   `json:"gateways"`
	Endpoints []drain.Endpoint  `json:"endpoints"`
	Releases  []release.Gateway `json:"release,omitempty"` // state of the gateways while a release is in progress; otherwise nil
}

// Code classifies the failure of a command. Its values are sent over the wire.
type Code string

// Codes of results. The empty Code means success.
const (
	CodeWaiting          Code = "waiting"
	CodeNotHeld          Code = "lost"
	CodeStaleIncarnation Code = "old"
	CodeFull             Code = "full"
	CodeRejected         Code = "bad" // any other error
)

// leaseErrors maps codes to the corresponding errors of package lease.
var leaseErrors = map[Code]error{
	CodeWaiting:          lease.ErrWaiting,
	CodeNotHeld:          lease.ErrNotHeld,
	CodeStaleIncarnation: lease.ErrStaleIncarnation,
	CodeFull:             lease.ErrFull,
}

// codeOf returns the code for err, which must not be nil.
func codeOf(err error) Code {
	for code, target := range leaseErrors {
		if errors.Is(err, target) {
			return code
		}
	}
	return CodeRejected
}

// Result is the outcome of a committed command.
type Result struct {
	Grant lease.Grant    `json:"grant,omitzero"`
	Drain *drain.Request `json:"order,omitempty"` // the request after an op on one drain request
	Code  Code           `json:"code,omitempty"`
	Text  string         `json:"text,omitempty"` // error text; empty on success

	// Set if Code is CodeWaiting.
	AvailableIn time.Duration `json:"left,omitempty"`  // minimum time until the lease may be free
	NextInLine  bool          `json:"first,omitempty"` // whether the caller would be granted the lease then
}

// errorResult returns the result of a command that returned err, or the empty result if err is nil.
func errorResult(err error) Result {
	if err == nil {
		return Result{}
	}
	return Result{Code: codeOf(err), Text: err.Error()}
}

// grantResult returns the result of a command that returned a grant or an error.
func grantResult(grant lease.Grant, err error) Result {
	if err != nil {
		return errorResult(err)
	}
	return Result{Grant: grant}
}

// Err returns the command's error, or nil on success. It wraps the error of package lease that corresponds to the code, if any.
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
	Committed bool   `json:"done"`             // Result is valid
	Leader    string `json:"leader,omitempty"` // address of the voter to send the command to instead, if known
	Reason    string `json:"why,omitempty"`    // why the command was not committed, or may not have been
}
