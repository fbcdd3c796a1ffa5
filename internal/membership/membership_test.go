package membership

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever is told of members, in any order: births never go back, an earlier process's news never ends a later one, a dead
// one is gone after its time, and each event begins where the one before it ended.
func TestRoster(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const forget = 10 * time.Second
		r, now := newRoster(forget), time.Duration(0)
		states, births := map[string]State{}, map[string]uint64{}
		take := func(events []Event) {
			for _, e := range events {
				m := e.Member
				if e.From != states[m.Name] {
					t.Fatalf("%v, but it was %q", e, states[m.Name])
				}
				if m.Incarnation < births[m.Name] || e.Restarted != (e.From != "" && m.Incarnation > births[m.Name]) {
					t.Fatalf("%v, its birth was %d", e, births[m.Name])
				}
				states[m.Name], births[m.Name] = m.State, m.Incarnation
				if m.State == Gone {
					delete(states, m.Name)
					delete(births, m.Name)
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			birth := rapid.Uint64Range(1, 4).Draw(t, "birth")
			before, born := states[name], births[name]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				take(r.alive(now, Member{Name: name, Incarnation: birth, State: rapid.SampledFrom([]State{Joining, Serving, Draining, Leaving}).Draw(t, "state")}))
				if birth < born && states[name] != before {
					t.Fatalf("an earlier birth made it %s", states[name])
				}
			case 1:
				take(r.suspect(now, name))
			case 2:
				take(r.cleared(now, name))
				if before != Suspect && states[name] != before {
					t.Fatalf("%s -> %s by an answer", before, states[name])
				}
			case 3:
				take(r.ended(now, name, birth, rapid.Bool().Draw(t, "left")))
				if birth < born && states[name] != before {
					t.Fatalf("an earlier birth's end made it %s", states[name])
				}
			default:
				take(r.tick(now))
			}
			for _, m := range r.list() {
				if m.State != states[m.Name] || m.Incarnation != births[m.Name] {
					t.Fatalf("listed as %+v, events say %s", m, states[m.Name])
				}
			}
		}
		now += forget
		if r.tick(now); len(r.list()) > 0 {
			for _, m := range r.list() {
				if m.State == Dead {
					t.Fatalf("%s is dead for %v and still listed", m.Name, now-m.Since)
				}
			}
		}
	})
}

// What another process says of itself is taken as it was meant or refused.
func FuzzMeta(f *testing.F) {
	b, err := Member{Name: "a", Site: "s", Zone: "z", Program: "v1", Config: "c", Incarnation: 7, State: Serving}.meta()
	if err != nil {
		f.Fatal(err)
	}
	f.Add("a", b)
	f.Add("", []byte("{}"))
	f.Fuzz(func(t *testing.T, name string, text []byte) {
		m, err := readMeta(name, "127.0.0.1:1", text)
		if err != nil {
			return
		}
		again, err := m.meta()
		if err != nil {
			return // longer than it was, by escapes
		}
		if o, err := readMeta(name, "127.0.0.1:1", again); err != nil || o != m {
			t.Errorf("%+v came back as %+v, %v", m, o, err)
		}
	})
}

// What is done on each tick with everybody well costs a look at each, and nothing to collect: in a fleet of thousands that is all
// that its members do for each other most of the time.
func TestTickOfManyCollectsNothing(t *testing.T) {
	r := newRoster(time.Hour)
	for i := range 1000 {
		r.alive(0, Member{Name: fmt.Sprint("m", i), Address: fmt.Sprint("127.0.0.1:", 10000+i), Incarnation: 1, State: Serving})
	}
	if n := testing.AllocsPerRun(10, func() {
		if out := r.tick(time.Second); len(out) > 0 || !r.lives("127.0.0.1:10999") || r.lives("127.0.0.1:9") {
			t.Error("a tick changed something, or an address is not known", out)
		}
	}); n > 0 {
		t.Errorf("%v allocations on a tick", n)
	}
	for i := range 1000 {
		r.ended(time.Second, fmt.Sprint("m", i), 1, false)
	}
	if r.lives("127.0.0.1:10999") {
		t.Error("a dead one lives")
	}
	out := r.tick(2 * time.Hour)
	if len(out) != 1000 || len(r.list()) > 0 || !slices.IsSortedFunc(out, func(a, b Event) int { return cmp.Compare(a.Member.Name, b.Member.Name) }) {
		t.Errorf("%d of 1000 forgotten, by name", len(out))
	}
}
