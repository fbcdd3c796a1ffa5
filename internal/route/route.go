// Package route finds the route of a request: host, path, method, header and query decide, and the route names the
// cluster, or several by weight, with the request's class and key. It is pure: no clock, no I/O, no random numbers.
//
// # Precedence
//
// A request takes the first route in this order whose conditions all hold:
//
//  1. the host: exact, then the longer wildcard, then any host;
//  2. the path: exact, then templates with more literal segments (of equally many, the one whose literals come first),
//     then the longer prefix, then any path;
//  3. more conditions (the list of methods is one, each header and each query parameter is one) before fewer;
//  4. the order in which they were given.
//
// Where no route of the most specific host matches, the next host's are tried, unless Options.HostsExclude says that
// the host alone decides, as Envoy's virtual hosts do.
//
// # Cost
//
// A Table is compiled once and never changes. A request costs a bounded number of steps whatever the number of routes:
// one look-up for each host that can match, template shape and prefix length, all of which Compile bounds, and the
// conditions of at most MostAlternatives routes behind each.
package route

import (
	"fmt"
	"net/http"
	"slices"
)

// Bounds of a table, for each host where that makes a difference. Compile names the route that goes over one.
const (
	MaxAlternatives = 64 // routes of one host and path
	MaxShapes       = 32 // ways in which templates set literals and parameters
	MaxPrefixes     = 64 // distinct lengths of prefixes
	MaxSegments     = 32 // of a template
	MaxWildcards    = 8  // wildcard hosts of which one is the end of the next
	MaxConditions   = 16 // of one route
	maxHost         = 255
)

// Route is one rule. Of Path, Template and Prefix at most one is set; with none any path will do.
type Route struct {
	Name     string
	Hosts    []string // exact, or "*.example.org" for all below it; none, or "*": any
	Path     string   // the whole path
	Template string   // "/halls/{hall}/seats/{seat}": parameters stand for one segment that is not empty
	Prefix   string   // whole segments: "/api" takes "/api" and "/api/x", not "/apix"
	// Textual has Prefix match in the middle of a segment as well, as Envoy's prefix does.
	Textual  bool
	Methods  []string // none: any
	Headers  []Condition
	Query    []Condition
	Clusters []Weighted // one at least
	Class    string
	Key      Key
	Tenant   Key  // whose request it is, for a fair part of a wait
	High     bool // the priority HIGH of circuit breakers
}

// Condition is a condition on the first value of one header or query parameter.
type Condition struct {
	Name  string
	Op    Op
	Value string
	Not   bool // holds where it otherwise would not
}

// Op is how a condition compares.
type Op uint8

// The comparisons there are.
const (
	Present Op = iota // the header or parameter exists
	Exact
	Prefix
	Suffix
	Contains
)

// Weighted is a cluster and its part of the route's requests.
type Weighted struct {
	Cluster string
	Weight  uint32
}

// Key says where a request's key is found; at most one field is set.
type Key struct {
	Header, Query string
	Path          string // a parameter of the route's template
}

// Request is what decides. Path is as it came, percent-encoding included, and begins with "/".
type Request struct {
	Host, Method, Path, RawQuery string
	Header                       http.Header
}

// Result is the outcome of Find.
type Result struct {
	Route   *Route
	Cluster string
	Class   string
	Key     string // empty where the request has none
	Tenant  string // the same
}

// Error is an error of one route.
type Error struct {
	Route  int // its index
	Field  string
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("routes[%d].%s: %s", e.Route, e.Field, e.Reason) }

// Options configure a Table.
type Options struct {
	HostsExclude bool // only the routes of the most specific host that matches are looked at
}

// Table finds routes. It never changes once it is compiled, and may be used by several goroutines at once.
type Table struct {
	opt       Options
	exact     map[string]*host
	wildcards map[string]*host // by what comes behind the star, ".example.org"
	any       *host
	routes    []Route
}

type host struct {
	paths    map[string][]*compiled
	shapes   []*shape          // in order of precedence
	prefixes map[string]leaves // by prefix
	lengths  []int             // of prefixes, the longest first
}

type leaves struct {
	segments, textual []*compiled
}

// shape is how a template sets literals and parameters; byLiterals holds the templates of that shape.
type shape struct {
	literal    []bool
	byLiterals map[string][]*compiled
}

type compiled struct {
	*Route
	index  int
	total  uint64 // of the weights
	params []string
}

// Clusters returns the names of all clusters that a route may choose, sorted.
func (t *Table) Clusters() []string {
	names := map[string]bool{}
	for _, r := range t.routes {
		for _, w := range r.Clusters {
			names[w.Cluster] = true
		}
	}
	l := make([]string, 0, len(names))
	for n := range names {
		l = append(l, n)
	}
	slices.Sort(l)
	return l
}

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.routes) }
