package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/urfave/cli/v3"

	"hemlocktally/imitator"
)

const listenFlag = "listen"

func listenFlags(value string) []cli.Flag {
	return []cli.Flag{&cli.StringFlag{Name: listenFlag, Usage: "the IP:port to listen on", Value: value}}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:        "platform",
		Usage:       "run the stand-in of the platform's key-value service and instance list",
		Description: "Example:\n  hemlocktally platform --listen 127.0.0.1:7000",
		Flags:       listenFlags("127.0.0.1:7000"),
		Action: func(ctx context.Context, c *cli.Command) error {
			return serveStandIn(ctx, c, (&imitator.Platform{}).Serve)
		},
	}
}

func targetCommand() *cli.Command {
	flags := append(listenFlags("127.0.0.1:9001"),
		&cli.StringFlag{Name: "name", Usage: "the name in its answers", Value: "target-1"},
		&cli.DurationFlag{Name: "mean", Usage: "the mean time of a call", Value: 10 * time.Millisecond},
		&cli.BoolFlag{Name: "cold", Usage: "start cold"},
	)
	return &cli.Command{
		Name:        "target",
		Usage:       "run a stand-in target",
		Description: "Example:\n  hemlocktally target --listen 127.0.0.1:9001 --mean 10ms",
		Flags:       flags,
		Action: func(ctx context.Context, c *cli.Command) error {
			target := &imitator.Target{Name: c.String("name"), Mean: c.Duration("mean"), StartCold: c.Bool("cold")}
			return serveStandIn(ctx, c, target.Serve)
		},
	}
}

func serveStandIn(ctx context.Context, c *cli.Command, serve func(context.Context, net.Listener) error) error {
	listener, err := net.Listen("tcp", c.String(listenFlag))
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(c.Root().Writer, "listening on", listener.Addr()); err != nil {
		return err
	}
	return serve(ctx, listener)
}
