package acceptor

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// aheadCall is a request that was read ahead and is being served. It is also the
// response writer of its handler: whatever touches the answer waits until all
// answers before it have left, so the handler holds at most what it would write
// next.
type aheadCall struct {
	request *http.Request
	cancel  context.CancelFunc
	turn    chan struct{}       // turn is closed when the answer may leave.
	writer  http.ResponseWriter // writer is the connection's, once it is the call's turn.
	done    chan struct{}       // done is closed when the handler has returned.
	failure any                 // failure is what the handler panicked with.
	lost    atomic.Bool         // lost is set where the connection ended before the turn.
	begun   atomic.Bool         // begun is set once the handler has begun its answer.
}

// serveAhead starts to serve a request of the connection.
func (c *aheadConn) serveAhead(request *http.Request) *aheadCall {
	ctx, cancel := context.WithCancel(c.ctx)
	request = request.WithContext(ctx)
	request.RemoteAddr = c.RemoteAddr().String()
	call := &aheadCall{request: request, cancel: cancel, turn: make(chan struct{}), done: make(chan struct{})}
	c.pipeline.ahead.Add(1)
	c.pipeline.open.Add(1)
	go func() {
		defer c.pipeline.open.Add(-1)
		defer close(call.done)
		defer cancel()
		defer func() {
			call.failure = recover()
			if ctx.Err() != nil && !call.begun.Load() {
				call.lost.Store(true) // It has given up, and net/http would take that for an empty answer.
			}
		}()
		c.pipeline.Handler.ServeHTTP(call, request)
	}()
	return call
}

// matches reports whether the call is the one that the server has read.
func (a *aheadCall) matches(r *http.Request) bool {
	return a.request.Method == r.Method && a.request.RequestURI == r.RequestURI && a.request.Host == r.Host &&
		len(a.request.Header) == len(r.Header)
}

// answer lets the call's answer leave by the writer, and waits for its end. A
// failure of its handler goes on in the caller, so that the connection is cut, as
// it is where the handler has given up before the turn.
func (a *aheadCall) answer(w http.ResponseWriter) {
	a.writer = w
	close(a.turn)
	<-a.done
	if a.failure != nil {
		panic(a.failure)
	}
	if a.lost.Load() {
		panic(http.ErrAbortHandler)
	}
}

// AwaitTurn waits until the answer may leave. It reports false where the
// connection was lost before that.
func (a *aheadCall) AwaitTurn() bool {
	select {
	case <-a.turn:
		return true
	default:
	}
	select {
	case <-a.turn:
		return true
	case <-a.request.Context().Done():
		a.lost.Store(true)
		return false
	}
}

// Header returns the answer's headers once it may leave.
func (a *aheadCall) Header() http.Header {
	if !a.AwaitTurn() {
		return http.Header{}
	}
	return a.writer.Header()
}

// WriteHeader writes the head of the answer.
func (a *aheadCall) WriteHeader(status int) {
	if a.AwaitTurn() {
		a.begun.Store(true)
		a.writer.WriteHeader(status)
	}
}

// Write writes a part of the answer's body.
func (a *aheadCall) Write(part []byte) (int, error) {
	if !a.AwaitTurn() {
		return 0, net.ErrClosed
	}
	a.begun.Store(true)
	return a.writer.Write(part)
}

// SetReadDeadline does nothing: the body was read with the head.
func (a *aheadCall) SetReadDeadline(time.Time) error { return nil }

// Unwrap returns the connection's writer, for http.ResponseController.
func (a *aheadCall) Unwrap() http.ResponseWriter {
	if !a.AwaitTurn() {
		return nil
	}
	return a.writer
}
