// Package commander executes operators' commands: it plans the change, submits it
// and, on request, waits until it is in force on every instance.
package commander

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"hemlocktally"
	"hemlocktally/interpreter"
)

// Changer submits changes and waits until they are in force.
type Changer interface {
	hemlocktally.ConfigurationSource
	// Change submits a change. It returns the accepted change or an error.
	Change(ctx context.Context, change hemlocktally.Change) (hemlocktally.AcceptedChange, error)
	// Stop submits a change that only takes things out of use. While the store does
	// not answer, the change is put in force provisionally.
	Stop(ctx context.Context, change hemlocktally.Change) (hemlocktally.StopResult, error)
	// WaitInForce waits until every instance uses the revision. It returns a
	// *hemlocktally.LaggingError once the context ends.
	WaitInForce(ctx context.Context, revision hemlocktally.Revision, progress func(done, all int)) error
}

// StepKind is the stage of a command that a StepMsg reports.
type StepKind string

// The stages of a command.
const (
	StepPlanned  StepKind = "Planned"  // StepPlanned shows what a dry run would change.
	StepAccepted StepKind = "Accepted" // StepAccepted reports the revision of the accepted change.
	// StepProvisional reports a stop that is in force on the instances without being
	// in the store, because the store does not answer; it is settled there later.
	StepProvisional StepKind = "Provisional"
	StepWaiting     StepKind = "Waiting" // StepWaiting reports on how many instances the change is in force.
	StepInForce     StepKind = "InForce" // StepInForce reports that the change is in force on every instance.
	StepFailed      StepKind = "Failed"  // StepFailed reports that the command had no effect or was not in force in time.
)

// StepMsg reports the progress of a command.
type StepMsg struct {
	Kind        StepKind
	Revision    hemlocktally.Revision
	Differences []interpreter.Difference `json:",omitempty"`
	InForce     int                      // InForce counts the instances that have the revision.
	Instances   int
	Took        time.Duration // Took is the time since the change was accepted.
	Detail      string        `json:",omitempty"`
}

// Commander executes commands on one instance. Changer is required.
type Commander struct {
	Changer   Changer
	WaitLimit time.Duration // WaitLimit bounds the wait for a change to be in force; zero means 30 s.
}

const defaultWaitLimit = 30 * time.Second

// Execute executes a command for an author and reports each step. The error is
// a *interpreter.PlanError, a *hemlocktally.RevisionConflictError, a
// *hemlocktally.ChangeError, a *hemlocktally.LaggingError, a
// *hemlocktally.UnknownChangeError or a failure of the store.
func (c *Commander) Execute(ctx context.Context, author string, command interpreter.Command, report func(StepMsg)) error {
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
	return c.Submit(ctx, change, options, report)
}

// Options control how Offer handles a change.
type Options struct {
	DryRun bool // DryRun reports what would change without submitting it.
	Wait   bool // Wait waits until the change is in force on every instance.
	Stop   bool // Stop allows a change that only takes things out of use to be provisional while the store is down.
}

// Submit submits a change and reports each step, as Tell does for a command.
func (c *Commander) Submit(ctx context.Context, change hemlocktally.Change, options Options, report func(StepMsg)) error {
	config := c.Changer.Current()
	after, err := config.Apply(hemlocktally.AcceptedChange{Revision: config.Revision + 1, Change: change})
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
			Detail: "the store does not answer: the change is provisionally in force on the instances and will be settled with the store later",
		})
		return nil
	}
	report(StepMsg{Kind: StepAccepted, Revision: accepted.Revision, Differences: differences})
	if !options.Wait {
		return nil
	}
	return c.wait(ctx, accepted.Revision, report)
}

// send submits the change. It returns nil if the change is a provisional stop.
func (c *Commander) send(ctx context.Context, change hemlocktally.Change, options Options) (*hemlocktally.AcceptedChange, error) {
	if !options.Stop {
		accepted, err := c.Changer.Change(ctx, change)
		return &accepted, err
	}
	stopped, err := c.Changer.Stop(ctx, change)
	return stopped.Accepted, err
}

func (c *Commander) planned(config *hemlocktally.Configuration, change hemlocktally.Change, differences []interpreter.Difference, report func(StepMsg)) error {
	if change.Base != config.Revision {
		return &hemlocktally.RevisionConflictError{Base: change.Base, Winner: hemlocktally.AcceptedChange{
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

// wait reports the progress of the revision until every instance uses it.
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
