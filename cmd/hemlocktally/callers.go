package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/urfave/cli/v3"

	"hemlocktally"
)

func callersCommand() *cli.Command {
	return &cli.Command{
		Name:  "callers",
		Usage: "run stand-in callers that send GET requests at a fixed rate",
		Description: "Sends to the addresses in turn, as the platform's balancer would, and prints what came of the calls.\n" +
			"Example:\n  hemlocktally callers --to 127.0.0.1:8080 --to 127.0.0.1:8090 --rate 500 --for 10s --path /catalogue/",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "to", Usage: "the `IP:PORT` for callers of an instance; may be given several times", Required: true},
			&cli.FloatFlag{Name: "rate", Usage: "calls a second, 1 to 20000", Value: 100},
			&cli.DurationFlag{Name: "for", Usage: "how long calls are sent", Value: 10 * time.Second},
			&cli.StringFlag{Name: "path", Usage: "the start of each call's path", Value: "/catalogue/"},
		},
		Action: callers,
	}
}

const (
	maxCallerRate   = 20000
	maxOpenCalls    = 4096
	callerTimeout   = 10 * time.Second
	callerIdleLinks = 64
)

// callerCounts count what came of the calls.
type callerCounts struct {
	sent, done, refused, broken atomic.Uint64
}

func callers(ctx context.Context, c *cli.Command) error {
	rate := c.Float("rate")
	if rate < 1 || rate > maxCallerRate {
		return &usageError{fmt.Errorf("--rate: found %g, allowed: 1 to %d", rate, maxCallerRate)}
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("for"))
	defer cancel()
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: callerIdleLinks}}
	defer client.CloseIdleConnections()
	var counts callerCounts
	var open sync.WaitGroup
	turns := make(chan struct{}, maxOpenCalls)
	started := time.Now()
	addresses := c.StringSlice("to")
	for n := 0; waitUntil(ctx, started.Add(time.Duration(float64(n)/rate*float64(time.Second)))); n++ {
		turns <- struct{}{}
		url := fmt.Sprintf("http://%s%s%d", addresses[n%len(addresses)], c.String("path"), n)
		open.Go(func() {
			counts.call(client, url)
			<-turns
		})
	}
	open.Wait()
	_, err := fmt.Fprintf(c.Root().Writer, "sent %d, done %d, refused %d, broken %d in %s\n", counts.sent.Load(), counts.done.Load(),
		counts.refused.Load(), counts.broken.Load(), time.Since(started).Round(time.Millisecond))
	return err
}

// waitUntil reports whether the moment came before the context's end.
func waitUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

func (k *callerCounts) call(client *http.Client, url string) {
	k.sent.Add(1)
	response, err := client.Get(url)
	if err != nil {
		k.broken.Add(1)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		k.broken.Add(1)
		return
	}
	if strings.EqualFold(response.Header.Get(hemlocktally.HeaderOutcome), string(hemlocktally.OutcomeDone)) {
		k.done.Add(1)
		return
	}
	k.refused.Add(1)
}
