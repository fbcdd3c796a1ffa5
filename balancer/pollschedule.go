package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

// MaxPollInterval is the longest time from one poll of the endpoint list to the next while none succeeds. A change of the list
// counts as known 6 s after the list can be reached; the rest of that time is for the queue at its service.
const MaxPollInterval = 5 * time.Second

// pollSchedule decides when a proxy polls the endpoint list, so that all proxies together do not overload its service.
type pollSchedule struct {
	settings *Settings
	host     Host
	rng      *rand.Rand

	timerSet    bool          // the timer of the next poll runs
	pending     bool          // the list was polled, with no result yet
	watchBroken bool          // the watch broke, and no poll has ended since
	polledAt    time.Duration // the last poll
}

// failed plans the next poll after one failed or the watch broke; silentFor is how long the watch had been silent by then.
func (p *pollSchedule) failed(now, silentFor time.Duration) {
	interval := p.interval()
	switch {
	case !p.pending: // a broken watch may hide a change
		p.watchBroken = true
		p.schedule(p.spread(min(interval*3/10, interval-silentFor)))
	case p.watchBroken:
		// A service with a queue also works on calls that have failed. Proxies that call again soon after a failure would keep
		// its queue too long for ever, so they are spread once and keep their places from then on.
		p.watchBroken = false
		p.schedule(p.polledAt + interval*2/5 + p.spread(interval*3/5) - now)
	default:
		// With more jitter, calls would come in bunches and fail by dozens at a service that is nearly busy.
		jitter := time.Duration(p.rng.Float64() * float64(interval/20))
		p.schedule(p.polledAt + interval - jitter - now)
	}
	p.pending = false
}

// cachedListLoaded plans the first poll. The whole interval is used, as proxies that start together would otherwise wait in the
// service's queue for longer than a call may.
func (p *pollSchedule) cachedListLoaded() {
	if p.settings.Polled {
		p.schedule(p.spread(p.interval()))
	}
}

// succeeded notes that the list has come.
func (p *pollSchedule) succeeded() {
	p.timerSet, p.pending, p.watchBroken = false, false, false
}

// timerExpired polls the list, unless it has come since the timer was set.
func (p *pollSchedule) timerExpired(now time.Duration) {
	if !p.timerSet {
		return
	}
	p.timerSet = false
	p.pending = true
	p.polledAt = now
	p.host.Watch(true)
}

func (p *pollSchedule) schedule(after time.Duration) {
	if p.settings.Polled && !p.timerSet {
		p.timerSet = true
		p.host.SetTimer(pollTimer, max(after, 0))
	}
}

// interval is the time in which every proxy polls once.
func (p *pollSchedule) interval() time.Duration {
	half := p.settings.MaxPollInterval / 2
	if half > 0 && half < MaxPollInterval {
		return half
	}
	return MaxPollInterval
}

// spread returns this proxy's place in a span in which all proxies poll once. The places are even whichever proxies poll.
func (p *pollSchedule) spread(span time.Duration) time.Duration {
	_, place := math.Modf(math.Phi*float64(max(p.settings.Index, 0)) + p.rng.Float64()/float64(max(p.settings.Proxies, 1)))
	return time.Duration(place * float64(max(span, 0)))
}
