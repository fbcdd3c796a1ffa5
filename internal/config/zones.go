package config

import (
	"fmt"
	"time"
)

// Zones balances localities: zones and priorities are tiers of preference, with a limit on what crosses to another zone
// and a gradual recovery. Without it, another zone is only weighed by Cluster.CrossZone.
type Zones struct {
	Tiers           [][]string `yaml:"tiers,omitempty"` // zones in order of preference; "*": all others; empty: the own one before all others
	Overprovision   float64    `yaml:"overprovisioning_factor"`
	PanicThreshold  *float64   `yaml:"panic_threshold"` // as a part of a tier's endpoints
	FailHold        Duration   `yaml:"fail_hold"`       // how long evidence must be bad before a zone is failing
	DarkHold        Duration   `yaml:"dark_hold"`       // how long evidence must be worse before a zone is dark
	UpHold          Duration   `yaml:"up_hold"`         // how long evidence must be good before a zone is up
	MinHold         Duration   `yaml:"hold"`            // how long a zone is dark at least; doubled each time
	MaxHold         Duration   `yaml:"most_hold"`
	ProbeInterval   Duration   `yaml:"probe"`         // between probes of a dark zone
	Step            Duration   `yaml:"step"`          // of the recovery, at least
	InitialShare    float64    `yaml:"first_share"`   // the part of its load with which a zone recovers; doubled each step
	InitialCapacity float64    `yaml:"first_room"`    // requests in flight, over all gateways, to a zone of unknown capacity
	Tolerance       float64    `yaml:"tolerance"`     // multiple of its best latency at which another zone is busy
	OwnTolerance    float64    `yaml:"own_tolerance"` // the same of the own zone
	Floor           *float64   `yaml:"floor"`         // the part of a zone's capacity for each class, whatever its weight
	RetryBudget     *float64   `yaml:"retry_budget"`  // retries in flight at a zone, as a part of all requests in flight there
	MinRetries      int        `yaml:"retry_least"`   // in flight, in any case
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
		d.errorAt("zones", "zone is missing: where the gateway stands")
	}
	f.Zones.checkTiers(d)
	f.Zones.checkNumbers(d)
	f.Zones.checkTimes(d)
}

func (z *Zones) checkTiers(d *decoder) {
	firstField := map[string]string{}
	for i, tier := range z.Tiers {
		for j, zone := range tier {
			field := fmt.Sprintf("zones.tiers[%d][%d]", i, j)
			if first, ok := firstField[zone]; ok {
				d.errorAt(field, "%q is %s already", zone, first)
			}
			firstField[zone] = field
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
			d.errorAt("zones."+name, "want 10ms to 1h, not %v", value.D())
		}
	}
	if z.MaxHold < z.MinHold {
		d.errorAt("zones.most_hold", "%v is shorter than hold, %v", z.MaxHold.D(), z.MinHold.D())
	}
}
