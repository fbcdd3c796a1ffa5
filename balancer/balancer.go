package balancer // the interface (settings, events, actions) is in api.go, plain records are in state.go

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Balancer holds the decisions of one proxy.
type Balancer struct {
	set                    Settings
	host                   Host
	rng                    *rand.Rand
	classes                map[string]*class
	tenants                map[string]*tenant
	kinds                  map[string]*stat // latency of each kind of server, as a multiple of its class's mean
	servers                map[string]*server
	list, ready, some      []*server // in the list's order; some: of which the ready ones are
	stand                  []LocalityHealth
	byZone                 map[string][]*server
	running, added         int           // running servers; servers ever added
	maxKinds               int           // kinds are looked over once there are more
	told                   bool          // the list is known, not only remembered
	table                  []float64     // running sums of the weights of ready
	fresh                  time.Duration // the table's age
	dirty, asking, looking bool
	calling, broke         bool          // the list was asked for, and nothing has come of it yet; for the first time since its watch broke
	called                 time.Duration // when that was
	pulling                bool          // what waited is being started
	requests               map[string]*request
	bySeq                  map[uint64]*request // those without their final answer, by timer token
	seq                    uint64
	out, stuck             int     // attempts out, those at ejected servers
	budget                 float64 // further attempts that may be made
	places                 map[string]int
	zones                  map[string]*stat // loss of attempts in each zone
	asked, flow            stat
	given                  stat          // weights listed
	value                  stat          // work per worth of requests
	usual, shown           float64       // such sends to a warm server; those of the last time that there was one
	aim, pace, life, first time.Duration // the shortest aim; spans of some answers and of a server's state
}

const (
	pool       = 4.0  // samples that a wider mean counts for: below a handful, own samples are mostly noise
	toll       = 0.25 // part of the price by which another zone must be better: less is noise of the samples
	explore    = 0.02
	extraShare = 0.1
	extraBurst = 3.0
	panicShare = 0.5
	minSamples = 10.0
	headroom   = 1.3  // sends over timely answers: room to find out that an overload is over
	trickle    = 0.1  // of what would be refused goes through, to learn that an overload is over
	overdue    = 14.0 // mean deviations over the mean, after which a copy is made
	silent     = 4.0  // mean deviations over the mean, twice which a server may answer nothing
	few        = 5    // of so many, one more or less is within headroom
	subset     = 16   // servers of a zone drawn from at the least where proxies are few
	weighed    = 256  // servers of a zone weighed at the least: what a change costs is not to grow with the list
	names      = 64   // zones and kinds that may be remembered beside those of the list
	asksSeq    = 0    // timer token of the list
	looksSeq   = math.MaxInt64

	maxRest = 30 * time.Second        // that a server may ask for
	maxHold = 2500 * time.Millisecond // of a request that has nowhere to go, however long its client would wait
)

// MaxPollInterval is the longest from one call for the list to the next while none succeeds. What the list has to tell counts as
// told 6 s after it can be reached, whatever failed before: the rest of that is for the queue there.
const MaxPollInterval = 5 * time.Second

// New makes the balancer of one proxy.
func New(s Settings, seed uint64, host Host) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	b := &Balancer{set: s, host: host, rng: rand.New(rand.NewPCG(seed, 0x62617361)), budget: extraBurst,
		classes: map[string]*class{}, servers: map[string]*server{}, requests: map[string]*request{},
		bySeq: map[uint64]*request{}, byZone: map[string][]*server{}, kinds: map[string]*stat{}, zones: map[string]*stat{},
		places: map[string]int{}, maxKinds: names, tenants: map[string]*tenant{}, aim: math.MaxInt64}
	for _, c := range s.Classes {
		if c.LatencyObjective <= 0 || c.LatencyObjective > c.Deadline {
			c.LatencyObjective = c.Deadline
		}
		b.classes[c.Name] = &class{Class: c}
		b.aim, b.pace = min(b.aim, c.LatencyObjective), max(b.pace, 5*c.LatencyObjective)
		b.life = max(b.life, 2*c.Deadline)
	}
	for _, t := range s.Tenants {
		rate := t.Rate / float64(max(s.Proxies, 1))
		b.tenants[t.Name] = &tenant{rate: rate, left: rate}
	}
	// A server's state holds for about as long as it takes one to warm up.
	b.life = max(b.life, s.WarmUpTime)
	return b, nil
}

// ---- the list ----

// UpdateEndpoints takes news of the list: new servers start at zero, departed ones are dropped.
func (b *Balancer) UpdateEndpoints(now time.Duration, u EndpointUpdate) {
	if u.Kind == UpdateFailed { // the list is overloaded or away: come back later, and not all at once
		span := b.askSpan()
		switch {
		case !b.calling: // a watch broke, and may have been ended in place of telling a change
			b.broke = true
			b.ask(b.turn(min(span*3/10, span-u.SilentFor)))
		// Danger: a service with a queue works on calls that it has failed, too. Proxies that call again soon after they fail
		// keep the queue longer than a call may wait, for good. They are spread once, and keep their places at one pace.
		case b.broke:
			b.broke = false
			b.ask(b.called + span*2/5 + b.turn(span*3/5) - now)
		default:
			// Danger: at a pace that varies much calls come in bunches, and a service that is all but busy fails them by dozens.
			b.ask(b.called + span - time.Duration(b.rng.Float64()*float64(span/20)) - now)
		}
		b.calling = false
		return
	}
	b.dirty = true
	if u.Kind != UpdateDelta {
		seen := make(map[string]bool, len(u.Servers))
		for _, e := range u.Servers {
			seen[e.ID] = true
		}
		for _, s := range slices.Clone(b.list) {
			if !seen[s.ID] {
				b.leave(s)
			}
		}
	}
	for _, e := range u.Servers {
		s := b.servers[e.ID]
		if e.State == Removed {
			if s != nil {
				b.leave(s)
			}
			continue
		}
		if s == nil {
			// Both shares of a golden section: proxies and servers are spread evenly however many there are.
			_, place := math.Modf(math.Phi*float64(b.places[e.Zone]) + math.Sqrt2*float64(max(b.set.Index, 0)))
			s = &server{place: place, added: b.added}
			b.places[e.Zone]++
			b.added++
			b.servers[e.ID] = s
			b.list = inserted(b.list, s)
		} else {
			if e.Since != s.Since { // restarted: what was seen of the old process says nothing
				s.slow, s.recent, s.quiet = stat{}, stat{}, now
				s.strikes, s.trips, s.until, s.trial, s.turned = 0, 0, 0, false, nil
			}
			b.unzone(s)
		}
		if !(e.Weight > 0) || math.IsInf(e.Weight, 1) || b.set.Weights == WeightLive {
			e.Weight = b.given.mean(1, 0.001)
		}
		b.given.add(e.Weight)
		s.Server, s.home = e, e.Zone == b.set.Zone
		b.byZone[s.Zone] = inserted(b.byZone[s.Zone], s)
		if s.State == Running {
			b.running++
		}
	}
	b.forget()
	if b.set.Admission != nil {
		b.set.Admission.SetEndpoints(now, b.running)
	}
	b.told = b.told || u.Kind != UpdateCached
	if b.told && b.running == 0 { // what is held has nowhere to go, and there is nothing to wait for
		for _, seq := range slices.Sorted(maps.Keys(b.bySeq)) {
			b.tend(now, b.bySeq[seq])
		}
	}
	b.pull(now)
	if u.Kind == UpdateCached {
		if b.set.Polled {
			// Danger: over less, proxies that start together wait longer than a call may, and each call that failed is one more.
			b.ask(b.turn(b.askSpan()))
		}
	} else {
		b.asking, b.calling, b.broke = false, false, false
	}
}

// inserted puts s into l, which is sorted by place.
func inserted(l []*server, s *server) []*server {
	i, _ := slices.BinarySearchFunc(l, s, byPlace)
	return slices.Insert(l, i, s)
}

func without(l []*server, s *server) []*server {
	if i, ok := slices.BinarySearchFunc(l, s, byPlace); ok {
		return slices.Delete(l, i, i+1)
	}
	return l
}

func byPlace(x, y *server) int {
	return cmp.Or(cmp.Compare(x.place, y.place), cmp.Compare(x.added, y.added))
}

// leave drops a server from the list.
func (b *Balancer) leave(s *server) {
	delete(b.servers, s.ID)
	b.list = without(b.list, s)
	b.unzone(s)
}

func (b *Balancer) unzone(s *server) {
	if s.State == Running {
		b.running--
	}
	if b.byZone[s.Zone] = without(b.byZone[s.Zone], s); len(b.byZone[s.Zone]) == 0 {
		delete(b.byZone, s.Zone)
	}
}

// forget drops what is kept of zones and kinds that no server has, once there are many. Danger: names that are ever
// new would fill the memory in time.
func (b *Balancer) forget() {
	if len(b.places) > 2*len(b.byZone)+names {
		maps.DeleteFunc(b.places, func(zone string, _ int) bool { return len(b.byZone[zone]) == 0 })
	}
	if len(b.zones) > 2*len(b.byZone)+names {
		maps.DeleteFunc(b.zones, func(zone string, _ *stat) bool { return len(b.byZone[zone]) == 0 })
	}
	if len(b.kinds) > b.maxKinds {
		has := map[string]bool{}
		for _, s := range b.list {
			has[s.Kind] = true
		}
		maps.DeleteFunc(b.kinds, func(kind string, _ *stat) bool { return !has[kind] })
		b.maxKinds = 2*len(b.kinds) + names
	}
}

func (b *Balancer) ask(after time.Duration) {
	if b.set.Polled && !b.asking {
		b.asking = true
		b.host.SetTimer(asksSeq, max(after, 0))
	}
}

// askSpan is the time over which all proxies ask for the list, and within which each asks again.
func (b *Balancer) askSpan() time.Duration {
	if m := b.set.MaxPollInterval / 2; m > 0 && m < MaxPollInterval {
		return m
	}
	return MaxPollInterval
}

// turn is this proxy's part of a span that all take for one call each: spread evenly, whichever of them call.
func (b *Balancer) turn(span time.Duration) time.Duration {
	_, place := math.Modf(math.Phi*float64(max(b.set.Index, 0)) + b.rng.Float64()/float64(max(b.set.Proxies, 1)))
	return time.Duration(place * float64(max(span, 0)))
}

// refresh weighs the ready servers anew.
func (b *Balancer) refresh(now time.Duration) {
	if !b.dirty && now-b.fresh < b.aim/2 {
		return
	}
	b.dirty, b.fresh, b.stuck = false, now, 0
	var warm, all, bad, sum, sent stat
	proven := false
	some := b.near(now)
	if b.set.Localities != nil {
		b.health(now, some)
	}
	for _, s := range some {
		s.weight = s.Weight / b.slowness(s, now)
		w := b.warmth(s, now)
		if w == 1 {
			warm.add(s.weight)
		}
	}
	b.ready, b.table = b.ready[:0], b.table[:0]
	for _, s := range some {
		// What it can do at the least, and no less: what it could have taken queues at the warm ones. What is too much
		// for it is pushed's to say.
		if w := b.warmth(s, now); w < 1 {
			s.weight = min(s.weight, warm.mean(s.weight, 0.001)) * w
		}
		if !s.home && b.set.Localities == nil {
			s.weight *= b.spill(s.Zone, now)
		}
		if all.add(s.weight); b.ejected(s, now) {
			bad.add(s.weight)
			b.stuck += s.inFlight
		}
	}
	calm, taken := bad.sum <= panicShare*all.sum, map[string]int{}
	for _, s := range some {
		// Danger: proxies times servers. A subset, even over all proxies, keeps connections few, and a proxy
		// that sees little knows those servers well.
		if s.State == Running && !(calm && b.ejected(s, now)) && taken[s.Zone] < b.most() {
			taken[s.Zone]++
			w := b.warmth(s, now)
			sent.sum, sent.n, proven = sent.sum+s.sent.fade(now, b.set.OverloadWindow+1).n, sent.n+w, proven || w == 1
			sum.add(s.weight)
			b.ready, b.table = append(b.ready, s), append(b.table, sum.sum)
		}
	}
	b.usual = sent.mean(0, 0.001)
	// Danger: where all are cold, what they got of late is no measure: it is little where little was given, and grows
	// without end where each may have a little more than the others.
	if proven {
		b.shown = b.usual
	} else if b.shown > pool {
		b.usual = b.shown
	}
}

// most is how many servers of a zone are drawn from: as many as give each server to a few proxies. Danger: a proxy
// among hundreds sees some requests a second. Spread over more servers, each is a stranger with a new connection.
func (b *Balancer) most() int {
	share := few * len(b.list) / max(b.set.Proxies, 1)
	return max(min(max(share, few), subset), 2*b.out)
}

// near is what is weighed: the whole of a short list, of a longer one the first servers of each zone, more of them
// than are drawn from.
func (b *Balancer) near(now time.Duration) []*server {
	enough := max(weighed, 2*b.most())
	if len(b.list) <= enough {
		return b.list
	}
	b.some = b.some[:0]
	for _, zone := range slices.Sorted(maps.Keys(b.byZone)) {
		n := 0
		for _, s := range b.byZone[zone] {
			if n >= enough {
				break
			}
			if b.some = append(b.some, s); s.State == Running && !b.ejected(s, now) {
				n++
			}
		}
	}
	return b.some
}

// warmth is the part of its capacity that a server that has just started has at the least.
func (b *Balancer) warmth(s *server, now time.Duration) float64 {
	age := now - s.Since
	if s.Since == 0 || age >= b.set.WarmUpTime {
		return 1
	}
	return b.set.WarmUpShare + (1-b.set.WarmUpShare)*float64(max(age, 0))/float64(b.set.WarmUpTime)
}

// pushed tells whether a cold server has had its part from this proxy, if all others do alike: its warmth
// times half the multiple of what a warm one gets, as proxies differ. Danger: a burst right after its start.
func (b *Balancer) pushed(s *server, now time.Duration) bool {
	w := b.warmth(s, now)
	return w < 1 && s.sent.fade(now, b.set.OverloadWindow+1).n >= max(b.set.OverloadMultiple/2*w*b.usual, 1)
}

func (b *Balancer) slowness(s *server, now time.Duration) float64 {
	kind := pooled(b.kinds, s.Kind, now, b.life).mean(1, pool)
	return max(s.slow.fade(now, b.life).mean(kind, pool), 0.25)
}

// lately is a server's latency over the last few answers' time, shrunk toward its longer mean.
func (b *Balancer) lately(s *server, now time.Duration) float64 {
	return s.recent.fade(now, b.pace).mean(b.slowness(s, now), 1)
}

func (b *Balancer) spill(zone string, now time.Duration) float64 {
	if b.set.Price.CrossZone <= 0 {
		return 1
	}
	// Danger: shrunk toward nothing lost, a zone of which little was seen is always the better one.
	home, there := b.loss(b.set.Zone, now), b.loss(zone, now)
	both := (home.sum + there.sum) / max(home.n+there.n, 1)
	more := home.mean(both, pool) - there.mean(both, pool)
	return min(max(more/b.set.Price.CrossZone-toll, explore), 1)
}

func (b *Balancer) loss(zone string, now time.Duration) *stat {
	return pooled(b.zones, zone, now, b.life)
}

// ---- pick ----

// pick is the design: two distinct servers drawn by weight, the one with fewer own requests in flight wins.
func (b *Balancer) pick(now time.Duration, may func(*server) bool) *server {
	b.refresh(now)
	one := b.draw(may, nil)
	if one == nil {
		return nil
	}
	two := b.draw(may, one)
	if two == nil || one.inFlight < two.inFlight {
		return one
	}
	// With many proxies most pairs tie: the one that answered own requests quicker of late wins.
	if two.inFlight < one.inFlight || b.lately(two, now) < b.lately(one, now) {
		return two
	}
	return one
}

func (b *Balancer) draw(may func(*server) bool, not *server) *server {
	var sum float64
	for range min(8*len(b.ready), 8) {
		sum = b.table[len(b.table)-1]
		i, _ := slices.BinarySearch(b.table, b.rng.Float64()*sum)
		if s := b.ready[min(i, len(b.ready)-1)]; s != not && may(s) {
			return s
		}
	}
	var got *server
	sum = 0
	for _, s := range b.ready {
		if s != not && may(s) {
			if sum += s.weight; got == nil || b.rng.Float64()*sum < s.weight {
				got = s
			}
		}
	}
	return got
}

// ---- health ----

// ejected tells whether a server is out of the draws. Danger: one that fails at once empties its counter and
// wins its pairs; one that hangs never reports.
func (b *Balancer) ejected(s *server, now time.Duration) bool {
	if now < s.until || s.trial && s.inFlight > 0 {
		return true
	}
	return s.inFlight > 0 && now-s.quiet > b.hung()
}

// hung is how long a server may answer nothing while it holds attempts.
func (b *Balancer) hung() time.Duration {
	var most float64
	for i := range b.set.Classes {
		if c := b.classes[b.set.Classes[i].Name]; c.n >= minSamples {
			most = max(most, c.lat+silent*c.dev)
		}
	}
	if most == 0 {
		return b.life
	}
	return time.Duration(2 * most)
}

func (b *Balancer) judge(now time.Duration, r *request, a *attempt, o Outcome) {
	s, c := a.to, r.class
	loss, mute := 1.0, s.quiet <= a.sent
	if o.Result != TimedOut && o.Result != Cancelled && o.Result != NotSent {
		s.quiet = now // it has said something
	}
	if rest := now + min(o.RetryAfter, maxRest); o.RetryAfter > 0 && rest > s.until {
		s.until, b.dirty = rest, true
	}
	switch o.Result {
	case Served:
		took := float64(o.Latency)
		c.learn(took)
		b.flow.add(c.lat)
		loss = took / float64(c.LatencyObjective)
		loss = min(loss*loss, 1)
		s.strikes, s.trips, s.trial = 0, 0, false
		// One that was asked all the same, by a probe or for want of others, and serves is back at once.
		if (b.set.Localities != nil || b.set.Admission != nil) && now < s.until && a.sent >= s.outAt {
			s.until, b.dirty = 0, true
		}
		delete(s.turned, c)
		b.observe(now, s, took/max(c.lat, 1))
	case Cancelled, NotSent:
		return
	case Rejected:
		b.observe(now, s, 4)
		b.turnedAway(now, s, c)
	case ServerError, NotConnected, ConnectionLost, TimedOut:
		if o.Result == TimedOut && now >= r.deadline && o.Latency < c.LatencyObjective { // the client left it no time
			return
		}
		b.observe(now, s, 4)
		if o.Result == TimedOut && !mute {
			break
		}
		if s.strikes++; s.strikes >= 2 || s.trial || o.Result == NotConnected {
			b.eject(now, s)
		}
	}
	b.loss(s.Zone, now).add(loss)
}

func (b *Balancer) observe(now time.Duration, s *server, ratio float64) {
	ratio = min(ratio, 4)
	pooled(b.kinds, s.Kind, now, b.life).add(ratio)
	s.slow.fade(now, b.life).add(ratio)
	s.recent.fade(now, b.pace).add(ratio)
}

// eject takes a server out of the draws, longer each time.
func (b *Balancer) eject(now time.Duration, s *server) {
	s.until, s.outAt = now+b.span(s.trips), now
	s.trips, s.strikes, s.trial, b.dirty = min(s.trips+1, 4), 0, true, true
}

// span is how long a server is left out that was so trips times in a row before.
func (b *Balancer) span(trips int) time.Duration { return min(b.life/16<<trips, b.life/2) }

// turnedAway leaves a server out for a class that it keeps turning away, longer each time. Danger: one that serves
// the other classes well is never ejected; its counter, low as it ends them at once, wins its pairs for this one.
func (b *Balancer) turnedAway(now time.Duration, s *server, c *class) {
	if s.turned == nil {
		s.turned = map[*class]*turns{}
	}
	t := s.turned[c]
	if t == nil {
		t = &turns{}
		s.turned[c] = t
	}
	if t.row++; t.row >= 3 && now >= t.until {
		t.until = now + b.span(t.trips)
		t.trips = min(t.trips+1, 4)
	}
}

// takes tells whether a server is in the draws for a class.
func (s *server) takes(c *class, now time.Duration) bool {
	t := s.turned[c]
	return t == nil || now >= t.until
}

// ---- requests ----

func (b *Balancer) mayResend(r *request, s *server, now time.Duration) bool {
	if len(r.tries) > 0 && (len(r.tries) >= max(b.set.MaxAttempts, 1) || r.done || r.streams) {
		return false
	}
	if r.out > 0 && !b.set.ParallelAttempts {
		return false
	}
	for i := range r.tries {
		a := &r.tries[i]
		if a.proved || r.class.Effect == Idempotent {
			continue
		}
		if r.class.Effect == NonIdempotent || now-a.sent >= r.class.Window {
			return false
		}
		if r.class.Group == GroupZone && a.to.Zone != s.Zone ||
			r.class.Group == GroupCell && (a.to.Cell != s.Cell || a.to.Zone != s.Zone) {
			return false
		}
	}
	return true
}

// mayRefuse is the rule of effects for a refusal, which promises that trying again is harmless.
func (b *Balancer) mayRefuse(r *request) bool {
	for i := range r.tries {
		if !r.tries[i].proved && r.class.Effect != Idempotent && (r.class.Effect == NonIdempotent || r.class.Group != GroupAll) {
			return false
		}
	}
	return true
}

func (b *Balancer) overloaded(now time.Duration, r *request) bool {
	b.asked.fade(now, b.pace)
	b.value.fade(now, b.pace)
	worth := r.class.PriorityWeight
	if !b.set.WeightByWork && r.class.n > 0 {
		worth /= r.class.lat
	}
	if t := b.tenants[r.Tenant]; t != nil && t.rate > 0 { // a second's worth of the share at once
		t.left, t.at = min(t.left+t.rate*(now-t.at).Seconds(), max(t.rate, 1)), now
		if t.left--; t.left < 0 {
			t.left, worth = 0, worth*max(b.set.OverQuotaWeight, 0.01)
		}
	}
	b.value.add(1 / worth)
	p := 1 - (b.asked.sum*headroom+pool)/(b.asked.n+pool)
	// What is out over the usual (answers a second times what they take) is the multiple of its usual time
	// that a new one will take: seen before any is late.
	usual, spare := b.usualOut(now), pool
	if r.class.n < minSamples {
		spare = minSamples
	}
	// Danger: few to spare at each of many proxies are long queues at few servers.
	spare = max(spare*min(float64(len(b.list))/float64(max(b.set.Proxies, 1)), 1), 1)
	// Two thirds of the aim leave room for spread. Danger of less than the cube, or of the greater alone: with
	// much to refuse, latency stays near the aim for as long.
	// Danger: servers have one queue for all. What is worth little and may wait for long makes what is worth more late.
	stretch := float64(r.class.LatencyObjective) / max(r.class.lat, 1)
	for _, k := range b.classes {
		if k.n >= minSamples && k.density(b.set.WeightByWork) > r.class.density(b.set.WeightByWork) {
			stretch = min(stretch, float64(k.LatencyObjective)/max(k.lat, 1))
		}
	}
	fits := (usual*stretch/1.5 + spare) / float64(b.out-b.stuck+1)
	p = 1 - (1-max(p, 0))*min(fits*fits*fits, 1)
	odds := p / worth / b.value.mean(1/worth, 0)
	// Danger: with everything refused nothing is learnt, and the overload never ends.
	return b.rng.Float64() < min(odds/(odds+1-p+1e-9), 1-trickle)
}

// usualOut is how many attempts are out usually: answers a second times what they take.
func (b *Balancer) usualOut(now time.Duration) float64 {
	return b.flow.fade(now, b.pace).sum / float64(min(b.pace, now-b.first+1))
}

// Request takes a client's request.
func (b *Balancer) Request(now time.Duration, q Request) {
	if b.requests[q.ID] != nil {
		return
	}
	c := b.classes[q.Class]
	if c == nil {
		b.host.Reject(q.ID, 0)
		return
	}
	if b.seq++; b.first == 0 {
		b.first = now
	}
	r := &request{Request: q, seq: b.seq, class: c, deadline: now + q.TimeLeft}
	b.requests[q.ID], b.bySeq[r.seq] = r, r
	if b.set.Admission != nil {
		b.arrive(now, r)
		return
	}
	if b.overloaded(now, r) {
		b.finish(now, r)
		return
	}
	b.tend(now, r)
}

func (b *Balancer) tend(now time.Duration, r *request) {
	if r.done || r.out > 0 || r.waits && (b.running > 0 || !b.told) {
		return
	}
	if now >= r.deadline {
		b.finish(now, r)
		return
	}
	p := FirstAttempt
	if len(r.tries) > 0 {
		p = Retry
	}
	if s := b.candidate(now, r, p); s != nil {
		b.send(now, r, s)
		return
	}
	// Danger: a list that is known to have no running server is not one that has yet to come: waiting helps nobody.
	// Nor is it an overload, which would have most of what comes refused once there are servers again.
	none := b.told && (b.running == 0 || b.set.Localities != nil)
	if none && len(r.tries) == 0 {
		b.asked.n--
	}
	if none || len(r.tries) > 0 || r.deadline-now < r.TimeLeft/4 || now-r.deadline+r.TimeLeft > maxHold { // nowhere to go: say so while the client can still use it
		b.finish(now, r)
		return
	}
	b.host.SetTimer(r.seq, min(r.TimeLeft/8, maxHold/6)+1)
}

func (b *Balancer) candidate(now time.Duration, r *request, p Purpose) *server {
	again := p != FirstAttempt
	if again && b.spent(now, r) && (p != Hedge || b.set.Localities == nil) {
		return nil
	}
	may := func(s *server) bool {
		for i := range r.tries {
			if r.tries[i].to == s {
				return false
			}
		}
		return !b.pushed(s, now) && b.mayResend(r, s, now)
	}
	var s *server
	if b.set.Localities != nil {
		s = b.placed(now, r, p, may)
	} else if s = b.pick(now, func(s *server) bool { return s.takes(r.class, now) && may(s) }); s == nil && !again { // all turn it away: better asked than left out
		s = b.pick(now, may)
	}
	switch {
	case s == nil || !again:
	case b.set.Admission != nil:
		b.set.Admission.RetryStarted(now, r.HighPriority)
	case b.budget >= 1:
		b.budget--
	}
	return s
}

func (b *Balancer) send(now time.Duration, r *request, s *server) {
	if s.inFlight == 0 {
		s.quiet = now
	}
	s.inFlight++
	s.sent.fade(now, b.set.OverloadWindow+1).n++
	b.out++
	r.tries = append(r.tries, attempt{to: s, sent: now, out: true})
	r.out++
	if b.set.Localities != nil {
		r.ask.SentAt = now
		r.tries[len(r.tries)-1].ask = r.ask
		b.set.Localities.AttemptSent(now, s.locality(), r.ask)
	}
	b.host.Send(r.ID, s.ID, 0)
	b.look()
}

// look has what is out looked over after a while: one timer for all, as one for each costs a busy node dear.
func (b *Balancer) look() {
	if b.set.ParallelAttempts && !b.looking {
		b.looking = true
		b.host.SetTimer(looksSeq, b.aim/4)
	}
}

func (b *Balancer) lookOver(now time.Duration) {
	b.looking = false
	if len(b.bySeq) == 0 {
		return
	}
	if b.set.Admission != nil || b.set.Localities != nil || b.budget >= 1 {
		for _, seq := range slices.Sorted(maps.Keys(b.bySeq)) {
			if r := b.bySeq[seq]; r.out > 0 {
				b.hedge(now, r)
			}
		}
	}
	b.look()
}

func (b *Balancer) hedge(now time.Duration, r *request) {
	n := len(r.tries)
	// Danger: where a zone says nothing, a copy within it is as lost as the first: tiers may send one more elsewhere.
	if n > 1 && b.set.Localities == nil || r.class.Effect == NonIdempotent || r.streams || now-r.tries[n-1].sent < r.class.patience() {
		return
	}
	if s := b.candidate(now, r, Hedge); s != nil {
		b.send(now, r, s)
	}
}

// comeBack is when a client that is refused should ask again: when what is out now has ended, which takes the longer
// the more there is over the usual. Danger: clients that are told nothing ask again at once, and feed the overload.
func (b *Balancer) comeBack(now time.Duration, r *request) time.Duration {
	if b.set.RetryAfter && r.wait > 0 {
		return min(r.wait, b.set.MaxRetryAfter)
	}
	if !b.set.RetryAfter || r.class.n < minSamples {
		return 0
	}
	wait := r.class.lat * max(float64(b.out-b.stuck)/max(b.usualOut(now), 1), 1)
	return min(time.Duration(wait), b.set.MaxRetryAfter)
}

func (b *Balancer) finish(now time.Duration, r *request) {
	if b.mayRefuse(r) {
		b.host.Reject(r.ID, b.comeBack(now, r))
	} else {
		b.host.Fail(r.ID)
	}
	b.end(now, r)
}

// end closes a request; it is kept until its last attempt has ended, for the counters.
func (b *Balancer) end(now time.Duration, r *request) {
	r.done = true
	b.asked.n++
	b.vacate(now, r)
	delete(b.bySeq, r.seq)
	if r.out == 0 {
		delete(b.requests, r.ID)
		return
	}
	if b.set.MayCancel {
		for i := range r.tries {
			if r.tries[i].out {
				b.host.Cancel(r.ID, i)
			}
		}
	}
}

func (b *Balancer) lower(a *attempt) {
	if !a.lowered {
		a.lowered = true
		a.to.inFlight--
		b.out--
	}
}

// Started notes that a streamed answer has begun: the client has it, and no clock runs any more.
func (b *Balancer) Started(now time.Duration, id string, n int) {
	r := b.requests[id]
	if r == nil || r.done || n < 0 || n >= len(r.tries) {
		return
	}
	if !r.streams {
		b.sample(now, r, n, Served, now-r.tries[n].sent)
	}
	r.streams = true
	b.vacate(now, r) // how long it takes from here on is the client's to say
	r.tries[n].to.quiet = now
	if !r.class.Stream && r.tries[n].out {
		r.begun = now
		b.lower(&r.tries[n])
	}
	if b.set.MayCancel {
		for i := range r.tries {
			if i != n && r.tries[i].out {
				b.host.Cancel(id, i)
			}
		}
	}
	b.pull(now)
}

// Outcome takes the end of an attempt.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.tries) || !r.tries[o.Attempt].out {
		return
	}
	a := &r.tries[o.Attempt]
	a.out, a.proved = false, o.Result == Rejected || o.Result == NotConnected || o.Result == NotSent
	b.lower(a)
	r.out--
	if !r.streams {
		b.sample(now, r, o.Attempt, o.Result, o.Latency)
	}
	if b.set.Localities != nil {
		b.set.Localities.AttemptEnded(now, a.to.locality(), a.ask, o.Result, o.Latency)
	}
	b.judge(now, r, a, o)
	switch {
	case r.done:
		if r.out == 0 {
			delete(b.requests, r.ID)
		}
	case o.Final:
		at := now
		if r.begun > 0 {
			at = r.begun
		}
		if o.Result == Served && at-r.deadline+r.TimeLeft <= r.class.LatencyObjective {
			b.asked.sum++
			b.budget = min(b.budget+extraShare, extraBurst)
		}
		b.end(now, r)
	case r.streams:
	default:
		b.tend(now, r)
	}
	b.pull(now)
}

// ClientGone notes that the client has left, or that its time is over.
func (b *Balancer) ClientGone(now time.Duration, id string) {
	if r := b.requests[id]; r != nil && !r.done {
		b.end(now, r)
		b.pull(now)
	}
}

// Expire notes that a request is to have its final answer now, whatever is out.
func (b *Balancer) Expire(now time.Duration, id string) {
	if r := b.requests[id]; r != nil && !r.done && !r.streams {
		b.finish(now, r)
		b.pull(now)
	}
}

// Timer takes a timer that has run out.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	if token == asksSeq {
		if b.asking { // else it has come meanwhile
			b.asking, b.calling, b.called = false, true, now
			b.host.Watch(true)
		}
		return
	}
	if token == looksSeq {
		b.lookOver(now)
		return
	}
	if r := b.bySeq[token]; r != nil { // a request that is held
		b.tend(now, r)
	}
	b.pull(now)
}

// HealthChecked takes what a probe found. Nothing on the ordinary path asks for one.
func (b *Balancer) HealthChecked(time.Duration, HealthCheckResult) {}
