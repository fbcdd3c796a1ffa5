package gateway

import (
	"cmp"
	"fmt"
	"time"

	"robindrum/internal/admission"
	"robindrum/internal/locality"
)

// explicitZero converts a configured value to the value of an option for which 0 means the default and -1 means zero.
func explicitZero(value float64) float64 {
	if value == 0 {
		return -1
	}
	return value
}

// localityOptions returns the options of the locality picker of a cluster's core.
func (s *clusterSpec) localityOptions() locality.Options {
	settings := s.zones
	options := locality.Options{
		OwnZone:          s.zone,
		Tiers:            settings.Tiers,
		Gateways:         s.gateway.Count,
		Overprovision:    settings.Overprovision,
		Panic:            explicitZero(*settings.PanicThreshold),
		FailHold:         settings.FailHold.D(),
		DarkHold:         settings.DarkHold.D(),
		UpHold:           settings.UpHold.D(),
		Hold:             settings.MinHold.D(),
		MaxHold:          settings.MaxHold.D(),
		ProbeInterval:    settings.ProbeInterval.D(),
		Step:             settings.Step.D(),
		Floor:            explicitZero(*settings.Floor),
		FirstShare:       settings.InitialShare,
		FirstRoom:        settings.InitialCapacity,
		Tolerance:        settings.Tolerance,
		OwnTolerance:     settings.OwnTolerance,
		RetryShare:       explicitZero(*settings.RetryBudget),
		MinRetries:       settings.MinRetries,
		OwnZoneUnlimited: admission.Mode(s.config.Overload.Mode) != admission.Off,
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

// newLocalityPicker returns the locality picker of a cluster's new core. It inherits the state of the current core's picker.
func (g *Gateway) newLocalityPicker(c *cluster) *locality.Picker {
	options := c.spec.localityOptions()
	options.Notify = func(t locality.Transition) { g.logTransition(c.name, t) }
	picker, err := locality.New(options, uint64(g.Now()))
	if err != nil { // cannot happen: the configuration was checked
		panic(fmt.Sprintf("cluster %s: %v", c.name, err))
	}
	if c.current != nil && c.current.localities != nil {
		var reports []locality.Report
		c.current.core.Inspect(func(now time.Duration) { reports = c.current.localities.Report(now) })
		picker.Inherit(g.Now(), reports)
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

// updateOverprovision applies the overprovisioning factor of the control plane, or that of the configuration if the control
// plane sets none.
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
	Health             float64 `json:"health"` // fraction of its endpoints' weight that is ready
	Panic              bool    `json:"panic,omitempty"`
	Share              float64 `json:"share"` // fraction of the cluster's load
	Step               float64 `json:"step"`  // fraction of its share that the locality gets in its state
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
		RejectedNoCapacity: r.Rejected,
		SkippedNoTime:      r.NoTime,
		Retries:            r.Retries,
		RetriesDenied:      r.RetriesDenied,
		Probes:             r.Probes,
		Transitions:        r.Transitions,
	}
}
