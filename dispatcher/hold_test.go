package dispatcher_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/acceptor"
)

// pipelineTo serves the harness to callers that send requests before they have the responses to
// earlier ones. It returns a connection to it.
func pipelineTo(t *testing.T, h *harness) net.Conn {
	t.Helper()
	pipeline := &acceptor.Pipeline{Handler: h.Dispatcher, Idempotent: func(r *http.Request) bool { return r.Method == http.MethodGet }}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{ReadHeaderTimeout: 10 * time.Second}
	pipeline.ConfigureServer(server)
	done := make(chan error, 1)
	go func() { done <- server.Serve(pipeline.Listener(acceptor.Listener{Listener: listener})) }()
	t.Cleanup(func() {
		_ = server.Close()
		qt.Check(t, <-done, qt.ErrorIs, http.ErrServerClosed)
	})
	conn, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// largeBody exceeds the buffer limit of the harness several times.
var largeBody = strings.Repeat("x", 40<<10)

const pipelined = 4

// checkResponses sends requests at once and checks that all get the whole body.
func checkResponses(c *qt.C, conn net.Conn) {
	c.Helper()
	for n := range pipelined {
		_, err := fmt.Fprintf(conn, "GET /log/%d HTTP/1.1\r\nHost: h\r\n\r\n", n)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(conn.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	reader := bufio.NewReader(conn)
	for n := range pipelined {
		status, length, err := readResponse(reader)
		c.Assert(err, qt.IsNil, qt.Commentf("response %d", n))
		c.Check(status, qt.Equals, http.StatusOK)
		c.Check(length, qt.Equals, len(largeBody))
	}
}

// readResponse reads a response and returns its status and the length of its body.
func readResponse(reader *bufio.Reader) (status, length int, err error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, len(body), err
}

// Guards against responses that are lost with their connection: the target of an earlier
// request of the connection breaks its large response off, while later requests are already
// being served.
func TestLargeResponseThatBreaksOffLosesNoLaterResponses(t *testing.T) {
	for name, head := range map[string]string{
		"length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(largeBody)),
		"chunked": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", len(largeBody)),
	} {
		t.Run(name, func(t *testing.T) {
			whole := head + largeBody
			if name == "chunked" {
				whole += "\r\n0\r\n\r\n"
			}
			breaksOff := func(_ int64, r *http.Request, conn net.Conn) bool {
				time.Sleep(30 * time.Millisecond) // The later requests arrive meanwhile.
				if r.URL.Path == fmt.Sprintf("/log/%d", pipelined-1) {
					return writeText(conn, whole) // Nothing is lost behind the last response.
				}
				return writeText(conn, head+largeBody[:30<<10]) && false
			}
			h := newHarness(t, hemlocktally.Contract{}, startScriptedTarget(t, breaksOff), startScriptedTarget(t, respondWith(whole)))
			checkResponses(qt.New(t), pipelineTo(t, h))
		})
	}
}

// A large response that is alone on its connection is streamed, not held: its first part
// arrives before the target has sent the rest. Requests that arrive meanwhile wait.
func TestLargeResponseAloneOnItsConnectionIsStreamed(t *testing.T) {
	c := qt.New(t)
	rest := make(chan struct{})
	target := startScriptedTarget(t, func(n int64, _ *http.Request, conn net.Conn) bool {
		ok := writeText(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(largeBody), largeBody[:30<<10]))
		if n == 1 {
			<-rest
		}
		return ok && writeText(conn, largeBody[30<<10:])
	})
	conn := pipelineTo(t, newHarness(t, hemlocktally.Contract{}, target))
	const request = "GET /log HTTP/1.1\r\nHost: h\r\n\r\n"
	_, err := io.WriteString(conn, request)
	c.Assert(err, qt.IsNil)
	c.Assert(conn.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	reader := bufio.NewReader(conn)
	_, err = reader.Peek(len("HTTP/1.1 200 OK"))
	c.Assert(err, qt.IsNil)
	_, err = io.WriteString(conn, request)
	c.Assert(err, qt.IsNil)
	time.Sleep(50 * time.Millisecond)
	c.Check(target.runs.Load(), qt.Equals, int64(1))
	close(rest)
	for range 2 {
		_, length, err := readResponse(reader)
		c.Assert(err, qt.IsNil)
		c.Check(length, qt.Equals, len(largeBody))
	}
}
