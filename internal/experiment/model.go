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

// What both engines share: service times, speeds, arrivals and the timeline. The same seed gives both the same arrivals.

var distributions = []string{"exponential", "constant", "lognormal"}

// draw gives one service time at full speed.
func (t *Time) draw(rng *rand.Rand) time.Duration {
	mean := float64(t.Service)
	switch t.Distribution {
	case "constant":
		return time.Duration(mean)
	case "lognormal":
		// Its mean is exp(mu + sigma^2/2), its variance exp(sigma^2)-1 times the mean squared.
		sigma2 := math.Log1p(t.Variation * t.Variation)
		return time.Duration(distuv.LogNormal{Mu: math.Log(mean) - sigma2/2, Sigma: math.Sqrt(sigma2), Src: rng}.Rand())
	}
	return time.Duration(distuv.Exponential{Rate: 1, Src: rng}.Rand() * mean)
}

// at is the part of its full speed that a group has, its neighbour's work taken off.
func (g *Group) at(now time.Duration) float64 {
	n := g.Neighbour
	if n == nil || now < n.From.D() || n.Every > 0 && (now-n.From.D())%n.Every.D() >= n.Lasts.D() {
		return g.Speed
	}
	return g.Speed * (1 - n.Takes)
}

// capacity is how many requests a second the fleet does at full speed, for the mix of classes.
func (e *Experiment) capacity() float64 {
	mean, workers := 0.0, 0.0
	for _, c := range e.Classes {
		mean += c.Part * c.Service.D().Seconds()
	}
	for _, g := range e.Fleet.Groups {
		workers += float64(g.Servers*g.Workers) * g.Speed
	}
	return workers / mean
}

// arrival is a request that comes, whatever becomes of those before.
type arrival struct {
	at             time.Duration
	class, gateway int
	key            string
}

// arrivals gives an experiment's open loop in the order of time. It is not safe for several goroutines at once.
type arrivals struct {
	e       *Experiment
	rng     *rand.Rand
	zipf    *rand.Zipf
	next    time.Duration // of the process; beyond the length: none
	maximum float64       // the highest rate
	sum     float64       // of a constant one, since the last arrival
	held    []burstLeft
	from    *replaying // where the load is a trace
}

// burstLeft is a burst that is still to come, or under way.
type burstLeft struct {
	at, every time.Duration
	size, n   int
}

func (e *Experiment) arrivals(seed uint64) *arrivals {
	a := &arrivals{e: e, rng: rand.New(rand.NewPCG(seed, 0x61727269))}
	if e.trace != nil {
		a.from = &replaying{trace: e.trace}
	}
	if k := e.Load.Keys; k != nil {
		a.zipf = rand.NewZipf(a.rng, k.Exponent, 1, uint64(k.Number-1))
	}
	a.maximum = e.peak()
	for _, b := range e.Load.Bursts {
		a.held = append(a.held, burstLeft{b.At.D(), b.Every.D(), b.Size, b.Size})
	}
	a.advance()
	return a
}

// peak is the highest rate, in requests a second.
func (e *Experiment) peak() float64 {
	by := 1.0
	for _, t := range e.Load.Times {
		if by = max(by, t.By); t.Until != nil {
			by = max(by, *t.Until)
		}
	}
	return e.Load.Rate * by
}

// advance finds the process's next arrival: by thinning one of the highest rate, or by the gap that the rate gives.
func (a *arrivals) advance() {
	end := a.e.Length.D()
	if a.maximum == 0 {
		a.next = end
	}
	for a.next < end {
		if a.e.Load.Arrivals == "constant" { // the next one comes where the rate, summed up since the last one, is 1
			rate := a.e.rate(a.next)
			if left := a.gap((1 - a.sum) / max(rate, 1e-9)); left <= time.Millisecond {
				a.next, a.sum = a.next+max(left, 1), 0
				return
			}
			a.next, a.sum = a.next+time.Millisecond, a.sum+rate/1000
			continue
		}
		a.next += a.gap(a.rng.ExpFloat64() / a.maximum)
		if a.rng.Float64()*a.maximum < a.e.rate(a.next) {
			return
		}
	}
}

// gap is so many seconds, cut where they would lead far beyond the end.
func (a *arrivals) gap(seconds float64) time.Duration {
	return time.Duration(min(seconds*float64(time.Second), 2*float64(a.e.Length)))
}

// take gives the next arrival; false: there is none.
func (a *arrivals) take() (arrival, bool) {
	if a.from != nil {
		return a.from.take(a.e, a.rng)
	}
	first := -1
	for i, b := range a.held {
		if b.n > 0 && b.at < a.e.Length.D() && (first < 0 || b.at < a.held[first].at) {
			first = i
		}
	}
	at := a.next
	if first >= 0 && a.held[first].at <= a.next {
		b := &a.held[first]
		at = b.at
		if b.n--; b.n == 0 && b.every > 0 {
			b.at, b.n = b.at+b.every, b.size
		}
	} else if a.next < a.e.Length.D() {
		a.advance()
	} else {
		return arrival{}, false
	}
	x := arrival{at: at, gateway: a.rng.IntN(a.e.Gateways.Number)}
	for u := a.rng.Float64(); x.class < len(a.e.Classes)-1 && u >= a.e.Classes[x.class].Part; x.class++ {
		u -= a.e.Classes[x.class].Part
	}
	if a.zipf != nil {
		x.key = "k" + strconv.FormatUint(a.zipf.Uint64(), 10)
	}
	return x, true
}

// timeline is the events in the order of time, a flap as what it consists of.
func (e *Experiment) timeline() []Event {
	var l []Event
	for _, v := range e.Events {
		if v.Do != "flap" {
			l = append(l, v)
			continue
		}
		for i := range v.Count {
			kill, revive := v, Event{Do: "revive", Zone: v.Zone}
			kill.Do = "kill"
			kill.At += config.Duration(i) * v.Every
			revive.At = kill.At + v.Down
			l = append(l, kill, revive)
		}
	}
	slices.SortStableFunc(l, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return slices.DeleteFunc(l, func(v Event) bool { return v.At >= e.Length })
}

// takes is how long an answer is on its way, over the delay.
func (l *Link) takes(answer config.Size) time.Duration {
	if l.Bandwidth == 0 {
		return 0
	}
	return time.Duration(float64(answer) / float64(l.Bandwidth) * float64(time.Second))
}
