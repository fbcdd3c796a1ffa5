package admission

import (
	"fmt"
	"math"
	"time"
)

const (
	period         = 100 * time.Millisecond // of evidence, at least
	maxPause       = 2 * time.Second        // without the end of an attempt, after which earlier observations say nothing
	minLimit       = 2.0                    // requests in flight that are always allowed
	maxLimit       = 1e6                    // requests in flight without circuit breakers
	recentDecrease = 10 * time.Second       // for which a cluster counts as overloaded after its limit fell

	maxShedShare     = 0.25 // of the attempts of a period; above it the limit falls
	maxLateShare     = 0.1  // of the attempts of a period; above it the limit falls
	maxFutileShare   = 0.3  // of the requests in flight at the start of a fall, down to which it must have gone to be futile
	minFutileTime    = 3 * time.Second
	minUsedShare     = 0.8 // of the limit, that must have been in flight for it to rise
	decreaseByShed   = 0.8 // factor of the requests in flight
	decreaseByLate   = 0.9
	maxDecrease      = 0.2 // smallest factor by latency
	minDecrease      = 0.9 // largest factor by latency
	increasePerRatio = 0.1 // of the limit, for each multiple of the latency that the target leaves
)

// limiter is the adaptive limit on requests in flight.
type limiter struct {
	limit         float64
	peak          int // most requests in flight at once in the period
	periodStart   time.Duration
	lastAttemptAt time.Duration // when an attempt last ended
	decreasedAt   time.Duration // when the limit last fell
	// A fall is a run of decreases by latency; 0 while there is none.
	inFlightAtFall float64
	fallBeganAt    time.Duration
}

func (l *limiter) begin(o *Options, endpoints int) {
	l.limit = float64(o.PerEndpoint * endpoints)
	l.clamp(o)
}

// resize follows the number of endpoints: upwards always, downwards only while the limit never fell. The evidence does the rest.
func (l *limiter) resize(o *Options, before, endpoints int) {
	if l.decreasedAt == 0 {
		l.begin(o, endpoints)
	} else if endpoints > before {
		l.limit *= float64(endpoints) / float64(before)
	}
	l.clamp(o)
}

func (l *limiter) clamp(o *Options) {
	highest := maxLimit
	if o.MaxRequests > 0 && o.HighPriority.MaxRequests > 0 {
		highest = float64(o.MaxRequests + o.HighPriority.MaxRequests)
	}
	l.limit = max(min(l.limit, highest), min(minLimit, highest))
}

// update changes the limit if the observations of a period suffice. It returns the evidence if the limit fell.
func (l *limiter) update(now time.Duration, o *Options, classes []*class, endpoints, inFlight int) (evidence string) {
	pause := now - l.lastAttemptAt
	l.lastAttemptAt = now
	if l.periodStart == 0 || pause > maxPause {
		l.startPeriod(now, classes, inFlight)
		return ""
	}
	if l.decreasedAt > 0 && float64(inFlight) > l.limit {
		// What is sent now is queued behind what was in flight before the fall.
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

// attemptCounts are the attempts of a period over all classes.
type attemptCounts struct {
	all       int
	shed      int
	hasSample bool // some class has enough answers
}

func countAttempts(classes []*class) attemptCounts {
	var counts attemptCounts
	for _, k := range classes {
		counts.all += k.attempts
		counts.shed += k.shed
		counts.hasSample = counts.hasSample || k.served >= minAnswers
	}
	return counts
}

// manyShed reports whether so many attempts were shed that the limit must fall.
func (a attemptCounts) manyShed() bool {
	return a.all >= minAnswers && float64(a.shed) > maxShedShare*float64(a.all)
}

// sufficient reports whether the period can be evaluated. Otherwise it goes on: at a low limit the answers are spread over the
// classes, none of which would ever have enough of them if they were dropped.
func (a attemptCounts) sufficient() bool {
	return a.hasSample || a.manyShed()
}

// latencyEvidence is how the class that fares best does. One that is slow by itself says nothing about the others.
type latencyEvidence struct {
	ratio     float64 // of its quantile to its target; infinite if nothing is known
	lateShare float64 // of its attempts
	text      string
}

// bestClass updates the baselines and returns the evidence of the class with the lowest ratio.
func (l *limiter) bestClass(now time.Duration, o *Options, classes []*class, endpoints int) latencyEvidence {
	calm := l.peak <= max(2*endpoints/o.Gateways, 1)
	overloaded := now-l.decreasedAt < recentDecrease && l.decreasedAt > 0
	best := latencyEvidence{ratio: math.Inf(1)}
	for _, k := range classes {
		quantile, ok := k.updateBaseline(now, overloaded, calm)
		if !ok {
			continue
		}
		if ratio := quantile / k.target(); ratio < best.ratio {
			best = k.latencyEvidence(quantile, ratio)
		}
	}
	return best
}

func (k *class) latencyEvidence(quantile, ratio float64) latencyEvidence {
	lateShare := float64(k.late) / float64(k.attempts)
	if quantile < 1.5*k.baseline {
		lateShare = 0 // the quicker answers were not queued: those that are late are so by themselves
	}
	text := fmt.Sprintf("a quarter of the answers to %s within %v and no less, baseline %v, target %v; %.0f%% late", k.Name,
		roundLatency(quantile), roundLatency(k.baseline), roundLatency(k.target()), 100*lateShare)
	return latencyEvidence{ratio, lateShare, text}
}

// adjust changes the limit by the evidence of a period, and returns the evidence if the limit fell.
func (l *limiter) adjust(now time.Duration, attempts attemptCounts, best latencyEvidence, classes []*class) (evidence string) {
	used := min(float64(l.peak), l.limit)
	switch {
	case best.ratio > 1 && l.fallIsFutile(now, used, classes):
		l.limit = max(l.inFlightAtFall, l.limit)
		l.inFlightAtFall = 0
	case attempts.manyShed():
		l.decrease(now, used*decreaseByShed)
		return fmt.Sprintf("%d of %d attempts turned away or without an answer in time", attempts.shed, attempts.all)
	case math.IsInf(best.ratio, 1):
	case best.ratio > 1:
		if l.inFlightAtFall == 0 {
			l.beginFall(now, used, classes)
		}
		l.decrease(now, used*min(max(1/best.ratio, maxDecrease), minDecrease))
		return best.text
	case best.lateShare > maxLateShare:
		l.decrease(now, used*decreaseByLate)
		return best.text
	case float64(l.peak) >= minUsedShare*math.Floor(l.limit): // of 3.9 no more than 3 can be in flight
		l.inFlightAtFall = 0
		unusedRatio := min(max(1/best.ratio-1, 0.1), 5)
		l.limit += max(increasePerRatio*l.limit*unusedRatio, 1)
	}
	return ""
}

func (l *limiter) decrease(now time.Duration, to float64) {
	l.limit = max(to, minLimit)
	l.decreasedAt = now
}

func (l *limiter) beginFall(now time.Duration, used float64, classes []*class) {
	l.inFlightAtFall = used
	l.fallBeganAt = now
	for _, k := range classes {
		k.quantileAtFall, _ = k.quantile()
	}
}

// fallIsFutile reports whether answers take as long as before with much less in flight. They are not queued then but take that
// long by themselves, and their latency becomes the baseline. A fall takes some time before that is said: requests of other
// gateways at the same endpoints, whose limits still fall, look alike.
func (l *limiter) fallIsFutile(now time.Duration, used float64, classes []*class) bool {
	if l.inFlightAtFall == 0 || used > max(maxFutileShare*l.inFlightAtFall, minLimit) || now-l.fallBeganAt < minFutileTime {
		return false
	}
	compared := false
	for _, k := range classes {
		quantile, ok := k.quantile()
		if !ok || k.quantileAtFall <= 0 {
			continue
		}
		compared = true
		if quantile < 0.8*k.quantileAtFall {
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

func roundLatency(nanoseconds float64) time.Duration {
	d := time.Duration(nanoseconds)
	if d < 10*time.Millisecond {
		return d.Round(10 * time.Microsecond)
	}
	return d.Round(time.Millisecond)
}
