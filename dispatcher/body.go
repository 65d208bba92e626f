package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"hemlocktally"
	"hemlocktally/reserver"
)

// requestBody is the body of a caller's request. A small body is buffered, so
// that it can be sent again; a large one is streamed and can be sent only once.
type requestBody struct {
	buffered    []byte
	length      int64       // length is the declared length, or -1.
	remaining   io.Reader   // remaining follows the buffered part of a large body.
	consumed    atomic.Bool // consumed is set once a streamed body was read from.
	complete    atomic.Bool // complete is set once the body was read to its end.
	interrupted atomic.Bool // interrupted is set once a read was interrupted because its attempt ended.
	readError   atomic.Pointer[hemlocktally.RefusedError]

	reading    sync.Mutex // reading is held during a read from the caller.
	deadlines  sync.Mutex
	handlerEnd bool // handlerEnd is set when the handler ends; deadlines guards it.
}

// errHandlerEnded ends reads of the body of a call that has ended.
var errHandlerEnded = errors.New("the call has ended")

// setReadDeadline sets the deadline of reads from the caller while the handler runs.
func (c *call) setReadDeadline(at time.Time) {
	c.body.deadlines.Lock()
	defer c.body.deadlines.Unlock()
	if !c.body.handlerEnd {
		_ = c.controller.SetReadDeadline(at)
	}
}

// endBodyReads ends the reads of a streamed body when the handler ends, and waits for a read that
// an attempt is making. net/http does not expect reads after that: it interrupts a pending one by
// a deadline, and a body that reaches its end at that moment removes the deadline, so that the
// server would wait for ever and a broken response would never end for its caller.
func (c *call) endBodyReads() {
	if c.body == nil || !c.body.streamed() {
		return
	}
	c.body.deadlines.Lock()
	c.body.handlerEnd = true
	if !c.body.complete.Load() || c.truncated {
		_ = c.controller.SetReadDeadline(time.Now()) // It interrupts a read in progress.
	}
	c.body.deadlines.Unlock()
	c.body.reading.Lock()
	defer c.body.reading.Unlock()
	switch {
	case c.truncated || c.body.interrupted.Load(): // The server closes the connection without waiting for the rest of the body.
	case c.body.complete.Load():
		_ = c.controller.SetReadDeadline(time.Time{})
	default:
		_ = c.controller.SetReadDeadline(time.Now().Add(c.dispatcher.readTimeout()))
	}
}

// readBody buffers the body up to Dispatcher.BufferLimit bytes. It refuses a body
// over the size limit, which the configuration may set.
func (c *call) readBody() *hemlocktally.RefusedError {
	c.body = &requestBody{length: c.request.ContentLength}
	if c.request.Body == nil || c.request.Body == http.NoBody {
		return nil
	}
	limit := c.dispatcher.BodyLimit
	if configured := c.config.Limits.BodyBytes; configured > 0 {
		limit = configured
	}
	if c.request.ContentLength > limit {
		return bodyTooLarge(limit)
	}
	source := &callerBody{call: c, reader: http.MaxBytesReader(c.writer, c.request.Body, limit)}
	buffered, complete, err := c.memory.readUpTo(source, c.request.ContentLength, c.dispatcher.BufferLimit, false)
	if err != nil {
		return bodyError(err)
	}
	c.body.buffered = buffered
	switch {
	case complete:
		c.body.length = int64(len(buffered))
	case int64(len(buffered)) > c.dispatcher.BufferLimit:
		c.body.remaining = source
		c.memory.reserveBuffer()
	default:
		c.memory.holder.Note(reserver.KindMemory)
		return bodyError(&hemlocktally.OverloadError{})
	}
	return nil
}

func bodyTooLarge(limit int64) *hemlocktally.RefusedError {
	return notRunError(hemlocktally.ReasonTooLarge, fmt.Sprintf("the request body exceeds %d bytes", limit))
}

func bodyError(err error) *hemlocktally.RefusedError {
	var sizeError *http.MaxBytesError
	if errors.As(err, &sizeError) {
		return bodyTooLarge(sizeError.Limit)
	}
	var overload *hemlocktally.OverloadError
	if errors.As(err, &overload) {
		return notRunError(hemlocktally.ReasonOverloaded, overload.Error())
	}
	return notRunError(hemlocktally.ReasonBadRequest, "reading the request body failed: "+err.Error())
}

// streamed reports whether the body is forwarded as it arrives.
func (b *requestBody) streamed() bool { return b.remaining != nil }

// open returns a reader of the body for one attempt.
func (b *requestBody) open() io.ReadCloser {
	switch {
	case b.streamed():
		return &streamedBody{body: b, reader: io.MultiReader(bytes.NewReader(b.buffered), b.remaining)}
	case len(b.buffered) == 0:
		return http.NoBody
	default:
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
}

// streamedBody reads a large body, which is possible only once.
type streamedBody struct {
	body   *requestBody
	reader io.Reader
}

// Read reads from the caller and records the reason of a failed read.
func (s *streamedBody) Read(p []byte) (int, error) {
	s.body.consumed.Store(true)
	n, err := s.reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.body.readError.Store(bodyError(err))
	}
	return n, err
}

// Close does nothing, because the server owns the caller's body.
func (s *streamedBody) Close() error { return nil }

// callerBody reads the body from the caller with a timeout on each part and a least speed.
type callerBody struct {
	call        *call
	reader      io.Reader
	deadlineSet time.Time
	deadline    time.Time
	received    int64
	waited      time.Duration // waited is the time spent waiting for the caller.
}

// Read sets the read deadline for the next part of the body and clears it at the
// end, so that it doesn't limit the wait for the response.
func (b *callerBody) Read(p []byte) (int, error) {
	const rearmEvery = time.Second
	b.call.body.reading.Lock()
	defer b.call.body.reading.Unlock()
	started := time.Now()
	if started.Sub(b.deadlineSet) > rearmEvery {
		b.deadlineSet, b.deadline = started, started.Add(b.timeLeft())
		b.call.setReadDeadline(b.deadline)
	}
	if b.call.handlerEnded() {
		return 0, errHandlerEnded
	}
	holder := b.call.memory.holder
	holder.Wait(reserver.Receiving)
	n, err := b.reader.Read(p)
	holder.Moved(n)
	b.received += int64(n)
	b.waited += time.Since(started)
	if errors.Is(err, io.EOF) {
		b.call.body.complete.Store(true)
		b.call.setReadDeadline(time.Time{})
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(b.deadline) { // Otherwise unblockBodyRead ended the read.
		holder.Note(reserver.KindBodyRate)
	}
	return n, err
}

func (c *call) handlerEnded() bool {
	c.body.deadlines.Lock()
	defer c.body.deadlines.Unlock()
	return c.body.handlerEnd
}

// timeLeft returns how long the caller may take for the next part: the read timeout, or less if
// the body arrives more slowly than MinBodyRate. Time in which the target takes no more of the
// body is not counted.
func (b *callerBody) timeLeft() time.Duration {
	timeout := b.call.dispatcher.readTimeout()
	rate := b.call.dispatcher.MinBodyRate
	if rate <= 0 {
		return timeout
	}
	allowed := timeout + time.Duration(float64(b.received)/float64(rate)*float64(time.Second))
	return max(0, min(timeout, allowed-b.waited))
}

// unblockBodyRead interrupts a read from the caller when ctx ends, because
// net/http returns from a round trip only once the body is no longer read. The
// returned function stops this.
func (a *attempt) unblockBodyRead(ctx context.Context) func() {
	body := a.call.body
	if !body.streamed() {
		return func() {}
	}
	stop := context.AfterFunc(ctx, func() {
		if !body.complete.Load() {
			body.interrupted.Store(true)
			a.call.setReadDeadline(time.Now())
		}
	})
	return func() { stop() }
}
