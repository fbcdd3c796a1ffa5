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
	Name     string            `yaml:"name"`
	About    string            `yaml:"about"` // what it shows, in a line
	Seed     int               `yaml:"seed"`
	Length   config.Duration   `yaml:"length"`
	Fleet    Fleet             `yaml:"fleet"`
	Gateways Gateways          `yaml:"gateways"`
	Classes  []Class           `yaml:"classes"`
	Load     Load              `yaml:"load"`
	Phases   []config.Duration `yaml:"phases"` // where one ends and the next begins; the last one ends with the load
	Events   []Event           `yaml:"events"`
	Checks   []Check           `yaml:"checks"`

	trace *trace
}

// Fleet is the servers: alike in all zones, or in groups.
type Fleet struct {
	Zones   []string `yaml:"zones"`
	Servers int      `yaml:"servers"` // in each zone
	Groups  []Group  `yaml:"groups"`  // in place of servers; each of them in one zone
	Workers int      `yaml:"workers"` // of a server
	Queue   int      `yaml:"queue"`   // requests a server holds beside those its workers have, before it turns away
	Time    `yaml:",inline"`
	Link    Link            `yaml:"link"`
	WarmUp  config.Duration `yaml:"warm_up"`
	Share   float64         `yaml:"warm_share"` // of its speed that a cold server begins with
	Fall    float64         `yaml:"fall"`       // multiple of its warm-up capacity over a second at which it falls over
	Cross   config.Duration `yaml:"cross"`      // round trip to another zone; within one it is an eighth of that
	Connect config.Duration `yaml:"connect"`    // a server's work for a new connection, over a request's
}

// Group is servers that are alike.
type Group struct {
	Zone      string     `yaml:"zone"`
	Servers   int        `yaml:"servers"`
	Workers   int        `yaml:"workers"`
	Queue     int        `yaml:"queue"`
	Speed     float64    `yaml:"speed"` // 1 is the speed that service times are told for
	Neighbour *Neighbour `yaml:"neighbour,omitempty"`
}

// Neighbour is another program on the same machines, which takes a part of their speed while it works.
type Neighbour struct {
	From  config.Duration `yaml:"from"`
	Every config.Duration `yaml:"every"` // 0: it works from From on
	Lasts config.Duration `yaml:"lasts"` // of each time
	Takes float64         `yaml:"takes"` // part of the speed
}

// Time is how long a server at its full speed takes for a request.
type Time struct {
	Service      config.Duration `yaml:"service"` // mean
	Distribution string          `yaml:"distribution"`
	Variation    float64         `yaml:"variation"` // of a lognormal one: standard deviation over mean
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
	Number    int    `yaml:"number"`
	Zones     string `yaml:"zones"`     // tiers, price or failover
	Admission string `yaml:"admission"` // adaptive, fixed, off, or estimate: the decision module's own
	Limit     int    `yaml:"limit"`     // of a fixed admission
	Source    Source `yaml:"source"`
}

// Source is what tells the gateways the list: one that starts asks it, and is not ready before it has an answer.
type Source struct {
	Places   int             `yaml:"places"`   // calls that it works on at once; 0: any number
	Takes    config.Duration `yaml:"takes"`    // of a call
	Patience config.Duration `yaml:"patience"` // that a call waits for a place before it fails; 0: for ever
}

// Class is a kind of request.
type Class struct {
	Name     string           `yaml:"name"`
	Part     float64          `yaml:"part"` // of the load
	Wanted   config.Duration  `yaml:"wanted"`
	Deadline config.Duration  `yaml:"deadline"`
	Worth    float64          `yaml:"worth"`
	Effect   config.Effect    `yaml:"effect"`
	Group    config.Group     `yaml:"group"`
	Window   config.Duration  `yaml:"window"`
	Time     `yaml:",inline"` // where it is not the fleet's
	Answer   config.Size      `yaml:"answer"` // bytes
}

// Load is an open loop, in which arrivals do not wait for answers, and beside it clients who do.
type Load struct {
	Rate     float64         `yaml:"rate"`     // requests a second over all gateways
	Arrivals string          `yaml:"arrivals"` // poisson or constant
	Times    []Times         `yaml:"times"`    // spans in which it is a multiple of that
	OnOff    *OnOff          `yaml:"on_off,omitempty"`
	Bursts   []Burst         `yaml:"bursts"`
	Clients  int             `yaml:"clients"` // that ask one request after the other
	Think    config.Duration `yaml:"think"`   // mean pause of theirs
	Keys     *Keys           `yaml:"keys,omitempty"`
	Trace    *Trace          `yaml:"trace,omitempty"`
	Again    string          `yaml:"again"` // what a client does that is refused: gives_up, at_once or heeds
}

// Times multiplies the rate for a while; where spans overlap the last one counts.
type Times struct {
	From  config.Duration `yaml:"from"`
	To    config.Duration `yaml:"to"`
	By    float64         `yaml:"by"`
	Until *float64        `yaml:"until,omitempty"` // a ramp: the multiple goes from By to it
}

// OnOff has the rate come and go.
type OnOff struct {
	On  config.Duration `yaml:"on"`
	Off config.Duration `yaml:"off"`
}

// Keys are whose requests they are, with a Zipf spread: the first ones ask most.
type Keys struct {
	Number   int     `yaml:"number"`
	Exponent float64 `yaml:"exponent"`
}

// Burst is so many requests at the same moment.
type Burst struct {
	At    config.Duration `yaml:"at"`
	Every config.Duration `yaml:"every"` // 0: once
	Size  int             `yaml:"size"`
}

// Event is something that happens to a zone, or to the gateways.
type Event struct {
	At      config.Duration `yaml:"at"`
	Do      string          `yaml:"do"` // kill, revive, slow, drain, undrain, flap, push, away, back, restart
	Zone    string          `yaml:"zone"`
	How     string          `yaml:"how"`     // kill: refuses, silent, says_503, resets or loses
	Part    float64         `yaml:"part"`    // kill, drain: of the zone's servers; restart: of the gateways; 1
	Renamed int             `yaml:"renamed"` // revive: so many come under new ids
	Late    config.Duration `yaml:"late"`    // revive, drain, undrain: until the list tells of it
	By      float64         `yaml:"by"`      // slow: everything takes so many times as long
	Every   config.Duration `yaml:"every"`   // flap: from one kill to the next
	Down    config.Duration `yaml:"down"`    // flap: until it is revived; restart: from the kill to the start
	Count   int             `yaml:"count"`   // flap
}

// Check is what is expected of a phase and a class, over all seeds. That no request is lost and no effect taken twice is
// always checked.
type Check struct {
	Phase     *int            `yaml:"phase,omitempty"` // from 0; none: all together
	Class     string          `yaml:"class"`           // none: all together
	InTime    *float64        `yaml:"in_time,omitempty"`
	Refused   *float64        `yaml:"refused,omitempty"`
	Late      *float64        `yaml:"late,omitempty"`
	P99       config.Duration `yaml:"p99"`
	WorstCold float64         `yaml:"worst_cold"` // load of a cold server over what it can do
	Connects  float64         `yaml:"connects"`   // new connections over attempts, where the fleet has a cost of connect
	Back      config.Duration `yaml:"back"`       // of all phases: the longest from a gateway's start until it was ready
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
	e.fill()
	e.check(s, load)
	if captured != nil && s.Err() == nil {
		if err := e.replay(captured, e.Load.Trace); err != nil {
			s.AddError("load.trace", "%v", err)
		}
	}
	if err := s.Err(); err != nil {
		return nil, err
	}
	return e, nil
}

func (e *Experiment) fill() {
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
	number(&f.Queue, 100)
	or(&f.Service, 20*time.Millisecond)
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
		number(&g.Queue, f.Queue)
		real(&g.Speed, 1)
	}
	or(&f.WarmUp, 10*time.Second)
	real(&f.Share, 0.2)
	real(&f.Fall, 2.5)
	or(&f.Cross, 8*time.Millisecond)
	number(&g.Number, 1)
	text(&g.Zones, "price")
	text(&g.Admission, "adaptive")
	number(&g.Limit, 1024)
	text(&e.Load.Again, "gives_up")
	text(&e.Load.Arrivals, "poisson")
	if e.Load.Clients > 0 {
		or(&e.Load.Think, 100*time.Millisecond)
	}
	if t := e.Load.Trace; t != nil {
		real(&t.Speed, 1)
		real(&t.By, 1)
		text(&t.Unknown, "refuse")
	}
	if k := e.Load.Keys; k != nil {
		number(&k.Number, 1000)
		real(&k.Exponent, 1.1)
	}
	for i := range e.Classes {
		c := &e.Classes[i]
		or(&c.Wanted, time.Second)
		or(&c.Deadline, 15*time.Second)
		real(&c.Worth, 1)
		real(&c.Part, 1)
	}
	if len(e.Classes) == 0 {
		e.Classes = []Class{{Name: config.DefaultSafeClass, Part: 1, Wanted: config.Duration(time.Second), Deadline: config.Duration(15 * time.Second), Worth: 1}}
	}
	for i := range e.Classes {
		c := &e.Classes[i]
		or(&c.Service, f.Service.D())
		text(&c.Distribution, f.Distribution)
		real(&c.Variation, f.Variation)
	}
	for i := range e.Events {
		v := &e.Events[i]
		if real(&v.Part, 1); v.Do == "flap" {
			or(&v.Every, 2*time.Second)
			or(&v.Down, v.Every.D()/2)
			number(&v.Count, 1)
		}
	}
}

func (e *Experiment) check(s *config.StrictDecoder, load bool) {
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
	between("fleet.queue", float64(f.Queue), 0, 1e6)
	between("fleet.warm_share", f.Share, 0.01, 1)
	between("fleet.fall", f.Fall, 1, 1e6)
	between("gateways.number", float64(g.Number), 1, maxGateways)
	between("gateways.limit", float64(g.Limit), 1, 1e6)
	between("gateways.source.places", float64(g.Source.Places), 0, 1e6)
	between("gateways.source.takes", g.Source.Takes.D().Seconds(), 0, 60)
	between("fleet.connect", f.Connect.D().Seconds(), 0, 10)
	oneOf("gateways.zones", g.Zones, zoneModes)
	oneOf("gateways.admission", g.Admission, admissions)
	e.checkFleet(s, between, oneOf)
	servers := 0.0
	for _, g := range f.Groups {
		servers += float64(g.Servers)
	}
	if servers > maxServers || servers*float64(g.Number) > maxViews {
		s.AddError("fleet", "%.0f servers before %d gateways: %d at most, and %d together", servers, g.Number, maxServers, maxViews)
	}
	e.checkClasses(s, between)
	e.checkLoad(s, load, between, oneOf)
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
	e.checkEvents(s, between, oneOf)
	e.checkChecks(s, between)
}

func (t *Time) check(field string, between func(string, float64, float64, float64), oneOf func(string, string, []string)) {
	between(field+"service", t.Service.D().Seconds(), 1e-5, 600)
	oneOf(field+"distribution", t.Distribution, distributions)
	between(field+"variation", t.Variation, 0.01, 10)
}

func (e *Experiment) checkFleet(s *config.StrictDecoder, between func(string, float64, float64, float64), oneOf func(string, string, []string)) {
	f := &e.Fleet
	f.check("fleet.", between, oneOf)
	for i, g := range f.Groups {
		at := fmt.Sprintf("fleet.groups[%d].", i)
		oneOf(at+"zone", g.Zone, f.Zones)
		between(at+"servers", float64(g.Servers), 1, maxServers)
		between(at+"workers", float64(g.Workers), 1, 1e6)
		between(at+"queue", float64(g.Queue), 0, 1e6)
		between(at+"speed", g.Speed, 0.01, 100)
		if n := g.Neighbour; n != nil {
			between(at+"neighbour.takes", n.Takes, 0, 0.99)
			if n.Every > 0 && (n.Lasts == 0 || n.Lasts > n.Every) {
				s.AddError(at+"neighbour.lasts", "want more than 0 and no more than every, %v, not %v", n.Every.D(), n.Lasts.D())
			}
		}
	}
	between("fleet.link.loss", f.Link.Loss, 0, 0.9)
	between("fleet.link.delay", f.Link.Delay.D().Seconds(), 0, 10)
	between("fleet.link.jitter", f.Link.Jitter.D().Seconds(), 0, 10)
	for i := range e.Classes {
		e.Classes[i].check(fmt.Sprintf("classes[%d].", i), between, oneOf)
		between(fmt.Sprintf("classes[%d].answer", i), float64(e.Classes[i].Answer), 0, 16<<20)
	}
}

func (e *Experiment) checkClasses(s *config.StrictDecoder, between func(string, float64, float64, float64)) {
	sum, names := 0.0, map[string]bool{}
	for i, c := range e.Classes {
		field := fmt.Sprintf("classes[%d]", i)
		if c.Name == "" || names[c.Name] {
			s.AddError(field+".name", "%q is empty or stands twice", c.Name)
		}
		names[c.Name] = true
		sum += c.Part
		between(field+".part", c.Part, 0, 1)
		between(field+".worth", c.Worth, 1e-6, 1e6)
		if c.Wanted > c.Deadline {
			s.AddError(field+".wanted", "%v is longer than the deadline, %v", c.Wanted.D(), c.Deadline.D())
		}
		if balancer.Effect(c.Effect) == balancer.IdempotentWithKey && c.Window == 0 {
			s.AddError(field+".window", "a keyed class needs it")
		}
	}
	if math.Abs(sum-1) > 1e-6 {
		s.AddError("classes", "their parts add up to %v, want 1", sum)
	}
}

func (e *Experiment) checkLoad(s *config.StrictDecoder, load bool, between func(string, float64, float64, float64), oneOf func(string, string, []string)) {
	l := &e.Load
	oneOf("load.again", l.Again, clientRetryModes)
	between("load.rate", l.Rate, 0, 1e6)
	for i, t := range l.Times {
		field := fmt.Sprintf("load.times[%d]", i)
		if t.From >= t.To {
			s.AddError(field, "from %v to %v", t.From.D(), t.To.D())
		}
		between(field+".by", t.By, 0, 1e6)
		if t.Until != nil {
			between(field+".until", *t.Until, 0, 1e6)
		}
	}
	oneOf("load.arrivals", l.Arrivals, []string{"poisson", "constant"})
	between("load.clients", float64(l.Clients), 0, 100_000)
	if o := l.OnOff; o != nil && (o.On < config.Duration(10*time.Millisecond) || o.Off < config.Duration(10*time.Millisecond)) {
		s.AddError("load.on_off", "want 10ms at least of both, not %v and %v", o.On.D(), o.Off.D())
		return
	}
	if k := l.Keys; k != nil {
		between("load.keys.number", float64(k.Number), 1, 1e6)
		between("load.keys.exponent", k.Exponent, 1.001, 10)
	}
	if len(l.Times) > maxEvents || len(l.Bursts) > maxEvents {
		s.AddError("load", "%d at most of times and of bursts", maxEvents)
		return
	}
	requests := float64(l.Clients) * e.Length.D().Seconds() / max((l.Think.D()+time.Millisecond).Seconds(), 1e-3)
	for i, b := range l.Bursts {
		field := fmt.Sprintf("load.bursts[%d]", i)
		between(field+".size", float64(b.Size), 1, 1e6)
		if b.Every != 0 && b.Every < config.Duration(time.Millisecond) {
			s.AddError(field+".every", "want 1ms at least, not %v", b.Every.D())
			continue
		}
		n := 1.0
		if left := e.Length.D() - b.At.D(); b.Every > 0 && left > 0 {
			n += float64(left / b.Every.D())
		}
		requests += n * float64(b.Size)
	}
	const step = 100 * time.Millisecond
	for at := time.Duration(0); at < e.Length.D(); at += step {
		requests += e.rate(at) * step.Seconds()
	}
	if p := e.peak(); p*e.Length.D().Seconds() > 20*maxRequests {
		s.AddError("load.times", "a peak of %.0f requests a second over %v, %d requests at most", p, e.Length.D(), 20*maxRequests)
		return
	}
	if requests > maxRequests {
		s.AddError("load", "%.0f requests, %d at most", requests, maxRequests)
	}
	if t := l.Trace; t != nil {
		between("load.trace.speed", t.Speed, 0.01, 100)
		between("load.trace.by", t.By, 0.001, 1000)
		oneOf("load.trace.unknown", t.Unknown, []string{"refuse", "drop"})
		if l.Rate > 0 || len(l.Bursts) > 0 {
			s.AddError("load.trace", "takes the place of rate and bursts")
		}
	} else if requests < 1 && load {
		s.AddError("load", "asks for nothing")
	}
}

// rate is how many requests a second come at a time.
func (e *Experiment) rate(at time.Duration) float64 {
	by := 1.0
	for _, t := range e.Load.Times {
		if at >= t.From.D() && at < t.To.D() {
			if by = t.By; t.Until != nil {
				by += (*t.Until - t.By) * float64(at-t.From.D()) / float64(t.To-t.From)
			}
		}
	}
	if o := e.Load.OnOff; o != nil && at%(o.On.D()+o.Off.D()) >= o.On.D() {
		return 0
	}
	return e.Load.Rate * by
}

func (e *Experiment) checkEvents(s *config.StrictDecoder, between func(string, float64, float64, float64), oneOf func(string, string, []string)) {
	if len(e.Events) > maxEvents {
		s.AddError("events", "%d, %d at most", len(e.Events), maxEvents)
		return
	}
	for i, v := range e.Events {
		field := fmt.Sprintf("events[%d]", i)
		if v.At >= e.Length {
			s.AddError(field+".at", "%v is not before the end, %v", v.At.D(), e.Length.D())
		}
		if oneOf(field+".do", v.Do, deeds); v.Do != "push" && v.Do != "away" && v.Do != "back" && v.Do != "restart" {
			oneOf(field+".zone", v.Zone, e.Fleet.Zones)
		}
		between(field+".part", v.Part, 0, 1)
		switch {
		case v.Do == "kill", v.Do == "flap":
			if _, ok := hows[v.How]; !ok {
				s.AddError(field+".how", "want refuses, silent, says_503, resets or loses, not %q", v.How)
			}
		case v.How != "":
			s.AddError(field+".how", "is for kill and flap")
		}
		if v.Do == "slow" {
			between(field+".by", v.By, 0.001, 1000)
		} else if v.By != 0 {
			s.AddError(field+".by", "is for slow")
		}
		if v.Renamed != 0 && v.Do != "revive" {
			s.AddError(field+".renamed", "is for revive")
		}
		if v.Late != 0 && v.Do != "revive" && v.Do != "drain" && v.Do != "undrain" {
			s.AddError(field+".late", "is for revive, drain and undrain")
		}
		between(field+".renamed", float64(v.Renamed), 0, maxServers)
		if v.Do == "flap" {
			between(field+".count", float64(v.Count), 1, maxEvents)
			if v.Down >= v.Every {
				s.AddError(field+".down", "want less than every, %v, not %v", v.Every.D(), v.Down.D())
			}
		} else if v.Every != 0 || v.Down != 0 && v.Do != "restart" || v.Count != 0 {
			s.AddError(field, "every and count are for flap, down is for flap and restart")
		}
	}
}

func (e *Experiment) checkChecks(s *config.StrictDecoder, between func(string, float64, float64, float64)) {
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
		for name, v := range map[string]*float64{"in_time": c.InTime, "refused": c.Refused, "late": c.Late} {
			if v != nil {
				between(field+"."+name, *v, 0, 1)
			}
		}
		if c.InTime == nil && c.Refused == nil && c.Late == nil && c.P99 == 0 && c.WorstCold == 0 && c.Connects == 0 && c.Back == 0 {
			s.AddError(field, "checks nothing: want in_time, refused, late, p99, worst_cold, connects or back")
		}
	}
}
