package quorum

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"robindrum/internal/drain"
	"robindrum/internal/lease"
	"robindrum/internal/release"
	"robindrum/internal/unknownfields"
)

// fsm is the replicated state machine. It implements raft.FSM. Its methods are safe for concurrent use, except apply and the
// methods that apply calls, which require mu.
type fsm struct {
	mu       sync.Mutex
	leases   *lease.Table
	drains   *drain.Ledger
	releases *release.Ledger
	fleet    string               // ID that the fleet was bootstrapped with
	unknown  unknownfields.Fields // fields of a snapshot written by a newer version
}

func newFSM() *fsm {
	return &fsm{leases: lease.NewTable(), drains: drain.NewLedger(), releases: release.NewLedger()}
}

// Apply applies one log entry and returns a Result. It takes time and term from the entry alone, so that the same entries produce the
// same state on every voter.
func (f *fsm) Apply(entry *raft.Log) any {
	var command Command
	if err := json.Unmarshal(entry.Data, &command); err != nil {
		return Result{Code: CodeRejected, Text: err.Error()}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.apply(entry.Term, &command)
}

// apply runs one command. The first command of a term begins the term, whatever its op. The caller must hold f.mu.
func (f *fsm) apply(term uint64, c *Command) Result {
	if term > f.leases.Term {
		if err := f.beginTerm(term, c.Now); err != nil {
			return errorResult(err)
		}
	}
	switch {
	case c.Op == opBeginTerm:
		f.setFleet(c.Fleet, c.TokenBase)
		return Result{}
	case c.Op == OpAcquire:
		return f.acquire(term, c)
	case c.Op == OpRenew:
		return grantResult(f.leases.Renew(term, c.Now, c.Lease, c.Member, c.Token))
	case c.Op == OpRelease:
		return errorResult(f.leases.Release(term, c.Now, c.Lease, c.Member, c.Token, c.Successor))
	case c.Op == OpRevoke:
		return errorResult(f.leases.Revoke(term, c.Now, c.Lease))
	case c.Op == OpForget:
		return errorResult(f.leases.Forget(term, c.Now))
	case c.Op == OpHaltDrains || c.Op == OpResumeDrains:
		f.drains.SetHalted(c.Now, c.Op == OpHaltDrains)
		return Result{}
	case c.Op == opSetBudgets:
		return errorResult(f.drains.SetBudgets(c.Now, c.Budgets))
	case c.Op == opObserve && c.Observation != nil:
		return errorResult(f.observe(c.Now, c.Observation))
	case c.Op.changesDrain() && c.Drain != nil:
		return f.applyDrain(c)
	}
	err := f.applyRelease(c)
	f.releases.RequestDrains(c.Now, f.drains)
	return errorResult(err)
}

// beginTerm rebases all times on the new leader's clock, whose current reading is now.
func (f *fsm) beginTerm(term uint64, now time.Duration) error {
	if err := f.leases.BeginTerm(term, now); err != nil {
		return err
	}
	f.drains.BeginTerm(now)
	f.releases.BeginTerm(now)
	return nil
}

// setFleet sets the fleet's ID and the lower bound of its tokens. It has no effect if the ID is already set.
func (f *fsm) setFleet(fleet string, tokenBase uint64) {
	if f.fleet != "" {
		return
	}
	f.fleet = fleet
	f.leases.LastToken = max(f.leases.LastToken, tokenBase)
}

func (f *fsm) acquire(term uint64, c *Command) Result {
	result := grantResult(f.leases.Acquire(term, c.Now, c.Lease, c.Rules, c.Member))
	if result.Code == CodeWaiting {
		result.AvailableIn, result.NextInLine = f.leases.NextGrant(c.Lease, c.Member)
	}
	return result
}

func (f *fsm) observe(now time.Duration, observation *Observation) error {
	if observation.Releases != nil {
		f.releases.Observe(now, observation.Releases)
	}
	err := f.drains.Observe(now, observation.Version, observation.Gateways, observation.Endpoints)
	f.releases.RequestDrains(now, f.drains)
	return err
}

// changesDrain reports whether the op acts on one drain request.
func (op Op) changesDrain() bool {
	return op == OpDrain || op == OpCancelDrain || op == opBeginDrain || op == opDrainProgress
}

// applyDrain runs a command that acts on one drain request.
func (f *fsm) applyDrain(c *Command) Result {
	var request drain.Request
	var err error
	switch c.Op {
	case OpDrain:
		request, err = f.drains.Submit(c.Now, *c.Drain)
	case OpCancelDrain:
		request, err = f.drains.Cancel(c.Now, c.Drain.ID)
	case opBeginDrain:
		request, err = f.drains.Begin(c.Now, c.Drain.ID, c.Drain.Token)
	case opDrainProgress:
		request, err = f.drains.Progress(c.Now, c.Drain.ID, c.Drain.Token, c.Drain.InFlight)
	}
	result := errorResult(err)
	result.Drain = &request
	return result
}

// applyRelease runs a command that acts on releases. It returns an error for an unknown op or a missing field.
func (f *fsm) applyRelease(c *Command) error {
	switch {
	case c.Op == OpStoreConfig:
		return f.releases.StoreConfig(c.Digest, c.Text)
	case c.Op == OpStartRelease && c.Plan != nil:
		return f.startRelease(c)
	case c.Op == OpHaltRelease:
		return f.releases.Halt(c.Now, c.Text)
	case c.Op == OpResumeRelease:
		return f.releases.Resume(c.Now)
	case c.Op == OpRollbackRelease:
		return f.releases.Rollback(c.Now, c.Text)
	case c.Op == OpStopRelease:
		return f.releases.Stop(c.Now, c.Text)
	}
	return fmt.Errorf("no such command: %q", c.Op)
}

// startRelease starts a release. It rejects a command with unknown fields, because one of them may be a gate that this version would
// not enforce.
func (f *fsm) startRelease(c *Command) error {
	if len(c.Unknown) > 0 {
		names := strings.Join(slices.Sorted(maps.Keys(c.Unknown)), ", ")
		return fmt.Errorf("the release has fields that this voter's version does not know (%s): upgrade the voters first", names)
	}
	return f.releases.Start(c.Now, *c.Plan)
}
