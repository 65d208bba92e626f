package placer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hemlocktally"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// desk runs a state by hand: time stands still unless it is moved.
type desk struct {
	state State
	now   time.Time
	asked int
}

func newDesk(targets ...hemlocktally.Registration) *desk {
	d := &desk{now: start, state: State{Owner: "owner", Epoch: "e", Bounds: Bounds{
		RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 56, ColdShare: 0.8,
	}}}
	d.configure(nil, targets...)
	return d
}

func (d *desk) configure(out map[hemlocktally.ZoneName]bool, targets ...hemlocktally.Registration) {
	d.update(TargetsMsg{
		Service: hemlocktally.Service{Name: "s", ProbePath: "/health", ColdPerSecond: 6.5}, Targets: targets, Out: out,
	})
}

func (d *desk) update(msg any) []any { return d.state.Update(msg, d.now) }

func (d *desk) wait(t time.Duration) []any {
	d.now = d.now.Add(t)
	return d.update(TickMsg{})
}

func target(name, zone string) hemlocktally.Registration {
	return hemlocktally.Registration{Service: "s", Target: hemlocktally.Target{
		Name: hemlocktally.TargetName(name), Address: name, Zone: hemlocktally.ZoneName(zone), Slots: 2,
	}}
}

// request is a call of a zone with an objective of 250 ms and a deadline of 2 s.
func (d *desk) request() AskMsg {
	d.asked++
	return AskMsg{
		Ticket: fmt.Sprint(d.asked), From: "entry", Zone: "a", Hold: d.now.Add(20 * time.Millisecond),
		Request: hemlocktally.GrantRequest{
			Service: "s", Contract: "c", Objective: d.now.Add(250 * time.Millisecond), Deadline: d.now.Add(2 * time.Second),
		},
	}
}

func (d *desk) report(name string, pace float64) []any {
	return d.update(LoadMsg{Target: hemlocktally.TargetName(name), Answer: hemlocktally.AnswerHeader{
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

func probed(commands []any) []hemlocktally.TargetName {
	var list []hemlocktally.TargetName
	for _, command := range commands {
		if probe, ok := command.(ProbeCmd); ok {
			list = append(list, probe.Target.Name)
		}
	}
	return list
}

// Neighbours' pressure turns within tenths of a second: an old report is asked
// for anew before it decides.
func TestOldReportsAreAskedForBeforeAChoice(t *testing.T) {
	c := qt.New(t)
	d := newDesk(target("x", "a"), target("y", "a"))
	c.Assert(probed(d.update(d.request())), qt.HasLen, 2)
	c.Assert(grants(d.report("x", 7)), qt.HasLen, 0)
	got := grants(d.report("y", 1))
	c.Assert(got, qt.HasLen, 1)
	c.Assert(got[0].Target.Name, qt.Equals, hemlocktally.TargetName("y"))
}

func TestSilentTargetDoesNotHoldAChoiceUp(t *testing.T) {
	c := qt.New(t)
	d := newDesk(target("x", "a"), target("y", "a"))
	d.update(d.request())
	d.report("x", 1)
	got := grants(d.wait(probeWait))
	c.Assert(got, qt.HasLen, 1)
	c.Assert(got[0].Target.Name, qt.Equals, hemlocktally.TargetName("x"))
}

// Bytes between zones cost: the caller's own zone serves while it is quick.
func TestOwnZoneIsUsedWhileItIsQuick(t *testing.T) {
	c := qt.New(t)
	d := newDesk(target("near", "a"), target("far", "b"))
	d.report("near", 1.3)
	d.report("far", 1)
	c.Assert(grants(d.update(d.request()))[0].Target.Zone, qt.Equals, hemlocktally.ZoneName("a"))
	d.report("near", 7)
	c.Assert(grants(d.update(d.request()))[0].Target.Zone, qt.Equals, hemlocktally.ZoneName("b"))
}

// A burst beside slow targets: the urgent go first, and what can't be prompt any
// more goes last.
func TestBurstIsServedByPriorityAndHope(t *testing.T) {
	c := qt.New(t)
	d := newDesk(target("x", "a"))
	d.report("x", 1)
	first := grants(d.update(d.request()))
	d.update(d.request())
	late := d.request()
	late.Request.Objective = d.now.Add(-time.Millisecond)
	late.Request.Priority = 1
	d.update(late)
	normal := d.request()
	d.update(normal)
	urgent := d.request()
	urgent.Request.Priority = 1
	d.update(urgent)
	d.now = d.now.Add(time.Millisecond)
	got := d.update(EndMsg{Result: hemlocktally.GrantResult{Grant: first[0], Outcome: hemlocktally.AttemptDone, Latency: 90 * time.Millisecond}})
	c.Assert(got, qt.HasLen, 1)
	c.Assert(got[0].(GrantCmd).Ticket, qt.Equals, urgent.Ticket)
	got = d.update(EndMsg{Result: hemlocktally.GrantResult{Grant: got[0].(GrantCmd).Grant, Outcome: hemlocktally.AttemptDone, Latency: 90 * time.Millisecond}})
	c.Assert(got[0].(GrantCmd).Ticket, qt.Equals, normal.Ticket)
}

// A call that could not be served within its time is refused at once, with a
// time to come back, and not held.
func TestHopelessCallIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	d := newDesk(target("x", "a"))
	d.report("x", 1)
	for range 30 {
		ask := d.request()
		ask.Request.Deadline = d.now.Add(600 * time.Millisecond)
		if refused := refusals(d.update(ask)); len(refused) > 0 {
			c.Assert(refused[0].Outcome, qt.Equals, hemlocktally.OutcomeNotRun)
			c.Assert(refused[0].RetryAfter > 0, qt.IsTrue)
			return
		}
	}
	c.Fatal("no call was refused")
}

// Clients that repeat at once and often: repeats are bounded over a window.
func TestRepeatsAreBounded(t *testing.T) {
	c := qt.New(t)
	d := newDesk(target("x", "a"), target("y", "a"))
	d.update(d.request())
	d.wait(10 * time.Second)
	refused := 0
	for range 100 {
		d.report("x", 1)
		d.report("y", 1)
		again := d.request()
		again.Request.Kind = hemlocktally.AttemptRetry
		commands := d.update(again)
		refused += len(refusals(commands))
		for _, grant := range grants(commands) {
			d.update(EndMsg{Result: hemlocktally.GrantResult{Grant: grant, Outcome: hemlocktally.AttemptCancelled}})
		}
		d.update(LeaveMsg{Ticket: again.Ticket})
	}
	c.Assert(100-refused <= 56, qt.IsTrue, qt.Commentf("%d of 100 repeats were allowed", 100-refused))
	d.wait(10 * time.Second)
	again := d.request()
	again.Request.Kind = hemlocktally.AttemptRetry
	c.Assert(refusals(d.update(again)), qt.HasLen, 0)
}

// A cold zone's return: each cold target gets less than its rate.
func TestColdTargetsGetLittle(t *testing.T) {
	c := qt.New(t)
	cold := target("x", "a")
	cold.ColdFor = 3 * time.Second
	d := newDesk(cold)
	given := 0
	for range 100 {
		d.report("x", 1)
		ask := d.request()
		for _, grant := range grants(d.update(ask)) {
			c.Assert(grant.Cold, qt.IsTrue)
			c.Assert(grant.LeaseEnd.After(d.now), qt.IsTrue)
			given++
			d.update(EndMsg{Result: hemlocktally.GrantResult{Grant: grant, Outcome: hemlocktally.AttemptDone, Latency: 5 * time.Millisecond}})
		}
		d.update(LeaveMsg{Ticket: ask.Ticket})
		d.wait(10 * time.Millisecond)
	}
	c.Assert(given > 0 && given <= 6, qt.IsTrue, qt.Commentf("%d calls in a second", given))
	d.state.Alone = true
	d.wait(time.Second)
	d.report("x", 1)
	c.Assert(grants(d.update(d.request())), qt.HasLen, 0)
}

func TestStoppedZoneGetsNothing(t *testing.T) {
	c := qt.New(t)
	d := newDesk(target("x", "a"))
	d.report("x", 1)
	d.configure(map[hemlocktally.ZoneName]bool{"a": true}, target("x", "a"))
	c.Assert(grants(d.update(d.request())), qt.HasLen, 0)
}

func TestUnreachableTargetIsLeft(t *testing.T) {
	c := qt.New(t)
	d := newDesk(target("x", "a"), target("y", "a"))
	d.report("x", 1)
	d.report("y", 1.1)
	first := grants(d.update(d.request()))[0]
	c.Assert(first.Target.Name, qt.Equals, hemlocktally.TargetName("x"))
	d.update(EndMsg{Result: hemlocktally.GrantResult{Grant: first, Outcome: hemlocktally.AttemptUnused, Unreachable: true}})
	c.Assert(grants(d.update(d.request()))[0].Target.Name, qt.Equals, hemlocktally.TargetName("y"))
}

// No sequence of events makes the owner give more than slots allow, work to a
// stopped zone, or two answers to one question.
func TestStateKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDesk(target("x", "a"), target("y", "b"), target("z", "b"))
		out := map[hemlocktally.ZoneName]bool{}
		held := map[hemlocktally.GrantID]hemlocktally.Grant{}
		waiting := map[string]bool{}
		check := func(commands []any) {
			for _, command := range commands {
				switch command := command.(type) {
				case GrantCmd:
					if !waiting[command.Ticket] {
						t.Fatalf("an answer to %s, which does not wait", command.Ticket)
					}
					delete(waiting, command.Ticket)
					held[command.Grant.ID] = command.Grant
					if out[command.Grant.Target.Zone] {
						t.Fatalf("a turn in a stopped zone")
					}
				case RefuseCmd:
					if command.Error.Outcome != hemlocktally.OutcomeNotRun {
						t.Fatalf("a refusal that is not NotRun")
					}
					delete(waiting, command.Ticket)
				case HoldCmd:
					delete(waiting, command.Ticket)
				}
			}
			for name, tally := range d.state.targets {
				if len(tally.turns) > tally.target.SlotCount() {
					t.Fatalf("%d turns on %s", len(tally.turns), name)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				ask := d.request()
				ask.Request.Priority = hemlocktally.Priority(rapid.IntRange(-2, 0).Draw(t, "priority"))
				ask.Request.Kind = hemlocktally.AttemptKind(rapid.IntRange(0, 2).Draw(t, "kind"))
				waiting[ask.Ticket] = true
				check(d.update(ask))
			},
			"end": func(t *rapid.T) {
				for id, grant := range held {
					delete(held, id)
					check(d.update(EndMsg{Result: hemlocktally.GrantResult{
						Grant: grant, Outcome: hemlocktally.AttemptOutcome(rapid.IntRange(0, 5).Draw(t, "outcome")), Latency: time.Millisecond,
					}}))
					return
				}
			},
			"load": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "target")
				check(d.report(name, rapid.Float64Range(0.5, 8).Draw(t, "pace")))
			},
			"silent": func(t *rapid.T) {
				name := rapid.SampledFrom([]hemlocktally.TargetName{"x", "y", "z"}).Draw(t, "target")
				check(d.update(LoadMsg{Target: name, Failed: true}))
			},
			"stop": func(t *rapid.T) {
				zone := rapid.SampledFrom([]hemlocktally.ZoneName{"a", "b"}).Draw(t, "zone")
				out[zone] = !out[zone]
				check(d.update(TargetsMsg{
					Service: hemlocktally.Service{Name: "s", ProbePath: "/health"}, Out: out,
					Targets: []hemlocktally.Registration{target("x", "a"), target("y", "b"), target("z", "b")},
				}))
			},
			"time": func(t *rapid.T) {
				check(d.wait(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond))
			},
		})
	})
}

// While the targets of a service shed half of their calls, a shed answer costs
// no time: the next call is placed at once and not held for a better target.
func TestSheddingTargetsAreNotWaitedFor(t *testing.T) {
	c := qt.New(t)
	d := newDesk(target("x", "a"), target("y", "a"))
	for range 20 {
		d.report("x", 1)
		d.report("y", 1)
		got := grants(d.update(d.request()))
		c.Assert(got, qt.HasLen, 1)
		d.update(EndMsg{Result: hemlocktally.GrantResult{
			Grant: got[0], Outcome: hemlocktally.AttemptRefused, Latency: time.Millisecond, Load: &hemlocktally.Load{Pace: 1},
		}})
	}
}

// A burst over all capacity: whoever is let in is still prompt, the others are
// told at once.
func TestOverloadKeepsTheQueueShort(t *testing.T) {
	c := qt.New(t)
	d := newDesk(target("x", "a"))
	d.report("x", 1)
	refused := 0
	for range 20 {
		refused += len(refusals(d.update(d.request())))
	}
	usual := d.state.usual("c")
	wait := time.Duration(float64(d.state.Waiting()) * float64(usual) * d.state.mean / 2)
	c.Assert(refused > 0, qt.IsTrue)
	c.Assert(wait <= 250*time.Millisecond, qt.IsTrue, qt.Commentf("%d wait for %s", d.state.Waiting(), wait))
}

// New connections take time and slots: of two targets alike the one with a link
// is taken.
func TestTargetWithALinkIsPreferred(t *testing.T) {
	c := qt.New(t)
	d := newDesk(target("x", "a"), target("y", "a"))
	d.report("x", 1)
	d.report("y", 1.02)
	first := grants(d.update(d.request()))[0]
	other := d.request()
	other.From = "other" // Its link to the second target is none of the first instance.
	second := grants(d.update(other))
	c.Assert(second, qt.HasLen, 1)
	c.Assert(second[0].Target.Name, qt.Not(qt.Equals), first.Target.Name)
	d.update(EndMsg{Result: hemlocktally.GrantResult{Grant: second[0], Outcome: hemlocktally.AttemptDone, Latency: 100 * time.Millisecond}})
	for range 5 {
		d.update(EndMsg{Result: hemlocktally.GrantResult{
			Grant: first, Outcome: hemlocktally.AttemptDone, Latency: 100 * time.Millisecond, Load: &hemlocktally.Load{Pace: 1.02},
		}})
		d.report("y", 1)
		next := grants(d.update(d.request()))[0]
		c.Assert(next.Target.Name, qt.Equals, first.Target.Name)
		first = next
	}
}

// Answers get lost on their way while targets work: that is no reason to leave
// the targets alone, or to take the service for full.
func TestLostAnswersDoNotEmptyAService(t *testing.T) {
	c := qt.New(t)
	d := newDesk(target("x", "a"), target("y", "a"))
	for range 10 {
		got := grants(d.update(d.request()))
		got = append(got, grants(d.report("x", 1))...)
		got = append(got, grants(d.report("y", 1))...)
		got = append(got, grants(d.wait(probeWait))...)
		c.Assert(got, qt.HasLen, 1)
		d.update(EndMsg{Result: hemlocktally.GrantResult{Grant: got[0], Outcome: hemlocktally.AttemptFailed, Latency: 90 * time.Millisecond}})
		d.wait(20 * time.Millisecond)
	}
}

// A second attempt beside one that runs on a calm target is a waste of the
// budget that lost answers need.
func TestSecondAttemptBesideACalmTargetIsRefused(t *testing.T) {
	c := qt.New(t)
	d := newDesk(target("x", "a"), target("y", "a"))
	d.state.Bounds.RetrySlack = 12
	hedge := func() AskMsg {
		ask := d.request()
		ask.Request.Kind = hemlocktally.AttemptHedge
		ask.Request.Exclude = []hemlocktally.TargetName{"x"}
		return ask
	}
	d.report("x", 1)
	d.report("y", 1)
	c.Assert(refusals(d.update(hedge())), qt.HasLen, 1)
	d.wait(100 * time.Millisecond)
	asked := d.update(hedge())
	c.Assert(probed(asked)[0], qt.Equals, hemlocktally.TargetName("x"))
	commands := append(d.report("x", 7), d.report("y", 1)...)
	c.Assert(grants(commands), qt.HasLen, 1)
}

// Measuring never costs more than its budget, however many calls come.
func TestQuestionsToATargetKeepTheirBudget(t *testing.T) {
	c := qt.New(t)
	d := newDesk(target("x", "a"))
	d.state.Bounds.ProbesPerSecond = 10
	asked := 0
	for range 200 {
		ask := d.request()
		commands := d.update(ask)
		asked += len(probed(commands))
		d.update(LoadMsg{Target: "x", Answer: hemlocktally.AnswerHeader{}}) // It tells nothing.
		commands = append(commands, d.wait(10*time.Millisecond)...)
		for _, grant := range grants(commands) {
			d.update(EndMsg{Result: hemlocktally.GrantResult{Grant: grant, Outcome: hemlocktally.AttemptCancelled}})
		}
		d.update(LeaveMsg{Ticket: ask.Ticket})
	}
	c.Assert(asked > 0 && asked <= 20, qt.IsTrue, qt.Commentf("%d questions in two seconds", asked))
}

// The figures that are exposed are those that the decisions are made by.
func TestStatsTellWhatWasDecided(t *testing.T) {
	c := qt.New(t)
	d := newDesk(target("t0", "a"), target("t1", "a"))
	d.state.Bounds = Bounds{RetrySlack: 100, RetryWindow: 10 * time.Second}
	d.report("t0", 1)
	c.Assert(grants(d.update(d.request())), qt.HasLen, 1)
	stats := d.state.Stats(d.now)
	c.Check(stats.Targets, qt.Equals, 2)
	c.Check(stats.Turns, qt.Equals, 1)
	c.Check(stats.Granted, qt.Equals, uint64(1))
	c.Check(stats.BudgetUsed, qt.Equals, 0.0)
	d.state.spent.repeat(d.now)
	c.Check(d.state.Stats(d.now).BudgetUsed, qt.Equals, 1/(newPart*100))
}
