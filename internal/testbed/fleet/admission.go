package fleet

import (
	"time"

	"robindrum/balancer"
	"robindrum/internal/admission"
)

// NewAdmission returns a function for Options.Admission that gives each gateway an admission.Controller with the classes of o.
func NewAdmission(o Options, options admission.Options) func(gateway int) (balancer.Admission, error) {
	for _, class := range o.Classes {
		options.Classes = append(options.Classes, admission.Class{
			Name:             class.Name,
			PriorityWeight:   class.PriorityWeight,
			LatencyObjective: class.LatencyObjective,
		})
	}
	options.Gateways = o.Gateways
	return func(gateway int) (balancer.Admission, error) {
		return admission.New(options, o.Seed*100+uint64(gateway))
	}
}

// NewAIMD returns a function for Options.Admission that gives each gateway a limit of requests in flight with additive increase and
// multiplicative decrease, as a baseline for comparisons. The limit rises by about one after as many in-time responses as the limit, and
// falls by a tenth, at most once per 100 ms, for a late response, a rejection or a failure. No request is queued, and all classes are
// treated alike.
func NewAIMD(o Options, initialLimit float64) func(gateway int) (balancer.Admission, error) {
	objectives := map[string]time.Duration{}
	for _, class := range o.Classes {
		objectives[class.Name] = class.LatencyObjective
	}
	return func(int) (balancer.Admission, error) {
		return &aimd{limit: initialLimit, objectives: objectives}, nil
	}
}

const (
	aimdDecrease         = 0.9
	aimdDecreaseInterval = 100 * time.Millisecond
	aimdMinLimit         = 1
	aimdRetryAfter       = time.Second
)

// aimd implements balancer.Admission.
type aimd struct {
	limit       float64
	inFlight    int
	decreasedAt time.Duration
	objectives  map[string]time.Duration // by class
}

func (a *aimd) SetEndpoints(time.Duration, int) {}

func (a *aimd) Arrive(time.Duration, balancer.Arrival) (balancer.AdmissionDecision, time.Duration) {
	if float64(a.inFlight) >= a.limit {
		return balancer.Reject, aimdRetryAfter
	}
	a.inFlight++
	return balancer.Admit, 0
}

func (a *aimd) Next(time.Duration) (uint64, balancer.AdmissionDecision, time.Duration, bool) {
	return 0, 0, 0, false
}

func (a *aimd) Withdraw(uint64) {}

func (a *aimd) Release(time.Duration, bool) { a.inFlight-- }

func (a *aimd) AttemptEnded(now time.Duration, sample balancer.AttemptSample) {
	switch {
	case sample.Result == balancer.Cancelled || sample.Result == balancer.NotSent:
	case sample.Result == balancer.Served && sample.Latency <= a.objectives[sample.Class]:
		a.limit += 1 / a.limit
	case now-a.decreasedAt > aimdDecreaseInterval:
		a.limit = max(a.limit*aimdDecrease, aimdMinLimit)
		a.decreasedAt = now
	}
}

func (a *aimd) MayRetry(time.Duration, bool) bool { return true }

func (a *aimd) RetryStarted(time.Duration, bool) {}
