package simprotocol

import (
	"fmt"

	"robindrum/balancer"
)

// The wire's words for the balancer's values.
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

// Settings maps the wire's settings to the balancer's. It returns an error that names the field with an unknown value.
func (i *Info) Settings() (balancer.Settings, error) {
	c, k := &i.Caps, &i.Contract
	s := balancer.Settings{
		Zone: i.AZ, Zones: i.AZs, Index: i.Me, Proxies: i.Replicas,
		OverQuotaWeight: i.OverShareWorth, WeightByWork: i.WorthBy == "work",
		MaxAttempts: c.Attempts, ParallelAttempts: c.Parallel, MayCancel: c.MayCancel, MayHealthCheck: c.Probes,
		RetryAfter: c.RetryAfter, MaxRetryAfter: c.MaxRetryAfter, ConnectTimeout: c.ConnectTimeout,
		ConnIdle: c.ConnIdle, Multiplex: c.Multiplex, WarmKeys: i.FamilyInfo.WarmKeys,
		Polled: i.Discovery == "on_request", MaxPollInterval: k.MustAskIn,
		AnswerGrace: k.Grace, DrainGrace: k.DrainGrace, WarmUpTime: k.Cold, WarmUpShare: k.ColdShare,
		OverloadMultiple: k.FallMultiple, OverloadWindow: k.OverloadFor,
		Price: balancer.Prices{CrossZone: i.Costs["cross-zone"], Waste: i.Costs["waste"],
			Connection: i.Costs["connection"], Handshake: i.Costs["handshake"], HealthCheck: i.Costs["probe"],
			LateFail: i.Costs["late-fail"], Discovery: i.Costs["discovery"], Gossip: i.Costs["peer"]},
		Weights: weights[i.WeightSource], Report: reports[i.Reporting.How],
	}
	for _, p := range i.Profiles {
		effect, ok := effects[p.Effect]
		if !ok {
			return s, fmt.Errorf("profiles[%q].effect: %q is not known", p.Name, p.Effect)
		}
		group, ok := groups[p.Group]
		if !ok {
			return s, fmt.Errorf("profiles[%q].group: %q is not known", p.Name, p.Group)
		}
		s.Classes = append(s.Classes, balancer.Class{Name: p.Name, LatencyObjective: p.SLO, ObjectiveStretch: p.AimStretch,
			Deadline: p.Deadline, Effect: effect, Group: group, Window: p.Window, PriorityWeight: p.Gain,
			LatePriorityWeight: p.LateValue, Stream: p.Stream})
	}
	for _, t := range i.Tenants {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: t.Name, Rate: t.Quota, Quota: t.Fraction})
	}
	return s, nil
}
