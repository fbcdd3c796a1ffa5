package locality

import (
	"time"

	"robindrum/balancer"
)

const (
	probeTimeoutIntervals = 8  // probe intervals after which a further probe is sent beside those in flight
	gatewaysPerProbe      = 16 // gateways that share a locality's probes
)

// probeDelayIntervals is how many probe intervals a due probe waits for a request that is safer to lose, before one of this effect is
// taken.
func probeDelayIntervals(effect balancer.Effect) time.Duration {
	switch effect {
	case balancer.IdempotentWithKey:
		return 4
	case balancer.NonIdempotent:
		return 16
	default:
		return 0
	}
}

// probeDue reports whether a request of a class is to be the next probe of a Dark locality.
func (l *locality) probeDue(now time.Duration, o *Options, c *class) bool {
	if l.state != Dark || l.running == 0 || now < l.nextProbeAt {
		return false
	}
	if l.probesInFlight > 0 && now < l.nextProbeAt+probeTimeoutIntervals*o.ProbeInterval {
		return false
	}
	return now >= l.nextProbeAt+probeDelayIntervals(c.Effect)*o.ProbeInterval
}

// probeSent notes that a probe was sent and plans the next one. Many gateways share the probes of a locality.
func (p *Picker) probeSent(now time.Duration, l *locality) {
	l.probesSent++
	if l.probesInFlight == 0 {
		l.firstProbeAt = now // attempts from before the locality went Dark may end meanwhile
	}
	l.probesInFlight++
	interval := float64(p.options.ProbeInterval) * max(float64(p.options.Gateways)/gatewaysPerProbe, 1)
	jitter := minJitter + p.rng.Float64()/2
	l.nextProbeAt = now + time.Duration(jitter*interval)
}

func (l *locality) probeEnded(served bool) {
	if served {
		l.consecutiveGoodProbes++
	} else {
		l.consecutiveGoodProbes = 0
	}
}
