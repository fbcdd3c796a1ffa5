package route

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
)

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

// chain returns the wildcards that match names below suffix, the longest first.
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

// report records what is wrong with a field of the route that is being compiled.
type report func(field, reason string, args ...any)

// check reports all that is wrong with the route, and fills in what is derived from it.
func (c *compiled) check(bad report) {
	c.checkPath(bad)
	c.checkTemplate(bad)
	c.checkConditions(bad)
	c.checkClusters(bad)
	for field, k := range map[string]*Key{"key": &c.Key, "tenant": &c.Tenant} {
		c.checkKey(field, k, bad)
	}
}

func (c *compiled) checkPath(bad report) {
	set := 0
	for field, v := range map[string]string{"path": c.Path, "template": c.Template, "prefix": c.Prefix} {
		if v == "" {
			continue
		}
		set++
		if v[0] != '/' {
			bad(field, "%q does not begin with /", v)
		}
		if strings.ContainsAny(v, "?#") {
			bad(field, "%q holds more than a path", v)
		}
	}
	if set > 1 {
		bad("path", "only one of path, template and prefix can be set")
	}
}

// checkTemplate fills in params: a name for each parameter, and nothing for a literal segment.
func (c *compiled) checkTemplate(bad report) {
	if c.Template == "" {
		return
	}
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
		c.params = append(c.params, name)
	}
}

func (c *compiled) checkConditions(bad report) {
	for _, m := range c.Methods {
		if m == "" || m != strings.ToUpper(m) {
			bad("methods", "%q is not a method", m)
		}
	}
	if n := c.conditions(); n > MaxConditions {
		bad("headers", "%d conditions, %d at most", n, MaxConditions)
	}
	for i := range c.Headers {
		c.Headers[i].Name = http.CanonicalHeaderKey(c.Headers[i].Name)
		if c.Headers[i].Name == "" {
			bad("headers", "one has no name")
		}
	}
	for _, q := range c.Query {
		if q.Name == "" {
			bad("query", "one has no name")
		}
	}
}

func (c *compiled) checkClusters(bad report) {
	if len(c.Clusters) == 0 {
		bad("cluster", "none is given")
		return
	}
	for _, w := range c.Clusters {
		c.total += uint64(w.Weight)
		if w.Cluster == "" {
			bad("clusters", "one has no name")
		}
	}
	if c.total == 0 {
		bad("clusters", "the weights add up to nothing")
	}
}

func (c *compiled) checkKey(field string, k *Key, bad report) {
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

// parameter returns the name of a template's parameter segment; is is false, and the name empty, for a literal one.
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

// finish sorts the routes of a host and returns an error for each that another one always precedes.
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

// covers reports whether c matches every request that d matches, if both have the same host and path.
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

// follows reports whether c holds wherever d does.
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
