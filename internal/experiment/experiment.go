// Package experiment runs experiments: a fleet of servers, the gateways before it, a load, what happens meanwhile and what is
// expected of it, all from one strict file. Two engines run the same file and give the same report: the simulated one has
// whole decision modules, zones and admission on simulated time, with the same figures on every machine by seed; the
// loopback one has the real program as child processes, servers that behave as the simulated ones do, and real time.
package experiment

import (
	"fmt"
	"math"
	"os"
	"slices"
	"time"

	"robindrum/balancer"
	"robindrum/internal/capture"
	"robindrum/internal/config"
)

// Experiment is the whole file.
type Experiment struct {
	Name        string            `yaml:"name"`
	Description string            `yaml:"about"` // what it shows, in a line
	Seed        int               `yaml:"seed"`
	Length      config.Duration   `yaml:"length"`
	Fleet       Fleet             `yaml:"fleet"`
	Gateways    Gateways          `yaml:"gateways"`
	Classes     []Class           `yaml:"classes"`
	Load        Load              `yaml:"load"`
	Phases      []config.Duration `yaml:"phases"` // where one ends and the next begins; the last one ends with the load
	Events      []Event           `yaml:"events"`
	Checks      []Check           `yaml:"checks"`

	trace *trace
}

// Fleet is the servers: alike in all zones, or in groups.
type Fleet struct {
	Zones        []string `yaml:"zones"`
	Servers      int      `yaml:"servers"` // in each zone
	Groups       []Group  `yaml:"groups"`  // in place of servers; each of them in one zone
	Workers      int      `yaml:"workers"` // of a server
	QueueLimit   int      `yaml:"queue"`   // requests a server holds beside those its workers have, before it turns away
	ServiceTime  `yaml:",inline"`
	Link         Link            `yaml:"link"`
	WarmUp       config.Duration `yaml:"warm_up"`
	InitialSpeed float64         `yaml:"warm_share"` // of its speed that a cold server begins with
	CollapseLoad float64         `yaml:"fall"`       // multiple of its warm-up capacity over a second at which it falls over
	CrossZoneRTT config.Duration `yaml:"cross"`      // round trip to another zone; within one it is an eighth of that
	ConnectCost  config.Duration `yaml:"connect"`    // a server's work for a new connection, over a request's
}

// Group is servers that are alike.
type Group struct {
	Zone       string          `yaml:"zone"`
	Servers    int             `yaml:"servers"`
	Workers    int             `yaml:"workers"`
	QueueLimit int             `yaml:"queue"`
	Speed      float64         `yaml:"speed"` // 1 is the speed that service times are told for
	Neighbour  *NoisyNeighbour `yaml:"neighbour,omitempty"`
}

// NoisyNeighbour is another program on the same machines, which takes a part of their speed while it works.
type NoisyNeighbour struct {
	Start      config.Duration `yaml:"from"`
	Period     config.Duration `yaml:"every"` // 0: it works from From on
	Duration   config.Duration `yaml:"lasts"` // of each time
	SpeedShare float64         `yaml:"takes"` // part of the speed
}

// ServiceTime is how long a server at its full speed takes for a request.
type ServiceTime struct {
	MeanServiceTime config.Duration `yaml:"service"` // mean
	Distribution    string          `yaml:"distribution"`
	Variation       float64         `yaml:"variation"` // of a lognormal one: standard deviation over mean
}

// Link is between gateways and servers, beside the round trip to another zone.
type Link struct {
	Delay     config.Duration `yaml:"delay"`     // each way
	Jitter    config.Duration `yaml:"jitter"`    // mean of what is added to it
	Loss      float64         `yaml:"loss"`      // of answers: the connection breaks in place of one
	Bandwidth config.Size     `yaml:"bandwidth"` // bytes a second of one answer; 0: no bound
}

// Gateways are those before the fleet; they stand in the zones in turn and share nothing.
type Gateways struct {
	Count          int            `yaml:"number"`
	ZoneMode       string         `yaml:"zones"`     // tiers, price or failover
	Admission      string         `yaml:"admission"` // adaptive, fixed, off, or estimate: the decision module's own
	AdmissionLimit int            `yaml:"limit"`     // of a fixed admission
	Source         EndpointSource `yaml:"source"`
}

// EndpointSource is what tells the gateways the list: one that starts asks it, and is not ready before it has an answer.
type EndpointSource struct {
	Concurrency  int             `yaml:"places"`   // calls that it works on at once; 0: any number
	ResponseTime config.Duration `yaml:"takes"`    // of a call
	QueueTimeout config.Duration `yaml:"patience"` // that a call waits for a place before it fails; 0: for ever
}

// Class is a kind of request.
type Class struct {
	Name             string           `yaml:"name"`
	LoadShare        float64          `yaml:"part"` // of the load
	LatencyObjective config.Duration  `yaml:"wanted"`
	Deadline         config.Duration  `yaml:"deadline"`
	PriorityWeight   float64          `yaml:"worth"`
	Effect           config.Effect    `yaml:"effect"`
	Group            config.Group     `yaml:"group"`
	Window           config.Duration  `yaml:"window"`
	ServiceTime      `yaml:",inline"` // where it is not the fleet's
	ResponseSize     config.Size      `yaml:"answer"` // bytes
}

// Load is an open loop, in which arrivals do not wait for answers, and beside it clients who do.
type Load struct {
	Rate      float64         `yaml:"rate"`     // requests a second over all gateways
	Arrivals  string          `yaml:"arrivals"` // poisson or constant
	RateSpans []RateSpan      `yaml:"times"`    // spans in which it is a multiple of that
	OnOff     *OnOff          `yaml:"on_off,omitempty"`
	Bursts    []Burst         `yaml:"bursts"`
	Clients   int             `yaml:"clients"` // that ask one request after the other
	ThinkTime config.Duration `yaml:"think"`   // mean pause of theirs
	Keys      *KeySpace       `yaml:"keys,omitempty"`
	Trace     *Trace          `yaml:"trace,omitempty"`
	RetryMode string          `yaml:"again"` // what a client does that is refused: gives_up, at_once or heeds
}

// RateSpan multiplies the rate for a while; where spans overlap the last one counts.
type RateSpan struct {
	Start           config.Duration `yaml:"from"`
	End             config.Duration `yaml:"to"`
	Multiplier      float64         `yaml:"by"`
	FinalMultiplier *float64        `yaml:"until,omitempty"` // a ramp: the multiple goes from By to it
}

// OnOff has the rate come and go.
type OnOff struct {
	On  config.Duration `yaml:"on"`
	Off config.Duration `yaml:"off"`
}

// KeySpace are whose requests they are, with a Zipf spread: the first ones ask most.
type KeySpace struct {
	Count        int     `yaml:"number"`
	ZipfExponent float64 `yaml:"exponent"`
}

// Burst is so many requests at the same moment.
type Burst struct {
	At     config.Duration `yaml:"at"`
	Period config.Duration `yaml:"every"` // 0: once
	Size   int             `yaml:"size"`
}

// Event is something that happens to a zone, or to the gateways.
type Event struct {
	At             config.Duration `yaml:"at"`
	Action         string          `yaml:"do"` // kill, revive, slow, drain, undrain, flap, push, away, back, restart
	Zone           string          `yaml:"zone"`
	FailureMode    string          `yaml:"how"`     // kill: refuses, silent, says_503, resets or loses
	Fraction       float64         `yaml:"part"`    // kill, drain: of the zone's servers; restart: of the gateways; 1
	RenamedServers int             `yaml:"renamed"` // revive: so many come under new ids
	NotifyDelay    config.Duration `yaml:"late"`    // revive, drain, undrain: until the list tells of it
	SlowdownFactor float64         `yaml:"by"`      // slow: everything takes so many times as long
	Period         config.Duration `yaml:"every"`   // flap: from one kill to the next
	Downtime       config.Duration `yaml:"down"`    // flap: until it is revived; restart: from the kill to the start
	Count          int             `yaml:"count"`   // flap
}

// Check is what is expected of a phase and a class, over all seeds. That no request is lost and no effect taken twice is
// always checked.
type Check struct {
	Phase           *int            `yaml:"phase,omitempty"` // from 0; none: all together
	Class           string          `yaml:"class"`           // none: all together
	MinInTime       *float64        `yaml:"in_time,omitempty"`
	MaxRejected     *float64        `yaml:"refused,omitempty"`
	MaxLate         *float64        `yaml:"late,omitempty"`
	MaxP99          config.Duration `yaml:"p99"`
	MaxWarmingLoad  float64         `yaml:"worst_cold"` // load of a cold server over what it can do
	MaxConnectRatio float64         `yaml:"connects"`   // new connections over attempts, where the fleet has a cost of connect
	MaxRestartTime  config.Duration `yaml:"back"`       // of all phases: the longest from a gateway's start until it was ready
}

// Bounds of an experiment. Danger: a slip of the pen in a file would run for a year, or take all memory.
const (
	maxRequests = 5_000_000
	maxServers  = 2_000
	maxGateways = 2400    // simulated; real ones have a bound of their own
	maxViews    = 200_000 // servers times gateways
	maxEvents   = 1_000
	maxLength   = time.Hour
	maxSeeds    = 1000
)

// Open reads and checks a file.
func Open(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the experiment: %w", err)
	}
	return Parse(path, text)
}

// Parse checks an experiment's text and fills in what was left out. The error is of type config.Errors.
func Parse(path string, text []byte) (*Experiment, error) {
	return parse(path, text, true)
}

// OpenFleet reads an experiment that may have no load.
func OpenFleet(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the fleet: %w", err)
	}
	return parse(path, text, false)
}

func parse(path string, text []byte, load bool) (*Experiment, error) {
	e := &Experiment{}
	s := config.DecodeStrict(path, text, e)
	if err := s.Err(); err != nil {
		return nil, err
	}
	var captured *capture.Capture
	if e.Load.Trace != nil {
		if captured = e.openTrace(s, path); captured == nil {
			return nil, s.Err()
		}
	}
	e.setDefaults()
	e.validate(s, load)
	if captured != nil && s.Err() == nil {
		if err := e.setTrace(captured, e.Load.Trace); err != nil {
			s.AddError("load.trace", "%v", err)
		}
	}
	if err := s.Err(); err != nil {
		return nil, err
	}
	return e, nil
}

func (e *Experiment) setDefaults() {
	or := func(v *config.Duration, to time.Duration) {
		if *v == 0 {
			*v = config.Duration(to)
		}
	}
	number := func(v *int, to int) {
		if *v == 0 {
			*v = to
		}
	}
	text := func(v *string, to string) {
		if *v == "" {
			*v = to
		}
	}
	real := func(v *float64, to float64) {
		if *v == 0 {
			*v = to
		}
	}
	number(&e.Seed, 1)
	or(&e.Length, 30*time.Second)
	f, g := &e.Fleet, &e.Gateways
	if len(f.Zones) == 0 {
		f.Zones = []string{"a"}
	}
	number(&f.Servers, 2)
	number(&f.Workers, 4)
	number(&f.QueueLimit, 100)
	or(&f.MeanServiceTime, 20*time.Millisecond)
	text(&f.Distribution, "exponential")
	real(&f.Variation, 1)
	if len(f.Groups) == 0 {
		for _, z := range f.Zones {
			f.Groups = append(f.Groups, Group{Zone: z, Servers: f.Servers})
		}
	}
	for i := range f.Groups {
		g := &f.Groups[i]
		text(&g.Zone, f.Zones[0])
		number(&g.Servers, f.Servers)
		number(&g.Workers, f.Workers)
		number(&g.QueueLimit, f.QueueLimit)
		real(&g.Speed, 1)
	}
	or(&f.WarmUp, 10*time.Second)
	real(&f.InitialSpeed, 0.2)
	real(&f.CollapseLoad, 2.5)
	or(&f.CrossZoneRTT, 8*time.Millisecond)
	number(&g.Count, 1)
	text(&g.ZoneMode, "price")
	text(&g.Admission, "adaptive")
	number(&g.AdmissionLimit, 1024)
	text(&e.Load.RetryMode, "gives_up")
	text(&e.Load.Arrivals, "poisson")
	if e.Load.Clients > 0 {
		or(&e.Load.ThinkTime, 100*time.Millisecond)
	}
	if t := e.Load.Trace; t != nil {
		real(&t.Speed, 1)
		real(&t.Multiplier, 1)
		text(&t.UnknownClasses, "refuse")
	}
	if k := e.Load.Keys; k != nil {
		number(&k.Count, 1000)
		real(&k.ZipfExponent, 1.1)
	}
	for i := range e.Classes {
		c := &e.Classes[i]
		or(&c.LatencyObjective, time.Second)
		or(&c.Deadline, 15*time.Second)
		real(&c.PriorityWeight, 1)
		real(&c.LoadShare, 1)
	}
	if len(e.Classes) == 0 {
		e.Classes = []Class{{Name: config.DefaultSafeClass, LoadShare: 1, LatencyObjective: config.Duration(time.Second), Deadline: config.Duration(15 * time.Second), PriorityWeight: 1}}
	}
	for i := range e.Classes {
		c := &e.Classes[i]
		or(&c.MeanServiceTime, f.MeanServiceTime.D())
		text(&c.Distribution, f.Distribution)
		real(&c.Variation, f.Variation)
	}
	for i := range e.Events {
		v := &e.Events[i]
		if real(&v.Fraction, 1); v.Action == "flap" {
			or(&v.Period, 2*time.Second)
			or(&v.Downtime, v.Period.D()/2)
			number(&v.Count, 1)
		}
	}
}

func (e *Experiment) validate(s *config.StrictDecoder, load bool) {
	between := func(field string, v, least, most float64) {
		if !(v >= least && v <= most) {
			s.AddError(field, "want %v to %v, not %v", least, most, v)
		}
	}
	oneOf := func(field, v string, of []string) {
		if !slices.Contains(of, v) {
			s.AddError(field, "want one of %v, not %q", of, v)
		}
	}
	if e.Name == "" {
		s.AddError("name", "is missing")
	}
	between("seed", float64(e.Seed), 1, 1e9)
	if l := e.Length.D(); l < time.Second || l > maxLength {
		s.AddError("length", "want 1s to %v, not %v", maxLength, l)
		return // what follows would loop over it
	}
	f, g := &e.Fleet, &e.Gateways
	seen := map[string]bool{}
	for i, z := range f.Zones {
		if z == "" || seen[z] {
			s.AddError(fmt.Sprintf("fleet.zones[%d]", i), "%q is empty or stands twice", z)
		}
		seen[z] = true
	}
	between("fleet.servers", float64(f.Servers), 1, maxServers)
	between("fleet.workers", float64(f.Workers), 1, 1e6)
	between("fleet.queue", float64(f.QueueLimit), 0, 1e6)
	between("fleet.warm_share", f.InitialSpeed, 0.01, 1)
	between("fleet.fall", f.CollapseLoad, 1, 1e6)
	between("gateways.number", float64(g.Count), 1, maxGateways)
	between("gateways.limit", float64(g.AdmissionLimit), 1, 1e6)
	between("gateways.source.places", float64(g.Source.Concurrency), 0, 1e6)
	between("gateways.source.takes", g.Source.ResponseTime.D().Seconds(), 0, 60)
	between("fleet.connect", f.ConnectCost.D().Seconds(), 0, 10)
	oneOf("gateways.zones", g.ZoneMode, zoneModes)
	oneOf("gateways.admission", g.Admission, admissionModes)
	e.validateFleet(s, between, oneOf)
	servers := 0.0
	for _, g := range f.Groups {
		servers += float64(g.Servers)
	}
	if servers > maxServers || servers*float64(g.Count) > maxViews {
		s.AddError("fleet", "%.0f servers before %d gateways: %d at most, and %d together", servers, g.Count, maxServers, maxViews)
	}
	e.validateClasses(s, between)
	e.validateLoad(s, load, between, oneOf)
	last := time.Duration(0)
	for i, p := range e.Phases {
		if p.D() <= last || p.D() >= e.Length.D() {
			s.AddError(fmt.Sprintf("phases[%d]", i), "%v: they rise, and end before the length, %v", p.D(), e.Length.D())
		}
		last = p.D()
	}
	if len(e.Phases) > 100 {
		s.AddError("phases", "%d, 100 at most", len(e.Phases))
	}
	e.validateEvents(s, between, oneOf)
	e.validateChecks(s, between)
}

func (t *ServiceTime) validate(field string, between func(string, float64, float64, float64), oneOf func(string, string, []string)) {
	between(field+"service", t.MeanServiceTime.D().Seconds(), 1e-5, 600)
	oneOf(field+"distribution", t.Distribution, distributions)
	between(field+"variation", t.Variation, 0.01, 10)
}

func (e *Experiment) validateFleet(s *config.StrictDecoder, between func(string, float64, float64, float64), oneOf func(string, string, []string)) {
	f := &e.Fleet
	f.validate("fleet.", between, oneOf)
	for i, g := range f.Groups {
		at := fmt.Sprintf("fleet.groups[%d].", i)
		oneOf(at+"zone", g.Zone, f.Zones)
		between(at+"servers", float64(g.Servers), 1, maxServers)
		between(at+"workers", float64(g.Workers), 1, 1e6)
		between(at+"queue", float64(g.QueueLimit), 0, 1e6)
		between(at+"speed", g.Speed, 0.01, 100)
		if n := g.Neighbour; n != nil {
			between(at+"neighbour.takes", n.SpeedShare, 0, 0.99)
			if n.Period > 0 && (n.Duration == 0 || n.Duration > n.Period) {
				s.AddError(at+"neighbour.lasts", "want more than 0 and no more than every, %v, not %v", n.Period.D(), n.Duration.D())
			}
		}
	}
	between("fleet.link.loss", f.Link.Loss, 0, 0.9)
	between("fleet.link.delay", f.Link.Delay.D().Seconds(), 0, 10)
	between("fleet.link.jitter", f.Link.Jitter.D().Seconds(), 0, 10)
	for i := range e.Classes {
		e.Classes[i].validate(fmt.Sprintf("classes[%d].", i), between, oneOf)
		between(fmt.Sprintf("classes[%d].answer", i), float64(e.Classes[i].ResponseSize), 0, 16<<20)
	}
}

func (e *Experiment) validateClasses(s *config.StrictDecoder, between func(string, float64, float64, float64)) {
	sum, names := 0.0, map[string]bool{}
	for i, c := range e.Classes {
		field := fmt.Sprintf("classes[%d]", i)
		if c.Name == "" || names[c.Name] {
			s.AddError(field+".name", "%q is empty or stands twice", c.Name)
		}
		names[c.Name] = true
		sum += c.LoadShare
		between(field+".part", c.LoadShare, 0, 1)
		between(field+".worth", c.PriorityWeight, 1e-6, 1e6)
		if c.LatencyObjective > c.Deadline {
			s.AddError(field+".wanted", "%v is longer than the deadline, %v", c.LatencyObjective.D(), c.Deadline.D())
		}
		if balancer.Effect(c.Effect) == balancer.IdempotentWithKey && c.Window == 0 {
			s.AddError(field+".window", "a keyed class needs it")
		}
	}
	if math.Abs(sum-1) > 1e-6 {
		s.AddError("classes", "their parts add up to %v, want 1", sum)
	}
}

func (e *Experiment) validateLoad(s *config.StrictDecoder, load bool, between func(string, float64, float64, float64), oneOf func(string, string, []string)) {
	l := &e.Load
	oneOf("load.again", l.RetryMode, clientRetryModes)
	between("load.rate", l.Rate, 0, 1e6)
	for i, t := range l.RateSpans {
		field := fmt.Sprintf("load.times[%d]", i)
		if t.Start >= t.End {
			s.AddError(field, "from %v to %v", t.Start.D(), t.End.D())
		}
		between(field+".by", t.Multiplier, 0, 1e6)
		if t.FinalMultiplier != nil {
			between(field+".until", *t.FinalMultiplier, 0, 1e6)
		}
	}
	oneOf("load.arrivals", l.Arrivals, []string{"poisson", "constant"})
	between("load.clients", float64(l.Clients), 0, 100_000)
	if o := l.OnOff; o != nil && (o.On < config.Duration(10*time.Millisecond) || o.Off < config.Duration(10*time.Millisecond)) {
		s.AddError("load.on_off", "want 10ms at least of both, not %v and %v", o.On.D(), o.Off.D())
		return
	}
	if k := l.Keys; k != nil {
		between("load.keys.number", float64(k.Count), 1, 1e6)
		between("load.keys.exponent", k.ZipfExponent, 1.001, 10)
	}
	if len(l.RateSpans) > maxEvents || len(l.Bursts) > maxEvents {
		s.AddError("load", "%d at most of times and of bursts", maxEvents)
		return
	}
	requests := float64(l.Clients) * e.Length.D().Seconds() / max((l.ThinkTime.D()+time.Millisecond).Seconds(), 1e-3)
	for i, b := range l.Bursts {
		field := fmt.Sprintf("load.bursts[%d]", i)
		between(field+".size", float64(b.Size), 1, 1e6)
		if b.Period != 0 && b.Period < config.Duration(time.Millisecond) {
			s.AddError(field+".every", "want 1ms at least, not %v", b.Period.D())
			continue
		}
		n := 1.0
		if left := e.Length.D() - b.At.D(); b.Period > 0 && left > 0 {
			n += float64(left / b.Period.D())
		}
		requests += n * float64(b.Size)
	}
	const step = 100 * time.Millisecond
	for at := time.Duration(0); at < e.Length.D(); at += step {
		requests += e.rateAt(at) * step.Seconds()
	}
	if p := e.peakRate(); p*e.Length.D().Seconds() > 20*maxRequests {
		s.AddError("load.times", "a peak of %.0f requests a second over %v, %d requests at most", p, e.Length.D(), 20*maxRequests)
		return
	}
	if requests > maxRequests {
		s.AddError("load", "%.0f requests, %d at most", requests, maxRequests)
	}
	if t := l.Trace; t != nil {
		between("load.trace.speed", t.Speed, 0.01, 100)
		between("load.trace.by", t.Multiplier, 0.001, 1000)
		oneOf("load.trace.unknown", t.UnknownClasses, []string{"refuse", "drop"})
		if l.Rate > 0 || len(l.Bursts) > 0 {
			s.AddError("load.trace", "takes the place of rate and bursts")
		}
	} else if requests < 1 && load {
		s.AddError("load", "asks for nothing")
	}
}

// rateAt is how many requests a second come at a time.
func (e *Experiment) rateAt(at time.Duration) float64 {
	by := 1.0
	for _, t := range e.Load.RateSpans {
		if at >= t.Start.D() && at < t.End.D() {
			if by = t.Multiplier; t.FinalMultiplier != nil {
				by += (*t.FinalMultiplier - t.Multiplier) * float64(at-t.Start.D()) / float64(t.End-t.Start)
			}
		}
	}
	if o := e.Load.OnOff; o != nil && at%(o.On.D()+o.Off.D()) >= o.On.D() {
		return 0
	}
	return e.Load.Rate * by
}

func (e *Experiment) validateEvents(s *config.StrictDecoder, between func(string, float64, float64, float64), oneOf func(string, string, []string)) {
	if len(e.Events) > maxEvents {
		s.AddError("events", "%d, %d at most", len(e.Events), maxEvents)
		return
	}
	for i, v := range e.Events {
		field := fmt.Sprintf("events[%d]", i)
		if v.At >= e.Length {
			s.AddError(field+".at", "%v is not before the end, %v", v.At.D(), e.Length.D())
		}
		if oneOf(field+".do", v.Action, eventActions); v.Action != "push" && v.Action != "away" && v.Action != "back" && v.Action != "restart" {
			oneOf(field+".zone", v.Zone, e.Fleet.Zones)
		}
		between(field+".part", v.Fraction, 0, 1)
		switch {
		case v.Action == "kill", v.Action == "flap":
			if _, ok := failureModes[v.FailureMode]; !ok {
				s.AddError(field+".how", "want refuses, silent, says_503, resets or loses, not %q", v.FailureMode)
			}
		case v.FailureMode != "":
			s.AddError(field+".how", "is for kill and flap")
		}
		if v.Action == "slow" {
			between(field+".by", v.SlowdownFactor, 0.001, 1000)
		} else if v.SlowdownFactor != 0 {
			s.AddError(field+".by", "is for slow")
		}
		if v.RenamedServers != 0 && v.Action != "revive" {
			s.AddError(field+".renamed", "is for revive")
		}
		if v.NotifyDelay != 0 && v.Action != "revive" && v.Action != "drain" && v.Action != "undrain" {
			s.AddError(field+".late", "is for revive, drain and undrain")
		}
		between(field+".renamed", float64(v.RenamedServers), 0, maxServers)
		if v.Action == "flap" {
			between(field+".count", float64(v.Count), 1, maxEvents)
			if v.Downtime >= v.Period {
				s.AddError(field+".down", "want less than every, %v, not %v", v.Period.D(), v.Downtime.D())
			}
		} else if v.Period != 0 || v.Downtime != 0 && v.Action != "restart" || v.Count != 0 {
			s.AddError(field, "every and count are for flap, down is for flap and restart")
		}
	}
}

func (e *Experiment) validateChecks(s *config.StrictDecoder, between func(string, float64, float64, float64)) {
	if len(e.Checks) > maxEvents {
		s.AddError("checks", "%d, %d at most", len(e.Checks), maxEvents)
		return
	}
	for i, c := range e.Checks {
		field := fmt.Sprintf("checks[%d]", i)
		if c.Phase != nil && (*c.Phase < 0 || *c.Phase > len(e.Phases)) {
			s.AddError(field+".phase", "there is no phase %d, they count from 0", *c.Phase)
		}
		if c.Class != "" && !slices.ContainsFunc(e.Classes, func(k Class) bool { return k.Name == c.Class }) {
			s.AddError(field+".class", "there is no class %q", c.Class)
		}
		for name, v := range map[string]*float64{"in_time": c.MinInTime, "refused": c.MaxRejected, "late": c.MaxLate} {
			if v != nil {
				between(field+"."+name, *v, 0, 1)
			}
		}
		if c.MinInTime == nil && c.MaxRejected == nil && c.MaxLate == nil && c.MaxP99 == 0 && c.MaxWarmingLoad == 0 && c.MaxConnectRatio == 0 && c.MaxRestartTime == 0 {
			s.AddError(field, "checks nothing: want in_time, refused, late, p99, worst_cold, connects or back")
		}
	}
}
