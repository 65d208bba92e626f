package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"hemlocktally/examples"
)

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "check a settings file, or print a documented sample",
		Commands: []*cli.Command{
			{
				Name:  "check",
				Usage: "check a settings file without starting anything",
				Description: "Names every bad key and exits with 3; exits with 0 where all are good.\n" +
					"Example:\n  hemlocktally settings check --settings examples/settings/entry.ini",
				Flags: settingsFlags(),
				Action: func(_ context.Context, c *cli.Command) error {
					if _, err := readSettings(c.String(settingsFlag)); err != nil {
						return err
					}
					_, err := fmt.Fprintln(c.Root().Writer, c.String(settingsFlag)+": all keys are good")
					return err
				},
			},
			{
				Name:        "sample",
				Usage:       "print a settings file with every key and its meaning",
				Description: "Example:\n  hemlocktally settings sample > entry.ini",
				Action: func(_ context.Context, c *cli.Command) error {
					_, err := fmt.Fprint(c.Root().Writer, examples.Settings())
					return err
				},
			},
		},
	}
}
