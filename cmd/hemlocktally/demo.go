package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"
	"github.com/zeebo/errs"

	"hemlocktally/experimenter"
	"hemlocktally/recorder"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "run both example deployments on loopback and print a table of their calls",
		Description: "Starts stand-in targets, platform and callers around 15 instances a deployment.\nExample:\n  hemlocktally demo --for 10s",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Usage: "how long each deployment runs", Value: 10 * time.Second},
			&cli.IntFlag{Name: "seed", Usage: "the seed of load and targets", Value: 1},
		},
		Action: demo,
	}
}

func demo(ctx context.Context, c *cli.Command) error {
	for _, scene := range demoScenes() {
		scene.deployment.Seed = uint64(c.Int("seed"))
		err := runScene(ctx, c.Root().Writer, scene, c.Duration("for"))
		if err != nil || ctx.Err() != nil {
			return err
		}
	}
	return nil
}

type demoScene struct {
	deployment experimenter.Deployment
	streams    []experimenter.Stream
}

func demoScenes() []demoScene {
	return []demoScene{
		{experimenter.Agency(), []experimenter.Stream{
			{Name: "crew", Method: "GET", Path: "/log/", Key: experimenter.CrewKey, Rate: 300},
			{Name: "public", Method: "GET", Path: "/log/", Rate: 700},
			{Name: "agreement", Method: "POST", Path: "/agreements/", Rate: 80, Keyed: true},
			{Name: "payment", Method: "POST", Path: "/payments/", Rate: 60, Keyed: true},
		}},
		{experimenter.Association(), []experimenter.Stream{
			{Name: "counter", Method: "GET", Path: "/catalogue/", Key: experimenter.CounterKey, Rate: 300},
			{Name: "search", Method: "GET", Path: "/catalogue/", Rate: 700},
			{Name: "hold", Method: "POST", Path: "/holds/", Rate: 100, Keyed: true},
			{Name: "deposit", Method: "POST", Path: "/deposits/", Rate: 60, Keyed: true},
		}},
	}
}

func runScene(ctx context.Context, w io.Writer, scene demoScene, span time.Duration) error {
	fleet, err := experimenter.Start(ctx, scene.deployment)
	if err != nil {
		return err
	}
	var counters experimenter.LoadCounters
	loadContext, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		showProgress(loadContext, scene.deployment.Name, span, &counters)
	}()
	experimenter.Load(loadContext, fleet, scene.streams, scene.deployment.Seed, &counters)
	<-stopped
	recorders := make([]*recorder.Recorder, 0, len(fleet.Daemons))
	for _, d := range fleet.Daemons {
		recorders = append(recorders, d.Recorder())
	}
	stopError := fleet.Stop()
	if err := printTable(w, scene.deployment.Name, recorder.Summarize(recorders...), fleet, &counters); err != nil {
		return err
	}
	return stopError
}

func showProgress(ctx context.Context, name string, span time.Duration, counters *experimenter.LoadCounters) {
	const step = 100 * time.Millisecond
	progress := mpb.New(mpb.WithOutput(os.Stderr), mpb.WithWidth(40))
	bar := progress.AddBar(int64(span/step),
		mpb.PrependDecorators(decor.Name(name+" ")),
		mpb.AppendDecorators(decor.Any(func(decor.Statistics) string {
			return fmt.Sprintf("sent %d, done %d, refused %d", counters.Sent.Load(), counters.Done.Load(), counters.Refused.Load())
		})))
	advance(ctx, progress, bar, step)
}

func printTable(w io.Writer, name string, summaries []recorder.Summary, fleet *experimenter.Fleet, counters *experimenter.LoadCounters) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(table, "\n%s\tCalls\tP50\tP99\tP99.9\tAddedP99\tRefused\tRetried\tHedged\t\n", name)
	for _, s := range summaries {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t\n", s.Contract, s.Calls,
			milliseconds(s.P50), milliseconds(s.P99), milliseconds(s.P999), milliseconds(s.AddedP99), s.Refused, s.Retried, s.Hedged)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	doubled := fleet.Doubled()
	_, err := fmt.Fprintf(w, "work doubled = %d, wrong answers = %d, broken answers = %d\n", doubled, counters.Wrong.Load(), counters.Broken.Load())
	if doubled > 0 || counters.Wrong.Load() > 0 {
		return errs.New("the demo broke a promise: work doubled %d, wrong answers %d", doubled, counters.Wrong.Load())
	}
	return err
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.2fms", float64(d.Microseconds())/1000)
}
