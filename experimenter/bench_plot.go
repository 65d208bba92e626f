package experimenter

import (
	"encoding/csv"
	"os"
	"path/filepath"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// WriteCSV writes all rows, one line for each value, to bench.csv.
func WriteCSV(dir string, rows []BenchRow) error {
	file, err := os.Create(filepath.Join(dir, "bench.csv")) //nolint:gosec // The user names the directory.
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = file.Close() }()
	w := csv.NewWriter(file)
	_ = w.Write([]string{"Scenario", "Policy", "Column", "Median", "Low", "High"})
	for _, row := range rows {
		for _, c := range row.Cells {
			_ = w.Write([]string{row.Scenario, row.Policy, c.Column, number(c.Median), number(c.Low), number(c.High)})
		}
	}
	w.Flush()
	return Error.Wrap(w.Error())
}

func number(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }

// WritePlot draws the times of high-priority reads by quantile, a line for each
// policy, to SCENARIO.png.
func WritePlot(dir, scenario string, results []BenchResult) error {
	p := plot.New()
	p.Title.Text = scenario + ": high-priority reads"
	p.X.Label.Text = "quantile (%)"
	p.Y.Label.Text = "ms"
	var lines []any
	drawn := map[string]bool{}
	for i := range results {
		if drawn[results[i].Policy] {
			continue
		}
		drawn[results[i].Policy] = true
		lines = append(lines, results[i].Policy, quantileLine(results[i].Times))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return Error.Wrap(err)
	}
	const width, height = 16 * vg.Centimeter, 10 * vg.Centimeter
	return Error.Wrap(p.Save(width, height, filepath.Join(dir, scenario+".png")))
}

func quantileLine(times *ClassTimes) plotter.XYs {
	const steps = 100
	line := make(plotter.XYs, steps)
	for i := range line {
		q := 0.5 + 0.499*float64(i)/(steps-1)
		line[i] = plotter.XY{X: 100 * q, Y: ms(times.Quantile(ClassHigh, q))}
	}
	return line
}
