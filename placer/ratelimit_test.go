package placer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// nameLimit makes the target of the grant name a limit in its response.
func (h *harness) nameLimit(grant hemlocktally.Grant, perSecond float64) {
	h.releaseWith(grant, func(r *hemlocktally.GrantResult) {
		r.Limit = &hemlocktally.RateLimit{PerSecond: perSecond, Named: true, At: h.now}
	})
}

// A second attempt leaves what the limit allows to calls that have no other target.
func TestLimitedTargetGetsNoHedge(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("x", "a"), target("y", "a"))
	got := h.acquireFresh("x")
	c.Assert(got, qt.HasLen, 1)
	h.nameLimit(got[0], 10)
	h.advance(time.Second)
	hedge := h.request()
	hedge.Request.Kind, hedge.Request.Exclude = hemlocktally.AttemptHedge, []hemlocktally.TargetName{"y"}
	h.report("x", 1)
	h.report("y", 5)
	refused := refusals(h.update(hedge))
	c.Assert(refused, qt.HasLen, 1)
	c.Check(refused[0].Detail, qt.Equals, "no target is free for a second attempt")
}

// A grant that was not used is not counted; one that may have reached the target is.
func TestUnusedGrantIsNotCountedAgainstTheLimit(t *testing.T) {
	for outcome, again := range map[hemlocktally.AttemptOutcome]bool{hemlocktally.AttemptUnused: true, hemlocktally.AttemptTimedOut: false} {
		c := qt.New(t)
		h := newHarness(target("x", "a"))
		got := h.acquireFresh("x")
		c.Assert(got, qt.HasLen, 1)
		h.nameLimit(got[0], 0.1)
		h.advance(20 * time.Second)
		got = h.acquireFresh("x")
		c.Assert(got, qt.HasLen, 1)
		c.Check(got[0].Limit.Named, qt.IsTrue)
		h.releaseWith(got[0], func(r *hemlocktally.GrantResult) { r.Outcome = outcome })
		c.Check(len(h.acquireFresh("x")) == 1, qt.Equals, again)
	}
}

// Results overtake one another on their way to the owner. The response that was received last
// holds, whichever result comes last.
func TestLaterResponseHolds(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("x", "a"))
	first, second := h.acquireFresh("x"), h.acquireFresh("x")
	c.Assert(first, qt.HasLen, 1)
	c.Assert(second, qt.HasLen, 1)
	h.nameLimit(second[0], 1)
	h.releaseWith(first[0], func(r *hemlocktally.GrantResult) {
		r.Limit = &hemlocktally.RateLimit{At: h.now.Add(-time.Millisecond)}
	})
	c.Check(h.state.Stats(h.now).Limited, qt.Equals, 1)
	h.configure(nil, target("x", "a"))
	c.Check(h.state.Stats(h.now).Limited, qt.Equals, 1)
	restarted := target("x", "a")
	restarted.Target.Started = 2
	h.configure(nil, restarted)
	c.Check(h.state.Stats(h.now).Limited, qt.Equals, 0, qt.Commentf("a target that has restarted has named nothing"))
}

// The target of a limit that nobody calls is probed once a second, so that the limit is not
// kept after it was lifted. Probe answers of some targets never name limits; their silence
// lifts none.
func TestProbesTellWhetherALimitStillHolds(t *testing.T) {
	for _, named := range []bool{true, false} {
		c := qt.New(t)
		h := newHarness(target("x", "a"), target("y", "a"))
		got := h.acquireFresh("x")
		c.Assert(got, qt.HasLen, 1)
		h.nameLimit(got[0], 0)
		probes := 0
		for range 30 {
			h.advance(100 * time.Millisecond)
			h.report("y", 1)
			for _, name := range probedTargets(h.update(h.request())) {
				if name == "x" {
					probes++
					limit := hemlocktally.RateLimit{Named: named}
					h.update(LoadReportMsg{Target: "x", Answer: hemlocktally.ResponseInfo{Limit: &limit, Load: &hemlocktally.Load{Slots: 2, Pace: 1}}})
				}
			}
			for _, t := range h.state.sorted {
				clear(t.grants)
			}
		}
		c.Check(h.state.Stats(h.now).Limited, qt.Equals, 1)
		if named {
			c.Check(probes == 2 || probes == 3, qt.IsTrue, qt.Commentf("%d probes in 3 s", probes))
			h.update(LoadReportMsg{Target: "x", Answer: hemlocktally.ResponseInfo{Limit: &hemlocktally.RateLimit{}}})
			c.Check(h.state.Stats(h.now).Limited, qt.Equals, 0)
		} else {
			c.Check(probes, qt.Equals, 1)
		}
	}
}

// A call that waits for what a limit allows says so, with the limit, its age and the instance
// that heard it; so does one that the limits leave no time for.
func TestCallTellsWhichLimitHeldItBack(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("x", "a"))
	got := h.acquireFresh("x")
	c.Assert(got, qt.HasLen, 1)
	h.nameLimit(got[0], 10)
	h.advance(10 * time.Second)
	h.report("x", 1)
	c.Assert(grants(h.update(h.request())), qt.HasLen, 1)
	waiting := h.request()
	waiting.Request.Objective, waiting.ReplyBy = h.now.Add(time.Second), h.now.Add(time.Minute)
	c.Assert(grants(h.update(waiting)), qt.HasLen, 0)
	h.advance(300 * time.Millisecond)
	held := grants(h.report("x", 1))
	c.Assert(held, qt.HasLen, 1)
	c.Check(held[0].HeldBy, qt.Equals, "limits of targets: x names 10/s (10s ago, to entry)")
	late := refusals(h.update(h.request()))
	c.Assert(late, qt.HasLen, 1)
	c.Check(late[0].Reason, qt.Equals, hemlocktally.ReasonTargetLimit)
	c.Check(late[0].Detail, qt.Contains, "x names 10/s (")
}

// The targets without a limit are unreachable for a moment. Calls wait for the next attempt
// instead of being refused for the limit of the one that is left.
func TestCallWaitsForTargetsWithoutALimitThatAreSoonBack(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("x", "a"), target("y", "a"))
	got := h.acquireFresh("x")
	c.Assert(got, qt.HasLen, 1)
	h.nameLimit(got[0], 0.1)
	h.state.targets["x"].rate.tokens = 0 // Otherwise a random part of a call is saved up.
	h.update(LoadReportMsg{Target: "y", Failed: true})
	waiting := h.request()
	waiting.Request.Objective, waiting.ReplyBy = h.now.Add(400*time.Millisecond), h.now.Add(time.Minute)
	c.Assert(refusals(h.update(waiting)), qt.HasLen, 0)
	h.advance(minBackoff)
	served := grants(h.report("y", 1))
	c.Assert(served, qt.HasLen, 1)
	c.Check(served[0].Target.Name, qt.Equals, hemlocktally.TargetName("y"))
}
