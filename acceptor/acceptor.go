// Package acceptor accepts the connections of callers and of other instances.
package acceptor

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// lastChance is how long a transfer goes on once after its deadline. The time
// limits of HTTP servers are clock times: where the process was paused they are
// over before it has looked at what arrived meanwhile.
const lastChance = 50 * time.Millisecond

// Listener is a TCP listener whose connections lose nothing that arrived
// before a deadline and was not read until after it.
type Listener struct {
	net.Listener
}

// Accept returns the next connection.
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

// conn keeps the methods of a TCP connection, which HTTP servers look for.
type conn struct {
	*net.TCPConn

	mu    sync.Mutex
	read  limit
	write limit
}

// limit is a deadline and whether its last chance is used.
type limit struct {
	at   time.Time
	used bool
}

// over takes the last chance. A deadline that was past when it was set ends a
// transfer on purpose and has none.
func (l *limit) over(now time.Time) bool {
	if l.used || l.at.IsZero() {
		return false
	}
	l.used = true
	return now.After(l.at)
}

func limitOf(at, now time.Time) limit { return limit{at: at, used: at.Before(now)} }

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}

// SetReadDeadline sets the deadline of reads.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read = limitOf(at, time.Now())
	return c.TCPConn.SetReadDeadline(at)
}

// SetWriteDeadline sets the deadline of writes.
func (c *conn) SetWriteDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.write = limitOf(at, time.Now())
	return c.TCPConn.SetWriteDeadline(at)
}

// Read reads what has arrived, also shortly after the deadline.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 && c.goesOn(err, &c.read, c.TCPConn.SetReadDeadline) {
		return c.TCPConn.Read(p)
	}
	return n, err
}

// Write writes, also shortly after the deadline.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if c.goesOn(err, &c.write, c.TCPConn.SetWriteDeadline) {
		more, err := c.TCPConn.Write(p[n:])
		return n + more, err
	}
	return n, err
}

// goesOn reports whether a transfer that ended with the error has its last
// chance, and moves the deadline for it.
func (c *conn) goesOn(err error, l *limit, set func(time.Time) error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return l.over(now) && set(now.Add(lastChance)) == nil
}
