// What the module is told where zones have tiers of preference. It decides nothing here: it asks.

package balancer

import "time"

// Locality is where servers stand together: a zone, at one priority.
type Locality struct {
	Zone     string
	Priority int
}

// Purpose is what an attempt is for.
type Purpose uint8

const (
	First Purpose = iota
	Again         // a retry
	Copy          // beside one that is out
)

// Ask is an attempt that looks for its locality.
type Ask struct {
	Class   string
	Purpose Purpose
	Left    time.Duration // until the client gives up
	Bound   string        // the zone that it must not leave; empty: any will do
	From    Locality      // of the attempt before; meaningless for the first
	Draw    float64       // at random, from 0 to below 1
	Not     []Locality    // those that have no server for it now
	Sent    time.Duration // when the attempt was sent; 0 as long as its locality is looked for
	Spent   bool          // a Copy that the module's budget is spent for: it may only leave a locality that is not well
}

// LocalityHealth is how a locality's servers stand, by their weight.
type LocalityHealth struct {
	Locality
	Known   float64 // on the list
	Running float64 // of them, those that the list wants used
	Ready   float64 // of them, those that are not ejected
}

// Tiers says which locality may take an attempt. It is called as a Host is: from one goroutine at a time, and it must
// not call back. A Balancer that has none weighs zones by their price alone.
type Tiers interface {
	// Health tells all localities that are on the list, from time to time.
	Health(now time.Duration, l []LocalityHealth)
	// Place gives a locality, or tells that there is none and when a client may come back.
	Place(now time.Duration, a Ask) (at Locality, ok bool, comeBack time.Duration)
	// Sent tells that an attempt went there, Ended once how it ended.
	Sent(now time.Duration, at Locality, a Ask)
	Ended(now time.Duration, at Locality, a Ask, result Result, took time.Duration)
}

func (s *server) locality() Locality { return Locality{s.Zone, s.Priority} }

// health tells the tiers how the weighed servers stand.
func (b *Balancer) health(now time.Duration, some []*server) {
	b.stand = b.stand[:0]
next:
	for _, s := range some {
		h := LocalityHealth{Locality: s.locality(), Known: s.Weight}
		if s.State == Running {
			h.Running = s.Weight
			if !b.ejected(s, now) {
				h.Ready = s.Weight
			}
		}
		for i := range b.stand {
			if o := &b.stand[i]; o.Locality == h.Locality {
				o.Known, o.Running, o.Ready = o.Known+h.Known, o.Running+h.Running, o.Ready+h.Ready
				continue next
			}
		}
		b.stand = append(b.stand, h)
	}
	b.set.Tiers.Health(now, b.stand)
}

// placed finds a server in a locality that the tiers give.
func (b *Balancer) placed(now time.Duration, r *request, p Purpose, may func(*server) bool) *server {
	b.refresh(now)
	a := Ask{Class: r.Class, Purpose: p, Left: r.deadline - now, Bound: b.bound(r), Draw: b.rng.Float64(), Spent: p == Copy && b.spent(now, r)}
	if len(r.tries) > 0 {
		a.From = r.tries[len(r.tries)-1].to.locality()
	}
	for range 8 {
		at, ok, wait := b.set.Tiers.Place(now, a)
		if r.wait = wait; !ok {
			return nil
		}
		if p == Copy && len(r.tries) > 1 && r.went(at) { // one more copy is for another locality only
			a.Not = append(a.Not, at)
			continue
		}
		in := func(s *server) bool { return s.Zone == at.Zone && s.Priority == at.Priority && may(s) }
		s := b.pick(now, func(s *server) bool { return in(s) && s.takes(r.class, now) })
		if s == nil && p == First && len(a.Not) > 0 { // nobody takes it: better asked than left out
			s = b.pick(now, in)
		}
		if s == nil && p == First { // a probe of a locality that has only ejected ones
			s = b.outcast(now, at, may)
		}
		if s != nil {
			r.ask = a
			return s
		}
		a.Not = append(a.Not, at)
	}
	return nil
}

// outcast is the server of a locality that is ejected for the shortest time from now on, where all of them are. Danger: what
// is drawn leaves them out as long as no more than half of all servers are ejected, and the locality would get no probe.
func (b *Balancer) outcast(now time.Duration, at Locality, may func(*server) bool) (first *server) {
	for _, s := range b.byZone[at.Zone] {
		if s.State != Running || s.Priority != at.Priority {
			continue
		}
		if !b.ejected(s, now) {
			return nil
		}
		if may(s) && (first == nil || s.until < first.until) {
			first = s
		}
	}
	return first
}

// went tells whether an attempt went to a locality.
func (r *request) went(at Locality) bool {
	for i := range r.tries {
		if r.tries[i].to.locality() == at {
			return true
		}
	}
	return false
}

// bound is the zone that a request must not leave, as it may have run there and only its servers drop the repeat.
func (b *Balancer) bound(r *request) string {
	if r.class.Effect == Keyed && r.class.Group != GroupAll {
		for i := range r.tries {
			if !r.tries[i].proved {
				return r.tries[i].to.Zone
			}
		}
	}
	return ""
}
