package fleet

import (
	"fmt"
	"testing"
	"time"

	"robindrum/balancer"
	"robindrum/internal/admission"
)

const ms = time.Millisecond

// singleClass returns options with the only class that a minimal configuration has.
func singleClass(o Options) Options {
	o.Classes = []Class{{Class: balancer.Class{Name: "default-safe", LatencyObjective: sec, Deadline: 15 * sec, PriorityWeight: 1}, Fraction: 1}}
	return withAdmission(o)
}

// threeClasses returns options with classes of different priority weights.
func threeClasses(o Options) Options {
	o.Classes = []Class{
		{Class: balancer.Class{Name: "seat-map", LatencyObjective: 300 * ms, Deadline: 3 * sec, PriorityWeight: 1}, Fraction: 0.90},
		{Class: balancer.Class{Name: "seat-hold", LatencyObjective: 150 * ms, Deadline: 2 * sec, PriorityWeight: 5, Effect: balancer.IdempotentWithKey, Group: balancer.GroupAll, Window: 4 * sec}, Fraction: 0.08},
		{Class: balancer.Class{Name: "pay", LatencyObjective: 300 * ms, Deadline: 2 * sec, PriorityWeight: 20, Effect: balancer.NonIdempotent}, Fraction: 0.02},
	}
	return withAdmission(o)
}

// withAdmission returns options with one zone and an admission controller per gateway.
func withAdmission(o Options) Options {
	o.Zones, o.Mode = []string{"a"}, PenaltyOnly
	if o.Seed == 0 {
		o.Seed = 1
	}
	if o.Gateways == 0 {
		o.Gateways = 1
	}
	o.Admission = NewAdmission(o, admission.Options{})
	return o
}

// TestBurstsAfterIdleTimeAreServed sends bursts after idle periods, beginning with the first request. Servers with enough workers must
// reject nothing. Servers with four workers must serve every burst that they can serve within the latency objective.
func TestBurstsAfterIdleTimeAreServed(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		size, workers int
		idle          time.Duration
	}{
		{8, 10000, 50 * ms}, {64, 10000, 200 * ms}, {200, 10000, 200 * ms}, {1000, 10000, 50 * ms}, {1000, 10000, 10 * sec}, {1000, 10000, 2 * sec},
		{8, 4, 50 * ms}, {64, 4, 200 * ms}, {200, 4, 200 * ms}, {500, 4, sec}, {1000, 4, 2 * sec}, {1000, 4, 10 * sec},
	} {
		t.Run(fmt.Sprintf("%d requests to %d workers, %v idle", c.size, c.workers, c.idle), func(t *testing.T) {
			t.Parallel()
			o := singleClass(Options{Servers: 2, ServiceTime: 5 * ms, Workers: c.workers, QueueSize: 10000, Duration: 25 * (c.idle + sec), Rate: 0.001, CrossZoneDelay: ms})
			for i := range 20 {
				o.Events = append(o.Events, Event{time.Duration(i) * (c.idle + sec), func(f *Fleet) { f.SendBurst(c.size) }})
			}
			r := run(t, o)
			class := r.Phases[0].Classes["default-safe"]
			if class.Requests < 20*c.size || class.InTime != class.Requests {
				t.Errorf("%d of %d requests served in time, %d rejected, %d failed; want all served in time", class.InTime, class.Requests, class.Rejected, class.Failed)
			}
		})
	}
}

// TestOverload sends more than the servers' capacity for a minute, from clients that do not retry, retry at once, or retry after the
// Retry-After time. At least 90% of the capacity must serve responses in time, the class with the highest priority weight must be served,
// and 2 s after the overload nearly all responses must be in time again.
func TestOverload(t *testing.T) {
	t.Parallel()
	const capacity = 2 * 4 / 0.02
	for _, multiple := range []float64{1.5, 3, 10} {
		for _, retry := range []ClientRetry{NoRetry, RetryAtOnce, RetryAfter} {
			t.Run(fmt.Sprintf("%v times the capacity, client retry mode %d", multiple, retry), func(t *testing.T) {
				t.Parallel()
				o := threeClasses(Options{Servers: 2, Rate: capacity, Duration: 90 * sec, ClientRetry: retry, CrossZoneDelay: 30 * ms, Phases: []time.Duration{10 * sec, 70 * sec, 72 * sec},
					Burst: func(at time.Duration) float64 {
						if at >= 10*sec && at < 70*sec {
							return multiple
						}
						return 0.5
					}})
				r := run(t, o)
				p := r.Phases[1]
				inTime := 0
				for _, c := range p.Classes {
					inTime += c.InTime
				}
				if fraction := float64(inTime) / (60 * capacity); fraction < 0.9 {
					t.Errorf("in-time responses = %.3f of the capacity, want at least 0.9", fraction)
				}
				if c := p.Classes["pay"]; c.fraction(c.InTime) < 0.95 {
					t.Errorf("pay: %.3f in time, want at least 0.95", c.fraction(c.InTime))
				}
				if all, _ := r.Phases[3].inTimeFractions(); all < 0.999 {
					t.Errorf("%.4f in time from 2 s after the overload, want at least 0.999", all)
				}
			})
		}
	}
}

// TestCapacityChanges changes the servers' speed in steps: by halving and doubling, by a noisy neighbour every 3 s, and by a slowdown to a
// tenth for 5 s. Most requests that the servers have capacity for at the time must be served in time.
func TestCapacityChanges(t *testing.T) {
	t.Parallel()
	const capacity = 2 * 4 / 0.02
	for name, c := range map[string]struct {
		slow  func(i int) float64 // factor of the service time in second i
		rate  float64
		least float64 // minimum in-time responses, as a fraction of the requests that there is capacity for
	}{
		"halves and doubles":  {func(i int) float64 { return []float64{1, 2, 1, 0.5}[i/10%4] }, 0.9 * capacity, 0.85},
		"neighbour every 3 s": {func(i int) float64 { return []float64{1, 2}[i/3%2] }, 0.8 * capacity, 0.8},
		"ten times as slow for 5 s": {func(i int) float64 {
			if i >= 10 && i < 15 {
				return 10
			}
			return 1
		}, 0.8 * capacity, 0.8},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := threeClasses(Options{Servers: 2, Rate: c.rate, Duration: 40 * sec, Phases: []time.Duration{}})
			servable := 0.0
			before := 1.0
			for i := range 40 {
				factor := c.slow(i)
				o.Events = append(o.Events, Event{time.Duration(i) * sec, func(f *Fleet) { f.SlowDown("a", factor/before); before = factor }})
				servable += min(c.rate, capacity/factor)
			}
			p := run(t, o).Phases[0]
			inTime := 0
			for _, class := range p.Classes {
				inTime += class.InTime
			}
			if fraction := float64(inTime) / servable; fraction < c.least {
				t.Errorf("in-time responses = %.3f of the requests with capacity, want at least %v", fraction, c.least)
			}
			if class := p.Classes["pay"]; class.fraction(class.InTime) < 0.9 {
				t.Errorf("pay: %.3f in time, want at least 0.9", class.fraction(class.InTime))
			}
		})
	}
}

// TestManyGatewaysAdmitWithoutCoordination runs many gateways that exchange nothing in front of the same servers, at half of the servers'
// capacity, then at one and a half times, then at half again.
func TestManyGatewaysAdmitWithoutCoordination(t *testing.T) {
	t.Parallel()
	for _, n := range []int{40, 200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			const capacity = 18 * 4 / 0.02
			o := threeClasses(Options{Gateways: n, Servers: 18, Rate: capacity, Duration: 25 * sec, Phases: []time.Duration{5 * sec, 15 * sec, 17 * sec},
				Burst: func(at time.Duration) float64 {
					if at >= 5*sec && at < 15*sec {
						return 1.5
					}
					return 0.5
				}})
			r := run(t, o)
			if all, _ := r.Phases[0].inTimeFractions(); all < 0.999 {
				t.Errorf("%.4f in time at half of the capacity, want at least 0.999", all)
			}
			inTime := 0
			for _, class := range r.Phases[1].Classes {
				inTime += class.InTime
			}
			if fraction := float64(inTime) / (10 * capacity); fraction < 0.8 {
				t.Errorf("in-time responses = %.3f of the capacity, want at least 0.8", fraction)
			}
			if all, _ := r.Phases[3].inTimeFractions(); all < 0.999 {
				t.Errorf("%.4f in time from 2 s after the overload, want at least 0.999", all)
			}
		})
	}
}
