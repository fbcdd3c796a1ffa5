package experiment

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxInFlight = 20_000 // open-loop requests in flight

	// maxGeneratorDelay is the delay at the 99th percentile above which the generator counts as the bottleneck. Latencies are
	// measured from when a request was due, so that a delay of the generator hides no waiting time. Above this limit, however, the
	// latencies are those of the generator.
	maxGeneratorDelay = 20 * time.Millisecond
)

// Generator reports how well the open-loop load generator followed its schedule.
type Generator struct {
	Requests int           `json:"asked"` // of the open loop
	Rate     float64       `json:"per_second"`
	DelayP99 time.Duration `json:"late_p99_ns"` // from when a request was due until it was sent
	DelayMax time.Duration `json:"late_max_ns"`
	Dropped  int           `json:"dropped"` // not sent, because too many requests were in flight
	// Bottleneck means that the results measure the generator rather than the gateways.
	Bottleneck bool `json:"bottleneck"`

	delays *hdrhistogram.Histogram
}

// String describes the generator in a line.
func (g *Generator) String() string {
	s := fmt.Sprintf("generator: %d requests, %.0f a second; sent late by %v at the 99th percentile, %v at most", g.Requests, g.Rate, g.DelayP99, g.DelayMax)
	if g.Bottleneck {
		s += fmt.Sprintf("; IT WAS THE BOTTLENECK (%d not sent)", g.Dropped)
	}
	return s
}

// add merges the results of another run. The length is the total of all runs.
func (g *Generator) add(other *Generator, length time.Duration) {
	g.Requests += other.Requests
	g.Dropped += other.Dropped
	g.delays.Merge(other.delays)
	g.Rate = float64(g.Requests) / length.Seconds()
	g.DelayP99 = quantile(g.delays, 0.99)
	g.DelayMax = time.Duration(g.delays.Max()) * time.Microsecond
	g.Bottleneck = g.Dropped > 0 || g.DelayP99 > maxGeneratorDelay
}
