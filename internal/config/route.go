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

// Route sends the requests that match to a cluster; see package route for the order of precedence.
type Route struct {
	Name     string            `yaml:"name"`
	Match    Match             `yaml:"match"`
	Cluster  string            `yaml:"cluster,omitempty"`
	Clusters []WeightedCluster `yaml:"clusters,omitempty"`
	Class    string            `yaml:"class,omitempty"`    // default: default-safe for GET, HEAD and OPTIONS, default-unsafe for other methods
	Key      Key               `yaml:"key,omitempty"`      // where a request contains its idempotency key
	Tenant   Key               `yaml:"tenant,omitempty"`   // where a request contains its tenant; queued requests are started fairly among tenants
	Priority string            `yaml:"priority,omitempty"` // default or high; selects the circuit breakers that apply
}

// Match holds the conditions that a request must satisfy.
type Match struct {
	Hosts    []string    `yaml:"hosts,omitempty"`
	Path     string      `yaml:"path,omitempty"`
	Prefix   string      `yaml:"prefix,omitempty"`
	Template string      `yaml:"template,omitempty"`
	Methods  []string    `yaml:"methods,omitempty"`
	Headers  []Condition `yaml:"headers,omitempty"`
	Query    []Condition `yaml:"query,omitempty"`
}

// Condition requires that the header or query parameter with the name exists and matches the operator that is set, if any.
// Not inverts the condition.
type Condition struct {
	Name     string  `yaml:"name"`
	Exact    *string `yaml:"exact,omitempty"`
	Prefix   *string `yaml:"prefix,omitempty"`
	Suffix   *string `yaml:"suffix,omitempty"`
	Contains *string `yaml:"contains,omitempty"`
	Not      bool    `yaml:"not,omitempty"`
}

// WeightedCluster is a cluster that gets a share of a route's requests in proportion to its weight.
type WeightedCluster struct {
	Name   string `yaml:"name"`
	Weight uint32 `yaml:"weight"`
}

// Key is the place in a request that contains a value, such as the idempotency key. At most one field may be set.
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

// RouteTable returns the routes as package route expects them.
func (f *File) RouteTable() []route.Route {
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

// operand is an operator of a condition and its value. The value is nil if the operator is not set.
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
	if f.XDS != nil && f.XDS.Clusters { // the cluster may come from the control plane
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
			d.errorAt(field+".priority", "must be default or high, got %q", r.Priority)
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

// compileRoutes compiles the routes with package route and adds its errors to d.
func (f *File) compileRoutes(d *decoder) {
	_, err := route.Compile(f.RouteTable(), route.Options{})
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
