package config

import (
	"errors"
	"slices"
	"strings"

	"robindrum/internal/failoverplan"
)

// Sites is the plan of what becomes of a site's load when the site is lost. It has no effect at run time; see robindrum
// sites plan.
type Sites struct {
	// Floors are the parts of each class's load that are served before any class gets more than its floor.
	Floors map[string]float64 `yaml:"floors,omitempty"`
	List   []SitePlan         `yaml:"list"`
}

// SitePlan is the plan of one site. Capacity and load are in requests a second, by class.
type SitePlan struct {
	Name       string             `yaml:"name"`
	Capacity   map[string]float64 `yaml:"capacity"` // of each class, if it served no other one
	Load       map[string]float64 `yaml:"load,omitempty"`
	To         []FailoverTarget   `yaml:"to,omitempty"` // where its load may go, in this order
	MaxCrossed *float64           `yaml:"most_crossed"` // the part of its capacity that other sites' load may use
}

// FailoverTarget is how much of a lost site's load another site may get.
type FailoverTarget struct {
	Site string  `yaml:"site"`
	Part float64 `yaml:"part"`
}

// defaultMaxCrossed is the default of SitePlan.MaxCrossed.
const defaultMaxCrossed = 0.5

func (s *Sites) setDefaults() {
	for i := range s.List {
		setDefaultPointer(&s.List[i].MaxCrossed, defaultMaxCrossed)
	}
}

// SitePlan returns the plan, or nil if the file has none.
func (f *File) SitePlan() *failoverplan.Plan {
	if f.Sites == nil {
		return nil
	}
	plan := &failoverplan.Plan{}
	for i := range f.Classes {
		c := &f.Classes[i]
		plan.Classes = append(plan.Classes, failoverplan.Class{Name: c.Name, PriorityWeight: c.PriorityWeight, Floor: f.Sites.Floors[c.Name]})
	}
	for _, s := range f.Sites.List {
		site := failoverplan.Site{Name: s.Name, Capacity: s.Capacity, Load: s.Load, MaxSpillover: *s.MaxCrossed}
		for _, target := range s.To {
			site.Targets = append(site.Targets, failoverplan.FailoverTarget{Site: target.Site, Fraction: target.Part})
		}
		plan.Sites = append(plan.Sites, site)
	}
	return plan
}

func (f *File) checkSites(d *decoder) {
	classes := f.classNames()
	for name := range f.Sites.Floors {
		if !classes[name] {
			d.errorAt("sites.floors."+name, "there is no class %q", name)
		}
	}
	if f.Fleet != nil && f.Fleet.Site != "" && !f.Sites.contains(f.Fleet.Site) {
		d.errorAt("sites.list", "this gateway's site %q is not in it", f.Fleet.Site)
	}
	for _, err := range joinedErrors(f.SitePlan().Validate()) {
		var planErr *failoverplan.FieldError
		if !errors.As(err, &planErr) {
			d.errorAt("sites", "%v", err)
			continue
		}
		field := "sites." + planErr.Field
		if rest, ok := strings.CutPrefix(planErr.Field, "sites"); ok {
			field = "sites.list" + rest
		}
		d.errorAt(field, "%s", planErr.Reason)
	}
}

func (s *Sites) contains(site string) bool {
	return slices.ContainsFunc(s.List, func(plan SitePlan) bool { return plan.Name == site })
}
