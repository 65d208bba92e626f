package acceptor

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"hemlocktally/logger"
	"hemlocktally/reserver"
)

// Default limits of one connection.
const (
	DefaultMaxConcurrent  = 8        // DefaultMaxConcurrent is how many requests of one connection are served at once.
	DefaultReadAheadBytes = 64 << 10 // DefaultReadAheadBytes is the maximum number of bytes read ahead of the request that is served.
)

const awaitInterval = 5 * time.Millisecond // awaitInterval is the time between two checks for open requests.

// Pipeline serves HTTP/1.1 connections with pipelined requests, which callers send
// before the response to the first one. Idempotent requests are read ahead and
// served concurrently; their responses are written completely and in the order of
// the requests. A non-idempotent request waits until all requests before it have
// their responses, and later requests wait for it.
//
// net/http reads and responds to each request as usual. The connection below it
// buffers what was read ahead, and ServeHTTP hands over the response that is
// already being produced. The zero value uses the default limits and reads nothing
// ahead.
type Pipeline struct {
	Handler http.Handler
	// Idempotent reports whether a request may be served before earlier ones have
	// their responses; nil means that none may.
	Idempotent        func(*http.Request) bool
	MaxConcurrent     int // MaxConcurrent is how many requests of one connection are served at once; zero means DefaultMaxConcurrent.
	MaxReadAheadBytes int // MaxReadAheadBytes is the maximum number of bytes read ahead on one connection; zero means DefaultReadAheadBytes.
	Log               logger.Logger
	// Reserver bounds what callers make the instance hold; nil means no bound.
	Reserver *reserver.Reserver
	// HeadLimit returns the maximum size of a head in bytes. If it is nil or returns zero, the
	// server's own limit applies.
	HeadLimit func() int

	leaving   atomic.Bool
	open      atomic.Int64  // open counts the requests that were read ahead and whose handlers still run.
	readAhead atomic.Uint64 // readAhead counts all requests that were read ahead.
	panics    atomic.Uint64 // panics counts the panics of handlers that were contained.
}

type connKey struct{}

// ConfigureServer configures the server to serve requests with the pipeline. Its listener
// must come from Listener.
func (p *Pipeline) ConfigureServer(server *http.Server) {
	server.Handler = p
	server.DisableGeneralOptionsHandler = true // Every request must reach the pipeline.
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if ahead, ok := c.(*aheadConn); ok {
			ctx = context.WithValue(ctx, connKey{}, ahead)
			ctx = reserver.WithHolder(ctx, ahead.holder)
			ahead.open(ctx)
		}
		return ctx
	}
}

// Listener returns a listener whose connections support reading ahead. It must
// wrap a Listener of this package; other connections are not read ahead.
func (p *Pipeline) Listener(listener net.Listener) net.Listener {
	return aheadListener{Listener: listener, pipeline: p}
}

type aheadListener struct {
	net.Listener
	pipeline *Pipeline
}

// Accept returns the next connection. It closes connections that have no place in the budget.
func (l aheadListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, ok := accepted.(*conn)
		if !ok {
			return accepted, nil
		}
		ahead := &aheadConn{conn: c, pipeline: l.pipeline}
		if ahead.reserve() {
			return ahead, nil
		}
		_ = c.Close()
	}
}

// StopReadAhead stops reading ahead of requests that arrive from now on, and closes each
// connection after the next response that is not followed by another one in progress.
func (p *Pipeline) StopReadAhead() { p.leaving.Store(true) }

// AwaitResponses waits until all requests that were read ahead have been handled or
// ctx ends.
func (p *Pipeline) AwaitResponses(ctx context.Context) {
	ticker := time.NewTicker(awaitInterval)
	defer ticker.Stop()
	for p.open.Load() > 0 && ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// ReadAheadCount returns the number of requests that were read ahead so far.
func (p *Pipeline) ReadAheadCount() uint64 { return p.readAhead.Load() }

func (p *Pipeline) depth() int { return cmp.Or(p.MaxConcurrent, DefaultMaxConcurrent) }

func (p *Pipeline) bytes() int { return cmp.Or(p.MaxReadAheadBytes, DefaultReadAheadBytes) }

// ServeHTTP serves a request, or hands over the response to one that was read
// ahead.
func (p *Pipeline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*aheadConn)
	if !ok {
		p.Handler.ServeHTTP(w, r)
		return
	}
	ahead := c.begin(r)
	defer c.end()
	closing := &closingWriter{ResponseWriter: w, conn: c}
	defer func() { p.contain(closing, recover()) }()
	if ahead == nil {
		p.Handler.ServeHTTP(closing, r)
		return
	}
	if !ahead.matches(r) {
		p.Log.Log(logger.EventReadAheadMismatch, logger.Fields{"Caller": r.RemoteAddr, "Path": r.URL.Path, "Ahead": ahead.request.URL.Path})
		panic(http.ErrAbortHandler)
	}
	// The body was already read ahead. Once it is read here too, net/http starts to
	// watch for the close of the connection.
	_, _ = io.Copy(io.Discard, r.Body)
	ahead.writeTo(closing)
}

// closingWriter sets "Connection: close" on the last response of a connection.
type closingWriter struct {
	http.ResponseWriter
	conn          *aheadConn
	headerWritten bool
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes status and headers of the response.
func (w *closingWriter) WriteHeader(status int) {
	final := status >= http.StatusOK
	if final && !w.headerWritten && w.conn.closes() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
	w.headerWritten = w.headerWritten || final // An invalid status has panicked before this line.
}

// BeginStream prepares for a response that is written before it is complete; see
// aheadConn.beginStream.
func (w *closingWriter) BeginStream() bool { return w.conn.beginStream(nil) }

// Write writes a part of the response body.
func (w *closingWriter) Write(part []byte) (int, error) {
	if !w.headerWritten {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(part)
}
