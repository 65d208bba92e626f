package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"hemlocktally/inspector"
	"hemlocktally/interpreter"
)

func askCommand() *cli.Command {
	return &cli.Command{
		Name:      "ask",
		Usage:     "ask the fleet a question",
		ArgsUsage: "QUESTION",
		Description: "Any instance answers for the whole fleet. The language stands in docs/operators/language.md.\n" +
			"Examples:\n" +
			"  hemlocktally ask 'show Targets where InFlight > 0 order by Latency desc limit 10'\n" +
			"  hemlocktally ask 'show Refusals as JSON'\n" +
			"  hemlocktally ask 'explain Target catalogue/catalogue-1'",
		Flags: operatorFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			text, err := statementArgument(c, "show Targets")
			if err != nil {
				return err
			}
			client, err := newOperatorClient(c)
			if err != nil {
				return err
			}
			return runQuestion(ctx, client, c.Root().Writer, text)
		},
	}
}

// statementArgument joins the arguments of a command line into one statement.
func statementArgument(c *cli.Command, example string) (string, error) {
	text := strings.Join(c.Args().Slice(), " ")
	if strings.TrimSpace(text) == "" {
		return "", &usageError{fmt.Errorf("hemlocktally %s needs a statement in quotes, such as: hemlocktally %s '%s'", c.Name, c.Name, example)}
	}
	if _, err := interpreter.Parse(text); err != nil {
		return "", err
	}
	return text, nil
}

// runQuestion asks and shows the answer in the format of the question.
func runQuestion(ctx context.Context, client *operatorClient, w io.Writer, text string) error {
	statement, err := interpreter.Parse(text)
	if err != nil {
		return err
	}
	switch statement := statement.(type) {
	case interpreter.Query:
		var answer inspector.Answer
		if err := client.ask(ctx, text, &answer); err != nil {
			return err
		}
		if statement.Format == interpreter.FormatJSON {
			return writeIndented(w, answer)
		}
		return writeAnswer(w, answer)
	case interpreter.ExplainRequest:
		var explained inspector.Explanation
		if err := client.ask(ctx, text, &explained); err != nil {
			return err
		}
		if statement.Format == interpreter.FormatJSON {
			return writeIndented(w, explained)
		}
		return writeLines(w, append(explained.Lines, partLines(explained.Parts)...))
	default:
		return &usageError{fmt.Errorf("this is a command: use hemlocktally tell")}
	}
}

func writeIndented(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func writeLines(w io.Writer, lines []string) error {
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return nil
}

// writeAnswer shows the rows as a table, and which parts are missing or old.
func writeAnswer(w io.Writer, answer inspector.Answer) error {
	schema, _ := interpreter.SchemaOf(string(answer.Topic))
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, strings.Join(schema.ColumnNames(), "\t"))
	for _, row := range answer.Rows {
		values := make([]string, len(schema.Columns))
		for n, column := range schema.Columns {
			values[n] = shown(column.Kind, schema.Get(row, column.Name))
		}
		_, _ = fmt.Fprintln(table, strings.Join(values, "\t"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return writeLines(w, append([]string{countLine(answer)}, partLines(answer.Parts)...))
}

func countLine(answer inspector.Answer) string {
	reached := len(answer.Parts) - len(answer.Unreached())
	rows := "rows"
	if len(answer.Rows) == 1 {
		rows = "row"
	}
	return fmt.Sprintf("%d %s, from %d of %d instances", len(answer.Rows), rows, reached, len(answer.Parts))
}

func partLines(parts []inspector.Part) []string {
	var lines []string
	for _, p := range parts {
		switch {
		case p.Reached:
		case p.Remembered:
			lines = append(lines, fmt.Sprintf("! %s did not answer; its rows are %s old", p.Instance, p.Age.Round(time.Millisecond)))
		default:
			lines = append(lines, fmt.Sprintf("! %s did not answer; its rows are missing", p.Instance))
		}
	}
	return lines
}

// shown makes a value short enough for a table.
func shown(kind interpreter.Kind, value string) string {
	if value == "" {
		return "-"
	}
	if kind == interpreter.KindDuration {
		if d, err := time.ParseDuration(value); err == nil {
			return d.Round(10 * time.Microsecond).String()
		}
	}
	return value
}
