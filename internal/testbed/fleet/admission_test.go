package fleet

import (
	"fmt"
	"testing"
	"time"

	"robindrum/balancer"
	"robindrum/internal/admission"
)

const ms = time.Millisecond

// web is a cluster with the classes that a file of four lines has, shop one whose classes are worth different things.
func web(o Options) Options {
	o.Classes = []Class{{Class: balancer.Class{Name: "default-safe", LatencyObjective: s, Deadline: 15 * s, PriorityWeight: 1}, Fraction: 1}}
	return admitted(o)
}

func shop(o Options) Options {
	o.Classes = []Class{
		{Class: balancer.Class{Name: "seat-map", LatencyObjective: 300 * ms, Deadline: 3 * s, PriorityWeight: 1}, Fraction: 0.90},
		{Class: balancer.Class{Name: "seat-hold", LatencyObjective: 150 * ms, Deadline: 2 * s, PriorityWeight: 5, Effect: balancer.IdempotentWithKey, Group: balancer.GroupAll, Window: 4 * s}, Fraction: 0.08},
		{Class: balancer.Class{Name: "pay", LatencyObjective: 300 * ms, Deadline: 2 * s, PriorityWeight: 20, Effect: balancer.NonIdempotent}, Fraction: 0.02},
	}
	return admitted(o)
}

func admitted(o Options) Options {
	o.Zones, o.Mode = []string{"a"}, PriceOnly
	if o.Seed == 0 {
		o.Seed = 1
	}
	if o.Gateways == 0 {
		o.Gateways = 1
	}
	o.Admission = NewAdmission(o, admission.Options{})
	return o
}

// Bursts after rests, from the first request on: healthy servers refuse nothing, and what servers of four workers can do in
// the wanted time is served.
func TestBurstsAfterIdleTimeAreServed(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		n, workers int
		rest       time.Duration
	}{
		{8, 10000, 50 * ms}, {64, 10000, 200 * ms}, {200, 10000, 200 * ms}, {1000, 10000, 50 * ms}, {1000, 10000, 10 * s}, {1000, 10000, 2 * s},
		{8, 4, 50 * ms}, {64, 4, 200 * ms}, {200, 4, 200 * ms}, {500, 4, s}, {1000, 4, 2 * s}, {1000, 4, 10 * s},
	} {
		t.Run(fmt.Sprintf("%d at %d workers, %v apart", c.n, c.workers, c.rest), func(t *testing.T) {
			t.Parallel()
			o := web(Options{Servers: 2, ServiceTime: 5 * ms, Workers: c.workers, QueueSize: 10000, Duration: 25 * (c.rest + s), Rate: 0.001, CrossZoneDelay: ms})
			for i := range 20 {
				o.Events = append(o.Events, Event{time.Duration(i) * (c.rest + s), func(f *Fleet) { f.SendBurst(c.n) }})
			}
			r := run(t, o)
			k := r.Phases[0].Classes["default-safe"]
			if k.Requests < 20*c.n || k.InTime != k.Requests {
				t.Errorf("%d of %d served in time, %d refused, %d failed", k.InTime, k.Requests, k.Rejected, k.Failed)
			}
		})
	}
}

// More than the servers can do, for a minute, with clients that give up, ask again at once or when they were told to: the
// servers' work is of use, what is worth most is served, and all is well soon after.
func TestOverload(t *testing.T) {
	t.Parallel()
	const capacity = 2 * 4 / 0.02
	for _, over := range []float64{1.5, 3, 10} {
		for _, again := range []ClientRetry{NoRetry, RetryAtOnce, RetryAfter} {
			t.Run(fmt.Sprintf("%v times the capacity, clients %d", over, again), func(t *testing.T) {
				t.Parallel()
				o := shop(Options{Servers: 2, Rate: capacity, Duration: 90 * s, ClientRetry: again, CrossZoneDelay: 30 * ms, Phases: []time.Duration{10 * s, 70 * s, 72 * s},
					Burst: func(at time.Duration) float64 {
						if at >= 10*s && at < 70*s {
							return over
						}
						return 0.5
					}})
				r := run(t, o)
				p := r.Phases[1]
				inTime := 0
				for _, c := range p.Classes {
					inTime += c.InTime
				}
				if part := float64(inTime) / (60 * capacity); part < 0.9 {
					t.Errorf("%.3f of what the servers can do was in time", part)
				}
				if c := p.Classes["pay"]; c.part(c.InTime) < 0.95 {
					t.Errorf("pay: %.3f in time", c.part(c.InTime))
				}
				if all, _ := r.Phases[3].in(); all < 0.999 {
					t.Errorf("%.4f in time from 2 s after the overload on", all)
				}
			})
		}
	}
}

// Servers that become slower and quicker again by steps, by a neighbour that comes and goes every 3 s, and for good: what
// they can do at each moment is used, and nothing is refused once they can do what is asked.
func TestCapacityChanges(t *testing.T) {
	t.Parallel()
	const capacity = 2 * 4 / 0.02
	for name, c := range map[string]struct {
		slow  func(i int) float64 // by which everything takes longer in the second i
		rate  float64
		least float64 // in time, of what is asked or could be done
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
			o := shop(Options{Servers: 2, Rate: c.rate, Duration: 40 * s, Phases: []time.Duration{}})
			could := 0.0
			before := 1.0
			for i := range 40 {
				by := c.slow(i)
				o.Events = append(o.Events, Event{time.Duration(i) * s, func(f *Fleet) { f.SlowDown("a", by/before); before = by }})
				could += min(c.rate, capacity/by)
			}
			p := run(t, o).Phases[0]
			inTime := 0
			for _, k := range p.Classes {
				inTime += k.InTime
			}
			if part := float64(inTime) / could; part < c.least {
				t.Errorf("%.3f of what was asked and could be done was in time", part)
			}
			if k := p.Classes["pay"]; k.part(k.InTime) < 0.9 {
				t.Errorf("pay: %.3f in time", k.part(k.InTime))
			}
		})
	}
}

// Many gateways share nothing before the same servers, at one and a half times what these can do, and at half of it.
func TestManyGatewaysAdmitWithoutCoordination(t *testing.T) {
	t.Parallel()
	for _, n := range []int{40, 200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			const capacity = 18 * 4 / 0.02
			o := shop(Options{Gateways: n, Servers: 18, Rate: capacity, Duration: 25 * s, Phases: []time.Duration{5 * s, 15 * s, 17 * s},
				Burst: func(at time.Duration) float64 {
					if at >= 5*s && at < 15*s {
						return 1.5
					}
					return 0.5
				}})
			r := run(t, o)
			if all, _ := r.Phases[0].in(); all < 0.999 {
				t.Errorf("%.4f in time at half of what the servers can do", all)
			}
			inTime := 0
			for _, k := range r.Phases[1].Classes {
				inTime += k.InTime
			}
			if part := float64(inTime) / (10 * capacity); part < 0.8 {
				t.Errorf("%.3f of what the servers can do was in time", part)
			}
			if all, _ := r.Phases[3].in(); all < 0.999 {
				t.Errorf("%.4f in time from 2 s after the overload on", all)
			}
		})
	}
}
