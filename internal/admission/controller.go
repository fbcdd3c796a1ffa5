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
	maxClasses             = 64              // unknown names get their own class up to this total number of classes
	defaultObjective       = time.Second     // latency objective of classes that are not configured
	persistentQueueDivisor = 8               // shortens the maximum wait while a queue lasts longer than a short burst
	recoveryTime           = 5 * time.Second // an overload ends after this time without a rejection
)

// Controller is the admission control of one cluster. It implements balancer.Admission.
type Controller struct {
	options   Options
	rng       *rand.Rand
	now       time.Duration
	endpoints int

	classes []*class // by descending priority weight
	byName  map[classKey]*class

	limit      limiter
	inFlight   int // admitted requests that have not ended
	priorities [2]priority
	queue      requestQueue
	throughput throughputEstimate

	retryBudget   retryBudget
	retriesDenied uint64

	started          uint64
	startedFromQueue uint64 // started requests that had been queued
	rejected         [reasonCount]uint64
	rejections       rate

	overloaded    bool
	lastRejection time.Duration
	limitEvidence string // for the last decrease of the limit
}

// priority holds the request counts and circuit breakers of one of Envoy's routing priorities, DEFAULT or HIGH.
type priority struct {
	*Breakers
	inFlight        int
	queued          int
	retriesInFlight int
}

// classKey identifies a class. Each priority has its own classes.
type classKey struct {
	name string
	high bool
}

// class is a request class of one priority, with its observations and its queue.
type class struct {
	Class
	highPriority bool
	observations

	tenants     map[string]*tenantQueue // tenants with queued requests, by name
	tenantOrder []*tenantQueue          // the same tenants in round-robin order
	queued      int
	queuedBytes int64
	queuedSince time.Duration // when the queue last became non-empty
	credit      float64       // starts owed to the class because of Options.Floor
	arrivals    rate
	rejected    uint64
}

// New returns a Controller for a cluster with one endpoint. The error names the first invalid option.
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
	c.limit.setInitialLimit(&c.options, 1)
	return c, nil
}

// addClass adds a class, keeping c.classes ordered by descending priority weight. Of equal weights, HIGH comes first.
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

// class returns the class with the given name and priority. An unknown name gets a new class until there are maxClasses classes;
// further unknown names share the class of their priority with the lowest weight.
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

// advance sets the current time and returns it. An earlier time than the current one is ignored.
func (c *Controller) advance(now time.Duration) time.Duration {
	c.now = max(c.now, now)
	return c.now
}

// SetEndpoints sets the number of endpoints in use. Values below 1 count as 1.
func (c *Controller) SetEndpoints(now time.Duration, n int) {
	c.advance(now)
	n = max(n, 1)
	if n != c.endpoints {
		c.limit.resize(&c.options, c.endpoints, n)
		c.endpoints = n
	}
}

// maxInFlight returns how many requests of both priorities together may be in flight.
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

// maxInFlightOf returns how many requests of one priority may be in flight.
func (c *Controller) maxInFlightOf(high bool) int {
	if breaker := c.priorityOf(high).MaxRequests; breaker > 0 {
		return min(c.maxInFlight(), breaker)
	}
	return c.maxInFlight()
}

// hasCapacity reports whether one more request of the given priority may start.
func (c *Controller) hasCapacity(high bool) bool {
	p := c.priorityOf(high)
	belowBreaker := p.MaxRequests == 0 || p.inFlight < p.MaxRequests
	return c.inFlight < c.maxInFlight() && belowBreaker
}

// Arrive decides whether a request is admitted, queued or rejected. The duration is the maximum wait for balancer.Enqueue, the
// Retry-After for balancer.Reject and 0 for balancer.Admit.
func (c *Controller) Arrive(now time.Duration, arrival balancer.Arrival) (balancer.AdmissionDecision, time.Duration) {
	now = c.advance(now)
	c.retryBudget.deposit(now)
	requestClass, priority := c.class(arrival.Class, arrival.HighPriority), c.priorityOf(arrival.HighPriority)
	requestClass.arrivals.add(now)
	if priority.queued == 0 && c.hasCapacity(arrival.HighPriority) {
		c.start(now, arrival.HighPriority)
		return balancer.Admit, 0
	}
	wait := c.maxWait(requestClass, arrival.TimeLeft)
	if requestClass.queued > 0 && now-requestClass.queuedSince > wait {
		wait /= persistentQueueDivisor
	}
	if c.expectedWait(now, requestClass, arrival.Tenant) > wait {
		return balancer.Reject, c.reject(now, requestClass, ExpectedWaitTooLong)
	}
	if !c.fitsBytes(requestClass, arrival.Size) {
		return balancer.Reject, c.reject(now, requestClass, QueueFull)
	}
	if priority.queued >= priority.MaxPending && !c.displace(now, requestClass, arrival.Tenant) {
		return balancer.Reject, c.reject(now, requestClass, QueueFull)
	}
	c.enqueue(now, requestClass, arrival, now+wait)
	return balancer.Enqueue, wait
}

// enqueue queues a request. If that would exceed Options.PendingBytes, it drops requests of classes with a lower weight.
func (c *Controller) enqueue(now time.Duration, k *class, arrival balancer.Arrival, expiresAt time.Duration) {
	if k.queued == 0 {
		k.queuedSince = now
	}
	if c.queue.count == 0 {
		c.throughput.whileQueued = rate{} // a rate measured before the queue was empty has decayed and is too low
	}
	for c.options.PendingBytes > 0 && c.queue.bytes+arrival.Size > c.options.PendingBytes { // terminates because fitsBytes returned true
		c.drop(now, c.leastValuableClass(k).longestQueue().first, Displaced)
	}
	c.queue.add(k, arrival, expiresAt)
	c.priorityOf(arrival.HighPriority).queued++
}

func (c *Controller) start(now time.Duration, high bool) {
	c.started++
	c.inFlight++
	c.priorityOf(high).inFlight++
	c.limit.peak = max(c.limit.peak, c.inFlight)
	c.rejections.decay(now)
}

// Next returns the sequence number of a queued request that is to start or to be rejected now, its decision and, for a rejection,
// its Retry-After. The last result is false if there is no such request.
func (c *Controller) Next(now time.Duration) (uint64, balancer.AdmissionDecision, time.Duration, bool) {
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
	c.startedFromQueue++
	c.start(now, k.highPriority)
	return seq, balancer.Admit, 0, true
}

// nextClass returns the class whose request starts next: the class with the highest weight among those with at least one start
// owed by Options.Floor, or else among all. It returns nil if no request is queued or there is no capacity.
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

// remove takes a request out of the queue and updates the counts.
func (c *Controller) remove(e *entry) {
	c.priorityOf(e.class.highPriority).queued--
	c.queue.remove(e)
}

// Withdraw removes a queued request whose client has given up. Sequence numbers that are not queued are ignored.
func (c *Controller) Withdraw(seq uint64) {
	if e := c.queue.bySeq[seq]; e != nil {
		c.remove(e)
		c.queue.free(e)
	}
}

// Release records the end of an admitted request.
func (c *Controller) Release(now time.Duration, high bool) {
	now = c.advance(now)
	c.inFlight = max(c.inFlight-1, 0)
	p := c.priorityOf(high)
	p.inFlight = max(p.inFlight-1, 0)
	c.throughput.observeResponse(now, c.queue.count > 0)
}

// AttemptEnded records the outcome of an attempt and may change the adaptive limit.
func (c *Controller) AttemptEnded(now time.Duration, s balancer.AttemptSample) {
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

// MayRetry reports whether a request may be retried. The retry budget applies to the whole cluster, the limit on retries in
// flight to each priority.
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

// RetryStarted records that a retry was sent.
func (c *Controller) RetryStarted(now time.Duration, high bool) {
	c.retryBudget.withdraw(c.advance(now))
	c.priorityOf(high).retriesInFlight++
}

// Overloaded reports whether the cluster is overloaded. It calls Options.Notify if the cluster has just recovered.
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

// Inherit copies the observations and the adaptive limit of old, the Controller of the same cluster before its options changed.
func (c *Controller) Inherit(old *Controller) {
	for _, k := range c.classes {
		previous := old.byName[classKey{k.Name, k.highPriority}]
		if previous == nil {
			continue
		}
		k.baseline = previous.baseline
		k.baselineAt = previous.baselineAt
		k.mean = previous.mean
		k.deviation = previous.deviation
	}
	c.throughput.known = old.throughput.known
	c.endpoints = old.endpoints
	if c.options.Mode == Adaptive && old.options.Mode == Adaptive {
		c.limit.limit = old.limit.limit
		c.limit.decreasedAt = old.limit.decreasedAt
		c.limit.clamp(&c.options)
	}
}
