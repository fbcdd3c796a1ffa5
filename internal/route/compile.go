package route

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// Compile validates routes and builds a Table from them. The error joins all problems, each an *Error except for nested
// wildcards.
func Compile(routes []Route, options Options) (*Table, error) {
	t := &Table{options: options, exact: map[string]*host{}, wildcards: map[string]*host{}, routes: slices.Clone(routes)}
	var errs []error
	for i := range t.routes {
		r := &t.routes[i]
		addError := func(field, reason string, args ...any) {
			errs = append(errs, &Error{i, field, fmt.Sprintf(reason, args...)})
		}
		c := &compiledRoute{Route: r, index: i}
		before := len(errs)
		c.check(addError)
		hosts := r.Hosts
		if len(hosts) == 0 {
			hosts = []string{"*"}
		}
		for _, name := range hosts {
			h, err := t.host(name)
			if err != nil {
				addError("hosts", "%v", err)
			} else if len(errs) == before {
				if err := h.add(c); err != nil {
					addError(c.pathField(), "%v", err)
				}
			}
		}
	}
	for suffix := range t.wildcards {
		if n := len(t.matchingWildcards(suffix)); n > MaxWildcards {
			errs = append(errs, fmt.Errorf("hosts: at most %d wildcard hosts may be nested, got %d at *%s", MaxWildcards, n, suffix))
		}
	}
	for _, h := range t.hosts() {
		errs = append(errs, h.finish()...)
	}
	if len(errs) > 0 {
		slices.SortStableFunc(errs, func(x, y error) int { return cmp.Compare(routeIndex(x), routeIndex(y)) })
		return nil, errors.Join(errs...)
	}
	return t, nil
}

// routeIndex returns the index of the route that an error is about, or a higher number than any index if there is none.
func routeIndex(err error) int {
	var e *Error
	if errors.As(err, &e) {
		return e.Route
	}
	return 1 << 30
}

// hosts returns all hosts in no particular order.
func (t *Table) hosts() []*host {
	var all []*host
	for _, h := range t.exact {
		all = append(all, h)
	}
	for _, h := range t.wildcards {
		all = append(all, h)
	}
	if t.any != nil {
		all = append(all, t.any)
	}
	return all
}

func newHost() *host {
	return &host{paths: map[string][]*compiledRoute{}, prefixes: map[string]prefixRoutes{}}
}

// host returns the host with the given name or wildcard, adding it if needed.
func (t *Table) host(name string) (*host, error) {
	byName, key := t.exact, strings.ToLower(strings.TrimSuffix(name, "."))
	switch suffix, wild := strings.CutPrefix(key, "*"); {
	case key == "*":
		if t.any == nil {
			t.any = newHost()
		}
		return t.any, nil
	case wild && (len(suffix) < 2 || suffix[0] != '.'):
		return nil, fmt.Errorf("%q: a wildcard must be the whole first label, as in *.example.org", name)
	case wild:
		byName, key = t.wildcards, suffix
	}
	if key == "" || len(key) > maxHostLength || strings.ContainsAny(key, "*/ ") {
		return nil, fmt.Errorf("%q is not a host", name)
	}
	if byName[key] == nil {
		byName[key] = newHost()
	}
	return byName[key], nil
}

// matchingWildcards returns the wildcard hosts that match every host name that ends in suffix, longest first. suffix
// begins with a dot.
func (t *Table) matchingWildcards(suffix string) []*host {
	var matching []*host
	for s := suffix; s != ""; {
		if h := t.wildcards[s]; h != nil {
			matching = append(matching, h)
		}
		i := strings.IndexByte(s[1:], '.')
		if i < 0 {
			break
		}
		s = s[1+i:]
	}
	return matching
}

// pathField returns the name of the field that sets the route's path condition.
func (c *compiledRoute) pathField() string {
	switch {
	case c.Template != "":
		return "template"
	case c.Path != "":
		return "path"
	}
	return "prefix"
}

// addErrorFunc records an error in a field of the route that is being compiled.
type addErrorFunc func(field, reason string, args ...any)

// check validates the route and sets the fields that are derived from it.
func (c *compiledRoute) check(addError addErrorFunc) {
	c.checkPath(addError)
	c.checkTemplate(addError)
	c.checkConditions(addError)
	c.checkClusters(addError)
	for field, k := range map[string]*Key{"key": &c.Key, "tenant": &c.Tenant} {
		c.checkKey(field, k, addError)
	}
}

func (c *compiledRoute) checkPath(addError addErrorFunc) {
	set := 0
	for field, v := range map[string]string{"path": c.Path, "template": c.Template, "prefix": c.Prefix} {
		if v == "" {
			continue
		}
		set++
		if v[0] != '/' {
			addError(field, "%q does not begin with /", v)
		}
		if strings.ContainsAny(v, "?#") {
			addError(field, "%q must not contain ? or #", v)
		}
	}
	if set > 1 {
		addError("path", "only one of path, template and prefix can be set")
	}
}

// checkTemplate validates the template and sets paramNames.
func (c *compiledRoute) checkTemplate(addError addErrorFunc) {
	if c.Template == "" {
		return
	}
	segments := strings.Split(c.Template, "/")[1:]
	if len(segments) > MaxSegments {
		addError("template", "got %d segments, want at most %d", len(segments), MaxSegments)
	}
	for _, s := range segments {
		name, isParam := parseParameter(s)
		switch {
		case isParam && (name == "" || strings.ContainsAny(name, "{}")):
			addError("template", "%q is not a valid parameter", s)
		case isParam && slices.Contains(c.paramNames, name):
			addError("template", "duplicate parameter %q", s)
		case !isParam && strings.ContainsAny(s, "{}"):
			addError("template", "%q: a parameter must be a whole segment", s)
		}
		c.paramNames = append(c.paramNames, name)
	}
}

func (c *compiledRoute) checkConditions(addError addErrorFunc) {
	for _, m := range c.Methods {
		if m == "" || m != strings.ToUpper(m) {
			addError("methods", "method must be non-empty and in upper case, got %q", m)
		}
	}
	if n := c.conditionCount(); n > MaxConditions {
		addError("headers", "got %d conditions, want at most %d", n, MaxConditions)
	}
	for i := range c.Headers {
		c.Headers[i].Name = http.CanonicalHeaderKey(c.Headers[i].Name)
		if c.Headers[i].Name == "" {
			addError("headers", "a header condition has no name")
		}
	}
	for _, q := range c.Query {
		if q.Name == "" {
			addError("query", "a query condition has no name")
		}
	}
}

func (c *compiledRoute) checkClusters(addError addErrorFunc) {
	if len(c.Clusters) == 0 {
		addError("cluster", "at least one cluster is required")
		return
	}
	for _, w := range c.Clusters {
		c.totalWeight += uint64(w.Weight)
		if w.Cluster == "" {
			addError("clusters", "a cluster has no name")
		}
	}
	if c.totalWeight == 0 {
		addError("clusters", "the weights add up to nothing")
	}
}

func (c *compiledRoute) checkKey(field string, k *Key, addError addErrorFunc) {
	set := 0
	for _, s := range []string{k.Header, k.Query, k.Path} {
		if s != "" {
			set++
		}
	}
	if set > 1 {
		addError(field, "only one of header, query and path can be set")
	}
	if k.Path != "" && !slices.Contains(c.paramNames, k.Path) {
		addError(field, "the template has no parameter %q", k.Path)
	}
	k.Header = http.CanonicalHeaderKey(k.Header)
}

// parseParameter returns the name of a template's parameter segment. For a literal segment, isParam is false.
func parseParameter(segment string) (name string, isParam bool) {
	if strings.HasPrefix(segment, "{") && strings.HasSuffix(segment, "}") && len(segment) > 1 {
		return segment[1 : len(segment)-1], true
	}
	return "", false
}

// conditionCount returns the number of conditions, with the list of methods counted as one.
func (c *compiledRoute) conditionCount() int {
	n := len(c.Headers) + len(c.Query)
	if len(c.Methods) > 0 {
		n++
	}
	return n
}

// add adds a route to the host. It returns an error if the route exceeds MaxShapes or MaxPrefixes.
func (h *host) add(c *compiledRoute) error {
	switch {
	case c.Path != "":
		h.paths[c.Path] = append(h.paths[c.Path], c)
	case c.Template != "":
		literal := make([]bool, len(c.paramNames))
		for i, p := range c.paramNames {
			literal[i] = p == ""
		}
		i := slices.IndexFunc(h.shapes, func(s *shape) bool { return slices.Equal(s.literal, literal) })
		if i < 0 {
			if i = len(h.shapes); i == MaxShapes {
				return fmt.Errorf("templates of a host must have at most %d distinct patterns of literals and parameters", MaxShapes)
			}
			h.shapes = append(h.shapes, &shape{literal, map[string][]*compiledRoute{}})
		}
		s := h.shapes[i]
		literalsKey := string(s.literalsKey(nil, strings.Split(c.Template, "/")[1:]))
		s.byLiterals[literalsKey] = append(s.byLiterals[literalsKey], c)
	default:
		p := c.Prefix
		if !c.PrefixWithinSegment {
			p = strings.TrimSuffix(p, "/")
		}
		routes, ok := h.prefixes[p]
		if !ok && !slices.Contains(h.lengths, len(p)) {
			if len(h.lengths) == MaxPrefixes {
				return fmt.Errorf("prefixes of a host must have at most %d distinct lengths", MaxPrefixes)
			}
			h.lengths = append(h.lengths, len(p))
		}
		if c.PrefixWithinSegment && p != "" {
			routes.textual = append(routes.textual, c)
		} else {
			routes.segments = append(routes.segments, c)
		}
		h.prefixes[p] = routes
	}
	return nil
}

// finish sorts the routes of a host by precedence. It returns an error for each route that can never be taken because an
// earlier one matches all its requests, and for each path with more than MaxAlternatives routes.
func (h *host) finish() (errs []error) {
	sortAndCheck := func(routes []*compiledRoute) {
		if len(routes) > MaxAlternatives {
			errs = append(errs, &Error{routes[MaxAlternatives].index, routes[0].pathField(), fmt.Sprintf(
				"%d routes have this host and path, at most %d are allowed", len(routes), MaxAlternatives)})
			return
		}
		slices.SortStableFunc(routes, func(x, y *compiledRoute) int { return cmp.Compare(y.conditionCount(), x.conditionCount()) })
		for i, c := range routes {
			for _, earlier := range routes[:i] {
				if earlier != c && earlier.covers(c) {
					errs = append(errs, &Error{c.index, "match", fmt.Sprintf("%s can never be taken: %s takes all of its requests",
						c.name(), earlier.name())})
					break
				}
			}
		}
	}
	for _, routes := range h.paths {
		sortAndCheck(routes)
	}
	for _, s := range h.shapes {
		for _, routes := range s.byLiterals {
			sortAndCheck(routes)
		}
	}
	for _, routes := range h.prefixes {
		sortAndCheck(routes.segments)
		sortAndCheck(routes.textual)
	}
	slices.SortFunc(h.lengths, func(x, y int) int { return cmp.Compare(y, x) })
	slices.SortStableFunc(h.shapes, func(x, y *shape) int { return x.compare(y) })
	return errs
}

// name describes the route in error messages.
func (c *compiledRoute) name() string {
	if c.Name != "" {
		return fmt.Sprintf("%q (routes[%d])", c.Name, c.index)
	}
	return fmt.Sprintf("routes[%d]", c.index)
}

// covers reports whether c matches every request that d matches, provided that both have the same host and path.
func (c *compiledRoute) covers(d *compiledRoute) bool {
	if len(c.Methods) > 0 && (len(d.Methods) == 0 ||
		slices.ContainsFunc(d.Methods, func(m string) bool { return !slices.Contains(c.Methods, m) })) {
		return false
	}
	allImplied := func(conditions, others []Condition) bool {
		for _, m := range conditions {
			if !slices.ContainsFunc(others, m.impliedBy) {
				return false
			}
		}
		return true
	}
	return allImplied(c.Headers, d.Headers) && allImplied(c.Query, d.Query)
}

// impliedBy reports whether c holds for every request for which d holds. It may return false for conditions that it does not
// compare, such as negated ones.
func (c Condition) impliedBy(d Condition) bool {
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

// compare orders shapes by precedence: the shape with more literals first and, if equal, the shape with a literal in the
// first segment that differs.
func (s *shape) compare(other *shape) int {
	count := func(flags []bool) (n int) {
		for _, isLiteral := range flags {
			if isLiteral {
				n++
			}
		}
		return n
	}
	if c := cmp.Compare(count(other.literal), count(s.literal)); c != 0 {
		return c
	}
	for i := range min(len(s.literal), len(other.literal)) {
		if s.literal[i] != other.literal[i] {
			if s.literal[i] {
				return -1
			}
			return 1
		}
	}
	return 0
}

// literalsKey appends to b a slash for each segment, followed by the segment if it is a literal in the shape. It is the
// map key of shape.byLiterals.
func (s *shape) literalsKey(b []byte, segments []string) []byte {
	for i, segment := range segments {
		if b = append(b, '/'); s.literal[i] {
			b = append(b, segment...)
		}
	}
	return b
}
