package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"hemlocktally/reporter"
	"hemlocktally/tracer"
)

func lossesCommand() *cli.Command {
	return &cli.Command{
		Name:      "losses",
		Usage:     "tell from the logs of instances which calls were refused, failed or late, when, and where their time went",
		ArgsUsage: "FILE...",
		Description: "Counts by contract and cause, and names the worst seconds. Logs of any length and number are read as a stream.\n" +
			"Example:\n  hemlocktally losses --plot losses.png edge-*.log",
		Flags: []cli.Flag{
			offsetFlag(),
			&cli.StringFlag{Name: "plot", Usage: "draw the calls lost in each second into the PNG `FILE`"},
		},
		Action: losses,
	}
}

// errNoLogLine says that no file held a log line.
var errNoLogLine = errors.New("no log line of an instance in any file: are these logs in JSON (Log.Format = JSON)?")

func losses(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return &usageError{fmt.Errorf("expected FILE...; see %s --help", c.FullName())}
	}
	offsets, err := offsetsOf(c)
	if err != nil {
		return err
	}
	all := tracer.Losses{Offsets: offsets}
	for _, path := range c.Args().Slice() {
		if err := readLog(&all, path); err != nil {
			return err
		}
	}
	if all.Lines == 0 {
		return errNoLogLine
	}
	if err := all.Write(c.Root().Writer); err != nil {
		return err
	}
	file := c.String("plot")
	if file == "" {
		return nil
	}
	seconds, calls := all.Seconds()
	if len(seconds) == 0 {
		return nil
	}
	return reporter.PlotLosses(file, seconds, calls)
}
