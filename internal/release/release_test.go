package release

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleet simulates gateways that use the configuration that they are assigned, and serve requests.
type fleet struct {
	ledger   *Ledger
	gateways map[string]*Gateway
	now      time.Duration
	// Effects of the new configuration on a gateway that uses it.
	errorRate float64
	slowdown  float64 // increase of the latency, as a multiple of it

	load uint64 // requests per gateway and round
}

// newFleet returns a fleet of n gateways at two sites with two zones each.
func newFleet(n int) *fleet {
	f := &fleet{ledger: NewLedger(), gateways: map[string]*Gateway{}, load: 100}
	for i := range n {
		name := fmt.Sprintf("g%02d", i)
		f.gateways[name] = &Gateway{
			Name:        name,
			Site:        string(rune('s' + i%2)),
			Zone:        string(rune('a' + i/2%2)),
			Incarnation: 1,
			Responding:  true,
			Figures:     Figures{Memory: 100 << 20},
		}
	}
	_ = f.ledger.StoreConfig("new", "text")
	f.round()
	return f
}

func (f *fleet) names() []string { return slices.Sorted(maps.Keys(f.gateways)) }

// round makes every responding gateway use its desired configuration, serve for a second, and report.
func (f *fleet) round() {
	f.now += time.Second
	var reports []Gateway
	for _, name := range f.names() {
		g := f.gateways[name]
		if g.Responding {
			g.Config = f.ledger.DesiredConfig(name)
			f.serve(g)
		}
		reports = append(reports, *g)
	}
	f.ledger.Observe(f.now, reports)
}

func (f *fleet) serve(g *Gateway) {
	errorRate, latency := 0.0, 0.010
	if g.Config == "new" {
		errorRate, latency = f.errorRate, latency*(1+f.slowdown)
	}
	errors := uint64(errorRate * float64(f.load))
	g.Accepted += f.load
	g.Failed += errors
	g.Served += f.load - errors
	g.LatencySeconds += latency * float64(f.load-errors)
}

// countWith returns how many gateways use the configuration with the given digest.
func (f *fleet) countWith(digest string) int {
	n := 0
	for _, g := range f.gateways {
		if g.Config == digest {
			n++
		}
	}
	return n
}

// run simulates up to the given number of rounds, until the release has ended or is halted. It returns the largest number of gateways that
// used the new configuration at the same time.
func (f *fleet) run(t *testing.T, rounds int) int {
	t.Helper()
	maxCount := 0
	for range rounds {
		f.round()
		maxCount = max(maxCount, f.countWith("new"))
		if r := f.ledger.Current; r == nil || r.State == Halted {
			break
		}
	}
	return maxCount
}

func configPlan(rollBack bool) Plan {
	return Plan{ID: "r", Target: "new", Owner: "t", Soak: 5 * time.Second, RollBackOnFailure: rollBack}
}

func TestWavesHaveOneZonePerSite(t *testing.T) {
	f := newFleet(40)
	seen := map[string]bool{}
	waves := Waves(slices.Collect(maps.Values(f.ledger.Gateways)))
	for i, names := range waves {
		zones := map[string]string{} // by site
		for _, name := range names {
			g := f.gateways[name]
			if zone, ok := zones[g.Site]; ok && zone != g.Zone {
				t.Errorf("wave %d has zones %s and %s of site %s, want one zone", i, zone, g.Zone, g.Site)
			}
			zones[g.Site] = g.Zone
			if seen[name] {
				t.Errorf("%s is in more than one wave", name)
			}
			seen[name] = true
		}
	}
	if len(seen) != 40 || len(waves[0]) != 2 || len(waves[0])+len(waves[1]) != 4 {
		t.Errorf("got %d gateways in waves %v, want 40 with 2 in the first wave and 2 in the second", len(seen), waves)
	}
}

func TestGoodReleaseReachesEveryGateway(t *testing.T) {
	f := newFleet(20)
	if err := f.ledger.Start(f.now, configPlan(true)); err != nil {
		t.Fatal(err)
	}
	f.run(t, 200)
	if f.ledger.CurrentConfig != "new" || f.countWith("new") != 20 || f.ledger.Ended[0].State != Done {
		t.Errorf("ended releases %+v, current configuration %q, used by %d gateways; want a done release, \"new\" and 20", f.ledger.Ended, f.ledger.CurrentConfig,
			f.countWith("new"))
	}
}

// TestBadReleaseStopsAtItsCanaries starts a release whose canaries show a fault. It must be halted, or rolled back if its plan has
// RollBackOnFailure, before its first wave has passed.
func TestBadReleaseStopsAtItsCanaries(t *testing.T) {
	afterTwoRounds := func(change func(g *Gateway)) func(f *fleet) {
		return func(f *fleet) {
			f.round()
			f.round()
			change(f.gateways["g00"])
		}
	}
	for name, fault := range map[string]func(f *fleet){
		"errors":   func(f *fleet) { f.errorRate = 0.05 },
		"slow":     func(f *fleet) { f.slowdown = 2 },
		"rejected": func(f *fleet) { f.gateways["g00"].ConfigRejected = "line 3" },
		"crash":    afterTwoRounds(func(g *Gateway) { g.Incarnation++ }),
		"leak":     afterTwoRounds(func(g *Gateway) { g.Memory *= 4 }),
		"silence":  afterTwoRounds(func(g *Gateway) { g.Responding = false }),
	} {
		for _, rollBack := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/rollback=%v", name, rollBack), func(t *testing.T) {
				f := newFleet(20)
				if err := f.ledger.Start(f.now, configPlan(rollBack)); err != nil {
					t.Fatal(err)
				}
				fault(f)
				if maxCount := f.run(t, 200); maxCount > 2 {
					t.Errorf("%d of 20 gateways used the new configuration, want at most 2", maxCount)
				}
				current, ended := f.ledger.Current, f.ledger.Ended
				if !rollBack {
					if current == nil || current.State != Halted || current.StateReason == "" {
						t.Errorf("release in progress: got %+v, want a halted one with a reason", current)
					}
					return
				}
				if current != nil || ended[0].State != RolledBack || ended[0].StateReason == "" || f.ledger.CurrentConfig != "" {
					t.Errorf("got release in progress %+v, ended %+v, want one rolled back with a reason", current, ended)
				}
			})
		}
	}
}

func TestCanaryWithoutTrafficWaits(t *testing.T) {
	f := newFleet(20)
	f.load = 1
	_ = f.ledger.Start(f.now, configPlan(true))
	f.run(t, 60)
	r := f.ledger.Current
	if r == nil || r.Wave != 0 || !strings.Contains(r.StateReason, "too little is known") {
		t.Errorf("got release %v, want one in its first wave that has too few requests", r)
	}
}

// runToWave simulates rounds until the release has reached the wave with the given index.
func (f *fleet) runToWave(wave int) {
	for f.ledger.Current.Wave < wave {
		f.round()
	}
}

// callTwice makes a call twice, since repeating it must have no effect, and fails the test on an error.
func callTwice(t *testing.T, call func() error) {
	t.Helper()
	for range 2 {
		if err := call(); err != nil {
			t.Fatal(err)
		}
	}
}

func TestSecondReleaseIsRejectedWhileOneIsInProgress(t *testing.T) {
	f := newFleet(20)
	_ = f.ledger.StoreConfig("other", "x")
	callTwice(t, func() error { return f.ledger.Start(f.now, configPlan(false)) })
	if err := f.ledger.Start(f.now, Plan{ID: "s", Target: "other"}); !errors.Is(err, ErrInProgress) {
		t.Errorf("Start during another release: got %v, want ErrInProgress", err)
	}
}

func TestCommandsWithoutReleaseAreErrors(t *testing.T) {
	f := newFleet(20)
	if err := f.ledger.Rollback(f.now, ""); !errors.Is(err, ErrNoRelease) {
		t.Errorf("Rollback without a release: got %v, want ErrNoRelease", err)
	}
	if err := f.ledger.Start(f.now, Plan{ID: "t", Target: "not a stored digest"}); !errors.Is(err, ErrUnknownConfig) {
		t.Errorf("Start with a configuration that is not stored: got %v, want ErrUnknownConfig", err)
	}
}

// TestOperatorCommands halts, resumes and rolls back one release, and halts and stops the next. Repeated calls must have no effect.
func TestOperatorCommands(t *testing.T) {
	f := newFleet(20)
	l := f.ledger
	if err := l.Start(f.now, configPlan(false)); err != nil {
		t.Fatal(err)
	}
	f.runToWave(1)
	before := f.countWith("new")
	callTwice(t, func() error { return l.Halt(f.now, "by hand") })
	for range 20 {
		f.round()
	}
	if n := f.countWith("new"); n < before || l.Current.State != Halted {
		t.Errorf("halted release: %d gateways use the new configuration, want at least %d; release %v", n, before, l.Current)
	}

	_ = l.Resume(f.now)
	f.runToWave(2)
	callTwice(t, func() error { return l.Rollback(f.now, "by hand") })
	for l.Current != nil {
		before := f.countWith("new")
		f.round()
		if n := f.countWith("new"); n > before {
			t.Fatalf("rollback: %d gateways use the new configuration, want at most %d", n, before)
		}
	}
	f.round()
	if f.countWith("") != 20 || l.Ended[0].State != RolledBack {
		t.Errorf("after the rollback %d gateways use their previous configuration, want 20; ended releases %+v", f.countWith(""), l.Ended)
	}

	nextPlan := configPlan(false)
	nextPlan.ID = "again"
	_ = l.Start(f.now, nextPlan)
	f.round()
	_ = l.Halt(f.now, "")
	if err := l.Stop(f.now, "enough"); err != nil {
		t.Fatal(err)
	}
	f.round()
	if f.countWith("new") != 2 || l.Ended[1].State != Stopped {
		t.Errorf("stopped release: %d gateways use the new configuration, want 2; ended releases %+v", f.countWith("new"), l.Ended)
	}
	if err := l.Rollback(f.now, ""); !errors.Is(err, ErrNoRelease) {
		t.Errorf("Rollback of a stopped release: got %v, want ErrNoRelease", err)
	}
}

// TestAnyEventSequenceEnds makes calls in any order, with leader changes and restores of the ledger in between. The desired configuration of
// each gateway must be the new or the previous one, the number of gateways that are to use the new one must only grow while the release
// runs and only shrink during a rollback, and once there are no more faults the release must end.
func TestAnyEventSequenceEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 9).Draw(t, "gateways"))
		names := f.names()
		countDesired := func() int {
			n := 0
			for _, name := range names {
				switch digest := f.ledger.DesiredConfig(name); digest {
				case "new":
					n++
				case "":
				default:
					t.Fatalf("DesiredConfig(%s) = %q, want \"new\" or none", name, digest)
				}
			}
			return n
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			state, before := State(""), 0
			if f.ledger.Current != nil {
				state, before = f.ledger.Current.State, countDesired()
			}
			gateway := f.gateways[rapid.SampledFrom(names).Draw(t, "gateway")]
			event := rapid.IntRange(0, 11).Draw(t, "event")
			f.apply(t, event, gateway)
			if r := f.ledger.Current; r != nil && r.State == state {
				n := countDesired()
				if state == Running && n < before || state == RollingBack && n > before || state == Halted && n != before {
					t.Fatalf("release is %q: number of gateways that are to use the new configuration changed from %d to %d (event %d)", state, before, n, event)
				}
			}
		}
		f.errorRate = 0
		for _, g := range f.gateways {
			g.Responding = true
		}
		if f.ledger.Current != nil && f.ledger.Current.State == Halted {
			_ = f.ledger.Rollback(f.now, "")
		}
		for range 400 {
			f.round()
		}
		if r := f.ledger.Current; r != nil && r.State != Halted {
			t.Fatalf("release has not ended: %v", r)
		}
	})
}

// apply performs the event with a number from 0 to 11, which may affect the given gateway.
func (f *fleet) apply(t *rapid.T, event int, gateway *Gateway) {
	l := f.ledger
	switch event {
	case 0:
		_ = l.Start(f.now, configPlan(rapid.Bool().Draw(t, "roll back")))
	case 1:
		_ = l.Halt(f.now, "")
	case 2:
		_ = l.Resume(f.now)
	case 3:
		_ = l.Rollback(f.now, "")
	case 4:
		_ = l.Stop(f.now, "")
	case 5:
		gateway.Responding = !gateway.Responding
	case 6:
		gateway.Incarnation++
		gateway.Figures = Figures{}
	case 7:
		f.errorRate = 0.2 - f.errorRate
	case 8:
		f.now = 0
		l.BeginTerm(0)
	case 9:
		text, err := json.Marshal(l)
		if err != nil {
			t.Fatal(err)
		}
		if f.ledger, err = Restore(text); err != nil {
			t.Fatal(err)
		}
	default:
		f.round()
	}
}

// FuzzRestore restores arbitrary text. Restore must return an error or a ledger that can be used.
func FuzzRestore(f *testing.F) {
	seed := newFleet(4)
	_ = seed.ledger.Start(seed.now, configPlan(true))
	seed.round()
	text, _ := json.Marshal(seed.ledger)
	f.Add(text)
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := Restore(text)
		if err != nil {
			return
		}
		for range 3 {
			l.Observe(l.Now+time.Second, []Gateway{{Name: "g00", Responding: true, Config: "new"}})
		}
		_ = l.Rollback(l.Now, "")
		l.Observe(l.Now+time.Second, nil)
		_ = l.DesiredConfig("g00")
	})
}
