package cluster

import (
	"time"

	"github.com/anishathalye/porcupine"

	"robindrum/internal/quorum"
)

// leaseState is the state of one lease in leaseModel.
type leaseState struct {
	holder string // empty: the lease is free
	token  uint64
	// grantedAfter is the time at which the last grant or renewal was called. The lease's term starts then or later.
	grantedAfter time.Duration
	highestToken uint64
}

// leaseModel is the specification of one lease. The only times it knows are those at which operations were called and returned. A
// lease lasts at least for its length after the call, so another member can be granted it only if its operation returned later.
//
// Acquires and renewals with an unknown outcome are left out, because they could only have kept others from the lease. Releases with an
// unknown outcome are included, because they may have freed the lease for others.
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

// apply returns the possible states after an operation. It returns none if the operation could not have had its result in this state.
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
	// endOfHistory is the time after the last other operation until which one with an unknown outcome may be applied.
	endOfHistory = time.Hour
	// firstUnknownClient is the lowest client number given to an operation with an unknown outcome.
	firstUnknownClient = 10
)

// linearizable checks a history for at most timeout. If the check does not finish in time, ok is true and decided is false.
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
			// The operation overlaps with later ones of its client. porcupine allows overlaps only between different clients.
			call.ClientId = firstUnknownClient + len(history)
			call.Return = int64(last + endOfHistory)
		}
		history = append(history, call)
	}
	return history
}
