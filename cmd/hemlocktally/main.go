// Command hemlocktally runs an entry instance, the stand-ins around it, and the
// tools of its operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"

	"hemlocktally"
	"hemlocktally/commander"
	"hemlocktally/interpreter"
)

// Exit codes of the program.
const (
	exitFailed   = 1 // exitFailed says that the work failed.
	exitUsage    = 2 // exitUsage says that the command line was wrong.
	exitSettings = 3 // exitSettings says that a settings or contracts file was wrong.
	exitRefused  = 4 // exitRefused says that the fleet refused a command, which had no effect.
	exitLate     = 5 // exitLate says that a change is accepted but was not seen in force everywhere in time.
	exitUnknown  = 6 // exitUnknown says that the store lost its answer: the change may be accepted.
)

const version = "0.1.0"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	program := root()
	reportUsage(program)
	err := program.Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "hemlocktally:", err)
		os.Exit(exitCode(err))
	}
}

func root() *cli.Command {
	return &cli.Command{
		Name:  "hemlocktally",
		Usage: "a load balancer for callers whose work must be prompt, whole and done once",
		Description: "Exit codes: 0 done, 1 the work failed, 2 the command line or a statement was wrong, 3 a settings or contracts\n" +
			"file was wrong, 4 the fleet refused a command (it lost a race or names a thing that is not there), 5 a change is\n" +
			"accepted but was not seen in force everywhere in time, 6 the store lost its answer (ask show Revisions).\n" +
			"Ctrl-C stops gracefully: calls in flight are finished.",
		Commands: []*cli.Command{
			serveCommand(), balanceCommand(), demoCommand(), settingsCommand(), contractsCommand(), eventsCommand(), versionCommand(),
			askCommand(), tellCommand(), shellCommand(), reportCommand(), playgroundCommand(),
			benchCommand(), benchFleetCommand(), soakCommand(), claimsCommand(), slopesCommand(), explainCommand(), lossesCommand(), quarantineCommand(),
			platformCommand(), targetCommand(), callersCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// reportUsage makes a wrong command line a *usageError at every level of the
// commands, and lets a group of commands name what it has.
func reportUsage(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return &usageError{fmt.Errorf("%w; see %s --help", err, c.FullName())}
	}
	var names []string
	for _, sub := range command.Commands {
		reportUsage(sub)
		names = append(names, sub.Name)
	}
	if len(names) == 0 || command.Action != nil {
		return
	}
	command.Action = func(_ context.Context, c *cli.Command) error {
		if c.Args().Present() {
			return &usageError{fmt.Errorf("found %q, expected one of %s; see %s --help", c.Args().First(), strings.Join(names, ", "), c.FullName())}
		}
		return cli.ShowSubcommandHelp(c)
	}
}

// usageError says that the command line was wrong.
type usageError struct {
	cause error
}

// Error returns the cause.
func (e *usageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.cause }

func exitCode(err error) int {
	var usage *usageError
	var setting *hemlocktally.SettingError
	var syntax *interpreter.SyntaxError
	var fault *commander.Fault
	switch {
	case errors.As(err, &usage), errors.As(err, &syntax):
		return exitUsage
	case errors.As(err, &setting):
		return exitSettings
	case errors.As(err, &fault):
		return faultCode(fault)
	default:
		return exitFailed
	}
}

func faultCode(fault *commander.Fault) int {
	switch {
	case fault.Unknown:
		return exitUnknown
	case fault.Kind == commander.FaultSyntax:
		return exitUsage
	case fault.Kind == commander.FaultPlan, fault.Kind == commander.FaultConflict:
		return exitRefused
	case fault.Kind == commander.FaultLate:
		return exitLate
	default:
		return exitFailed
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, "hemlocktally", version)
			return err
		},
	}
}
