// Package dispatcher is the entry path: it takes a caller's request, matches it
// to a contract, gets a turn on a target, forwards the request there and passes
// the whole answer back.
package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/oklog/ulid/v2"

	"hemlocktally"
)

// Dispatcher serves callers. It implements http.Handler.
type Dispatcher struct {
	Self          hemlocktally.InstanceID
	Configuration hemlocktally.Configurer
	Granter       hemlocktally.Granter
	Claimer       hemlocktally.Claimer // Claimer may be nil: then a keyed call is one that has no key.
	Recorder      hemlocktally.Recorder
	Transport     http.RoundTripper
	BodyLimit     int64 // BodyLimit bounds the body of a request.
	HoldBack      int64 // HoldBack is how much of an answer is held until it is whole.
}

// ServeHTTP serves one call and answers with a refusal where it can't be done.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := d.newCall(w, r)
	defer func() { d.finish(c) }()
	if refused := c.admit(); refused != nil {
		c.refuse(refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if err := c.serve(ctx); err != nil {
		c.refuse(refusalOf(err))
	}
}

func (d *Dispatcher) newCall(w http.ResponseWriter, r *http.Request) *call {
	config := d.Configuration.Current()
	c := &call{dispatcher: d, config: config, writer: w, request: r, started: time.Now()}
	c.record = hemlocktally.CallRecord{
		Call: hemlocktally.CallID(ulid.Make().String()), Method: r.Method, Path: r.URL.Path,
		Started: c.started, Revision: config.Revision,
	}
	return c
}

func (d *Dispatcher) finish(c *call) {
	c.record.Total = time.Since(c.started)
	if d.Recorder != nil {
		d.Recorder.Record(c.record)
	}
	if c.broken {
		// The caller's connection is cut, so that a partial answer can't look whole.
		panic(http.ErrAbortHandler)
	}
}

func refusalOf(err error) *hemlocktally.RefusedError {
	var refused *hemlocktally.RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	return &hemlocktally.RefusedError{
		Outcome: hemlocktally.OutcomeUnknown, Reason: hemlocktally.ReasonTargetFailed, Detail: err.Error(),
	}
}
