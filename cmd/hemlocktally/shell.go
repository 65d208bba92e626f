package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/peterh/liner"
	"github.com/urfave/cli/v3"

	"hemlocktally/interpreter"
)

func shellCommand() *cli.Command {
	return &cli.Command{
		Name:  "shell",
		Usage: "ask and tell interactively, with history and completion",
		Description: "Tab completes, the arrows go through the history, Ctrl-D ends it.\n" +
			"Example:\n  hemlocktally shell --at 127.0.0.1:8082 --key-file ~/.hemlocktally-key",
		Flags:  operatorFlags(&cli.StringFlag{Name: "history", Usage: "keep the history in `FILE`", Value: defaultHistory()}),
		Action: shell,
	}
}

func defaultHistory() string {
	home, err := os.UserHomeDir()
	if err != nil {
		return ""
	}
	return filepath.Join(home, ".hemlocktally_history")
}

func shell(ctx context.Context, c *cli.Command) error {
	client, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	line := liner.NewLiner()
	defer func() { _ = line.Close() }()
	line.SetCtrlCAborts(true)
	line.SetCompleter(interpreter.Complete)
	readHistory(line, c.String("history"))
	defer writeHistory(line, c.String("history"))
	w := c.Root().Writer
	for ctx.Err() == nil {
		text, err := line.Prompt("hemlocktally> ")
		if errors.Is(err, io.EOF) || errors.Is(err, liner.ErrPromptAborted) {
			return nil
		}
		if err != nil {
			return err
		}
		text = strings.TrimSpace(text)
		if text == "exit" || text == "quit" {
			return nil
		}
		if text != "" {
			line.AppendHistory(text)
			shellStatement(ctx, client, w, text)
		}
	}
	return nil
}

// shellStatement runs one line. Its faults are shown and the shell goes on.
func shellStatement(ctx context.Context, client *operatorClient, w io.Writer, text string) {
	statement, err := interpreter.Parse(text)
	if err == nil {
		if _, ok := statement.(interpreter.Command); ok {
			err = runCommand(ctx, client, w, text)
		} else {
			err = runQuestion(ctx, client, w, text)
		}
	}
	if err != nil {
		_, _ = fmt.Fprintln(w, err)
	}
}

func readHistory(line *liner.State, path string) {
	file, err := os.Open(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return
	}
	defer func() { _ = file.Close() }()
	_, _ = line.ReadHistory(file)
}

func writeHistory(line *liner.State, path string) {
	if path == "" {
		return
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600) //nolint:gosec // The operator names the file.
	if err != nil {
		return
	}
	defer func() { _ = file.Close() }()
	_, _ = line.WriteHistory(file)
}
