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
	// Change is the difference of the medians, B less A, or the median difference of pairs of runs with the same seed. Low and High
	// bound it with 95% confidence.
	Change float64 `json:"change"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
	// Differs means that the interval does not contain 0.
	Differs bool `json:"differs"`
}

var metrics = []struct {
	name, unit string
	of         func(*Run) float64
}{
	{"in time", "a second", func(r *Run) float64 { return r.Goodput }},
	{"in time", "% of what was asked", func(r *Run) float64 { return 100 * r.InTime }},
	{"refused or failed", "% of what was asked", func(r *Run) float64 { return 100 * r.Rejected }},
	{"p50", "ms", func(r *Run) float64 { return r.P50.Seconds() * 1000 }},
	{"p99", "ms", func(r *Run) float64 { return r.P99.Seconds() * 1000 }},
}

// minRuns is the number of runs below which the intervals of a bootstrap mean nothing.
const minRuns = 5

// Compare compares report B with report A. The same reports give the same comparison.
func Compare(a, b *Report) (*Comparison, error) {
	if len(a.Runs) < minRuns || len(b.Runs) < minRuns {
		return nil, fmt.Errorf("%d and %d runs: want %d at least of each to tell a difference from chance", len(a.Runs), len(b.Runs), minRuns)
	}
	c := &Comparison{A: a.Experiment + ", " + a.Engine, B: b.Experiment + ", " + b.Engine, Runs: min(len(a.Runs), len(b.Runs)), Paired: len(a.Runs) == len(b.Runs)}
	for i := range a.Runs {
		c.Paired = c.Paired && a.Runs[i].Seed == b.Runs[i].Seed
	}
	rng := rand.New(rand.NewPCG(1, 0x626f6f74))
	for _, m := range metrics {
		var x, y []float64
		for i := range a.Runs {
			x = append(x, m.of(&a.Runs[i]))
		}
		for i := range b.Runs {
			y = append(y, m.of(&b.Runs[i]))
		}
		d := Difference{Name: m.name, Unit: m.unit, A: median(x), B: median(y)}
		d.Change, d.Low, d.High = bootstrap(rng, x, y, c.Paired)
		d.Differs = d.Low > 0 || d.High < 0
		c.Metrics = append(c.Metrics, d)
	}
	return c, nil
}

func median(v []float64) float64 {
	l := slices.Sorted(slices.Values(v))
	return stat.Quantile(0.5, stat.LinInterp, l, nil)
}

// bootstrap returns the difference of the medians, or the median difference of pairs, with its 95% percentile interval.
func bootstrap(rng *rand.Rand, x, y []float64, paired bool) (change, low, high float64) {
	var pairs []float64
	if paired {
		for i := range x {
			pairs = append(pairs, y[i]-x[i])
		}
	}
	draw := func(v []float64) []float64 {
		l := make([]float64, len(v))
		for i := range l {
			l[i] = v[rng.IntN(len(v))]
		}
		return l
	}
	all := make([]float64, bootstrapResamples)
	for i := range all {
		if paired {
			all[i] = median(draw(pairs))
		} else {
			all[i] = median(draw(y)) - median(draw(x))
		}
	}
	slices.Sort(all)
	if change = median(y) - median(x); paired {
		change = median(pairs)
	}
	return change, stat.Quantile(0.025, stat.Empirical, all, nil), stat.Quantile(0.975, stat.Empirical, all, nil)
}

// Print writes the comparison as a table.
func (c *Comparison) Print(out io.Writer) error {
	fmt.Fprintf(out, "A: %s\nB: %s\n%d runs of each; medians, and the difference with its 95%% confidence interval\n", c.A, c.B, c.Runs)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FIGURE\tA\tB\tB LESS A\t95% INTERVAL\t")
	for _, d := range c.Metrics {
		says := "no difference"
		if d.Differs {
			says = "B is lower"
			if d.Change > 0 {
				says = "B is higher"
			}
		}
		fmt.Fprintf(t, "%s, %s\t%.3g\t%.3g\t%+.3g\t%+.3g to %+.3g\t%s\n", d.Name, d.Unit, d.A, d.B, d.Change, d.Low, d.High, says)
	}
	if err := t.Flush(); err != nil {
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
		return fmt.Errorf("writing: %w", err)
	}
	return nil
}
