// Package page renders a burn.Report as a self-contained HTML page.
package page

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/carawaylanding/carawaylanding/burn"
)

// The size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	// legendHeadroom is the ratio of the top of the Y axis to the highest rate. It leaves
	// space for the legend above the lines.
	legendHeadroom = 1.4
)

// section is a plot and its title.
type section struct {
	Title string
	SVG   template.HTML
}

// pageData holds the data that the template renders.
type pageData struct {
	burn.Report
	Windows  []string
	Sections []section
}

// Write writes the report as an HTML page with a table and plots.
func Write(w io.Writer, r burn.Report) error {
	data := pageData{Report: r}
	for _, win := range burn.Windows {
		data.Windows = append(data.Windows, burn.WindowName(win))
	}
	for _, s := range []struct {
		title, format string
		points        func(burn.Budget) []burn.Point
	}{
		{"The last hour", "15:04", func(b burn.Budget) []burn.Point { return b.Fine }},
		{"The last three days", "02 Jan 15:04", func(b burn.Budget) []burn.Point { return b.Coarse }},
	} {
		svg, err := renderPlot(r, s.format, s.points)
		if err != nil {
			return err
		}
		data.Sections = append(data.Sections, section{Title: s.title, SVG: svg})
	}
	return tmpl.Execute(w, data)
}

// renderPlot returns a plot of the burn rate of each budget over time, as SVG.
func renderPlot(r burn.Report, format string, points func(burn.Budget) []burn.Point) (template.HTML, error) {
	p := plot.New()
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	p.X.Tick.Marker = plot.TimeTicks{Format: format, Time: plot.UTCUnixTime}
	p.Legend.Top = true
	for i, b := range r.Budgets {
		if err := addLine(p, i, b, points(b)); err != nil {
			return "", err
		}
	}
	p.Y.Max = max(p.Y.Max, 1) * legendHeadroom
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	raw := out.Bytes()
	// HTML does not allow an XML declaration.
	if i := bytes.Index(raw, []byte("<svg")); i > 0 {
		raw = raw[i:]
	}
	return template.HTML(raw), nil
}

func addLine(p *plot.Plot, i int, b burn.Budget, points []burn.Point) error {
	if len(points) == 0 {
		return nil
	}
	xys := make(plotter.XYs, len(points))
	for j, pt := range points {
		xys[j] = plotter.XY{X: float64(pt.Start.Unix()), Y: pt.Rate(b.Target)}
	}
	line, dots, err := plotter.NewLinePoints(xys)
	if err != nil {
		return err
	}
	line.Color = palette[i%len(palette)]
	dots.Color = line.Color
	p.Add(line, dots)
	p.Legend.Add(fmt.Sprintf("%s %s", b.Route, b.Indicator), line)
	return nil
}

// palette holds the colours of Okabe and Ito, which people with any colour vision can
// distinguish.
var palette = []color.Color{
	color.RGBA{R: 0, G: 114, B: 178, A: 255},
	color.RGBA{R: 213, G: 94, B: 0, A: 255},
	color.RGBA{R: 0, G: 158, B: 115, A: 255},
	color.RGBA{R: 204, G: 121, B: 167, A: 255},
	color.RGBA{R: 230, G: 159, B: 0, A: 255},
	color.RGBA{R: 86, G: 180, B: 233, A: 255},
}

var tmpl = template.Must(template.New("burn").Funcs(template.FuncMap{
	"percent": func(x float64) string { return fmt.Sprintf("%.4g %%", 100*x) },
	"rate":    func(x float64) string { return fmt.Sprintf("%.2f", x) },
	"stamp":   func(t time.Time) string { return t.UTC().Format(time.RFC3339) },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Error budget burn rates</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; }
th, td { border: 1px solid #999; padding: 0.3em 0.6em; text-align: right; }
th:first-child, td:first-child, td.name { text-align: left; }
tr.page { background: #fbb; }
tr.ticket { background: #fe9; }
</style></head><body>
<h1>Error budget burn rates</h1>
<p>{{stamp .At}}. At a burn rate of 1, the error budget for 30 days lasts exactly 30 days.</p>
<table><tr><th>Route</th><th>Indicator</th><th>Objective</th><th>Target</th>{{range .Windows}}<th>{{.}}</th>{{end}}<th>Bad answers, 3d</th><th>Alert</th></tr>
{{range .Budgets}}<tr class="{{.Alert}}"><td>{{.Route}}</td><td class="name">{{.Indicator}}</td><td>{{if .ObjectiveMS}}{{.ObjectiveMS}} ms{{end}}</td><td>{{percent .Target}}</td>{{range .Windows}}<td>{{rate .Rate}}</td>{{end}}{{with index .Windows 6}}<td>{{.Bad}} of {{.Total}}</td>{{end}}<td>{{.Alert}}</td></tr>
{{else}}<tr><td colspan="13">No answer was counted in the last three days.</td></tr>
{{end}}</table>
{{range .Sections}}<h2>{{.Title}}</h2>
{{.SVG}}
{{end}}</body></html>
`))
