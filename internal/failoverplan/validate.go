package failoverplan

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
)

// FieldError reports an invalid field of a plan.
type FieldError struct {
	Field  string // path of the field, for example "sites[1].to[0].part"
	Reason string
}

// Error returns the field path and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// validation collects the errors found in a plan.
type validation struct{ errs []error }

func (v *validation) addError(field, format string, args ...any) {
	v.errs = append(v.errs, &FieldError{field, fmt.Sprintf(format, args...)})
}

// Validate returns all errors of a plan, joined; each is a *FieldError. It compares the floors with the capacities only if no field is
// invalid.
func (p *Plan) Validate() error {
	v := &validation{}
	if len(p.Sites) < 2 || len(p.Sites) > MaxSites {
		v.addError("sites", "%d sites, want 2 to %d", len(p.Sites), MaxSites)
	}
	if len(p.Classes) > maxClasses {
		v.addError("classes", "%d classes, want at most %d", len(p.Classes), maxClasses)
	}
	classes := map[string]bool{}
	for _, c := range p.Classes {
		classes[c.Name] = true
		if !(c.Floor >= 0 && c.Floor <= 1) {
			v.addError("floors."+c.Name, "%v, want 0 to 1", c.Floor)
		}
	}
	names := map[string]bool{}
	for i := range p.Sites {
		field := fmt.Sprintf("sites[%d]", i)
		v.checkName(field, p.Sites[i].Name, names)
		v.checkSite(field, &p.Sites[i], classes)
	}
	for i := range p.Sites {
		v.checkTargets(fmt.Sprintf("sites[%d]", i), &p.Sites[i], names)
	}
	if len(v.errs) > 0 {
		return errors.Join(v.errs...)
	}
	return p.checkFloors()
}

func (v *validation) checkName(field, name string, names map[string]bool) {
	switch {
	case name == "":
		v.addError(field+".name", "is missing")
	case names[name]:
		v.addError(field+".name", "%q stands twice", name)
	}
	names[name] = true
}

func (v *validation) checkSite(field string, s *Site, classes map[string]bool) {
	v.checkRates(field+".capacity", s.Capacity, math.SmallestNonzeroFloat64, classes)
	v.checkRates(field+".load", s.Load, 0, classes)
	if len(s.Capacity) == 0 {
		v.addError(field+".capacity", "is missing")
	}
	for class := range s.Load {
		if classes[class] && s.Capacity[class] == 0 {
			v.addError(field+".capacity", "class %q is missing but the site has load of it", class)
		}
	}
	if !(s.MaxSpillover >= 0 && s.MaxSpillover <= 1) {
		v.addError(field+".most_crossed", "%v, want 0 to 1", s.MaxSpillover)
	}
}

func (v *validation) checkRates(field string, rates Rates, minimum float64, classes map[string]bool) {
	for _, class := range slices.Sorted(maps.Keys(rates)) {
		if rate := rates[class]; !(rate >= minimum && rate <= maxRate) {
			v.addError(field+"."+class, "%v is not a valid rate in requests per second", rate)
		}
		if !classes[class] {
			v.addError(field+"."+class, "there is no class %q", class)
		}
	}
}

func (v *validation) checkTargets(field string, s *Site, names map[string]bool) {
	sum, seen := 0.0, map[string]bool{}
	for i, target := range s.Targets {
		targetField := fmt.Sprintf("%s.to[%d]", field, i)
		switch {
		case !names[target.Site]:
			v.addError(targetField+".site", "there is no site %q", target.Site)
		case target.Site == s.Name:
			v.addError(targetField+".site", "a site's load cannot go to itself")
		case seen[target.Site]:
			v.addError(targetField+".site", "%q is listed more than once", target.Site)
		}
		seen[target.Site] = true
		if !(target.Fraction > 0 && target.Fraction <= 1) {
			v.addError(targetField+".part", "%v, want more than 0 and up to 1", target.Fraction)
		}
		sum += target.Fraction
	}
	if sum > 1+tolerance {
		v.addError(field+".to", "the parts add up to %.2f, want at most 1", sum)
	}
}

// checkFloors returns an error for each site whose capacity is too small to serve the floors of the expected load, with all sites
// available or with any one site lost.
func (p *Plan) checkFloors() error {
	v := &validation{}
	for _, lost := range append([][]string{nil}, p.SingleLosses()...) {
		when := "with all sites available"
		if len(lost) > 0 {
			when = "with " + lost[0] + " lost"
		}
		needed := p.floorUtilization(lost)
		for _, name := range slices.Sorted(maps.Keys(needed)) {
			if needed[name] > 1+tolerance {
				v.addError(fmt.Sprintf("sites[%d]", p.site(name)), "%s the floors promise %.0f%% of the capacity of %s", when, 100*needed[name], name)
			}
		}
	}
	return errors.Join(v.errs...)
}

// floorUtilization returns the fraction of its capacity that each remaining site needs for the floors when the given sites are lost.
func (p *Plan) floorUtilization(lost []string) map[string]float64 {
	outcome := p.Lose(lost, nil)
	needed := map[string]float64{}
	for _, a := range outcome.Allocations {
		if a.At != "" {
			needed[a.At] += a.Requested * p.class(a.Class).Floor / p.Sites[p.site(a.At)].Capacity[a.Class]
		}
	}
	return needed
}
