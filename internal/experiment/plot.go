package experiment

import (
	"bytes"
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// picture is a plot of one or two reports.
type picture struct {
	name, title string
	plot        *plot.Plot
}

// palette has colours that are distinguishable with colour blindness.
var palette = []color.RGBA{{0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255}, {230, 159, 0, 255}, {86, 180, 233, 255}, {0, 0, 0, 255}}

// maxServerLines is the number of servers above which a plot shows their minimum, mean and maximum instead of a line for each.
const maxServerLines = 12

// drawPictures returns the plots of one report, or of two reports in the same plots with the second one dashed.
func drawPictures(reports []*Report) ([]picture, error) {
	pictures := []picture{
		{name: "goodput", title: "Answered in time, late, refused"},
		{name: "latency", title: "Latency of what was answered"},
		{name: "servers", title: "Load by server"},
	}
	for i := range pictures {
		p := plot.New()
		p.X.Label.Text, p.X.Min, p.Y.Min = "seconds", 0, 0
		p.Legend.Top, p.Legend.Left = true, true
		p.Add(plotter.NewGrid())
		pictures[i].plot = p
	}
	for i, report := range reports {
		prefix := ""
		if len(reports) > 1 {
			prefix = string(rune('A'+i)) + ": "
		}
		seconds := report.SeriesInterval.Seconds() * float64(max(report.Seeds, 1))
		rate := func(count func(*Point) int) func(*Point) float64 {
			return func(p *Point) float64 { return float64(count(p)) / seconds }
		}
		goodput, latency, servers := pictures[0].plot, pictures[1].plot, pictures[2].plot
		goodput.Y.Label.Text, latency.Y.Label.Text, servers.Y.Label.Text = "requests a second", "milliseconds", "attempts a second"
		for j, c := range []curve{
			{goodput, "in time", rate(func(p *Point) int { return p.InTime })},
			{goodput, "late", rate(func(p *Point) int { return p.Late })},
			{goodput, "refused or failed", rate(func(p *Point) int { return p.Rejected + p.Failed })},
			{latency, "p50", func(p *Point) float64 { return milliseconds(p.P50) }},
			{latency, "p99", func(p *Point) float64 { return milliseconds(p.P99) }},
		} {
			if err := c.add(report, prefix, j%3, i == 1); err != nil {
				return nil, err
			}
		}
		for j, c := range serverCurves(report, servers, seconds) {
			if err := c.add(report, prefix, j, i == 1); err != nil {
				return nil, err
			}
		}
	}
	for _, drawn := range pictures {
		drawn.plot.Y.Max = max(drawn.plot.Y.Max*1.25, 1) // space for the legend
		if err := drawEvents(drawn.plot, reports[0]); err != nil {
			return nil, err
		}
	}
	return pictures, nil
}

// curve is a line of a plot.
type curve struct {
	plot  *plot.Plot
	name  string
	value func(*Point) float64
}

// add draws the curve of a report into its plot.
func (c *curve) add(report *Report, prefix string, colour int, dashed bool) error {
	points := make(plotter.XYs, len(report.Series))
	for i := range report.Series {
		points[i] = plotter.XY{X: (report.Series[i].Start + report.SeriesInterval/2).Seconds(), Y: c.value(&report.Series[i])}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("drawing %s: %w", c.name, err)
	}
	line.Color, line.Width = palette[colour%len(palette)], vg.Points(1.5)
	if dashed {
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	}
	c.plot.Add(line)
	c.plot.Legend.Add(prefix+c.name, line)
	return nil
}

// serverCurves returns a curve for each server or, above maxServerLines, for their maximum, mean and minimum. Attempts are divided
// by seconds, the length of an interval over all seeds.
func serverCurves(report *Report, p *plot.Plot, seconds float64) (curves []curve) {
	ids := report.Servers()
	if len(ids) <= maxServerLines {
		for _, id := range ids {
			curves = append(curves, curve{p, id, func(point *Point) float64 { return float64(point.Attempts[id]) / seconds }})
		}
		return curves
	}
	aggregate := func(choose func(lowest, sum, highest float64) float64) func(*Point) float64 {
		return func(point *Point) float64 {
			lowest, sum, highest := math.Inf(1), 0.0, 0.0
			for _, id := range ids {
				rate := float64(point.Attempts[id]) / seconds
				lowest, sum, highest = min(lowest, rate), sum+rate, max(highest, rate)
			}
			return choose(lowest, sum, highest)
		}
	}
	return []curve{{p, "busiest server", aggregate(func(_, _, highest float64) float64 { return highest })},
		{p, "mean", aggregate(func(_, sum, _ float64) float64 { return sum / float64(len(ids)) })},
		{p, "least busy", aggregate(func(lowest, _, _ float64) float64 { return lowest })}}
}

// drawEvents draws the events as vertical lines, numbered as in the table of the page.
func drawEvents(p *plot.Plot, report *Report) error {
	for i, event := range report.Events {
		x := event.At.Seconds()
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: p.Y.Max}})
		if err != nil {
			return fmt.Errorf("drawing the events: %w", err)
		}
		line.Color, line.Width, line.Dashes = color.Gray{150}, vg.Points(0.75), []vg.Length{vg.Points(1), vg.Points(2)}
		p.Add(line)
		if len(report.Events) > 24 {
			continue // the numbers would overlap
		}
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: x, Y: p.Y.Max * 0.02}}, Labels: []string{fmt.Sprint(i + 1)}})
		if err != nil {
			return fmt.Errorf("drawing the events: %w", err)
		}
		label.TextStyle[0].XAlign = draw.XLeft
		p.Add(label)
	}
	return nil
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

const pictureWidth, pictureHeight = 9 * vg.Inch, 3.2 * vg.Inch

// render returns the picture in a format such as svg or png.
func (p *picture) render(format string) ([]byte, error) {
	writer, err := p.plot.WriterTo(pictureWidth, pictureHeight, format)
	if err != nil {
		return nil, fmt.Errorf("drawing %s: %w", p.name, err)
	}
	var buffer bytes.Buffer
	if _, err := writer.WriteTo(&buffer); err != nil {
		return nil, fmt.Errorf("drawing %s: %w", p.name, err)
	}
	return buffer.Bytes(), nil
}

// WritePlots writes the plots of one or two reports into a directory, as PNG and SVG files.
func WritePlots(dir string, reports ...*Report) error {
	pictures, err := drawPictures(reports)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("creating the directory for the plots: %w", err)
	}
	for _, p := range pictures {
		for _, format := range []string{"png", "svg"} {
			image, err := p.render(format)
			if err != nil {
				return err
			}
			if err := os.WriteFile(filepath.Join(dir, p.name+"."+format), image, 0o644); err != nil {
				return fmt.Errorf("writing a plot: %w", err)
			}
		}
	}
	return nil
}
