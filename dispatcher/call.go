package dispatcher

import (
	"context"
	"net/http"
	"time"

	"hemlocktally"
)

// call is one caller's request on its way through the instance. It is the task
// that runs the commands of its plan.
type call struct {
	dispatcher *Dispatcher
	config     *hemlocktally.Configuration
	writer     http.ResponseWriter
	control    *http.ResponseController
	request    *http.Request
	contract   hemlocktally.Contract
	key        string
	body       *requestBody
	started    time.Time
	deadline   time.Time
	fence      time.Time // fence is when a claimed call must have ended; zero means none.
	depth      int
	record     hemlocktally.CallRecord
	claim      *heldClaim               // claim is nil where the call runs without one.
	kept       *hemlocktally.KeptAnswer // kept is the whole answer, for the claim.
	answered   bool                     // answered is set once a byte of an answer has gone to the caller.
	broken     bool                     // broken is set where an answer could not be passed on whole.

	plan     Plan
	busy     busyTime
	attempts []*attempt
	inbox    chan any // inbox takes the messages of the attempts.
	hedge    *time.Timer
}

// inboxPerAttempt is how many messages one attempt sends at most.
const inboxPerAttempt = 3

// serve runs the call, under a claim where it has a key, and answers.
func (c *call) serve() {
	// A call with a caller that has gone may have to be finished, so its
	// attempts end by their own commands and the deadline.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(c.request.Context()), c.deadline)
	defer cancel()
	if c.claimed() {
		c.serveClaimed(ctx)
		return
	}
	c.run(ctx)
}

// run takes the plan from its start to the one answer of the call.
func (c *call) run(ctx context.Context) {
	c.plan = Plan{
		NonIdempotent: c.contract.NonIdempotent, Hedge: c.mayHedge(), Nested: c.depth > 0, MaxAttempts: c.contract.Attempts(),
	}
	c.inbox = make(chan any, (c.contract.Attempts()+1)*inboxPerAttempt)
	defer c.stopAttempts()
	gone := c.request.Context().Done()
	var slow <-chan time.Time
	done := c.step(ctx, StartMsg{})
	for !done {
		if c.hedge != nil {
			slow = c.hedge.C
		}
		select {
		case msg := <-c.inbox:
			done = c.step(ctx, msg)
		case <-slow:
			done = c.step(ctx, HedgeDueMsg{})
		case <-gone:
			gone = nil
			done = c.step(ctx, CallerGoneMsg{})
		}
	}
}

// mayHedge reports whether the contract and the body allow a second attempt
// beside the first. Idempotent work with an objective may always have one.
func (c *call) mayHedge() bool {
	asked := c.contract.Hedge && c.contract.Priority >= hemlocktally.PriorityHigh
	return (asked || c.contract.Objective > 0) && !c.body.streamed()
}

// step notes a message, gives it to the plan and runs the commands. It returns
// true once the call has its answer.
func (c *call) step(ctx context.Context, msg any) bool {
	c.note(msg)
	done := false
	for _, command := range c.plan.Update(planMsg(msg)) {
		switch command := command.(type) {
		case StartAttemptCmd:
			c.startAttempt(ctx, command)
		case StartHedgeTimerCmd:
			c.armHedge()
		case CancelAttemptCmd:
			c.attempts[command.Attempt-1].cancel(errLost)
		case ForwardResponseCmd:
			c.pass(c.attempts[command.Attempt-1])
			done = true
		case RefuseCmd:
			c.refuseUnanswered(command.Error)
			done = true
		}
	}
	if c.plan.Violation != "" {
		c.dispatcher.violated(c.record.Call, c.plan.Violation)
	}
	return done
}

// hedgePart is the part of the objective after which idempotent work that has no
// answer gets a second attempt, if a target would still be in time.
const hedgePart = 0.5

func (c *call) armHedge() {
	if c.contract.Objective > 0 {
		after := c.started.Add(time.Duration(hedgePart * float64(c.contract.Objective)))
		c.hedge = time.NewTimer(max(0, time.Until(after)))
		return
	}
	if after, ok := c.dispatcher.latencies.slow(c.contract.Name, time.Now()); ok {
		c.hedge = time.NewTimer(after)
	}
}

func (c *call) startAttempt(ctx context.Context, command StartAttemptCmd) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{call: c, number: command.Attempt, kind: command.Kind, exclude: command.Exclude, cancel: cancel, started: time.Now()}
	c.attempts = append(c.attempts, a)
	c.record.Attempts = append(c.record.Attempts, hemlocktally.AttemptRecord{
		Kind: command.Kind, Started: a.started.Sub(c.started), Outcome: hemlocktally.AttemptCancelled,
	})
	go a.run(ctx)
}

// stopAttempts ends what still runs. The attempts give their turns back.
func (c *call) stopAttempts() {
	if c.hedge != nil {
		c.hedge.Stop()
	}
	for _, a := range c.attempts {
		a.cancel(errLost)
	}
}

// refuseUnanswered refuses a call that the plan gave up on.
func (c *call) refuseUnanswered(refused *hemlocktally.RefusedError) {
	c.record.Outcome = refused.Outcome
	c.record.Reason = refused.Reason
	c.record.Detail = refused.Detail
	if c.claimHeld() {
		c.finishClaim()
	}
	c.refuse(refused)
}

// refuse answers with a refusal, or breaks off where an answer has begun.
func (c *call) refuse(refused *hemlocktally.RefusedError) {
	c.record.Outcome = refused.Outcome
	c.record.Reason = refused.Reason
	c.record.Detail = refused.Detail
	if c.answered {
		c.broken = true
		return
	}
	c.answered = true
	if refused.RetryAfter == 0 {
		refused.RetryAfter = adviceFor(refused)
	}
	c.armWrite()
	c.record.Status = c.dispatcher.writeRefusal(c.writer, refused, hemlocktally.Refusal{
		Outcome: refused.Outcome, Reason: refused.Reason, Detail: refused.Detail,
		Instance: c.dispatcher.Self, Revision: c.config.Revision,
	}, c.record.Call)
}

func notRun(reason hemlocktally.Reason, detail string) *hemlocktally.RefusedError {
	return &hemlocktally.RefusedError{Outcome: hemlocktally.OutcomeNotRun, Reason: reason, Detail: detail}
}

func unknown(reason hemlocktally.Reason, detail string) *hemlocktally.RefusedError {
	return &hemlocktally.RefusedError{Outcome: hemlocktally.OutcomeUnknown, Reason: reason, Detail: detail}
}
