package allocator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

func TestNewTargetGetsOneCallUntilItsResponsesAreFast(t *testing.T) {
	d := newHarness(t, 1)
	first := grants(d.acquire(d.request(hemlocktally.PriorityNormal)))
	d.c.Assert(first, qt.HasLen, 1)
	d.c.Check(first[0].Cold, qt.IsTrue)
	d.c.Check(grants(d.acquire(d.request(hemlocktally.PriorityNormal))), qt.HasLen, 0)
	d.update(CancelMsg{Ticket: d.lastTicket})
	d.complete(first[0], hemlocktally.AttemptDone, 10*time.Millisecond)
	d.makeAllWarm()
	d.c.Check(len(d.acquireAll(hemlocktally.PriorityNormal)), qt.Equals, 2)
}

func TestColdTargetGetsNothingWithoutExclusivity(t *testing.T) {
	d := newHarness(t, 1)
	d.update(ExclusivityMsg{})
	d.c.Check(grants(d.acquire(d.request(hemlocktally.PriorityHigh))), qt.HasLen, 0)
	got := grants(d.update(ExclusivityMsg{Until: d.now.Add(time.Second), Owner: true}))
	d.c.Assert(got, qt.HasLen, 1)
	d.c.Check(got[0].LeaseEnd, qt.Equals, d.now.Add(time.Second))
}

func TestTargetThatTurnsColdIsLimitedToOneCall(t *testing.T) {
	d := newHarness(t, 1)
	d.makeAllWarm()
	taken := d.acquireAll(hemlocktally.PriorityNormal)
	d.update(ResultMsg{Grant: taken[0].ID, Target: "t0", Outcome: hemlocktally.AttemptDone, Latency: 30 * time.Millisecond, SaidCold: true})
	d.c.Check(grants(d.acquire(d.request(hemlocktally.PriorityNormal))), qt.HasLen, 0)
	// The waiting call gets the only grant after the other earlier call has ended.
	d.c.Check(d.complete(taken[1], hemlocktally.AttemptDone, 30*time.Millisecond), qt.Not(qt.HasLen), 0)
	d.c.Check(d.state.InFlight("t0"), qt.Equals, 1)
}

func TestRampResetsOnASlowResponse(t *testing.T) {
	d := newHarness(t, 2)
	d.makeAllWarm()
	d.state.byName["t0"].target.Slots = 8
	d.state.byName["t0"].transition(eventTurnCold, "test")
	d.state.byName["t0"].coldLimit = 3
	got := grants(d.acquire(d.request(hemlocktally.PriorityNormal)))
	d.c.Assert(got[0].Target.Name, qt.Equals, target(0))
	d.complete(got[0], hemlocktally.AttemptDone, 100*time.Millisecond)
	d.c.Check(d.state.byName["t0"].coldLimit, qt.Equals, 1)
}

func TestHighPriorityGoesFirstThenTheEarliestExpiry(t *testing.T) {
	d := newHarness(t, 1)
	d.makeAllWarm()
	taken := d.acquireAll(hemlocktally.PriorityNormal)
	late := d.request(hemlocktally.PriorityNormal)
	early := d.request(hemlocktally.PriorityNormal)
	early.QueueLimit = 100 * time.Millisecond
	d.acquire(late)
	d.acquire(early)
	d.acquire(d.request(hemlocktally.PriorityHigh))
	var order []uint64
	for len(order) < 3 {
		d.now = d.now.Add(5 * time.Millisecond)
		commands := d.complete(taken[0], hemlocktally.AttemptDone, 10*time.Millisecond)
		taken = append(taken[1:], grants(commands)...)
		for _, command := range commands {
			if g, ok := command.(GrantCmd); ok {
				order = append(order, g.Ticket)
			}
		}
	}
	d.c.Check(order, qt.DeepEquals, []uint64{d.lastTicket, d.lastTicket - 1, d.lastTicket - 2})
}

func TestCallThatCanNotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	d := newHarness(t, 1)
	d.makeAllWarm()
	d.acquireAll(hemlocktally.PriorityNormal)
	for range 30 {
		d.acquire(d.request(hemlocktally.PriorityNormal))
	}
	short := d.request(hemlocktally.PriorityNormal)
	short.QueueLimit = 50 * time.Millisecond
	refused := refusals(d.acquire(short))
	d.c.Assert(refused, qt.HasLen, 1)
	d.c.Check(refused[0].Outcome, qt.Equals, hemlocktally.OutcomeNotRun)
	d.c.Check(refused[0].RetryAfter > 0, qt.IsTrue)
	// High priority is served before those that wait, so it is not refused.
	short.Priority = hemlocktally.PriorityHigh
	d.c.Check(refusals(d.acquire(short)), qt.HasLen, 0)
}

func TestWaitEndsAtTheQueueLimit(t *testing.T) {
	d := newHarness(t, 1)
	d.makeAllWarm()
	d.acquireAll(hemlocktally.PriorityNormal)
	d.acquire(d.request(hemlocktally.PriorityNormal))
	d.now = d.state.nextWakeup()
	refused := refusals(d.update(TickMsg{}))
	d.c.Assert(refused, qt.HasLen, 1)
	d.c.Check(refused[0].Reason, qt.Equals, hemlocktally.ReasonShed)
}

func TestLongWaitGrantsUpToTwiceTheSlots(t *testing.T) {
	d := newHarness(t, 2)
	d.makeAllWarm()
	before := len(d.acquireAll(hemlocktally.PriorityNormal))
	for range 8 {
		d.acquire(d.request(hemlocktally.PriorityNormal))
	}
	d.c.Check(d.state.InFlight("t0")+d.state.InFlight("t1"), qt.Equals, before)
	d.now = d.now.Add(overcommitWait + time.Millisecond)
	d.state.latency.p95 = time.Second // No call counts as overdue in this test.
	d.update(TickMsg{})
	d.c.Check(d.state.InFlight("t0"), qt.Equals, 4)
	d.c.Check(d.state.InFlight("t1"), qt.Equals, 4)
}

func TestStragglerIsSkippedAndTheShareIsBounded(t *testing.T) {
	d := newHarness(t, 5)
	d.makeAllWarm()
	taken := d.acquireAll(hemlocktally.PriorityHigh)
	d.c.Assert(len(taken) >= 10, qt.IsTrue)
	d.now = d.now.Add(100 * time.Millisecond)
	// One call of each target has ended; the other one is overdue on all of them.
	seen := map[hemlocktally.TargetName]bool{}
	for _, g := range taken {
		if !seen[g.Target.Name] {
			seen[g.Target.Name] = true
			d.complete(g, hemlocktally.AttemptUnused, 0)
		}
	}
	free := len(d.acquireAll(hemlocktally.PriorityHigh))
	d.c.Check(free >= 4, qt.IsTrue, qt.Commentf("%d grants on four targets", free))
	slow := 0
	for _, t := range d.state.targets {
		if t.slow {
			slow++
		}
	}
	d.c.Check(slow, qt.Equals, 1)
}

func TestSlowTargetIsLimitedToOneCallAndRecovers(t *testing.T) {
	d := newHarness(t, 5)
	d.makeAllWarm()
	slow := d.state.byName["t0"]
	slow.slow = true
	for range overdueToLimit {
		d.complete(d.acquireOnSlow(), hemlocktally.AttemptDone, 300*time.Millisecond)
	}
	held := d.acquireOnSlow()
	for _, g := range d.acquireAll(hemlocktally.PriorityNormal) {
		d.c.Check(g.Target.Name, qt.Not(qt.Equals), target(0))
	}
	d.complete(held, hemlocktally.AttemptDone, 10*time.Millisecond)
	d.complete(d.acquireOnSlow(), hemlocktally.AttemptDone, 10*time.Millisecond)
	d.c.Check(slow.slow, qt.IsFalse)
}

// acquireOnSlow acquires grants until one is on the slow target t0.
func (d *harness) acquireOnSlow() hemlocktally.Grant {
	d.c.Helper()
	for range 100 {
		for _, g := range grants(d.acquire(d.request(hemlocktally.PriorityNormal))) {
			if g.Target.Name == "t0" {
				return g
			}
			d.complete(g, hemlocktally.AttemptUnused, 0)
		}
	}
	d.c.Fatal("no grant on the slow target")
	return hemlocktally.Grant{}
}

func TestTargetThatFailsFastGetsNoMoreWork(t *testing.T) {
	d := newHarness(t, 4)
	d.makeAllWarm()
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
			d.complete(g, outcome, latency)
		}
	}
	// In the ten seconds of this test, backoffs of 20, 40, ... 2000 ms allow at most
	// 12 failures.
	d.c.Check(failed <= 12, qt.IsTrue, qt.Commentf("%d failures", failed))
	d.c.Check(others > 900, qt.IsTrue)
}

func TestDrainingAndOutOfServiceTargetsGetNoNewWork(t *testing.T) {
	d := newHarness(t, 2)
	d.makeAllWarm()
	first := grants(d.acquire(d.request(hemlocktally.PriorityNormal)))[0]
	d.update(ResultMsg{Grant: first.ID, Target: first.Target.Name, Outcome: hemlocktally.AttemptDone, SaidDraining: true})
	other := target(0)
	if first.Target.Name == other {
		other = target(1)
	}
	for _, g := range d.acquireAll(hemlocktally.PriorityHigh) {
		d.c.Check(g.Target.Name, qt.Equals, other)
	}
	d.configure(2, map[hemlocktally.TargetName]bool{other: true})
	refused := refusals(d.acquire(d.request(hemlocktally.PriorityHigh)))
	d.c.Assert(refused, qt.HasLen, 1)
	d.c.Check(refused[0].Reason, qt.Equals, hemlocktally.ReasonNoTarget)
}

func TestTargetThatReturnsIsCold(t *testing.T) {
	d := newHarness(t, 1)
	d.makeAllWarm()
	d.configure(1, map[hemlocktally.TargetName]bool{"t0": true})
	d.configure(1, nil)
	d.c.Check(d.state.byName["t0"].state(), qt.Equals, hemlocktally.TargetCold)
}

func TestBudgetsBoundRetriesAndHedges(t *testing.T) {
	d := newHarness(t, 8)
	d.makeAllWarm()
	retried := 0
	for range 1000 {
		r := d.request(hemlocktally.PriorityNormal)
		r.Kind = hemlocktally.AttemptRetry
		for _, g := range grants(d.acquire(r)) {
			retried++
			d.complete(g, hemlocktally.AttemptUnused, 0)
		}
	}
	d.c.Check(retried, qt.Equals, attemptBurst)
	d.c.Check(refusals(d.acquire(hemlocktally.GrantRequest{
		Service: "reads", Contract: "Reads", Kind: hemlocktally.AttemptRetry, Deadline: d.now.Add(time.Second), QueueLimit: time.Second,
	}))[0].Reason, qt.Equals, hemlocktally.ReasonRetryBudget)
}

func TestLostGrantAndRestartedEntryAreFreed(t *testing.T) {
	d := newHarness(t, 1)
	d.makeAllWarm()
	taken := d.acquireAll(hemlocktally.PriorityNormal)
	d.now = d.now.Add(2 * time.Second / 3)
	d.update(ReconcileMsg{From: "entry", Asked: d.now})
	d.c.Check(d.state.InFlight("t0"), qt.Equals, len(taken), qt.Commentf("a grant may be in transit"))
	d.now = d.now.Add(time.Second / 2)
	d.update(ReconcileMsg{From: "entry", Asked: d.now, Grants: []InFlightGrant{{Grant: taken[0].ID, Target: "t0", Started: d.now}}})
	d.c.Check(d.state.InFlight("t0"), qt.Equals, 1)
	d.update(MembersMsg{Members: map[hemlocktally.InstanceID]bool{"one": true}})
	d.c.Check(d.state.InFlight("t0"), qt.Equals, 0)
}

func TestNewOwnerRebuildsInFlightGrantsAndWarmTargets(t *testing.T) {
	d := newHarness(t, 2)
	started := d.now.Add(-time.Millisecond)
	d.update(ReconcileMsg{
		From: "entry", Asked: d.now, Warm: []hemlocktally.TargetName{"t0"},
		Grants: []InFlightGrant{
			{Grant: "old/1", Target: "t0", Started: started, Deadline: d.now.Add(time.Second)},
			{Grant: "old/2", Target: "t1", Started: started, Deadline: d.now.Add(time.Second)},
		},
	})
	got := d.acquireAll(hemlocktally.PriorityHigh)
	d.c.Assert(got, qt.HasLen, 1, qt.Commentf("one slot is free on the warm target, none on the cold one"))
	d.c.Check(got[0].Target.Name, qt.Equals, target(0))
	d.update(ResultMsg{Grant: "old/1", Target: "t0", Outcome: hemlocktally.AttemptDone, Latency: time.Millisecond})
	d.update(ResultMsg{Grant: "old/1", Target: "t0", Outcome: hemlocktally.AttemptDone, Latency: time.Millisecond})
	d.c.Check(d.state.InFlight("t0"), qt.Equals, 1, qt.Commentf("a duplicate result counts once"))
}

func TestProbesStayWithinTheBudget(t *testing.T) {
	d := newHarness(t, 8)
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

func TestDisprovedReportIsIgnored(t *testing.T) {
	d := newHarness(t, 1)
	d.makeAllWarm()
	tally := d.state.byName["t0"]
	tally.saidCold = true
	lie := ProbeMsg{Target: "t0", State: hemlocktally.TargetWarm, Reported: true}
	for range maxDisprovedReports {
		d.update(lie)
	}
	lie.State = hemlocktally.TargetDraining
	d.update(lie)
	d.c.Check(tally.state(), qt.Equals, hemlocktally.TargetWarm)
}
