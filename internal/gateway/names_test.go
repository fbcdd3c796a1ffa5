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

var update = flag.Bool("update", false, "write the golden file of the metrics anew")

// TestMetricsStay compares names, help and labels of all metrics with those that operators' dashboards were made for.
func TestMetricsStay(t *testing.T) {
	descriptions := make(chan *prometheus.Desc, 1000)
	(&collector{}).Describe(descriptions)
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
		t.Errorf("metrics differ from %s:\n%s", path, text)
	}
}
