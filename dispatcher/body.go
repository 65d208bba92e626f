package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"hemlocktally"
)

// requestBody is the body of a caller's request. A small one is held, so that it
// can be sent again; a large one is passed on as it arrives, once.
type requestBody struct {
	held   []byte
	length int64       // length is the declared length, or -1.
	rest   io.Reader   // rest follows the held part of a large body.
	spent  atomic.Bool // spent is set once a streamed body was read from.
	ended  atomic.Bool // ended is set once all of it was read.
	failed atomic.Pointer[hemlocktally.RefusedError]
}

// readBody holds the body up to the limit.
func (c *call) readBody() *hemlocktally.RefusedError {
	c.body = &requestBody{length: c.request.ContentLength}
	if c.request.Body == nil || c.request.Body == http.NoBody {
		return nil
	}
	limit := c.dispatcher.BodyLimit
	if declared := c.config.Limits.BodyBytes; declared > 0 {
		limit = declared
	}
	if c.request.ContentLength > limit {
		return tooLarge(limit)
	}
	source := &callerBody{call: c, from: http.MaxBytesReader(c.writer, c.request.Body, limit)}
	held, err := io.ReadAll(io.LimitReader(source, c.dispatcher.HoldBack+1))
	if err != nil {
		return bodyError(err)
	}
	c.body.held = held
	if int64(len(held)) > c.dispatcher.HoldBack {
		c.body.rest = source
		return nil
	}
	c.body.length = int64(len(held))
	return nil
}

func tooLarge(limit int64) *hemlocktally.RefusedError {
	return notRun(hemlocktally.ReasonTooLarge, fmt.Sprintf("the body is over %d bytes", limit))
}

func bodyError(err error) *hemlocktally.RefusedError {
	var limit *http.MaxBytesError
	if errors.As(err, &limit) {
		return tooLarge(limit.Limit)
	}
	return notRun(hemlocktally.ReasonBadRequest, "the body could not be read: "+err.Error())
}

// streamed reports whether the body is passed on as it arrives.
func (b *requestBody) streamed() bool { return b.rest != nil }

// open returns the body for one attempt.
func (b *requestBody) open() io.ReadCloser {
	switch {
	case b.streamed():
		return &streamedBody{body: b, reader: io.MultiReader(bytes.NewReader(b.held), b.rest)}
	case len(b.held) == 0:
		return http.NoBody
	default:
		return io.NopCloser(bytes.NewReader(b.held))
	}
}

// streamedBody is the one pass over a large body.
type streamedBody struct {
	body   *requestBody
	reader io.Reader
}

// Read passes on what the caller sends, and notes why that broke off.
func (s *streamedBody) Read(p []byte) (int, error) {
	s.body.spent.Store(true)
	n, err := s.reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.body.failed.Store(bodyError(err))
	}
	return n, err
}

// Close leaves the caller's body to the server, which owns it.
func (s *streamedBody) Close() error { return nil }

// callerBody reads what the caller sends; each read must bring something in
// time.
type callerBody struct {
	call  *call
	from  io.Reader
	armed time.Time
}

// Read sets the limit for this part of the body, and lifts it at the end, so
// that the wait for the answer is not bound by it.
func (b *callerBody) Read(p []byte) (int, error) {
	const rearmEvery = time.Second
	if now := time.Now(); now.Sub(b.armed) > rearmEvery {
		b.armed = now
		_ = b.call.control.SetReadDeadline(now.Add(b.call.dispatcher.readTimeout()))
	}
	n, err := b.from.Read(p)
	if errors.Is(err, io.EOF) {
		b.call.body.ended.Store(true)
		_ = b.call.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// releaseBody ends a read from the caller when the attempt is stopped: net/http
// returns from a round trip only once the body is no longer read. It returns a
// function that undoes this.
func (a *attempt) releaseBody(ctx context.Context) func() {
	body := a.call.body
	if !body.streamed() {
		return func() {}
	}
	stop := context.AfterFunc(ctx, func() {
		if !body.ended.Load() {
			_ = a.call.control.SetReadDeadline(time.Now())
		}
	})
	return func() { stop() }
}
