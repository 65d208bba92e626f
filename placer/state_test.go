package placer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hemlocktally"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// harness drives a State with a manual clock.
type harness struct {
	state   State
	now     time.Time
	tickets int
}

func newHarness(targets ...hemlocktally.Registration) *harness {
	h := &harness{now: startTime, state: State{Owner: "owner", Epoch: "e", Bounds: Bounds{
		RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 56, ColdShare: 0.8,
	}}}
	h.configure(nil, targets...)
	return h
}

func (h *harness) configure(out map[hemlocktally.ZoneName]bool, targets ...hemlocktally.Registration) {
	h.update(TargetsMsg{
		Service: hemlocktally.Service{Name: "s", ProbePath: "/health", ColdPerSecond: 6.5}, Targets: targets, Out: out,
	})
}

func (h *harness) update(msg any) []any { return h.state.Update(msg, h.now) }

func (h *harness) advance(t time.Duration) []any {
	h.now = h.now.Add(t)
	return h.update(TickMsg{})
}

func target(name, zone string) hemlocktally.Registration {
	return hemlocktally.Registration{Service: "s", Target: hemlocktally.Target{
		Name: hemlocktally.TargetName(name), Address: name, Zone: hemlocktally.ZoneName(zone), Slots: 2,
	}}
}

// request returns a new request from zone a with an objective of 250 ms and a deadline of 2 s.
func (h *harness) request() AcquireMsg {
	h.tickets++
	return AcquireMsg{
		Ticket: fmt.Sprint(h.tickets), From: "entry", Zone: "a", ReplyBy: h.now.Add(20 * time.Millisecond),
		Request: hemlocktally.GrantRequest{
			Service: "s", Contract: "c", Objective: h.now.Add(250 * time.Millisecond), Deadline: h.now.Add(2 * time.Second),
		},
	}
}

func (h *harness) report(name string, pace float64) []any {
	return h.update(LoadReportMsg{Target: hemlocktally.TargetName(name), Answer: hemlocktally.ResponseInfo{
		Load: &hemlocktally.Load{Slots: 2, Pace: pace},
	}})
}

func grants(commands []any) []hemlocktally.Grant {
	var list []hemlocktally.Grant
	for _, command := range commands {
		if granted, ok := command.(GrantCmd); ok {
			list = append(list, granted.Grant)
		}
	}
	return list
}

func refusals(commands []any) []*hemlocktally.RefusedError {
	var list []*hemlocktally.RefusedError
	for _, command := range commands {
		if refused, ok := command.(RefuseCmd); ok {
			list = append(list, refused.Error)
		}
	}
	return list
}

func probedTargets(commands []any) []hemlocktally.TargetName {
	var list []hemlocktally.TargetName
	for _, command := range commands {
		if probe, ok := command.(ProbeCmd); ok {
			list = append(list, probe.Target.Name)
		}
	}
	return list
}

// The load that neighbours put on a target changes within tenths of a second, so a target with
// a stale report is probed before a choice.
func TestStaleReportsAreProbedBeforeAChoice(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("x", "a"), target("y", "a"))
	c.Assert(probedTargets(h.update(h.request())), qt.HasLen, 2)
	c.Assert(grants(h.report("x", 7)), qt.HasLen, 0)
	got := grants(h.report("y", 1))
	c.Assert(got, qt.HasLen, 1)
	c.Assert(got[0].Target.Name, qt.Equals, hemlocktally.TargetName("y"))
}

func TestSilentTargetDoesNotDelayAChoice(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("x", "a"), target("y", "a"))
	h.update(h.request())
	h.report("x", 1)
	got := grants(h.advance(probeWait))
	c.Assert(got, qt.HasLen, 1)
	c.Assert(got[0].Target.Name, qt.Equals, hemlocktally.TargetName("x"))
}

// Traffic between zones costs money, so the caller's zone is preferred while it is fast
// enough.
func TestCallerZoneIsPreferredWhileItIsFast(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("near", "a"), target("far", "b"))
	h.report("near", 1.3)
	h.report("far", 1)
	c.Assert(grants(h.update(h.request()))[0].Target.Zone, qt.Equals, hemlocktally.ZoneName("a"))
	h.report("near", 7)
	c.Assert(grants(h.update(h.request()))[0].Target.Zone, qt.Equals, hemlocktally.ZoneName("b"))
}

// In a burst on slow targets, calls are served by priority, and those that can no longer meet
// their objective come last.
func TestBurstIsServedByPriorityThenReachableObjective(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("x", "a"))
	h.report("x", 1)
	first := grants(h.update(h.request()))
	h.update(h.request())
	late := h.request()
	late.Request.Objective = h.now.Add(-time.Millisecond)
	late.Request.Priority = 1
	h.update(late)
	normal := h.request()
	h.update(normal)
	urgent := h.request()
	urgent.Request.Priority = 1
	h.update(urgent)
	h.now = h.now.Add(time.Millisecond)
	got := h.update(ReleaseMsg{Result: hemlocktally.GrantResult{Grant: first[0], Outcome: hemlocktally.AttemptDone, Latency: 90 * time.Millisecond}})
	c.Assert(got, qt.HasLen, 1)
	c.Assert(got[0].(GrantCmd).Ticket, qt.Equals, urgent.Ticket)
	got = h.update(ReleaseMsg{Result: hemlocktally.GrantResult{Grant: got[0].(GrantCmd).Grant, Outcome: hemlocktally.AttemptDone, Latency: 90 * time.Millisecond}})
	c.Assert(got[0].(GrantCmd).Ticket, qt.Equals, normal.Ticket)
}

// A call that can't be served in time is refused at once with a Retry-After, and not queued.
func TestCallThatCannotBeInTimeIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("x", "a"))
	h.report("x", 1)
	for range 30 {
		msg := h.request()
		msg.Request.Deadline = h.now.Add(600 * time.Millisecond)
		if refused := refusals(h.update(msg)); len(refused) > 0 {
			c.Assert(refused[0].Outcome, qt.Equals, hemlocktally.OutcomeNotRun)
			c.Assert(refused[0].RetryAfter > 0, qt.IsTrue)
			return
		}
	}
	c.Fatal("no call was refused")
}

// Clients that retry at once and often must not exceed the retry budget of the window.
func TestRetriesAreBounded(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("x", "a"), target("y", "a"))
	h.update(h.request())
	h.advance(10 * time.Second)
	refused := 0
	for range 100 {
		h.report("x", 1)
		h.report("y", 1)
		again := h.request()
		again.Request.Kind = hemlocktally.AttemptRetry
		commands := h.update(again)
		refused += len(refusals(commands))
		for _, grant := range grants(commands) {
			h.update(ReleaseMsg{Result: hemlocktally.GrantResult{Grant: grant, Outcome: hemlocktally.AttemptCancelled}})
		}
		h.update(WithdrawMsg{Ticket: again.Ticket})
	}
	c.Assert(100-refused <= 56, qt.IsTrue, qt.Commentf("%d of 100 retries were allowed", 100-refused))
	h.advance(10 * time.Second)
	again := h.request()
	again.Request.Kind = hemlocktally.AttemptRetry
	c.Assert(refusals(h.update(again)), qt.HasLen, 0)
}

// When a zone comes back cold, each cold target gets fewer calls than its cold rate.
func TestColdTargetsAreRateLimited(t *testing.T) {
	c := qt.New(t)
	cold := target("x", "a")
	cold.ColdFor = 3 * time.Second
	h := newHarness(cold)
	granted := 0
	for range 100 {
		h.report("x", 1)
		msg := h.request()
		for _, grant := range grants(h.update(msg)) {
			c.Assert(grant.Cold, qt.IsTrue)
			c.Assert(grant.LeaseEnd.After(h.now), qt.IsTrue)
			granted++
			h.update(ReleaseMsg{Result: hemlocktally.GrantResult{Grant: grant, Outcome: hemlocktally.AttemptDone, Latency: 5 * time.Millisecond}})
		}
		h.update(WithdrawMsg{Ticket: msg.Ticket})
		h.advance(10 * time.Millisecond)
	}
	c.Assert(granted > 0 && granted <= 6, qt.IsTrue, qt.Commentf("%d calls within a second", granted))
	h.state.Alone = true
	h.advance(time.Second)
	h.report("x", 1)
	c.Assert(grants(h.update(h.request())), qt.HasLen, 0)
}

func TestStoppedZoneGetsNoCalls(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("x", "a"))
	h.report("x", 1)
	h.configure(map[hemlocktally.ZoneName]bool{"a": true}, target("x", "a"))
	c.Assert(grants(h.update(h.request())), qt.HasLen, 0)
}

func TestUnreachableTargetIsAvoided(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("x", "a"), target("y", "a"))
	h.report("x", 1)
	h.report("y", 1.1)
	first := grants(h.update(h.request()))[0]
	c.Assert(first.Target.Name, qt.Equals, hemlocktally.TargetName("x"))
	h.update(ReleaseMsg{Result: hemlocktally.GrantResult{Grant: first, Outcome: hemlocktally.AttemptUnused, Unreachable: true}})
	c.Assert(grants(h.update(h.request()))[0].Target.Name, qt.Equals, hemlocktally.TargetName("y"))
}

// No sequence of messages makes the owner exceed a target's slots, grant a target in a stopped
// zone, or reply twice to a request.
func TestStateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(target("x", "a"), target("y", "b"), target("z", "b"))
		out := map[hemlocktally.ZoneName]bool{}
		held := map[hemlocktally.GrantID]hemlocktally.Grant{}
		waiting := map[string]bool{}
		check := func(commands []any) {
			for _, command := range commands {
				switch command := command.(type) {
				case GrantCmd:
					if !waiting[command.Ticket] {
						t.Fatalf("a grant for %s, which is not waiting", command.Ticket)
					}
					delete(waiting, command.Ticket)
					held[command.Grant.ID] = command.Grant
					if out[command.Grant.Target.Zone] {
						t.Fatalf("a grant in a stopped zone")
					}
				case RefuseCmd:
					if command.Error.Outcome != hemlocktally.OutcomeNotRun {
						t.Fatalf("a refusal whose outcome is not NotRun")
					}
					delete(waiting, command.Ticket)
				case PendingCmd:
					delete(waiting, command.Ticket)
				}
			}
			for name, state := range h.state.targets {
				if len(state.grants) > state.target.SlotCount() {
					t.Fatalf("%d grants on %s", len(state.grants), name)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				msg := h.request()
				msg.Request.Priority = hemlocktally.Priority(rapid.IntRange(-2, 0).Draw(t, "priority"))
				msg.Request.Kind = hemlocktally.AttemptKind(rapid.IntRange(0, 2).Draw(t, "kind"))
				waiting[msg.Ticket] = true
				check(h.update(msg))
			},
			"end": func(t *rapid.T) {
				for id, grant := range held {
					delete(held, id)
					check(h.update(ReleaseMsg{Result: hemlocktally.GrantResult{
						Grant: grant, Outcome: hemlocktally.AttemptOutcome(rapid.IntRange(0, 5).Draw(t, "outcome")), Latency: time.Millisecond,
					}}))
					return
				}
			},
			"load": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "target")
				check(h.report(name, rapid.Float64Range(0.5, 8).Draw(t, "pace")))
			},
			"silent": func(t *rapid.T) {
				name := rapid.SampledFrom([]hemlocktally.TargetName{"x", "y", "z"}).Draw(t, "target")
				check(h.update(LoadReportMsg{Target: name, Failed: true}))
			},
			"stop": func(t *rapid.T) {
				zone := rapid.SampledFrom([]hemlocktally.ZoneName{"a", "b"}).Draw(t, "zone")
				out[zone] = !out[zone]
				check(h.update(TargetsMsg{
					Service: hemlocktally.Service{Name: "s", ProbePath: "/health"}, Out: out,
					Targets: []hemlocktally.Registration{target("x", "a"), target("y", "b"), target("z", "b")},
				}))
			},
			"time": func(t *rapid.T) {
				check(h.advance(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond))
			},
		})
	})
}

// While targets shed calls, a refusal must cost no time: the next call is granted at once and
// does not wait for a better target.
func TestSheddingTargetsDoNotDelayCalls(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("x", "a"), target("y", "a"))
	for range 20 {
		h.report("x", 1)
		h.report("y", 1)
		got := grants(h.update(h.request()))
		c.Assert(got, qt.HasLen, 1)
		h.update(ReleaseMsg{Result: hemlocktally.GrantResult{
			Grant: got[0], Outcome: hemlocktally.AttemptRefused, Latency: time.Millisecond, Load: &hemlocktally.Load{Pace: 1},
		}})
	}
}

// In a burst beyond the capacity, queued calls must still be answered within their objective,
// and the others refused at once.
func TestOverloadKeepsTheQueueShort(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("x", "a"))
	h.report("x", 1)
	refused := 0
	for range 20 {
		refused += len(refusals(h.update(h.request())))
	}
	typical := h.state.typicalWork("c")
	wait := time.Duration(float64(h.state.Waiting()) * float64(typical) * h.state.meanPace / 2)
	c.Assert(refused > 0, qt.IsTrue)
	c.Assert(wait <= 250*time.Millisecond, qt.IsTrue, qt.Commentf("%d calls wait for %s", h.state.Waiting(), wait))
}

// New connections take time and slots, so of two equal targets the one with an idle connection
// is preferred.
func TestTargetWithAnIdleConnectionIsPreferred(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("x", "a"), target("y", "a"))
	h.report("x", 1)
	h.report("y", 1.02)
	first := grants(h.update(h.request()))[0]
	other := h.request()
	other.From = "other" // Its connection to the second target does not count for the first instance.
	second := grants(h.update(other))
	c.Assert(second, qt.HasLen, 1)
	c.Assert(second[0].Target.Name, qt.Not(qt.Equals), first.Target.Name)
	h.update(ReleaseMsg{Result: hemlocktally.GrantResult{Grant: second[0], Outcome: hemlocktally.AttemptDone, Latency: 100 * time.Millisecond}})
	for range 5 {
		h.update(ReleaseMsg{Result: hemlocktally.GrantResult{
			Grant: first, Outcome: hemlocktally.AttemptDone, Latency: 100 * time.Millisecond, Load: &hemlocktally.Load{Pace: 1.02},
		}})
		h.report("y", 1)
		next := grants(h.update(h.request()))[0]
		c.Assert(next.Target.Name, qt.Equals, first.Target.Name)
		first = next
	}
}

// Answers that are lost on the way are no reason to back off from the targets or to treat the
// service as full.
func TestLostAnswersDoNotDisableAService(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("x", "a"), target("y", "a"))
	for range 10 {
		got := grants(h.update(h.request()))
		got = append(got, grants(h.report("x", 1))...)
		got = append(got, grants(h.report("y", 1))...)
		got = append(got, grants(h.advance(probeWait))...)
		c.Assert(got, qt.HasLen, 1)
		h.update(ReleaseMsg{Result: hemlocktally.GrantResult{Grant: got[0], Outcome: hemlocktally.AttemptFailed, Latency: 90 * time.Millisecond}})
		h.advance(20 * time.Millisecond)
	}
}

// A hedge for an attempt on a lightly loaded target wastes retry budget that is needed for
// lost answers.
func TestHedgeIsRefusedWhileTheFirstTargetIsLightlyLoaded(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("x", "a"), target("y", "a"))
	h.state.Bounds.RetrySlack = 12
	hedge := func() AcquireMsg {
		msg := h.request()
		msg.Request.Kind = hemlocktally.AttemptHedge
		msg.Request.Exclude = []hemlocktally.TargetName{"x"}
		return msg
	}
	h.report("x", 1)
	h.report("y", 1)
	c.Assert(refusals(h.update(hedge())), qt.HasLen, 1)
	h.advance(100 * time.Millisecond)
	asked := h.update(hedge())
	c.Assert(probedTargets(asked)[0], qt.Equals, hemlocktally.TargetName("x"))
	commands := append(h.report("x", 7), h.report("y", 1)...)
	c.Assert(grants(commands), qt.HasLen, 1)
}

// Probes stay within their rate limit, however many calls arrive.
func TestProbesOfATargetStayWithinTheirRate(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("x", "a"))
	h.state.Bounds.ProbesPerSecond = 10
	asked := 0
	for range 200 {
		msg := h.request()
		commands := h.update(msg)
		asked += len(probedTargets(commands))
		h.update(LoadReportMsg{Target: "x", Answer: hemlocktally.ResponseInfo{}}) // The answer has no load report.
		commands = append(commands, h.advance(10*time.Millisecond)...)
		for _, grant := range grants(commands) {
			h.update(ReleaseMsg{Result: hemlocktally.GrantResult{Grant: grant, Outcome: hemlocktally.AttemptCancelled}})
		}
		h.update(WithdrawMsg{Ticket: msg.Ticket})
	}
	c.Assert(asked > 0 && asked <= 20, qt.IsTrue, qt.Commentf("%d probes within two seconds", asked))
}

// The exposed statistics are the values that the decisions use.
func TestStatsMatchTheDecisions(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("t0", "a"), target("t1", "a"))
	h.state.Bounds = Bounds{RetrySlack: 100, RetryWindow: 10 * time.Second}
	h.report("t0", 1)
	c.Assert(grants(h.update(h.request())), qt.HasLen, 1)
	stats := h.state.Stats(h.now)
	c.Check(stats.Targets, qt.Equals, 2)
	c.Check(stats.ActiveGrants, qt.Equals, 1)
	c.Check(stats.Granted, qt.Equals, uint64(1))
	c.Check(stats.BudgetUsed, qt.Equals, 0.0)
	h.state.retries.recordRetry(h.now)
	c.Check(h.state.Stats(h.now).BudgetUsed, qt.Equals, 1/(newOwnerShare*100))
}
