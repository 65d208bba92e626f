package reporter

import (
	"time"

	"gonum.org/v1/plot/plotter"
)

// PlotLosses draws how many calls were lost in each second, given as Unix seconds,
// into a PNG file.
func PlotLosses(file string, seconds []int64, calls []int) error {
	p := newPlot("calls that were refused, failed, repeated or late")
	p.Y.Label.Text = "calls a second"
	points := make(plotter.XYs, len(seconds))
	for i, second := range seconds {
		points[i] = plotter.XY{X: float64(second - seconds[0]), Y: float64(calls[i])}
	}
	if len(seconds) > 0 {
		p.X.Label.Text = "seconds since " + time.Unix(seconds[0], 0).UTC().Format(time.DateTime)
	}
	steps, err := plotter.NewLine(points)
	if err != nil {
		return Error.Wrap(err)
	}
	steps.StepStyle = plotter.PostStep
	p.Add(steps)
	return Error.Wrap(p.Save(plotWidth, plotHeight, file))
}
