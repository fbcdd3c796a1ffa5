package balancer

import (
	"math"
	"time"
)

// decayingMean is a mean whose samples lose weight exponentially as time passes.
type decayingMean struct {
	sum       float64
	count     float64
	decayedAt time.Duration
}

// decay brings the mean to now and returns it.
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

// mean returns the mean of the samples and of a prior that counts for priorCount of them.
func (m *decayingMean) mean(prior, priorCount float64) float64 {
	return (m.sum + prior*priorCount) / (m.count + priorCount)
}

// decayedByName returns the mean of a name, decayed to now. An absent one is added.
func decayedByName(means map[string]*decayingMean, name string, now, timeConstant time.Duration) *decayingMean {
	m := means[name]
	if m == nil {
		m = &decayingMean{decayedAt: now}
		means[name] = m
	}
	return m.decay(now, timeConstant)
}
