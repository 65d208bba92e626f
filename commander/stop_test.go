package commander_test

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/commander"
)

// storelessChanger is a Changer whose store is down.
type storelessChanger struct{}

func (storelessChanger) Current() *hemlocktally.Configuration {
	return &hemlocktally.Configuration{Revision: 3, Zones: []hemlocktally.AvailabilityZone{{Name: "north"}}}
}

func (storelessChanger) Change(context.Context, hemlocktally.Change) (hemlocktally.AcceptedChange, error) {
	return hemlocktally.AcceptedChange{}, &hemlocktally.StoreError{Operation: "get", Cause: errors.New("down")}
}

func (storelessChanger) WaitInForce(context.Context, hemlocktally.Revision, func(done, all int)) error {
	return errors.New("nothing to wait for")
}

func (storelessChanger) Stop(_ context.Context, change hemlocktally.Change) (hemlocktally.StopResult, error) {
	return hemlocktally.StopResult{Provisional: &hemlocktally.ProvisionalStop{ID: change.ID}}, nil
}

func TestOperatorIsToldThatAStopIsProvisional(t *testing.T) {
	c := qt.New(t)
	cmdr := commander.Commander{Changer: storelessChanger{}}
	offer := func(kind hemlocktally.CommandKind, stop bool) (steps []commander.StepKind, err error) {
		change := hemlocktally.Change{ID: "a", Base: 3, Commands: []hemlocktally.Command{{Kind: kind, Name: "north"}}}
		options := commander.Options{Wait: true, Stop: stop}
		err = cmdr.Submit(context.Background(), change, options, func(step commander.StepMsg) {
			steps = append(steps, step.Kind)
		})
		return steps, err
	}
	steps, err := offer(hemlocktally.CommandZoneOut, true)
	c.Assert(err, qt.IsNil)
	c.Check(steps, qt.DeepEquals, []commander.StepKind{commander.StepProvisional})

	steps, err = offer(hemlocktally.CommandZoneBack, false)
	var failed *hemlocktally.StoreError
	c.Check(errors.As(err, &failed), qt.IsTrue)
	c.Check(steps, qt.HasLen, 0)
}

func TestUnknownChangeIsSaidToBeUnknown(t *testing.T) {
	c := qt.New(t)
	cause := &hemlocktally.StoreError{Operation: "get", Cause: errors.New("down")}
	c.Check(commander.FaultOf(&hemlocktally.UnknownChangeError{ChangeID: "a", Cause: cause}).Unknown, qt.IsTrue)
	c.Check(commander.FaultOf(cause).Unknown, qt.IsFalse)
}
