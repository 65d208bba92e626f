package monitor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/monitor"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fail(s *monitor.State, service hemlocktally.ServiceName, target hemlocktally.TargetName, at time.Time) []any {
	return s.Update(monitor.FailureMsg{Service: service, Target: target}, at)
}

// One target that fails, however often, or targets that fail long after each other, say nothing
// about the network of this instance.
func TestSingleTargetsAreNoReasonToCheck(t *testing.T) {
	c := qt.New(t)
	var s monitor.State
	for i := range 10 {
		c.Check(fail(&s, "s", "a", start.Add(time.Duration(i)*100*time.Millisecond)), qt.HasLen, 0)
	}
	c.Check(fail(&s, "s", "b", start.Add(5*time.Second)), qt.HasLen, 0)
	c.Check(fail(&s, "s", "c", start.Add(5500*time.Millisecond)), qt.HasLen, 1)
}

// Others are checked before the instance counts as isolated; a check that finds some is the end
// of it.
func TestOtherTargetsDecide(t *testing.T) {
	c := qt.New(t)
	for _, result := range []struct {
		tried, reached int
		isolated       bool
	}{{6, 0, true}, {6, 1, true}, {6, 2, false}, {3, 0, true}, {3, 1, false}, {1, 0, true}, {1, 1, false}} {
		var s monitor.State
		fail(&s, "s", "a", start)
		commands := fail(&s, "s", "b", start)
		c.Assert(commands, qt.HasLen, 1)
		c.Check(commands[0].(monitor.CheckCmd).Except, qt.HasLen, 2)
		c.Check(fail(&s, "s", "c", start), qt.HasLen, 0, qt.Commentf("one check at a time"))
		c.Check(s.Isolated("s"), qt.IsFalse)
		s.Update(monitor.CheckedMsg{Service: "s", Tried: result.tried, Reached: result.reached}, start)
		c.Check(s.Isolated("s"), qt.Equals, result.isolated, qt.Commentf("%+v", result))
	}
}

// The other services are checked at once, and again when the network is back.
func TestOtherServicesAreChecked(t *testing.T) {
	c := qt.New(t)
	var s monitor.State
	s.Note("other")
	fail(&s, "s", "a", start)
	fail(&s, "s", "b", start)
	commands := s.Update(monitor.CheckedMsg{Service: "s", Tried: 6}, start)
	c.Assert(commands, qt.HasLen, 2)
	c.Check(commands[1].(monitor.CheckCmd).Service, qt.Equals, hemlocktally.ServiceName("other"))
	s.Update(monitor.CheckedMsg{Service: "other", Tried: 6}, start)
	c.Check(s.Isolated("other"), qt.IsTrue)

	now := start.Add(time.Second)
	c.Check(s.Update(monitor.TickMsg{}, now), qt.HasLen, 2)
	c.Check(s.Update(monitor.TickMsg{}, now.Add(100*time.Millisecond)), qt.HasLen, 0)
	c.Check(s.Update(monitor.CheckedMsg{Service: "s", Tried: 6, Reached: 2}, now), qt.HasLen, 0)
	c.Check(s.Isolated("s"), qt.IsTrue, qt.Commentf("a single good check"))
	commands = s.Update(monitor.CheckedMsg{Service: "s", Tried: 6, Reached: 6}, now.Add(200*time.Millisecond))
	c.Check(commands[0], qt.Equals, any(monitor.ReachableCmd{Service: "s", After: 1200 * time.Millisecond}))
	c.Check(commands[1].(monitor.CheckCmd).Service, qt.Equals, hemlocktally.ServiceName("other"))
	c.Check(s.Isolated("s"), qt.IsFalse)
	c.Check(s.Isolated("other"), qt.IsTrue)
}
