package reporter

import (
	"encoding/csv"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// BenchValue is one line of the bench's CSV file: the median of several runs
// and their spread.
type BenchValue struct {
	Scenario string
	Policy   string
	Column   string
	Median   float64
	Low      float64
	High     float64
}

// Bench is a report on a run of the bench.
type Bench struct {
	Values []BenchValue
}

// benchColumns are the columns that the file must have.
var benchColumns = []string{"Scenario", "Policy", "Column", "Median", "Low", "High"}

// ColumnError says that a CSV file lacks a column or has a value that is no
// number.
type ColumnError struct {
	Line   int
	Column string
	Found  string
}

// Error names line and column.
func (e *ColumnError) Error() string {
	return fmt.Sprintf("bench file, line %d: column %s: found %q", e.Line, e.Column, e.Found)
}

// ReadBench reads the bench's CSV file; its first line names the columns, in
// any order.
func ReadBench(r io.Reader) (Bench, error) {
	lines, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return Bench{}, Error.Wrap(err)
	}
	if len(lines) == 0 {
		return Bench{}, &ColumnError{Line: 1, Column: benchColumns[0]}
	}
	for _, column := range benchColumns {
		if !slices.Contains(lines[0], column) {
			return Bench{}, &ColumnError{Line: 1, Column: column, Found: strings.Join(lines[0], ",")}
		}
	}
	var b Bench
	for n, line := range lines[1:] {
		value, err := benchValue(lines[0], line, n+2)
		if err != nil {
			return b, err
		}
		b.Values = append(b.Values, value)
	}
	return b, nil
}

func benchValue(columns, line []string, number int) (BenchValue, error) {
	get := func(column string) string { return line[slices.Index(columns, column)] }
	value := BenchValue{Scenario: get("Scenario"), Policy: get("Policy"), Column: get("Column")}
	for column, field := range map[string]*float64{"Median": &value.Median, "Low": &value.Low, "High": &value.High} {
		parsed, err := strconv.ParseFloat(get(column), 64)
		if err != nil {
			return value, &ColumnError{Line: number, Column: column, Found: get(column)}
		}
		*field = parsed
	}
	return value, nil
}

func (b Bench) list(field func(BenchValue) string, keep func(BenchValue) bool) []string {
	var values []string
	for _, v := range b.Values {
		if keep(v) {
			values = append(values, field(v))
		}
	}
	return unique(values)
}

func all(BenchValue) bool { return true }

func scenarioOf(v BenchValue) string { return v.Scenario }
func policyOf(v BenchValue) string   { return v.Policy }
func columnOf(v BenchValue) string   { return v.Column }

// Find returns one value.
func (b Bench) Find(scenario, policy, column string) (BenchValue, bool) {
	i := slices.IndexFunc(b.Values, func(v BenchValue) bool {
		return v.Scenario == scenario && v.Policy == policy && v.Column == column
	})
	if i < 0 {
		return BenchValue{}, false
	}
	return b.Values[i], true
}

// WriteMarkdown writes a table for each scenario: a row a policy, medians with
// the lowest and the highest run.
func (b Bench) WriteMarkdown(w io.Writer) error {
	p := printer{w: w}
	p.printf("# Bench\n\nMedians of the runs; in brackets the lowest and the highest where they differ.\n")
	for _, scenario := range b.list(scenarioOf, all) {
		inScenario := func(v BenchValue) bool { return v.Scenario == scenario }
		columns := b.list(columnOf, inScenario)
		p.printf("\n## %s\n\n| policy | %s |\n|---|%s\n", scenario, strings.Join(columns, " | "), strings.Repeat("--:|", len(columns)))
		for _, policy := range b.list(policyOf, inScenario) {
			p.printf("| %s |", policy)
			for _, column := range columns {
				p.printf(" %s |", b.cell(scenario, policy, column))
			}
			p.printf("\n")
		}
	}
	return Error.Wrap(p.err)
}

func (b Bench) cell(scenario, policy, column string) string {
	v, ok := b.Find(scenario, policy, column)
	if !ok {
		return "-"
	}
	if v.Low == v.High {
		return fmt.Sprintf("%g", v.Median)
	}
	return fmt.Sprintf("%g (%g to %g)", v.Median, v.Low, v.High)
}

// WritePlots draws one bar chart for each column that is a time in
// milliseconds, scenarios side by side, and returns the files' names.
func (b Bench) WritePlots(dir string) ([]string, error) {
	var files []string
	for _, column := range b.list(columnOf, func(v BenchValue) bool { return strings.HasSuffix(v.Column, "Ms") }) {
		p, err := b.barChart(column)
		if err != nil {
			return files, err
		}
		name := strings.ReplaceAll(column, ".", "_") + ".png"
		if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, name)); err != nil {
			return files, Error.Wrap(err)
		}
		files = append(files, name)
	}
	return files, nil
}

func (b Bench) barChart(column string) (*plot.Plot, error) {
	scenarios, policies := b.list(scenarioOf, all), b.list(policyOf, all)
	p := newPlot(column)
	p.Y.Label.Text = "ms"
	const groupWidth = 2.4 * vg.Centimeter
	width := groupWidth / vg.Length(max(1, len(policies)))
	for i, policy := range policies {
		heights := make(plotter.Values, len(scenarios))
		for n, scenario := range scenarios {
			v, _ := b.Find(scenario, policy, column)
			heights[n] = v.Median
		}
		bars, err := plotter.NewBarChart(heights, width)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = width * (vg.Length(i) - vg.Length(len(policies)-1)/2)
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.NominalX(scenarios...)
	return p, nil
}
