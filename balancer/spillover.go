package balancer

import "time"

const (
	crossZonePenalty = 0.25 // fraction of the cross-zone price that is added to it; smaller advantages are noise
	minSpillover     = 0.02 // keeps some attempts in other zones, so that their losses stay known
)

// spillover returns the factor for the weights of another zone's servers, from minSpillover to 1. It grows with the loss in this
// proxy's zone over the loss in the other zone, relative to the cross-zone price.
func (b *Balancer) spillover(zone string, now time.Duration) float64 {
	price := b.settings.Price.CrossZone
	if price <= 0 {
		return 1
	}
	local, other := b.lossOf(b.settings.Zone, now), b.lossOf(zone, now)
	// Both means are shrunk toward their common mean. If they were shrunk toward a loss of 0, a zone with few samples would always
	// seem better.
	common := (local.sum + other.sum) / max(local.count+other.count, 1)
	advantage := local.mean(common, priorSamples) - other.mean(common, priorSamples)
	return min(max(advantage/price-crossZonePenalty, minSpillover), 1)
}

// lossOf returns the mean loss of the attempts in a zone, decayed to now. See observeOutcome for the loss.
func (b *Balancer) lossOf(zone string, now time.Duration) *decayingMean {
	return decayedByName(b.zoneLoss, zone, now, b.longWindow)
}
