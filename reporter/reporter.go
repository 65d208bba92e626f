// Package reporter makes reports for people: plots in PNG and tables in
// Markdown, from the histograms of a fleet, the bench's CSV file or the journal.
package reporter

import (
	"fmt"
	"image/color"
	"io"
	"path/filepath"
	"slices"
	"time"

	"github.com/zeebo/errs"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"hemlocktally"
	"hemlocktally/recorder"
)

// Error is the class of this package's errors.
var Error = errs.Class("reporter")

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	// AddedGoal is the time that the balancer may add to 99 in 100 calls.
	AddedGoal = 1200 * time.Microsecond
)

// quantiles are the points of a latency curve.
var quantiles = []float64{0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 0.9995, 0.9999}

// Fleet is a report on the calls of a fleet.
type Fleet struct {
	Distributions []recorder.Distribution
	At            time.Time
}

// WriteMarkdown writes a table of every class and measure.
func (f Fleet) WriteMarkdown(w io.Writer) error {
	p := printer{w: w}
	p.printf("# Calls of the fleet, %s\n\n", f.At.UTC().Format(time.RFC3339))
	p.printf("Quantiles are those of all instances' calls together, each within 1 in 128.\n\n")
	p.printf("| contract | tenant | outcome | measure | calls | p50 | p99 | p99.9 | max |\n|---|---|---|---|--:|--:|--:|--:|--:|\n")
	for _, d := range f.Distributions {
		h := d.Histogram
		p.printf("| %s | %s | %s | %s | %d | %s | %s | %s | %s |\n", d.Key.Contract, d.Key.Tenant, d.Key.Outcome, d.Measure, h.Count(),
			h.Quantile(0.5), h.Quantile(0.99), h.Quantile(0.999), time.Duration(h.Max())*time.Microsecond)
	}
	return Error.Wrap(p.err)
}

// WritePlots draws each measure by quantile, a line for each class of whole
// answers, and returns the files' names.
func (f Fleet) WritePlots(dir string) ([]string, error) {
	var files []string
	for _, measure := range recorder.Measures {
		lines := f.lines(measure)
		if len(lines) == 0 {
			continue
		}
		p := newQuantilePlot(fmt.Sprintf("%s time of whole answers", measure))
		if measure == recorder.MeasureAdded {
			lines = append(lines, "goal", flatLine(AddedGoal))
		}
		if err := plotutil.AddLinePoints(p, lines...); err != nil {
			return files, Error.Wrap(err)
		}
		name := fmt.Sprintf("%s.png", measure)
		if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, name)); err != nil {
			return files, Error.Wrap(err)
		}
		files = append(files, name)
	}
	return files, nil
}

func (f Fleet) lines(measure recorder.Measure) []any {
	var lines []any
	for _, d := range f.Distributions {
		if d.Measure != measure || d.Key.Outcome != hemlocktally.OutcomeDone || d.Histogram.Count() == 0 {
			continue
		}
		line := make(plotter.XYs, len(quantiles))
		for i, q := range quantiles {
			line[i] = plotter.XY{X: float64(i), Y: milliseconds(d.Histogram.Quantile(q))}
		}
		lines = append(lines, d.Key.Contract+" "+d.Key.Tenant, line)
	}
	return lines
}

func flatLine(at time.Duration) plotter.XYs {
	line := make(plotter.XYs, len(quantiles))
	for i := range line {
		line[i] = plotter.XY{X: float64(i), Y: milliseconds(at)}
	}
	return line
}

func newQuantilePlot(title string) *plot.Plot {
	p := newPlot(title)
	p.X.Label.Text = "quantile (%)"
	p.Y.Label.Text = "ms"
	ticks := make([]plot.Tick, len(quantiles))
	for i, q := range quantiles {
		ticks[i] = plot.Tick{Value: float64(i), Label: fmt.Sprintf("%g", q*100)}
	}
	p.X.Tick.Marker = plot.ConstantTicks(ticks)
	return p
}

func newPlot(title string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Legend.Top, p.Legend.Left = true, true
	grid := plotter.NewGrid()
	grid.Vertical.Color, grid.Horizontal.Color = color.Gray{230}, color.Gray{230}
	p.Add(grid)
	return p
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// printer writes until the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, values ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, values...)
	}
}

// unique returns the values in the order of their first appearance.
func unique(values []string) []string {
	var list []string
	for _, v := range values {
		if !slices.Contains(list, v) {
			list = append(list, v)
		}
	}
	return list
}
