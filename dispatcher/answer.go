package dispatcher

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"hemlocktally"
)

// endless reports whether the end of an answer is marked by nothing but the end
// of its connection, so that a broken one would look whole.
func endless(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Request.Method != http.MethodHead
}

// readHeld reads an answer up to one byte more than the bound. The error says
// that the answer broke off.
func readHeld(response *http.Response, bound int64) ([]byte, error) {
	const usual = 4 << 10
	size := min(bound, usual)
	if n := response.ContentLength; n >= 0 && n <= bound && response.Request.Method != http.MethodHead {
		size = n
	}
	held := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	_, err := held.ReadFrom(io.LimitReader(response.Body, bound+1))
	return held.Bytes(), err
}

// pass hands the answer of an attempt to the caller.
func (c *call) pass(a *attempt) {
	answer := a.answer
	c.record.Status = answer.status
	c.record.Outcome = hemlocktally.OutcomeDone
	c.answered = true
	c.armWrite()
	c.writeHead(answer.status, answer.header, answer.length)
	if answer.rest == nil {
		c.passWhole(answer)
		return
	}
	streaming := time.Now()
	outcome := c.stream(answer)
	answer.ended <- outcome
	a.cancel(errLost)
	c.record.Serving += time.Since(streaming)
	c.record.Attempts[a.number-1].Outcome = outcome
}

func (c *call) passWhole(answer *targetAnswer) {
	c.kept = &hemlocktally.KeptAnswer{Status: answer.status, Header: c.writer.Header().Clone(), Body: answer.held}
	if _, err := c.writer.Write(answer.held); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		c.callerFailed(err)
	}
}

// writeHead writes status and header of an answer. Trailers are not passed on.
func (c *call) writeHead(status int, from http.Header, length int64) {
	header := c.writer.Header()
	passed := maps.Clone(from)
	stripHopByHop(passed)
	c.dispatcher.dialect().WriteAnswer(passed, c.record.Call)
	maps.Copy(header, passed)
	switch {
	case status == http.StatusNoContent:
		header.Del("Content-Length")
	case length >= 0 && status != http.StatusNotModified:
		header["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	c.writer.WriteHeader(status)
}

const streamBufferBytes = 32 << 10

// stream passes on a large answer as it arrives.
func (c *call) stream(answer *targetAnswer) hemlocktally.AttemptOutcome {
	if _, err := c.writer.Write(answer.held); err != nil {
		return c.callerFailed(err)
	}
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := answer.rest.Read(buffer)
		if n > 0 {
			if werr := c.writePart(buffer[:n]); werr != nil {
				return c.callerFailed(werr)
			}
		}
		if errors.Is(err, io.EOF) {
			return outcomeOf(answer.status)
		}
		if err != nil {
			c.breakOff(unknown(hemlocktally.ReasonAnswerBroken, err.Error()))
			return hemlocktally.AttemptFailed
		}
	}
}

func (c *call) writePart(part []byte) error {
	c.armWrite()
	if _, err := c.writer.Write(part); err != nil {
		return err
	}
	return c.control.Flush()
}

// turnTaker is a response writer whose answer may have to wait for others.
type turnTaker interface {
	// AwaitTurn waits until the answer may leave; false means that it never will.
	AwaitTurn() bool
}

// armWrite bounds how long the caller may take to accept the next part, once it
// is the answer's turn. The bound stays in force for the last flush; the next answer sets its own.
func (c *call) armWrite() {
	if t, ok := c.writer.(turnTaker); ok {
		t.AwaitTurn()
	}
	_ = c.control.SetWriteDeadline(time.Now().Add(c.dispatcher.writeTimeout()))
}

func (c *call) callerFailed(err error) hemlocktally.AttemptOutcome {
	c.breakOff(unknown(hemlocktally.ReasonCallerCancelled, err.Error()))
	return hemlocktally.AttemptCancelled
}

// breakOff ends an answer that can't be passed on whole. The work itself is
// done where the target's answer was whole.
func (c *call) breakOff(refused *hemlocktally.RefusedError) {
	c.record.Reason = refused.Reason
	c.record.Detail = refused.Detail
	if c.kept == nil {
		c.record.Outcome = refused.Outcome
	}
	c.broken = true
}

// note takes what a message says of an attempt into the record of the call.
func (c *call) note(msg any) {
	switch msg := msg.(type) {
	case grantedMsg:
		c.busy.begin(time.Now())
		r := &c.record.Attempts[msg.Attempt-1]
		r.Grant, r.Owner, r.Target, r.Zone = msg.grant.ID, msg.grant.Owner, msg.grant.Target.Name, msg.grant.Target.Zone
		r.Alone, r.Cold, r.Waited = msg.grant.Alone, msg.grant.Cold, msg.grant.Waited
		if r.Kind != hemlocktally.AttemptHedge {
			c.record.Granting += msg.granting
			c.record.Queue += msg.grant.Waited
		}
	case answeredMsg:
		c.noteEnd(msg.Attempt, msg.trace, "")
		c.attempts[msg.Attempt-1].answer = msg.answer
		c.busy.end(time.Now())
		c.record.Serving = c.served(msg.trace)
		if msg.trace.outcome == hemlocktally.AttemptDone {
			c.dispatcher.latencies.record(c.contract.Name, msg.trace.took, time.Now())
		}
	case failedMsg:
		c.busy.end(time.Now())
		c.noteEnd(msg.Attempt, msg.trace, msg.Error.Detail)
	case GrantRefusedMsg:
		c.noteEnd(msg.Attempt, attemptTrace{outcome: hemlocktally.AttemptUnused}, msg.Error.Error())
	}
}

// served is how long targets were at work on the call: for a single attempt
// from its link to its answer, else the time in which any attempt had a turn.
func (c *call) served(winner attemptTrace) time.Duration {
	if len(c.attempts) == 1 {
		return winner.took
	}
	return max(winner.took, c.busy.at(time.Now()))
}

// busyTime adds up the time in which at least one attempt had a turn.
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

// at returns the sum up to now.
func (b *busyTime) at(now time.Time) time.Duration {
	if b.running == 0 {
		return b.sum
	}
	return b.sum + now.Sub(b.since)
}

func (c *call) noteEnd(attempt int, trace attemptTrace, detail string) {
	r := &c.record.Attempts[attempt-1]
	r.Outcome, r.Took, r.NewLink, r.BytesOut, r.Detail = trace.outcome, trace.took, trace.newLink, trace.sent, detail
}
