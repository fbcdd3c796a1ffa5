package locality

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"robindrum/balancer"
	"robindrum/internal/resource"
)

const (
	maxLocalities  = 64      // those that left the list are forgotten above this number
	lowestCapacity = 2.0 / 3 // fraction of a locality's capacity that the class with the lowest weight may fill
)

// Picker decides for one cluster. It implements balancer.LocalityPicker.
type Picker struct {
	options Options
	source  *rand.PCG // of rng
	rng     *rand.Rand

	localities []*locality // in order of preference
	listSeen   bool        // there was a locality on the list
	classes    map[string]*class

	rejected   uint64        // requests without a locality
	rejections decayingCount // the same
}

// class is a class and the fraction of a locality's capacity that it may fill, together with all classes of a lower weight.
type class struct {
	Class
	capacityShare float64
}

// New returns a Picker without localities. The error names the option that cannot be used.
func New(o Options, seed uint64) (*Picker, error) {
	o.Fill()
	if err := o.Check(); err != nil {
		return nil, err
	}
	p := &Picker{options: o, source: rand.NewPCG(seed, 0x7a6f6e65), classes: map[string]*class{}}
	p.rng = rand.New(p.source)
	weights := map[float64]bool{}
	for _, c := range o.Classes {
		weights[c.PriorityWeight] = true
		p.classes[c.Name] = &class{Class: c}
	}
	for _, c := range p.classes {
		c.capacityShare = capacityShare(c.PriorityWeight, weights)
	}
	return p, nil
}

// capacityShare is 1 for the highest weight and falls in equal steps to lowestCapacity.
func capacityShare(weight float64, weights map[float64]bool) float64 {
	if len(weights) <= 1 {
		return 1
	}
	lower := 0
	for w := range weights {
		if w < weight {
			lower++
		}
	}
	return lowestCapacity + float64(lower)/float64(len(weights)-1)/3
}

// class returns the class of a name. An unknown one is taken for one of the lowest weight that is not idempotent.
func (p *Picker) class(name string) *class {
	if c := p.classes[name]; c != nil {
		return c
	}
	unknown := Class{Name: name, PriorityWeight: 1, LatencyObjective: time.Second, Effect: balancer.NonIdempotent}
	return &class{Class: unknown, capacityShare: lowestCapacity}
}

// SetOverprovision changes the overprovisioning factor. One that cannot be used changes nothing.
func (p *Picker) SetOverprovision(factor float64) {
	if validOverprovision(factor) {
		p.options.Overprovision = factor
		p.splitLoad()
	}
}

// rank orders localities by preference: by their priority, then by the tier of their zone.
type rank struct {
	priority int
	zoneTier int
}

func (p *Picker) rank(l balancer.Locality) rank {
	return rank{priority: l.Priority, zoneTier: p.zoneTier(l.Zone)}
}

func (p *Picker) zoneTier(zone string) int {
	tiers := p.options.Tiers
	if len(tiers) == 0 {
		if zone == p.options.OwnZone {
			return 0
		}
		return 1
	}
	tierOfOthers := len(tiers)
	for i, zones := range tiers {
		if slices.Contains(zones, zone) {
			return i
		}
		if slices.Contains(zones, "*") {
			tierOfOthers = i
		}
	}
	return tierOfOthers
}

func compareRank(x, y rank) int {
	return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(x.zoneTier, y.zoneTier))
}

func comparePreference(x, y *locality) int {
	return cmp.Or(compareRank(x.rank, y.rank), cmp.Compare(x.id.Zone, y.id.Zone))
}

// UpdateHealth takes the health of the localities on the endpoint list. Others have left the list.
func (p *Picker) UpdateHealth(now time.Duration, list []balancer.LocalityHealth) {
	for _, l := range p.localities {
		l.listed, l.running, l.ready = 0, 0, 0
	}
	for _, health := range list {
		l := p.find(health.Locality)
		if l == nil {
			l = p.add(now, health.Locality)
		}
		l.listed, l.running, l.ready = health.Listed, health.Running, health.Ready
	}
	p.listSeen = p.listSeen || len(list) > 0
	for _, l := range p.localities {
		p.updateState(now, l)
	}
	if len(p.localities) > maxLocalities {
		p.localities = slices.DeleteFunc(p.localities, func(l *locality) bool { return l.listed == 0 && l.inFlight == 0 })
	}
	p.splitLoad()
}

func (p *Picker) find(id balancer.Locality) *locality {
	for _, l := range p.localities {
		if l.id == id {
			return l
		}
	}
	return nil
}

// add adds a locality. Those of the first list are Up; one that comes later has shown nothing yet and is Returning.
func (p *Picker) add(now time.Duration, id balancer.Locality) *locality {
	l := &locality{
		id:           id,
		rank:         p.rank(id),
		own:          id.Zone == p.options.OwnZone,
		byClass:      map[string]*classState{},
		lastAnswerAt: now,
	}
	l.capacity.reset(&p.options, l.own)
	if p.listSeen {
		l.state = Returning
		l.stateSince = now
		l.rampStepAt = now
		l.evidence = "new on the list"
	}
	i, _ := slices.BinarySearchFunc(p.localities, l, comparePreference)
	p.localities = slices.Insert(p.localities, i, l)
	return l
}

// Pick returns the locality of an attempt; ok is false if there is none, and retryAfter is when the client may come back then.
func (p *Picker) Pick(now time.Duration, a balancer.LocalityRequest) (at balancer.Locality, ok bool, retryAfter time.Duration) {
	for _, l := range p.localities {
		p.updateState(now, l)
	}
	p.splitLoad()
	if l := p.pick(now, a, p.class(a.Class)); l != nil {
		return l.id, true, 0
	}
	if a.Purpose == balancer.FirstAttempt {
		p.countRejection(now, a)
	}
	return balancer.Locality{}, false, p.retryAfter(now)
}

func (p *Picker) pick(now time.Duration, a balancer.LocalityRequest, c *class) *locality {
	switch a.Purpose {
	case balancer.FirstAttempt:
		return p.pickFirst(now, a, c)
	case balancer.Retry:
		return p.pickRetry(now, a, c)
	case balancer.Hedge:
		return p.pickHedge(now, a, c)
	default:
		return nil
	}
}

// countRejection counts a rejected request, also at the locality that it would have gone to: the most preferred one that was not
// excluded.
func (p *Picker) countRejection(now time.Duration, a balancer.LocalityRequest) {
	p.rejected++
	p.rejections.decay(now).count++
	last := len(p.localities) - 1
	for i, l := range p.localities {
		if l.listed > 0 && !slices.Contains(a.Excluded, l.id) || i == last {
			l.rejected++
			return
		}
	}
}

// retryAfter is the Retry-After of a rejected request.
func (p *Picker) retryAfter(now time.Duration) time.Duration {
	served := 0.0
	for _, l := range p.localities {
		served += l.served.decay(now).count
	}
	return resource.RetryAfter(p.rejections.decay(now).count, served, p.options.MaxRetryAfter, p.rng.Float64())
}

// pickFirst returns a Dark locality that is due a probe, the one drawn by the shares, or the most preferred one with capacity. A
// locality that is Returning gets its share and no more.
func (p *Picker) pickFirst(now time.Duration, a balancer.LocalityRequest, c *class) *locality {
	for _, l := range p.localities {
		if l.probeDue(now, &p.options, c) && allowed(l, a) {
			return l
		}
	}
	drawn := p.draw(a.Draw)
	if drawn != nil && allowed(drawn, a) && p.accepts(now, drawn, a, c) {
		return drawn
	}
	for _, l := range p.localities {
		if l == drawn || !l.inUse() {
			continue
		}
		if allowed(l, a) && p.accepts(now, l, a, c) {
			return l
		}
	}
	return nil
}

// draw returns the locality of a random number by the shares; nil where they add up to less.
func (p *Picker) draw(u float64) *locality {
	for _, l := range p.localities {
		u -= l.share
		if u < 0 {
			return l
		}
	}
	return nil
}

// pickRetry returns the most preferred locality that has capacity and a retry budget.
func (p *Picker) pickRetry(now time.Duration, a balancer.LocalityRequest, c *class) *locality {
	for _, l := range p.localities {
		if !l.inUse() || !allowed(l, a) {
			continue
		}
		maxRetries := max(p.options.RetryShare*float64(l.inFlight), float64(p.options.MinRetries))
		if float64(l.retriesInFlight) >= maxRetries {
			l.retriesDenied++
			continue
		}
		if p.accepts(now, l, a, c) {
			return l
		}
	}
	return nil
}

// pickHedge returns the previous attempt's locality or another one that is Up and not busy. Without a budget a hedge only leaves a
// locality that is not Up: a single slow answer is no reason for it.
func (p *Picker) pickHedge(now time.Duration, a balancer.LocalityRequest, c *class) *locality {
	previous := p.find(a.Previous)
	if a.BudgetSpent && previous != nil && previous.state == Up {
		return nil
	}
	for _, l := range p.localities {
		if l.state != Up || l.ready == 0 || !allowed(l, a) {
			continue
		}
		if a.BudgetSpent && l == previous {
			continue
		}
		if l.id != a.Previous && l.halfFull(now) {
			continue
		}
		if p.accepts(now, l, a, c) {
			return l
		}
	}
	return nil
}

// allowed reports whether an attempt may go to a locality at all.
func allowed(l *locality, a balancer.LocalityRequest) bool {
	return !slices.Contains(a.Excluded, l.id) && (a.OnlyZone == "" || a.OnlyZone == l.id.Zone)
}

// accepts reports whether a locality has capacity for an attempt of a class, and the attempt enough time for it.
func (p *Picker) accepts(now time.Duration, l *locality, a balancer.LocalityRequest, c *class) bool {
	state := l.class(a.Class)
	if state.ejected(now) {
		return false
	}
	if state.bestLatency > 0 && a.TimeLeft < time.Duration(state.bestLatency) {
		l.skippedForTime++
		return false
	}
	inFlight := float64(l.inFlight)
	if inFlight < l.capacity.max*c.capacityShare {
		return true
	}
	floor := max(p.options.Floor*l.capacity.max, 1)
	return float64(state.inFlight) < floor && inFlight < l.capacity.max*(1+p.options.Floor)
}
