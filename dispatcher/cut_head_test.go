package dispatcher_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// Guards against a success with an empty or short body: a target stops at any byte of its
// response's head or body and closes, also behind an interim response and in a response that is
// streamed because it exceeds the buffer.
func TestResponseThatBreaksOffIsNoSuccess(t *testing.T) {
	large := strings.Repeat("x", 9<<10)
	for name, response := range map[string]string{
		"length first":    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-A: b\r\n\r\nbody",
		"length last":     "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 4\r\n\r\nbody",
		"chunked":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"interim":         "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"streamed":        fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(large), large),
		"streamed chunks": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(large), large),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var cut atomic.Int64
			target := startScriptedTarget(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
				sent := response[:cut.Load()]
				return writeText(conn, sent) && len(sent) == len(response)
			})
			h := newHarness(t, hemlocktally.Contract{NonIdempotent: true}, target)
			step := max(1, len(response)/100)
			for n := 0; n < len(response); n += step {
				cut.Store(int64(n))
				got := h.send("POST", "/pay", "")
				c.Assert(got.err != nil || got.status == http.StatusBadGateway, qt.IsTrue, qt.Commentf("cut behind %d bytes: status %d, body of %d bytes", n, got.status, len(got.body)))
			}
			cut.Store(int64(len(response)))
			c.Check(h.send("POST", "/pay", "").status, qt.Equals, http.StatusOK)
		})
	}
}
