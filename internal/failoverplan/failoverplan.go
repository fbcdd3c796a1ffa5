// Package failoverplan computes where a site's load goes when the site fails: how much of it the other sites serve, how much of each
// class is rejected, and how much the other sites still serve to their own users. Its functions are pure.
//
// A site's capacity is given per class, as the requests per second that the site could serve if it served only that class. The
// utilization by a load is the sum over the classes of the rate divided by the capacity; 1 is the full capacity.
package failoverplan

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

const (
	// MaxSites is the maximum number of sites in a plan.
	MaxSites   = 16
	maxClasses = 64
	maxRate    = 1e9  // requests per second
	tolerance  = 1e-9 // rounding error allowed in sums of fractions
)

// Rates are requests per second by class.
type Rates map[string]float64

// Class is a request class.
type Class struct {
	Name           string
	PriorityWeight float64 // classes with a lower weight are rejected first
	// Floor is the fraction of the class's load that is served before any class gets more than its floor.
	Floor float64
}

// FailoverTarget is a site that takes over a fraction of a failed site's load.
type FailoverTarget struct {
	Site     string
	Fraction float64 // of the load of each class
}

// Site holds the capacity, the expected load and the failover targets of a site.
type Site struct {
	Name     string
	Capacity Rates
	Load     Rates            // expected; nil: unknown
	Targets  []FailoverTarget // in order of preference
	// MaxSpillover is the maximum fraction of the site's capacity that the load of other sites may use.
	MaxSpillover float64
}

// Plan is the input of the package. Lose may be called only after Validate returned nil.
type Plan struct {
	Classes []Class
	Sites   []Site
}

// Allocation is the part of one site's load of a class that is sent to one serving site.
type Allocation struct {
	From      string  `json:"from"`
	At        string  `json:"at,omitempty"` // serving site; empty if no site takes the load
	Class     string  `json:"class"`
	Requested float64 `json:"asked"`  // requests per second
	Served    float64 `json:"served"` // requests per second
}

// Outcome is the result of losing sites.
type Outcome struct {
	Lost []string `json:"lost"`
	// Allocations are sorted by serving site, then by origin, then by descending priority weight of the class.
	Allocations []Allocation `json:"shares"`
	// Utilization is the fraction of its capacity that each remaining site with load uses.
	Utilization map[string]float64 `json:"used"`
}

// Rejected returns the requests per second that are not served.
func (a *Allocation) Rejected() float64 { return max(a.Requested-a.Served, 0) }

func (p *Plan) site(name string) int {
	return slices.IndexFunc(p.Sites, func(s Site) bool { return s.Name == name })
}

func (p *Plan) class(name string) Class {
	if i := slices.IndexFunc(p.Classes, func(c Class) bool { return c.Name == name }); i >= 0 {
		return p.Classes[i]
	}
	return Class{Name: name}
}

// SingleLosses returns, for each site, the loss of that site alone.
func (p *Plan) SingleLosses() (losses [][]string) {
	for _, s := range p.Sites {
		losses = append(losses, []string{s.Name})
	}
	return losses
}

// PairLosses returns the loss of each pair of sites, or nil if the plan has fewer than three sites.
func (p *Plan) PairLosses() (losses [][]string) {
	if len(p.Sites) < 3 {
		return nil
	}
	for i, a := range p.Sites {
		for _, b := range p.Sites[i+1:] {
			losses = append(losses, []string{a.Name, b.Name})
		}
	}
	return losses
}

// Lose computes the outcome of losing the sites named in lost. load replaces the expected load of the sites that it contains. Load that
// exceeds what a target can serve is rejected there and not sent to the next target, because a request crosses sites at most once.
func (p *Plan) Lose(lost []string, load map[string]Rates) Outcome {
	outcome := Outcome{Lost: slices.Sorted(slices.Values(lost)), Utilization: map[string]float64{}}
	bySite := map[string][]Allocation{} // by serving site
	for i := range p.Sites {
		s := &p.Sites[i]
		rates, given := load[s.Name]
		if !given {
			rates = s.Load
		}
		for _, class := range slices.Sorted(maps.Keys(rates)) {
			for _, a := range p.route(s, class, rates[class], lost) {
				bySite[a.At] = append(bySite[a.At], a)
			}
		}
	}
	outcome.Allocations = bySite[""]
	delete(bySite, "")
	for _, name := range slices.Sorted(maps.Keys(bySite)) {
		allocations := bySite[name]
		outcome.Utilization[name] = p.allocate(&p.Sites[p.site(name)], allocations)
		outcome.Allocations = append(outcome.Allocations, allocations...)
	}
	slices.SortStableFunc(outcome.Allocations, func(a, b Allocation) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.From, b.From), p.compareWeight(a.Class, b.Class), cmp.Compare(a.Class, b.Class))
	})
	return outcome
}

// compareWeight compares two classes for sorting by descending priority weight.
func (p *Plan) compareWeight(a, b string) int {
	return cmp.Compare(p.class(b).PriorityWeight, p.class(a).PriorityWeight)
}

// route divides a site's load of a class among the sites that are to serve it. A site that is not lost serves its own load. Of a lost
// site's load, each target that is not lost and has capacity for the class gets its fraction, up to what the preceding targets left. The
// rest is allocated with an empty At.
func (p *Plan) route(s *Site, class string, rate float64, lost []string) []Allocation {
	if !slices.Contains(lost, s.Name) {
		return []Allocation{{From: s.Name, At: s.Name, Class: class, Requested: rate}}
	}
	var allocations []Allocation
	left := rate
	for _, target := range s.Targets {
		if slices.Contains(lost, target.Site) || p.Sites[p.site(target.Site)].Capacity[class] <= 0 {
			continue
		}
		requested := min(target.Fraction*rate, left)
		allocations = append(allocations, Allocation{From: s.Name, At: target.Site, Class: class, Requested: requested})
		left -= requested
	}
	if left > tolerance*rate {
		allocations = append(allocations, Allocation{From: s.Name, Class: class, Requested: left})
	}
	return allocations
}

// allocate divides a site's capacity among allocations, sets Served in each, and returns the utilization. It first serves the floors and
// then the remaining load, each in the order of serviceOrder. MaxSpillover bounds the capacity that other sites' load uses.
func (p *Plan) allocate(s *Site, allocations []Allocation) float64 {
	left, spilloverLeft := 1.0, s.MaxSpillover
	serve := func(a *Allocation, rate float64) {
		capacity := s.Capacity[a.Class]
		if capacity <= 0 || rate <= 0 {
			return
		}
		used := min(rate/capacity, left)
		if a.From != s.Name {
			used = min(used, spilloverLeft)
			spilloverLeft -= used
		}
		left -= used
		a.Served += used * capacity
	}
	order := p.serviceOrder(s, allocations)
	for _, a := range order {
		serve(a, a.Requested*p.class(a.Class).Floor)
	}
	for _, a := range order {
		serve(a, a.Requested-a.Served)
	}
	return 1 - max(left, 0)
}

// serviceOrder returns the allocations at a site in the order in which they are served: by descending priority weight and, at equal
// weight, the site's own load before that of other sites.
func (p *Plan) serviceOrder(s *Site, allocations []Allocation) []*Allocation {
	order := make([]*Allocation, len(allocations))
	for i := range allocations {
		order[i] = &allocations[i]
	}
	originRank := func(a *Allocation) int {
		if a.From == s.Name {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(order, func(a, b *Allocation) int {
		return cmp.Or(p.compareWeight(a.Class, b.Class), cmp.Compare(originRank(a), originRank(b)), cmp.Compare(a.Class, b.Class), cmp.Compare(a.From, b.From))
	})
	return order
}

// String returns a one-line summary of the outcome.
func (o *Outcome) String() string {
	var requested, served, crossed float64
	for _, a := range o.Allocations {
		requested += a.Requested
		served += a.Served
		if a.From != a.At {
			crossed += a.Served
		}
	}
	lost := "all sites available"
	if len(o.Lost) > 0 {
		lost = strings.Join(o.Lost, " and ") + " lost"
	}
	return fmt.Sprintf("%s: of %.0f requests a second %.0f are served, %.0f of them cross, %.0f are refused", lost, requested, served, crossed, requested-served)
}
