package placer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/promoter"
)

// versionHarness drives a State with targets of several versions.
type versionHarness struct {
	*harness
	targets []hemlocktally.Registration
	rollout hemlocktally.Rollout
	version hemlocktally.StoreVersion
	status  []promoter.StatusCmd
	got     map[hemlocktally.SoftwareVersion]int
	open    []openGrant
	outcome func(hemlocktally.Target) hemlocktally.AttemptOutcome
}

// openGrant is a call in flight.
type openGrant struct {
	at    time.Time
	grant hemlocktally.Grant
}

func newVersionHarness(share float64, first bool, versions map[hemlocktally.SoftwareVersion]int) *versionHarness {
	h := &versionHarness{
		harness: &harness{now: startTime, state: State{Owner: "owner", Epoch: "e", Alone: !first, Bounds: Bounds{
			RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 56, ColdShare: 0.8,
			Rollouts: promoter.Bounds{Share: share, Slack: 50, RollbackDelay: 5 * time.Second},
		}}},
		got:     map[hemlocktally.SoftwareVersion]int{},
		outcome: func(hemlocktally.Target) hemlocktally.AttemptOutcome { return hemlocktally.AttemptDone },
	}
	h.add(versions)
	if first {
		h.step(RankMsg{Rollout: promoter.RankMsg{First: true, Member: true, Members: []hemlocktally.InstanceID{"owner"}}})
	}
	return h
}

// add registers targets of the given versions.
func (h *versionHarness) add(versions map[hemlocktally.SoftwareVersion]int) {
	for version, n := range versions {
		for i := range n {
			h.targets = append(h.targets, hemlocktally.Registration{Service: "s", Target: hemlocktally.Target{
				Name: hemlocktally.TargetName(fmt.Sprintf("%s-%d", version, i)), Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: hemlocktally.ZoneName(fmt.Sprint("z", i%3)), Slots: 3, Version: version,
			}})
		}
	}
	h.reconfigure()
}

func (h *versionHarness) reconfigure() {
	h.step(TargetsMsg{Service: hemlocktally.Service{Name: "s", ColdPerSecond: 6.5}, Targets: h.targets, Rollout: h.rollout})
}

// step applies a message, and the commands of the rollout as a store that answers at once.
func (h *versionHarness) step(msg any) []any {
	commands := h.update(msg)
	for _, command := range commands {
		rollout, ok := command.(RolloutCmd)
		if !ok {
			continue
		}
		switch command := rollout.Command.(type) {
		case promoter.WriteCmd:
			h.version++
			record := command.Record
			h.rollout.Record, h.rollout.At = &record, hemlocktally.GenerationVersion{Version: h.version}
			h.step(RolloutMsg{Msg: promoter.WrittenMsg{Sequence: record.Sequence, Version: h.version}})
		case promoter.StatusCmd:
			h.status = append(h.status, command)
			h.step(RolloutMsg{Msg: promoter.StatusMsg{Phase: command.Phase, Version: command.Version, Written: true}})
		}
	}
	return commands
}

// run makes calls at a rate of 100 a second. Each takes 50 ms.
func (h *versionHarness) run(d time.Duration) {
	const interval = 10 * time.Millisecond
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(interval)
		for len(h.open) > 0 && !h.open[0].at.After(h.now) {
			h.step(ReleaseMsg{Result: hemlocktally.GrantResult{Grant: h.open[0].grant, Contract: "c", Outcome: h.outcome(h.open[0].grant.Target), Latency: 50 * time.Millisecond, Load: &hemlocktally.Load{Pace: 1}}})
			h.open = h.open[1:]
		}
		h.tickets++
		for _, command := range h.step(AcquireMsg{Ticket: fmt.Sprint(h.tickets), From: "owner", Zone: "z0", ReplyBy: h.now.Add(20 * time.Millisecond), Request: hemlocktally.GrantRequest{
			Service: "s", Contract: "c", Deadline: h.now.Add(2 * time.Second), Objective: h.now.Add(time.Second),
		}}) {
			if granted, ok := command.(GrantCmd); ok {
				h.got[granted.Grant.Target.Version]++
				h.open = append(h.open, openGrant{h.now.Add(50 * time.Millisecond), granted.Grant})
			}
		}
	}
}

func (h *versionHarness) order(version hemlocktally.SoftwareVersion) {
	h.version++
	h.rollout.Order = &hemlocktally.RolloutOrder{Service: "s", Version: version, Duration: 12 * time.Second, At: hemlocktally.GenerationVersion{Version: h.version}}
	h.reconfigure()
}

// Guards against calls to targets whose version was never ordered, by owners and by instances that
// decide alone.
func TestUnorderedVersionsGetNoCalls(t *testing.T) {
	for _, first := range []bool{true, false} {
		h := newVersionHarness(0.1, first, map[hemlocktally.SoftwareVersion]int{"v1": 5, "v9": 2})
		h.run(5 * time.Second)
		qt.Check(t, h.got["v9"], qt.Equals, 0)
		qt.Check(t, h.got["v1"] > 400, qt.IsTrue)
	}
}

// Guards against an effect of versions where rollouts are off.
func TestVersionsDoNotMatterWithoutRollouts(t *testing.T) {
	h := newVersionHarness(0, true, map[hemlocktally.SoftwareVersion]int{"v1": 3, "v9": 3})
	h.order("v9")
	h.run(2 * time.Second)
	qt.Check(t, h.got["v1"] > 30, qt.IsTrue)
	qt.Check(t, h.got["v9"] > 30, qt.IsTrue)
	qt.Check(t, h.status, qt.HasLen, 0)
}

// Guards against a rollout that the owner does not carry out to its end.
func TestOwnerMovesCallsToOrderedVersion(t *testing.T) {
	h := newVersionHarness(0.1, true, map[hemlocktally.SoftwareVersion]int{"v1": 6})
	h.run(5 * time.Second)
	h.order("v2")
	h.add(map[hemlocktally.SoftwareVersion]int{"v2": 6})
	h.run(6 * time.Second)
	qt.Check(t, h.got["v2"] > 20, qt.IsTrue, qt.Commentf("%v", h.got))
	qt.Check(t, h.got["v2"] < 110, qt.IsTrue, qt.Commentf("%v", h.got))
	h.run(5700 * time.Millisecond)
	qt.Assert(t, h.status[len(h.status)-1].Phase, qt.Equals, hemlocktally.RolloutCompleted, qt.Commentf("%v", h.status))
	before := h.got["v1"]
	h.run(time.Second)
	qt.Check(t, h.got["v1"], qt.Equals, before)
}

// Guards against a bad version that the owner goes on using.
func TestOwnerRollsBackFailingVersion(t *testing.T) {
	h := newVersionHarness(0.1, true, map[hemlocktally.SoftwareVersion]int{"v1": 6})
	h.run(5 * time.Second)
	h.outcome = func(target hemlocktally.Target) hemlocktally.AttemptOutcome {
		if target.Version == "v2" {
			return hemlocktally.AttemptFailed
		}
		return hemlocktally.AttemptDone
	}
	h.order("v2")
	h.add(map[hemlocktally.SoftwareVersion]int{"v2": 6})
	h.run(12 * time.Second)
	qt.Assert(t, h.status[len(h.status)-1].Phase, qt.Equals, hemlocktally.RolloutRolledBack)
	qt.Check(t, h.got["v2"] < 40, qt.IsTrue, qt.Commentf("%v", h.got))
}

// Guards against instances that decide alone: while a rollout runs they use the old version only, and
// from the switch on the new one only.
func TestInstanceThatDecidesAloneFollowsTheRecord(t *testing.T) {
	h := newVersionHarness(0.1, false, map[hemlocktally.SoftwareVersion]int{"v1": 5, "v2": 8})
	for _, test := range []struct {
		phase hemlocktally.RolloutPhase
		inUse hemlocktally.SoftwareVersion
	}{
		{hemlocktally.RolloutRunning, "v1"},
		{hemlocktally.RolloutSwitching, "v2"},
		{hemlocktally.RolloutRunning, "v1"},
		{hemlocktally.RolloutCompleted, "v2"},
		{hemlocktally.RolloutRolledBack, "v1"},
	} {
		h.version++
		h.rollout.Record = &hemlocktally.RolloutRecord{Sequence: uint64(h.version), InUse: test.inUse, Previous: "v1", Target: "v2", Phase: test.phase, Duration: 12 * time.Second, Decider: "other/1"}
		h.rollout.Order = &hemlocktally.RolloutOrder{Service: "s", Version: "v2", Duration: 12 * time.Second}
		h.reconfigure()
		h.run(200 * time.Millisecond) // Calls in flight end.
		h.got = map[hemlocktally.SoftwareVersion]int{}
		h.run(time.Second)
		qt.Check(t, h.got, qt.HasLen, 1, qt.Commentf("%v: %v", test, h.got))
		qt.Check(t, h.got[test.inUse] > 50, qt.IsTrue, qt.Commentf("%v: %v", test, h.got))
	}
	qt.Check(t, h.status, qt.HasLen, 0)
}
