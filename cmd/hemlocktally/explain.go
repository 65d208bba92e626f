package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"

	"hemlocktally/tracer"
)

const largeLog = 64 << 20 // largeLog is the size in bytes from which on reading shows its progress.

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell the story of one call from the logs of instances",
		ArgsUsage: "ID FILE...",
		Description: "Prints what the logs say of the call and what its instances believed then, with ages.\n" +
			"Example:\n  hemlocktally explain 9c41d07be2a35f68 edge-1.log edge-2.log",
		Flags:  []cli.Flag{offsetFlag()},
		Action: explain,
	}
}

func explain(_ context.Context, c *cli.Command) error {
	const least = 2
	if c.Args().Len() < least {
		return &usageError{fmt.Errorf("expected ID FILE...; see %s --help", c.FullName())}
	}
	offsets, err := offsetsOf(c)
	if err != nil {
		return err
	}
	logs := tracer.Logs{Call: c.Args().First(), Offsets: offsets}
	for _, path := range c.Args().Tail() {
		if err := readLog(&logs, path); err != nil {
			return err
		}
	}
	return logs.WriteTimeline(c.Root().Writer)
}

func offsetFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name: "offset", Usage: "add a time to the clock of an instance, as `INSTANCE=TIME`, such as edge-2=-1.5s",
	}
}

// offsetsOf reads the flag.
func offsetsOf(c *cli.Command) (map[string]time.Duration, error) {
	offsets := map[string]time.Duration{}
	for _, text := range c.StringSlice("offset") {
		instance, value, ok := strings.Cut(text, "=")
		offset, err := time.ParseDuration(value)
		if !ok || err != nil {
			return nil, &usageError{fmt.Errorf("--offset: found %q, allowed: INSTANCE=TIME such as edge-2=-1.5s", text)}
		}
		offsets[instance] = offset
	}
	return offsets, nil
}

// logReader takes logs in.
type logReader interface {
	Read(r io.Reader, name string) error
}

// readLog reads one file, with its progress where it is large.
func readLog(logs logReader, path string) error {
	file, err := os.Open(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	var source io.Reader = file
	info, err := file.Stat()
	if err != nil {
		return err
	}
	if info.Size() > largeLog {
		progress := mpb.New(mpb.WithOutput(os.Stderr))
		bar := progress.AddBar(info.Size(), mpb.PrependDecorators(decor.Name(path)), mpb.AppendDecorators(decor.Percentage()))
		if source, err = bar.ProxyReader(file); err != nil {
			return err
		}
		defer progress.Wait()
		defer bar.Abort(false)
	}
	return logs.Read(source, path)
}
