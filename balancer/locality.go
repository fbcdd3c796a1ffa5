package balancer

import "time"

// maxLocalityPicks is how many localities are tried for one attempt.
const maxLocalityPicks = 8

// Locality is a group of servers: a zone, at one priority.
type Locality struct {
	Zone     string
	Priority int
}

// Purpose is what an attempt is for.
type Purpose uint8

// The purposes of attempts.
const (
	FirstAttempt Purpose = iota
	Retry                // after an attempt that has ended
	Hedge                // beside an attempt in flight
)

// LocalityRequest is an attempt that needs a locality.
type LocalityRequest struct {
	Class       string
	Purpose     Purpose
	TimeLeft    time.Duration // until the client gives up
	OnlyZone    string        // the zone that it must not leave; empty: any will do
	Previous    Locality      // of the attempt before; meaningless for the first
	Draw        float64       // random, from 0 to below 1
	Excluded    []Locality    // those that have no server for it now
	SentAt      time.Duration // when the attempt was sent; 0 while its locality is being picked
	BudgetSpent bool          // a Hedge whose retry budget is spent: it may only leave a locality that is unhealthy
}

// LocalityHealth is the health of a locality's servers, as sums of their weights.
type LocalityHealth struct {
	Locality
	Listed  float64 // on the endpoint list
	Running float64 // of the listed, those in state Running
	Ready   float64 // of the running, those that are not ejected
}

// LocalityPicker decides which locality takes an attempt. It is called from one goroutine at a time and must not call back. A
// Balancer without one weighs zones by the cross-zone price alone.
type LocalityPicker interface {
	// UpdateHealth takes the health of all localities on the endpoint list, from time to time. It must not retain l.
	UpdateHealth(now time.Duration, l []LocalityHealth)
	// Pick returns a locality; ok is false if there is none, and comeBack is the Retry-After then.
	Pick(now time.Duration, a LocalityRequest) (at Locality, ok bool, comeBack time.Duration)
	// AttemptSent notes that an attempt was sent to a locality.
	AttemptSent(now time.Duration, at Locality, a LocalityRequest)
	// AttemptEnded notes once how it ended.
	AttemptEnded(now time.Duration, at Locality, a LocalityRequest, result Result, took time.Duration)
}

// reportHealth tells the LocalityPicker the health of the candidates.
func (b *Balancer) reportHealth(now time.Duration, candidates []*server) {
	localities := b.localitiesHealth[:0]
	for _, s := range candidates {
		health := b.healthOf(s, now)
		known := findLocality(localities, health.Locality)
		if known == nil {
			localities = append(localities, health)
			continue
		}
		known.Listed += health.Listed
		known.Running += health.Running
		known.Ready += health.Ready
	}
	b.localitiesHealth = localities
	b.settings.Localities.UpdateHealth(now, localities)
}

// healthOf is what one server adds to the health of its locality.
func (b *Balancer) healthOf(s *server, now time.Duration) LocalityHealth {
	health := LocalityHealth{Locality: s.locality(), Listed: s.Weight}
	if s.State != Running {
		return health
	}
	health.Running = s.Weight
	if !b.ejected(s, now) {
		health.Ready = s.Weight
	}
	return health
}

func findLocality(localities []LocalityHealth, at Locality) *LocalityHealth {
	for i := range localities {
		if localities[i].Locality == at {
			return &localities[i]
		}
	}
	return nil
}

// pickInLocality returns a server in a locality of the LocalityPicker's choice, or nil if there is none.
func (b *Balancer) pickInLocality(now time.Duration, r *request, purpose Purpose, usable func(*server) bool) *server {
	b.refreshSubset(now)
	ask := LocalityRequest{
		Class:       r.Class,
		Purpose:     purpose,
		TimeLeft:    r.deadline - now,
		OnlyZone:    r.boundZone(),
		Draw:        b.rng.Float64(),
		BudgetSpent: purpose == Hedge && b.retryBudgetSpent(now, r),
	}
	attempts := len(r.attempts)
	if attempts > 0 {
		ask.Previous = r.attempts[attempts-1].to.locality()
	}
	for range maxLocalityPicks {
		at, ok, retryAfter := b.settings.Localities.Pick(now, ask)
		r.retryAfter = retryAfter
		if !ok {
			return nil
		}
		secondHedge := purpose == Hedge && attempts > 1
		if secondHedge && r.attemptedIn(at) { // it is for another locality only
			ask.Excluded = append(ask.Excluded, at)
			continue
		}
		if s := b.pickAt(now, r, at, ask, usable); s != nil {
			r.localityRequest = ask
			return s
		}
		ask.Excluded = append(ask.Excluded, at)
	}
	return nil
}

// pickAt returns a server of a locality, or nil if there is none.
func (b *Balancer) pickAt(now time.Duration, r *request, at Locality, ask LocalityRequest, usable func(*server) bool) *server {
	usableHere := func(s *server) bool { return s.Zone == at.Zone && s.Priority == at.Priority && usable(s) }
	s := b.pick(now, func(s *server) bool { return usableHere(s) && s.accepts(r.class, now) })
	if s != nil || ask.Purpose != FirstAttempt {
		return s
	}
	if len(ask.Excluded) > 0 { // all reject the class: trying one is better than not trying
		s = b.pick(now, usableHere)
	}
	if s == nil {
		s = b.leastEjected(now, at, usable)
	}
	return s
}

// leastEjected returns the server of a locality whose ejection ends first, if all of them are ejected, and nil otherwise. The
// subset lacks them while at most half of all servers are ejected, and the locality would never be tried.
func (b *Balancer) leastEjected(now time.Duration, at Locality, usable func(*server) bool) *server {
	var first *server
	for _, s := range b.endpoints.byZone[at.Zone] {
		if s.State != Running || s.Priority != at.Priority {
			continue
		}
		if !b.ejected(s, now) {
			return nil
		}
		if usable(s) && (first == nil || s.outlier.ejectedUntil < first.outlier.ejectedUntil) {
			first = s
		}
	}
	return first
}
