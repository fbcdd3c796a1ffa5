package balancer

import (
	"fmt"
	"time"
)

// Effect is the effect of executing a request a second time.
type Effect uint8

// The effects of a second execution.
const (
	Idempotent        Effect = iota // no effect: the request may be repeated
	IdempotentWithKey               // no effect if a server of its Group gets the same idempotency key within its Window
	NonIdempotent                   // harmful: the request must not be repeated once it may have been executed
)

// Group determines which servers recognize a repeated request of a class that is IdempotentWithKey.
type Group uint8

// The groups of servers that share idempotency keys.
const (
	GroupAll  Group = iota // all servers
	GroupZone              // the servers of one zone
	GroupCell              // the servers of one cell of a zone
)

// Class describes a class of requests.
type Class struct {
	Name               string
	LatencyObjective   time.Duration // zero, negative or above Deadline: Deadline is used
	ObjectiveStretch   float64
	Deadline           time.Duration // how long a client waits for all attempts together; must be positive
	Effect             Effect
	Group              Group         // with IdempotentWithKey only
	Window             time.Duration // with IdempotentWithKey only: how long a repetition is recognized, from the first attempt that may have been executed
	PriorityWeight     float64       // value of an answer within LatencyObjective, relative to other classes
	LatePriorityWeight float64       // fraction of PriorityWeight for an answer after LatencyObjective
	Stream             bool          // streaming an answer occupies the server until the answer ends
}

// Tenant is a customer that shares the service with other customers.
type Tenant struct {
	Name  string
	Rate  float64 // requests per second within its quota, over all proxies; 0: unlimited
	Quota float64
}

// Settings configure a Balancer. A limit of 0 means no limit unless stated otherwise.
type Settings struct {
	Zone    string // zone of this proxy
	Zones   []string
	Index   int // index of this proxy, from 0
	Proxies int // number of proxies; a value below 1 counts as 1

	Classes         []Class // at least one
	Tenants         []Tenant
	OverQuotaWeight float64 // factor on the priority weight of a request above its tenant's quota
	WeightByWork    bool    // PriorityWeight applies per unit of work instead of per request

	MaxAttempts      int  // for one request; 0 counts as 1
	ParallelAttempts bool // a request may have several attempts in flight; required for hedging
	MayCancel        bool // Host.Cancel may be called
	MayHealthCheck   bool
	RetryAfter       bool // rejections carry a Retry-After
	MaxRetryAfter    time.Duration
	ConnectTimeout   time.Duration
	ConnIdle         time.Duration
	Multiplex        int // requests that one connection carries concurrently
	WarmKeys         bool

	Polled          bool          // the Balancer polls the endpoint list with Host.Watch
	MaxPollInterval time.Duration // a proxy that has not polled for this long counts as notified

	AnswerGrace      time.Duration // how long after the deadline a final answer still counts
	DrainGrace       time.Duration
	WarmUpTime       time.Duration // duration of slow start; 0: servers start warm
	WarmUpShare      float64       // fraction of its capacity that a server has when it starts
	OverloadMultiple float64       // multiple of its current capacity above which a server that is warming up fails
	OverloadWindow   time.Duration // window in which OverloadMultiple is measured

	Price   Prices
	Weights WeightSource
	Report  ReportMode

	Localities LocalityPicker // nil: the servers of other zones are weighted by the cross-zone price
	Admission  Admission      // nil: the Balancer admits or rejects by its own overload estimate
}

// Prices holds the cost per unit of each resource, as a fraction of the value of the service.
type Prices struct {
	CrossZone   float64
	Waste       float64
	Connection  float64
	Handshake   float64
	HealthCheck float64
	LateFail    float64
	Discovery   float64
	Gossip      float64
}

// WeightSource determines the meaning of Server.Weight.
type WeightSource uint8

// The sources of server weights.
const (
	WeightNone    WeightSource = iota // always 1
	WeightNominal                     // the capacity
	WeightRough                       // the approximate capacity
	WeightLive                        // capacity / (1 + requests in flight per core), some time ago
)

// ReportMode determines how load reports arrive.
type ReportMode uint8

// The ways in which load reports arrive.
const (
	ReportNone ReportMode = iota
	ReportAnswers
	ReportHealthChecks
)

// settingError describes an invalid setting.
type settingError struct {
	field   string
	problem string
}

func (e *settingError) Error() string {
	return e.field + ": " + e.problem
}

// check returns a *settingError for the first invalid field.
func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return &settingError{"Classes", "at least one class is required"}
	}
	for _, c := range s.Classes {
		switch {
		case c.Deadline <= 0:
			return classError(c, "Deadline", "must be positive, got %v", c.Deadline)
		case c.Effect > NonIdempotent:
			return classError(c, "Effect", "unknown effect %d", c.Effect)
		case c.Effect == IdempotentWithKey && c.Group > GroupCell:
			return classError(c, "Group", "unknown group %d", c.Group)
		}
	}
	return nil
}

func classError(c Class, field, format string, value any) error {
	return &settingError{fmt.Sprintf("Classes[%q].%s", c.Name, field), fmt.Sprintf(format, value)}
}
