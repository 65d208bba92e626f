package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"
	"github.com/zeebo/errs"

	"hemlocktally/soaker"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run real instances under random faults and check the promises",
		Description: "The seed gives the schedule of the faults; the same seed plays it again.\n" +
			"Ends with exit code 1 where a promise was broken.\n" +
			"Example:\n  hemlocktally soak --seed 1 --for 10m --trace soak.trace",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "the seed of faults, targets and callers", Value: 1},
			&cli.DurationFlag{Name: "for", Usage: "how long the run lasts", Value: time.Minute},
			&cli.IntFlag{Name: "instances", Usage: "how many instances run at a time", Value: 16},
			&cli.FloatFlag{Name: "rate", Usage: "how many works start a second", Value: 120},
			&cli.StringFlag{Name: "trace", Usage: "write each fault and each broken promise to `FILE`"},
		},
		Action: soak,
	}
}

func soak(ctx context.Context, c *cli.Command) error {
	run := &soaker.Soak{
		Seed: c.Uint64("seed"), Span: c.Duration("for"), Instances: c.Int("instances"), Rate: c.Float("rate"),
	}
	if path := c.String("trace"); path != "" {
		file, err := os.Create(filepath.Clean(path))
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		run.Trace = file
	}
	w := c.Root().Writer
	if _, err := fmt.Fprintf(w, "seed %d\n", run.Seed); err != nil {
		return err
	}
	watched, cancel := context.WithTimeout(ctx, run.Span)
	shown := make(chan struct{})
	go func() {
		defer close(shown)
		showSoak(watched, run)
	}()
	report, err := run.Run(ctx)
	cancel()
	<-shown
	if err != nil {
		return err
	}
	if err := printSoak(w, report); err != nil {
		return err
	}
	if report.Broke() {
		_, _ = fmt.Fprintln(w, strings.Join(run.Tail(), "\n"))
		return errs.New("the soak with seed %d broke a promise", run.Seed)
	}
	return nil
}

func showSoak(ctx context.Context, run *soaker.Soak) {
	const step = 200 * time.Millisecond
	progress := mpb.New(mpb.WithOutput(os.Stderr), mpb.WithWidth(40))
	bar := progress.AddBar(int64(run.Span/step),
		mpb.PrependDecorators(decor.Name("soak ")),
		mpb.AppendDecorators(decor.Any(func(decor.Statistics) string {
			works, done := run.Progress()
			return fmt.Sprintf("works %d, done %d", works, done)
		})))
	advance(ctx, progress, bar, step)
}

func printSoak(w io.Writer, r soaker.Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	rows := []struct {
		name  string
		value int
	}{
		{"faults", r.Faults},
		{"works", r.Works},
		{"done", r.Done},
		{"of these, answered again from a claim", r.Replayed},
		{"refused as not run", r.NotRun},
		{"answered as unknown", r.Unknown},
		{"without an answer", r.Broken},
		{"works given up by their caller", r.Abandoned},
		{"changes accepted", r.Changes},
		{"changes that lost a race or the store", r.RacesLost},
		{"calls in a stopped zone, store or peers at fault", r.Hidden},
		{"PROMISE doubled work", r.Doubled},
		{"PROMISE false not run", r.FalseNotRun},
		{"PROMISE mixed or short answers", r.Wrong},
		{"PROMISE histories of keys that no register gives", r.Illegal},
		{"PROMISE reverted revisions", r.Reverted},
		{"PROMISE calls in a stopped zone after 2s", r.ZoneWork},
		{"PROMISE calls cut by planned stops", r.Cut},
		{"PROMISE calls cut by planned stops of paused instances", r.CutPaused},
		{"PROMISE invariants logged", r.Invariants},
	}
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%d\n", row.name, row.value)
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		_, _ = fmt.Fprintf(table, "refused: %s\t%d\n", reason, r.Reasons[reason])
	}
	for _, failure := range r.StopFailed {
		_, _ = fmt.Fprintf(table, "an instance ended with\t%s\n", failure)
	}
	return table.Flush()
}
