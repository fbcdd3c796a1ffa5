package balancer

import "time"

const (
	timelyHeadroom     = 1.3 // requests over timely answers that are admitted, to find out that an overload has ended
	minAdmitted        = 0.1 // fraction of what would be rejected that is admitted all the same, for the same reason
	objectiveMargin    = 1.5 // latency objective over the expected latency, which leaves room for spread
	minOverQuotaWeight = 0.01
)

// attemptLoad counts this proxy's attempts in flight. An answer that is being streamed is not counted, unless its class streams.
type attemptLoad struct {
	inFlight        int
	inFlightEjected int // at ejected servers, as of the last refresh of the subset
}

// usable is what is in flight at servers that are not ejected.
func (l *attemptLoad) usable() int {
	return l.inFlight - l.inFlightEjected
}

// overloadEstimate is the Balancer's own estimate of an overload. It decides where no Admission is set. All means decay over
// the short window.
type overloadEstimate struct {
	timely        decayingMean // requests that ended; the sum counts those served within their latency objective
	work          decayingMean // mean latency of the class of each served attempt, in nanoseconds
	inverseWeight decayingMean // 1 / weight of the requests that came
}

// timelyExcess is the fraction of requests that exceeds the timely answers and their headroom. It may be negative.
func (o *overloadEstimate) timelyExcess() float64 {
	return 1 - (o.timely.sum*timelyHeadroom+priorSamples)/(o.timely.count+priorSamples)
}

// tenant is a tenant's quota at this proxy: a token bucket that holds one second's requests.
type tenant struct {
	rate       float64 // tokens a second; 0: unlimited
	tokens     float64
	refilledAt time.Duration
}

// withdraw takes a token and reports whether there was one.
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

// overloaded decides at random whether a request is rejected, the more likely the lower its weight is.
func (b *Balancer) overloaded(now time.Duration, r *request) bool {
	b.overload.timely.decay(now, b.shortWindow)
	b.overload.inverseWeight.decay(now, b.shortWindow)
	weight := b.requestWeight(now, r)
	b.overload.inverseWeight.add(1 / weight)
	excess := max(b.overload.timelyExcess(), 0)
	fits := b.expectedFit(now, r)
	// With less than the cube, or with the greater of both alone, latency would stay near the objective for as long as there is
	// much to reject.
	rejected := 1 - (1-excess)*min(fits*fits*fits, 1)
	odds := rejected / weight / b.overload.inverseWeight.mean(1/weight, 0)
	probability := odds / (odds + 1 - rejected + 1e-9)
	return b.rng.Float64() < min(probability, 1-minAdmitted)
}

// requestWeight is the priority weight of a request over its work, less where its tenant is over quota.
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

// expectedFit is what may be in flight for a request to be served within its latency objective, over what would be. Attempts in
// flight over the baseline are the multiple of its mean latency that a request will take, which shows before any is late.
func (b *Balancer) expectedFit(now time.Duration, r *request) float64 {
	baseline := b.baselineInFlight(now)
	spare := b.spareInFlight(r.class)
	allowed := baseline*b.sharedObjectiveStretch(r.class)/objectiveMargin + spare
	return allowed / float64(b.load.usable()+1)
}

// baselineInFlight is how many attempts are in flight without queueing: answers a second times their mean latency.
func (b *Balancer) baselineInFlight(now time.Duration) float64 {
	observed := min(b.shortWindow, now-b.firstRequestAt+1)
	return b.overload.work.decay(now, b.shortWindow).sum / float64(observed)
}

// spareInFlight is what may be in flight beyond the baseline: less where there are more proxies than servers, as a few requests
// from each of many proxies make long queues.
func (b *Balancer) spareInFlight(c *class) float64 {
	spare := priorSamples
	if c.samples < minSamples {
		spare = minSamples
	}
	serversPerProxy := float64(len(b.endpoints.ordered)) / float64(max(b.settings.Proxies, 1))
	return max(spare*min(serversPerProxy, 1), 1)
}

// sharedObjectiveStretch is the smallest objective stretch of a class and of those with a higher weight for their work: servers
// have one queue for all classes, so requests that may wait for long would make more valuable ones late.
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

// retryAfter is the Retry-After of a rejected request: when what is in flight now has ended, which takes the longer the more
// there is over the baseline. Clients without advice would repeat their requests at once. It is 0 for no advice.
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
	overBaseline := float64(b.load.usable()) / max(b.baselineInFlight(now), 1)
	wait := r.class.latency * max(overBaseline, 1)
	return min(time.Duration(wait), b.settings.MaxRetryAfter)
}
