package membership

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// eventChecker follows members by their events and checks each event against those before it.
type eventChecker struct {
	states       map[string]State
	incarnations map[string]uint64
}

func (c eventChecker) check(t *rapid.T, events []Event) {
	t.Helper()
	for _, e := range events {
		m := e.Member
		if e.From != c.states[m.Name] {
			t.Fatalf("%v, but it was %q", e, c.states[m.Name])
		}
		if m.Incarnation < c.incarnations[m.Name] || e.Restarted != (e.From != "" && m.Incarnation > c.incarnations[m.Name]) {
			t.Fatalf("%v, its incarnation was %d", e, c.incarnations[m.Name])
		}
		c.states[m.Name], c.incarnations[m.Name] = m.State, m.Incarnation
		if m.State == Gone {
			delete(c.states, m.Name)
			delete(c.incarnations, m.Name)
		}
	}
}

// After observations in any order: incarnations never go back, an earlier incarnation's end never ends a later one, a dead member is
// gone after its time, and each event begins in the state in which the one before it ended.
func TestRosterAfterAnyObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const forgetAfter = 10 * time.Second
		r, now := newRoster(forgetAfter), time.Duration(0)
		events := eventChecker{states: map[string]State{}, incarnations: map[string]uint64{}}
		states, incarnations := events.states, events.incarnations
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			incarnation := rapid.Uint64Range(1, 4).Draw(t, "incarnation")
			before, previous := states[name], incarnations[name]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				events.check(t, r.alive(now, Member{Name: name, Incarnation: incarnation, State: rapid.SampledFrom([]State{Joining, Serving, Draining, Leaving}).Draw(t, "state")}))
				if incarnation < previous && states[name] != before {
					t.Fatalf("an earlier incarnation made it %s", states[name])
				}
			case 1:
				events.check(t, r.suspect(now, name))
			case 2:
				events.check(t, r.answered(now, name))
				if before != Suspect && states[name] != before {
					t.Fatalf("%s -> %s by an answer", before, states[name])
				}
			case 3:
				events.check(t, r.ended(now, name, incarnation, rapid.Bool().Draw(t, "left")))
				if incarnation < previous && states[name] != before {
					t.Fatalf("an earlier incarnation's end made it %s", states[name])
				}
			default:
				events.check(t, r.tick(now))
			}
			for _, m := range r.list() {
				if m.State != states[m.Name] || m.Incarnation != incarnations[m.Name] {
					t.Fatalf("listed as %+v, events say %s", m, states[m.Name])
				}
			}
		}
		now += forgetAfter
		r.tick(now)
		for _, m := range r.list() {
			if m.State == Dead {
				t.Fatalf("%s is dead for %v and still listed", m.Name, now-m.Since)
			}
		}
	})
}

// What another process announces is decoded as it was encoded, or rejected.
func FuzzDecodeMeta(f *testing.F) {
	b, err := Member{Name: "a", Site: "s", Zone: "z", Program: "v1", Config: "c", Incarnation: 7, State: Serving}.encodeMeta()
	if err != nil {
		f.Fatal(err)
	}
	f.Add("a", b)
	f.Add("", []byte("{}"))
	f.Fuzz(func(t *testing.T, name string, text []byte) {
		m, err := decodeMeta(name, "127.0.0.1:1", text)
		if err != nil {
			return
		}
		again, err := m.encodeMeta()
		if err != nil {
			return // longer than it was, by escapes
		}
		if o, err := decodeMeta(name, "127.0.0.1:1", again); err != nil || o != m {
			t.Errorf("%+v came back as %+v, %v", m, o, err)
		}
	})
}

// A tick without changes allocates nothing, also with thousands of members.
func TestTickWithoutChangesDoesNotAllocate(t *testing.T) {
	r := newRoster(time.Hour)
	for i := range 1000 {
		r.alive(0, Member{Name: fmt.Sprint("m", i), Address: fmt.Sprint("127.0.0.1:", 10000+i), Incarnation: 1, State: Serving})
	}
	if n := testing.AllocsPerRun(10, func() {
		if out := r.tick(time.Second); len(out) > 0 || !r.aliveAt("127.0.0.1:10999") || r.aliveAt("127.0.0.1:9") {
			t.Error("a tick changed something, or an address is not known", out)
		}
	}); n > 0 {
		t.Errorf("%v allocations on a tick", n)
	}
	for i := range 1000 {
		r.ended(time.Second, fmt.Sprint("m", i), 1, false)
	}
	if r.aliveAt("127.0.0.1:10999") {
		t.Error("a dead one lives")
	}
	out := r.tick(2 * time.Hour)
	if len(out) != 1000 || len(r.list()) > 0 || !slices.IsSortedFunc(out, func(a, b Event) int { return cmp.Compare(a.Member.Name, b.Member.Name) }) {
		t.Errorf("%d of 1000 forgotten, by name", len(out))
	}
}
