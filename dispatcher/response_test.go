package dispatcher_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

func respondWith(text string) func(int64, *http.Request, net.Conn) bool {
	return func(_ int64, _ *http.Request, conn net.Conn) bool { return writeText(conn, text) }
}

// respondAndClose writes the text and closes the connection.
func respondAndClose(text string) func(int64, *http.Request, net.Conn) bool {
	return func(_ int64, _ *http.Request, conn net.Conn) bool { return writeText(conn, text) && false }
}

func TestResponsesWithoutBody(t *testing.T) {
	for _, test := range []struct {
		method, response string
		status           int
		length           string
	}{
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 52428800\r\n\r\n", 200, "52428800"},
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", 200, "7"},
		{"GET", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
		{"GET", "HTTP/1.1 304 Not Modified\r\nEtag: x\r\n\r\n", 304, ""},
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200, "0"},
		{"GET", "HTTP/1.1 302 Found\r\nLocation: /else\r\nContent-Length: 0\r\n\r\n", 302, "0"},
	} {
		t.Run(fmt.Sprint(test.method, test.status), func(t *testing.T) {
			c := qt.New(t)
			target := startScriptedTarget(t, respondWith(test.response))
			h := newHarness(t, hemlocktally.Contract{}, target)
			for range 2 {
				got := h.send(test.method, "/log", "")
				c.Assert(got.err, qt.IsNil)
				c.Check(got.status, qt.Equals, test.status)
				c.Check(got.body, qt.Equals, "")
				c.Check(got.header.Get("Content-Length"), qt.Equals, test.length)
				c.Check(got.header.Get(hemlocktally.HeaderOutcome), qt.Equals, "Done")
			}
			c.Check(target.runs.Load(), qt.Equals, int64(2))
		})
	}
}

func TestTruncatedBufferedResponseIsRetriedOnAnotherTarget(t *testing.T) {
	for _, truncated := range []string{
		"HTTP/1.1 200 OK\r\n\r\na response without a marked end", "HTTP/1.0 200 OK\r\n\r\nHTTP 1.0 without a marked end",
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		c := qt.New(t)
		h := newHarness(t, hemlocktally.Contract{}, startScriptedTarget(t, respondAndClose(truncated)), startScriptedTarget(t, respondWith(okResponse)))
		got := h.send("GET", "/log", "")
		c.Check(got.body, qt.Equals, "ok")
		c.Check(h.granter.outcomes(), qt.DeepEquals, []hemlocktally.AttemptOutcome{hemlocktally.AttemptFailed, hemlocktally.AttemptDone})
		c.Check(h.granter.requests[1].Kind, qt.Equals, hemlocktally.AttemptRetry)
		c.Check(h.granter.requests[1].Exclude, qt.DeepEquals, []hemlocktally.TargetName{"a"})
	}
}

func TestTruncatedLargeResponseCannotLookComplete(t *testing.T) {
	large := strings.Repeat("x", 16<<10)
	for name, truncated := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n" + large,
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4000\r\n" + large + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, hemlocktally.Contract{}, startScriptedTarget(t, respondAndClose(truncated)), startScriptedTarget(t, respondWith(okResponse)))
			got := h.send("GET", "/log", "")
			qt.Check(t, got.err, qt.ErrorMatches, "unexpected EOF")
			http2Transport := &http.Transport{Protocols: new(http.Protocols)}
			http2Transport.Protocols.SetUnencryptedHTTP2(true)
			got = h.sendOver(http2Transport, "GET", "/log", "")
			qt.Check(t, got.err, qt.ErrorMatches, ".*stream ID 1; INTERNAL_ERROR.*")
		})
	}
}

func TestServerErrorIsRetriedOrForwarded(t *testing.T) {
	const failure = "HTTP/1.1 500 Oh\r\nContent-Length: 3\r\n\r\nsad"
	c := qt.New(t)
	h := newHarness(t, hemlocktally.Contract{}, startScriptedTarget(t, respondWith(failure)), startScriptedTarget(t, respondWith(okResponse)))
	c.Check(h.send("GET", "/log", "").body, qt.Equals, "ok")
	single := newHarness(t, hemlocktally.Contract{}, startScriptedTarget(t, respondWith(failure)))
	got := single.send("GET", "/log", "")
	c.Check(got.status, qt.Equals, 500)
	c.Check(got.body, qt.Equals, "sad")
	second := startScriptedTarget(t, respondWith(okResponse))
	payment := newHarness(t, hemlocktally.Contract{NonIdempotent: true}, startScriptedTarget(t, respondWith(failure)), second)
	c.Check(payment.send("POST", "/pay", "").body, qt.Equals, "sad")
	c.Check(second.runs.Load(), qt.Equals, int64(0))
}

func TestRetryBudgetAndDepthBoundAttempts(t *testing.T) {
	c := qt.New(t)
	cut := respondAndClose("")
	h := newHarness(t, hemlocktally.Contract{}, startScriptedTarget(t, cut), startScriptedTarget(t, respondWith(okResponse)))
	c.Check(h.send("GET", "/log", "", hemlocktally.HeaderDepth, "1").header.Get(hemlocktally.HeaderOutcome), qt.Equals, "Unknown")
	h.granter.refuse = func(request hemlocktally.GrantRequest) error {
		if request.Kind == hemlocktally.AttemptRetry {
			return &hemlocktally.RefusedError{Outcome: hemlocktally.OutcomeNotRun, Reason: hemlocktally.ReasonRetryBudget}
		}
		return nil
	}
	got := h.send("GET", "/log", "")
	c.Check(got.header.Get(hemlocktally.HeaderOutcome), qt.Equals, "Unknown")
	c.Check(got.status, qt.Equals, http.StatusBadGateway)
	c.Check(h.granter.requests, qt.HasLen, 3)
}

func TestHTTP2CallersAreServed(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, hemlocktally.Contract{}, startScriptedTarget(t, func(_ int64, r *http.Request, conn net.Conn) bool {
		return writeText(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n%s", r.Proto))
	}))
	http2Transport := &http.Transport{Protocols: new(http.Protocols)}
	http2Transport.Protocols.SetUnencryptedHTTP2(true)
	got := h.sendOver(http2Transport, "POST", "/x", strings.Repeat("x", 100_000))
	c.Assert(got.err, qt.IsNil)
	c.Check(got.body, qt.Equals, "HTTP/1.1")
}
