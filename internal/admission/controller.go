package admission

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"robindrum/balancer"
)

const (
	maxClasses            = 64              // names that are not configured may add classes up to this number
	defaultObjective      = time.Second     // of such classes
	persistentQueueFactor = 8               // by which the wait is shorter in a queue that is not a passing burst
	recoveryTime          = 5 * time.Second // without a rejection, after which an overload has ended
)

// Controller decides for one cluster. It implements balancer.Admission.
type Controller struct {
	options   Options
	rng       *rand.Rand
	now       time.Duration
	endpoints int

	classes []*class // the highest priority weight first
	byName  map[classKey]*class

	limit      limiter
	inFlight   int // requests that were admitted and have no answer yet
	priorities [2]priority
	queue      requestQueue
	throughput throughputEstimate

	retryBudget   retryBudget
	retriesDenied uint64

	started       uint64
	startedQueued uint64 // of the started requests, those that had been queued
	rejected      [reasons]uint64
	rejections    rate

	overloaded    bool
	lastRejection time.Duration
	limitEvidence string // of the last time that the limit fell
}

// priority counts the requests of one of Envoy's routing priorities: DEFAULT, or after it HIGH.
type priority struct {
	*Breakers
	inFlight        int
	queued          int
	retriesInFlight int
}

// classKey identifies a class: each priority has classes of its own.
type classKey struct {
	name string
	high bool
}

// class is a class of one priority and its queue.
type class struct {
	Class
	highPriority bool
	observations

	tenants     map[string]*tenantQueue // those with queued requests
	turns       []*tenantQueue          // the same, in the order of their turns
	queued      int
	queuedBytes int64
	queuedSince time.Duration // since when there were always queued requests
	credit      float64       // starts that the floor owes the class
	arrivals    rate
	rejected    uint64
}

// New returns a Controller with one endpoint. The error names the option that cannot be used.
func New(o Options, seed uint64) (*Controller, error) {
	o.Fill()
	if err := o.Check(); err != nil {
		return nil, err
	}
	c := &Controller{
		options:     o,
		rng:         rand.New(rand.NewPCG(seed, 0x61646d6974)),
		byName:      map[classKey]*class{},
		endpoints:   1,
		retryBudget: retryBudget{ratio: o.RetryRatio, rate: o.RetryRate, ttl: o.RetryTTL},
	}
	c.priorities[0].Breakers = &c.options.Breakers
	c.priorities[1].Breakers = &c.options.HighPriority
	for _, k := range o.Classes {
		c.addClass(k, false)
	}
	c.limit.begin(&c.options, 1)
	return c, nil
}

// addClass adds a class in the order of the priority weights. Of equal weights, HIGH comes first.
func (c *Controller) addClass(k Class, high bool) *class {
	added := &class{Class: k, highPriority: high, tenants: map[string]*tenantQueue{}}
	c.byName[classKey{k.Name, high}] = added
	i, _ := slices.BinarySearchFunc(c.classes, added, compareClasses)
	c.classes = slices.Insert(c.classes, i, added)
	return added
}

func compareClasses(a, b *class) int {
	if a.PriorityWeight == b.PriorityWeight && a.highPriority != b.highPriority {
		if a.highPriority {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.PriorityWeight, a.PriorityWeight)
}

// class returns the class of a name. Unknown names are added as long as there are few, and share the class with the lowest
// weight then.
func (c *Controller) class(name string, high bool) *class {
	if k := c.byName[classKey{name, high}]; k != nil {
		return k
	}
	if k := c.byName[classKey{name, !high}]; k != nil {
		return c.addClass(k.Class, high)
	}
	if len(c.classes) >= maxClasses {
		for _, k := range slices.Backward(c.classes) {
			if k.highPriority == high {
				return k
			}
		}
	}
	return c.addClass(Class{Name: name, PriorityWeight: 1, LatencyObjective: defaultObjective}, high)
}

func (c *Controller) priorityOf(high bool) *priority {
	if high {
		return &c.priorities[1]
	}
	return &c.priorities[0]
}

// advance returns the time, which never goes back.
func (c *Controller) advance(now time.Duration) time.Duration {
	c.now = max(c.now, now)
	return c.now
}

// SetEndpoints takes the number of endpoints in use; less than 1 is taken as 1.
func (c *Controller) SetEndpoints(now time.Duration, n int) {
	c.advance(now)
	n = max(n, 1)
	if n != c.endpoints {
		c.limit.resize(&c.options, c.endpoints, n)
		c.endpoints = n
	}
}

// maxInFlight is how many requests of both priorities may be in flight.
func (c *Controller) maxInFlight() int {
	switch c.options.Mode {
	case Fixed:
		return c.options.Limit
	case Off:
		return math.MaxInt
	default:
		return int(c.limit.limit)
	}
}

// maxInFlightOf is how many requests of a priority may be in flight.
func (c *Controller) maxInFlightOf(high bool) int {
	if breaker := c.priorityOf(high).MaxRequests; breaker > 0 {
		return min(c.maxInFlight(), breaker)
	}
	return c.maxInFlight()
}

// hasCapacity reports whether one more request of a priority may start.
func (c *Controller) hasCapacity(high bool) bool {
	p := c.priorityOf(high)
	belowBreaker := p.MaxRequests == 0 || p.inFlight < p.MaxRequests
	return c.inFlight < c.maxInFlight() && belowBreaker
}

// Arrive decides about a request. With balancer.Enqueue the duration is how long it waits at most, with balancer.Reject it is the
// Retry-After.
func (c *Controller) Arrive(now time.Duration, a balancer.Arrival) (balancer.Verdict, time.Duration) {
	now = c.advance(now)
	c.retryBudget.deposit(now)
	k, p := c.class(a.Class, a.HighPriority), c.priorityOf(a.HighPriority)
	k.arrivals.add(now)
	if p.queued == 0 && c.hasCapacity(a.HighPriority) {
		c.start(now, a.HighPriority)
		return balancer.Admit, 0
	}
	wait := c.maxWait(k, a.TimeLeft)
	if k.queued > 0 && now-k.queuedSince > wait {
		wait /= persistentQueueFactor
	}
	if c.expectedWait(now, k, a.Tenant) > wait {
		return balancer.Reject, c.reject(now, k, TooLate)
	}
	if !c.fitsBytes(k, a.Size) {
		return balancer.Reject, c.reject(now, k, QueueFull)
	}
	if p.queued >= p.MaxPending && !c.displace(now, k, a.Tenant) {
		return balancer.Reject, c.reject(now, k, QueueFull)
	}
	c.enqueue(now, k, a, now+wait)
	return balancer.Enqueue, wait
}

// enqueue queues a request, displacing less valuable ones whose bytes it needs.
func (c *Controller) enqueue(now time.Duration, k *class, a balancer.Arrival, expiresAt time.Duration) {
	if k.queued == 0 {
		k.queuedSince = now
	}
	if c.queue.count == 0 {
		c.throughput.whileQueued = rate{} // what was measured before a pause is too low now
	}
	for c.options.PendingBytes > 0 && c.queue.bytes+a.Size > c.options.PendingBytes { // fitsBytes has checked that this ends
		c.drop(now, c.leastValuableClass(k).longestQueue().first, Displaced)
	}
	c.queue.add(k, a, expiresAt)
	c.priorityOf(a.HighPriority).queued++
}

func (c *Controller) start(now time.Duration, high bool) {
	c.started++
	c.inFlight++
	c.priorityOf(high).inFlight++
	c.limit.peak = max(c.limit.peak, c.inFlight)
	c.rejections.decay(now)
}

// Next returns a queued request that is to start or to be rejected now; the last result is false if there is none.
func (c *Controller) Next(now time.Duration) (uint64, balancer.Verdict, time.Duration, bool) {
	now = c.advance(now)
	c.Overloaded(now)
	for e := c.queue.expired(now); e != nil; e = c.queue.expired(now) {
		c.drop(now, e, WaitedTooLong)
	}
	if d, ok := c.queue.nextDropped(); ok {
		return d.seq, balancer.Reject, d.retryAfter, true
	}
	k := c.nextClass()
	if k == nil {
		return 0, 0, 0, false
	}
	oldestAreLate := now-k.queuedSince > c.maxWait(k, k.LatencyObjective)
	e := k.next(oldestAreLate)
	seq := e.seq
	c.remove(e)
	c.queue.free(e)
	c.startedQueued++
	c.start(now, k.highPriority)
	return seq, balancer.Admit, 0, true
}

// nextClass is the class whose request starts next: the one with the highest weight, but first those that their floor owes a
// start. It is nil if there is none or no capacity.
func (c *Controller) nextClass() *class {
	if c.queue.count == 0 {
		return nil
	}
	mayStartDefault, mayStartHigh := c.hasCapacity(false), c.hasCapacity(true)
	var next *class
	for _, k := range c.classes {
		mayStart := mayStartDefault
		if k.highPriority {
			mayStart = mayStartHigh
		}
		if k.queued == 0 || !mayStart {
			continue
		}
		if next == nil || k.credit >= 1 && next.credit < 1 {
			next = k
		}
	}
	if next == nil {
		return nil
	}
	for _, k := range c.classes {
		if k.queued > 0 && k != next {
			k.credit = min(k.credit+c.options.Floor, 2)
		}
	}
	next.credit = max(next.credit-1, 0)
	return next
}

// remove takes a request out of the queue.
func (c *Controller) remove(e *entry) {
	c.priorityOf(e.class.highPriority).queued--
	c.queue.remove(e)
}

// Withdraw takes a request out of the queue whose client has given up. Other sequence numbers are ignored.
func (c *Controller) Withdraw(seq uint64) {
	if e := c.queue.bySeq[seq]; e != nil {
		c.remove(e)
		c.queue.free(e)
	}
}

// Done notes the end of a request that was admitted.
func (c *Controller) Done(now time.Duration, high bool) {
	now = c.advance(now)
	c.inFlight = max(c.inFlight-1, 0)
	p := c.priorityOf(high)
	p.inFlight = max(p.inFlight-1, 0)
	c.throughput.answered(now, c.queue.count > 0)
}

// AttemptEnded takes how an attempt went.
func (c *Controller) AttemptEnded(now time.Duration, s balancer.Sample) {
	now = c.advance(now)
	if s.Retry {
		p := c.priorityOf(s.HighPriority)
		p.retriesInFlight = max(p.retriesInFlight-1, 0)
	}
	if s.Result == balancer.Cancelled || s.Result == balancer.NotSent {
		return
	}
	k := c.class(s.Class, s.HighPriority)
	k.observe(now, s, c.limit.decreasedAt)
	if c.options.Mode != Adaptive {
		return
	}
	if evidence := c.limit.update(now, &c.options, c.classes, c.endpoints, c.inFlight); evidence != "" {
		c.limitEvidence = evidence
	}
}

// MayRetry reports whether one more attempt may be made for a request that has had one. The budget is the cluster's; the retries
// in flight are limited by priority.
func (c *Controller) MayRetry(now time.Duration, high bool) bool {
	now = c.advance(now)
	if !c.priorityOf(high).mayRetry() || !c.retryBudget.available(now) {
		c.retriesDenied++
		return false
	}
	return true
}

func (p *priority) mayRetry() bool {
	if p.RetryPercent > 0 {
		share := int(p.RetryPercent / 100 * float64(p.inFlight+p.queued))
		return p.retriesInFlight < max(share, p.MinRetries)
	}
	return p.MaxRetries == 0 || p.retriesInFlight < p.MaxRetries
}

// RetryStarted notes that a retry was sent.
func (c *Controller) RetryStarted(now time.Duration, high bool) {
	c.retryBudget.withdraw(c.advance(now))
	c.priorityOf(high).retriesInFlight++
}

// Overloaded reports whether the cluster is overloaded, and calls Options.Notify if it has recovered.
func (c *Controller) Overloaded(now time.Duration) bool {
	now = c.advance(now)
	if c.overloaded && now-c.lastRejection > recoveryTime && c.queue.count == 0 {
		c.overloaded = false
		c.notify(now)
	}
	return c.overloaded
}

func (c *Controller) notify(now time.Duration) {
	if c.options.Notify != nil {
		c.options.Notify(Change{At: now, Overloaded: c.overloaded, Limit: c.maxInFlightOf(false), Evidence: c.limitEvidence})
	}
}

// Inherit takes over what another Controller of the same cluster has learnt, where the cluster gets new options.
func (c *Controller) Inherit(old *Controller) {
	for _, k := range c.classes {
		former := old.byName[classKey{k.Name, k.highPriority}]
		if former == nil {
			continue
		}
		k.baseline = former.baseline
		k.baselineAt = former.baselineAt
		k.mean = former.mean
		k.deviation = former.deviation
	}
	c.throughput.known = old.throughput.known
	c.endpoints = old.endpoints
	if c.options.Mode == Adaptive && old.options.Mode == Adaptive {
		c.limit.limit = old.limit.limit
		c.limit.decreasedAt = old.limit.decreasedAt
		c.limit.clamp(&c.options)
	}
}
