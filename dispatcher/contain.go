package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"hemlocktally"
	"hemlocktally/logger"
)

// serveContained serves one call. A panic ends only this call: its caller gets a refusal that
// says that the call may have run, or a broken response if the response was started.
func (d *Dispatcher) serveContained(w http.ResponseWriter, r *http.Request, serve func(*call)) {
	var c *call
	defer func() { d.containPanic(w, c, recover()) }()
	c = d.newCall(w, r)
	defer func() { d.finish(c) }()
	defer func() {
		if cause := recover(); d.reportPanic(c.record.Call, cause) {
			c.refusePanic()
		}
	}()
	serve(c)
}

// containPanic ends a call that panicked outside of its own work, while it was read or recorded.
func (d *Dispatcher) containPanic(w http.ResponseWriter, c *call, cause any) {
	var id hemlocktally.CallID
	if c != nil {
		id = c.record.Call
	}
	switch {
	case !d.reportPanic(id, cause):
	case c == nil:
		w.WriteHeader(http.StatusBadGateway)
	case !c.responseStarted:
		c.refusePanic()
	case c.truncated:
		panic(http.ErrAbortHandler)
	}
}

// reportPanic counts and logs a panic. It reports false if there was none, and repeats one that
// cuts the caller's connection on purpose.
func (d *Dispatcher) reportPanic(id hemlocktally.CallID, cause any) bool {
	if cause == nil {
		return false
	}
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(cause)
	}
	d.logPanic(id, cause)
	return true
}

func (d *Dispatcher) logPanic(id hemlocktally.CallID, cause any) {
	d.panics.Add(1)
	d.Log.Log(logger.EventHandlerPanicked, logger.Fields{"Call": id, "Cause": fmt.Sprint(cause), "Stack": string(debug.Stack())})
}

func (c *call) refusePanic() {
	if !c.responseStarted {
		clear(c.writer.Header())
	}
	c.refuse(panicError())
}

func panicError() *hemlocktally.RefusedError {
	return unknownOutcomeError(hemlocktally.ReasonTargetFailed, "the instance failed while it served the call")
}

// Panics returns how many panics were contained.
func (d *Dispatcher) Panics() uint64 { return d.panics.Load() }

// runContained runs the attempt. A panic ends it as one that may have run, and releases its
// connection and its grant.
func (a *attempt) runContained(ctx context.Context) {
	defer func() {
		if cause := recover(); cause != nil {
			a.call.dispatcher.logPanic(a.call.record.Call, cause)
			a.endPanicked()
		}
	}()
	a.run(ctx)
}

func (a *attempt) endPanicked() {
	if a.grant.Target.Name != "" && !a.released {
		a.release(&hemlocktally.GrantResult{Grant: a.grant, Contract: a.call.contract.Name, Outcome: hemlocktally.AttemptFailed}, false)
	}
	switch {
	case a.ended:
	case a.begun:
		a.end(failedMsg{
			FailedMsg: FailedMsg{Attempt: a.number, Error: panicError(), Sent: true, BodyConsumed: a.call.body.consumed.Load(), Final: true},
			summary:   attemptSummary{outcome: hemlocktally.AttemptFailed, sent: true, peer: a.peer},
		})
	default:
		a.end(GrantRefusedMsg{Attempt: a.number, Error: panicError()})
	}
}

// end tells the call how the attempt ended. No further message about it may follow.
func (a *attempt) end(msg any) {
	a.ended = true
	a.call.messages <- msg
}
