package allocator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

func TestNewTargetGetsOneCallUntilItsResponsesAreFast(t *testing.T) {
	h := newHarness(t, 1)
	first := grants(h.acquire(h.request(hemlocktally.PriorityNormal)))
	h.c.Assert(first, qt.HasLen, 1)
	h.c.Check(first[0].Cold, qt.IsTrue)
	h.c.Check(grants(h.acquire(h.request(hemlocktally.PriorityNormal))), qt.HasLen, 0)
	h.update(CancelMsg{Ticket: h.lastTicket})
	h.complete(first[0], hemlocktally.AttemptDone, 10*time.Millisecond)
	h.makeAllWarm()
	h.c.Check(len(h.acquireAll(hemlocktally.PriorityNormal)), qt.Equals, 2)
}

func TestColdTargetGetsNothingWithoutExclusivity(t *testing.T) {
	h := newHarness(t, 1)
	h.update(ExclusivityMsg{})
	h.c.Check(grants(h.acquire(h.request(hemlocktally.PriorityHigh))), qt.HasLen, 0)
	got := grants(h.update(ExclusivityMsg{Until: h.now.Add(time.Second), Owner: true}))
	h.c.Assert(got, qt.HasLen, 1)
	h.c.Check(got[0].LeaseEnd, qt.Equals, h.now.Add(time.Second))
}

func TestTargetThatTurnsColdIsLimitedToOneCall(t *testing.T) {
	h := newHarness(t, 1)
	h.makeAllWarm()
	taken := h.acquireAll(hemlocktally.PriorityNormal)
	h.update(ResultMsg{Grant: taken[0].ID, Target: "t0", Outcome: hemlocktally.AttemptDone, Latency: 30 * time.Millisecond, SaidCold: true})
	h.c.Check(grants(h.acquire(h.request(hemlocktally.PriorityNormal))), qt.HasLen, 0)
	// The waiting call gets the only grant after the other earlier call has ended.
	h.c.Check(h.complete(taken[1], hemlocktally.AttemptDone, 30*time.Millisecond), qt.Not(qt.HasLen), 0)
	h.c.Check(h.state.InFlight("t0"), qt.Equals, 1)
}

func TestRampResetsOnASlowResponse(t *testing.T) {
	h := newHarness(t, 2)
	h.makeAllWarm()
	h.state.byName["t0"].target.Slots = 8
	h.state.byName["t0"].transition(eventTurnCold, "test")
	h.state.byName["t0"].coldLimit = 3
	got := grants(h.acquire(h.request(hemlocktally.PriorityNormal)))
	h.c.Assert(got[0].Target.Name, qt.Equals, target(0))
	h.complete(got[0], hemlocktally.AttemptDone, 100*time.Millisecond)
	h.c.Check(h.state.byName["t0"].coldLimit, qt.Equals, 1)
}

func TestHighPriorityGoesFirstThenTheEarliestExpiry(t *testing.T) {
	h := newHarness(t, 1)
	h.makeAllWarm()
	taken := h.acquireAll(hemlocktally.PriorityNormal)
	late := h.request(hemlocktally.PriorityNormal)
	early := h.request(hemlocktally.PriorityNormal)
	early.QueueLimit = 100 * time.Millisecond
	h.acquire(late)
	h.acquire(early)
	h.acquire(h.request(hemlocktally.PriorityHigh))
	var order []uint64
	for len(order) < 3 {
		h.now = h.now.Add(5 * time.Millisecond)
		commands := h.complete(taken[0], hemlocktally.AttemptDone, 10*time.Millisecond)
		taken = append(taken[1:], grants(commands)...)
		for _, command := range commands {
			if g, ok := command.(GrantCmd); ok {
				order = append(order, g.Ticket)
			}
		}
	}
	h.c.Check(order, qt.DeepEquals, []uint64{h.lastTicket, h.lastTicket - 1, h.lastTicket - 2})
}

func TestCallThatCanNotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, 1)
	h.makeAllWarm()
	h.acquireAll(hemlocktally.PriorityNormal)
	for range 30 {
		h.acquire(h.request(hemlocktally.PriorityNormal))
	}
	short := h.request(hemlocktally.PriorityNormal)
	short.QueueLimit = 50 * time.Millisecond
	refused := refusals(h.acquire(short))
	h.c.Assert(refused, qt.HasLen, 1)
	h.c.Check(refused[0].Outcome, qt.Equals, hemlocktally.OutcomeNotRun)
	h.c.Check(refused[0].RetryAfter > 0, qt.IsTrue)
	// High priority is served before those that wait, so it is not refused.
	short.Priority = hemlocktally.PriorityHigh
	h.c.Check(refusals(h.acquire(short)), qt.HasLen, 0)
}

func TestWaitEndsAtTheQueueLimit(t *testing.T) {
	h := newHarness(t, 1)
	h.makeAllWarm()
	h.acquireAll(hemlocktally.PriorityNormal)
	h.acquire(h.request(hemlocktally.PriorityNormal))
	h.now = h.state.nextWakeup()
	refused := refusals(h.update(TickMsg{}))
	h.c.Assert(refused, qt.HasLen, 1)
	h.c.Check(refused[0].Reason, qt.Equals, hemlocktally.ReasonShed)
}

func TestLongWaitGrantsUpToTwiceTheSlots(t *testing.T) {
	h := newHarness(t, 2)
	h.makeAllWarm()
	before := len(h.acquireAll(hemlocktally.PriorityNormal))
	for range 8 {
		h.acquire(h.request(hemlocktally.PriorityNormal))
	}
	h.c.Check(h.state.InFlight("t0")+h.state.InFlight("t1"), qt.Equals, before)
	h.now = h.now.Add(overcommitWait + time.Millisecond)
	h.state.latency.p95 = time.Second // No call counts as overdue in this test.
	h.update(TickMsg{})
	h.c.Check(h.state.InFlight("t0"), qt.Equals, 4)
	h.c.Check(h.state.InFlight("t1"), qt.Equals, 4)
}

func TestStragglerIsSkippedAndTheShareIsBounded(t *testing.T) {
	h := newHarness(t, 5)
	h.makeAllWarm()
	taken := h.acquireAll(hemlocktally.PriorityHigh)
	h.c.Assert(len(taken) >= 10, qt.IsTrue)
	h.now = h.now.Add(100 * time.Millisecond)
	// One call of each target has ended; the other one is overdue on all of them.
	seen := map[hemlocktally.TargetName]bool{}
	for _, g := range taken {
		if !seen[g.Target.Name] {
			seen[g.Target.Name] = true
			h.complete(g, hemlocktally.AttemptUnused, 0)
		}
	}
	free := len(h.acquireAll(hemlocktally.PriorityHigh))
	h.c.Check(free >= 4, qt.IsTrue, qt.Commentf("%d grants on four targets", free))
	slow := 0
	for _, t := range h.state.targets {
		if t.slow {
			slow++
		}
	}
	h.c.Check(slow, qt.Equals, 1)
}

func TestSlowTargetIsLimitedToOneCallAndRecovers(t *testing.T) {
	h := newHarness(t, 5)
	h.makeAllWarm()
	slow := h.state.byName["t0"]
	slow.slow = true
	for range overdueToLimit {
		h.complete(h.acquireOnSlow(), hemlocktally.AttemptDone, 300*time.Millisecond)
	}
	held := h.acquireOnSlow()
	for _, g := range h.acquireAll(hemlocktally.PriorityNormal) {
		h.c.Check(g.Target.Name, qt.Not(qt.Equals), target(0))
	}
	h.complete(held, hemlocktally.AttemptDone, 10*time.Millisecond)
	h.complete(h.acquireOnSlow(), hemlocktally.AttemptDone, 10*time.Millisecond)
	h.c.Check(slow.slow, qt.IsFalse)
}

// acquireOnSlow acquires grants until one is on the slow target t0.
func (h *harness) acquireOnSlow() hemlocktally.Grant {
	h.c.Helper()
	for range 100 {
		for _, g := range grants(h.acquire(h.request(hemlocktally.PriorityNormal))) {
			if g.Target.Name == "t0" {
				return g
			}
			h.complete(g, hemlocktally.AttemptUnused, 0)
		}
	}
	h.c.Fatal("no grant on the slow target")
	return hemlocktally.Grant{}
}

func TestTargetThatFailsFastGetsNoMoreWork(t *testing.T) {
	h := newHarness(t, 4)
	h.makeAllWarm()
	failed, others := 0, 0
	for range 1000 {
		for _, g := range grants(h.acquire(h.request(hemlocktally.PriorityNormal))) {
			outcome, latency := hemlocktally.AttemptDone, 10*time.Millisecond
			if g.Target.Name == "t0" {
				outcome, latency = hemlocktally.AttemptFailed, time.Microsecond
				failed++
			} else {
				others++
			}
			h.now = h.now.Add(latency)
			h.complete(g, outcome, latency)
		}
	}
	// In the ten seconds of this test, backoffs of 20, 40, ... 2000 ms allow at most
	// 12 failures.
	h.c.Check(failed <= 12, qt.IsTrue, qt.Commentf("%d failures", failed))
	h.c.Check(others > 900, qt.IsTrue)
}

func TestDrainingAndOutOfServiceTargetsGetNoNewWork(t *testing.T) {
	h := newHarness(t, 2)
	h.makeAllWarm()
	first := grants(h.acquire(h.request(hemlocktally.PriorityNormal)))[0]
	h.update(ResultMsg{Grant: first.ID, Target: first.Target.Name, Outcome: hemlocktally.AttemptDone, SaidDraining: true})
	other := target(0)
	if first.Target.Name == other {
		other = target(1)
	}
	for _, g := range h.acquireAll(hemlocktally.PriorityHigh) {
		h.c.Check(g.Target.Name, qt.Equals, other)
	}
	h.configure(2, map[hemlocktally.TargetName]bool{other: true})
	refused := refusals(h.acquire(h.request(hemlocktally.PriorityHigh)))
	h.c.Assert(refused, qt.HasLen, 1)
	h.c.Check(refused[0].Reason, qt.Equals, hemlocktally.ReasonNoTarget)
}

func TestTargetThatReturnsIsCold(t *testing.T) {
	h := newHarness(t, 1)
	h.makeAllWarm()
	h.configure(1, map[hemlocktally.TargetName]bool{"t0": true})
	h.configure(1, nil)
	h.c.Check(h.state.byName["t0"].state(), qt.Equals, hemlocktally.TargetCold)
}

func TestBudgetsBoundRetriesAndHedges(t *testing.T) {
	h := newHarness(t, 8)
	h.makeAllWarm()
	retried := 0
	for range 1000 {
		r := h.request(hemlocktally.PriorityNormal)
		r.Kind = hemlocktally.AttemptRetry
		for _, g := range grants(h.acquire(r)) {
			retried++
			h.complete(g, hemlocktally.AttemptUnused, 0)
		}
	}
	h.c.Check(retried, qt.Equals, attemptBurst)
	h.c.Check(refusals(h.acquire(hemlocktally.GrantRequest{
		Service: "reads", Contract: "Reads", Kind: hemlocktally.AttemptRetry, Deadline: h.now.Add(time.Second), QueueLimit: time.Second,
	}))[0].Reason, qt.Equals, hemlocktally.ReasonRetryBudget)
}

func TestLostAndDepartedGrantsAreReleased(t *testing.T) {
	h := newHarness(t, 1)
	h.makeAllWarm()
	taken := h.acquireAll(hemlocktally.PriorityNormal)
	h.now = h.now.Add(2 * time.Second / 3)
	h.update(ReconcileMsg{Requester: "entry", RequestedAt: h.now})
	h.c.Check(h.state.InFlight("t0"), qt.Equals, len(taken), qt.Commentf("a grant may be in transit"))
	h.now = h.now.Add(time.Second / 2)
	h.update(ReconcileMsg{Requester: "entry", RequestedAt: h.now, Grants: []InFlightGrant{{Grant: taken[0].ID, Target: "t0", Started: h.now}}})
	h.c.Check(h.state.InFlight("t0"), qt.Equals, 1)
	h.update(MembersMsg{Members: map[hemlocktally.InstanceID]bool{"one": true}})
	h.c.Check(h.state.InFlight("t0"), qt.Equals, 0)
}

func TestNewOwnerRebuildsInFlightGrantsAndWarmTargets(t *testing.T) {
	h := newHarness(t, 2)
	started := h.now.Add(-time.Millisecond)
	h.update(ReconcileMsg{
		Requester: "entry", RequestedAt: h.now, Warm: []hemlocktally.TargetName{"t0"},
		Grants: []InFlightGrant{
			{Grant: "old/1", Target: "t0", Started: started, Deadline: h.now.Add(time.Second)},
			{Grant: "old/2", Target: "t1", Started: started, Deadline: h.now.Add(time.Second)},
		},
	})
	got := h.acquireAll(hemlocktally.PriorityHigh)
	h.c.Assert(got, qt.HasLen, 1, qt.Commentf("one slot is free on the warm target, none on the cold one"))
	h.c.Check(got[0].Target.Name, qt.Equals, target(0))
	h.update(ResultMsg{Grant: "old/1", Target: "t0", Outcome: hemlocktally.AttemptDone, Latency: time.Millisecond})
	h.update(ResultMsg{Grant: "old/1", Target: "t0", Outcome: hemlocktally.AttemptDone, Latency: time.Millisecond})
	h.c.Check(h.state.InFlight("t0"), qt.Equals, 1, qt.Commentf("a duplicate result counts once"))
}

func TestProbesStayWithinTheBudget(t *testing.T) {
	h := newHarness(t, 8)
	h.state.config.ProbePath = "/probe"
	probes := 0
	const seconds = 20
	for range seconds * 100 {
		h.now = h.now.Add(10 * time.Millisecond)
		for _, command := range h.update(TickMsg{}) {
			if p, ok := command.(ProbeCmd); ok {
				probes++
				h.update(ProbeMsg{Target: p.Target.Name, Latency: 6 * time.Millisecond})
			}
		}
	}
	h.c.Check(probes > 0 && probes <= seconds*hemlocktally.DefaultProbesPerSecond+1, qt.IsTrue, qt.Commentf("%d", probes))
}

func TestDisprovedReportIsIgnored(t *testing.T) {
	h := newHarness(t, 1)
	h.makeAllWarm()
	tracker := h.state.byName["t0"]
	tracker.saidCold = true
	falseReport := ProbeMsg{Target: "t0", State: hemlocktally.TargetWarm, Reported: true}
	for range maxDisprovedReports {
		h.update(falseReport)
	}
	falseReport.State = hemlocktally.TargetDraining
	h.update(falseReport)
	h.c.Check(tracker.state(), qt.Equals, hemlocktally.TargetWarm)
}
