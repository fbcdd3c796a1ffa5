package fleet

import (
	"cmp"
	"slices"
	"time"

	"robindrum/balancer"
)

// failoverRetryAfter is the Retry-After time of a request for which no server is ready.
const failoverRetryAfter = time.Second

// failoverPicker picks the gateway's own zone while that has a ready server, and otherwise the first other zone by name that has one. It
// implements balancer.LocalityPicker.
type failoverPicker struct {
	ownZone    string
	localities []balancer.LocalityHealth // in order of preference
}

func (p *failoverPicker) UpdateHealth(_ time.Duration, localities []balancer.LocalityHealth) {
	p.localities = slices.Clone(localities)
	slices.SortStableFunc(p.localities, p.compare)
}

func (p *failoverPicker) compare(a, b balancer.LocalityHealth) int {
	aIsOwn, bIsOwn := a.Zone == p.ownZone, b.Zone == p.ownZone
	switch {
	case aIsOwn == bIsOwn:
		return cmp.Compare(a.Zone, b.Zone)
	case aIsOwn:
		return -1
	}
	return 1
}

func (p *failoverPicker) Pick(_ time.Duration, r balancer.LocalityRequest) (balancer.Locality, bool, time.Duration) {
	for _, health := range p.localities {
		allowed := r.OnlyZone == "" || r.OnlyZone == health.Zone
		if allowed && health.Ready > 0 && !slices.Contains(r.Excluded, health.Locality) {
			return health.Locality, true, 0
		}
	}
	return balancer.Locality{}, false, failoverRetryAfter
}

func (*failoverPicker) AttemptSent(time.Duration, balancer.Locality, balancer.LocalityRequest) {}

func (*failoverPicker) AttemptEnded(time.Duration, balancer.Locality, balancer.LocalityRequest, balancer.Result, time.Duration) {
}
