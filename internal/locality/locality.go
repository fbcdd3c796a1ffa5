// Package locality decides which locality of a cluster may take an attempt: its own zone first, then others in tiers of
// preference, each by its health, its state and by what it has shown that it can do.
//
// A Book serves one cluster of one gateway. Gateways share nothing: each bounds its own part. A Book reads no clock, does
// no I/O and starts no goroutine: time is an argument and never goes back, and the same seed and the same calls give the
// same decisions. It is not safe for several goroutines at once.
//
// The words are Envoy's: priority, locality, overprovisioning factor, panic threshold, outlier, retry budget. How loads
// are split over priorities follows Envoy's documentation on priority levels.
package locality

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"robindrum/balancer"
	"robindrum/internal/resource"
)

// State is what a locality is taken to be.
type State uint8

const (
	Up        State = iota
	Failing         // it may be going: it is used, but others are preferred
	Dark            // it gets probes alone
	Returning       // it gets a share that grows with evidence
)

func (s State) String() string { return [...]string{"up", "failing", "dark", "returning"}[s] }

// Class is a kind of request, as the book needs it.
type Class struct {
	Name             string
	PriorityWeight   float64
	LatencyObjective time.Duration // an answer later than it is late
	Effect           balancer.Effect
}

// Options are what a Book goes by. Zero values are filled in by Fill; Panic, Floor and RetryShare below 0 mean 0.
type Options struct {
	OwnZone  string     // the gateway's zone
	Tiers    [][]string // zones in order of preference, "*" for all others; empty: the own one, then all others
	Gateways int        // before the same servers; each takes its part of what is unknown
	Classes  []Class

	Overprovision float64 // Envoy's overprovisioning factor; 1.4
	Panic         float64 // Envoy's panic threshold, as a fraction; 0.5

	FailHold      time.Duration // bad evidence for so long makes an Up locality Failing; 200 ms
	DarkHold      time.Duration // worse evidence for so long makes it Dark; 300 ms
	UpHold        time.Duration // good evidence for so long makes it Up again; 1 s
	Hold          time.Duration // how long it is Dark at the least; 1 s, twice as long each time
	MaxHold       time.Duration // and no longer than this; 30 s
	ProbeInterval time.Duration // between probes of a Dark locality; 500 ms
	Step          time.Duration // of the way back, at the least; 2 s
	Floor         float64       // the part of a locality's room that each class may have whatever the others are worth; 0.05

	FirstShare   float64 // of its load, that a returning locality begins with; doubled each step; 1/16
	FirstRoom    float64 // requests at once that may cross to where nothing is known, over all gateways; 16
	Tolerance    float64 // latency over its best, above which a locality that is crossed to is busy; 1.5
	OwnTolerance float64 // the same of the own zone: its own requests go first; 4

	// OwnFree leaves the own zone without a limit on what it gets, where admission bounds the cluster as a whole.
	OwnFree bool

	RetryShare float64 // retries out at a tier, as a part of all that is out there; 0.2
	MinRetries int     // and so many in any case; 3

	MaxRetryAfter time.Duration // the longest that a client is told to wait; 5 s

	// Notify is told of each transition; nil: nobody is. It must not call back.
	Notify func(Transition)
}

// Transition is a change of a locality's state.
type Transition struct {
	At       time.Duration
	Locality balancer.Locality
	From, To State
	Evidence string
	Hold     time.Duration // how long it is Dark at the least
}

// Fill sets what was left out.
func (o *Options) Fill() {
	set(&o.Gateways, 1)
	set(&o.Overprovision, 1.4)
	set(&o.Panic, 0.5)
	set(&o.FailHold, 200*time.Millisecond)
	set(&o.DarkHold, 300*time.Millisecond)
	set(&o.UpHold, time.Second)
	set(&o.Hold, time.Second)
	set(&o.MaxHold, 30*time.Second)
	set(&o.ProbeInterval, 500*time.Millisecond)
	set(&o.Step, 2*time.Second)
	set(&o.Floor, 0.05)
	set(&o.FirstShare, 1.0/16)
	set(&o.FirstRoom, 16)
	set(&o.Tolerance, 1.5)
	set(&o.OwnTolerance, 4)
	set(&o.RetryShare, 0.2)
	set(&o.MinRetries, 3)
	set(&o.MaxRetryAfter, 5*time.Second)
	o.Panic, o.Floor, o.RetryShare = max(o.Panic, 0), max(o.Floor, 0), max(o.RetryShare, 0)
}

func set[T cmp.Ordered](v *T, to T) {
	var zero T
	if *v == zero {
		*v = to
	}
}

// Check says what cannot be used.
func (o *Options) Check() error {
	switch {
	case !(o.Overprovision > 0 && o.Overprovision <= 1e9):
		return fmt.Errorf("overprovisioning_factor: want more than 0, not %v", o.Overprovision)
	case o.Panic < 0 || o.Panic > 1:
		return fmt.Errorf("panic_threshold: want 0 to 1, not %v", o.Panic)
	case o.FirstShare <= 0 || o.FirstShare > 1:
		return fmt.Errorf("first_share: want more than 0 and at most 1, not %v", o.FirstShare)
	case o.Tolerance <= 1 || o.OwnTolerance <= 1:
		return errors.New("tolerance: want more than 1")
	case o.Floor < 0 || o.Floor > 0.5:
		return fmt.Errorf("floor: want 0 to 0.5, not %v", o.Floor)
	case o.MaxHold < o.Hold:
		return fmt.Errorf("most_hold: %v is shorter than hold, %v", o.MaxHold, o.Hold)
	case o.FirstRoom < 1:
		return fmt.Errorf("first_room: want 1 at least, not %v", o.FirstRoom)
	case o.RetryShare < 0 || o.RetryShare > 1 || o.MinRetries < 0:
		return errors.New("retry budget: want a share from 0 to 1 and at least 0 retries")
	}
	seen := map[string]bool{}
	for _, t := range o.Tiers {
		for _, z := range t {
			if seen[z] {
				return fmt.Errorf("tiers: %q is named twice", z)
			}
			seen[z] = true
		}
	}
	return nil
}

const (
	window     = time.Second            // over which what is served and refused is counted
	recent     = 400 * time.Millisecond // over which evidence is looked at
	enough     = 5                      // answers that make evidence
	remembered = 64                     // localities
	steady     = 3                      // good answers that a step of the way back needs
)

// Picker decides for one cluster.
type Picker struct {
	opt     Options
	src     *rand.PCG
	rng     *rand.Rand
	places  []*place // in order of preference
	classes map[string]*class
	told    bool // some locality was on the list at some time
	refused uint64
	short   fade // requests refused for want of room, of late
}

type class struct {
	Class
	part float64 // of a locality's room that it may have with all those that are worth less
}

// New makes a book.
func New(o Options, seed uint64) (*Picker, error) {
	o.Fill()
	if err := o.Check(); err != nil {
		return nil, err
	}
	b := &Picker{opt: o, src: rand.NewPCG(seed, 0x7a6f6e65), classes: map[string]*class{}}
	b.rng = rand.New(b.src)
	worths := map[float64]bool{}
	for _, c := range o.Classes {
		worths[c.PriorityWeight] = true
		b.classes[c.Name] = &class{Class: c}
	}
	// The class of the highest worth may fill the room, the one of the lowest two thirds of it.
	for _, c := range b.classes {
		below := 0
		for w := range worths {
			if w < c.PriorityWeight {
				below++
			}
		}
		c.part = 1
		if len(worths) > 1 {
			c.part = 2.0/3 + float64(below)/float64(len(worths)-1)/3
		}
	}
	return b, nil
}

// SetOverprovision changes the overprovisioning factor. One that cannot be used changes nothing.
func (b *Picker) SetOverprovision(f float64) {
	if f > 0 && f <= 1e9 {
		b.opt.Overprovision = f
		b.split()
	}
}

// rank is a locality's tier: its priority, and in it that of its zone.
func (b *Picker) rank(l balancer.Locality) (r [2]int) {
	r[0] = l.Priority
	if len(b.opt.Tiers) == 0 {
		if l.Zone != b.opt.OwnZone {
			r[1] = 1
		}
		return r
	}
	r[1] = len(b.opt.Tiers)
	for i, t := range b.opt.Tiers {
		if slices.Contains(t, l.Zone) {
			r[1] = i
			return r
		}
		if slices.Contains(t, "*") {
			r[1] = i
		}
	}
	return r
}

// UpdateHealth takes how the localities on the list stand. One that is not told has left the list.
func (b *Picker) UpdateHealth(now time.Duration, l []balancer.LocalityHealth) {
	for _, p := range b.places {
		p.known, p.running, p.ready = 0, 0, 0
	}
	for _, h := range l {
		p := b.find(h.Locality)
		if p == nil {
			p = b.add(now, h)
		}
		p.known, p.running, p.ready = h.Listed, h.Running, h.Ready
	}
	b.told = b.told || len(l) > 0
	for _, p := range b.places {
		b.turn(now, p)
	}
	if len(b.places) > remembered { // names may be ever new
		b.places = slices.DeleteFunc(b.places, func(p *place) bool { return p.known == 0 && p.inFlight == 0 })
	}
	b.split()
}

func (b *Picker) find(l balancer.Locality) *place {
	for _, p := range b.places {
		if p.at == l {
			return p
		}
	}
	return nil
}

// add takes a locality on. Those of the first list are up; one that comes later has shown nothing yet.
func (b *Picker) add(now time.Duration, h balancer.LocalityHealth) *place {
	p := &place{at: h.Locality, rank: b.rank(h.Locality), classes: map[string]*use{}, word: now}
	p.own = p.at.Zone == b.opt.OwnZone
	p.room.begin(&b.opt, p.own)
	if b.told {
		p.state, p.since, p.evidence, p.stepAt = Returning, now, "new on the list", now
	}
	i, _ := slices.BinarySearchFunc(b.places, p, byPreference)
	b.places = slices.Insert(b.places, i, p)
	return p
}

func byPreference(x, y *place) int {
	return cmp.Or(slices.Compare(x.rank[:], y.rank[:]), cmp.Compare(x.at.Zone, y.at.Zone))
}

// split gives each locality its share of the load as Envoy does for priorities: a tier takes its health times the
// overprovisioning factor, what is left goes to the next; where all of them together are not enough, what there is is
// scaled up to the whole. What a state holds back of a share goes on to the next tier and is not scaled up.
func (b *Picker) split() {
	var total float64
	tiers(b.places, func(t []*place) { total += b.tierHealth(t, false) })
	none := total == 0 // every endpoint is ejected: then that says nothing
	if none {
		tiers(b.places, func(t []*place) { total += b.tierHealth(t, true) })
	}
	left := 1.0
	tiers(b.places, func(t []*place) {
		h := b.tierHealth(t, none) / max(min(total, 1), 1e-9)
		h = min(h, 1)
		var weight, may float64
		for _, p := range t {
			p.panic = (total < 1 || none) && p.known > 0 && p.ready < b.opt.Panic*p.known && p.running > p.ready
			w := p.weight(p.panic)
			weight, may = weight+w, may+w*p.factor(&b.opt)
		}
		load := 0.0
		if weight > 0 {
			load = min(left, h*may/weight)
		}
		for _, p := range t {
			if p.share = 0; may > 0 {
				p.share = load * p.weight(p.panic) * p.factor(&b.opt) / may
			}
		}
		left = max(left-load, 0)
	})
}

// tiers calls fn for each run of localities of one rank.
func tiers(l []*place, fn func([]*place)) {
	for i := 0; i < len(l); {
		j := i + 1
		for j < len(l) && l[j].rank == l[i].rank {
			j++
		}
		fn(l[i:j])
		i = j
	}
}

// tierHealth is what Envoy calls the health of a priority, from 0 to 1. In a panic servers that are ejected count as well.
func (b *Picker) tierHealth(t []*place, mayPanic bool) float64 {
	var known, ready float64
	for _, p := range t {
		known, ready = known+p.known, ready+p.weight(mayPanic && p.ready < b.opt.Panic*p.known)
	}
	if known == 0 {
		return 0
	}
	return min(b.opt.Overprovision*ready/known, 1)
}

func (p *place) weight(panic bool) float64 {
	if panic {
		return p.running
	}
	return p.ready
}

// factor is the part of its share that a locality's state leaves it.
func (p *place) factor(o *Options) float64 {
	switch p.state {
	case Failing:
		return 0.5
	case Dark:
		return 0
	case Returning:
		return min(o.FirstShare*math.Pow(2, float64(p.step)), 1)
	}
	return 1
}

// Pick gives the locality of an attempt, or tells that there is none now and when the client may come back.
func (b *Picker) Pick(now time.Duration, a balancer.LocalityRequest) (at balancer.Locality, ok bool, comeBack time.Duration) {
	for _, p := range b.places {
		b.turn(now, p)
	}
	b.split()
	c := b.classes[a.Class]
	if c == nil {
		c = &class{Class: Class{Name: a.Class, PriorityWeight: 1, LatencyObjective: time.Second, Effect: balancer.NonIdempotent}, part: 2.0 / 3}
	}
	var p *place
	switch a.Purpose {
	case balancer.FirstAttempt:
		p = b.first(now, a, c)
	case balancer.Retry:
		p = b.again(now, a, c)
	case balancer.Hedge:
		p = b.copied(now, a, c)
	}
	if p != nil {
		return p.at, true, 0
	}
	if a.Purpose == balancer.FirstAttempt {
		b.refused++
		b.short.at(now).n++
		for _, p := range b.places { // the one that it would have gone to
			if p.known > 0 && !slices.Contains(a.Excluded, p.at) || p == b.places[len(b.places)-1] {
				p.refused++
				break
			}
		}
	}
	return balancer.Locality{}, false, b.comeBack(now)
}

func (b *Picker) first(now time.Duration, a balancer.LocalityRequest, c *class) *place {
	for _, p := range b.places {
		if p.probeDue(now, &b.opt, c) && allowed(p, a) {
			return p
		}
	}
	// By share.
	u := a.Draw
	var drawn *place
	for _, p := range b.places {
		if u -= p.share; u < 0 {
			drawn = p
			break
		}
	}
	if drawn != nil && allowed(drawn, a) && b.fits(now, drawn, a, c) {
		return drawn
	}
	// It has no room there: another that is preferred before refusing. What is returning has its share and no more.
	for _, p := range b.places {
		if p != drawn && (p.state == Up || p.state == Failing) && p.weight(p.panic) > 0 && allowed(p, a) && b.fits(now, p, a, c) {
			return p
		}
	}
	return nil
}

func allowed(p *place, a balancer.LocalityRequest) bool {
	return !slices.Contains(a.Excluded, p.at) && (a.OnlyZone == "" || a.OnlyZone == p.at.Zone)
}

// again is where a retry goes: the most preferred that has room and whose tier's retry budget is not spent.
func (b *Picker) again(now time.Duration, a balancer.LocalityRequest, c *class) *place {
	for _, p := range b.places {
		if p.state > Failing || p.weight(p.panic) == 0 || !allowed(p, a) {
			continue
		}
		if float64(p.retries) >= max(b.opt.RetryShare*float64(p.inFlight), float64(b.opt.MinRetries)) {
			p.retriesDenied++
			continue
		}
		if b.fits(now, p, a, c) {
			return p
		}
	}
	return nil
}

// copied is where a copy goes: beside the first, and to another locality only where that is up and not busy.
func (b *Picker) copied(now time.Duration, a balancer.LocalityRequest, c *class) *place {
	from := b.find(a.Previous)
	if a.BudgetSpent && from != nil && from.state == Up {
		return nil // one slow answer is no reason: this is for those that a zone keeps
	}
	for _, p := range b.places {
		if p.state != Up || p.ready == 0 || !allowed(p, a) || a.BudgetSpent && p == from {
			continue
		}
		if p.at != a.Previous && (float64(p.inFlight) >= p.room.maximum/2 || p.room.busy(now)) {
			continue
		}
		if b.fits(now, p, a, c) {
			return p
		}
	}
	return nil
}

// fits tells whether a locality has room for a request of a class, and the request time for it.
func (b *Picker) fits(now time.Duration, p *place, a balancer.LocalityRequest, c *class) bool {
	u := p.use(a.Class)
	if u.deaf(now) {
		return false
	}
	if u.best > 0 && a.TimeLeft < time.Duration(u.best) {
		p.noTime++
		return false
	}
	n := float64(p.inFlight)
	if n < p.room.maximum*c.part {
		return true
	}
	floor := max(b.opt.Floor*p.room.maximum, 1)
	return float64(u.out) < floor && n < p.room.maximum*(1+b.opt.Floor)
}

// comeBack is when those that are refused may come back.
func (b *Picker) comeBack(now time.Duration) time.Duration {
	served := 0.0
	for _, p := range b.places {
		served += p.good.at(now).n
	}
	return resource.RetryAfter(b.short.at(now).n, served, b.opt.MaxRetryAfter, b.rng.Float64())
}

// AttemptSent takes that an attempt went to a locality.
func (b *Picker) AttemptSent(now time.Duration, at balancer.Locality, a balancer.LocalityRequest) {
	p := b.find(at)
	if p == nil {
		return
	}
	if p.inFlight == 0 {
		p.word = now
	}
	p.inFlight++
	p.sent++
	if !p.own {
		p.crossed++
	}
	u := p.use(a.Class)
	u.out++
	p.room.peak = max(p.room.peak, float64(p.inFlight))
	if a.Purpose == balancer.Retry {
		p.retries++
		p.retried++
	}
	if p.state == Dark {
		if p.probes++; p.probing == 0 {
			p.probesFrom = now // attempts from before it went dark may end meanwhile
		}
		p.probing++
		// The part of all gateways' probes that is this one's.
		gap := float64(b.opt.ProbeInterval) * max(float64(b.opt.Gateways)/16, 1)
		p.nextProbe = now + time.Duration((0.75+b.rng.Float64()/2)*gap)
	}
	u.next(now)
}

// AttemptEnded takes how an attempt ended.
func (b *Picker) AttemptEnded(now time.Duration, at balancer.Locality, a balancer.LocalityRequest, r balancer.Result, took time.Duration) {
	p := b.find(at)
	if p == nil {
		return
	}
	p.inFlight = max(p.inFlight-1, 0)
	if a.Purpose == balancer.Retry {
		p.retries = max(p.retries-1, 0)
	}
	u := p.use(a.Class)
	u.out = max(u.out-1, 0)
	probe := p.state == Dark && p.probing > 0 && a.SentAt >= p.probesFrom
	if probe {
		p.probing--
	}
	switch r {
	case balancer.NotSent, balancer.Cancelled: // a copy, or a client that left: it says nothing
		return
	}
	good := r == balancer.Served
	c := b.classes[a.Class]
	var aim time.Duration
	if c != nil {
		aim = c.LatencyObjective
	}
	late := good && c != nil && c.LatencyObjective > 0 && took > c.LatencyObjective
	if good || r == balancer.Rejected || r == balancer.ServerError {
		p.word = now
	}
	if r == balancer.TimedOut && c != nil && took < c.LatencyObjective { // the client left it no time
		return
	}
	u.learn(now, good, late, took)
	if p.row++; good {
		p.row = 0
		p.good.at(now).n++
	}
	switch {
	case p.own && b.opt.OwnFree:
	case good:
		p.room.answer(now, &b.opt, p, u.ratio(took, aim, &p.room), late)
	default:
		p.room.answer(now, &b.opt, p, 0, true)
	}
	u.hear(now, good, p)
	if probe {
		p.probed(good)
	}
	if p.state == Returning && a.SentAt >= p.stepAt { // what was sent before says nothing of this step
		if good && !late {
			u.stepGood++
		} else {
			u.stepBad++
		}
	}
	b.turn(now, p)
}
