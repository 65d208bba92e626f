package placer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hemlocktally"
)

// A fleet of hundreds: a service has 500 targets in five zones, and most are free.
// A choice looks at those of the caller's zone, a few times each, and not at all
// of them at each step.
func TestChoiceLooksAtTheCallersZoneFirst(t *testing.T) {
	c := qt.New(t)
	const targets, zones, turns = 500, 5, 200
	d := manyTargets(targets)
	for n := range 100 {
		c.Assert(d.turnAt(n), qt.IsTrue) // The owner learns how long work takes.
	}
	before := d.state.Stats(d.now).Examined
	for n := range turns {
		c.Assert(d.turnAt(n), qt.IsTrue)
	}
	perTurn := float64(d.state.Stats(d.now).Examined-before) / turns
	// A turn is two steps with a choice: the question, and the last answer about load.
	c.Check(perTurn <= 2*3*targets/zones, qt.IsTrue, qt.Commentf("%.0f targets examined a turn", perTurn))
}

// Many calls ask at the same moment. Each waits for the answers about load that
// its own choice needs; others' questions don't hold it up.
func TestChoiceWaitsForItsOwnAnswersOnly(t *testing.T) {
	c := qt.New(t)
	d := newDesk(target("x", "a"), target("y", "a"), target("z", "a"), target("far", "b"))
	own := probed(d.update(d.request()))
	c.Assert(own, qt.HasLen, probesAtOnce)
	other := d.request()
	other.Zone = "b"
	c.Assert(probed(d.update(other)), qt.DeepEquals, []hemlocktally.TargetName{"far"})
	d.now = d.now.Add(2 * time.Millisecond)
	var got []hemlocktally.Grant
	for _, name := range own {
		got = append(got, grants(d.report(string(name), 1))...)
	}
	c.Check(got, qt.HasLen, 1, qt.Commentf("the far target is still being asked"))
}

// Whatever the owner knows, a choice that looks at one zone first takes the target
// that a look at all of them would have taken.
func TestChoiceByZoneIsTheChoiceOfAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []hemlocktally.Registration
		count := rapid.IntRange(1, 60).Draw(t, "targets")
		for i := range count {
			list = append(list, target(fmt.Sprint("t", i), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")))
		}
		d := newDesk(list...)
		for i := range count {
			switch rapid.IntRange(0, 5).Draw(t, "state") {
			case 0:
				d.update(LoadMsg{Target: hemlocktally.TargetName(fmt.Sprint("t", i)), Failed: true})
			case 1:
			default:
				d.report(fmt.Sprint("t", i), rapid.Float64Range(1, 7).Draw(t, "pace"))
			}
		}
		d.now = d.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "age")) * time.Millisecond)
		w := &waiter{msg: d.request(), arrived: d.now}
		w.msg.Request.Objective = d.now.Add(time.Duration(rapid.IntRange(-50, 2000).Draw(t, "left")) * time.Millisecond)
		left := w.msg.Request.Objective.Sub(d.now)
		_, got, ok := d.state.choose(w, &room{state: &d.state, now: d.now}, d.now)
		_, want, wanted := d.state.rank(w, (&room{state: &d.state, now: d.now}).everywhere(), left, d.now)
		if ok != wanted || got.t != want.t {
			t.Fatalf("took %v, all together %v", got, want)
		}
	})
}
