package gateway

import (
	"cmp"
	"fmt"
	"time"

	"robindrum/internal/admission"
	"robindrum/internal/locality"
)

// explicitZero converts a configured value for options that take 0 for "use the default" and -1 for zero.
func explicitZero(value float64) float64 {
	if value == 0 {
		return -1
	}
	return value
}

// localityOptions returns the options of the locality picker of a cluster's core.
func (s *clusterSpec) localityOptions() locality.Options {
	z := s.zones
	options := locality.Options{
		OwnZone:       s.zone,
		Tiers:         z.Tiers,
		Gateways:      s.gateway.Count,
		Overprovision: z.Overprovision,
		Panic:         explicitZero(*z.PanicThreshold),
		FailHold:      z.FailHold.D(),
		DarkHold:      z.DarkHold.D(),
		UpHold:        z.UpHold.D(),
		Hold:          z.MinHold.D(),
		MaxHold:       z.MaxHold.D(),
		ProbeInterval: z.ProbeInterval.D(),
		Step:          z.Step.D(),
		Floor:         explicitZero(*z.Floor),
		FirstShare:    z.InitialShare,
		FirstRoom:     z.InitialCapacity,
		Tolerance:     z.Tolerance,
		OwnTolerance:  z.OwnTolerance,
		RetryShare:    explicitZero(*z.RetryBudget),
		MinRetries:    z.MinRetries,
		OwnFree:       admission.Mode(s.config.Overload.Mode) != admission.Off,
	}
	for _, class := range s.balancerClasses() {
		options.Classes = append(options.Classes, locality.Class{
			Name:             class.Name,
			PriorityWeight:   class.PriorityWeight,
			LatencyObjective: class.LatencyObjective,
			Effect:           class.Effect,
		})
	}
	return options
}

// newLocalityPicker returns the locality picker of a cluster's new core. It inherits the state of the current core's.
func (g *Gateway) newLocalityPicker(c *cluster) *locality.Picker {
	options := c.spec.localityOptions()
	options.Notify = func(t locality.Transition) { g.logTransition(c.name, t) }
	picker, err := locality.New(options, uint64(g.Now()))
	if err != nil { // cannot happen: the configuration was checked
		panic(fmt.Sprintf("cluster %s: %v", c.name, err))
	}
	if c.current != nil && c.current.localities != nil {
		var former []locality.Report
		c.current.core.Inspect(func(now time.Duration) { former = c.current.localities.Report(now) })
		picker.Inherit(g.Now(), former)
	}
	return picker
}

func (g *Gateway) logTransition(cluster string, t locality.Transition) {
	attributes := []any{
		"cluster", cluster,
		"zone", t.Locality.Zone,
		"priority", t.Locality.Priority,
		"from", t.From.String(),
		"to", t.To.String(),
		"evidence", t.Evidence,
	}
	if t.Hold > 0 {
		attributes = append(attributes, "hold", t.Hold.Round(time.Millisecond).String())
	}
	g.log.Warn("zone", attributes...)
}

// updateOverprovision applies the overprovisioning factor of the control plane or else of the configuration.
func (in *coreInstance) updateOverprovision() {
	if in.localities == nil {
		return
	}
	factor := cmp.Or(in.cluster.overprovision, in.cluster.spec.zones.Overprovision)
	in.core.Inspect(func(time.Duration) { in.localities.SetOverprovision(factor) })
}

// ZoneStatus describes a locality of a cluster.
type ZoneStatus struct {
	Zone               string  `json:"zone"`
	Priority           int     `json:"priority,omitempty"`
	Tier               int     `json:"tier"`
	State              string  `json:"state"`
	StateSeconds       float64 `json:"state_seconds"`
	Evidence           string  `json:"evidence,omitempty"`
	Health             float64 `json:"health"` // the ready part of its endpoints' weight
	Panic              bool    `json:"panic,omitempty"`
	Share              float64 `json:"share"` // its part of the load
	Step               float64 `json:"step"`  // the part of its share that its state allows
	InFlight           int     `json:"in_flight"`
	MaxInFlight        float64 `json:"room,omitempty"` // 0: no limit
	Sent               uint64  `json:"sent"`
	Crossed            uint64  `json:"crossed"`
	RejectedNoCapacity uint64  `json:"refused_no_room"`
	SkippedNoTime      uint64  `json:"passed_over_no_time"`
	Retries            uint64  `json:"retries"`
	RetriesDenied      uint64  `json:"retries_denied"`
	Probes             uint64  `json:"probes"`
	Transitions        uint64  `json:"transitions"`
}

func (in *coreInstance) zoneStatus() []ZoneStatus {
	if in.localities == nil {
		return nil
	}
	var zones []ZoneStatus
	in.core.Inspect(func(now time.Duration) {
		for _, report := range in.localities.Report(now) {
			zones = append(zones, newZoneStatus(&report, now))
		}
	})
	return zones
}

func newZoneStatus(r *locality.Report, now time.Duration) ZoneStatus {
	return ZoneStatus{
		Zone:               r.Locality.Zone,
		Priority:           r.Locality.Priority,
		Tier:               r.Tier,
		State:              r.State.String(),
		StateSeconds:       secondsBetween(r.Since, now),
		Evidence:           r.Evidence,
		Health:             r.Health,
		Panic:              r.Panic,
		Share:              r.Share,
		Step:               r.Step,
		InFlight:           r.InFlight,
		MaxInFlight:        r.Room,
		Sent:               r.Sent,
		Crossed:            r.Crossed,
		RejectedNoCapacity: r.Refused,
		SkippedNoTime:      r.NoTime,
		Retries:            r.Retries,
		RetriesDenied:      r.RetriesDenied,
		Probes:             r.Probes,
		Transitions:        r.Transitions,
	}
}
