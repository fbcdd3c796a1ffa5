// Package drain decides when gateways and endpoints of a fleet may be taken out of service. Operators and releases submit drain
// requests; disruption budgets say how many members of the fleet may be unavailable at a time.
//
// The package is a state machine that the quorum replicates beside its leases: it has no clock, no I/O and no goroutine, and the same
// calls lead to the same ledger, texts included. Times are readings of the leader's clock, as in package lease.
//
// A member that is missing counts as unavailable, whatever the cause. A request is granted against the budgets before anything is
// taken out of service, and counts against them until its target has been observed in service again. Bringing a target back needs
// neither budget nor quorum.
package drain

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"robindrum/internal/unknownfields"
)

// Limits of what one ledger holds: texts come from outside, and each snapshot contains the ledger.
const (
	maxRequests      = 1024 // that have not ended; and as many that have
	maxBudgets       = 64
	maxGateways      = 4096
	maxEndpoints     = 20_000
	maxUnknownFields = 16 // of one request
	maxTextBytes     = 256
	// endedRetention is how long a request that has ended stays in the ledger.
	endedRetention = 24 * time.Hour
)

// MaxGrace limits how long a drain waits for requests in flight.
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
	// Healthy reports whether enough gateways use it: it is warmed up and not ejected.
	Healthy bool `json:"well"`
}

// Ledger holds all drain requests and what they are decided by. It is not safe for concurrent use.
type Ledger struct {
	Version   uint64              `json:"version"` // rises with each change that gateways have to know of
	LastToken uint64              `json:"last_token"`
	Seq       uint64              `json:"seq"`
	Now       time.Duration       `json:"now"`
	Requests  map[string]*Request `json:"orders"` // by ID
	Budgets   []Budget            `json:"budgets"`
	Gateways  map[string]Gateway  `json:"gateways"`  // by name
	Endpoints map[string]Endpoint `json:"endpoints"` // by cluster and address, with a slash between them
	Halted    bool                `json:"halted,omitempty"`
	// ObservedVersion is the version that every gateway had applied when Gateways and Endpoints were observed.
	ObservedVersion uint64               `json:"seen"`
	Unknown         unknownfields.Fields `json:"-"` // passed on unchanged
}

// MarshalJSON encodes the ledger with its unknown fields.
func (l Ledger) MarshalJSON() ([]byte, error) {
	type plain Ledger
	return unknownfields.Marshal(plain(l), l.Unknown)
}

// UnmarshalJSON decodes a ledger and keeps the fields that this program does not know.
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

// Restore decodes a ledger from its JSON. It returns an error for a ledger that no sequence of calls can have led to.
func Restore(text []byte) (*Ledger, error) {
	return unknownfields.Restore("orders", text, NewLedger())
}

// Validate returns an error where no sequence of calls can have led to the ledger.
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

// BeginTerm starts the term of another leader, whose clock reads now. The clocks of two leaders are unrelated, so all times are moved
// by their difference.
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

// SetHalted halts or resumes granting. While the ledger is halted, targets that are out of service stay so and may be brought back.
func (l *Ledger) SetHalted(now time.Duration, halted bool) {
	l.advance(now)
	if l.Halted != halted {
		l.Halted = halted
		l.Version++
	}
	l.reconcile()
}

// SetBudgets replaces the budgets. A budget that is lower than what is unavailable brings nothing back; it only stops further grants.
// On an error the former budgets stay.
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

// Observe replaces what is known of the fleet's gateways and endpoints by a complete observation. Version is the ledger's version that
// every gateway had applied when it reported; a gateway that does not report is to be passed as not serving.
//
// A gateway that was killed while it was drained, and runs again, is still drained: its request goes on. A cancelled request is not
// ended by an observation from before its cancellation.
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

// advance moves the ledger's time on. It never goes back within a term.
func (l *Ledger) advance(now time.Duration) { l.Now = max(l.Now, now) }
