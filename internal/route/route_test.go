package route

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func toCluster(cluster string) []Weighted { return []Weighted{{cluster, 1}} }

func compile(t testing.TB, routes ...Route) *Table {
	t.Helper()
	table, err := Compile(routes, Options{})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func TestPrecedence(t *testing.T) {
	table := compile(t,
		Route{Name: "rest", Clusters: toCluster("rest")},
		Route{Name: "api", Prefix: "/api", Clusters: toCluster("api")},
		Route{Name: "api-v2", Prefix: "/api/v2/", Clusters: toCluster("api2")},
		Route{Name: "text", Prefix: "/files/a", PrefixWithinSegment: true, Clusters: toCluster("text")},
		Route{Name: "seat", Template: "/halls/{hall}/seats/{seat}", Clusters: toCluster("seat"), Key: Key{Path: "seat"}},
		Route{Name: "main", Template: "/halls/main/seats/{seat}", Clusters: toCluster("main")},
		Route{Name: "front", Template: "/halls/{hall}/seats/front", Clusters: toCluster("front")},
		Route{Name: "exact", Path: "/halls/main/seats/1", Clusters: toCluster("exact")},
		Route{Name: "hold", Template: "/halls/{hall}/seats/{seat}", Methods: []string{"POST"}, Class: "seat-hold",
			Clusters: toCluster("hold"), Key: Key{Header: "idempotency-key"}},
		Route{Name: "canary", Prefix: "/api", Headers: []Condition{{Name: "x-canary", Op: Exact, Value: "1"}}, Clusters: toCluster("canary")},
		Route{Name: "beta", Prefix: "/api", Query: []Condition{{Name: "beta"}}, Clusters: toCluster("beta"), Key: Key{Query: "beta"}},
		Route{Name: "not", Prefix: "/not", Headers: []Condition{{Name: "x-a", Not: true}}, Clusters: toCluster("not")},
		Route{Name: "wild", Hosts: []string{"*.Example.org"}, Prefix: "/api", Clusters: toCluster("wild")},
		Route{Name: "wilder", Hosts: []string{"*.eu.example.org"}, Prefix: "/api", Clusters: toCluster("wilder")},
		Route{Name: "host", Hosts: []string{"a.eu.example.org", "b.example.org."}, Path: "/api", Clusters: toCluster("host")},
	)
	for _, c := range []struct{ method, host, target, header, want, key string }{
		{"GET", "x", "/", "", "rest", ""},
		{"GET", "x", "/apix", "", "rest", ""},
		{"GET", "x", "/api", "", "api", ""},
		{"GET", "x", "/api/", "", "api", ""},
		{"GET", "x", "/api/v2", "", "api2", ""},
		{"GET", "x", "/api/v2/x", "", "api2", ""},
		{"GET", "x", "/api/v20", "", "api", ""},
		{"GET", "x", "/files/abc", "", "text", ""},
		{"GET", "x", "/files/b", "", "rest", ""},
		{"GET", "x", "/halls/main/seats/1", "", "exact", ""},
		{"GET", "x", "/halls/main/seats/front", "", "main", ""}, // a literal in an earlier segment has precedence
		{"GET", "x", "/halls/old/seats/front", "", "front", ""},
		{"GET", "x", "/halls/old/seats/7", "", "seat", "7"},
		{"GET", "x", "/halls/old/seats/", "", "rest", ""},
		{"GET", "x", "/halls/old/seats/7/x", "", "rest", ""},
		{"POST", "x", "/halls/old/seats/7", "Idempotency-Key: k1", "hold", "k1"},
		{"GET", "x", "/api/x", "X-Canary: 1", "canary", ""},
		{"GET", "x", "/api/x", "X-Canary: 2", "api", ""},
		{"GET", "x", "/api/x?beta=b%20c", "", "beta", "b c"},
		{"GET", "x", "/api/x?beta", "", "beta", ""},
		{"GET", "x", "/api/x?beta=%zz", "", "api", ""}, // a malformed parameter counts as absent
		{"GET", "x", "/not", "", "not", ""},
		{"GET", "x", "/not", "X-A: ", "rest", ""},
		{"GET", "b.example.org", "/api", "", "host", ""},
		{"GET", "b.example.org:8080", "/api/x", "", "wild", ""},
		{"GET", "B.EU.example.org.", "/api/x", "", "wilder", ""},
		{"GET", "a.eu.example.org", "/api", "", "host", ""},
		{"GET", "a.eu.example.org", "/api/x", "", "wilder", ""},
		{"GET", "a.eu.example.org", "/else", "", "rest", ""},
		{"GET", "example.org", "/api", "", "api", ""},
		{"GET", "[::1]:80", "/api", "", "api", ""},
		{"GET", strings.Repeat("a.", 400), "/api", "", "api", ""},
		{"GET", "x", "/halls/" + strings.Repeat("a/", 500), "", "rest", ""},
	} {
		u, err := url.ParseRequestURI(c.target)
		if err != nil {
			t.Fatal(err)
		}
		req := &Request{Host: c.host, Method: c.method, Path: u.EscapedPath(), RawQuery: u.RawQuery, Header: http.Header{}}
		if name, v, ok := strings.Cut(c.header, ": "); ok {
			req.Header.Set(name, v)
		}
		got, ok := table.Find(req, 0)
		if !ok || got.Cluster != c.want || got.Key != c.key {
			t.Errorf("Find %s %s%s %s: got cluster %q with key %q, want %q with %q", c.method, c.host, c.target, c.header, got.Cluster, got.Key, c.want, c.key)
		}
	}
}

func TestHostsExclude(t *testing.T) {
	routes := []Route{{Prefix: "/", Clusters: toCluster("any")}, {Hosts: []string{"a"}, Path: "/x", Clusters: toCluster("a")},
		{Hosts: []string{"*.b"}, Path: "/x", Clusters: toCluster("b")}}
	table, err := Compile(routes, Options{MostSpecificHostOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	for host, want := range map[string]bool{"a": false, "c.b": false, "c": true} {
		if _, ok := table.Find(&Request{Host: host, Path: "/y"}, 0); ok != want {
			t.Errorf("Find for host %s: got route %v, want %v", host, ok, want)
		}
	}
}

func TestInvalidRoutesAreRejected(t *testing.T) {
	makeRoutes := func(n int, f func(i int, r *Route)) []Route {
		l := make([]Route, n)
		for i := range l {
			l[i].Clusters = toCluster("c")
			f(i, &l[i])
		}
		return l
	}
	for name, c := range map[string]struct {
		routes []Route
		want   []string
	}{
		"no cluster":        {[]Route{{Prefix: "/"}}, []string{"routes[0].cluster: at least one cluster is required"}},
		"no weight":         {[]Route{{Clusters: []Weighted{{"a", 0}}}}, []string{"routes[0].clusters: the weights add up to nothing"}},
		"two paths":         {[]Route{{Path: "/a", Prefix: "/b", Clusters: toCluster("c")}}, []string{"only one of path, template and prefix"}},
		"relative":          {[]Route{{Path: "a", Clusters: toCluster("c")}}, []string{`routes[0].path: "a" does not begin with /`}},
		"query in a path":   {[]Route{{Path: "/a?b", Clusters: toCluster("c")}}, []string{"must not contain ? or #"}},
		"partial parameter": {[]Route{{Template: "/a{b}", Clusters: toCluster("c")}}, []string{"a parameter must be a whole segment"}},
		"no parameter":      {[]Route{{Template: "/{}", Clusters: toCluster("c")}}, []string{"is not a valid parameter"}},
		"twice":             {[]Route{{Template: "/{a}/{a}", Clusters: toCluster("c")}}, []string{"duplicate parameter \"{a}\""}},
		"key elsewhere":     {[]Route{{Template: "/{a}", Key: Key{Path: "b"}, Clusters: toCluster("c")}}, []string{`no parameter "b"`}},
		"two keys":          {[]Route{{Key: Key{Header: "b", Query: "c"}, Clusters: toCluster("c")}}, []string{"routes[0].key: only one"}},
		"star in a label":   {[]Route{{Hosts: []string{"*a.b"}, Clusters: toCluster("c")}}, []string{"routes[0].hosts:"}},
		"bad host":          {[]Route{{Hosts: []string{"a/b"}, Clusters: toCluster("c")}}, []string{"is not a host"}},
		"lower-case method": {[]Route{{Methods: []string{"get"}, Clusters: toCluster("c")}}, []string{"method must be non-empty and in upper case, got \"get\""}},
		"nameless":          {[]Route{{Headers: []Condition{{}}, Query: []Condition{{}}, Clusters: toCluster("c")}}, []string{"routes[0].headers: a header condition has no name", "routes[0].query: a query condition has no name"}},
		"all at once":       {[]Route{{Path: "a"}, {Clusters: toCluster("c")}, {Path: "b"}}, []string{"routes[0].cluster", "routes[0].path", "routes[2].path"}},
		"same route twice": {[]Route{{Name: "one", Prefix: "/a", Clusters: toCluster("c")}, {Name: "two", Prefix: "/a/", Clusters: toCluster("d")}},
			[]string{`routes[1].match: "two" (routes[1]) can never be taken: "one" (routes[0]) takes all of its requests`}},
		"templates of one shape": {[]Route{{Template: "/{a}/x", Clusters: toCluster("c")}, {Template: "/{b}/x", Clusters: toCluster("c")}}, []string{"routes[1].match"}},
		"methods are a subset": {[]Route{{Path: "/a", Methods: []string{"GET", "PUT"}, Clusters: toCluster("c")}, {Path: "/a", Methods: []string{"GET"}, Clusters: toCluster("c")}},
			[]string{"routes[1].match"}},
		"condition is implied": {[]Route{{Path: "/a", Headers: []Condition{{Name: "x-b", Op: Prefix, Value: "v"}}, Clusters: toCluster("c")},
			{Path: "/a", Headers: []Condition{{Name: "X-B", Op: Exact, Value: "vw"}}, Clusters: toCluster("c")}}, []string{"routes[1].match"}},
		"alternatives": {makeRoutes(MaxAlternatives+1, func(i int, r *Route) {
			r.Path, r.Query = "/a", []Condition{{Name: fmt.Sprint(i)}}
		}), []string{"65 routes have this host and path"}},
		"prefix lengths": {makeRoutes(MaxPrefixes+1, func(i int, r *Route) { r.Prefix = "/" + strings.Repeat("a", i+1) }), []string{"at most 64 distinct lengths"}},
		"shapes": {makeRoutes(MaxShapes+1, func(i int, r *Route) {
			for bit := range 6 {
				r.Template += []string{"/a", fmt.Sprintf("/{p%d}", bit)}[i>>bit&1]
			}
		}), []string{"at most 32 distinct patterns"}},
		"segments":  {makeRoutes(1, func(i int, r *Route) { r.Template = strings.Repeat("/a", MaxSegments+1) }), []string{"got 33 segments, want at most 32"}},
		"wildcards": {makeRoutes(MaxWildcards+1, func(i int, r *Route) { r.Hosts = []string{"*" + strings.Repeat(".a", i+1)} }), []string{"at most 8 wildcard hosts may be nested, got 9"}},
		"conditions": {makeRoutes(1, func(i int, r *Route) { r.Query = make([]Condition, MaxConditions+1) }),
			[]string{"got 17 conditions, want at most 16"}},
	} {
		_, err := Compile(c.routes, Options{})
		if err == nil {
			t.Errorf("Compile with %s: got no error, want one containing %q", name, c.want)
			continue
		}
		for _, w := range c.want {
			if !strings.Contains(err.Error(), w) {
				t.Errorf("Compile with %s: got error %q, want it to contain %q", name, err, w)
			}
		}
	}
	// Routes that each match some requests that the others do not are all accepted.
	compile(t, Route{Path: "/a", Methods: []string{"GET"}, Clusters: toCluster("c")}, Route{Path: "/a", Methods: []string{"GET", "PUT"}, Clusters: toCluster("c")},
		Route{Path: "/a", Headers: []Condition{{Name: "b"}}, Clusters: toCluster("c")}, Route{Path: "/a", Headers: []Condition{{Name: "b", Not: true}}, Clusters: toCluster("c")},
		Route{Path: "/a", Clusters: toCluster("c")})
}

func TestWeights(t *testing.T) {
	table := compile(t, Route{Clusters: []Weighted{{"a", 1}, {"b", 0}, {"c", 3}}})
	got := map[string]int{}
	for i := range uint64(400) {
		r, _ := table.Find(&Request{Path: "/"}, i)
		got[r.Cluster]++
	}
	if got["a"] != 100 || got["b"] != 0 || got["c"] != 300 {
		t.Errorf("400 requests by cluster: got %v, want 100 to a, none to b and 300 to c", got)
	}
	if l := table.Clusters(); !slices.Equal(l, []string{"a", "b", "c"}) || table.Len() != 1 {
		t.Errorf("got clusters %v of %d routes, want [a b c] of 1", l, table.Len())
	}
}

// findByScan is a reference implementation of the documented precedence that compares all routes. It returns the index of
// the route, or -1.
func findByScan(routes []Route, req *Request) int {
	type rank struct{ host, kind, literals, length, conditions, index int }
	best, found := rank{}, -1
	for i, r := range routes {
		candidate := rank{index: i}
		host := -1
		for _, h := range append(slices.Clone(r.Hosts), map[bool]string{true: "*"}[len(r.Hosts) == 0]) {
			switch {
			case h == "":
			case h == "*":
				host = max(host, 0)
			case h == req.Host:
				host = max(host, 1000)
			case h[0] == '*' && strings.HasSuffix(req.Host, h[1:]) && len(req.Host) > len(h)-1:
				host = max(host, len(h))
			}
		}
		if host < 0 {
			continue
		}
		candidate.host = -host
		switch {
		case r.Path != "":
			if r.Path != req.Path {
				continue
			}
			candidate.kind = 0
		case r.Template != "":
			templateSegments, pathSegments := strings.Split(r.Template, "/"), strings.Split(req.Path, "/")
			ok := len(templateSegments) == len(pathSegments)
			literalBits := 0
			for j := 1; ok && j < len(templateSegments); j++ {
				if _, isParam := parseParameter(templateSegments[j]); isParam {
					ok = pathSegments[j] != ""
				} else {
					ok = templateSegments[j] == pathSegments[j]
					candidate.literals--
					literalBits |= 1 << (30 - j)
				}
			}
			if !ok {
				continue
			}
			candidate.kind, candidate.length = 1, -literalBits
		default:
			p := strings.TrimSuffix(r.Prefix, "/")
			if req.Path != p && !strings.HasPrefix(req.Path, p+"/") {
				continue
			}
			candidate.kind, candidate.length = 2, -len(p)
		}
		if len(r.Methods) > 0 {
			if !slices.Contains(r.Methods, req.Method) {
				continue
			}
			candidate.conditions--
		}
		better := cmp.Or(cmp.Compare(candidate.host, best.host), cmp.Compare(candidate.kind, best.kind), cmp.Compare(candidate.literals, best.literals),
			cmp.Compare(candidate.length, best.length), cmp.Compare(candidate.conditions, best.conditions), cmp.Compare(candidate.index, best.index))
		if found < 0 || better < 0 {
			best, found = candidate, i
		}
	}
	return found
}

// For any routes, Find returns the same route as the reference implementation.
func TestFindFollowsPrecedence(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "b", "{p}", "{q}"})
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "n")
		var routes []Route
		for range n {
			r := Route{Clusters: toCluster(fmt.Sprint(len(routes)))}
			r.Hosts = rapid.SliceOfN(rapid.SampledFrom([]string{"*", "x.y.z", "*.y.z", "*.z"}), 0, 2).Draw(t, "hosts")
			parts := rapid.SliceOfNDistinct(segment, 1, 3, rapid.ID).Draw(t, "path")
			path := "/" + strings.Join(parts, "/")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				r.Path = strings.NewReplacer("{", "", "}", "").Replace(path)
			case 1:
				r.Template = path
			case 2:
				r.Prefix = strings.NewReplacer("{", "", "}", "").Replace(path)
			}
			r.Methods = rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"GET", "PUT"}), 0, 2, rapid.ID).Draw(t, "methods")
			routes = append(routes, r)
			if _, err := Compile(routes, Options{}); err != nil { // can never be taken
				routes = routes[:len(routes)-1]
			}
		}
		table, err := Compile(routes, Options{})
		if err != nil {
			t.Skip()
		}
		for range 20 {
			req := &Request{Host: rapid.SampledFrom([]string{"x.y.z", "y.z", "w.z", "z"}).Draw(t, "host"),
				Method: rapid.SampledFrom([]string{"GET", "PUT", "POST"}).Draw(t, "method"),
				Path:   "/" + strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "p", "q", ""}), 1, 4).Draw(t, "path"), "/")}
			want := findByScan(routes, req)
			got, ok := table.Find(req, 0)
			if ok != (want >= 0) || ok && got.Cluster != fmt.Sprint(want) {
				t.Fatalf("Find %+v: got %v, cluster %q, want route %d of\n%+v", req, ok, got.Cluster, want, routes)
			}
		}
	})
}

// Compile and Find do not panic for any routes and requests, and errors of Compile name a route.
func FuzzRoutes(f *testing.F) {
	f.Add("a.b", "*.b", "/a/{b}", "/a/c", "x=1&x=%zz")
	f.Add("", "*", "/", "", "")
	f.Add("[::1]:80", "::1", "/{a}/{b}", "//", "&&=")
	f.Fuzz(func(t *testing.T, host, pattern, template, path, query string) {
		table, err := Compile([]Route{{Hosts: []string{pattern}, Template: template, Clusters: toCluster("t"), Query: []Condition{{Name: "x"}}},
			{Prefix: template, Clusters: toCluster("p"), Key: Key{Query: "x"}}}, Options{})
		if err != nil {
			var e *Error
			if !errors.As(err, &e) {
				t.Fatalf("Compile: got error %v without a route, want an *Error", err)
			}
			return
		}
		table.Find(&Request{Host: host, Path: path, RawQuery: query}, 1)
	})
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 1000, 100000} {
		routes := make([]Route, 0, n)
		for i := range n {
			r := Route{Clusters: toCluster("c")}
			switch i % 4 {
			case 0:
				r.Hosts, r.Path = []string{fmt.Sprintf("h%d.example.org", i)}, "/seats"
			case 1:
				r.Template = fmt.Sprintf("/halls%d/{hall}/seats", i)
			case 2:
				r.Prefix = fmt.Sprintf("/maps%d", i)
			case 3:
				r.Path = fmt.Sprintf("/exact/%d", i)
			}
			routes = append(routes, r)
		}
		table := compile(b, routes...)
		for _, c := range []struct {
			name string
			req  Request
		}{
			{"exact", Request{Host: "x", Path: "/exact/7"}},
			{"template", Request{Host: "x", Path: "/halls5/a/seats"}},
			{"prefix", Request{Host: "x", Path: "/maps6/a/b/c"}},
			{"none", Request{Host: "a.b.c.d.example.org", Path: "/a/b/c/d/e/f/g/h"}},
		} {
			b.Run(fmt.Sprintf("%d/%s", n, c.name), func(b *testing.B) {
				b.ReportAllocs()
				for range b.N {
					table.Find(&c.req, 1)
				}
			})
		}
	}
}
