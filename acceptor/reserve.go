package acceptor

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"hemlocktally"
	"hemlocktally/reserver"
)

// Limits of a caller's head.
const (
	// maxEmptyLines is how many empty lines may come before a request. RFC 9112 (2.2) advises to
	// ignore at least one; net/http takes two.
	maxEmptyLines = 16
	// headSlack is what net/http adds to its limit of a head.
	headSlack = 4 << 10
	// minLineBytes is the least size of a header line, such as "a:\n". With it, the maximum number
	// of lines follows from that of bytes: no head within the size limit reaches it.
	minLineBytes = 3
	// headStep is the step in which memory is reserved for a head that costs more than usual.
	headStep = 16 << 10
	// unreadStep is the step in which memory is reserved for what was read ahead.
	unreadStep = 8 << 10
	// refusalTimeout limits how long a refusal may take to write. The send buffer is empty then.
	refusalTimeout = 50 * time.Millisecond
	// evictionTimeout is how long the refusal of an evicted request may take.
	evictionTimeout = time.Second
	// headRetryAfter is what a refused caller is told to wait, in seconds.
	headRetryAfter = "1.000"
)

// headRefusal is the response to a head that is refused before it is complete.
type headRefusal struct {
	status int
	kind   reserver.Kind
}

// reserve registers the connection with the budget. It returns false if there is no place.
func (c *aheadConn) reserve() bool {
	r := c.pipeline.Reserver
	if r == nil {
		return true
	}
	client, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return false // The connection is already closed.
	}
	c.holder = r.Open(client.Addr().Unmap(), c.evict)
	return c.holder != nil
}

// evict ends a connection that waits for its caller. A request that has not been received
// completely is refused first.
func (c *aheadConn) evict(activity reserver.Activity) {
	switch activity {
	case reserver.Sending:
		_ = c.SetLinger(0) // What the caller did not read is not kept in the socket either.
		_ = c.Close()
		return
	case reserver.Idle, reserver.Serving:
		_ = c.Close()
		return
	case reserver.Receiving:
	}
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	time.AfterFunc(evictionTimeout, func() { _ = c.Close() })
}

// waitsForCaller tells what the caller's connection waits for before a read from its socket. The
// body of a request is read by its handler, which notes that itself.
func (c *aheadConn) waitsForCaller() reserver.Activity {
	switch {
	case c.phase != phaseHead:
		return reserver.Serving
	case c.head.bytes == 0:
		return reserver.Idle
	default:
		return reserver.Receiving
	}
}

func (c *aheadConn) readSocket(p []byte, waiting reserver.Activity) (int, error) {
	if c.holder == nil {
		return c.conn.Read(p)
	}
	if waiting != reserver.Serving {
		c.holder.Wait(waiting)
	}
	n, err := 0, error(nil)
	if !c.holder.Evicted() {
		n, err = c.conn.Read(p)
	}
	if waiting != reserver.Serving {
		c.holder.Moved(n)
	}
	if n > 0 || !c.holder.Evicted() {
		return n, err
	}
	if waiting == reserver.Receiving {
		c.writeRefusal(headRefusal{status: http.StatusServiceUnavailable})
	}
	return 0, readError(&hemlocktally.OverloadError{})
}

// Write writes to the connection and notes that it waits for the caller.
func (c *aheadConn) Write(p []byte) (int, error) {
	c.holder.Wait(reserver.Sending)
	n, err := c.conn.Write(p)
	c.holder.Moved(n)
	return n, err
}

// admitHead checks the size of the current head and reserves memory for it. A request that was
// read ahead has passed this already.
func (c *aheadConn) admitHead() bool {
	if len(c.queue) > 0 || c.refused != (headRefusal{}) {
		return c.refused == headRefusal{}
	}
	limit := 0
	if c.pipeline.HeadLimit != nil {
		limit = c.pipeline.HeadLimit()
	}
	switch h := &c.head; {
	case h.empty > maxEmptyLines:
		c.refused = headRefusal{http.StatusBadRequest, reserver.KindEmptyLines}
	case limit > 0 && h.bytes > limit+headSlack:
		c.refused = headRefusal{http.StatusRequestHeaderFieldsTooLarge, reserver.KindHeadSize}
	case limit > 0 && h.lines > (limit+headSlack)/minLineBytes:
		c.refused = headRefusal{http.StatusRequestHeaderFieldsTooLarge, reserver.KindHeadLines}
	case !c.reserveHead():
		c.refused = headRefusal{http.StatusServiceUnavailable, reserver.KindMemory}
	}
	return c.refused == headRefusal{}
}

func (c *aheadConn) reserveHead() bool {
	needed := int64(reserver.RequestCost)
	if cost := headCost(c.head.lines, c.head.bytes); cost > reserver.PlainHeadCost {
		needed += (cost - reserver.PlainHeadCost + headStep - 1) / headStep * headStep
	}
	if needed <= c.headHeld {
		return true
	}
	if !c.holder.Reserve(needed - c.headHeld) {
		return false
	}
	c.headHeld = needed
	return true
}

func headCost(lines, size int) int64 {
	return int64(lines)*reserver.LineCost + int64(size)*reserver.ByteCost
}

// aheadCost returns the cost of a request that is served ahead, with its body.
func aheadCost(text []byte) int64 {
	return reserver.RequestCost + headCost(bytes.Count(text, lineEnd), len(text))
}

func (c *aheadConn) releaseHead() {
	c.holder.Release(c.headHeld)
	c.headHeld = 0
}

// reserveUnread reserves memory for what is read ahead and n further bytes, or releases what is
// no longer needed. It returns false if the budget does not allow it.
func (c *aheadConn) reserveUnread(n int) bool {
	needed := int64(0)
	if size := len(c.unread) + n; size > 0 && (n == 0 || size > unreadStep/2) {
		needed = int64((size+unreadStep-1)/unreadStep) * unreadStep * 2 // Buffers grow by doubling.
	}
	if n == 0 {
		needed = min(needed, c.unreadHeld)
	}
	if needed > c.unreadHeld && !c.holder.TryReserve(needed-c.unreadHeld) {
		return false
	}
	if needed < c.unreadHeld {
		c.holder.Release(c.unreadHeld - needed)
	}
	c.unreadHeld = needed
	return true
}

// refuseHead counts and writes the refusal of the current head.
func (c *aheadConn) refuseHead() {
	if c.refused.kind != reserver.KindMemory {
		c.holder.Note(c.refused.kind)
	}
	c.writeRefusal(c.refused)
}

// writeRefusal writes a response below net/http. It does so only while a head is received, when
// the responses to all earlier requests of the connection have been written.
func (c *aheadConn) writeRefusal(refused headRefusal) {
	retry := ""
	if refused.status == http.StatusServiceUnavailable {
		retry = "Retry-After: " + headRetryAfter + "\r\n"
	}
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = fmt.Fprintf(c.conn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", refused.status, http.StatusText(refused.status), retry)
}

// readError wraps an error so that net/http closes the connection at once, without a response of
// its own.
func readError(err error) error { return &net.OpError{Op: "read", Net: "tcp", Err: err} }
