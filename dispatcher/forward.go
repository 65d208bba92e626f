package dispatcher

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"hemlocktally"
	"hemlocktally/reserver"
)

// A call that another instance handed over names it, the revision of its configuration, how long
// it had the call, in microseconds, and how many targets the call may be sent to.
const forwardedFields = 4

const (
	// maxForwarded limits the calls of other instances that are served at the same time.
	maxForwarded = 1024
	// maxElapsed limits how long another instance may have had a call.
	maxElapsed      = time.Hour
	maxRefusalBytes = 16 << 10
)

// forwardedCall is what the instance that handed a call over says of it.
type forwardedCall struct {
	from     hemlocktally.InstanceID
	revision hemlocktally.Revision
	elapsed  time.Duration
	targets  int
}

// ServeForwarded serves a call that another instance handed over.
func (d *Dispatcher) ServeForwarded(w http.ResponseWriter, r *http.Request) {
	defer d.forwarded.Add(-1)
	open := d.forwarded.Add(1)
	from, err := parseForwarded(r.Header.Get(hemlocktally.HeaderForwarded))
	r.Header.Del(hemlocktally.HeaderForwarded)
	d.serveContained(w, r, func(c *call) {
		c.forwarded = &from
		c.memory.holder = d.Peers
		c.started = c.started.Add(-from.elapsed)
		switch {
		case err != nil:
			c.refuse(notRunError(hemlocktally.ReasonBadRequest, err.Error()))
		case open > maxForwarded:
			c.refuse(notRunError(hemlocktally.ReasonShed, "too many calls of other instances are open"))
		case !c.memory.reserve(reserver.RequestCost):
			c.refuse(notRunError(hemlocktally.ReasonOverloaded, (&hemlocktally.OverloadError{}).Error()))
		case d.stopping():
			c.refuse(notRunError(hemlocktally.ReasonLeaving, "the instance is leaving"))
		default:
			c.admitAndServe()
		}
	})
}

// Forwarded returns how many calls of other instances are being served.
func (d *Dispatcher) Forwarded() int64 { return d.forwarded.Load() }

func parseForwarded(text string) (forwardedCall, error) {
	fields := strings.Split(text, ";")
	if len(fields) != forwardedFields {
		return forwardedCall{}, errors.New("the header " + hemlocktally.HeaderForwarded + " is malformed")
	}
	revision, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return forwardedCall{}, err
	}
	microseconds, err := strconv.ParseUint(fields[2], 10, 63)
	if err != nil {
		return forwardedCall{}, err
	}
	targets, err := strconv.ParseUint(fields[3], 10, 16)
	if err != nil {
		return forwardedCall{}, err
	}
	elapsed := min(time.Duration(min(microseconds, uint64(maxElapsed/time.Microsecond)))*time.Microsecond, maxElapsed)
	return forwardedCall{from: hemlocktally.InstanceID(fields[0]), revision: hemlocktally.Revision(revision), elapsed: elapsed, targets: max(1, int(targets))}, nil
}

// olderThanForwarder reports whether the instance that handed the call over applies a newer
// configuration. Its callers must not be served by an older one.
func (c *call) olderThanForwarder() bool {
	return c.forwarded != nil && c.config.Revision < c.forwarded.revision
}

// attemptLimit returns how many targets the call may be sent to.
func (c *call) attemptLimit() int {
	if c.forwarded != nil {
		return min(c.contract.AttemptLimit(), c.forwarded.targets)
	}
	return c.contract.AttemptLimit()
}

// handOver hands the call over to another instance if this one reaches no target of the service.
// It reports whether the attempt has ended.
func (a *attempt) handOver(ctx context.Context) bool {
	c := a.call
	d := c.dispatcher
	if !a.isolated() {
		return false
	}
	if c.forwarded != nil {
		a.end(GrantRefusedMsg{Attempt: a.number, Error: isolatedError()})
		return true
	}
	if d.Forwarder == nil || c.body.consumed.Load() {
		return false
	}
	a.linkAcquired = time.Now()
	a.begun = true
	c.messages <- HandedOverMsg{Attempt: a.number}
	response, peer, err := d.Forwarder.Forward(ctx, func(address string) *http.Request { return a.peerRequest(ctx, address) })
	a.peer = peer
	if err != nil {
		return a.handOverFailed(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if refused := readForwardedRefusal(response); refused != nil {
		a.endForwarded(&FailedMsg{
			Attempt: a.number, Error: refused, Sent: true, DeclaredNotRun: refused.Outcome == hemlocktally.OutcomeNotRun, Final: true,
		}, hemlocktally.AttemptRefused)
		return true
	}
	result := hemlocktally.GrantResult{Contract: c.contract.Name, Outcome: hemlocktally.AttemptFailed}
	if failed := a.deliverResponse(ctx, response, &result); failed != nil {
		failed.Final = true
		a.endForwarded(failed, result.Outcome)
	}
	return true
}

// canHandOver reports whether the next attempt would be handed over.
func (a *attempt) canHandOver() bool {
	return a.call.dispatcher.Forwarder != nil && a.call.forwarded == nil && a.isolated()
}

// isolated reports whether this instance reaches hardly any target of the call's service.
func (a *attempt) isolated() bool {
	r := a.call.dispatcher.Reachability
	return r != nil && r.Isolated(a.call.contract.Service)
}

// handOverFailed ends the attempt, or reports that this instance tries itself: no other one took
// the call, so that the targets rather than its own network may be at fault.
func (a *attempt) handOverFailed(ctx context.Context, err error) bool {
	var forwardError *hemlocktally.ForwardError
	if !errors.As(err, &forwardError) {
		forwardError = &hemlocktally.ForwardError{Sent: true, Cause: err}
	}
	switch {
	case forwardError.Sent || ctx.Err() != nil:
		failed := a.failure(ctx, err, forwardError.Sent)
		failed.Final = true
		a.endForwarded(failed, hemlocktally.AttemptFailed)
	case a.call.body.consumed.Load():
		a.endForwarded(&FailedMsg{Attempt: a.number, Error: isolatedError(), BodyConsumed: true, Final: true}, hemlocktally.AttemptUnused)
	default:
		a.peer = ""
		return false
	}
	return true
}

func (a *attempt) endForwarded(failed *FailedMsg, outcome hemlocktally.AttemptOutcome) {
	summary := attemptSummary{outcome: outcome, took: time.Since(a.linkAcquired), sent: failed.Sent, peer: a.peer}
	a.end(failedMsg{FailedMsg: *failed, summary: summary})
}

func isolatedError() *hemlocktally.RefusedError {
	return notRunError(hemlocktally.ReasonIsolated, "the instance reaches hardly any target either")
}

// peerRequest builds the request to another instance: the caller's, but for the headers of its
// connection. It returns nil if the body can't be sent again.
func (a *attempt) peerRequest(ctx context.Context, address string) *http.Request {
	c := a.call
	if c.body.consumed.Load() {
		return nil
	}
	out := (&http.Request{
		Method: c.request.Method, Host: c.request.Host, URL: c.requestURL(address), Header: c.endToEndHeader(),
		Body: c.body.open(), ContentLength: c.body.length,
	}).WithContext(ctx)
	out.Header[hemlocktally.HeaderForwarded] = []string{strings.Join([]string{
		string(c.dispatcher.InstanceID), strconv.FormatUint(uint64(c.config.Revision), 10), strconv.FormatInt(time.Since(c.started).Microseconds(), 10),
		strconv.Itoa(a.targetsLeft),
	}, ";")}
	return out
}

// writeForwardedRefusal tells the instance that handed the call over that the response is a
// refusal.
func (c *call) writeForwardedRefusal(refused *hemlocktally.RefusedError) {
	if c.forwarded == nil {
		return
	}
	header := c.writer.Header()
	header.Set(hemlocktally.HeaderForwardOutcome, string(refused.Outcome))
	header.Set(hemlocktally.HeaderForwardReason, string(refused.Reason))
	header.Set(hemlocktally.HeaderForwardRetryAfter, strconv.FormatInt(refused.RetryAfter.Microseconds(), 10))
}

func deleteForwardHeaders(header http.Header) {
	for _, name := range []string{hemlocktally.HeaderForwardOutcome, hemlocktally.HeaderForwardReason, hemlocktally.HeaderForwardRetryAfter} {
		header.Del(name)
	}
}

// readForwardedRefusal returns the refusal that the response of another instance is, or nil if it
// is a target's response.
func readForwardedRefusal(response *http.Response) *hemlocktally.RefusedError {
	header := response.Header
	outcome := hemlocktally.Outcome(header.Get(hemlocktally.HeaderForwardOutcome))
	if outcome == "" {
		return nil
	}
	refused := &hemlocktally.RefusedError{Outcome: outcome, Reason: hemlocktally.Reason(header.Get(hemlocktally.HeaderForwardReason))}
	if microseconds, err := strconv.ParseUint(header.Get(hemlocktally.HeaderForwardRetryAfter), 10, 63); err == nil {
		refused.RetryAfter = min(time.Duration(min(microseconds, uint64(maxElapsed/time.Microsecond)))*time.Microsecond, maxElapsed)
	}
	var body hemlocktally.Refusal
	if json.NewDecoder(io.LimitReader(response.Body, maxRefusalBytes)).Decode(&body) == nil {
		refused.Detail = string(body.Instance) + ": " + body.Detail
	}
	return refused
}

// requestURL returns the URL of the caller's request at another address, with the path as the
// caller sent it.
func (c *call) requestURL(address string) *url.URL {
	from := c.request
	out := &url.URL{
		Scheme: "http", Host: address, Path: from.URL.Path, RawPath: from.URL.RawPath,
		RawQuery: from.URL.RawQuery, ForceQuery: from.URL.ForceQuery,
	}
	path, _, _ := strings.Cut(from.RequestURI, "?")
	if strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") {
		out.Opaque = path
	}
	return out
}

// endToEndHeader returns a copy of the caller's header without what concerns its connection.
func (c *call) endToEndHeader() http.Header {
	const addedHeaders = 5
	header := make(http.Header, len(c.request.Header)+addedHeaders)
	for name, values := range c.request.Header {
		header[name] = values
	}
	stripHopByHop(header)
	delete(header, "Expect")
	if header["User-Agent"] == nil {
		header["User-Agent"] = []string{""} // An empty value keeps net/http from setting its own.
	}
	return header
}
