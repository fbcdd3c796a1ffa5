package experiment

import (
	"fmt"
	"slices"
	"time"

	"robindrum/balancer"
	"robindrum/internal/admission"
	"robindrum/internal/testbed/fleet"
)

// Values of fields of the file. Zone and retry modes have the order of the simulation's constants.
var (
	zoneModes        = []string{"tiers", "price", "failover"}
	admissionModes   = []string{"adaptive", "fixed", "off", "estimate"}
	clientRetryModes = []string{"gives_up", "at_once", "heeds"}
	eventActions     = []string{"kill", "revive", "slow", "drain", "undrain", "flap", "push", "away", "back", "restart"}
	failureModes     = map[string]fleet.ServerState{"refuses": fleet.RefusesConnections, "silent": fleet.NeverResponds, "says_503": fleet.Responds503, "resets": fleet.ResetsAfterRequest, "loses": fleet.LosesResponses}
)

// simulationOptions returns the options of the simulation for a seed.
func (e *Experiment) simulationOptions(seed uint64) fleet.Options {
	f, g := &e.Fleet, &e.Gateways
	arrivals := e.arrivals(seed)
	o := fleet.Options{
		Mode:      fleet.Mode(max(slices.Index(zoneModes, g.ZoneMode), 0)),
		Seed:      seed,
		Zones:     f.Zones,
		Gateways:  g.Count,
		Clients:   e.Load.Clients,
		ThinkTime: e.Load.ThinkTime.D(),
		Arrivals: func() (fleet.Arrival, bool) {
			x, ok := arrivals.take()
			return fleet.Arrival{At: x.at, Class: x.class, Gateway: x.gateway, Tenant: x.key}, ok
		},
		Link:             fleet.Link{Delay: f.Link.Delay.D(), Jitter: f.Link.Jitter.D(), Loss: f.Link.Loss},
		Duration:         e.Length.D(),
		Workers:          f.Workers,
		ServiceTime:      f.MeanServiceTime.D(),
		QueueSize:        f.QueueLimit,
		WarmUp:           f.WarmUp.D(),
		InitialSpeed:     f.InitialSpeed,
		OverloadMultiple: f.CollapseLoad,
		CrossZoneDelay:   f.CrossZoneRTT.D(),
		ConnectTime:      f.ConnectCost.D(),
		Source:           fleet.Source{Slots: g.Source.Concurrency, CallTime: g.Source.ResponseTime.D(), MaxWait: g.Source.QueueTimeout.D()},
		ClientRetry:      fleet.ClientRetry(max(slices.Index(clientRetryModes, e.Load.RetryMode), 0)),
	}
	for _, group := range f.Groups {
		o.Groups = append(o.Groups, fleet.Group{Zone: group.Zone, Servers: group.Servers, Workers: group.Workers, QueueSize: group.QueueLimit, Speed: group.speedAt})
	}
	for _, c := range e.Classes {
		o.Classes = append(o.Classes, fleet.Class{Fraction: c.LoadShare, DrawServiceTime: c.draw, ResponseTime: f.Link.transferTime(c.ResponseSize), Class: c.balancerClass()})
	}
	if g.Admission != "estimate" {
		mode := map[string]admission.Mode{"adaptive": admission.Adaptive, "fixed": admission.Fixed, "off": admission.Off}[g.Admission]
		o.Admission = fleet.NewAdmission(o, admission.Options{Mode: mode, Limit: g.AdmissionLimit})
		o.Zone.OwnFree = mode != admission.Off
	}
	for _, p := range e.Phases {
		o.Phases = append(o.Phases, p.D())
	}
	for _, event := range e.timeline() {
		o.Events = append(o.Events, fleet.Event{At: event.At.D(), Do: event.simulate})
	}
	return o
}

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
	r := newReport(e, "simulated")
	for i := range seeds {
		seed := uint64(e.Seed + i)
		c, err := e.simulateSeed(seed)
		if err != nil {
			return nil, fmt.Errorf("%s with seed %d: %w", e.Name, seed, err)
		}
		r.add(c, seed)
	}
	r.finish(e)
	return r, nil
}

// simulateSeed runs the simulation of a seed and returns its results.
func (e *Experiment) simulateSeed(seed uint64) (*collector, error) {
	options, c := e.simulationOptions(seed), newCollector(e)
	options.Observer = fleet.Observer{
		AttemptSent:      func(at time.Duration, _, server string) { c.recordAttempt(at, server) },
		ResponseReceived: func(a fleet.Response) { c.recordOutcome(a.At, a.Took, a.Class, outcomeOf(a)) },
	}
	result, err := fleet.Run(options)
	if err != nil {
		return nil, err
	}
	c.restartTime = result.MaxTimeToReady
	c.duplicateEffects = result.DuplicateEffects
	c.sentAfterDrain = result.AttemptsAfterDrain
	c.steps = result.Events
	c.lost = result.Lost
	if counted := countRequests(result); result.Lost == 0 && c.requests != counted {
		return nil, fmt.Errorf("%d answers were seen and %d were counted", c.requests, counted)
	}
	for i, p := range result.Phases {
		c.phases[i].addServerCounts(&Phase{
			CrossZoneAttempts: p.CrossZone,
			Attempts:          p.Attempts,
			NewConnections:    p.NewConnections,
			CollapsedServers:  p.Overloads,
			MaxWarmingLoad:    p.MaxColdLoad,
			MaxServerRequests: p.MaxQueue,
		})
	}
	return c, nil
}

func outcomeOf(a fleet.Response) outcome {
	switch {
	case a.InTime:
		return inTime
	case a.Late:
		return servedLate
	case a.Failed:
		return failed
	}
	return rejected
}

// countRequests returns the number of requests that ended in a simulation.
func countRequests(r fleet.Result) (n int) {
	for _, p := range r.Phases {
		for _, c := range p.Classes {
			n += c.InTime + c.Late + c.Rejected + c.Failed
		}
	}
	return n
}
