package main

import (
	"fmt"
	"os"
	"time"

	"robindrum/internal/testbed/fleet"
)

// measureZoneLoss simulates the loss and the return of a zone with each zone routing mode: tiers, none and plain failover. The time is
// simulated, so the figures are the same on every machine.
func measureZoneLoss(big bool) error {
	const s = time.Second
	modes := []fleet.Mode{fleet.Tiers, fleet.PenaltyOnly, fleet.Failover}
	type scenario struct {
		name    string
		options fleet.Options
	}
	loseZone := func(state fleet.ServerState) []fleet.Event {
		return []fleet.Event{{At: 10 * s, Do: func(simulated *fleet.Fleet) { simulated.FailServers("sapporo", state, 1) }},
			{At: 30 * s, Do: func(simulated *fleet.Fleet) { simulated.RestartServers("sapporo", 3); simulated.PublishEndpoints(0) }}}
	}
	phases := []time.Duration{10 * s, 13 * s, 30 * s, 50 * s}
	burst := func(at time.Duration) float64 { // three times the rate during one second of every five, half of it otherwise
		if at%(5*s) < s {
			return 3
		}
		return 0.5
	}
	scenarios := []scenario{
		{"8 gateways, 2 zones of 6 servers (1200/s per zone); 900/s; the lost servers refuse connections", fleet.Options{Gateways: 8, Rate: 900, Events: loseZone(fleet.RefusesConnections)}},
		{"the same; the lost servers accept connections and never respond", fleet.Options{Gateways: 8, Rate: 900, Events: loseZone(fleet.NeverResponds)}},
		{"refused connections, in bursts of three times the rate", fleet.Options{Gateways: 8, Rate: 900, Burst: burst, Events: loseZone(fleet.RefusesConnections)}},
		{"refused connections, 2040/s: 85% of the capacity of both zones", fleet.Options{Gateways: 8, Rate: 2040, Events: loseZone(fleet.RefusesConnections)}},
		{"40 gateways, 2 zones of 9 servers; 1500/s", fleet.Options{Gateways: 40, Servers: 9, Rate: 1500, Events: loseZone(fleet.RefusesConnections)}},
	}
	publishLate := func(simulated *fleet.Fleet) {
		simulated.RestartServers("sapporo", 3)
		simulated.PublishEndpoints(10 * s)
	}
	scenarios = append(scenarios, scenario{"8 gateways; 900/s; the endpoint list is updated 10 s after the return", fleet.Options{Gateways: 8, Rate: 900,
		Events: []fleet.Event{loseZone(fleet.RefusesConnections)[0], {At: 30 * s, Do: publishLate}}}})
	if big {
		scenarios = []scenario{{"200 gateways, 2 zones of 36 servers (7200/s per zone); 6000/s", fleet.Options{Gateways: 200, Servers: 36, Rate: 6000, Events: loseZone(fleet.RefusesConnections)}}}
	}
	for _, current := range scenarios {
		fmt.Printf("\n%s: zone lost at 10 s, back at 30 s with all servers cold, 3 of them with new ids\n", current.name)
		for _, mode := range modes {
			options := current.options
			options.Mode, options.Seed, options.Duration, options.Phases = mode, 1, 70*s, phases
			result, err := fleet.Run(options)
			if err != nil {
				return err
			}
			fmt.Printf("\n %v\n", mode)
			result.Print(os.Stdout)
		}
	}
	return nil
}
