package membership

import (
	"cmp"
	"slices"
	"time"
)

// maxMembers bounds the roster, as names come from other processes.
const maxMembers = 4096

// roster is the state machine of the membership: it turns observations of members into events. It has no clock; the current time is an
// argument. It must not be used concurrently.
type roster struct {
	forgetAfter time.Duration // how long a dead member stays listed
	members     map[string]*rosterEntry
}

type rosterEntry struct {
	Member
	announced State // the state that the member announced last
}

func newRoster(forgetAfter time.Duration) *roster {
	return &roster{forgetAfter: forgetAfter, members: map[string]*rosterEntry{}}
}

// setState changes a member's state and returns the event for it, if any.
func (r *roster) setState(now time.Duration, entry *rosterEntry, state State, restarted bool) []Event {
	from := entry.State
	if from == state && !restarted {
		return nil
	}
	entry.State = state
	entry.Since = now
	return []Event{{From: from, Member: entry.Member, Restarted: restarted}}
}

// alive records the announcement of a member. Of two incarnations with the same name only the higher one counts; an announcement with a
// lower incarnation is either outdated or from a process whose name another process has taken over.
func (r *roster) alive(now time.Duration, announced Member) []Event {
	entry := r.members[announced.Name]
	if entry == nil {
		return r.add(now, announced)
	}
	if announced.Incarnation < entry.Incarnation {
		return nil
	}
	restarted := announced.Incarnation > entry.Incarnation
	previous := entry.Member
	entry.Member = announced
	entry.State = previous.State
	entry.Since = previous.Since
	entry.announced = announced.State
	return r.setState(now, entry, announced.State, restarted)
}

func (r *roster) add(now time.Duration, announced Member) []Event {
	if len(r.members) >= maxMembers {
		return nil
	}
	entry := &rosterEntry{Member: announced, announced: announced.State}
	entry.State = ""
	r.members[announced.Name] = entry
	return r.setState(now, entry, announced.State, false)
}

// suspect records that a member has not responded to a probe.
func (r *roster) suspect(now time.Duration, name string) []Event {
	entry := r.members[name]
	if entry == nil || entry.State == Dead || entry.State == Gone {
		return nil
	}
	return r.setState(now, entry, Suspect, false)
}

// answered records that a member has responded to a probe.
func (r *roster) answered(now time.Duration, name string) []Event {
	entry := r.members[name]
	if entry == nil || entry.State != Suspect {
		return nil
	}
	return r.setState(now, entry, entry.announced, false)
}

// ended records that an incarnation of a member has left or, if left is false, that the fleet has declared it dead. It does not end a
// higher incarnation.
func (r *roster) ended(now time.Duration, name string, incarnation uint64, left bool) []Event {
	entry := r.members[name]
	if entry == nil || incarnation < entry.Incarnation || entry.State == Gone {
		return nil
	}
	if !left {
		return r.setState(now, entry, Dead, false)
	}
	delete(r.members, name)
	return r.setState(now, entry, Gone, false)
}

// tick removes the members that have been dead for forgetAfter, sorted by name.
func (r *roster) tick(now time.Duration) []Event {
	var forgotten []string
	for name, entry := range r.members {
		if entry.State == Dead && now-entry.Since >= r.forgetAfter {
			forgotten = append(forgotten, name)
		}
	}
	slices.Sort(forgotten)
	var events []Event
	for _, name := range forgotten {
		events = append(events, r.setState(now, r.members[name], Gone, false)...)
		delete(r.members, name)
	}
	return events
}

// aliveAt reports whether a member with an address is known and not dead.
func (r *roster) aliveAt(address string) bool {
	for _, entry := range r.members {
		if entry.Address == address && entry.State != Dead {
			return true
		}
	}
	return false
}

// list returns all members sorted by name.
func (r *roster) list() []Member {
	members := make([]Member, 0, len(r.members))
	for _, entry := range r.members {
		members = append(members, entry.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}
