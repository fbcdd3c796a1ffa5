package experiment

import (
	"fmt"
	"time"
)

const (
	minOnOff            = 10 * time.Millisecond
	minBurstPeriod      = time.Millisecond
	maxCandidateFactor  = 20                     // limit of arrivals at the peak rate, before thinning, as a multiple of maxRequests
	loadIntegrationStep = 100 * time.Millisecond // for counting the requests of a load
)

// validateLoad adds the errors of the load. It returns early where later checks could loop for a long time.
func (e *Experiment) validateLoad(v validator, needsLoad bool) {
	l := &e.Load
	e.validateRates(v)
	if onOff := l.OnOff; onOff != nil && (onOff.On.D() < minOnOff || onOff.Off.D() < minOnOff) {
		v.AddError("load.on_off", "want at least %v for on and off, not %v and %v", minOnOff, onOff.On.D(), onOff.Off.D())
		return
	}
	if keys := l.Keys; keys != nil {
		v.between("load.keys.number", float64(keys.Count), 1, 1e6)
		v.between("load.keys.exponent", keys.ZipfExponent, 1.001, 10)
	}
	if len(l.RateSpans) > maxEvents || len(l.Bursts) > maxEvents {
		v.AddError("load", "want at most %d entries each of times and bursts", maxEvents)
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

// validateRates adds the errors of the rate, its spans, the arrivals and the clients.
func (e *Experiment) validateRates(v validator) {
	l := &e.Load
	v.oneOf("load.again", l.RetryMode, clientRetryModes)
	v.between("load.rate", l.Rate, 0, 1e6)
	for i, span := range l.RateSpans {
		field := fmt.Sprintf("load.times[%d]", i)
		if span.Start >= span.End {
			v.AddError(field, "from %v to %v: want an end after the start", span.Start.D(), span.End.D())
		}
		v.between(field+".by", span.Multiplier, 0, 1e6)
		if span.FinalMultiplier != nil {
			v.between(field+".until", *span.FinalMultiplier, 0, 1e6)
		}
	}
	v.oneOf("load.arrivals", l.Arrivals, []string{"poisson", "constant"})
	v.between("load.clients", float64(l.Clients), 0, 100_000)
}

// validateBursts adds the errors of the bursts and returns the number of requests in the valid ones.
func (e *Experiment) validateBursts(v validator) float64 {
	requests := 0.0
	for i, burst := range e.Load.Bursts {
		field := fmt.Sprintf("load.bursts[%d]", i)
		v.between(field+".size", float64(burst.Size), 1, 1e6)
		if burst.Period != 0 && burst.Period.D() < minBurstPeriod {
			v.AddError(field+".every", "want %v at least, not %v", minBurstPeriod, burst.Period.D())
			continue
		}
		repeats := 1.0
		if remaining := e.Length.D() - burst.At.D(); burst.Period > 0 && remaining > 0 {
			repeats += float64(remaining / burst.Period.D())
		}
		requests += repeats * float64(burst.Size)
	}
	return requests
}

func (l *Load) validateTrace(v validator) {
	trace := l.Trace
	v.between("load.trace.speed", trace.Speed, 0.01, 100)
	v.between("load.trace.by", trace.Multiplier, 0.001, 1000)
	v.oneOf("load.trace.unknown", trace.UnknownClasses, []string{"refuse", "drop"})
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
