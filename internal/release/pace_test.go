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

	"robindrum/internal/drain"
)

// programs is a fleet of supervised gateways with both books.
type programs struct {
	*fleet
	orders *drain.Ledger
	most   int
	away   map[string]int // rounds until a gateway that starts anew is there
	next   map[string]string
}

func newPrograms(n, most int) *programs {
	p := &programs{fleet: newFleet(n), orders: drain.NewLedger(), most: most, away: map[string]int{}, next: map[string]string{}}
	for _, g := range p.all {
		g.Version, g.Serving = "v1", true
	}
	_ = p.orders.SetBudgets(0, []drain.Budget{{Name: "g", Scope: drain.Scope{Gateways: true}, Max: most}})
	p.step()
	return p
}

// out are the gateways that orders keep out, or that start anew by one.
func (p *programs) out() map[string]bool {
	m := map[string]bool{}
	for _, o := range p.orders.Requests {
		if o.State.Unavailable() {
			m[o.Target.Gateway] = true
		}
	}
	return m
}

// step is a round in which every gateway does as it is told, and says so. It gives how many were out by plan before it was seen who
// else is missing.
func (p *programs) step() {
	out := p.out()
	for _, name := range slices.Sorted(maps.Keys(p.all)) {
		g := p.all[name]
		if n, ok := p.away[name]; ok {
			if p.away[name] = n - 1; n > 1 {
				continue
			}
			delete(p.away, name)
			g.Responding, g.Version, g.Figures = true, p.next[name], Figures{}
			g.Incarnation++
		}
		if g.Serving = g.Responding && !out[name]; g.Version == "bad" && g.Responding {
			g.VersionRejected = ""
		}
	}
	for _, o := range p.orders.List() {
		g := p.all[o.Target.Gateway]
		switch {
		case o.State == drain.Granted:
			if x, err := p.orders.Begin(p.now, o.ID, o.Token); err == nil && x.State == drain.Draining && g.Responding {
				g.Serving = false
			}
		case o.State.Unavailable() && g.Responding && o.Restart != "" && g.Version != o.Restart:
			_, _ = p.orders.Progress(p.now, o.ID, o.Token, 0)
			g.Responding, g.Serving = false, false
			p.away[g.Name], p.next[g.Name] = 2, o.Restart
		}
	}
	p.now += time.Second
	var l []Gateway
	var seen []drain.Gateway
	for _, name := range slices.Sorted(maps.Keys(p.all)) {
		g := p.all[name]
		if g.Responding {
			g.AssignedVersion = p.b.DesiredVersion(name)
		}
		x := *g
		if g.Serving {
			n := uint64(p.errors * float64(p.load))
			if g.Version != "v2" {
				n = 0
			}
			g.Accepted, g.Failed, g.Served, g.LatencySeconds = g.Accepted+p.load, g.Failed+n, g.Served+p.load-n, g.LatencySeconds+float64(p.load-n)/100
			x = *g
		}
		if !g.Responding {
			x.Version, x.Figures = "", Figures{}
		}
		l = append(l, x)
		seen = append(seen, drain.Gateway{Name: name, Site: g.Site, Zone: g.Zone, Incarnation: g.Incarnation, Serving: g.Serving})
	}
	p.b.Observe(p.now, l)
	_ = p.orders.Observe(p.now, p.orders.Version, seen, nil)
	p.b.RequestDrains(p.now, p.orders)
}

// Whatever is done by hand and whatever dies, with other leaders and through their stored forms: no more gateways are out by plan than
// may be, each runs as the version before or the new one, and when all is well again and it goes back, every one runs as it did before
// and no order is left.
func TestPaceKeepsTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPrograms(rapid.IntRange(2, 9).Draw(t, "gateways"), rapid.IntRange(1, 3).Draw(t, "most"))
		names := slices.Sorted(maps.Keys(p.all))
		check := func(what any) {
			if n := len(p.out()); n > p.most {
				t.Fatalf("%d are out by plan, %d may be (%v)", n, p.most, what)
			}
			for _, g := range p.all {
				if g.Version != "v1" && g.Version != "v2" {
					t.Fatalf("%s runs as %q", g.Name, g.Version)
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			g := p.all[rapid.SampledFrom(names).Draw(t, "gateway")]
			event := rapid.IntRange(0, 13).Draw(t, "event")
			switch event {
			case 0, 1:
				_ = p.b.Start(p.now, Plan{ID: "r", Target: "v2", OfProgram: true, Soak: 2 * time.Second, RollBackOnFailure: rapid.Bool().Draw(t, "back"), Gate: Gate{MinRequests: 50}})
			case 2:
				_ = p.b.Halt(p.now, "")
			case 3:
				_ = p.b.Resume(p.now)
			case 4:
				_ = p.b.Rollback(p.now, "")
			case 5:
				if g.Responding { // dies, and comes back as what it was
					g.Responding, g.Serving = false, false
					p.away[g.Name], p.next[g.Name] = rapid.IntRange(1, 9).Draw(t, "for"), g.Version
				}
			case 6:
				p.errors = 0.2 - p.errors
			case 7:
				p.now = 0
				p.b.BeginTerm(0)
				p.orders.BeginTerm(0)
			case 8:
				_, _ = p.orders.Submit(p.now, drain.Request{ID: fmt.Sprint("hand", g.Name), Target: drain.Target{Gateway: g.Name}, Grace: time.Minute})
				p.b.RequestDrains(p.now, p.orders)
			case 9:
				for _, name := range names {
					_, _ = p.orders.Cancel(p.now, "hand"+name)
				}
			case 10:
				one, _ := json.Marshal(p.b)
				two, _ := json.Marshal(p.orders)
				var err error
				if p.b, err = Restore(one); err != nil {
					t.Fatal(err)
				}
				if p.orders, err = drain.Restore(two); err != nil {
					t.Fatal(err)
				}
			default:
				p.step()
			}
			check(event)
		}
		p.errors = 0
		for _, name := range names {
			_, _ = p.orders.Cancel(p.now, "hand"+name)
		}
		was := map[string]string{}
		if r := p.b.Current; r != nil {
			was = r.PreviousVersions
			_ = p.b.Rollback(p.now, "")
		}
		for range 300 {
			p.step()
			check("on the way back")
		}
		for name, g := range p.all {
			if was[name] != "" && g.Version != was[name] || !g.Serving {
				t.Fatalf("%s runs as %s, before the release as %s; serving %v; %v; %+v", name, g.Version, was[name], g.Serving, p.b.Current, p.orders.List())
			}
		}
		if n := len(p.out()); n > 0 || p.b.Current != nil {
			t.Fatalf("%d are out still, %v", n, p.b.Current)
		}
	})
}

// What is rare is not in a mean: a tail, and a class by itself.
func TestTailAndClasses(t *testing.T) {
	r := &Release{Plan: Plan{Target: "x"}}
	r.fill()
	figures := func(slow, seats, inTime uint64) Figures {
		f := Figures{Accepted: 1000, Served: 1000, LatencyCounts: make([]uint64, LatencyBuckets), Classes: map[string]ClassFigures{"maps": {900, 890}, "seats": {seats, inTime}}}
		f.LatencyCounts[LatencyBucket(20*time.Millisecond)], f.LatencyCounts[LatencyBucket(time.Second)] = 1000-slow, slow
		return f
	}
	others := figures(0, 100, 99)
	for what, x := range map[string]struct {
		f    Figures
		want verdict
	}{"as the others": {figures(2, 100, 99), good}, "a tail": {figures(60, 100, 99), bad}, "a class": {figures(0, 100, 60), bad}, "a class with a handful": {figures(0, 10, 0), good}} {
		if v, why := judgeMore(r, x.f, others, Figures{}); v != x.want {
			t.Errorf("%s: %v %s", what, v, why)
		}
	}
	if v, why := judgeMore(r, figures(500, 100, 0), Figures{}, Figures{}); v != good {
		t.Errorf("with nothing to hold it against: %v %s", v, why)
	}
	for _, d := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond, time.Second, time.Hour} {
		if b := LatencyBucket(d); b < LatencyBuckets-1 && (bound(b)+100*time.Microsecond < d || b > 0 && bound(b-1) > d) {
			t.Errorf("%v is in bucket %d, up to %v", d, b, bound(b))
		}
	}
}

// A zone that is lost halts it; what is drained and has not left comes back, and nothing more goes out.
func TestLostZoneHalts(t *testing.T) {
	p := newPrograms(8, 2)
	if err := p.b.Start(p.now, Plan{ID: "r", Target: "v2", OfProgram: true, Soak: 2 * time.Second, RollBackOnFailure: true, Gate: Gate{MinRequests: 50}}); err != nil {
		t.Fatal(err)
	}
	for len(p.out()) == 0 {
		p.step()
	}
	for _, g := range p.all {
		if g.Site == "t" && g.Zone == "b" {
			g.Responding, g.Serving = false, false
			p.away[g.Name], p.next[g.Name] = 50, g.Version
		}
	}
	for range 10 {
		p.step()
	}
	if r := p.b.Current; r == nil || r.State != Halted || r.StateReason == "" || len(p.out()) > 0 {
		t.Fatalf("%v, out %v", r, p.out())
	}
}

// Before a release of a program begins: every gateway that is there has to be supervised, and one has to run as something else.
func TestRefusedPrograms(t *testing.T) {
	p := newPrograms(3, 1)
	for what, plan := range map[string]Plan{"no name": {ID: "a", Target: "a/b", OfProgram: true}, "there already": {ID: "a", Target: "v1", OfProgram: true}, "grace": {ID: "a", Target: "v2", OfProgram: true, Grace: -1}} {
		if err := p.b.Start(p.now, plan); err == nil {
			t.Errorf("%s: it begins", what)
		}
	}
	p.all["g01"].Version = ""
	p.step()
	if err := p.b.Start(p.now, Plan{ID: "a", Target: "v2", OfProgram: true}); err == nil {
		t.Error("it begins though nobody supervises g01")
	}
}

// Every sequence of six events of a release of a program over two gateways of which one may be out: begun, halted, resumed, taken back,
// stopped, rounds, a gateway that dies and comes back, and another leader. Never both out by plan, what each is to run as is the old or the
// new version, halted nothing more goes out, and on the way back nobody is sent forward.
func TestEveryOrderOfRelease(t *testing.T) {
	states, seen := 0, map[string]bool{}
	type stored struct {
		Rel, Orders json.RawMessage
		All         map[string]Gateway
		Away        map[string]int
		Next        map[string]string
		Now         time.Duration
	}
	save := func(p *programs) []byte {
		s := stored{All: map[string]Gateway{}, Away: p.away, Next: p.next, Now: p.now}
		s.Rel, _ = json.Marshal(p.b)
		s.Orders, _ = json.Marshal(p.orders)
		for n, g := range p.all {
			s.All[n] = *g
		}
		text, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	load := func(text []byte) *programs {
		var s stored
		if err := json.Unmarshal(text, &s); err != nil {
			t.Fatal(err)
		}
		p := &programs{fleet: &fleet{all: map[string]*Gateway{}, now: s.Now, load: 100}, most: 1, away: s.Away, next: s.Next}
		var err error
		if p.b, err = Restore(s.Rel); err != nil {
			t.Fatal(err)
		}
		if p.orders, err = drain.Restore(s.Orders); err != nil {
			t.Fatal(err)
		}
		for n, g := range s.All {
			p.all[n] = &g
		}
		return p
	}
	forward := func(p *programs) (n int) {
		for _, o := range p.orders.Requests {
			if o.Restart == "v2" && o.State.Unavailable() {
				n++
			}
		}
		return n
	}
	var walk func(text []byte, depth int)
	walk = func(text []byte, depth int) {
		for event := range 8 {
			p := load(text)
			state, before := State(""), forward(p)
			if p.b.Current != nil {
				state = p.b.Current.State
			}
			switch event {
			case 0:
				_ = p.b.Start(p.now, Plan{ID: "r", Target: "v2", OfProgram: true, Soak: time.Millisecond, Gate: Gate{MinRequests: 1}})
			case 1:
				_ = p.b.Halt(p.now, "")
			case 2:
				_ = p.b.Resume(p.now)
			case 3:
				_ = p.b.Rollback(p.now, "")
			case 4:
				_ = p.b.Stop(p.now, "")
			case 5:
				g := p.all["g00"]
				if _, away := p.away["g00"]; !away && g.Responding {
					g.Responding, g.Serving = false, false
					p.away["g00"], p.next["g00"] = 2, g.Version
				}
			case 6:
				p.b.BeginTerm(0)
				p.orders.BeginTerm(0)
				p.now = 0
			default:
				p.step()
			}
			p.b.RequestDrains(p.now, p.orders)
			if n := len(p.out()); n > 1 {
				t.Fatalf("%d are out by plan after event %d: %+v", n, event, p.orders.List())
			}
			for name := range p.all {
				if w := p.b.DesiredVersion(name); w != "" && w != "v1" && w != "v2" {
					t.Fatalf("%s is to run as %q", name, w)
				}
			}
			if r := p.b.Current; r != nil && r.State == state && (state == Halted || state == RollingBack) && forward(p) > before {
				t.Fatalf("%s, and one more goes forward after event %d: %+v", state, event, p.orders.List())
			}
			states++
			next := save(p)
			if key := fmt.Sprint(depth, string(next)); depth > 1 && !seen[key] {
				seen[key] = true
				walk(next, depth-1)
			}
		}
	}
	walk(save(newPrograms(2, 1)), 6)
	if states < 2000 {
		t.Errorf("%d states", states)
	}
	t.Log(states, "steps")
}

// A budget that allows none ends the release with its reason, and is not asked again with each round.
func TestBudgetThatAllowsNone(t *testing.T) {
	p := newPrograms(1, 1)
	if err := p.orders.SetBudgets(p.now, []drain.Budget{{Name: "g", Scope: drain.Scope{Gateways: true}, Fraction: 0.3}}); err != nil {
		t.Fatal(err)
	}
	if err := p.b.Start(p.now, Plan{ID: "r", Target: "v2", OfProgram: true, Soak: time.Second, RollBackOnFailure: true}); err != nil {
		t.Fatal(err)
	}
	for range 20 {
		p.step()
	}
	if p.b.Current != nil || p.b.Ended[0].State != RolledBack || !strings.Contains(p.b.Ended[0].StateReason, "allows none of 1") || len(p.orders.Requests) != 1 {
		t.Errorf("%v %+v, %d orders", p.b.Current, p.b.Ended, len(p.orders.Requests))
	}
}
