package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"hemlocktally"
)

// sendError turns a failed round trip into a message and notes its outcome.
func (a *attempt) sendError(ctx context.Context, err error, result *hemlocktally.GrantResult) *FailedMsg {
	failed := a.fail(ctx, err, a.link.Sent())
	switch {
	case failed.Again, failed.Error.Reason == hemlocktally.ReasonCallerCancelled:
		result.Outcome = hemlocktally.AttemptCancelled
	case failed.Error.Reason == hemlocktally.ReasonDeadline && failed.Sent:
		result.Outcome = hemlocktally.AttemptTimedOut
	case failed.Sent:
		result.Outcome = hemlocktally.AttemptFailed
	default:
		result.Outcome = hemlocktally.AttemptUnused
	}
	return failed
}

// fail says why an attempt ended without an answer.
func (a *attempt) fail(ctx context.Context, err error, sent bool) *FailedMsg {
	c := a.call
	reason := hemlocktally.ReasonTargetFailed
	var late *hemlocktally.FenceError
	silent := errors.Is(context.Cause(ctx), errSilent)
	switch {
	case silent:
	case errors.Is(context.Cause(ctx), errLost):
		reason = hemlocktally.ReasonCallerCancelled
	case ctx.Err() != nil, errors.As(err, &late):
		reason = hemlocktally.ReasonDeadline
	}
	outcome := hemlocktally.OutcomeNotRun
	if sent {
		outcome = hemlocktally.OutcomeUnknown
	}
	refused := &hemlocktally.RefusedError{
		Outcome: outcome, Reason: reason, Detail: fmt.Sprintf("target %s: %v", a.grant.Target.Name, err),
	}
	if broken := c.body.failed.Load(); broken != nil && ctx.Err() == nil {
		refused.Reason, refused.Detail = broken.Reason, broken.Detail
	}
	return &FailedMsg{Attempt: a.number, Error: refused, Sent: sent, Again: silent, BodySpent: c.body.spent.Load()}
}

// readTargetState takes over what the target says of itself.
func readTargetState(response *http.Response, result *hemlocktally.GrantResult) {
	switch hemlocktally.TargetState(response.Header.Get(hemlocktally.HeaderTargetState)) {
	case hemlocktally.TargetCold:
		result.SaidCold = true
	case hemlocktally.TargetDraining:
		result.SaidDraining = true
	case hemlocktally.TargetWarm, hemlocktally.TargetGone:
	}
}

// watchSilence ends an attempt of idempotent work whose link seems to have lost
// its other end. It returns a function that ends the watch.
func (a *attempt) watchSilence() func() {
	c := a.call
	if c.contract.NonIdempotent || c.body.streamed() {
		return func() {}
	}
	patience := c.dispatcher.latencies.patience(c.contract.Name, time.Until(c.deadline), time.Now())
	stop := make(chan struct{})
	timer := time.AfterFunc(patience, func() {
		for {
			if a.link.Silent() {
				a.cancel(errSilent)
				return
			}
			select {
			case <-stop:
				return
			case <-time.After(patience):
			}
		}
	})
	return func() {
		timer.Stop()
		close(stop)
	}
}
