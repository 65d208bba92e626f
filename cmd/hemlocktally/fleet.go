package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"hemlocktally/measurer"
)

func benchFleetCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench-fleet",
		Usage: "measure membership and configuration over sizes of the fleet and of the configuration",
		Description: "Runs instances that serve no calls, with real sockets on loopback and a stand-in platform, and prints CSV:\n" +
			"one row for each size of the fleet, then one for each size of the configuration.\n" +
			"Example:\n  hemlocktally bench-fleet --instances 4,8,16 --services 10,2400",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "instances", Usage: "the sizes of the fleet, each with --base-services; 0 for none", Value: []int{4, 8, 16, 32, 64}},
			&cli.IntSliceFlag{Name: "services", Usage: "the sizes of the configuration, each with --base-instances; 0 for none", Value: []int{10, 100, 1000, 2400}},
			&cli.IntFlag{Name: "base-instances", Usage: "the fleet for the sizes of the configuration", Value: 16},
			&cli.IntFlag{Name: "base-services", Usage: "the configuration for the sizes of the fleet", Value: 10},
			&cli.IntFlag{Name: "changes", Usage: "how many changes are timed", Value: 40},
			&cli.IntFlag{Name: "crashes", Usage: "how many crashes are timed", Value: 3},
			&cli.DurationFlag{Name: "idle", Usage: "how long the resting fleet is watched", Value: 5 * time.Second},
			&cli.IntFlag{Name: "seed", Usage: "the seed of the stand-in platform", Value: 1},
		},
		Action: benchFleet,
	}
}

func benchFleet(ctx context.Context, c *cli.Command) error {
	base := measurer.Benchmark{
		Instances: c.Int("base-instances"), Services: c.Int("base-services"), Changes: c.Int("changes"),
		Crashes: c.Int("crashes"), Idle: c.Duration("idle"), Seed: uint64(c.Int("seed")),
	}
	var surveys []measurer.Benchmark
	for _, instances := range c.IntSlice("instances") {
		survey := base
		survey.Instances = instances
		surveys = append(surveys, survey)
	}
	for _, services := range c.IntSlice("services") {
		survey := base
		survey.Services = services
		surveys = append(surveys, survey)
	}
	surveys = slices.DeleteFunc(surveys, func(s measurer.Benchmark) bool { return s.Instances <= 0 || s.Services <= 0 })
	var rows []measurer.Result
	for n, survey := range surveys {
		_, _ = fmt.Fprintf(os.Stderr, "%d of %d: %d instances, %d services\n", n+1, len(surveys), survey.Instances, survey.Services)
		row, err := survey.Run(ctx)
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	return measurer.WriteCSV(c.Root().Writer, rows)
}
