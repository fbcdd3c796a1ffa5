package membership

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// eventChecker tracks member states by events and checks each event against the preceding ones.
type eventChecker struct {
	states       map[string]State
	incarnations map[string]uint64
}

func (c eventChecker) check(t *rapid.T, events []Event) {
	t.Helper()
	for _, e := range events {
		m := e.Member
		if e.From != c.states[m.Name] {
			t.Fatalf("event %v: previous state = %q, want %q", e, e.From, c.states[m.Name])
		}
		if m.Incarnation < c.incarnations[m.Name] || e.Restarted != (e.From != "" && m.Incarnation > c.incarnations[m.Name]) {
			t.Fatalf("event %v after incarnation %d: got incarnation %d, restarted %v, want no lower incarnation, restarted for a higher one", e,
				c.incarnations[m.Name], m.Incarnation, e.Restarted)
		}
		c.states[m.Name], c.incarnations[m.Name] = m.State, m.Incarnation
		if m.State == Gone {
			delete(c.states, m.Name)
			delete(c.incarnations, m.Name)
		}
	}
}

// Invariants after observations in any order: an incarnation never decreases, the end of a lower incarnation never ends a higher one, a
// dead member is removed after forgetAfter, and each event starts from the state that the previous event of the member ended in.
func TestRosterAfterAnyObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const forgetAfter = 10 * time.Second
		r, now := newRoster(forgetAfter), time.Duration(0)
		checker := eventChecker{states: map[string]State{}, incarnations: map[string]uint64{}}
		states, incarnations := checker.states, checker.incarnations
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			incarnation := rapid.Uint64Range(1, 4).Draw(t, "incarnation")
			previousState, previousIncarnation := states[name], incarnations[name]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				checker.check(t, r.alive(now, Member{Name: name, Incarnation: incarnation, State: rapid.SampledFrom([]State{Joining, Serving, Draining, Leaving}).Draw(t, "state")}))
				if incarnation < previousIncarnation && states[name] != previousState {
					t.Fatalf("announcement of lower incarnation %d changed the state of incarnation %d: %q -> %q", incarnation, previousIncarnation, previousState, states[name])
				}
			case 1:
				checker.check(t, r.suspect(now, name))
			case 2:
				checker.check(t, r.answered(now, name))
				if previousState != Suspect && states[name] != previousState {
					t.Fatalf("probe response changed state %q to %q; only %q may change", previousState, states[name], Suspect)
				}
			case 3:
				checker.check(t, r.ended(now, name, incarnation, rapid.Bool().Draw(t, "left")))
				if incarnation < previousIncarnation && states[name] != previousState {
					t.Fatalf("end of lower incarnation %d changed the state of incarnation %d: %q -> %q", incarnation, previousIncarnation, previousState, states[name])
				}
			default:
				checker.check(t, r.tick(now))
			}
			for _, m := range r.list() {
				if m.State != states[m.Name] || m.Incarnation != incarnations[m.Name] {
					t.Fatalf("list() has %+v, want state %q and incarnation %d as in the events", m, states[m.Name], incarnations[m.Name])
				}
			}
		}
		now += forgetAfter
		r.tick(now)
		for _, m := range r.list() {
			if m.State == Dead {
				t.Fatalf("member %s has been dead for %v and is still listed, want removal after %v", m.Name, now-m.Since, forgetAfter)
			}
		}
	})
}

// Metadata from another process is rejected, or decoding and encoding it again gives the same member.
func FuzzDecodeMeta(f *testing.F) {
	valid, err := Member{Name: "a", Site: "s", Zone: "z", Program: "v1", Config: "c", Incarnation: 7, State: Serving}.encodeMeta()
	if err != nil {
		f.Fatal(err)
	}
	f.Add("a", valid)
	f.Add("", []byte("{}"))
	f.Fuzz(func(t *testing.T, name string, encoded []byte) {
		m, err := decodeMeta(name, "127.0.0.1:1", encoded)
		if err != nil {
			return
		}
		reencoded, err := m.encodeMeta()
		if err != nil {
			return // escaping can make the metadata exceed the limit
		}
		if decoded, err := decodeMeta(name, "127.0.0.1:1", reencoded); err != nil || decoded != m {
			t.Errorf("decodeMeta after encodeMeta = %+v, %v; want %+v", decoded, err, m)
		}
	})
}

// tick and aliveAt allocate nothing if nothing has changed, even with 1000 members.
func TestTickWithoutChangesDoesNotAllocate(t *testing.T) {
	r := newRoster(time.Hour)
	for i := range 1000 {
		r.alive(0, Member{Name: fmt.Sprint("m", i), Address: fmt.Sprint("127.0.0.1:", 10000+i), Incarnation: 1, State: Serving})
	}
	if n := testing.AllocsPerRun(10, func() {
		if out := r.tick(time.Second); len(out) > 0 || !r.aliveAt("127.0.0.1:10999") || r.aliveAt("127.0.0.1:9") {
			t.Error("tick returned events, or aliveAt is wrong for a known or an unknown address; events:", out)
		}
	}); n > 0 {
		t.Errorf("tick without changes: %v allocations, want 0", n)
	}
	for i := range 1000 {
		r.ended(time.Second, fmt.Sprint("m", i), 1, false)
	}
	if r.aliveAt("127.0.0.1:10999") {
		t.Error("aliveAt = true for the address of a dead member, want false")
	}
	out := r.tick(2 * time.Hour)
	if len(out) != 1000 || len(r.list()) > 0 || !slices.IsSortedFunc(out, func(a, b Event) int { return cmp.Compare(a.Member.Name, b.Member.Name) }) {
		t.Errorf("tick removed %d members, want 1000 sorted by name; %d are still listed", len(out), len(r.list()))
	}
}
