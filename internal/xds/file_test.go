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

// endpointsFile returns a resource file with an assignment named a that has an endpoint on each port.
func endpointsFile(ports ...int) string {
	text := "resources:\n- '@type': type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment\n  cluster_name: a\n  endpoints:\n  - locality: {zone: z}\n    lb_endpoints:\n"
	for _, port := range ports {
		text += fmt.Sprintf("    - endpoint: {address: {socket_address: {address: 127.0.0.1, port_value: %d}}}\n", port)
	}
	return text
}

// replace moves a new file over the file at path.
func replace(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

func newFileSource(path string, options Options) (*FileSource, *recordingSink) {
	sink := &recordingSink{resources: map[string]Resource{}, versions: map[string][]string{}}
	start := time.Now()
	return NewFileSource(path, options, func() time.Duration { return time.Since(start) + 1 }, slog.New(slog.DiscardHandler), sink), sink
}

// A file is replaced, made invalid, corrected and emptied. A valid file is applied at the latest one second after the next
// poll. An invalid file changes no resource, and its error is reported.
func TestFileChangesAreApplied(t *testing.T) {
	testbed.Leaks(t)
	path := filepath.Join(t.TempDir(), "r.yaml")
	replace(t, path, endpointsFile(1, 2))
	file, sink := newFileSource(path, Options{Services: []string{"a"}})
	if err := file.Load(); err != nil {
		t.Fatal(err)
	}
	count := func() int {
		assignment, _ := sink.get("endpoints a").Value.(*Assignment)
		if assignment == nil {
			return -1
		}
		return len(assignment.Endpoints)
	}
	if count() != 2 {
		t.Fatalf("got %d endpoints after Load, want 2", count())
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		file.Run(ctx)
		close(done)
	}()
	defer func() {
		cancel()
		testbed.Receive(t, "the end of Run", done)
	}()
	for i := range 20 {
		start := time.Now()
		replace(t, path, endpointsFile(10, 11, 12+i)[:len(endpointsFile(10, 11, 12+i))]+strings.Repeat("#\n", i%2))
		want := 3
		if i%2 == 1 {
			replace(t, path, endpointsFile(20+i))
			want = 1
		}
		testbed.Eventually(t, "the new endpoint list", func() bool { return count() == want })
		if delay := time.Since(start); delay > pollInterval+time.Second {
			t.Errorf("the change was applied after %v, want at most %v", delay, pollInterval+time.Second)
		}
	}
	for _, invalid := range []string{"resources: [", "resources:\n- '@type': type.googleapis.com/google.protobuf.Duration\n  value: 1s\n", endpointsFile(0), "resourcez: []\n"} {
		endpoints, previousError := count(), file.Connection().LastError
		replace(t, path, invalid)
		testbed.Eventually(t, "the error of the invalid file", func() bool {
			lastError := file.Connection().LastError
			return lastError != "" && lastError != previousError
		})
		if count() != endpoints || !strings.Contains(file.Connection().LastError, path) {
			t.Errorf("after an invalid file: got %d endpoints and error %q, want %d endpoints and an error that contains the path", count(), file.Connection().LastError, endpoints)
		}
	}
	replace(t, path, endpointsFile(1, 2))
	testbed.Eventually(t, "the corrected file", func() bool { return count() == 2 && file.Connection().LastError == "" })
	replace(t, path, "{}\n")
	testbed.Eventually(t, "the endpoints to be withdrawn", func() bool { return sink.get("endpoints a").State == Absent })
	if summaries := file.Summaries(); len(summaries) != 1 || summaries[0].Type != EndpointType {
		t.Errorf("Summaries() = %+v, want only the type of the endpoints", summaries)
	}
}

// A file may also contain clusters and routes, and may be JSON. Resources without a subscription are ignored.
func TestFileWithAllResourceTypes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.json")
	replace(t, path, `{"version_info":"7","resources":[
		{"@type":"type.googleapis.com/envoy.config.route.v3.RouteConfiguration","name":"r","virtual_hosts":[{"domains":["*"],"routes":[{"match":{"prefix":"/"},"route":{"cluster":"a"}}]}]},
		{"@type":"type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment","cluster_name":"b"},
		{"@type":"type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment","cluster_name":"nobody's"},
		{"@type":"type.googleapis.com/envoy.config.cluster.v3.Cluster","name":"a","type":"EDS","eds_cluster_config":{"service_name":"b","eds_config":{"ads":{}}}}]}`)
	file, sink := newFileSource(path, Options{Clusters: true, RouteConfigName: "r"})
	if err := file.Load(); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"cluster a", "endpoints b", "routes r"} {
		if sink.get(name).State != Received {
			t.Errorf("state of %s = %v, want %v", name, sink.get(name).State, Received)
		}
	}
	if sink.get("endpoints nobody's").State == Received {
		t.Error("endpoints that are not subscribed to are in use")
	}
	file.Subscribe([]string{"nobody's"}, nil)
	if sink.get("endpoints nobody's").State != Received {
		t.Error("endpoints are not in use after Subscribe")
	}
	file.Subscribe(nil, nil)
	if sink.get("endpoints nobody's").State != Absent {
		t.Error("endpoints are still in use after the subscription was removed")
	}
	if _, err := ParseFile(make([]byte, 10)); err == nil {
		t.Error("ParseFile accepted a file of NUL bytes, want an error")
	}
	missing, _ := newFileSource(filepath.Join(t.TempDir(), "none"), Options{})
	if err := missing.Load(); err == nil {
		t.Error("Load of a missing file returned no error")
	}
}

// Any bytes are either rejected by ParseFile or can be applied, without a panic.
func FuzzFile(f *testing.F) {
	f.Add([]byte(endpointsFile(1, 2)))
	f.Add([]byte(`{"resources":[{"@type":"type.googleapis.com/envoy.config.cluster.v3.Cluster","name":"a"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		resources, err := ParseFile(text)
		if err != nil {
			return
		}
		m := NewMachine(Options{Clusters: true, Delta: true, RouteConfigName: "r", Services: []string{"a"}})
		file := FileSource{machine: m, now: func() time.Duration { return 1 }}
		_, _ = file.apply(resources, "", nil, true)
	})
}
