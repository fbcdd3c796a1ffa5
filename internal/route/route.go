// Package route matches requests to routes by host, path, method, headers and query parameters. A route determines the
// cluster of a request, or several weighted clusters, and its class, key and tenant. The package uses no clock, does no
// I/O and generates no random numbers.
//
// # Precedence
//
// A request takes the first matching route in this order:
//
//  1. by host: exact, then the longer wildcard, then any host;
//  2. by path: exact, then templates with more literal segments (if equal, those with a literal in the first segment
//     that differs), then the longer prefix, then any path;
//  3. by the number of conditions, most first: the list of methods, each header condition and each query condition count
//     as one;
//  4. by the order in which the routes were given.
//
// If no route of the most specific matching host matches the request, the routes of the next host are tried. With
// Options.MostSpecificHostOnly only the most specific host is considered, as with Envoy's virtual hosts.
//
// # Cost
//
// A Table is immutable. The cost of matching a request is bounded regardless of the number of routes: one lookup for each
// host that can match, each template shape and each prefix length, whose numbers Compile limits, and for each lookup the
// conditions of at most MaxAlternatives routes.
package route

import (
	"fmt"
	"net/http"
	"slices"
)

// Limits of a table. Those on shapes, prefixes and alternatives apply to each host. Compile returns an error if a limit is
// exceeded.
const (
	MaxAlternatives = 64 // routes with the same host and path
	MaxShapes       = 32 // distinct patterns of literal and parameter segments in templates
	MaxPrefixes     = 64 // distinct prefix lengths
	MaxSegments     = 32 // of a template
	MaxWildcards    = 8  // nested wildcard hosts, such as *.org and *.example.org
	MaxConditions   = 16 // of one route
	maxHostLength   = 255
)

// Route is one routing rule. At most one of Path, Template and Prefix is set; if none is, the route matches any path.
type Route struct {
	Name     string
	Hosts    []string // exact names, or "*.example.org" for all its subdomains; none or "*": any host
	Path     string   // exact path
	Template string   // "/halls/{hall}/seats/{seat}": a parameter matches one non-empty segment
	Prefix   string   // whole segments: "/api" matches "/api" and "/api/x", not "/apix"
	// PrefixWithinSegment makes Prefix also match within a segment, like Envoy's prefix.
	PrefixWithinSegment bool
	Methods             []string // none: any
	Headers             []Condition
	Query               []Condition
	Clusters            []Weighted // at least one
	Class               string
	Key                 Key
	Tenant              Key  // identifies the tenant, for fair queueing between tenants
	High                bool // whether the request has Envoy's routing priority HIGH, which has its own circuit breakers
}

// Condition is a condition on the first value of one header or query parameter.
type Condition struct {
	Name  string
	Op    Op
	Value string
	Not   bool // inverts the condition
}

// Op is the comparison operator of a condition.
type Op uint8

// The comparison operators.
const (
	Present Op = iota // the header or parameter exists
	Exact
	Prefix
	Suffix
	Contains
)

// Weighted is a cluster and its weight among the clusters of a route.
type Weighted struct {
	Cluster string
	Weight  uint32
}

// Key names the part of a request that holds its key or tenant. At most one field is set.
type Key struct {
	Header, Query string
	Path          string // name of a parameter of the route's template
}

// Request holds the parts of a request that routes match. Path is the path as received, percent-encoded, and begins with "/".
type Request struct {
	Host, Method, Path, RawQuery string
	Header                       http.Header
}

// Result is the outcome of Find.
type Result struct {
	Route   *Route
	Cluster string
	Class   string
	Key     string // empty if the request has none
	Tenant  string // empty if the request has none
}

// Error is an error in one route.
type Error struct {
	Route  int // index of the route
	Field  string
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("routes[%d].%s: %s", e.Route, e.Field, e.Reason) }

// Options configure a Table.
type Options struct {
	MostSpecificHostOnly bool // consider only the routes of the most specific matching host
}

// Table matches requests to routes. It is immutable and safe for concurrent use.
type Table struct {
	options   Options
	exact     map[string]*host
	wildcards map[string]*host // by the suffix after the star, such as ".example.org"
	any       *host
	routes    []Route
}

// host holds the routes of one host name, of one wildcard, or those for any host.
type host struct {
	paths    map[string][]*compiledRoute
	shapes   []*shape                // by precedence
	prefixes map[string]prefixRoutes // by prefix
	lengths  []int                   // distinct prefix lengths, descending
}

// prefixRoutes holds the routes of one prefix, by whether the prefix matches whole segments only or also within a segment.
type prefixRoutes struct {
	segments, textual []*compiledRoute
}

// shape is a pattern of literal and parameter segments, with the templates that have it.
type shape struct {
	literal    []bool                      // by segment; false: parameter
	byLiterals map[string][]*compiledRoute // by literalsKey
}

// compiledRoute is a Route with the data that Compile derives from it.
type compiledRoute struct {
	*Route
	index       int      // in the routes passed to Compile
	totalWeight uint64   // sum of the cluster weights
	paramNames  []string // by template segment; empty for a literal
}

// Clusters returns the sorted names of all clusters of all routes.
func (t *Table) Clusters() []string {
	names := map[string]bool{}
	for _, r := range t.routes {
		for _, w := range r.Clusters {
			names[w.Cluster] = true
		}
	}
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	return sorted
}

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.routes) }
