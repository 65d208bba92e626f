package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"hemlocktally/inspector"
	"hemlocktally/reporter"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "write plots and tables of what a fleet, the bench or the journal recorded",
		Description: "Writes report.md and plots in PNG into the directory --out.\n" +
			"Examples:\n  hemlocktally report --out report --at 127.0.0.1:8082\n" +
			"  hemlocktally report --out report --bench out/bench.csv\n" +
			"  hemlocktally report --out report --journal journal",
		Flags: operatorFlags(
			&cli.StringFlag{Name: "out", Usage: "the `DIRECTORY` to write into", Value: "report"},
			&cli.StringFlag{Name: "bench", Usage: "report on the bench's CSV `FILE` in place of a fleet"},
			&cli.StringFlag{Name: "journal", Usage: "report on the measured rounds in the `DIRECTORY` in place of a fleet"},
		),
		Action: report,
	}
}

// reportSource is anything that a report is made of.
type reportSource interface {
	WriteMarkdown(w io.Writer) error
	WritePlots(dir string) ([]string, error)
}

func report(ctx context.Context, c *cli.Command) error {
	source, err := readReportSource(ctx, c)
	if err != nil {
		return err
	}
	dir := c.String("out")
	if err := os.MkdirAll(dir, 0o755); err != nil { //nolint:gosec // Reports are for everyone.
		return err
	}
	path := filepath.Join(dir, "report.md")
	page, err := os.Create(path) //nolint:gosec // The user names the directory.
	if err != nil {
		return err
	}
	defer func() { _ = page.Close() }()
	if err := source.WriteMarkdown(page); err != nil {
		return err
	}
	plots, err := source.WritePlots(dir)
	if err != nil {
		return err
	}
	for _, name := range plots {
		if _, err := fmt.Fprintf(page, "\n![%s](%s)\n", name, name); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(c.Root().Writer, "wrote %s and %d plots\n", path, len(plots))
	return err
}

func readReportSource(ctx context.Context, c *cli.Command) (reportSource, error) {
	if path := c.String("bench"); path != "" {
		file, err := os.Open(path) //nolint:gosec // The user names the file.
		if err != nil {
			return nil, &usageError{fmt.Errorf("--bench: %w", err)}
		}
		defer func() { _ = file.Close() }()
		return reporter.ReadBench(file)
	}
	if path := c.String("journal"); path != "" {
		if _, err := os.Stat(path); err != nil {
			return nil, &usageError{fmt.Errorf("--journal: %w", err)}
		}
		return reporter.ReadRounds(os.DirFS(path))
	}
	client, err := newOperatorClient(c)
	if err != nil {
		return nil, err
	}
	text, err := client.get(ctx, "/histograms")
	if err != nil {
		return nil, err
	}
	distributions, err := inspector.UnmarshalDistributions(text)
	return reporter.Fleet{Distributions: distributions, At: time.Now()}, err
}
