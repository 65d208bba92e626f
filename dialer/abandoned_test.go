package dialer_test

import (
	"bufio"
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

	"hemlocktally"
	"hemlocktally/dialer"
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

// dialLarge opens connections whose send buffer holds a whole request.
func dialLarge(ctx context.Context, network, address string) (net.Conn, error) {
	const sendBuffer = 2 << 20
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetWriteBuffer(sendBuffer)
}

const heldBody = 128 << 10

// Guards against a request that its target gets after it was given up: closing a connection
// leaves what is in its send buffer to be delivered once the network allows it.
func TestAbandonedRequestIsNotDelivered(t *testing.T) {
	for name, end := range map[string]func(cancel context.CancelFunc){
		"cancelled": func(cancel context.CancelFunc) { cancel() },
		"deadline":  func(context.CancelFunc) {},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			listener := listenSmall(t)
			d := &dialer.Dialer{Dial: dialLarge}
			t.Cleanup(d.CloseIdle)
			link := take(t, d, hemlocktally.ConnRequest{Target: hemlocktally.Target{Name: "a", Address: listener.Addr().String()}})
			conn, err := listener.Accept()
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			time.AfterFunc(100*time.Millisecond, func() { end(cancel) })
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://t/pay", bytes.NewReader(make([]byte, heldBody)))
			c.Assert(err, qt.IsNil)
			c.Assert(discard(link, request), qt.IsNotNil)
			c.Check(link.Sent(), qt.IsTrue)
			link.Release(true)
			got, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				n, err := io.Copy(io.Discard, got.Body)
				c.Check(err, qt.IsNotNil, qt.Commentf("%d bytes of the body arrived", n))
			}
			c.Check(d.Abandoned(), qt.Equals, uint64(1))
			c.Check(d.Links(listener.Addr().String()), qt.Equals, 0)
		})
	}
}

func discard(link hemlocktally.TargetConn, request *http.Request) error {
	response, err := link.RoundTrip(request)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return errors.Join(err, response.Body.Close())
}

// Guards against resets that targets would see without a reason: a link without an unanswered
// request is closed in the ordinary way.
func TestIdleLinkIsClosedWithoutReset(t *testing.T) {
	for name, response := range map[string]string{
		"unused": "", "length": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "until end": "HTTP/1.1 200 OK\r\n\r\nok",
		"no body": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer func() { _ = listener.Close() }()
			ended := make(chan error, 1)
			go func() { ended <- respondOnce(listener, response, name == "until end") }()
			d := &dialer.Dialer{}
			link := take(t, d, hemlocktally.ConnRequest{Target: hemlocktally.Target{Name: "a", Address: listener.Addr().String()}})
			if response != "" {
				request, err := http.NewRequest(http.MethodGet, "http://t/x", http.NoBody)
				c.Assert(err, qt.IsNil)
				c.Assert(discard(link, request), qt.IsNil)
			}
			link.Release(false)
			d.CloseIdle()
			c.Check(<-ended, qt.ErrorIs, io.EOF)
			c.Check(d.Abandoned(), qt.Equals, uint64(0))
		})
	}
}

// respondOnce responds to one request, if there is a response, and returns how the connection
// ended.
func respondOnce(listener net.Listener, response string, closes bool) error {
	conn, err := listener.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	if response != "" {
		if _, err := http.ReadRequest(reader); err != nil {
			return err
		}
		if _, err := io.WriteString(conn, response); err != nil {
			return err
		}
	}
	if closes {
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			return err
		}
	}
	_, err = reader.ReadByte()
	return err
}
