// Package balancer decides where a proxy sends each HTTP request: two ready servers are drawn at random and the
// one with fewer of this proxy's own requests in flight is taken.
//
// # Who calls what
//
// A proxy makes one [Balancer] with [New], giving it a [Host] that carries out its actions. Fleet news goes
// to Fleet first (the list the proxy last knew, perhaps stale). After that each event goes to the method of
// its name in the order in which it happened: Request when a client's request arrives, Started when a
// streamed answer begins, Outcome once for every Send, Gone when the client has left, Timer when a timer has
// run out, Probed when a probe has ended. Actions leave through the Host while the method runs.
//
// A Balancer starts no goroutine, reads no clock and keeps no global state. It must be called from one
// goroutine at a time, and the Host must not call back into it. The same settings, seed and events give the
// same actions. The clock is a reading that never goes back; its origin does not matter.
package balancer

import (
	"errors"
	"fmt"
	"time"
)

// Effect says what a second run of a request does.
type Effect uint8

const (
	Idempotent Effect = iota // harmless
	IdempotentWithKey
	NonIdempotent // never allowed
)

// Group says which servers drop the repeats of a Keyed request.
type Group uint8

const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class is a kind of request.
type Class struct {
	Name               string
	LatencyObjective   time.Duration
	ObjectiveStretch   float64
	Deadline           time.Duration // how long a client waits over all its tries
	Effect             Effect
	Group              Group         // Keyed only
	Window             time.Duration // Keyed only: how long repeats are dropped, from the first send that may have run
	PriorityWeight     float64
	LatePriorityWeight float64 // fraction of Worth for an answer after Aim
	Stream             bool
}

// Tenant is a customer who shares the service.
type Tenant struct {
	Name  string
	Rate  float64 // requests a second inside its share, over all proxies
	Quota float64
}

// Settings is what a proxy is told at its start. Zero limits mean "none" unless said otherwise.
type Settings struct {
	Zone    string
	Zones   []string
	Index   int // this proxy's number, from 0
	Proxies int

	Classes []Class
	Tenants []Tenant
	// OverQuotaWeight is what a request beyond its tenant's share is worth, as a fraction.
	OverQuotaWeight float64
	WeightByWork    bool

	MaxAttempts      int // for one request; 0 is taken as 1
	ParallelAttempts bool
	MayCancel        bool
	MayHealthCheck   bool
	RetryAfter       bool // clients are told how long to wait
	MaxRetryAfter    time.Duration
	ConnectTimeout   time.Duration
	ConnIdle         time.Duration
	Multiplex        int // requests one connection carries at once
	WarmKeys         bool

	Polled          bool          // the list of servers must be asked for
	MaxPollInterval time.Duration // unasked for this long, a proxy counts as told

	AnswerGrace      time.Duration // how long after the deadline a final answer still counts
	DrainGrace       time.Duration
	WarmUpTime       time.Duration
	WarmUpShare      float64 // and begins with this part of its capacity or more
	OverloadMultiple float64 // above this multiple of its capacity
	OverloadWindow   time.Duration

	Price   Prices
	Weights WeightSource
	Report  ReportMode

	Localities LocalityPicker // nil: none
	Admission  Admission      // nil: the module's own estimate
}

// Prices are fractions of the service given for each unit.
type Prices struct {
	CrossZone, Waste, Connection, Handshake, HealthCheck, LateFail, Discovery, Gossip float64
}

// WeightSource says what Server.Weight holds.
type WeightSource uint8

const (
	WeightNone WeightSource = iota // always 1
	WeightNominal
	WeightRough // the size, more or less
	WeightLive  // the size over 1 + requests held a core, some time ago
)

// ReportMode says with what load reports arrive.
type ReportMode uint8

const (
	ReportNone ReportMode = iota
	ReportAnswers
	ReportHealthChecks
)

// State is what the list says of a server.
type State uint8

const (
	Running State = iota
	Draining
	Removed
)

// Server is one entry of the list.
type Server struct {
	ID       string
	Zone     string
	Kind     string
	Cell     int
	State    State
	Weight   float64
	Since    time.Duration // when it last started; 0: long ago
	Priority int           // its tier, where Settings.Tiers are told of it; 0 else
}

// UpdateKind says what a FleetUpdate holds.
type UpdateKind uint8

const (
	UpdateDelta    UpdateKind = iota // entries that changed
	UpdateSnapshot                   // the whole list
	UpdateCached                     // the whole list as last known, perhaps stale
	UpdateFailed                     // a Watch or Fetch failed, or the watch broke; no entries
)

// EndpointUpdate is news of the list.
type EndpointUpdate struct {
	Kind    UpdateKind
	Servers []Server
	// SilentFor is FleetRefused's alone: for how long a watch that broke had told nothing by then, 0 where a call failed. The
	// next call is due so much sooner.
	SilentFor time.Duration
}

// Request is a client's request that this proxy has taken and owes one final answer.
type Request struct {
	ID     string
	Class  string
	Tenant string
	// HighPriority and Size are for an Admission: the priority HIGH of Envoy's circuit breakers, and the bytes kept while it waits.
	HighPriority bool
	Size         int64
	TimeLeft     time.Duration
	Work         time.Duration // expected work; 0: not known
	Key          string        // what it concerns; may be empty
	Write        bool
	Retry        bool
}

// Result is how an attempt ended.
type Result uint8

const (
	Served Result = iota
	ServerError
	Rejected     // proved not run
	TimedOut     // may still run
	NotConnected // proved not run
	ConnectionLost
	Cancelled
	NotSent
)

// Outcome ends an attempt; there is one for each Send.
type Outcome struct {
	ID         string
	Attempt    int // sends of a request are numbered from 0
	Result     Result
	Latency    time.Duration
	Final      bool          // the request has its final answer
	RetryAfter time.Duration // how long the server asks to be left alone for; 0: it does not
	LoadReport map[string]float64
}

// HealthCheckResult ends a probe.
type HealthCheckResult struct {
	Server     string
	Result     Result
	Latency    time.Duration
	LoadReport map[string]float64
}

// Host carries out what a Balancer decides.
type Host interface {
	Send(id, server string, expire time.Duration)
	Reject(id string, retryAfter time.Duration)
	Fail(id string)
	Cancel(id string, attempt int) // stop waiting for an attempt
	HealthCheck(server string)
	CloseIdle(server string)
	SetTimer(token uint64, after time.Duration) // ask for a Timer event
	Watch(on bool)                              // follow changes of the list
	Fetch()                                     // ask for the whole list once
	Log(text string)
}

// check says which field cannot be used, if any.
func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return errors.New("Classes: none given")
	}
	for _, c := range s.Classes {
		switch {
		case c.Deadline <= 0:
			return fmt.Errorf("Classes[%q].Deadline: %v is not positive", c.Name, c.Deadline)
		case c.Effect > NonIdempotent:
			return fmt.Errorf("Classes[%q].Effect: %d is not known", c.Name, c.Effect)
		case c.Effect == IdempotentWithKey && c.Group > GroupCell:
			return fmt.Errorf("Classes[%q].Group: %d is not known", c.Name, c.Group)
		}
	}
	return nil
}
