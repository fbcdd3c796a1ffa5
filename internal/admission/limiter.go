package admission

import (
	"fmt"
	"math"
	"time"
)

const (
	period         = 100 * time.Millisecond // minimum length of an observation period
	maxPause       = 2 * time.Second        // after a longer time without an ended attempt, earlier observations are discarded
	minLimit       = 2.0                    // lower bound of the limit
	maxLimit       = 1e6                    // upper bound of the limit if a circuit breaker is unlimited
	recentDecrease = 10 * time.Second       // baselines rise more slowly for this time after a decrease of the limit

	maxShedShare        = 0.25            // of the attempts of a period; a higher share of shed attempts decreases the limit
	maxLateShare        = 0.1             // of the attempts of a period; a higher share of late attempts decreases the limit
	noEffectShare       = 0.3             // of the requests in flight before a run of decreases; while more are in flight, the run is not judged
	noEffectTime        = 3 * time.Second // minimum length of a run of decreases before it is judged
	minUsedShare        = 0.8             // of the limit, that must have been in flight for the limit to be increased
	shedFactor          = 0.8             // new limit per request in flight at the peak, if too many attempts were shed
	lateFactor          = 0.9             // new limit per request in flight at the peak, if too many attempts were late
	minLatencyFactor    = 0.2             // lower bound of target/latency, the factor of a decrease because of latency
	maxLatencyFactor    = 0.9             // upper bound of the same factor
	increasePerHeadroom = 0.1             // relative increase of the limit, multiplied by the latency headroom
)

// limiter is the adaptive limit on requests in flight.
type limiter struct {
	limit         float64
	peak          int // maximum number of requests in flight in the period
	periodStart   time.Duration
	lastAttemptAt time.Duration // when the last attempt ended
	decreasedAt   time.Duration // time of the last decrease; 0: never decreased
	// State of the current run of decreases because of latency; inFlightBeforeDecreases is 0 while there is no run.
	inFlightBeforeDecreases float64
	firstDecreaseAt         time.Duration
}

// setInitialLimit sets the limit that applies before any evidence of overload.
func (l *limiter) setInitialLimit(o *Options, endpoints int) {
	l.limit = float64(o.PerEndpoint * endpoints)
	l.clamp(o)
}

// resize adapts the limit to a changed number of endpoints. It always raises the limit if endpoints were added, but lowers it only
// if the limit has never been decreased. Otherwise the limit is left to the evidence of later periods.
func (l *limiter) resize(o *Options, before, endpoints int) {
	if l.decreasedAt == 0 {
		l.setInitialLimit(o, endpoints)
	} else if endpoints > before {
		l.limit *= float64(endpoints) / float64(before)
	}
	l.clamp(o)
}

// clamp keeps the limit between minLimit and the sum of the circuit breakers, or maxLimit if a breaker is unlimited. Breakers whose
// sum is below minLimit take precedence over it.
func (l *limiter) clamp(o *Options) {
	highest := maxLimit
	if o.MaxRequests > 0 && o.HighPriority.MaxRequests > 0 {
		highest = float64(o.MaxRequests + o.HighPriority.MaxRequests)
	}
	l.limit = max(min(l.limit, highest), min(minLimit, highest))
}

// update adjusts the limit once a period has enough observations. It returns the evidence if the limit was decreased.
func (l *limiter) update(now time.Duration, o *Options, classes []*class, endpoints, inFlight int) (evidence string) {
	pause := now - l.lastAttemptAt
	l.lastAttemptAt = now
	if l.periodStart == 0 || pause > maxPause {
		l.startPeriod(now, classes, inFlight)
		return ""
	}
	if l.decreasedAt > 0 && float64(inFlight) > l.limit {
		// The requests in flight from before the decrease still delay the requests that are sent now.
		l.decreasedAt = now
		l.periodStart = now
		clearPeriods(classes)
		return ""
	}
	if now-l.periodStart < period {
		return ""
	}
	attempts := countAttempts(classes)
	if !attempts.sufficient() {
		return ""
	}
	best := l.bestClass(now, o, classes, endpoints)
	evidence = l.adjust(now, attempts, best, classes)
	l.clamp(o)
	l.startPeriod(now, classes, inFlight)
	return evidence
}

// startPeriod discards the observations of the previous period.
func (l *limiter) startPeriod(now time.Duration, classes []*class, inFlight int) {
	clearPeriods(classes)
	l.periodStart = now
	l.peak = inFlight
}

func clearPeriods(classes []*class) {
	for _, k := range classes {
		k.clearPeriod()
	}
}

// attemptCounts holds the attempts of a period, summed over all classes.
type attemptCounts struct {
	all       int
	shed      int
	hasSample bool // at least one class has minResponses responses
}

func countAttempts(classes []*class) attemptCounts {
	var counts attemptCounts
	for _, k := range classes {
		counts.all += k.attempts
		counts.shed += k.shed
		counts.hasSample = counts.hasSample || k.served >= minResponses
	}
	return counts
}

// manyShed reports whether so many attempts were shed that the limit must be decreased.
func (a attemptCounts) manyShed() bool {
	return a.all >= minResponses && float64(a.shed) > maxShedShare*float64(a.all)
}

// sufficient reports whether the period can be evaluated. If not, the period continues: at a low limit the responses are spread
// over the classes, and no class would ever collect enough of them if they were discarded.
func (a attemptCounts) sufficient() bool {
	return a.hasSample || a.manyShed()
}

// latencyEvidence describes the latency of the class with the lowest ratio of latency to target. That class is the relevant one
// because a single class may be slow without the endpoints being overloaded.
type latencyEvidence struct {
	ratio     float64 // of the observed quantile to the target; +Inf if unknown
	lateShare float64 // of the class's attempts
	text      string
}

// bestClass updates the baselines and returns the evidence of the class with the lowest ratio.
func (l *limiter) bestClass(now time.Duration, o *Options, classes []*class, endpoints int) latencyEvidence {
	lowLoad := l.peak <= max(2*endpoints/o.Gateways, 1)
	recentlyDecreased := now-l.decreasedAt < recentDecrease && l.decreasedAt > 0
	best := latencyEvidence{ratio: math.Inf(1)}
	for _, k := range classes {
		quantile, ok := k.updateBaseline(now, recentlyDecreased, lowLoad)
		if !ok {
			continue
		}
		if ratio := quantile / k.target(); ratio < best.ratio {
			best = k.latencyEvidence(quantile, ratio)
		}
	}
	return best
}

// latencyEvidence returns the evidence of the class for its observed quantile and the ratio of that to its target.
func (k *class) latencyEvidence(quantile, ratio float64) latencyEvidence {
	lateShare := float64(k.late) / float64(k.attempts)
	if quantile < 1.5*k.baseline {
		lateShare = 0 // the faster responses show no queueing, so the late ones are slow for another reason
	}
	text := fmt.Sprintf("a quarter of the answers to %s within %v and no less, baseline %v, target %v; %.0f%% late", k.Name,
		roundLatency(quantile), roundLatency(k.baseline), roundLatency(k.target()), 100*lateShare)
	return latencyEvidence{ratio, lateShare, text}
}

// adjust changes the limit according to the evidence of a period. It returns the evidence if the limit was decreased.
func (l *limiter) adjust(now time.Duration, attempts attemptCounts, best latencyEvidence, classes []*class) (evidence string) {
	used := min(float64(l.peak), l.limit)
	switch {
	case best.ratio > 1 && l.decreasesHadNoEffect(now, used, classes):
		l.limit = max(l.inFlightBeforeDecreases, l.limit)
		l.inFlightBeforeDecreases = 0
	case attempts.manyShed():
		l.decrease(now, used*shedFactor)
		return fmt.Sprintf("%d of %d attempts turned away or without an answer in time", attempts.shed, attempts.all)
	case math.IsInf(best.ratio, 1):
	case best.ratio > 1:
		if l.inFlightBeforeDecreases == 0 {
			l.startDecreases(now, used, classes)
		}
		l.decrease(now, used*min(max(1/best.ratio, minLatencyFactor), maxLatencyFactor))
		return best.text
	case best.lateShare > maxLateShare:
		l.decrease(now, used*lateFactor)
		return best.text
	case float64(l.peak) >= minUsedShare*math.Floor(l.limit): // a limit of 3.9 allows at most 3 in flight
		l.inFlightBeforeDecreases = 0
		headroom := min(max(1/best.ratio-1, 0.1), 5)
		l.limit += max(increasePerHeadroom*l.limit*headroom, 1)
	}
	return ""
}

func (l *limiter) decrease(now time.Duration, to float64) {
	l.limit = max(to, minLimit)
	l.decreasedAt = now
}

func (l *limiter) startDecreases(now time.Duration, used float64, classes []*class) {
	l.inFlightBeforeDecreases = used
	l.firstDecreaseAt = now
	for _, k := range classes {
		k.quantileBeforeDecreases, _ = k.quantile()
	}
}

// decreasesHadNoEffect reports whether latency is unchanged although far fewer requests are in flight than before the run of
// decreases. Queueing is not the cause of the latency then, and the observed quantile becomes the baseline. The run must last
// noEffectTime first: until the limits of other gateways with the same endpoints have decreased as well, their requests keep the
// latency high.
func (l *limiter) decreasesHadNoEffect(now time.Duration, used float64, classes []*class) bool {
	if l.inFlightBeforeDecreases == 0 || used > max(noEffectShare*l.inFlightBeforeDecreases, minLimit) || now-l.firstDecreaseAt < noEffectTime {
		return false
	}
	compared := false
	for _, k := range classes {
		quantile, ok := k.quantile()
		if !ok || k.quantileBeforeDecreases <= 0 {
			continue
		}
		compared = true
		if quantile < 0.8*k.quantileBeforeDecreases {
			return false
		}
	}
	if !compared {
		return false
	}
	for _, k := range classes {
		if quantile, ok := k.quantile(); ok {
			k.baseline = quantile
		}
	}
	return true
}

// roundLatency rounds a latency for display in evidence.
func roundLatency(nanoseconds float64) time.Duration {
	d := time.Duration(nanoseconds)
	if d < 10*time.Millisecond {
		return d.Round(10 * time.Microsecond)
	}
	return d.Round(time.Millisecond)
}
