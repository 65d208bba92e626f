package balancer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// listenSmall listens with a small receive buffer, so that most of a request stays in the sender's
// buffer while it is not read, as during a network cut.
func listenSmall(t *testing.T) net.Listener {
	t.Helper()
	const receiveBuffer = 4 << 10
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		return errors.Join(c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		}), err)
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// Guards against a call that is handed over and executed after it was given up: the connection to
// an instance that does not respond is closed, and what is in its send buffer must not be
// delivered later.
func TestAbandonedHandoverIsNotDelivered(t *testing.T) {
	c := qt.New(t)
	const body = 48 << 10
	listener := listenSmall(t)
	transport := peerRoundTripper()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listener.Addr().String()+"/pay", bytes.NewReader(make([]byte, body)))
	c.Assert(err, qt.IsNil)
	response, err := transport.RoundTrip(request)
	if err == nil {
		_ = response.Body.Close()
	}
	c.Assert(err, qt.IsNotNil)
	conn, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	time.Sleep(1500 * time.Millisecond) // The ping of the silent connection times out.
	n, err := io.Copy(io.Discard, conn)
	c.Check(err, qt.ErrorIs, syscall.ECONNRESET)
	c.Check(n < body, qt.IsTrue, qt.Commentf("%d bytes arrived", n))
}
