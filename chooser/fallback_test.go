package chooser_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/chooser"
)

// fixture holds a fixed configuration, view and set of warm targets.
type fixture struct {
	config hemlocktally.Configuration
	warm   map[hemlocktally.TargetName]bool
}

func (f *fixture) Current() *hemlocktally.Configuration { return &f.config }

// View returns a view of four Serving members.
func (f *fixture) View() hemlocktally.View {
	var view hemlocktally.View
	for _, id := range []hemlocktally.InstanceID{"a", "b", "c", "d"} {
		view.Members = append(view.Members, hemlocktally.Instance{ID: id, State: hemlocktally.InstanceServing})
	}
	return view
}

// Warm reports whether the target is in the set of warm targets.
func (f *fixture) Warm(_ hemlocktally.ServiceName, target hemlocktally.TargetName) bool {
	return f.warm[target]
}

func newAlone() (*chooser.Fallback, *fixture) {
	f := &fixture{warm: map[hemlocktally.TargetName]bool{"t1": true, "t2": true, "t3": true}}
	service := hemlocktally.Service{Name: "reads"}
	for _, name := range []hemlocktally.TargetName{"t0", "t1", "t2", "t3"} {
		service.Targets = append(service.Targets, hemlocktally.Target{Name: name, Address: string(name), Zone: "a"})
	}
	f.config = hemlocktally.Configuration{
		Services:  []hemlocktally.Service{service},
		Contracts: []hemlocktally.Contract{{Name: "Reads", Service: "reads", RetryBudget: 0.25}},
	}
	return &chooser.Fallback{Self: "a", Configuration: f, Members: f, WarmTargets: f}, f
}

func acquire(a *chooser.Fallback, kind hemlocktally.AttemptKind) (hemlocktally.Grant, error) {
	return a.Acquire(context.Background(), hemlocktally.GrantRequest{
		Service: "reads", Contract: "Reads", Kind: kind, Deadline: time.Now().Add(time.Second),
	})
}

func TestAloneUsesItsShareOfWarmTargetsOnly(t *testing.T) {
	c := qt.New(t)
	a, _ := newAlone()
	var held []hemlocktally.Grant
	for {
		grant, err := acquire(a, hemlocktally.AttemptFirst)
		if err != nil {
			var refused *hemlocktally.RefusedError
			c.Assert(errors.As(err, &refused), qt.IsTrue)
			c.Check(refused.Outcome, qt.Equals, hemlocktally.OutcomeNotRun)
			c.Check(refused.RetryAfter > 0, qt.IsTrue)
			break
		}
		c.Check(grant.Target.Name, qt.Not(qt.Equals), hemlocktally.TargetName("t0"))
		held = append(held, grant)
	}
	// shareFactor (2) times the 6 warm slots over 4 members.
	c.Check(held, qt.HasLen, 3)
	for _, grant := range held {
		a.Release(hemlocktally.GrantResult{Grant: grant})
	}
	_, err := acquire(a, hemlocktally.AttemptFirst)
	c.Check(err, qt.IsNil)
}

func TestAloneAvoidsTargetThatReportsCold(t *testing.T) {
	c := qt.New(t)
	a, f := newAlone()
	f.warm = map[hemlocktally.TargetName]bool{"t1": true}
	grant, err := acquire(a, hemlocktally.AttemptFirst)
	c.Assert(err, qt.IsNil)
	a.Release(hemlocktally.GrantResult{Grant: grant, ReportedCold: true})
	_, err = acquire(a, hemlocktally.AttemptFirst)
	c.Check(err, qt.Not(qt.IsNil))
}

func TestAloneLimitsRetriesToShareOfItsCalls(t *testing.T) {
	c := qt.New(t)
	a, _ := newAlone()
	retried := 0
	for range 40 {
		for _, kind := range []hemlocktally.AttemptKind{hemlocktally.AttemptFirst, hemlocktally.AttemptRetry} {
			grant, err := acquire(a, kind)
			if err != nil {
				continue
			}
			if kind == hemlocktally.AttemptRetry {
				retried++
			}
			a.Release(hemlocktally.GrantResult{Grant: grant})
		}
	}
	c.Check(retried, qt.Equals, 10)
}
