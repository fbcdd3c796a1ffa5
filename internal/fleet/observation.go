package fleet

import (
	"maps"
	"time"

	"robindrum/internal/drain"
	"robindrum/internal/membership"
	"robindrum/internal/quorum"
)

// unhealthyFraction is the fraction of the answering gateways whose reports make an endpoint unhealthy.
const unhealthyFraction = 1.0 / 3

// gatewayReport is a gateway and its report.
type gatewayReport struct {
	member membership.Member
	full   bool    // a full report is requested
	report *Report // nil if the gateway has not answered
}

// reportTargets returns the gateways among the members. A full report is requested from one gateway of each site that is not dead. Dead
// members are included, since they may be unreachable only for the other members, or have returned without being detected yet.
func reportTargets(members []membership.Member) []gatewayReport {
	targets := make([]gatewayReport, 0, len(members))
	sitesCovered := map[string]bool{}
	for _, m := range members {
		if m.State == membership.Witness || m.State == membership.Gone {
			continue
		}
		full := m.State != membership.Dead && !sitesCovered[m.Site]
		if full {
			sitesCovered[m.Site] = true
		}
		targets = append(targets, gatewayReport{member: m, full: full})
	}
	return targets
}

// drainProgress is the sum of the gateways' reports on one drain.
type drainProgress struct {
	inFlight int
	reports  int // gateways that have reported
}

// mergedReports is the result of merging the reports of all gateways.
type mergedReports struct {
	observation *quorum.Observation
	answered    int                      // gateways that have answered
	progress    map[string]drainProgress // by the drain request's ID
}

// mergeReports merges the gateways' reports on a version of the drain view into one observation, with the endpoints in no particular
// order.
func mergeReports(version uint64, reports []gatewayReport) mergedReports {
	merged := mergedReports{
		observation: &quorum.Observation{Version: version},
		progress:    map[string]drainProgress{},
	}
	health := endpointHealth{}
	for _, r := range reports {
		gateway := drain.Gateway{Name: r.member.Name, Site: r.member.Site, Zone: r.member.Zone, Incarnation: r.member.Incarnation}
		if r.report != nil {
			gateway.Incarnation = r.report.Incarnation
			gateway.Serving = r.report.Serving
			merged.answered++
			merged.addProgress(r.report.InFlight)
			health.add(r.report.Endpoints)
		}
		merged.observation.Gateways = append(merged.observation.Gateways, gateway)
		merged.observation.Releases = append(merged.observation.Releases, releaseGateway(gateway, r.report))
	}
	merged.observation.Endpoints = health.endpoints(merged.answered)
	return merged
}

func (m *mergedReports) addProgress(inFlight map[string]int) {
	for id, count := range inFlight {
		progress := m.progress[id]
		progress.inFlight += count
		progress.reports++
		m.progress[id] = progress
	}
}

// endpointKey identifies an endpoint.
type endpointKey struct {
	cluster string
	address string
}

// reportedEndpoint is an endpoint that at least one gateway has reported.
type reportedEndpoint struct {
	endpoint  drain.Endpoint
	unhealthy int // gateways that report it as unhealthy
}

// endpointHealth collects the gateways' reports on endpoints.
type endpointHealth map[endpointKey]reportedEndpoint

func (h endpointHealth) add(endpoints []drain.Endpoint) {
	for _, endpoint := range endpoints {
		key := endpointKey{cluster: endpoint.Cluster, address: endpoint.Address}
		reported := h[key]
		reported.endpoint = endpoint
		if !endpoint.Healthy {
			reported.unhealthy++
		}
		h[key] = reported
	}
}

// endpoints returns all reported endpoints. An endpoint is unhealthy if at least one gateway, and at least unhealthyFraction of the
// gateways that answered, report it as unhealthy.
func (h endpointHealth) endpoints(answered int) []drain.Endpoint {
	threshold := max(unhealthyFraction*float64(answered), 1)
	var endpoints []drain.Endpoint
	for _, reported := range h {
		endpoint := reported.endpoint
		endpoint.Healthy = float64(reported.unhealthy) < threshold
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

// absentGateways maps the name of each absent gateway that the quorum knows to the time at which its absence began.
type absentGateways map[string]time.Duration

// update returns the known gateways that are not present, marked as not serving. Gateways that have been absent for forgetAfter are
// forgotten: update does not return them.
func (a absentGateways) update(now, forgetAfter time.Duration, present, known []drain.Gateway) []drain.Gateway {
	isPresent := map[string]bool{}
	for _, gateway := range present {
		isPresent[gateway.Name] = true
		delete(a, gateway.Name)
	}
	var absent []drain.Gateway
	for _, gateway := range known {
		since, ok := a[gateway.Name]
		if !ok {
			since = now
		}
		if isPresent[gateway.Name] || now-since >= forgetAfter {
			continue
		}
		a[gateway.Name] = since
		gateway.Serving = false
		absent = append(absent, gateway)
	}
	// Entries are kept for longer than forgetAfter. Otherwise a forgotten gateway that the quorum still knows would count as newly absent.
	maps.DeleteFunc(a, func(_ string, since time.Duration) bool { return now-since >= 2*forgetAfter })
	return absent
}
