package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"robindrum/internal/testbed/hollow"
)

// targetGateways is the number of gateways that the fits are evaluated at.
const targetGateways = 2400

// capacityPart is one of capacity.
type capacityPart struct {
	about string
	short []int // sizes
	full  []int
	run   func(ctx context.Context, sizes []int, full bool) error
}

func parts() map[string]capacityPart {
	return map[string]capacityPart{
		"members":      {"membership, by members", []int{10, 20, 40, 80}, []int{50, 100, 200, 400}, capacityMembers},
		"quorum":       {"leases asked of the voters, by askers", []int{25, 50, 100, 200}, []int{100, 300, 800, 2400}, capacityQuorum},
		"orders":       {"the leader's rounds, by gateways", []int{10, 20, 40, 80}, []int{50, 100, 200, 400}, capacityOrders},
		"subscription": {"the site's one subscription, by gateways", []int{5, 10, 20, 40}, []int{25, 50, 100, 200}, capacitySubscription},
		"gateway":      {"one gateway's state, by clusters", []int{72, 180, 360, 720}, []int{72, 180, 360, 720}, capacityGateway},
		"node":         {"the platform's node, by endpoints of its list", []int{100, 2100, 7000, 21000}, []int{100, 2100, 7000, 21000}, capacityNode},
		"module":       {"the decision module, by nodes", []int{10, 100, 800, 2400}, []int{10, 100, 800, 2400}, capacityModule},
		"limits":       {"a drain, by clusters that the gateways have", []int{360, 720}, []int{360, 680, 689, 690, 720}, capacityLimits},
	}
}

var partNames = []string{"members", "quorum", "orders", "subscription", "gateway", "node", "module", "limits"}

// capacity takes the figures of docs/CAPACITY.md, of one part or of all.
func capacity(args []string) error {
	set := flag.NewFlagSet("capacity", flag.ContinueOnError)
	full := set.Bool("full", false, "at large sizes, without a limit of time")
	sizes := set.String("sizes", "", "sizes in place of the part's, with commas, rising")
	all := parts()
	var name string
	if len(args) > 0 && !strings.HasPrefix(args[0], "-") {
		name, args = args[0], args[1:]
	}
	if err := set.Parse(args); err != nil {
		return err
	}
	if _, ok := all[name]; !ok && name != "" || set.NArg() > 0 {
		return fmt.Errorf("capacity: want one of %s, then -full or -sizes", strings.Join(partNames, ", "))
	}
	var list []int
	if *sizes != "" {
		for _, s := range strings.Split(*sizes, ",") {
			n, err := strconv.Atoi(s)
			if err != nil || n < 1 || len(list) > 0 && n <= list[len(list)-1] {
				return fmt.Errorf("capacity: sizes: %q: want rising numbers", *sizes)
			}
			list = append(list, n)
		}
		if len(list) < 2 || name == "" {
			return errors.New("capacity: sizes: want two or more, of one part")
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	printMachine()
	for _, n := range partNames {
		if name != "" && n != name {
			continue
		}
		p := all[n]
		l := p.short
		if *full {
			l = p.full
		}
		if list != nil {
			l = list
		}
		fmt.Printf("\n%s: %s %v\n", n, p.about, l)
		began := time.Now()
		if err := p.run(ctx, l, *full); err != nil {
			return fmt.Errorf("capacity %s: %w", n, err)
		}
		fmt.Printf("%s took %v\n", n, time.Since(began).Round(time.Second))
	}
	return nil
}

// series holds the figures of one part by size. They can be printed where a later size was not measured.
type series struct {
	unit   string
	sizes  []float64
	names  []string
	values map[string][]float64
	bounds map[string]float64
	more   []derived
}

// derived is a figure that follows from fitted ones by a formula that is not linear.
type derived struct {
	name  string
	bound float64 // 0: it has none
	at    func(size float64, fit func(name string) float64) float64
}

func newSeries(unit string) *series {
	return &series{unit: unit, values: map[string][]float64{}, bounds: map[string]float64{}}
}

// derive adds a figure by a formula of fitted ones.
func (s *series) derive(name string, bound float64, at func(size float64, fit func(name string) float64) float64) {
	s.more = append(s.more, derived{name, bound, at})
}

// fit returns a figure at a size by its fit; NaN if it was not measured at every size.
func (s *series) fit(name string, size float64) float64 {
	l := s.values[name]
	if len(l) != len(s.sizes) {
		return math.NaN()
	}
	f, err := hollow.NewFit(s.sizes, l)
	if err != nil {
		return math.NaN()
	}
	v, _ := f.Extrapolate(size)
	return v
}

func (d *derived) value(s *series, size float64) float64 {
	return d.at(size, func(name string) float64 { return s.fit(name, size) })
}

// crosses returns the first size, to a hundredth, at which the figure is over its bound.
func (d *derived) crosses(s *series) float64 {
	for n := 1.0; n < 1e6; n *= 1.01 {
		if d.value(s, n) > d.bound {
			return n
		}
	}
	return math.Inf(1)
}

// size begins the figures of a size.
func (s *series) size(n int) { s.sizes = append(s.sizes, float64(n)) }

// put adds a figure of the last size; bound 0 means that it has none.
func (s *series) put(name string, v, bound float64) {
	if !slices.Contains(s.names, name) {
		s.names = append(s.names, name)
	}
	s.values[name] = append(s.values[name], v)
	s.bounds[name] = bound
}

// print prints the points, the fit, the figure at a size and where it crosses its bound.
func (s *series) print(at float64) {
	fmt.Printf("%-44s", s.unit)
	for _, n := range s.sizes {
		fmt.Printf(" %10.0f", n)
	}
	fmt.Printf(" %14s  fit\n", fmt.Sprintf("at %.0f", at))
	for _, name := range s.names {
		l := s.values[name]
		fmt.Printf("%-44s", name)
		for _, v := range l {
			fmt.Printf(" %10.4g", v)
		}
		if len(l) != len(s.sizes) || len(l) < 2 {
			fmt.Printf(" %14s  not at every size: no fit\n", "")
			continue
		}
		f, err := hollow.NewFit(s.sizes, l)
		if err != nil {
			fmt.Printf("  %v\n", err)
			continue
		}
		v, far := f.Extrapolate(at)
		fmt.Printf(" %14.4g  %s", v, &f)
		if far > 10 {
			fmt.Printf("; EXTRAPOLATED %.0f times", far)
		}
		if b := s.bounds[name]; b > 0 {
			over := ""
			if v > b {
				over = ", OVER"
			}
			fmt.Printf("; bound %.4g%s, crossed at %.0f", b, over, f.Crosses(b))
		}
		fmt.Println()
	}
	for _, d := range s.more {
		v := d.value(s, at)
		if math.IsNaN(v) {
			fmt.Printf("%-44s  not measured\n", d.name)
			continue
		}
		fmt.Printf("%-44s at %.0f: %.4g, from the fits above", d.name, at, v)
		if d.bound > 0 {
			over := ""
			if v > d.bound {
				over = ", OVER"
			}
			fmt.Printf("; bound %.4g%s, crossed at %.0f", d.bound, over, d.crosses(s))
		}
		fmt.Println()
	}
}

// The users' bounds for control, of a node.
const (
	boundCPU    = 4.6 // percent of a core
	boundBytes  = 2000.0
	boundMemory = 64.0 // MB
	// A day's changes and restarts, a second.
	changesPerSecond  = 6000.0 / 86400
	restartsPerSecond = 6100.0 / 86400
)

func capacityMembers(ctx context.Context, sizes []int, full bool) error {
	s := newSeries("members")
	defer func() { s.print(targetGateways) }()
	s.derive("bytes a second, idle, with full exchanges", boundBytes, func(n float64, fit func(string) float64) float64 {
		return hollow.IdleTraffic(fit("packet bytes a second"), fit("bytes of a full exchange, both ways"), n)
	})
	// Each update of a member goes to all members: so many updates a second, each costing a member so many bytes.
	s.derive("bytes a second for 6,000 changes a day by each", boundBytes, func(n float64, fit func(string) float64) float64 {
		return changesPerSecond * n * fit("bytes of a member for each other's update")
	})
	s.derive("CPU, % of a core, for 6,000 changes a day", boundCPU, func(n float64, fit func(string) float64) float64 {
		return 100 * changesPerSecond * fit("CPU of a member for a rollout, ms") / 1000
	})
	s.derive("bytes a second for 6,100 restarts a day", boundBytes, func(_ float64, fit func(string) float64) float64 {
		return restartsPerSecond * fit("bytes of a member for each restarted one")
	})
	probe := 100 * time.Millisecond
	if full {
		probe = time.Second
	}
	fmt.Printf("a probe each %v; rates are told for one a second. Each member is a hollow one, all in this process\n", probe)
	for _, n := range sizes {
		if err := hollow.MembersRequirement(n, 0).Check(); err != nil {
			return fmt.Errorf("%d members: %w", n, err)
		}
		r, err := hollow.MeasureMembers(ctx, hollow.MembersOptions{Options: hollow.Options{Members: n, ProbeInterval: probe}, Window: map[bool]int{true: 30, false: 8}[full], Restart: full})
		if err != nil {
			return fmt.Errorf("%d members: %w", n, err)
		}
		s.size(n)
		s.put("packets a second, of a member", r.Packets, 0)
		s.put("packet bytes a second", r.PacketBytes, 0)
		s.put("bytes of a full exchange, both ways", r.ExchangeBytes, 0)
		s.put("CPU idle, % of a core", 100*r.CPU.Seconds(), boundCPU)
		s.put("heap of a member, MB", r.Heap/1e6, boundMemory)
		s.put("CPU of all joining, s", r.JoinCPU.Seconds(), 0)
		s.put("bytes of a member for each other's update", r.RolloutBytes, 0)
		s.put("CPU of a member for a rollout, ms", 1000*r.RolloutCPU.Seconds()/float64(n), 0)
		if full {
			s.put("bytes of a member for each restarted one", r.RestartBytes, 0)
		}
		fmt.Printf("%5d members: join %v (%d messages dropped), news %v, one more %v, leave %v (%d take it for dead), death %v, a new configuration told by each %v, a fifth restarted %v; windows %d, rollouts %d\n",
			n, r.Join, r.Dropped, r.StateChange, r.JoinOne, r.Leave, r.LeftAsDead, r.Death, r.Rollout, r.Restart, r.Windows, r.Rollouts)
	}
	return nil
}

// median returns the middle value; of an even number of values the upper one.
func median(l []float64) float64 {
	l = slices.Sorted(slices.Values(l))
	return l[len(l)/2]
}
