package dispatcher_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

func TestCallerThatStopsSendingIsRefused(t *testing.T) {
	c := qt.New(t)
	target := startScriptedTarget(t, respondWith(okResponse))
	h := newHarness(t, hemlocktally.Contract{NonIdempotent: true}, target)
	h.ReadTimeout = 50 * time.Millisecond
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nhalf")
	c.Assert(err, qt.IsNil)
	c.Assert(conn.SetReadDeadline(time.Now().Add(8*time.Second)), qt.IsNil)
	text, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Check(string(text), qt.Contains, "400 Bad Request")
	c.Check(string(text), qt.Contains, "Hemlocktally-Outcome: NotRun")
	c.Check(target.runs.Load(), qt.Equals, int64(0))
}

// A caller that reads nothing of its response must not hold the grant forever.
func TestCallerThatStopsReadingLosesItsGrant(t *testing.T) {
	c := qt.New(t)
	target := startScriptedTarget(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 67108864\r\n\r\n")
		part := strings.Repeat("x", 1<<20)
		for range 64 {
			if _, err := io.WriteString(conn, part); err != nil {
				return false
			}
		}
		return true
	})
	h := newHarness(t, hemlocktally.Contract{Deadline: time.Minute}, target)
	h.WriteTimeout = 100 * time.Millisecond
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if outcomes := h.granter.outcomes(); len(outcomes) > 0 {
			c.Check(outcomes, qt.DeepEquals, []hemlocktally.AttemptOutcome{hemlocktally.AttemptCancelled})
			return
		}
	}
	t.Fatal("the grant was not released within 10 s")
}
