package config

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"robindrum/balancer"
)

// The default classes of requests whose route sets no class, for safe methods and for all others.
const (
	DefaultSafeClass   = "default-safe"
	DefaultUnsafeClass = "default-unsafe"
)

// maxPriorityWeight is the upper bound of a class's priority weight.
const maxPriorityWeight = 1e6

// Class is a class of requests with the same latency objective, deadline, priority weight and retry rules.
type Class struct {
	Name             string   `yaml:"name"`
	LatencyObjective Duration `yaml:"wanted"`
	Deadline         Duration `yaml:"deadline"` // of all attempts together
	PriorityWeight   float64  `yaml:"worth"`
	Effect           Effect   `yaml:"effect"`
	Group            Group    `yaml:"group"`  // which servers drop repeated requests together; keyed only
	Window           Duration `yaml:"window"` // how long the servers drop repeated requests; keyed only
}

func (c *Class) setDefaults() {
	setDefault(&c.Deadline, Duration(15*time.Second))
	setDefault(&c.LatencyObjective, min(Duration(time.Second), c.Deadline))
	setDefault(&c.PriorityWeight, 1)
}

// setClassDefaults sets the defaults of the classes' fields and adds each default class that the file does not define.
func (f *File) setClassDefaults() {
	for i := range f.Classes {
		f.Classes[i].setDefaults()
	}
	defaults := []Class{
		{Name: DefaultSafeClass, Effect: Effect(balancer.Idempotent)},
		{Name: DefaultUnsafeClass, Effect: Effect(balancer.NonIdempotent)},
	}
	for _, class := range defaults {
		if !f.hasClass(class.Name) {
			class.setDefaults()
			f.Classes = append(f.Classes, class)
		}
	}
}

func (f *File) hasClass(name string) bool {
	return slices.ContainsFunc(f.Classes, func(c Class) bool { return c.Name == name })
}

func (f *File) checkClasses(d *decoder, names *uniqueNames) {
	for i := range f.Classes {
		field := fmt.Sprintf("classes[%d]", i)
		names.add("class", field+".name", f.Classes[i].Name)
		f.Classes[i].check(d, field)
	}
}

func (c *Class) check(d *decoder, field string) {
	if strings.Contains(c.Name, "!") {
		d.errorAt(field+".name", "must not contain !, got %q", c.Name)
	}
	if c.LatencyObjective > c.Deadline {
		d.errorAt(field+".wanted", "must be at most the deadline of %[2]v, got %[1]v", c.LatencyObjective.D(), c.Deadline.D())
	}
	if c.PriorityWeight <= 0 || c.PriorityWeight > maxPriorityWeight {
		d.errorAt(field+".worth", "must be greater than 0 and at most 1000000, got %v", c.PriorityWeight)
	}
	keyed := balancer.Effect(c.Effect) == balancer.IdempotentWithKey
	if !keyed && (c.Window != 0 || c.Group != 0) {
		d.errorAt(field+".effect", "must be keyed if group or window is set")
	}
	if keyed && c.Window == 0 {
		d.errorAt(field+".window", "is required for keyed classes; it sets how long the servers drop repeated requests")
	}
}
