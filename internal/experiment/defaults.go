package experiment

import (
	"cmp"
	"time"

	"robindrum/internal/config"
)

const (
	defaultLatencyObjective = time.Second
	defaultDeadline         = 15 * time.Second
)

// setDefault sets a field that still has its zero value.
func setDefault[T comparable](field *T, value T) { *field = cmp.Or(*field, value) }

func setDefaultDuration(field *config.Duration, value time.Duration) {
	setDefault(field, config.Duration(value))
}

// setDefaults sets the fields that the file leaves out.
func (e *Experiment) setDefaults() {
	setDefault(&e.Seed, 1)
	setDefaultDuration(&e.Length, 30*time.Second)
	e.Fleet.setDefaults()
	e.Gateways.setDefaults()
	e.Load.setDefaults()
	e.setClassDefaults()
	for i := range e.Events {
		e.Events[i].setDefaults()
	}
}

func (f *Fleet) setDefaults() {
	if len(f.Zones) == 0 {
		f.Zones = []string{"a"}
	}
	setDefault(&f.Servers, 2)
	setDefault(&f.Workers, 4)
	setDefault(&f.QueueLimit, 100)
	setDefaultDuration(&f.MeanServiceTime, 20*time.Millisecond)
	setDefault(&f.Distribution, "exponential")
	setDefault(&f.Variation, 1)
	if len(f.Groups) == 0 {
		for _, zone := range f.Zones {
			f.Groups = append(f.Groups, Group{Zone: zone, Servers: f.Servers})
		}
	}
	for i := range f.Groups {
		group := &f.Groups[i]
		setDefault(&group.Zone, f.Zones[0])
		setDefault(&group.Servers, f.Servers)
		setDefault(&group.Workers, f.Workers)
		setDefault(&group.QueueLimit, f.QueueLimit)
		setDefault(&group.Speed, 1)
	}
	setDefaultDuration(&f.WarmUp, 10*time.Second)
	setDefault(&f.InitialSpeed, 0.2)
	setDefault(&f.CollapseLoad, 2.5)
	setDefaultDuration(&f.CrossZoneRTT, 8*time.Millisecond)
}

func (g *Gateways) setDefaults() {
	setDefault(&g.Count, 1)
	setDefault(&g.ZoneMode, "price")
	setDefault(&g.Admission, "adaptive")
	setDefault(&g.AdmissionLimit, 1024)
}

func (l *Load) setDefaults() {
	setDefault(&l.RetryMode, "gives_up")
	setDefault(&l.Arrivals, "poisson")
	if l.Clients > 0 {
		setDefaultDuration(&l.ThinkTime, 100*time.Millisecond)
	}
	if trace := l.Trace; trace != nil {
		setDefault(&trace.Speed, 1)
		setDefault(&trace.Multiplier, 1)
		setDefault(&trace.UnknownClasses, "refuse")
	}
	if keys := l.Keys; keys != nil {
		setDefault(&keys.Count, 1000)
		setDefault(&keys.ZipfExponent, 1.1)
	}
}

func (e *Experiment) setClassDefaults() {
	if len(e.Classes) == 0 {
		e.Classes = []Class{{Name: config.DefaultSafeClass}}
	}
	for i := range e.Classes {
		class := &e.Classes[i]
		setDefaultDuration(&class.LatencyObjective, defaultLatencyObjective)
		setDefaultDuration(&class.Deadline, defaultDeadline)
		setDefault(&class.PriorityWeight, 1)
		setDefault(&class.LoadShare, 1)
		setDefault(&class.MeanServiceTime, e.Fleet.MeanServiceTime)
		setDefault(&class.Distribution, e.Fleet.Distribution)
		setDefault(&class.Variation, e.Fleet.Variation)
	}
}

func (event *Event) setDefaults() {
	setDefault(&event.Fraction, 1)
	if event.Action != "flap" {
		return
	}
	setDefaultDuration(&event.Period, 2*time.Second)
	setDefaultDuration(&event.Downtime, event.Period.D()/2)
	setDefault(&event.Count, 1)
}
