package drain

import (
	"errors"
	"fmt"
	"math"
)

// Scope says which gateways or endpoints a budget counts, and which of them it counts together.
type Scope struct {
	Gateways bool   `json:"gateways,omitempty"`
	Site     string `json:"site,omitempty"` // of gateways; empty: all sites
	// Cluster is whose endpoints are counted; "*" counts each cluster by itself.
	Cluster string `json:"cluster,omitempty"`
	Zone    string `json:"zone,omitempty"` // empty: all zones
	// EachZone counts each zone, and EachSite each site, by itself.
	EachZone bool `json:"each_zone,omitempty"`
	EachSite bool `json:"each_site,omitempty"`
}

// allClusters is the Scope.Cluster that stands for each cluster by itself.
const allClusters = "*"

// includesGateway reports whether the gateway is among those that the scope counts.
func (s *Scope) includesGateway(gateway Gateway) bool {
	return s.Gateways && matches(s.Site, gateway.Site) && matches(s.Zone, gateway.Zone)
}

// groupsGateways reports whether the scope counts both gateways together, where it includes the first one.
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

// includesEndpoint reports whether an endpoint of the cluster and zone is among those that the scope counts.
func (s *Scope) includesEndpoint(cluster, zone string) bool {
	return s.Cluster != "" && (s.Cluster == allClusters || s.Cluster == cluster) && matches(s.Zone, zone)
}

// groupsZones reports whether the scope counts endpoints of both zones of a cluster together, where it includes the first zone.
func (s *Scope) groupsZones(included, other string) bool {
	return matches(s.Zone, other) && (!s.EachZone || other == included)
}

// matches reports whether a value is the wanted one; an empty want matches each value.
func matches(want, value string) bool { return want == "" || want == value }

// Budget limits how many members of a scope may be unavailable at a time. Where both limits are set the lower one counts.
type Budget struct {
	Name  string `json:"name"`
	Scope Scope  `json:"scope"`
	// Max is a number of members.
	Max int `json:"most,omitempty"`
	// Fraction is a part of the members from 0 to 1, rounded down. Where Max is not set, it allows at least one of several.
	Fraction float64 `json:"part,omitempty"`
}

// allowed returns how many of a number of members may be unavailable.
func (b *Budget) allowed(total int) int {
	limit := total
	if b.Max > 0 {
		limit = min(limit, b.Max)
	}
	if b.Fraction > 0 {
		part := int(b.Fraction * float64(total))
		if part == 0 && total > 1 && b.Max == 0 {
			part = 1
		}
		limit = min(limit, part)
	}
	return limit
}

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

// hasLimit reports whether at least one limit is set, and each is in its range.
func (b *Budget) hasLimit() bool {
	if b.Max < 0 || b.Fraction < 0 || b.Fraction > 1 || math.IsNaN(b.Fraction) {
		return false
	}
	return b.Max > 0 || b.Fraction > 0
}
