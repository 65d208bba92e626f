package dispatcher

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
)

// errAttemptCancelled is the cancellation cause of an attempt whose call already
// has a response or whose caller is gone.
var errAttemptCancelled = errors.New("the call already has a response or its caller is gone")

// errOutOfService ends an attempt whose target was taken out of service by
// operators after the grant was issued.
var errOutOfService = errors.New("operators took the target out of service")

// attempt makes one attempt of a call on one target, in its own goroutine. It
// owns its grant and its connection, releases both itself and reports to the call
// by messages.
type attempt struct {
	call    *call
	number  int
	kind    hemlocktally.AttemptKind
	exclude []hemlocktally.TargetName
	// targetsLeft is how many targets another instance may send the call to.
	targetsLeft int
	// counted is set if an earlier attempt, which may have run, counts against the quota.
	counted bool
	cancel  context.CancelCauseFunc
	started time.Time

	grant        hemlocktally.Grant
	link         hemlocktally.TargetConn
	linkAcquired time.Time // linkAcquired is when the connection was acquired.
	// silenceTimeout is how long the connection may receive nothing before it is
	// checked.
	silenceTimeout time.Duration

	peer hemlocktally.InstanceID // peer is the instance that the attempt was handed over to.

	begun    bool // begun is set once the attempt has a grant or is handed over.
	ended    bool // ended is set once the call has been told how the attempt ended.
	released bool // released is set once link and grant have been released.

	response *targetResponse // response is set by the call's goroutine, from the message.
}

// grantedMsg is a GrantedMsg with the data that the call records.
type grantedMsg struct {
	GrantedMsg
	grant    hemlocktally.Grant
	granting time.Duration
}

// responseMsg is a ResponseMsg with the response itself.
type responseMsg struct {
	ResponseMsg
	summary  attemptSummary
	response *targetResponse
}

// failedMsg is a FailedMsg with the data that the call records.
type failedMsg struct {
	FailedMsg
	summary attemptSummary
}

// attemptSummary is what the record of a call stores about the end of an attempt.
type attemptSummary struct {
	outcome hemlocktally.AttemptOutcome
	took    time.Duration
	newLink bool
	sent    bool
	peer    hemlocktally.InstanceID
}

// planMessage returns the part of a message that Plan.Update takes.
func planMessage(msg any) any {
	switch msg := msg.(type) {
	case grantedMsg:
		return msg.GrantedMsg
	case responseMsg:
		return msg.ResponseMsg
	case failedMsg:
		return msg.FailedMsg
	default:
		return msg
	}
}

// targetResponse is a response of a target, either buffered completely or up to
// a bound with the remaining body still to be read.
type targetResponse struct {
	status    int
	header    http.Header
	length    int64 // length is the declared length of the body, or -1.
	buffered  []byte
	remaining io.Reader // remaining is the body behind buffered; nil if buffered is all of it.
	// streamed tells the attempt the outcome of streaming the remaining body.
	streamed chan hemlocktally.AttemptOutcome
}

// run acquires a grant, makes the attempt and releases the grant.
func (a *attempt) run(ctx context.Context) {
	if _, refused := a.checkQuarantine(); refused != nil {
		a.end(GrantRefusedMsg{Attempt: a.number, Error: refused})
		return
	}
	if a.handOver(ctx) || !a.acquireGrant(ctx) {
		return
	}
	result := hemlocktally.GrantResult{
		Grant: a.grant, Contract: a.call.contract.Name, Outcome: hemlocktally.AttemptUnused,
	}
	failed := a.acquireLink(ctx)
	if failed == nil {
		failed = a.sendRequest(ctx, &result)
	}
	if failed != nil {
		result.Unreachable = a.link == nil && failed.Error.Reason == hemlocktally.ReasonTargetFailed
		silent := a.linkSilent()
		if result.Unreachable || silent || brokenOff(failed) {
			a.reportFailure()
		}
		failed.HandOver = a.canHandOver()
		summary := a.release(&result, silent)
		if brokenOff(failed) {
			failed.Crashed = a.checkCrash(ctx, failed.Error.Detail)
		}
		a.end(failedMsg{FailedMsg: *failed, summary: summary})
	}
}

func (a *attempt) acquireGrant(ctx context.Context) bool {
	c := a.call
	verdict, _ := a.checkQuarantine()
	requested := time.Now()
	grant, err := c.dispatcher.Granter.Acquire(ctx, hemlocktally.GrantRequest{
		Call: c.record.Call, Service: c.contract.Service, Contract: c.contract.Name, Priority: c.contract.Priority,
		Kind: a.kind, Deadline: c.deadline, QueueLimit: a.queueLimit(), Exclude: a.exclude,
		Objective: c.started.Add(c.contract.EffectiveObjective()), NonIdempotent: c.contract.NonIdempotent,
		Trial: a.trial(verdict), Customer: c.customer.Name, Late: c.late, Counted: a.counted,
	})
	if err != nil {
		a.end(GrantRefusedMsg{Attempt: a.number, Error: grantError(ctx, err)})
		return false
	}
	// The owner's answer may have told this instance of crashes elsewhere.
	if again, refused := a.checkQuarantine(); refused != nil || again > verdict {
		c.dispatcher.Granter.Release(hemlocktally.GrantResult{Grant: grant, Contract: c.contract.Name, Outcome: hemlocktally.AttemptUnused})
		a.end(GrantRefusedMsg{Attempt: a.number, Error: cmp.Or(refused, quarantinedError())})
		return false
	}
	a.grant, a.begun = grant, true
	c.messages <- grantedMsg{
		GrantedMsg: GrantedMsg{Attempt: a.number, Target: grant.Target.Name}, grant: grant, granting: time.Since(requested),
	}
	return true
}

// queueLimit bounds the wait for a grant. A hedge waits no longer than the p95
// latency of the contract, because a hedge that has to queue is of no use.
func (a *attempt) queueLimit() time.Duration {
	limit := a.call.contract.EffectiveQueueLimit()
	if a.kind != hemlocktally.AttemptHedge {
		return limit
	}
	p95, _ := a.call.dispatcher.latencies.percentile95(a.call.contract.Name, time.Now())
	return min(limit, p95)
}

func grantError(ctx context.Context, err error) *hemlocktally.RefusedError {
	var refused *hemlocktally.RefusedError
	switch {
	case errors.As(err, &refused):
		return refused
	case errors.Is(context.Cause(ctx), errAttemptCancelled):
		return notRunError(hemlocktally.ReasonCallerCancelled, "the caller cancelled before a target was available")
	case ctx.Err() != nil:
		return notRunError(hemlocktally.ReasonDeadline, "the deadline passed before a target was available")
	default:
		return notRunError(hemlocktally.ReasonNoTarget, err.Error())
	}
}

// acquireLink acquires a connection to the target. Nothing is sent before it
// returns nil.
func (a *attempt) acquireLink(ctx context.Context) *FailedMsg {
	c := a.call
	if a.outOfService() {
		return a.failure(ctx, errOutOfService, false)
	}
	startBy := a.startBy()
	link, err := c.dispatcher.Links.Take(ctx, hemlocktally.ConnRequest{
		Target: a.grant.Target, Proven: c.contract.NonIdempotent, Fresh: a.needsFreshLink(), StartBy: startBy, Fence: c.fence,
	})
	if err != nil {
		return a.failure(ctx, err, false)
	}
	a.link = link
	if ctx.Err() != nil {
		return a.failure(ctx, context.Cause(ctx), false)
	}
	a.linkAcquired = time.Now()
	a.silenceTimeout = c.dispatcher.latencies.silenceTimeout(c.contract.Name, c.deadline.Sub(a.linkAcquired), a.linkAcquired)
	return nil
}

// outOfService reports whether the target is out of service or missing in the
// configuration of this instance. An instance whose configuration is older than
// that of the grant follows the grant.
func (a *attempt) outOfService() bool {
	config := a.call.dispatcher.Configuration.Current()
	if config.Revision < a.grant.Revision {
		return false
	}
	service, _ := config.Service(a.grant.Service)
	if len(service.Targets) == 0 {
		// The targets register themselves and are not part of the configuration.
		return config.TargetOut(a.grant.Target)
	}
	for _, target := range service.Targets {
		if target.Name == a.grant.Target.Name && target.Address == a.grant.Target.Address {
			return config.TargetOut(target)
		}
	}
	return true
}

// startBy returns the time by which the request must be started: the earliest of
// the call's deadline, the grant's lease end and the grant's deadline.
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

// sendRequest sends the request, checks the response and passes it to the call.
func (a *attempt) sendRequest(ctx context.Context, result *hemlocktally.GrantResult) *FailedMsg {
	stopWatch := a.watchSilence()
	stopUnblock := a.unblockBodyRead(ctx)
	response, err := a.link.RoundTrip(a.targetRequest(ctx))
	received := time.Now()
	stopWatch()
	stopUnblock()
	if err != nil {
		return a.roundTripFailure(ctx, err, result)
	}
	defer func() { _ = response.Body.Close() }()
	headers := a.call.dispatcher.dialect().ReadResponse(response.StatusCode, response.Header)
	if err := a.checkResponseCall(response, headers); err != nil {
		return a.roundTripFailure(ctx, err, result)
	}
	if a.callerNamesCall() && !a.responseProven(headers) {
		headers = hemlocktally.ResponseInfo{} // It may be an earlier response; what it says of the target may be outdated.
	}
	if len(headers.Unreadable) > 0 {
		a.call.dispatcher.Log.Log(logger.EventResponseHeaderUnreadable, logger.Fields{"Service": a.grant.Service, "Target": a.grant.Target.Name, "Headers": headers.Unreadable})
	}
	result.ReportedCold, result.ReportedDraining, result.RetryAfter = headers.Cold, headers.Draining || headers.Leaving, headers.RetryAfter
	result.Load, result.Misdirected, result.ColdFor = headers.Load, headers.Misdirected, headers.ColdFor
	if headers.Limit != nil && !headers.Misdirected {
		result.Limit = &hemlocktally.RateLimit{PerSecond: headers.Limit.PerSecond, Named: headers.Limit.Named, At: received}
	}
	if headers.NotRun {
		result.Outcome = hemlocktally.AttemptRefused
		return &FailedMsg{
			Attempt: a.number, Sent: true, DeclaredNotRun: true, BodyConsumed: a.call.body.consumed.Load(),
			Error: notRunError(hemlocktally.ReasonTargetFailed, fmt.Sprintf("target %s rejected the call without running it", a.grant.Target.Name)),
		}
	}
	return a.deliverResponse(ctx, response, result)
}

// deliverResponse buffers the response and passes it to the call. A response
// within the buffer limit is delivered only once it is complete; the call streams
// the remaining body of a larger one as it arrives.
func (a *attempt) deliverResponse(ctx context.Context, response *http.Response, result *hemlocktally.GrantResult) *FailedMsg {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return a.roundTripFailure(ctx, errors.New("the target switched protocols"), result)
	}
	a.call.memory.reserveHead(response.Header)
	buffered, complete, err := a.bufferResponse(response)
	if err == nil && closeDelimited(response) && !a.call.dispatcher.dialect().AllowsCloseDelimited() {
		err = errors.New("the response has neither Content-Length nor chunked encoding, so truncation can't be detected")
	}
	if err != nil {
		return a.brokenResponse(ctx, err, result)
	}
	delivered := &targetResponse{status: response.StatusCode, header: response.Header, length: response.ContentLength, buffered: buffered}
	result.Outcome = outcomeForStatus(response.StatusCode)
	if closeDelimited(response) && complete {
		delivered.length = int64(len(buffered))
	}
	msg := responseMsg{ResponseMsg: ResponseMsg{Attempt: a.number, Status: response.StatusCode, Final: a.peer != ""}, response: delivered}
	if complete {
		msg.Buffered = true
		result.ResponseBytes = int64(len(buffered))
		msg.summary = a.release(result, false)
		a.end(msg)
		return nil
	}
	rest, releaseRest, err := a.remainingBody(response, len(buffered))
	if err != nil {
		return a.brokenResponse(ctx, err, result)
	}
	defer releaseRest()
	counted := &countingReader{reader: rest}
	delivered.remaining = counted
	delivered.streamed = make(chan hemlocktally.AttemptOutcome, 1)
	result.Latency = time.Since(a.linkAcquired)
	msg.summary = a.summarize(*result)
	a.end(msg)
	a.awaitStreamed(ctx, delivered, counted, result)
	return nil
}

// countingReader counts the bytes that are read.
type countingReader struct {
	reader io.Reader
	bytes  atomic.Int64
}

// Read reads from the underlying reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.bytes.Add(int64(n))
	return n, err
}

// brokenResponse returns the message for a response that could not be read completely.
func (a *attempt) brokenResponse(ctx context.Context, err error, result *hemlocktally.GrantResult) *FailedMsg {
	failed := a.roundTripFailure(ctx, err, result)
	if failed.Error.Reason == hemlocktally.ReasonTargetFailed {
		failed.Error.Reason = hemlocktally.ReasonAnswerBroken
	}
	return failed
}

// awaitStreamed waits until the call has streamed the remaining body or has
// cancelled the attempt.
func (a *attempt) awaitStreamed(ctx context.Context, response *targetResponse, remaining *countingReader, result *hemlocktally.GrantResult) {
	select {
	case result.Outcome = <-response.streamed:
	case <-ctx.Done():
		result.Outcome = hemlocktally.AttemptCancelled
		select {
		case result.Outcome = <-response.streamed:
		default:
		}
	}
	result.ResponseBytes = int64(len(response.buffered)) + remaining.bytes.Load()
	a.release(result, false)
	if result.Outcome == hemlocktally.AttemptFailed && a.peer == "" {
		a.checkCrash(ctx, "the response broke off while it was streamed")
	}
}

func outcomeForStatus(status int) hemlocktally.AttemptOutcome {
	if status >= http.StatusInternalServerError {
		return hemlocktally.AttemptFailed
	}
	return hemlocktally.AttemptDone
}

// release releases the connection and the grant, and returns the summary of the
// attempt for the call's record. silent marks the connection as dead.
func (a *attempt) release(result *hemlocktally.GrantResult, silent bool) attemptSummary {
	if a.link != nil || a.peer != "" {
		result.Latency = time.Since(a.linkAcquired)
	}
	summary := a.summarize(*result)
	if a.peer != "" {
		return summary // The other instance had the grant.
	}
	a.released = true
	if a.link != nil {
		a.link.Release(silent)
	}
	result.Counted = a.call.countShared.Load()
	a.call.dispatcher.Granter.Release(*result)
	if result.Outcome == hemlocktally.AttemptDone {
		a.recordCompletion()
	}
	return summary
}

func (a *attempt) summarize(result hemlocktally.GrantResult) attemptSummary {
	summary := attemptSummary{outcome: result.Outcome, took: result.Latency, sent: a.peer != "", peer: a.peer}
	if a.link != nil {
		summary.newLink, summary.sent = a.link.New(), a.link.Sent()
	}
	return summary
}
