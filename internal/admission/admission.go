// Package admission decides whether a request of a cluster may start now, waits for a moment, or is refused, and bounds
// retries. A cluster that answers in time has all its requests started; a limit on requests in flight falls on evidence
// alone: answers that stand behind others, come late, or are turned away.
//
// A Controller serves one cluster of one gateway; gateways share nothing. It reads no clock, does no I/O and starts no
// goroutine: time is an argument, and the same seed and the same calls give the same decisions. A reading of the time that
// goes back counts as the one before. It is not safe for several goroutines at once.
//
// The words are Envoy's (circuit breakers, retry budget) and those of its adaptive concurrency filter; how waiting requests
// are kept follows CoDel and adaptive LIFO, see docs/design/admission.md.
package admission

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"robindrum/balancer"
	"robindrum/internal/resource"
)

// Mode is what bounds the requests in flight.
type Mode uint8

const (
	Adaptive Mode = iota // a limit that follows the evidence
	Fixed                // Options.Limit
	Off                  // nothing: every request starts at once. Retries have their budget still.
)

func (m Mode) String() string { return [...]string{"adaptive", "fixed", "off"}[m] }

// Class is a kind of request.
type Class struct {
	Name             string
	PriorityWeight   float64       // classes of higher worth start first
	LatencyObjective time.Duration // an answer later than it is late
}

// Options are what a Controller goes by. Zero values are filled in by Fill, unless they say that they mean something; Floor,
// RetryRatio and RetryRate below 0 mean 0.
type Options struct {
	Mode    Mode
	Classes []Class

	Gateways    int // before the same endpoints, this one counted; 1
	PerEndpoint int // requests in flight for each endpoint that the limit begins with; 256
	Limit       int // of a Fixed mode, for the cluster; 1024
	// Breakers are of the priority DEFAULT, High of HIGH: each counts its own requests.
	Breakers
	HighPriority Breakers
	PendingBytes int64         // of the requests that wait, both priorities together; 0: no bound
	MaxWait      time.Duration // of a request; 0: what its class's wanted time leaves
	Floor        float64       // the part of starts that a class has for sure while requests of it wait; 0.05

	RetryRatio float64       // retries earned by a request; 0.2
	RetryRate  float64       // and earned a second in any case; 10
	RetryTTL   time.Duration // over which what is earned is kept; 10 s

	MaxRetryAfter time.Duration // the longest that a client is told to wait; 5 s

	// Notify is told when the cluster becomes short, and when it is well again; nil: nobody is. It must not call back.
	Notify func(Change)
}

// Breakers are Envoy's circuit breakers of one routing priority.
type Breakers struct {
	MaxRequests int // in flight; 0: no bound
	MaxPending  int // requests that wait; 1024
	MaxRetries  int // retries in flight; 0: no bound
	// Where RetryPercent is above 0, retries in flight are bounded by this part of the requests in flight or waiting, but
	// no lower than RetryLeast, in place of MaxRetries: Envoy's retry_budget.
	RetryPercent float64
	MinRetries   int
}

// Change is that a cluster becomes short or well.
type Change struct {
	At         time.Duration
	Overloaded bool
	Limit      int
	Evidence   string
}

// Fill sets what was left out.
func (o *Options) Fill() {
	o.Gateways = cmp.Or(o.Gateways, 1)
	o.PerEndpoint, o.Limit = cmp.Or(o.PerEndpoint, 256), cmp.Or(o.Limit, 1024)
	o.MaxPending, o.HighPriority.MaxPending, o.Floor = cmp.Or(o.MaxPending, 1024), cmp.Or(o.HighPriority.MaxPending, 1024), cmp.Or(o.Floor, 0.05)
	o.RetryRatio, o.RetryRate, o.RetryTTL = cmp.Or(o.RetryRatio, 0.2), cmp.Or(o.RetryRate, 10), cmp.Or(o.RetryTTL, 10*time.Second)
	o.MaxRetryAfter = cmp.Or(o.MaxRetryAfter, 5*time.Second)
	o.Floor, o.RetryRatio, o.RetryRate = max(o.Floor, 0), max(o.RetryRatio, 0), max(o.RetryRate, 0)
}

// Check says what cannot be used.
func (o *Options) Check() error {
	switch {
	case o.Mode > Off:
		return fmt.Errorf("mode: %d is not known", o.Mode)
	case o.Gateways < 1:
		return fmt.Errorf("gateways: want 1 at least, not %d", o.Gateways)
	case o.PerEndpoint < 1 || o.Limit < 1:
		return fmt.Errorf("limit: want 1 at least, not %d for each endpoint and %d in all", o.PerEndpoint, o.Limit)
	case o.Breakers.negative() || o.HighPriority.negative() || o.PendingBytes < 0:
		return fmt.Errorf("circuit breakers: want 0 at least, not %+v, %+v, %d bytes", o.Breakers, o.HighPriority, o.PendingBytes)
	case !(o.Floor >= 0 && o.Floor <= 0.5):
		return fmt.Errorf("floor: want 0 to 0.5, not %v", o.Floor)
	case !(o.RetryRatio >= 0 && o.RetryRatio <= 10) || !(o.RetryRate >= 0) || o.RetryTTL <= 0:
		return fmt.Errorf("retry budget: want a ratio of 0 to 10 and a rate of 0 at least, not %v and %v", o.RetryRatio, o.RetryRate)
	case o.MaxWait < 0 || o.MaxRetryAfter <= 0:
		return fmt.Errorf("waits: %v and %v: want no less than 0", o.MaxWait, o.MaxRetryAfter)
	}
	return nil
}

func (b *Breakers) negative() bool { return b.MaxRequests < 0 || b.MaxPending < 0 || b.MaxRetries < 0 }

// Reason is why a request was refused.
type Reason uint8

const (
	QueueFull     Reason = iota // as many wait as may, of no less worth
	TooLate                     // its turn would come too late
	WaitedTooLong               // its turn did not come in time
	Displaced                   // another of more worth, or of a tenant that has fewer waiting, took its place
	reasons
)

func (r Reason) String() string {
	return [...]string{"queue_full", "no_prospect", "waited_too_long", "displaced"}[r]
}

// Controller decides for one cluster.
type Controller struct {
	opt     Options
	rng     *rand.Rand
	now     time.Duration
	classes []*class // the highest worth first
	byName  map[named]*class

	endpoints int
	limit     limiter
	retries   budget
	active    int // requests that started and have no answer yet
	priority  [2]priority
	denied    uint64 // retries
	refused   [reasons]uint64
	started   uint64
	queued    uint64 // of them, those that had waited

	queue    waiting
	served   rate    // answers while requests waited: what the endpoints can do
	could    float64 // the same, a second, as far as was ever seen before
	counted  int     // answers in the tenth of a second that began at countAt
	countAt  time.Duration
	wentBad  rate // refusals
	short    bool
	shortAt  time.Duration // when the last request was refused
	evidence string
}

// priority is what counts for one of Envoy's routing priorities: DEFAULT, or behind it HIGH.
type priority struct {
	*Breakers
	active, waiting int
	retries         int // in flight
}

func (c *Controller) of(high bool) *priority {
	if high {
		return &c.priority[1]
	}
	return &c.priority[0]
}

// named is how a class is found: each priority has classes of its own.
type named struct {
	name string
	high bool
}

// class is what is known of one.
type class struct {
	Class
	highPriority bool
	evidence
	tenants  map[string]*line // those with requests that wait
	ring     []*line          // the same, in the order of their turns
	waiting  int
	bytes    int64
	since    time.Duration // when requests began to wait without a pause
	credit   float64       // starts that its floor owes it
	arrivals rate
	refused  uint64
}

// New makes a controller.
func New(o Options, seed uint64) (*Controller, error) {
	o.Fill()
	if err := o.Check(); err != nil {
		return nil, err
	}
	c := &Controller{opt: o, rng: rand.New(rand.NewPCG(seed, 0x61646d6974)), byName: map[named]*class{}, endpoints: 1,
		retries: budget{ratio: o.RetryRatio, rate: o.RetryRate, ttl: o.RetryTTL}}
	c.priority[0].Breakers, c.priority[1].Breakers = &c.opt.Breakers, &c.opt.HighPriority
	for _, k := range o.Classes {
		c.add(k, false)
	}
	c.limit.begin(&c.opt, 1)
	return c, nil
}

func (c *Controller) add(k Class, high bool) *class {
	x := &class{Class: k, highPriority: high, tenants: map[string]*line{}}
	c.byName[named{k.Name, high}] = x
	i, _ := slices.BinarySearchFunc(c.classes, x, func(a, b *class) int {
		if a.PriorityWeight == b.PriorityWeight && a.highPriority != b.highPriority { // HIGH starts first where both are worth the same
			return map[bool]int{true: -1, false: 1}[a.highPriority]
		}
		return cmp.Compare(b.PriorityWeight, a.PriorityWeight)
	})
	c.classes = slices.Insert(c.classes, i, x)
	return x
}

// maxClasses bounds what names that are not in the configuration may take. Danger: names that are ever new.
const maxClasses = 64

func (c *Controller) class(name string, high bool) *class {
	if k := c.byName[named{name, high}]; k != nil {
		return k
	}
	if k := c.byName[named{name, !high}]; k != nil {
		return c.add(k.Class, high)
	}
	if len(c.classes) >= maxClasses {
		for _, k := range slices.Backward(c.classes) {
			if k.highPriority == high {
				return k
			}
		}
	}
	return c.add(Class{Name: name, PriorityWeight: 1, LatencyObjective: time.Second}, high)
}

func (c *Controller) tick(now time.Duration) time.Duration {
	c.now = max(c.now, now)
	return c.now
}

// SetEndpoints takes how many endpoints are to be used.
func (c *Controller) SetEndpoints(now time.Duration, n int) {
	c.tick(now)
	if n = max(n, 1); n != c.endpoints {
		c.limit.resize(&c.opt, c.endpoints, n)
		c.endpoints = n
	}
}

// bound is how many requests may be in flight, both priorities together.
func (c *Controller) bound() int {
	n := int(c.limit.now)
	switch c.opt.Mode {
	case Fixed:
		n = c.opt.Limit
	case Off:
		n = math.MaxInt
	}
	return n
}

// boundOf is how many of a priority.
func (c *Controller) boundOf(high bool) int {
	if most := c.of(high).MaxRequests; most > 0 {
		return min(c.bound(), most)
	}
	return c.bound()
}

// room tells whether one more request of a priority may start.
func (c *Controller) room(high bool) bool {
	p := c.of(high)
	return c.active < c.bound() && (p.MaxRequests == 0 || p.active < p.MaxRequests)
}

// Arrive decides about a request.
func (c *Controller) Arrive(now time.Duration, a balancer.Arrival) (balancer.Verdict, time.Duration) {
	now = c.tick(now)
	c.retries.earn(now)
	k, p := c.class(a.Class, a.HighPriority), c.of(a.HighPriority)
	k.arrivals.add(now)
	if p.waiting == 0 && c.room(a.HighPriority) {
		c.start(now, a.HighPriority)
		return balancer.Admit, 0
	}
	wait := c.mayWait(k, a.TimeLeft)
	if standing := k.waiting > 0 && now-k.since > wait; standing {
		wait /= 8 // it is not a burst that passes
	}
	if c.prospect(now, k, a.Tenant) > wait {
		return balancer.Reject, c.refuse(now, k, TooLate)
	}
	if !c.fits(k, a.Size) || p.waiting >= p.MaxPending && !c.displace(now, k, a.Tenant) {
		return balancer.Reject, c.refuse(now, k, QueueFull)
	}
	if k.waiting == 0 {
		k.since = now
	}
	if c.queue.n == 0 {
		c.served = rate{} // what was measured before a pause is too low now
	}
	for c.opt.PendingBytes > 0 && c.queue.bytes+a.Size > c.opt.PendingBytes { // fits said that this ends
		c.drop(now, c.leastValuableClass(k).longestQueue().first, Displaced)
	}
	c.queue.add(k, a, now+wait)
	p.waiting++
	return balancer.Enqueue, wait
}

func (c *Controller) start(now time.Duration, high bool) {
	c.started++
	c.active++
	c.of(high).active++
	c.limit.peak = max(c.limit.peak, c.active)
	c.wentBad.decay(now)
}

// mayWait is how long a request may wait so that its answer is in time; where answers take nearly that long by themselves,
// a quarter of what is wanted.
func (c *Controller) mayWait(k *class, left time.Duration) time.Duration {
	wanted := min(k.LatencyObjective, left)
	takes := k.mean
	if b := c.boundOf(k.highPriority); c.could > 0 && b < math.MaxInt { // the mean may be of a time when more was in flight
		takes = min(takes, k.base+float64(b)/c.could*float64(time.Second))
	}
	wait := max(wanted*9/10-time.Duration(takes+k.dev), wanted/8)
	if c.opt.MaxWait > 0 {
		wait = min(wait, c.opt.MaxWait)
	}
	return wait
}

// prospect is how long a request of a class would wait: what starts before it, over what the endpoints do. 0 where that is
// not known.
func (c *Controller) prospect(now time.Duration, k *class, tenant string) time.Duration {
	ahead, more := 0, 0.0
	for _, o := range c.classes {
		switch {
		case o == k:
			mine := 0
			if l := k.tenants[tenant]; l != nil {
				mine = l.n
			}
			ahead += min(k.waiting, (mine+1)*len(k.tenants))
		case o.PriorityWeight >= k.PriorityWeight:
			ahead += o.waiting
			if o.PriorityWeight > k.PriorityWeight {
				more += o.arrivals.per(now)
			}
		}
	}
	does := c.throughput(now)
	if does <= 0 {
		return 0
	}
	does = max(does-more, does*c.opt.Floor, 1e-3)
	return time.Duration(float64(ahead) / does * float64(time.Second))
}

// throughput is how many requests a second the endpoints do: what they did while requests waited, or, before that is
// known again, the better of the last time's and what Little's law says; 0 where nothing is known.
func (c *Controller) throughput(now time.Duration) float64 {
	if c.queue.n > 0 && c.served.known(now) {
		c.could = c.served.per(now)
		return c.could
	}
	mean, n := 0.0, 0.0
	for _, k := range c.classes {
		if k.mean > 0 {
			w := k.seen.per(now) + 1e-3
			mean, n = mean+k.mean*w, n+w
		}
	}
	if n == 0 || mean == 0 {
		return c.could
	}
	return max(float64(c.active)/(mean/n)*float64(time.Second), c.could)
}

// fits tells whether a request's bytes can be kept, if need be in place of those of requests that are worth less.
func (c *Controller) fits(k *class, size int64) bool {
	if c.opt.PendingBytes == 0 {
		return true
	}
	kept := c.queue.bytes + size
	for _, o := range c.classes {
		if o.PriorityWeight < k.PriorityWeight && o.highPriority == k.highPriority {
			kept -= o.bytes
		}
	}
	return kept <= c.opt.PendingBytes
}

// leastValuableClass is the class of the least worth that has requests waiting, of those that are worth less than k; nil: none.
func (c *Controller) leastValuableClass(k *class) *class {
	for _, o := range slices.Backward(c.classes) {
		if o.PriorityWeight >= k.PriorityWeight {
			return nil
		}
		if o.waiting > 0 && o.highPriority == k.highPriority {
			return o
		}
	}
	return nil
}

// displace makes room for a request where as many wait as may: the oldest of the class of the least worth below its own
// leaves, or that of a tenant of its own class that has more waiting.
func (c *Controller) displace(now time.Duration, k *class, tenant string) bool {
	if o := c.leastValuableClass(k); o != nil {
		c.drop(now, o.longestQueue().first, Displaced)
		return true
	}
	if k.waiting == 0 {
		return false
	}
	mine := 0
	if l := k.tenants[tenant]; l != nil {
		mine = l.n
	}
	if l := k.longestQueue(); l.n > mine+1 {
		c.drop(now, l.first, Displaced)
		return true
	}
	return false
}

// drop has a request that waits refused by the next call of Next.
func (c *Controller) drop(now time.Duration, e *entry, why Reason) {
	c.remove(e)
	c.queue.dropped = append(c.queue.dropped, dropped{e.seq, c.refuse(now, e.class, why)})
	c.queue.free(e)
}

func (c *Controller) refuse(now time.Duration, k *class, why Reason) time.Duration {
	c.refused[why]++
	k.refused++
	c.wentBad.add(now)
	c.shortAt = now
	if !c.short {
		c.short = true
		c.tell(now)
	}
	return resource.RetryAfter(c.wentBad.per(now), c.throughput(now), c.opt.MaxRetryAfter, c.rng.Float64())
}

func (c *Controller) tell(now time.Duration) {
	if c.opt.Notify != nil {
		c.opt.Notify(Change{At: now, Overloaded: c.short, Limit: c.boundOf(false), Evidence: c.evidence})
	}
}

// well is how long nothing is refused before a cluster that was short is well.
const well = 5 * time.Second

// Overloaded tells whether the cluster is short, and has Notify told where it is no more.
func (c *Controller) Overloaded(now time.Duration) bool {
	now = c.tick(now)
	if c.short && now-c.shortAt > well && c.queue.n == 0 {
		c.short = false
		c.tell(now)
	}
	return c.short
}

// Inherit takes over what another controller of the same cluster has learnt, where it goes on under new settings.
func (c *Controller) Inherit(old *Controller) {
	for _, k := range c.classes {
		if o := old.byName[named{k.Name, k.highPriority}]; o != nil {
			k.base, k.mean, k.dev, k.baseAt = o.base, o.mean, o.dev, o.baseAt
		}
	}
	c.could, c.endpoints = old.could, old.endpoints
	if c.opt.Mode == Adaptive && old.opt.Mode == Adaptive {
		c.limit.now, c.limit.cutAt = old.limit.now, old.limit.cutAt
		c.limit.clamp(&c.opt)
	}
}

// Next gives a request that waited and is to start, or to be refused.
func (c *Controller) Next(now time.Duration) (uint64, balancer.Verdict, time.Duration, bool) {
	now = c.tick(now)
	c.Overloaded(now)
	for e := c.queue.overdue(now); e != nil; e = c.queue.overdue(now) {
		c.drop(now, e, WaitedTooLong)
	}
	if n := len(c.queue.dropped); n > 0 {
		d := c.queue.dropped[n-1]
		c.queue.dropped = c.queue.dropped[:n-1]
		return d.seq, balancer.Reject, d.after, true
	}
	k := c.turn()
	if k == nil {
		return 0, 0, 0, false
	}
	e := k.next(now-k.since > c.mayWait(k, k.LatencyObjective))
	seq := e.seq
	c.remove(e)
	c.queue.free(e)
	c.queued++
	c.start(now, k.highPriority)
	return seq, balancer.Admit, 0, true
}

// remove takes a request out of those that wait.
func (c *Controller) remove(e *entry) {
	c.of(e.class.highPriority).waiting--
	c.queue.remove(e)
}

// turn is the class whose request starts next: the one of the highest worth, but for those that their floor owes a start.
// nil: there is none, or no room.
func (c *Controller) turn() (next *class) {
	if c.queue.n == 0 {
		return nil
	}
	may := [2]bool{c.room(false), c.room(true)}
	for _, k := range c.classes {
		if k.waiting > 0 && (may[0] && !k.highPriority || may[1] && k.highPriority) && (next == nil || k.credit >= 1 && next.credit < 1) {
			next = k
		}
	}
	if next == nil {
		return nil
	}
	for _, k := range c.classes {
		if k.waiting > 0 && k != next {
			k.credit = min(k.credit+c.opt.Floor, 2)
		}
	}
	next.credit = max(next.credit-1, 0)
	return next
}

// Withdraw ends the wait of a request.
func (c *Controller) Withdraw(seq uint64) {
	if e := c.queue.bySeq[seq]; e != nil {
		c.remove(e)
		c.queue.free(e)
	}
}

// Done ends a request that started.
func (c *Controller) Done(now time.Duration, high bool) {
	now = c.tick(now)
	c.active = max(c.active-1, 0)
	c.of(high).active = max(c.of(high).active-1, 0)
	if c.queue.n > 0 {
		c.served.add(now)
	}
	if c.counted++; now-c.countAt >= period {
		if now-c.countAt < 2*period { // else it was a pause
			c.could = max(c.could, float64(c.counted)/(now-c.countAt).Seconds())
		}
		c.counted, c.countAt = 0, now
	}
}

// AttemptEnded takes how an attempt went.
func (c *Controller) AttemptEnded(now time.Duration, s balancer.Sample) {
	now = c.tick(now)
	if s.Retry {
		p := c.of(s.HighPriority)
		p.retries = max(p.retries-1, 0)
	}
	if s.Result == balancer.Cancelled || s.Result == balancer.NotSent {
		return
	}
	k := c.class(s.Class, s.HighPriority)
	k.observe(now, s, c.limit.cutAt)
	if c.opt.Mode == Adaptive {
		if why := c.limit.look(now, &c.opt, c.classes, c.endpoints, c.active); why != "" {
			c.evidence = why
		}
	}
}

// MayRetry tells whether one more attempt may be made for a request that has had one. The budget is the cluster's, what is
// in flight is bounded by priority.
func (c *Controller) MayRetry(now time.Duration, high bool) bool {
	now = c.tick(now)
	if p := c.of(high); !p.mayRetry() || !c.retries.may(now) {
		c.denied++
		return false
	}
	return true
}

func (p *priority) mayRetry() bool {
	if p.RetryPercent > 0 {
		return p.retries < max(int(p.RetryPercent/100*float64(p.active+p.waiting)), p.MinRetries)
	}
	return p.MaxRetries == 0 || p.retries < p.MaxRetries
}

// have is how many retries the budget has left; -1 where the most are in flight.
func (c *Controller) have(now time.Duration) int {
	if !c.priority[0].mayRetry() {
		return -1
	}
	return c.retries.have(now)
}

// RetryStarted takes that it was made.
func (c *Controller) RetryStarted(now time.Duration, high bool) {
	c.retries.spend(c.tick(now))
	c.of(high).retries++
}

// Report is how a cluster stands.
type Report struct {
	Mode          Mode
	Limit         int // requests in flight; 0: no bound
	Active        int
	Waiting       int
	Bytes         int64   // of the requests that wait
	Throughput    float64 // requests a second that the endpoints do, as it is known; 0: not known
	Overloaded    bool
	Evidence      string // of the last time that the limit fell
	Started       uint64
	Queued        uint64
	Rejected      map[string]uint64 // by reason
	RetriesLeft   int               // that the budget has left; -1: none more, as the most are in flight
	RetriesDenied uint64            // retries
	Classes       []ClassReport
}

// ClassReport is how a class stands.
type ClassReport struct {
	Name     string
	High     bool          // of the priority HIGH
	Baseline time.Duration // what its quicker answers take where nothing stands before them; 0: not known
	Mean     time.Duration
	Target   time.Duration // above which its quicker answers show a queue
	Waiting  int
	Refused  uint64
}

// Report tells how it stands.
func (c *Controller) Report(now time.Duration) Report {
	now = c.tick(now)
	r := Report{Mode: c.opt.Mode, Active: c.active, Waiting: c.queue.n, Bytes: c.queue.bytes, Throughput: c.throughput(now), Overloaded: c.short && now-c.shortAt <= well, Evidence: c.evidence,
		Started: c.started, Queued: c.queued, Rejected: map[string]uint64{}, RetriesLeft: c.have(now), RetriesDenied: c.denied}
	if b := c.boundOf(false); b < math.MaxInt {
		r.Limit = b
	}
	for i, n := range c.refused {
		r.Rejected[Reason(i).String()] = n
	}
	for _, k := range c.classes {
		r.Classes = append(r.Classes, ClassReport{Name: k.Name, High: k.highPriority, Baseline: time.Duration(k.base), Mean: time.Duration(k.mean),
			Target: time.Duration(k.target()), Waiting: k.waiting, Refused: k.refused})
	}
	return r
}
