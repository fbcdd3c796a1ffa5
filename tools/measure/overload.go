package main

import (
	"fmt"
	"time"

	"robindrum/balancer"
	"robindrum/internal/admission"
	"robindrum/internal/testbed/fleet"
)

// overload plays bursts and overloads on simulated time, each way of admission beside the others. The figures are the same
// on every machine.
func overload() error {
	const s, ms = time.Second, time.Millisecond
	classes := []fleet.Class{
		{Class: balancer.Class{Name: "seat-map", LatencyObjective: 300 * ms, Deadline: 3 * s, PriorityWeight: 1}, Fraction: 0.90},
		{Class: balancer.Class{Name: "seat-hold", LatencyObjective: 150 * ms, Deadline: 2 * s, PriorityWeight: 5, Effect: balancer.IdempotentWithKey, Window: 4 * s}, Fraction: 0.08},
		{Class: balancer.Class{Name: "pay", LatencyObjective: 300 * ms, Deadline: 2 * s, PriorityWeight: 20, Effect: balancer.NonIdempotent}, Fraction: 0.02},
	}
	ways := []struct {
		name string
		of   func(o fleet.Options) func(int) (balancer.Admission, error)
	}{
		{"off", func(o fleet.Options) func(int) (balancer.Admission, error) {
			return fleet.NewAdmission(o, admission.Options{Mode: admission.Off})
		}},
		{"the module's estimate", func(fleet.Options) func(int) (balancer.Admission, error) { return nil }},
		{"fixed 1024", func(o fleet.Options) func(int) (balancer.Admission, error) {
			return fleet.NewAdmission(o, admission.Options{Mode: admission.Fixed, Limit: 1024})
		}},
		{"AIMD", func(o fleet.Options) func(int) (balancer.Admission, error) { return fleet.NewAIMD(o, 512) }},
		{"adaptive", func(o fleet.Options) func(int) (balancer.Admission, error) {
			return fleet.NewAdmission(o, admission.Options{})
		}},
	}
	// Two servers of four workers, 20 ms a request: 400 a second.
	const capacity = 2 * 4 / 0.02
	at := func(over float64) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if at >= 10*s && at < 70*s {
				return over
			}
			return 0.5
		}
	}
	again := []string{"give up", "ask again at once", "heed Retry-After"}
	phases := []time.Duration{10 * s, 70 * s, 70*s + 500*ms, 71 * s, 72 * s, 74 * s}
	fmt.Println("way                    load               clients            in time of capacity  pay in time  hold in time  refused  p50     p99     p99.9   queue  well after")
	for _, over := range []float64{1.5, 3, 10} {
		for a, text := range again {
			for _, w := range ways {
				o := fleet.Options{Mode: fleet.PriceOnly, Zones: []string{"a"}, Gateways: 1, Servers: 2, Seed: 1, Rate: capacity, Burst: at(over), Duration: 80 * s,
					Phases: phases, Classes: classes, ClientRetry: fleet.ClientRetry(a), CrossZoneDelay: 30 * ms, QueueSize: 10000}
				o.Admission = w.of(o)
				r, err := fleet.Run(o)
				if err != nil {
					return err
				}
				p := &r.Phases[1]
				inTime, asked, refused := 0, 0, 0
				for _, c := range p.Classes {
					inTime, asked, refused = inTime+c.InTime, asked+c.Requests, refused+c.Rejected+c.Failed
				}
				part := func(name string) float64 {
					c := p.Classes[name]
					return 100 * float64(c.InTime) / float64(max(c.Requests, 1))
				}
				wellAfter := "not by 10 s"
				for _, q := range r.Phases[2:] {
					n, good := 0, 0
					for _, c := range q.Classes {
						n, good = n+c.Requests, good+c.InTime
					}
					if float64(good) >= 0.995*float64(n) {
						wellAfter = (q.From - 70*s).String()
						break
					}
				}
				fmt.Printf("%-22s %4.1f x capacity    %-18s %18.1f%%  %10.1f%%  %11.1f%%  %6.1f%%  %-6v  %-6v  %-6v  %5d  %s\n", w.name, over, text,
					100*float64(inTime)/(60*capacity), part("pay"), part("seat-hold"), 100*float64(refused)/float64(max(asked, 1)),
					p.Quantile(0.5).Round(ms), p.Quantile(0.99).Round(ms), p.Quantile(0.999).Round(ms), p.MaxQueue, wellAfter)
			}
		}
	}
	fmt.Println("\nbursts with 200 ms of rest between them, 25 times, 1 s wanted, 5 ms a request: refused, in time")
	for _, workers := range []int{100000, 4} {
		for _, n := range []int{8, 32, 64, 200, 500, 1000} {
			for _, w := range ways {
				o := fleet.Options{Mode: fleet.PriceOnly, Zones: []string{"a"}, Gateways: 1, Servers: 2, Seed: 1, Rate: 0.001, ServiceTime: 5 * ms, Workers: workers, QueueSize: 100000,
					Duration: 60 * s, CrossZoneDelay: ms, Classes: []fleet.Class{{Class: balancer.Class{Name: "default-safe", LatencyObjective: s, Deadline: 15 * s, PriorityWeight: 1}, Fraction: 1}}}
				o.Admission = w.of(o)
				gap := 200*ms + time.Duration(float64(n)/(2*float64(min(workers, n))/0.005)*float64(s)) + 50*ms
				for i := range 25 {
					o.Events = append(o.Events, fleet.Event{At: time.Duration(i) * gap, Do: func(f *fleet.Fleet) { f.SendBurst(n) }})
				}
				r, err := fleet.Run(o)
				if err != nil {
					return err
				}
				c := r.Phases[0].Classes["default-safe"]
				fmt.Printf("%-22s %4d at %6d workers: %5.1f%%, %5.1f%%\n", w.name, n, workers, 100*float64(c.Rejected+c.Failed)/float64(c.Requests), 100*float64(c.InTime)/float64(c.Requests))
			}
		}
	}
	return nil
}
