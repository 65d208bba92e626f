package placer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

const (
	coldPerSecond = 17
	// coldBound is what a cold target bears in any second: one and a half times its rate and five
	// calls.
	coldBound = coldPerSecond*3/2 + 5
	workTime  = 85 * time.Millisecond
)

// busyTarget plays a target of six slots that is kept full by waiting calls. Its responses to
// calls carry load reports that don't tell that it is cold; its responses to probes do.
type busyTarget struct {
	*harness
	coldSince time.Time
	sent      []time.Time
	running   []hemlocktally.Grant
	endsAt    []time.Time
}

func newBusyTarget() *busyTarget {
	b := &busyTarget{harness: newHarness()}
	b.list()
	return b
}

func (b *busyTarget) list() {
	x := target("x", "a")
	x.Target.Slots = 6
	b.update(TargetsMsg{
		Service: hemlocktally.Service{Name: "s", ProbePath: "/health", ColdPerSecond: coldPerSecond}, Targets: []hemlocktally.Registration{x},
	})
}

// run plays the target for a time in steps of a millisecond.
func (b *busyTarget) run(span time.Duration) {
	for end := b.now.Add(span); b.now.Before(end); {
		b.execute(b.advance(time.Millisecond))
		for len(b.endsAt) > 0 && !b.now.Before(b.endsAt[0]) {
			grant := b.running[0]
			b.running, b.endsAt = b.running[1:], b.endsAt[1:]
			b.execute(b.releaseWith(grant, func(r *hemlocktally.GrantResult) {
				r.Latency, r.Load = workTime, &hemlocktally.Load{Running: len(b.running), Slots: 6, Pace: 1}
			}))
		}
		if b.state.Waiting() < 3 {
			msg := b.request()
			msg.From = hemlocktally.InstanceID(fmt.Sprint("e", b.tickets%9))
			msg.Request.Objective, msg.Request.Deadline = b.now.Add(time.Second), b.now.Add(5*time.Second)
			msg.ReplyBy = b.now.Add(time.Second)
			b.execute(b.update(msg))
		}
	}
}

func (b *busyTarget) execute(commands []any) {
	for i := 0; i < len(commands); i++ {
		switch command := commands[i].(type) {
		case ProbeCmd:
			answer := hemlocktally.ResponseInfo{Load: &hemlocktally.Load{Running: len(b.running), Slots: 6, Pace: 1}}
			if !b.coldSince.IsZero() {
				answer.Cold, answer.ColdFor = true, 3*time.Second
			}
			commands = append(commands, b.update(LoadReportMsg{Target: "x", Answer: answer})...)
		case GrantCmd:
			b.sent = append(b.sent, b.now)
			b.running, b.endsAt = append(b.running, command.Grant), append(b.endsAt, b.now.Add(workTime))
		}
	}
}

// mostInOneSecond returns the largest number of calls in any second since the given time.
func mostInOneSecond(sent []time.Time, since time.Time) int {
	most := 0
	for i, first := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at.Sub(first) < time.Second {
				n++
			}
		}
		if !first.Before(since) {
			most = max(most, n)
		}
	}
	return most
}

// Guards against a busy target that turns cold and gets its full load until its next heartbeat:
// each choice then follows a response to a call, so that its load reports are never old enough
// for a probe, and only probes tell that it is cold.
func TestBusyTargetThatTurnsColdIsNoticed(t *testing.T) {
	c := qt.New(t)
	for offset := range 20 {
		b := newBusyTarget()
		b.run(2*time.Second + time.Duration(offset)*17*time.Millisecond)
		c.Assert(mostInOneSecond(b.sent, b.now.Add(-1500*time.Millisecond)) > 2*coldPerSecond, qt.IsTrue) // It is busy.
		b.coldSince = b.now
		b.run(2500 * time.Millisecond)
		c.Check(mostInOneSecond(b.sent, b.coldSince) <= coldBound, qt.IsTrue,
			qt.Commentf("offset %d: %d calls in one second, %v are allowed", offset, mostInOneSecond(b.sent, b.coldSince), coldBound))
	}
}

// Guards against an owner that is asked again after a pause, in which another one decided, and
// gives a cold target the share of a whole second.
func TestOwnerAskedAgainUsesHalfTheShare(t *testing.T) {
	c := qt.New(t)
	b := newBusyTarget()
	b.coldSince = b.now
	b.run(2 * time.Second)
	b.now = b.now.Add(3 * time.Second)
	before := len(b.sent)
	b.run(900 * time.Millisecond)
	c.Check(len(b.sent)-before <= coldPerSecond/2, qt.IsTrue, qt.Commentf("%d calls", len(b.sent)-before))
}

// Guards against several owners that are asked at the same time and each give a cold target the
// whole share.
func TestOwnersAtOnceShareAColdTarget(t *testing.T) {
	c := qt.New(t)
	const owners = 4
	var sent []time.Time
	for n := range owners {
		b := newBusyTarget()
		b.update(RankMsg{Rank: Rank{Further: n > 0, Others: owners - 1}})
		b.coldSince = b.now
		b.run(4 * time.Second)
		sent = append(sent, b.sent...)
	}
	slices.SortFunc(sent, time.Time.Compare)
	most := mostInOneSecond(sent, startTime)
	c.Check(most <= coldBound, qt.IsTrue, qt.Commentf("%d calls in one second, %v are allowed", most, coldBound))
	c.Check(most >= coldPerSecond/2, qt.IsTrue, qt.Commentf("%d calls in one second", most))
}

// Guards against owners that follow each other within a second and each give a cold target the
// share of a whole second.
func TestOwnersInSuccessionShareAColdTarget(t *testing.T) {
	c := qt.New(t)
	var sent []time.Time
	now := startTime
	for range 3 {
		b := newBusyTarget()
		b.now, b.coldSince = now, now
		x := target("x", "a")
		x.Target.Slots, x.ColdFor = 6, 3*time.Second
		b.update(TargetsMsg{Service: hemlocktally.Service{Name: "s", ProbePath: "/health", ColdPerSecond: coldPerSecond}, Targets: []hemlocktally.Registration{x}})
		b.run(300 * time.Millisecond)
		sent, now = append(sent, b.sent...), b.now
	}
	c.Check(mostInOneSecond(sent, startTime) <= coldBound, qt.IsTrue, qt.Commentf("%d calls in one second, %v are allowed", mostInOneSecond(sent, startTime), coldBound))
	c.Check(len(sent) >= 3, qt.IsTrue) // Each owner gives it some.
}
