package fleet

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"
	"time"
)

const sec = time.Second

// run runs a simulation, logs its result and, in the mode Tiers, checks that no effect is duplicated and no request is lost.
func run(t *testing.T, o Options) Result {
	t.Helper()
	r, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	r.Print(&b)
	t.Logf("%v\n%s", o.Mode, b.String())
	if o.Mode == Tiers && (r.DuplicateEffects != 0 || r.Lost != 0) {
		t.Errorf("%d duplicate effects, %d requests lost; want 0 and 0", r.DuplicateEffects, r.Lost)
	}
	return r
}

// inTimeFractions returns the fraction of a phase's requests that were served in time, for all requests and for local requests, those at
// gateways whose own zone was live.
func (p Phase) inTimeFractions() (all, local float64) {
	var requests, inTime, localRequests, localInTime float64
	for _, class := range p.Classes {
		requests, inTime, localRequests, localInTime = requests+float64(class.Requests), inTime+float64(class.InTime), localRequests+float64(class.Local), localInTime+float64(class.LocalInTime)
	}
	return inTime / max(requests, 1), localInTime / max(localRequests, 1)
}

// fraction returns n as a fraction of the requests.
func (c *ClassCount) fraction(n int) float64 { return float64(n) / float64(max(c.Requests, 1)) }

// TestSameSeedSameResult checks that equal options produce equal results, and that another seed produces another one.
func TestSameSeedSameResult(t *testing.T) {
	t.Parallel()
	o := Options{Seed: 3, Rate: 800, Duration: 8 * sec, Events: []Event{{2 * sec, func(f *Fleet) { f.FailServers("sapporo", LosesResponses, 1) }}}}
	a, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	b, err := Run(o)
	if err != nil || !reflect.DeepEqual(a, b) {
		t.Errorf("two runs with the same options: error %v, want equal results", err)
	}
	o.Seed++
	if c, _ := Run(o); reflect.DeepEqual(a, c) {
		t.Error("another seed produces the same result")
	}
}

// TestZoneFails fails the zone sapporo in different ways, while the total load is three quarters of the capacity of the zone ishikari
// alone.
func TestZoneFails(t *testing.T) {
	t.Parallel()
	for name, state := range map[string]ServerState{"refuses connections": RefusesConnections, "accepts and never responds": NeverResponds, "responds with 503": Responds503,
		"resets after the last byte": ResetsAfterRequest, "loses four of five responses": LosesResponses} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := run(t, Options{Seed: 1, Gateways: 8, Rate: 900, Duration: 30 * sec, Phases: []time.Duration{10 * sec, 13 * sec},
				Events: []Event{{10 * sec, func(f *Fleet) { f.FailServers("sapporo", state, 1) }}}})
			if _, local := r.Phases[1].inTimeFractions(); local < 0.97 {
				t.Errorf("during the failure: %.3f of local requests in time, want at least 0.97", local)
			}
			all, local := r.Phases[2].inTimeFractions()
			if all < 0.95 || local < 0.98 {
				t.Errorf("after the failure: %.3f of all requests and %.3f of local requests in time, want at least 0.95 and 0.98", all, local)
			}
			if p := r.Phases[0]; p.CrossZone > p.Attempts/200 {
				t.Errorf("before the failure: %d of %d attempts cross-zone, want at most one in 200", p.CrossZone, p.Attempts)
			}
		})
	}
	t.Run("doubles its latency every second", func(t *testing.T) {
		t.Parallel()
		var events []Event
		for i := range 8 {
			events = append(events, Event{10*sec + time.Duration(i)*sec, func(f *Fleet) { f.SlowDown("sapporo", 2) }})
		}
		r := run(t, Options{Seed: 1, Gateways: 8, Rate: 900, Duration: 30 * sec, Phases: []time.Duration{10 * sec, 18 * sec}, Events: events})
		if all, _ := r.Phases[2].inTimeFractions(); all < 0.9 {
			t.Errorf("last phase: %.3f in time, want at least 0.9", all)
		}
	})
}

// TestZoneFailsWhileOtherIsBusy fails a zone while local requests alone use 85% of the other zone's capacity. The local requests must still
// be served, and the requests of the failed zone that exceed the capacity must be rejected early.
func TestZoneFailsWhileOtherIsBusy(t *testing.T) {
	t.Parallel()
	o := Options{Seed: 2, Gateways: 8, Rate: 2040, Duration: 40 * sec, Phases: []time.Duration{10 * sec, 13 * sec},
		Events: []Event{{10 * sec, func(f *Fleet) { f.FailServers("sapporo", RefusesConnections, 1) }}}}
	r := run(t, o)
	_, before := r.Phases[0].inTimeFractions()
	_, local := r.Phases[2].inTimeFractions()
	t.Logf("local requests in time: %.4f before the failure, %.4f after it", before, local)
	if local < before-0.08 {
		t.Errorf("local requests in time: %.3f before the failure, %.3f after it, want at most 0.08 less", before, local)
	}
	for name, c := range r.Phases[2].Classes {
		if late := c.fraction(c.FailedLate + c.Late); late > 0.04 {
			t.Errorf("%s: %.3f served, rejected or failed late, want at most 0.04", name, late)
		}
	}
	classes := r.Phases[2].Classes
	if seatHold, seatMap := classes["seat-hold"], classes["seat-map"]; seatHold.fraction(seatHold.InTime) < seatMap.fraction(seatMap.InTime) {
		t.Errorf("in time: seat-hold %.3f, seat-map %.3f; want no less for the higher priority weight of seat-hold", seatHold.fraction(seatHold.InTime), seatMap.fraction(seatMap.InTime))
	}
	o.Mode = Failover
	if _, failover := run(t, o).Phases[2].inTimeFractions(); failover > local-0.05 {
		t.Errorf("local requests in time: %.3f with plain failover, %.3f with tiers; want at least 0.05 more with tiers", failover, local)
	}
}

// TestZoneFlapsDuringSale alternates a zone between one second of failure and one of operation for a minute, at four times the usual load.
func TestZoneFlapsDuringSale(t *testing.T) {
	t.Parallel()
	var events []Event
	for i := range 30 {
		at := 10*sec + time.Duration(2*i)*sec
		events = append(events, Event{at, func(f *Fleet) { f.FailServers("sapporo", RefusesConnections, 1) }}, Event{at + sec, func(f *Fleet) { f.ReviveServers("sapporo") }})
	}
	r := run(t, Options{Seed: 4, Gateways: 8, Rate: 450, Duration: 75 * sec, Phases: []time.Duration{10 * sec, 70 * sec}, Events: events,
		Burst: func(at time.Duration) float64 {
			if at >= 10*sec && at < 70*sec {
				return 4
			}
			return 1
		}})
	p := r.Phases[1]
	if _, local := p.inTimeFractions(); local < 0.9 {
		t.Errorf("%.3f of local requests in time, want at least 0.9", local)
	}
	if p.MaxLoad > 1.5 {
		t.Errorf("maximum load of a server = %.2f of its capacity, want at most 1.5", p.MaxLoad)
	}
}

// TestZoneReturnsColdWithLateEndpointList restarts a failed zone with all servers cold and half of them under new ids, with and without a
// delay of 10 s before the endpoint list shows it. Gateways that shift the whole load at once would overload the cold servers.
func TestZoneReturnsColdWithLateEndpointList(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{0, 10 * sec} {
		o := Options{Seed: 5, Gateways: 8, Rate: 900, Duration: 60 * sec, Phases: []time.Duration{10 * sec, 20 * sec, 40 * sec},
			Events: []Event{{10 * sec, func(f *Fleet) { f.FailServers("sapporo", RefusesConnections, 1) }},
				{20 * sec, func(f *Fleet) { f.RestartServers("sapporo", 3); f.PublishEndpoints(delay) }}}}
		r := run(t, o)
		p := r.Phases[2]
		if p.Overloads > 0 || p.MaxColdLoad > 1 {
			t.Errorf("endpoint list delayed by %v: %d crashes, maximum load of a cold server %.2f of its warm-up capacity; want none and at most 1", delay, p.Overloads, p.MaxColdLoad)
		}
		if all, _ := p.inTimeFractions(); all < 0.93 {
			t.Errorf("endpoint list delayed by %v: %.3f in time during the recovery, want at least 0.93", delay, all)
		}
		if all, _ := r.Phases[3].inTimeFractions(); all < 0.985 {
			t.Errorf("endpoint list delayed by %v: %.3f in time after the recovery, want at least 0.985", delay, all)
		}
		if delay > 0 {
			o := o
			o.Mode = Failover
			if failoverLoad := run(t, o).Phases[2].MaxColdLoad; failoverLoad < 2*p.MaxColdLoad {
				t.Errorf("maximum load of a cold server: %.2f with plain failover, %.2f with tiers; want at least twice as much with plain failover", failoverLoad, p.MaxColdLoad)
			}
		}
	}
}

// TestZoneReturnsExceptForOneClass restarts a failed zone whose servers still reject one class. The zone must serve the other classes, and
// the requests of that class must go to the other zone.
func TestZoneReturnsExceptForOneClass(t *testing.T) {
	t.Parallel()
	r := run(t, Options{Seed: 6, Gateways: 8, Rate: 700, Duration: 60 * sec, Phases: []time.Duration{10 * sec, 20 * sec, 40 * sec},
		Events: []Event{{10 * sec, func(f *Fleet) { f.FailServers("sapporo", Responds503, 1) }},
			{20 * sec, func(f *Fleet) {
				f.RestartServers("sapporo", 0)
				f.SetRejectedClass("sapporo", "seat-hold", true)
				f.PublishEndpoints(0)
			}}}})
	p := r.Phases[3]
	for name, c := range p.Classes {
		if c.fraction(c.InTime) < 0.93 {
			t.Errorf("%s: %.3f in time, want at least 0.93", name, c.fraction(c.InTime))
		}
	}
	if fraction := float64(p.CrossZone) / float64(p.Attempts); fraction < 0.08 || fraction > 0.3 { // seat-hold is 25% of the requests, at half of the gateways: an eighth
		t.Errorf("%.3f of the attempts cross zones, want 0.08 to 0.3", fraction)
	}
}

// TestHalfOfZoneFails fails half of a zone's servers. The load that exceeds the remaining capacity must go to the other zone, and the rest
// must stay.
func TestHalfOfZoneFails(t *testing.T) {
	t.Parallel()
	r := run(t, Options{Seed: 7, Gateways: 8, Rate: 1200, Duration: 30 * sec, Phases: []time.Duration{10 * sec, 12 * sec},
		Events: []Event{{10 * sec, func(f *Fleet) { f.FailServers("sapporo", RefusesConnections, 0.5) }}}})
	p := r.Phases[2]
	if all, _ := p.inTimeFractions(); all < 0.97 {
		t.Errorf("%.3f in time, want at least 0.97", all)
	}
	if fraction := float64(p.CrossZone) / float64(p.Attempts); fraction < 0.05 || fraction > 0.35 { // Envoy's overprovisioning rule gives 30% of half the load
		t.Errorf("%.3f of the attempts cross zones, want 0.05 to 0.35", fraction)
	}
}

// TestThreeTiers fails the first two of three tiers. The third must take over, and the first must be used again after its return.
func TestThreeTiers(t *testing.T) {
	t.Parallel()
	o := Options{Seed: 8, Zones: []string{"sapporo", "ishikari", "tokyo"}, Gateways: 6, Rate: 700, Duration: 60 * sec,
		Phases: []time.Duration{5 * sec, 15 * sec, 25 * sec, 45 * sec}}
	o.Zone.Tiers = [][]string{{"sapporo"}, {"ishikari"}, {"tokyo"}}
	o.Events = []Event{{5 * sec, func(f *Fleet) { f.FailServers("sapporo", RefusesConnections, 1) }}, {15 * sec, func(f *Fleet) { f.FailServers("ishikari", NeverResponds, 1) }},
		{25 * sec, func(f *Fleet) { f.RestartServers("sapporo", 0); f.PublishEndpoints(0) }}}
	r := run(t, o)
	for i, least := range []float64{0.98, 0.9, 0.8, 0.9, 0.98} {
		if all, _ := r.Phases[i].inTimeFractions(); all < least {
			t.Errorf("phase %d: %.3f in time, want at least %v", i, all, least)
		}
	}
}

// TestAllZonesFail fails all zones. Requests must be rejected early, and the zone that returns first must be found by few probes and not be
// overloaded.
func TestAllZonesFail(t *testing.T) {
	t.Parallel()
	r := run(t, Options{Seed: 9, Gateways: 8, Rate: 900, Duration: 60 * sec, Phases: []time.Duration{10 * sec, 12 * sec, 20 * sec, 24 * sec, 40 * sec},
		Events: []Event{{10 * sec, func(f *Fleet) {
			f.FailServers("sapporo", RefusesConnections, 1)
			f.FailServers("ishikari", RefusesConnections, 1)
		}},
			{20 * sec, func(f *Fleet) { f.RestartServers("ishikari", 0); f.PublishEndpoints(0) }}}})
	outage := r.Phases[2]
	for name, c := range outage.Classes {
		if c.fraction(c.FailedLate) > 0.01 {
			t.Errorf("%s: %.3f rejected or failed late while all zones are down, want at most 0.01", name, c.fraction(c.FailedLate))
		}
	}
	if n := outage.Attempts; n > 8*2*8*3 { // probes of eight gateways at two zones for 8 s, two per second and some more
		t.Errorf("%d attempts at failed zones in 8 s, want at most 384", n)
	}
	found := 0
	for _, c := range r.Phases[3].Classes {
		found += c.InTime
	}
	if found == 0 {
		t.Error("no request was served within 4 s after the return of a zone")
	}
	if p := r.Phases[4]; p.Overloads > 0 || r.Phases[3].Overloads > 0 {
		t.Errorf("%d and %d servers crashed in the phases after the return, want 0", r.Phases[3].Overloads, p.Overloads)
	}
}

// TestFortyGatewaysRecoverZoneAtOnce returns a zone to forty gateways that exchange nothing. Together they must not exceed the capacity of
// any cold server.
func TestFortyGatewaysRecoverZoneAtOnce(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2} {
		r := run(t, Options{Seed: seed, Gateways: 40, Servers: 9, Rate: 1500, Duration: 45 * sec, Phases: []time.Duration{5 * sec, 15 * sec, 35 * sec},
			Events: []Event{{5 * sec, func(f *Fleet) { f.FailServers("sapporo", RefusesConnections, 1) }},
				{15 * sec, func(f *Fleet) { f.RestartServers("sapporo", 0); f.PublishEndpoints(0) }}}})
		if p := r.Phases[2]; p.Overloads > 0 || p.MaxColdLoad > 1 { // 1 is the capacity of a cold server, 2.5 times as much crashes it
			t.Errorf("seed %d: %d crashes, maximum load of a cold server %.2f of its warm-up capacity; want none and at most 1", seed, p.Overloads, p.MaxColdLoad)
		}
		if all, _ := r.Phases[3].inTimeFractions(); all < 0.98 {
			t.Errorf("seed %d: %.3f in time after the recovery, want at least 0.98", seed, all)
		}
	}
}

func Example() {
	r, err := Run(Options{Seed: 1, Rate: 100, Duration: 2 * sec})
	fmt.Println(err, r.Lost, r.DuplicateEffects)
	// Output: <nil> 0 0
}

// TestBothZonesAreOverloaded overloads both zones. Classes with a higher priority weight must be served first, each class must get a
// minimum share, and requests must be rejected early.
func TestBothZonesAreOverloaded(t *testing.T) {
	t.Parallel()
	r := run(t, Options{Seed: 10, Gateways: 8, Rate: 1200, Duration: 30 * sec, Phases: []time.Duration{10 * sec, 13 * sec},
		Burst: func(at time.Duration) float64 {
			if at >= 10*sec {
				return 4 // 4,800 requests per second, where both zones together can serve 2,400
			}
			return 1
		}})
	classes := r.Phases[2].Classes
	fraction := func(name string) float64 { return classes[name].fraction(classes[name].InTime) }
	if seatMap, seatHold, pay := fraction("seat-map"), fraction("seat-hold"), fraction("pay"); seatMap > seatHold || seatHold > pay || pay < 0.7 || seatMap < 0.05 {
		t.Errorf("in time: seat-map %.3f, seat-hold %.3f, pay %.3f; want increasing fractions, at least 0.05 for seat-map and 0.7 for pay", seatMap, seatHold, pay)
	}
	for name, c := range classes {
		if c.fraction(c.FailedLate) > 0.01 {
			t.Errorf("%s: %.3f rejected or failed late, want at most 0.01", name, c.fraction(c.FailedLate))
		}
	}
}
