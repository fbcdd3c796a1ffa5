package config

import (
	"errors"
	"strings"

	"robindrum/internal/failoverplan"
)

// Sites say what becomes of a site's load when the site is lost whole. It is a plan on paper: see robindrum sites plan.
type Sites struct {
	// Floors are the parts of each class's load that are kept before any class gets more than its floor.
	Floors map[string]float64 `yaml:"floors,omitempty"`
	List   []SitePlan         `yaml:"list"`
}

// SitePlan is one site.
type SitePlan struct {
	Name     string             `yaml:"name"`
	Capacity map[string]float64 `yaml:"capacity"`       // requests a second that it could serve of each class alone
	Load     map[string]float64 `yaml:"load,omitempty"` // requests a second that are expected
	To       []FailoverTarget   `yaml:"to,omitempty"`   // where its load may go, in this order
	// MaxCrossed is the part of the capacity that other sites' load may use.
	MaxCrossed *float64 `yaml:"most_crossed"`
}

// FailoverTarget is how much of a lost site's load another one may take.
type FailoverTarget struct {
	Site string  `yaml:"site"`
	Part float64 `yaml:"part"`
}

// defaultCrossed is the part of a site's capacity that other sites' load may use.
const defaultCrossed = 0.5

func (s *Sites) fill() {
	for i := range s.List {
		if s.List[i].MaxCrossed == nil {
			s.List[i].MaxCrossed = new(defaultCrossed)
		}
	}
}

// SitePlan gives the plan; nil: the file has none.
func (f *File) SitePlan() *failoverplan.Plan {
	if f.Sites == nil {
		return nil
	}
	p := &failoverplan.Plan{}
	for _, c := range f.Classes {
		p.Classes = append(p.Classes, failoverplan.Class{Name: c.Name, Worth: c.PriorityWeight, Floor: f.Sites.Floors[c.Name]})
	}
	for _, s := range f.Sites.List {
		x := failoverplan.Site{Name: s.Name, Capacity: s.Capacity, Load: s.Load, MaxCrossed: *s.MaxCrossed}
		for _, w := range s.To {
			x.To = append(x.To, failoverplan.Way(w))
		}
		p.Sites = append(p.Sites, x)
	}
	return p
}

func (f *File) checkSites(d *decoder) {
	known := map[string]bool{}
	for _, c := range f.Classes {
		known[c.Name] = true
	}
	for name := range f.Sites.Floors {
		if !known[name] {
			d.errorAt("sites.floors."+name, "there is no class %q", name)
		}
	}
	if f.Fleet != nil && f.Fleet.Site != "" {
		here := false
		for _, s := range f.Sites.List {
			here = here || s.Name == f.Fleet.Site
		}
		if !here {
			d.errorAt("sites.list", "this gateway's site %q is not in it", f.Fleet.Site)
		}
	}
	err := f.SitePlan().Check()
	for _, e := range joinedErrors(err) {
		var at *failoverplan.Error
		if !errors.As(e, &at) {
			d.errorAt("sites", "%v", e)
			continue
		}
		field := "sites." + at.Field
		if rest, ok := strings.CutPrefix(at.Field, "sites"); ok {
			field = "sites.list" + rest
		}
		d.errorAt(field, "%s", at.Reason)
	}
}

// joinedErrors gives the errors that were joined.
func joinedErrors(err error) []error {
	if err == nil {
		return nil
	}
	if l, ok := err.(interface{ Unwrap() []error }); ok {
		return l.Unwrap()
	}
	return []error{err}
}
