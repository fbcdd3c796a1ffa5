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

// speedAt returns the speed of the group's servers, reduced by the share that an active noisy neighbour takes.
func (g *Group) speedAt(now time.Duration) float64 {
	neighbour := g.Neighbour
	if neighbour == nil || now < neighbour.Start.D() || neighbour.Period > 0 && (now-neighbour.Start.D())%neighbour.Period.D() >= neighbour.Duration.D() {
		return g.Speed
	}
	return g.Speed * (1 - neighbour.SpeedShare)
}

// capacity returns the requests per second that the fleet can serve at full speed with its mix of classes.
func (e *Experiment) capacity() float64 {
	mean, workers := 0.0, 0.0
	for _, class := range e.Classes {
		mean += class.LoadShare * class.MeanServiceTime.D().Seconds()
	}
	for _, group := range e.Fleet.Groups {
		workers += float64(group.Servers*group.Workers) * group.Speed
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

// arrival is a request of the load and the time at which it is due.
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
	next       time.Duration // next arrival of the configured rate; none if not before the end
	peakRate   float64       // requests per second
	expected   float64       // constant arrivals: integral of the rate since the last arrival
	bursts     []pendingBurst
	replay     *traceReplay // nil unless the load is a trace
}

// pendingBurst is a burst whose requests have not all been taken yet.
type pendingBurst struct {
	at, period      time.Duration
	size, remaining int
}

// arrivals returns the arrivals of the open loop for a seed.
func (e *Experiment) arrivals(seed uint64) *arrivals {
	a := &arrivals{experiment: e, rng: rand.New(rand.NewPCG(seed, 0x61727269))}
	if e.trace != nil {
		a.replay = &traceReplay{trace: e.trace}
	}
	if keys := e.Load.Keys; keys != nil {
		a.zipf = rand.NewZipf(a.rng, keys.ZipfExponent, 1, uint64(keys.Count-1))
	}
	a.peakRate = e.peakRate()
	for _, burst := range e.Load.Bursts {
		a.bursts = append(a.bursts, pendingBurst{burst.At.D(), burst.Period.D(), burst.Size, burst.Size})
	}
	a.advance()
	return a
}

// rateAt returns the rate of the open loop in requests per second, without its bursts.
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
	if onOff := e.Load.OnOff; onOff != nil && at%(onOff.On.D()+onOff.Off.D()) >= onOff.On.D() {
		return 0
	}
	return e.Load.Rate * multiplier
}

// peakRate returns the highest rate of the open loop in requests per second, without its bursts.
func (e *Experiment) peakRate() float64 {
	multiplier := 1.0
	for _, span := range e.Load.RateSpans {
		if multiplier = max(multiplier, span.Multiplier); span.FinalMultiplier != nil {
			multiplier = max(multiplier, *span.FinalMultiplier)
		}
	}
	return e.Load.Rate * multiplier
}

// advance sets next to the following arrival. Poisson arrivals are drawn at the peak rate and thinned to the current rate; a constant
// arrival is due when the integral of the rate reaches 1.
func (a *arrivals) advance() {
	end := a.experiment.Length.D()
	if a.peakRate == 0 {
		a.next = end
	}
	for a.next < end {
		if a.experiment.Load.Arrivals == "constant" {
			rate := a.experiment.rateAt(a.next)
			if gap := a.boundedGap((1 - a.expected) / max(rate, 1e-9)); gap <= time.Millisecond {
				a.next, a.expected = a.next+max(gap, 1), 0
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

// take returns the next arrival, or false if there is none.
func (a *arrivals) take() (arrival, bool) {
	if a.replay != nil {
		return a.replay.take(a.experiment, a.rng)
	}
	first := -1
	for i, burst := range a.bursts {
		if burst.remaining > 0 && burst.at < a.experiment.Length.D() && (first < 0 || burst.at < a.bursts[first].at) {
			first = i
		}
	}
	at := a.next
	if first >= 0 && a.bursts[first].at <= a.next {
		burst := &a.bursts[first]
		at = burst.at
		if burst.remaining--; burst.remaining == 0 && burst.period > 0 {
			burst.at, burst.remaining = burst.at+burst.period, burst.size
		}
	} else if a.next < a.experiment.Length.D() {
		a.advance()
	} else {
		return arrival{}, false
	}
	request := arrival{at: at, gateway: a.rng.IntN(a.experiment.Gateways.Count)}
	request.class = a.experiment.classAt(a.rng.Float64())
	if a.zipf != nil {
		request.key = "k" + strconv.FormatUint(a.zipf.Uint64(), 10)
	}
	return request, true
}

// timeline returns the events in order of time, with each flap replaced by its kills and revivals.
func (e *Experiment) timeline() []Event {
	var events []Event
	for _, event := range e.Events {
		if event.Action != "flap" {
			events = append(events, event)
			continue
		}
		for i := range event.Count {
			kill, revive := event, Event{Action: "revive", Zone: event.Zone}
			kill.Action = "kill"
			kill.At += config.Duration(i) * event.Period
			revive.At = kill.At + event.Downtime
			events = append(events, kill, revive)
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return slices.DeleteFunc(events, func(event Event) bool { return event.At >= e.Length })
}

// transferTime returns the time that the bandwidth adds to the delay of a response.
func (l *Link) transferTime(size config.Size) time.Duration {
	if l.Bandwidth == 0 {
		return 0
	}
	return time.Duration(float64(size) / float64(l.Bandwidth) * float64(time.Second))
}
