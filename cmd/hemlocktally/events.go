package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"hemlocktally/logger"
)

func eventsCommand() *cli.Command {
	return &cli.Command{
		Name:        "events",
		Usage:       "print the catalogue of log events",
		Description: "Example:\n  hemlocktally events --out docs/EVENTS.md",
		Flags:       []cli.Flag{&cli.StringFlag{Name: "out", Usage: "write to `FILE` in place of the terminal"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if path := c.String("out"); path != "" {
				return os.WriteFile(path, []byte(logger.Markdown()), 0o644) //nolint:gosec // The page is public.
			}
			_, err := fmt.Fprint(c.Root().Writer, logger.Markdown())
			return err
		},
	}
}
