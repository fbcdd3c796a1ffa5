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
	// PriceOnly weighs servers of other zones by the balancer's cross-zone price alone.
	PriceOnly
	// Failover uses the own zone while it has a ready server, and otherwise another one, without limits.
	Failover
)

// String returns the mode's name for reports.
func (m Mode) String() string { return [...]string{"tiers", "no tiers", "plain failover"}[m] }

// Class is a class of requests.
type Class struct {
	balancer.Class
	// Fraction of all requests that are of this class.
	Fraction float64
	// DrawServiceTime returns how long a server at full speed works for a request; nil: exponentially distributed around
	// Options.ServiceTime.
	DrawServiceTime func(*rand.Rand) time.Duration
	// ResponseTime is how long a response takes on the link beside the delay.
	ResponseTime time.Duration
}

// Group is a number of equal servers.
type Group struct {
	Zone      string
	Servers   int
	Workers   int // 0: Options.Workers
	QueueSize int // 0: Options.QueueSize
	// Speed returns the fraction of the full speed at a time since the start; nil: always 1.
	Speed func(at time.Duration) float64
}

// Arrival is a request that a client sends.
type Arrival struct {
	At      time.Duration // since the start
	Class   int           // index of Options.Classes
	Gateway int
	Tenant  string
}

// Link is the network between gateways and servers, beside Options.CrossZoneDelay.
type Link struct {
	Delay  time.Duration // each way
	Jitter time.Duration // mean of an exponentially distributed delay that is added
	Loss   float64       // fraction of responses in whose place the connection is lost
}

// Response is how a client's request ended. Exactly one of the four conditions is set.
type Response struct {
	At       time.Duration // since the start, when the client sent the request first
	Took     time.Duration // since it sent the request last
	Class    string
	InTime   bool
	Late     bool
	Rejected bool
	Failed   bool
}

// Observer is called with what happens. Its functions may be nil.
type Observer struct {
	ResponseReceived func(Response)
	AttemptSent      func(at time.Duration, zone, server string)
}

// ClientRetry is what a client does whose request is rejected.
type ClientRetry uint8

// The behaviours of clients whose request is rejected.
const (
	NoRetry ClientRetry = iota
	// RetryAtOnce retries after a round trip, while a response can be in time.
	RetryAtOnce
	// RetryAfter retries after the time that the gateway demands, while a response can be in time.
	RetryAfter
)

// Event calls a function at a time since the start.
type Event struct {
	At time.Duration
	Do func(*Fleet)
}

// Options describe a simulation. Zero values have the defaults that are given.
type Options struct {
	Seed     uint64
	Duration time.Duration // 30 s
	// Phases are the times at which a phase of the result ends and the next one begins.
	Phases []time.Duration
	Events []Event

	Mode     Mode
	Gateways int // 4
	// Zones of the servers, and of the gateways in turn.
	Zones []string // two
	// Zone configures the pickers of the mode Tiers.
	Zone locality.Options
	// Admission returns a gateway's admission control; nil: the balancer's own.
	Admission func(gateway int) (balancer.Admission, error)

	// Servers in each zone.
	Servers int // 6
	// Groups replace Servers if the servers are not equal.
	Groups      []Group
	Workers     int           // 4, of a server
	ServiceTime time.Duration // 20 ms, mean
	QueueSize   int           // 100 requests that wait for a worker, before further ones are rejected
	WarmUp      time.Duration // 10 s
	// InitialSpeed is the fraction of the full speed at which a cold server begins.
	InitialSpeed float64 // 0.2
	// OverloadMultiple is the load of a second, as a multiple of its capacity, at which a cold server crashes.
	OverloadMultiple float64 // 2.5

	// CrossZoneDelay is the round trip between zones.
	CrossZoneDelay time.Duration // 8 ms
	Link           Link
	// ConnectTime is a server's work for a new connection at full speed; 0: connections cost nothing. Gateways reuse an idle
	// connection for IdleTimeout.
	ConnectTime time.Duration
	IdleTimeout time.Duration // 10 s
	Source      Source

	Classes []Class // three
	// Rate of requests per second to all gateways, which Burst multiplies; nil: 1.
	Rate  float64
	Burst func(at time.Duration) float64
	// Arrivals replaces Rate and Burst; it returns requests in order of time, and false when there are no more.
	Arrivals func() (Arrival, bool)
	// Clients send one request after the other, with an exponentially distributed pause around ThinkTime, beside other requests.
	Clients     int
	ThinkTime   time.Duration
	ClientRetry ClientRetry

	Observer Observer
	// Trace is called with the transitions of the gateways' pickers; nil: nothing is.
	Trace func(at time.Duration, text string)
}

// withDefaults returns the options without zero values.
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

// defaultClasses returns reads, writes with an idempotency key and writes that must not be repeated.
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
