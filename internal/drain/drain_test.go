package drain

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

func gateways(serving ...bool) (l []Gateway) {
	for i, s := range serving {
		l = append(l, Gateway{Name: fmt.Sprint("g", i), Site: "s", Zone: string(rune('a' + i%2)), Incarnation: 1, Serving: s})
	}
	return l
}

// taken is what an outside observer counts as out by planned means: what an order keeps from serving, or may be about to.
func taken(b *Ledger) map[string]bool {
	m := map[string]bool{}
	for _, o := range b.Requests {
		if o.State.holdsSlot() {
			m[o.Target.key()] = true
		}
	}
	return m
}

// One order through all its states, a second one that has to wait, and a way back that holds its slot until it is proven.
func TestLifeOfAnOrder(t *testing.T) {
	b := NewLedger()
	if err := b.SetBudgets(0, []Budget{{Name: "one", Scope: Scope{Gateways: true}, Max: 1}}); err != nil {
		t.Fatal(err)
	}
	see := func(serving ...bool) {
		t.Helper()
		if err := b.Observe(b.Now, b.Version, gateways(serving...), nil); err != nil {
			t.Fatal(err)
		}
	}
	is := func(id string, want State) *Request {
		t.Helper()
		if o := b.Requests[id]; o == nil || o.State != want {
			t.Fatalf("%s: %+v, want %s", id, o, want)
		}
		return b.Requests[id]
	}
	ask := func(id string, gateway int) {
		t.Helper()
		if _, err := b.Submit(b.Now, Request{ID: id, Target: Target{Gateway: fmt.Sprint("g", gateway)}, Grace: time.Second}); err != nil {
			t.Fatal(err)
		}
	}
	see(true, true, true)
	ask("x", 0)
	ask("y", 1)
	ask("z", 9)
	first := is("x", Granted).Token
	if o := is("y", Pending); !strings.Contains(o.StateReason, "1 of 3 are out, 1 may be") {
		t.Errorf("%q", o.StateReason)
	}
	is("z", Rejected)
	see(true, true, false) // a loss that nobody planned: what was not begun is taken back
	is("x", Pending)
	if _, err := b.Begin(b.Now, "x", first); err == nil {
		t.Error("begun though it was taken back")
	}
	see(true, true, true)
	token := is("x", Granted).Token
	if token <= first {
		t.Errorf("token %d behind %d", token, first)
	}
	if _, err := b.Begin(b.Now, "x", token); err != nil {
		t.Fatal(err)
	}
	see(false, true, true)
	if _, err := b.Progress(b.Now+500*time.Millisecond, "x", token, 3); err != nil || is("x", Draining).InFlight != 3 {
		t.Fatal(err)
	}
	_, _ = b.Progress(b.Now+2*time.Second, "x", token, 1)
	is("x", Overdue)
	_, _ = b.Progress(b.Now, "x", token, 0)
	is("x", Drained)
	see(true, true, true) // it was killed and runs again, and says that it serves: it is out all the same
	is("y", Pending)
	before := b.Version
	if _, err := b.Cancel(b.Now, "x"); err != nil {
		t.Fatal(err)
	}
	_ = b.Observe(b.Now, before, gateways(true, true, true), nil) // said before it heard of it
	is("x", Cancelled)
	is("y", Pending)
	see(true, true, true)
	is("x", Ended)
	is("y", Granted)
	b.SetHalted(b.Now, true)
	if _, err := b.Cancel(b.Now, "y"); err != nil {
		t.Fatal(err)
	}
	ask("w", 2)
	is("w", Pending)
	b.SetHalted(b.Now, false)
	is("w", Granted)
	if _, err := b.Submit(b.Now, Request{ID: "w", Target: Target{Gateway: "g1"}, Grace: 1}); err != ErrIDInUse {
		t.Errorf("another target under the same id: %v", err)
	}
	for what, o := range map[string]Request{"a deadline in the past": {ID: "1", Target: Target{Gateway: "g1"}}, "a pattern": {ID: "2", Target: Target{Gateway: "g*"}, Grace: 1},
		"no target": {ID: "3", Grace: 1}, "too long": {ID: "4", Target: Target{Gateway: "g1"}, Grace: 2 * MaxGrace}} {
		if _, err := b.Submit(b.Now, o); err == nil {
			t.Errorf("%s was taken", what)
		}
	}
}

// step is one event for a book, drawn or walked.
func step(b *Ledger, now time.Duration, event, id, who int, up []bool) {
	name := fmt.Sprint("o", id)
	token := uint64(0)
	if o := b.Requests[name]; o != nil {
		token = o.Token
	}
	switch event {
	case 0:
		_, _ = b.Submit(now, Request{ID: name, Target: Target{Gateway: fmt.Sprint("g", who)}, Grace: time.Second})
	case 1:
		_, _ = b.Begin(now, name, token)
	case 2:
		_, _ = b.Progress(now, name, token, who%2)
	case 3:
		_, _ = b.Cancel(now, name)
	case 4:
		_ = b.Observe(now, b.Version, gateways(up...), nil)
	case 5:
		b.SetHalted(now, !b.Halted)
	case 6:
		b.BeginTerm(0)
	case 7:
		_ = b.SetBudgets(now, []Budget{{Name: "n", Scope: Scope{Gateways: true}, Max: 1 + who%2}, {Name: "z", Scope: Scope{Gateways: true, EachZone: true}, Fraction: 0.5}})
	}
}

// promise is what holds of every book: each budget is kept by what orders take out, counted with what is out by itself, at the
// moment in which a slot is granted.
func promise(before map[string]bool, b *Ledger) error {
	now := taken(b)
	if len(now) <= len(before) {
		return nil
	}
	for key := range now {
		if before[key] {
			continue
		}
		for _, c := range b.counts(Target{Gateway: key}, b.held()) {
			if len(c.out) > c.bound {
				return fmt.Errorf("%s was granted: budget %s has %v out of %d, %d may be", key, c.name, slices.Sorted(maps.Keys(c.out)), c.of, c.bound)
			}
		}
	}
	return nil
}

// Whatever is asked, begun, cancelled, lost and lowered, in any order, with other leaders in between and through its stored form: no
// grant breaks a budget, tokens and versions rise, and what is cancelled comes back once it is seen.
func TestBudgetsAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewLedger()
		up := []bool{true, true, true, true}
		step(b, 0, 7, 0, rapid.IntRange(0, 1).Draw(t, "most"), nil)
		_ = b.Observe(0, 0, gateways(up...), nil)
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond
			before, last, version := taken(b), b.LastToken, b.Version
			if rapid.IntRange(0, 4).Draw(t, "loss") == 0 {
				i := rapid.IntRange(0, 3).Draw(t, "which")
				up[i] = !up[i]
			}
			event := rapid.IntRange(0, 7).Draw(t, "event")
			if step(b, now, event, rapid.IntRange(0, 4).Draw(t, "order"), rapid.IntRange(0, 3).Draw(t, "who"), up); event == 6 {
				now = 0
			}
			if err := promise(before, b); err != nil {
				t.Fatal(err)
			}
			if b.LastToken < last || b.Version < version {
				t.Fatalf("token %d behind %d, version %d behind %d", b.LastToken, last, b.Version, version)
			}
			if rapid.IntRange(0, 9).Draw(t, "store") == 0 {
				text, err := json.Marshal(b)
				if err != nil {
					t.Fatal(err)
				}
				again, err := Restore(text)
				if err != nil {
					t.Fatal(err)
				}
				if two, _ := json.Marshal(again); string(two) != string(text) {
					t.Fatalf("%s came back as %s", text, two)
				}
				b = again
			}
		}
		for id := range b.Requests {
			_, _ = b.Cancel(now, id)
		}
		_ = b.Observe(now, b.Version, gateways(true, true, true, true), nil)
		if n := len(taken(b)); n > 0 {
			t.Fatalf("%d are held though all is cancelled and serves", n)
		}
	})
}

// Every sequence of eight events of two orders on two gateways of which one may be out: never both, by an observer that counts what
// orders hold. With the rule off that what is granted counts, it is found.
func TestEveryOrderOfEvents(t *testing.T) {
	type event struct{ kind, id, who int }
	var events []event
	for id := range 2 {
		events = append(events, event{0, id, id}, event{1, id, 0}, event{2, id, 0}, event{3, id, 0})
	}
	events = append(events, event{4, 0, 0}, event{6, 0, 0})
	states, seen := 0, map[string]bool{}
	var walk func(text []byte, depth int)
	walk = func(text []byte, depth int) {
		for _, e := range events {
			b, err := Restore(text)
			if err != nil {
				t.Fatal(err)
			}
			up := []bool{true, true}
			for key := range taken(b) {
				if o := b.Requests["o"+strings.TrimPrefix(key, "g")]; o != nil && o.State.Unavailable() {
					up[key[1]-'0'] = false
				}
			}
			step(b, b.Now, e.kind, e.id, e.who, up)
			if n := len(taken(b)); n > 1 {
				t.Fatalf("%d are held after %+v: %+v", n, e, b.List())
			}
			next, err := json.Marshal(b)
			if err != nil {
				t.Fatal(err)
			}
			key := fmt.Sprint(depth, string(next))
			if !seen[key] && depth > 1 {
				seen[key] = true
				walk(next, depth-1)
			}
			states++
		}
	}
	b := NewLedger()
	_ = b.SetBudgets(0, []Budget{{Name: "one", Scope: Scope{Gateways: true}, Max: 1}})
	_ = b.Observe(0, 0, gateways(true, true), nil)
	text, _ := json.Marshal(b)
	walk(text, 8)
	if states < 5000 {
		t.Errorf("%d steps only", states)
	}
}

// Endpoints are counted by zone and by cluster; what is cold or ejected counts as out; a budget that allows none refuses.
func TestEndpoints(t *testing.T) {
	b := NewLedger()
	_ = b.SetBudgets(0, []Budget{{Name: "third", Scope: Scope{Cluster: "*", EachZone: true}, Fraction: 0.34}, {Name: "none", Scope: Scope{Cluster: "db"}, Fraction: 0.1, Max: 9}})
	var l []Endpoint
	for i := range 6 {
		l = append(l, Endpoint{Cluster: "c", Address: fmt.Sprint(i), Zone: string(rune('a' + i%2)), Healthy: i != 2}, Endpoint{Cluster: "db", Address: fmt.Sprint(i), Healthy: true})
	}
	if err := b.Observe(0, 0, nil, l); err != nil {
		t.Fatal(err)
	}
	ask := func(cluster, addr string) State {
		o, err := b.Submit(0, Request{ID: cluster + addr, Target: Target{Cluster: cluster, Endpoint: addr}, Grace: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		return o.State
	}
	if a, z := ask("c", "0"), ask("c", "1"); a != Pending || z != Granted {
		t.Errorf("zone a, where one is cold: %s; zone b: %s", a, z)
	}
	if s := ask("db", "0"); s != Rejected {
		t.Errorf("a budget that allows none: %s", s)
	}
	if l := b.BudgetStatuses(); len(l) != 4 || l[0].Allowed != 1 {
		t.Errorf("%+v", l)
	}
}

// What is stored is read as it was or refused.
func FuzzRestore(f *testing.F) {
	b := NewLedger()
	step(b, 0, 7, 0, 0, nil)
	_ = b.Observe(0, 0, gateways(true, true), nil)
	step(b, 0, 0, 0, 0, nil)
	text, _ := json.Marshal(b)
	f.Add(text)
	f.Add([]byte(`{"orders":{"x":null}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		b, err := Restore(text)
		if err != nil {
			return
		}
		for e := range 8 {
			step(b, b.Now, e, 0, 0, []bool{true})
		}
		_ = b.View(1)
		_ = b.BudgetStatuses()
	})
}

// At the end of a grace only what can have had no effect is offered to be asked for again.
func TestLast(t *testing.T) {
	for _, x := range []struct {
		effect string
		sent   bool
		want   int
	}{{"safe", true, 503}, {"keyed", true, 504}, {"unsafe", true, 504}, {"", true, 504}, {"keyed", false, 503}, {"unsafe", false, 503}} {
		if status, again := FinalAnswer(x.effect, x.sent); status != x.want || again != (x.want == 503) {
			t.Errorf("%q, sent %v: %d, %v", x.effect, x.sent, status, again)
		}
	}
}
