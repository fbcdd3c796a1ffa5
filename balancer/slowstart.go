package balancer

import "time"

// warmBaseline holds the number of this proxy's attempts that a warm server gets within the overload window.
type warmBaseline struct {
	sends         float64 // current baseline
	observedSends float64 // baseline when a warm server was last in the subset
}

// update sets the baseline to the mean number of attempts at the servers of the subset, per unit of capacityFraction. If all servers
// are warming up, their own attempts are no valid baseline: a low number would keep limiting them, and as each server may get a little
// more than the others, the number could also grow without bound. In this case, the last baseline with a warm server is used.
func (w *warmBaseline) update(sends float64, hasWarmServer bool) {
	w.sends = sends
	if hasWarmServer {
		w.observedSends = sends
	} else if w.observedSends > priorSamples {
		w.sends = w.observedSends
	}
}

// capacityFraction returns the fraction of its full capacity that a server is guaranteed to have: below 1 while the server is warming
// up, otherwise 1.
func (b *Balancer) capacityFraction(s *server, now time.Duration) float64 {
	age := now - s.Since
	if s.Since == 0 || age >= b.settings.WarmUpTime {
		return 1
	}
	return b.settings.WarmUpShare + (1-b.settings.WarmUpShare)*float64(max(age, 0))/float64(b.settings.WarmUpTime)
}

// warmUpLimitReached reports whether a server that is warming up has already received this proxy's share of its capacity. The limit is the baseline
// times the capacityFraction times half the OverloadMultiple. It assumes that the other proxies send at similar rates; half the
// multiple leaves room for their differences.
func (b *Balancer) warmUpLimitReached(s *server, now time.Duration) bool {
	capacityFraction := b.capacityFraction(s, now)
	if capacityFraction >= 1 {
		return false
	}
	limit := b.settings.OverloadMultiple / 2 * capacityFraction * b.slowStart.sends
	return b.sendsInWindow(s, now) >= max(limit, 1)
}
