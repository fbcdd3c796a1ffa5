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

// Class is a kind of request.
type Class struct {
	Name             string
	PriorityWeight   float64       // classes with a higher weight may fill more of a locality's capacity
	LatencyObjective time.Duration // an answer that takes longer is late
	Effect           balancer.Effect
}

// Options configure a Picker. Zero values are replaced by the defaults named here; Panic, Floor and RetryShare below 0 mean 0.
type Options struct {
	OwnZone  string     // the gateway's zone
	Tiers    [][]string // zones in order of preference, "*" for all others; empty: the own zone, then all others
	Gateways int        // before the same servers, with this one; 1
	Classes  []Class

	Overprovision float64 // Envoy's overprovisioning factor; 1.4
	Panic         float64 // Envoy's panic threshold, as a fraction; 0.5

	FailHold      time.Duration // after bad evidence for this long an Up locality is Failing; 200 ms
	DarkHold      time.Duration // after worse evidence for this long it is Dark; 300 ms
	UpHold        time.Duration // after good evidence for this long it is Up again; 1 s
	Hold          time.Duration // the shortest time in Dark; doubled with each consecutive outage; 1 s
	MaxHold       time.Duration // the longest of these; 30 s
	ProbeInterval time.Duration // between probes of a Dark locality; 500 ms
	Step          time.Duration // the shortest step of a recovery ramp; 2 s
	Floor         float64       // fraction of a locality's capacity that each class may use in any case; 0.05

	FirstShare   float64 // fraction of its load with which a recovery ramp begins; doubled at each step; 1/16
	FirstRoom    float64 // requests in flight that a locality outside the own zone may begin with, over all gateways; 16
	Tolerance    float64 // latency over the best one, above which a locality outside the own zone is busy; 1.5
	OwnTolerance float64 // the same for the own zone, whose own requests go first; 4

	// OwnFree leaves the own zone without a limit on its requests in flight, where admission limits the cluster as a whole.
	OwnFree bool

	RetryShare float64 // retries in flight in a locality, as a fraction of its attempts in flight; 0.2
	MinRetries int     // retries in flight that are allowed in any case; 3

	MaxRetryAfter time.Duration // the longest Retry-After; 5 s

	// Notify is called at each transition; nil: not called. It must not call back.
	Notify func(Transition)
}

// Fill sets the defaults of what was left out.
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

func setDefault[T cmp.Ordered](v *T, to T) {
	var zero T
	if *v == zero {
		*v = to
	}
}

// Check returns an error that names the first option that cannot be used.
func (o *Options) Check() error {
	switch {
	case !validOverprovision(o.Overprovision):
		return fmt.Errorf("overprovisioning_factor: want more than 0, not %v", o.Overprovision)
	case o.Panic < 0 || o.Panic > 1:
		return fmt.Errorf("panic_threshold: want 0 to 1, not %v", o.Panic)
	case o.FirstShare <= 0 || o.FirstShare > 1:
		return fmt.Errorf("first_share: want more than 0 and at most 1, not %v", o.FirstShare)
	case o.Tolerance <= 1 || o.OwnTolerance <= 1:
		return errors.New("tolerance: want more than 1")
	case o.Floor < 0 || o.Floor > 0.5:
		return fmt.Errorf("floor: want 0 to 0.5, not %v", o.Floor)
	case o.MaxHold < o.Hold:
		return fmt.Errorf("most_hold: %v is shorter than hold, %v", o.MaxHold, o.Hold)
	case o.FirstRoom < 1:
		return fmt.Errorf("first_room: want 1 at least, not %v", o.FirstRoom)
	case o.RetryShare < 0 || o.RetryShare > 1 || o.MinRetries < 0:
		return errors.New("retry budget: want a share from 0 to 1 and at least 0 retries")
	}
	return o.checkTiers()
}

func validOverprovision(factor float64) bool {
	return factor > 0 && factor <= maxOverprovision
}

func (o *Options) checkTiers() error {
	named := map[string]bool{}
	for _, tier := range o.Tiers {
		for _, zone := range tier {
			if named[zone] {
				return fmt.Errorf("tiers: %q is named twice", zone)
			}
			named[zone] = true
		}
	}
	return nil
}
