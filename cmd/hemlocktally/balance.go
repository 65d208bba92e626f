package main

import (
	"context"
	"net/http"
	"os"

	"github.com/urfave/cli/v3"

	"hemlocktally/balancer"
	"hemlocktally/logger"
	"hemlocktally/platform"
)

func balanceCommand() *cli.Command {
	return &cli.Command{
		Name:        "balance",
		Usage:       "run one entry instance on a platform that keeps the configuration and the list of targets",
		Description: "Example:\n  hemlocktally balance --settings examples/settings/balance.ini",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: settingsFlag, Usage: "the settings `FILE` in INI", Required: true, Sources: cli.EnvVars("HEMLOCKTALLY_BOOT"),
		}},
		Action: balance,
	}
}

func balance(ctx context.Context, c *cli.Command) error {
	path := c.String(settingsFlag)
	settings, err := balancer.Load(path)
	if err != nil {
		return err
	}
	settings.LimitMemory()
	lines := logger.NewWriter(os.Stdout, 0)
	log, err := logger.New(lines, settings.Log.Format, settings.Log.Level)
	if err != nil {
		return err
	}
	log.Instance = settings.Instance.ID
	writing, stopWriting := context.WithCancel(context.WithoutCancel(ctx))
	written := make(chan struct{})
	go func() {
		defer close(written)
		lines.Run(writing, log)
	}()
	defer func() {
		stopWriting()
		<-written
	}()
	noteReloads(func() error { _, err := balancer.Load(path); return err }, path, log)
	store := &platform.Store{Address: settings.Platform.Store, HTTP: &http.Client{Transport: balancer.StoreTransport()}}
	b := &balancer.Balancer{
		Settings: settings, Platform: platform.Translator{}, Log: log, Directory: store, StoreCalls: store.Calls, LinesDropped: lines.Dropped,
	}
	store.OnGeneration = b.NoteGeneration
	return b.Run(ctx)
}
