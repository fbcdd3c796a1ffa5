package membership

import (
	"cmp"
	"slices"
	"time"
)

// maxMembers bounds the roster, as names come from other processes.
const maxMembers = 4096

// roster is the state machine of the membership: what is observed of members goes in, events come out. It has no clock; time is an
// argument. It must not be used concurrently.
type roster struct {
	forgetAfter time.Duration // a dead member is gone after it
	members     map[string]*rosterEntry
}

type rosterEntry struct {
	Member
	announced State // by the member itself, the last time
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

// alive records what a member announces. Of two incarnations of one name the later one counts; the earlier one is outdated, or a process
// whose name belongs to another one now.
func (r *roster) alive(now time.Duration, announced Member) []Event {
	entry := r.members[announced.Name]
	if entry == nil {
		return r.add(now, announced)
	}
	if announced.Incarnation < entry.Incarnation {
		return nil
	}
	restarted := announced.Incarnation > entry.Incarnation
	before := entry.Member
	entry.Member = announced
	entry.State = before.State
	entry.Since = before.Since
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

// suspect records that a member has not answered a probe.
func (r *roster) suspect(now time.Duration, name string) []Event {
	entry := r.members[name]
	if entry == nil || entry.State == Dead || entry.State == Gone {
		return nil
	}
	return r.setState(now, entry, Suspect, false)
}

// answered records that a member has answered a probe.
func (r *roster) answered(now time.Duration, name string) []Event {
	entry := r.members[name]
	if entry == nil || entry.State != Suspect {
		return nil
	}
	return r.setState(now, entry, entry.announced, false)
}

// ended records that an incarnation of a member has left, or that the fleet has given it up. It does not end a later incarnation.
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

// tick removes the members that have been dead for forgetAfter, in the order of their names.
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

// list returns all members by name.
func (r *roster) list() []Member {
	members := make([]Member, 0, len(r.members))
	for _, entry := range r.members {
		members = append(members, entry.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}
