package locality

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"robindrum/balancer"
)

// maxOverprovision is the highest overprovisioning factor.
const maxOverprovision = 1e9

// Class describes a class of requests.
type Class struct {
	Name             string
	PriorityWeight   float64       // the higher, the more of a locality's capacity the class may fill
	LatencyObjective time.Duration // an answer that takes longer is late
	Effect           balancer.Effect
}

// Options configure a Picker. A zero value selects the default given after the field. Negative values of Panic, Floor and RetryShare
// mean 0.
type Options struct {
	OwnZone  string     // the gateway's zone
	Tiers    [][]string // zones in order of preference; "*" stands for all others; default: the own zone, then all others
	Gateways int        // number of gateways that use the same servers, including this one; default 1
	Classes  []Class

	Overprovision float64 // Envoy's overprovisioning factor; default 1.4
	Panic         float64 // Envoy's panic threshold, as a fraction; default 0.5

	FailHold      time.Duration // how long there must be evidence that an Up locality is failing before it is Failing; default 200 ms
	DarkHold      time.Duration // how long there must be evidence that a Failing locality is down before it is Dark; default 300 ms
	UpHold        time.Duration // how long there must be no evidence against a Failing locality before it is Up; default 1 s
	Hold          time.Duration // shortest time in Dark, before jitter; doubled with each consecutive outage; default 1 s
	MaxHold       time.Duration // upper bound of the doubled Hold; default 30 s
	ProbeInterval time.Duration // between probes of a Dark locality; default 500 ms
	Step          time.Duration // shortest step of a recovery ramp; default 2 s
	Floor         float64       // fraction of a locality's capacity that each class may always use; default 0.05

	FirstShare   float64 // fraction of its share that a locality gets when a recovery ramp begins; doubled at each step; default 1/16
	FirstRoom    float64 // initial limit of requests in flight in a locality outside the own zone, over all gateways; default 16
	Tolerance    float64 // multiple of the best latency, above which a locality outside the own zone is busy; default 1.5
	OwnTolerance float64 // like Tolerance, for the own zone; higher because its own requests take precedence; default 4

	// OwnZoneUnlimited disables the limit of requests in flight in the own zone. It is set where admission limits the cluster as a whole.
	OwnZoneUnlimited bool

	RetryShare float64 // retries in flight in a locality, as a fraction of its attempts in flight; default 0.2
	MinRetries int     // retries in flight that are always allowed; default 3

	MaxRetryAfter time.Duration // longest Retry-After; default 5 s

	// Notify is called at each transition if it is not nil. It must not call the Picker.
	Notify func(Transition)
}

// Fill sets the defaults of fields with zero values and raises negative values of Panic, Floor and RetryShare to 0.
func (o *Options) Fill() {
	setDefault(&o.Gateways, 1)
	setDefault(&o.Overprovision, 1.4)
	setDefault(&o.Panic, 0.5)
	setDefault(&o.FailHold, 200*time.Millisecond)
	setDefault(&o.DarkHold, 300*time.Millisecond)
	setDefault(&o.UpHold, time.Second)
	setDefault(&o.Hold, time.Second)
	setDefault(&o.MaxHold, 30*time.Second)
	setDefault(&o.ProbeInterval, 500*time.Millisecond)
	setDefault(&o.Step, 2*time.Second)
	setDefault(&o.Floor, 0.05)
	setDefault(&o.FirstShare, 1.0/16)
	setDefault(&o.FirstRoom, 16)
	setDefault(&o.Tolerance, 1.5)
	setDefault(&o.OwnTolerance, 4)
	setDefault(&o.RetryShare, 0.2)
	setDefault(&o.MinRetries, 3)
	setDefault(&o.MaxRetryAfter, 5*time.Second)
	o.Panic = max(o.Panic, 0)
	o.Floor = max(o.Floor, 0)
	o.RetryShare = max(o.RetryShare, 0)
}

func setDefault[T cmp.Ordered](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Check returns an error that names the first invalid option.
func (o *Options) Check() error {
	switch {
	case !validOverprovision(o.Overprovision):
		return fmt.Errorf("overprovisioning_factor must be greater than 0 and at most %v, got %v", maxOverprovision, o.Overprovision)
	case o.Panic < 0 || o.Panic > 1:
		return fmt.Errorf("panic_threshold must be between 0 and 1, got %v", o.Panic)
	case o.FirstShare <= 0 || o.FirstShare > 1:
		return fmt.Errorf("first_share must be greater than 0 and at most 1, got %v", o.FirstShare)
	case o.Tolerance <= 1 || o.OwnTolerance <= 1:
		return errors.New("tolerance and own_tolerance must be greater than 1")
	case o.Floor < 0 || o.Floor > 0.5:
		return fmt.Errorf("floor must be between 0 and 0.5, got %v", o.Floor)
	case o.MaxHold < o.Hold:
		return fmt.Errorf("most_hold must be at least hold (%v), got %v", o.Hold, o.MaxHold)
	case o.FirstRoom < 1:
		return fmt.Errorf("first_room must be at least 1, got %v", o.FirstRoom)
	case o.RetryShare < 0 || o.RetryShare > 1 || o.MinRetries < 0:
		return errors.New("retry_budget must be between 0 and 1 and retry_least must be at least 0")
	}
	return o.checkTiers()
}

func validOverprovision(factor float64) bool {
	return factor > 0 && factor <= maxOverprovision
}

func (o *Options) checkTiers() error {
	seen := map[string]bool{}
	for _, tier := range o.Tiers {
		for _, zone := range tier {
			if seen[zone] {
				return fmt.Errorf("tiers: zone %q is listed more than once", zone)
			}
			seen[zone] = true
		}
	}
	return nil
}
