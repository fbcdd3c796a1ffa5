package balancer

import "time"

const (
	goodputHeadroom    = 1.3  // admitted requests per answer within the objective; above 1 to detect the end of an overload
	minAdmitted        = 0.1  // lowest probability of admission; above 0 to detect the end of an overload
	objectiveMargin    = 1.5  // latency objective / expected latency; leaves room for the spread of latencies
	minOverQuotaWeight = 0.01 // lower bound of Settings.OverQuotaWeight
)

// attemptLoad counts this proxy's attempts in flight. An attempt whose answer is being streamed counts only if its class has Stream
// set.
type attemptLoad struct {
	inFlight        int
	inFlightEjected int // at ejected servers, as of the last refresh of the subset
}

// notEjected returns the number of attempts in flight at servers that are not ejected.
func (l *attemptLoad) notEjected() int {
	return l.inFlight - l.inFlightEjected
}

// overloadEstimate is the Balancer's own estimate of an overload. It is used if no Admission is set. All means decay over the short
// window.
type overloadEstimate struct {
	withinObjective decayingMean // of the ended requests: 1 if served within the latency objective, otherwise 0
	work            decayingMean // only sum is used: the class's mean latency of each served attempt, in nanoseconds
	inverseWeight   decayingMean // 1 / weight of the requests that arrived
}

// excessFraction returns the fraction of requests in excess of the answers within the objective and their headroom. The result may
// be negative.
func (o *overloadEstimate) excessFraction() float64 {
	return 1 - (o.withinObjective.sum*goodputHeadroom+priorSamples)/(o.withinObjective.count+priorSamples)
}

// tenant is the quota of a tenant at this proxy: a token bucket that holds the requests of one second.
type tenant struct {
	rate       float64 // tokens per second; 0: unlimited
	tokens     float64
	refilledAt time.Duration
}

// withdraw takes a token and reports whether one was available.
func (t *tenant) withdraw(now time.Duration) bool {
	t.tokens = min(t.tokens+t.rate*(now-t.refilledAt).Seconds(), max(t.rate, 1))
	t.refilledAt = now
	t.tokens--
	if t.tokens < 0 {
		t.tokens = 0
		return false
	}
	return true
}

// shouldReject decides at random whether to reject a request. The lower the weight of the request, the higher the probability.
func (b *Balancer) shouldReject(now time.Duration, r *request) bool {
	b.overload.withinObjective.decay(now, b.shortWindow)
	b.overload.inverseWeight.decay(now, b.shortWindow)
	weight := b.requestWeight(now, r)
	b.overload.inverseWeight.add(1 / weight)
	excess := max(b.overload.excessFraction(), 0)
	allowedRatio := b.allowedInFlightRatio(now, r)
	// With a lower power than the cube, or with only the greater of the two rejected fractions, latency would stay near the objective
	// while many requests have to be rejected.
	rejected := 1 - (1-excess)*min(allowedRatio*allowedRatio*allowedRatio, 1)
	odds := rejected / weight / b.overload.inverseWeight.mean(1/weight, 0)
	probability := odds / (odds + 1 - rejected + 1e-9)
	return b.rng.Float64() < min(probability, 1-minAdmitted)
}

// requestWeight returns the priority weight of a request per unit of work, lowered if its tenant is over quota.
func (b *Balancer) requestWeight(now time.Duration, r *request) float64 {
	weight := r.class.PriorityWeight
	if !b.settings.WeightByWork && r.class.samples > 0 {
		weight /= r.class.latency
	}
	t := b.tenants[r.Tenant]
	if t == nil || t.rate <= 0 {
		return weight
	}
	if !t.withdraw(now) {
		weight *= max(b.settings.OverQuotaWeight, minOverQuotaWeight)
	}
	return weight
}

// allowedInFlightRatio returns the number of attempts that may be in flight for the request to meet its latency objective, divided by
// the number with this request. Attempts in flight divided by the baseline estimate the latency as a multiple of its mean, which
// shows an overload before any answer is late.
func (b *Balancer) allowedInFlightRatio(now time.Duration, r *request) float64 {
	baseline := b.baselineInFlight(now)
	spare := b.spareInFlight(r.class)
	allowed := baseline*b.sharedObjectiveStretch(r.class)/objectiveMargin + spare
	return allowed / float64(b.load.notEjected()+1)
}

// baselineInFlight returns the number of attempts in flight without queueing: the rate of answers times their mean latency
// (Little's law).
func (b *Balancer) baselineInFlight(now time.Duration) float64 {
	observed := min(b.shortWindow, now-b.firstRequestAt+1)
	return b.overload.work.decay(now, b.shortWindow).sum / float64(observed)
}

// spareInFlight returns the number of attempts that may be in flight beyond the baseline. It is lower if there are more proxies than
// servers, because a few requests from each of many proxies add up to long queues.
func (b *Balancer) spareInFlight(c *class) float64 {
	spare := priorSamples
	if c.samples < minSamples {
		spare = minSamples
	}
	serversPerProxy := float64(len(b.endpoints.ordered)) / float64(max(b.settings.Proxies, 1))
	return max(spare*min(serversPerProxy, 1), 1)
}

// sharedObjectiveStretch returns the smallest objectiveStretch of the class and of all classes with a higher weight per work. Servers
// have one queue for all classes, so requests that may wait for a long time would delay more valuable requests past their objective.
func (b *Balancer) sharedObjectiveStretch(c *class) float64 {
	stretch := c.objectiveStretch()
	for _, other := range b.classes {
		if other.samples < minSamples {
			continue
		}
		if other.weightPerWork(b.settings.WeightByWork) > c.weightPerWork(b.settings.WeightByWork) {
			stretch = min(stretch, other.objectiveStretch())
		}
	}
	return stretch
}

// retryAfter returns the Retry-After of a rejected request, or 0 for none. It is the expected time until the attempts that are in
// flight now have ended, which grows with their excess over the baseline. Clients without a Retry-After would repeat their requests
// immediately.
func (b *Balancer) retryAfter(now time.Duration, r *request) time.Duration {
	if !b.settings.RetryAfter {
		return 0
	}
	if r.retryAfter > 0 {
		return min(r.retryAfter, b.settings.MaxRetryAfter)
	}
	if r.class.samples < minSamples {
		return 0
	}
	overBaseline := float64(b.load.notEjected()) / max(b.baselineInFlight(now), 1)
	wait := r.class.latency * max(overBaseline, 1)
	return min(time.Duration(wait), b.settings.MaxRetryAfter)
}
