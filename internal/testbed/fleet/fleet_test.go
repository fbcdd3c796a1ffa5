package fleet

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"
	"time"
)

const s = time.Second

// run plays it and checks what holds whatever happens.
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
		t.Errorf("%d effects taken twice, %d requests lost", r.DuplicateEffects, r.Lost)
	}
	return r
}

// in gives the part of a phase's requests that were answered in time, of all classes, and of those with a living own zone.
func (p Phase) in() (all, home float64) {
	var asked, ok, h, hok float64
	for _, c := range p.Classes {
		asked, ok, h, hok = asked+float64(c.Requests), ok+float64(c.InTime), h+float64(c.Local), hok+float64(c.LocalInTime)
	}
	return ok / max(asked, 1), hok / max(h, 1)
}

func (c *ClassCount) part(n int) float64 { return float64(n) / float64(max(c.Requests, 1)) }

// The same options give the same result.
func TestSameSeedSameResult(t *testing.T) {
	t.Parallel()
	o := Options{Seed: 3, Rate: 800, Duration: 8 * s, Events: []Event{{2 * s, func(f *Fleet) { f.FailServers("sapporo", LosesResponses, 1) }}}}
	a, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	b, err := Run(o)
	if err != nil || !reflect.DeepEqual(a, b) {
		t.Errorf("%v: two runs differ", err)
	}
	o.Seed++
	if c, _ := Run(o); reflect.DeepEqual(a, c) {
		t.Error("another seed changes nothing")
	}
}

// sapporo goes dark in each way while both zones together have three quarters of what ishikari alone can do.
func TestZoneFails(t *testing.T) {
	t.Parallel()
	for name, how := range map[string]ServerState{"refuses connections": RefusesConnections, "accepts and says nothing": NeverResponds, "answers 503": Responds503,
		"resets after the last byte": ResetsAfterRequest, "loses four of five answers": LosesResponses} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := run(t, Options{Seed: 1, Gateways: 8, Rate: 900, Duration: 30 * s, Phases: []time.Duration{10 * s, 13 * s},
				Events: []Event{{10 * s, func(f *Fleet) { f.FailServers("sapporo", how, 1) }}}})
			if _, home := r.Phases[1].in(); home < 0.97 {
				t.Errorf("%.3f in time at the gateways of the zone that lives, while the other goes", home)
			}
			all, home := r.Phases[2].in()
			if all < 0.95 || home < 0.98 {
				t.Errorf("%.3f in time once it is gone, %.3f at the gateways of the zone that lives", all, home)
			}
			if p := r.Phases[0]; p.CrossZone > p.Attempts/200 {
				t.Errorf("%d of %d crossed in good times", p.CrossZone, p.Attempts)
			}
		})
	}
	t.Run("doubles its latency every second", func(t *testing.T) {
		t.Parallel()
		var l []Event
		for i := range 8 {
			l = append(l, Event{10*s + time.Duration(i)*s, func(f *Fleet) { f.SlowDown("sapporo", 2) }})
		}
		r := run(t, Options{Seed: 1, Gateways: 8, Rate: 900, Duration: 30 * s, Phases: []time.Duration{10 * s, 18 * s}, Events: l})
		if all, _ := r.Phases[2].in(); all < 0.9 {
			t.Errorf("%.3f in time in the end", all)
		}
	})
}

// The zone that lives is at 85% of what it can do with its own requests alone: they keep their service, and what of the
// others does not fit is refused early.
func TestZoneFailsWhileOtherIsBusy(t *testing.T) {
	t.Parallel()
	o := Options{Seed: 2, Gateways: 8, Rate: 2040, Duration: 40 * s, Phases: []time.Duration{10 * s, 13 * s},
		Events: []Event{{10 * s, func(f *Fleet) { f.FailServers("sapporo", RefusesConnections, 1) }}}}
	r := run(t, o)
	_, before := r.Phases[0].in()
	_, home := r.Phases[2].in()
	t.Logf("at home %.4f in time before, %.4f after", before, home)
	if home < before-0.08 {
		t.Errorf("its own requests: %.3f in time before, %.3f after", before, home)
	}
	for name, c := range r.Phases[2].Classes {
		if late := c.part(c.FailedLate + c.Late); late > 0.04 {
			t.Errorf("%s: %.3f answered or given up late", name, late)
		}
	}
	p := r.Phases[2].Classes
	if a, b := p["seat-hold"], p["seat-map"]; a.part(a.InTime) < b.part(b.InTime) {
		t.Errorf("seat-hold %.3f, seat-map %.3f: worth does not count", a.part(a.InTime), b.part(b.InTime))
	}
	o.Mode = Failover
	if _, plain := run(t, o).Phases[2].in(); plain > home-0.05 {
		t.Errorf("plain failover serves %.3f at home, tiers %.3f: the limit does nothing", plain, home)
	}
}

// The zone flaps for a minute, up one second and down one, during a sale of four times the usual load.
func TestZoneFlapsDuringSale(t *testing.T) {
	t.Parallel()
	var l []Event
	for i := range 30 {
		at := 10*s + time.Duration(2*i)*s
		l = append(l, Event{at, func(f *Fleet) { f.FailServers("sapporo", RefusesConnections, 1) }}, Event{at + s, func(f *Fleet) { f.ReviveServers("sapporo") }})
	}
	r := run(t, Options{Seed: 4, Gateways: 8, Rate: 450, Duration: 75 * s, Phases: []time.Duration{10 * s, 70 * s}, Events: l,
		Burst: func(at time.Duration) float64 {
			if at >= 10*s && at < 70*s {
				return 4
			}
			return 1
		}})
	p := r.Phases[1]
	if _, home := p.in(); home < 0.9 {
		t.Errorf("%.3f in time where the own zone lives at the time", home)
	}
	if p.MaxLoad > 1.5 {
		t.Errorf("a server got %.2f of its capacity in a second", p.MaxLoad)
	}
}

// It returns with all servers cold, half of them under new ids, and the list says so ten seconds late. Who sends all at
// once then gives them more than they can do.
func TestZoneReturnsColdWithLateEndpointList(t *testing.T) {
	t.Parallel()
	for _, late := range []time.Duration{0, 10 * s} {
		o := Options{Seed: 5, Gateways: 8, Rate: 900, Duration: 60 * s, Phases: []time.Duration{10 * s, 20 * s, 40 * s},
			Events: []Event{{10 * s, func(f *Fleet) { f.FailServers("sapporo", RefusesConnections, 1) }},
				{20 * s, func(f *Fleet) { f.RestartServers("sapporo", 3); f.PublishEndpoints(late) }}}}
		r := run(t, o)
		p := r.Phases[2]
		if p.Overloads > 0 || p.MaxColdLoad > 1 {
			t.Errorf("list %v late: %d fell over, the worst got %.2f of its warm-up capacity", late, p.Overloads, p.MaxColdLoad)
		}
		if all, _ := p.in(); all < 0.93 {
			t.Errorf("list %v late: %.3f in time on the way back", late, all)
		}
		if all, _ := r.Phases[3].in(); all < 0.985 {
			t.Errorf("list %v late: %.3f in time in the end", late, all)
		}
		if late > 0 {
			o := o
			o.Mode = Failover
			if w := run(t, o).Phases[2].MaxColdLoad; w < 2*p.MaxColdLoad {
				t.Errorf("a plain failover gives them %.2f, tiers %.2f: the steps do nothing", w, p.MaxColdLoad)
			}
		}
	}
}

// A zone returns and rejects one class: the other classes are served there, that one goes on crossing zones.
func TestZoneReturnsExceptForOneClass(t *testing.T) {
	t.Parallel()
	r := run(t, Options{Seed: 6, Gateways: 8, Rate: 700, Duration: 60 * s, Phases: []time.Duration{10 * s, 20 * s, 40 * s},
		Events: []Event{{10 * s, func(f *Fleet) { f.FailServers("sapporo", Responds503, 1) }},
			{20 * s, func(f *Fleet) {
				f.RestartServers("sapporo", 0)
				f.SetRejectedClass("sapporo", "seat-hold", true)
				f.PublishEndpoints(0)
			}}}})
	p := r.Phases[3]
	for name, c := range p.Classes {
		if c.part(c.InTime) < 0.93 {
			t.Errorf("%s: %.3f in time", name, c.part(c.InTime))
		}
	}
	if part := float64(p.CrossZone) / float64(p.Attempts); part < 0.08 || part > 0.3 { // an eighth is the class of half the gateways
		t.Errorf("%.3f of the attempts cross", part)
	}
}

// Half a zone dies: what it lacks goes over, the rest stays.
func TestHalfOfZoneFails(t *testing.T) {
	t.Parallel()
	r := run(t, Options{Seed: 7, Gateways: 8, Rate: 1200, Duration: 30 * s, Phases: []time.Duration{10 * s, 12 * s},
		Events: []Event{{10 * s, func(f *Fleet) { f.FailServers("sapporo", RefusesConnections, 0.5) }}}})
	p := r.Phases[2]
	if all, _ := p.in(); all < 0.97 {
		t.Errorf("%.3f in time", all)
	}
	if part := float64(p.CrossZone) / float64(p.Attempts); part < 0.05 || part > 0.35 { // 30% of half the load by Envoy's rule
		t.Errorf("%.3f of the attempts cross", part)
	}
}

// Three tiers: the first two go, the third takes over and the first that returns is used again.
func TestThreeTiers(t *testing.T) {
	t.Parallel()
	o := Options{Seed: 8, Zones: []string{"sapporo", "ishikari", "tokyo"}, Gateways: 6, Rate: 700, Duration: 60 * s,
		Phases: []time.Duration{5 * s, 15 * s, 25 * s, 45 * s}}
	o.Zone.Tiers = [][]string{{"sapporo"}, {"ishikari"}, {"tokyo"}}
	o.Events = []Event{{5 * s, func(f *Fleet) { f.FailServers("sapporo", RefusesConnections, 1) }}, {15 * s, func(f *Fleet) { f.FailServers("ishikari", NeverResponds, 1) }},
		{25 * s, func(f *Fleet) { f.RestartServers("sapporo", 0); f.PublishEndpoints(0) }}}
	r := run(t, o)
	for i, least := range []float64{0.98, 0.9, 0.8, 0.9, 0.98} {
		if all, _ := r.Phases[i].in(); all < least {
			t.Errorf("phase %d: %.3f in time", i, all)
		}
	}
}

// All zones go dark: what comes is refused at once, and the first that is back is found without a stampede.
func TestAllZonesFail(t *testing.T) {
	t.Parallel()
	r := run(t, Options{Seed: 9, Gateways: 8, Rate: 900, Duration: 60 * s, Phases: []time.Duration{10 * s, 12 * s, 20 * s, 24 * s, 40 * s},
		Events: []Event{{10 * s, func(f *Fleet) {
			f.FailServers("sapporo", RefusesConnections, 1)
			f.FailServers("ishikari", RefusesConnections, 1)
		}},
			{20 * s, func(f *Fleet) { f.RestartServers("ishikari", 0); f.PublishEndpoints(0) }}}})
	dark := r.Phases[2]
	for name, c := range dark.Classes {
		if c.part(c.FailedLate) > 0.01 {
			t.Errorf("%s: %.3f given up late while all is dark", name, c.part(c.FailedLate))
		}
	}
	if n := dark.Attempts; n > 8*2*8*3 { // probes of eight gateways to two zones, twice a second and some
		t.Errorf("%d attempts at dark zones in 8 s", n)
	}
	found := 0
	for _, c := range r.Phases[3].Classes {
		found += c.InTime
	}
	if found == 0 {
		t.Error("nothing is served 4 s after one is back")
	}
	if p := r.Phases[4]; p.Overloads > 0 || r.Phases[3].Overloads > 0 {
		t.Errorf("%d and %d servers fell over", r.Phases[3].Overloads, p.Overloads)
	}
}

// Forty gateways share nothing and see the same return at once: no server is pushed past its warm-up load by all of them
// together.
func TestFortyGatewaysRecoverZoneAtOnce(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2} {
		r := run(t, Options{Seed: seed, Gateways: 40, Servers: 9, Rate: 1500, Duration: 45 * s, Phases: []time.Duration{5 * s, 15 * s, 35 * s},
			Events: []Event{{5 * s, func(f *Fleet) { f.FailServers("sapporo", RefusesConnections, 1) }},
				{15 * s, func(f *Fleet) { f.RestartServers("sapporo", 0); f.PublishEndpoints(0) }}}})
		if p := r.Phases[2]; p.Overloads > 0 || p.MaxColdLoad > 1 { // 1 is what it can do as cold as it is, 2.5 where it falls over
			t.Errorf("seed %d: %d fell over, the worst got %.2f of its warm-up capacity", seed, p.Overloads, p.MaxColdLoad)
		}
		if all, _ := r.Phases[3].in(); all < 0.98 {
			t.Errorf("seed %d: %.3f in time in the end", seed, all)
		}
	}
}

func Example() {
	r, err := Run(Options{Seed: 1, Rate: 100, Duration: 2 * s})
	fmt.Println(err, r.Lost, r.DuplicateEffects)
	// Output: <nil> 0 0
}

// Both zones are short: what is worth more is served first, each class has its floor, and nothing is given up late.
func TestBothZonesAreOverloaded(t *testing.T) {
	t.Parallel()
	r := run(t, Options{Seed: 10, Gateways: 8, Rate: 1200, Duration: 30 * s, Phases: []time.Duration{10 * s, 13 * s},
		Burst: func(at time.Duration) float64 {
			if at >= 10*s {
				return 4 // of 1,200, where both zones can do 2,400
			}
			return 1
		}})
	p := r.Phases[2].Classes
	part := func(name string) float64 { return p[name].part(p[name].InTime) }
	if m, h, pay := part("seat-map"), part("seat-hold"), part("pay"); m > h || h > pay || pay < 0.7 || m < 0.05 {
		t.Errorf("in time: seat-map %.3f, seat-hold %.3f, pay %.3f", m, h, pay)
	}
	for name, c := range p {
		if c.part(c.FailedLate) > 0.01 {
			t.Errorf("%s: %.3f given up late", name, c.part(c.FailedLate))
		}
	}
}
