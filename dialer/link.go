package dialer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"hemlocktally"
)

// link is one connection to a target. It implements hemlocktally.Link.
type link struct {
	dialer       *Dialer
	address      string
	conn         *trackedConn
	client       *http.ClientConn
	fresh        bool // fresh is set where the link was opened for the request at hand.
	taken        time.Time
	provenAtTake bool
}

// reserve readies the link for one request; it returns false where the
// connection is closed.
func (l *link) reserve(request hemlocktally.LinkRequest) bool {
	l.conn.sent.Store(false)
	l.conn.late.Store(nil)
	l.conn.bounds.Store(&bounds{startBy: request.StartBy, fence: request.Fence})
	if l.taken.IsZero() {
		l.taken = time.Now()
	}
	return l.client.Reserve() == nil
}

// discard closes a link that was taken but can't be used.
func (l *link) discard() {
	l.dialer.update(l.address, func(p *pool) { p.lost() })
	_ = l.client.Close()
}

// RoundTrip sends the request once. A client connection of net/http, unlike its
// Transport, never sends a request again on another connection.
// Its error may name the end of the connection and not the write that was held
// back and ended it; the latter is the cause.
func (l *link) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := l.client.RoundTrip(request)
	if late := l.conn.late.Load(); err != nil && late != nil {
		return nil, late
	}
	return response, err
}

// Sent reports whether a byte of the request was handed to the connection.
func (l *link) Sent() bool { return l.conn.sent.Load() }

// New reports whether the link was opened for this request.
func (l *link) New() bool { return l.fresh }

// Silent reports whether the link seems to have lost its other end.
func (l *link) Silent() bool {
	if l.heard().After(l.taken) {
		return false
	}
	unproven := !l.fresh && !l.provenAtTake
	return unproven || l.dialer.heardAt(l.address).After(l.taken)
}

// Release gives the link back to its pool.
func (l *link) Release(silent bool) {
	l.client.Release()
	l.fresh = false
	l.dialer.put(l, silent)
}

// dead reports whether the connection is closed.
func (l *link) dead() bool { return l.client != nil && l.client.Err() != nil }

// heard returns when the link last brought a byte.
func (l *link) heard() time.Time {
	if at := l.conn.heard.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// trackedConn is a connection that knows whether anything was written for the
// request at hand, and that writes nothing beyond the request's bounds.
type trackedConn struct {
	net.Conn
	sent   atomic.Bool
	late   atomic.Pointer[hemlocktally.FenceError] // late is the bound that held a write back.
	bounds atomic.Pointer[bounds]
	heard  atomic.Pointer[time.Time]
}

// bounds are the times from which on a request may not be begun or written.
type bounds struct {
	startBy time.Time
	fence   time.Time
}

// check returns a *hemlocktally.FenceError where a write is too late.
func (b *bounds) check(begun bool, now time.Time) *hemlocktally.FenceError {
	if !b.fence.IsZero() && !now.Before(b.fence) {
		return &hemlocktally.FenceError{Fence: b.fence}
	}
	if !begun && !b.startBy.IsZero() && !now.Before(b.startBy) {
		return &hemlocktally.FenceError{Fence: b.startBy}
	}
	return nil
}

// Write checks the bounds at the last moment before the bytes leave the process.
func (c *trackedConn) Write(p []byte) (int, error) {
	if b := c.bounds.Load(); b != nil {
		if late := b.check(c.sent.Load(), time.Now()); late != nil {
			c.late.Store(late)
			return 0, late
		}
	}
	c.sent.Store(true)
	return c.Conn.Write(p)
}

// Read notes when something was heard.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		now := time.Now()
		c.heard.Store(&now)
	}
	return n, err
}

type handOverKey struct{}

// handOver gives net/http the connection that was opened for it.
func handOver(ctx context.Context, _, _ string) (net.Conn, error) {
	conn, ok := ctx.Value(handOverKey{}).(*trackedConn)
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}
