package acceptor

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// aheadCall is a request that was read ahead and is being served. It is also the
// response writer of its handler. Every access to the response blocks until all
// earlier responses have been written, so the handler buffers at most its next
// write.
type aheadCall struct {
	conn       *aheadConn
	request    *http.Request
	cancel     context.CancelFunc
	turn       chan struct{}       // turn is closed when the response may be written.
	writer     http.ResponseWriter // writer is the connection's response writer, set when turn is closed.
	done       chan struct{}       // done is closed when the handler has returned.
	panicValue any                 // panicValue is the value with which the handler panicked, or nil.
	lost       atomic.Bool         // lost is set if the connection ended before the turn.
	started    atomic.Bool         // started is set once the handler has started its response.
}

// serveAhead starts the handler of a request that was read ahead.
// What was reserved for it is released when its handler has returned.
func (c *aheadConn) serveAhead(request *http.Request, reserved int64) *aheadCall {
	ctx, cancel := context.WithCancel(c.ctx)
	request = request.WithContext(ctx)
	request.RemoteAddr = c.RemoteAddr().String()
	call := &aheadCall{conn: c, request: request, cancel: cancel, turn: make(chan struct{}), done: make(chan struct{})}
	c.pipeline.readAhead.Add(1)
	c.pipeline.open.Add(1)
	go func() {
		defer c.pipeline.open.Add(-1)
		defer c.holder.Release(reserved)
		defer close(call.done)
		defer cancel()
		defer func() {
			call.panicValue = caughtAhead(recover())
			if ctx.Err() != nil && !call.started.Load() {
				// The handler has given up; without this, net/http would send an empty
				// response.
				call.lost.Store(true)
			}
		}()
		c.pipeline.Handler.ServeHTTP(call, request)
	}()
	return call
}

// matches reports whether the request that was read ahead is the one that the
// server has read now.
func (a *aheadCall) matches(r *http.Request) bool {
	return a.request.Method == r.Method && a.request.RequestURI == r.RequestURI && a.request.Host == r.Host &&
		len(a.request.Header) == len(r.Header)
}

// writeTo allows the handler to write its response to w, and waits until it has
// returned. A panic of the handler is repeated here, where it is contained or closes the
// connection. That is also closed if the handler gave up before its turn.
func (a *aheadCall) writeTo(w http.ResponseWriter) {
	a.writer = w
	close(a.turn)
	<-a.done
	if a.panicValue != nil {
		panic(a.panicValue)
	}
	if a.lost.Load() {
		panic(http.ErrAbortHandler)
	}
}

// AwaitTurn waits until the response may be written. It returns false if the
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

// BeginStream prepares for a response that is written before it is complete; see
// aheadConn.beginStream.
func (a *aheadCall) BeginStream() bool { return a.conn.beginStream(a) }

// Header returns the headers of the response once it may be written. If the
// connection was lost before, they are headers that nobody reads.
func (a *aheadCall) Header() http.Header {
	if !a.AwaitTurn() {
		return http.Header{}
	}
	return a.writer.Header()
}

// WriteHeader writes status and headers of the response.
func (a *aheadCall) WriteHeader(status int) {
	if a.AwaitTurn() {
		a.started.Store(true)
		a.writer.WriteHeader(status)
	}
}

// Write writes a part of the response body. It returns net.ErrClosed if the
// connection was lost before the turn.
func (a *aheadCall) Write(part []byte) (int, error) {
	if !a.AwaitTurn() {
		return 0, net.ErrClosed
	}
	a.started.Store(true)
	return a.writer.Write(part)
}

// SetReadDeadline does nothing, because the body was read together with the
// headers.
func (a *aheadCall) SetReadDeadline(time.Time) error { return nil }

// Unwrap returns the connection's response writer, for http.ResponseController.
// It returns nil if the connection was lost before the turn.
func (a *aheadCall) Unwrap() http.ResponseWriter {
	if !a.AwaitTurn() {
		return nil
	}
	return a.writer
}
