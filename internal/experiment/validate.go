package experiment

import (
	"fmt"
	"math"
	"slices"
	"time"

	"robindrum/balancer"
	"robindrum/internal/config"
)

// validator adds range and choice checks to the errors that are collected for a file.
type validator struct{ *config.StrictDecoder }

func (v validator) between(field string, value, minimum, maximum float64) {
	if !(value >= minimum && value <= maximum) { // negated, so that NaN is an error
		v.AddError(field, "want %v to %v, not %v", minimum, maximum, value)
	}
}

func (v validator) oneOf(field, value string, choices []string) {
	if !slices.Contains(choices, value) {
		v.AddError(field, "want one of %v, not %q", choices, value)
	}
}

// validate adds the errors of the experiment to decoder. The defaults must have been set before. Without needsLoad, the experiment may
// lack a load.
func (e *Experiment) validate(decoder *config.StrictDecoder, needsLoad bool) {
	v := validator{decoder}
	if e.Name == "" {
		v.AddError("name", "is missing")
	}
	v.between("seed", float64(e.Seed), 1, 1e9)
	if length := e.Length.D(); length < time.Second || length > maxLength {
		v.AddError("length", "want 1s to %v, not %v", maxLength, length)
		return // the checks of the load loop over the length
	}
	e.validateZones(v)
	e.validateFleet(v)
	e.validateGateways(v)
	e.validateServiceTimes(v)
	e.validateFleetSize(v)
	e.validateClasses(v)
	e.validateLoad(v, needsLoad)
	e.validatePhases(v)
	e.validateEvents(v)
	e.validateChecks(v)
}

func (e *Experiment) validateZones(v validator) {
	seen := map[string]bool{}
	for i, zone := range e.Fleet.Zones {
		if zone == "" || seen[zone] {
			v.AddError(fmt.Sprintf("fleet.zones[%d]", i), "%q is empty or stands twice", zone)
		}
		seen[zone] = true
	}
}

func (e *Experiment) validateFleet(v validator) {
	f := &e.Fleet
	v.between("fleet.servers", float64(f.Servers), 1, maxServers)
	v.between("fleet.workers", float64(f.Workers), 1, 1e6)
	v.between("fleet.queue", float64(f.QueueLimit), 0, 1e6)
	v.between("fleet.warm_share", f.InitialSpeed, 0.01, 1)
	v.between("fleet.fall", f.CollapseLoad, 1, 1e6)
	v.between("fleet.connect", f.ConnectCost.D().Seconds(), 0, 10)
	f.validate(v, "fleet.")
	for i := range f.Groups {
		f.Groups[i].validate(v, fmt.Sprintf("fleet.groups[%d].", i), f.Zones)
	}
	v.between("fleet.link.loss", f.Link.Loss, 0, 0.9)
	v.between("fleet.link.delay", f.Link.Delay.D().Seconds(), 0, 10)
	v.between("fleet.link.jitter", f.Link.Jitter.D().Seconds(), 0, 10)
}

func (g *Group) validate(v validator, prefix string, zones []string) {
	v.oneOf(prefix+"zone", g.Zone, zones)
	v.between(prefix+"servers", float64(g.Servers), 1, maxServers)
	v.between(prefix+"workers", float64(g.Workers), 1, 1e6)
	v.between(prefix+"queue", float64(g.QueueLimit), 0, 1e6)
	v.between(prefix+"speed", g.Speed, 0.01, 100)
	neighbour := g.Neighbour
	if neighbour == nil {
		return
	}
	v.between(prefix+"neighbour.takes", neighbour.SpeedShare, 0, 0.99)
	if neighbour.Period > 0 && (neighbour.Duration == 0 || neighbour.Duration > neighbour.Period) {
		v.AddError(prefix+"neighbour.lasts", "want more than 0 and at most every, %v, not %v", neighbour.Period.D(), neighbour.Duration.D())
	}
}

func (t *ServiceTime) validate(v validator, prefix string) {
	v.between(prefix+"service", t.MeanServiceTime.D().Seconds(), 1e-5, 600)
	v.oneOf(prefix+"distribution", t.Distribution, distributions)
	v.between(prefix+"variation", t.Variation, 0.01, 10)
}

func (e *Experiment) validateServiceTimes(v validator) {
	for i := range e.Classes {
		prefix := fmt.Sprintf("classes[%d].", i)
		e.Classes[i].validate(v, prefix)
		v.between(prefix+"answer", float64(e.Classes[i].ResponseSize), 0, 16<<20)
	}
}

func (e *Experiment) validateGateways(v validator) {
	g := &e.Gateways
	v.between("gateways.number", float64(g.Count), 1, maxGateways)
	v.between("gateways.limit", float64(g.AdmissionLimit), 1, 1e6)
	v.between("gateways.source.places", float64(g.Source.Concurrency), 0, 1e6)
	v.between("gateways.source.takes", g.Source.ResponseTime.D().Seconds(), 0, 60)
	v.oneOf("gateways.zones", g.ZoneMode, zoneModes)
	v.oneOf("gateways.admission", g.Admission, admissionModes)
}

func (e *Experiment) validateFleetSize(v validator) {
	servers := 0.0
	for _, group := range e.Fleet.Groups {
		servers += float64(group.Servers)
	}
	gateways := e.Gateways.Count
	if servers > maxServers || servers*float64(gateways) > maxServerGatewayPairs {
		v.AddError("fleet", "%.0f servers before %d gateways: want at most %d servers, and at most %d as the product of both", servers, gateways, maxServers, maxServerGatewayPairs)
	}
}

func (e *Experiment) validateClasses(v validator) {
	sum, names := 0.0, map[string]bool{}
	for i, class := range e.Classes {
		field := fmt.Sprintf("classes[%d]", i)
		if class.Name == "" || names[class.Name] {
			v.AddError(field+".name", "%q is empty or stands twice", class.Name)
		}
		names[class.Name] = true
		sum += class.LoadShare
		v.between(field+".part", class.LoadShare, 0, 1)
		v.between(field+".worth", class.PriorityWeight, 1e-6, 1e6)
		if class.LatencyObjective > class.Deadline {
			v.AddError(field+".wanted", "%v is longer than the deadline, %v", class.LatencyObjective.D(), class.Deadline.D())
		}
		if balancer.Effect(class.Effect) == balancer.IdempotentWithKey && class.Window == 0 {
			v.AddError(field+".window", "a keyed class needs it")
		}
	}
	if math.Abs(sum-1) > 1e-6 {
		v.AddError("classes", "their parts add up to %v, want 1", sum)
	}
}

func (e *Experiment) validatePhases(v validator) {
	last := time.Duration(0)
	for i, end := range e.Phases {
		if end.D() <= last || end.D() >= e.Length.D() {
			v.AddError(fmt.Sprintf("phases[%d]", i), "%v: they rise, and end before the length, %v", end.D(), e.Length.D())
		}
		last = end.D()
	}
	if len(e.Phases) > maxPhases {
		v.AddError("phases", "%d entries, want at most %d", len(e.Phases), maxPhases)
	}
}

func (e *Experiment) validateEvents(v validator) {
	if len(e.Events) > maxEvents {
		v.AddError("events", "%d entries, want at most %d", len(e.Events), maxEvents)
		return
	}
	for i := range e.Events {
		event := &e.Events[i]
		field := fmt.Sprintf("events[%d]", i)
		if event.At >= e.Length {
			v.AddError(field+".at", "%v is not before the end, %v", event.At.D(), e.Length.D())
		}
		event.validate(v, field, e.Fleet.Zones)
	}
}

func (event *Event) validate(v validator, field string, zones []string) {
	v.oneOf(field+".do", event.Action, eventActions)
	if event.hasZone() {
		v.oneOf(field+".zone", event.Zone, zones)
	}
	v.between(field+".part", event.Fraction, 0, 1)
	event.validateFailureMode(v, field)
	if event.Action == "slow" {
		v.between(field+".by", event.SlowdownFactor, 0.001, 1000)
	} else if event.SlowdownFactor != 0 {
		v.AddError(field+".by", "is only for slow")
	}
	if event.RenamedServers != 0 && event.Action != "revive" {
		v.AddError(field+".renamed", "is only for revive")
	}
	if event.NotifyDelay != 0 && !slices.Contains([]string{"revive", "drain", "undrain"}, event.Action) {
		v.AddError(field+".late", "is only for revive, drain and undrain")
	}
	v.between(field+".renamed", float64(event.RenamedServers), 0, maxServers)
	event.validateFlap(v, field)
}

// hasZone reports whether the action is applied to a zone.
func (event *Event) hasZone() bool {
	return !slices.Contains([]string{"push", "away", "back", "restart"}, event.Action)
}

func (event *Event) validateFailureMode(v validator, field string) {
	if event.Action != "kill" && event.Action != "flap" {
		if event.FailureMode != "" {
			v.AddError(field+".how", "is only for kill and flap")
		}
		return
	}
	if _, known := failureModes[event.FailureMode]; !known {
		v.AddError(field+".how", "want refuses, silent, says_503, resets or loses, not %q", event.FailureMode)
	}
}

func (event *Event) validateFlap(v validator, field string) {
	if event.Action == "flap" {
		v.between(field+".count", float64(event.Count), 1, maxEvents)
		if event.Downtime >= event.Period {
			v.AddError(field+".down", "want less than every, %v, not %v", event.Period.D(), event.Downtime.D())
		}
		return
	}
	unusedDowntime := event.Downtime != 0 && event.Action != "restart"
	if event.Period != 0 || event.Count != 0 || unusedDowntime {
		v.AddError(field, "every and count are for flap, down is for flap and restart")
	}
}

func (e *Experiment) validateChecks(v validator) {
	if len(e.Checks) > maxEvents {
		v.AddError("checks", "%d entries, want at most %d", len(e.Checks), maxEvents)
		return
	}
	for i, check := range e.Checks {
		field := fmt.Sprintf("checks[%d]", i)
		if check.Phase != nil && (*check.Phase < 0 || *check.Phase > len(e.Phases)) {
			v.AddError(field+".phase", "there is no phase %d; phases count from 0", *check.Phase)
		}
		if check.Class != "" && !slices.ContainsFunc(e.Classes, func(class Class) bool { return class.Name == check.Class }) {
			v.AddError(field+".class", "there is no class %q", check.Class)
		}
		for name, fraction := range map[string]*float64{"in_time": check.MinInTime, "refused": check.MaxRejected, "late": check.MaxLate} {
			if fraction != nil {
				v.between(field+"."+name, *fraction, 0, 1)
			}
		}
		if check.isEmpty() {
			v.AddError(field, "checks nothing: want in_time, refused, late, p99, worst_cold, connects or back")
		}
	}
}

// isEmpty reports whether the check has no condition.
func (c *Check) isEmpty() bool {
	noFraction := c.MinInTime == nil && c.MaxRejected == nil && c.MaxLate == nil
	return noFraction && c.MaxP99 == 0 && c.MaxWarmingLoad == 0 && c.MaxConnectRatio == 0 && c.MaxRestartTime == 0
}
