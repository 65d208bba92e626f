package placer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hemlocktally"
)

// In a service with 500 mostly free targets in five zones, a choice must examine only those in
// the caller's zone, a few times each, and not all targets at each step.
func TestChoiceExaminesTheCallersZoneFirst(t *testing.T) {
	c := qt.New(t)
	const targets, zones, grantCount = 500, 5, 200
	h := manyTargets(targets)
	for n := range 100 {
		c.Assert(h.runCall(n), qt.IsTrue) // These calls give the owner its estimate of the work time.
	}
	before := h.state.Stats(h.now).Examined
	for n := range grantCount {
		c.Assert(h.runCall(n), qt.IsTrue)
	}
	perGrant := float64(h.state.Stats(h.now).Examined-before) / grantCount
	// A grant takes two steps with a choice: the request and the last probe answer.
	c.Check(perGrant <= 2*3*targets/zones, qt.IsTrue, qt.Commentf("%.0f targets examined per grant", perGrant))
}

// When many calls are requested at once, each waits only for the probe answers that its own
// choice needs.
func TestChoiceWaitsForItsOwnProbesOnly(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("x", "a"), target("y", "a"), target("z", "a"), target("far", "b"))
	own := probedTargets(h.update(h.request()))
	c.Assert(own, qt.HasLen, maxProbes)
	other := h.request()
	other.Zone = "b"
	c.Assert(probedTargets(h.update(other)), qt.DeepEquals, []hemlocktally.TargetName{"far"})
	h.now = h.now.Add(2 * time.Millisecond)
	var got []hemlocktally.Grant
	for _, name := range own {
		got = append(got, grants(h.report(string(name), 1))...)
	}
	c.Check(got, qt.HasLen, 1, qt.Commentf("the probe of the far target is still in flight"))
}

// Whatever the state, a choice that examines one zone first must return the same target as a
// choice among all targets.
func TestChoiceByZoneEqualsTheChoiceAmongAllTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []hemlocktally.Registration
		count := rapid.IntRange(1, 60).Draw(t, "targets")
		for i := range count {
			list = append(list, target(fmt.Sprint("t", i), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")))
		}
		h := newHarness(list...)
		for i := range count {
			switch rapid.IntRange(0, 5).Draw(t, "state") {
			case 0:
				h.update(LoadReportMsg{Target: hemlocktally.TargetName(fmt.Sprint("t", i)), Failed: true})
			case 1:
			default:
				h.report(fmt.Sprint("t", i), rapid.Float64Range(1, 7).Draw(t, "pace"))
			}
		}
		h.now = h.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "age")) * time.Millisecond)
		w := &waiter{msg: h.request(), enqueuedAt: h.now}
		w.msg.Request.Objective = h.now.Add(time.Duration(rapid.IntRange(-50, 2000).Draw(t, "left")) * time.Millisecond)
		left := w.msg.Request.Objective.Sub(h.now)
		_, got, ok := h.state.choose(w, &freeTargets{state: &h.state, now: h.now}, h.now)
		_, want, wantOK := h.state.rank(w, (&freeTargets{state: &h.state, now: h.now}).inAllZones(), left, h.now)
		if ok != wantOK || got.t != want.t {
			t.Fatalf("chose %v by zone, but %v among all targets", got, want)
		}
	})
}
