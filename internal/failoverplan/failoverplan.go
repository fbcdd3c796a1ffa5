// Package failoverplan computes where the load of a site goes when the site fails: what the other sites serve of it, what is rejected
// and of which class, and what their own users keep. Its functions are pure.
//
// A site's capacity is given by class, as the requests a second that it could serve of that class alone. A load uses the sum of its
// rates over these capacities; the full capacity is 1.
package failoverplan

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

const (
	// MaxSites is the number of sites that a plan may have.
	MaxSites   = 16
	maxClasses = 64
	maxRate    = 1e9  // requests a second
	tolerance  = 1e-9 // of sums of fractions, for rounding
)

// Rates are requests a second by class.
type Rates map[string]float64

// Class is a request class.
type Class struct {
	Name           string
	PriorityWeight float64 // classes of a lower weight are rejected first
	// Floor is the fraction of the class's load that is served before any class gets more than its floor.
	Floor float64
}

// FailoverTarget is a site that takes over load of a failed site.
type FailoverTarget struct {
	Site     string
	Fraction float64 // of the load of each class
}

// Site is a site of a plan.
type Site struct {
	Name     string
	Capacity Rates
	Load     Rates            // expected; nil: unknown
	Targets  []FailoverTarget // in order of preference
	// MaxSpillover is the fraction of the site's capacity that load of other sites may use.
	MaxSpillover float64
}

// Plan is the input of the package. Lose may be called only after Validate returned nil.
type Plan struct {
	Classes []Class
	Sites   []Site
}

// Allocation is the part of a class's load of one site that is sent to one site.
type Allocation struct {
	From      string  `json:"from"`
	At        string  `json:"at,omitempty"` // empty: no site takes it
	Class     string  `json:"class"`
	Requested float64 `json:"asked"` // requests a second
	Served    float64 `json:"served"`
}

// Outcome is the result of the loss of sites.
type Outcome struct {
	Lost []string `json:"lost"`
	// Allocations are sorted by serving site, origin and class of descending weight.
	Allocations []Allocation `json:"shares"`
	// Utilization is the used fraction of the capacity of each remaining site that receives load.
	Utilization map[string]float64 `json:"used"`
}

// Rejected returns the requests a second that are not served.
func (s *Allocation) Rejected() float64 { return max(s.Requested-s.Served, 0) }

func (p *Plan) site(name string) int {
	return slices.IndexFunc(p.Sites, func(s Site) bool { return s.Name == name })
}

func (p *Plan) class(name string) Class {
	if i := slices.IndexFunc(p.Classes, func(c Class) bool { return c.Name == name }); i >= 0 {
		return p.Classes[i]
	}
	return Class{Name: name}
}

// SingleLosses returns the losses of each site alone.
func (p *Plan) SingleLosses() (losses [][]string) {
	for _, s := range p.Sites {
		losses = append(losses, []string{s.Name})
	}
	return losses
}

// PairLosses returns the losses of each pair of sites, if there are three sites or more.
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

// Lose computes the outcome of the loss of sites. The load by site replaces the expected load of the sites it has. Load for which a
// target has no capacity is rejected there rather than sent to the next target, as a request crosses sites at most once.
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

// compareWeight orders classes by descending priority weight.
func (p *Plan) compareWeight(a, b string) int {
	return cmp.Compare(p.class(b).PriorityWeight, p.class(a).PriorityWeight)
}

// route divides a site's load of a class among the sites that are to serve it. The fractions of targets that are lost as well go to the
// remaining ones as far as these may take more; what no site takes is allocated at "".
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

// allocate divides a site's capacity among allocations and sets what is served: first the floors, then by descending weight and, at
// equal weight, the site's own load before that of others, which is bounded by MaxSpillover. It returns the utilization.
func (p *Plan) allocate(s *Site, allocations []Allocation) float64 {
	left, spillover := 1.0, s.MaxSpillover
	serve := func(a *Allocation, rate float64) {
		capacity := s.Capacity[a.Class]
		if capacity <= 0 || rate <= 0 {
			return
		}
		used := min(rate/capacity, left)
		if a.From != s.Name {
			used = min(used, spillover)
			spillover -= used
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

// serviceOrder returns the allocations at a site in the order in which they are served.
func (p *Plan) serviceOrder(s *Site, allocations []Allocation) []*Allocation {
	order := make([]*Allocation, len(allocations))
	for i := range allocations {
		order[i] = &allocations[i]
	}
	foreign := func(a *Allocation) int {
		if a.From == s.Name {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(order, func(a, b *Allocation) int {
		return cmp.Or(p.compareWeight(a.Class, b.Class), cmp.Compare(foreign(a), foreign(b)), cmp.Compare(a.Class, b.Class), cmp.Compare(a.From, b.From))
	})
	return order
}

// String describes the outcome in a line.
func (o *Outcome) String() string {
	var requested, served, crossed float64
	for _, a := range o.Allocations {
		requested += a.Requested
		served += a.Served
		if a.From != a.At {
			crossed += a.Served
		}
	}
	lost := "all sites there"
	if len(o.Lost) > 0 {
		lost = strings.Join(o.Lost, " and ") + " lost"
	}
	return fmt.Sprintf("%s: of %.0f requests a second %.0f are served, %.0f of them cross, %.0f are refused", lost, requested, served, crossed, requested-served)
}
