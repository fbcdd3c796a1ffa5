package locality

import (
	"fmt"
	"math"
	"time"

	"robindrum/balancer"
)

// place is a locality as the book knows it.
type place struct {
	at                    balancer.Locality
	rank                  [2]int
	own                   bool
	known, running, ready float64
	panic                 bool

	state                 State
	since                 time.Duration
	evidence              string
	badAt, worseAt, okAt  time.Duration // since when evidence of that kind holds; 0: it does not
	trips                 int           // times that it went Dark without a long while Up
	until                 time.Duration // Dark until then at the least
	gone                  bool          // Dark as the list wants none of its endpoints used
	step                  int
	stepAt                time.Duration
	nextProbe             time.Duration
	probesFrom            time.Duration // when the first of the probes that are out was sent
	probing, probesInARow int
	share                 float64

	inFlight, retries int
	row               int           // attempts that failed in a row, of all classes
	word              time.Duration // when it said anything last, or was first asked after a pause
	classes           map[string]*use
	good              fade
	room              room

	sent, crossed, refused, retried, retriesDenied, probes, noTime, turns uint64
}

// use is what a locality does for one class.
type use struct {
	out      int
	n, hard  fade    // attempts that ended of late; of them, those that failed
	late     fade    // and those that came late
	best     float64 // the lowest mean latency of late, in ns; 0: not known
	sum, num float64 // of the second under way
	from     time.Duration
	row      int // failures in a row
	stepGood int // attempts of this step of the way back
	stepBad  int
	trips    int
	until    time.Duration // left out for this class until then
	trial    bool          // one went through after a pause
}

func (p *place) use(class string) *use {
	u := p.classes[class]
	if u == nil {
		if len(p.classes) >= remembered { // classes come from the configuration: this cannot grow far
			clear(p.classes)
		}
		u = &use{}
		p.classes[class] = u
	}
	return u
}

// fade is a count that forgets over the window.
type fade struct {
	n    float64
	last time.Duration
}

func (f *fade) at(now time.Duration) *fade { return f.over(now, window) }

// lately is the same over a shorter time, in which evidence counts.
func (f *fade) lately(now time.Duration) *fade { return f.over(now, recent) }

func (f *fade) over(now, life time.Duration) *fade {
	if now > f.last {
		f.n *= math.Exp(-float64(now-f.last) / float64(life))
		f.last = now
	}
	return f
}

func (u *use) learn(now time.Duration, good, late bool, took time.Duration) {
	u.n.lately(now).n++
	if !good {
		u.hard.lately(now).n++
		return
	}
	if late {
		u.late.lately(now).n++
	}
	if u.from == 0 {
		u.from = now
	}
	u.sum, u.num = u.sum+float64(took), u.num+1
	if u.best == 0 && u.num < enough {
		return
	}
	if now-u.from >= window || u.best == 0 {
		mean := u.sum / u.num
		if u.best == 0 || mean < u.best {
			u.best = mean
		} else { // what was best may be so no more: 2% a second
			u.best = min(u.best*1.02, mean)
		}
		u.sum, u.num, u.from = 0, 0, now
	}
}

// ratio is a latency over what shows that a locality is busy: a multiple of the best, and no less than a part of what is
// wanted. Danger: a queue of one doubles the best, and with all well would have requests refused.
func (u *use) ratio(took, aim time.Duration, r *room) float64 {
	busy := max(r.tolerance*u.best, r.part*float64(aim))
	if u.best <= 0 || busy <= 0 {
		return 0.5
	}
	return float64(took) / busy
}

// hear leaves a locality out for a class that it fails alone, longer each time. Danger: it answers that class at once,
// so it has room, while the others say that all is well.
func (u *use) hear(now time.Duration, good bool, p *place) {
	if good {
		u.row, u.trips, u.until, u.trial = 0, 0, 0, false
		return
	}
	u.row++
	served := false
	for _, o := range p.classes {
		served = served || o != u && o.n.lately(now).n >= 1 && o.hard.lately(now).n < 0.2*o.n.n
	}
	if served && u.row >= enough && (u.trial || now >= u.until) {
		u.until, u.trial = now+min(time.Second<<u.trips, 16*time.Second), false
		u.trips = min(u.trips+1, 4)
	}
}

func (u *use) deaf(now time.Duration) bool { return now < u.until }

// next has one of a class that is left out go through after each pause, and no more until it has ended.
func (u *use) next(now time.Duration) {
	if u.trips > 0 && now >= u.until {
		u.until, u.trial = now+window, true
	}
}

// look is the evidence on a locality: the parts of attempts that failed and that came late, of the class that fares best
// with enough of them, and whether it says nothing at all.
func (p *place) look(now time.Duration, o *Options) (hard, late float64, known, silent bool) {
	hard = 2
	for _, u := range p.classes {
		if n := u.n.lately(now).n; n >= enough {
			if h := u.hard.lately(now).n / n; h < hard {
				hard, late, known = h, u.late.lately(now).n/n, true
			}
		}
	}
	// What is out is many times what it would be if it were answered as usual: answers are lost.
	var usual float64
	for _, u := range p.classes {
		usual += u.n.lately(now).n * u.best / float64(recent)
	}
	if p.inFlight >= 2*enough && float64(p.inFlight) > 8*max(usual, 1) {
		defer func() { late, known = 1, true }()
	}
	if !known {
		var n, h, l float64
		for _, u := range p.classes {
			n, h, l = n+u.n.lately(now).n, h+u.hard.lately(now).n, l+u.late.lately(now).n
		}
		if n >= enough {
			hard, late, known = h/n, l/n, true
		}
	}
	return hard, late, known, p.inFlight > 0 && now-p.word > p.quiet(o)
}

// quiet is how long a locality may say nothing while attempts are out: several times what its answers take.
func (p *place) quiet(o *Options) time.Duration {
	most := 0.0
	for name, u := range p.classes {
		if u.out > 0 {
			best := u.best
			if best == 0 {
				for _, c := range o.Classes {
					if c.Name == name {
						best = float64(c.LatencyObjective) / 2
					}
				}
			}
			most = max(most, best)
		}
	}
	return max(time.Duration(8*most), 300*time.Millisecond)
}

// held notes since when something holds and tells whether it has for long enough.
func held(at *time.Duration, now time.Duration, holds bool, long time.Duration) bool {
	if !holds {
		*at = 0
		return false
	}
	if *at == 0 {
		*at = max(now, 1)
	}
	return now-*at >= long
}

// turn moves a locality to the state that the evidence says.
func (b *Picker) turn(now time.Duration, p *place) {
	o := &b.opt
	if p.running == 0 {
		if p.state != Dark {
			b.dark(now, p, "no endpoint is to be used")
			p.until, p.gone = now, true // nobody knows better than the list when it is back
		}
		p.probesInARow = 0
		return
	}
	hard, late, known, silent := p.look(now, o)
	switch p.state {
	case Up, Failing:
		worse := silent || known && hard >= 0.7 || p.row >= 2*enough || p.ready == 0
		bad := worse || known && (hard >= 0.4 || late >= 0.5)
		fine := !silent && (!known || hard <= 0.1 && late <= 0.25)
		why := fmt.Sprintf("%.0f%% failed, %.0f%% late", 100*hard, 100*late)
		switch {
		case silent:
			why = fmt.Sprintf("no word for %v", (now - p.word).Round(time.Millisecond))
		case p.ready == 0:
			why = "every endpoint is ejected"
		case p.row >= 2*enough:
			why = fmt.Sprintf("%d attempts in a row failed", p.row)
		case !known:
			why = "too few answers to tell"
		}
		if p.state == Up {
			if held(&p.badAt, now, bad, o.FailHold) {
				b.move(now, p, Failing, why)
			}
			return
		}
		if held(&p.worseAt, now, worse, o.DarkHold) {
			b.dark(now, p, why)
		} else if held(&p.okAt, now, fine, o.UpHold) {
			b.move(now, p, Up, why)
		}
	case Dark:
		if p.gone || now >= p.until && p.probesInARow >= 2 {
			why := "probes are served"
			if p.probesInARow < 2 {
				why = "endpoints are to be used again"
			}
			p.step, p.gone = 0, false
			b.back(now, p, why)
		}
	case Returning:
		good, bad := p.steps()
		all := good + bad
		switch {
		case silent || bad >= steady && float64(bad) > 0.2*float64(all):
			why := fmt.Sprintf("%d of %d failed or late", bad, all)
			if silent {
				why = "no word"
			}
			if p.step == 0 || silent && good == 0 {
				b.dark(now, p, why)
				return
			}
			p.step--
			b.back(now, p, why)
		case now-p.stepAt >= o.Step && good >= steady && float64(bad) <= 0.1*float64(all):
			p.step++
			if p.factor(o) >= 1 {
				b.move(now, p, Up, "the way back is done")
				return
			}
			b.back(now, p, fmt.Sprintf("%d of %d served in time", good, all))
		}
	}
}

// steps is what came of a step of the way back for the class that fares best with enough answers, as a class that fails
// alone is left out by itself; with too few for any, of all classes.
func (p *place) steps() (good, bad int) {
	best := -1.0
	for _, u := range p.classes {
		if n := u.stepGood + u.stepBad; n >= steady {
			if r := float64(u.stepGood) / float64(n); r > best || r == best && u.stepGood > good {
				best, good, bad = r, u.stepGood, u.stepBad
			}
		}
	}
	if best < 0 {
		for _, u := range p.classes {
			good, bad = good+u.stepGood, bad+u.stepBad
		}
	}
	return good, bad
}

// back begins a step of the way back.
func (b *Picker) back(now time.Duration, p *place, why string) {
	p.stepAt = now
	for _, u := range p.classes { // what it did before says nothing now
		u.stepGood, u.stepBad = 0, 0
		u.n, u.hard, u.late = fade{}, fade{}, fade{}
	}
	p.word = now
	if p.state != Returning {
		b.move(now, p, Returning, why)
		return
	}
	p.evidence = why
	b.split()
}

func (b *Picker) dark(now time.Duration, p *place, why string) {
	if p.state == Up && now-p.since > 10*b.hold(p) { // it held for long
		p.trips = 0
	}
	hold := time.Duration((0.75 + b.rng.Float64()/2) * float64(b.hold(p)))
	hold = min(hold, b.opt.MaxHold)
	p.trips = min(p.trips+1, 16)
	p.until, p.nextProbe, p.probesInARow, p.probing, p.step = now+hold, now+hold/2, 0, 0, 0
	b.move(now, p, Dark, why)
}

func (b *Picker) hold(p *place) time.Duration {
	return min(b.opt.Hold<<min(p.trips, 16), b.opt.MaxHold)
}

func (b *Picker) move(now time.Duration, p *place, to State, why string) {
	t := Transition{At: now, Locality: p.at, From: p.state, To: to, Evidence: why}
	if to == Dark {
		t.Hold = max(p.until-now, 0)
	}
	p.state, p.since, p.evidence, p.row = to, now, why, 0
	defer b.split()
	p.badAt, p.worseAt, p.okAt = 0, 0, 0
	p.turns++
	if to == Dark || to == Returning {
		p.room.begin(&b.opt, p.own)
	}
	if b.opt.Notify != nil {
		b.opt.Notify(t)
	}
}

// probeDue tells whether a request of a class is to find out about a dark locality: safe ones first, others where none
// come.
func (p *place) probeDue(now time.Duration, o *Options, c *class) bool {
	if p.state != Dark || p.running == 0 || p.probing > 0 && now < p.nextProbe+8*o.ProbeInterval || now < p.nextProbe {
		return false
	}
	patience := map[balancer.Effect]time.Duration{balancer.Idempotent: 0, balancer.IdempotentWithKey: 4, balancer.NonIdempotent: 16}[c.Effect]
	return now >= p.nextProbe+patience*o.ProbeInterval
}

func (p *place) probed(good bool) {
	if good {
		p.probesInARow++
	} else {
		p.probesInARow = 0
	}
}

// room bounds the requests at once that a locality is given, by what it has shown: it grows while what is given is
// answered in time, and shrinks as soon as latency rises. The own zone has no bound until it is seen to be busy.
type room struct {
	maximum   float64
	minimum   float64
	peak      float64 // the most at once in the period under way
	from      time.Duration
	n, served float64 // attempts that ended, and that were served
	sum       float64 // latencies of those, over what shows that it is busy
	bad       float64 // that failed or came late
	tolerance float64
	part      float64 // of what is wanted, below which latency shows nothing
	probing   bool    // nothing is known of where it ends
	busyAt    time.Duration
}

const period = 100 * time.Millisecond

func (r *room) begin(o *Options, own bool) {
	first := max(o.FirstRoom/float64(o.Gateways), 1)
	*r = room{maximum: first, minimum: max(first/4, 1), tolerance: o.Tolerance, part: 0.3, probing: true, busyAt: math.MinInt64 / 2}
	if own {
		r.maximum, r.tolerance, r.part = math.Inf(1), o.OwnTolerance, 0.6
	}
}

// busy tells whether latency was too high within the last second.
func (r *room) busy(now time.Duration) bool { return now-r.busyAt < window }

func (r *room) answer(now time.Duration, o *Options, p *place, ratio float64, bad bool) {
	if r.from == 0 {
		r.from = now
	}
	r.n++
	if bad && (!p.own || ratio > 0) { // what fails in the own zone is for its state to tell
		r.bad++
	}
	if ratio > 0 {
		r.served, r.sum = r.served+1, r.sum+ratio
	}
	if now-r.from < period || r.n < 3 {
		return
	}
	in := r.n - r.bad
	slow := r.served > 0 && r.sum/r.served > 1
	most := 0.2
	if p.own {
		most = 0.5
	}
	switch {
	case slow || r.bad > most*r.n:
		r.probing, r.busyAt = false, now
		r.maximum = max(min(r.maximum, r.peak)*0.8, r.minimum)
	case r.peak >= 0.7*r.maximum:
		// Danger: a bound that grows without being needed is none when it is.
		if grow := in; r.probing {
			r.maximum += min(grow, r.maximum/2)
		} else {
			r.maximum += min(grow/r.maximum, max(r.maximum/10, 1))
		}
	case p.own && !r.busy(now-10*window):
		r.maximum = math.Inf(1)
	}
	r.n, r.served, r.sum, r.bad, r.from, r.peak = 0, 0, 0, 0, now, float64(p.inFlight)
}

// Report is how a locality stands.
type Report struct {
	Locality      balancer.Locality
	Tier          int // from 0
	State         State
	Since         time.Duration // when it came to it
	Evidence      string
	Health        float64 // the part of its endpoints' weight that is ready
	Panic         bool
	Share         float64 // of the load, that it gets
	Step          float64 // of its share, that its state leaves it
	InFlight      int
	Room          float64 // requests at once that it may get; 0: no bound
	Sent          uint64
	Crossed       uint64 // of them, those that left the gateway's zone
	Refused       uint64 // requests, for want of room
	NoTime        uint64 // times that it was passed over, as a request had too little time for it
	Retries       uint64
	RetriesDenied uint64 // for want of retry budget
	Probes        uint64
	Transitions   uint64
}

// Report tells how all localities stand, in order of preference.
func (b *Picker) Report(now time.Duration) []Report {
	l := make([]Report, 0, len(b.places))
	tier := -1
	var rank [2]int
	for _, p := range b.places {
		if tier < 0 || p.rank != rank {
			tier, rank = tier+1, p.rank
		}
		r := Report{Locality: p.at, Tier: tier, State: p.state, Since: p.since, Evidence: p.evidence, Panic: p.panic, Share: p.share,
			Step: p.factor(&b.opt), InFlight: p.inFlight, Sent: p.sent, Crossed: p.crossed, Refused: p.refused, NoTime: p.noTime,
			Retries: p.retried, RetriesDenied: p.retriesDenied, Probes: p.probes, Transitions: p.turns}
		if p.known > 0 {
			r.Health = p.ready / p.known
		}
		if !math.IsInf(p.room.maximum, 1) {
			r.Room = p.room.maximum
		}
		l = append(l, r)
	}
	return l
}

// Refused is how many requests were refused for want of room anywhere.
func (b *Picker) Refused() uint64 { return b.refused }

// Inherit takes over what another book knew of the localities' states, where the cluster goes on under new settings.
func (b *Picker) Inherit(now time.Duration, old []Report) {
	for _, r := range old {
		p := b.find(r.Locality)
		if p == nil {
			p = b.add(now, balancer.LocalityHealth{Locality: r.Locality})
		}
		p.state, p.since, p.evidence = r.State, r.Since, r.Evidence
		switch r.State {
		case Dark:
			p.until, p.nextProbe, p.trips = now+b.opt.Hold, now, 1
		case Returning:
			p.step, p.stepAt = max(int(math.Round(math.Log2(max(r.Step, b.opt.FirstShare)/b.opt.FirstShare))), 0), now
		}
		b.told = true
	}
	b.split()
}
