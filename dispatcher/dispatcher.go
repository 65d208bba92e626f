// Package dispatcher is the entry path: it takes a caller's request, matches it
// to a contract, gets a turn on a target, forwards the request there and passes
// the whole answer back.
package dispatcher

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"hemlocktally"
	"hemlocktally/logger"
)

// Dispatcher serves callers. It implements http.Handler.
type Dispatcher struct {
	Self          hemlocktally.InstanceID
	Configuration hemlocktally.Configurer
	Starting      hemlocktally.Awaiter // Starting tells when the first configuration is there; nil lets no call wait for it.
	Granter       hemlocktally.Granter
	Claimer       hemlocktally.Claimer // Claimer may be nil: then a keyed call is one that has no key.
	Recorder      hemlocktally.Recorder
	Links         hemlocktally.Linker
	Log           logger.Logger
	Dialect       hemlocktally.Dialect // Dialect is the headers of callers and targets; nil means hemlocktally's own.
	BodyLimit     int64                // BodyLimit bounds the body of a request.
	HoldBack      int64                // HoldBack is how much of a body or an answer is held until it is whole.
	ReadTimeout   time.Duration        // ReadTimeout bounds the wait for more of a caller's body; zero means 10 s.
	WriteTimeout  time.Duration        // WriteTimeout bounds the wait for a caller to take more; zero means 10 s.

	splits     splits
	latencies  latencies
	violations atomic.Uint64
}

const callerTimeout = 10 * time.Second

func (d *Dispatcher) readTimeout() time.Duration {
	if d.ReadTimeout <= 0 {
		return callerTimeout
	}
	return d.ReadTimeout
}

func (d *Dispatcher) writeTimeout() time.Duration {
	if d.WriteTimeout <= 0 {
		return callerTimeout
	}
	return d.WriteTimeout
}

// Violations counts the broken invariants of the entry path.
func (d *Dispatcher) Violations() uint64 { return d.violations.Load() }

// ServeHTTP serves one call and answers with a refusal where it can't be done.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := d.newCall(w, r)
	defer func() { d.finish(c) }()
	if refused := c.admit(); refused != nil {
		c.refuse(refused)
		return
	}
	c.serve()
}

func (d *Dispatcher) newCall(w http.ResponseWriter, r *http.Request) *call {
	config := d.Configuration.Current()
	c := &call{
		dispatcher: d, config: config, writer: w, request: r, started: time.Now(),
		control: http.NewResponseController(w),
	}
	c.record = hemlocktally.CallRecord{
		Call: d.callID(r), Method: r.Method, Path: r.URL.Path,
		Started: c.started, Revision: config.Revision,
	}
	return c
}

// callID returns the caller's own ID of its request, or a new one.
func (d *Dispatcher) callID(r *http.Request) hemlocktally.CallID {
	if id := d.dialect().CallOf(r.Header); id != "" {
		return id
	}
	return newCallID()
}

func newCallID() hemlocktally.CallID { return hemlocktally.CallID(ulid.Make().String()) }

func (d *Dispatcher) finish(c *call) {
	c.record.Total = time.Since(c.started)
	if d.Recorder != nil {
		d.Recorder.Record(c.record)
	}
	d.noteTrouble(c)
	if c.broken {
		// The caller's connection is cut, so that a partial answer can't look whole.
		panic(http.ErrAbortHandler)
	}
}

// violated notes a broken invariant.
func (d *Dispatcher) violated(id hemlocktally.CallID, what string) {
	d.violations.Add(1)
	d.Log.Log(logger.EventEntryInvariant, logger.Fields{"Call": id, "Invariant": what})
}
