package admission

import (
	"math"
	"slices"
	"time"

	"robindrum/balancer"
)

const (
	minAnswers        = 8    // answers of a class that make evidence
	maxSamples        = 64   // latencies of a class that are retained in a period
	observedQuantile  = 0.25 // of the latencies: queueing shows in the quicker answers too, slow requests do not
	smoothingSamples  = 32   // of which a new latency counts for one
	slowConnectFactor = 4    // a connection that fails within the objective over this factor shows no overload
)

// observations are what attempts of a class showed in the period under way, and what is known from before. Latencies are in
// nanoseconds; 0 is unknown.
type observations struct {
	baseline       float64 // the observed quantile without queueing
	baselineAt     time.Duration
	mean           float64
	deviation      float64 // mean deviation
	answers        rate
	quantileAtFall float64 // the observed quantile when the fall of the limit under way began

	latencies [maxSamples]float64
	served    int // in the period
	late      int // of the served attempts
	shed      int // attempts that were rejected or had no answer in time
	attempts  int // in the period
}

// target is the quantile above which answers were queued: four times the baseline, but no less than a sixth and no more than a
// third of the latency objective. Where answers take longer than that by themselves, it is half above the baseline.
func (k *class) target() float64 {
	objective := float64(k.LatencyObjective)
	return max(min(objective/3, max(4*k.baseline, objective/6)), 1.5*k.baseline)
}

// observe takes an attempt. One that was sent before the limit last fell says nothing about the present limit.
func (k *class) observe(now time.Duration, s balancer.Sample, limitDecreasedAt time.Duration) {
	latency := float64(s.Latency)
	served := s.Result == balancer.Served
	if served {
		k.observeLatency(now, latency)
	}
	if s.SentAt < limitDecreasedAt {
		return
	}
	k.attempts++
	switch {
	case served:
		k.latencies[k.served%maxSamples] = latency
		k.served++
		if s.Latency > k.LatencyObjective {
			k.late++
		}
	case k.showsOverload(s):
		k.shed++
	}
}

func (k *class) observeLatency(now time.Duration, latency float64) {
	k.answers.add(now)
	if k.mean == 0 {
		k.mean = latency
	}
	k.deviation += (math.Abs(latency-k.mean) - k.deviation) / smoothingSamples
	k.mean += (latency - k.mean) / smoothingSamples
}

// showsOverload reports whether a failed attempt is a sign of overload. One that fails at once shows that the endpoint is
// unhealthy, not that it is overloaded.
func (k *class) showsOverload(s balancer.Sample) bool {
	switch s.Result {
	case balancer.Rejected:
		return true
	case balancer.TimedOut:
		return s.Latency > k.LatencyObjective
	case balancer.NotConnected:
		return float64(s.Latency) > float64(k.LatencyObjective)/slowConnectFactor
	default:
		return false
	}
}

// updateBaseline returns the quantile of the period and updates the baseline: it falls at once and rises slowly, the more so
// while the cluster is overloaded, as answers are queued then. calm says that few requests were in flight, over all gateways if the
// others do alike. The first period may be one of overload, so that a first baseline above an eighth of the objective needs a calm
// period.
func (k *class) updateBaseline(now time.Duration, overloaded, calm bool) (quantile float64, ok bool) {
	quantile, ok = k.quantile()
	if !ok {
		return 0, false
	}
	switch {
	case k.baseline == 0 && !calm:
		k.baseline = min(quantile, float64(k.LatencyObjective)/8)
	case k.baseline == 0 || quantile < k.baseline:
		k.baseline = quantile
	case calm:
		k.baseline = min(quantile, k.baseline*2)
	default:
		risePerSecond := 0.1
		if overloaded {
			risePerSecond = 0.01
		}
		elapsed := min((now - k.baselineAt).Seconds(), 1)
		k.baseline = min(quantile, k.baseline*(1+risePerSecond*elapsed))
	}
	k.baselineAt = now
	return quantile, true
}

// quantile returns the observed quantile of the period, if there are enough answers.
func (k *class) quantile() (quantile float64, ok bool) {
	if k.served < minAnswers {
		return 0, false
	}
	latencies := k.latencies
	sorted := latencies[:min(k.served, maxSamples)]
	slices.Sort(sorted)
	return sorted[int(observedQuantile*float64(len(sorted)-1))], true
}

// clearPeriod drops the observations of the period.
func (k *class) clearPeriod() {
	k.served, k.late, k.shed, k.attempts = 0, 0, 0, 0
}
