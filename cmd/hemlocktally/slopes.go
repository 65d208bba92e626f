package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"hemlocktally/surveyor"
)

func slopesCommand() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "measure how costs grow, and work them out at the size of docs/CAPACITY.md",
		Description: "Runs idle fleets of 4 to 64 instances in this process, configurations of up to 2,400 services and 20,000 targets,\n" +
			"and changes at several rates; takes about two minutes.\n" +
			"Examples:\n  hemlocktally slopes\n  hemlocktally slopes --page docs/CAPACITY.md",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "runs", Usage: "how often each place is measured", Value: 3},
			&cli.IntFlag{Name: "most", Usage: "the most instances of a fleet", Value: 64},
			&cli.StringFlag{Name: "page", Usage: "replace the table in the `FILE`"},
		},
		Action: slopes,
	}
}

func slopes(ctx context.Context, c *cli.Command) error {
	runs := c.Int("runs")
	if runs < 1 {
		return &usageError{fmt.Errorf("--runs: found %d, allowed: 1 or more", runs)}
	}
	series, err := surveyor.Records([]int{10, 100, 1000, 2400}, runs)
	if err != nil {
		return err
	}
	series = append(series, surveyor.Turns([]int{8, 64, 256, 512}, runs), surveyor.Owners([]int{4, 16, 64, 256, 1024}, runs))
	listing, err := surveyor.Listing([]int{4, 16, 64, 256, 1024})
	if err != nil {
		return err
	}
	series = append(series, listing)
	var sizes []int
	for _, n := range []int{4, 8, 16, 32, 64} {
		if n <= c.Int("most") {
			sizes = append(sizes, n)
		}
	}
	fleets, err := surveyor.Fleets(ctx, sizes, runs)
	if err != nil {
		return err
	}
	changes, err := surveyor.Changes(ctx, []int{0, 60, 300, 600}, runs)
	if err != nil {
		return err
	}
	table := surveyor.Table(append(append(series, fleets...), changes...), surveyor.Stated)
	path := c.String("page")
	if path == "" {
		_, err = fmt.Fprint(c.Root().Writer, table)
		return err
	}
	page, err := os.ReadFile(path) //nolint:gosec // The user names the file.
	if err != nil {
		return err
	}
	text, err := surveyor.Rewrite(string(page), table)
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(text), 0o644) //nolint:gosec // The page is public.
}
