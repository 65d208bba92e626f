// Package commander carries out operators' commands: it plans the change,
// offers it to the fleet, and follows it until it is in force everywhere.
package commander

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"hemlocktally"
	"hemlocktally/interpreter"
)

// Changer offers a change to the fleet.
type Changer interface {
	hemlocktally.Configurer
	// Change has a change accepted, or refused with an error.
	Change(ctx context.Context, change hemlocktally.Change) (hemlocktally.Accepted, error)
	// Stop has a change that only takes out accepted or, while the store does not
	// answer, put in force provisionally.
	Stop(ctx context.Context, change hemlocktally.Change) (hemlocktally.Stopped, error)
	// WaitInForce waits until every member acts on the revision. It returns a
	// *hemlocktally.LaggingError once the context ends.
	WaitInForce(ctx context.Context, revision hemlocktally.Revision, progress func(done, all int)) error
}

// StepKind is the part of a command's life that a message is about.
type StepKind string

// The kinds of steps.
const (
	StepPlanned  StepKind = "Planned"  // StepPlanned shows what a dry run would change.
	StepAccepted StepKind = "Accepted" // StepAccepted has a revision that lasts.
	// StepProvisional is a stop that the instances keep among themselves, because
	// the store does not answer; the store settles it later.
	StepProvisional StepKind = "Provisional"
	StepWaiting     StepKind = "Waiting" // StepWaiting counts the instances where it is in force.
	StepInForce     StepKind = "InForce" // StepInForce is in force on every instance.
	StepFailed      StepKind = "Failed"  // StepFailed ends a command that had no effect, or was not in force in time.
)

// StepMsg is one line of the progress of a command.
type StepMsg struct {
	Kind        StepKind
	Revision    hemlocktally.Revision
	Differences []interpreter.Difference `json:",omitempty"`
	InForce     int                      // InForce counts the instances that have the revision.
	Instances   int
	Took        time.Duration // Took counts from the acceptance.
	Detail      string        `json:",omitempty"`
}

// Commander carries out commands on one instance. Its zero value lacks only the
// Changer.
type Commander struct {
	Changer   Changer
	WaitLimit time.Duration // WaitLimit bounds a wait; zero means 30 s.
}

const defaultWaitLimit = 30 * time.Second

// Tell carries out a command for an author and reports each step. The error is
// a *interpreter.PlanError, a *hemlocktally.RaceError, a
// *hemlocktally.ChangeError, a *hemlocktally.LaggingError, a
// *hemlocktally.UnknownChangeError or a failure of the store.
func (c *Commander) Tell(ctx context.Context, author string, command interpreter.Command, report func(StepMsg)) error {
	config := c.Changer.Current()
	commands, err := interpreter.Plan(command, config)
	if err != nil {
		return err
	}
	change := hemlocktally.Change{
		ID: ulid.Make().String(), Author: author, Base: config.Revision, Because: command.Because, Commands: commands,
	}
	if command.Base != 0 {
		change.Base = command.Base
	}
	options := Options{DryRun: command.DryRun, Wait: command.Wait, Stop: command.Action == interpreter.ActionTakeOut}
	return c.Offer(ctx, change, options, report)
}

// Options say how far a change is carried.
type Options struct {
	DryRun bool // DryRun only shows what would change.
	Wait   bool // Wait follows the change until it is in force everywhere.
	Stop   bool // Stop lets a change that only takes out be provisional while the store is down.
}

// Offer carries out a change as Tell does.
func (c *Commander) Offer(ctx context.Context, change hemlocktally.Change, options Options, report func(StepMsg)) error {
	config := c.Changer.Current()
	after, err := config.Apply(hemlocktally.Accepted{Revision: config.Revision + 1, Change: change})
	if err != nil {
		return err
	}
	differences := interpreter.Differences(config, after)
	if options.DryRun {
		return c.planned(config, change, differences, report)
	}
	accepted, err := c.send(ctx, change, options)
	if err != nil {
		return err
	}
	if accepted == nil {
		report(StepMsg{
			Kind: StepProvisional, Revision: config.Revision, Differences: differences,
			Detail: "the store does not answer: in force among the instances, to be settled by the store later",
		})
		return nil
	}
	report(StepMsg{Kind: StepAccepted, Revision: accepted.Revision, Differences: differences})
	if !options.Wait {
		return nil
	}
	return c.wait(ctx, accepted.Revision, report)
}

// send offers the change; it returns nil where a stop is provisional.
func (c *Commander) send(ctx context.Context, change hemlocktally.Change, options Options) (*hemlocktally.Accepted, error) {
	if !options.Stop {
		accepted, err := c.Changer.Change(ctx, change)
		return &accepted, err
	}
	stopped, err := c.Changer.Stop(ctx, change)
	return stopped.Accepted, err
}

func (c *Commander) planned(config *hemlocktally.Configuration, change hemlocktally.Change, differences []interpreter.Difference, report func(StepMsg)) error {
	if change.Base != config.Revision {
		return &hemlocktally.RaceError{Base: change.Base, Winner: hemlocktally.Accepted{
			Revision: config.Revision, AcceptedAt: config.AcceptedAt,
			Change: hemlocktally.Change{ID: config.ChangeID, Author: config.Author},
		}}
	}
	detail := "dry run: nothing was changed"
	if len(differences) == 0 {
		detail = "dry run: it would change nothing"
	}
	report(StepMsg{Kind: StepPlanned, Revision: config.Revision, Differences: differences, Detail: detail})
	return nil
}

// wait follows the revision until every instance acts on it.
func (c *Commander) wait(ctx context.Context, revision hemlocktally.Revision, report func(StepMsg)) error {
	limit := c.WaitLimit
	if limit <= 0 {
		limit = defaultWaitLimit
	}
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	step := StepMsg{Kind: StepWaiting, Revision: revision}
	err := c.Changer.WaitInForce(ctx, revision, func(done, all int) {
		if done == step.InForce && all == step.Instances {
			return
		}
		step.InForce, step.Instances, step.Took = done, all, time.Since(started)
		report(step)
	})
	if err != nil {
		return err
	}
	step.Kind, step.Took = StepInForce, time.Since(started)
	report(step)
	return nil
}
