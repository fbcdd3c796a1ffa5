package admission

import (
	"fmt"
	"math"
	"slices"
	"time"

	"robindrum/balancer"
)

const (
	period     = 100 * time.Millisecond // of evidence, at the least
	pause      = 2 * time.Second        // without an attempt that ends, behind which what came before says nothing
	minAnswers = 8                      // answers of a class that make evidence
	samples    = 64                     // that are kept of a class in a period
	quantile   = 0.25
	minLimit   = 2.0 // requests in flight that are always allowed
)

// evidence is what attempts of a class showed in the period under way, and what is known of it from before.
type evidence struct {
	base float64 // the quantile where nothing stands before it, in ns; 0: not known
	mean float64 // of answers lately, in ns; 0: not known
	dev  float64 // their mean deviation
	seen rate    // answers

	took      [samples]float64
	n         int // good answers in the period
	late, bad int // of all in the period
	all       int
	baseAt    time.Duration
	high      float64 // the quantile where the fall under way began; 0: not known
}

// target is the quantile above which answers show a queue: four times the baseline, but no less than a sixth and no more
// than a third of what is wanted. Where answers take longer than that by themselves it is half above the baseline.
func (k *class) target() float64 {
	wanted := float64(k.LatencyObjective)
	return max(min(wanted/3, max(4*k.base, wanted/6)), 1.5*k.base)
}

// observe notes an attempt. What was sent before the limit fell last says nothing of the one in use.
func (k *class) observe(now time.Duration, s balancer.Sample, cutAt time.Duration) {
	took := float64(s.Latency)
	good := s.Result == balancer.Served
	if good {
		k.seen.add(now)
		if k.mean == 0 {
			k.mean = took
		}
		k.dev += (math.Abs(took-k.mean) - k.dev) / 32
		k.mean += (took - k.mean) / 32
	}
	if s.SentAt < cutAt {
		return
	}
	k.all++
	switch {
	case good:
		k.took[k.n%samples] = took
		k.n++
		if s.Latency > k.LatencyObjective {
			k.late++
		}
	case s.Result == balancer.Rejected, s.Result == balancer.TimedOut && s.Latency > k.LatencyObjective, s.Result == balancer.NotConnected && took > float64(k.LatencyObjective)/4:
		k.bad++ // a failure that comes at once shows that an endpoint is sick, not that it is short
	}
}

// read gives the quantile of the period and brings the baseline up to date: it falls at once, and rises slowly, the more
// so while the cluster is short, as what is measured then stands behind other requests. calm tells that there were few
// requests in flight, over all gateways if the others do alike. Danger: the first thing that is seen may be an overload; a first baseline beyond an eighth of what is
// wanted is believed in calm times alone.
func (k *class) read(now time.Duration, short, calm bool) (q float64, ok bool) {
	if q, ok = k.quantile(); !ok {
		return 0, false
	}
	switch {
	case k.base == 0 && !calm:
		k.base = min(q, float64(k.LatencyObjective)/8)
	case k.base == 0 || q < k.base:
		k.base = q
	case calm:
		k.base = min(q, k.base*2)
	default:
		rise := 0.1
		if short {
			rise = 0.01
		}
		gone := min((now - k.baseAt).Seconds(), 1)
		k.base = min(q, k.base*(1+rise*gone))
	}
	k.baseAt = now
	return q, true
}

func (k *class) quantile() (q float64, ok bool) {
	if k.n < minAnswers {
		return 0, false
	}
	l := k.took
	v := l[:min(k.n, samples)]
	slices.Sort(v)
	return v[int(quantile*float64(len(v)-1))], true
}

func (k *class) clear() { k.n, k.all, k.late, k.bad = 0, 0, 0, 0 }

// limiter is the limit on requests in flight.
type limiter struct {
	now   float64
	peak  int // requests in flight at once in the period
	from  time.Duration
	last  time.Duration // when an attempt ended last
	cutAt time.Duration // when it fell last
	// What was in flight where the fall under way began, and when; 0: there is none.
	high   float64
	highAt time.Duration
}

func (l *limiter) begin(o *Options, endpoints int) {
	l.now = float64(o.PerEndpoint * endpoints)
	l.clamp(o)
}

// resize follows the number of endpoints upwards; downwards is for the evidence to say, but for a limit that never fell.
func (l *limiter) resize(o *Options, before, endpoints int) {
	if l.cutAt == 0 {
		l.begin(o, endpoints)
	} else if endpoints > before {
		l.now *= float64(endpoints) / float64(before)
	}
	l.clamp(o)
}

func (l *limiter) clamp(o *Options) {
	most := 1e6
	if o.MaxRequests > 0 && o.HighPriority.MaxRequests > 0 {
		most = float64(o.MaxRequests + o.HighPriority.MaxRequests)
	}
	l.now = max(min(l.now, most), min(minLimit, most))
}

// look changes the limit where a period of evidence has come together, and says why where it fell.
func (l *limiter) look(now time.Duration, o *Options, classes []*class, endpoints, active int) (why string) {
	after := now - l.last
	if l.last = now; l.from == 0 || after > pause {
		for _, k := range classes {
			k.clear()
		}
		l.from, l.peak = now, active
		return ""
	}
	if l.cutAt > 0 && float64(active) > l.now { // what is sent now stands behind what the fall left over
		l.cutAt, l.from = now, now
		for _, k := range classes {
			k.clear()
		}
		return ""
	}
	if now-l.from < period {
		return ""
	}
	all, bad, known := 0, 0, false
	for _, k := range classes {
		all, bad, known = all+k.all, bad+k.bad, known || k.n >= minAnswers
	}
	// Danger: at a low limit the answers of a period are spread over classes, and no class has enough of them. What is
	// thrown away then is never enough, and the limit stays where it is for good.
	if !known && (all < minAnswers || float64(bad) <= 0.25*float64(all)) {
		return ""
	}
	// The class that fares best tells: one that is slow by itself says nothing of the others.
	best, late, of := math.Inf(1), 0.0, ""
	calm := l.peak <= max(2*endpoints/o.Gateways, 1)
	short := now-l.cutAt < 10*time.Second && l.cutAt > 0
	for _, k := range classes {
		q, ok := k.read(now, short, calm)
		if !ok {
			continue
		}
		if r := q / k.target(); r < best {
			best, late = r, float64(k.late)/float64(k.all)
			if q < 1.5*k.base {
				late = 0 // nothing stands before the quicker ones: those that are late are so by themselves
			}
			of = fmt.Sprintf("a quarter of the answers to %s within %v and no less, baseline %v, target %v; %.0f%% late", k.Name, round(q), round(k.base),
				round(k.target()), 100*late)
		}
	}
	used := min(float64(l.peak), l.now)
	cut := func(by float64, text string) {
		l.now = max(used*by, minLimit)
		l.cutAt, why = now, text
	}
	switch {
	case best > 1 && l.futile(now, used, classes):
		l.now, l.high = max(l.high, l.now), 0
	case all >= minAnswers && float64(bad) > 0.25*float64(all):
		cut(0.8, fmt.Sprintf("%d of %d attempts turned away or without an answer in time", bad, all))
	case math.IsInf(best, 1): // nothing is known
	case best > 1:
		if l.high == 0 {
			l.high, l.highAt = used, now
			for _, k := range classes {
				k.high, _ = k.quantile()
			}
		}
		cut(min(max(1/best, 0.2), 0.9), of)
	case late > 0.1:
		cut(0.9, of)
	case float64(l.peak) >= 0.8*math.Floor(l.now): // 3 of 3.9 are all that there may be
		l.high = 0
		l.now += max(0.1*l.now*min(max(1/best-1, 0.1), 5), 1)
	}
	l.clamp(o)
	for _, k := range classes {
		k.clear()
	}
	l.from, l.peak = now, active
	return why
}

// futile tells whether answers take as long as before with much less in flight: then they do not stand behind others, but
// take that long by themselves, which is their baseline from now on. Danger: other gateways before the same servers may
// still be on their way down, and what they have in flight looks like answers that are long by themselves.
func (l *limiter) futile(now time.Duration, used float64, classes []*class) bool {
	if l.high == 0 || used > max(0.3*l.high, minLimit) || now-l.highAt < 3*time.Second {
		return false
	}
	known := false
	for _, k := range classes {
		if q, ok := k.quantile(); ok && k.high > 0 {
			if known = true; q < 0.8*k.high {
				return false
			}
		}
	}
	for _, k := range classes {
		if q, ok := k.quantile(); ok && known {
			k.base = q
		}
	}
	return known
}

func round(ns float64) time.Duration {
	d := time.Duration(ns)
	if d < 10*time.Millisecond {
		return d.Round(10 * time.Microsecond)
	}
	return d.Round(time.Millisecond)
}

// rate counts what comes and forgets over a span.
type rate struct {
	n         float64
	at, added time.Duration
	since     time.Duration // of the first of a run without a long pause
}

const span = 500 * time.Millisecond

func (r *rate) decay(now time.Duration) {
	if gone := now - r.at; gone > 0 {
		if gone > 2*span {
			r.since = now
		}
		r.n *= math.Exp(-float64(gone) / float64(span))
		r.at = now
	}
}

func (r *rate) add(now time.Duration) {
	if r.decay(now); r.n == 0 {
		r.since = now
	}
	r.added = now
	r.n++
}

// per is how many come a second.
func (r *rate) per(now time.Duration) float64 {
	r.decay(now)
	over := float64(span) * (1 - math.Exp(-float64(now-r.since)/float64(span)))
	return r.n * float64(time.Second) / max(over, float64(span)/20)
}

// known tells whether it counts for long enough.
func (r *rate) known(now time.Duration) bool {
	return r.n >= minAnswers && now-r.since >= 2*period && now-r.added < span
}
