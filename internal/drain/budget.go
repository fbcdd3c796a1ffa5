package drain

import (
	"errors"
	"fmt"
	"math"
)

// Scope selects the gateways or the endpoints that a budget covers, and how they are grouped: the budget applies to each group
// separately.
type Scope struct {
	// Gateways selects gateways. Exactly one of Gateways and Cluster has to be set.
	Gateways bool   `json:"gateways,omitempty"`
	Site     string `json:"site,omitempty"` // of the gateways; empty: all sites
	// Cluster selects the endpoints of one cluster; "*" selects those of all clusters and counts each cluster separately.
	Cluster string `json:"cluster,omitempty"`
	Zone    string `json:"zone,omitempty"` // empty: all zones
	// EachZone counts each zone separately, and EachSite each site.
	EachZone bool `json:"each_zone,omitempty"`
	EachSite bool `json:"each_site,omitempty"`
}

// allClusters is the value of Scope.Cluster that selects all clusters.
const allClusters = "*"

// includesGateway reports whether the scope covers the gateway.
func (s *Scope) includesGateway(gateway Gateway) bool {
	return s.Gateways && matches(s.Site, gateway.Site) && matches(s.Zone, gateway.Zone)
}

// groupsGateways reports whether the scope covers the other gateway and counts it in the same group as the included one, which the
// scope must cover.
func (s *Scope) groupsGateways(included, other Gateway) bool {
	switch {
	case !s.includesGateway(other):
		return false
	case s.EachSite && other.Site != included.Site:
		return false
	case s.EachZone && (other.Zone != included.Zone || other.Site != included.Site):
		return false
	}
	return true
}

// includesEndpoint reports whether the scope covers endpoints of the cluster in the zone.
func (s *Scope) includesEndpoint(cluster, zone string) bool {
	return s.Cluster != "" && (s.Cluster == allClusters || s.Cluster == cluster) && matches(s.Zone, zone)
}

// groupsZones reports whether the scope covers the other zone of a cluster and counts its endpoints in the same group as those of the
// included zone, which the scope must cover.
func (s *Scope) groupsZones(included, other string) bool {
	return matches(s.Zone, other) && (!s.EachZone || other == included)
}

// matches reports whether value equals want. An empty want matches every value.
func matches(want, value string) bool { return want == "" || want == value }

// Budget limits how many members of a scope may be unavailable at the same time. If both limits are set, the lower one applies.
type Budget struct {
	Name  string `json:"name"`
	Scope Scope  `json:"scope"`
	// Max is a number of members; 0: no such limit.
	Max int `json:"most,omitempty"`
	// Fraction is a share of the members from 0 to 1, rounded down; 0: no such limit. If Max is not set, a group of two or more
	// members may always have one unavailable.
	Fraction float64 `json:"part,omitempty"`
}

// allowed returns how many members of a group of the given size may be unavailable.
func (b *Budget) allowed(total int) int {
	limit := total
	if b.Max > 0 {
		limit = min(limit, b.Max)
	}
	if b.Fraction > 0 {
		share := int(b.Fraction * float64(total))
		if share == 0 && total > 1 && b.Max == 0 {
			share = 1
		}
		limit = min(limit, share)
	}
	return limit
}

// validate returns an error for a budget without a usable name, scope or limit.
func (b *Budget) validate() error {
	switch {
	case b.Name == "" || len(b.Name) > maxTextBytes:
		return errors.New("a budget without a name")
	case b.Scope.Gateways == (b.Scope.Cluster != ""):
		return fmt.Errorf("budget %s: it counts gateways, or the endpoints of a cluster", b.Name)
	case !b.hasLimit():
		return fmt.Errorf("budget %s: want a number, a part from 0 to 1, or both", b.Name)
	}
	return nil
}

// hasLimit reports whether at least one limit is set and both are within their ranges.
func (b *Budget) hasLimit() bool {
	if b.Max < 0 || b.Fraction < 0 || b.Fraction > 1 || math.IsNaN(b.Fraction) {
		return false
	}
	return b.Max > 0 || b.Fraction > 0
}
