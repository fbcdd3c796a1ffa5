package experiment

import (
	"fmt"
	"time"
)

const (
	minOnOff            = 10 * time.Millisecond
	minBurstPeriod      = time.Millisecond
	maxCandidateFactor  = 20                     // arrivals at the peak rate, before thinning, over maxRequests
	loadIntegrationStep = 100 * time.Millisecond // for counting the requests of a load
)

// validateLoad adds the errors of the load. It ends early where the later checks could loop for long.
func (e *Experiment) validateLoad(v validator, needsLoad bool) {
	l := &e.Load
	e.validateRates(v)
	if o := l.OnOff; o != nil && (o.On.D() < minOnOff || o.Off.D() < minOnOff) {
		v.AddError("load.on_off", "want %v at least of both, not %v and %v", minOnOff, o.On.D(), o.Off.D())
		return
	}
	if k := l.Keys; k != nil {
		v.between("load.keys.number", float64(k.Count), 1, 1e6)
		v.between("load.keys.exponent", k.ZipfExponent, 1.001, 10)
	}
	if len(l.RateSpans) > maxEvents || len(l.Bursts) > maxEvents {
		v.AddError("load", "%d at most of times and of bursts", maxEvents)
		return
	}
	requests := e.clientRequests() + e.validateBursts(v) + e.openLoopRequests()
	if peak := e.peakRate(); peak*e.Length.D().Seconds() > maxCandidateFactor*maxRequests {
		v.AddError("load.times", "a peak of %.0f requests a second over %v, %d requests at most", peak, e.Length.D(), maxCandidateFactor*maxRequests)
		return
	}
	if requests > maxRequests {
		v.AddError("load", "%.0f requests, %d at most", requests, maxRequests)
	}
	if l.Trace != nil {
		l.validateTrace(v)
		return
	}
	if requests < 1 && needsLoad {
		v.AddError("load", "asks for nothing")
	}
}

func (e *Experiment) validateRates(v validator) {
	l := &e.Load
	v.oneOf("load.again", l.RetryMode, clientRetryModes)
	v.between("load.rate", l.Rate, 0, 1e6)
	for i, span := range l.RateSpans {
		field := fmt.Sprintf("load.times[%d]", i)
		if span.Start >= span.End {
			v.AddError(field, "from %v to %v", span.Start.D(), span.End.D())
		}
		v.between(field+".by", span.Multiplier, 0, 1e6)
		if span.FinalMultiplier != nil {
			v.between(field+".until", *span.FinalMultiplier, 0, 1e6)
		}
	}
	v.oneOf("load.arrivals", l.Arrivals, []string{"poisson", "constant"})
	v.between("load.clients", float64(l.Clients), 0, 100_000)
}

// validateBursts adds the errors of the bursts and returns how many requests the valid ones consist of.
func (e *Experiment) validateBursts(v validator) float64 {
	requests := 0.0
	for i, b := range e.Load.Bursts {
		field := fmt.Sprintf("load.bursts[%d]", i)
		v.between(field+".size", float64(b.Size), 1, 1e6)
		if b.Period != 0 && b.Period.D() < minBurstPeriod {
			v.AddError(field+".every", "want %v at least, not %v", minBurstPeriod, b.Period.D())
			continue
		}
		repeats := 1.0
		if left := e.Length.D() - b.At.D(); b.Period > 0 && left > 0 {
			repeats += float64(left / b.Period.D())
		}
		requests += repeats * float64(b.Size)
	}
	return requests
}

func (l *Load) validateTrace(v validator) {
	t := l.Trace
	v.between("load.trace.speed", t.Speed, 0.01, 100)
	v.between("load.trace.by", t.Multiplier, 0.001, 1000)
	v.oneOf("load.trace.unknown", t.UnknownClasses, []string{"refuse", "drop"})
	if l.Rate > 0 || len(l.Bursts) > 0 {
		v.AddError("load.trace", "takes the place of rate and bursts")
	}
}

// clientRequests returns an upper bound of the requests of the closed-loop clients.
func (e *Experiment) clientRequests() float64 {
	cycle := max((e.Load.ThinkTime.D() + time.Millisecond).Seconds(), 1e-3)
	return float64(e.Load.Clients) * e.Length.D().Seconds() / cycle
}

// openLoopRequests returns the expected requests of the open loop without its bursts.
func (e *Experiment) openLoopRequests() float64 {
	requests := 0.0
	for at := time.Duration(0); at < e.Length.D(); at += loadIntegrationStep {
		requests += e.rateAt(at) * loadIntegrationStep.Seconds()
	}
	return requests
}
