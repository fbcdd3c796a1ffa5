package experiment

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Calibration compares the engines on the same experiment and seeds.
type Calibration struct {
	Name      string
	Simulated *Report
	Loopback  *Report
}

// CalibrationMetric compares a metric of both engines.
type CalibrationMetric struct {
	Name                string
	Simulated, Loopback float64
	// Deviation of the simulated engine is relative, or the difference for fractions and where the loopback value is 0.
	Deviation float64
	// WithinTolerance means a deviation of at most 10%. Only the Checked metrics are to be within it.
	Checked, WithinTolerance bool
}

// all returns the outcomes of all phases and classes together.
func (r *Report) all() (o Outcome) {
	for i := range r.Phases {
		o.merge(&r.Phases[i].All)
	}
	o.computePercentiles()
	return o
}

// Metrics returns the metrics of the calibration.
func (c *Calibration) Metrics() []CalibrationMetric {
	s, l := c.Simulated.all(), c.Loopback.all()
	per := func(r *Report, o *Outcome) float64 {
		return float64(o.InTime) / r.Length.Seconds() / float64(max(r.Seeds, 1))
	}
	row := func(name string, sim, live float64, judged, relative bool) CalibrationMetric {
		f := CalibrationMetric{Name: name, Simulated: sim, Loopback: live, Deviation: sim - live, Checked: judged}
		if relative && live != 0 {
			f.Deviation = sim/live - 1
		}
		f.WithinTolerance = math.Abs(f.Deviation) <= 0.1
		return f
	}
	return []CalibrationMetric{
		row("in time a second", per(c.Simulated, &s), per(c.Loopback, &l), true, true),
		row("in time", s.fraction(s.InTime), l.fraction(l.InTime), true, false),
		row("refused or failed", s.fraction(s.Rejected+s.Failed+s.Lost), l.fraction(l.Rejected+l.Failed+l.Lost), true, false),
		row("p50 ms", milliseconds(s.P50), milliseconds(l.P50), false, true),
		row("p99 ms", milliseconds(s.P99), milliseconds(l.P99), false, true),
		row("busiest server", c.Simulated.busiest(), c.Loopback.busiest(), false, true),
	}
}

// PrintCalibrations writes calibrations as a Markdown table, with the number of checked metrics within the tolerance.
func PrintCalibrations(out io.Writer, l []Calibration) error {
	t := tabwriter.NewWriter(out, 0, 0, 1, ' ', tabwriter.Debug)
	fmt.Fprintln(t, " experiment\t figure\t simulated\t loopback\t error\t ")
	fmt.Fprintln(t, " ---\t ---\t ---\t ---\t ---\t ---")
	judged, within := 0, 0
	for _, c := range l {
		for _, f := range c.Metrics() {
			note := ""
			if f.Checked {
				if judged++; f.WithinTolerance {
					within++
				} else {
					note = "beyond 10%"
				}
			}
			fmt.Fprintf(t, " %s\t %s\t %.4g\t %.4g\t %+.1f%%\t %s\n", c.Name, f.Name, f.Simulated, f.Loopback, 100*f.Deviation, note)
		}
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("writing the calibration: %w", err)
	}
	fmt.Fprintf(out, "%d of %d figures of throughput and service within 10%%\n", within, judged)
	for _, c := range l {
		if g := c.Loopback.Generator; g.Bottleneck || c.Loopback.EndedEarly != "" {
			fmt.Fprintf(out, "%s: %s %s\n", c.Name, g, c.Loopback.EndedEarly)
		}
	}
	return nil
}
