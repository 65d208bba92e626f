package acceptor

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"hemlocktally/logger"
)

// contain handles the panic of a handler, if there was one. Without it, net/http would close the
// connection, and the requests behind this one would lose their responses. The response becomes
// 502, which leaves open whether the request was executed. If it was started, the connection has
// to be closed, so that the response can't look complete.
func (p *Pipeline) contain(w *closingWriter, cause any) {
	if cause == nil {
		return
	}
	if abortsConnection(cause) {
		panic(cause)
	}
	stack := debug.Stack()
	if ahead, ok := cause.(*aheadPanic); ok {
		cause, stack = ahead.cause, ahead.stack
	}
	p.panics.Add(1)
	p.Log.Log(logger.EventHandlerPanicked, logger.Fields{"Call": "", "Cause": fmt.Sprint(cause), "Stack": string(stack)})
	if w.headerWritten {
		panic(http.ErrAbortHandler)
	}
	clear(w.Header())
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusBadGateway)
}

// abortsConnection reports whether a handler panicked in order to close the connection.
func abortsConnection(cause any) bool {
	err, ok := cause.(error)
	return ok && errors.Is(err, http.ErrAbortHandler)
}

// aheadPanic is the panic of a handler that served a request ahead, in a goroutine of its own.
type aheadPanic struct {
	cause any
	stack []byte
}

// caughtAhead returns the value with which the panic of a handler is repeated.
func caughtAhead(cause any) any {
	if cause == nil || abortsConnection(cause) {
		return cause
	}
	return &aheadPanic{cause: cause, stack: debug.Stack()}
}

// Panics returns how many panics of handlers were contained.
func (p *Pipeline) Panics() uint64 { return p.panics.Load() }
