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

// targetGateways is the number of gateways for which the fits are evaluated.
const targetGateways = 2400

// capacityPart is a part of the capacity command, with its sizes for a short and a full run.
type capacityPart struct {
	about string
	short []int // sizes
	full  []int
	run   func(ctx context.Context, sizes []int, full bool) error
}

func parts() map[string]capacityPart {
	return map[string]capacityPart{
		"members":      {"membership, by members", []int{10, 20, 40, 80}, []int{50, 100, 200, 400}, capacityMembers},
		"quorum":       {"lease requests at the voters, by requesters", []int{25, 50, 100, 200}, []int{100, 300, 800, 2400}, capacityQuorum},
		"orders":       {"reconciliation by the leader, by gateways", []int{10, 20, 40, 80}, []int{50, 100, 200, 400}, capacityOrders},
		"subscription": {"the shared subscription of a site, by gateways", []int{5, 10, 20, 40}, []int{25, 50, 100, 200}, capacitySubscription},
		"gateway":      {"the state of one gateway, by clusters", []int{72, 180, 360, 720}, []int{72, 180, 360, 720}, capacityGateway},
		"node":         {"the platform's node, by endpoints on its list", []int{100, 2100, 7000, 21000}, []int{100, 2100, 7000, 21000}, capacityNode},
		"module":       {"the balancer module, by nodes", []int{10, 100, 800, 2400}, []int{10, 100, 800, 2400}, capacityModule},
		"limits":       {"a drain, by clusters of the gateways", []int{360, 720}, []int{360, 680, 689, 690, 720}, capacityLimits},
	}
}

var partNames = []string{"members", "quorum", "orders", "subscription", "gateway", "node", "module", "limits"}

// measureCapacity measures the figures of docs/CAPACITY.md, of one part or of all parts.
func measureCapacity(args []string) error {
	flags := flag.NewFlagSet("capacity", flag.ContinueOnError)
	full := flags.Bool("full", false, "use large sizes; the run time is not bounded")
	sizes := flags.String("sizes", "", "sizes to use instead of the default ones of the part: rising numbers, separated by commas")
	partsByName := parts()
	var requested string
	if len(args) > 0 && !strings.HasPrefix(args[0], "-") {
		requested, args = args[0], args[1:]
	}
	if err := flags.Parse(args); err != nil {
		return err
	}
	if _, ok := partsByName[requested]; !ok && requested != "" || flags.NArg() > 0 {
		return fmt.Errorf("capacity: want one of %s, optionally followed by -full or -sizes", strings.Join(partNames, ", "))
	}
	var customSizes []int
	if *sizes != "" {
		for _, text := range strings.Split(*sizes, ",") {
			n, err := strconv.Atoi(text)
			if err != nil || n < 1 || len(customSizes) > 0 && n <= customSizes[len(customSizes)-1] {
				return fmt.Errorf("capacity: sizes: %q: want rising numbers", *sizes)
			}
			customSizes = append(customSizes, n)
		}
		if len(customSizes) < 2 || requested == "" {
			return errors.New("capacity: sizes: want two or more, of one part")
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	printMachine()
	for _, n := range partNames {
		if requested != "" && n != requested {
			continue
		}
		part := partsByName[n]
		partSizes := part.short
		if *full {
			partSizes = part.full
		}
		if customSizes != nil {
			partSizes = customSizes
		}
		fmt.Printf("\n%s: %s %v\n", n, part.about, partSizes)
		began := time.Now()
		if err := part.run(ctx, partSizes, *full); err != nil {
			return fmt.Errorf("capacity %s: %w", n, err)
		}
		fmt.Printf("%s took %v\n", n, time.Since(began).Round(time.Second))
	}
	return nil
}

// series holds the figures of one part by size. It can be printed even if later sizes were not measured.
type series struct {
	unit           string
	sizes          []float64
	names          []string
	values         map[string][]float64
	bounds         map[string]float64
	derivedFigures []derived
}

// derived is a figure that a nonlinear formula computes from fitted figures.
type derived struct {
	name  string
	bound float64 // 0: none
	at    func(size float64, fit func(name string) float64) float64
}

func newSeries(unit string) *series {
	return &series{unit: unit, values: map[string][]float64{}, bounds: map[string]float64{}}
}

// derive adds a figure that a formula computes from fitted figures. A bound of 0 means none.
func (s *series) derive(name string, bound float64, at func(size float64, fit func(name string) float64) float64) {
	s.derivedFigures = append(s.derivedFigures, derived{name, bound, at})
}

// fit returns a figure at a size, estimated by its fit, or NaN if the figure was not measured at every size.
func (s *series) fit(name string, size float64) float64 {
	points := s.values[name]
	if len(points) != len(s.sizes) {
		return math.NaN()
	}
	fitted, err := hollow.NewFit(s.sizes, points)
	if err != nil {
		return math.NaN()
	}
	value, _ := fitted.Extrapolate(size)
	return value
}

func (d *derived) value(s *series, size float64) float64 {
	return d.at(size, func(name string) float64 { return s.fit(name, size) })
}

// crosses returns the first size, to within 1%, at which the figure exceeds its bound, or +Inf if there is none below a million.
func (d *derived) crosses(s *series) float64 {
	for size := 1.0; size < 1e6; size *= 1.01 {
		if d.value(s, size) > d.bound {
			return size
		}
	}
	return math.Inf(1)
}

// size starts the figures of a size.
func (s *series) size(n int) { s.sizes = append(s.sizes, float64(n)) }

// put adds a figure for the last size. A bound of 0 means none.
func (s *series) put(name string, value, bound float64) {
	if !slices.Contains(s.names, name) {
		s.names = append(s.names, name)
	}
	s.values[name] = append(s.values[name], value)
	s.bounds[name] = bound
}

// print prints for each figure the measured points, the fit, the value at a size and the size at which it crosses its bound.
func (s *series) print(target float64) {
	fmt.Printf("%-44s", s.unit)
	for _, size := range s.sizes {
		fmt.Printf(" %10.0f", size)
	}
	fmt.Printf(" %14s  fit\n", fmt.Sprintf("at %.0f", target))
	for _, name := range s.names {
		points := s.values[name]
		fmt.Printf("%-44s", name)
		for _, figureValue := range points {
			fmt.Printf(" %10.4g", figureValue)
		}
		if len(points) != len(s.sizes) || len(points) < 2 {
			fmt.Printf(" %14s  not at every size: no fit\n", "")
			continue
		}
		fitted, err := hollow.NewFit(s.sizes, points)
		if err != nil {
			fmt.Printf("  %v\n", err)
			continue
		}
		figureValue, ratio := fitted.Extrapolate(target)
		fmt.Printf(" %14.4g  %s", figureValue, &fitted)
		if ratio > 10 {
			fmt.Printf("; EXTRAPOLATED to %.0f times the largest size", ratio)
		}
		if limit := s.bounds[name]; limit > 0 {
			over := ""
			if figureValue > limit {
				over = ", OVER"
			}
			fmt.Printf("; bound %.4g%s, crossed at %.0f", limit, over, fitted.CrossingSize(limit))
		}
		fmt.Println()
	}
	for _, figure := range s.derivedFigures {
		figureValue := figure.value(s, target)
		if math.IsNaN(figureValue) {
			fmt.Printf("%-44s  not measured\n", figure.name)
			continue
		}
		fmt.Printf("%-44s at %.0f: %.4g, from the fits above", figure.name, target, figureValue)
		if figure.bound > 0 {
			over := ""
			if figureValue > figure.bound {
				over = ", OVER"
			}
			fmt.Printf("; bound %.4g%s, crossed at %.0f", figure.bound, over, figure.crosses(s))
		}
		fmt.Println()
	}
}

// The requirements' bounds on the cost of the control traffic and state of a node.
const (
	maxCPUPercent     = 4.6 // percent of a core
	maxBytesPerSecond = 2000.0
	maxMemoryMB       = 64.0 // MB
	// 6,000 configuration changes and 6,100 restarts per day.
	changesPerSecond  = 6000.0 / 86400
	restartsPerSecond = 6100.0 / 86400
)

func capacityMembers(ctx context.Context, sizes []int, full bool) error {
	figures := newSeries("members")
	defer func() { figures.print(targetGateways) }()
	figures.derive("bytes per second, idle, with full exchanges", maxBytesPerSecond, func(count float64, fit func(string) float64) float64 {
		return hollow.IdleTraffic(fit("packet bytes per second"), fit("bytes of a full exchange, both ways"), count)
	})
	// Each update of a member goes to all members: the traffic is the update rate times the bytes that a member sends for an update.
	figures.derive("bytes per second for 6,000 changes per member and day", maxBytesPerSecond, func(count float64, fit func(string) float64) float64 {
		return changesPerSecond * count * fit("bytes of a member per update of another")
	})
	figures.derive("CPU, % of a core, for 6,000 changes per day", maxCPUPercent, func(count float64, fit func(string) float64) float64 {
		return 100 * changesPerSecond * fit("CPU of a member for a rollout, ms") / 1000
	})
	figures.derive("bytes per second for 6,100 restarts per day", maxBytesPerSecond, func(_ float64, fit func(string) float64) float64 {
		return restartsPerSecond * fit("bytes of a member per restarted member")
	})
	probe := 100 * time.Millisecond
	if full {
		probe = time.Second
	}
	fmt.Printf("one probe every %v; rates are scaled to one probe per second. All members are hollow members in this process\n", probe)
	for _, count := range sizes {
		if err := hollow.MembersRequirement(count, 0).Check(); err != nil {
			return fmt.Errorf("%d members: %w", count, err)
		}
		result, err := hollow.MeasureMembers(ctx, hollow.MembersOptions{Options: hollow.Options{Members: count, ProbeInterval: probe}, Window: map[bool]int{true: 30, false: 8}[full], Restart: full})
		if err != nil {
			return fmt.Errorf("%d members: %w", count, err)
		}
		figures.size(count)
		figures.put("packets per second of a member", result.Packets, 0)
		figures.put("packet bytes per second", result.PacketBytes, 0)
		figures.put("bytes of a full exchange, both ways", result.ExchangeBytes, 0)
		figures.put("CPU idle, % of a core", 100*result.CPU.Seconds(), maxCPUPercent)
		figures.put("heap of a member, MB", result.Heap/1e6, maxMemoryMB)
		figures.put("CPU of all members while joining, s", result.JoinCPU.Seconds(), 0)
		figures.put("bytes of a member per update of another", result.RolloutBytes, 0)
		figures.put("CPU of a member for a rollout, ms", 1000*result.RolloutCPU.Seconds()/float64(count), 0)
		if full {
			figures.put("bytes of a member per restarted member", result.RestartBytes, 0)
		}
		fmt.Printf("%5d members: times to reach all members: join %v (%d messages dropped), state change %v, one more join %v, leave %v (%d members recorded it as dead), death %v, new configuration of all %v, restart of a fifth %v; idle windows %d, rollouts %d\n",
			count, result.Join, result.Dropped, result.StateChange, result.JoinOne, result.Leave, result.LeaveSeenAsDeath, result.Death, result.Rollout, result.Restart, result.Windows, result.Rollouts)
	}
	return nil
}

// median returns the middle value; of an even number of values the upper one.
func median(values []float64) float64 {
	values = slices.Sorted(slices.Values(values))
	return values[len(values)/2]
}
