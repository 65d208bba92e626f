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

// turnAt makes one turn on an owner of many targets in five zones: the question,
// the answers about load that it asks for, and the end.
func (d *desk) turnAt(n int) bool {
	d.now = d.now.Add(time.Millisecond)
	ask := d.request()
	ask.Zone = hemlocktally.ZoneName(fmt.Sprint("z", n%5))
	ask.From = hemlocktally.InstanceID(fmt.Sprint("e", n%300))
	ask.Request.Objective = d.now.Add(time.Second)
	commands := d.update(ask)
	for i := 0; i < len(commands); i++ {
		if probe, ok := commands[i].(ProbeCmd); ok {
			commands = append(commands, d.report(string(probe.Target.Name), 1+float64(n%3)/10)...)
		}
	}
	for _, got := range grants(commands) {
		d.update(EndMsg{Result: hemlocktally.GrantResult{
			Grant: got, Contract: "c", Outcome: hemlocktally.AttemptDone, Latency: 100 * time.Millisecond,
			Load: &hemlocktally.Load{Slots: 2, Pace: 1},
		}})
		return true
	}
	return false
}

func manyTargets(count int) *desk {
	var list []hemlocktally.Registration
	for i := range count {
		list = append(list, target(fmt.Sprint("t", i), fmt.Sprint("z", i%5)))
	}
	return newDesk(list...)
}

// BenchmarkTurn is what a turn costs the owner of a service whose targets are
// mostly free.
func BenchmarkTurn(b *testing.B) {
	for _, count := range []int{15, 150, 500} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			d := manyTargets(count)
			for n := 0; b.Loop(); n++ {
				if !d.turnAt(n) {
					b.Fatal("no turn was given")
				}
			}
		})
	}
}
