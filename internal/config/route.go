package config

import (
	"errors"
	"fmt"

	"robindrum/internal/route"
)

const (
	priorityDefault = "default"
	priorityHigh    = "high"
)

// Route is a route; see package route for the order of precedence.
type Route struct {
	Name     string     `yaml:"name"`
	Match    Match      `yaml:"match"`
	Cluster  string     `yaml:"cluster,omitempty"`
	Clusters []Weighted `yaml:"clusters,omitempty"`
	Class    string     `yaml:"class,omitempty"` // empty: default-safe for GET, HEAD and OPTIONS, otherwise default-unsafe
	Key      Key        `yaml:"key,omitempty"`
	Tenant   Key        `yaml:"tenant,omitempty"`   // waiting requests of different tenants start in turn
	Priority string     `yaml:"priority,omitempty"` // default or high: which circuit breakers apply
}

// Match is what a route requires of a request.
type Match struct {
	Hosts    []string    `yaml:"hosts,omitempty"`
	Path     string      `yaml:"path,omitempty"`
	Prefix   string      `yaml:"prefix,omitempty"`
	Template string      `yaml:"template,omitempty"`
	Methods  []string    `yaml:"methods,omitempty"`
	Headers  []Condition `yaml:"headers,omitempty"`
	Query    []Condition `yaml:"query,omitempty"`
}

// Condition requires that the named value exists and equals, begins with, ends with or contains what is set.
type Condition struct {
	Name     string  `yaml:"name"`
	Exact    *string `yaml:"exact,omitempty"`
	Prefix   *string `yaml:"prefix,omitempty"`
	Suffix   *string `yaml:"suffix,omitempty"`
	Contains *string `yaml:"contains,omitempty"`
	Not      bool    `yaml:"not,omitempty"`
}

// Weighted is a cluster with its part of a route's requests.
type Weighted struct {
	Name   string `yaml:"name"`
	Weight uint32 `yaml:"weight"`
}

// Key is where a request contains its key.
type Key struct {
	Header string `yaml:"header,omitempty"`
	Query  string `yaml:"query,omitempty"`
	Path   string `yaml:"path,omitempty"`
}

func (r *Route) setDefaults() {
	for i := range r.Clusters {
		setDefault(&r.Clusters[i].Weight, 1)
	}
}

// Table returns the routes in the form of package route.
func (f *File) Table() []route.Route {
	routes := make([]route.Route, len(f.Routes))
	for i := range f.Routes {
		routes[i] = f.Routes[i].convert()
	}
	return routes
}

func (r *Route) convert() route.Route {
	converted := route.Route{
		Name:     r.Name,
		Hosts:    r.Match.Hosts,
		Path:     r.Match.Path,
		Template: r.Match.Template,
		Prefix:   r.Match.Prefix,
		Methods:  r.Match.Methods,
		Headers:  convertConditions(r.Match.Headers),
		Query:    convertConditions(r.Match.Query),
		Class:    r.Class,
		Key:      route.Key(r.Key),
		Tenant:   route.Key(r.Tenant),
		High:     r.Priority == priorityHigh,
	}
	if r.Cluster != "" {
		converted.Clusters = []route.Weighted{{Cluster: r.Cluster, Weight: 1}}
	}
	for _, weighted := range r.Clusters {
		converted.Clusters = append(converted.Clusters, route.Weighted{Cluster: weighted.Name, Weight: weighted.Weight})
	}
	return converted
}

func convertConditions(conditions []Condition) []route.Condition {
	var converted []route.Condition
	for i := range conditions {
		converted = append(converted, conditions[i].convert())
	}
	return converted
}

func (c *Condition) convert() route.Condition {
	converted := route.Condition{Name: c.Name, Not: c.Not}
	for _, operand := range c.operands() {
		if operand.value != nil {
			converted.Op = operand.op
			converted.Value = *operand.value
		}
	}
	return converted
}

// operand is an operator of a condition with its value, or nil where it is not set.
type operand struct {
	op    route.Op
	value *string
}

func (c *Condition) operands() []operand {
	return []operand{
		{route.Exact, c.Exact},
		{route.Prefix, c.Prefix},
		{route.Suffix, c.Suffix},
		{route.Contains, c.Contains},
	}
}

func (f *File) checkRoutes(d *decoder) {
	dynamicRoutes := f.XDS != nil && (f.XDS.RouteConfigName != "" || f.XDS.ListenerName != "")
	if len(f.Routes) == 0 && !dynamicRoutes {
		d.errorAt("routes", "none is given")
	}
	classes := f.classNames()
	clusters := f.clusterNames()
	if f.XDS != nil && f.XDS.Clusters { // a control plane may have the cluster
		clusters = nil
	}
	for i := range f.Routes {
		r := &f.Routes[i]
		field := fmt.Sprintf("routes[%d]", i)
		if r.Cluster != "" && len(r.Clusters) > 0 {
			d.errorAt(field+".clusters", "only one of cluster and clusters can be set")
		}
		if r.Class != "" && !classes[r.Class] {
			d.errorAt(field+".class", "there is no class %q", r.Class)
		}
		if r.Priority != "" && r.Priority != priorityDefault && r.Priority != priorityHigh {
			d.errorAt(field+".priority", "want default or high, not %q", r.Priority)
		}
		if clusters != nil {
			r.checkClusters(d, field, clusters)
		}
		checkConditions(d, field+".match.headers", r.Match.Headers)
		checkConditions(d, field+".match.query", r.Match.Query)
	}
	f.compileRoutes(d)
}

func (f *File) classNames() map[string]bool {
	names := map[string]bool{}
	for i := range f.Classes {
		names[f.Classes[i].Name] = true
	}
	return names
}

func (f *File) clusterNames() map[string]bool {
	names := map[string]bool{}
	for i := range f.Clusters {
		names[f.Clusters[i].Name] = true
	}
	return names
}

func (r *Route) checkClusters(d *decoder, field string, known map[string]bool) {
	check := func(field, name string) {
		if name != "" && !known[name] {
			d.errorAt(field, "there is no cluster %q", name)
		}
	}
	check(field+".cluster", r.Cluster)
	for i, weighted := range r.Clusters {
		check(fmt.Sprintf("%s.clusters[%d].name", field, i), weighted.Name)
	}
}

func checkConditions(d *decoder, field string, conditions []Condition) {
	for i := range conditions {
		count := 0
		for _, operand := range conditions[i].operands() {
			if operand.value != nil {
				count++
			}
		}
		if count > 1 {
			d.errorAt(fmt.Sprintf("%s[%d]", field, i), "only one of exact, prefix, suffix and contains can be set")
		}
	}
}

// compileRoutes adds what package route finds wrong with the routes.
func (f *File) compileRoutes(d *decoder) {
	_, err := route.Compile(f.Table(), route.Options{})
	for _, err := range joinedErrors(err) {
		var routeErr *route.Error
		if !errors.As(err, &routeErr) {
			d.errorAt("routes", "%v", err)
			continue
		}
		field := fmt.Sprintf("routes[%d].", routeErr.Route)
		switch routeErr.Field {
		case "cluster", "clusters", "key", "match":
		default:
			field += "match."
		}
		d.errorAt(field+routeErr.Field, "%s", routeErr.Reason)
	}
}
