package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
)

// roundTripFailure converts a failed round trip into a message and sets the
// outcome in the grant's result.
func (a *attempt) roundTripFailure(ctx context.Context, err error, result *hemlocktally.GrantResult) *FailedMsg {
	failed := a.failure(ctx, err, a.peer != "" || a.link.Sent())
	if failed.Error.Reason == hemlocktally.ReasonTargetFailed && a.call.reportMalformed(a.destination(), err) {
		failed.Error.Reason = hemlocktally.ReasonAnswerBroken
	}
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

// reportMalformed counts and logs a response that is malformed or incomplete. It reports whether
// the error is about one.
func (c *call) reportMalformed(from string, err error) bool {
	var malformed *hemlocktally.ResponseError
	if !errors.As(err, &malformed) {
		return false
	}
	c.dispatcher.malformed.Add(1)
	c.dispatcher.Log.Log(logger.EventResponseMalformed, logger.Fields{
		"Call": c.record.Call, "Service": c.contract.Service, "From": from, "Cause": malformed.Detail,
	})
	return true
}

// MalformedResponses returns how many malformed and incomplete responses were received.
func (d *Dispatcher) MalformedResponses() uint64 { return d.malformed.Load() }

// failure returns the message for an attempt that ended without a response.
func (a *attempt) failure(ctx context.Context, err error, sent bool) *FailedMsg {
	c := a.call
	reason := hemlocktally.ReasonTargetFailed
	var fenceError *hemlocktally.FenceError
	var overload *hemlocktally.OverloadError
	switch {
	case errors.As(err, &overload) && !sent:
		reason = hemlocktally.ReasonOverloaded
	case errors.Is(context.Cause(ctx), errAttemptCancelled):
		reason = hemlocktally.ReasonCallerCancelled
	case ctx.Err() != nil, errors.As(err, &fenceError):
		reason = hemlocktally.ReasonDeadline
	}
	outcome := hemlocktally.OutcomeNotRun
	if sent {
		outcome = hemlocktally.OutcomeUnknown
	}
	refused := &hemlocktally.RefusedError{
		Outcome: outcome, Reason: reason, Detail: a.destination() + ": " + err.Error(),
	}
	if bodyRefused := c.body.readError.Load(); bodyRefused != nil && ctx.Err() == nil {
		refused.Reason, refused.Detail = bodyRefused.Reason, bodyRefused.Detail
	}
	return &FailedMsg{Attempt: a.number, Error: refused, Sent: sent, BodyConsumed: c.body.consumed.Load()}
}

// destination names the target or the instance that the attempt was sent to.
func (a *attempt) destination() string {
	if a.peer != "" {
		return "instance " + string(a.peer)
	}
	return "target " + string(a.grant.Target.Name)
}

// callerNamesCall reports whether the caller gave its request an ID, which the targets then
// repeat in their responses.
func (a *attempt) callerNamesCall() bool {
	return a.call.dispatcher.dialect().CallID(a.call.request.Header) != ""
}

// needsFreshLink reports whether the response could not be told apart from those to earlier
// requests on the connection: the caller gave no ID for the target to repeat. In the module's
// own protocol the instance names all calls.
func (a *attempt) needsFreshLink() bool {
	return a.call.dispatcher.Dialect != nil && !a.callerNamesCall()
}

// responseProven reports whether the response certainly answers this attempt's request: it
// names the call, or it is the first response on its connection. A target may send an earlier
// response once more on a connection that is in use again.
func (a *attempt) responseProven(headers hemlocktally.ResponseInfo) bool {
	return a.link.New() || headers.Call == a.call.record.Call
}

// checkResponseCall returns an error for a response that belongs to another call:
// a target that sent a surplus response makes it look like the response to the
// next request on the connection. A success must name its call if the caller named
// it, and a refusal that declares that the call did not run must be proven.
func (a *attempt) checkResponseCall(response *http.Response, headers hemlocktally.ResponseInfo) error {
	switch {
	case headers.Call == a.call.record.Call:
		return nil
	case headers.Call != "":
		return fmt.Errorf("the response belongs to call %s", headers.Call)
	case headers.NotRun && !a.link.New():
		return errors.New("the refusal names no call, and an earlier call on the connection may have caused it")
	case a.callerNamesCall() && response.StatusCode < http.StatusMultipleChoices:
		return errors.New("the response does not name its call")
	default:
		return nil
	}
}

// linkSilent reports whether a failed attempt used a connection that seems dead.
func (a *attempt) linkSilent() bool {
	return a.link != nil && time.Since(a.linkAcquired) >= a.silenceTimeout && a.link.Silent()
}

// silenceWatch reports a connection that seems dead to the call.
type silenceWatch struct {
	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
}

// watchSilence starts a silenceWatch for an attempt at an idempotent call whose
// body is buffered. It returns a function that stops the watch; the connection is
// not accessed after that.
func (a *attempt) watchSilence() func() {
	if a.call.contract.NonIdempotent || a.call.body.streamed() {
		return func() {}
	}
	w := &silenceWatch{}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(a.silenceTimeout, func() { w.check(a) })
	return w.stop
}

func (w *silenceWatch) check(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
	case a.link.Silent():
		a.call.messages <- ConnectionSilentMsg{Attempt: a.number}
	default:
		w.timer.Reset(a.silenceTimeout)
	}
}

func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
