package failoverplan

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// newTwoSitePlan returns a valid plan of two sites that are each other's failover target.
func newTwoSitePlan() *Plan {
	return &Plan{Classes: []Class{{Name: "maps", PriorityWeight: 1, Floor: 0.1}, {Name: "pay", PriorityWeight: 20, Floor: 0.9}}, Sites: []Site{
		{Name: "sapporo", Capacity: Rates{"maps": 1000, "pay": 200}, Load: Rates{"maps": 400, "pay": 40}, Targets: []FailoverTarget{{"ishikari", 1}}, MaxSpillover: 0.5},
		{Name: "ishikari", Capacity: Rates{"maps": 1000, "pay": 200}, Load: Rates{"maps": 500, "pay": 60}, Targets: []FailoverTarget{{"sapporo", 0.8}}, MaxSpillover: 0.5},
	}}
}

// find returns the allocation of a class from one site at another; the zero Allocation if there is none.
func (o *Outcome) find(from, at, class string) (found Allocation) {
	for _, a := range o.Allocations {
		if a.From == from && a.At == at && a.Class == class {
			found = a
		}
	}
	return found
}

// almostEqual reports whether a and b differ by less than a relative error of 1e-6, or an absolute one of 1e-6 below 1.
func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-6*max(1, math.Abs(a), math.Abs(b)) }

// TestLossOfOneSite sends sapporo's load, which needs 0.6 of a site's capacity, to ishikari, which uses 0.8 itself. Ishikari serves its
// own payments and those of sapporo first, then its own maps, and gives the capacity that is left to sapporo's maps.
func TestLossOfOneSite(t *testing.T) {
	p := newTwoSitePlan()
	if err := p.Validate(); err != nil {
		t.Fatal(err)
	}
	o := p.Lose([]string{"sapporo"}, nil)
	for _, test := range []struct {
		from, class string
		want        float64
	}{{"ishikari", "pay", 60}, {"sapporo", "pay", 40}, {"ishikari", "maps", 460}, {"sapporo", "maps", 40}} {
		if got := o.find(test.from, "ishikari", test.class).Served; !almostEqual(got, test.want) {
			t.Errorf("ishikari serves %s of %s: got %.1f requests per second, want %.1f", test.class, test.from, got, test.want)
		}
	}
	if !almostEqual(o.Utilization["ishikari"], 1) || !strings.Contains(o.String(), "sapporo lost: of 1000 requests a second 600 are served, 80 of them cross, 400 are refused") {
		t.Errorf("loss of sapporo: got utilization %v, want 1 of ishikari; summary %v", o.Utilization, &o)
	}
	// Ishikari's target takes only 0.8 of its load, so a fifth is sent nowhere.
	o = p.Lose([]string{"ishikari"}, nil)
	if unserved := o.find("ishikari", "", "pay"); !almostEqual(unserved.Requested, 12) || unserved.Served != 0 {
		t.Errorf("loss of ishikari: got %+v without a serving site, want 12 requested and 0 served", unserved)
	}
	if o = p.Lose(nil, nil); !almostEqual(o.Utilization["sapporo"], 0.6) || len(o.Allocations) != 4 {
		t.Errorf("no loss: got %+v, want utilization 0.6 of sapporo and 4 allocations", o)
	}
	if o = p.Lose([]string{"sapporo", "ishikari"}, nil); len(o.Utilization) != 0 || !strings.Contains(o.String(), "1000 are refused") {
		t.Errorf("loss of both sites: got utilization %v, want none; summary %v", o.Utilization, &o)
	}
}

func TestValidateNamesTheField(t *testing.T) {
	for want, corrupt := range map[string]func(p *Plan){
		"sites: 1 sites":                         func(p *Plan) { p.Sites = p.Sites[:1] },
		"sites[1].name: \"sapporo\" stands":      func(p *Plan) { p.Sites[1].Name = "sapporo" },
		"sites[0].to[0].site: there is no site":  func(p *Plan) { p.Sites[0].Targets[0].Site = "otaru" },
		"sites[0].to[0].site: a site's load":     func(p *Plan) { p.Sites[0].Targets[0].Site = "sapporo" },
		"sites[0].to: the parts add up to 2":     func(p *Plan) { p.Sites[0].Targets = []FailoverTarget{{"ishikari", 1}, {"otaru", 1}} },
		"sites[0].to[0].part: NaN":               func(p *Plan) { p.Sites[0].Targets[0].Fraction = math.NaN() },
		"sites[0].capacity.maps: 0":              func(p *Plan) { p.Sites[0].Capacity["maps"] = 0 },
		"sites[0].capacity: class \"pay\" is":    func(p *Plan) { delete(p.Sites[0].Capacity, "pay") },
		"sites[0].load.cake: there is no class":  func(p *Plan) { p.Sites[0].Load["cake"] = 1 },
		"sites[0].most_crossed: 2":               func(p *Plan) { p.Sites[0].MaxSpillover = 2 },
		"floors.pay: -1":                         func(p *Plan) { p.Classes[1].Floor = -1 },
		"with sapporo lost the floors promise 1": func(p *Plan) { p.Classes[0].Floor = 1 },
	} {
		p := newTwoSitePlan()
		corrupt(p)
		if err := p.Validate(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Validate returned %v, want an error with %q", err, want)
		}
	}
}

// TestOutcomeInvariants checks Lose for arbitrary sites, loads and losses:
//   - No allocation is served beyond its request, and no site beyond its capacity and MaxSpillover.
//   - The allocations of a site and class add up to its load, and Utilization agrees with them.
//   - A lost site serves nothing, and only load of lost sites crosses.
//   - Of one origin and serving site, a class is not served beyond its floor while a class of higher weight is rejected.
//   - A site whose floors fit into its capacity serves the floors of its own load.
func TestOutcomeInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		siteCount, classCount := rapid.IntRange(2, 5).Draw(t, "sites"), rapid.IntRange(1, 4).Draw(t, "classes")
		p := &Plan{}
		for i := range classCount {
			p.Classes = append(p.Classes, Class{Name: fmt.Sprint("c", i), PriorityWeight: float64(rapid.IntRange(1, 5).Draw(t, "worth")), Floor: rapid.Float64Range(0, 0.3).Draw(t, "floor")})
		}
		for i := range siteCount {
			s := Site{Name: fmt.Sprint("s", i), Capacity: Rates{}, Load: Rates{}, MaxSpillover: rapid.Float64Range(0, 1).Draw(t, "crossed")}
			for _, c := range p.Classes {
				s.Capacity[c.Name] = rapid.Float64Range(1, 1000).Draw(t, "capacity")
				s.Load[c.Name] = rapid.Float64Range(0, 800).Draw(t, "load")
			}
			left := 1.0
			for j := range siteCount {
				if j != i && rapid.Bool().Draw(t, "way") {
					target := FailoverTarget{fmt.Sprint("s", j), rapid.Float64Range(0.01, 1).Draw(t, "part")}
					if target.Fraction = min(target.Fraction, left); target.Fraction > 0.001 {
						s.Targets = append(s.Targets, target)
						left -= target.Fraction
					}
				}
			}
			p.Sites = append(p.Sites, s)
		}
		lost := map[string]bool{}
		var names []string
		for _, s := range p.Sites {
			if rapid.IntRange(0, 2).Draw(t, "lost") == 0 {
				lost[s.Name] = true
				names = append(names, s.Name)
			}
		}
		o := p.Lose(names, nil)
		utilization, spillover, requested, floors := map[string]float64{}, map[string]float64{}, map[[2]string]float64{}, map[string]float64{}
		for _, s := range o.Allocations {
			requested[[2]string{s.From, s.Class}] += s.Requested
			if s.Served > s.Requested*(1+1e-9)+1e-9 || s.Served < 0 {
				t.Fatalf("allocation is served beyond its request, or negatively: %+v", s)
			}
			if s.At == "" {
				if s.Served != 0 {
					t.Fatalf("allocation without a serving site is served: %+v", s)
				}
				continue
			}
			if lost[s.At] || s.From != s.At && !lost[s.From] {
				t.Fatalf("with %v lost, allocation is at a lost site, or crosses from a site that is not lost: %+v", names, s)
			}
			site := &p.Sites[p.site(s.At)]
			fraction := s.Served / site.Capacity[s.Class]
			utilization[s.At] += fraction
			floors[s.At] += s.Requested * p.class(s.Class).Floor / site.Capacity[s.Class]
			if s.From != s.At {
				spillover[s.At] += fraction
			}
			for _, other := range o.Allocations {
				if other.At == s.At && other.From == s.From && p.class(other.Class).PriorityWeight > p.class(s.Class).PriorityWeight && other.Rejected() > 1e-6*other.Requested+1e-6 &&
					s.Served > s.Requested*p.class(s.Class).Floor+1e-6*s.Requested+1e-6 {
					t.Fatalf("%+v is served beyond its floor while %+v of a higher weight is rejected", s, other)
				}
			}
		}
		for _, s := range p.Sites {
			if utilization[s.Name] > 1+1e-6 || spillover[s.Name] > s.MaxSpillover+1e-6 || !almostEqual(utilization[s.Name], o.Utilization[s.Name]) {
				t.Fatalf("site %s: utilization is %v, want at most 1 and Outcome.Utilization %v; spillover is %v, want at most %v", s.Name, utilization[s.Name],
					o.Utilization[s.Name], spillover[s.Name], s.MaxSpillover)
			}
			for c, want := range s.Load {
				if got := requested[[2]string{s.Name, c}]; !almostEqual(got, want) {
					t.Fatalf("load of class %s of site %s: allocations add up to %v, want %v", c, s.Name, got, want)
				}
			}
			if floors[s.Name] <= 1 {
				for _, other := range o.Allocations {
					if other.At == s.Name && other.From == s.Name && other.Served < other.Requested*p.class(other.Class).Floor*(1-1e-6)-1e-6 {
						t.Fatalf("allocation is served below its floor: %+v", other)
					}
				}
			}
		}
	})
}
