package balancer

import (
	"math"
	"time"
)

// decayingMean is a mean whose samples lose weight exponentially over time. Its zero value has no samples.
type decayingMean struct {
	sum       float64
	count     float64
	decayedAt time.Duration
}

// decay applies the decay up to now and returns m.
func (m *decayingMean) decay(now, timeConstant time.Duration) *decayingMean {
	if now > m.decayedAt {
		factor := math.Exp(-float64(now-m.decayedAt) / float64(timeConstant))
		m.sum *= factor
		m.count *= factor
		m.decayedAt = now
	}
	return m
}

func (m *decayingMean) add(x float64) {
	m.sum += x
	m.count++
}

// mean returns the mean of the samples and of a prior that counts as priorCount samples.
func (m *decayingMean) mean(prior, priorCount float64) float64 {
	return (m.sum + prior*priorCount) / (m.count + priorCount)
}

// decayedByName returns the mean with the given name, decayed to now. A missing mean is added to the map.
func decayedByName(means map[string]*decayingMean, name string, now, timeConstant time.Duration) *decayingMean {
	m := means[name]
	if m == nil {
		m = &decayingMean{decayedAt: now}
		means[name] = m
	}
	return m.decay(now, timeConstant)
}
