// Package fleet simulates gateways before servers in zones, on simulated time: each gateway is a decision module with its
// own view and seed, each server has workers, a queue and a warm-up, and falls over where it is pushed too far while it is
// cold. The same Options give the same Result.
package fleet

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"robindrum/balancer"
	"robindrum/internal/locality"
)

// Mode is how gateways choose among zones.
type Mode uint8

// The modes there are.
const (
	Tiers     Mode = iota // a zone.Book each
	PriceOnly             // no tiers: another zone is weighed by its price alone
	Failover              // the own zone while it has a ready server, else another, without limits
)

func (m Mode) String() string { return [...]string{"tiers", "no tiers", "plain failover"}[m] }

// Class is a kind of request and its part of the load.
type Class struct {
	balancer.Class
	Fraction float64
	// DrawServiceTime gives how long a server at its full speed takes for one; nil: exponential with Options.Service as its mean.
	DrawServiceTime func(*rand.Rand) time.Duration
	// ResponseTime is how long its answer takes on the link, over the delay.
	ResponseTime time.Duration
}

// Group is servers that are alike. Zero values are those of Options.
type Group struct {
	Zone               string
	Servers            int
	Workers, QueueSize int
	// Speed is their part of the full speed at a time, which may change as a neighbour's work comes and goes; nil: 1.
	Speed func(at time.Duration) float64
}

// Arrival is a request that comes.
type Arrival struct {
	At             time.Duration
	Class, Gateway int
	Tenant         string
}

// Link is between a gateway and a server, beside Options.Cross.
type Link struct {
	Delay  time.Duration // each way
	Jitter time.Duration // mean of what is added to it, exponentially distributed
	Loss   float64       // of answers: the connection breaks in place of one
}

// Response is how a client's request ended. Exactly one of the four is set.
type Response struct {
	At, Took                       time.Duration // At: since the start, when its client asked for the first time
	Class                          string
	InTime, Late, Rejected, Failed bool
}

// Observer is told what happens, where its functions are set.
type Observer struct {
	ResponseReceived func(Response)
	AttemptSent      func(at time.Duration, zone, server string)
}

// Options are what is simulated. Zero values are filled in.
type Options struct {
	Mode     Mode
	Seed     uint64
	Zones    []string // servers stand in them, gateways too, in turn
	Gateways int
	Servers  int // in each zone
	// Groups are the servers where they are not all alike, in place of Servers.
	Groups []Group
	Rate   float64 // requests a second, all together
	// Arrivals gives the load, in the order of time, in place of Rate and Burst; nil: those two.
	Arrivals func() (Arrival, bool)
	// Clients ask one request after the other, with a pause whose mean is Think, beside what else comes.
	Clients   int
	ThinkTime time.Duration
	Burst     func(at time.Duration) float64
	Duration  time.Duration
	Classes   []Class

	Workers          int           // of a server
	ServiceTime      time.Duration // mean of a request
	QueueSize        int           // requests a server holds beside its workers' before it turns away
	WarmUp           time.Duration
	InitialSpeed     float64 // of its capacity that a cold server begins with
	OverloadMultiple float64 // multiple of its warm-up capacity, over a second, at which a cold server falls over
	CrossZoneDelay   time.Duration
	Link             Link
	// ConnectTime is a server's work for a new connection, at its full speed; 0: none. Gateways keep one for Idle.
	ConnectTime time.Duration
	IdleTimeout time.Duration
	Source      Source
	Observer    Observer
	Zone        locality.Options
	// Admission makes what says which requests of a gateway may start; nil: the decision module's own estimate.
	Admission   func(gateway int) (balancer.Admission, error)
	ClientRetry ClientRetry
	Events      []Event
	Phases      []time.Duration // where one ends and the next begins
	Trace       func(at time.Duration, text string)
}

// ClientRetry is what a client does that is refused.
type ClientRetry uint8

// What clients do.
const (
	NoRetry     ClientRetry = iota
	RetryAtOnce             // asks again after a round trip, for as long as an answer is of use to it
	RetryAfter              // asks again when it was told to, for as long as an answer is of use to it
)

// Event is something that happens.
type Event struct {
	At time.Duration
	Do func(*Fleet)
}

// Phase is what came of the requests that began in one.
type Phase struct {
	From, To       time.Duration
	Classes        map[string]*ClassCount
	CrossZone      int     // attempts that left their gateway's zone
	Attempts       int     // attempts
	NewConnections int     // of them, those on a new connection, where these cost anything
	Overloads      int     // times that a cold server fell over
	MaxQueue       int     // the most requests at a server at once
	MaxColdLoad    float64 // the most that any cold server got in a second, over its capacity then
	MaxLoad        float64 // the same of any server
}

// ClassCount is of one class.
type ClassCount struct {
	Requests, InTime, Late, Rejected, Failed int             // a client that asks again counts once, from its last time on
	FailedLate                               int             // of the failed and refused, those told after their aim
	SlowestRejection                         time.Duration   // refusal
	Local, LocalInTime                       int             // of them, those at gateways whose own zone lives
	Latencies                                []time.Duration // of those answered, in time or late
}

// Result is what came of all.
type Result struct {
	Phases           []Phase
	DuplicateEffects int // effects that were taken twice
	Lost             int // requests without an answer, or with two
	// AttemptsAfterDrain is attempts sent to a server more than a second after its list said that it drains.
	AttemptsAfterDrain int
	Events             int           // of the simulation
	SourceFailures     int           // calls to the source
	MaxTimeToReady     time.Duration // the longest from a gateway's start until it was ready
}

// Fleet runs.
type Fleet struct {
	opt      Options
	now      time.Duration
	rng      *rand.Rand
	heap     events
	seq      uint64
	gateways []*gateway
	servers  map[string]*server
	order    []*server
	result   Result
	ids      int
	made     int                       // gateways, those that were killed among them
	waits    int                       // clients that ask again later
	away     bool                      // the control plane
	ran      map[string]map[string]int // by key: runs by zone
	lives    map[string]bool           // zones
	err      error
}

type server struct {
	id, zone string
	f        *Fleet
	since    time.Duration // it started; 0: long ago
	how      ServerState
	until    time.Duration // it has fallen over until then
	workers  int
	limit    int // of its queue
	speed    func(time.Duration) float64
	draining bool
	told     time.Duration // since when its list says so
	busy     int
	queue    []*attempt
	arrivals []time.Duration
	sick     map[string]bool // classes that it turns away
	slow     float64         // multiple of its time
}

// ServerState a server is down.
type ServerState uint8

// The ways of being down.
const (
	Healthy            ServerState = iota
	RefusesConnections             // connections
	NeverResponds                  // it accepts and says nothing
	Responds503                    // at once, and runs nothing
	ResetsAfterRequest             // after the last byte, and has run it
	LosesResponses                 // four of five answers
)

type attempt struct {
	r     *request
	n     int
	s     *server
	sent  time.Duration
	done  bool
	begin func()
	extra time.Duration // its server's work for its connection
}

type request struct {
	id       string
	class    *Class
	key      string
	began    time.Duration
	asked    time.Duration // the last time: the one that counts for whether the answer is in time
	deadline time.Duration
	attempts []*attempt
	answered bool
	phase    *Phase
	home     bool
	tenant   string
	loop     bool // of a client that asks again after its answer
}

type gateway struct {
	f      *Fleet
	number int
	zone   string
	bal    *balancer.Balancer
	book   *locality.Picker
	open   map[string]*request
	idle   map[string][]time.Duration // connections by server: since when, where they cost anything
	ready  bool                       // the list has come
	dead   bool                       // killed: another one has its place
	born   time.Duration
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func (f *Fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.heap, event{f.now + max(d, 0), f.seq, do})
}

// origin is what simulated time begins with, so that 0 stays "long ago".
const origin = time.Hour

// Run simulates it.
func Run(o Options) (Result, error) {
	if len(o.Zones) == 0 {
		o.Zones = []string{"sapporo", "ishikari"}
	}
	o.Gateways, o.Servers = cmp.Or(o.Gateways, 4), cmp.Or(o.Servers, 6)
	o.Workers, o.ServiceTime, o.QueueSize = cmp.Or(o.Workers, 4), cmp.Or(o.ServiceTime, 20*time.Millisecond), cmp.Or(o.QueueSize, 100)
	o.WarmUp, o.InitialSpeed, o.OverloadMultiple = cmp.Or(o.WarmUp, 10*time.Second), cmp.Or(o.InitialSpeed, 0.2), cmp.Or(o.OverloadMultiple, 2.5)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, 10*time.Second)
	o.CrossZoneDelay, o.Duration = cmp.Or(o.CrossZoneDelay, 8*time.Millisecond), cmp.Or(o.Duration, 30*time.Second)
	if len(o.Classes) == 0 {
		o.Classes = []Class{
			{Class: balancer.Class{Name: "seat-map", LatencyObjective: 200 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1}, Fraction: 0.7},
			{Class: balancer.Class{Name: "seat-hold", LatencyObjective: 150 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 5, Effect: balancer.IdempotentWithKey,
				Group: balancer.GroupZone, Window: 4 * time.Second}, Fraction: 0.25},
			{Class: balancer.Class{Name: "pay", LatencyObjective: 200 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 20, Effect: balancer.NonIdempotent}, Fraction: 0.05},
		}
	}
	f := &Fleet{opt: o, now: origin, rng: rand.New(rand.NewPCG(o.Seed, 0x666c656574)), servers: map[string]*server{},
		ran: map[string]map[string]int{}, lives: map[string]bool{}}
	from := time.Duration(0)
	for _, to := range append(slices.Clone(o.Phases), o.Duration) {
		p := Phase{From: from, To: to, Classes: map[string]*ClassCount{}}
		for _, c := range o.Classes {
			p.Classes[c.Name] = &ClassCount{}
		}
		f.result.Phases = append(f.result.Phases, p)
		from = to
	}
	if len(o.Groups) == 0 {
		for _, z := range o.Zones {
			o.Groups = append(o.Groups, Group{Zone: z, Servers: o.Servers})
		}
	}
	n := map[string]int{}
	for _, g := range o.Groups {
		f.lives[g.Zone] = true
		for range g.Servers {
			s := f.add(fmt.Sprintf("%s-%d", g.Zone, n[g.Zone]), g.Zone, 0)
			s.workers, s.limit, s.speed = cmp.Or(g.Workers, o.Workers), cmp.Or(g.QueueSize, o.QueueSize), g.Speed
			n[g.Zone]++
		}
	}
	for i := range o.Gateways {
		g, err := f.newGateway(i)
		if err != nil {
			return Result{}, err
		}
		g.ready = true // it has long had the list
		f.gateways = append(f.gateways, g)
	}
	f.PublishEndpoints(0)
	for _, e := range o.Events {
		f.after(e.At, func() { e.Do(f) })
	}
	f.arrive()
	for i := range o.Clients {
		f.after(time.Duration(f.rng.ExpFloat64()*float64(o.ThinkTime)), func() { f.loop(i) })
	}
	for len(f.heap) > 0 {
		e := heap.Pop(&f.heap).(event)
		f.result.Events++
		if f.now = e.at; f.now > origin+o.Duration+5*time.Second {
			break
		}
		e.do()
	}
	f.result.Lost += f.waits
	for _, g := range f.gateways {
		if !g.ready {
			f.result.MaxTimeToReady = max(f.result.MaxTimeToReady, f.now-g.born)
		}
		f.result.Lost += len(g.open)
	}
	for _, zones := range f.ran {
		n := 0
		for _, k := range zones {
			n += k
		}
		if n > 1 {
			f.result.DuplicateEffects++
		}
	}
	return f.result, f.err
}

// Now is the time since the start.
func (f *Fleet) Now() time.Duration { return f.now - origin }

func (f *Fleet) phase() *Phase {
	for i := range f.result.Phases {
		if p := &f.result.Phases[i]; f.Now() < p.To {
			return p
		}
	}
	return &f.result.Phases[len(f.result.Phases)-1]
}

func (f *Fleet) add(id, zone string, since time.Duration) *server {
	s := &server{id: id, zone: zone, f: f, since: since, slow: 1}
	f.servers[id] = s
	f.order = append(f.order, s)
	return s
}

func (f *Fleet) newGateway(i int) (*gateway, error) {
	o := f.opt
	made := uint64(f.made)
	f.made++
	g := &gateway{f: f, number: i, zone: o.Zones[i%len(o.Zones)], open: map[string]*request{}, idle: map[string][]time.Duration{}}
	set := balancer.Settings{Zone: g.zone, Index: i, Proxies: o.Gateways, MaxAttempts: 3, ParallelAttempts: true, MayCancel: true, RetryAfter: true,
		MaxRetryAfter: 5 * time.Second, Multiplex: 1, DrainGrace: time.Second, WarmUpTime: o.WarmUp, WarmUpShare: o.InitialSpeed, OverloadMultiple: o.OverloadMultiple,
		OverloadWindow: time.Second, Price: balancer.Prices{CrossZone: 0.05}, Weights: balancer.WeightNominal}
	for _, c := range o.Classes {
		set.Classes = append(set.Classes, c.Class)
	}
	switch o.Mode {
	case Tiers:
		z := o.Zone
		z.OwnZone, z.Gateways = g.zone, o.Gateways
		for _, c := range o.Classes {
			z.Classes = append(z.Classes, locality.Class{Name: c.Name, PriorityWeight: c.PriorityWeight, LatencyObjective: c.LatencyObjective, Effect: c.Effect})
		}
		if o.Trace != nil {
			z.Notify = func(t locality.Transition) {
				o.Trace(t.At-origin, fmt.Sprintf("gateway %d: %s %v to %v (%s)", i, t.Locality.Zone, t.From, t.To, t.Evidence))
			}
		}
		var err error
		if g.book, err = locality.New(z, o.Seed+made); err != nil {
			return nil, err
		}
		set.Localities = g.book
	case Failover:
		set.Localities = &failover{own: g.zone}
	}
	var err error
	if o.Admission != nil {
		if set.Admission, err = o.Admission(i); err != nil {
			return nil, err
		}
	}
	g.bal, err = balancer.New(set, o.Seed*1000+made, g)
	return g, err
}

// failover is the plain alternative: the own zone while it has a ready server, else the next.
type failover struct {
	own string
	l   []balancer.LocalityHealth
}

func (x *failover) UpdateHealth(_ time.Duration, l []balancer.LocalityHealth) {
	x.l = slices.Clone(l)
	slices.SortStableFunc(x.l, func(a, b balancer.LocalityHealth) int {
		if (a.Zone == x.own) == (b.Zone == x.own) {
			return cmp.Compare(a.Zone, b.Zone)
		}
		if a.Zone == x.own {
			return -1
		}
		return 1
	})
}

func (x *failover) Pick(_ time.Duration, a balancer.LocalityRequest) (balancer.Locality, bool, time.Duration) {
	for _, h := range x.l {
		if h.Ready > 0 && !slices.Contains(a.Excluded, h.Locality) && (a.OnlyZone == "" || a.OnlyZone == h.Zone) {
			return h.Locality, true, 0
		}
	}
	return balancer.Locality{}, false, time.Second
}

func (*failover) AttemptSent(time.Duration, balancer.Locality, balancer.LocalityRequest) {}
func (*failover) AttemptEnded(time.Duration, balancer.Locality, balancer.LocalityRequest, balancer.Result, time.Duration) {
}

// PublishEndpoints hands all gateways the list as it stands now, after a while.
func (f *Fleet) PublishEndpoints(late time.Duration) {
	if f.away {
		return
	}
	l := f.list()
	f.after(late, func() {
		for _, s := range f.order {
			if s.draining && s.told == 0 {
				s.told = f.now
			}
		}
		for _, g := range f.gateways {
			if g.ready {
				g.bal.UpdateEndpoints(f.now, balancer.EndpointUpdate{Kind: balancer.UpdateSnapshot, Servers: l})
			}
		}
	})
}

// list is the servers as they stand now.
func (f *Fleet) list() []balancer.Server {
	l := make([]balancer.Server, 0, len(f.order))
	for _, s := range f.order {
		state := balancer.Running
		if s.draining {
			state = balancer.Draining
		}
		l = append(l, balancer.Server{ID: s.id, Zone: s.zone, Kind: "k", Weight: 1, Since: s.since, State: state})
	}
	return l
}

// FailServers takes a zone's servers down. Only some, where part is below 1.
func (f *Fleet) FailServers(z string, how ServerState, part float64) {
	n := 0
	all := f.part(z, part)
	for _, s := range f.order {
		if s.zone == z && n < all {
			n++
			s.how = how
			if how == RefusesConnections || how == ResetsAfterRequest || how == Responds503 {
				for _, a := range s.queue {
					f.finish(a, balancer.ConnectionLost)
				}
				s.queue, s.busy = nil, 0
			}
		}
	}
	f.lives[z] = part < 1
}

// part is how many servers of a zone are so much of it.
func (f *Fleet) part(z string, part float64) int {
	n := 0
	for _, s := range f.order {
		if s.zone == z {
			n++
		}
	}
	return int(math.Round(part * float64(n)))
}

// SetDraining has part of a zone's servers drain, or ends that. The list says so when Tell is called.
func (f *Fleet) SetDraining(z string, part float64, yes bool) {
	n := f.part(z, part)
	for _, s := range f.order {
		if s.zone == z && n > 0 {
			n--
			s.draining, s.told = yes, 0
		}
	}
}

// SetControlPlaneDown has the control plane say nothing more, or say the list as it stands now.
func (f *Fleet) SetControlPlaneDown(yes bool) {
	if f.away = yes; !yes {
		f.PublishEndpoints(0)
	}
}

// SlowDown multiplies the time that a zone's servers take.
func (f *Fleet) SlowDown(z string, by float64) {
	for _, s := range f.order {
		if s.zone == z {
			s.slow *= by
		}
	}
}

// SetRejectedClass has a zone's servers turn a class away.
func (f *Fleet) SetRejectedClass(z, class string, yes bool) {
	for _, s := range f.order {
		if s.zone == z {
			s.sick = map[string]bool{class: yes}
		}
	}
}

// RestartServers has a zone's servers start again, cold; the first renamed ones under new ids. The list says so when Tell is called.
func (f *Fleet) RestartServers(z string, renamed int) {
	f.lives[z] = true
	for _, s := range f.order {
		if s.zone != z || s.how == Healthy {
			continue
		}
		if renamed > 0 {
			renamed--
			delete(f.servers, s.id)
			s.id += "'"
			f.servers[s.id] = s
		}
		s.how, s.since, s.busy, s.queue, s.arrivals, s.until = Healthy, f.now, 0, nil, nil, 0
		s.draining, s.told = false, 0
	}
}

// ReviveServers has them go on as if nothing had been. Their zone does not count as one that lives: it may go again.
func (f *Fleet) ReviveServers(z string) {
	for _, s := range f.order {
		if s.zone == z {
			s.how, s.busy, s.queue = Healthy, 0, nil
		}
	}
}

// ---- load ----

func (f *Fleet) arrive() {
	if f.opt.Arrivals != nil {
		a, ok := f.opt.Arrivals()
		if !ok {
			return
		}
		f.after(a.At-f.Now(), func() {
			f.begin(&f.opt.Classes[a.Class], f.gateways[a.Gateway], a.Tenant, false)
			f.arrive()
		})
		return
	}
	rate := f.opt.Rate
	if f.opt.Burst != nil {
		rate *= f.opt.Burst(f.Now())
	}
	f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.Now() >= f.opt.Duration {
			return
		}
		f.ask()
		f.arrive()
	})
}

// SendBurst has n clients ask at once.
func (f *Fleet) SendBurst(n int) {
	for range n {
		f.ask()
	}
}

func (f *Fleet) ask() {
	c := f.class()
	f.begin(c, f.gateways[f.rng.IntN(len(f.gateways))], "", false)
}

func (f *Fleet) class() (c *Class) {
	u := f.rng.Float64()
	for i := range f.opt.Classes {
		if c = &f.opt.Classes[i]; u < c.Fraction {
			break
		}
		u -= c.Fraction
	}
	return c
}

// loop has a client ask once more.
func (f *Fleet) loop(client int) {
	if f.Now() < f.opt.Duration {
		f.begin(f.class(), f.gateways[client%len(f.gateways)], strconv.Itoa(client), true)
	}
}

func (f *Fleet) again(r *request) {
	client, err := strconv.Atoi(r.tenant)
	if err != nil {
		return
	}
	f.after(time.Duration(f.rng.ExpFloat64()*float64(f.opt.ThinkTime))+time.Microsecond, func() { f.loop(client) })
}

// begin has a client ask for the first time.
func (f *Fleet) begin(c *Class, g *gateway, tenant string, loop bool) {
	r := &request{class: c, began: f.now, deadline: f.now + c.Deadline, phase: f.phase(), home: f.lives[g.zone], tenant: tenant, loop: loop}
	n := r.phase.Classes[c.Name]
	if n.Requests++; r.home {
		n.Local++
	}
	f.lead(g, r)
}

// lead brings a request to a gateway that is ready.
func (f *Fleet) lead(g *gateway, r *request) {
	if g = f.front(g.number); g == nil { // nobody takes its connection
		f.answer(r, func(c *ClassCount) { c.Failed++ }, Response{Failed: true})
		return
	}
	g.request(r)
}

// request takes a client's request, for the first time or once more.
func (g *gateway) request(r *request) {
	f := g.f
	f.ids++
	if r.id = strconv.Itoa(f.ids); r.class.Effect != balancer.Idempotent && r.key == "" {
		r.key = r.id
	}
	r.asked = f.now
	g.open[r.id] = r
	g.bal.Request(f.now, balancer.Request{ID: r.id, Class: r.class.Name, TimeLeft: r.deadline - f.now, Key: r.key, Tenant: r.tenant, Write: r.class.Effect != balancer.Idempotent})
}

// ---- gateway ----

// Send begins an attempt.
func (g *gateway) Send(id, to string, _ time.Duration) {
	f, r := g.f, g.open[id]
	s := f.servers[to]
	a := &attempt{r: r, n: len(r.attempts), s: s, sent: f.now, extra: g.connect(to)}
	r.attempts = append(r.attempts, a)
	r.phase.Attempts++
	way := f.opt.CrossZoneDelay / 16
	if s != nil && s.zone != g.zone {
		r.phase.CrossZone++
		way = f.opt.CrossZoneDelay / 2
	}
	l := &f.opt.Link
	if way += l.Delay; l.Jitter > 0 {
		way += time.Duration(f.rng.ExpFloat64() * float64(l.Jitter))
	}
	if s != nil {
		if s.told > 0 && f.now > s.told+time.Second {
			f.result.AttemptsAfterDrain++
		}
		if f.opt.Observer.AttemptSent != nil {
			f.opt.Observer.AttemptSent(f.Now(), s.zone, s.id)
		}
	}
	end := func(res balancer.Result, at time.Duration) {
		if res == balancer.Served {
			if at += r.class.ResponseTime; l.Loss > 0 && f.rng.Float64() < l.Loss {
				res = balancer.ConnectionLost
			}
		}
		f.after(at, func() { g.ended(a, res) })
	}
	if s == nil || s.how == RefusesConnections { // also one that has another id by now
		end(balancer.NotConnected, 2*way)
		return
	}
	f.after(r.deadline-f.now, func() { g.ended(a, balancer.TimedOut) })
	f.after(way, func() {
		s.take(a, func(res balancer.Result) { end(res, way) })
	})
}

func (g *gateway) ended(a *attempt, res balancer.Result) {
	if a.done {
		return
	}
	a.done = true
	if g.dead {
		return
	}
	g.keep(a, res)
	r, done := a.r, false
	if res == balancer.Served && !r.answered {
		done = true
		took := g.f.now - r.asked
		delete(g.open, r.id)
		g.f.answer(r, func(c *ClassCount) {
			c.Latencies = append(c.Latencies, took)
			if took <= r.class.LatencyObjective {
				if c.InTime++; r.home {
					c.LocalInTime++
				}
			} else {
				c.Late++
			}
		}, Response{InTime: took <= r.class.LatencyObjective, Late: took > r.class.LatencyObjective})
	}
	g.bal.Outcome(g.f.now, balancer.Outcome{ID: r.id, Attempt: a.n, Result: res, Latency: g.f.now - a.sent, Final: done || r.answered})
}

// answer gives a request its one answer.
func (f *Fleet) answer(r *request, count func(*ClassCount), a Response) {
	if r.answered {
		f.result.Lost++
		return
	}
	r.answered = true
	count(r.phase.Classes[r.class.Name])
	if r.loop {
		f.again(r)
	}
	if f.opt.Observer.ResponseReceived != nil {
		a.At, a.Took, a.Class = r.began-origin, f.now-r.asked, r.class.Name
		f.opt.Observer.ResponseReceived(a)
	}
}

func (g *gateway) no(id string, refused bool) {
	r := g.open[id]
	if r == nil {
		return
	}
	delete(g.open, id)
	g.f.answer(r, func(c *ClassCount) {
		took := g.f.now - r.asked
		if took > r.class.LatencyObjective {
			c.FailedLate++
		}
		if refused {
			c.Rejected++
			c.SlowestRejection = max(c.SlowestRejection, took)
		} else {
			c.Failed++
		}
	}, Response{Rejected: refused, Failed: !refused})
}

// Reject answers a client, who may ask again. Its request counts as refused once it gives up.
func (g *gateway) Reject(id string, after time.Duration) {
	f, r := g.f, g.open[id]
	if f.opt.ClientRetry == RetryAtOnce || after <= 0 {
		after = f.opt.CrossZoneDelay
	}
	if r == nil || r.answered || f.opt.ClientRetry == NoRetry || f.now+after >= r.began+r.class.LatencyObjective {
		g.no(id, true)
		return
	}
	delete(g.open, id)
	f.waits++
	next := *r
	next.attempts = nil
	r.answered = true // what is still out of it is of no use any more
	f.after(after, func() {
		f.waits--
		f.lead(g, &next)
	})
}

func (g *gateway) Fail(id string) { g.no(id, false) }

func (g *gateway) Cancel(id string, n int) {
	// The attempt is known by its request, which may be answered already.
	for _, s := range g.f.order {
		for _, a := range s.queue {
			if a.r.id == id && a.n == n {
				g.f.after(0, func() { g.ended(a, balancer.Cancelled) })
				return
			}
		}
	}
}

func (g *gateway) HealthCheck(string) {}
func (g *gateway) CloseIdle(string)   {}
func (g *gateway) Watch(bool)         {}
func (g *gateway) Fetch()             {}
func (g *gateway) Log(string)         {}

func (g *gateway) SetTimer(token uint64, after time.Duration) {
	g.f.after(after, func() {
		if !g.dead {
			g.bal.Timer(g.f.now, token)
		}
	})
}

// ---- servers ----

func (s *server) warmth() float64 {
	age := s.f.now - s.since
	if s.since == 0 || age >= s.f.opt.WarmUp {
		return 1
	}
	return s.f.opt.InitialSpeed + (1-s.f.opt.InitialSpeed)*float64(age)/float64(s.f.opt.WarmUp)
}

// part is its part of the full speed now, for all but its warm-up.
func (s *server) part() float64 {
	if s.speed == nil {
		return 1
	}
	return max(s.speed(s.f.Now()), 1e-3)
}

// load is what came in the last second over what it can do in one.
func (s *server) load() float64 {
	for len(s.arrivals) > 0 && s.arrivals[0] < s.f.now-time.Second {
		s.arrivals = s.arrivals[1:]
	}
	return float64(len(s.arrivals)) / (float64(s.workers) / s.f.opt.ServiceTime.Seconds() * s.warmth() * s.part())
}

func (s *server) take(a *attempt, end func(balancer.Result)) {
	f := s.f
	s.arrivals = append(s.arrivals, f.now)
	p, w, load := f.phase(), s.warmth(), s.load()
	p.MaxLoad = max(p.MaxLoad, load)
	if w < 1 && s.how == Healthy && f.now >= s.until {
		if p.MaxColdLoad = max(p.MaxColdLoad, load); load > f.opt.OverloadMultiple { // it falls over, with all that it has
			p.Overloads++
			s.until = f.now + 2*time.Second
			for _, q := range s.queue {
				f.finish(q, balancer.ConnectionLost)
			}
			s.queue = nil
		}
	}
	switch {
	case s.how == RefusesConnections, f.now < s.until:
		end(balancer.NotConnected)
	case s.how == NeverResponds:
	case s.how == Responds503, s.sick[a.r.class.Name], len(s.queue) >= s.limit:
		end(balancer.Rejected)
	case s.how == ResetsAfterRequest:
		s.run(a)
		end(balancer.ConnectionLost)
	default:
		s.queue = append(s.queue, a)
		p.MaxQueue = max(p.MaxQueue, s.busy+len(s.queue))
		a.s = s
		s.next(end)
	}
}

func (f *Fleet) finish(a *attempt, res balancer.Result) {
	for _, g := range f.gateways {
		if r := g.open[a.r.id]; r != nil && r == a.r {
			f.after(time.Millisecond, func() { g.ended(a, res) })
			return
		}
	}
}

// next begins what it has a worker for. What was queued with an end of its own keeps it.
func (s *server) next(end func(balancer.Result)) {
	f := s.f
	last := s.queue[len(s.queue)-1]
	start := func(a *attempt, end func(balancer.Result)) {
		s.busy++
		since := s.since
		var took time.Duration
		if draw := a.r.class.DrawServiceTime; draw != nil {
			took = draw(f.rng)
		} else {
			took = time.Duration(f.rng.ExpFloat64() * float64(f.opt.ServiceTime))
		}
		took = time.Duration(float64(took+a.extra) * s.slow / s.warmth() / s.part())
		f.after(took, func() {
			if s.since != since || s.how == RefusesConnections {
				return // it died meanwhile
			}
			s.busy--
			s.run(a)
			if s.how == Healthy || s.how == LosesResponses && f.rng.IntN(5) == 0 {
				end(balancer.Served)
			}
			for len(s.queue) > 0 {
				q := s.queue[0]
				s.queue = s.queue[1:]
				if !q.done { // nobody waits for one that was called off
					q.begin()
					break
				}
			}
		})
	}
	last.begin = func() { start(last, end) }
	if s.busy < s.workers {
		s.queue = s.queue[:len(s.queue)-1]
		last.begin()
	}
}

// run takes an effect; a repeat of a key is dropped in its zone.
func (s *server) run(a *attempt) {
	if a.r.key == "" {
		return
	}
	zones := s.f.ran[a.r.key]
	if zones == nil {
		zones = map[string]int{}
		s.f.ran[a.r.key] = zones
	}
	group := s.zone
	if a.r.class.Effect == balancer.IdempotentWithKey && a.r.class.Group == balancer.GroupAll {
		group = "" // all servers drop a repeat
	}
	if a.r.class.Effect == balancer.IdempotentWithKey && zones[group] > 0 {
		return
	}
	zones[group]++
}
