package locality

import (
	"time"

	"robindrum/balancer"
)

// AttemptSent records that an attempt was sent to a locality. Attempts to unknown localities are ignored.
func (p *Picker) AttemptSent(now time.Duration, target balancer.Locality, request balancer.LocalityRequest) {
	l := p.find(target)
	if l == nil {
		return
	}
	if l.inFlight == 0 {
		l.lastAnswerAt = now
	}
	l.inFlight++
	l.sent++
	if !l.own {
		l.crossed++
	}
	state := l.class(request.Class)
	state.inFlight++
	l.capacity.peak = max(l.capacity.peak, float64(l.inFlight))
	if request.Purpose == balancer.Retry {
		l.retriesInFlight++
		l.retriesSent++
	}
	if l.state == Dark {
		p.probeSent(now, l)
	}
	state.recordSent(now)
}

// AttemptEnded records the result of an attempt. Attempts to unknown localities are ignored.
func (p *Picker) AttemptEnded(now time.Duration, target balancer.Locality, request balancer.LocalityRequest, result balancer.Result, latency time.Duration) {
	l := p.find(target)
	if l == nil {
		return
	}
	l.inFlight = max(l.inFlight-1, 0)
	if request.Purpose == balancer.Retry {
		l.retriesInFlight = max(l.retriesInFlight-1, 0)
	}
	state := l.class(request.Class)
	state.inFlight = max(state.inFlight-1, 0)
	isProbe := l.state == Dark && l.probesInFlight > 0 && request.SentAt >= l.firstProbeAt
	if isProbe {
		l.probesInFlight--
	}
	if result == balancer.NotSent || result == balancer.Cancelled {
		return
	}
	var objective time.Duration // 0: unknown
	if c := p.classes[request.Class]; c != nil {
		objective = c.LatencyObjective
	}
	if result == balancer.Served || result == balancer.Rejected || result == balancer.ServerError {
		l.lastAnswerAt = now
	}
	clientLeftNoTime := result == balancer.TimedOut && latency < objective
	if clientLeftNoTime {
		return
	}
	served := result == balancer.Served
	late := served && objective > 0 && latency > objective
	p.observe(now, l, state, observation{served, late, latency, objective})
	if isProbe {
		l.probeEnded(served)
	}
	if l.state == Returning && request.SentAt >= l.rampStepAt { // earlier attempts do not count for this step
		state.observeRampStep(served && !late)
	}
	p.updateState(now, l)
}

// observation is the outcome of an attempt that counts as evidence about its locality.
type observation struct {
	served    bool
	late      bool
	latency   time.Duration
	objective time.Duration // 0: unknown
}

func (p *Picker) observe(now time.Duration, l *locality, state *classState, o observation) {
	state.observe(now, o)
	l.consecutiveFailures++
	if o.served {
		l.consecutiveFailures = 0
		l.served.decay(now).count++
	}
	limited := !l.own || !p.options.OwnZoneUnlimited
	if limited {
		ratio := 0.0
		if o.served {
			ratio = l.capacity.busyRatio(state.bestLatency, o)
		}
		l.capacity.observe(now, l, ratio, o.late || !o.served)
	}
	state.updateEjection(now, o.served, l)
}
