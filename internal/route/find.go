package route

import (
	"net/url"
	"slices"
	"strings"
)

// Find returns the result for the first route that matches a request, or false if there is none. random selects among
// weighted clusters: any value is valid, and uniformly distributed values give each cluster its share.
func (t *Table) Find(req *Request, random uint64) (Result, bool) {
	name := req.Host
	if i := strings.LastIndexByte(name, ':'); i >= 0 && !strings.HasSuffix(name, "]") {
		name = name[:i]
	}
	name = strings.ToLower(strings.TrimSuffix(name, "."))
	f := finder{req: req, random: random}
	if len(name) <= maxHostLength {
		if h := t.exact[name]; h != nil {
			if r, ok := f.findInHost(h); ok || t.options.MostSpecificHostOnly {
				return r, ok
			}
		}
		for i := strings.IndexByte(name, '.'); i >= 0 && len(t.wildcards) > 0; {
			if h := t.wildcards[name[i:]]; h != nil {
				if r, ok := f.findInHost(h); ok || t.options.MostSpecificHostOnly {
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
		return f.findInHost(t.any)
	}
	return Result{}, false
}

// finder is the state of one lookup. It splits the path and parses the query at most once, when first needed.
type finder struct {
	req      *Request
	random   uint64
	segments []string // of the path
	split    bool     // splitPath was called
	query    url.Values
	parsed   bool      // query is set
	buf      [512]byte // for literalsKey
}

// findInHost returns the result for the first route of a host that matches.
func (f *finder) findInHost(h *host) (Result, bool) {
	if r, ok := f.firstMatch(h.paths[f.req.Path]); ok {
		return r, true
	}
	if len(h.shapes) > 0 {
		f.splitPath()
		for _, s := range h.shapes {
			if len(s.literal) != len(f.segments) || f.emptyParameter(s) {
				continue
			}
			if r, ok := f.firstMatch(s.byLiterals[string(s.literalsKey(f.buf[:0], f.segments))]); ok {
				return r, true
			}
		}
	}
	path := f.req.Path
	for _, n := range h.lengths {
		if n > len(path) {
			continue
		}
		routes := h.prefixes[path[:n]]
		if n == len(path) || path[n] == '/' || n == 0 {
			if r, ok := f.firstMatch(routes.segments); ok {
				return r, true
			}
		}
		if r, ok := f.firstMatch(routes.textual); ok {
			return r, true
		}
	}
	return Result{}, false
}

// splitPath splits the path into segments. A path with more segments than any template may have is not split, as no template
// can match it.
func (f *finder) splitPath() {
	if f.split {
		return
	}
	f.split = true
	n := strings.Count(f.req.Path, "/")
	if n > MaxSegments || f.req.Path == "" {
		return
	}
	list := make([]string, 0, n)
	for s := range strings.SplitSeq(f.req.Path[1:], "/") {
		list = append(list, s)
	}
	f.segments = list
}

// emptyParameter reports whether a segment at a parameter's position is empty.
func (f *finder) emptyParameter(s *shape) bool {
	for i, isLiteral := range s.literal {
		if !isLiteral && f.segments[i] == "" {
			return true
		}
	}
	return false
}

// firstMatch returns the result for the first route whose methods and conditions match.
func (f *finder) firstMatch(routes []*compiledRoute) (Result, bool) {
	for _, c := range routes {
		if len(c.Methods) > 0 && !slices.Contains(c.Methods, f.req.Method) || !f.matchesHeaders(c) || !f.matchesQuery(c) {
			continue
		}
		return Result{Route: c.Route, Cluster: c.chooseCluster(f.random), Class: c.Class, Key: f.keyValue(c, c.Key), Tenant: f.keyValue(c, c.Tenant)}, true
	}
	return Result{}, false
}

func (f *finder) matchesHeaders(c *compiledRoute) bool {
	for _, d := range c.Headers {
		v, ok := f.req.Header[d.Name]
		if len(v) == 0 {
			v, ok = []string{""}, false
		}
		if d.holds(v[0], ok) == d.Not {
			return false
		}
	}
	return true
}

func (f *finder) matchesQuery(c *compiledRoute) bool {
	for _, d := range c.Query {
		v, ok := f.queryParam(d.Name)
		if d.holds(v, ok) == d.Not {
			return false
		}
	}
	return true
}

// queryParam returns the first value of a query parameter and whether the parameter exists.
func (f *finder) queryParam(name string) (string, bool) {
	if !f.parsed {
		f.parsed = true
		if f.req.RawQuery != "" {
			f.query, _ = url.ParseQuery(f.req.RawQuery) // malformed parameters are treated as absent
		}
	}
	v, ok := f.query[name]
	if !ok || len(v) == 0 {
		return "", false
	}
	return v[0], true
}

// holds compares the value of a header or query parameter, without regard to Not.
func (c Condition) holds(value string, present bool) bool {
	if !present {
		return false
	}
	switch c.Op {
	case Exact:
		return value == c.Value
	case Prefix:
		return strings.HasPrefix(value, c.Value)
	case Suffix:
		return strings.HasSuffix(value, c.Value)
	case Contains:
		return strings.Contains(value, c.Value)
	}
	return true
}

// chooseCluster selects a cluster by weight.
func (c *compiledRoute) chooseCluster(random uint64) string {
	if len(c.Clusters) > 1 {
		offset := random % c.totalWeight
		for _, w := range c.Clusters {
			if offset < uint64(w.Weight) {
				return w.Cluster
			}
			offset -= uint64(w.Weight)
		}
	}
	return c.Clusters[0].Cluster
}

// keyValue returns the value that k refers to, or an empty string.
func (f *finder) keyValue(c *compiledRoute, k Key) string {
	switch {
	case k.Header != "":
		return f.req.Header.Get(k.Header)
	case k.Query != "":
		v, _ := f.queryParam(k.Query)
		return v
	case k.Path != "":
		f.splitPath()
		return f.segments[slices.Index(c.paramNames, k.Path)]
	}
	return ""
}
