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
	FirstAttempt Purpose = iota
	Retry                // a retry
	Hedge                // beside one that is out
)

// LocalityRequest is an attempt that looks for its locality.
type LocalityRequest struct {
	Class       string
	Purpose     Purpose
	TimeLeft    time.Duration // until the client gives up
	OnlyZone    string        // the zone that it must not leave; empty: any will do
	Previous    Locality      // of the attempt before; meaningless for the first
	Draw        float64       // at random, from 0 to below 1
	Excluded    []Locality    // those that have no server for it now
	SentAt      time.Duration // when the attempt was sent; 0 as long as its locality is looked for
	BudgetSpent bool          // a Copy that the module's budget is spent for: it may only leave a locality that is not well
}

// LocalityHealth is how a locality's servers stand, by their weight.
type LocalityHealth struct {
	Locality
	Listed  float64 // on the list
	Running float64 // of them, those that the list wants used
	Ready   float64 // of them, those that are not ejected
}

// LocalityPicker says which locality may take an attempt. It is called as a Host is: from one goroutine at a time, and it must
// not call back. A Balancer that has none weighs zones by their price alone.
type LocalityPicker interface {
	// UpdateHealth tells all localities that are on the list, from time to time.
	UpdateHealth(now time.Duration, l []LocalityHealth)
	// Pick gives a locality, or tells that there is none and when a client may come back.
	Pick(now time.Duration, a LocalityRequest) (at Locality, ok bool, comeBack time.Duration)
	// AttemptSent tells that an attempt went there, Ended once how it ended.
	AttemptSent(now time.Duration, at Locality, a LocalityRequest)
	AttemptEnded(now time.Duration, at Locality, a LocalityRequest, result Result, took time.Duration)
}

func (s *server) locality() Locality { return Locality{s.Zone, s.Priority} }

// health tells the tiers how the weighed servers stand.
func (b *Balancer) health(now time.Duration, some []*server) {
	b.stand = b.stand[:0]
next:
	for _, s := range some {
		h := LocalityHealth{Locality: s.locality(), Listed: s.Weight}
		if s.State == Running {
			h.Running = s.Weight
			if !b.ejected(s, now) {
				h.Ready = s.Weight
			}
		}
		for i := range b.stand {
			if o := &b.stand[i]; o.Locality == h.Locality {
				o.Listed, o.Running, o.Ready = o.Listed+h.Listed, o.Running+h.Running, o.Ready+h.Ready
				continue next
			}
		}
		b.stand = append(b.stand, h)
	}
	b.set.Localities.UpdateHealth(now, b.stand)
}

// placed finds a server in a locality that the tiers give.
func (b *Balancer) placed(now time.Duration, r *request, p Purpose, may func(*server) bool) *server {
	b.refresh(now)
	a := LocalityRequest{Class: r.Class, Purpose: p, TimeLeft: r.deadline - now, OnlyZone: b.bound(r), Draw: b.rng.Float64(), BudgetSpent: p == Hedge && b.spent(now, r)}
	if len(r.tries) > 0 {
		a.Previous = r.tries[len(r.tries)-1].to.locality()
	}
	for range 8 {
		at, ok, wait := b.set.Localities.Pick(now, a)
		if r.wait = wait; !ok {
			return nil
		}
		if p == Hedge && len(r.tries) > 1 && r.went(at) { // one more copy is for another locality only
			a.Excluded = append(a.Excluded, at)
			continue
		}
		in := func(s *server) bool { return s.Zone == at.Zone && s.Priority == at.Priority && may(s) }
		s := b.pick(now, func(s *server) bool { return in(s) && s.takes(r.class, now) })
		if s == nil && p == FirstAttempt && len(a.Excluded) > 0 { // nobody takes it: better asked than left out
			s = b.pick(now, in)
		}
		if s == nil && p == FirstAttempt { // a probe of a locality that has only ejected ones
			s = b.outcast(now, at, may)
		}
		if s != nil {
			r.ask = a
			return s
		}
		a.Excluded = append(a.Excluded, at)
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
	if r.class.Effect == IdempotentWithKey && r.class.Group != GroupAll {
		for i := range r.tries {
			if !r.tries[i].proved {
				return r.tries[i].to.Zone
			}
		}
	}
	return ""
}
