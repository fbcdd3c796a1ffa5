package drain

import (
	"errors"
	"fmt"
	"time"

	"robindrum/internal/unknownfields"
)

// State is the state of a drain request.
//
// A request goes from Pending to Granted, Draining and Drained. If its target still has requests in flight at the deadline, the request
// becomes Overdue before it is Drained. It can be cancelled in any of these states. Once a cancelled request's target serves again, the
// request is Ended. A request that can never be granted is Rejected when it is submitted.
type State string

// The states of a drain request. Their values are stored and sent to other processes.
const (
	Pending   State = "asked"     // waits until the budgets allow it
	Granted   State = "granted"   // counts against the budgets; its target still serves
	Draining  State = "under way" // its target finishes its requests in flight
	Drained   State = "done"      // its target has no requests in flight
	Overdue   State = "overdue"   // its deadline has passed with requests in flight
	Cancelled State = "cancelled" // its target may serve; counts against the budgets until it does
	Ended     State = "ended"     // its target was observed in service again, or no longer exists
	Rejected  State = "refused"   // its target is unknown, or a budget can never allow it
)

// holdsSlot reports whether a request in this state counts against the budgets.
func (s State) holdsSlot() bool {
	return s == Granted || s == Cancelled || s.Unavailable()
}

// Unavailable reports whether a request in this state keeps its target out of service.
func (s State) Unavailable() bool { return s == Draining || s == Drained || s == Overdue }

// hasEnded reports whether the state is final.
func (s State) hasEnded() bool { return s == Ended || s == Rejected }

// Request is a request to take a target out of service, with its state.
type Request struct {
	ID     string `json:"id"` // chosen by the caller; submitting it again has no effect
	Target Target `json:"target"`
	Owner  string `json:"owner"`
	Reason string `json:"reason,omitempty"`
	// Grace is how long requests in flight may take to finish. Notice is the first part of Grace, during which a gateway still
	// accepts requests but reports that it is not ready, so that load balancers in front of it can stop using it.
	Grace  time.Duration `json:"grace"`
	Notice time.Duration `json:"notice,omitempty"`
	// WaitForAll makes a gateway wait for its requests in flight even after Grace. Without it, the gateway answers those requests
	// itself when Grace ends, see FinalAnswer.
	WaitForAll bool `json:"wait,omitempty"`
	// Restart is the program version with which the gateway restarts once it is drained; empty: it does not restart.
	Restart string               `json:"restart,omitempty"`
	Unknown unknownfields.Fields `json:"-"` // written by newer versions; kept unchanged

	State       State  `json:"state"`
	StateReason string `json:"why,omitempty"` // why the request is rejected, still pending, or ended before it began
	// Token is the fencing token, higher than the token of every earlier grant. Begin and Progress require it.
	Token        uint64        `json:"token,omitempty"`
	StateSince   time.Duration `json:"since"`
	Deadline     time.Duration `json:"until,omitempty"`
	InFlight     int           `json:"in_hand,omitempty"` // as last reported for the target
	Seq          uint64        `json:"seq"`               // increases in the order of submission
	StateVersion uint64        `json:"at"`                // the ledger's version at the last change of State
}

// MarshalJSON encodes the request, including its unknown fields.
func (r Request) MarshalJSON() ([]byte, error) {
	type plain Request
	return unknownfields.Marshal(plain(r), r.Unknown)
}

// UnmarshalJSON decodes a request and keeps unknown fields in Unknown.
func (r *Request) UnmarshalJSON(text []byte) error {
	type plain Request
	return unknownfields.Unmarshal(text, (*plain)(r), &r.Unknown)
}

// newRequest returns a request with the fields that the submitter may set; the ledger sets the others.
func newRequest(submitted Request, seq uint64) *Request {
	return &Request{
		ID:         submitted.ID,
		Target:     submitted.Target,
		Owner:      submitted.Owner,
		Reason:     submitted.Reason,
		Grace:      submitted.Grace,
		Notice:     submitted.Notice,
		WaitForAll: submitted.WaitForAll,
		Restart:    submitted.Restart,
		Unknown:    submitted.Unknown,
		Seq:        seq,
	}
}

// validate returns an error that names the first invalid field.
func (r *Request) validate() error {
	if err := r.validateLengths(); err != nil {
		return err
	}
	switch {
	case r.ID == "":
		return errors.New("id: is missing")
	case !r.Target.isWellFormed():
		return errors.New("target: want a gateway, an endpoint of a cluster, a zone of a site, or a zone of a cluster")
	case r.Restart != "" && r.Target.Gateway == "":
		return errors.New("restart: is for one gateway")
	case len(r.Unknown) > maxUnknownFields:
		return fmt.Errorf("%d fields that are not known, %d at most", len(r.Unknown), maxUnknownFields)
	case r.Target.hasPattern():
		return errors.New("target: patterns are not supported: name each")
	case r.Grace <= 0:
		return fmt.Errorf("grace: %v is in the past", r.Grace)
	case r.Notice < 0 || r.Notice > r.Grace:
		return fmt.Errorf("notice: %v, want 0 to the grace of %v", r.Notice, r.Grace)
	case r.Grace > MaxGrace:
		return fmt.Errorf("grace: %v, %v at most", r.Grace, MaxGrace)
	}
	return nil
}

// validateLengths returns an error that names the first text of more than maxTextBytes.
func (r *Request) validateLengths() error {
	fields := []struct {
		name  string
		value string
	}{
		{"id", r.ID},
		{"owner", r.Owner},
		{"reason", r.Reason},
		{"gateway", r.Target.Gateway},
		{"cluster", r.Target.Cluster},
		{"endpoint", r.Target.Endpoint},
		{"site", r.Target.Site},
		{"zone", r.Target.Zone},
		{"restart", r.Restart},
	}
	for _, field := range fields {
		if len(field.value) > maxTextBytes {
			return fmt.Errorf("%s: %d bytes, %d at most", field.name, len(field.value), maxTextBytes)
		}
	}
	return nil
}
