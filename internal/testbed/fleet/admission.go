package fleet

import (
	"math"
	"slices"
	"time"

	"robindrum/balancer"
	"robindrum/internal/admission"
)

// NewAdmission gives the admissions of Options.Admission: a Controller each, with the classes of o.
func NewAdmission(o Options, a admission.Options) func(int) (balancer.Admission, error) {
	for _, c := range o.Classes {
		a.Classes = append(a.Classes, admission.Class{Name: c.Name, PriorityWeight: c.PriorityWeight, LatencyObjective: c.LatencyObjective})
	}
	a.Gateways = o.Gateways
	return func(i int) (balancer.Admission, error) { return admission.New(a, o.Seed*100+uint64(i)) }
}

// NewAIMD gives the plain alternative to an evidence of standing requests: a limit that rises by one for each answer in time
// and falls by a tenth, once in 100 ms, for one that is late or turned away. Nothing waits, nothing is worth more.
func NewAIMD(o Options, first float64) func(int) (balancer.Admission, error) {
	wanted := map[string]time.Duration{}
	for _, c := range o.Classes {
		wanted[c.Name] = c.LatencyObjective
	}
	return func(int) (balancer.Admission, error) { return &aimd{limit: first, wanted: wanted}, nil }
}

type aimd struct {
	limit  float64
	active int
	cut    time.Duration
	wanted map[string]time.Duration
}

func (a *aimd) SetEndpoints(time.Duration, int) {}
func (a *aimd) Arrive(time.Duration, balancer.Arrival) (balancer.Verdict, time.Duration) {
	if float64(a.active) >= a.limit {
		return balancer.Reject, time.Second
	}
	a.active++
	return balancer.Admit, 0
}
func (a *aimd) Next(time.Duration) (uint64, balancer.Verdict, time.Duration, bool) {
	return 0, 0, 0, false
}
func (a *aimd) Withdraw(uint64)          {}
func (a *aimd) Done(time.Duration, bool) { a.active-- }
func (a *aimd) AttemptEnded(now time.Duration, s balancer.Sample) {
	switch {
	case s.Result == balancer.Cancelled || s.Result == balancer.NotSent:
	case s.Result == balancer.Served && s.Latency <= a.wanted[s.Class]:
		a.limit += 1 / a.limit
	case now-a.cut > 100*time.Millisecond:
		a.limit, a.cut = max(a.limit*0.9, 1), now
	}
}
func (a *aimd) MayRetry(time.Duration, bool) bool { return true }
func (a *aimd) RetryStarted(time.Duration, bool)  {}

// Quantile is the time within which the part q of the answers of all classes came; 0 where there were none.
func (p *Phase) Quantile(q float64) time.Duration {
	var all []time.Duration
	for _, c := range p.Classes {
		all = append(all, c.Latencies...)
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[int(math.Ceil(q*float64(len(all))))-1]
}
