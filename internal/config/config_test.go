package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const whole = `zone: sapporo
gateway: {number: 1, of: 3}
listeners:
  - {name: web, address: "127.0.0.1:8080"}
admin: {address: "127.0.0.1:0"}
log: {format: json, level: debug}
limits:
  descriptors: 512
  memory: 32MiB
  requests: 1000
  body: 64KiB
  drain: 5s
  per_cluster: {guaranteed: {descriptors: 16, memory: 1MiB, requests: 10}, most: {requests: 500}}
classes:
  - {name: seat-hold, wanted: 150ms, deadline: 1s, worth: 5, effect: keyed, group: zone, window: 4s}
xds:
  servers: ["127.0.0.1:18000"]
  variant: delta
  node: {id: gw-1}
clusters:
  - name: seats
    endpoints:
      - {address: "127.0.0.1:9001", zone: sapporo, weight: 2.5, cell: 1, kind: m1}
      - {address: "127.0.0.1:9002", zone: ishikari, priority: 1}
    limits: {guaranteed: {descriptors: 20, memory: 1MiB, requests: 20}}
    hedge: false
    cross_zone_price: 0
  - {name: maps, file: {path: maps.yaml}}
  - {name: holds, xds: {service: holds-v2}, warm_up: {time: 20s, share: 0.2, most: 3}}
routes:
  - name: hold
    match: {template: "/halls/{hall}/hold", methods: [POST], hosts: ["*.example.org"], headers: [{name: X-App, prefix: "2."}]}
    clusters: [{name: holds, weight: 9}, {name: seats}]
    class: seat-hold
    key: {header: Idempotency-Key}
  - {name: rest, match: {prefix: /}, cluster: seats}
`

func TestCompleteFile(t *testing.T) {
	f, err := Parse("dir/gateway.yaml", []byte(whole))
	if err != nil {
		t.Fatal(err)
	}
	c := f.Clusters[0]
	if f.Zone != "sapporo" || f.Limits.Memory != 32<<20 || c.Endpoints[0].Weight != 2.5 || c.Endpoints[1].Weight != 1 ||
		*c.Hedge || *c.CrossZone != 0 || !*f.Clusters[1].Hedge || f.Classes[0].Window.D() != 4*time.Second ||
		f.XDS.Variant != Delta || f.QuotaOf(&c).Guaranteed.Descriptors != 20 || f.QuotaOf(&f.Clusters[1]).Max.Requests != 500 {
		t.Errorf("%+v", f)
	}
	if len(f.Classes) != 3 || f.Classes[1].Name != DefaultSafeClass || f.Classes[2].Effect != 2 {
		t.Errorf("%+v", f.Classes)
	}
	if r := f.Table(); len(r) != 2 || r[0].Clusters[0].Weight != 9 || r[0].Clusters[1].Weight != 1 || r[0].Headers[0].Value != "2." {
		t.Errorf("%+v", r)
	}
	if f.Resolve("x") != filepath.Join("dir", "x") || f.Resolve("/x") != "/x" || f.Path() != "dir/gateway.yaml" {
		t.Error("names in the file")
	}
	// What is printed is the same file, with nothing left to default.
	text, err := f.Print()
	if err != nil {
		t.Fatal(err)
	}
	g, err := Parse("dir/gateway.yaml", text)
	if err != nil {
		t.Fatalf("%v in\n%s", err, text)
	}
	again, _ := g.Print()
	if string(again) != string(text) {
		t.Errorf("printed twice:\n%s\n%s", text, again)
	}
	for _, want := range []string{"connect_timeout: 250ms", "attempts: 3", "initial_fetch_timeout: 15s", "name: default-unsafe", "memory: 32MiB"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("%q is not shown", want)
		}
	}
}

const least = `listeners: [{name: a, address: "127.0.0.1:0"}]
clusters: [{name: c, endpoints: [{address: "127.0.0.1:1"}]}]
routes: [{match: {prefix: /}, cluster: c}]
`

func TestErrorsCarryPositions(t *testing.T) {
	if _, err := Parse("f", []byte(least)); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		text string
		want []string // all of the errors, in this order
	}{
		"empty":         {"", []string{"f: the file is empty"}},
		"not YAML":      {"a: [", []string{"f:1:1: not YAML:"}},
		"tab":           {"zone: a\n\tb: c\n", []string{"f:2:1: not YAML:"}},
		"a list":        {"[]", []string{"f:1:1: want fields"}},
		"unknown":       {least + "zoen: a\nlimits: {memroy: 1MiB}\n", []string{"f:4:1: zoen: there is no such field", "f:5:10: limits.memroy: there is no such field"}},
		"twice":         {least + "zone: a\nzone: b\n", []string{"f:5:1: zone: stands twice"}},
		"null":          {least + "zone:\n", []string{"f:4:6: zone: has no value"}},
		"alias":         {least + "admin: &x {address: none}\n", []string{"f:4:8: admin: anchors and aliases"}},
		"kinds":         {least + "limits: [1]\nadmin: {remote: maybe, address: [a]}\n", []string{"f:4:9: limits: want fields", "f:5:17: admin.remote: want true or false, not \"maybe\"", "admin.address: want one value"}},
		"units":         {least + "limits: {memory: 64, drain: 5, descriptors: many}\n", []string{"f:4:18: limits.memory: want a size with its unit", "f:4:29: limits.drain: want a duration with its unit", "limits.descriptors: want a whole number"}},
		"negative":      {least + "limits: {drain: -5s, memory: -1MiB}\n", []string{"limits.drain: \"-5s\" is negative", "limits.memory: want a size"}},
		"not a number":  {strings.Replace(least, `:1"`, `:1", weight: .nan`, 1), []string{"weight: want a number"}},
		"nothing":       {"zone: a\n", []string{"f:1:1: listeners: none is given", "f:1:1: routes: none is given"}},
		"remote admin":  {least + "admin: {address: \"0.0.0.0:9901\"}\n", []string{"f:4:18: admin.address: 0.0.0.0:9901 is not on loopback"}},
		"log":           {least + "log: {format: xml, level: loud}\n", []string{"f:4:15: log.format: want text or json", "f:4:27: log.level"}},
		"gateway":       {least + "gateway: {number: 2, of: 2}\n", []string{"f:4:10: gateway: number 2 of 2"}},
		"class":         {least + "classes: [{name: a, worth: -1, wanted: 2s, deadline: 1s}, {name: a, effect: sometimes}]\n", []string{"classes[1].effect: want one of safe, keyed, unsafe"}},
		"class 2":       {least + "classes: [{name: a, worth: -1, wanted: 2s, deadline: 1s}, {name: a, window: 2s}, {name: b!, effect: keyed}]\n", []string{"f:4:28: classes[0].worth: want more than 0", "f:4:40: classes[0].wanted: 2s is longer", "classes[1].effect: group and window", "classes[1].name: \"a\" is taken by classes[0].name", "classes[2].window: a keyed class needs it", "classes[2].name: \"b!\""}},
		"no source":     {strings.Replace(least, `endpoints: [{address: "127.0.0.1:1"}]`, "attempts: 99", 1), []string{"f:2:12: clusters[0]: want one of endpoints, file and xds, not 0", "f:2:32: clusters[0].attempts: want 1 to 10"}},
		"no xds":        {strings.Replace(least, `endpoints: [{address: "127.0.0.1:1"}]`, "xds: {}", 1), []string{"clusters[0].xds: there is no control plane"}},
		"endpoints":     {strings.Replace(least, `{address: "127.0.0.1:1"}`, `{address: "a:0"}, {address: b}, {address: "a:1", weight: -1}, {address: "a:1", priority: 999}`, 1), []string{"endpoints[0].address: \"0\" is not a port", "endpoints[1].address: \"b\" is not host:port", "endpoints[2].weight", "endpoints[3].address: a:1 is endpoints[2] already", "endpoints[3].priority"}},
		"warm-up":       {strings.Replace(least, "name: c,", "name: c, warm_up: {share: 2, most: 0.5}, cross_zone_price: 7, connect_timeout: 1m,", 1), []string{"warm_up.share", "warm_up.most", "cross_zone_price", "connect_timeout"}},
		"xds":           {least + "xds: {backoff_base: 10s, backoff_most: 1s, message: 1B}\n", []string{"f:4:6: xds.servers: none is given", "f:4:6: xds.node.id: is missing", "xds.backoff_most: 1s is shorter", "xds.message: want 1KiB"}},
		"guarantees":    {least + "limits: {descriptors: 100, requests: 5, memory: 2MiB, per_cluster: {guaranteed: {descriptors: 51, requests: 6, memory: 3MiB}}}\n", []string{"51 descriptors are guaranteed", "3145728 bytes are guaranteed of 2097152", "6 requests are guaranteed of 5"}},
		"small":         {least + "limits: {descriptors: 2, requests: -1, body: 1GiB}\n", []string{"limits.descriptors: want 16", "limits.requests: want 1", "limits.body"}},
		"no cluster":    {strings.Replace(least, "cluster: c", "cluster: d, class: e", 1), []string{"f:3:40: routes[0].cluster: there is no cluster \"d\"", "f:3:50: routes[0].class: there is no class \"e\""}},
		"routes":        {strings.Replace(least, "{prefix: /}", "{prefix: a, path: /b, methods: [get]}", 1), []string{"f:3:27: routes[0].match.prefix: \"a\" does not begin with /", "f:3:36: routes[0].match.path: only one of", "f:3:49: routes[0].match.methods"}},
		"two clusters":  {strings.Replace(least, "cluster: c", "cluster: c, clusters: [{name: c}]", 1), []string{"routes[0].clusters: only one of"}},
		"two operators": {strings.Replace(least, "{prefix: /}", "{headers: [{name: a, exact: b, prefix: c}]}", 1), []string{"f:3:29: routes[0].match.headers[0]: only one of"}},
		"never taken":   {strings.Replace(least, "cluster: c}", "cluster: c}, {name: late, match: {prefix: /}, cluster: c}", 1), []string{`f:3:64: routes[1].match: "late" (routes[1]) can never be taken: routes[0] takes all`}},
		"addresses":     {strings.Replace(least, "}]\nclusters", "}, {name: a, address: \"127.0.0.1:0\"}, {address: x}]\nclusters", 1), []string{"listeners[1].name: \"a\" is taken by listeners[0].name", "listeners[1].address: \"127.0.0.1:0\" is taken", "listeners[2].name: is missing", "listeners[2].address: \"x\" is not host:port"}},
		"deep":          {"zone: " + strings.Repeat("[", 40) + strings.Repeat("]", 40), []string{"zone: want one value"}},
	} {
		_, err := Parse("f", []byte(c.text))
		var l Errors
		if !errors.As(err, &l) {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if len(l) != len(c.want) {
			t.Errorf("%s: %d errors, want %d:\n%v", name, len(l), len(c.want), err)
			continue
		}
		for _, w := range c.want {
			if !strings.Contains(err.Error(), w) {
				t.Errorf("%s: %q is missing in\n%v", name, w, err)
			}
		}
		for i := range l[1:] {
			if l[i].Line > l[i+1].Line {
				t.Errorf("%s: not in the order of the lines:\n%v", name, err)
			}
		}
	}
}

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f.yaml")
	if _, err := Load(path); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("%v", err)
	}
	if err := os.WriteFile(path, []byte(least), 0o600); err != nil {
		t.Fatal(err)
	}
	if f, err := Load(path); err != nil || f.Path() != path {
		t.Errorf("%v", err)
	}
}

func TestUnits(t *testing.T) {
	for text, want := range map[string]Size{"1KiB": 1024, "2 MiB": 2 << 20, "3GB": 3e9, "7B": 7, "0B": 0, "8kB": 8000} {
		var s Size
		if err := s.UnmarshalText([]byte(text)); err != nil || s != want {
			t.Errorf("%s: %d, %v", text, s, err)
		}
		b, _ := s.MarshalText()
		var again Size
		if err := again.UnmarshalText(b); err != nil || again != s {
			t.Errorf("%s is written as %s", text, b)
		}
	}
	for _, text := range []string{"", "B", "1", "1.5MiB", "99999999999GiB", "MiB", "1 TiB"} {
		var s Size
		if err := s.UnmarshalText([]byte(text)); err == nil {
			t.Errorf("%q is read as %d", text, s)
		}
	}
	if e := fmt.Sprint(&Error{File: "f", Reason: "r"}); e != "f: r" {
		t.Error(e)
	}
}

// Any file either has errors or is a configuration that Print reproduces.
func FuzzParse(f *testing.F) {
	f.Add(whole)
	f.Add(least)
	f.Add(least + "zone: a\nzones: {tiers: [[a], ['*']], floor: 0, retry_budget: 1, most_hold: 1h}\n")
	f.Add(least + "rate_limits: [{name: a, key: {address: {ipv4: 24}}, rate: 0.5, burst: 3}, {name: b, listeners: [web], key: {cookie: s}, rate: 1e3}]\n")
	f.Add("listeners: [{name: a, address: ':0'}]\nclusters: [{name: c, endpoints: [{address: 'a:1'}], overload: {mode: fixed, limit: 3, floor: 0, retries: {ratio: 0, rate: 0, ttl: 1s}}, " +
		"circuit_breakers: {max_requests: 1, max_pending_requests: 2, retry_budget: {budget_percent: 1}}}]\nroutes: [{match: {prefix: /}, cluster: c, tenant: {header: a}}]\n")
	f.Add("listeners: [{name: a, address: ':0'}]\nxds: {clusters: true, servers: [a:1], node: {id: x}, route_configuration: r}\n")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Parse("f", []byte(text))
		if err != nil {
			var l Errors
			if !errors.As(err, &l) || len(l) == 0 {
				t.Fatalf("%T", err)
			}
			return
		}
		out, err := c.Print()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse("f", out); err != nil {
			t.Fatalf("%v in\n%s", err, out)
		}
	})
}

// Errors in zones carry their positions.
func TestZonesAreChecked(t *testing.T) {
	f, err := Parse("g.yaml", []byte(whole+"zones: {}\n"))
	if err != nil {
		t.Fatal(err)
	}
	if z := f.Zones; z.Overprovision != 1.4 || *z.PanicThreshold != 0.5 || z.Step.D() != 2*time.Second || *z.RetryBudget != 0.2 {
		t.Errorf("%+v", *z)
	}
	for text, want := range map[string]string{
		"zones: {overprovisioning_factor: 0.5}": "zones.overprovisioning_factor: want 1 to 10",
		"zones: {panic_threshold: 2}":           "zones.panic_threshold: want 0 to 1",
		"zones: {tiers: [[a], [b, a]]}":         `zones.tiers[1][1]: "a" is zones.tiers[0][0] already`,
		"zones: {hold: 1m, most_hold: 1s}":      "zones.most_hold: 1s is shorter than hold",
		"zones: {step: 1ms}":                    "zones.step: want 10ms to 1h",
		"zones: {floor: 0.9}":                   "zones.floor: want 0 to 0.5",
		"zones: {tolerance: 1}":                 "zones.tolerance: want 1.05 to 100",
		"zones: {first_room: 0.1}":              "zones.first_room: want 1 to",
		"zones: {spill: 3}":                     "zones.spill: there is no such field",
	} {
		if _, err := Parse("g.yaml", []byte(whole+text+"\n")); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "g.yaml:") {
			t.Errorf("%s: %v", text, err)
		}
	}
	if _, err := Parse("g.yaml", []byte(strings.Replace(whole, "zone: sapporo\n", "", 1)+"zones: {}\n")); err == nil || !strings.Contains(err.Error(), "where the gateway stands") {
		t.Errorf("%v", err)
	}
}

// Errors in admission and rate limits carry their positions, and all settings have valid defaults.
func TestAdmissionIsChecked(t *testing.T) {
	const text = "listeners: [{name: web, address: ':0'}]\nclusters: [{name: c, endpoints: [{address: 'a:1'}], %s}]\nroutes: [{name: r, match: {prefix: /}, cluster: c}]\n%s"
	f, err := Parse("g.yaml", fmt.Appendf(nil, text, "circuit_breakers: {retry_budget: {}}", "rate_limits: [{name: a, rate: 50, key: {address: {}}}]"))
	if err != nil {
		t.Fatal(err)
	}
	c, l := f.Clusters[0], f.RateLimits[0]
	if o := c.Overload; o.Mode != 0 || o.PerEndpoint != 256 || *o.Floor != 0.05 || *o.Retries.Ratio != 0.2 || o.MaxWait != 0 {
		t.Errorf("%+v", o)
	}
	if b := c.Breakers; b.MaxPending != 1024 || b.MaxRequests != 0 || *b.RetryBudget != (RetryBudget{20, 3}) {
		t.Errorf("%+v", b)
	}
	if l.Burst != 50 || l.Keys != 100_000 || *l.Key.Address != (AddressPrefix{32, 64}) {
		t.Errorf("%+v", l)
	}
	for bad, want := range map[[2]string]string{
		{"overload: {mode: clever}", ""}:                                       `overload.mode: want adaptive, fixed or off, not "clever"`,
		{"overload: {limit: 0, mode: fixed, per_endpoint: -1}", ""}:            "overload.per_endpoint: want 1 to 1e+06",
		{"overload: {floor: 0.9}", ""}:                                         "overload.floor: want 0 to 0.5",
		{"overload: {retries: {ratio: 11}}", ""}:                               "overload.retries.ratio: want 0 to 10",
		{"overload: {retries: {ttl: 1ms}}", ""}:                                "overload.retries.ttl: want 100ms",
		{"circuit_breakers: {max_requests: -1}", ""}:                           "circuit_breakers.max_requests: want 0 to",
		{"circuit_breakers: {max_pending_requests: -5}", ""}:                   "circuit_breakers.max_pending_requests: want 1 to",
		{"circuit_breakers: {retry_budget: {budget_percent: 101}}", ""}:        "retry_budget.budget_percent: want 0 to 100",
		{"circuit_breakers: {high: {max_requests: -1}}", ""}:                   "circuit_breakers.high.max_requests: want 0 to",
		{"circuit_breakers: {high: {max_connections: 5}}", ""}:                 "connections are shared by both priorities",
		{"circuit_breakers: {high: {high: {}}}", ""}:                           "there are two priorities",
		{"overload: {max_waiting: 5}", ""}:                                     "overload.max_waiting",
		{"circuit_breakers: {thresholds: []}", ""}:                             "circuit_breakers.thresholds: there is no such field",
		{"", "rate_limits: [{name: a, rate: 0}]"}:                              "rate_limits[0]: rate: want more than 0",
		{"", "rate_limits: [{rate: 1}]"}:                                       "rate_limits[0].name:",
		{"", "rate_limits: [{name: a, rate: 1}, {name: a, rate: 1}]"}:          `rate_limits[1].name: "a" is taken`,
		{"", "rate_limits: [{name: a, rate: 1, routes: [x]}]"}:                 `rate_limits[0].routes[0]: there is no "x"`,
		{"", "rate_limits: [{name: a, rate: 1, listeners: [x]}]"}:              `rate_limits[0].listeners[0]: there is no "x"`,
		{"", "rate_limits: [{name: a, rate: 1, key: {header: a, cookie: b}}]"}: "rate_limits[0].key: want one of",
		{"", "rate_limits: [{name: a, rate: 1, key: {address: {ipv4: 40}}}]"}:  "rate_limits[0].key.address: want 0 to 32",
		{"", "rate_limits: [{name: a, rate: 1, keys: 999999999}]"}:             "rate_limits[0]: keys: want 1 to",
	} {
		if _, err := Parse("g.yaml", fmt.Appendf(nil, text, bad[0], bad[1])); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "g.yaml:") {
			t.Errorf("%v: %v", bad, err)
		}
	}
}

// Errors in the fleet section carry their positions and are returned together; questionable settings have warnings.
func TestFleetIsChecked(t *testing.T) {
	const head = "listeners: [{name: a, address: \"127.0.0.1:1\"}]\nclusters: [{name: c, endpoints: [{address: \"127.0.0.1:9\"}]}]\nroutes: [{match: {prefix: /}, cluster: c}]\n"
	const bad = `fleet:
  name: "two words"
  address: 10.1.2.3:7600
  advertise: host:7600
  seeds: ["127.0.0.1"]
  lease: 1s
  probe: 1ms
  quorum:
    heartbeat: 500ms
    voters: [{name: a, address: "127.0.0.1:1"}, {name: a, address: "127.0.0.1:2"}]
  subscription: {heartbeat: 4s}
  posts: [{name: p, url: "ftp://x"}, {name: p, url: "http://x/"}]
`
	_, err := Parse("x.yaml", []byte(head+bad))
	for _, want := range []string{"5:9: fleet.name", "fleet.member: is missing", "6:12: fleet.address: 10.1.2.3:7600 is not on loopback", "fleet.advertise: \"host:7600\" is not an IP", "fleet.seeds[0]",
		"fleet.lease: 1s, want four times", "fleet.probe: want 10ms", "fleet.quorum.voters: want 3 or 5", "fleet.quorum.voters[1]: a 127.0.0.1:2 stands twice", "fleet.subscription: needs fleet.site",
		"fleet.subscription.heartbeat", "fleet.subscription: there are no xds.servers", "fleet.posts[0].url", "fleet.posts[1].name: \"p\" stands twice"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing in\n%v", want, err)
		}
	}
	good := "fleet:\n  name: f\n  member: a\n  address: 8.8.8.8:7600\n  remote: true\n  quorum: {folder: votes, voters: [{name: a, address: \"8.8.8.8:7600\"}]}\n"
	f, err := Parse("dir/x.yaml", []byte(head+good))
	if err != nil {
		t.Fatal(err)
	}
	if w := fmt.Sprint(f.Warnings()); !strings.Contains(w, "not on a private address") || !strings.Contains(w, "one voter") || f.Fleet.Quorum.Directory != "dir/votes" {
		t.Errorf("%s, %q", w, f.Fleet.Quorum.Directory)
	}
	path := filepath.Join(t.TempDir(), "w.yaml")
	if err := os.WriteFile(path, []byte(strings.Replace(good, "member: a", "member: b", 1)+"  posts: [{name: p, url: \"http://x/\"}]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err = LoadWitness(path)
	for _, want := range []string{"\"b\" is not among", "a witness has no duties"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing in\n%v", want, err)
		}
	}
}

// A release's sections replace the file's; a section that belongs to each process is rejected, and so are invalid ones.
func TestReleaseReplacesSections(t *testing.T) {
	const own = "listeners: [{name: a, address: \"127.0.0.1:1\"}]\nlimits: {drain: 7s}\nclusters: [{name: c, endpoints: [{address: \"127.0.0.1:9\"}]}]\nroutes: [{match: {prefix: /}, cluster: c}]\n"
	f, err := Parse("dir/x.yaml", []byte(own))
	if err != nil {
		t.Fatal(err)
	}
	n, err := f.With("routes: [{match: {path: /new}, cluster: d}]\nclusters: [{name: d, endpoints: [{address: \"127.0.0.1:8\"}]}]\nclasses: [{name: x}]\n")
	if err != nil || len(n.Clusters) != 1 || n.Clusters[0].Name != "d" || n.Routes[0].Match.Path != "/new" || n.Classes[0].Name != "x" || n.Limits.Drain != Duration(7*time.Second) || n.Resolve("r") != "dir/r" {
		t.Fatalf("%+v, %v", n, err)
	}
	// After one release another one replaces the file's own configuration as well.
	if m, err := n.With("classes: [{name: y}]\n"); err != nil || m.Clusters[0].Name != "c" {
		t.Errorf("%+v, %v", m, err)
	}
	for text, want := range map[string]string{"listeners: []": "each process's own", "fleet: {}": "each process's own", "routes: [{match: {prefix: /}, cluster: none}]": "none", "- 1": "want sections",
		"": "want sections", "a: [": "the release"} {
		if _, err := f.With(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Errors in the sites section carry their positions: names, parts, unknown classes and floors that cannot be met.
func TestSitesAreChecked(t *testing.T) {
	text, err := os.ReadFile("../../deploy/sites.yaml")
	if err != nil {
		t.Fatal(err)
	}
	f, err := Parse("sites.yaml", text)
	if err != nil {
		t.Fatal(err)
	}
	if p := f.SitePlan(); len(p.Sites) != 2 || p.Sites[0].Capacity["pay"] != 300 || p.Sites[1].Targets[0].Site != "sapporo" || p.Sites[1].MaxSpillover != 0.4 {
		t.Errorf("%+v", p)
	}
	for _, x := range [][3]string{
		{"part: 1}", "part: 1.5}", "sites.yaml:16:35: sites.list[0].to[0].part: 1.5"},
		{"name: ishikari", "name: sapporo", "sites.list[1].name: \"sapporo\" stands twice"},
		{"floors: {pay: 0.9", "floors: {cake: 0.9", "sites.yaml:11:18: sites.floors.cake: there is no class"},
		{"capacity: {seat-map: 2000", "capacity: {seat-map: many", "sites.list[0].capacity.seat-map: want a number"},
		{"load: {seat-map: 700", "load: {pay: 1, seat-map: 700", "sites.list[0].load.pay: stands twice"},
		{"{pay: 0.9, seat-hold: 0.3}", "{pay: 1, seat-hold: 1, seat-map: 1}", "sites.list[1]: with sapporo lost the floors promise"},
		{"sites:\n", "fleet: {name: f, member: m, site: otaru, seeds: [\"127.0.0.1:1\"], quorum: {folder: v, voters: [{name: m, address: \"127.0.0.1:7600\"}]}}\nsites:\n", "this gateway's site \"otaru\" is not in it"},
	} {
		if _, err := Parse("sites.yaml", []byte(strings.Replace(string(text), x[0], x[1], 1))); err == nil || !strings.Contains(err.Error(), x[2]) {
			t.Errorf("%s: %v, want %s", x[1], err, x[2])
		}
	}
}
