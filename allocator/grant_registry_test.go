package allocator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/messenger"
)

// With two planned stops in a row, the owner in between reports before it has
// observed its targets. That must not delete what the owner before it reported.
func TestOwnerWithoutObservationsRetractsNothing(t *testing.T) {
	c := qt.New(t)
	var l GrantRegistry
	now := time.Now()
	l.recordWarm("first", "s", []hemlocktally.TargetName{"x", "y"}, nil)
	l.recordContact("first", now)
	l.recordWarm("second", "s", nil, []hemlocktally.TargetName{"x", "z"})
	l.recordContact("second", now)
	c.Assert(l.warmTargets("s", now), qt.DeepEquals, []hemlocktally.TargetName{"x"})
	l.recordWarm("second", "s", nil, nil)
	c.Assert(l.warmTargets("s", now), qt.HasLen, 0)
}

func TestOnlyTargetsWithoutResponseAreUnobserved(t *testing.T) {
	c := qt.New(t)
	s := State{}
	now := time.Now()
	s.Update(ConfigurationMsg{Service: hemlocktally.Service{Name: "s", Targets: []hemlocktally.Target{
		{Name: "x", Address: "x", Zone: "a"}, {Name: "y", Address: "y", Zone: "a"},
	}}}, now)
	c.Assert(s.unobservedTargets(), qt.HasLen, 2)
	s.byName["x"].lastHeard = now
	c.Assert(s.unobservedTargets(), qt.DeepEquals, []hemlocktally.TargetName{"y"})
}

// The leaving owner has the latest state of its targets. The next one must get it
// even if no other member was told in time.
func TestLeavingOwnerReportsItsWarmTargets(t *testing.T) {
	c := qt.New(t)
	s := &Server{Self: "first", Grants: &GrantRegistry{}, owners: map[hemlocktally.ServiceName]*Owner{"s": {}}}
	s.owners["s"].summary.Store(&summary{warm: []hemlocktally.TargetName{"x"}})
	out := s.exchange("second", &messenger.ServiceStates{Service: "s", AgeMicroseconds: -1}, time.Now())
	c.Assert(out.Warm, qt.DeepEquals, []string{"x"})
}

// The previous owner reported its warm targets to the instance that takes over.
// The new owner must use this report itself, because on a busy machine no other
// member may respond within a second.
func TestNextOwnerUsesEarlierWarmReports(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	registry := &GrantRegistry{}
	registry.recordWarm("first", "s", []hemlocktally.TargetName{"x"}, nil)
	registry.recordContact("first", now)
	s := &Server{Self: "second", Grants: registry}
	owner := &Owner{inbox: make(chan any, 8), done: make(chan struct{})}
	s.askMembers(t.Context(), newOwnerView(s.currentView()), map[hemlocktally.ServiceName]*Owner{"s": owner}, now)
	state := State{}
	state.Update(ConfigurationMsg{Service: hemlocktally.Service{Name: "s", Targets: []hemlocktally.Target{
		{Name: "x", Address: "x", Zone: "a"}, {Name: "y", Address: "y", Zone: "a"},
	}}}, now)
	for len(owner.inbox) > 0 {
		state.Update(<-owner.inbox, now)
	}
	c.Check(state.warmTargets(), qt.DeepEquals, []hemlocktally.TargetName{"x"})
}
