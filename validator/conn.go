// Package validator judges the responses that an instance reads, before any of them reaches a
// caller: net/http accepts malformed heads and trailers, and takes a reset for the end of a
// response if the writer of the request has seen it first. All connections over which HTTP/1
// responses are read pass through Conn, and all transports for HTTP/2 through Transport.
package validator

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hemlocktally"
)

// Conn is a client's connection with HTTP/1 responses. Its Read returns only valid bytes, and a
// *hemlocktally.ResponseError from the first invalid one on.
//
// The kernel reports a reset once, to the reader or to the writer of a connection. If the writer
// gets it, the reader sees an ordinary end. A response that ends with its connection is therefore
// complete only if no write has failed and the request has been sent completely.
type Conn struct {
	net.Conn

	scanner  Scanner // scanner is used by Read only.
	failure  error   // failure is what Read returns after the first invalid byte.
	head     atomic.Bool
	answered atomic.Bool // answered is set once the final response to the current request has ended.
	unsent   atomic.Bool // unsent is set while a part of the request has not been passed to Write.
	writing  sync.Mutex
	writeErr error // writeErr is the first error of a write; writing guards it.
}

// NewConn returns a Conn over an open connection.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Dial returns a dial function whose connections are a Conn. No HEAD requests may be sent over
// them, because Begin is not called.
func Dial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// Begin prepares the connection for the response to a request, which must not have been sent yet,
// and returns the request to send.
func (c *Conn) Begin(request *http.Request) *http.Request {
	c.head.Store(request.Method == http.MethodHead)
	c.answered.Store(false)
	c.unsent.Store(false)
	if request.Body == nil || request.Body == http.NoBody {
		return request
	}
	c.unsent.Store(true)
	sent := *request
	sent.Body = &sentBody{ReadCloser: request.Body, conn: c, remaining: request.ContentLength}
	return &sent
}

// sentBody is the body of a request. It tells the connection when its last byte has been read,
// which is before that byte is written.
type sentBody struct {
	io.ReadCloser
	conn      *Conn
	remaining int64 // remaining is the number of bytes still to come; negative if that is not known.
}

// Read reads from the body.
func (b *sentBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.remaining > 0 {
		b.remaining -= int64(n)
	}
	if b.remaining == 0 || errors.Is(err, io.EOF) {
		b.conn.unsent.Store(false)
	}
	return n, err
}

// Write writes a part of the request.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read reads a part of the response.
func (c *Conn) Read(p []byte) (int, error) {
	if c.failure != nil {
		return 0, c.failure
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.scanner.NoBody = c.head.Load()
		var valid int
		if valid, c.failure = c.scanner.Feed(p[:n]); c.failure != nil {
			if valid > 0 {
				return valid, nil
			}
			return 0, c.failure
		}
		if c.scanner.Final() {
			c.answered.Store(true)
		}
	}
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// endError returns what Read returns at the end of the connection.
func (c *Conn) endError() error {
	switch {
	case c.scanner.Idle():
		return io.EOF
	case !c.scanner.UntilEnd():
		return io.ErrUnexpectedEOF
	}
	if !c.writing.TryLock() {
		// The write may be about to return the reset, or may wait for a target that reads no more.
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	switch {
	case c.writeErr != nil:
		return &hemlocktally.ResponseError{Detail: "the connection failed while the request was sent: " + c.writeErr.Error()}
	case c.unsent.Load():
		return &hemlocktally.ResponseError{Detail: "the connection ended before the request was sent"}
	default:
		c.answered.Store(true)
		return io.EOF
	}
}

// Answered reports whether the final response to the current request has been read completely.
func (c *Conn) Answered() bool { return c.answered.Load() }
