package balancer

import "time"

// maxLocalityPicks limits how many localities are tried for one attempt.
const maxLocalityPicks = 8

// Locality identifies the servers of one zone and one priority.
type Locality struct {
	Zone     string
	Priority int
}

// Purpose is the reason for an attempt.
type Purpose uint8

// The purposes of attempts.
const (
	FirstAttempt Purpose = iota
	Retry                // the previous attempt has ended
	Hedge                // another attempt is still in flight
)

// LocalityRequest describes an attempt for which a locality is to be picked.
type LocalityRequest struct {
	Class       string
	Purpose     Purpose
	TimeLeft    time.Duration // until the client gives up
	OnlyZone    string        // the only zone allowed; empty: any zone
	Previous    Locality      // locality of the previous attempt; unused with FirstAttempt
	Draw        float64       // random number, from 0 to below 1
	Excluded    []Locality    // localities that have no usable server for the attempt
	SentAt      time.Duration // when the attempt was sent; 0 while its locality is picked
	BudgetSpent bool          // for a Hedge without retry budget, which may only leave an unhealthy locality
}

// LocalityHealth holds the sums of the weights of a locality's servers by their health.
type LocalityHealth struct {
	Locality
	Listed  float64 // all servers on the endpoint list
	Running float64 // listed servers in state Running
	Ready   float64 // running servers that are not ejected
}

// LocalityPicker picks the locality of each attempt. It is called from one goroutine at a time and must not call back into the
// Balancer. A Balancer without a LocalityPicker weights zones only by their losses and the cross-zone price.
type LocalityPicker interface {
	// UpdateHealth reports the health of all localities on the endpoint list, each time the subset is refreshed. It must not retain
	// the slice.
	UpdateHealth(now time.Duration, localities []LocalityHealth)
	// Pick returns the locality for an attempt. If there is none, ok is false and retryAfter is the Retry-After of the rejection.
	Pick(now time.Duration, request LocalityRequest) (locality Locality, ok bool, retryAfter time.Duration)
	// AttemptSent reports that an attempt was sent to a locality.
	AttemptSent(now time.Duration, locality Locality, request LocalityRequest)
	// AttemptEnded reports how an attempt ended. It is called once for each AttemptSent.
	AttemptEnded(now time.Duration, locality Locality, request LocalityRequest, result Result, latency time.Duration)
}

// reportHealth passes the health of the candidates' localities to the LocalityPicker.
func (b *Balancer) reportHealth(now time.Duration, candidates []*server) {
	localities := b.localityHealth[:0]
	for _, s := range candidates {
		health := b.healthOf(s, now)
		sums := findLocality(localities, health.Locality)
		if sums == nil {
			localities = append(localities, health)
			continue
		}
		sums.Listed += health.Listed
		sums.Running += health.Running
		sums.Ready += health.Ready
	}
	b.localityHealth = localities
	b.settings.Localities.UpdateHealth(now, localities)
}

// healthOf returns the contribution of one server to the health of its locality.
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

// findLocality returns the entry of a locality, or nil if it has none.
func findLocality(localities []LocalityHealth, loc Locality) *LocalityHealth {
	for i := range localities {
		if localities[i].Locality == loc {
			return &localities[i]
		}
	}
	return nil
}

// pickLocalityAndServer returns a server in a locality that the LocalityPicker picks, or nil if there is none.
func (b *Balancer) pickLocalityAndServer(now time.Duration, r *request, purpose Purpose, usable func(*server) bool) *server {
	b.refreshSubset(now)
	pickRequest := LocalityRequest{
		Class:       r.Class,
		Purpose:     purpose,
		TimeLeft:    r.deadline - now,
		OnlyZone:    r.requiredZone(),
		Draw:        b.rng.Float64(),
		BudgetSpent: purpose == Hedge && b.retryBudgetSpent(now, r),
	}
	attempts := len(r.attempts)
	if attempts > 0 {
		pickRequest.Previous = r.attempts[attempts-1].to.locality()
	}
	for range maxLocalityPicks {
		loc, ok, retryAfter := b.settings.Localities.Pick(now, pickRequest)
		r.retryAfter = retryAfter
		if !ok {
			return nil
		}
		secondHedge := purpose == Hedge && attempts > 1
		if secondHedge && r.attemptedIn(loc) { // a further hedge must go to a new locality
			pickRequest.Excluded = append(pickRequest.Excluded, loc)
			continue
		}
		if s := b.pickServerInLocality(now, r, loc, pickRequest, usable); s != nil {
			r.localityRequest = pickRequest
			return s
		}
		pickRequest.Excluded = append(pickRequest.Excluded, loc)
	}
	return nil
}

// pickServerInLocality returns a server of a locality, or nil if there is none. A first attempt may get a server that is ejected, or
// ejected for the class, if the locality has no other.
func (b *Balancer) pickServerInLocality(now time.Duration, r *request, loc Locality, pickRequest LocalityRequest, usable func(*server) bool,
) *server {
	usableHere := func(s *server) bool { return s.Zone == loc.Zone && s.Priority == loc.Priority && usable(s) }
	s := b.pick(now, func(s *server) bool { return usableHere(s) && s.accepts(r.class, now) })
	if s != nil || pickRequest.Purpose != FirstAttempt {
		return s
	}
	if len(pickRequest.Excluded) > 0 { // an earlier pick failed as well: a server that is ejected for the class is better than none
		s = b.pick(now, usableHere)
	}
	if s == nil {
		s = b.leastEjected(now, loc, usable)
	}
	return s
}

// leastEjected returns the usable server of a locality whose ejection ends first if all servers of the locality are ejected, and nil
// otherwise. Without it, the locality would never be tried: the subset excludes ejected servers unless their weight exceeds the
// panic threshold over all localities.
func (b *Balancer) leastEjected(now time.Duration, loc Locality, usable func(*server) bool) *server {
	var first *server
	for _, s := range b.endpoints.byZone[loc.Zone] {
		if s.State != Running || s.Priority != loc.Priority {
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
