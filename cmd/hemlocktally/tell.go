package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"hemlocktally/commander"
	"hemlocktally/interpreter"
)

func tellCommand() *cli.Command {
	return &cli.Command{
		Name:      "tell",
		Usage:     "give the fleet a command",
		ArgsUsage: "COMMAND",
		Description: "An accepted command lasts. The language stands in docs/operators/language.md.\n" +
			"Examples:\n" +
			"  hemlocktally tell 'take out AvailabilityZone kingston-a wait because \"rotation\"'\n" +
			"  hemlocktally tell 'bring back Target catalogue/catalogue-1 dry run'\n" +
			"  hemlocktally tell 'change Contract CounterSearch set Deadline = 300ms, Hedge = false base 12'",
		Flags: operatorFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			text, err := statementArgument(c, "take out AvailabilityZone kingston-a")
			if err != nil {
				return err
			}
			client, err := newOperatorClient(c)
			if err != nil {
				return err
			}
			return runCommand(ctx, client, c.Root().Writer, text)
		},
	}
}

// runCommand sends a command and shows its steps.
func runCommand(ctx context.Context, client *operatorClient, w io.Writer, text string) error {
	statement, err := interpreter.Parse(text)
	if err != nil {
		return err
	}
	if _, ok := statement.(interpreter.Command); !ok {
		return &usageError{fmt.Errorf("this is a question: use hemlocktally ask")}
	}
	return client.follow(ctx, "/tell", []byte(text), showSteps(w))
}

// showSteps writes each step, but one that says the same as the one before.
func showSteps(w io.Writer) func(commander.StepMsg) {
	last := ""
	return func(step commander.StepMsg) {
		lines := stepLines(step)
		text := strings.Join(lines, "\n")
		if text != last {
			_ = writeLines(w, lines)
		}
		last = text
	}
}

// stepLines tells one step of a command to a person.
func stepLines(step commander.StepMsg) []string {
	var lines []string
	switch step.Kind {
	case commander.StepPlanned:
		lines = append(lines, fmt.Sprintf("on revision %d, %s", step.Revision, step.Detail))
	case commander.StepAccepted:
		lines = append(lines, fmt.Sprintf("accepted as revision %d", step.Revision))
	case commander.StepWaiting:
		lines = append(lines, fmt.Sprintf("in force on %d of %d instances", step.InForce, step.Instances))
	case commander.StepInForce:
		lines = append(lines, fmt.Sprintf("in force on all %d instances after %s", step.Instances, step.Took.Round(time.Millisecond)))
	case commander.StepProvisional, commander.StepFailed:
		lines = append(lines, step.Detail)
	}
	for _, d := range step.Differences {
		lines = append(lines, "  "+d.String())
	}
	return lines
}
