package balancer

import (
	"fmt"
	"time"
)

// Effect says what a second execution of a request does.
type Effect uint8

// The effects of a second execution.
const (
	Idempotent        Effect = iota // none: the request may be repeated
	IdempotentWithKey               // none where the servers of its Group see the same idempotency key within its Window
	NonIdempotent                   // harm: the request must not be repeated once it may have been executed
)

// Group says which servers recognize repetitions of a request that is IdempotentWithKey.
type Group uint8

// The groups of servers that share idempotency keys.
const (
	GroupAll  Group = iota // all servers
	GroupZone              // the servers of one zone
	GroupCell              // the servers of one cell of a zone
)

// Class is a kind of request.
type Class struct {
	Name               string
	LatencyObjective   time.Duration // not positive or over Deadline: Deadline is taken
	ObjectiveStretch   float64
	Deadline           time.Duration // how long a client waits, over all attempts; must be positive
	Effect             Effect
	Group              Group         // with IdempotentWithKey only
	Window             time.Duration // with IdempotentWithKey only: how long repetitions are recognized, counted from the first attempt that may have been executed
	PriorityWeight     float64       // value of an answer within LatencyObjective, relative to other classes
	LatePriorityWeight float64       // fraction of PriorityWeight for an answer after LatencyObjective
	Stream             bool          // an answer is work for its server for as long as it lasts
}

// Tenant is a customer who shares the service.
type Tenant struct {
	Name  string
	Rate  float64 // requests a second within its quota, over all proxies; 0: unlimited
	Quota float64
}

// Settings configure a Balancer. A limit of zero means "none" unless said otherwise.
type Settings struct {
	Zone    string // of this proxy
	Zones   []string
	Index   int // number of this proxy, from 0
	Proxies int // number of proxies; below 1 is taken as 1

	Classes         []Class // at least one
	Tenants         []Tenant
	OverQuotaWeight float64 // factor of the priority weight of a request over its tenant's quota
	WeightByWork    bool    // PriorityWeight holds for a unit of work, not for a request

	MaxAttempts      int  // for one request; 0 is taken as 1
	ParallelAttempts bool // a request may have several attempts in flight, so that it may be hedged
	MayCancel        bool // Host.Cancel may be called
	MayHealthCheck   bool
	RetryAfter       bool // rejections carry a Retry-After
	MaxRetryAfter    time.Duration
	ConnectTimeout   time.Duration
	ConnIdle         time.Duration
	Multiplex        int // requests that one connection carries at once
	WarmKeys         bool

	Polled          bool          // the endpoint list must be polled with Host.Watch
	MaxPollInterval time.Duration // a proxy that does not poll for this long counts as notified

	AnswerGrace      time.Duration // how long after the deadline a final answer still counts
	DrainGrace       time.Duration
	WarmUpTime       time.Duration // of a server that has started; 0: servers start warm
	WarmUpShare      float64       // fraction of its capacity with which a server starts
	OverloadMultiple float64       // multiple of its capacity above which a server that is warming up fails
	OverloadWindow   time.Duration // over which that is counted

	Price   Prices
	Weights WeightSource
	Report  ReportMode

	Localities LocalityPicker // nil: zones are weighed by the cross-zone price
	Admission  Admission      // nil: the Balancer's own overload estimate decides
}

// Prices are what a unit costs, as fractions of the value of the service.
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

// WeightSource says what Server.Weight holds.
type WeightSource uint8

// The sources of server weights.
const (
	WeightNone    WeightSource = iota // always 1
	WeightNominal                     // the capacity
	WeightRough                       // the capacity, approximately
	WeightLive                        // the capacity over 1 + requests in flight for each core, some time ago
)

// ReportMode says with what load reports arrive.
type ReportMode uint8

// The ways in which load reports arrive.
const (
	ReportNone ReportMode = iota
	ReportAnswers
	ReportHealthChecks
)

// settingError is a setting that cannot be used.
type settingError struct {
	field   string
	problem string
}

func (e *settingError) Error() string {
	return e.field + ": " + e.problem
}

// check returns a *settingError for the first field that cannot be used.
func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return &settingError{"Classes", "none given"}
	}
	for _, c := range s.Classes {
		switch {
		case c.Deadline <= 0:
			return classError(c, "Deadline", "%v is not positive", c.Deadline)
		case c.Effect > NonIdempotent:
			return classError(c, "Effect", "%d is not known", c.Effect)
		case c.Effect == IdempotentWithKey && c.Group > GroupCell:
			return classError(c, "Group", "%d is not known", c.Group)
		}
	}
	return nil
}

func classError(c Class, field, format string, value any) error {
	return &settingError{fmt.Sprintf("Classes[%q].%s", c.Name, field), fmt.Sprintf(format, value)}
}
