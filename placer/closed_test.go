package placer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// All targets of a service are silent, as when their machines lost power. Calls that
// none could answer promptly are refused at once, with the time when one is tried
// again, and not held to their deadline.
func TestCallsOfAServiceThatIsDownAreRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	d := newDesk(target("x", "a"), target("y", "a"))
	for range 4 {
		for _, name := range []hemlocktally.TargetName{"x", "y"} {
			d.update(LoadMsg{Target: name, Failed: true})
		}
	}
	got := refusals(d.update(d.request()))
	c.Assert(got, qt.HasLen, 1)
	c.Check(got[0].Outcome, qt.Equals, hemlocktally.OutcomeNotRun)
	c.Check(got[0].RetryAfter >= 700*time.Millisecond && got[0].RetryAfter <= time.Second, qt.IsTrue, qt.Commentf("%s", got[0].RetryAfter))
	patient := d.request()
	patient.Request.Objective, patient.Request.Deadline = d.now.Add(3*time.Second), d.now.Add(5*time.Second)
	patient.Hold = d.now.Add(time.Minute)
	c.Check(refusals(d.update(patient)), qt.HasLen, 0, qt.Commentf("one that has the time waits"))
	d.wait(900 * time.Millisecond)
	d.report("x", 1)
	d.report("y", 1)
	c.Check(d.state.Waiting(), qt.Equals, 0, qt.Commentf("it has its turn once a target is tried again"))
}

// All targets leave, or their zone is out: nothing is held until a deadline.
func TestCallsOfAServiceThatLeavesAreRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	leaving := target("x", "a")
	leaving.Draining = true
	d := newDesk(leaving, target("y", "b"))
	d.configure(map[hemlocktally.ZoneName]bool{"b": true}, leaving, target("y", "b"))
	got := refusals(d.update(d.request()))
	c.Assert(got, qt.HasLen, 1)
	c.Check(got[0].Reason, qt.Equals, hemlocktally.ReasonNoTarget)
	c.Check(got[0].RetryAfter > 0, qt.IsTrue)
}
