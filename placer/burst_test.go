package placer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// overloadedHarness returns an overloaded owner: all slots of all targets are in use, and the
// given number of calls waits. It also returns the grants in use.
func overloadedHarness(targets, waiting int) (*harness, []GrantCmd) {
	var list []hemlocktally.Registration
	for i := range targets {
		list = append(list, target(fmt.Sprint("t", i), "a"))
	}
	h := newHarness(list...)
	for i := range targets {
		h.report(fmt.Sprint("t", i), 1)
	}
	var taken []GrantCmd
	for h.state.Waiting() < waiting {
		msg := h.request()
		msg.ReplyBy, msg.Request.Objective = h.now.Add(time.Minute), h.now.Add(time.Minute)
		msg.Request.Deadline = h.now.Add(time.Minute)
		for _, command := range h.update(msg) {
			if granted, ok := command.(GrantCmd); ok {
				taken = append(taken, granted)
			}
		}
	}
	return h, taken
}

// An owner that examines every target for each waiting call falls behind in a burst. A
// released grant may cost only a few looks at each target, independent of the queue length.
func TestBurstExaminesFewTargets(t *testing.T) {
	c := qt.New(t)
	const targets, waiting = 150, 60
	h, taken := overloadedHarness(targets, waiting)
	c.Assert(len(taken), qt.Equals, 2*targets)
	before := h.state.Stats(h.now).Examined
	for _, granted := range taken[:20] {
		h.update(ReleaseMsg{Result: hemlocktally.GrantResult{
			Grant: granted.Grant, Outcome: hemlocktally.AttemptDone, Latency: 100 * time.Millisecond,
			Load: &hemlocktally.Load{Slots: 2, Running: 1, Pace: 1},
		}})
	}
	c.Check(h.state.Waiting(), qt.Equals, waiting-20, qt.Commentf("each released grant goes to a waiting call"))
	perStep := (h.state.Stats(h.now).Examined - before) / 20
	c.Check(perStep <= 2*(targets+waiting), qt.IsTrue, qt.Commentf("%d targets examined per step", perStep))
}

// BenchmarkBurst measures one message to an owner whose targets are all full.
func BenchmarkBurst(b *testing.B) {
	h, _ := overloadedHarness(150, 60)
	for b.Loop() {
		h.update(TickMsg{})
	}
}

// runCall runs one call on an owner of many targets in five zones: request, probe answers and
// release. It reports whether the call got a grant.
func (h *harness) runCall(n int) bool {
	h.now = h.now.Add(time.Millisecond)
	msg := h.request()
	msg.Zone = hemlocktally.ZoneName(fmt.Sprint("z", n%5))
	msg.From = hemlocktally.InstanceID(fmt.Sprint("e", n%300))
	msg.Request.Objective = h.now.Add(time.Second)
	commands := h.update(msg)
	for i := 0; i < len(commands); i++ {
		if probe, ok := commands[i].(ProbeCmd); ok {
			commands = append(commands, h.report(string(probe.Target.Name), 1+float64(n%3)/10)...)
		}
	}
	for _, got := range grants(commands) {
		h.update(ReleaseMsg{Result: hemlocktally.GrantResult{
			Grant: got, Contract: "c", Outcome: hemlocktally.AttemptDone, Latency: 100 * time.Millisecond,
			Load: &hemlocktally.Load{Slots: 2, Pace: 1},
		}})
		return true
	}
	return false
}

func manyTargets(count int) *harness {
	var list []hemlocktally.Registration
	for i := range count {
		list = append(list, target(fmt.Sprint("t", i), fmt.Sprint("z", i%5)))
	}
	return newHarness(list...)
}

// BenchmarkGrant measures a whole call at the owner of a service most of whose targets are
// free.
func BenchmarkGrant(b *testing.B) {
	for _, count := range []int{15, 150, 500} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			h := manyTargets(count)
			for n := 0; b.Loop(); n++ {
				if !h.runCall(n) {
					b.Fatal("no grant was issued")
				}
			}
		})
	}
}
