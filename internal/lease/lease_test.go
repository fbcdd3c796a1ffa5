package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

var rules = Rules{Length: 400 * ms}

// world is members, a table and what each member believes, on one true clock. Each leader's clock is its own.
type world struct {
	Table  *Table
	True   time.Duration
	Offset time.Duration // of the leader's clock
	Births [3]uint64
	Holds  [3][2]HeldLease
	// Safeguards that are off: a holder counts from when the answer came; a new leader does not count anew.
	careless, goesOn bool
}

func (w *world) member(i int) Member {
	return Member{Name: fmt.Sprint("m", i), Incarnation: w.Births[i]}
}
func (w *world) leader() time.Duration { return w.True + w.Offset }
func name(l int) string                { return fmt.Sprint("l", l) }

func newWorld() *world {
	w := &world{Table: NewTable(), Births: [3]uint64{1, 1, 1}}
	_ = w.Table.BeginTerm(1, 0)
	return w
}

// clone copies it.
func (w *world) clone() *world {
	c := *w
	t := *w.Table
	c.Table, t.Leases, t.Incarnations = &t, map[string]*Lease{}, maps.Clone(t.Incarnations)
	for name, l := range w.Table.Leases {
		l := *l
		l.Waiters = slices.Clone(l.Waiters)
		t.Leases[name] = &l
	}
	return &c
}

func (w *world) granted(i, l int, g Grant, sent time.Duration) {
	if w.careless {
		sent = w.True
	}
	w.Holds[i][l].Granted(sent, g)
}

// step does one of the things that can happen; n is which.
func (w *world) step(n int) (tokens []uint64) {
	const each = 6 // things that a member can do with a lease
	if n < 3*2*each {
		i, l, what := n/each/2, n/each%2, n%each
		sent := w.True
		token, holds := w.Holds[i][l].Token(sent)
		switch what {
		case 0, 1, 2, 5:
			if what == 2 && !holds {
				break
			}
			g, err := Grant{}, error(nil)
			if what == 2 {
				g, err = w.Table.Renew(w.Table.Term, w.leader(), name(l), w.member(i), token)
			} else {
				g, err = w.Table.Acquire(w.Table.Term, w.leader(), name(l), rules, w.member(i))
			}
			if what == 5 { // the answer is late
				w.True += 300 * ms
			}
			if err == nil {
				tokens = append(tokens, g.Token)
			}
			if err == nil && what != 1 { // 1: it is lost
				w.granted(i, l, g, sent)
			} else if what == 2 {
				w.Holds[i][l].Lost()
			}
		case 3:
			if holds {
				w.Holds[i][l].Lost() // it stops before it says so
				_ = w.Table.Release(w.Table.Term, w.leader(), name(l), w.member(i), token, w.member((i+1)%3).Name)
			}
		case 4: // its process is started again
			w.Births[i]++
			w.Holds[i] = [2]HeldLease{}
		}
		return tokens
	}
	switch n -= 3 * 2 * each; n {
	case 0:
		w.True += 100 * ms
	case 1:
		w.True += 400 * ms
	case 2: // another leader, whose clock is ahead by far
		w.Offset += 10 * time.Second
		if w.goesOn {
			w.Table.Term++
			return nil
		}
		_ = w.Table.BeginTerm(w.Table.Term+1, w.leader())
	case 3:
		_ = w.Table.Revoke(w.Table.Term, w.leader(), name(0))
	}
	return nil
}

const steps = 3*2*6 + 4

// two gives the lease that two members believe to have at once, or -1.
func (w *world) two() int {
	for l := range 2 {
		n := 0
		for i := range 3 {
			if _, ok := w.Holds[i][l].Token(w.True); ok {
				n++
			}
		}
		if n > 1 {
			return l
		}
	}
	return -1
}

// walk visits all that can happen in so many steps, each state once, and gives how many and what broke first.
func walk(from *world, depth int) (states int, broken string) {
	type node struct {
		w    *world
		path string
	}
	key := func(w *world) string {
		b := fmt.Appendf(nil, "%d %d %d %v %v", w.True, w.Table.Term, w.Table.LastToken, w.Births, w.Holds)
		for l := range 2 {
			if l := w.Table.Leases[name(l)]; l != nil {
				b = fmt.Appendf(b, "%v", *l)
			}
		}
		return string(b)
	}
	seen := map[string]bool{key(from): true}
	level := []node{{from, ""}}
	for range depth {
		var next []node
		for _, n := range level {
			for s := range steps {
				w := n.w.clone()
				last := w.Table.LastToken
				for _, token := range w.step(s) {
					if token > w.Table.LastToken || token == 0 || token <= last && w.Table.LastToken > last {
						return len(seen), fmt.Sprintf("%s %d: token %d after %d", n.path, s, token, last)
					}
				}
				if l := w.two(); l >= 0 {
					return len(seen), fmt.Sprintf("%s %d: two hold lease %d", n.path, s, l)
				}
				if k := key(w); !seen[k] {
					seen[k] = true
					next = append(next, node{w, fmt.Sprint(n.path, " ", s)})
				}
			}
		}
		level = next
	}
	return len(seen), ""
}

// All orders of grant, loss, expiry, release, restart and leader change of three members and two leases, four deep: never
// do two of them hold one lease by their own count, and tokens only rise. With the count from the answer's arrival, or
// with a new leader that goes on counting, the same walk finds two.
func TestEveryOrder(t *testing.T) {
	// What comes first is an asking, and names do not matter: the first member's for the first lease stands for all.
	total := 0
	for _, first := range []int{0, 1, 5} {
		w := newWorld()
		w.step(first)
		states, broken := walk(w, 3)
		if total += states; broken != "" {
			t.Errorf("after %d: %s", first, broken)
		}
	}
	if t.Logf("%d states", total); total < 10_000 {
		t.Errorf("%d states only", total)
	}
	careless := newWorld()
	careless.careless = true
	if _, broken := walk(careless, 3); broken == "" {
		t.Error("a holder that counts from when the answer came is not found out")
	}
	forgetful := newWorld()
	forgetful.goesOn = true
	if _, broken := walk(forgetful, 3); broken == "" {
		t.Error("a leader that goes on with the readings of the one before is not found out")
	}
}

// Any commands with any readings: one holder at the table's own count, tokens that rise, a waiter that goes on asking is
// served, and a stored table goes on as the one it was.
func TestAnyCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now, term := NewTable(), time.Duration(0), uint64(1)
		_ = table.BeginTerm(term, 0)
		r := Rules{Length: rapid.SampledFrom([]time.Duration{MinLength, time.Second}).Draw(t, "length"),
			Site: rapid.SampledFrom([]string{"", "a"}).Draw(t, "site"), MaxWait: 2 * time.Second,
			MinHold: rapid.SampledFrom([]time.Duration{0, 3 * time.Second}).Draw(t, "floor")}
		last, holder, until := uint64(0), Member{}, time.Duration(0) // the model
		for range 200 {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "passes")) * ms
			m := Member{Name: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "who"), Incarnation: uint64(rapid.IntRange(1, 2).Draw(t, "birth")),
				Site: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "at"), Load: rapid.IntRange(0, 2).Draw(t, "load")}
			var g Grant
			var err error
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				g, err = table.Acquire(term, now, "l", r, m)
			case 2:
				if g, err = table.Renew(term, now, "l", m, last); err == nil && !m.is(holder) {
					t.Fatalf("%v renewed what %v has", m, holder)
				}
			case 3:
				if m.is(holder) && now < until {
					if err := table.Release(term, now, "l", m, last, ""); err != nil {
						t.Fatal(err)
					}
					holder, until = Member{}, now
				}
				err = ErrNotHeld
			case 4:
				term++
				over := now >= until // by the clock of the leader before; the table may have it go on
				now = time.Duration(rapid.IntRange(0, 1000).Draw(t, "clock")) * time.Second
				if err := table.BeginTerm(term, now); err != nil {
					t.Fatal(err)
				}
				if until = now + r.Length; over {
					until = now
				}
				if _, err := table.Acquire(term-1, now, "l", r, m); !errors.Is(err, ErrStaleTerm) {
					t.Fatalf("a leader of the term before: %v", err)
				}
				err = ErrNotHeld
			case 5:
				if err := table.Forget(term, now); err != nil {
					t.Fatal(err)
				}
				text, _ := json.Marshal(table)
				if table, err = Restore(text); err != nil {
					t.Fatal(err)
				}
				err = ErrNotHeld
			}
			if err != nil {
				continue
			}
			if g.Token != last { // to another, or anew
				if g.Token < last || holder.Name != "" && now < until {
					t.Fatalf("at %v %v got token %d; %v has %d until %v", now, m, g.Token, holder, last, until)
				}
			} else if !m.is(holder) {
				t.Fatalf("%v has the token of %v", m, holder)
			}
			last, holder, until = g.Token, m, now+r.Length
		}
		for range 100 { // one who goes on asking, as the only one, is served
			now += r.Length / 2
			if _, err := table.Acquire(term, now, "l", r, Member{Name: "w", Incarnation: 1}); err == nil {
				return
			}
		}
		t.Fatal("one who waits is never served")
	})
}

// Who is next: the heir, then who has waited for longer than the patience, then the site, the load, the place in line.
func TestWhoIsNext(t *testing.T) {
	const sec = time.Second
	member := func(name, site string, load int, since time.Duration) Waiter {
		return Waiter{Member: Member{Name: name, Site: site, Load: load}, WaitingSince: since, LastAskedAt: 10 * sec}
	}
	for name, c := range map[string]struct {
		x, y  Waiter
		heir  string
		floor time.Duration
		want  int
	}{
		"site":              {member("x", "b", 0, 9*sec), member("y", "a", 5, 9*sec), "", 0, 1},
		"load":              {member("x", "a", 2, 9*sec), member("y", "a", 1, 9*sec), "", 0, 1},
		"place":             {member("x", "a", 1, 8*sec), member("y", "a", 1, 9*sec), "", 0, 0},
		"heir":              {member("x", "a", 0, 8*sec), member("y", "b", 9, 9*sec), "y", 5 * sec, 1},
		"heir is away":      {member("x", "a", 0, 8*sec), member("y", "a", 0, 9*sec), "z", 0, -1},
		"patience":          {member("x", "b", 9, 6*sec), member("y", "a", 0, 9*sec), "", 0, 0},
		"both are too long": {member("x", "a", 0, 6*sec), member("y", "b", 9, 5*sec), "", 0, 1},
		"floor":             {member("x", "a", 0, 8*sec), member("y", "a", 0, 9*sec), "", 5 * sec, -1},
	} {
		table := &Table{Now: 10 * sec}
		l := &Lease{Rules: Rules{Length: sec, Site: "a", MaxWait: 3 * sec, MinHold: c.floor}, GrantedAt: 6 * sec, ExpiresAt: 11 * sec, Successor: c.heir, Waiters: []Waiter{c.x, c.y}}
		if got := table.next(l); got != c.want {
			t.Errorf("%s: %d is next, want %d", name, got, c.want)
		}
	}
}

// A revoked lease is not renewed and not given away before its time; a restarted process waits out the one before it,
// which cannot renew any more; receivers refuse what is older than the highest seen.
func TestRevokedRestartedFenced(t *testing.T) {
	table := NewTable()
	_ = table.BeginTerm(1, 0)
	old, young, other := Member{Name: "x", Incarnation: 1}, Member{Name: "x", Incarnation: 2}, Member{Name: "y", Incarnation: 1}
	is := func(want error) func(Grant, error) Grant {
		return func(g Grant, err error) Grant {
			t.Helper()
			if !errors.Is(err, want) {
				t.Errorf("%+v, %v, want %v", g, err, want)
			}
			return g
		}
	}
	g := is(nil)(table.Acquire(1, 0, "l", rules, old))
	is(ErrWaiting)(table.Acquire(1, 100*ms, "l", rules, young))
	is(ErrStaleIncarnation)(table.Renew(1, 100*ms, "l", old, g.Token))
	is(ErrStaleIncarnation)(table.Acquire(1, 100*ms, "m", rules, old))
	g2 := is(nil)(table.Acquire(1, 400*ms, "l", rules, young))
	is(nil)(Grant{}, table.Revoke(1, 500*ms, "l"))
	is(ErrNotHeld)(table.Renew(1, 500*ms, "l", young, g2.Token))
	is(ErrWaiting)(table.Acquire(1, 799*ms, "l", rules, other)) // its holder may not have heard of it
	g3 := is(nil)(table.Acquire(1, 800*ms, "l", rules, other))
	for range 2 { // released twice: the second one takes nothing from who came after
		is(nil)(Grant{}, table.Release(1, 900*ms, "l", other, g3.Token, ""))
		is(nil)(table.Acquire(1, 900*ms, "l", rules, young))
	}
	if g.Token >= g2.Token || g2.Token >= g3.Token {
		t.Errorf("tokens %d, %d, %d", g.Token, g2.Token, g3.Token)
	}
	f := Fence{}
	if f.Admit(0) || !f.Admit(1) || !f.Admit(1) || !f.Admit(3) || f.Admit(2) || !f.Admit(3) {
		t.Errorf("%+v admits what is older, or not what is newer", f)
	}
	for i := range 2 * maxMembers { // ever new names
		_, _ = table.Acquire(1, time.Second+time.Duration(i)*ms, "l", rules, Member{Name: fmt.Sprint(i), Incarnation: 1})
	}
	if n := len(table.Incarnations); n > maxMembers {
		t.Errorf("%d births are kept", n)
	}
	if err := table.Forget(1, time.Hour); err != nil || len(table.Incarnations) > 0 {
		t.Errorf("%v, %d births outlive their leases", err, len(table.Incarnations))
	}
}

// Whatever is stored, it is refused or goes on: no command panics, and tokens rise.
func FuzzRestore(f *testing.F) {
	f.Add([]byte(`{"term":1,"now":5,"last_token":2,"leases":{"l":{"rules":{"length":400000000},"holder":{"name":"x","birth":1},"token":2,"until":9}},"births":{"x":1}}`))
	f.Add([]byte(`{"leases":{"l":null}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		table, err := Restore(text)
		if err != nil {
			return
		}
		last := table.LastToken
		_ = table.BeginTerm(table.Term+1, 0)
		for at := time.Duration(0); at < 3*time.Hour; at += time.Hour {
			if g, err := table.Acquire(table.Term, at, "l", rules, Member{Name: "z", Incarnation: 1 << 63}); err == nil && g.Token <= last {
				t.Fatalf("token %d after %d", g.Token, last)
			}
		}
		_ = table.Forget(table.Term, 0)
	})
}
