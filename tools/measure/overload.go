package main

import (
	"fmt"
	"time"

	"robindrum/balancer"
	"robindrum/internal/admission"
	"robindrum/internal/testbed/fleet"
)

const (
	overloadStart    = 10 * time.Second
	overloadEnd      = 70 * time.Second
	overloadCapacity = 2 * 4 / 0.02 // requests a second: two servers of four workers, 20 ms a request
	recoveredPart    = 0.995        // of requests in time from which a phase counts as well

	burstCount    = 25
	burstRest     = 200 * time.Millisecond
	burstMargin   = 50 * time.Millisecond
	burstServers  = 2
	burstService  = 5 * time.Millisecond
	burstClass    = "default-safe"
	manyWorkers   = 100000 // more than a burst has requests
	longestQueue  = 100000
	overloadQueue = 10000
)

// admissionVariant is one way to admit requests.
type admissionVariant struct {
	name string
	make func(o fleet.Options) func(gateway int) (balancer.Admission, error)
}

// admissionVariants lists the ways that the figures compare.
func admissionVariants() []admissionVariant {
	withOptions := func(options admission.Options) func(fleet.Options) func(int) (balancer.Admission, error) {
		return func(o fleet.Options) func(int) (balancer.Admission, error) { return fleet.NewAdmission(o, options) }
	}
	estimate := func(fleet.Options) func(int) (balancer.Admission, error) { return nil }
	aimd := func(o fleet.Options) func(int) (balancer.Admission, error) { return fleet.NewAIMD(o, 512) }
	return []admissionVariant{
		{"off", withOptions(admission.Options{Mode: admission.Off})},
		{"the module's estimate", estimate},
		{"fixed 1024", withOptions(admission.Options{Mode: admission.Fixed, Limit: 1024})},
		{"AIMD", aimd},
		{"adaptive", withOptions(admission.Options{})},
	}
}

// overload plays bursts and overloads on simulated time, each way of admission beside the others. The figures are the same on
// every machine.
func overload() error {
	variants := admissionVariants()
	clients := []string{"give up", "ask again at once", "heed Retry-After"} // by fleet.ClientRetry
	fmt.Println("way                    load               clients            in time of capacity  pay in time  hold in time  refused  p50     p99     p99.9   queue  well after")
	for _, factor := range []float64{1.5, 3, 10} {
		for again, client := range clients {
			for _, variant := range variants {
				if err := playOverload(variant, factor, fleet.ClientRetry(again), client); err != nil {
					return err
				}
			}
		}
	}
	fmt.Println("\nbursts with 200 ms of rest between them, 25 times, 1 s wanted, 5 ms a request: refused, in time")
	for _, workers := range []int{manyWorkers, 4} {
		for _, size := range []int{8, 32, 64, 200, 500, 1000} {
			for _, variant := range variants {
				if err := playBursts(variant, size, workers); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// overloadClasses are the classes of a ticket shop: its seat maps, holds of seats and payments.
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

// playOverload plays a minute of so many times the capacity and prints its line.
func playOverload(variant admissionVariant, factor float64, again fleet.ClientRetry, client string) error {
	load := func(at time.Duration) float64 {
		if at >= overloadStart && at < overloadEnd {
			return factor
		}
		return 0.5
	}
	o := fleet.Options{
		Mode:     fleet.PriceOnly,
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
		ClientRetry:    again,
		CrossZoneDelay: 30 * time.Millisecond,
		QueueSize:      overloadQueue,
	}
	o.Admission = variant.make(o)
	result, err := fleet.Run(o)
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
	fmt.Printf("%-22s %4.1f x capacity    %-18s %18.1f%%  %10.1f%%  %11.1f%%  %6.1f%%  %-6v  %-6v  %-6v  %5d  %s\n", variant.name, factor, client,
		100*float64(inTime)/capacity, inTimePercent("pay"), inTimePercent("seat-hold"), 100*float64(rejected)/float64(max(requests, 1)),
		phase.Quantile(0.5).Round(time.Millisecond), phase.Quantile(0.99).Round(time.Millisecond), phase.Quantile(0.999).Round(time.Millisecond),
		phase.MaxQueue, recoveredAfter(result.Phases[2:]))
	return nil
}

// recoveredAfter says how long after the overload the first phase begins in which nearly all requests are served in time.
func recoveredAfter(phases []fleet.Phase) string {
	for _, phase := range phases {
		requests, inTime := 0, 0
		for _, class := range phase.Classes {
			requests += class.Requests
			inTime += class.InTime
		}
		if float64(inTime) >= recoveredPart*float64(requests) {
			return (phase.From - overloadEnd).String()
		}
	}
	return "not by 10 s"
}

// playBursts plays bursts of so many requests at once and prints its line.
func playBursts(variant admissionVariant, size, workers int) error {
	class := balancer.Class{Name: burstClass, LatencyObjective: time.Second, Deadline: 15 * time.Second, PriorityWeight: 1}
	o := fleet.Options{
		Mode:           fleet.PriceOnly,
		Zones:          []string{"a"},
		Gateways:       1,
		Servers:        burstServers,
		Seed:           1,
		Rate:           0.001,
		ServiceTime:    burstService,
		Workers:        workers,
		QueueSize:      longestQueue,
		Duration:       time.Minute,
		CrossZoneDelay: time.Millisecond,
		Classes:        []fleet.Class{{Class: class, Fraction: 1}},
	}
	o.Admission = variant.make(o)
	rate := burstServers * float64(min(workers, size)) / burstService.Seconds()
	work := time.Duration(float64(size) / rate * float64(time.Second))
	interval := burstRest + work + burstMargin
	for i := range burstCount {
		o.Events = append(o.Events, fleet.Event{
			At: time.Duration(i) * interval,
			Do: func(f *fleet.Fleet) { f.SendBurst(size) },
		})
	}
	result, err := fleet.Run(o)
	if err != nil {
		return err
	}
	outcome := result.Phases[0].Classes[burstClass]
	fmt.Printf("%-22s %4d at %6d workers: %5.1f%%, %5.1f%%\n", variant.name, size, workers,
		100*float64(outcome.Rejected+outcome.Failed)/float64(outcome.Requests), 100*float64(outcome.InTime)/float64(outcome.Requests))
	return nil
}
