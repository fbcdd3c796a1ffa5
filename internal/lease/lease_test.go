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

// model simulates three members, a table, and the leases that each member considers held. All members share the true time; each leader
// has its own clock.
type model struct {
	table        *Table
	trueTime     time.Duration
	clockOffset  time.Duration // difference of the leader's clock from the true time
	incarnations [3]uint64
	held         [3][2]HeldLease // by member and lease

	// Disabled safeguards, to show that the test detects the faults that they prevent.
	countFromReply   bool // a holder counts the lease from the arrival of the reply
	keepOldDeadlines bool // a new leader does not restart the leases
}

func newModel() *model {
	m := &model{table: NewTable(), incarnations: [3]uint64{1, 1, 1}}
	_ = m.table.BeginTerm(1, 0)
	return m
}

func (m *model) member(i int) Member {
	return Member{Name: fmt.Sprint("m", i), Incarnation: m.incarnations[i]}
}

func (m *model) leaderClock() time.Duration { return m.trueTime + m.clockOffset }

func leaseName(i int) string { return fmt.Sprint("l", i) }

func (m *model) clone() *model {
	cloned := *m
	table := *m.table
	cloned.table, table.Leases, table.Incarnations = &table, map[string]*Lease{}, maps.Clone(table.Incarnations)
	for name, lease := range m.table.Leases {
		copied := *lease
		copied.Waiters = slices.Clone(copied.Waiters)
		table.Leases[name] = &copied
	}
	return &cloned
}

// Events of one member and one lease.
const (
	eventAcquire = iota
	eventAcquireReplyLost
	eventRenew
	eventRelease
	eventRestart
	eventAcquireReplyLate
	memberEvents // number of events of one member and one lease
)

// Events that belong to no member, numbered after those of the members.
const (
	eventShortPause = 3*2*memberEvents + iota
	eventLongPause
	eventLeaderChange
	eventRevoke
	events // number of all events
)

// step applies one event and returns the tokens that were granted.
func (m *model) step(event int) (tokens []uint64) {
	switch event {
	case eventShortPause:
		m.trueTime += 100 * ms
	case eventLongPause:
		m.trueTime += 400 * ms
	case eventLeaderChange:
		m.clockOffset += 10 * time.Second
		if m.keepOldDeadlines {
			m.table.Term++
			return nil
		}
		_ = m.table.BeginTerm(m.table.Term+1, m.leaderClock())
	case eventRevoke:
		_ = m.table.Revoke(m.table.Term, m.leaderClock(), leaseName(0))
	default:
		return m.memberStep(event/memberEvents/2, event/memberEvents%2, event%memberEvents)
	}
	return nil
}

func (m *model) memberStep(member, lease, event int) (tokens []uint64) {
	sentAt := m.trueTime
	held := &m.held[member][lease]
	token, holds := held.Token(sentAt)
	var grant Grant
	var err error
	switch event {
	case eventRelease:
		if holds {
			held.Lost() // the holder stops before it sends the release
			_ = m.table.Release(m.table.Term, m.leaderClock(), leaseName(lease), m.member(member), token, m.member((member+1)%3).Name)
		}
		return nil
	case eventRestart:
		m.incarnations[member]++
		m.held[member] = [2]HeldLease{}
		return nil
	case eventRenew:
		if !holds {
			return nil
		}
		grant, err = m.table.Renew(m.table.Term, m.leaderClock(), leaseName(lease), m.member(member), token)
	default:
		grant, err = m.table.Acquire(m.table.Term, m.leaderClock(), leaseName(lease), rules, m.member(member))
	}
	if event == eventAcquireReplyLate {
		m.trueTime += 300 * ms
	}
	if err != nil {
		if event == eventRenew {
			held.Lost()
		}
		return nil
	}
	if event != eventAcquireReplyLost {
		if m.countFromReply {
			sentAt = m.trueTime
		}
		held.Granted(sentAt, grant)
	}
	return []uint64{grant.Token}
}

// leaseWithTwoHolders returns a lease that two members consider held at the same time, or -1.
func (m *model) leaseWithTwoHolders() int {
	for lease := range 2 {
		holders := 0
		for member := range 3 {
			if _, ok := m.held[member][lease].Token(m.trueTime); ok {
				holders++
			}
		}
		if holders > 1 {
			return lease
		}
	}
	return -1
}

// key returns a string that is equal for equal states.
func (m *model) key() string {
	text := fmt.Appendf(nil, "%d %d %d %v %v", m.trueTime, m.table.Term, m.table.LastToken, m.incarnations, m.held)
	for i := range 2 {
		if lease := m.table.Leases[leaseName(i)]; lease != nil {
			text = fmt.Appendf(text, "%v", *lease)
		}
	}
	return string(text)
}

// exploreStates runs every sequence of up to depth events, visiting each state once. It returns the number of states and the first
// violation.
func exploreStates(from *model, depth int) (states int, violation string) {
	type node struct {
		model *model
		path  string
	}
	seen := map[string]bool{from.key(): true}
	level := []node{{from, ""}}
	for range depth {
		var next []node
		for _, parent := range level {
			for event := range events {
				m := parent.model.clone()
				last := m.table.LastToken
				for _, token := range m.step(event) {
					if token > m.table.LastToken || token == 0 || token <= last && m.table.LastToken > last {
						return len(seen), fmt.Sprintf("events%s %d: got token %d after %d, want a higher one", parent.path, event, token, last)
					}
				}
				if lease := m.leaseWithTwoHolders(); lease >= 0 {
					return len(seen), fmt.Sprintf("events%s %d: two members hold lease %d", parent.path, event, lease)
				}
				if key := m.key(); !seen[key] {
					seen[key] = true
					next = append(next, node{m, fmt.Sprint(parent.path, " ", event)})
				}
			}
		}
		level = next
	}
	return len(seen), ""
}

// TestLeaseHasAtMostOneHolder runs all sequences of four events, beginning with an Acquire, of three members and two leases: grant, lost
// reply, expiry, release, restart and leader change. No two members may consider the same lease held, and tokens must increase. With
// either safeguard disabled, the exploration must find two holders.
func TestLeaseHasAtMostOneHolder(t *testing.T) {
	total := 0
	// Every relevant sequence begins with an Acquire. By symmetry, it is enough to begin with the first member and the first lease.
	for _, first := range []int{eventAcquire, eventAcquireReplyLost, eventAcquireReplyLate} {
		m := newModel()
		m.step(first)
		states, violation := exploreStates(m, 3)
		total += states
		if violation != "" {
			t.Errorf("after event %d: %s", first, violation)
		}
	}
	t.Logf("explored %d states", total)
	if total < 10_000 {
		t.Errorf("explored %d states, want at least 10000", total)
	}
	countFromReply := newModel()
	countFromReply.countFromReply = true
	if _, violation := exploreStates(countFromReply, 3); violation == "" {
		t.Error("found no violation with a holder that counts the lease from the arrival of the reply, want one")
	}
	keepOldDeadlines := newModel()
	keepOldDeadlines.keepOldDeadlines = true
	if _, violation := exploreStates(keepOldDeadlines, 3); violation == "" {
		t.Error("found no violation with a new leader that does not restart the leases, want one")
	}
}

// TestRandomCommandsKeepOneHolder runs random commands with random clock readings. By the table's clock there is at most one holder,
// tokens increase, a waiter that keeps retrying is granted the lease, and a restored table behaves like the stored one.
func TestRandomCommandsKeepOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now, term := NewTable(), time.Duration(0), uint64(1)
		_ = table.BeginTerm(term, 0)
		rules := Rules{
			Length:  rapid.SampledFrom([]time.Duration{MinLength, time.Second}).Draw(t, "length"),
			Site:    rapid.SampledFrom([]string{"", "a"}).Draw(t, "preferred site"),
			MaxWait: 2 * time.Second,
			MinHold: rapid.SampledFrom([]time.Duration{0, 3 * time.Second}).Draw(t, "min hold"),
		}
		last, holder, expiresAt := uint64(0), Member{}, time.Duration(0) // the expected state
		for range 200 {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause in ms")) * ms
			member := Member{
				Name:        rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "name"),
				Incarnation: uint64(rapid.IntRange(1, 2).Draw(t, "incarnation")),
				Site:        rapid.SampledFrom([]string{"a", "b"}).Draw(t, "site"),
				Load:        rapid.IntRange(0, 2).Draw(t, "load"),
			}
			var grant Grant
			var err error
			switch rapid.IntRange(0, 5).Draw(t, "command") {
			case 0, 1:
				grant, err = table.Acquire(term, now, "l", rules, member)
			case 2:
				if grant, err = table.Renew(term, now, "l", member, last); err == nil && !member.sameProcess(holder) {
					t.Fatalf("Renew by %v succeeded, but the holder is %v", member, holder)
				}
			case 3:
				if member.sameProcess(holder) && now < expiresAt {
					if err := table.Release(term, now, "l", member, last, ""); err != nil {
						t.Fatal(err)
					}
					holder, expiresAt = Member{}, now
				}
				err = ErrNotHeld
			case 4:
				term++
				expired := now >= expiresAt // by the previous leader's clock
				now = time.Duration(rapid.IntRange(0, 1000).Draw(t, "clock in s")) * time.Second
				if err := table.BeginTerm(term, now); err != nil {
					t.Fatal(err)
				}
				if expiresAt = now + rules.Length; expired {
					expiresAt = now
				}
				if _, err := table.Acquire(term-1, now, "l", rules, member); !errors.Is(err, ErrStaleTerm) {
					t.Fatalf("Acquire in an earlier term: got error %v, want %v", err, ErrStaleTerm)
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
			if grant.Token != last { // a new grant
				if grant.Token < last || holder.Name != "" && now < expiresAt {
					t.Fatalf("at %v: %v got token %d, want no grant before %v (holder %v) and a token above %d", now, member, grant.Token, expiresAt, holder, last)
				}
			} else if !member.sameProcess(holder) {
				t.Fatalf("%v got the token of %v, want a new one", member, holder)
			}
			last, holder, expiresAt = grant.Token, member, now+rules.Length
		}
		for range 100 { // only this member keeps retrying
			now += rules.Length / 2
			if _, err := table.Acquire(term, now, "l", rules, Member{Name: "w", Incarnation: 1}); err == nil {
				return
			}
		}
		t.Fatal("the only waiter was not granted the lease after 100 requests")
	})
}

// TestNextWaiterOrder tests the order of preference: successor, waiters past MaxWait, site, load, arrival.
func TestNextWaiterOrder(t *testing.T) {
	const sec = time.Second
	waiter := func(name, site string, load int, since time.Duration) Waiter {
		return Waiter{Member: Member{Name: name, Site: site, Load: load}, WaitingSince: since, LastAskedAt: 10 * sec}
	}
	for name, test := range map[string]struct {
		first, second Waiter
		successor     string
		minHold       time.Duration
		want          int
	}{
		"site":              {waiter("x", "b", 0, 9*sec), waiter("y", "a", 5, 9*sec), "", 0, 1},
		"load":              {waiter("x", "a", 2, 9*sec), waiter("y", "a", 1, 9*sec), "", 0, 1},
		"arrival":           {waiter("x", "a", 1, 8*sec), waiter("y", "a", 1, 9*sec), "", 0, 0},
		"successor":         {waiter("x", "a", 0, 8*sec), waiter("y", "b", 9, 9*sec), "y", 5 * sec, 1},
		"absent successor":  {waiter("x", "a", 0, 8*sec), waiter("y", "a", 0, 9*sec), "z", 0, noWaiter},
		"one past max wait": {waiter("x", "b", 9, 6*sec), waiter("y", "a", 0, 9*sec), "", 0, 0},
		"two past max wait": {waiter("x", "a", 0, 6*sec), waiter("y", "b", 9, 5*sec), "", 0, 1},
		"min hold":          {waiter("x", "a", 0, 8*sec), waiter("y", "a", 0, 9*sec), "", 5 * sec, noWaiter},
	} {
		t.Run(name, func(t *testing.T) {
			table := &Table{Now: 10 * sec}
			lease := &Lease{
				Rules:     Rules{Length: sec, Site: "a", MaxWait: 3 * sec, MinHold: test.minHold},
				GrantedAt: 6 * sec,
				ExpiresAt: 11 * sec,
				Successor: test.successor,
				Waiters:   []Waiter{test.first, test.second},
			}
			if got := table.nextWaiter(lease); got != test.want {
				t.Errorf("nextWaiter: got %d, want %d", got, test.want)
			}
		})
	}
}

// TestRevokedAndRestartedHoldersAreFencedOff tests that a revoked lease is neither renewed nor granted before it expires, that a new
// incarnation waits until the lease of the earlier one expires, that the earlier one can no longer renew it, and that receivers reject
// tokens lower than the highest one seen.
func TestRevokedAndRestartedHoldersAreFencedOff(t *testing.T) {
	table := NewTable()
	_ = table.BeginTerm(1, 0)
	first, restarted, other := Member{Name: "x", Incarnation: 1}, Member{Name: "x", Incarnation: 2}, Member{Name: "y", Incarnation: 1}
	expect := func(want error) func(Grant, error) Grant {
		return func(grant Grant, err error) Grant {
			t.Helper()
			if !errors.Is(err, want) {
				t.Errorf("got grant %+v and error %v, want error %v", grant, err, want)
			}
			return grant
		}
	}
	firstGrant := expect(nil)(table.Acquire(1, 0, "l", rules, first))
	expect(ErrWaiting)(table.Acquire(1, 100*ms, "l", rules, restarted))
	expect(ErrStaleIncarnation)(table.Renew(1, 100*ms, "l", first, firstGrant.Token))
	expect(ErrStaleIncarnation)(table.Acquire(1, 100*ms, "m", rules, first))
	secondGrant := expect(nil)(table.Acquire(1, 400*ms, "l", rules, restarted))
	expect(nil)(Grant{}, table.Revoke(1, 500*ms, "l"))
	expect(ErrNotHeld)(table.Renew(1, 500*ms, "l", restarted, secondGrant.Token))
	expect(ErrWaiting)(table.Acquire(1, 799*ms, "l", rules, other)) // the holder may not know of the revocation yet
	thirdGrant := expect(nil)(table.Acquire(1, 800*ms, "l", rules, other))
	for range 2 { // the second release does not affect the next holder
		expect(nil)(Grant{}, table.Release(1, 900*ms, "l", other, thirdGrant.Token, ""))
		expect(nil)(table.Acquire(1, 900*ms, "l", rules, restarted))
	}
	if firstGrant.Token >= secondGrant.Token || secondGrant.Token >= thirdGrant.Token {
		t.Errorf("got tokens %d, %d, %d, want increasing ones", firstGrant.Token, secondGrant.Token, thirdGrant.Token)
	}
	fence := Fence{}
	if fence.Admit(0) || !fence.Admit(1) || !fence.Admit(1) || !fence.Admit(3) || fence.Admit(2) || !fence.Admit(3) {
		t.Errorf("Fence %+v admitted token 0 or a token lower than the highest one seen, or rejected another one", fence)
	}
	for i := range 2 * maxMembers { // each with a new name
		_, _ = table.Acquire(1, time.Second+time.Duration(i)*ms, "l", rules, Member{Name: fmt.Sprint(i), Incarnation: 1})
	}
	if n := len(table.Incarnations); n > maxMembers {
		t.Errorf("got %d recorded incarnations, want at most %d", n, maxMembers)
	}
	if err := table.Forget(1, time.Hour); err != nil || len(table.Incarnations) > 0 {
		t.Errorf("Forget: got error %v and %d recorded incarnations, want none", err, len(table.Incarnations))
	}
}

// FuzzRestore restores arbitrary text. Restore must reject it, or commands on the table must not panic and must issue increasing tokens.
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
				t.Fatalf("Acquire: got token %d after %d, want a higher one", g.Token, last)
			}
		}
		_ = table.Forget(table.Term, 0)
	})
}
