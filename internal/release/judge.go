package release

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Margins of the gate. They keep random variation from failing a wave.
const (
	meanSlack   = 0.005    // seconds by which the mean latency may always rise
	memorySlack = 32 << 20 // bytes by which a gateway's memory may always rise

	// While the wave has fewer requests than the gate requires, an error rate fails it only if it exceeds the limit by earlyErrorMargin.
	// This check needs a tenth of the required requests, and at least minEarlyRequests.
	minEarlyRequests = 20
	earlyErrorMargin = 0.25

	tailQuantile    = 0.99
	minTailLatency  = 10 * time.Millisecond // lower bound of the reference 99th percentile
	minTailAnswers  = 10                    // fewer slow answers never fail a wave
	maxTailFraction = 0.03                  // of the answers may be slow

	minClassRequests     = 20
	classNoiseSigmas     = 3    // standard deviations of the in-time rate that are attributed to noise
	minClassVariance     = 0.01 // lower bound of the variance of whether a request is in time
	classRequestsDivisor = 4    // a class needs the gate's MinRequests divided by this to be judged
)

// outcome is the result of judging a wave.
type outcome int

const (
	passed outcome = iota
	undecided
	failed
)

// verdict is an outcome with its reason, which is empty if the wave passed.
type verdict struct {
	outcome outcome
	reason  string
}

func failure(format string, args ...any) verdict {
	return verdict{failed, fmt.Sprintf(format, args...)}
}

// comparison holds the figures by which a wave is judged.
type comparison struct {
	canary   Figures // of the wave's gateways, since the wave was ready
	control  Figures // of the gateways that are not released yet, over the same time
	baseline Figures // of the wave's gateways, from the start of the release to the wave
}

// judge compares the gateways of the current wave with the control group and with their own baseline.
func (l *Ledger) judge(r *Release) verdict {
	if v := l.judgeMemory(r); v.outcome != passed {
		return v
	}
	c := l.compare(r)
	gate := &r.Gate
	for _, check := range []func(*Gate) verdict{c.judgeErrors, c.judgeRequests, c.judgeMean, c.judgeTail, c.judgeClasses} {
		if v := check(gate); v.outcome != passed {
			return v
		}
	}
	return verdict{}
}

// judgeMemory compares the memory of each gateway of the current wave with what it used before the wave.
func (l *Ledger) judgeMemory(r *Release) verdict {
	for _, name := range slices.Sorted(maps.Keys(l.Gateways)) {
		gateway := l.Gateways[name]
		if !l.isJudged(r, name) || !r.isCanary(name) {
			continue
		}
		before := r.BeforeWave[name].Memory
		if before > 0 && float64(gateway.Memory) > r.Gate.MaxMemoryRatio*float64(before)+memorySlack {
			return failure("%s has %d MiB, it had %d", name, gateway.Memory>>20, before>>20)
		}
	}
	return verdict{}
}

// compare sums up the figures of the gateways that are judged. Gateways of earlier waves are neither canaries nor control group.
func (l *Ledger) compare(r *Release) comparison {
	var c comparison
	for _, name := range slices.Sorted(maps.Keys(l.Gateways)) {
		if !l.isJudged(r, name) {
			continue
		}
		counted := l.Gateways[name].since(r.AtWaveReady[name])
		switch {
		case !r.released(name):
			c.control = c.control.add(counted)
		case r.isCanary(name):
			c.canary = c.canary.add(counted)
			c.baseline = c.baseline.add(r.BeforeWave[name])
		}
	}
	return c
}

// isJudged reports whether a gateway responds and has figures from the start of its soak to compare with.
func (l *Ledger) isJudged(r *Release, name string) bool {
	_, known := r.AtWaveReady[name]
	return known && l.Gateways[name].Responding
}

// isCanary reports whether a gateway is in the current wave and the wave is not being rolled back.
func (r *Release) isCanary(name string) bool {
	return r.released(name) && slices.Contains(r.wave(), name)
}

// judgeErrors compares the error rates. With fewer requests than the gate requires, only a much higher error rate fails the wave.
func (c *comparison) judgeErrors(gate *Gate) verdict {
	required := uint64(gate.MinRequests)
	if c.canary.Accepted < max(required/10, minEarlyRequests) {
		return verdict{}
	}
	limit := max(c.control.errorRate(), c.baseline.errorRate()) + gate.MaxErrorIncrease
	margin := 0.0
	if c.canary.Accepted < required {
		margin = earlyErrorMargin
	}
	if c.canary.errorRate() <= limit+margin {
		return verdict{}
	}
	return failure("%.1f%% of %d requests failed or were refused; of the others %.1f%%, before %.1f%%",
		100*c.canary.errorRate(), c.canary.Accepted, 100*c.control.errorRate(), 100*c.baseline.errorRate())
}

// judgeRequests returns undecided if the wave has had fewer requests than the gate requires.
func (c *comparison) judgeRequests(gate *Gate) verdict {
	required := uint64(gate.MinRequests)
	if c.canary.Accepted < required {
		return verdict{undecided, fmt.Sprintf("too little is known: %d requests of %d", c.canary.Accepted, required)}
	}
	return verdict{}
}

// judgeMean compares the mean latencies.
func (c *comparison) judgeMean(gate *Gate) verdict {
	reference := max(c.control.meanLatency(), c.baseline.meanLatency())
	if reference > 0 && c.canary.meanLatency() > gate.MaxMeanRatio*reference+meanSlack {
		return failure("an answer takes %.1f ms; of the others %.1f, before %.1f",
			1000*c.canary.meanLatency(), 1000*c.control.meanLatency(), 1000*c.baseline.meanLatency())
	}
	return verdict{}
}

// judgeTail fails a wave in which too many answers are much slower than the 99th percentile of the control group and the baseline. The
// mean latency does not show them.
func (c *comparison) judgeTail(gate *Gate) verdict {
	if c.canary.Served == 0 || c.control.Served+c.baseline.Served < uint64(gate.MinRequests) {
		return verdict{}
	}
	p99 := max(c.control.quantileBucket(tailQuantile), c.baseline.quantileBucket(tailQuantile), LatencyBucket(minTailLatency))
	limit := p99 + bucketsIn(math.Log2(gate.MaxTailRatio))
	slow := c.canary.countAbove(limit)
	if slow >= minTailAnswers && float64(slow) > maxTailFraction*float64(c.canary.Served) {
		return failure("%d of %d answers took more than %.1f times the others' p99 of %v", slow, c.canary.Served, gate.MaxTailRatio, latencyBound(p99))
	}
	return verdict{}
}

// judgeClasses compares the fraction of requests answered in time for each class. The totals of all classes can hide a regression in one.
func (c *comparison) judgeClasses(gate *Gate) verdict {
	for _, name := range slices.Sorted(maps.Keys(c.canary.Classes)) {
		if v := c.judgeClass(gate, name); v.outcome != passed {
			return v
		}
	}
	return verdict{}
}

// judgeClass judges one class. It passes a class with too few requests to the canaries, or to the control group and the baseline together.
func (c *comparison) judgeClass(gate *Gate, name string) verdict {
	canary, control, baseline := c.canary.Classes[name], c.control.Classes[name], c.baseline.Classes[name]
	if canary.Accepted < max(uint64(gate.MinRequests)/classRequestsDivisor, minClassRequests) {
		return verdict{}
	}
	if control.Accepted+baseline.Accepted < minClassRequests {
		return verdict{}
	}
	reference := 1.0
	for _, other := range []ClassFigures{control, baseline} {
		if other.Accepted >= minClassRequests {
			reference = min(reference, other.inTimeRate())
		}
	}
	noise := classNoiseSigmas * math.Sqrt(max(reference*(1-reference), minClassVariance)/float64(canary.Accepted))
	if canary.inTimeRate() < reference-gate.MaxInTimeLoss-noise {
		return failure("%.1f%% of %d requests of class %s were in time; else %.1f%%", 100*canary.inTimeRate(), canary.Accepted, name, 100*reference)
	}
	return verdict{}
}

// inTimeRate returns the fraction of the accepted requests that were answered in time. Accepted must not be 0.
func (c ClassFigures) inTimeRate() float64 { return float64(c.InTime) / float64(c.Accepted) }
