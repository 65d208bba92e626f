// Package commander carries out operators' commands: it plans the change,
// offers it to the fleet, and follows it until it is in force everywhere.
package commander

import (
	"context"
	"strconv"
	"time"

	"github.com/oklog/ulid/v2"

	"hemlocktally"
	"hemlocktally/inspector"
	"hemlocktally/interpreter"
)

// Changer offers a change to the fleet.
type Changer interface {
	hemlocktally.Configurer
	Change(ctx context.Context, change hemlocktally.Change) (hemlocktally.Accepted, error)
}

// Asker answers queries for the fleet.
type Asker interface {
	Ask(ctx context.Context, query interpreter.Query) inspector.Answer
}

// StepKind is the part of a command's life that a message is about.
type StepKind string

// The kinds of steps.
const (
	StepPlanned  StepKind = "Planned"  // StepPlanned shows what a dry run would change.
	StepAccepted StepKind = "Accepted" // StepAccepted has a revision that lasts.
	StepWaiting  StepKind = "Waiting"  // StepWaiting counts the instances where it is in force.
	StepInForce  StepKind = "InForce"  // StepInForce is in force on every instance.
	StepFailed   StepKind = "Failed"   // StepFailed ends a command that had no effect, or was not in force in time.
)

// StepMsg is one line of the progress of a command.
type StepMsg struct {
	Kind        StepKind
	Revision    hemlocktally.Revision
	Differences []interpreter.Difference `json:",omitempty"`
	InForce     int                      // InForce counts the instances that have the revision.
	Instances   int
	Missing     []string      `json:",omitempty"` // Missing names the instances that don't have it yet.
	Took        time.Duration // Took counts from the acceptance.
	Detail      string        `json:",omitempty"`
}

// Commander carries out commands on one instance. Its zero value lacks only the
// Changer and the Asker.
type Commander struct {
	Changer   Changer
	Asker     Asker
	WaitLimit time.Duration // WaitLimit bounds a wait; zero means 30 s.
}

const (
	defaultWaitLimit = 30 * time.Second
	pollInterval     = 100 * time.Millisecond
)

// Tell carries out a command for an author and reports each step. The error is
// a *interpreter.PlanError, a *hemlocktally.RaceError, a
// *hemlocktally.ChangeError, a *NotInForceError or a failure of the store.
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
	return c.Offer(ctx, change, Options{DryRun: command.DryRun, Wait: command.Wait}, report)
}

// Options say how far a change is carried.
type Options struct {
	DryRun bool // DryRun only shows what would change.
	Wait   bool // Wait follows the change until it is in force everywhere.
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
	accepted, err := c.Changer.Change(ctx, change)
	if err != nil {
		return err
	}
	report(StepMsg{Kind: StepAccepted, Revision: accepted.Revision, Differences: differences})
	if !options.Wait {
		return nil
	}
	return c.wait(ctx, accepted.Revision, report)
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

// NotInForceError says that an accepted revision was not seen in force
// everywhere in time. It stays accepted.
type NotInForceError struct {
	Revision hemlocktally.Revision
	Missing  []string
	Waited   time.Duration
}

// Error names the revision and the instances that lack it.
func (e *NotInForceError) Error() string {
	return "revision " + strconv.FormatUint(uint64(e.Revision), 10) + " is accepted but was not seen in force on " +
		joinNames(e.Missing) + " within " + e.Waited.String()
}

// wait asks the fleet until every instance has the revision.
func (c *Commander) wait(ctx context.Context, revision hemlocktally.Revision, report func(StepMsg)) error {
	limit := c.WaitLimit
	if limit <= 0 {
		limit = defaultWaitLimit
	}
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		answer := c.Asker.Ask(ctx, interpreter.Query{Topic: interpreter.TopicConfiguration})
		step := Progress(answer, revision)
		step.Took = time.Since(started)
		report(step)
		if step.Kind == StepInForce {
			return nil
		}
		select {
		case <-ctx.Done():
			return &NotInForceError{Revision: revision, Missing: step.Missing, Waited: step.Took.Round(time.Millisecond)}
		case <-ticker.C:
		}
	}
}

// Progress counts the instances that say that they have the revision. One that
// did not answer, or whose answer is remembered, does not count.
func Progress(answer inspector.Answer, revision hemlocktally.Revision) StepMsg {
	schema, _ := interpreter.SchemaOf(string(interpreter.TopicConfiguration))
	has := map[string]bool{}
	for _, row := range answer.Rows {
		present, _ := strconv.ParseUint(schema.Get(row, "Revision"), 10, 64)
		has[schema.Get(row, "Instance")] = hemlocktally.Revision(present) >= revision
	}
	step := StepMsg{Kind: StepWaiting, Revision: revision, Instances: len(answer.Parts)}
	for _, p := range answer.Parts {
		if p.Reached && has[string(p.Instance)] {
			step.InForce++
			continue
		}
		step.Missing = append(step.Missing, string(p.Instance))
	}
	if step.InForce == step.Instances {
		step.Kind = StepInForce
	}
	return step
}

func joinNames(names []string) string {
	const shown = 5
	text := ""
	for i, name := range names {
		if i == shown {
			return text + " and " + strconv.Itoa(len(names)-shown) + " more"
		}
		if i > 0 {
			text += ", "
		}
		text += name
	}
	return text
}
