package drain

import "strings"

// Target is what a request drains: one gateway, one endpoint of a cluster, all gateways of a zone of a site, or all endpoints of a
// zone of a cluster. The fields that are set determine the kind of target.
type Target struct {
	Gateway  string `json:"gateway,omitempty"`  // member name
	Cluster  string `json:"cluster,omitempty"`  // with Endpoint or Zone
	Endpoint string `json:"endpoint,omitempty"` // address
	Site     string `json:"site,omitempty"`     // with Zone, for gateways
	Zone     string `json:"zone,omitempty"`
}

// String describes the target for operators.
func (t Target) String() string {
	switch {
	case t.Gateway != "":
		return "gateway " + t.Gateway
	case t.Endpoint != "":
		return "endpoint " + t.Cluster + "/" + t.Endpoint
	case t.Cluster != "":
		return "zone " + t.Zone + " of cluster " + t.Cluster
	}
	return strings.TrimSpace("gateways of zone " + t.Zone + " " + t.Site)
}

// OfGateways reports whether the target consists of gateways rather than endpoints.
func (t Target) OfGateways() bool { return t.Cluster == "" }

// MatchesGateway reports whether the target includes the gateway with this name, site and zone.
func (t Target) MatchesGateway(name, site, zone string) bool {
	if !t.OfGateways() {
		return false
	}
	if t.Gateway != "" {
		return t.Gateway == name
	}
	return t.Zone != "" && t.Zone == zone && t.Site == site
}

// MatchesEndpoint reports whether the target includes the cluster's endpoint with this address and zone.
func (t Target) MatchesEndpoint(cluster, address, zone string) bool {
	if t.OfGateways() || t.Cluster != cluster {
		return false
	}
	if t.Endpoint != "" {
		return t.Endpoint == address
	}
	return t.Zone != "" && t.Zone == zone
}

// isSingle reports whether the target names one gateway or one endpoint rather than a zone.
func (t Target) isSingle() bool { return t.Gateway != "" || t.Endpoint != "" }

// isWellFormed reports whether exactly the fields of one kind of target are set.
func (t Target) isWellFormed() bool {
	kinds := 0
	for _, field := range []string{t.Gateway, t.Endpoint, t.Zone} {
		if field != "" {
			kinds++
		}
	}
	if kinds != 1 {
		return false
	}
	switch {
	case t.Gateway != "":
		return t.Cluster == "" && t.Site == ""
	case t.Endpoint != "":
		return t.Cluster != "" && t.Site == ""
	default:
		return t.Cluster == "" || t.Site == ""
	}
}

// hasPattern reports whether a field contains a wildcard. Wildcards are not expanded. Targets with wildcards are rejected, so
// that no operator takes a wildcard for a working pattern.
func (t Target) hasPattern() bool {
	return strings.ContainsAny(t.Gateway+t.Endpoint+t.Cluster+t.Site+t.Zone, "*?")
}

// memberKey identifies a gateway or an endpoint in a ledger: the key of Ledger.Gateways or of Ledger.Endpoints.
type memberKey string

// endpointKey returns the key of a cluster's endpoint.
func endpointKey(cluster, address string) memberKey {
	return memberKey(cluster + "/" + address)
}

// key returns the key of a target that is a single gateway or endpoint.
func (t Target) key() memberKey {
	if t.Gateway != "" {
		return memberKey(t.Gateway)
	}
	return endpointKey(t.Cluster, t.Endpoint)
}
