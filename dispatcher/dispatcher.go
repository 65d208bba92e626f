// Package dispatcher is the request path: it accepts a caller's request, matches
// it to a contract, acquires a grant on a target, forwards the request there and
// returns the response.
//
// A small request body is buffered, so that the call can be retried. A small
// response is buffered, so that a truncated one is retried or refused instead of
// forwarded. Larger bodies are streamed.
package dispatcher

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"hemlocktally"
	"hemlocktally/logger"
	"hemlocktally/reserver"
)

// Dispatcher serves callers. It implements http.Handler.
type Dispatcher struct {
	InstanceID         hemlocktally.InstanceID
	Configuration      hemlocktally.ConfigurationSource
	FirstConfiguration hemlocktally.StartupWaiter // FirstConfiguration waits for the first configuration; if nil, calls without one are refused at once.
	Granter            hemlocktally.Granter
	Claimer            hemlocktally.Claimer // Claimer claims idempotency keys; if nil, a call with a key runs like one without.
	Recorder           hemlocktally.Recorder
	Links              hemlocktally.ConnPool
	CrashDetector      hemlocktally.CrashDetector // CrashDetector finds out whether a target that broke off a call has crashed; if nil, that is not known.
	Quarantine         hemlocktally.Quarantine    // Quarantine holds back requests that crash targets; it may be nil.
	Reachability       hemlocktally.Reachability  // Reachability learns of connections that fail; it may be nil.
	Forwarder          hemlocktally.Forwarder     // Forwarder hands over the calls of services whose targets can't be reached; it may be nil.
	StopsAt            func() time.Time           // StopsAt returns when a stopping instance closes its connections, and zero while it does not stop; it may be nil.
	Log                logger.Logger
	Dialect            hemlocktally.HeaderCodec // Dialect is the header protocol of callers and targets; nil means hemlocktally's own.
	BodyLimit          int64                    // BodyLimit is the maximum size of a request body in bytes, unless the configuration sets one.
	BufferLimit        int64                    // BufferLimit is the size in bytes up to which a request or response body is buffered; larger ones are streamed.
	ReadTimeout        time.Duration            // ReadTimeout bounds the wait for the next part of a request body; zero means 10 s.
	MinBodyRate        int64                    // MinBodyRate is the least speed of a request body in bytes per second, after ReadTimeout; zero means none.
	Peers              *reserver.Holder         // Peers reserves memory for the calls of other instances; it may be nil.
	WriteTimeout       time.Duration            // WriteTimeout bounds the wait for the caller to accept the next part of a response; zero means 10 s.

	// EarlyHedges allows the second attempt of a call to start as early as its objective
	// requires, in configurations that weigh the zones.
	EarlyHedges bool

	interrupt  interrupt
	splitter   trafficSplitter
	latencies  latencies
	waited     waitedTracker
	held       heldBytes
	violations atomic.Uint64
	forwarded  atomic.Int64  // forwarded counts the open calls of other instances.
	crashes    atomic.Uint64 // crashes counts the attempts that ended with a crash of their target.
	malformed  atomic.Uint64 // malformed counts the malformed and incomplete responses.
	panics     atomic.Uint64 // panics counts the panics that were contained.
}

const defaultCallerTimeout = 10 * time.Second

func (d *Dispatcher) readTimeout() time.Duration {
	if d.ReadTimeout <= 0 {
		return defaultCallerTimeout
	}
	return d.ReadTimeout
}

func (d *Dispatcher) writeTimeout() time.Duration {
	if d.WriteTimeout <= 0 {
		return defaultCallerTimeout
	}
	return d.WriteTimeout
}

// Violations returns the number of broken invariants so far.
func (d *Dispatcher) Violations() uint64 { return d.violations.Load() }

// ServeHTTP serves one call. It responds with a refusal if the call can't be
// served, and panics with http.ErrAbortHandler to cut the connection if a response
// could not be forwarded completely.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.serveContained(w, r, (*call).admitAndServe)
}

func (c *call) admitAndServe() {
	if refused := c.admit(); refused != nil {
		c.refuse(refused)
		return
	}
	if c.mayOutliveStop() {
		c.refuse(notRunError(hemlocktally.ReasonLeaving, "the instance stops before the call's deadline"))
		return
	}
	c.serve()
}

func (d *Dispatcher) newCall(w http.ResponseWriter, r *http.Request) *call {
	config := d.Configuration.Current()
	c := &call{
		dispatcher: d, config: config, writer: w, request: r, started: time.Now(),
		controller: http.NewResponseController(w),
	}
	c.memory.holder = reserver.FromContext(r.Context())
	c.record = hemlocktally.CallRecord{
		Call: d.callID(r), Method: r.Method, Path: r.URL.Path,
		Started: c.started, Revision: config.Revision,
	}
	return c
}

// callID returns the ID that the caller gave its request, or a new one.
func (d *Dispatcher) callID(r *http.Request) hemlocktally.CallID {
	if id := d.dialect().CallID(r.Header); id != "" {
		return id
	}
	return newCallID()
}

func newCallID() hemlocktally.CallID { return hemlocktally.CallID(ulid.Make().String()) }

func (d *Dispatcher) finish(c *call) {
	c.endBodyReads()
	c.record.Total = time.Since(c.started)
	c.record.Late = c.contract.Objective > 0 && c.record.Total > c.contract.Objective
	c.memory.end()
	if d.Recorder != nil {
		d.Recorder.Record(c.record)
	}
	d.logUnusualCall(c)
	if c.truncated {
		// Cut the caller's connection, so that a partial response can't look complete.
		panic(http.ErrAbortHandler)
	}
}

// reportViolation counts and logs a broken invariant.
func (d *Dispatcher) reportViolation(id hemlocktally.CallID, what string) {
	d.violations.Add(1)
	d.Log.Log(logger.EventCallInvariant, logger.Fields{"Call": id, "Invariant": what})
}
