package config

import (
	"fmt"
	"time"
)

// Zones configures balancing between localities; see package locality. Zones and priorities form tiers of preference, the
// load that goes to another zone is limited, and a zone that recovers gets its load back gradually. Without this section,
// Cluster.CrossZone alone determines whether requests go to another zone.
type Zones struct {
	Tiers           [][]string `yaml:"tiers,omitempty"` // zones in order of preference; "*" stands for all others; default: the own zone, then all others
	Overprovision   float64    `yaml:"overprovisioning_factor"`
	PanicThreshold  *float64   `yaml:"panic_threshold"` // as a fraction of a tier's endpoints
	FailHold        Duration   `yaml:"fail_hold"`       // how long there must be evidence that a zone is failing before it is Failing
	DarkHold        Duration   `yaml:"dark_hold"`       // how long there must be evidence that a Failing zone is down before it is Dark
	UpHold          Duration   `yaml:"up_hold"`         // how long there must be no evidence against a Failing zone before it is Up
	MinHold         Duration   `yaml:"hold"`            // shortest time in Dark; doubled with each consecutive outage
	MaxHold         Duration   `yaml:"most_hold"`       // upper bound of the doubled MinHold
	ProbeInterval   Duration   `yaml:"probe"`           // interval between probes of a Dark zone
	Step            Duration   `yaml:"step"`            // shortest step of a recovery
	InitialShare    float64    `yaml:"first_share"`     // fraction of its load that a zone gets when its recovery begins; doubled at each step
	InitialCapacity float64    `yaml:"first_room"`      // initial limit on requests in flight to another zone, over all gateways, while its capacity is unknown
	Tolerance       float64    `yaml:"tolerance"`       // multiple of its best latency above which another zone is busy
	OwnTolerance    float64    `yaml:"own_tolerance"`   // like Tolerance, for the own zone
	Floor           *float64   `yaml:"floor"`           // fraction of a zone's capacity that each class may always use, whatever its weight
	RetryBudget     *float64   `yaml:"retry_budget"`    // retries in flight in a zone, as a fraction of all requests in flight there
	MinRetries      int        `yaml:"retry_least"`     // retries in flight that are always allowed
}

func (z *Zones) setDefaults() {
	setDefault(&z.Overprovision, 1.4)
	setDefault(&z.FailHold, Duration(200*time.Millisecond))
	setDefault(&z.DarkHold, Duration(300*time.Millisecond))
	setDefault(&z.UpHold, Duration(time.Second))
	setDefault(&z.MinHold, Duration(time.Second))
	setDefault(&z.MaxHold, Duration(30*time.Second))
	setDefault(&z.ProbeInterval, Duration(500*time.Millisecond))
	setDefault(&z.Step, Duration(2*time.Second))
	setDefault(&z.InitialShare, 1.0/16)
	setDefault(&z.InitialCapacity, 16)
	setDefault(&z.Tolerance, 1.5)
	setDefault(&z.OwnTolerance, 4)
	setDefault(&z.MinRetries, 3)
	setDefaultPointer(&z.PanicThreshold, 0.5)
	setDefaultPointer(&z.Floor, 0.05)
	setDefaultPointer(&z.RetryBudget, 0.2)
}

func (f *File) checkZones(d *decoder) {
	if f.Zones == nil {
		return
	}
	if f.Zone == "" {
		d.errorAt("zones", "requires zone, the zone of this gateway")
	}
	f.Zones.checkTiers(d)
	f.Zones.checkNumbers(d)
	f.Zones.checkTimes(d)
}

func (z *Zones) checkTiers(d *decoder) {
	fieldOfZone := map[string]string{} // a field that lists the zone
	for i, tier := range z.Tiers {
		for j, zone := range tier {
			field := fmt.Sprintf("zones.tiers[%d][%d]", i, j)
			if other, ok := fieldOfZone[zone]; ok {
				d.errorAt(field, "%q is already listed at %s", zone, other)
			}
			fieldOfZone[zone] = field
		}
	}
}

func (z *Zones) checkNumbers(d *decoder) {
	checkNumber(d, "zones.overprovisioning_factor", z.Overprovision, 1, 10)
	checkNumber(d, "zones.panic_threshold", *z.PanicThreshold, 0, 1)
	checkNumber(d, "zones.first_share", z.InitialShare, 0.001, 1)
	checkNumber(d, "zones.first_room", z.InitialCapacity, 1, maxCount)
	checkNumber(d, "zones.tolerance", z.Tolerance, 1.05, 100)
	checkNumber(d, "zones.own_tolerance", z.OwnTolerance, 1.05, 100)
	checkNumber(d, "zones.floor", *z.Floor, 0, maxFloor)
	checkNumber(d, "zones.retry_budget", *z.RetryBudget, 0, 1)
	checkNumber(d, "zones.retry_least", float64(z.MinRetries), 0, maxCount)
}

func (z *Zones) checkTimes(d *decoder) {
	for name, value := range map[string]Duration{"probe": z.ProbeInterval, "step": z.Step, "hold": z.MinHold} {
		if value.D() < 10*time.Millisecond || value.D() > time.Hour {
			d.errorAt("zones."+name, "must be from 10ms to 1h, got %v", value.D())
		}
	}
	if z.MaxHold < z.MinHold {
		d.errorAt("zones.most_hold", "must be at least hold (%[2]v), got %[1]v", z.MaxHold.D(), z.MinHold.D())
	}
}
