package config

import (
	"errors"
	"slices"
	"strings"

	"robindrum/internal/failoverplan"
)

// Sites is the plan of where the load of a site goes when the site is lost. It has no effect at run time; the command
// `robindrum sites plan` evaluates it.
type Sites struct {
	// Floors holds, by class, the fraction of the load that is served before any class gets more than its floor.
	Floors map[string]float64 `yaml:"floors,omitempty"`
	List   []SitePlan         `yaml:"list"`
}

// SitePlan is the plan of one site. Capacity and load are in requests per second, by class.
type SitePlan struct {
	Name                 string             `yaml:"name"`
	Capacity             map[string]float64 `yaml:"capacity"` // of each class if the site served only that class
	Load                 map[string]float64 `yaml:"load,omitempty"`
	FailoverTargets      []FailoverTarget   `yaml:"to,omitempty"` // sites that take over its load, in order of preference
	MaxSpilloverFraction *float64           `yaml:"most_crossed"` // fraction of its capacity that load of other sites may use
}

// FailoverTarget is a site that takes over load of a lost site.
type FailoverTarget struct {
	Site         string  `yaml:"site"`
	LoadFraction float64 `yaml:"part"` // maximum fraction of the load
}

// defaultMaxSpilloverFraction is the default of SitePlan.MaxSpilloverFraction.
const defaultMaxSpilloverFraction = 0.5

func (s *Sites) setDefaults() {
	for i := range s.List {
		setDefaultPointer(&s.List[i].MaxSpilloverFraction, defaultMaxSpilloverFraction)
	}
}

// SitePlan returns the plan as package failoverplan expects it, or nil if the file has none.
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
		site := failoverplan.Site{Name: s.Name, Capacity: s.Capacity, Load: s.Load, MaxSpillover: *s.MaxSpilloverFraction}
		for _, target := range s.FailoverTargets {
			site.Targets = append(site.Targets, failoverplan.FailoverTarget{Site: target.Site, Fraction: target.LoadFraction})
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
		d.errorAt("sites.list", "does not contain this gateway's site %q", f.Fleet.Site)
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
