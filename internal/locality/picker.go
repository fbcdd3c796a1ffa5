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
	maxLocalities       = 64      // above this number, localities that left the endpoint list are removed
	lowestCapacityShare = 2.0 / 3 // fraction of a locality's capacity that the class with the lowest weight may fill
)

// Picker chooses the localities of one cluster's attempts. It implements balancer.LocalityPicker.
type Picker struct {
	options Options
	source  *rand.PCG // source of rng
	rng     *rand.Rand

	localities []*locality // in order of preference
	listSeen   bool        // the endpoint list was not empty at least once
	classes    map[string]*class

	rejected   uint64        // requests without a locality
	rejections decayingCount // recently rejected requests
}

// class is a Class with the fraction of a locality's capacity up to which it is accepted.
type class struct {
	Class
	capacityShare float64
}

// New returns a Picker without localities. The error names the first invalid option.
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

// capacityShare returns 1 for the highest weight and falls in equal steps to lowestCapacityShare for the lowest one.
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
	return lowestCapacityShare + float64(lower)/float64(len(weights)-1)/3
}

// class returns the class with a name. An unknown class is treated as non-idempotent, with the smallest share of the capacity.
func (p *Picker) class(name string) *class {
	if c := p.classes[name]; c != nil {
		return c
	}
	unknown := Class{Name: name, PriorityWeight: 1, LatencyObjective: time.Second, Effect: balancer.NonIdempotent}
	return &class{Class: unknown, capacityShare: lowestCapacityShare}
}

// SetOverprovision changes the overprovisioning factor. Invalid factors are ignored.
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

// UpdateHealth sets the health of the localities on the endpoint list. Known localities that are not in list have left the endpoint list.
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

// add adds a locality. The localities of the first endpoint list are Up; later ones are unproven and therefore Returning.
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

// Pick returns the locality that an attempt should be sent to. If there is none, ok is false and retryAfter is the Retry-After for the
// client.
func (p *Picker) Pick(now time.Duration, request balancer.LocalityRequest) (target balancer.Locality, ok bool, retryAfter time.Duration) {
	for _, l := range p.localities {
		p.updateState(now, l)
	}
	p.splitLoad()
	if l := p.pick(now, request, p.class(request.Class)); l != nil {
		return l.id, true, 0
	}
	if request.Purpose == balancer.FirstAttempt {
		p.countRejection(now, request)
	}
	return balancer.Locality{}, false, p.retryAfter(now)
}

func (p *Picker) pick(now time.Duration, request balancer.LocalityRequest, c *class) *locality {
	switch request.Purpose {
	case balancer.FirstAttempt:
		return p.pickFirst(now, request, c)
	case balancer.Retry:
		return p.pickRetry(now, request, c)
	case balancer.Hedge:
		return p.pickHedge(now, request, c)
	default:
		return nil
	}
}

// countRejection counts a rejected request, also at the locality that it would have been sent to: the most preferred one that is on
// the endpoint list and not excluded, or the last one if there is none.
func (p *Picker) countRejection(now time.Duration, request balancer.LocalityRequest) {
	p.rejected++
	p.rejections.decay(now).count++
	last := len(p.localities) - 1
	for i, l := range p.localities {
		if l.listed > 0 && !slices.Contains(request.Excluded, l.id) || i == last {
			l.rejected++
			return
		}
	}
}

// retryAfter returns the Retry-After of a rejected request.
func (p *Picker) retryAfter(now time.Duration) time.Duration {
	served := 0.0
	for _, l := range p.localities {
		served += l.served.decay(now).count
	}
	return resource.RetryAfter(p.rejections.decay(now).count, served, p.options.MaxRetryAfter, p.rng.Float64())
}

// pickFirst picks the locality of a first attempt: a Dark one that is due for a probe, otherwise the one drawn by the shares, otherwise
// the most preferred one with capacity. A Returning locality never gets more than its share.
func (p *Picker) pickFirst(now time.Duration, request balancer.LocalityRequest, c *class) *locality {
	for _, l := range p.localities {
		if l.probeDue(now, &p.options, c) && allowed(l, request) {
			return l
		}
	}
	drawn := p.draw(request.Draw)
	if drawn != nil && allowed(drawn, request) && p.accepts(now, drawn, request, c) {
		return drawn
	}
	for _, l := range p.localities {
		if l == drawn || !l.inUse() {
			continue
		}
		if allowed(l, request) && p.accepts(now, l, request, c) {
			return l
		}
	}
	return nil
}

// draw returns the locality that u, a random number from 0 to below 1, selects by the shares; nil if u is not below their sum.
func (p *Picker) draw(u float64) *locality {
	for _, l := range p.localities {
		u -= l.share
		if u < 0 {
			return l
		}
	}
	return nil
}

// pickRetry returns the most preferred locality that has capacity and retry budget left.
func (p *Picker) pickRetry(now time.Duration, request balancer.LocalityRequest, c *class) *locality {
	for _, l := range p.localities {
		if !l.inUse() || !allowed(l, request) {
			continue
		}
		maxRetries := max(p.options.RetryShare*float64(l.inFlight), float64(p.options.MinRetries))
		if float64(l.retriesInFlight) >= maxRetries {
			l.retriesDenied++
			continue
		}
		if p.accepts(now, l, request, c) {
			return l
		}
	}
	return nil
}

// pickHedge returns the previous attempt's locality or another one that is Up and not busy. If the retry budget is spent, a hedge is
// only sent when the previous attempt's locality is not Up, and to another one: a single slow answer does not justify it.
func (p *Picker) pickHedge(now time.Duration, request balancer.LocalityRequest, c *class) *locality {
	previous := p.find(request.Previous)
	if request.BudgetSpent && previous != nil && previous.state == Up {
		return nil
	}
	for _, l := range p.localities {
		if l.state != Up || l.ready == 0 || !allowed(l, request) {
			continue
		}
		if request.BudgetSpent && l == previous {
			continue
		}
		if l.id != request.Previous && l.tooBusyForHedges(now) {
			continue
		}
		if p.accepts(now, l, request, c) {
			return l
		}
	}
	return nil
}

// allowed reports whether an attempt may go to a locality at all.
func allowed(l *locality, request balancer.LocalityRequest) bool {
	return !slices.Contains(request.Excluded, l.id) && (request.OnlyZone == "" || request.OnlyZone == l.id.Zone)
}

// accepts reports whether a locality has capacity for an attempt of a class and the attempt has enough time left for it.
func (p *Picker) accepts(now time.Duration, l *locality, request balancer.LocalityRequest, c *class) bool {
	state := l.class(request.Class)
	if state.ejected(now) {
		return false
	}
	if state.bestLatency > 0 && request.TimeLeft < time.Duration(state.bestLatency) {
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
