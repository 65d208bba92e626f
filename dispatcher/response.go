package dispatcher

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"hemlocktally"
)

// closeDelimited reports whether the end of a response is marked only by the close
// of its connection, so that a truncated response would look complete.
func closeDelimited(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Request.Method != http.MethodHead
}

// bufferResponse reads the body of a response, up to one byte more than the limit, or less if
// the memory budget allows no more. It reports whether this is all of it. It returns an error if
// the body is truncated.
func (a *attempt) bufferResponse(response *http.Response) (buffered []byte, complete bool, err error) {
	length := response.ContentLength
	if response.Request.Method == http.MethodHead {
		length = 0
	}
	return a.call.memory.readUpTo(response.Body, length, a.call.dispatcher.BufferLimit, true)
}

// forwardResponse sends the response of an attempt to the caller.
func (c *call) forwardResponse(a *attempt) {
	response := a.response
	c.record.Status = response.status
	c.record.Outcome = hemlocktally.OutcomeDone
	c.extendWriteDeadline()
	c.writeHeader(response.status, response.header, response.length)
	if response.remaining == nil {
		c.writeBuffered(response)
		return
	}
	streamStarted := time.Now()
	outcome := c.stream(response, a.destination())
	response.streamed <- outcome
	a.cancel(errAttemptCancelled)
	c.record.Serving += time.Since(streamStarted)
	c.record.Attempts[a.number-1].Outcome = outcome
}

func (c *call) writeBuffered(response *targetResponse) {
	c.keptResponse = &hemlocktally.StoredResponse{Status: response.status, Header: c.writer.Header().Clone(), Body: response.buffered}
	if _, err := c.writer.Write(response.buffered); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		c.callerWriteFailed(err)
	}
}

// writeHeader writes status and headers of a response. Trailers are not forwarded.
func (c *call) writeHeader(status int, from http.Header, length int64) {
	header := c.writer.Header()
	forwarded := maps.Clone(from)
	stripHopByHop(forwarded)
	c.dispatcher.dialect().WriteResponse(forwarded, c.record.Call)
	if c.forwarded != nil {
		deleteForwardHeaders(forwarded) // A target must not make its response look like a refusal of this instance.
	}
	maps.Copy(header, forwarded)
	switch {
	case status == http.StatusNoContent:
		header.Del("Content-Length")
	case length >= 0 && status != http.StatusNotModified:
		header["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	c.writer.WriteHeader(status)
	c.responseStarted = true
}

const streamBufferBytes = 32 << 10

// stream forwards a large response as it arrives from a target or another instance.
func (c *call) stream(response *targetResponse, from string) hemlocktally.AttemptOutcome {
	if _, err := c.writer.Write(response.buffered); err != nil {
		return c.callerWriteFailed(err)
	}
	c.memory.reserveBuffer()
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := response.remaining.Read(buffer)
		if n > 0 {
			if werr := c.writePart(buffer[:n]); werr != nil {
				return c.callerWriteFailed(werr)
			}
		}
		if errors.Is(err, io.EOF) {
			return outcomeForStatus(response.status)
		}
		if err != nil {
			c.reportMalformed(from, err)
			c.truncate(unknownOutcomeError(hemlocktally.ReasonAnswerBroken, err.Error()))
			return hemlocktally.AttemptFailed
		}
	}
}

func (c *call) writePart(part []byte) error {
	c.extendWriteDeadline()
	if _, err := c.writer.Write(part); err != nil {
		return err
	}
	return c.controller.Flush()
}

// pipelinedWriter is a response writer whose response may have to wait for earlier
// responses on the same connection.
type pipelinedWriter interface {
	// AwaitTurn waits until the response may be written; false means never.
	AwaitTurn() bool
}

// extendWriteDeadline bounds how long the caller may take to accept the next part.
// In a pipeline it first waits until the response may be written. The deadline is
// not cleared, so that it covers the last flush; the next response sets a new one.
func (c *call) extendWriteDeadline() {
	if pipelined, ok := c.writer.(pipelinedWriter); ok {
		pipelined.AwaitTurn()
	}
	_ = c.controller.SetWriteDeadline(time.Now().Add(c.dispatcher.writeTimeout()))
}

func (c *call) callerWriteFailed(err error) hemlocktally.AttemptOutcome {
	c.truncate(unknownOutcomeError(hemlocktally.ReasonCallerCancelled, err.Error()))
	return hemlocktally.AttemptCancelled
}

// truncate records that the response can't be forwarded completely. The outcome
// stays Done if the target's response was complete.
func (c *call) truncate(refused *hemlocktally.RefusedError) {
	c.record.Reason = refused.Reason
	c.record.Detail = refused.Detail
	if c.keptResponse == nil {
		c.record.Outcome = refused.Outcome
	}
	c.truncated = true
}

// recordMessage copies the data of an attempt's message into the call's record.
func (c *call) recordMessage(msg any) {
	switch msg := msg.(type) {
	case HandedOverMsg:
		c.busyTime.begin(time.Now())
	case grantedMsg:
		c.busyTime.begin(time.Now())
		r := &c.record.Attempts[msg.Attempt-1]
		r.Grant, r.Owner, r.Target, r.Zone = msg.grant.ID, msg.grant.Owner, msg.grant.Target.Name, msg.grant.Target.Zone
		r.Alone, r.Cold, r.Waited = msg.grant.Alone, msg.grant.Cold, msg.grant.Waited
		r.HeldBy = msg.grant.HeldBy
		if r.Kind != hemlocktally.AttemptHedge {
			c.record.Granting += msg.granting
			c.record.Queue += msg.grant.Waited
		}
	case responseMsg:
		c.recordEnd(msg.Attempt, msg.summary, "")
		c.attempts[msg.Attempt-1].response = msg.response
		c.busyTime.end(time.Now())
		c.record.Serving = c.servingTime(msg.summary)
		if msg.summary.outcome == hemlocktally.AttemptDone {
			c.dispatcher.latencies.record(c.contract.Name, msg.summary.took, time.Now())
		}
	case failedMsg:
		c.busyTime.end(time.Now())
		c.recordEnd(msg.Attempt, msg.summary, msg.Error.Detail)
	case GrantRefusedMsg:
		c.recordEnd(msg.Attempt, attemptSummary{outcome: hemlocktally.AttemptUnused}, msg.Error.Error())
	}
}

// servingTime returns how long targets worked on the call: with a single attempt
// from acquiring its connection to its response, otherwise the time in which at
// least one attempt held a grant.
func (c *call) servingTime(winner attemptSummary) time.Duration {
	if len(c.attempts) == 1 {
		return winner.took
	}
	return max(winner.took, c.busyTime.total(time.Now()))
}

// busyTime sums the time in which at least one attempt held a grant.
type busyTime struct {
	running int
	since   time.Time
	sum     time.Duration
}

func (b *busyTime) begin(now time.Time) {
	if b.running == 0 {
		b.since = now
	}
	b.running++
}

func (b *busyTime) end(now time.Time) {
	b.running--
	if b.running == 0 {
		b.sum += now.Sub(b.since)
	}
}

// total returns the sum up to now.
func (b *busyTime) total(now time.Time) time.Duration {
	if b.running == 0 {
		return b.sum
	}
	return b.sum + now.Sub(b.since)
}

func (c *call) recordEnd(attempt int, summary attemptSummary, detail string) {
	r := &c.record.Attempts[attempt-1]
	r.Peer = summary.peer
	r.Outcome, r.Took, r.NewLink, r.BytesOut, r.Detail = summary.outcome, summary.took, summary.newLink, summary.sent, detail
}
