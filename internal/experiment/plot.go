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

// palette has colours that the colour-blind can distinguish.
var palette = []color.RGBA{{0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255}, {230, 159, 0, 255}, {86, 180, 233, 255}, {0, 0, 0, 255}}

// maxServerLines is the number of servers above which a plot shows their minimum, mean and maximum instead.
const maxServerLines = 12

// drawPictures returns the plots of a report, or of two in the same plots, the second one dashed.
func drawPictures(l []*Report) ([]picture, error) {
	made := []picture{
		{name: "goodput", title: "Answered in time, late, refused"},
		{name: "latency", title: "Latency of what was answered"},
		{name: "servers", title: "Load by server"},
	}
	for i := range made {
		p := plot.New()
		p.X.Label.Text, p.X.Min, p.Y.Min = "seconds", 0, 0
		p.Legend.Top, p.Legend.Left = true, true
		p.Add(plotter.NewGrid())
		made[i].plot = p
	}
	for i, r := range l {
		prefix := ""
		if len(l) > 1 {
			prefix = string(rune('A'+i)) + ": "
		}
		per := r.SeriesInterval.Seconds() * float64(max(r.Seeds, 1))
		rate := func(n func(*Point) int) func(*Point) float64 {
			return func(p *Point) float64 { return float64(n(p)) / per }
		}
		goodput, latency, servers := made[0].plot, made[1].plot, made[2].plot
		goodput.Y.Label.Text, latency.Y.Label.Text, servers.Y.Label.Text = "requests a second", "milliseconds", "attempts a second"
		for j, c := range []curve{
			{goodput, "in time", rate(func(p *Point) int { return p.InTime })},
			{goodput, "late", rate(func(p *Point) int { return p.Late })},
			{goodput, "refused or failed", rate(func(p *Point) int { return p.Rejected + p.Failed })},
			{latency, "p50", func(p *Point) float64 { return milliseconds(p.P50) }},
			{latency, "p99", func(p *Point) float64 { return milliseconds(p.P99) }},
		} {
			if err := c.add(r, prefix, j%3, i == 1); err != nil {
				return nil, err
			}
		}
		for j, c := range serverCurves(r, servers, per) {
			if err := c.add(r, prefix, j, i == 1); err != nil {
				return nil, err
			}
		}
	}
	for _, m := range made {
		m.plot.Y.Max = max(m.plot.Y.Max*1.25, 1) // room for the legend
		if err := drawEvents(m.plot, l[0]); err != nil {
			return nil, err
		}
	}
	return made, nil
}

// curve is a line of a plot.
type curve struct {
	plot  *plot.Plot
	name  string
	value func(*Point) float64
}

func (c *curve) add(r *Report, prefix string, colour int, dashed bool) error {
	xy := make(plotter.XYs, len(r.Series))
	for i := range r.Series {
		xy[i] = plotter.XY{X: (r.Series[i].Start + r.SeriesInterval/2).Seconds(), Y: c.value(&r.Series[i])}
	}
	line, err := plotter.NewLine(xy)
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

func serverCurves(r *Report, p *plot.Plot, per float64) (l []curve) {
	ids := r.Servers()
	if len(ids) <= maxServerLines {
		for _, id := range ids {
			l = append(l, curve{p, id, func(x *Point) float64 { return float64(x.Attempts[id]) / per }})
		}
		return l
	}
	over := func(pick func(lowest, sum, highest float64) float64) func(*Point) float64 {
		return func(x *Point) float64 {
			lowest, sum, highest := math.Inf(1), 0.0, 0.0
			for _, id := range ids {
				v := float64(x.Attempts[id]) / per
				lowest, sum, highest = min(lowest, v), sum+v, max(highest, v)
			}
			return pick(lowest, sum, highest)
		}
	}
	return []curve{{p, "busiest server", over(func(_, _, highest float64) float64 { return highest })},
		{p, "mean", over(func(_, sum, _ float64) float64 { return sum / float64(len(ids)) })},
		{p, "least busy", over(func(lowest, _, _ float64) float64 { return lowest })}}
}

// drawEvents draws the events as vertical lines, numbered as in the table of the page.
func drawEvents(p *plot.Plot, r *Report) error {
	for i, m := range r.Events {
		x := m.At.Seconds()
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: p.Y.Max}})
		if err != nil {
			return fmt.Errorf("drawing the events: %w", err)
		}
		line.Color, line.Width, line.Dashes = color.Gray{150}, vg.Points(0.75), []vg.Length{vg.Points(1), vg.Points(2)}
		p.Add(line)
		if len(r.Events) > 24 {
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

func (p *picture) render(format string) ([]byte, error) {
	w, err := p.plot.WriterTo(pictureWidth, pictureHeight, format)
	if err != nil {
		return nil, fmt.Errorf("drawing %s: %w", p.name, err)
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return nil, fmt.Errorf("drawing %s: %w", p.name, err)
	}
	return b.Bytes(), nil
}

// WritePlots writes the plots of one or two reports into a directory, as PNG and SVG.
func WritePlots(dir string, l ...*Report) error {
	all, err := drawPictures(l)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("a folder for the pictures: %w", err)
	}
	for _, p := range all {
		for _, format := range []string{"png", "svg"} {
			b, err := p.render(format)
			if err != nil {
				return err
			}
			if err := os.WriteFile(filepath.Join(dir, p.name+"."+format), b, 0o644); err != nil {
				return fmt.Errorf("writing a picture: %w", err)
			}
		}
	}
	return nil
}
