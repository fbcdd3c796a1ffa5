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
var pageText string

// WritePage writes one or two reports as a self-contained HTML file, two of them in the same plots.
func WritePage(path string, l ...*Report) error {
	if len(l) == 0 || len(l) > 2 {
		return fmt.Errorf("a page of %d reports: want one or two", len(l))
	}
	b, err := page(l)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, b, 0o644); err != nil {
		return fmt.Errorf("writing the page: %w", err)
	}
	return nil
}

func page(l []*Report) ([]byte, error) {
	pictures, err := drawPictures(l)
	if err != nil {
		return nil, err
	}
	type drawn struct {
		Title string
		SVG   template.HTML
	}
	v := struct {
		Reports  []*Report
		Pictures []drawn
		Compared *Comparison
	}{Reports: l}
	for _, p := range pictures {
		svg, err := p.render("svg")
		if err != nil {
			return nil, err
		}
		if i := bytes.Index(svg, []byte("<svg")); i > 0 {
			svg = svg[i:] // the XML declaration is not valid in HTML
		}
		// gonum/plot escapes the text that it draws.
		v.Pictures = append(v.Pictures, drawn{p.title, template.HTML(svg)})
	}
	if len(l) == 2 {
		if v.Compared, err = Compare(l[0], l[1]); err != nil {
			v.Compared = nil // too few runs for a comparison
		}
	}
	t, err := template.New("page").Funcs(template.FuncMap{
		"percent": func(o Outcome, n int) string { return fmt.Sprintf("%.1f%%", 100*o.fraction(n)) },
		"sum": func(n ...int) (s int) {
			for _, x := range n {
				s += x
			}
			return s
		},
		"ms":      func(d time.Duration) string { return fmt.Sprintf("%.0f ms", milliseconds(d)) },
		"letter":  func(i int) string { return string(rune('A' + i)) },
		"number":  func(i int) int { return i + 1 },
		"short":   func(f float64) string { return fmt.Sprintf("%.3g", f) },
		"change":  func(f float64) string { return fmt.Sprintf("%+.3g", f) },
		"share":   func(f float64) string { return fmt.Sprintf("%.1f%%", 100*f) },
		"busiest": func(r *Report) string { return fmt.Sprintf("%.1f%%", 100*r.busiest()) },
	}).Parse(pageText)
	if err != nil {
		return nil, fmt.Errorf("the page's template: %w", err)
	}
	var b bytes.Buffer
	if err := t.Execute(&b, v); err != nil {
		return nil, fmt.Errorf("writing the page: %w", err)
	}
	return b.Bytes(), nil
}
