package cluster

import (
	"time"

	"github.com/anishathalye/porcupine"

	"robindrum/internal/quorum"
)

// leaseState is the state of leaseModel.
type leaseState struct {
	holder string // empty: none
	token  uint64
	// grantedAfter is when the last grant or renewal was called: the lease's time counts from then or later.
	grantedAfter time.Duration
	highestToken uint64
}

// leaseModel is the specification of one lease. It knows of time only when operations were called and returned: a lease lasts at
// least for its length from the call on, so nobody else may have it unless the answer came later than that.
//
// Operations of an unknown outcome are left out unless they may have released the lease: they could only have kept others from it.
var leaseModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{leaseState{}} },
	Step: func(state, input, _ any) []any {
		var next []any
		for _, s := range state.(leaseState).apply(input.(operation)) {
			next = append(next, s)
		}
		return next
	},
	Equal: func(a, b any) bool { return a == b },
}

// apply returns the states that are possible after an operation; none: it could not have had its result.
func (s leaseState) apply(o operation) []leaseState {
	switch {
	case o.op == quorum.OpAcquire && o.result == granted:
		return s.applyGrant(o)
	case o.op == quorum.OpRenew && o.result == granted:
		return s.applyRenewal(o)
	case o.op == quorum.OpRelease:
		return s.applyRelease(o)
	}
	return []leaseState{s}
}

func (s leaseState) heldWith(o operation) bool { return s.holder == o.member && s.token == o.token }

func (s leaseState) applyGrant(o operation) []leaseState {
	if s.heldWith(o) {
		return s.applyRenewal(o)
	}
	free := s.holder == "" || o.returnedAt >= s.grantedAfter+o.length
	if !free || o.token <= s.highestToken {
		return nil
	}
	return []leaseState{{holder: o.member, token: o.token, grantedAfter: o.calledAt, highestToken: o.token}}
}

func (s leaseState) applyRenewal(o operation) []leaseState {
	if !s.heldWith(o) {
		return nil
	}
	s.grantedAfter = o.calledAt
	return []leaseState{s}
}

func (s leaseState) applyRelease(o operation) []leaseState {
	released := s
	if s.heldWith(o) {
		released.holder = ""
	}
	if o.result == unknown {
		return []leaseState{s, released}
	}
	return []leaseState{released}
}

const (
	// endOfHistory is how long after all others an operation of an unknown outcome may have been applied.
	endOfHistory = time.Hour
	// firstUnknownClient is the first number for operations of an unknown outcome in a history.
	firstUnknownClient = 10
)

// linearizable checks a history for at most timeout. A history that it cannot decide in time counts as linearizable.
func linearizable(operations []operation, timeout time.Duration) (ok, decided bool) {
	result := porcupine.CheckOperationsTimeout(leaseModel.ToModel(), porcupineOperations(operations), timeout)
	return result != porcupine.Illegal, result != porcupine.Unknown
}

func porcupineOperations(operations []operation) []porcupine.Operation {
	last := time.Duration(0)
	for _, o := range operations {
		last = max(last, o.returnedAt)
	}
	var history []porcupine.Operation
	for _, o := range operations {
		if o.result == unknown && o.op != quorum.OpRelease {
			continue
		}
		call := porcupine.Operation{ClientId: int(o.member[1] - '0'), Input: o, Call: int64(o.calledAt), Return: int64(o.returnedAt)}
		if o.result == unknown {
			// It overlaps with later operations of its client, which porcupine allows between different clients alone.
			call.ClientId = firstUnknownClient + len(history)
			call.Return = int64(last + endOfHistory)
		}
		history = append(history, call)
	}
	return history
}
