package config

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"robindrum/balancer"
)

// The classes of requests whose route names none, for methods that are safe and for others.
const (
	DefaultSafeClass   = "default-safe"
	DefaultUnsafeClass = "default-unsafe"
)

// maxPriorityWeight bounds the weight of a class.
const maxPriorityWeight = 1e6

// Class is a class of requests.
type Class struct {
	Name             string   `yaml:"name"`
	LatencyObjective Duration `yaml:"wanted"`
	Deadline         Duration `yaml:"deadline"` // over all attempts
	PriorityWeight   float64  `yaml:"worth"`
	Effect           Effect   `yaml:"effect"`
	Group            Group    `yaml:"group"`  // keyed only
	Window           Duration `yaml:"window"` // keyed only: how long the servers drop repeats
}

func (c *Class) setDefaults() {
	setDefault(&c.Deadline, Duration(15*time.Second))
	setDefault(&c.LatencyObjective, min(Duration(time.Second), c.Deadline))
	setDefault(&c.PriorityWeight, 1)
}

// setClassDefaults sets what was left out of the classes, and adds the default classes.
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
		d.errorAt(field+".name", "%q: ! is not for names", c.Name)
	}
	if c.LatencyObjective > c.Deadline {
		d.errorAt(field+".wanted", "%v is longer than the deadline, %v", c.LatencyObjective.D(), c.Deadline.D())
	}
	if c.PriorityWeight <= 0 || c.PriorityWeight > maxPriorityWeight {
		d.errorAt(field+".worth", "want more than 0 and at most 1000000, not %v", c.PriorityWeight)
	}
	keyed := balancer.Effect(c.Effect) == balancer.IdempotentWithKey
	if !keyed && (c.Window != 0 || c.Group != 0) {
		d.errorAt(field+".effect", "group and window are for keyed classes")
	}
	if keyed && c.Window == 0 {
		d.errorAt(field+".window", "a keyed class needs it: how long its servers drop repeats")
	}
}
