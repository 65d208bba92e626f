package placer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// All targets are unreachable, as after a power failure. Calls that no target could answer
// within their objective are refused at once, with the time of the next retry as their
// Retry-After, instead of waiting for their deadline.
func TestCallsAreRefusedAtOnceWhileNoTargetAnswers(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("x", "a"), target("y", "a"))
	for range 4 {
		for _, name := range []hemlocktally.TargetName{"x", "y"} {
			h.update(LoadReportMsg{Target: name, Failed: true})
		}
	}
	got := refusals(h.update(h.request()))
	c.Assert(got, qt.HasLen, 1)
	c.Check(got[0].Outcome, qt.Equals, hemlocktally.OutcomeNotRun)
	c.Check(got[0].RetryAfter >= 700*time.Millisecond && got[0].RetryAfter <= time.Second, qt.IsTrue, qt.Commentf("%s", got[0].RetryAfter))
	patient := h.request()
	patient.Request.Objective, patient.Request.Deadline = h.now.Add(3*time.Second), h.now.Add(5*time.Second)
	patient.ReplyBy = h.now.Add(time.Minute)
	c.Check(refusals(h.update(patient)), qt.HasLen, 0, qt.Commentf("a call with enough time left waits"))
	h.advance(900 * time.Millisecond)
	h.report("x", 1)
	h.report("y", 1)
	c.Check(h.state.Waiting(), qt.Equals, 0, qt.Commentf("it gets a grant once a target is retried"))
}

// If all targets are leaving or their zone is out of service, calls are refused at once
// instead of waiting for their deadline.
func TestCallsAreRefusedAtOnceWhenAllTargetsAreOut(t *testing.T) {
	c := qt.New(t)
	draining := target("x", "a")
	draining.Draining = true
	h := newHarness(draining, target("y", "b"))
	h.configure(map[hemlocktally.ZoneName]bool{"b": true}, draining, target("y", "b"))
	got := refusals(h.update(h.request()))
	c.Assert(got, qt.HasLen, 1)
	c.Check(got[0].Reason, qt.Equals, hemlocktally.ReasonNoTarget)
	c.Check(got[0].RetryAfter > 0, qt.IsTrue)
}
