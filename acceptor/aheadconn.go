package acceptor

import (
	"context"
	"errors"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"hemlocktally/logger"
	"hemlocktally/reserver"
)

// phase tells to which part of a request the bytes belong that the server reads
// next.
type phase int

const (
	phaseHead          phase = iota // phaseHead delivers request line and headers, and no byte after them.
	phaseHeadDelivered              // phaseHeadDelivered waits until the server starts to handle the request.
	phaseBody                       // phaseBody delivers the remaining request body.
	phaseServing                    // phaseServing reads ahead while the request is served.
	phasePassthrough                // phasePassthrough delivers everything, because the end of the request is unknown.
)

// aheadConn is a caller's connection. It delivers one request at a time to the
// server and buffers what was read after it.
type aheadConn struct {
	*conn
	pipeline *Pipeline
	holder   *reserver.Holder // holder reserves what the caller makes the instance hold.
	ctx      context.Context  //nolint:containedctx // Requests that were read ahead are cancelled with the connection.
	cancel   context.CancelFunc

	mu            sync.Mutex
	changed       chan struct{} // changed is closed at the next state change; nil while nobody waits.
	readDeadline  time.Time     // readDeadline is the deadline of reads; zero means none.
	phase         phase
	head          headScan
	bodyRemaining int64         // bodyRemaining is the number of body bytes of the current request not yet delivered.
	current       *http.Request // current is the request that is being served; nil between two requests.
	last          bool          // last is set once a response announces the close of the connection.
	unread        []byte        // unread holds bytes that were read from the socket but not delivered.
	beforeStop    int           // beforeStop is the number of bytes of unread that arrived before the pipeline began to shut down.
	parsed        int           // parsed is the number of bytes of unread that belong to the requests in queue.
	stopped       bool          // stopped is set while the next request after the queue must not be served ahead.
	queue         []*aheadCall  // queue holds the requests that were read ahead, in order.
	err           error         // err is the error that ended reading.
	refused       headRefusal   // refused is why the current head is refused; its zero value lets it pass.
	headHeld      int64         // headHeld is what is reserved for the current request and its head.
	unreadHeld    int64         // unreadHeld is what is reserved for unread.
}

// open sets the context of the connection. It is called once, before the server
// reads.
func (c *aheadConn) open(ctx context.Context) { c.ctx, c.cancel = context.WithCancel(ctx) }

// begin records that the server starts to handle a request. It returns the
// aheadCall if the request was read ahead, otherwise nil.
func (c *aheadConn) begin(r *http.Request) *aheadCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = r
	var call *aheadCall
	if len(c.queue) > 0 {
		call, c.queue = c.queue[0], c.queue[1:]
	} else {
		c.stopped = false
	}
	switch {
	case c.phase == phasePassthrough:
	case r.ContentLength < 0:
		c.phase = phasePassthrough
	default:
		c.bodyRemaining = r.ContentLength
		c.updatePhase()
	}
	c.signal()
	return call
}

// end records that the response to the current request was written.
func (c *aheadConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = nil
	c.releaseHead()
	c.updatePhase()
	c.signal()
}

// updatePhase determines the phase after a request was started or ended, or after
// its body was delivered.
func (c *aheadConn) updatePhase() {
	switch {
	case c.phase == phasePassthrough:
	case c.bodyRemaining > 0:
		c.phase = phaseBody
	case c.current != nil:
		c.phase = phaseServing
		c.readAhead()
	default:
		c.phase, c.head = phaseHead, headScan{}
	}
}

// closes reports whether the next response must be the last one on the
// connection: the pipeline is shutting down and no request is queued.
func (c *aheadConn) closes() bool {
	if !c.pipeline.leaving.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = c.last || len(c.queue) == 0
	return c.last
}

// beginStream reports whether the response to the call, or to the current request if call
// is nil, may be written before it is complete. It may not while later requests are being
// served: if the response breaks off, their responses are lost with the connection. Otherwise
// no further request is served ahead until that response has ended.
func (c *aheadConn) beginStream(call *aheadCall) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if behind := c.queue[slices.Index(c.queue, call)+1:]; len(behind) > 0 {
		return false
	}
	c.stopped = true
	return true
}

// readAhead starts the requests that are completely received after those that are
// being served.
func (c *aheadConn) readAhead() {
	p := c.pipeline
	if p.Idempotent == nil || len(c.unread) == c.parsed {
		return
	}
	if len(c.queue) == 0 && (c.current.Close || !c.current.ProtoAtLeast(1, 1) || !p.Idempotent(c.current)) {
		c.stopped = true
	}
	for !c.stopped && !c.last && len(c.queue)+1 < p.depth() {
		request, size, found := parseAhead(c.unread[c.parsed:])
		if found == aheadPartial {
			return
		}
		if found == aheadIneligible || !p.Idempotent(request) {
			c.stopped = true
			return
		}
		if p.leaving.Load() && c.parsed+size > c.beforeStop {
			return
		}
		c.appendAhead(request, size)
	}
}

// appendAhead starts a request of the given size that was read ahead, if the budget allows it.
// Otherwise it is served when its turn comes.
func (c *aheadConn) appendAhead(request *http.Request, size int) {
	cost := aheadCost(c.unread[c.parsed : c.parsed+size])
	if !c.holder.TryReserve(cost) {
		c.stopped = true
		return
	}
	c.parsed += size
	c.queue = append(c.queue, c.serveAhead(request, cost))
}

// Read delivers the bytes of the current request, and reads ahead while it is
// being served.
func (c *aheadConn) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		n := c.deliverUnread(p)
		burst := c.phase == phaseServing && len(c.unread) > 0
		err, limit := c.err, c.readLimit(askedBytes(p, burst))
		switch {
		case err == nil && c.refused != headRefusal{}:
			c.err = readError(errors.New("the head was refused"))
			c.mu.Unlock()
			c.refuseHead()
			continue
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
		waiting := c.waitsForCaller()
		c.mu.Unlock()
		delivered := 0
		if burst {
			n, err = c.readBurst(limit)
		} else {
			n, err = c.readSocket(p[:limit], waiting)
			delivered = c.received(p[:n], err)
		}
		if delivered > 0 || (n == 0 && err != nil) {
			return delivered, err
		}
	}
}

// burstBytes is how much is read at once behind the first byte of what is read ahead. net/http
// reads single bytes while a request is served; a request of 150 bytes would take 150 reads.
const burstBytes = 4 << 10

var burstBuffers = sync.Pool{New: func() any { return new([burstBytes]byte) }}

func askedBytes(p []byte, burst bool) int {
	if burst {
		return burstBytes
	}
	return len(p)
}

// readBurst reads up to limit bytes that are read ahead, and appends them to unread.
func (c *aheadConn) readBurst(limit int) (int, error) {
	buffer, _ := burstBuffers.Get().(*[burstBytes]byte)
	defer burstBuffers.Put(buffer)
	n, err := c.readSocket(buffer[:limit], reserver.Serving)
	c.received(buffer[:n], err)
	return n, err
}

// deliverUnread delivers bytes from unread.
func (c *aheadConn) deliverUnread(p []byte) int {
	n := c.consume(p[:copy(p, c.unread)])
	c.unread = c.unread[n:]
	c.parsed, c.beforeStop = max(0, c.parsed-n), max(0, c.beforeStop-n)
	if len(c.unread) == 0 {
		c.unread = nil
	}
	c.reserveUnread(0)
	c.checkBodyEnd()
	return n
}

// consume returns how many of the bytes belong to the current phase, and advances
// the phase over them.
func (c *aheadConn) consume(part []byte) int {
	n := 0
	switch c.phase {
	case phaseHead:
		var complete bool
		if n, complete = c.head.feed(part); complete {
			c.phase = phaseHeadDelivered
		}
		if n > 0 && !c.admitHead() {
			return 0
		}
	case phaseBody:
		n = int(min(int64(len(part)), c.bodyRemaining))
		c.bodyRemaining -= int64(n)
	case phasePassthrough:
		n = len(part)
	case phaseHeadDelivered, phaseServing:
	}
	return n
}

// checkBodyEnd updates the phase if the body of the current request has been
// delivered.
func (c *aheadConn) checkBodyEnd() {
	if c.phase == phaseBody && c.bodyRemaining == 0 {
		c.updatePhase()
	}
}

// readLimit returns how many bytes may be read from the socket now.
func (c *aheadConn) readLimit(asked int) int {
	switch c.phase {
	case phaseHeadDelivered:
		return 0
	case phaseServing:
		limit := max(0, min(asked, c.pipeline.bytes()-len(c.unread)))
		if limit > 0 && !c.reserveUnread(limit) {
			return 0
		}
		return limit
	case phaseHead, phaseBody, phasePassthrough:
	}
	return asked
}

// received processes bytes from the socket and returns how many of them are
// delivered immediately; the others go to unread. Any error but a timeout ends
// reading and cancels the requests that were read ahead.
func (c *aheadConn) received(part []byte, err error) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	if len(c.unread) == 0 {
		n = c.consume(part)
	}
	if n < len(part) && c.refused == (headRefusal{}) {
		c.unread = append(c.unread, part[n:]...)
	}
	if !c.pipeline.leaving.Load() {
		c.beforeStop = len(c.unread)
	}
	c.checkBodyEnd()
	if c.phase == phaseServing {
		c.readAhead()
	}
	if err != nil && !os.IsTimeout(err) {
		c.fail(err)
	}
	return n
}

// fail ends reading and cancels the requests that were read ahead.
func (c *aheadConn) fail(err error) {
	c.err = err
	if len(c.queue) > 0 {
		c.pipeline.Log.Log(logger.EventReadAheadCancelled, logger.Fields{"Caller": c.RemoteAddr().String(), "Requests": len(c.queue), "Cause": err.Error()})
	}
	c.cancel()
}

// await waits for a state change. It returns os.ErrDeadlineExceeded if the read
// deadline comes first. It is called with the lock held and releases it.
func (c *aheadConn) await() error {
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	changed, deadline := c.changed, c.readDeadline
	c.mu.Unlock()
	if deadline.IsZero() {
		<-changed
		return nil
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return os.ErrDeadlineExceeded
	}
}

// signal wakes the goroutines that wait for a state change.
func (c *aheadConn) signal() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// SetDeadline sets the deadlines of reads and writes.
func (c *aheadConn) SetDeadline(at time.Time) error {
	c.setReadDeadline(at)
	return c.conn.SetDeadline(at)
}

// SetReadDeadline sets the deadline of reads.
func (c *aheadConn) SetReadDeadline(at time.Time) error {
	c.setReadDeadline(at)
	return c.conn.SetReadDeadline(at)
}

func (c *aheadConn) setReadDeadline(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = at
	c.signal()
}

// Close closes the connection and cancels the requests that were read ahead.
func (c *aheadConn) Close() error {
	c.mu.Lock()
	if c.err == nil {
		c.err = os.ErrClosed
	}
	c.signal()
	c.holder.Close() // A concurrent Read reserves nothing from now on.
	c.releaseHead()
	c.holder.Release(c.unreadHeld)
	c.unreadHeld = 0
	c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
	return c.conn.Close()
}
