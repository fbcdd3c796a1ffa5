package experiment

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"os"
	"time"
)

//go:embed page.html
var pageTemplate string

// WritePage writes one or two reports as a self-contained HTML file. The plots show both reports.
func WritePage(path string, reports ...*Report) error {
	if len(reports) == 0 || len(reports) > 2 {
		return fmt.Errorf("a page shows 1 or 2 reports, got %d", len(reports))
	}
	html, err := page(reports)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, html, 0o644); err != nil {
		return fmt.Errorf("writing the page: %w", err)
	}
	return nil
}

// page renders one or two reports as HTML.
func page(reports []*Report) ([]byte, error) {
	pictures, err := drawPictures(reports)
	if err != nil {
		return nil, err
	}
	type drawn struct {
		Title string
		SVG   template.HTML
	}
	data := struct {
		Reports  []*Report
		Pictures []drawn
		Compared *Comparison
	}{Reports: reports}
	for _, p := range pictures {
		svg, err := p.render("svg")
		if err != nil {
			return nil, err
		}
		if i := bytes.Index(svg, []byte("<svg")); i > 0 {
			svg = svg[i:] // the XML declaration is not valid in HTML
		}
		// gonum/plot escapes the text that it draws.
		data.Pictures = append(data.Pictures, drawn{p.title, template.HTML(svg)})
	}
	if len(reports) == 2 {
		if data.Compared, err = Compare(reports[0], reports[1]); err != nil {
			data.Compared = nil // too few runs for a comparison
		}
	}
	parsed, err := template.New("page").Funcs(template.FuncMap{
		"percent": func(o Outcome, n int) string { return fmt.Sprintf("%.1f%%", 100*o.fraction(n)) },
		"sum": func(n ...int) (total int) {
			for _, addend := range n {
				total += addend
			}
			return total
		},
		"ms":      func(d time.Duration) string { return fmt.Sprintf("%.0f ms", milliseconds(d)) },
		"letter":  func(i int) string { return string(rune('A' + i)) },
		"number":  func(i int) int { return i + 1 },
		"short":   func(f float64) string { return fmt.Sprintf("%.3g", f) },
		"change":  func(f float64) string { return fmt.Sprintf("%+.3g", f) },
		"share":   func(f float64) string { return fmt.Sprintf("%.1f%%", 100*f) },
		"busiest": func(r *Report) string { return fmt.Sprintf("%.1f%%", 100*r.busiestShare()) },
	}).Parse(pageTemplate)
	if err != nil {
		return nil, fmt.Errorf("parsing the template of the page: %w", err)
	}
	var b bytes.Buffer
	if err := parsed.Execute(&b, data); err != nil {
		return nil, fmt.Errorf("writing the page: %w", err)
	}
	return b.Bytes(), nil
}
