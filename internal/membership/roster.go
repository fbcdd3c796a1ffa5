// Package membership knows who is in the fleet: names, places, versions and states, found by SWIM (hashicorp/memberlist) and
// seen from inside as a list and a stream of events. Nothing on a request's path asks it.
package membership

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// State is where a member stands. The first five it says of itself, the others are what this process knows of it.
type State string

const (
	Joining  State = "joining"  // started, not ready yet
	Serving  State = "serving"  // ready
	Draining State = "draining" // answers what it holds
	Leaving  State = "leaving"  // about to end
	Witness  State = "witness"  // votes, and serves no traffic
	Suspect  State = "suspect"  // did not answer this process's probe
	Dead     State = "dead"     // the fleet has given it up
	Gone     State = "gone"     // it has left, or has been dead for long; the next event of its name is a new one
)

// Bounds: names and texts come from other processes.
const (
	maxMembers = 4096
	maxMeta    = 512 // bytes, memberlist's own
	maxText    = 64  // bytes of a name, site, zone or version
	maxEvents  = 4096
)

// Member is one process.
type Member struct {
	Name        string `json:"name"`
	Site        string `json:"site,omitempty"`
	Zone        string `json:"zone,omitempty"`
	Program     string `json:"program,omitempty"` // version of the program
	Config      string `json:"config,omitempty"`  // version of the configuration
	Incarnation uint64 `json:"birth"`             // rises with each start of its process
	State       State  `json:"state"`
	Address     string `json:"address"`
	// Since is when State began, on this process's clock.
	Since time.Duration `json:"since"`
}

// Event is one member's news. Restarted: it is another process than before, as its birth is later.
type Event struct {
	From      State // empty: it was not known
	Member    Member
	Restarted bool
}

func (e Event) String() string {
	s := fmt.Sprintf("%s %s -> %s", e.Member.Name, cmp.Or(string(e.From), "unknown"), e.Member.State)
	if e.Restarted {
		s += ", restarted"
	}
	return s
}

// meta is what a member says of itself, in as few bytes as there is room for.
type meta struct {
	Site    string `json:"s,omitempty"`
	Zone    string `json:"z,omitempty"`
	Program string `json:"p,omitempty"`
	Config  string `json:"c,omitempty"`
	Birth   uint64 `json:"b"`
	State   State  `json:"t"`
}

func (m Member) meta() ([]byte, error) {
	for _, s := range []string{m.Name, m.Site, m.Zone, m.Program, m.Config} {
		if len(s) > maxText {
			return nil, fmt.Errorf("member %q: %q has %d bytes, %d at most", m.Name, s, len(s), maxText)
		}
	}
	b, err := json.Marshal(meta{m.Site, m.Zone, m.Program, m.Config, m.Incarnation, m.State})
	if err == nil && len(b) > maxMeta {
		err = fmt.Errorf("member %q: what it says of itself has %d bytes, %d at most", m.Name, len(b), maxMeta)
	}
	return b, err
}

// readMeta reads what another process says of itself.
func readMeta(name, address string, text []byte) (Member, error) {
	var d meta
	if name == "" || len(name) > maxText {
		return Member{}, fmt.Errorf("a name of %d bytes, want 1 to %d", len(name), maxText)
	}
	if err := json.Unmarshal(text, &d); err != nil {
		return Member{}, fmt.Errorf("member %q: %w", name, err)
	}
	m := Member{Name: name, Site: d.Site, Zone: d.Zone, Program: d.Program, Config: d.Config, Incarnation: d.Birth, State: d.State, Address: address}
	for _, s := range []string{m.Site, m.Zone, m.Program, m.Config} {
		if len(s) > maxText {
			return Member{}, fmt.Errorf("member %q: a text of %d bytes, %d at most", name, len(s), maxText)
		}
	}
	switch m.State {
	case Joining, Serving, Draining, Leaving, Witness:
	default:
		return Member{}, fmt.Errorf("member %q: state %q", name, m.State)
	}
	return m, nil
}

// roster is the pure list: what is told of members in, events out. Time is an argument.
type roster struct {
	forget time.Duration // a dead member is gone after so long
	all    map[string]*entry
}

type entry struct {
	Member
	said State // by itself, the last time
}

func newRoster(forget time.Duration) *roster {
	return &roster{forget: forget, all: map[string]*entry{}}
}

func (r *roster) set(now time.Duration, e *entry, s State, restarted bool) []Event {
	from := e.State
	if from == s && !restarted {
		return nil
	}
	e.State, e.Since = s, now
	return []Event{{from, e.Member, restarted}}
}

// alive takes what a member says of itself. Of two births of one name the later one counts; an earlier one that is heard
// once more is old news, or a process whose name is another's now.
func (r *roster) alive(now time.Duration, m Member) []Event {
	e := r.all[m.Name]
	if e == nil {
		if len(r.all) >= maxMembers {
			return nil
		}
		said := m.State
		m.State = ""
		e = &entry{Member: m, said: said}
		r.all[m.Name] = e
		return r.set(now, e, said, false)
	}
	if m.Incarnation < e.Incarnation {
		return nil
	}
	restarted := m.Incarnation > e.Incarnation
	s, from, since := m.State, e.State, e.Since
	e.Member = m
	e.State, e.Since, e.said = from, since, s
	return r.set(now, e, s, restarted)
}

// suspect takes that a probe was not answered, cleared that one was.
func (r *roster) suspect(now time.Duration, name string) []Event {
	if e := r.all[name]; e != nil && e.State != Dead && e.State != Gone {
		return r.set(now, e, Suspect, false)
	}
	return nil
}

func (r *roster) cleared(now time.Duration, name string) []Event {
	if e := r.all[name]; e != nil && e.State == Suspect {
		return r.set(now, e, e.said, false)
	}
	return nil
}

// ended takes that the fleet has given a member up, or that it has left. Danger: news of an earlier birth must not end a
// later one.
func (r *roster) ended(now time.Duration, name string, birth uint64, left bool) []Event {
	e := r.all[name]
	if e == nil || birth < e.Incarnation || e.State == Gone {
		return nil
	}
	if left {
		out := r.set(now, e, Gone, false)
		delete(r.all, name)
		return out
	}
	return r.set(now, e, Dead, false)
}

// tick lets those go that have been dead for long.
func (r *roster) tick(now time.Duration) (out []Event) {
	var over []string
	for name, e := range r.all {
		if e.State == Dead && now-e.Since >= r.forget {
			over = append(over, name)
		}
	}
	slices.Sort(over)
	for _, name := range over {
		out = append(out, r.set(now, r.all[name], Gone, false)...)
		delete(r.all, name)
	}
	return out
}

// lives tells whether anyone at an address is known, and not given up.
func (r *roster) lives(address string) bool {
	for _, e := range r.all {
		if e.Address == address && e.State != Dead {
			return true
		}
	}
	return false
}

func (r *roster) list() []Member {
	l := make([]Member, 0, len(r.all))
	for _, e := range r.all {
		l = append(l, e.Member)
	}
	slices.SortFunc(l, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return l
}
