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
	handOver          bool // handOver is set once a further attempt may be handed over: no other may have run.
	ended             bool // ended is set once no further attempt may start.
	crashes           int
}

// start checks that one more attempt is allowed.
func (m *planModel) start(t *rapid.T, command dispatcher.StartAttemptCmd) {
	m.started++
	if m.ended || m.crashes > 1 {
		t.Fatalf("attempt %d after a final failure or two crashes", command.Attempt)
	}
	if command.TargetsLeft < 1 || command.TargetsLeft+m.possiblyRun > 3 {
		t.Fatalf("attempt %d may be sent to %d targets after %d", command.Attempt, command.TargetsLeft, m.possiblyRun)
	}
	if m.plan.NonIdempotent && m.possiblyRun > 0 {
		t.Fatalf("attempt %d at a non-idempotent call that may have run", command.Attempt)
	}
	m.acquiring = append(m.acquiring, command.Attempt)
}

func (m *planModel) send(t *rapid.T, msg any) {
	for _, command := range m.plan.Update(msg) {
		switch command := command.(type) {
		case dispatcher.StartAttemptCmd:
			m.start(t, command)
		case dispatcher.StartHedgeTimerCmd:
			m.hedgeTimerStarted = true
		case dispatcher.ForwardResponseCmd:
			m.responses++
		case dispatcher.RefuseCmd:
			m.responses++
			if command.Error.Outcome == hemlocktally.OutcomeNotRun && m.possiblyRun > 0 {
				t.Fatalf("outcome is NotRun, but %d attempts may have run", m.possiblyRun)
			}
			if command.Error.Outcome != hemlocktally.OutcomeNotRun && m.possiblyRun == 0 {
				t.Fatalf("outcome is %s, but no attempt ran", command.Error.Outcome)
			}
		}
	}
	if m.responses > 1 {
		t.Fatalf("%d responses to one call", m.responses)
	}
	if m.plan.Violation != "" {
		t.Fatalf("invariant broken: %s", m.plan.Violation)
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

func (m *planModel) grant(t *rapid.T) {
	if len(m.acquiring) == 0 {
		t.Skip()
	}
	n := drawAndRemove(t, &m.acquiring)
	m.sending = append(m.sending, n)
	m.possiblyRun++ // From here on, bytes of the request may be sent.
	if rapid.IntRange(0, 2).Draw(t, "handedOver") == 0 {
		m.send(t, dispatcher.HandedOverMsg{Attempt: n})
		return
	}
	m.send(t, dispatcher.GrantedMsg{Attempt: n, Target: hemlocktally.TargetName(rune('a' + n))})
}

func (m *planModel) refuse(t *rapid.T) {
	if len(m.acquiring) == 0 {
		t.Skip()
	}
	m.send(t, dispatcher.GrantRefusedMsg{Attempt: drawAndRemove(t, &m.acquiring), Error: refusedError(hemlocktally.ReasonRetryBudget)})
}

func (m *planModel) fail(t *rapid.T) {
	if len(m.sending) == 0 {
		t.Skip()
	}
	sent := rapid.Bool().Draw(t, "sent")
	declared := sent && rapid.Bool().Draw(t, "declared")
	if !sent || declared {
		m.possiblyRun--
	}
	reason := rapid.SampledFrom([]hemlocktally.Reason{
		hemlocktally.ReasonTargetFailed, hemlocktally.ReasonAnswerBroken, hemlocktally.ReasonDeadline, hemlocktally.ReasonCallerCancelled,
	}).Draw(t, "reason")
	msg := dispatcher.FailedMsg{
		Attempt: drawAndRemove(t, &m.sending), Error: refusedError(reason), Sent: sent, DeclaredNotRun: declared,
		BodyConsumed: rapid.Bool().Draw(t, "spent"), HandOver: rapid.Bool().Draw(t, "handOver"),
		Final: rapid.IntRange(0, 3).Draw(t, "final") == 0, Crashed: sent && !declared && rapid.Bool().Draw(t, "crashed"),
	}
	m.handOver = m.handOver || (msg.HandOver && m.possiblyRun == 0)
	if msg.Crashed {
		m.crashes++
	}
	m.ended = m.ended || (msg.Final && len(m.acquiring)+len(m.sending) == 0)
	m.send(t, msg)
}

func (m *planModel) respond(t *rapid.T) {
	if len(m.sending) == 0 {
		t.Skip()
	}
	msg := dispatcher.ResponseMsg{
		Attempt: drawAndRemove(t, &m.sending), Status: rapid.SampledFrom([]int{200, 404, 500}).Draw(t, "status"),
		Buffered: rapid.Bool().Draw(t, "whole"), Final: rapid.Bool().Draw(t, "final"),
	}
	m.ended = m.ended || msg.Final
	m.send(t, msg)
}

func TestPlanKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &planModel{plan: dispatcher.Plan{
			NonIdempotent: rapid.Bool().Draw(t, "nonIdempotent"), Hedge: rapid.Bool().Draw(t, "hedge"),
			Nested: rapid.Bool().Draw(t, "deep"), MaxAttempts: 3,
		}}
		m.send(t, dispatcher.StartMsg{})
		t.Repeat(map[string]func(*rapid.T){
			"grant":  m.grant,
			"refuse": m.refuse,
			"fail":   m.fail,
			"answer": m.respond,
			"slow": func(t *rapid.T) {
				if !m.hedgeTimerStarted {
					t.Skip()
				}
				m.hedgeTimerStarted = false
				m.send(t, dispatcher.HedgeDueMsg{})
			},
			"silent": func(t *rapid.T) {
				if len(m.sending) == 0 {
					t.Skip()
				}
				m.send(t, dispatcher.ConnectionSilentMsg{Attempt: rapid.SampledFrom(m.sending).Draw(t, "attempt")})
			},
			"gone": func(t *rapid.T) { m.send(t, dispatcher.CallerGoneMsg{}) },
			"": func(t *rapid.T) {
				if m.started > 4 || (m.started > 3 && !m.handOver) {
					t.Fatalf("%d attempts were started, at most 3 and one that is handed over are allowed", m.started)
				}
				if len(m.acquiring)+len(m.sending) == 0 && m.responses != 1 {
					t.Fatalf("all attempts have ended and there are %d responses, want 1", m.responses)
				}
			},
		})
	})
}

func TestPlanHedgesOnceAndCancelsTheLoser(t *testing.T) {
	c := qt.New(t)
	p := dispatcher.Plan{Hedge: true, MaxAttempts: 3}
	c.Check(p.Update(dispatcher.StartMsg{}), qt.DeepEquals, []any{dispatcher.StartAttemptCmd{Attempt: 1, TargetsLeft: 3}})
	c.Check(p.Update(dispatcher.GrantedMsg{Attempt: 1, Target: "a"}), qt.DeepEquals, []any{dispatcher.StartHedgeTimerCmd{}})
	c.Check(p.Update(dispatcher.HedgeDueMsg{}), qt.DeepEquals, []any{
		dispatcher.StartAttemptCmd{Attempt: 2, Kind: hemlocktally.AttemptHedge, Exclude: []hemlocktally.TargetName{"a"}, TargetsLeft: 2},
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
