package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"

	"hemlocktally/experimenter"
	"hemlocktally/loader"
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "measure the routing policies side by side on real instances",
		Description: "Runs each scenario under each policy, one after another within a round, and prints medians.\n" +
			"Example:\n  hemlocktally bench --scenario scenarios/stragglers.ini --runs 3 --out out",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "scenario", Usage: "an INI `FILE` of a scenario; may be repeated"},
			&cli.StringFlag{Name: "policies", Usage: "the policies, with commas between", Value: strings.Join(loader.Policies, ",")},
			&cli.IntFlag{Name: "runs", Usage: "how often each scenario runs under each policy", Value: 3},
			&cli.IntFlag{Name: "seed", Usage: "the seed of the first run", Value: 1},
			&cli.StringFlag{Name: "out", Usage: "write bench.csv and plots to `DIRECTORY`"},
		},
		Action: bench,
	}
}

func bench(ctx context.Context, c *cli.Command) error {
	scenarios, err := loadScenarios(c.StringSlice("scenario"))
	if err != nil {
		return err
	}
	policies := strings.Split(c.String("policies"), ",")
	progress := mpb.New(mpb.WithOutput(os.Stderr), mpb.WithWidth(40))
	var rows []experimenter.BenchRow
	for _, scenario := range scenarios {
		r := &benchRounds{scenario: scenario, policies: policies, runs: c.Int("runs"), seed: uint64(c.Int("seed")), progress: progress}
		results, err := r.run(ctx)
		if err != nil {
			return err
		}
		rows = append(rows, summarize(results, policies)...)
		if err := writePlot(c.String("out"), scenario.Name, results); err != nil {
			return err
		}
	}
	progress.Wait()
	if dir := c.String("out"); dir != "" {
		if err := experimenter.WriteCSV(dir, rows); err != nil {
			return err
		}
	}
	return printRows(c.Root().Writer, rows)
}

func loadScenarios(paths []string) ([]experimenter.Scenario, error) {
	if len(paths) == 0 {
		scenario := experimenter.DefaultScenario()
		scenario.Name = "steady"
		return []experimenter.Scenario{scenario}, nil
	}
	scenarios := make([]experimenter.Scenario, 0, len(paths))
	for _, path := range paths {
		scenario, err := experimenter.LoadScenario(path)
		if err != nil {
			return nil, err
		}
		scenarios = append(scenarios, scenario)
	}
	return scenarios, nil
}

func writePlot(dir, name string, results []experimenter.BenchResult) error {
	if dir == "" {
		return nil
	}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	return experimenter.WritePlot(dir, name, results)
}

type benchRounds struct {
	scenario experimenter.Scenario
	policies []string
	runs     int
	seed     uint64
	progress *mpb.Progress
}

// run runs all policies in each round with that round's seed, and adds the
// limit for the same arrivals.
func (r *benchRounds) run(ctx context.Context) ([]experimenter.BenchResult, error) {
	var results []experimenter.BenchResult
	for i := range r.runs {
		seed := r.seed + uint64(i)
		for _, policy := range r.policies {
			run := experimenter.BenchRun{Scenario: r.scenario, Policy: policy, Seed: seed}
			result, err := r.one(ctx, run, i)
			if err != nil {
				return nil, fmt.Errorf("%s, %s, seed %d: %w", r.scenario.Name, policy, seed, err)
			}
			results = append(results, result)
		}
		limit := experimenter.BenchRun{Scenario: r.scenario, Policy: experimenter.LimitPolicy, Seed: seed}
		results = append(results, experimenter.BenchResult{BenchRun: limit, Times: r.scenario.Limit(seed)})
	}
	return results, nil
}

func (r *benchRounds) one(ctx context.Context, run experimenter.BenchRun, round int) (experimenter.BenchResult, error) {
	const step = 100 * time.Millisecond
	var counters experimenter.BenchCounters
	bar := r.progress.AddBar(int64(r.scenario.For/step),
		mpb.PrependDecorators(decor.Name(fmt.Sprintf("%s %s %d/%d ", r.scenario.Name, run.Policy, round+1, r.runs))),
		mpb.AppendDecorators(decor.Any(func(decor.Statistics) string {
			return fmt.Sprintf("sent %d, done %d, refused %d", counters.Sent.Load(), counters.Done.Load(), counters.Refused.Load())
		})))
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	done := make(chan struct{})
	var result experimenter.BenchResult
	var err error
	go func() {
		defer close(done)
		result, err = run.Run(ctx, &counters)
	}()
	for {
		select {
		case <-ticker.C:
			if counters.Sent.Load() > 0 {
				bar.Increment()
			}
		case <-done:
			bar.SetTotal(-1, true)
			return result, err
		}
	}
}

func summarize(results []experimenter.BenchResult, policies []string) []experimenter.BenchRow {
	var rows []experimenter.BenchRow
	for _, policy := range append(policies, experimenter.LimitPolicy) {
		var runs []experimenter.BenchResult
		for i := range results {
			if results[i].Policy == policy {
				runs = append(runs, results[i])
			}
		}
		if len(runs) > 0 {
			rows = append(rows, experimenter.Summarize(runs))
		}
	}
	return rows
}

// printRows prints one table for each scenario: a line for each column, so that
// the policies stand side by side.
func printRows(w io.Writer, rows []experimenter.BenchRow) error {
	for start := 0; start < len(rows); {
		end := start
		for end < len(rows) && rows[end].Scenario == rows[start].Scenario {
			end++
		}
		if err := printScenario(w, rows[start:end]); err != nil {
			return err
		}
		start = end
	}
	return nil
}

func printScenario(w io.Writer, rows []experimenter.BenchRow) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(table, "\n%s\t", rows[0].Scenario)
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%s\t", row.Policy)
	}
	_, _ = fmt.Fprintln(table)
	for i, cell := range rows[0].Cells {
		_, _ = fmt.Fprintf(table, "%s\t", cell.Column)
		for _, row := range rows {
			if i < len(row.Cells) {
				_, _ = fmt.Fprint(table, cellText(row.Cells[i]))
			}
			_, _ = fmt.Fprint(table, "\t")
		}
		_, _ = fmt.Fprintln(table)
	}
	return table.Flush()
}

func cellText(c experimenter.BenchCell) string {
	if c.Low == c.High {
		return fmt.Sprintf("%.4g", c.Median)
	}
	return fmt.Sprintf("%.4g (%.4g..%.4g)", c.Median, c.Low, c.High)
}
