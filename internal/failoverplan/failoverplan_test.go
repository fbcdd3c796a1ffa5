package failoverplan

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func two() *Plan {
	return &Plan{Classes: []Class{{Name: "maps", PriorityWeight: 1, Floor: 0.1}, {Name: "pay", PriorityWeight: 20, Floor: 0.9}}, Sites: []Site{
		{Name: "sapporo", Capacity: Rates{"maps": 1000, "pay": 200}, Load: Rates{"maps": 400, "pay": 40}, Targets: []FailoverTarget{{"ishikari", 1}}, MaxSpillover: 0.5},
		{Name: "ishikari", Capacity: Rates{"maps": 1000, "pay": 200}, Load: Rates{"maps": 500, "pay": 60}, Targets: []FailoverTarget{{"sapporo", 0.8}}, MaxSpillover: 0.5},
	}}
}

func (o *Outcome) get(from, at, class string) (s Allocation) {
	for _, x := range o.Allocations {
		if x.From == from && x.At == at && x.Class == class {
			s = x
		}
	}
	return s
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-6*max(1, math.Abs(a), math.Abs(b)) }

// Sapporo's load, 0.6 of a site, comes to Ishikari, which uses 0.8: own payments and those that cross are served, then own maps, and
// what is left of the maps that cross.
func TestLossOfOneSite(t *testing.T) {
	p := two()
	if err := p.Validate(); err != nil {
		t.Fatal(err)
	}
	o := p.Lose([]string{"sapporo"}, nil)
	for _, x := range []struct {
		from, class string
		want        float64
	}{{"ishikari", "pay", 60}, {"sapporo", "pay", 40}, {"ishikari", "maps", 460}, {"sapporo", "maps", 40}} {
		if got := o.get(x.from, "ishikari", x.class).Served; !near(got, x.want) {
			t.Errorf("%s of %s: %.1f, want %.1f", x.class, x.from, got, x.want)
		}
	}
	if !near(o.Utilization["ishikari"], 1) || !strings.Contains(o.String(), "sapporo lost: of 1000 requests a second 600 are served, 80 of them cross, 400 are refused") {
		t.Errorf("%v, %v", o.Utilization, &o)
	}
	// The other way a fifth goes nowhere.
	o = p.Lose([]string{"ishikari"}, nil)
	if s := o.get("ishikari", "", "pay"); !near(s.Requested, 12) || s.Served != 0 {
		t.Errorf("%+v", s)
	}
	if o = p.Lose(nil, nil); !near(o.Utilization["sapporo"], 0.6) || len(o.Allocations) != 4 {
		t.Errorf("%+v", o)
	}
	if o = p.Lose([]string{"sapporo", "ishikari"}, nil); len(o.Utilization) != 0 || !strings.Contains(o.String(), "1000 are refused") {
		t.Errorf("%v", &o)
	}
}

func TestValidateNamesTheField(t *testing.T) {
	for want, spoil := range map[string]func(p *Plan){
		"sites: 1 sites":                         func(p *Plan) { p.Sites = p.Sites[:1] },
		"sites[1].name: \"sapporo\" stands":      func(p *Plan) { p.Sites[1].Name = "sapporo" },
		"sites[0].to[0].site: there is no site":  func(p *Plan) { p.Sites[0].Targets[0].Site = "otaru" },
		"sites[0].to[0].site: a site's load":     func(p *Plan) { p.Sites[0].Targets[0].Site = "sapporo" },
		"sites[0].to: the parts come to 2":       func(p *Plan) { p.Sites[0].Targets = []FailoverTarget{{"ishikari", 1}, {"otaru", 1}} },
		"sites[0].to[0].part: NaN":               func(p *Plan) { p.Sites[0].Targets[0].Fraction = math.NaN() },
		"sites[0].capacity.maps: 0":              func(p *Plan) { p.Sites[0].Capacity["maps"] = 0 },
		"sites[0].capacity: says nothing of":     func(p *Plan) { delete(p.Sites[0].Capacity, "pay") },
		"sites[0].load.cake: there is no class":  func(p *Plan) { p.Sites[0].Load["cake"] = 1 },
		"sites[0].most_crossed: 2":               func(p *Plan) { p.Sites[0].MaxSpillover = 2 },
		"floors.pay: -1":                         func(p *Plan) { p.Classes[1].Floor = -1 },
		"with sapporo lost the floors promise 1": func(p *Plan) { p.Classes[0].Floor = 1 },
	} {
		p := two()
		spoil(p)
		if err := p.Validate(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

// Whatever the sites, loads and losses: nothing is served beyond what was asked, no site beyond its capacity nor beyond what it lets
// cross; all that is asked is somewhere; a lost site serves nothing and nothing crosses twice; what is worth less is not served
// beyond its floor while the same users' worth more is refused; floors that fit are kept; and a site that is there alone serves its own as
// if the others were not.
func TestOutcomeInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, k := rapid.IntRange(2, 5).Draw(t, "sites"), rapid.IntRange(1, 4).Draw(t, "classes")
		p := &Plan{}
		for i := range k {
			p.Classes = append(p.Classes, Class{Name: fmt.Sprint("c", i), PriorityWeight: float64(rapid.IntRange(1, 5).Draw(t, "worth")), Floor: rapid.Float64Range(0, 0.3).Draw(t, "floor")})
		}
		for i := range n {
			s := Site{Name: fmt.Sprint("s", i), Capacity: Rates{}, Load: Rates{}, MaxSpillover: rapid.Float64Range(0, 1).Draw(t, "crossed")}
			for _, c := range p.Classes {
				s.Capacity[c.Name] = rapid.Float64Range(1, 1000).Draw(t, "capacity")
				s.Load[c.Name] = rapid.Float64Range(0, 800).Draw(t, "load")
			}
			left := 1.0
			for j := range n {
				if j != i && rapid.Bool().Draw(t, "way") {
					w := FailoverTarget{fmt.Sprint("s", j), rapid.Float64Range(0.01, 1).Draw(t, "part")}
					if w.Fraction = min(w.Fraction, left); w.Fraction > 0.001 {
						s.Targets = append(s.Targets, w)
						left -= w.Fraction
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
		used, crossed, asked, floors := map[string]float64{}, map[string]float64{}, map[[2]string]float64{}, map[string]float64{}
		for _, s := range o.Allocations {
			asked[[2]string{s.From, s.Class}] += s.Requested
			if s.Served > s.Requested*(1+1e-9)+1e-9 || s.Served < 0 {
				t.Fatalf("%+v", s)
			}
			if s.At == "" {
				if s.Served != 0 {
					t.Fatalf("served nowhere: %+v", s)
				}
				continue
			}
			if lost[s.At] || s.From != s.At && !lost[s.From] {
				t.Fatalf("lost %v: %+v", names, s)
			}
			site := &p.Sites[p.site(s.At)]
			use := s.Served / site.Capacity[s.Class]
			used[s.At] += use
			floors[s.At] += s.Requested * p.class(s.Class).Floor / site.Capacity[s.Class]
			if s.From != s.At {
				crossed[s.At] += use
			}
			for _, x := range o.Allocations {
				if x.At == s.At && x.From == s.From && p.class(x.Class).PriorityWeight > p.class(s.Class).PriorityWeight && x.Rejected() > 1e-6*x.Requested+1e-6 &&
					s.Served > s.Requested*p.class(s.Class).Floor+1e-6*s.Requested+1e-6 {
					t.Fatalf("%+v is served beyond its floor while %+v is refused", s, x)
				}
			}
		}
		for _, s := range p.Sites {
			if used[s.Name] > 1+1e-6 || crossed[s.Name] > s.MaxSpillover+1e-6 || !near(used[s.Name], o.Utilization[s.Name]) {
				t.Fatalf("%s uses %v (it says %v), crossed %v of %v", s.Name, used[s.Name], o.Utilization[s.Name], crossed[s.Name], s.MaxSpillover)
			}
			for c, want := range s.Load {
				if got := asked[[2]string{s.Name, c}]; !near(got, want) {
					t.Fatalf("%s of %s: %v of %v are somewhere", c, s.Name, got, want)
				}
			}
			if floors[s.Name] <= 1 {
				for _, x := range o.Allocations {
					if x.At == s.Name && x.From == s.Name && x.Served < x.Requested*p.class(x.Class).Floor*(1-1e-6)-1e-6 {
						t.Fatalf("a floor is not kept: %+v", x)
					}
				}
			}
		}
	})
}
