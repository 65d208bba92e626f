package dispatcher_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hemlocktally"
	"hemlocktally/dispatcher"
)

// planModel drives a plan with randomly drawn attempt results and tracks what
// really happened at the targets.
type planModel struct {
	plan              dispatcher.Plan
	acquiring         []int
	sending           []int
	responses         int
	possiblyRun       int // possiblyRun counts the attempts that may have run at a target.
	started           int
	hedgeTimerStarted bool
}

func (w *planModel) send(t *rapid.T, msg any) {
	for _, command := range w.plan.Update(msg) {
		switch command := command.(type) {
		case dispatcher.StartAttemptCmd:
			w.started++
			if w.plan.NonIdempotent && w.possiblyRun > 0 {
				t.Fatalf("attempt %d at a non-idempotent call that may have run", command.Attempt)
			}
			w.acquiring = append(w.acquiring, command.Attempt)
		case dispatcher.StartHedgeTimerCmd:
			w.hedgeTimerStarted = true
		case dispatcher.ForwardResponseCmd:
			w.responses++
		case dispatcher.RefuseCmd:
			w.responses++
			if command.Error.Outcome == hemlocktally.OutcomeNotRun && w.possiblyRun > 0 {
				t.Fatalf("outcome is NotRun, but %d attempts may have run", w.possiblyRun)
			}
			if command.Error.Outcome != hemlocktally.OutcomeNotRun && w.possiblyRun == 0 {
				t.Fatalf("outcome is %s, but no attempt ran", command.Error.Outcome)
			}
		}
	}
	if w.responses > 1 {
		t.Fatalf("%d responses to one call", w.responses)
	}
	if w.plan.Violation != "" {
		t.Fatalf("invariant broken: %s", w.plan.Violation)
	}
}

func drawAndRemove(t *rapid.T, list *[]int) int {
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "index")
	n := (*list)[i]
	*list = append((*list)[:i], (*list)[i+1:]...)
	return n
}

func refusedError(reason hemlocktally.Reason) *hemlocktally.RefusedError {
	return &hemlocktally.RefusedError{Reason: reason}
}

func (w *planModel) grant(t *rapid.T) {
	if len(w.acquiring) == 0 {
		t.Skip()
	}
	n := drawAndRemove(t, &w.acquiring)
	w.sending = append(w.sending, n)
	w.possiblyRun++ // From here on, bytes of the request may be sent.
	w.send(t, dispatcher.GrantedMsg{Attempt: n, Target: hemlocktally.TargetName(rune('a' + n))})
}

func (w *planModel) refuse(t *rapid.T) {
	if len(w.acquiring) == 0 {
		t.Skip()
	}
	w.send(t, dispatcher.GrantRefusedMsg{Attempt: drawAndRemove(t, &w.acquiring), Error: refusedError(hemlocktally.ReasonRetryBudget)})
}

func (w *planModel) fail(t *rapid.T) {
	if len(w.sending) == 0 {
		t.Skip()
	}
	sent := rapid.Bool().Draw(t, "sent")
	declared := sent && rapid.Bool().Draw(t, "declared")
	if !sent || declared {
		w.possiblyRun--
	}
	reason := rapid.SampledFrom([]hemlocktally.Reason{
		hemlocktally.ReasonTargetFailed, hemlocktally.ReasonAnswerBroken, hemlocktally.ReasonDeadline, hemlocktally.ReasonCallerCancelled,
	}).Draw(t, "reason")
	w.send(t, dispatcher.FailedMsg{
		Attempt: drawAndRemove(t, &w.sending), Error: refusedError(reason), Sent: sent, DeclaredNotRun: declared,
		BodyConsumed: rapid.Bool().Draw(t, "spent"),
	})
}

func (w *planModel) respond(t *rapid.T) {
	if len(w.sending) == 0 {
		t.Skip()
	}
	w.send(t, dispatcher.ResponseMsg{
		Attempt: drawAndRemove(t, &w.sending), Status: rapid.SampledFrom([]int{200, 404, 500}).Draw(t, "status"),
		Buffered: rapid.Bool().Draw(t, "whole"),
	})
}

func TestPlanKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &planModel{plan: dispatcher.Plan{
			NonIdempotent: rapid.Bool().Draw(t, "nonIdempotent"), Hedge: rapid.Bool().Draw(t, "hedge"),
			Nested: rapid.Bool().Draw(t, "deep"), MaxAttempts: 3,
		}}
		w.send(t, dispatcher.StartMsg{})
		t.Repeat(map[string]func(*rapid.T){
			"grant":  w.grant,
			"refuse": w.refuse,
			"fail":   w.fail,
			"answer": w.respond,
			"slow": func(t *rapid.T) {
				if !w.hedgeTimerStarted {
					t.Skip()
				}
				w.hedgeTimerStarted = false
				w.send(t, dispatcher.HedgeDueMsg{})
			},
			"silent": func(t *rapid.T) {
				if len(w.sending) == 0 {
					t.Skip()
				}
				w.send(t, dispatcher.ConnectionSilentMsg{Attempt: rapid.SampledFrom(w.sending).Draw(t, "attempt")})
			},
			"gone": func(t *rapid.T) { w.send(t, dispatcher.CallerGoneMsg{}) },
			"": func(t *rapid.T) {
				if w.started > 3 {
					t.Fatalf("%d attempts were started, at most 3 are allowed", w.started)
				}
				if len(w.acquiring)+len(w.sending) == 0 && w.responses != 1 {
					t.Fatalf("all attempts have ended and there are %d responses, want 1", w.responses)
				}
			},
		})
	})
}

func TestPlanHedgesOnceAndCancelsTheLoser(t *testing.T) {
	c := qt.New(t)
	p := dispatcher.Plan{Hedge: true, MaxAttempts: 3}
	c.Check(p.Update(dispatcher.StartMsg{}), qt.DeepEquals, []any{dispatcher.StartAttemptCmd{Attempt: 1}})
	c.Check(p.Update(dispatcher.GrantedMsg{Attempt: 1, Target: "a"}), qt.DeepEquals, []any{dispatcher.StartHedgeTimerCmd{}})
	c.Check(p.Update(dispatcher.HedgeDueMsg{}), qt.DeepEquals, []any{
		dispatcher.StartAttemptCmd{Attempt: 2, Kind: hemlocktally.AttemptHedge, Exclude: []hemlocktally.TargetName{"a"}},
	})
	c.Check(p.Update(dispatcher.GrantedMsg{Attempt: 2, Target: "b"}), qt.HasLen, 0)
	c.Check(p.Update(dispatcher.ResponseMsg{Attempt: 2, Status: 200, Buffered: true}), qt.DeepEquals, []any{
		dispatcher.ForwardResponseCmd{Attempt: 2}, dispatcher.CancelAttemptCmd{Attempt: 1},
	})
}

// A contract with a limit of one attempt gets no hedge, however slow the first
// attempt is.
func TestSlowCallWithOneAttemptGetsNoSecond(t *testing.T) {
	c := qt.New(t)
	p := dispatcher.Plan{Hedge: true, MaxAttempts: 1}
	p.Update(dispatcher.StartMsg{})
	p.Update(dispatcher.GrantedMsg{Attempt: 1, Target: "a"})
	c.Assert(p.Update(dispatcher.HedgeDueMsg{}), qt.HasLen, 0)
}
