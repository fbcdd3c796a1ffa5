package route

import (
	"net/url"
	"slices"
	"strings"
)

// Find returns the route of a request. random chooses among weighted clusters: any value is valid, and an even spread of
// values gives each cluster its share.
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

// finder is the state of one lookup; what it derives from the request it derives once.
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
