package release

import (
	"cmp"
	"slices"
)

// Waves divides gateways into the waves of a release and returns their names: first one canary per site, then up to a tenth of all
// gateways, up to half, and up to all. A wave contains gateways of only one zone per site, so that a bad release affects one zone of a
// site at a time.
func Waves(gateways []Gateway) [][]string {
	planner := wavePlanner{
		total: len(gateways),
		remaining: slices.SortedFunc(slices.Values(gateways), func(x, y Gateway) int {
			return cmp.Or(cmp.Compare(x.Site, y.Site), cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.Name, y.Name))
		}),
	}
	planner.addWave(planner.total, 1)
	planner.addWaveUpTo(planner.total / 10)
	for planner.planned() < planner.total/2 {
		planner.addWaveUpTo(planner.total / 2)
	}
	for planner.planned() < planner.total {
		planner.addWaveUpTo(planner.total)
	}
	return planner.waves
}

// wavePlanner assigns gateways to waves.
type wavePlanner struct {
	total     int
	remaining []Gateway // not assigned to a wave yet
	waves     [][]string
}

// planned returns how many gateways are assigned to waves.
func (p *wavePlanner) planned() int { return p.total - len(p.remaining) }

// addWaveUpTo adds a wave that brings the number of planned gateways up to at most total.
func (p *wavePlanner) addWaveUpTo(total int) {
	p.addWave(total-p.planned(), p.total)
}

// addWave adds a wave of at most size gateways, with one zone and at most maxPerSite gateways per site. It adds no empty wave.
func (p *wavePlanner) addWave(size, maxPerSite int) {
	var wave []string
	var skipped []Gateway
	zones := map[string]string{} // by site
	counts := map[string]int{}   // by site
	for _, g := range p.remaining {
		zone, chosen := zones[g.Site]
		otherZone := chosen && zone != g.Zone
		if len(wave) >= size || otherZone || counts[g.Site] >= maxPerSite {
			skipped = append(skipped, g)
			continue
		}
		zones[g.Site] = g.Zone
		counts[g.Site]++
		wave = append(wave, g.Name)
	}
	p.remaining = skipped
	if len(wave) > 0 {
		p.waves = append(p.waves, wave)
	}
}
