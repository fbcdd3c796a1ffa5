package experiment

import (
	"fmt"
	"time"

	"robindrum/balancer"
	"robindrum/internal/admission"
	"robindrum/internal/testbed/fleet"
)

// The words of the file, and what they are in the simulation.
var (
	zoneModes        = []string{"tiers", "price", "failover"}
	admissionModes   = []string{"adaptive", "fixed", "off", "estimate"}
	clientRetryModes = []string{"gives_up", "at_once", "heeds"}
	eventActions     = []string{"kill", "revive", "slow", "drain", "undrain", "flap", "push", "away", "back", "restart"}
	failureModes     = map[string]fleet.ServerState{"refuses": fleet.RefusesConnections, "silent": fleet.NeverResponds, "says_503": fleet.Responds503, "resets": fleet.ResetsAfterRequest, "loses": fleet.LosesResponses}
)

func index(l []string, v string) int {
	for i, x := range l {
		if x == v {
			return i
		}
	}
	return 0
}

// simulationOptions words the experiment for the simulation.
func (e *Experiment) simulationOptions(seed uint64) fleet.Options {
	f, g := &e.Fleet, &e.Gateways
	a := e.arrivals(seed)
	o := fleet.Options{Mode: fleet.Mode(index(zoneModes, g.ZoneMode)), Seed: seed, Zones: f.Zones, Gateways: g.Count, Clients: e.Load.Clients, ThinkTime: e.Load.ThinkTime.D(),
		Arrivals: func() (fleet.Arrival, bool) {
			x, ok := a.take()
			return fleet.Arrival{At: x.at, Class: x.class, Gateway: x.gateway, Tenant: x.key}, ok
		},
		Link:     fleet.Link{Delay: f.Link.Delay.D(), Jitter: f.Link.Jitter.D(), Loss: f.Link.Loss},
		Duration: e.Length.D(), Workers: f.Workers, ServiceTime: f.MeanServiceTime.D(), QueueSize: f.QueueLimit, WarmUp: f.WarmUp.D(), InitialSpeed: f.InitialSpeed, OverloadMultiple: f.CollapseLoad,
		CrossZoneDelay: f.CrossZoneRTT.D(), ConnectTime: f.ConnectCost.D(), Source: fleet.Source{Slots: g.Source.Concurrency, CallTime: g.Source.ResponseTime.D(), MaxWait: g.Source.QueueTimeout.D()}, ClientRetry: fleet.ClientRetry(index(clientRetryModes, e.Load.RetryMode))}
	for _, g := range f.Groups {
		o.Groups = append(o.Groups, fleet.Group{Zone: g.Zone, Servers: g.Servers, Workers: g.Workers, QueueSize: g.QueueLimit, Speed: g.speedAt})
	}
	for _, c := range e.Classes {
		o.Classes = append(o.Classes, fleet.Class{Fraction: c.LoadShare, DrawServiceTime: c.draw, ResponseTime: f.Link.transferTime(c.ResponseSize), Class: balancer.Class{Name: c.Name, LatencyObjective: c.LatencyObjective.D(), Deadline: c.Deadline.D(), PriorityWeight: c.PriorityWeight,
			Effect: balancer.Effect(c.Effect), Group: balancer.Group(c.Group), Window: c.Window.D()}})
	}
	if g.Admission != "estimate" {
		mode := map[string]admission.Mode{"adaptive": admission.Adaptive, "fixed": admission.Fixed, "off": admission.Off}[g.Admission]
		o.Admission = fleet.NewAdmission(o, admission.Options{Mode: mode, Limit: g.AdmissionLimit})
		o.Zone.OwnFree = mode != admission.Off
	}
	for _, p := range e.Phases {
		o.Phases = append(o.Phases, p.D())
	}
	for _, v := range e.timeline() {
		o.Events = append(o.Events, fleet.Event{At: v.At.D(), Do: func(f *fleet.Fleet) {
			switch v.Action {
			case "kill":
				f.FailServers(v.Zone, failureModes[v.FailureMode], v.Fraction)
			case "revive":
				f.RestartServers(v.Zone, v.RenamedServers)
				f.PublishEndpoints(v.NotifyDelay.D())
			case "slow":
				f.SlowDown(v.Zone, v.SlowdownFactor)
			case "drain", "undrain":
				f.SetDraining(v.Zone, v.Fraction, v.Action == "drain")
				f.PublishEndpoints(v.NotifyDelay.D())
			case "push":
				f.PublishEndpoints(0)
			case "away", "back":
				f.SetControlPlaneDown(v.Action == "away")
			case "restart":
				f.RestartGateways(v.Fraction, v.Downtime.D())
			}
		}})
	}
	return o
}

// Simulate runs an experiment with its seed and those after it, so many in all, on simulated time.
func Simulate(e *Experiment, seeds int) (*Report, error) {
	if err := checkSeeds(seeds); err != nil {
		return nil, err
	}
	r := newReport(e, "simulated")
	for i := range seeds {
		seed := uint64(e.Seed + i)
		o, c := e.simulationOptions(seed), newCollector(e)
		o.Observer = fleet.Observer{
			AttemptSent: func(at time.Duration, _, server string) { c.recordAttempt(at, server) },
			ResponseReceived: func(a fleet.Response) {
				out := rejected
				switch {
				case a.InTime:
					out = inTime
				case a.Late:
					out = servedLate
				case a.Failed:
					out = failed
				}
				c.recordOutcome(a.At, a.Took, a.Class, out)
			}}
		res, err := fleet.Run(o)
		if err != nil {
			return nil, fmt.Errorf("%s with seed %d: %w", e.Name, seed, err)
		}
		c.restartTime = res.MaxTimeToReady
		c.duplicateEffects, c.sentAfterDrain, c.steps = res.DuplicateEffects, res.AttemptsAfterDrain, res.Events
		if c.lost = res.Lost; res.Lost == 0 && c.requests != countRequests(res) {
			return nil, fmt.Errorf("%s with seed %d: %d answers were seen and %d were counted", e.Name, seed, c.requests, countRequests(res))
		}
		for j, p := range res.Phases {
			c.phases[j].addServerCounts(&Phase{CrossZoneAttempts: p.CrossZone, Attempts: p.Attempts, NewConnections: p.NewConnections, CollapsedServers: p.Overloads, MaxWarmingLoad: p.MaxColdLoad, MaxServerRequests: p.MaxQueue})
		}
		r.add(c, seed)
	}
	r.finish(e)
	return r, nil
}

func countRequests(r fleet.Result) (n int) {
	for _, p := range r.Phases {
		for _, c := range p.Classes {
			n += c.InTime + c.Late + c.Rejected + c.Failed
		}
	}
	return n
}
