package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"hemlocktally"
)

// sendError turns a failed round trip into a message and notes its outcome.
func (a *attempt) sendError(ctx context.Context, err error, result *hemlocktally.GrantResult) *FailedMsg {
	failed := a.fail(ctx, err, a.link.Sent())
	switch {
	case failed.Error.Reason == hemlocktally.ReasonCallerCancelled:
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
	switch {
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
	return &FailedMsg{Attempt: a.number, Error: refused, Sent: sent, BodyConsumed: c.body.spent.Load()}
}

// foreign returns an error for an answer that belongs to another call: an extra
// answer of a target may stand where the next one is expected.
func (a *attempt) foreign(response *http.Response, answer hemlocktally.AnswerHeader) error {
	named := a.call.dispatcher.dialect().CallOf(a.call.request.Header) != ""
	if !named || answer.Call == a.call.record.Call {
		return nil
	}
	if answer.Call != "" {
		return fmt.Errorf("the answer belongs to call %s", answer.Call)
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return errors.New("the answer does not name its call")
	}
	return nil
}

// silent reports whether an attempt that failed did so on a link that seems to
// have lost its other end.
func (a *attempt) silent() bool {
	return a.link != nil && time.Since(a.sent) >= a.patience && a.link.Silent()
}

// silenceWatch tells the call about a link that seems to have lost its other
// end.
type silenceWatch struct {
	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
}

// watchSilence starts a watch for an attempt of idempotent work. It returns a
// function that ends the watch; the link is not looked at after that.
func (a *attempt) watchSilence() func() {
	if a.call.contract.NonIdempotent || a.call.body.streamed() {
		return func() {}
	}
	w := &silenceWatch{}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(a.patience, func() { w.look(a) })
	return w.stop
}

func (w *silenceWatch) look(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
	case a.link.Silent():
		a.call.inbox <- ConnectionSilentMsg{Attempt: a.number}
	default:
		w.timer.Reset(a.patience)
	}
}

func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
