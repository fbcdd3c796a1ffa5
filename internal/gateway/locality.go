package gateway

import (
	"cmp"
	"fmt"
	"time"

	"robindrum/balancer"
	"robindrum/internal/admission"
	"robindrum/internal/locality"
)

// explicitZero words a value that the configuration has, for options that take 0 for one that was left out.
func explicitZero(v float64) float64 {
	if v == 0 {
		return -1
	}
	return v
}

func (s *clusterSpec) zoneOptions() locality.Options {
	z := s.zones
	return locality.Options{OwnZone: s.zone, Tiers: z.Tiers, Gateways: s.gateway.Of, Overprovision: z.Overprovision, Panic: explicitZero(*z.Panic),
		FailHold: z.FailHold.D(), DarkHold: z.DarkHold.D(), UpHold: z.UpHold.D(), Hold: z.Hold.D(), MaxHold: z.MaxHold.D(),
		ProbeInterval: z.Probe.D(), Step: z.Step.D(), Floor: explicitZero(*z.Floor), FirstShare: z.FirstShare, FirstRoom: z.FirstRoom,
		Tolerance: z.Tolerance, OwnTolerance: z.OwnTolerance, RetryShare: explicitZero(*z.RetryBudget), MinRetries: z.RetryLeast,
		OwnFree: admission.Mode(s.config.Overload.Mode) != admission.Off}
}

// newLocalityPicker makes the tiers of a cluster's core. Where the core before had some, what they knew goes on.
func (g *Gateway) newLocalityPicker(c *cluster) *locality.Picker {
	o := c.spec.zoneOptions()
	for _, k := range c.spec.classes {
		o.Classes = append(o.Classes, locality.Class{Name: k.Name, PriorityWeight: k.Worth, LatencyObjective: k.Wanted.D(), Effect: balancer.Effect(k.Effect)})
		if balancer.Effect(k.Effect) == balancer.IdempotentWithKey {
			o.Classes = append(o.Classes, locality.Class{Name: k.Name + withoutKey, PriorityWeight: k.Worth, LatencyObjective: k.Wanted.D(), Effect: balancer.NonIdempotent})
		}
	}
	log, name := g.log, c.name
	o.Notify = func(t locality.Transition) {
		args := []any{"cluster", name, "zone", t.Locality.Zone, "priority", t.Locality.Priority, "from", t.From.String(),
			"to", t.To.String(), "evidence", t.Evidence}
		if t.Hold > 0 {
			args = append(args, "hold", t.Hold.Round(time.Millisecond).String())
		}
		log.Warn("zone", args...)
	}
	b, err := locality.New(o, uint64(g.Now()))
	if err != nil { // the configuration was checked: this cannot be
		panic(fmt.Sprintf("cluster %s: %v", name, err))
	}
	if c.current != nil && c.current.localities != nil {
		var old []locality.Report
		c.current.core.Inspect(func(now time.Duration) { old = c.current.localities.Report(now) })
		b.Inherit(g.Now(), old)
	}
	return b
}

// updateOverprovision tells the tiers of the factor that counts now.
func (in *coreInstance) updateOverprovision() {
	if in.localities != nil {
		f := cmp.Or(in.cluster.overprovision, in.cluster.spec.zones.Overprovision)
		in.core.Inspect(func(time.Duration) { in.localities.SetOverprovision(f) })
	}
}

// ZoneStatus is about a locality of a cluster.
type ZoneStatus struct {
	Zone               string  `json:"zone"`
	Priority           int     `json:"priority,omitempty"`
	Tier               int     `json:"tier"`
	State              string  `json:"state"`
	StateSeconds       float64 `json:"state_seconds"`
	Evidence           string  `json:"evidence,omitempty"`
	Health             float64 `json:"health"` // the part of its endpoints' weight that is ready
	Panic              bool    `json:"panic,omitempty"`
	Share              float64 `json:"share"` // of the load, that it gets
	Step               float64 `json:"step"`  // of its share, that its state leaves it
	InFlight           int     `json:"in_flight"`
	MaxInFlight        float64 `json:"room,omitempty"` // requests at once that it may get; none: no bound
	Sent               uint64  `json:"sent"`
	Crossed            uint64  `json:"crossed"`
	RejectedNoCapacity uint64  `json:"refused_no_room"`
	SkippedNoTime      uint64  `json:"passed_over_no_time"`
	Retries            uint64  `json:"retries"`
	RetriesDenied      uint64  `json:"retries_denied"`
	Probes             uint64  `json:"probes"`
	Transitions        uint64  `json:"transitions"`
}

func (in *coreInstance) zoneStatus() (l []ZoneStatus) {
	if in.localities == nil {
		return nil
	}
	in.core.Inspect(func(now time.Duration) {
		for _, r := range in.localities.Report(now) {
			l = append(l, ZoneStatus{Zone: r.Locality.Zone, Priority: r.Locality.Priority, Tier: r.Tier, State: r.State.String(),
				StateSeconds: max(now-r.Since, 0).Seconds(), Evidence: r.Evidence, Health: r.Health, Panic: r.Panic, Share: r.Share, Step: r.Step,
				InFlight: r.InFlight, MaxInFlight: r.Room, Sent: r.Sent, Crossed: r.Crossed, RejectedNoCapacity: r.Refused, SkippedNoTime: r.NoTime,
				Retries: r.Retries, RetriesDenied: r.RetriesDenied, Probes: r.Probes, Transitions: r.Transitions})
		}
	})
	return l
}
