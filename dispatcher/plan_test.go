package dispatcher_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hemlocktally"
	"hemlocktally/dispatcher"
)

// planWorld runs a plan against attempts whose fates are drawn, and knows what
// truly happened at the targets.
type planWorld struct {
	plan     dispatcher.Plan
	asking   []int
	sending  []int
	answers  int
	ran      int // ran counts attempts that may have run at a target.
	started  int
	hedgeArm bool
}

func (w *planWorld) send(t *rapid.T, msg any) {
	for _, command := range w.plan.Update(msg) {
		switch command := command.(type) {
		case dispatcher.StartAttemptCmd:
			w.started++
			if w.plan.NonIdempotent && w.ran > 0 {
				t.Fatalf("attempt %d of non-idempotent work that may have run", command.Attempt)
			}
			w.asking = append(w.asking, command.Attempt)
		case dispatcher.ArmHedgeCmd:
			w.hedgeArm = true
		case dispatcher.AnswerCmd:
			w.answers++
		case dispatcher.GiveUpCmd:
			w.answers++
			if command.Error.Outcome == hemlocktally.OutcomeNotRun && w.ran > 0 {
				t.Fatalf("NotRun, but %d attempts may have run", w.ran)
			}
			if command.Error.Outcome != hemlocktally.OutcomeNotRun && w.ran == 0 {
				t.Fatalf("%s, but nothing ran", command.Error.Outcome)
			}
		}
	}
	if w.answers > 1 {
		t.Fatalf("%d answers to one call", w.answers)
	}
	if w.plan.Violation != "" {
		t.Fatalf("violation: %s", w.plan.Violation)
	}
}

func take(t *rapid.T, list *[]int) int {
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "index")
	n := (*list)[i]
	*list = append((*list)[:i], (*list)[i+1:]...)
	return n
}

func refusedFor(reason hemlocktally.Reason) *hemlocktally.RefusedError {
	return &hemlocktally.RefusedError{Reason: reason}
}

func (w *planWorld) grant(t *rapid.T) {
	if len(w.asking) == 0 {
		t.Skip()
	}
	n := take(t, &w.asking)
	w.sending = append(w.sending, n)
	w.ran++ // From here on, bytes may go out.
	w.send(t, dispatcher.GrantedMsg{Attempt: n, Target: hemlocktally.TargetName(rune('a' + n))})
}

func (w *planWorld) refuse(t *rapid.T) {
	if len(w.asking) == 0 {
		t.Skip()
	}
	w.send(t, dispatcher.GrantRefusedMsg{Attempt: take(t, &w.asking), Error: refusedFor(hemlocktally.ReasonRetryBudget)})
}

func (w *planWorld) fail(t *rapid.T) {
	if len(w.sending) == 0 {
		t.Skip()
	}
	sent := rapid.Bool().Draw(t, "sent")
	declared := sent && rapid.Bool().Draw(t, "declared")
	if !sent || declared {
		w.ran--
	}
	reason := rapid.SampledFrom([]hemlocktally.Reason{
		hemlocktally.ReasonTargetFailed, hemlocktally.ReasonAnswerBroken, hemlocktally.ReasonDeadline, hemlocktally.ReasonCallerCancelled,
	}).Draw(t, "reason")
	w.send(t, dispatcher.FailedMsg{
		Attempt: take(t, &w.sending), Error: refusedFor(reason), Sent: sent, Declared: declared,
		BodySpent: rapid.Bool().Draw(t, "spent"),
	})
}

func (w *planWorld) answer(t *rapid.T) {
	if len(w.sending) == 0 {
		t.Skip()
	}
	w.send(t, dispatcher.AnsweredMsg{
		Attempt: take(t, &w.sending), Status: rapid.SampledFrom([]int{200, 404, 500}).Draw(t, "status"),
		Whole: rapid.Bool().Draw(t, "whole"),
	})
}

func TestPlanKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &planWorld{plan: dispatcher.Plan{
			NonIdempotent: rapid.Bool().Draw(t, "nonIdempotent"), Hedge: rapid.Bool().Draw(t, "hedge"),
			Deep: rapid.Bool().Draw(t, "deep"), MaxAttempts: 3,
		}}
		w.send(t, dispatcher.StartMsg{})
		t.Repeat(map[string]func(*rapid.T){
			"grant":  w.grant,
			"refuse": w.refuse,
			"fail":   w.fail,
			"answer": w.answer,
			"slow": func(t *rapid.T) {
				if !w.hedgeArm {
					t.Skip()
				}
				w.hedgeArm = false
				w.send(t, dispatcher.SlowMsg{})
			},
			"silent": func(t *rapid.T) {
				if len(w.sending) == 0 {
					t.Skip()
				}
				w.send(t, dispatcher.SilentMsg{Attempt: rapid.SampledFrom(w.sending).Draw(t, "attempt")})
			},
			"gone": func(t *rapid.T) { w.send(t, dispatcher.CallerGoneMsg{}) },
			"": func(t *rapid.T) {
				if w.started > 3 {
					t.Fatalf("%d attempts", w.started)
				}
				if len(w.asking)+len(w.sending) == 0 && w.answers != 1 {
					t.Fatalf("nothing runs and there are %d answers", w.answers)
				}
			},
		})
	})
}

func TestPlanHedgesOnceAndCancelsTheLoser(t *testing.T) {
	c := qt.New(t)
	p := dispatcher.Plan{Hedge: true, MaxAttempts: 3}
	c.Check(p.Update(dispatcher.StartMsg{}), qt.DeepEquals, []any{dispatcher.StartAttemptCmd{Attempt: 1}})
	c.Check(p.Update(dispatcher.GrantedMsg{Attempt: 1, Target: "a"}), qt.DeepEquals, []any{dispatcher.ArmHedgeCmd{}})
	c.Check(p.Update(dispatcher.SlowMsg{}), qt.DeepEquals, []any{
		dispatcher.StartAttemptCmd{Attempt: 2, Kind: hemlocktally.AttemptHedge, Exclude: []hemlocktally.TargetName{"a"}},
	})
	c.Check(p.Update(dispatcher.GrantedMsg{Attempt: 2, Target: "b"}), qt.HasLen, 0)
	c.Check(p.Update(dispatcher.AnsweredMsg{Attempt: 2, Status: 200, Whole: true}), qt.DeepEquals, []any{
		dispatcher.AnswerCmd{Attempt: 2}, dispatcher.CancelAttemptCmd{Attempt: 1},
	})
}

// A route may allow a single target: then a slow first attempt gets no second.
func TestSlowCallWithOneAttemptGetsNoSecond(t *testing.T) {
	c := qt.New(t)
	p := dispatcher.Plan{Hedge: true, MaxAttempts: 1}
	p.Update(dispatcher.StartMsg{})
	p.Update(dispatcher.GrantedMsg{Attempt: 1, Target: "a"})
	c.Assert(p.Update(dispatcher.SlowMsg{}), qt.HasLen, 0)
}
