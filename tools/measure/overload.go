package main

import (
	"fmt"
	"time"

	"robindrum/balancer"
	"robindrum/internal/admission"
	"robindrum/internal/testbed/fleet"
)

const (
	overloadStart     = 10 * time.Second
	overloadEnd       = 70 * time.Second
	overloadCapacity  = 2 * 4 / 0.02 // requests per second: two servers of four workers, 20 ms per request
	recoveredFraction = 0.995        // a phase counts as recovered if at least this fraction of its requests is in time

	burstCount       = 25
	burstPause       = 200 * time.Millisecond
	burstMargin      = 50 * time.Millisecond
	burstServers     = 2
	burstService     = 5 * time.Millisecond
	burstClass       = "default-safe"
	unlimitedWorkers = 100000 // more than the requests of any burst
	burstQueue       = 100000
	overloadQueue    = 10000
)

// admissionVariant is a kind of admission control. make returns the function that creates the admission control of a gateway.
type admissionVariant struct {
	name string
	make func(options fleet.Options) func(gateway int) (balancer.Admission, error)
}

// admissionVariants returns the kinds of admission control to compare.
func admissionVariants() []admissionVariant {
	withOptions := func(options admission.Options) func(fleet.Options) func(int) (balancer.Admission, error) {
		return func(fleetOptions fleet.Options) func(int) (balancer.Admission, error) {
			return fleet.NewAdmission(fleetOptions, options)
		}
	}
	balancerEstimate := func(fleet.Options) func(int) (balancer.Admission, error) { return nil }
	aimd := func(fleetOptions fleet.Options) func(int) (balancer.Admission, error) {
		return fleet.NewAIMD(fleetOptions, 512)
	}
	return []admissionVariant{
		{"off", withOptions(admission.Options{Mode: admission.Off})},
		{"the balancer's estimate", balancerEstimate},
		{"fixed 1024", withOptions(admission.Options{Mode: admission.Fixed, Limit: 1024})},
		{"AIMD", aimd},
		{"adaptive", withOptions(admission.Options{})},
	}
}

// measureOverload simulates overloads and bursts with each kind of admission control. The time is simulated, so the figures are the same
// on every machine.
func measureOverload() error {
	variants := admissionVariants()
	clients := []string{"give up", "retry at once", "follow Retry-After"} // by fleet.ClientRetry
	fmt.Println("admission              load               clients            in time of capacity  pay in time  hold in time  rejected p50     p99     p99.9   queue  recovered after")
	for _, factor := range []float64{1.5, 3, 10} {
		for retry, client := range clients {
			for _, variant := range variants {
				if err := simulateOverload(variant, factor, fleet.ClientRetry(retry), client); err != nil {
					return err
				}
			}
		}
	}
	fmt.Println("\n25 bursts with pauses of 200 ms, latency objective 1 s, 5 ms per request: rejected, in time")
	for _, workers := range []int{unlimitedWorkers, 4} {
		for _, size := range []int{8, 32, 64, 200, 500, 1000} {
			for _, variant := range variants {
				if err := simulateBursts(variant, size, workers); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// overloadClasses returns the request classes of a ticket shop: seat maps, seat holds and payments.
func overloadClasses() []fleet.Class {
	seatMap := balancer.Class{
		Name:             "seat-map",
		LatencyObjective: 300 * time.Millisecond,
		Deadline:         3 * time.Second,
		PriorityWeight:   1,
	}
	seatHold := balancer.Class{
		Name:             "seat-hold",
		LatencyObjective: 150 * time.Millisecond,
		Deadline:         2 * time.Second,
		PriorityWeight:   5,
		Effect:           balancer.IdempotentWithKey,
		Window:           4 * time.Second,
	}
	pay := balancer.Class{
		Name:             "pay",
		LatencyObjective: 300 * time.Millisecond,
		Deadline:         2 * time.Second,
		PriorityWeight:   20,
		Effect:           balancer.NonIdempotent,
	}
	return []fleet.Class{{Class: seatMap, Fraction: 0.90}, {Class: seatHold, Fraction: 0.08}, {Class: pay, Fraction: 0.02}}
}

// simulateOverload simulates a minute of load at a multiple of the capacity and prints a line of the table.
func simulateOverload(variant admissionVariant, factor float64, clientRetry fleet.ClientRetry, clientName string) error {
	load := func(at time.Duration) float64 {
		if at >= overloadStart && at < overloadEnd {
			return factor
		}
		return 0.5
	}
	options := fleet.Options{
		Mode:     fleet.PenaltyOnly,
		Zones:    []string{"a"},
		Gateways: 1,
		Servers:  2,
		Seed:     1,
		Rate:     overloadCapacity,
		Burst:    load,
		Duration: 80 * time.Second,
		Phases: []time.Duration{overloadStart, overloadEnd, overloadEnd + 500*time.Millisecond, overloadEnd + time.Second,
			overloadEnd + 2*time.Second, overloadEnd + 4*time.Second},
		Classes:        overloadClasses(),
		ClientRetry:    clientRetry,
		CrossZoneDelay: 30 * time.Millisecond,
		QueueSize:      overloadQueue,
	}
	options.Admission = variant.make(options)
	result, err := fleet.Run(options)
	if err != nil {
		return err
	}
	phase := &result.Phases[1]
	inTime, requests, rejected := 0, 0, 0
	for _, class := range phase.Classes {
		inTime += class.InTime
		requests += class.Requests
		rejected += class.Rejected + class.Failed
	}
	inTimePercent := func(name string) float64 {
		class := phase.Classes[name]
		return 100 * float64(class.InTime) / float64(max(class.Requests, 1))
	}
	capacity := (overloadEnd - overloadStart).Seconds() * overloadCapacity
	fmt.Printf("%-22s %4.1f x capacity    %-18s %18.1f%%  %10.1f%%  %11.1f%%  %7.1f%% %-6v  %-6v  %-6v  %5d  %s\n", variant.name, factor, clientName,
		100*float64(inTime)/capacity, inTimePercent("pay"), inTimePercent("seat-hold"), 100*float64(rejected)/float64(max(requests, 1)),
		phase.Quantile(0.5).Round(time.Millisecond), phase.Quantile(0.99).Round(time.Millisecond), phase.Quantile(0.999).Round(time.Millisecond),
		phase.MaxQueue, recoveredAfter(result.Phases[2:]))
	return nil
}

// recoveredAfter returns the time from the end of the overload to the first phase in which nearly all requests are served in time.
func recoveredAfter(phases []fleet.Phase) string {
	for _, phase := range phases {
		requests, inTime := 0, 0
		for _, class := range phase.Classes {
			requests += class.Requests
			inTime += class.InTime
		}
		if float64(inTime) >= recoveredFraction*float64(requests) {
			return (phase.From - overloadEnd).String()
		}
	}
	return "not in 10 s"
}

// simulateBursts simulates bursts of size simultaneous requests each and prints a line.
func simulateBursts(variant admissionVariant, size, workers int) error {
	class := balancer.Class{Name: burstClass, LatencyObjective: time.Second, Deadline: 15 * time.Second, PriorityWeight: 1}
	options := fleet.Options{
		Mode:           fleet.PenaltyOnly,
		Zones:          []string{"a"},
		Gateways:       1,
		Servers:        burstServers,
		Seed:           1,
		Rate:           0.001,
		ServiceTime:    burstService,
		Workers:        workers,
		QueueSize:      burstQueue,
		Duration:       time.Minute,
		CrossZoneDelay: time.Millisecond,
		Classes:        []fleet.Class{{Class: class, Fraction: 1}},
	}
	options.Admission = variant.make(options)
	rate := burstServers * float64(min(workers, size)) / burstService.Seconds()
	work := time.Duration(float64(size) / rate * float64(time.Second))
	interval := burstPause + work + burstMargin
	for i := range burstCount {
		options.Events = append(options.Events, fleet.Event{
			At: time.Duration(i) * interval,
			Do: func(simulated *fleet.Fleet) { simulated.SendBurst(size) },
		})
	}
	result, err := fleet.Run(options)
	if err != nil {
		return err
	}
	outcome := result.Phases[0].Classes[burstClass]
	fmt.Printf("%-22s %4d per burst, %6d workers per server: %5.1f%%, %5.1f%%\n", variant.name, size, workers,
		100*float64(outcome.Rejected+outcome.Failed)/float64(outcome.Requests), 100*float64(outcome.InTime)/float64(outcome.Requests))
	return nil
}
