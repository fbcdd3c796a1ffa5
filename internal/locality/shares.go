package locality

import "math"

// failingFactor is the fraction of its share that a Failing locality gets.
const failingFactor = 0.5

// splitLoad sets each locality's share of the load, as Envoy does for priorities: a tier takes a fraction equal to its health, which
// includes the overprovisioning factor, and the next tier takes the rest. If the tiers' health adds up to less than 1, all fractions
// are scaled up to cover the complete load. Load that a locality does not get because of its state goes to the next tier and is not
// scaled up.
func (p *Picker) splitLoad() {
	total := p.totalHealth(false)
	allEjected := total == 0 // then ejection does not tell good endpoints from bad ones
	if allEjected {
		total = p.totalHealth(true)
	}
	remaining := 1.0
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
			load = min(remaining, health*allowedWeight/weight)
		}
		for _, l := range tier {
			l.share = 0
			if allowedWeight > 0 {
				l.share = load * l.usableWeight(l.inPanic) * l.stateFactor(&p.options) / allowedWeight
			}
		}
		remaining = max(remaining-load, 0)
	})
}

// forEachTier calls fn with the localities of each rank, in order of preference. localities must be sorted by rank.
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

// totalHealth returns the sum of the tiers' health.
func (p *Picker) totalHealth(allowPanic bool) float64 {
	var total float64
	forEachTier(p.localities, func(tier []*locality) { total += p.tierHealth(tier, allowPanic) })
	return total
}

// tierHealth returns what Envoy calls the health of a priority, from 0 to 1. If allowPanic is set, ejected endpoints of localities below
// the panic threshold count as well.
func (p *Picker) tierHealth(tier []*locality, allowPanic bool) float64 {
	var listed, usable float64
	for _, l := range tier {
		listed += l.listed
		usable += l.usableWeight(allowPanic && l.belowPanicThreshold(&p.options))
	}
	if listed == 0 {
		return 0
	}
	return min(p.options.Overprovision*usable/listed, 1)
}

func (l *locality) belowPanicThreshold(o *Options) bool {
	return l.ready < o.Panic*l.listed
}

// usableWeight returns the weight of the endpoints that may be used, which in panic includes ejected ones.
func (l *locality) usableWeight(inPanic bool) float64 {
	if inPanic {
		return l.running
	}
	return l.ready
}

// inUse reports whether a locality may take attempts beyond its share, including retries.
func (l *locality) inUse() bool {
	return (l.state == Up || l.state == Failing) && l.usableWeight(l.inPanic) != 0
}

// stateFactor returns the fraction of its share that a locality gets in its state.
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
