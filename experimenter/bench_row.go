package experimenter

import (
	"fmt"
	"slices"
	"time"
)

// BenchRow is the median of several runs of one scenario under one policy.
type BenchRow struct {
	Scenario string
	Policy   string
	Cells    []BenchCell
}

// BenchCell is one measured value: its median over the runs and its spread.
type BenchCell struct {
	Column string
	Median float64
	Low    float64
	High   float64
}

// LimitPolicy names the row of the shared queue without cost.
const LimitPolicy = "Limit"

// Summarize returns the medians of the runs of one scenario and policy.
func Summarize(results []BenchResult) BenchRow {
	row := BenchRow{Scenario: results[0].Scenario.Name, Policy: results[0].Policy}
	values := map[string][]float64{}
	var order []string
	for i := range results {
		for _, cell := range results[i].cells() {
			if values[cell.Column] == nil {
				order = append(order, cell.Column)
			}
			values[cell.Column] = append(values[cell.Column], cell.Median)
		}
	}
	for _, column := range order {
		list := slices.Sorted(slices.Values(values[column]))
		row.Cells = append(row.Cells, BenchCell{Column: column, Median: list[len(list)/2], Low: list[0], High: list[len(list)-1]})
	}
	return row
}

func (r *BenchResult) cells() []BenchCell {
	cells := timeCells(r.Times)
	if r.Policy == LimitPolicy {
		return cells
	}
	seconds := r.Scenario.For.Seconds()
	add := func(column string, value float64) { cells = append(cells, BenchCell{Column: column, Median: value}) }
	c := r.Counters
	add("AddedP50Ms", ms(r.AddedP50))
	add("AddedP99Ms", ms(r.AddedP99))
	add("GoodputPerS", float64(c.Done.Load()-c.Late.Load())/seconds)
	add("Refused", float64(c.Refused.Load()))
	add("Unknown", float64(c.Unknown.Load()))
	add("Retries", float64(r.Retried))
	add("Hedges", float64(r.Hedged))
	add("Probes", float64(r.Probes))
	add("ProbeBudget", r.ProbeBudget)
	add("ColdBreaches", float64(r.ColdBreaches))
	add("ToldColdBreaches", float64(r.ToldBreaches))
	add("Cut", float64(c.Cut.Load()))
	add("Lost", float64(c.Lost.Load()))
	add("FalseNotRun", float64(r.FalseNotRun))
	add("Doubled", float64(r.Doubled))
	add("Wrong", float64(c.Wrong.Load()))
	add("BrokenInvariants", float64(r.Broken))
	return cells
}

func timeCells(times *ClassTimes) []BenchCell {
	var cells []BenchCell
	for _, class := range []Class{ClassHigh, ClassNormal} {
		for _, q := range []struct {
			name  string
			share float64
		}{{"P50", 0.5}, {"P99", 0.99}, {"P99.9", 0.999}} {
			cells = append(cells, BenchCell{Column: fmt.Sprintf("%s%sMs", class, q.name), Median: ms(times.Quantile(class, q.share))})
		}
	}
	return cells
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
