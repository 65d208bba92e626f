package validator_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/validator"
)

// connect returns the two ends of a connection.
func connect(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	accepted, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// resetDuringWrite writes until the other end has sent the text and reset the connection.
func resetDuringWrite(t *testing.T, conn io.Writer, server *net.TCPConn, text string) {
	t.Helper()
	go func() {
		_, _ = io.WriteString(server, text)
		time.Sleep(20 * time.Millisecond)
		_ = server.SetLinger(0)
		_ = server.Close()
	}()
	var err error
	for err == nil {
		_, err = conn.Write(make([]byte, 64<<10))
	}
	qt.Assert(t, err, qt.ErrorIs, syscall.ECONNRESET)
}

// This is the cause of truncated responses that looked complete: the kernel reports a reset once.
// If the writer gets it, the reader sees an ordinary end.
func TestKernelReportsAResetOnce(t *testing.T) {
	client, server := connect(t)
	resetDuringWrite(t, client, server, "part")
	text, err := io.ReadAll(client)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(text), qt.Equals, "part")
}

// Guards against a reset that passes for the end of a response.
func TestResetSeenByTheWriterIsNoEnd(t *testing.T) {
	c := qt.New(t)
	client, server := connect(t)
	conn := validator.NewConn(client)
	resetDuringWrite(t, conn, server, "HTTP/1.1 200 OK\r\n\r\npart")
	_, err := io.ReadAll(conn)
	var refused *hemlocktally.ResponseError
	c.Assert(errors.As(err, &refused), qt.IsTrue)
	c.Check(refused.Detail, qt.Contains, "connection reset by peer")
}

// Guards against the end of a connection that passes for the end of a response although the
// target has not got the whole request.
func TestResponseDoesNotEndBeforeItsRequest(t *testing.T) {
	for name, sent := range map[string]bool{"unsent": false, "sent": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			client, server := connect(t)
			conn := validator.NewConn(client)
			request, err := http.NewRequest(http.MethodPost, "http://t/x", strings.NewReader("body"))
			c.Assert(err, qt.IsNil)
			request = conn.Begin(request)
			_, err = io.ReadFull(request.Body, make([]byte, map[bool]int{false: 3, true: 4}[sent]))
			c.Assert(err, qt.IsNil)
			_, err = io.WriteString(server, "HTTP/1.1 200 OK\r\n\r\nwhole")
			c.Assert(err, qt.IsNil)
			c.Assert(server.CloseWrite(), qt.IsNil)
			_, err = io.ReadAll(conn)
			c.Check(err == nil, qt.Equals, sent, qt.Commentf("%v", err))
		})
	}
}

// Guards against a reader that waits for a write to a target that reads no more.
func TestEndInterruptsAWaitingWrite(t *testing.T) {
	client, server := connect(t)
	conn := validator.NewConn(client)
	request, err := http.NewRequest(http.MethodPost, "http://t/x", strings.NewReader("body"))
	qt.Assert(t, err, qt.IsNil)
	_ = conn.Begin(request)
	done := make(chan error, 1)
	go func() {
		var err error
		for err == nil {
			_, err = conn.Write(make([]byte, 1<<20))
		}
		done <- err
	}()
	time.Sleep(20 * time.Millisecond)
	_, err = io.WriteString(server, "HTTP/1.1 200 OK\r\n\r\npart")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, server.CloseWrite(), qt.IsNil)
	_, err = io.ReadAll(conn)
	qt.Check(t, err, qt.ErrorMatches, ".*the request was sent.*")
	qt.Check(t, conn.Close(), qt.IsNil) // The writer may have been between two writes.
	qt.Check(t, <-done, qt.IsNotNil)
}

// Only the valid bytes before the first invalid one are delivered.
func TestBytesBehindAFaultAreWithheld(t *testing.T) {
	c := qt.New(t)
	client, server := connect(t)
	_, err := io.WriteString(server, "HTTP/1.1 200 OK\r\nBad Name: x\r\n\r\n")
	c.Assert(err, qt.IsNil)
	conn := validator.NewConn(client)
	text, err := io.ReadAll(conn)
	var refused *hemlocktally.ResponseError
	c.Check(errors.As(err, &refused), qt.IsTrue)
	const valid = "HTTP/1.1 200 OK\r\nBad"
	c.Check(strings.HasPrefix(valid, string(text)), qt.IsTrue, qt.Commentf("%q", text))
	_, again := conn.Read(make([]byte, 1))
	c.Check(again, qt.Equals, err)
}
