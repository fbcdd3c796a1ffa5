package experiment

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"robindrum/internal/config"
)

// distributions are the values of ServiceTime.Distribution.
var distributions = []string{"exponential", "constant", "lognormal"}

// draw returns a random service time at full speed.
func (t *ServiceTime) draw(rng *rand.Rand) time.Duration {
	mean := float64(t.MeanServiceTime)
	switch t.Distribution {
	case "constant":
		return time.Duration(mean)
	case "lognormal":
		// The mean is exp(mu + sigma^2/2), the variance exp(sigma^2)-1 times the mean squared.
		sigma2 := math.Log1p(t.Variation * t.Variation)
		return time.Duration(distuv.LogNormal{Mu: math.Log(mean) - sigma2/2, Sigma: math.Sqrt(sigma2), Src: rng}.Rand())
	}
	return time.Duration(distuv.Exponential{Rate: 1, Src: rng}.Rand() * mean)
}

// speedAt returns the speed of the group's servers, without the share that a noisy neighbour takes.
func (g *Group) speedAt(now time.Duration) float64 {
	n := g.Neighbour
	if n == nil || now < n.Start.D() || n.Period > 0 && (now-n.Start.D())%n.Period.D() >= n.Duration.D() {
		return g.Speed
	}
	return g.Speed * (1 - n.SpeedShare)
}

// capacity returns the requests a second that the fleet can serve at full speed, for the mix of classes.
func (e *Experiment) capacity() float64 {
	mean, workers := 0.0, 0.0
	for _, c := range e.Classes {
		mean += c.LoadShare * c.MeanServiceTime.D().Seconds()
	}
	for _, g := range e.Fleet.Groups {
		workers += float64(g.Servers*g.Workers) * g.Speed
	}
	return workers / mean
}

// classAt returns the index of the class at a point of the classes' cumulative load shares, from 0 to 1.
func (e *Experiment) classAt(point float64) int {
	class := 0
	for class < len(e.Classes)-1 && point >= e.Classes[class].LoadShare {
		point -= e.Classes[class].LoadShare
		class++
	}
	return class
}

// arrival is a request of the load.
type arrival struct {
	at             time.Duration
	class, gateway int
	key            string
}

// arrivals yields the requests of the open loop in order of time. The same seed gives both engines the same arrivals. It is not safe
// for concurrent use.
type arrivals struct {
	experiment *Experiment
	rng        *rand.Rand
	zipf       *rand.Zipf
	next       time.Duration // arrival of the rate; beyond the length: none
	peakRate   float64       // requests a second
	expected   float64       // constant arrivals: the rate integrated since the last one
	bursts     []pendingBurst
	replay     *traceReplay // nil unless the load is a trace
}

// pendingBurst is a burst of which requests remain.
type pendingBurst struct {
	at, period      time.Duration
	size, remaining int
}

func (e *Experiment) arrivals(seed uint64) *arrivals {
	a := &arrivals{experiment: e, rng: rand.New(rand.NewPCG(seed, 0x61727269))}
	if e.trace != nil {
		a.replay = &traceReplay{trace: e.trace}
	}
	if k := e.Load.Keys; k != nil {
		a.zipf = rand.NewZipf(a.rng, k.ZipfExponent, 1, uint64(k.Count-1))
	}
	a.peakRate = e.peakRate()
	for _, b := range e.Load.Bursts {
		a.bursts = append(a.bursts, pendingBurst{b.At.D(), b.Period.D(), b.Size, b.Size})
	}
	a.advance()
	return a
}

// rateAt returns the rate of the open loop in requests a second, without its bursts.
func (e *Experiment) rateAt(at time.Duration) float64 {
	multiplier := 1.0
	for _, span := range e.Load.RateSpans {
		if at < span.Start.D() || at >= span.End.D() {
			continue
		}
		multiplier = span.Multiplier
		if span.FinalMultiplier != nil {
			multiplier += (*span.FinalMultiplier - span.Multiplier) * float64(at-span.Start.D()) / float64(span.End-span.Start)
		}
	}
	if o := e.Load.OnOff; o != nil && at%(o.On.D()+o.Off.D()) >= o.On.D() {
		return 0
	}
	return e.Load.Rate * multiplier
}

// peakRate returns the highest rate of the open loop in requests a second, without its bursts.
func (e *Experiment) peakRate() float64 {
	by := 1.0
	for _, t := range e.Load.RateSpans {
		if by = max(by, t.Multiplier); t.FinalMultiplier != nil {
			by = max(by, *t.FinalMultiplier)
		}
	}
	return e.Load.Rate * by
}

// advance finds the next arrival of the rate: a Poisson one by thinning arrivals of the peak rate, a constant one where the integrated
// rate reaches 1.
func (a *arrivals) advance() {
	end := a.experiment.Length.D()
	if a.peakRate == 0 {
		a.next = end
	}
	for a.next < end {
		if a.experiment.Load.Arrivals == "constant" {
			rate := a.experiment.rateAt(a.next)
			if left := a.boundedGap((1 - a.expected) / max(rate, 1e-9)); left <= time.Millisecond {
				a.next, a.expected = a.next+max(left, 1), 0
				return
			}
			a.next, a.expected = a.next+time.Millisecond, a.expected+rate/1000
			continue
		}
		a.next += a.boundedGap(a.rng.ExpFloat64() / a.peakRate)
		if a.rng.Float64()*a.peakRate < a.experiment.rateAt(a.next) {
			return
		}
	}
}

// boundedGap converts seconds to a duration, at most twice the length of the experiment.
func (a *arrivals) boundedGap(seconds float64) time.Duration {
	return time.Duration(min(seconds*float64(time.Second), 2*float64(a.experiment.Length)))
}

// take returns the next arrival; false: there is none.
func (a *arrivals) take() (arrival, bool) {
	if a.replay != nil {
		return a.replay.take(a.experiment, a.rng)
	}
	first := -1
	for i, b := range a.bursts {
		if b.remaining > 0 && b.at < a.experiment.Length.D() && (first < 0 || b.at < a.bursts[first].at) {
			first = i
		}
	}
	at := a.next
	if first >= 0 && a.bursts[first].at <= a.next {
		b := &a.bursts[first]
		at = b.at
		if b.remaining--; b.remaining == 0 && b.period > 0 {
			b.at, b.remaining = b.at+b.period, b.size
		}
	} else if a.next < a.experiment.Length.D() {
		a.advance()
	} else {
		return arrival{}, false
	}
	x := arrival{at: at, gateway: a.rng.IntN(a.experiment.Gateways.Count)}
	x.class = a.experiment.classAt(a.rng.Float64())
	if a.zipf != nil {
		x.key = "k" + strconv.FormatUint(a.zipf.Uint64(), 10)
	}
	return x, true
}

// timeline returns the events in order of time, with a flap as its kills and revivals.
func (e *Experiment) timeline() []Event {
	var l []Event
	for _, v := range e.Events {
		if v.Action != "flap" {
			l = append(l, v)
			continue
		}
		for i := range v.Count {
			kill, revive := v, Event{Action: "revive", Zone: v.Zone}
			kill.Action = "kill"
			kill.At += config.Duration(i) * v.Period
			revive.At = kill.At + v.Downtime
			l = append(l, kill, revive)
		}
	}
	slices.SortStableFunc(l, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return slices.DeleteFunc(l, func(v Event) bool { return v.At >= e.Length })
}

// transferTime returns the time that the bandwidth adds to the delay of a response.
func (l *Link) transferTime(answer config.Size) time.Duration {
	if l.Bandwidth == 0 {
		return 0
	}
	return time.Duration(float64(answer) / float64(l.Bandwidth) * float64(time.Second))
}
