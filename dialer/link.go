package dialer

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"hemlocktally"
	"hemlocktally/validator"
)

// link is one connection to a target. It implements hemlocktally.TargetConn.
type link struct {
	dialer          *Dialer
	address         string
	conn            *trackedConn
	client          *http.ClientConn
	isNew           bool // isNew is set where the link was opened for the current request.
	takenAt         time.Time
	provenWhenTaken bool
	// idleLimit is how long the link may stay idle, as the target announced; zero if it did not.
	idleLimit time.Duration
}

// reserve prepares the link for one request. It returns false where the connection
// is closed.
func (l *link) reserve(request hemlocktally.ConnRequest) bool {
	l.conn.sent.Store(false)
	l.conn.fenceErr.Store(nil)
	l.conn.limits.Store(&writeLimits{startBy: request.StartBy, fence: request.Fence})
	if l.takenAt.IsZero() {
		l.takenAt = time.Now()
	}
	return l.client.Reserve() == nil
}

// discard closes a link that was taken and is not usable.
func (l *link) discard() {
	l.dialer.update(l.address, func(p *pool) { p.releaseSlot() })
	_ = l.client.Close()
}

// RoundTrip sends the request once. Unlike http.Transport, http.ClientConn never
// retries a request on another connection. Where a write was refused because of
// the request's time limits, net/http may report only that the connection ended;
// RoundTrip returns the *hemlocktally.FenceError then.
func (l *link) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := l.client.RoundTrip(l.conn.Begin(request))
	if fenceErr := l.conn.fenceErr.Load(); err != nil && fenceErr != nil {
		return nil, fenceErr
	}
	if err == nil {
		l.idleLimit = announcedIdleLimit(response.Header.Get("Keep-Alive"))
	}
	return response, err
}

// usedIdleShare is the share of the announced idle timeout for which a link is used. A request
// that arrives just as the target closes the connection is reset.
const usedIdleShare = 0.8

// announcedIdleLimit returns how long a link may stay idle by a Keep-Alive header, or zero if
// the header gives no timeout.
func announcedIdleLimit(header string) time.Duration {
	for _, parameter := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.ParseUint(value, 10, 31)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(usedIdleShare * float64(seconds) * float64(time.Second))
		}
	}
	return 0
}

// expired reports whether the target may have closed the idle link.
func (l *link) expired(now time.Time) bool {
	return l.idleLimit > 0 && now.Sub(l.lastReceived()) > l.idleLimit
}

// Sent reports whether any byte of the request was passed to the connection.
func (l *link) Sent() bool { return l.conn.sent.Load() }

// New reports whether the link was opened for this request.
func (l *link) New() bool { return l.isNew }

// Silent reports whether the link seems to be dead: it has received nothing since
// it was taken, and either it was neither new nor proven then, or another link to
// the target has received something since.
func (l *link) Silent() bool {
	if l.lastReceived().After(l.takenAt) {
		return false
	}
	unproven := !l.isNew && !l.provenWhenTaken
	return unproven || l.dialer.lastReceivedByAny(l.address).After(l.takenAt)
}

// Release returns the link to its pool, or closes it where it can't be used again.
// With silent, it is closed together with the idle links to the target that have
// received nothing since it was taken.
func (l *link) Release(silent bool) {
	l.client.Release()
	l.isNew = false
	l.dialer.put(l, silent)
}

// isClosed reports whether the connection is closed.
func (l *link) isClosed() bool { return l.client != nil && l.client.Err() != nil }

// lastReceived returns when the link last received a byte, or the zero time.
func (l *link) lastReceived() time.Time {
	if at := l.conn.lastRead.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// trackedConn is a connection that records whether anything was written for the
// current request and refuses writes after the request's time limits.
type trackedConn struct {
	*validator.Conn
	dialer   *Dialer
	closed   atomic.Bool
	sent     atomic.Bool
	fenceErr atomic.Pointer[hemlocktally.FenceError] // fenceErr is set once a write was refused.
	limits   atomic.Pointer[writeLimits]
	lastRead atomic.Pointer[time.Time]
}

// writeLimits holds the times from which on the first byte of a request (startBy)
// and any byte of it (fence) may no longer be written. A zero time sets no limit.
type writeLimits struct {
	startBy time.Time
	fence   time.Time
}

// check returns an error where a write at the given time is too late. The started
// parameter says whether any byte of the request was written before.
func (w *writeLimits) check(started bool, now time.Time) *hemlocktally.FenceError {
	if !w.fence.IsZero() && !now.Before(w.fence) {
		return &hemlocktally.FenceError{Fence: w.fence}
	}
	if !started && !w.startBy.IsZero() && !now.Before(w.startBy) {
		return &hemlocktally.FenceError{Fence: w.startBy}
	}
	return nil
}

// Write checks the time limits immediately before the bytes leave the process.
func (c *trackedConn) Write(p []byte) (int, error) {
	if limits := c.limits.Load(); limits != nil {
		if fenceErr := limits.check(c.sent.Load(), time.Now()); fenceErr != nil {
			c.fenceErr.Store(fenceErr)
			return 0, fenceErr
		}
	}
	c.sent.Store(true)
	return c.Conn.Write(p)
}

// lingerer is a connection whose close can be a reset, as that of *net.TCPConn.
type lingerer interface {
	SetLinger(seconds int) error
}

// resetOnClose makes the close of the connection a reset, also if the process ends. An ordinary
// close leaves what is in the send buffer to be delivered: after a network cut, a request would
// be executed seconds after it was given up.
func resetOnClose(conn net.Conn) {
	if l, ok := conn.(lingerer); ok {
		_ = l.SetLinger(0)
	}
}

// Close closes the connection. It is a reset if a request was sent and has no response.
func (c *trackedConn) Close() error {
	const background = -1 // Data that is still in the send buffer is sent after an ordinary close.
	if c.closed.Swap(true) {
		return c.Conn.Close()
	}
	if c.sent.Load() && !c.Answered() {
		c.dialer.abandoned.Add(1)
	} else if l, ok := c.Conn.Conn.(lingerer); ok {
		_ = l.SetLinger(background)
	}
	return c.Conn.Close()
}

// Read records when data was last received.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		now := time.Now()
		c.lastRead.Store(&now)
	}
	return n, err
}

type preparedConnKey struct{}

// preparedConn is the DialContext of the transport. It returns the connection that
// dial opened and put into the context.
func preparedConn(ctx context.Context, _, _ string) (net.Conn, error) {
	conn, ok := ctx.Value(preparedConnKey{}).(*trackedConn)
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}
