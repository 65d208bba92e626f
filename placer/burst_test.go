package placer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// burst is an owner in a burst over its capacity: all slots of many targets are
// taken, and calls wait.
func burst(targets, waiting int) (*desk, []GrantCmd) {
	var list []hemlocktally.Registration
	for i := range targets {
		list = append(list, target(fmt.Sprint("t", i), "a"))
	}
	d := newDesk(list...)
	for i := range targets {
		d.report(fmt.Sprint("t", i), 1)
	}
	var taken []GrantCmd
	for d.state.Waiting() < waiting {
		ask := d.request()
		ask.Hold, ask.Request.Objective = d.now.Add(time.Minute), d.now.Add(time.Minute)
		ask.Request.Deadline = d.now.Add(time.Minute)
		for _, command := range d.update(ask) {
			if granted, ok := command.(GrantCmd); ok {
				taken = append(taken, granted)
			}
		}
	}
	return d, taken
}

// A burst over the capacity: the step that takes a turn back looks at each
// target a few times, and not once for each call that waits; else the owner of a
// busy service falls behind when it is needed most.
func TestBurstCostsTheOwnerLittle(t *testing.T) {
	c := qt.New(t)
	const targets, waiting = 150, 60
	d, taken := burst(targets, waiting)
	c.Assert(len(taken), qt.Equals, 2*targets)
	before := d.state.Stats(d.now).Examined
	for _, granted := range taken[:20] {
		d.update(EndMsg{Result: hemlocktally.GrantResult{
			Grant: granted.Grant, Outcome: hemlocktally.AttemptDone, Latency: 100 * time.Millisecond,
			Load: &hemlocktally.Load{Slots: 2, Running: 1, Pace: 1},
		}})
	}
	c.Check(d.state.Waiting(), qt.Equals, waiting-20, qt.Commentf("each turn that came back went to a call that waits"))
	perStep := (d.state.Stats(d.now).Examined - before) / 20
	c.Check(perStep <= 2*(targets+waiting), qt.IsTrue, qt.Commentf("%d targets examined a step", perStep))
}

// BenchmarkBurst is one message to an owner whose targets are all taken.
func BenchmarkBurst(b *testing.B) {
	d, _ := burst(150, 60)
	for b.Loop() {
		d.update(TickMsg{})
	}
}
