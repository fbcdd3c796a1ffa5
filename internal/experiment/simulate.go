package experiment

import (
	"fmt"
	"slices"
	"time"

	"robindrum/balancer"
	"robindrum/internal/admission"
	"robindrum/internal/testbed/fleet"
)

// Accepted values of fields of the file. zoneModes and clientRetryModes have the order of the constants of package fleet.
var (
	zoneModes        = []string{"tiers", "price", "failover"}
	admissionModes   = []string{"adaptive", "fixed", "off", "estimate"}
	clientRetryModes = []string{"gives_up", "at_once", "heeds"}
	eventActions     = []string{"kill", "revive", "slow", "drain", "undrain", "flap", "push", "away", "back", "restart"}
	failureModes     = map[string]fleet.ServerState{"refuses": fleet.RefusesConnections, "silent": fleet.NeverResponds, "says_503": fleet.Responds503, "resets": fleet.ResetsAfterRequest, "loses": fleet.LosesResponses}
)

// simulationOptions returns the options of the simulation for a seed.
func (e *Experiment) simulationOptions(seed uint64) fleet.Options {
	fleetConfig, gateways := &e.Fleet, &e.Gateways
	arrivals := e.arrivals(seed)
	options := fleet.Options{
		Mode:      fleet.Mode(max(slices.Index(zoneModes, gateways.ZoneMode), 0)),
		Seed:      seed,
		Zones:     fleetConfig.Zones,
		Gateways:  gateways.Count,
		Clients:   e.Load.Clients,
		ThinkTime: e.Load.ThinkTime.D(),
		Arrivals: func() (fleet.Arrival, bool) {
			request, ok := arrivals.take()
			return fleet.Arrival{At: request.at, Class: request.class, Gateway: request.gateway, Tenant: request.key}, ok
		},
		Link:             fleet.Link{Delay: fleetConfig.Link.Delay.D(), Jitter: fleetConfig.Link.Jitter.D(), Loss: fleetConfig.Link.Loss},
		Duration:         e.Length.D(),
		Workers:          fleetConfig.Workers,
		ServiceTime:      fleetConfig.MeanServiceTime.D(),
		QueueSize:        fleetConfig.QueueLimit,
		WarmUp:           fleetConfig.WarmUp.D(),
		InitialSpeed:     fleetConfig.InitialSpeed,
		OverloadMultiple: fleetConfig.CollapseLoad,
		CrossZoneDelay:   fleetConfig.CrossZoneRTT.D(),
		ConnectTime:      fleetConfig.ConnectCost.D(),
		Source:           fleet.Source{Slots: gateways.Source.Concurrency, CallTime: gateways.Source.ResponseTime.D(), MaxWait: gateways.Source.QueueTimeout.D()},
		ClientRetry:      fleet.ClientRetry(max(slices.Index(clientRetryModes, e.Load.RetryMode), 0)),
	}
	for _, group := range fleetConfig.Groups {
		options.Groups = append(options.Groups, fleet.Group{Zone: group.Zone, Servers: group.Servers, Workers: group.Workers, QueueSize: group.QueueLimit, Speed: group.speedAt})
	}
	for _, c := range e.Classes {
		options.Classes = append(options.Classes, fleet.Class{Fraction: c.LoadShare, DrawServiceTime: c.draw, ResponseTime: fleetConfig.Link.transferTime(c.ResponseSize), Class: c.balancerClass()})
	}
	if gateways.Admission != "estimate" {
		mode := map[string]admission.Mode{"adaptive": admission.Adaptive, "fixed": admission.Fixed, "off": admission.Off}[gateways.Admission]
		options.Admission = fleet.NewAdmission(options, admission.Options{Mode: mode, Limit: gateways.AdmissionLimit})
		options.Zone.OwnZoneUnlimited = mode != admission.Off
	}
	for _, end := range e.Phases {
		options.Phases = append(options.Phases, end.D())
	}
	for _, event := range e.timeline() {
		options.Events = append(options.Events, fleet.Event{At: event.At.D(), Do: event.simulate})
	}
	return options
}

// balancerClass returns the class as the balancer's configuration has it.
func (c *Class) balancerClass() balancer.Class {
	return balancer.Class{
		Name:             c.Name,
		LatencyObjective: c.LatencyObjective.D(),
		Deadline:         c.Deadline.D(),
		PriorityWeight:   c.PriorityWeight,
		Effect:           balancer.Effect(c.Effect),
		Group:            balancer.Group(c.Group),
		Window:           c.Window.D(),
	}
}

// simulate applies the event to a simulated fleet.
func (event *Event) simulate(f *fleet.Fleet) {
	switch event.Action {
	case "kill":
		f.FailServers(event.Zone, failureModes[event.FailureMode], event.Fraction)
	case "revive":
		f.RestartServers(event.Zone, event.RenamedServers)
		f.PublishEndpoints(event.NotifyDelay.D())
	case "slow":
		f.SlowDown(event.Zone, event.SlowdownFactor)
	case "drain", "undrain":
		f.SetDraining(event.Zone, event.Fraction, event.Action == "drain")
		f.PublishEndpoints(event.NotifyDelay.D())
	case "push":
		f.PublishEndpoints(0)
	case "away", "back":
		f.SetControlPlaneDown(event.Action == "away")
	case "restart":
		f.RestartGateways(event.Fraction, event.Downtime.D())
	}
}

// Simulate runs an experiment on simulated time with consecutive seeds, the first of which is the experiment's own. The same
// experiment and seeds give the same report.
func Simulate(e *Experiment, seeds int) (*Report, error) {
	if err := checkSeeds(seeds); err != nil {
		return nil, err
	}
	report := newReport(e, "simulated")
	for i := range seeds {
		seed := uint64(e.Seed + i)
		results, err := e.simulateSeed(seed)
		if err != nil {
			return nil, fmt.Errorf("%s with seed %d: %w", e.Name, seed, err)
		}
		report.add(results, seed)
	}
	report.finish(e)
	return report, nil
}

// simulateSeed runs the simulation of a seed and returns its results.
func (e *Experiment) simulateSeed(seed uint64) (*collector, error) {
	options, collected := e.simulationOptions(seed), newCollector(e)
	options.Observer = fleet.Observer{
		AttemptSent: func(at time.Duration, _, server string) { collected.recordAttempt(at, server) },
		ResponseReceived: func(response fleet.Response) {
			collected.recordOutcome(response.At, response.Took, response.Class, outcomeOf(response))
		},
	}
	result, err := fleet.Run(options)
	if err != nil {
		return nil, err
	}
	collected.restartTime = result.MaxTimeToReady
	collected.duplicateEffects = result.DuplicateEffects
	collected.sentAfterDrain = result.AttemptsAfterDrain
	collected.steps = result.Events
	collected.lost = result.Lost
	if counted := countRequests(result); result.Lost == 0 && collected.requests != counted {
		return nil, fmt.Errorf("the observer saw %d responses, but the simulation counted %d", collected.requests, counted)
	}
	for i, phase := range result.Phases {
		collected.phases[i].addServerCounts(&Phase{
			CrossZoneAttempts: phase.CrossZone,
			Attempts:          phase.Attempts,
			NewConnections:    phase.NewConnections,
			CollapsedServers:  phase.Overloads,
			MaxWarmingLoad:    phase.MaxColdLoad,
			MaxServerRequests: phase.MaxQueue,
		})
	}
	return collected, nil
}

// outcomeOf returns the outcome of a simulated response.
func outcomeOf(response fleet.Response) outcome {
	switch {
	case response.InTime:
		return inTime
	case response.Late:
		return servedLate
	case response.Failed:
		return failed
	}
	return rejected
}

// countRequests returns the number of requests that ended in a simulation.
func countRequests(result fleet.Result) (count int) {
	for _, phase := range result.Phases {
		for _, class := range phase.Classes {
			count += class.InTime + class.Late + class.Rejected + class.Failed
		}
	}
	return count
}
