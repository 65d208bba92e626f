package acceptor

import (
	"context"
	"net/http"
	"os"
	"sync"
	"time"

	"hemlocktally/logger"
)

// phase is what the bytes that the server reads next belong to.
type phase int

const (
	phaseHead    phase = iota // phaseHead passes a head on, and no byte behind it.
	phaseGiven                // phaseGiven waits for the server to begin with the request.
	phaseBody                 // phaseBody passes the rest of the request's body on.
	phaseServing              // phaseServing reads ahead while the request is served.
	phasePlain                // phasePlain passes everything on: the requests' ends are not known.
)

// aheadConn is a caller's connection. It passes the server one request at a time
// and keeps what was read behind it.
type aheadConn struct {
	*conn
	pipeline *Pipeline
	ctx      context.Context //nolint:containedctx // The calls that are read ahead end with the connection.
	cancel   context.CancelFunc

	mu       sync.Mutex
	changed  chan struct{} // changed is closed at the next change; nil while nobody waits.
	readBy   time.Time     // readBy is the deadline of reads.
	phase    phase
	head     headScan
	bodyLeft int64         // bodyLeft is what the server has not read of the present request's body.
	present  *http.Request // present is the request that is being served; nil between two.
	last     bool          // last is set once an answer says that it is the connection's last one.
	unread   []byte        // unread was read from the socket and not passed on.
	parsed   int           // parsed is how much of unread belongs to the queue.
	stopped  bool          // stopped is set while what stands behind the queue is not served ahead.
	queue    []*aheadCall
	err      error // err ended the reading.
}

// open is called once, before the server reads.
func (c *aheadConn) open(ctx context.Context) { c.ctx, c.cancel = context.WithCancel(ctx) }

// begin tells the connection that the server has the request's head. It returns
// the call where the request was read ahead.
func (c *aheadConn) begin(r *http.Request) *aheadCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.present = r
	var call *aheadCall
	if len(c.queue) > 0 {
		call, c.queue = c.queue[0], c.queue[1:]
	} else {
		c.stopped = false
	}
	switch {
	case c.phase == phasePlain:
	case r.ContentLength < 0:
		c.phase = phasePlain
	default:
		c.bodyLeft = r.ContentLength
		c.settle()
	}
	c.signal()
	return call
}

// end tells the connection that the answer of the present request is written.
func (c *aheadConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.present = nil
	c.settle()
	c.signal()
}

// settle finds the phase where the request's body may have been passed on.
func (c *aheadConn) settle() {
	switch {
	case c.phase == phasePlain:
	case c.bodyLeft > 0:
		c.phase = phaseBody
	case c.present != nil:
		c.phase = phaseServing
		c.readAhead()
	default:
		c.phase, c.head = phaseHead, headScan{}
	}
}

// closes reports whether the answer whose head is to be written is the last one.
func (c *aheadConn) closes() bool {
	if !c.pipeline.leaving.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = c.last || len(c.queue) == 0
	return c.last
}

// readAhead starts the requests that are complete behind those that are served.
func (c *aheadConn) readAhead() {
	p := c.pipeline
	if p.Idempotent == nil || len(c.unread) == c.parsed {
		return
	}
	if len(c.queue) == 0 && (c.present.Close || !c.present.ProtoAtLeast(1, 1) || !p.Idempotent(c.present)) {
		c.stopped = true
	}
	for !c.stopped && !c.last && !p.leaving.Load() && len(c.queue)+1 < p.depth() {
		request, size, found := parseAhead(c.unread[c.parsed:])
		if found == aheadPartial {
			return
		}
		if found == aheadUnfit || !p.Idempotent(request) {
			c.stopped = true
			return
		}
		c.parsed += size
		c.queue = append(c.queue, c.serveAhead(request))
	}
}

// Read passes on what belongs to the present request, and reads ahead while it
// is served.
func (c *aheadConn) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		n := c.take(p)
		err, limit := c.err, c.readLimit(len(p))
		switch {
		case n > 0:
			c.mu.Unlock()
			return n, nil
		case err != nil:
			c.mu.Unlock()
			return 0, err
		case limit == 0:
			if err := c.await(); err != nil {
				return 0, err
			}
			continue
		}
		c.mu.Unlock()
		n, err = c.conn.Read(p[:limit])
		passed := c.received(p[:n], err)
		if passed > 0 || (n == 0 && err != nil) {
			return passed, err
		}
	}
}

// take passes on what was read before.
func (c *aheadConn) take(p []byte) int {
	n := c.pass(p[:copy(p, c.unread)])
	c.unread = c.unread[n:]
	c.parsed = max(0, c.parsed-n)
	if len(c.unread) == 0 {
		c.unread = nil
	}
	c.passed()
	return n
}

// pass returns how much of the bytes belongs to the present request.
func (c *aheadConn) pass(part []byte) int {
	n := 0
	switch c.phase {
	case phaseHead:
		var complete bool
		if n, complete = c.head.feed(part); complete {
			c.phase = phaseGiven
		}
	case phaseBody:
		n = int(min(int64(len(part)), c.bodyLeft))
		c.bodyLeft -= int64(n)
	case phasePlain:
		n = len(part)
	case phaseGiven, phaseServing:
	}
	return n
}

// passed goes on where the present request's body ends.
func (c *aheadConn) passed() {
	if c.phase == phaseBody && c.bodyLeft == 0 {
		c.settle()
	}
}

// readLimit returns how much may be read from the socket now.
func (c *aheadConn) readLimit(asked int) int {
	switch c.phase {
	case phaseGiven:
		return 0
	case phaseServing:
		return max(0, min(asked, c.pipeline.bytes()-len(c.unread)))
	case phaseHead, phaseBody, phasePlain:
	}
	return asked
}

// received takes over what came from the socket and returns how much of it is
// passed on at once. Calls that were read ahead end with the connection.
func (c *aheadConn) received(part []byte, err error) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	if len(c.unread) == 0 {
		n = c.pass(part)
	}
	if n < len(part) {
		c.unread = append(c.unread, part[n:]...)
	}
	c.passed()
	if c.phase == phaseServing {
		c.readAhead()
	}
	if err != nil && !os.IsTimeout(err) {
		c.fail(err)
	}
	return n
}

// fail ends the reading, and the calls that were read ahead.
func (c *aheadConn) fail(err error) {
	c.err = err
	if len(c.queue) > 0 {
		c.pipeline.Log.Log(logger.EventAheadLost, logger.Fields{"Caller": c.RemoteAddr().String(), "Requests": len(c.queue), "Cause": err.Error()})
	}
	c.cancel()
}

// await waits for a change or the read deadline. It is called with the lock held
// and returns without it.
func (c *aheadConn) await() error {
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	changed, readBy := c.changed, c.readBy
	c.mu.Unlock()
	if readBy.IsZero() {
		<-changed
		return nil
	}
	timer := time.NewTimer(time.Until(readBy))
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return os.ErrDeadlineExceeded
	}
}

// signal wakes whoever waits for a change.
func (c *aheadConn) signal() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// SetDeadline sets both deadlines.
func (c *aheadConn) SetDeadline(at time.Time) error {
	c.noteReadBy(at)
	return c.conn.SetDeadline(at)
}

// SetReadDeadline sets the deadline of reads.
func (c *aheadConn) SetReadDeadline(at time.Time) error {
	c.noteReadBy(at)
	return c.conn.SetReadDeadline(at)
}

func (c *aheadConn) noteReadBy(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readBy = at
	c.signal()
}

// Close closes the connection and ends the calls that were read ahead.
func (c *aheadConn) Close() error {
	c.mu.Lock()
	if c.err == nil {
		c.err = os.ErrClosed
	}
	c.signal()
	c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
	return c.conn.Close()
}
