// Package failoverplan says, before it happens, where the load of a site goes that is lost whole: what the other sites take of it, what is
// refused and of which class, and what their own users keep. It is pure: values in, a plan out.
//
// A site's capacity is given by class, as the requests a second that it could serve of that class alone. A load uses the sum of its
// rates over these; one is all there is.
package failoverplan

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Bounds of a plan.
const (
	MaxSites   = 16
	maxClasses = 64
)

// Rates are requests a second by class.
type Rates map[string]float64

// Class is what requests are told apart by.
type Class struct {
	Name  string
	Worth float64 // what is worth less is refused first
	// Floor is the part of the load that is kept before any class gets more than its floor.
	Floor float64
}

// Way is where a lost site's load may go, and how much of it.
type Way struct {
	Site string
	Part float64 // of each class's load
}

// Site is one.
type Site struct {
	Name     string
	Capacity Rates
	Load     Rates // that is expected; nil: it is not said
	To       []Way // in this order
	// MaxCrossed is the part of the site's capacity that other sites' load may use.
	MaxCrossed float64
}

// Plan is all sites.
type Plan struct {
	Classes []Class
	Sites   []Site
}

// Share is what becomes of one class's load from one site at one that serves it.
type Share struct {
	From   string  `json:"from"`
	At     string  `json:"at,omitempty"`
	Class  string  `json:"class"`
	Asked  float64 `json:"asked"` // requests a second
	Served float64 `json:"served"`
}

// Outcome is what a loss comes to.
type Outcome struct {
	Lost []string `json:"lost"`
	// Shares are by where they are served, from where, and class; what is lost and may go nowhere is at "".
	Shares []Share `json:"shares"`
	// Used is what the sites that are left use of their capacity.
	Used map[string]float64 `json:"used"`
}

// Refused is what is asked and not served.
func (s *Share) Refused() float64 { return max(s.Asked-s.Served, 0) }

// Check gives all that is wrong with a plan, each with the path of its field as in "sites[1].to[0].part".
func (p *Plan) Check() error {
	var errs []error
	bad := func(field, format string, args ...any) {
		errs = append(errs, &Error{field, fmt.Sprintf(format, args...)})
	}
	if len(p.Sites) < 2 || len(p.Sites) > MaxSites {
		bad("sites", "%d sites, want 2 to %d", len(p.Sites), MaxSites)
	}
	if len(p.Classes) > maxClasses {
		bad("classes", "%d, %d at most", len(p.Classes), maxClasses)
	}
	known := map[string]bool{}
	for _, c := range p.Classes {
		known[c.Name] = true
		if !(c.Floor >= 0 && c.Floor <= 1) {
			bad("floors."+c.Name, "%v, want 0 to 1", c.Floor)
		}
	}
	names := map[string]int{}
	for i, s := range p.Sites {
		at := fmt.Sprintf("sites[%d]", i)
		switch _, twice := names[s.Name]; {
		case s.Name == "":
			bad(at+".name", "is missing")
		case twice:
			bad(at+".name", "%q stands twice", s.Name)
		}
		names[s.Name] = i
		for _, r := range []struct {
			field string
			rates Rates
			least float64
		}{{"capacity", s.Capacity, math.SmallestNonzeroFloat64}, {"load", s.Load, 0}} {
			for _, c := range slices.Sorted(maps.Keys(r.rates)) {
				if v := r.rates[c]; !(v >= r.least && v <= 1e9) {
					bad(at+"."+r.field+"."+c, "%v, want requests a second", v)
				}
				if !known[c] {
					bad(at+"."+r.field+"."+c, "there is no class %q", c)
				}
			}
		}
		if len(s.Capacity) == 0 {
			bad(at+".capacity", "is missing")
		}
		for c := range s.Load {
			if known[c] && s.Capacity[c] == 0 {
				bad(at+".capacity", "says nothing of class %q, which the site has load of", c)
			}
		}
		if !(s.MaxCrossed >= 0 && s.MaxCrossed <= 1) {
			bad(at+".most_crossed", "%v, want 0 to 1", s.MaxCrossed)
		}
	}
	for i, s := range p.Sites {
		sum, seen := 0.0, map[string]bool{}
		for j, w := range s.To {
			at := fmt.Sprintf("sites[%d].to[%d]", i, j)
			switch _, ok := names[w.Site]; {
			case !ok:
				bad(at+".site", "there is no site %q", w.Site)
			case w.Site == s.Name:
				bad(at+".site", "a site's load cannot go to itself")
			case seen[w.Site]:
				bad(at+".site", "%q stands twice", w.Site)
			}
			seen[w.Site] = true
			if !(w.Part > 0 && w.Part <= 1) {
				bad(at+".part", "%v, want more than 0 and up to 1", w.Part)
			}
			sum += w.Part
		}
		if sum > 1+1e-9 {
			bad(fmt.Sprintf("sites[%d].to", i), "the parts come to %.2f, 1 at most", sum)
		}
	}
	if len(errs) > 0 {
		return errors.Join(errs...)
	}
	return p.promises()
}

// Error is one that is wrong with a field.
type Error struct{ Field, Reason string }

func (e *Error) Error() string { return e.Field + ": " + e.Reason }

// promises holds the floors against the capacities, at the loads that are expected: whole, and with each site lost.
func (p *Plan) promises() error {
	var errs []error
	for _, lost := range append([][]string{nil}, p.Single()...) {
		o := p.Lose(lost, nil)
		need := map[string]float64{}
		for _, s := range o.Shares {
			if s.At != "" {
				need[s.At] += s.Asked * p.class(s.Class).Floor / p.Sites[p.site(s.At)].Capacity[s.Class]
			}
		}
		for _, name := range slices.Sorted(maps.Keys(need)) {
			if need[name] > 1+1e-9 {
				when := "with all sites there"
				if len(lost) > 0 {
					when = "with " + lost[0] + " lost"
				}
				errs = append(errs, &Error{fmt.Sprintf("sites[%d]", p.site(name)), fmt.Sprintf("%s the floors promise %.0f%% of the capacity of %s", when, 100*need[name], name)})
			}
		}
	}
	return errors.Join(errs...)
}

func (p *Plan) site(name string) int {
	return slices.IndexFunc(p.Sites, func(s Site) bool { return s.Name == name })
}

func (p *Plan) class(name string) Class {
	if i := slices.IndexFunc(p.Classes, func(c Class) bool { return c.Name == name }); i >= 0 {
		return p.Classes[i]
	}
	return Class{Name: name}
}

// Single are the losses of one site, Pairs of two.
func (p *Plan) Single() (l [][]string) {
	for _, s := range p.Sites {
		l = append(l, []string{s.Name})
	}
	return l
}

// Pairs are the losses of two sites, where one is left.
func (p *Plan) Pairs() (l [][]string) {
	if len(p.Sites) < 3 {
		return nil
	}
	for i, a := range p.Sites {
		for _, b := range p.Sites[i+1:] {
			l = append(l, []string{a.Name, b.Name})
		}
	}
	return l
}

// Lose says what comes of the loss of some sites at a load by site; nil: the one that is expected. What one site may take and has no
// room for is not sent to the next one: it is refused there, as a request crosses once at the most.
func (p *Plan) Lose(lost []string, load map[string]Rates) Outcome {
	o := Outcome{Lost: slices.Sorted(slices.Values(lost)), Used: map[string]float64{}}
	rates := func(s *Site) Rates {
		if r, ok := load[s.Name]; ok {
			return r
		}
		return s.Load
	}
	gone := func(name string) bool { return slices.Contains(lost, name) }
	ask := map[string][]Share{}
	for i := range p.Sites {
		s := &p.Sites[i]
		for _, c := range slices.Sorted(maps.Keys(rates(s))) {
			all := rates(s)[c]
			if !gone(s.Name) {
				ask[s.Name] = append(ask[s.Name], Share{From: s.Name, At: s.Name, Class: c, Asked: all})
				continue
			}
			// The parts of ways that lead to a site that is lost as well go to those that are left, as far as these may take more.
			left := all
			for _, w := range s.To {
				if t := p.site(w.Site); !gone(w.Site) && p.Sites[t].Capacity[c] > 0 {
					n := min(w.Part*all, left)
					ask[w.Site] = append(ask[w.Site], Share{From: s.Name, At: w.Site, Class: c, Asked: n})
					left -= n
				}
			}
			if left > 1e-9*all {
				o.Shares = append(o.Shares, Share{From: s.Name, Class: c, Asked: left})
			}
		}
	}
	for _, at := range slices.Sorted(maps.Keys(ask)) {
		l := ask[at]
		o.Used[at] = p.serve(&p.Sites[p.site(at)], l)
		o.Shares = append(o.Shares, l...)
	}
	slices.SortStableFunc(o.Shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.From, b.From), cmp.Compare(p.class(b.Class).Worth, p.class(a.Class).Worth), cmp.Compare(a.Class, b.Class))
	})
	return o
}

// serve shares a site's capacity: first the floors, then what is worth more, and of one worth the site's own users before the others',
// who never get more than the site lets cross. It gives what is used.
func (p *Plan) serve(s *Site, l []Share) float64 {
	order := make([]int, len(l))
	for i := range l {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := &l[a], &l[b]
		own := func(z *Share) int {
			if z.From == s.Name {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(p.class(y.Class).Worth, p.class(x.Class).Worth), cmp.Compare(own(x), own(y)), cmp.Compare(x.Class, y.Class), cmp.Compare(x.From, y.From))
	})
	left, crossing := 1.0, s.MaxCrossed
	give := func(x *Share, want float64) {
		capacity := s.Capacity[x.Class]
		if capacity <= 0 || want <= 0 {
			return
		}
		use := min(want/capacity, left)
		if x.From != s.Name {
			use = min(use, crossing)
			crossing -= use
		}
		left -= use
		x.Served += use * capacity
	}
	for _, i := range order {
		give(&l[i], l[i].Asked*p.class(l[i].Class).Floor)
	}
	for _, i := range order {
		give(&l[i], l[i].Asked-l[i].Served)
	}
	return 1 - max(left, 0)
}

// String says in a line what is lost and what that comes to.
func (o *Outcome) String() string {
	var asked, served, crossed float64
	for _, s := range o.Shares {
		asked, served = asked+s.Asked, served+s.Served
		if s.From != s.At {
			crossed += s.Served
		}
	}
	what := "all sites there"
	if len(o.Lost) > 0 {
		what = strings.Join(o.Lost, " and ") + " lost"
	}
	return fmt.Sprintf("%s: of %.0f requests a second %.0f are served, %.0f of them cross, %.0f are refused", what, asked, served, crossed, asked-served)
}
