package admission

import (
	"math"
	"slices"
	"time"

	"robindrum/balancer"
)

const (
	minResponses       = 8    // minimum number of responses of a class for a usable quantile
	maxSamples         = 64   // latencies of a class that are kept per period
	observedQuantile   = 0.25 // of the latencies; queueing also delays the faster responses, a few slow requests do not
	smoothingSamples   = 32   // a new latency has a weight of 1/smoothingSamples in the mean
	slowConnectDivisor = 4    // a connection failure within objective/slowConnectDivisor is no sign of overload
)

// observations holds the observations of a class: those of the current period, and averages over earlier ones. Latencies are in
// nanoseconds; 0 means unknown.
type observations struct {
	baseline                float64       // estimate of the observed quantile without queueing
	baselineAt              time.Duration // when the baseline was last updated
	mean                    float64       // exponentially weighted
	deviation               float64       // exponentially weighted mean absolute deviation
	responses               rate
	quantileBeforeDecreases float64 // the observed quantile when the current run of decreases began

	latencies [maxSamples]float64
	served    int // attempts with a response in the period
	late      int // served attempts that exceeded the latency objective
	shed      int // attempts that failed in a way that shows overload
	attempts  int // all attempts of the period
}

// target returns the highest value of the observed quantile that shows no queueing: four times the baseline, limited to between a
// sixth and a third of the latency objective. It is at least 1.5 times the baseline, for responses that are slow without queueing.
func (k *class) target() float64 {
	objective := float64(k.LatencyObjective)
	return max(min(objective/3, max(4*k.baseline, objective/6)), 1.5*k.baseline)
}

// observe records an attempt. An attempt sent before the last decrease of the limit is not counted in the period, because it does
// not show the effect of the current limit.
func (k *class) observe(now time.Duration, s balancer.AttemptSample, limitDecreasedAt time.Duration) {
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
	k.responses.add(now)
	if k.mean == 0 {
		k.mean = latency
	}
	k.deviation += (math.Abs(latency-k.mean) - k.deviation) / smoothingSamples
	k.mean += (latency - k.mean) / smoothingSamples
}

// showsOverload reports whether a failed attempt is a sign of overload. An immediate failure means that the endpoint is unhealthy,
// not that it is overloaded.
func (k *class) showsOverload(s balancer.AttemptSample) bool {
	switch s.Result {
	case balancer.Rejected:
		return true
	case balancer.TimedOut:
		return s.Latency > k.LatencyObjective
	case balancer.NotConnected:
		return float64(s.Latency) > float64(k.LatencyObjective)/slowConnectDivisor
	default:
		return false
	}
}

// updateBaseline returns the quantile of the period and updates the baseline. The baseline falls immediately and rises slowly. It
// rises even more slowly if recentlyDecreased is true, because responses may include queueing then. lowLoad means that few requests
// were in flight, over all gateways if they carry similar load. The cluster may already be overloaded in the first period, so the
// first baseline is limited to an eighth of the latency objective unless lowLoad is true.
func (k *class) updateBaseline(now time.Duration, recentlyDecreased, lowLoad bool) (quantile float64, ok bool) {
	quantile, ok = k.quantile()
	if !ok {
		return 0, false
	}
	switch {
	case k.baseline == 0 && !lowLoad:
		k.baseline = min(quantile, float64(k.LatencyObjective)/8)
	case k.baseline == 0 || quantile < k.baseline:
		k.baseline = quantile
	case lowLoad:
		k.baseline = min(quantile, k.baseline*2)
	default:
		risePerSecond := 0.1
		if recentlyDecreased {
			risePerSecond = 0.01
		}
		elapsed := min((now - k.baselineAt).Seconds(), 1)
		k.baseline = min(quantile, k.baseline*(1+risePerSecond*elapsed))
	}
	k.baselineAt = now
	return quantile, true
}

// quantile returns the observed quantile of the period. ok is false if there are fewer than minResponses responses.
func (k *class) quantile() (quantile float64, ok bool) {
	if k.served < minResponses {
		return 0, false
	}
	latencies := k.latencies
	sorted := latencies[:min(k.served, maxSamples)]
	slices.Sort(sorted)
	return sorted[int(observedQuantile*float64(len(sorted)-1))], true
}

// clearPeriod resets the counters of the period.
func (k *class) clearPeriod() {
	k.served, k.late, k.shed, k.attempts = 0, 0, 0, 0
}
