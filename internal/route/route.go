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
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
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

// Condition is about one header or query parameter, of which the first value counts.
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

// Key says where a request's key stands; at most one field is set.
type Key struct {
	Header, Query string
	Path          string // a parameter of the route's template
}

// Request is what decides. Path is as it came, percent-encoding included, and begins with "/".
type Request struct {
	Host, Method, Path, RawQuery string
	Header                       http.Header
}

// Result is what was found.
type Result struct {
	Route   *Route
	Cluster string
	Class   string
	Key     string // empty where the request has none
	Tenant  string // the same
}

// Error is what is wrong with one route.
type Error struct {
	Route  int // its index
	Field  string
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("routes[%d].%s: %s", e.Route, e.Field, e.Reason) }

// Options change what a table does.
type Options struct {
	HostsExclude bool // only the routes of the most specific host that matches are looked at
}

// Table finds routes. It is safe for several goroutines at once.
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

// Compile checks routes and makes a table of them. All that is wrong comes at once, as *Error joined.
func Compile(routes []Route, opt Options) (*Table, error) {
	t := &Table{opt: opt, exact: map[string]*host{}, wildcards: map[string]*host{}, routes: slices.Clone(routes)}
	var errs []error
	for i := range t.routes {
		r := &t.routes[i]
		bad := func(field, reason string, args ...any) {
			errs = append(errs, &Error{i, field, fmt.Sprintf(reason, args...)})
		}
		c := &compiled{Route: r, index: i}
		before := len(errs)
		c.check(bad)
		hosts := r.Hosts
		if len(hosts) == 0 {
			hosts = []string{"*"}
		}
		for _, name := range hosts {
			h, err := t.host(name)
			if err != nil {
				bad("hosts", "%v", err)
			} else if len(errs) == before {
				if err := h.add(c); err != nil {
					bad(c.pathField(), "%v", err)
				}
			}
		}
	}
	for suffix := range t.wildcards {
		if n := len(t.chain(suffix)); n > MaxWildcards {
			errs = append(errs, fmt.Errorf("hosts: %d wildcards are nested at *%s, %d at most", n, suffix, MaxWildcards))
		}
	}
	for _, h := range t.hosts() {
		errs = append(errs, h.finish()...)
	}
	if len(errs) > 0 {
		slices.SortStableFunc(errs, func(x, y error) int { return cmp.Compare(place(x), place(y)) })
		return nil, errors.Join(errs...)
	}
	return t, nil
}

func place(err error) int {
	var e *Error
	if errors.As(err, &e) {
		return e.Route
	}
	return 1 << 30
}

func (t *Table) hosts() []*host {
	var l []*host
	for _, h := range t.exact {
		l = append(l, h)
	}
	for _, h := range t.wildcards {
		l = append(l, h)
	}
	if t.any != nil {
		l = append(l, t.any)
	}
	return l
}

func newHost() *host { return &host{paths: map[string][]*compiled{}, prefixes: map[string]leaves{}} }

func (t *Table) host(name string) (*host, error) {
	into, key := t.exact, strings.ToLower(strings.TrimSuffix(name, "."))
	switch suffix, wild := strings.CutPrefix(key, "*"); {
	case key == "*":
		if t.any == nil {
			t.any = newHost()
		}
		return t.any, nil
	case wild && (len(suffix) < 2 || suffix[0] != '.'):
		return nil, fmt.Errorf("%q: a wildcard is the whole first label, as in *.example.org", name)
	case wild:
		into, key = t.wildcards, suffix
	}
	if key == "" || len(key) > maxHost || strings.ContainsAny(key, "*/ ") {
		return nil, fmt.Errorf("%q is not a host", name)
	}
	if into[key] == nil {
		into[key] = newHost()
	}
	return into[key], nil
}

// chain gives the wildcards that match names below suffix, the longest first.
func (t *Table) chain(suffix string) []*host {
	var l []*host
	for s := suffix; s != ""; {
		if h := t.wildcards[s]; h != nil {
			l = append(l, h)
		}
		i := strings.IndexByte(s[1:], '.')
		if i < 0 {
			break
		}
		s = s[1+i:]
	}
	return l
}

func (c *compiled) pathField() string {
	switch {
	case c.Template != "":
		return "template"
	case c.Path != "":
		return "path"
	}
	return "prefix"
}

func (c *compiled) check(bad func(field, reason string, args ...any)) {
	n := 0
	for field, v := range map[string]string{"path": c.Path, "template": c.Template, "prefix": c.Prefix} {
		if v == "" {
			continue
		}
		if n++; v[0] != '/' {
			bad(field, "%q does not begin with /", v)
		}
		if strings.ContainsAny(v, "?#") {
			bad(field, "%q holds more than a path", v)
		}
	}
	if n > 1 {
		bad("path", "only one of path, template and prefix can be set")
	}
	if c.Template != "" {
		segments := strings.Split(c.Template, "/")[1:]
		if len(segments) > MaxSegments {
			bad("template", "%d segments, %d at most", len(segments), MaxSegments)
		}
		for _, s := range segments {
			name, is := parameter(s)
			switch {
			case is && (name == "" || strings.ContainsAny(name, "{}")):
				bad("template", "%q is not a parameter", s)
			case is && slices.Contains(c.params, name):
				bad("template", "%q stands twice", s)
			case !is && strings.ContainsAny(s, "{}"):
				bad("template", "%q: a parameter is a whole segment", s)
			}
			if is {
				c.params = append(c.params, name)
			} else {
				c.params = append(c.params, "")
			}
		}
	}
	for _, m := range c.Methods {
		if m == "" || m != strings.ToUpper(m) {
			bad("methods", "%q is not a method", m)
		}
	}
	if n := c.conditions(); n > MaxConditions {
		bad("headers", "%d conditions, %d at most", n, MaxConditions)
	}
	for i := range c.Headers {
		if c.Headers[i].Name = http.CanonicalHeaderKey(c.Headers[i].Name); c.Headers[i].Name == "" {
			bad("headers", "one has no name")
		}
	}
	for _, q := range c.Query {
		if q.Name == "" {
			bad("query", "one has no name")
		}
	}
	if len(c.Clusters) == 0 {
		bad("cluster", "none is given")
	}
	for _, w := range c.Clusters {
		if c.total += uint64(w.Weight); w.Cluster == "" {
			bad("clusters", "one has no name")
		}
	}
	if len(c.Clusters) > 0 && c.total == 0 {
		bad("clusters", "the weights add up to nothing")
	}
	for field, k := range map[string]*Key{"key": &c.Key, "tenant": &c.Tenant} {
		set := 0
		for _, s := range []string{k.Header, k.Query, k.Path} {
			if s != "" {
				set++
			}
		}
		if set > 1 {
			bad(field, "only one of header, query and path can be set")
		}
		if k.Path != "" && !slices.Contains(c.params, k.Path) {
			bad(field, "the template has no parameter %q", k.Path)
		}
		k.Header = http.CanonicalHeaderKey(k.Header)
	}
}

func parameter(segment string) (name string, is bool) {
	if strings.HasPrefix(segment, "{") && strings.HasSuffix(segment, "}") && len(segment) > 1 {
		return segment[1 : len(segment)-1], true
	}
	return "", false
}

func (c *compiled) conditions() int {
	n := len(c.Headers) + len(c.Query)
	if len(c.Methods) > 0 {
		n++
	}
	return n
}

func (h *host) add(c *compiled) error {
	switch {
	case c.Path != "":
		h.paths[c.Path] = append(h.paths[c.Path], c)
	case c.Template != "":
		literal := make([]bool, len(c.params))
		for i, p := range c.params {
			literal[i] = p == ""
		}
		i := slices.IndexFunc(h.shapes, func(s *shape) bool { return slices.Equal(s.literal, literal) })
		if i < 0 {
			if i = len(h.shapes); i == MaxShapes {
				return fmt.Errorf("templates set parameters in more than %d ways", MaxShapes)
			}
			h.shapes = append(h.shapes, &shape{literal, map[string][]*compiled{}})
		}
		s := h.shapes[i]
		key := string(s.key(nil, strings.Split(c.Template, "/")[1:]))
		s.byLiterals[key] = append(s.byLiterals[key], c)
	default:
		p := c.Prefix
		if !c.Textual {
			p = strings.TrimSuffix(p, "/")
		}
		l, ok := h.prefixes[p]
		if !ok && !slices.Contains(h.lengths, len(p)) {
			if len(h.lengths) == MaxPrefixes {
				return fmt.Errorf("prefixes have more than %d lengths", MaxPrefixes)
			}
			h.lengths = append(h.lengths, len(p))
		}
		if c.Textual && p != "" {
			l.textual = append(l.textual, c)
		} else {
			l.segments = append(l.segments, c)
		}
		h.prefixes[p] = l
	}
	return nil
}

// finish sorts what was added and tells which routes can never win.
func (h *host) finish() (errs []error) {
	tidy := func(l []*compiled) {
		if len(l) > MaxAlternatives {
			errs = append(errs, &Error{l[MaxAlternatives].index, l[0].pathField(), fmt.Sprintf(
				"%d routes have this host and path, %d at most", len(l), MaxAlternatives)})
			return
		}
		slices.SortStableFunc(l, func(x, y *compiled) int { return cmp.Compare(y.conditions(), x.conditions()) })
		for i, c := range l {
			for _, first := range l[:i] {
				if first != c && first.covers(c) {
					errs = append(errs, &Error{c.index, "match", fmt.Sprintf("%s can never be taken: %s takes all that it would",
						c.name(), first.name())})
					break
				}
			}
		}
	}
	for _, l := range h.paths {
		tidy(l)
	}
	for _, s := range h.shapes {
		for _, l := range s.byLiterals {
			tidy(l)
		}
	}
	for _, l := range h.prefixes {
		tidy(l.segments)
		tidy(l.textual)
	}
	slices.SortFunc(h.lengths, func(x, y int) int { return cmp.Compare(y, x) })
	slices.SortStableFunc(h.shapes, func(x, y *shape) int { return x.compare(y) })
	return errs
}

func (c *compiled) name() string {
	if c.Name != "" {
		return fmt.Sprintf("%q (routes[%d])", c.Name, c.index)
	}
	return fmt.Sprintf("routes[%d]", c.index)
}

// covers tells whether c takes whatever d would, where both have the same host and path.
func (c *compiled) covers(d *compiled) bool {
	if len(c.Methods) > 0 && (len(d.Methods) == 0 ||
		slices.ContainsFunc(d.Methods, func(m string) bool { return !slices.Contains(c.Methods, m) })) {
		return false
	}
	all := func(mine, theirs []Condition) bool {
		for _, m := range mine {
			if !slices.ContainsFunc(theirs, m.follows) {
				return false
			}
		}
		return true
	}
	return all(c.Headers, d.Headers) && all(c.Query, d.Query)
}

// follows tells whether c holds wherever d does.
func (c Condition) follows(d Condition) bool {
	if c == d {
		return true
	}
	if c.Name != d.Name || c.Not || d.Not {
		return false
	}
	switch c.Op {
	case Present:
		return true
	case Prefix:
		return (d.Op == Exact || d.Op == Prefix) && strings.HasPrefix(d.Value, c.Value)
	case Suffix:
		return (d.Op == Exact || d.Op == Suffix) && strings.HasSuffix(d.Value, c.Value)
	case Contains:
		return d.Op != Present && strings.Contains(d.Value, c.Value)
	}
	return false
}

// compare puts the shape with more literals first, and of equally many the one whose literals come first.
func (s *shape) compare(o *shape) int {
	count := func(l []bool) (n int) {
		for _, lit := range l {
			if lit {
				n++
			}
		}
		return n
	}
	if c := cmp.Compare(count(o.literal), count(s.literal)); c != 0 {
		return c
	}
	for i := range min(len(s.literal), len(o.literal)) {
		if s.literal[i] != o.literal[i] {
			if s.literal[i] {
				return -1
			}
			return 1
		}
	}
	return 0
}

// key appends the literals of a path's segments, in the places of the shape.
func (s *shape) key(b []byte, segments []string) []byte {
	for i, seg := range segments {
		if b = append(b, '/'); s.literal[i] {
			b = append(b, seg...)
		}
	}
	return b
}

// Find gives the route of a request. random chooses among weighted clusters; any value will do, and an even spread of
// them is what makes the shares.
func (t *Table) Find(q *Request, random uint64) (Result, bool) {
	name := q.Host
	if i := strings.LastIndexByte(name, ':'); i >= 0 && !strings.HasSuffix(name, "]") {
		name = name[:i]
	}
	name = strings.ToLower(strings.TrimSuffix(name, "."))
	f := finder{q: q, random: random}
	if len(name) <= maxHost {
		if h := t.exact[name]; h != nil {
			if r, ok := f.in(h); ok || t.opt.HostsExclude {
				return r, ok
			}
		}
		for i := strings.IndexByte(name, '.'); i >= 0 && len(t.wildcards) > 0; {
			if h := t.wildcards[name[i:]]; h != nil {
				if r, ok := f.in(h); ok || t.opt.HostsExclude {
					return r, ok
				}
			}
			j := strings.IndexByte(name[i+1:], '.')
			if j < 0 {
				break
			}
			i += 1 + j
		}
	}
	if t.any != nil {
		return f.in(t.any)
	}
	return Result{}, false
}

// finder holds what a look-up works out only once.
type finder struct {
	q        *Request
	random   uint64
	segments []string
	split    bool
	query    url.Values
	parsed   bool
	buf      [512]byte
}

func (f *finder) in(h *host) (Result, bool) {
	if r, ok := f.first(h.paths[f.q.Path]); ok {
		return r, true
	}
	if len(h.shapes) > 0 {
		f.cut()
		for _, s := range h.shapes {
			if len(s.literal) != len(f.segments) || f.emptyParameter(s) {
				continue
			}
			if r, ok := f.first(s.byLiterals[string(s.key(f.buf[:0], f.segments))]); ok {
				return r, true
			}
		}
	}
	path := f.q.Path
	for _, n := range h.lengths {
		if n > len(path) {
			continue
		}
		l := h.prefixes[path[:n]]
		if n == len(path) || path[n] == '/' || n == 0 {
			if r, ok := f.first(l.segments); ok {
				return r, true
			}
		}
		if r, ok := f.first(l.textual); ok {
			return r, true
		}
	}
	return Result{}, false
}

// cut splits the path, unless it has more segments than any template.
func (f *finder) cut() {
	if f.split {
		return
	}
	f.split = true
	n := strings.Count(f.q.Path, "/")
	if n > MaxSegments || f.q.Path == "" {
		return
	}
	l := make([]string, 0, n)
	for s := range strings.SplitSeq(f.q.Path[1:], "/") {
		l = append(l, s)
	}
	f.segments = l
}

func (f *finder) emptyParameter(s *shape) bool {
	for i, lit := range s.literal {
		if !lit && f.segments[i] == "" {
			return true
		}
	}
	return false
}

func (f *finder) first(l []*compiled) (Result, bool) {
	for _, c := range l {
		if len(c.Methods) > 0 && !slices.Contains(c.Methods, f.q.Method) || !f.headers(c) || !f.params(c) {
			continue
		}
		return Result{Route: c.Route, Cluster: c.cluster(f.random), Class: c.Class, Key: f.key(c, c.Key), Tenant: f.key(c, c.Tenant)}, true
	}
	return Result{}, false
}

func (f *finder) headers(c *compiled) bool {
	for _, d := range c.Headers {
		v, ok := f.q.Header[d.Name]
		if len(v) == 0 {
			v, ok = []string{""}, false
		}
		if d.holds(v[0], ok) == d.Not {
			return false
		}
	}
	return true
}

func (f *finder) params(c *compiled) bool {
	for _, d := range c.Query {
		v, ok := f.param(d.Name)
		if d.holds(v, ok) == d.Not {
			return false
		}
	}
	return true
}

func (f *finder) param(name string) (string, bool) {
	if !f.parsed {
		f.parsed = true
		if f.q.RawQuery != "" {
			f.query, _ = url.ParseQuery(f.q.RawQuery) // what cannot be read is not there
		}
	}
	v, ok := f.query[name]
	if !ok || len(v) == 0 {
		return "", false
	}
	return v[0], true
}

func (c Condition) holds(v string, ok bool) bool {
	if !ok {
		return false
	}
	switch c.Op {
	case Exact:
		return v == c.Value
	case Prefix:
		return strings.HasPrefix(v, c.Value)
	case Suffix:
		return strings.HasSuffix(v, c.Value)
	case Contains:
		return strings.Contains(v, c.Value)
	}
	return true
}

func (c *compiled) cluster(random uint64) string {
	if len(c.Clusters) > 1 {
		at := random % c.total
		for _, w := range c.Clusters {
			if at < uint64(w.Weight) {
				return w.Cluster
			}
			at -= uint64(w.Weight)
		}
	}
	return c.Clusters[0].Cluster
}

func (f *finder) key(c *compiled, k Key) string {
	switch {
	case k.Header != "":
		return f.q.Header.Get(k.Header)
	case k.Query != "":
		v, _ := f.param(k.Query)
		return v
	case k.Path != "":
		f.cut()
		return f.segments[slices.Index(c.params, k.Path)]
	}
	return ""
}

// Clusters gives the names of all clusters that a route may take, sorted.
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

// Len is how many routes there are.
func (t *Table) Len() int { return len(t.routes) }
