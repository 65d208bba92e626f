package main

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"hemlocktally/soaker"
)

func claimsCommand() *cli.Command {
	return &cli.Command{
		Name:        "claims",
		Usage:       "measure claims: what a key costs, and how fast keys run again after crashes and planned stops",
		Description: "Example:\n  hemlocktally claims --rounds 5",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "instances", Usage: "how many instances run", Value: 16},
			&cli.IntFlag{Name: "rounds", Usage: "how many instances crash, and how many stop", Value: 3},
			&cli.IntFlag{Name: "calls", Usage: "how many calls are timed with and without a key", Value: 400},
		},
		Action: measureClaims,
	}
}

func measureClaims(ctx context.Context, c *cli.Command) error {
	times := &soaker.ClaimTimes{Instances: c.Int("instances"), Rounds: c.Int("rounds"), Calls: c.Int("calls")}
	r, err := times.Run(ctx)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "measure\tcount\tmedian\tworst")
	for _, row := range []struct {
		name  string
		times []time.Duration
	}{
		{"call without a key", r.WithoutKey},
		{"call with a key", r.WithKey},
		{"crash until keys of lost ranges are answered", r.Answered},
		{"crash until new keys of lost ranges run", r.Resumed},
		{"planned stop until all ranges are handed over", r.HandedOver},
	} {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\n", row.name, len(row.times), milliseconds(soaker.Median(row.times)), milliseconds(soaker.Worst(row.times)))
	}
	_, _ = fmt.Fprintf(table, "keyed calls not done during planned stops\t%d of %d\n", r.StopRefusals, r.StopCalls)
	_, _ = fmt.Fprintf(table, "store calls a second, idle\t%.1f\n", r.IdlePerSecond)
	_, _ = fmt.Fprintf(table, "store calls a second, with keyed calls\t%.1f\n", r.BusyPerSecond)
	return table.Flush()
}
