package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"hemlocktally/balancer"
	"hemlocktally/examples"
)

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "check a settings file, or print a documented sample",
		Commands: []*cli.Command{
			{
				Name:      "check",
				Usage:     "check a settings file without starting anything",
				ArgsUsage: "FILE",
				Description: "Names every bad key and exits with 3; exits with 0 where all are good.\n" +
					"Example:\n  hemlocktally settings check examples/settings/entry.ini\n" +
					"  hemlocktally settings check --balance examples/settings/balance.ini",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: settingsFlag, Usage: "the settings `FILE`, in place of the argument"},
					&cli.BoolFlag{Name: "balance", Usage: "the file is for hemlocktally balance"},
				},
				Action: checkSettings,
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

// checkSettings checks the file that the command line names.
func checkSettings(_ context.Context, c *cli.Command) error {
	path := c.Args().First()
	if path == "" {
		path = c.String(settingsFlag)
	}
	if path == "" || c.Args().Len() > 1 {
		return &usageError{fmt.Errorf("expected one FILE; see %s --help", c.FullName())}
	}
	var err error
	if c.Bool("balance") {
		_, err = balancer.Load(path)
	} else {
		_, err = readSettings(path)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.Root().Writer, path+": all keys are good")
	return err
}
