package fleet

import (
	"cmp"
	"math/rand/v2"
	"time"

	"robindrum/balancer"
	"robindrum/internal/locality"
)

// Mode is how gateways choose among zones.
type Mode uint8

// The modes of choosing among zones.
const (
	// Tiers gives each gateway a locality.Picker.
	Tiers Mode = iota
	// PenaltyOnly uses all zones and relies on the balancer's cross-zone penalty alone.
	PenaltyOnly
	// Failover uses the gateway's own zone while that has a ready server, and otherwise another zone, without limits.
	Failover
)

// String returns the mode's name for reports.
func (m Mode) String() string { return [...]string{"tiers", "no tiers", "plain failover"}[m] }

// Class is a class of requests.
type Class struct {
	balancer.Class
	// Fraction is the fraction of all requests that are of this class.
	Fraction float64
	// DrawServiceTime returns a random service time of a request at full speed. If it is nil, service times are exponentially distributed
	// with the mean Options.ServiceTime.
	DrawServiceTime func(*rand.Rand) time.Duration
	// ResponseTime is the transmission time of a response, in addition to the link's delay.
	ResponseTime time.Duration
}

// Group is a number of identical servers.
type Group struct {
	Zone      string
	Servers   int
	Workers   int // default: Options.Workers
	QueueSize int // default: Options.QueueSize
	// Speed returns the servers' speed as a fraction of the full speed, at a time since the start. If it is nil, the speed is always 1.
	Speed func(at time.Duration) float64
}

// Arrival is a request that a client sends.
type Arrival struct {
	At      time.Duration // since the start
	Class   int           // index of Options.Classes
	Gateway int
	Tenant  string
}

// Link describes the network between gateways and servers. Its delay is in addition to Options.CrossZoneDelay.
type Link struct {
	Delay  time.Duration // each way
	Jitter time.Duration // mean of an additional, exponentially distributed delay
	Loss   float64       // fraction of responses that are lost together with their connection
}

// Response is the outcome of a client's request. Exactly one of InTime, Late, Rejected and Failed is set.
type Response struct {
	At       time.Duration // when the client first sent the request, since the start
	Took     time.Duration // since the client last sent the request
	Class    string
	InTime   bool
	Late     bool
	Rejected bool
	Failed   bool
}

// Observer holds functions that are called for events of the simulation. They may be nil.
type Observer struct {
	ResponseReceived func(Response)
	AttemptSent      func(at time.Duration, zone, server string)
}

// ClientRetry is the behaviour of clients when a request is rejected.
type ClientRetry uint8

// The behaviours of clients when a request is rejected.
const (
	NoRetry ClientRetry = iota
	// RetryAtOnce retries after a round trip, as long as a response can still be in time.
	RetryAtOnce
	// RetryAfter retries after the gateway's Retry-After time, as long as a response can still be in time.
	RetryAfter
)

// Event calls a function at a time since the start.
type Event struct {
	At time.Duration
	Do func(*Fleet)
}

// Options describes a simulation. A duration or number after a field is its default, which replaces the zero value.
type Options struct {
	Seed     uint64
	Duration time.Duration // 30 s
	// Phases are the times, since the start, at which one phase of the result ends and the next one begins.
	Phases []time.Duration
	Events []Event

	Mode     Mode
	Gateways int // 4
	// Zones are the zones of the servers. Gateways are assigned to them round-robin.
	Zones []string // default: two zones
	// Zone configures the locality pickers of the mode Tiers.
	Zone locality.Options
	// Admission returns a gateway's admission control. If it is nil, gateways use the balancer's default.
	Admission func(gateway int) (balancer.Admission, error)

	// Servers is the number of servers in each zone.
	Servers int // 6
	// Groups replaces Servers if the servers are not identical.
	Groups      []Group
	Workers     int           // 4, per server
	ServiceTime time.Duration // 20 ms, mean
	QueueSize   int           // 100 requests per server that wait for a worker; more are rejected
	WarmUp      time.Duration // 10 s
	// InitialSpeed is the speed of a server at its start, as a fraction of the full speed.
	InitialSpeed float64 // 0.2
	// OverloadMultiple is the load, as a multiple of the current capacity over a second, above which a cold server crashes.
	OverloadMultiple float64 // 2.5

	// CrossZoneDelay is the round-trip time between zones.
	CrossZoneDelay time.Duration // 8 ms
	Link           Link
	// ConnectTime is a server's processing time for a new connection at full speed; if it is 0, connections are free. Gateways reuse
	// connections that have been idle for less than IdleTimeout.
	ConnectTime time.Duration
	IdleTimeout time.Duration // 10 s
	Source      Source

	Classes []Class // default: three classes, see defaultClasses
	// Rate is the number of requests per second to all gateways together. Burst returns a factor for it at a time since the start; nil
	// means 1.
	Rate  float64
	Burst func(at time.Duration) float64
	// Arrivals, if not nil, replaces Rate and Burst. It returns the requests in order of time, and false when there are no more.
	Arrivals func() (Arrival, bool)
	// Clients is the number of closed-loop clients. Each sends one request after the other, with exponentially distributed pauses of mean
	// ThinkTime, in addition to the requests of Rate or Arrivals.
	Clients     int
	ThinkTime   time.Duration
	ClientRetry ClientRetry

	Observer Observer
	// Trace, if not nil, is called with the transitions of the gateways' locality pickers.
	Trace func(at time.Duration, text string)
}

// withDefaults returns the options with zero values replaced by the defaults.
func (o Options) withDefaults() Options {
	if len(o.Zones) == 0 {
		o.Zones = []string{"sapporo", "ishikari"}
	}
	o.Duration = cmp.Or(o.Duration, 30*time.Second)
	o.Gateways = cmp.Or(o.Gateways, 4)
	o.Servers = cmp.Or(o.Servers, 6)
	o.Workers = cmp.Or(o.Workers, 4)
	o.ServiceTime = cmp.Or(o.ServiceTime, 20*time.Millisecond)
	o.QueueSize = cmp.Or(o.QueueSize, 100)
	o.WarmUp = cmp.Or(o.WarmUp, 10*time.Second)
	o.InitialSpeed = cmp.Or(o.InitialSpeed, 0.2)
	o.OverloadMultiple = cmp.Or(o.OverloadMultiple, 2.5)
	o.CrossZoneDelay = cmp.Or(o.CrossZoneDelay, 8*time.Millisecond)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, 10*time.Second)
	if len(o.Classes) == 0 {
		o.Classes = defaultClasses()
	}
	if len(o.Groups) == 0 {
		for _, zone := range o.Zones {
			o.Groups = append(o.Groups, Group{Zone: zone, Servers: o.Servers})
		}
	}
	return o
}

// defaultClasses returns a class of reads, a class of writes with an idempotency key, and a class of non-idempotent writes.
func defaultClasses() []Class {
	return []Class{
		{
			Class:    balancer.Class{Name: "seat-map", LatencyObjective: 200 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1},
			Fraction: 0.7,
		},
		{
			Class: balancer.Class{Name: "seat-hold", LatencyObjective: 150 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 5,
				Effect: balancer.IdempotentWithKey, Group: balancer.GroupZone, Window: 4 * time.Second},
			Fraction: 0.25,
		},
		{
			Class: balancer.Class{Name: "pay", LatencyObjective: 200 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 20,
				Effect: balancer.NonIdempotent},
			Fraction: 0.05,
		},
	}
}
