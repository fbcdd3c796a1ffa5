package simprotocol

import (
	"fmt"

	"robindrum/balancer"
)

// Values of the balancer by their names in the protocol.
var (
	effects     = map[string]balancer.Effect{"free": balancer.Idempotent, "guarded": balancer.IdempotentWithKey, "single_shot": balancer.NonIdempotent}
	groups      = map[string]balancer.Group{"": 0, "all": balancer.GroupAll, "zone": balancer.GroupZone, "cell": balancer.GroupCell}
	states      = map[string]balancer.State{"Running": balancer.Running, "Stopping": balancer.Draining, "Deleted": balancer.Removed}
	weights     = map[string]balancer.WeightSource{"off": 0, "nominal": balancer.WeightNominal, "rough": balancer.WeightRough, "live": balancer.WeightLive}
	reports     = map[string]balancer.ReportMode{"off": 0, "inline": balancer.ReportAnswers, "on_probe": balancer.ReportHealthChecks}
	updateKinds = map[string]balancer.UpdateKind{"changes": balancer.UpdateDelta, "all": balancer.UpdateSnapshot, "remembered": balancer.UpdateCached, "refused": balancer.UpdateFailed}
	results     = map[string]balancer.Result{"served": balancer.Served, "server_error": balancer.ServerError, "turned_away": balancer.Rejected,
		"no_answer": balancer.TimedOut, "no_connection": balancer.NotConnected, "connection_lost": balancer.ConnectionLost,
		"called_off": balancer.Cancelled, "not_sent": balancer.NotSent}
)

// Settings converts the simulator's settings to the balancer's. An unknown effect or group of a profile is an error; an unknown weight
// source or report mode counts as off.
func (info *Info) Settings() (balancer.Settings, error) {
	caps, contract := &info.Caps, &info.Contract
	settings := balancer.Settings{
		Zone: info.AZ, Zones: info.AZs, Index: info.Me, Proxies: info.Replicas,
		OverQuotaWeight: info.OverShareWorth, WeightByWork: info.WorthBy == "work",
		MaxAttempts: caps.Attempts, ParallelAttempts: caps.Parallel, MayCancel: caps.MayCancel, MayHealthCheck: caps.Probes,
		RetryAfter: caps.RetryAfter, MaxRetryAfter: caps.MaxRetryAfter, ConnectTimeout: caps.ConnectTimeout,
		ConnIdle: caps.ConnIdle, Multiplex: caps.Multiplex, WarmKeys: info.FamilyInfo.WarmKeys,
		Polled: info.Discovery == "on_request", MaxPollInterval: contract.MustAskIn,
		AnswerGrace: contract.Grace, DrainGrace: contract.DrainGrace, WarmUpTime: contract.Cold, WarmUpShare: contract.ColdShare,
		OverloadMultiple: contract.FallMultiple, OverloadWindow: contract.OverloadFor,
		Price: balancer.Prices{CrossZone: info.Costs["cross-zone"], Waste: info.Costs["waste"],
			Connection: info.Costs["connection"], Handshake: info.Costs["handshake"], HealthCheck: info.Costs["probe"],
			LateFail: info.Costs["late-fail"], Discovery: info.Costs["discovery"], Gossip: info.Costs["peer"]},
		Weights: weights[info.WeightSource], Report: reports[info.Reporting.How],
	}
	for _, p := range info.Profiles {
		effect, ok := effects[p.Effect]
		if !ok {
			return settings, fmt.Errorf("profiles[%q].effect: unknown value %q", p.Name, p.Effect)
		}
		group, ok := groups[p.Group]
		if !ok {
			return settings, fmt.Errorf("profiles[%q].group: unknown value %q", p.Name, p.Group)
		}
		settings.Classes = append(settings.Classes, balancer.Class{Name: p.Name, LatencyObjective: p.SLO, ObjectiveStretch: p.AimStretch,
			Deadline: p.Deadline, Effect: effect, Group: group, Window: p.Window, PriorityWeight: p.Gain,
			LatePriorityWeight: p.LateValue, Stream: p.Stream})
	}
	for _, t := range info.Tenants {
		settings.Tenants = append(settings.Tenants, balancer.Tenant{Name: t.Name, Rate: t.Quota, Quota: t.Fraction})
	}
	return settings, nil
}
