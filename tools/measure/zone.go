package main

import (
	"fmt"
	"os"
	"time"

	"robindrum/internal/testbed/fleet"
)

// zones plays the loss and the return of a zone on simulated time, side by side: tiers, none, plain failover. The figures
// are the same on every machine.
func zones(big bool) error {
	const s = time.Second
	modes := []fleet.Mode{fleet.Tiers, fleet.PriceOnly, fleet.Failover}
	type play struct {
		name string
		o    fleet.Options
	}
	lose := func(how fleet.ServerState) []fleet.Event {
		return []fleet.Event{{At: 10 * s, Do: func(f *fleet.Fleet) { f.FailServers("sapporo", how, 1) }},
			{At: 30 * s, Do: func(f *fleet.Fleet) { f.RestartServers("sapporo", 3); f.PublishEndpoints(0) }}}
	}
	phases := []time.Duration{10 * s, 13 * s, 30 * s, 50 * s}
	burst := func(at time.Duration) float64 { // three times the load for a second out of five
		if at%(5*s) < s {
			return 3
		}
		return 0.5
	}
	plays := []play{
		{"8 gateways, 2 zones of 6 servers (1200/s each); 900/s; refuses connections", fleet.Options{Gateways: 8, Rate: 900, Events: lose(fleet.RefusesConnections)}},
		{"the same; accepts and says nothing", fleet.Options{Gateways: 8, Rate: 900, Events: lose(fleet.NeverResponds)}},
		{"the same in bursts of three times the load", fleet.Options{Gateways: 8, Rate: 900, Burst: burst, Events: lose(fleet.RefusesConnections)}},
		{"the survivor at 85% already: 2040/s", fleet.Options{Gateways: 8, Rate: 2040, Events: lose(fleet.RefusesConnections)}},
		{"40 gateways, 2 zones of 9 servers; 1500/s", fleet.Options{Gateways: 40, Servers: 9, Rate: 1500, Events: lose(fleet.RefusesConnections)}},
	}
	late := func(f *fleet.Fleet) { f.RestartServers("sapporo", 3); f.PublishEndpoints(10 * s) }
	plays = append(plays, play{"8 gateways; 900/s; the list tells of the return 10 s late", fleet.Options{Gateways: 8, Rate: 900,
		Events: []fleet.Event{lose(fleet.RefusesConnections)[0], {At: 30 * s, Do: late}}}})
	if big {
		plays = []play{{"200 gateways, 2 zones of 36 servers (7200/s each); 6000/s", fleet.Options{Gateways: 200, Servers: 36, Rate: 6000, Events: lose(fleet.RefusesConnections)}}}
	}
	for _, p := range plays {
		fmt.Printf("\n%s: gone at 10 s, back at 30 s with all servers cold, 3 of them under new ids\n", p.name)
		for _, m := range modes {
			o := p.o
			o.Mode, o.Seed, o.Duration, o.Phases = m, 1, 70*s, phases
			r, err := fleet.Run(o)
			if err != nil {
				return err
			}
			fmt.Printf("\n %v\n", m)
			r.Print(os.Stdout)
		}
	}
	return nil
}
