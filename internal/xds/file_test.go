package xds

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"robindrum/internal/testbed"
)

func fileOf(ports ...int) string {
	s := "resources:\n- '@type': type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment\n  cluster_name: a\n  endpoints:\n  - locality: {zone: z}\n    lb_endpoints:\n"
	for _, p := range ports {
		s += fmt.Sprintf("    - endpoint: {address: {socket_address: {address: 127.0.0.1, port_value: %d}}}\n", p)
	}
	return s
}

// replace moves a new file over the former one.
func replace(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

func source(path string, opt Options) (*FileSource, *recordingSink) {
	s := &recordingSink{all: map[string]Resource{}, at: map[string][]string{}}
	began := time.Now()
	return NewFileSource(path, opt, func() time.Duration { return time.Since(began) + 1 }, slog.New(slog.DiscardHandler), s), s
}

// A file is replaced, made invalid, corrected and emptied: a valid one is used within a second, and an invalid one changes
// nothing and is reported.
func TestFileChangesAreApplied(t *testing.T) {
	testbed.Leaks(t)
	path := filepath.Join(t.TempDir(), "r.yaml")
	replace(t, path, fileOf(1, 2))
	f, got := source(path, Options{Services: []string{"a"}})
	if err := f.Load(); err != nil {
		t.Fatal(err)
	}
	count := func() int {
		a, _ := got.get("endpoints a").Value.(*Assignment)
		if a == nil {
			return -1
		}
		return len(a.Endpoints)
	}
	if count() != 2 {
		t.Fatalf("%d endpoints", count())
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(done)
	}()
	defer func() {
		cancel()
		testbed.Receive(t, "the end", done)
	}()
	for i := range 20 {
		began := time.Now()
		replace(t, path, fileOf(10, 11, 12+i)[:len(fileOf(10, 11, 12+i))]+strings.Repeat("#\n", i%2))
		want := 3
		if i%2 == 1 {
			replace(t, path, fileOf(20+i))
			want = 1
		}
		testbed.Eventually(t, "the new list", func() bool { return count() == want })
		if d := time.Since(began); d > pollInterval+time.Second {
			t.Errorf("noticed after %v", d)
		}
	}
	for _, bad := range []string{"resources: [", "resources:\n- '@type': type.googleapis.com/google.protobuf.Duration\n  value: 1s\n", fileOf(0), "resourcez: []\n"} {
		n, before := count(), f.Connection().LastError
		replace(t, path, bad)
		testbed.Eventually(t, "the refusal", func() bool { e := f.Connection().LastError; return e != "" && e != before })
		if count() != n || !strings.Contains(f.Connection().LastError, path) {
			t.Errorf("%d endpoints, %q", count(), f.Connection().LastError)
		}
	}
	replace(t, path, fileOf(1, 2))
	testbed.Eventually(t, "the file put right", func() bool { return count() == 2 && f.Connection().LastError == "" })
	replace(t, path, "{}\n")
	testbed.Eventually(t, "the withdrawal", func() bool { return got.get("endpoints a").State == Absent })
	if s := f.Summaries(); len(s) != 1 || s[0].Type != EndpointType {
		t.Errorf("%+v", s)
	}
}

// A file may contain clusters and routes as well, in JSON or YAML; resources without a subscription are ignored.
func TestFileWithAllResourceTypes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.json")
	replace(t, path, `{"version_info":"7","resources":[
		{"@type":"type.googleapis.com/envoy.config.route.v3.RouteConfiguration","name":"r","virtual_hosts":[{"domains":["*"],"routes":[{"match":{"prefix":"/"},"route":{"cluster":"a"}}]}]},
		{"@type":"type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment","cluster_name":"b"},
		{"@type":"type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment","cluster_name":"nobody's"},
		{"@type":"type.googleapis.com/envoy.config.cluster.v3.Cluster","name":"a","type":"EDS","eds_cluster_config":{"service_name":"b","eds_config":{"ads":{}}}}]}`)
	f, got := source(path, Options{Clusters: true, RouteConfigName: "r"})
	if err := f.Load(); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"cluster a", "endpoints b", "routes r"} {
		if got.get(name).State != Received {
			t.Errorf("%s: %v", name, got.get(name).State)
		}
	}
	if got.get("endpoints nobody's").State == Received {
		t.Error("what nobody names is taken")
	}
	f.Subscribe([]string{"nobody's"}, nil)
	if got.get("endpoints nobody's").State != Received {
		t.Error("what is named later is not taken")
	}
	f.Subscribe(nil, nil)
	if got.get("endpoints nobody's").State != Absent {
		t.Error("what is named no more is kept")
	}
	if _, err := ParseFile(make([]byte, 10)); err == nil {
		t.Error("zero bytes are read")
	}
	g, _ := source(filepath.Join(t.TempDir(), "none"), Options{})
	if err := g.Load(); err == nil {
		t.Error("a file that is not there is read")
	}
}

func FuzzFile(f *testing.F) {
	f.Add([]byte(fileOf(1, 2)))
	f.Add([]byte(`{"resources":[{"@type":"type.googleapis.com/envoy.config.cluster.v3.Cluster","name":"a"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		set, err := ParseFile(b)
		if err != nil {
			return
		}
		m := NewMachine(Options{Clusters: true, Delta: true, RouteConfigName: "r", Services: []string{"a"}})
		s := FileSource{machine: m, now: func() time.Duration { return 1 }}
		_, _ = s.apply(set, "", nil, true)
	})
}
