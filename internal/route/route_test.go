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

func to(cluster string) []Weighted { return []Weighted{{cluster, 1}} }

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
		Route{Name: "rest", Clusters: to("rest")},
		Route{Name: "api", Prefix: "/api", Clusters: to("api")},
		Route{Name: "api-v2", Prefix: "/api/v2/", Clusters: to("api2")},
		Route{Name: "text", Prefix: "/files/a", Textual: true, Clusters: to("text")},
		Route{Name: "seat", Template: "/halls/{hall}/seats/{seat}", Clusters: to("seat"), Key: Key{Path: "seat"}},
		Route{Name: "main", Template: "/halls/main/seats/{seat}", Clusters: to("main")},
		Route{Name: "front", Template: "/halls/{hall}/seats/front", Clusters: to("front")},
		Route{Name: "exact", Path: "/halls/main/seats/1", Clusters: to("exact")},
		Route{Name: "hold", Template: "/halls/{hall}/seats/{seat}", Methods: []string{"POST"}, Class: "seat-hold",
			Clusters: to("hold"), Key: Key{Header: "idempotency-key"}},
		Route{Name: "canary", Prefix: "/api", Headers: []Condition{{Name: "x-canary", Op: Exact, Value: "1"}}, Clusters: to("canary")},
		Route{Name: "beta", Prefix: "/api", Query: []Condition{{Name: "beta"}}, Clusters: to("beta"), Key: Key{Query: "beta"}},
		Route{Name: "not", Prefix: "/not", Headers: []Condition{{Name: "x-a", Not: true}}, Clusters: to("not")},
		Route{Name: "wild", Hosts: []string{"*.Example.org"}, Prefix: "/api", Clusters: to("wild")},
		Route{Name: "wilder", Hosts: []string{"*.eu.example.org"}, Prefix: "/api", Clusters: to("wilder")},
		Route{Name: "host", Hosts: []string{"a.eu.example.org", "b.example.org."}, Path: "/api", Clusters: to("host")},
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
		{"GET", "x", "/halls/main/seats/front", "", "main", ""}, // literals earlier in the path win
		{"GET", "x", "/halls/old/seats/front", "", "front", ""},
		{"GET", "x", "/halls/old/seats/7", "", "seat", "7"},
		{"GET", "x", "/halls/old/seats/", "", "rest", ""},
		{"GET", "x", "/halls/old/seats/7/x", "", "rest", ""},
		{"POST", "x", "/halls/old/seats/7", "Idempotency-Key: k1", "hold", "k1"},
		{"GET", "x", "/api/x", "X-Canary: 1", "canary", ""},
		{"GET", "x", "/api/x", "X-Canary: 2", "api", ""},
		{"GET", "x", "/api/x?beta=b%20c", "", "beta", "b c"},
		{"GET", "x", "/api/x?beta", "", "beta", ""},
		{"GET", "x", "/api/x?beta=%zz", "", "api", ""}, // cannot be read: not there
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
		q := &Request{Host: c.host, Method: c.method, Path: u.EscapedPath(), RawQuery: u.RawQuery, Header: http.Header{}}
		if name, v, ok := strings.Cut(c.header, ": "); ok {
			q.Header.Set(name, v)
		}
		got, ok := table.Find(q, 0)
		if !ok || got.Cluster != c.want || got.Key != c.key {
			t.Errorf("%s %s%s %s: %q with key %q, want %q with %q", c.method, c.host, c.target, c.header, got.Cluster, got.Key, c.want, c.key)
		}
	}
}

func TestHostsExclude(t *testing.T) {
	routes := []Route{{Prefix: "/", Clusters: to("any")}, {Hosts: []string{"a"}, Path: "/x", Clusters: to("a")},
		{Hosts: []string{"*.b"}, Path: "/x", Clusters: to("b")}}
	table, err := Compile(routes, Options{HostsExclude: true})
	if err != nil {
		t.Fatal(err)
	}
	for host, want := range map[string]bool{"a": false, "c.b": false, "c": true} {
		if _, ok := table.Find(&Request{Host: host, Path: "/y"}, 0); ok != want {
			t.Errorf("%s: found %v", host, ok)
		}
	}
}

func TestInvalidRoutesAreRejected(t *testing.T) {
	many := func(n int, f func(i int, r *Route)) []Route {
		l := make([]Route, n)
		for i := range l {
			l[i].Clusters = to("c")
			f(i, &l[i])
		}
		return l
	}
	for name, c := range map[string]struct {
		routes []Route
		want   []string
	}{
		"no cluster":      {[]Route{{Prefix: "/"}}, []string{"routes[0].cluster: none is given"}},
		"no weight":       {[]Route{{Clusters: []Weighted{{"a", 0}}}}, []string{"routes[0].clusters: the weights add up to nothing"}},
		"two paths":       {[]Route{{Path: "/a", Prefix: "/b", Clusters: to("c")}}, []string{"only one of path, template and prefix"}},
		"relative":        {[]Route{{Path: "a", Clusters: to("c")}}, []string{`routes[0].path: "a" does not begin with /`}},
		"query in a path": {[]Route{{Path: "/a?b", Clusters: to("c")}}, []string{"holds more than a path"}},
		"half parameter":  {[]Route{{Template: "/a{b}", Clusters: to("c")}}, []string{"a parameter is a whole segment"}},
		"no parameter":    {[]Route{{Template: "/{}", Clusters: to("c")}}, []string{"is not a parameter"}},
		"twice":           {[]Route{{Template: "/{a}/{a}", Clusters: to("c")}}, []string{"stands twice"}},
		"key elsewhere":   {[]Route{{Template: "/{a}", Key: Key{Path: "b"}, Clusters: to("c")}}, []string{`no parameter "b"`}},
		"two keys":        {[]Route{{Key: Key{Header: "b", Query: "c"}, Clusters: to("c")}}, []string{"routes[0].key: only one"}},
		"star in a label": {[]Route{{Hosts: []string{"*a.b"}, Clusters: to("c")}}, []string{"routes[0].hosts:"}},
		"bad host":        {[]Route{{Hosts: []string{"a/b"}, Clusters: to("c")}}, []string{"is not a host"}},
		"lower method":    {[]Route{{Methods: []string{"get"}, Clusters: to("c")}}, []string{"is not a method"}},
		"nameless":        {[]Route{{Headers: []Condition{{}}, Query: []Condition{{}}, Clusters: to("c")}}, []string{"routes[0].headers: one", "routes[0].query: one"}},
		"all at once":     {[]Route{{Path: "a"}, {Clusters: to("c")}, {Path: "b"}}, []string{"routes[0].cluster", "routes[0].path", "routes[2].path"}},
		"the same twice": {[]Route{{Name: "one", Prefix: "/a", Clusters: to("c")}, {Name: "two", Prefix: "/a/", Clusters: to("d")}},
			[]string{`routes[1].match: "two" (routes[1]) can never be taken: "one" (routes[0]) takes all that it would`}},
		"templates alike": {[]Route{{Template: "/{a}/x", Clusters: to("c")}, {Template: "/{b}/x", Clusters: to("c")}}, []string{"routes[1].match"}},
		"methods within": {[]Route{{Path: "/a", Methods: []string{"GET", "PUT"}, Clusters: to("c")}, {Path: "/a", Methods: []string{"GET"}, Clusters: to("c")}},
			[]string{"routes[1].match"}},
		"condition within": {[]Route{{Path: "/a", Headers: []Condition{{Name: "x-b", Op: Prefix, Value: "v"}}, Clusters: to("c")},
			{Path: "/a", Headers: []Condition{{Name: "X-B", Op: Exact, Value: "vw"}}, Clusters: to("c")}}, []string{"routes[1].match"}},
		"alternatives": {many(MaxAlternatives+1, func(i int, r *Route) {
			r.Path, r.Query = "/a", []Condition{{Name: fmt.Sprint(i)}}
		}), []string{"65 routes have this host and path"}},
		"prefix lengths": {many(MaxPrefixes+1, func(i int, r *Route) { r.Prefix = "/" + strings.Repeat("a", i+1) }), []string{"more than 64 lengths"}},
		"shapes": {many(MaxShapes+1, func(i int, r *Route) {
			for bit := range 6 {
				r.Template += []string{"/a", fmt.Sprintf("/{p%d}", bit)}[i>>bit&1]
			}
		}), []string{"in more than 32 ways"}},
		"segments":  {many(1, func(i int, r *Route) { r.Template = strings.Repeat("/a", MaxSegments+1) }), []string{"33 segments, 32 at most"}},
		"wildcards": {many(MaxWildcards+1, func(i int, r *Route) { r.Hosts = []string{"*" + strings.Repeat(".a", i+1)} }), []string{"9 wildcards are nested"}},
		"conditions": {many(1, func(i int, r *Route) { r.Query = make([]Condition, MaxConditions+1) }),
			[]string{"17 conditions"}},
	} {
		_, err := Compile(c.routes, Options{})
		if err == nil {
			t.Errorf("%s: accepted", name)
			continue
		}
		for _, w := range c.want {
			if !strings.Contains(err.Error(), w) {
				t.Errorf("%s: %q lacks %q", name, err, w)
			}
		}
	}
	// Where both can win, both are kept.
	compile(t, Route{Path: "/a", Methods: []string{"GET"}, Clusters: to("c")}, Route{Path: "/a", Methods: []string{"GET", "PUT"}, Clusters: to("c")},
		Route{Path: "/a", Headers: []Condition{{Name: "b"}}, Clusters: to("c")}, Route{Path: "/a", Headers: []Condition{{Name: "b", Not: true}}, Clusters: to("c")},
		Route{Path: "/a", Clusters: to("c")})
}

func TestWeights(t *testing.T) {
	table := compile(t, Route{Clusters: []Weighted{{"a", 1}, {"b", 0}, {"c", 3}}})
	got := map[string]int{}
	for i := range uint64(400) {
		r, _ := table.Find(&Request{Path: "/"}, i)
		got[r.Cluster]++
	}
	if got["a"] != 100 || got["b"] != 0 || got["c"] != 300 {
		t.Errorf("%v", got)
	}
	if l := table.Clusters(); !slices.Equal(l, []string{"a", "b", "c"}) || table.Len() != 1 {
		t.Errorf("%v", l)
	}
}

// plain is the order of precedence as it is written down, route by route.
func plain(routes []Route, q *Request) int {
	type rank struct{ host, kind, literals, length, conditions, index int }
	best, found := rank{}, -1
	for i, r := range routes {
		k := rank{index: i}
		host := -1
		for _, h := range append(slices.Clone(r.Hosts), map[bool]string{true: "*"}[len(r.Hosts) == 0]) {
			switch {
			case h == "":
			case h == "*":
				host = max(host, 0)
			case h == q.Host:
				host = max(host, 1000)
			case h[0] == '*' && strings.HasSuffix(q.Host, h[1:]) && len(q.Host) > len(h)-1:
				host = max(host, len(h))
			}
		}
		if host < 0 {
			continue
		}
		k.host = -host
		switch {
		case r.Path != "":
			if r.Path != q.Path {
				continue
			}
			k.kind = 0
		case r.Template != "":
			want, got := strings.Split(r.Template, "/"), strings.Split(q.Path, "/")
			ok := len(want) == len(got)
			bits := 0
			for j := 1; ok && j < len(want); j++ {
				if _, is := parameter(want[j]); is {
					ok = got[j] != ""
				} else {
					ok = want[j] == got[j]
					k.literals--
					bits |= 1 << (30 - j)
				}
			}
			if !ok {
				continue
			}
			k.kind, k.length = 1, -bits
		default:
			p := strings.TrimSuffix(r.Prefix, "/")
			if q.Path != p && !strings.HasPrefix(q.Path, p+"/") {
				continue
			}
			k.kind, k.length = 2, -len(p)
		}
		if len(r.Methods) > 0 {
			if !slices.Contains(r.Methods, q.Method) {
				continue
			}
			k.conditions--
		}
		better := cmp.Or(cmp.Compare(k.host, best.host), cmp.Compare(k.kind, best.kind), cmp.Compare(k.literals, best.literals),
			cmp.Compare(k.length, best.length), cmp.Compare(k.conditions, best.conditions), cmp.Compare(k.index, best.index))
		if found < 0 || better < 0 {
			best, found = k, i
		}
	}
	return found
}

// Whatever the routes, the table finds what going through all of them by the written order finds.
func TestFindFollowsPrecedence(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "b", "{p}", "{q}"})
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "n")
		var routes []Route
		for range n {
			r := Route{Clusters: to(fmt.Sprint(len(routes)))}
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
			if _, err := Compile(routes, Options{}); err != nil { // shadowed
				routes = routes[:len(routes)-1]
			}
		}
		table, err := Compile(routes, Options{})
		if err != nil {
			t.Skip()
		}
		for range 20 {
			q := &Request{Host: rapid.SampledFrom([]string{"x.y.z", "y.z", "w.z", "z"}).Draw(t, "host"),
				Method: rapid.SampledFrom([]string{"GET", "PUT", "POST"}).Draw(t, "method"),
				Path:   "/" + strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "p", "q", ""}), 1, 4).Draw(t, "path"), "/")}
			want := plain(routes, q)
			got, ok := table.Find(q, 0)
			if ok != (want >= 0) || ok && got.Cluster != fmt.Sprint(want) {
				t.Fatalf("%+v: %v %q, want %d\n%+v", q, ok, got.Cluster, want, routes)
			}
		}
	})
}

// No request, however odd, upsets a table; no table, however odd, upsets Compile.
func FuzzRoutes(f *testing.F) {
	f.Add("a.b", "*.b", "/a/{b}", "/a/c", "x=1&x=%zz")
	f.Add("", "*", "/", "", "")
	f.Add("[::1]:80", "::1", "/{a}/{b}", "//", "&&=")
	f.Fuzz(func(t *testing.T, host, pattern, template, path, query string) {
		table, err := Compile([]Route{{Hosts: []string{pattern}, Template: template, Clusters: to("t"), Query: []Condition{{Name: "x"}}},
			{Prefix: template, Clusters: to("p"), Key: Key{Query: "x"}}}, Options{})
		if err != nil {
			var e *Error
			if !errors.As(err, &e) {
				t.Fatalf("%v names no route", err)
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
			r := Route{Clusters: to("c")}
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
			q    Request
		}{
			{"exact", Request{Host: "x", Path: "/exact/7"}},
			{"template", Request{Host: "x", Path: "/halls5/a/seats"}},
			{"prefix", Request{Host: "x", Path: "/maps6/a/b/c"}},
			{"none", Request{Host: "a.b.c.d.example.org", Path: "/a/b/c/d/e/f/g/h"}},
		} {
			b.Run(fmt.Sprintf("%d/%s", n, c.name), func(b *testing.B) {
				b.ReportAllocs()
				for range b.N {
					table.Find(&c.q, 1)
				}
			})
		}
	}
}
