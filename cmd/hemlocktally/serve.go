package main

import (
	"context"
	"errors"
	"os"

	"github.com/urfave/cli/v3"

	"hemlocktally"
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
	err := loader.Load(path, &settings)
	var bad *hemlocktally.SettingError
	if errors.As(err, &bad) && bad.Section == "" {
		return settings, err // The file can't be read at all.
	}
	loader.ApplyEnvironment(&settings)
	settings = settings.WithDefaults()
	return settings, errors.Join(err, settings.Check(path))
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
	path := c.String(settingsFlag)
	noteReloads(func() error { _, err := readSettings(path); return err }, path, log)
	listeners, err := runner.Listen(settings.Listen)
	if err != nil {
		return err
	}
	return runner.New(settings, log, listeners).Run(ctx)
}
