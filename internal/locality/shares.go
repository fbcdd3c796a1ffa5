package locality

import "math"

// failingFactor is the fraction of its share that a Failing locality gets.
const failingFactor = 0.5

// splitLoad gives each locality its share of the load as Envoy does for priorities: a tier takes its health times the
// overprovisioning factor, and the next tier takes the rest; where all of them together are not enough, they are scaled up to the
// complete load. What a state withholds of a share goes to the next tier and is not scaled up.
func (p *Picker) splitLoad() {
	total := p.totalHealth(false)
	allEjected := total == 0 // which says nothing about single endpoints
	if allEjected {
		total = p.totalHealth(true)
	}
	left := 1.0
	forEachTier(p.localities, func(tier []*locality) {
		health := min(p.tierHealth(tier, allEjected)/max(min(total, 1), 1e-9), 1)
		var weight, allowedWeight float64
		for _, l := range tier {
			l.inPanic = (total < 1 || allEjected) && l.listed > 0 && l.belowPanicThreshold(&p.options) && l.running > l.ready
			usable := l.usableWeight(l.inPanic)
			weight += usable
			allowedWeight += usable * l.stateFactor(&p.options)
		}
		load := 0.0
		if weight > 0 {
			load = min(left, health*allowedWeight/weight)
		}
		for _, l := range tier {
			l.share = 0
			if allowedWeight > 0 {
				l.share = load * l.usableWeight(l.inPanic) * l.stateFactor(&p.options) / allowedWeight
			}
		}
		left = max(left-load, 0)
	})
}

// forEachTier calls fn for each run of localities of one rank.
func forEachTier(localities []*locality, fn func(tier []*locality)) {
	for start := 0; start < len(localities); {
		end := start + 1
		for end < len(localities) && localities[end].rank == localities[start].rank {
			end++
		}
		fn(localities[start:end])
		start = end
	}
}

// totalHealth is the sum of the tiers' health.
func (p *Picker) totalHealth(mayPanic bool) float64 {
	var total float64
	forEachTier(p.localities, func(tier []*locality) { total += p.tierHealth(tier, mayPanic) })
	return total
}

// tierHealth is what Envoy calls the health of a priority, from 0 to 1. In a panic ejected servers count as well.
func (p *Picker) tierHealth(tier []*locality, mayPanic bool) float64 {
	var listed, usable float64
	for _, l := range tier {
		listed += l.listed
		usable += l.usableWeight(mayPanic && l.belowPanicThreshold(&p.options))
	}
	if listed == 0 {
		return 0
	}
	return min(p.options.Overprovision*usable/listed, 1)
}

func (l *locality) belowPanicThreshold(o *Options) bool {
	return l.ready < o.Panic*l.listed
}

// usableWeight is the weight of the endpoints that may be used: in a panic also of ejected ones.
func (l *locality) usableWeight(inPanic bool) float64 {
	if inPanic {
		return l.running
	}
	return l.ready
}

// inUse reports whether a locality takes attempts beyond its share, retries included.
func (l *locality) inUse() bool {
	return (l.state == Up || l.state == Failing) && l.usableWeight(l.inPanic) != 0
}

// stateFactor is the fraction of its share that a locality's state leaves it.
func (l *locality) stateFactor(o *Options) float64 {
	switch l.state {
	case Failing:
		return failingFactor
	case Dark:
		return 0
	case Returning:
		return min(o.FirstShare*math.Pow(2, float64(l.rampStep)), 1)
	default:
		return 1
	}
}
