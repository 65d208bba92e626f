package commander_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/commander"
	"hemlocktally/interpreter"
)

// fakeChanger accepts every change unless err is set.
type fakeChanger struct {
	config  hemlocktally.Configuration
	changes []hemlocktally.Change
	err     error
	down    bool // down makes stops provisional.
	lagging []hemlocktally.InstanceID
}

func (f *fakeChanger) Current() *hemlocktally.Configuration { return &f.config }

func (f *fakeChanger) Change(_ context.Context, change hemlocktally.Change) (hemlocktally.AcceptedChange, error) {
	f.changes = append(f.changes, change)
	return hemlocktally.AcceptedChange{Revision: f.config.Revision + 1, Change: change}, f.err
}

func (f *fakeChanger) Stop(ctx context.Context, change hemlocktally.Change) (hemlocktally.StopResult, error) {
	if f.down {
		return hemlocktally.StopResult{Provisional: &hemlocktally.ProvisionalStop{ID: change.ID}}, nil
	}
	accepted, err := f.Change(ctx, change)
	return hemlocktally.StopResult{Accepted: &accepted}, err
}

func (f *fakeChanger) WaitInForce(ctx context.Context, revision hemlocktally.Revision, progress func(done, all int)) error {
	progress(1, 3)
	progress(1, 3)
	if len(f.lagging) > 0 {
		<-ctx.Done()
		return &hemlocktally.LaggingError{Revision: revision, Missing: f.lagging, Cause: ctx.Err()}
	}
	progress(3, 3)
	return nil
}

func newChanger() *fakeChanger {
	return &fakeChanger{config: hemlocktally.Configuration{Revision: 11, Zones: []hemlocktally.AvailabilityZone{{Name: "kingston-a"}}}}
}

// tell executes one command and returns the kinds of its steps.
func tell(c *qt.C, f *fakeChanger, text string) ([]commander.StepKind, error) {
	statement, err := interpreter.Parse(text)
	c.Assert(err, qt.IsNil)
	var kinds []commander.StepKind
	cmdr := &commander.Commander{Changer: f, WaitLimit: time.Millisecond}
	err = cmdr.Execute(context.Background(), "amelia", statement.(interpreter.Command), func(step commander.StepMsg) {
		kinds = append(kinds, step.Kind)
	})
	return kinds, err
}

func TestCommandCarriesAuthorBaseAndReason(t *testing.T) {
	c := qt.New(t)
	f := newChanger()
	kinds, err := tell(c, f, `take out AvailabilityZone kingston-a wait because "rotation"`)
	c.Assert(err, qt.IsNil)
	c.Check(kinds, qt.DeepEquals, []commander.StepKind{
		commander.StepAccepted, commander.StepWaiting, commander.StepWaiting, commander.StepInForce,
	})
	c.Assert(f.changes, qt.HasLen, 1)
	change := f.changes[0]
	c.Check(change.ID, qt.Not(qt.Equals), "")
	change.ID = ""
	c.Check(change, qt.DeepEquals, hemlocktally.Change{
		Author: "amelia", Base: 11, Because: "rotation",
		Commands: []hemlocktally.Command{{Kind: hemlocktally.CommandZoneOut, Name: "kingston-a"}},
	})
}

func TestDryRunChangesNothing(t *testing.T) {
	c := qt.New(t)
	f := newChanger()
	kinds, err := tell(c, f, "take out AvailabilityZone kingston-a dry run")
	c.Assert(err, qt.IsNil)
	c.Check(kinds, qt.DeepEquals, []commander.StepKind{commander.StepPlanned})
	c.Check(f.changes, qt.HasLen, 0)
	_, err = tell(c, f, "take out AvailabilityZone kingston-a dry run base 7")
	var race *hemlocktally.RevisionConflictError
	c.Assert(errors.As(err, &race), qt.IsTrue)
	c.Check(race.Winner.Revision, qt.Equals, hemlocktally.Revision(11))
}

func TestOnlyStopsMayBeProvisional(t *testing.T) {
	c := qt.New(t)
	f := newChanger()
	f.down = true
	kinds, err := tell(c, f, "take out AvailabilityZone kingston-a wait")
	c.Assert(err, qt.IsNil)
	c.Check(kinds, qt.DeepEquals, []commander.StepKind{commander.StepProvisional})
	f.err = &hemlocktally.StoreError{Operation: "swap", Unknown: true, Cause: context.DeadlineExceeded}
	kinds, err = tell(c, f, "bring back AvailabilityZone kingston-a")
	c.Check(kinds, qt.HasLen, 0)
	fault := commander.FaultOf(err)
	c.Check(fault.Kind, qt.Equals, commander.FaultStore)
	c.Check(fault.Unknown, qt.IsTrue)
}

func TestLateChangeIsAcceptedAndNamesWhoLacksIt(t *testing.T) {
	c := qt.New(t)
	f := newChanger()
	f.lagging = []hemlocktally.InstanceID{"entry-9"}
	kinds, err := tell(c, f, "take out AvailabilityZone kingston-a wait")
	c.Check(kinds[0], qt.Equals, commander.StepAccepted)
	fault := commander.FaultOf(err)
	c.Check(fault.Kind, qt.Equals, commander.FaultLate)
	c.Check(fault.Detail, qt.Contains, "entry-9")
}

func TestLostRaceTellsWhatTheWinnerDid(t *testing.T) {
	c := qt.New(t)
	f := newChanger()
	f.err = &hemlocktally.RevisionConflictError{Base: 11, Winner: hemlocktally.AcceptedChange{Revision: 12, Change: hemlocktally.Change{
		ID: "change-12", Author: "basil", Because: "noisy neighbour",
		Commands: []hemlocktally.Command{{Kind: hemlocktally.CommandTargetOut, Name: "holds", Target: "holds-1"}},
	}}}
	_, err := tell(c, f, "bring back AvailabilityZone kingston-a")
	fault := commander.FaultOf(err)
	c.Check(fault.Kind, qt.Equals, commander.FaultConflict)
	c.Check(fault.Detail, qt.Contains, `revision 12 by basil (change change-12) is in force; it did TargetOut holds/holds-1, because "noisy neighbour"`)
}
