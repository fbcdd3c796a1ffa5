package balancer

import "time"

const (
	crossZonePenalty = 0.25 // part of the cross-zone price by which another zone must be better; less is noise of the samples
	minSpillover     = 0.02 // so that the other zones stay known
)

// spillover is the factor of the weights of another zone's servers: it grows as the loss at home exceeds the loss there by more
// than the price of crossing.
func (b *Balancer) spillover(zone string, now time.Duration) float64 {
	price := b.settings.Price.CrossZone
	if price <= 0 {
		return 1
	}
	home, other := b.lossOf(b.settings.Zone, now), b.lossOf(zone, now)
	// The means are shrunk toward the mean of both: a zone with few samples would always be the better one if they were shrunk
	// toward no loss.
	both := (home.sum + other.sum) / max(home.count+other.count, 1)
	advantage := home.mean(both, priorSamples) - other.mean(both, priorSamples)
	return min(max(advantage/price-crossZonePenalty, minSpillover), 1)
}

// lossOf is the lost value of the attempts in a zone.
func (b *Balancer) lossOf(zone string, now time.Duration) *decayingMean {
	return decayedByName(b.zoneLoss, zone, now, b.longWindow)
}
