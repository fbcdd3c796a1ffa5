package drain

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// errHalted is the reason why requests stay pending while the ledger is halted.
var errHalted = errors.New("halted: nothing new is taken out")

// Submit adds a request and returns it with its state. Submitting an ID again returns the existing request, with ErrIDInUse if its target
// or restart version differs. A request that can never be granted is not an error: it is returned as Rejected.
func (l *Ledger) Submit(now time.Duration, submitted Request) (Request, error) {
	l.advance(now)
	if existing := l.Requests[submitted.ID]; existing != nil {
		if existing.Target != submitted.Target || existing.Restart != submitted.Restart {
			return *existing, ErrIDInUse
		}
		l.reconcile()
		return *existing, nil
	}
	if err := submitted.validate(); err != nil {
		return submitted, err
	}
	if l.countOpen() >= maxRequests {
		return submitted, ErrTooMany
	}
	l.Seq++
	r := newRequest(submitted, l.Seq)
	l.Requests[r.ID] = r
	if err := l.checkFeasible(r.Target); err != nil {
		l.setState(r, Rejected, err.Error())
		return *r, nil
	}
	l.setState(r, Pending, "")
	l.reconcile()
	return *r, nil
}

// Begin marks a granted request as Draining and sets its deadline. Until then the grant can still be revoked. The error wraps
// ErrWrongState if the token is not that of the grant or the request is not granted. Repeating the call has no effect.
func (l *Ledger) Begin(now time.Duration, id string, token uint64) (Request, error) {
	l.advance(now)
	l.reconcile()
	r := l.Requests[id]
	switch {
	case r == nil:
		return Request{}, ErrNotFound
	case r.Token != token:
		return *r, fmt.Errorf("%w: its token is %d, not %d", ErrWrongState, r.Token, token)
	case r.State.Unavailable(): // a repeated call
		return *r, nil
	case r.State != Granted:
		return *r, fmt.Errorf("%w: it is %s", ErrWrongState, r.State)
	}
	r.Deadline = l.Now + r.Grace
	l.setState(r, Draining, "")
	return *r, nil
}

// Progress records how many requests a draining target has in flight. At zero the drain request becomes Drained.
func (l *Ledger) Progress(now time.Duration, id string, token uint64, inFlight int) (Request, error) {
	l.advance(now)
	l.reconcile()
	r := l.Requests[id]
	switch {
	case r == nil:
		return Request{}, ErrNotFound
	case r.Token != token || !r.State.Unavailable():
		return *r, fmt.Errorf("%w: it is %s under token %d", ErrWrongState, r.State, r.Token)
	}
	r.InFlight = max(inFlight, 0)
	if r.InFlight == 0 {
		l.setState(r, Drained, "")
	}
	return *r, nil
}

// Cancel returns a target to service, or ends a request that has not begun. It requires no budget, and repeating it has no effect.
func (l *Ledger) Cancel(now time.Duration, id string) (Request, error) {
	l.advance(now)
	r := l.Requests[id]
	if r == nil {
		return Request{}, ErrNotFound
	}
	switch {
	case r.State == Pending || r.State == Granted:
		l.setState(r, Ended, "cancelled before it began")
	case r.State.Unavailable():
		l.setState(r, Cancelled, "")
	}
	l.reconcile()
	return *r, nil
}

// setState sets a request's state and reason. A change of state is recorded with the ledger's time and new version.
func (l *Ledger) setState(r *Request, state State, reason string) {
	if r.State != state {
		r.StateSince = l.Now
		l.Version++
		r.StateVersion = l.Version
	}
	r.State = state
	r.StateReason = reason
}

// reconcile updates the state of every request according to the time, the budgets and the last observation.
func (l *Ledger) reconcile() {
	requests := l.requestsBySeq()
	for _, r := range requests {
		l.applyTimeAndObservation(r)
	}
	usage := l.revokeExceeding(requests)
	l.grantPending(requests, usage)
	l.dropOldest(requests)
}

// applyTimeAndObservation marks a draining request past its deadline as Overdue, ends a cancelled request whose target serves again, and
// deletes a request that ended more than endedRetention ago.
func (l *Ledger) applyTimeAndObservation(r *Request) {
	switch {
	case r.State == Draining && r.Deadline > 0 && l.Now >= r.Deadline:
		l.setState(r, Overdue, "")
	case r.State == Cancelled && l.servesAgain(r, r.Target) && !l.drainedByAnother(r):
		l.setState(r, Ended, "")
	case r.State.hasEnded() && l.Now-r.StateSince > endedRetention:
		delete(l.Requests, r.ID)
	}
}

// revokeExceeding makes granted requests pending again while a budget is exceeded, the latest submission first, and returns the
// resulting usage. It recomputes the usage after each revocation, since one may be enough.
func (l *Ledger) revokeExceeding(requests []*Request) *usageTable {
	usage := l.usageTable()
	for _, r := range slices.Backward(requests) {
		if r.State != Granted {
			continue
		}
		if err := usage.checkNow(r.Target); err != nil {
			l.setState(r, Pending, "taken back: "+err.Error())
			usage = l.usageTable()
		}
	}
	return usage
}

// grantPending grants the pending requests that the budgets allow, in the order of submission, and records why the others wait. A request
// that exceeds a budget does not block later requests.
func (l *Ledger) grantPending(requests []*Request, usage *usageTable) {
	for _, r := range requests {
		if r.State != Pending {
			continue
		}
		err := errHalted
		if !l.Halted {
			err = usage.checkNow(r.Target)
		}
		if err != nil {
			r.StateReason = err.Error()
			continue
		}
		l.LastToken++
		r.Token = l.LastToken
		l.setState(r, Granted, "")
		usage = l.usageTable()
	}
}

// dropOldest deletes the oldest ended requests if there are more than maxRequests.
func (l *Ledger) dropOldest(requests []*Request) {
	ended := 0
	for _, r := range slices.Backward(requests) {
		if !r.State.hasEnded() {
			continue
		}
		ended++
		if ended > maxRequests {
			delete(l.Requests, r.ID)
		}
	}
}

// drainedByAnother reports whether another request keeps the same target out of service.
func (l *Ledger) drainedByAnother(r *Request) bool {
	for _, other := range l.Requests {
		if other != r && other.Target == r.Target && other.State.Unavailable() {
			return true
		}
	}
	return false
}

// countOpen returns how many requests have not ended.
func (l *Ledger) countOpen() int {
	open := 0
	for _, r := range l.Requests {
		if !r.State.hasEnded() {
			open++
		}
	}
	return open
}

// requestsBySeq returns all requests in the order of their submission.
func (l *Ledger) requestsBySeq() []*Request {
	return slices.SortedFunc(maps.Values(l.Requests), func(x, y *Request) int { return cmp.Compare(x.Seq, y.Seq) })
}
