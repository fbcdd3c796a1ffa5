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
	// Deviation is the relative deviation of the simulated value from the loopback value. It is the plain difference for fractions and
	// where the loopback value is 0.
	Deviation float64
	// WithinTolerance means a deviation of at most 10%. Only Checked metrics are expected to be within the tolerance.
	Checked, WithinTolerance bool
}

// totals returns the combined outcomes of all phases and classes.
func (r *Report) totals() (o Outcome) {
	for i := range r.Phases {
		o.merge(&r.Phases[i].All)
	}
	o.computePercentiles()
	return o
}

// Metrics returns the metrics of the calibration.
func (c *Calibration) Metrics() []CalibrationMetric {
	simulatedTotals, loopbackTotals := c.Simulated.totals(), c.Loopback.totals()
	goodput := func(report *Report, outcomes *Outcome) float64 {
		return float64(outcomes.InTime) / report.Length.Seconds() / float64(max(report.Seeds, 1))
	}
	newMetric := func(name string, simulated, loopback float64, checked, relative bool) CalibrationMetric {
		metric := CalibrationMetric{Name: name, Simulated: simulated, Loopback: loopback, Deviation: simulated - loopback, Checked: checked}
		if relative && loopback != 0 {
			metric.Deviation = simulated/loopback - 1
		}
		metric.WithinTolerance = math.Abs(metric.Deviation) <= 0.1
		return metric
	}
	return []CalibrationMetric{
		newMetric("in time a second", goodput(c.Simulated, &simulatedTotals), goodput(c.Loopback, &loopbackTotals), true, true),
		newMetric("in time", simulatedTotals.fraction(simulatedTotals.InTime), loopbackTotals.fraction(loopbackTotals.InTime), true, false),
		newMetric("refused or failed", simulatedTotals.fraction(simulatedTotals.Rejected+simulatedTotals.Failed+simulatedTotals.Lost), loopbackTotals.fraction(loopbackTotals.Rejected+loopbackTotals.Failed+loopbackTotals.Lost), true, false),
		newMetric("p50 ms", milliseconds(simulatedTotals.P50), milliseconds(loopbackTotals.P50), false, true),
		newMetric("p99 ms", milliseconds(simulatedTotals.P99), milliseconds(loopbackTotals.P99), false, true),
		newMetric("busiest server", c.Simulated.busiestShare(), c.Loopback.busiestShare(), false, true),
	}
}

// PrintCalibrations writes calibrations as a Markdown table, followed by the number of checked metrics within the tolerance.
func PrintCalibrations(out io.Writer, calibrations []Calibration) error {
	table := tabwriter.NewWriter(out, 0, 0, 1, ' ', tabwriter.Debug)
	fmt.Fprintln(table, " experiment\t figure\t simulated\t loopback\t error\t ")
	fmt.Fprintln(table, " ---\t ---\t ---\t ---\t ---\t ---")
	checked, within := 0, 0
	for _, calibration := range calibrations {
		for _, metric := range calibration.Metrics() {
			note := ""
			if metric.Checked {
				if checked++; metric.WithinTolerance {
					within++
				} else {
					note = "beyond 10%"
				}
			}
			fmt.Fprintf(table, " %s\t %s\t %.4g\t %.4g\t %+.1f%%\t %s\n", calibration.Name, metric.Name, metric.Simulated, metric.Loopback, 100*metric.Deviation, note)
		}
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("writing the calibration: %w", err)
	}
	fmt.Fprintf(out, "%d of %d figures of throughput and service within 10%%\n", within, checked)
	for _, calibration := range calibrations {
		if generator := calibration.Loopback.Generator; generator.Bottleneck || calibration.Loopback.EndedEarly != "" {
			fmt.Fprintf(out, "%s: %s %s\n", calibration.Name, generator, calibration.Loopback.EndedEarly)
		}
	}
	return nil
}
