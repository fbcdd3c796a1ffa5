package release

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleet is gateways that do as they are told, and serve.
type fleet struct {
	b   *Ledger
	all map[string]*Gateway
	now time.Duration
	// What the new configuration does to a gateway that has it.
	errors, slow float64
	load         uint64 // requests a round
}

func newFleet(n int) *fleet {
	f := &fleet{b: NewLedger(), all: map[string]*Gateway{}, load: 100}
	for i := range n {
		name := fmt.Sprintf("g%02d", i)
		f.all[name] = &Gateway{Name: name, Site: string(rune('s' + i%2)), Zone: string(rune('a' + i/2%2)), Incarnation: 1, Responding: true, Figures: Figures{Memory: 100 << 20}}
	}
	_ = f.b.StoreConfig("new", "text")
	f.round()
	return f
}

// round has every gateway that is here take what it is to have, serve for a second, and say so.
func (f *fleet) round() {
	f.now += time.Second
	var l []Gateway
	for _, name := range slices.Sorted(maps.Keys(f.all)) {
		g := f.all[name]
		if g.Responding {
			g.Config = f.b.DesiredConfig(name)
			g.Accepted += f.load
			bad := 0.0
			took := 0.010
			if g.Config == "new" {
				bad, took = f.errors, took*(1+f.slow)
			}
			n := uint64(bad * float64(f.load))
			g.Failed, g.Served, g.LatencySeconds = g.Failed+n, g.Served+f.load-n, g.LatencySeconds+took*float64(f.load-n)
		}
		l = append(l, *g)
	}
	f.b.Observe(f.now, l)
}

func (f *fleet) has(digest string) (n int) {
	for _, g := range f.all {
		if g.Config == digest {
			n++
		}
	}
	return n
}

func plan(back bool) Plan {
	return Plan{ID: "r", Target: "new", Owner: "t", Soak: 5 * time.Second, RollBackOnFailure: back}
}

// run plays rounds until the release has ended, or halts; it gives the most gateways that had it at once while it was judged.
func (f *fleet) run(t *testing.T, rounds int) (most int) {
	t.Helper()
	for range rounds {
		f.round()
		most = max(most, f.has("new"))
		if r := f.b.Current; r == nil || r.State == Halted {
			return most
		}
	}
	return most
}

func TestWaves(t *testing.T) {
	f := newFleet(40)
	seen := map[string]bool{}
	w := Waves(slices.Collect(maps.Values(f.b.Gateways)))
	for i, names := range w {
		zones := map[string]string{}
		for _, n := range names {
			g := f.all[n]
			if z, ok := zones[g.Site]; ok && z != g.Zone {
				t.Errorf("wave %d has zones %s and %s of site %s", i, z, g.Zone, g.Site)
			}
			zones[g.Site] = g.Zone
			if seen[n] {
				t.Errorf("%s is in two waves", n)
			}
			seen[n] = true
		}
	}
	if len(seen) != 40 || len(w[0]) != 2 || len(w[0])+len(w[1]) != 4 {
		t.Errorf("%d gateways in waves %v", len(seen), w)
	}
}

// A good one goes over all; one that is bad, slow, refused, kills, or leaks stops at its canaries, and goes back where that was
// asked for; with too little traffic nothing is known, and it waits.
func TestGates(t *testing.T) {
	f := newFleet(20)
	if err := f.b.Start(f.now, plan(true)); err != nil {
		t.Fatal(err)
	}
	f.run(t, 200)
	if f.b.CurrentConfig != "new" || f.has("new") != 20 || f.b.Ended[0].State != Done {
		t.Errorf("a good one: %+v, %d have it", f.b.Ended, f.has("new"))
	}
	for what, spoil := range map[string]func(f *fleet){
		"errors":  func(f *fleet) { f.errors = 0.05 },
		"slow":    func(f *fleet) { f.slow = 2 },
		"refused": func(f *fleet) { f.all["g00"].ConfigRejected = "line 3" },
		"crash":   func(f *fleet) { f.round(); f.round(); f.all["g00"].Incarnation++ },
		"leak":    func(f *fleet) { f.round(); f.round(); f.all["g00"].Memory *= 4 },
		"silence": func(f *fleet) { f.round(); f.round(); f.all["g00"].Responding = false },
	} {
		for _, back := range []bool{false, true} {
			f := newFleet(20)
			if err := f.b.Start(f.now, plan(back)); err != nil {
				t.Fatal(err)
			}
			spoil(f)
			most := f.run(t, 200)
			switch {
			case most > 2:
				t.Errorf("%s: %d of 20 had it", what, most)
			case !back && (f.b.Current == nil || f.b.Current.State != Halted || f.b.Current.StateReason == ""):
				t.Errorf("%s: %+v", what, f.b.Current)
			case back && (f.b.Current != nil || f.b.Ended[0].State != RolledBack || f.b.Ended[0].StateReason == "" || f.b.CurrentConfig != ""):
				t.Errorf("%s, back: %+v %+v", what, f.b.Current, f.b.Ended)
			}
		}
	}
	f = newFleet(20)
	f.load = 1
	_ = f.b.Start(f.now, plan(true))
	if f.run(t, 60); f.b.Current == nil || f.b.Current.Wave != 0 || !strings.Contains(f.b.Current.StateReason, "too little is known") {
		t.Errorf("a canary without traffic: %v", f.b.Current)
	}
}

// By hand at any moment: halt, resume, back, stop; a second release waits; the same asked for again is the same.
func TestByHand(t *testing.T) {
	f := newFleet(20)
	_ = f.b.StoreConfig("other", "x")
	if err := f.b.Start(f.now, plan(false)); err != nil {
		t.Fatal(err)
	}
	if err := f.b.Start(f.now, plan(false)); err != nil {
		t.Errorf("the same once more: %v", err)
	}
	if err := f.b.Start(f.now, Plan{ID: "s", Target: "other"}); err == nil {
		t.Error("two at once")
	}
	for f.b.Current.Wave < 1 {
		f.round()
	}
	had := f.has("new")
	for range 2 {
		if err := f.b.Halt(f.now, "by hand"); err != nil {
			t.Fatal(err)
		}
	}
	for range 20 {
		f.round()
	}
	if n := f.has("new"); n < had || f.b.Current.State != Halted {
		t.Errorf("%d have it, %d had, %v", n, had, f.b.Current)
	}
	_ = f.b.Resume(f.now)
	for f.b.Current.Wave < 2 {
		f.round()
	}
	for range 2 {
		if err := f.b.Rollback(f.now, "by hand"); err != nil {
			t.Fatal(err)
		}
	}
	for f.b.Current != nil {
		before := f.has("new")
		f.round()
		if n := f.has("new"); n > before {
			t.Fatalf("%d have it on the way back, %d had", n, before)
		}
	}
	if f.round(); f.has("") != 20 || f.b.Ended[0].State != RolledBack {
		t.Errorf("%d have what they had: %+v", f.has(""), f.b.Ended)
	}
	p := plan(false)
	p.ID = "again"
	_ = f.b.Start(f.now, p)
	f.round()
	_ = f.b.Halt(f.now, "")
	if err := f.b.Stop(f.now, "enough"); err != nil {
		t.Fatal(err)
	}
	if f.round(); f.has("new") != 2 || f.b.Ended[1].State != Stopped {
		t.Errorf("stopped: %d have it", f.has("new"))
	}
	if f.b.Rollback(f.now, "") != ErrNoRelease || f.b.Start(f.now, Plan{ID: "t", Target: "nobody has this"}) == nil {
		t.Error("what cannot be done was done")
	}
}

// Whatever happens in whatever order, with other leaders in between and through its stored form: each gateway is to have the new one or
// the one before, waves only grow on the way forward and shrink on the way back, and when all is well again it comes to an end.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 9).Draw(t, "gateways"))
		names := slices.Sorted(maps.Keys(f.all))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			state, before := State(""), 0
			wanted := func() (n int) {
				for _, name := range names {
					switch w := f.b.DesiredConfig(name); w {
					case "new":
						n++
					case "":
					default:
						t.Fatalf("%s is to have %q", name, w)
					}
				}
				return n
			}
			if f.b.Current != nil {
				state, before = f.b.Current.State, wanted()
			}
			g := f.all[rapid.SampledFrom(names).Draw(t, "gateway")]
			event := rapid.IntRange(0, 11).Draw(t, "event")
			switch event {
			case 0:
				_ = f.b.Start(f.now, plan(rapid.Bool().Draw(t, "back")))
			case 1:
				_ = f.b.Halt(f.now, "")
			case 2:
				_ = f.b.Resume(f.now)
			case 3:
				_ = f.b.Rollback(f.now, "")
			case 4:
				_ = f.b.Stop(f.now, "")
			case 5:
				g.Responding = !g.Responding
			case 6:
				g.Incarnation++
				g.Figures = Figures{}
			case 7:
				f.errors = 0.2 - f.errors
			case 8:
				f.now = 0
				f.b.BeginTerm(0)
			case 9:
				text, err := json.Marshal(f.b)
				if err != nil {
					t.Fatal(err)
				}
				if f.b, err = Restore(text); err != nil {
					t.Fatal(err)
				}
			default:
				f.round()
			}
			if r := f.b.Current; r != nil && r.State == state {
				n := wanted()
				if state == Running && n < before || state == RollingBack && n > before || state == Halted && n != before {
					t.Fatalf("%s: %d were to have it, now %d (event %d)", state, before, n, event)
				}
			}
		}
		f.errors = 0
		for _, g := range f.all {
			g.Responding = true
		}
		if f.b.Current != nil && f.b.Current.State == Halted {
			_ = f.b.Rollback(f.now, "")
		}
		for range 400 {
			f.round()
		}
		if r := f.b.Current; r != nil && r.State != Halted {
			t.Fatalf("it does not end: %v", r)
		}
	})
}

// What is stored is read as it was or refused.
func FuzzRestore(f *testing.F) {
	x := newFleet(4)
	_ = x.b.Start(x.now, plan(true))
	x.round()
	text, _ := json.Marshal(x.b)
	f.Add(text)
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		b, err := Restore(text)
		if err != nil {
			return
		}
		for range 3 {
			b.Observe(b.Now+time.Second, []Gateway{{Name: "g00", Responding: true, Config: "new"}})
		}
		_ = b.Rollback(b.Now, "")
		b.Observe(b.Now+time.Second, nil)
		_ = b.DesiredConfig("g00")
	})
}
