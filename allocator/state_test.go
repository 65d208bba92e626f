package allocator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

func TestNewTargetBearsOneCallUntilItsAnswersAreQuick(t *testing.T) {
	d := newDesk(t, 1)
	first := grants(d.acquire(d.request(hemlocktally.PriorityNormal)))
	d.c.Assert(first, qt.HasLen, 1)
	d.c.Check(first[0].Cold, qt.IsTrue)
	d.c.Check(grants(d.acquire(d.request(hemlocktally.PriorityNormal))), qt.HasLen, 0)
	d.update(CancelMsg{Ticket: d.last})
	d.end(first[0], hemlocktally.AttemptDone, 10*time.Millisecond)
	d.warm()
	d.c.Check(len(d.fill(hemlocktally.PriorityNormal)), qt.Equals, 2)
}

func TestColdTargetGetsNothingWithoutStanding(t *testing.T) {
	d := newDesk(t, 1)
	d.update(StandingMsg{})
	d.c.Check(grants(d.acquire(d.request(hemlocktally.PriorityHigh))), qt.HasLen, 0)
	got := grants(d.update(StandingMsg{Until: d.now.Add(time.Second), Owner: true}))
	d.c.Assert(got, qt.HasLen, 1)
	d.c.Check(got[0].LeaseEnd, qt.Equals, d.now.Add(time.Second))
}

func TestTargetThatTurnsColdIsHeldToOneCall(t *testing.T) {
	d := newDesk(t, 1)
	d.warm()
	taken := d.fill(hemlocktally.PriorityNormal)
	d.update(ResultMsg{Grant: taken[0].ID, Target: "t0", Outcome: hemlocktally.AttemptDone, Latency: 30 * time.Millisecond, SaidCold: true})
	d.c.Check(grants(d.acquire(d.request(hemlocktally.PriorityNormal))), qt.HasLen, 0)
	// The waiting call gets the one turn once the other old call has ended.
	d.c.Check(d.end(taken[1], hemlocktally.AttemptDone, 30*time.Millisecond), qt.Not(qt.HasLen), 0)
	d.c.Check(d.state.InFlight("t0"), qt.Equals, 1)
}

func TestRampFallsBackAtOnceOnASlowAnswer(t *testing.T) {
	d := newDesk(t, 2)
	d.warm()
	d.state.byName["t0"].target.Slots = 8
	d.state.byName["t0"].fire(eventChill, "test")
	d.state.byName["t0"].bears = 3
	got := grants(d.acquire(d.request(hemlocktally.PriorityNormal)))
	d.c.Assert(got[0].Target.Name, qt.Equals, target(0))
	d.end(got[0], hemlocktally.AttemptDone, 100*time.Millisecond)
	d.c.Check(d.state.byName["t0"].bears, qt.Equals, 1)
}

func TestHighPriorityGoesFirstThenTheEarliestLimit(t *testing.T) {
	d := newDesk(t, 1)
	d.warm()
	taken := d.fill(hemlocktally.PriorityNormal)
	late := d.request(hemlocktally.PriorityNormal)
	early := d.request(hemlocktally.PriorityNormal)
	early.QueueLimit = 100 * time.Millisecond
	d.acquire(late)
	d.acquire(early)
	d.acquire(d.request(hemlocktally.PriorityHigh))
	var order []uint64
	for len(order) < 3 {
		d.now = d.now.Add(5 * time.Millisecond)
		commands := d.end(taken[0], hemlocktally.AttemptDone, 10*time.Millisecond)
		taken = append(taken[1:], grants(commands)...)
		for _, command := range commands {
			if g, ok := command.(GrantCmd); ok {
				order = append(order, g.Ticket)
			}
		}
	}
	d.c.Check(order, qt.DeepEquals, []uint64{d.last, d.last - 1, d.last - 2})
}

func TestCallThatCanNotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	d := newDesk(t, 1)
	d.warm()
	d.fill(hemlocktally.PriorityNormal)
	for range 30 {
		d.acquire(d.request(hemlocktally.PriorityNormal))
	}
	short := d.request(hemlocktally.PriorityNormal)
	short.QueueLimit = 50 * time.Millisecond
	refused := refusals(d.acquire(short))
	d.c.Assert(refused, qt.HasLen, 1)
	d.c.Check(refused[0].Outcome, qt.Equals, hemlocktally.OutcomeNotRun)
	d.c.Check(refused[0].RetryAfter > 0, qt.IsTrue)
	// High priority goes before those that wait, so it is not refused.
	short.Priority = hemlocktally.PriorityHigh
	d.c.Check(refusals(d.acquire(short)), qt.HasLen, 0)
}

func TestWaitEndsAtTheQueueLimit(t *testing.T) {
	d := newDesk(t, 1)
	d.warm()
	d.fill(hemlocktally.PriorityNormal)
	d.acquire(d.request(hemlocktally.PriorityNormal))
	d.now = d.state.wake()
	refused := refusals(d.update(TickMsg{}))
	d.c.Assert(refused, qt.HasLen, 1)
	d.c.Check(refused[0].Reason, qt.Equals, hemlocktally.ReasonShed)
}

func TestStragglerIsLeftOutAndTheShareIsBounded(t *testing.T) {
	d := newDesk(t, 5)
	d.warm()
	taken := d.fill(hemlocktally.PriorityHigh)
	d.c.Assert(len(taken) >= 10, qt.IsTrue)
	d.now = d.now.Add(100 * time.Millisecond)
	// One call of each target ended; the other is overdue everywhere.
	seen := map[hemlocktally.TargetName]bool{}
	for _, g := range taken {
		if !seen[g.Target.Name] {
			seen[g.Target.Name] = true
			d.end(g, hemlocktally.AttemptUnused, 0)
		}
	}
	free := len(d.fill(hemlocktally.PriorityHigh))
	d.c.Check(free >= 4, qt.IsTrue, qt.Commentf("%d turns on four targets", free))
	slow := 0
	for _, t := range d.state.targets {
		if t.slow {
			slow++
		}
	}
	d.c.Check(slow, qt.Equals, 1)
}

func TestSlowTargetIsHeldToOneCallAndComesBack(t *testing.T) {
	d := newDesk(t, 5)
	d.warm()
	slow := d.state.byName["t0"]
	slow.slow = true
	for range outliersToLimit {
		d.end(d.onSlow(), hemlocktally.AttemptDone, 300*time.Millisecond)
	}
	held := d.onSlow()
	for _, g := range d.fill(hemlocktally.PriorityNormal) {
		d.c.Check(g.Target.Name, qt.Not(qt.Equals), target(0))
	}
	d.end(held, hemlocktally.AttemptDone, 10*time.Millisecond)
	d.end(d.onSlow(), hemlocktally.AttemptDone, 10*time.Millisecond)
	d.c.Check(slow.slow, qt.IsFalse)
}

// onSlow takes turns until one is on the slow target t0.
func (d *desk) onSlow() hemlocktally.Grant {
	d.c.Helper()
	for range 100 {
		for _, g := range grants(d.acquire(d.request(hemlocktally.PriorityNormal))) {
			if g.Target.Name == "t0" {
				return g
			}
			d.end(g, hemlocktally.AttemptUnused, 0)
		}
	}
	d.c.Fatal("no turn on the slow target")
	return hemlocktally.Grant{}
}

func TestTargetThatFailsFastDrawsNoMoreWork(t *testing.T) {
	d := newDesk(t, 4)
	d.warm()
	failed, others := 0, 0
	for range 1000 {
		for _, g := range grants(d.acquire(d.request(hemlocktally.PriorityNormal))) {
			outcome, latency := hemlocktally.AttemptDone, 10*time.Millisecond
			if g.Target.Name == "t0" {
				outcome, latency = hemlocktally.AttemptFailed, time.Microsecond
				failed++
			} else {
				others++
			}
			d.now = d.now.Add(latency)
			d.end(g, outcome, latency)
		}
	}
	// Ten seconds pass: a failure each 20, 40, ... 2000 ms is at most 12.
	d.c.Check(failed <= 12, qt.IsTrue, qt.Commentf("%d failures", failed))
	d.c.Check(others > 900, qt.IsTrue)
}

func TestDrainingAndOutTargetsGetNoNewWork(t *testing.T) {
	d := newDesk(t, 2)
	d.warm()
	first := grants(d.acquire(d.request(hemlocktally.PriorityNormal)))[0]
	d.update(ResultMsg{Grant: first.ID, Target: first.Target.Name, Outcome: hemlocktally.AttemptDone, SaidDraining: true})
	other := target(0)
	if first.Target.Name == other {
		other = target(1)
	}
	for _, g := range d.fill(hemlocktally.PriorityHigh) {
		d.c.Check(g.Target.Name, qt.Equals, other)
	}
	d.configure(2, map[hemlocktally.TargetName]bool{other: true})
	refused := refusals(d.acquire(d.request(hemlocktally.PriorityHigh)))
	d.c.Assert(refused, qt.HasLen, 1)
	d.c.Check(refused[0].Reason, qt.Equals, hemlocktally.ReasonNoTarget)
}

func TestTargetThatReturnsIsCold(t *testing.T) {
	d := newDesk(t, 1)
	d.warm()
	d.configure(1, map[hemlocktally.TargetName]bool{"t0": true})
	d.configure(1, nil)
	d.c.Check(d.state.byName["t0"].state(), qt.Equals, hemlocktally.TargetCold)
}

func TestBudgetsBoundRetriesAndHedges(t *testing.T) {
	d := newDesk(t, 8)
	d.warm()
	retried := 0
	for range 1000 {
		r := d.request(hemlocktally.PriorityNormal)
		r.Kind = hemlocktally.AttemptRetry
		for _, g := range grants(d.acquire(r)) {
			retried++
			d.end(g, hemlocktally.AttemptUnused, 0)
		}
	}
	d.c.Check(retried, qt.Equals, attemptBurst)
	d.c.Check(refusals(d.acquire(hemlocktally.GrantRequest{
		Service: "reads", Contract: "Reads", Kind: hemlocktally.AttemptRetry, Deadline: d.now.Add(time.Second), QueueLimit: time.Second,
	}))[0].Reason, qt.Equals, hemlocktally.ReasonRetryBudget)
}

func TestLostGrantAndRestartedEntryAreFreed(t *testing.T) {
	d := newDesk(t, 1)
	d.warm()
	taken := d.fill(hemlocktally.PriorityNormal)
	d.now = d.now.Add(2 * time.Second / 3)
	d.update(RecallMsg{From: "entry", Asked: d.now})
	d.c.Check(d.state.InFlight("t0"), qt.Equals, len(taken), qt.Commentf("a turn may be on its way"))
	d.now = d.now.Add(time.Second / 2)
	d.update(RecallMsg{From: "entry", Asked: d.now, Turns: []Turn{{Grant: taken[0].ID, Target: "t0", Started: d.now}}})
	d.c.Check(d.state.InFlight("t0"), qt.Equals, 1)
	d.update(MembersMsg{Members: map[hemlocktally.InstanceID]bool{"one": true}})
	d.c.Check(d.state.InFlight("t0"), qt.Equals, 0)
}

func TestNewOwnerRebuildsTheTallyAndWhatIsWarm(t *testing.T) {
	d := newDesk(t, 2)
	started := d.now.Add(-time.Millisecond)
	d.update(RecallMsg{
		From: "entry", Asked: d.now, Warm: []hemlocktally.TargetName{"t0"},
		Turns: []Turn{
			{Grant: "old/1", Target: "t0", Started: started, Deadline: d.now.Add(time.Second)},
			{Grant: "old/2", Target: "t1", Started: started, Deadline: d.now.Add(time.Second)},
		},
	})
	got := d.fill(hemlocktally.PriorityHigh)
	d.c.Assert(got, qt.HasLen, 1, qt.Commentf("one turn is left on the warm target, none on the cold one"))
	d.c.Check(got[0].Target.Name, qt.Equals, target(0))
	d.update(ResultMsg{Grant: "old/1", Target: "t0", Outcome: hemlocktally.AttemptDone, Latency: time.Millisecond})
	d.update(ResultMsg{Grant: "old/1", Target: "t0", Outcome: hemlocktally.AttemptDone, Latency: time.Millisecond})
	d.c.Check(d.state.InFlight("t0"), qt.Equals, 1, qt.Commentf("a result told twice counts once"))
}

func TestProbesKeepTheBudget(t *testing.T) {
	d := newDesk(t, 8)
	d.state.config.ProbePath = "/probe"
	probes := 0
	const seconds = 20
	for range seconds * 100 {
		d.now = d.now.Add(10 * time.Millisecond)
		for _, command := range d.update(TickMsg{}) {
			if p, ok := command.(ProbeCmd); ok {
				probes++
				d.update(ProbeMsg{Target: p.Target.Name, Latency: 6 * time.Millisecond})
			}
		}
	}
	d.c.Check(probes > 0 && probes <= seconds*hemlocktally.DefaultProbesPerSecond+1, qt.IsTrue, qt.Commentf("%d", probes))
}

func TestLyingReportWeighsNothing(t *testing.T) {
	d := newDesk(t, 1)
	d.warm()
	tally := d.state.byName["t0"]
	tally.saidCold = true
	lie := ProbeMsg{Target: "t0", State: hemlocktally.TargetWarm, Reported: true}
	for range liesToDistrust {
		d.update(lie)
	}
	lie.State = hemlocktally.TargetDraining
	d.update(lie)
	d.c.Check(tally.state(), qt.Equals, hemlocktally.TargetWarm)
}
