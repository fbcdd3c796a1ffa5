// Package experiment runs load-balancing experiments. One strict YAML file describes a fleet of servers, the gateways in front of it,
// a load, injected events, and the checks that the results must pass.
//
// Two engines run the same file and return the same kind of report. The simulated engine (Simulate) runs the decision modules on
// simulated time; its results depend only on the seed. The loopback engine (RunLoopback) runs the real program as child processes
// against local servers, in real time.
package experiment

import (
	"fmt"
	"os"
	"time"

	"robindrum/internal/capture"
	"robindrum/internal/config"
)

// Experiment is the content of an experiment file.
type Experiment struct {
	Name        string            `yaml:"name"`
	Description string            `yaml:"about"` // one line
	Seed        int               `yaml:"seed"`
	Length      config.Duration   `yaml:"length"`
	Fleet       Fleet             `yaml:"fleet"`
	Gateways    Gateways          `yaml:"gateways"`
	Classes     []Class           `yaml:"classes"`
	Load        Load              `yaml:"load"`
	Phases      []config.Duration `yaml:"phases"` // boundaries between phases; the last phase ends with the load
	Events      []Event           `yaml:"events"`
	Checks      []Check           `yaml:"checks"`

	trace *trace // nil unless the load replays a capture
}

// Fleet describes the servers: either the same number of identical servers in each zone, or Groups.
type Fleet struct {
	Zones        []string `yaml:"zones"`
	Servers      int      `yaml:"servers"` // per zone
	Groups       []Group  `yaml:"groups"`  // replaces Servers
	Workers      int      `yaml:"workers"` // per server
	QueueLimit   int      `yaml:"queue"`   // requests that may wait for a worker; a server rejects further ones
	ServiceTime  `yaml:",inline"`
	Link         Link            `yaml:"link"`
	WarmUp       config.Duration `yaml:"warm_up"`
	InitialSpeed float64         `yaml:"warm_share"` // fraction of full speed at the start of the warm-up
	CollapseLoad float64         `yaml:"fall"`       // ratio of load to capacity over one second above which a warming server collapses
	CrossZoneRTT config.Duration `yaml:"cross"`      // round trip to another zone; within a zone it is an eighth of this
	ConnectCost  config.Duration `yaml:"connect"`    // server time that a new connection adds to its first request
}

// Group describes identical servers of one zone.
type Group struct {
	Zone       string          `yaml:"zone"`
	Servers    int             `yaml:"servers"`
	Workers    int             `yaml:"workers"`
	QueueLimit int             `yaml:"queue"`
	Speed      float64         `yaml:"speed"` // relative to the configured service times
	Neighbour  *NoisyNeighbour `yaml:"neighbour,omitempty"`
}

// NoisyNeighbour is another program on the machines of a group that takes a share of their speed while it is active.
type NoisyNeighbour struct {
	Start      config.Duration `yaml:"from"`
	Period     config.Duration `yaml:"every"` // 0: active without a pause from Start
	Duration   config.Duration `yaml:"lasts"` // active time in each period
	SpeedShare float64         `yaml:"takes"` // fraction of the speed
}

// ServiceTime is the distribution of the time that a server at full speed needs for a request.
type ServiceTime struct {
	MeanServiceTime config.Duration `yaml:"service"`
	Distribution    string          `yaml:"distribution"` // exponential, constant or lognormal
	Variation       float64         `yaml:"variation"`    // coefficient of variation of a lognormal distribution
}

// Link is the network between gateways and servers, in addition to the cross-zone round trip.
type Link struct {
	Delay     config.Duration `yaml:"delay"`     // each way
	Jitter    config.Duration `yaml:"jitter"`    // mean of the exponential delay added to Delay
	Loss      float64         `yaml:"loss"`      // fraction of responses that are replaced by a broken connection
	Bandwidth config.Size     `yaml:"bandwidth"` // bytes per second for each response; 0: unlimited
}

// Gateways describes the gateways. They are assigned to the zones round-robin and share no state.
type Gateways struct {
	Count          int            `yaml:"number"`
	ZoneMode       string         `yaml:"zones"`     // tiers, price or failover
	Admission      string         `yaml:"admission"` // adaptive, fixed, off, or estimate (the balancer's own estimate)
	AdmissionLimit int            `yaml:"limit"`     // for fixed admission
	Source         EndpointSource `yaml:"source"`
}

// EndpointSource is the service from which a starting gateway fetches the endpoint list before it becomes ready.
type EndpointSource struct {
	Concurrency  int             `yaml:"places"`   // concurrent calls; 0: unlimited
	ResponseTime config.Duration `yaml:"takes"`    // of a call
	QueueTimeout config.Duration `yaml:"patience"` // after which a waiting call fails; 0: never
}

// Class is a request class.
type Class struct {
	Name             string           `yaml:"name"`
	LoadShare        float64          `yaml:"part"` // the shares of all classes add up to 1
	LatencyObjective config.Duration  `yaml:"wanted"`
	Deadline         config.Duration  `yaml:"deadline"`
	PriorityWeight   float64          `yaml:"worth"`
	Effect           config.Effect    `yaml:"effect"`
	Group            config.Group     `yaml:"group"`
	Window           config.Duration  `yaml:"window"`
	ServiceTime      `yaml:",inline"` // defaults to that of the fleet
	ResponseSize     config.Size      `yaml:"answer"` // bytes
}

// Load combines an open loop, whose arrivals do not wait for responses, with closed-loop clients.
type Load struct {
	Rate      float64         `yaml:"rate"`     // requests per second over all gateways
	Arrivals  string          `yaml:"arrivals"` // poisson or constant
	RateSpans []RateSpan      `yaml:"times"`
	OnOff     *OnOff          `yaml:"on_off,omitempty"`
	Bursts    []Burst         `yaml:"bursts"`
	Clients   int             `yaml:"clients"` // closed-loop clients, each with one request at a time
	ThinkTime config.Duration `yaml:"think"`   // mean pause of a client between its requests
	Keys      *KeySpace       `yaml:"keys,omitempty"`
	Trace     *Trace          `yaml:"trace,omitempty"`
	RetryMode string          `yaml:"again"` // reaction of a client to a rejection: gives_up, at_once or heeds (Retry-After)
}

// RateSpan multiplies the rate between Start and End. Where spans overlap, the last one applies.
type RateSpan struct {
	Start           config.Duration `yaml:"from"`
	End             config.Duration `yaml:"to"`
	Multiplier      float64         `yaml:"by"`
	FinalMultiplier *float64        `yaml:"until,omitempty"` // the multiplier changes linearly to this one; nil: it is constant
}

// OnOff alternates between the full rate and no requests.
type OnOff struct {
	On  config.Duration `yaml:"on"`
	Off config.Duration `yaml:"off"`
}

// KeySpace is the set of request keys, drawn with a Zipf distribution.
type KeySpace struct {
	Count        int     `yaml:"number"`
	ZipfExponent float64 `yaml:"exponent"`
}

// Burst is a number of simultaneous requests.
type Burst struct {
	At     config.Duration `yaml:"at"`
	Period config.Duration `yaml:"every"` // 0: the burst occurs once
	Size   int             `yaml:"size"`
}

// Event is a fault or another change that is injected into a zone or the gateways.
type Event struct {
	At             config.Duration `yaml:"at"`
	Action         string          `yaml:"do"` // kill, revive, slow, drain, undrain, flap, push, away, back, restart
	Zone           string          `yaml:"zone"`
	FailureMode    string          `yaml:"how"`     // kill, flap: refuses, silent, says_503, resets or loses
	Fraction       float64         `yaml:"part"`    // kill, drain: of the zone's servers; restart: of the gateways
	RenamedServers int             `yaml:"renamed"` // revive: number of servers that return under a new ID
	NotifyDelay    config.Duration `yaml:"late"`    // revive, drain, undrain: time until the endpoint list shows the change
	SlowdownFactor float64         `yaml:"by"`      // slow: multiplies the service times
	Period         config.Duration `yaml:"every"`   // flap: from one kill to the next
	Downtime       config.Duration `yaml:"down"`    // flap: from kill to revive; restart: from kill to start
	Count          int             `yaml:"count"`   // flap: number of kills
}

// Check is an expectation about a phase and a class over all seeds. That no request is lost, no effect is duplicated and no attempt
// goes to a draining server is always checked.
type Check struct {
	Phase           *int            `yaml:"phase,omitempty"` // from 0; nil: every phase
	Class           string          `yaml:"class"`           // empty: all classes together
	MinInTime       *float64        `yaml:"in_time,omitempty"`
	MaxRejected     *float64        `yaml:"refused,omitempty"` // rejected, failed or lost
	MaxLate         *float64        `yaml:"late,omitempty"`
	MaxP99          config.Duration `yaml:"p99"`
	MaxWarmingLoad  float64         `yaml:"worst_cold"` // ratio of the load of a warming server to its capacity
	MaxConnectRatio float64         `yaml:"connects"`   // ratio of new connections to attempts; needs a ConnectCost of the fleet
	MaxRestartTime  config.Duration `yaml:"back"`       // from a gateway's start until it is ready, in any phase
}

// Limits of an experiment. They bound the time and memory that an erroneous file can use.
const (
	maxRequests           = 5_000_000
	maxServers            = 2_000
	maxGateways           = 2400 // of the simulated engine
	maxServerGatewayPairs = 200_000
	maxEvents             = 1_000
	maxPhases             = 100
	maxLength             = time.Hour
	maxSeeds              = 1000
)

// Open reads and validates an experiment file. Errors in its content are of type config.Errors.
func Open(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the experiment: %w", err)
	}
	return Parse(path, text)
}

// Parse validates the text of an experiment and sets the defaults. The path appears in the errors, which are of type config.Errors,
// and relative paths of captures are resolved against its directory.
func Parse(path string, text []byte) (*Experiment, error) {
	return parse(path, text, true)
}

// OpenFleet reads and validates an experiment file that may lack a load.
func OpenFleet(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the fleet: %w", err)
	}
	return parse(path, text, false)
}

func parse(path string, text []byte, needsLoad bool) (*Experiment, error) {
	e := &Experiment{}
	decoder := config.DecodeStrict(path, text, e)
	if err := decoder.Err(); err != nil {
		return nil, err
	}
	var captured *capture.Capture
	if e.Load.Trace != nil {
		captured = e.openTrace(decoder, path)
		if captured == nil {
			return nil, decoder.Err()
		}
	}
	e.setDefaults()
	e.validate(decoder, needsLoad)
	if captured != nil && decoder.Err() == nil {
		if err := e.setTrace(captured, e.Load.Trace); err != nil {
			decoder.AddError("load.trace", "%v", err)
		}
	}
	if err := decoder.Err(); err != nil {
		return nil, err
	}
	return e, nil
}
