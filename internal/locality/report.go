package locality

import (
	"math"
	"time"

	"robindrum/balancer"
)

// Report describes the state of a locality.
type Report struct {
	Locality      balancer.Locality
	Tier          int // 0 is the most preferred one
	State         State
	Since         time.Duration // when the locality entered State
	Evidence      string        // for the last transition or step of the recovery ramp
	Health        float64       // fraction of its endpoints' weight that is ready
	Panic         bool          // ejected endpoints are used as well
	Share         float64       // fraction of the cluster's load
	Step          float64       // fraction of its share that the locality gets in its state
	InFlight      int
	Room          float64 // limit of attempts in flight; 0: unlimited
	Sent          uint64
	Crossed       uint64 // attempts that left the gateway's zone: Sent, or 0 for the own zone
	Rejected      uint64 // requests rejected for lack of capacity
	NoTime        uint64 // attempts not sent because too little time was left
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
		Rejected:      l.rejected,
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

// Rejected returns how many requests were rejected because no locality had capacity.
func (p *Picker) Rejected() uint64 { return p.rejected }

// Inherit adopts the states of the localities from the reports of another Picker. It is used when a cluster gets new options.
func (p *Picker) Inherit(now time.Duration, reports []Report) {
	for _, r := range reports {
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

// rampStepOf returns the step of the recovery ramp at which a locality gets a fraction of its share.
func rampStepOf(fraction, firstShare float64) int {
	doublings := math.Log2(max(fraction, firstShare) / firstShare)
	return max(int(math.Round(doublings)), 0)
}
