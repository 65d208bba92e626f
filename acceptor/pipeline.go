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
)

// Defaults of what one connection may have open at once.
const (
	DefaultDepth = 8        // DefaultDepth is how many requests of one connection are served at once.
	DefaultBytes = 64 << 10 // DefaultBytes bounds what is read ahead of the request that is served, in bytes.
)

const awaitInterval = 5 * time.Millisecond // awaitInterval is the time between two checks whether requests are still ahead.

// Pipeline is the handler of callers' connections. Some callers send further
// requests before the first one has its answer. Those that are idempotent are
// read ahead and served side by side; their answers leave in the order of the
// requests, each whole. What must not run twice waits until all before it have
// their answers, and what stands behind it waits for it.
//
// net/http reads and answers each request as ever; the connection below it keeps
// what was read ahead, and the handler hands over the answer that is already in
// the making. Its zero value serves with the defaults and reads nothing ahead.
type Pipeline struct {
	Handler http.Handler
	// Idempotent reports whether a request may be served before those ahead of it
	// have their answers; nil means that none may.
	Idempotent func(*http.Request) bool
	Depth      int // Depth is how many requests of one connection are served at once; zero means DefaultDepth.
	Bytes      int // Bytes bounds what is read ahead on one connection; zero means DefaultBytes.
	Log        logger.Logger

	leaving atomic.Bool
	open    atomic.Int64  // open counts the requests that were read ahead and have no answer yet.
	ahead   atomic.Uint64 // ahead counts the requests that were read ahead.
}

type connKey struct{}

// SetUp makes the server answer by the pipeline.
func (p *Pipeline) SetUp(server *http.Server) {
	server.Handler = p
	server.DisableGeneralOptionsHandler = true // Each request has to reach the pipeline.
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if ahead, ok := c.(*aheadConn); ok {
			ctx = context.WithValue(ctx, connKey{}, ahead)
			ahead.open(ctx)
		}
		return ctx
	}
}

// Listener returns the listener with connections that can be read ahead.
func (p *Pipeline) Listener(listener net.Listener) net.Listener {
	return aheadListener{Listener: listener, pipeline: p}
}

type aheadListener struct {
	net.Listener
	pipeline *Pipeline
}

// Accept returns the next connection.
func (l aheadListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if c, ok := accepted.(*conn); ok {
		return &aheadConn{conn: c, pipeline: l.pipeline}, nil
	}
	return accepted, nil
}

// Leave ends the reading ahead and closes each connection with the next answer
// that has none behind it in the making.
func (p *Pipeline) Leave() { p.leaving.Store(true) }

// AwaitAnswers waits until all that was read ahead has its answer.
func (p *Pipeline) AwaitAnswers(ctx context.Context) {
	ticker := time.NewTicker(awaitInterval)
	defer ticker.Stop()
	for p.open.Load() > 0 && ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// ReadAhead returns how many requests were read ahead so far.
func (p *Pipeline) ReadAhead() uint64 { return p.ahead.Load() }

func (p *Pipeline) depth() int { return cmp.Or(p.Depth, DefaultDepth) }

func (p *Pipeline) bytes() int { return cmp.Or(p.Bytes, DefaultBytes) }

// ServeHTTP serves a request, or hands over the answer of one that was read
// ahead.
func (p *Pipeline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*aheadConn)
	if !ok {
		p.Handler.ServeHTTP(w, r)
		return
	}
	ahead := c.begin(r)
	defer c.end()
	w = &answerWriter{ResponseWriter: w, conn: c}
	if ahead == nil {
		p.Handler.ServeHTTP(w, r)
		return
	}
	if !ahead.matches(r) {
		p.Log.Log(logger.EventAheadDiffers, logger.Fields{"Caller": r.RemoteAddr, "Path": r.URL.Path, "Ahead": ahead.request.URL.Path})
		panic(http.ErrAbortHandler)
	}
	// The body was read with the head. Once it is read here too, net/http looks
	// for the end of the connection.
	_, _ = io.Copy(io.Discard, r.Body)
	ahead.answer(w)
}

// answerWriter decides with the head of an answer whether it is the connection's
// last one.
type answerWriter struct {
	http.ResponseWriter
	conn  *aheadConn
	begun bool
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the head of the answer.
func (w *answerWriter) WriteHeader(status int) {
	if !w.begun && status >= http.StatusOK {
		w.begun = true
		if w.conn.closes() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the answer's body.
func (w *answerWriter) Write(part []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(part)
}
