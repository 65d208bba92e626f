package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"hemlocktally"
)

// attempt is one try of a call on one target.
type attempt struct {
	call     *call
	number   int
	kind     hemlocktally.AttemptKind
	grant    hemlocktally.Grant
	started  time.Time
	bytesOut atomic.Bool // bytesOut is set once any byte may have reached the target.
	newLink  atomic.Bool
	result   hemlocktally.GrantResult
}

// run gets a turn, makes the attempt and gives the turn back.
func (a *attempt) run(ctx context.Context, exclude []hemlocktally.TargetName) error {
	c := a.call
	asked := time.Now()
	grant, err := c.dispatcher.Granter.Acquire(ctx, hemlocktally.GrantRequest{
		Call: c.record.Call, Service: c.contract.Service, Contract: c.contract.Name, Priority: c.contract.Priority,
		Kind: a.kind, Deadline: c.deadline, QueueLimit: c.contract.QueueBound(), Exclude: exclude,
	})
	c.record.Granting += time.Since(asked)
	if err != nil {
		return grantError(ctx, err)
	}
	a.grant = grant
	a.started = time.Now()
	a.result = hemlocktally.GrantResult{Grant: grant, Contract: c.contract.Name, Outcome: hemlocktally.AttemptUnused}
	c.record.Queue += grant.Waited
	err = a.forward(ctx)
	a.result.Latency = time.Since(a.started)
	c.dispatcher.Granter.Release(a.result)
	a.note(err)
	return err
}

func grantError(ctx context.Context, err error) error {
	var refused *hemlocktally.RefusedError
	if errors.As(err, &refused) {
		return err
	}
	if ctx.Err() != nil {
		return notRun(hemlocktally.ReasonDeadline, "the deadline passed before a target was free")
	}
	return notRun(hemlocktally.ReasonNoTarget, err.Error())
}

func (a *attempt) note(err error) {
	c := a.call
	record := hemlocktally.AttemptRecord{
		Kind: a.kind, Grant: a.grant.ID, Owner: a.grant.Owner, Target: a.grant.Target.Name, Zone: a.grant.Target.Zone,
		Alone: a.grant.Alone, Cold: a.grant.Cold, Started: a.started.Sub(c.started), Took: a.result.Latency,
		Waited: a.grant.Waited, Outcome: a.result.Outcome, NewLink: a.newLink.Load(), BytesOut: a.bytesOut.Load(),
	}
	if err != nil {
		record.Detail = err.Error()
	}
	c.record.Attempts = append(c.record.Attempts, record)
}

// forward sends the request and passes the answer back.
func (a *attempt) forward(ctx context.Context) error {
	request := a.outgoing(ctx)
	response, err := a.call.dispatcher.Transport.RoundTrip(request)
	if err != nil {
		return a.sendError(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	a.readTargetState(response)
	if response.Header.Get(hemlocktally.HeaderNotRun) == "true" {
		a.result.Outcome = hemlocktally.AttemptRefused
		return notRun(hemlocktally.ReasonTargetFailed, fmt.Sprintf("target %s refused the call", a.grant.Target.Name))
	}
	return a.pass(ctx, response)
}

func (a *attempt) readTargetState(response *http.Response) {
	switch hemlocktally.TargetState(response.Header.Get(hemlocktally.HeaderTargetState)) {
	case hemlocktally.TargetCold:
		a.result.SaidCold = true
	case hemlocktally.TargetDraining:
		a.result.SaidDraining = true
	case hemlocktally.TargetWarm, hemlocktally.TargetGone:
	}
}

func (a *attempt) outgoing(ctx context.Context) *http.Request {
	c := a.call
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { a.newLink.Store(!info.Reused) },
		// The hook runs before the first write, so that a written byte is never missed.
		WroteHeaderField: func(string, []string) { a.bytesOut.Store(true) },
	}
	out := c.request.Clone(httptrace.WithClientTrace(ctx, trace))
	out.URL.Scheme = "http"
	out.URL.Host = a.grant.Target.Address
	out.RequestURI = ""
	out.Close = false
	out.Body = c.newBody()
	out.ContentLength = int64(len(c.body))
	out.TransferEncoding = nil
	out.Trailer = nil
	out.GetBody = nil
	stripHopByHop(out.Header)
	out.Header.Del("Authorization")
	a.setOwnHeaders(out.Header)
	return out
}

func (a *attempt) setOwnHeaders(header http.Header) {
	c := a.call
	header.Set(hemlocktally.HeaderCall, string(c.record.Call))
	header.Set(hemlocktally.HeaderAttempt, strconv.Itoa(a.number))
	header.Set(hemlocktally.HeaderDepth, strconv.Itoa(c.depth+1))
	left := max(1, time.Until(c.deadline).Milliseconds())
	header.Set(hemlocktally.HeaderDeadline, strconv.FormatInt(left, 10))
}

func (a *attempt) sendError(ctx context.Context, err error) error {
	outcome := hemlocktally.OutcomeNotRun
	a.result.Outcome = hemlocktally.AttemptUnused
	if a.bytesOut.Load() {
		outcome = hemlocktally.OutcomeUnknown
		a.result.Outcome = hemlocktally.AttemptFailed
	}
	reason := hemlocktally.ReasonTargetFailed
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = hemlocktally.ReasonDeadline
		a.result.Outcome = hemlocktally.AttemptTimedOut
	case ctx.Err() != nil:
		reason = hemlocktally.ReasonCallerCancelled
		a.result.Outcome = hemlocktally.AttemptCancelled
	}
	return &hemlocktally.RefusedError{
		Outcome: outcome, Reason: reason, Detail: fmt.Sprintf("target %s: %v", a.grant.Target.Name, err),
	}
}

// pass hands the answer to the caller. What fits into the hold-back buffer is
// passed on only when it is whole.
func (a *attempt) pass(ctx context.Context, response *http.Response) error {
	var held bytes.Buffer
	n, err := io.CopyN(&held, response.Body, a.call.dispatcher.HoldBack+1)
	if err != nil && !errors.Is(err, io.EOF) {
		return a.broken(ctx, err)
	}
	whole := n <= a.call.dispatcher.HoldBack
	a.result.Outcome = hemlocktally.AttemptDone
	if response.StatusCode >= http.StatusInternalServerError {
		a.result.Outcome = hemlocktally.AttemptFailed
	}
	a.writeHead(response)
	if _, err := a.call.writer.Write(held.Bytes()); err != nil {
		return a.callerGone(err)
	}
	if !whole {
		if err := a.stream(ctx, response.Body); err != nil {
			return err
		}
	}
	a.call.record.Outcome = hemlocktally.OutcomeDone
	a.call.record.Status = response.StatusCode
	a.call.record.Serving = time.Since(a.started)
	return nil
}

func (a *attempt) broken(ctx context.Context, err error) error {
	failed := a.sendError(ctx, err)
	var refused *hemlocktally.RefusedError
	if errors.As(failed, &refused) && refused.Reason == hemlocktally.ReasonTargetFailed {
		refused.Reason = hemlocktally.ReasonAnswerBroken
	}
	return failed
}

func (a *attempt) writeHead(response *http.Response) {
	c := a.call
	header := c.writer.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	stripHopByHop(header)
	header.Set(hemlocktally.HeaderCall, string(c.record.Call))
	header.Set(hemlocktally.HeaderOutcome, string(hemlocktally.OutcomeDone))
	if response.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	c.answered = true
	c.writer.WriteHeader(response.StatusCode)
}

const streamBufferBytes = 32 << 10

// stream passes on the rest of a large answer.
func (a *attempt) stream(ctx context.Context, body io.Reader) error {
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, werr := a.call.writer.Write(buffer[:n]); werr != nil {
				return a.callerGone(werr)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return a.broken(ctx, err)
		}
	}
}

func (a *attempt) callerGone(err error) error {
	a.result.Outcome = hemlocktally.AttemptCancelled
	return &hemlocktally.RefusedError{
		Outcome: hemlocktally.OutcomeUnknown, Reason: hemlocktally.ReasonCallerCancelled, Detail: err.Error(),
	}
}
