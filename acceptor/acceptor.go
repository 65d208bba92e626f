// Package acceptor accepts the connections of callers and of other instances, and
// serves pipelined HTTP/1.1 requests of callers concurrently.
package acceptor

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// gracePeriod is how long a read or write may continue, once, after its deadline.
// The deadlines of HTTP servers are points in time: after a pause of the process
// they have passed before the server has read what arrived during the pause.
const gracePeriod = 50 * time.Millisecond

// Listener is a TCP listener whose connections still deliver data that arrived
// before a read deadline but is read only after it.
type Listener struct {
	net.Listener
}

// Accept returns the next connection. Connections that are not TCP connections
// are returned as they are.
func (l Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := accepted.(*net.TCPConn); ok {
		return &conn{TCPConn: tcp}, nil
	}
	return accepted, nil
}

// conn embeds the TCP connection, because HTTP servers use methods beyond those of
// net.Conn.
type conn struct {
	*net.TCPConn

	mu    sync.Mutex
	read  limit
	write limit
}

// limit is a deadline and whether its grace period is used up.
type limit struct {
	at   time.Time
	used bool
}

// useGrace uses up the grace period and reports whether it applies: the deadline
// has passed. A deadline that was already past when it was set is meant to
// interrupt a read or write, and has no grace period.
func (l *limit) useGrace(now time.Time) bool {
	if l.used || l.at.IsZero() {
		return false
	}
	l.used = true
	return now.After(l.at)
}

func newLimit(at, now time.Time) limit { return limit{at: at, used: at.Before(now)} }

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}

// SetReadDeadline sets the deadline of reads.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read = newLimit(at, time.Now())
	return c.TCPConn.SetReadDeadline(at)
}

// SetWriteDeadline sets the deadline of writes.
func (c *conn) SetWriteDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.write = newLimit(at, time.Now())
	return c.TCPConn.SetWriteDeadline(at)
}

// Read reads from the connection. After the deadline it tries once more, to read
// what has already arrived.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 && c.extendDeadline(err, &c.read, c.TCPConn.SetReadDeadline) {
		return c.TCPConn.Read(p)
	}
	return n, err
}

// Write writes to the connection. After the deadline it tries once more.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if c.extendDeadline(err, &c.write, c.TCPConn.SetWriteDeadline) {
		more, err := c.TCPConn.Write(p[n:])
		return n + more, err
	}
	return n, err
}

// extendDeadline reports whether a read or write that failed with err may be
// repeated in the grace period, and moves the deadline for it.
func (c *conn) extendDeadline(err error, l *limit, set func(time.Time) error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return l.useGrace(now) && set(now.Add(gracePeriod)) == nil
}
