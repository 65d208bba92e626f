package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"hemlocktally"
)

// errLost ends an attempt whose call has its answer or no longer wants one.
var errLost = errors.New("another attempt answered or the caller is gone")

// errOutOfService ends an attempt whose turn is on a target that operators took
// out meanwhile.
var errOutOfService = errors.New("operators have it out of service")

// attempt is the task of one try of a call on one target. It sends the call
// messages, holds its turn and its link, and gives both back itself.
type attempt struct {
	call    *call
	number  int
	kind    hemlocktally.AttemptKind
	exclude []hemlocktally.TargetName
	cancel  context.CancelCauseFunc
	started time.Time

	grant hemlocktally.Grant
	link  hemlocktally.Link
	sent  time.Time // sent is when the link was taken.
	// patience is how long the link may bring nothing before it is suspect.
	patience time.Duration

	answer *targetAnswer // answer is set by the call's task, from the message.
}

// grantedMsg is a GrantedMsg with what the call records of it.
type grantedMsg struct {
	GrantedMsg
	grant    hemlocktally.Grant
	granting time.Duration
}

// answeredMsg is an AnsweredMsg with the answer.
type answeredMsg struct {
	ResponseMsg
	trace  attemptTrace
	answer *targetAnswer
}

// failedMsg is a FailedMsg with what the call records of it.
type failedMsg struct {
	FailedMsg
	trace attemptTrace
}

// attemptTrace is what the record of a call says of an attempt's end.
type attemptTrace struct {
	outcome hemlocktally.AttemptOutcome
	took    time.Duration
	newLink bool
	sent    bool
}

// planMsg returns the part of a message that the plan looks at.
func planMsg(msg any) any {
	switch msg := msg.(type) {
	case grantedMsg:
		return msg.GrantedMsg
	case answeredMsg:
		return msg.ResponseMsg
	case failedMsg:
		return msg.FailedMsg
	default:
		return msg
	}
}

// targetAnswer is a target's answer: all of it, or a part whose rest follows.
type targetAnswer struct {
	status int
	header http.Header
	length int64 // length is the declared length, or -1.
	held   []byte
	rest   io.Reader // rest is nil where all of the answer is held.
	// ended tells the attempt how the passing on of the rest went.
	ended chan hemlocktally.AttemptOutcome
}

// run gets a turn, makes the attempt and gives the turn back.
func (a *attempt) run(ctx context.Context) {
	if !a.acquire(ctx) {
		return
	}
	result := hemlocktally.GrantResult{
		Grant: a.grant, Contract: a.call.contract.Name, Outcome: hemlocktally.AttemptUnused,
	}
	failed := a.takeLink(ctx)
	if failed == nil {
		failed = a.forward(ctx, &result)
	}
	if failed != nil {
		result.Unreachable = a.link == nil && failed.Error.Reason == hemlocktally.ReasonTargetFailed
		trace := a.release(&result, a.silent())
		a.call.inbox <- failedMsg{FailedMsg: *failed, trace: trace}
	}
}

func (a *attempt) acquire(ctx context.Context) bool {
	c := a.call
	asked := time.Now()
	grant, err := c.dispatcher.Granter.Acquire(ctx, hemlocktally.GrantRequest{
		Call: c.record.Call, Service: c.contract.Service, Contract: c.contract.Name, Priority: c.contract.Priority,
		Kind: a.kind, Deadline: c.deadline, QueueLimit: a.queueLimit(), Exclude: a.exclude,
		Objective: c.started.Add(c.contract.Prompt()), NonIdempotent: c.contract.NonIdempotent,
	})
	if err != nil {
		c.inbox <- GrantRefusedMsg{Attempt: a.number, Error: grantError(ctx, err)}
		return false
	}
	a.grant = grant
	c.inbox <- grantedMsg{
		GrantedMsg: GrantedMsg{Attempt: a.number, Target: grant.Target.Name}, grant: grant, granting: time.Since(asked),
	}
	return true
}

// queueLimit bounds the wait for a turn. A hedge that has to queue is no use.
func (a *attempt) queueLimit() time.Duration {
	limit := a.call.contract.QueueBound()
	if a.kind != hemlocktally.AttemptHedge {
		return limit
	}
	after, _ := a.call.dispatcher.latencies.slow(a.call.contract.Name, time.Now())
	return min(limit, after)
}

func grantError(ctx context.Context, err error) *hemlocktally.RefusedError {
	var refused *hemlocktally.RefusedError
	switch {
	case errors.As(err, &refused):
		return refused
	case errors.Is(context.Cause(ctx), errLost):
		return notRun(hemlocktally.ReasonCallerCancelled, "the caller went away before a target was free")
	case ctx.Err() != nil:
		return notRun(hemlocktally.ReasonDeadline, "the deadline passed before a target was free")
	default:
		return notRun(hemlocktally.ReasonNoTarget, err.Error())
	}
}

// takeLink gets a link to the target. Nothing is sent before it returns nil.
func (a *attempt) takeLink(ctx context.Context) *FailedMsg {
	c := a.call
	if a.outOfService() {
		return a.fail(ctx, errOutOfService, false)
	}
	startBy := a.startBy()
	link, err := c.dispatcher.Links.Take(ctx, hemlocktally.LinkRequest{
		Target: a.grant.Target, Proven: c.contract.NonIdempotent, StartBy: startBy, Fence: c.fence,
	})
	if err != nil {
		return a.fail(ctx, err, false)
	}
	a.link = link
	if ctx.Err() != nil {
		return a.fail(ctx, context.Cause(ctx), false)
	}
	a.sent = time.Now()
	a.patience = c.dispatcher.latencies.patience(c.contract.Name, c.deadline.Sub(a.sent), a.sent)
	return nil
}

// outOfService reports whether the configuration in force here, if it is no
// older than the grant's, has the target out of service or no longer has it.
func (a *attempt) outOfService() bool {
	config := a.call.dispatcher.Configuration.Current()
	if config.Revision < a.grant.Revision {
		return false
	}
	service, _ := config.Service(a.grant.Service)
	if len(service.Targets) == 0 {
		// The targets register themselves and are no part of the configuration.
		return config.TargetOut(a.grant.Target)
	}
	for _, target := range service.Targets {
		if target.Name == a.grant.Target.Name && target.Address == a.grant.Target.Address {
			return config.TargetOut(target)
		}
	}
	return true
}

// startBy is when the turn lapses unused.
func (a *attempt) startBy() time.Time {
	startBy := a.call.deadline
	if end := a.grant.LeaseEnd; !end.IsZero() && end.Before(startBy) {
		startBy = end
	}
	if end := a.grant.Deadline; !end.IsZero() && end.Before(startBy) {
		startBy = end
	}
	return startBy
}

// forward sends the request, holds the answer back and offers it to the call.
func (a *attempt) forward(ctx context.Context, result *hemlocktally.GrantResult) *FailedMsg {
	stop := a.watchSilence()
	release := a.releaseBody(ctx)
	response, err := a.link.RoundTrip(a.outgoing(ctx))
	stop()
	release()
	if err != nil {
		return a.sendError(ctx, err, result)
	}
	defer func() { _ = response.Body.Close() }()
	answer := a.call.dispatcher.dialect().ReadAnswer(response.StatusCode, response.Header)
	if err := a.foreign(response, answer); err != nil {
		return a.sendError(ctx, err, result)
	}
	result.SaidCold, result.SaidDraining, result.StayAway = answer.Cold, answer.Draining || answer.Leaving, answer.StayAway
	result.Load, result.Elsewhere = answer.Load, answer.Elsewhere
	if answer.NotRun {
		result.Outcome = hemlocktally.AttemptRefused
		return &FailedMsg{
			Attempt: a.number, Sent: true, DeclaredNotRun: true, BodyConsumed: a.call.body.spent.Load(),
			Error: notRun(hemlocktally.ReasonTargetFailed, fmt.Sprintf("target %s refused the call", a.grant.Target.Name)),
		}
	}
	return a.offer(ctx, response, result)
}

// offer holds the answer back. What fits into the bound is offered only when it
// is whole; of a larger one, the call passes on the rest as it arrives.
func (a *attempt) offer(ctx context.Context, response *http.Response, result *hemlocktally.GrantResult) *FailedMsg {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return a.sendError(ctx, errors.New("the target switched protocols"), result)
	}
	held, err := readHeld(response, a.call.dispatcher.HoldBack)
	if err == nil && endless(response) && !a.call.dispatcher.dialect().EndsWithConnection() {
		err = errors.New("the answer has neither a length nor chunks, so it can't be known to be whole")
	}
	if err != nil {
		failed := a.sendError(ctx, err, result)
		if failed.Error.Reason == hemlocktally.ReasonTargetFailed {
			failed.Error.Reason = hemlocktally.ReasonAnswerBroken
		}
		return failed
	}
	answer := &targetAnswer{status: response.StatusCode, header: response.Header, length: response.ContentLength, held: held}
	result.Outcome = outcomeOf(response.StatusCode)
	if endless(response) && int64(len(held)) <= a.call.dispatcher.HoldBack {
		answer.length = int64(len(held))
	}
	msg := answeredMsg{ResponseMsg: ResponseMsg{Attempt: a.number, Status: response.StatusCode}, answer: answer}
	if int64(len(held)) <= a.call.dispatcher.HoldBack {
		msg.Buffered = true
		msg.trace = a.release(result, false)
		a.call.inbox <- msg
		return nil
	}
	answer.rest = response.Body
	answer.ended = make(chan hemlocktally.AttemptOutcome, 1)
	result.Latency = time.Since(a.sent)
	msg.trace = a.trace(*result)
	a.call.inbox <- msg
	a.awaitPassed(ctx, answer, result)
	return nil
}

// awaitPassed waits until the call has passed the rest on, or does not want it.
func (a *attempt) awaitPassed(ctx context.Context, answer *targetAnswer, result *hemlocktally.GrantResult) {
	select {
	case result.Outcome = <-answer.ended:
	case <-ctx.Done():
		result.Outcome = hemlocktally.AttemptCancelled
		select {
		case result.Outcome = <-answer.ended:
		default:
		}
	}
	a.release(result, false)
}

func outcomeOf(status int) hemlocktally.AttemptOutcome {
	if status >= http.StatusInternalServerError {
		return hemlocktally.AttemptFailed
	}
	return hemlocktally.AttemptDone
}

// release gives the link and the turn back, and returns what to record.
func (a *attempt) release(result *hemlocktally.GrantResult, silent bool) attemptTrace {
	if a.link != nil {
		result.Latency = time.Since(a.sent)
	}
	trace := a.trace(*result)
	if a.link != nil {
		a.link.Release(silent)
	}
	a.call.dispatcher.Granter.Release(*result)
	return trace
}

func (a *attempt) trace(result hemlocktally.GrantResult) attemptTrace {
	t := attemptTrace{outcome: result.Outcome, took: result.Latency}
	if a.link != nil {
		t.newLink, t.sent = a.link.New(), a.link.Sent()
	}
	return t
}
