package dispatcher_test

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

// holdingTarget accepts one connection and reads nothing from it. Its small receive buffer keeps
// most of a request in the sender's buffer, as a network cut does.
type holdingTarget struct{ listener net.Listener }

func startHoldingTarget(t *testing.T) holdingTarget {
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
	return holdingTarget{listener}
}

// receive reads what has been sent, and reports whether it is a whole request.
func (h holdingTarget) receive() (whole bool, err error) {
	conn, err := h.listener.Accept()
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return false, nil
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil, nil
}

// Guards against a request that its target gets, and executes, after the call has ended: on each
// way on which a call gives a request up.
func TestAbandonedCallIsNotDelivered(t *testing.T) {
	const deadline = 300 * time.Millisecond
	for name, test := range map[string]struct {
		contract hemlocktally.Contract
		end      func(h *harness, cancel context.CancelFunc)
	}{
		"deadline":    {hemlocktally.Contract{NonIdempotent: true, Deadline: deadline}, func(*harness, context.CancelFunc) {}},
		"interrupt":   {hemlocktally.Contract{NonIdempotent: true, Deadline: time.Minute}, func(h *harness, _ context.CancelFunc) { h.Interrupt() }},
		"caller gone": {hemlocktally.Contract{Deadline: time.Minute}, func(_ *harness, cancel context.CancelFunc) { cancel() }},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			target := startHoldingTarget(t)
			h := newHarness(t, test.contract, &scriptedTarget{address: target.listener.Addr().String()})
			h.BufferLimit = 1 << 20
			h.Links.(*dialer.Dialer).Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return conn, conn.(*net.TCPConn).SetWriteBuffer(2 << 20)
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url+"/pay", bytes.NewReader(make([]byte, 128<<10)))
			c.Assert(err, qt.IsNil)
			time.AfterFunc(100*time.Millisecond, func() { test.end(h, cancel) })
			_ = sendAndDiscard(request)
			for end := time.Now().Add(5 * time.Second); len(h.granter.outcomes()) == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			whole, err := target.receive()
			c.Assert(err, qt.IsNil)
			c.Check(whole, qt.IsFalse)
		})
	}
}
