package gateway

import (
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

var update = flag.Bool("update", false, "rewrite the golden file of the metric descriptions")

// Operators' dashboards depend on the names, help texts and labels of all metrics, so they must not change.
func TestMetricDescriptionsAreUnchanged(t *testing.T) {
	descriptions := make(chan *prometheus.Desc, 1000)
	newCollector(nil).Describe(descriptions)
	close(descriptions)
	var got []string
	for d := range descriptions {
		got = append(got, d.String())
	}
	slices.Sort(got)
	path := filepath.Join("testdata", "metrics.txt")
	text := strings.Join(got, "\n") + "\n"
	if *update {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if text != string(want) {
		t.Errorf("metric descriptions differ from %s, got:\n%s", path, text)
	}
}
