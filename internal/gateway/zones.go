package gateway

import (
	"cmp"
	"fmt"
	"time"

	"robindrum/balancer"
	"robindrum/internal/admission"
	"robindrum/internal/locality"
)

// orNone words a value that the configuration has, for options that take 0 for one that was left out.
func orNone(v float64) float64 {
	if v == 0 {
		return -1
	}
	return v
}

func (s *spec) zoneOptions() locality.Options {
	z := s.zones
	return locality.Options{OwnZone: s.zone, Tiers: z.Tiers, Gateways: s.gateway.Of, Overprovision: z.Overprovision, Panic: orNone(*z.Panic),
		FailHold: z.FailHold.D(), DarkHold: z.DarkHold.D(), UpHold: z.UpHold.D(), Hold: z.Hold.D(), MaxHold: z.MaxHold.D(),
		ProbeInterval: z.Probe.D(), Step: z.Step.D(), Floor: orNone(*z.Floor), FirstShare: z.FirstShare, FirstRoom: z.FirstRoom,
		Tolerance: z.Tolerance, OwnTolerance: z.OwnTolerance, RetryShare: orNone(*z.RetryBudget), MinRetries: z.RetryLeast,
		OwnFree: admission.Mode(s.conf.Overload.Mode) != admission.Off}
}

// book makes the tiers of a cluster's core. Where the core before had some, what they knew goes on.
func (g *Gateway) book(c *cluster) *locality.Picker {
	o := c.spec.zoneOptions()
	for _, k := range c.spec.classes {
		o.Classes = append(o.Classes, locality.Class{Name: k.Name, PriorityWeight: k.Worth, LatencyObjective: k.Wanted.D(), Effect: balancer.Effect(k.Effect)})
		if balancer.Effect(k.Effect) == balancer.IdempotentWithKey {
			o.Classes = append(o.Classes, locality.Class{Name: k.Name + unkeyed, PriorityWeight: k.Worth, LatencyObjective: k.Wanted.D(), Effect: balancer.NonIdempotent})
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
	if c.in != nil && c.in.zones != nil {
		var old []locality.Report
		c.in.core.Inspect(func(now time.Duration) { old = c.in.zones.Report(now) })
		b.Inherit(g.Now(), old)
	}
	return b
}

// overprovision tells the tiers of the factor that counts now.
func (in *instance) overprovision() {
	if in.zones != nil {
		f := cmp.Or(in.of.overprovision, in.of.spec.zones.Overprovision)
		in.core.Inspect(func(time.Duration) { in.zones.SetOverprovision(f) })
	}
}

// ZoneStatus is about a locality of a cluster.
type ZoneStatus struct {
	Zone          string  `json:"zone"`
	Priority      int     `json:"priority,omitempty"`
	Tier          int     `json:"tier"`
	State         string  `json:"state"`
	Seconds       float64 `json:"state_seconds"`
	Evidence      string  `json:"evidence,omitempty"`
	Health        float64 `json:"health"` // the part of its endpoints' weight that is ready
	Panic         bool    `json:"panic,omitempty"`
	Share         float64 `json:"share"` // of the load, that it gets
	Step          float64 `json:"step"`  // of its share, that its state leaves it
	InFlight      int     `json:"in_flight"`
	Room          float64 `json:"room,omitempty"` // requests at once that it may get; none: no bound
	Sent          uint64  `json:"sent"`
	Crossed       uint64  `json:"crossed"`
	Refused       uint64  `json:"refused_no_room"`
	NoTime        uint64  `json:"passed_over_no_time"`
	Retries       uint64  `json:"retries"`
	RetriesDenied uint64  `json:"retries_denied"`
	Probes        uint64  `json:"probes"`
	Transitions   uint64  `json:"transitions"`
}

func (in *instance) zoneStatus() (l []ZoneStatus) {
	if in.zones == nil {
		return nil
	}
	in.core.Inspect(func(now time.Duration) {
		for _, r := range in.zones.Report(now) {
			l = append(l, ZoneStatus{Zone: r.Locality.Zone, Priority: r.Locality.Priority, Tier: r.Tier, State: r.State.String(),
				Seconds: max(now-r.Since, 0).Seconds(), Evidence: r.Evidence, Health: r.Health, Panic: r.Panic, Share: r.Share, Step: r.Step,
				InFlight: r.InFlight, Room: r.Room, Sent: r.Sent, Crossed: r.Crossed, Refused: r.Refused, NoTime: r.NoTime,
				Retries: r.Retries, RetriesDenied: r.RetriesDenied, Probes: r.Probes, Transitions: r.Transitions})
		}
	})
	return l
}
