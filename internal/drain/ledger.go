// Package drain decides when gateways and endpoints of a fleet may be taken out of service. Operators and releases submit drain
// requests; disruption budgets limit how many members of the fleet may be unavailable at the same time.
//
// The package is a deterministic state machine that the quorum replicates together with its leases. It reads no clock, does no I/O and
// starts no goroutines, and the same calls lead to the same ledger, including its texts. Times are readings of the leader's clock, as in
// package lease.
//
// A missing member counts as unavailable, whatever the cause. A request has to be granted against the budgets before its target is taken
// out of service, and counts against them until the target has been observed in service again. Returning a target to service requires
// neither a budget nor a quorum.
package drain

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"robindrum/internal/unknownfields"
)

// Limits on the size of a ledger: its texts come from outside, and every snapshot contains the ledger.
const (
	maxRequests      = 1024 // that have not ended; the same number of ended requests is kept
	maxBudgets       = 64
	maxGateways      = 4096
	maxEndpoints     = 20_000
	maxUnknownFields = 16 // per request
	maxTextBytes     = 256
	// endedRetention is how long an ended request stays in the ledger.
	endedRetention = 24 * time.Hour
)

// MaxGrace is the upper limit of Request.Grace.
const MaxGrace = time.Hour

// Errors that callers can test for with errors.Is.
var (
	ErrIDInUse    = errors.New("another drain request has this id")
	ErrNotFound   = errors.New("there is no such drain request")
	ErrTooMany    = errors.New("there are too many drain requests")
	ErrWrongState = errors.New("the drain request is not in a state for this")
)

// Gateway is a gateway as the fleet last observed it.
type Gateway struct {
	Name        string `json:"name"`
	Site        string `json:"site,omitempty"`
	Zone        string `json:"zone,omitempty"`
	Incarnation uint64 `json:"birth"`
	Serving     bool   `json:"serving"`
}

// Endpoint is an endpoint of a cluster as the fleet's gateways last observed it.
type Endpoint struct {
	Cluster string `json:"cluster"`
	Address string `json:"address"`
	Zone    string `json:"zone,omitempty"`
	// Healthy is true if the endpoint is in use, warmed up and not ejected, at enough gateways.
	Healthy bool `json:"well"`
}

// Ledger holds all drain requests, and the budgets and observations that decide on them. It is not safe for concurrent use.
type Ledger struct {
	Version   uint64              `json:"version"` // incremented with each change that gateways need to know
	LastToken uint64              `json:"last_token"`
	Seq       uint64              `json:"seq"`
	Now       time.Duration       `json:"now"`
	Requests  map[string]*Request `json:"orders"` // by ID
	Budgets   []Budget            `json:"budgets"`
	Gateways  map[string]Gateway  `json:"gateways"`  // by name
	Endpoints map[string]Endpoint `json:"endpoints"` // by cluster and address, with a slash between them
	Halted    bool                `json:"halted,omitempty"`
	// ObservedVersion is the ledger version that every gateway had applied when Gateways and Endpoints were observed.
	ObservedVersion uint64               `json:"seen"`
	Unknown         unknownfields.Fields `json:"-"` // written by newer versions; kept unchanged
}

// MarshalJSON encodes the ledger, including its unknown fields.
func (l Ledger) MarshalJSON() ([]byte, error) {
	type plain Ledger
	return unknownfields.Marshal(plain(l), l.Unknown)
}

// UnmarshalJSON decodes a ledger and keeps unknown fields in Unknown.
func (l *Ledger) UnmarshalJSON(text []byte) error {
	type plain Ledger
	return unknownfields.Unmarshal(text, (*plain)(l), &l.Unknown)
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		Requests:  map[string]*Request{},
		Gateways:  map[string]Gateway{},
		Endpoints: map[string]Endpoint{},
	}
}

// Restore decodes a ledger from JSON. It returns an error if the ledger is not valid, see Ledger.Validate.
func Restore(text []byte) (*Ledger, error) {
	return unknownfields.Restore("orders", text, NewLedger())
}

// Validate returns an error for an inconsistent ledger, one that no sequence of calls can produce.
func (l *Ledger) Validate() error {
	hasMaps := l.Requests != nil && l.Gateways != nil && l.Endpoints != nil
	withinLimits := len(l.Requests) <= 2*maxRequests && len(l.Budgets) <= maxBudgets
	countersCanRise := l.LastToken < math.MaxUint64 && l.Seq < math.MaxUint64 && l.Version < math.MaxUint64
	if !hasMaps || !withinLimits || !countersCanRise {
		return errors.New("not a ledger")
	}
	for id, r := range l.Requests {
		if r == nil || r.ID != id || r.Token > l.LastToken || r.Seq > l.Seq {
			return fmt.Errorf("%q is no drain request", id)
		}
	}
	return nil
}

// BeginTerm starts the term of a new leader, whose clock reads now. The clocks of two leaders are unrelated, so all stored times are
// shifted by their difference.
func (l *Ledger) BeginTerm(now time.Duration) {
	shift := now - l.Now
	l.Now = now
	for _, r := range l.Requests {
		r.StateSince += shift
		if r.Deadline > 0 {
			r.Deadline += shift
		}
	}
}

// SetHalted halts or resumes granting. While the ledger is halted, targets that are out of service stay out of service, and their
// requests can be cancelled.
func (l *Ledger) SetHalted(now time.Duration, halted bool) {
	l.advance(now)
	if l.Halted != halted {
		l.Halted = halted
		l.Version++
	}
	l.reconcile()
}

// SetBudgets replaces the budgets. If more members are unavailable than a new budget allows, none is returned to service: only grants
// that have not begun are revoked, and no others are made. On an error the previous budgets stay in force.
func (l *Ledger) SetBudgets(now time.Duration, budgets []Budget) error {
	l.advance(now)
	if len(budgets) > maxBudgets {
		return fmt.Errorf("%d budgets, %d at most", len(budgets), maxBudgets)
	}
	for i := range budgets {
		if err := budgets[i].validate(); err != nil {
			return err
		}
	}
	l.Budgets = slices.Clone(budgets)
	l.reconcile()
	return nil
}

// Observe replaces the known gateways and endpoints of the fleet by a complete observation. The version is the ledger version that every
// gateway had applied when it reported. A gateway that does not report has to be passed as not serving.
//
// A gateway that was killed while it was drained and has restarted is still drained: its request stays in effect. A cancelled request is
// not ended by an observation from before its cancellation.
func (l *Ledger) Observe(now time.Duration, version uint64, gateways []Gateway, endpoints []Endpoint) error {
	l.advance(now)
	l.ObservedVersion = max(l.ObservedVersion, min(version, l.Version))
	if len(gateways) > maxGateways || len(endpoints) > maxEndpoints {
		return fmt.Errorf("%d gateways and %d endpoints, %d and %d at most", len(gateways), len(endpoints), maxGateways, maxEndpoints)
	}
	clear(l.Gateways)
	for _, gateway := range gateways {
		l.Gateways[gateway.Name] = gateway
	}
	clear(l.Endpoints)
	for _, endpoint := range endpoints {
		key := endpointKey(endpoint.Cluster, endpoint.Address)
		l.Endpoints[string(key)] = endpoint
	}
	l.reconcile()
	return nil
}

// advance moves the ledger's time forward. Within a term it never goes back.
func (l *Ledger) advance(now time.Duration) { l.Now = max(l.Now, now) }
