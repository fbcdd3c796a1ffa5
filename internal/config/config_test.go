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

const completeFile = `zone: sapporo
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
	f, err := Parse("dir/gateway.yaml", []byte(completeFile))
	if err != nil {
		t.Fatal(err)
	}
	c := f.Clusters[0]
	if f.Zone != "sapporo" || f.Limits.Memory != 32<<20 || c.Endpoints[0].Weight != 2.5 || c.Endpoints[1].Weight != 1 ||
		*c.Hedge || *c.CrossZone != 0 || !*f.Clusters[1].Hedge || f.Classes[0].Window.D() != 4*time.Second ||
		f.XDS.Variant != Delta || f.QuotaOf(&c).Guaranteed.Descriptors != 20 || f.QuotaOf(&f.Clusters[1]).Max.Requests != 500 {
		t.Errorf("Parse: got %+v, want the values of the text and the defaults", f)
	}
	if len(f.Classes) != 3 || f.Classes[1].Name != DefaultSafeClass || f.Classes[2].Effect != 2 {
		t.Errorf("classes: got %+v, want seat-hold and both default classes", f.Classes)
	}
	if r := f.RouteTable(); len(r) != 2 || r[0].Clusters[0].Weight != 9 || r[0].Clusters[1].Weight != 1 || r[0].Headers[0].Value != "2." {
		t.Errorf("RouteTable: got %+v, want 2 routes with the weights and header condition of the text", r)
	}
	if f.Resolve("x") != filepath.Join("dir", "x") || f.Resolve("/x") != "/x" || f.Path() != "dir/gateway.yaml" {
		t.Error("Resolve, Path: want relative paths resolved against dir, absolute paths unchanged, and Path dir/gateway.yaml")
	}
	// The output of Print is the same configuration with all defaults written out.
	text, err := f.Print()
	if err != nil {
		t.Fatal(err)
	}
	reparsed, err := Parse("dir/gateway.yaml", text)
	if err != nil {
		t.Fatalf("Parse of the output of Print: got error %v, want none, in\n%s", err, text)
	}
	reprinted, _ := reparsed.Print()
	if string(reprinted) != string(text) {
		t.Errorf("Print of the parsed output of Print: got\n%s\nwant\n%s", reprinted, text)
	}
	for _, want := range []string{"connect_timeout: 250ms", "attempts: 3", "initial_fetch_timeout: 15s", "name: default-unsafe", "memory: 32MiB"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("Print: got no %q", want)
		}
	}
}

const minimalFile = `listeners: [{name: a, address: "127.0.0.1:0"}]
clusters: [{name: c, endpoints: [{address: "127.0.0.1:1"}]}]
routes: [{match: {prefix: /}, cluster: c}]
`

func TestErrorsCarryPositions(t *testing.T) {
	if _, err := Parse("f", []byte(minimalFile)); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		text string
		want []string // a part of each expected error
	}{
		"empty":         {"", []string{"f: the file is empty"}},
		"not YAML":      {"a: [", []string{"f:1:1: invalid YAML:"}},
		"tab":           {"zone: a\n\tb: c\n", []string{"f:2:1: invalid YAML:"}},
		"a list":        {"[]", []string{"f:1:1: must be a mapping of fields"}},
		"unknown":       {minimalFile + "zoen: a\nlimits: {memroy: 1MiB}\n", []string{"f:4:1: zoen: there is no such field", "f:5:10: limits.memroy: there is no such field"}},
		"twice":         {minimalFile + "zone: a\nzone: b\n", []string{"f:5:1: zone: duplicate field"}},
		"null":          {minimalFile + "zone:\n", []string{"f:4:6: zone: has no value"}},
		"alias":         {minimalFile + "admin: &x {address: none}\n", []string{"f:4:8: admin: anchors and aliases"}},
		"kinds":         {minimalFile + "limits: [1]\nadmin: {remote: maybe, address: [a]}\n", []string{"f:4:9: limits: must be a mapping of fields", "f:5:17: admin.remote: must be true or false, got \"maybe\"", "admin.address: must be a single value"}},
		"units":         {minimalFile + "limits: {memory: 64, drain: 5, descriptors: many}\n", []string{"f:4:18: limits.memory: must be a size with a unit, such as 64MiB, got \"64\"", "f:4:29: limits.drain: must be a duration with a unit, such as 150ms, got \"5\"", "limits.descriptors: must be a whole number, got \"many\""}},
		"negative":      {minimalFile + "limits: {drain: -5s, memory: -1MiB}\n", []string{"limits.drain: must not be negative, got \"-5s\"", "limits.memory: must be a size"}},
		"not a number":  {strings.Replace(minimalFile, `:1"`, `:1", weight: .nan`, 1), []string{"weight: must be a number"}},
		"nothing":       {"zone: a\n", []string{"f:1:1: listeners: none is given", "f:1:1: routes: none is given"}},
		"remote admin":  {minimalFile + "admin: {address: \"0.0.0.0:9901\"}\n", []string{"f:4:18: admin.address: 0.0.0.0:9901 is not a loopback address"}},
		"log":           {minimalFile + "log: {format: xml, level: loud}\n", []string{"f:4:15: log.format: must be text or json", "f:4:27: log.level"}},
		"gateway":       {minimalFile + "gateway: {number: 2, of: 2}\n", []string{"f:4:10: gateway: number must be from 0 to of-1, got number 2 of 2"}},
		"class":         {minimalFile + "classes: [{name: a, worth: -1, wanted: 2s, deadline: 1s}, {name: a, effect: sometimes}]\n", []string{"classes[1].effect: must be one of safe, keyed, unsafe"}},
		"class 2":       {minimalFile + "classes: [{name: a, worth: -1, wanted: 2s, deadline: 1s}, {name: a, window: 2s}, {name: b!, effect: keyed}]\n", []string{"f:4:28: classes[0].worth: must be greater than 0", "f:4:40: classes[0].wanted: must be at most the deadline of 1s, got 2s", "classes[1].effect: must be keyed if group or window is set", "classes[1].name: \"a\" is already used by classes[0].name", "classes[2].window: is required for keyed classes", "classes[2].name: must not contain !, got \"b!\""}},
		"no source":     {strings.Replace(minimalFile, `endpoints: [{address: "127.0.0.1:1"}]`, "attempts: 99", 1), []string{"f:2:12: clusters[0]: exactly one of endpoints, file and xds must be set, got 0", "f:2:32: clusters[0].attempts: must be from 1 to 10"}},
		"no xds":        {strings.Replace(minimalFile, `endpoints: [{address: "127.0.0.1:1"}]`, "xds: {}", 1), []string{"clusters[0].xds: requires a control plane"}},
		"endpoints":     {strings.Replace(minimalFile, `{address: "127.0.0.1:1"}`, `{address: "a:0"}, {address: b}, {address: "a:1", weight: -1}, {address: "a:1", priority: 999}`, 1), []string{"endpoints[0].address: invalid port \"0\"", "endpoints[1].address: must be host:port, got \"b\"", "endpoints[2].weight", "endpoints[3].address: a:1 is already the address of endpoints[2]", "endpoints[3].priority"}},
		"warm-up":       {strings.Replace(minimalFile, "name: c,", "name: c, warm_up: {share: 2, most: 0.5}, cross_zone_price: 7, connect_timeout: 1m,", 1), []string{"warm_up.share", "warm_up.most", "cross_zone_price", "connect_timeout"}},
		"xds":           {minimalFile + "xds: {backoff_base: 10s, backoff_most: 1s, message: 1B}\n", []string{"f:4:6: xds.servers: none is given", "f:4:6: xds.node.id: is missing", "xds.backoff_most: must be at least backoff_base (10s), got 1s", "xds.message: must be at least 1KiB"}},
		"guarantees":    {minimalFile + "limits: {descriptors: 100, requests: 5, memory: 2MiB, per_cluster: {guaranteed: {descriptors: 51, requests: 6, memory: 3MiB}}}\n", []string{"51 descriptors are guaranteed", "3145728 bytes are guaranteed to clusters, must be at most limits.memory (2097152)", "6 requests are guaranteed to clusters, must be at most limits.requests (5)"}},
		"small":         {minimalFile + "limits: {descriptors: 2, requests: -1, body: 1GiB}\n", []string{"limits.descriptors: must be at least 16", "limits.requests: must be at least 1", "limits.body"}},
		"no cluster":    {strings.Replace(minimalFile, "cluster: c", "cluster: d, class: e", 1), []string{"f:3:40: routes[0].cluster: there is no cluster \"d\"", "f:3:50: routes[0].class: there is no class \"e\""}},
		"routes":        {strings.Replace(minimalFile, "{prefix: /}", "{prefix: a, path: /b, methods: [get]}", 1), []string{"f:3:27: routes[0].match.prefix: \"a\" does not begin with /", "f:3:36: routes[0].match.path: only one of", "f:3:49: routes[0].match.methods"}},
		"two clusters":  {strings.Replace(minimalFile, "cluster: c", "cluster: c, clusters: [{name: c}]", 1), []string{"routes[0].clusters: only one of"}},
		"two operators": {strings.Replace(minimalFile, "{prefix: /}", "{headers: [{name: a, exact: b, prefix: c}]}", 1), []string{"f:3:29: routes[0].match.headers[0]: only one of"}},
		"never taken":   {strings.Replace(minimalFile, "cluster: c}", "cluster: c}, {name: late, match: {prefix: /}, cluster: c}", 1), []string{`f:3:64: routes[1].match: "late" (routes[1]) can never be taken: routes[0] takes all`}},
		"addresses":     {strings.Replace(minimalFile, "}]\nclusters", "}, {name: a, address: \"127.0.0.1:0\"}, {address: x}]\nclusters", 1), []string{"listeners[1].name: \"a\" is already used by listeners[0].name", "listeners[1].address: \"127.0.0.1:0\" is already used", "listeners[2].name: is missing", "listeners[2].address: must be host:port, got \"x\""}},
		"deep":          {"zone: " + strings.Repeat("[", 40) + strings.Repeat("]", 40), []string{"zone: must be a single value"}},
	} {
		_, err := Parse("f", []byte(c.text))
		var errs Errors
		if !errors.As(err, &errs) {
			t.Errorf("%s: Parse: got error %v, want one of type Errors", name, err)
			continue
		}
		if len(errs) != len(c.want) {
			t.Errorf("%s: got %d errors, want %d:\n%v", name, len(errs), len(c.want), err)
			continue
		}
		for _, part := range c.want {
			if !strings.Contains(err.Error(), part) {
				t.Errorf("%s: got\n%v\nwant an error with %q", name, err, part)
			}
		}
		for i := range errs[1:] {
			if errs[i].Line > errs[i+1].Line {
				t.Errorf("%s: want errors sorted by line, got\n%v", name, err)
			}
		}
	}
}

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f.yaml")
	if _, err := Load(path); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("Load of a missing file: got error %v, want one with the path %s", err, path)
	}
	if err := os.WriteFile(path, []byte(minimalFile), 0o600); err != nil {
		t.Fatal(err)
	}
	if f, err := Load(path); err != nil || f.Path() != path {
		t.Errorf("Load(%q): got error %v, want no error and the same Path", path, err)
	}
}

func TestUnits(t *testing.T) {
	for text, want := range map[string]Size{"1KiB": 1024, "2 MiB": 2 << 20, "3GB": 3e9, "7B": 7, "0B": 0, "8kB": 8000} {
		var s Size
		if err := s.UnmarshalText([]byte(text)); err != nil || s != want {
			t.Errorf("UnmarshalText(%q): got %d, error %v, want %d", text, s, err, want)
		}
		b, _ := s.MarshalText()
		var reparsed Size
		if err := reparsed.UnmarshalText(b); err != nil || reparsed != s {
			t.Errorf("MarshalText of %q: got %s, which parses as %d, error %v, want %d", text, b, reparsed, err, s)
		}
	}
	for _, text := range []string{"", "B", "1", "1.5MiB", "99999999999GiB", "MiB", "1 TiB"} {
		var s Size
		if err := s.UnmarshalText([]byte(text)); err == nil {
			t.Errorf("UnmarshalText(%q): got %d, want an error", text, s)
		}
	}
	if e := fmt.Sprint(&Error{File: "f", Reason: "r"}); e != "f: r" {
		t.Error(e)
	}
}

// FuzzParse checks that any text is either rejected with Errors or accepted, and that Parse then accepts the output of Print.
func FuzzParse(f *testing.F) {
	f.Add(completeFile)
	f.Add(minimalFile)
	f.Add(minimalFile + "zone: a\nzones: {tiers: [[a], ['*']], floor: 0, retry_budget: 1, most_hold: 1h}\n")
	f.Add(minimalFile + "rate_limits: [{name: a, key: {address: {ipv4: 24}}, rate: 0.5, burst: 3}, {name: b, listeners: [web], key: {cookie: s}, rate: 1e3}]\n")
	f.Add("listeners: [{name: a, address: ':0'}]\nclusters: [{name: c, endpoints: [{address: 'a:1'}], overload: {mode: fixed, limit: 3, floor: 0, retries: {ratio: 0, rate: 0, ttl: 1s}}, " +
		"circuit_breakers: {max_requests: 1, max_pending_requests: 2, retry_budget: {budget_percent: 1}}}]\nroutes: [{match: {prefix: /}, cluster: c, tenant: {header: a}}]\n")
	f.Add("listeners: [{name: a, address: ':0'}]\nxds: {clusters: true, servers: [a:1], node: {id: x}, route_configuration: r}\n")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Parse("f", []byte(text))
		if err != nil {
			var errs Errors
			if !errors.As(err, &errs) || len(errs) == 0 {
				t.Fatalf("Parse: got error of type %T, want non-empty Errors", err)
			}
			return
		}
		out, err := c.Print()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse("f", out); err != nil {
			t.Fatalf("Parse of the output of Print: got error %v, want none, in\n%s", err, out)
		}
	})
}

// The zones section has valid defaults, and errors in it are reported with their position.
func TestZonesAreChecked(t *testing.T) {
	f, err := Parse("g.yaml", []byte(completeFile+"zones: {}\n"))
	if err != nil {
		t.Fatal(err)
	}
	if z := f.Zones; z.Overprovision != 1.4 || *z.PanicThreshold != 0.5 || z.Step.D() != 2*time.Second || *z.RetryBudget != 0.2 {
		t.Errorf("zones: got %+v, want the defaults", *z)
	}
	for text, want := range map[string]string{
		"zones: {overprovisioning_factor: 0.5}": "zones.overprovisioning_factor: must be from 1 to 10",
		"zones: {panic_threshold: 2}":           "zones.panic_threshold: must be from 0 to 1",
		"zones: {tiers: [[a], [b, a]]}":         `zones.tiers[1][1]: "a" is already listed at zones.tiers[0][0]`,
		"zones: {hold: 1m, most_hold: 1s}":      "zones.most_hold: must be at least hold (1m0s), got 1s",
		"zones: {step: 1ms}":                    "zones.step: must be from 10ms to 1h",
		"zones: {floor: 0.9}":                   "zones.floor: must be from 0 to 0.5",
		"zones: {tolerance: 1}":                 "zones.tolerance: must be from 1.05 to 100",
		"zones: {first_room: 0.1}":              "zones.first_room: must be from 1 to",
		"zones: {spill: 3}":                     "zones.spill: there is no such field",
	} {
		if _, err := Parse("g.yaml", []byte(completeFile+text+"\n")); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "g.yaml:") {
			t.Errorf("Parse with %q: got error %v, want %q", text, err, want)
		}
	}
	if _, err := Parse("g.yaml", []byte(strings.Replace(completeFile, "zone: sapporo\n", "", 1)+"zones: {}\n")); err == nil || !strings.Contains(err.Error(), "requires zone, the zone of this gateway") {
		t.Errorf("zones without zone: got error %v, want one that says that zone is required", err)
	}
}

// Settings of admission and rate limits have valid defaults, and errors in them are reported with their position.
func TestAdmissionIsChecked(t *testing.T) {
	const text = "listeners: [{name: web, address: ':0'}]\nclusters: [{name: c, endpoints: [{address: 'a:1'}], %s}]\nroutes: [{name: r, match: {prefix: /}, cluster: c}]\n%s"
	f, err := Parse("g.yaml", fmt.Appendf(nil, text, "circuit_breakers: {retry_budget: {}}", "rate_limits: [{name: a, rate: 50, key: {address: {}}}]"))
	if err != nil {
		t.Fatal(err)
	}
	cluster, limit := f.Clusters[0], f.RateLimits[0]
	if o := cluster.Overload; o.Mode != 0 || o.PerEndpoint != 256 || *o.Floor != 0.05 || *o.Retries.Ratio != 0.2 || o.MaxWait != 0 {
		t.Errorf("overload: got %+v, want the defaults", o)
	}
	if b := cluster.Breakers; b.MaxPending != 1024 || b.MaxRequests != 0 || *b.RetryBudget != (RetryBudget{20, 3}) {
		t.Errorf("circuit breakers: got %+v, want the defaults", b)
	}
	if limit.Burst != 50 || limit.Keys != 100_000 || *limit.Key.Address != (AddressPrefix{32, 64}) {
		t.Errorf("rate limit: got %+v, want the defaults", limit)
	}
	for bad, want := range map[[2]string]string{
		{"overload: {mode: clever}", ""}:                                       `overload.mode: must be adaptive, fixed or off, got "clever"`,
		{"overload: {limit: 0, mode: fixed, per_endpoint: -1}", ""}:            "overload.per_endpoint: must be from 1 to 1e+06",
		{"overload: {floor: 0.9}", ""}:                                         "overload.floor: must be from 0 to 0.5",
		{"overload: {retries: {ratio: 11}}", ""}:                               "overload.retries.ratio: must be from 0 to 10",
		{"overload: {retries: {ttl: 1ms}}", ""}:                                "overload.retries.ttl: must be from 100ms",
		{"circuit_breakers: {max_requests: -1}", ""}:                           "circuit_breakers.max_requests: must be from 0 to",
		{"circuit_breakers: {max_pending_requests: -5}", ""}:                   "circuit_breakers.max_pending_requests: must be from 1 to",
		{"circuit_breakers: {retry_budget: {budget_percent: 101}}", ""}:        "retry_budget.budget_percent: must be from 0 to 100",
		{"circuit_breakers: {high: {max_requests: -1}}", ""}:                   "circuit_breakers.high.max_requests: must be from 0 to",
		{"circuit_breakers: {high: {max_connections: 5}}", ""}:                 "circuit_breakers.high.max_connections: cannot be set: both priorities share connections",
		{"circuit_breakers: {high: {high: {}}}", ""}:                           "circuit_breakers.high.high: cannot be nested: there are only two priorities",
		{"overload: {max_waiting: 5}", ""}:                                     "overload.max_waiting",
		{"circuit_breakers: {thresholds: []}", ""}:                             "circuit_breakers.thresholds: there is no such field",
		{"", "rate_limits: [{name: a, rate: 0}]"}:                              "rate_limits[0]: rate: want more than 0",
		{"", "rate_limits: [{rate: 1}]"}:                                       "rate_limits[0].name:",
		{"", "rate_limits: [{name: a, rate: 1}, {name: a, rate: 1}]"}:          `rate_limits[1].name: duplicate name "a"`,
		{"", "rate_limits: [{name: a, rate: 1, routes: [x]}]"}:                 `rate_limits[0].routes[0]: unknown name "x"`,
		{"", "rate_limits: [{name: a, rate: 1, listeners: [x]}]"}:              `rate_limits[0].listeners[0]: unknown name "x"`,
		{"", "rate_limits: [{name: a, rate: 1, key: {header: a, cookie: b}}]"}: "rate_limits[0].key: at most one of",
		{"", "rate_limits: [{name: a, rate: 1, key: {address: {ipv4: 40}}}]"}:  "rate_limits[0].key.address: must be from 0 to 32",
		{"", "rate_limits: [{name: a, rate: 1, keys: 999999999}]"}:             "rate_limits[0]: keys: want 1 to",
	} {
		if _, err := Parse("g.yaml", fmt.Appendf(nil, text, bad[0], bad[1])); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "g.yaml:") {
			t.Errorf("Parse with %q: got error %v, want %q", bad, err, want)
		}
	}
}

// Errors in the fleet section are returned together, with their positions. Questionable settings cause warnings.
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
	for _, want := range []string{"5:9: fleet.name", "fleet.member: is missing", "6:12: fleet.address: 10.1.2.3:7600 is not a loopback address", "fleet.advertise: must be an IP address with a port, got \"host:7600\"", "fleet.seeds[0]",
		"fleet.lease: must be at least four times fleet.quorum.heartbeat (500ms), so that a lease outlasts an election, got 1s", "fleet.probe: must be from 10ms", "fleet.quorum.voters: must have 3 or 5", "fleet.quorum.voters[1]: duplicate name or address: a 127.0.0.1:2", "fleet.subscription: requires fleet.site",
		"fleet.subscription.heartbeat", "fleet.subscription: requires xds.servers", "fleet.posts[0].url", "fleet.posts[1].name: duplicate name \"p\""} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got\n%v\nwant an error with %q", err, want)
		}
	}
	good := "fleet:\n  name: f\n  member: a\n  address: 8.8.8.8:7600\n  remote: true\n  quorum: {folder: votes, voters: [{name: a, address: \"8.8.8.8:7600\"}]}\n"
	f, err := Parse("dir/x.yaml", []byte(head+good))
	if err != nil {
		t.Fatal(err)
	}
	if warnings := fmt.Sprint(f.Warnings()); !strings.Contains(warnings, "8.8.8.8:7600 is not a private address") || !strings.Contains(warnings, "one voter") || f.Fleet.Quorum.Directory != "dir/votes" {
		t.Errorf("got warnings %s and directory %q, want warnings about the address and the only voter, and directory dir/votes", warnings, f.Fleet.Quorum.Directory)
	}
	path := filepath.Join(t.TempDir(), "w.yaml")
	if err := os.WriteFile(path, []byte(strings.Replace(good, "member: a", "member: b", 1)+"  posts: [{name: p, url: \"http://x/\"}]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err = LoadWitness(path)
	for _, want := range []string{"fleet.member: must be one of fleet.quorum.voters, because a witness only votes, got \"b\"", "fleet: subscription and posts must not be set"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got\n%v\nwant an error with %q", err, want)
		}
	}
}

// The sections of a release replace those of the file. Sections that are specific to each process and invalid sections are rejected.
func TestReleaseReplacesSections(t *testing.T) {
	const base = "listeners: [{name: a, address: \"127.0.0.1:1\"}]\nlimits: {drain: 7s}\nclusters: [{name: c, endpoints: [{address: \"127.0.0.1:9\"}]}]\nroutes: [{match: {prefix: /}, cluster: c}]\n"
	f, err := Parse("dir/x.yaml", []byte(base))
	if err != nil {
		t.Fatal(err)
	}
	combined, err := f.WithRelease("routes: [{match: {path: /new}, cluster: d}]\nclusters: [{name: d, endpoints: [{address: \"127.0.0.1:8\"}]}]\nclasses: [{name: x}]\n")
	if err != nil || len(combined.Clusters) != 1 || combined.Clusters[0].Name != "d" || combined.Routes[0].Match.Path != "/new" || combined.Classes[0].Name != "x" || combined.Limits.Drain != Duration(7*time.Second) || combined.Resolve("r") != "dir/r" {
		t.Fatalf("WithRelease: got %+v, error %v, want the sections of the release and the remaining settings of the file", combined, err)
	}
	// A second release is applied to the configuration of the file, not to the result of the first release.
	if second, err := combined.WithRelease("classes: [{name: y}]\n"); err != nil || second.Clusters[0].Name != "c" {
		t.Errorf("WithRelease after WithRelease: got %+v, error %v, want the clusters of the file", second, err)
	}
	for text, want := range map[string]string{"listeners: []": "each process's own", "fleet: {}": "each process's own", "routes: [{match: {prefix: /}, cluster: none}]": "none", "- 1": "must be a mapping of sections",
		"": "must be a mapping of sections", "a: [": "release: "} {
		if _, err := f.WithRelease(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("WithRelease(%q): got error %v, want %q", text, err, want)
		}
	}
}

// Errors in the sites section are reported with their field: duplicate names, invalid fractions, unknown classes and floors that
// cannot be met.
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
		t.Errorf("SitePlan: got %+v, want the plan of deploy/sites.yaml", p)
	}
	for _, c := range [][3]string{
		{"part: 1}", "part: 1.5}", "sites.yaml:16:35: sites.list[0].to[0].part: 1.5"},
		{"name: ishikari", "name: sapporo", "sites.list[1].name: \"sapporo\" stands twice"},
		{"floors: {pay: 0.9", "floors: {cake: 0.9", "sites.yaml:11:18: sites.floors.cake: there is no class"},
		{"capacity: {seat-map: 2000", "capacity: {seat-map: many", "sites.list[0].capacity.seat-map: must be a number"},
		{"load: {seat-map: 700", "load: {pay: 1, seat-map: 700", "sites.list[0].load.pay: duplicate key"},
		{"{pay: 0.9, seat-hold: 0.3}", "{pay: 1, seat-hold: 1, seat-map: 1}", "sites.list[1]: with sapporo lost the floors promise"},
		{"sites:\n", "fleet: {name: f, member: m, site: otaru, seeds: [\"127.0.0.1:1\"], quorum: {folder: v, voters: [{name: m, address: \"127.0.0.1:7600\"}]}}\nsites:\n", "sites.list: does not contain this gateway's site \"otaru\""},
	} {
		if _, err := Parse("sites.yaml", []byte(strings.Replace(string(text), c[0], c[1], 1))); err == nil || !strings.Contains(err.Error(), c[2]) {
			t.Errorf("Parse with %q: got error %v, want %q", c[1], err, c[2])
		}
	}
}
