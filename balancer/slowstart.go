package balancer

import "time"

// warmBaseline is how many attempts a warm server gets within the overload window.
type warmBaseline struct {
	sends         float64
	observedSends float64 // when a warm server was last in the subset
}

// update takes the attempts at a server of the subset, over its warmth. Where all servers are warming up, what they got is no
// baseline: it is low where little was given, and would grow without end where each may have a little more than the others. The
// last one with a warm server is used then.
func (w *warmBaseline) update(sends float64, hasWarmServer bool) {
	w.sends = sends
	if hasWarmServer {
		w.observedSends = sends
	} else if w.observedSends > priorSamples {
		w.sends = w.observedSends
	}
}

// warmth is the fraction of its capacity that a server has at least: below 1 while it warms up.
func (b *Balancer) warmth(s *server, now time.Duration) float64 {
	age := now - s.Since
	if s.Since == 0 || age >= b.settings.WarmUpTime {
		return 1
	}
	return b.settings.WarmUpShare + (1-b.settings.WarmUpShare)*float64(max(age, 0))/float64(b.settings.WarmUpTime)
}

// warmUpLimitReached reports whether a server that is warming up has had its part from this proxy, assuming that the other
// proxies do alike: its warmth times half the multiple of what a warm server gets, as proxies differ.
func (b *Balancer) warmUpLimitReached(s *server, now time.Duration) bool {
	warmth := b.warmth(s, now)
	if warmth >= 1 {
		return false
	}
	limit := b.settings.OverloadMultiple / 2 * warmth * b.slowStart.sends
	return b.sendsInWindow(s, now) >= max(limit, 1)
}
