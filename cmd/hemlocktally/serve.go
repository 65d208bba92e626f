package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"hemlocktally/loader"
	"hemlocktally/logger"
	"hemlocktally/runner"
)

const settingsFlag = "settings"

func settingsFlags() []cli.Flag {
	return []cli.Flag{&cli.StringFlag{Name: settingsFlag, Usage: "the settings `FILE` in INI", Required: true}}
}

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:        "serve",
		Usage:       "run one entry instance",
		Description: "Example:\n  hemlocktally serve --settings examples/settings/entry.ini",
		Flags:       settingsFlags(),
		Action:      serve,
	}
}

// readSettings reads and checks a settings file before any port is opened.
func readSettings(path string) (loader.Settings, error) {
	var settings loader.Settings
	if err := loader.Load(path, &settings); err != nil {
		return settings, err
	}
	loader.ApplyEnvironment(&settings)
	settings = settings.WithDefaults()
	return settings, settings.Check(path)
}

func serve(ctx context.Context, c *cli.Command) error {
	settings, err := readSettings(c.String(settingsFlag))
	if err != nil {
		return err
	}
	log, err := logger.New(os.Stderr, settings.Log.Format, settings.Log.Level)
	if err != nil {
		return err
	}
	listeners, err := runner.Listen(settings.Listen)
	if err != nil {
		return err
	}
	return runner.New(settings, log, listeners).Run(ctx)
}

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "work with settings files",
		Commands: []*cli.Command{{
			Name:        "check",
			Usage:       "check a settings file without starting anything",
			Description: "Example:\n  hemlocktally settings check --settings examples/settings/entry.ini",
			Flags:       settingsFlags(),
			Action: func(_ context.Context, c *cli.Command) error {
				if _, err := readSettings(c.String(settingsFlag)); err != nil {
					return err
				}
				_, err := fmt.Fprintln(c.Root().Writer, c.String(settingsFlag)+": all keys are good")
				return err
			},
		}},
	}
}
