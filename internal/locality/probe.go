package locality

import (
	"time"

	"robindrum/balancer"
)

const (
	probeTimeoutIntervals = 8  // probe intervals that a due probe waits for the probes in flight to end
	maxProbesPerInterval  = 16 // probes of a locality in a probe interval, over all gateways
)

// probeDelayIntervals returns how many probe intervals after a probe is due a request with this effect may be used as the probe. The
// delay leaves time for a request that is safer to lose.
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

// probeDue reports whether a request of a class should be the next probe of a Dark locality.
func (l *locality) probeDue(now time.Duration, o *Options, c *class) bool {
	if l.state != Dark || l.running == 0 || now < l.nextProbeAt {
		return false
	}
	if l.probesInFlight > 0 && now < l.nextProbeAt+probeTimeoutIntervals*o.ProbeInterval {
		return false
	}
	return now >= l.nextProbeAt+probeDelayIntervals(c.Effect)*o.ProbeInterval
}

// probeSent records that a probe was sent and schedules the next one. The interval grows with the number of gateways, so that a
// locality gets about maxProbesPerInterval from all of them at most.
func (p *Picker) probeSent(now time.Duration, l *locality) {
	l.probesSent++
	if l.probesInFlight == 0 {
		l.firstProbeAt = now // attempts sent before the locality went Dark may still end and are not probes
	}
	l.probesInFlight++
	interval := float64(p.options.ProbeInterval) * max(float64(p.options.Gateways)/maxProbesPerInterval, 1)
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
