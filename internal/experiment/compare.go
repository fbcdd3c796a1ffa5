package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// bootstrapResamples is the number of resamples of a bootstrap.
const bootstrapResamples = 2000

// Comparison compares two reports.
type Comparison struct {
	A       string       `json:"a"`
	B       string       `json:"b"`
	Runs    int          `json:"runs"` // of each report
	Paired  bool         `json:"paired"`
	Metrics []Difference `json:"metrics"`
}

// Difference compares a metric of two reports.
type Difference struct {
	Name string  `json:"name"`
	Unit string  `json:"unit"`
	A    float64 `json:"a"` // medians
	B    float64 `json:"b"`
	// Change is the difference of the medians, B minus A, or the median difference of pairs of runs with the same seed. Low and High
	// bound it with 95% confidence.
	Change float64 `json:"change"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
	// Differs means that the interval does not contain 0.
	Differs bool `json:"differs"`
}

// metrics are the metrics of a run that Compare compares.
var metrics = []struct {
	name, unit string
	value      func(*Run) float64
}{
	{"in time", "a second", func(r *Run) float64 { return r.Goodput }},
	{"in time", "% of what was asked", func(r *Run) float64 { return 100 * r.InTime }},
	{"refused or failed", "% of what was asked", func(r *Run) float64 { return 100 * r.Rejected }},
	{"p50", "ms", func(r *Run) float64 { return r.P50.Seconds() * 1000 }},
	{"p99", "ms", func(r *Run) float64 { return r.P99.Seconds() * 1000 }},
}

// minRuns is the minimum number of runs for a meaningful bootstrap interval.
const minRuns = 5

// Compare compares report b with report a. The result is deterministic.
func Compare(a, b *Report) (*Comparison, error) {
	if len(a.Runs) < minRuns || len(b.Runs) < minRuns {
		return nil, fmt.Errorf("%d and %d runs: want at least %d of each to tell a difference from chance", len(a.Runs), len(b.Runs), minRuns)
	}
	comparison := &Comparison{A: a.Experiment + ", " + a.Engine, B: b.Experiment + ", " + b.Engine, Runs: min(len(a.Runs), len(b.Runs)), Paired: len(a.Runs) == len(b.Runs)}
	for i := range a.Runs {
		comparison.Paired = comparison.Paired && a.Runs[i].Seed == b.Runs[i].Seed
	}
	rng := rand.New(rand.NewPCG(1, 0x626f6f74))
	for _, metric := range metrics {
		var valuesA, valuesB []float64
		for i := range a.Runs {
			valuesA = append(valuesA, metric.value(&a.Runs[i]))
		}
		for i := range b.Runs {
			valuesB = append(valuesB, metric.value(&b.Runs[i]))
		}
		difference := Difference{Name: metric.name, Unit: metric.unit, A: median(valuesA), B: median(valuesB)}
		difference.Change, difference.Low, difference.High = bootstrap(rng, valuesA, valuesB, comparison.Paired)
		difference.Differs = difference.Low > 0 || difference.High < 0
		comparison.Metrics = append(comparison.Metrics, difference)
	}
	return comparison, nil
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return stat.Quantile(0.5, stat.LinInterp, sorted, nil)
}

// bootstrap returns the difference of the medians, or the median difference of pairs, with its 95% percentile bootstrap interval.
func bootstrap(rng *rand.Rand, valuesA, valuesB []float64, paired bool) (change, low, high float64) {
	var pairs []float64
	if paired {
		for i := range valuesA {
			pairs = append(pairs, valuesB[i]-valuesA[i])
		}
	}
	resample := func(values []float64) []float64 {
		sample := make([]float64, len(values))
		for i := range sample {
			sample[i] = values[rng.IntN(len(values))]
		}
		return sample
	}
	resampled := make([]float64, bootstrapResamples)
	for i := range resampled {
		if paired {
			resampled[i] = median(resample(pairs))
		} else {
			resampled[i] = median(resample(valuesB)) - median(resample(valuesA))
		}
	}
	slices.Sort(resampled)
	if change = median(valuesB) - median(valuesA); paired {
		change = median(pairs)
	}
	return change, stat.Quantile(0.025, stat.Empirical, resampled, nil), stat.Quantile(0.975, stat.Empirical, resampled, nil)
}

// Print writes the comparison as a table.
func (c *Comparison) Print(out io.Writer) error {
	fmt.Fprintf(out, "A: %s\nB: %s\n%d runs of each; medians, and the difference with its 95%% confidence interval\n", c.A, c.B, c.Runs)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "FIGURE\tA\tB\tB LESS A\t95% INTERVAL\t")
	for _, difference := range c.Metrics {
		verdict := "no difference"
		if difference.Differs {
			verdict = "B is lower"
			if difference.Change > 0 {
				verdict = "B is higher"
			}
		}
		fmt.Fprintf(table, "%s, %s\t%.3g\t%.3g\t%+.3g\t%+.3g to %+.3g\t%s\n", difference.Name, difference.Unit, difference.A, difference.B, difference.Change, difference.Low, difference.High, verdict)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("writing the comparison: %w", err)
	}
	return nil
}

// JSON writes the comparison as JSON.
func (c *Comparison) JSON(out io.Writer) error { return writeJSON(out, c) }

func writeJSON(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("writing JSON: %w", err)
	}
	return nil
}
