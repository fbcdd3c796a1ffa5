package locality

import (
	"math"
	"time"

	"robindrum/balancer"
)

// Report is the state of a locality.
type Report struct {
	Locality      balancer.Locality
	Tier          int // from 0
	State         State
	Since         time.Duration // when it came to the state
	Evidence      string
	Health        float64 // fraction of its endpoints' weight that is ready
	Panic         bool    // ejected endpoints are used as well
	Share         float64 // of the load
	Step          float64 // fraction of its share that its state leaves it
	InFlight      int
	Room          float64 // attempts in flight that it may have; 0: unlimited
	Sent          uint64
	Crossed       uint64 // of the sent attempts, those that left the gateway's zone
	Refused       uint64 // requests rejected for want of capacity
	NoTime        uint64 // attempts that it did not get as they had too little time left
	Retries       uint64
	RetriesDenied uint64 // by the retry budget
	Probes        uint64
	Transitions   uint64
}

// Report returns the state of all localities, in order of preference.
func (p *Picker) Report(now time.Duration) []Report {
	reports := make([]Report, 0, len(p.localities))
	tier := 0
	for i, l := range p.localities {
		if i > 0 && l.rank != p.localities[i-1].rank {
			tier++
		}
		reports = append(reports, l.report(tier, &p.options))
	}
	return reports
}

func (l *locality) report(tier int, o *Options) Report {
	r := Report{
		Locality:      l.id,
		Tier:          tier,
		State:         l.state,
		Since:         l.stateSince,
		Evidence:      l.evidence,
		Panic:         l.inPanic,
		Share:         l.share,
		Step:          l.stateFactor(o),
		InFlight:      l.inFlight,
		Sent:          l.sent,
		Crossed:       l.crossed,
		Refused:       l.rejected,
		NoTime:        l.skippedForTime,
		Retries:       l.retriesSent,
		RetriesDenied: l.retriesDenied,
		Probes:        l.probesSent,
		Transitions:   l.transitions,
	}
	if l.listed > 0 {
		r.Health = l.ready / l.listed
	}
	if !math.IsInf(l.capacity.max, 1) {
		r.Room = l.capacity.max
	}
	return r
}

// Refused returns how many requests were rejected for want of capacity anywhere.
func (p *Picker) Refused() uint64 { return p.rejected }

// Inherit takes over what another Picker knew of the localities' states, where the cluster gets new options.
func (p *Picker) Inherit(now time.Duration, old []Report) {
	for _, r := range old {
		l := p.find(r.Locality)
		if l == nil {
			l = p.add(now, r.Locality)
		}
		l.state = r.State
		l.stateSince = r.Since
		l.evidence = r.Evidence
		switch r.State {
		case Dark:
			l.darkUntil = now + p.options.Hold
			l.nextProbeAt = now
			l.consecutiveOutages = 1
		case Returning:
			l.rampStep = rampStepOf(r.Step, p.options.FirstShare)
			l.rampStepAt = now
		}
		p.listSeen = true
	}
	p.splitLoad()
}

// rampStepOf is the step of a recovery ramp that leaves a locality this fraction of its share.
func rampStepOf(fraction, firstShare float64) int {
	doublings := math.Log2(max(fraction, firstShare) / firstShare)
	return max(int(math.Round(doublings)), 0)
}
