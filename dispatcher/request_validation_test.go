package dispatcher_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// sendRaw sends the text over TCP, closes the write side if end is set, and returns
// the status of each response.
func sendRaw(t *testing.T, h *harness, text string, end bool) []int {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, text)
	qt.Assert(t, err, qt.IsNil)
	if end {
		qt.Assert(t, conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	}
	var statuses []int
	for reader := bufio.NewReader(conn); ; {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		statuses = append(statuses, response.StatusCode)
	}
}

func TestAmbiguousRequestsNeverReachATarget(t *testing.T) {
	for name, text := range map[string]string{
		"two lengths":             "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"signed length":           "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
		"unknown coding":          "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"two codings":             "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
		"space before colon":      "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc",
		"two hosts":               "GET /x HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
		"no host":                 "GET /x HTTP/1.1\r\n\r\n",
		"bad chunk size":          "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
		"body that ends early":    "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n\r\nabc",
		"two keys":                "POST /x HTTP/1.1\r\nHost: h\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n",
		"key with a control code": "POST /x HTTP/1.1\r\nHost: h\r\nIdempotency-Key: a b\r\nContent-Length: 0\r\n\r\n",
		"key that is too long":    "POST /x HTTP/1.1\r\nHost: h\r\nIdempotency-Key: " + strings.Repeat("k", 256) + "\r\nContent-Length: 0\r\n\r\n",
		"depth that is no number": "GET /x HTTP/1.1\r\nHost: h\r\nHemlocktally-Depth: deep\r\n\r\n",
		"depth over the bound":    "GET /x HTTP/1.1\r\nHost: h\r\nHemlocktally-Depth: 16\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			target := startScriptedTarget(t, respondWith(okResponse))
			h := newHarness(t, hemlocktally.Contract{NonIdempotent: true}, target)
			for _, status := range sendRaw(t, h, text, true) {
				qt.Check(t, status >= 400, qt.IsTrue, qt.Commentf("%d", status))
			}
			qt.Check(t, target.runs.Load(), qt.Equals, int64(0))
		})
	}
}

func TestChunkedWithLengthIsSentWithOneFraming(t *testing.T) {
	c := qt.New(t)
	framing := make(chan string, 2)
	target := startScriptedTarget(t, func(_ int64, r *http.Request, conn net.Conn) bool {
		framing <- fmt.Sprint(r.Header["Content-Length"], r.ContentLength, r.TransferEncoding)
		return writeText(conn, okResponse)
	})
	h := newHarness(t, hemlocktally.Contract{}, target)
	got := sendRaw(t, h, "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false)
	c.Check(got, qt.DeepEquals, []int{200})
	c.Check(<-framing, qt.Equals, "[3] 3 []")
	c.Check(target.runs.Load(), qt.Equals, int64(1))
}

func TestHeadersToTheTarget(t *testing.T) {
	c := qt.New(t)
	var seen http.Header
	target := startScriptedTarget(t, func(_ int64, r *http.Request, conn net.Conn) bool {
		seen = r.Header
		return writeText(conn, "HTTP/1.1 200 OK\r\nHemlocktally-Outcome: NotRun\r\nConnection: X-Hop\r\nX-Hop: 1\r\nContent-Length: 0\r\n\r\n")
	})
	h := newHarness(t, hemlocktally.Contract{}, target)
	got := h.send("GET", "/x", "",
		"Hemlocktally-Attempt", "9", "Hemlocktally-Call", "forged", "Hemlocktally-Not-Run", "true", "Hemlocktally-Priority", "High",
		"Hemlocktally-Depth", "2", "Hemlocktally-Deadline", "999999999", "Connection", "X-Mine, Hemlocktally-Depth", "X-Mine", "1",
		"Authorization", "Bearer secret", "X-Forwarded-For", "10.0.0.1", "Upgrade", "websocket", "Te", "trailers")
	c.Assert(got.status, qt.Equals, 200)
	for name, want := range map[string]string{
		"Hemlocktally-Attempt": "1", "Hemlocktally-Depth": "3", "Hemlocktally-Not-Run": "", "Hemlocktally-Priority": "",
		"X-Mine": "", "Authorization": "", "X-Forwarded-For": "10.0.0.1, 127.0.0.1", "Upgrade": "", "Te": "", "User-Agent": "Go-http-client/1.1",
	} {
		c.Check(seen.Get(name), qt.Equals, want, qt.Commentf(name))
	}
	c.Check(seen.Get(hemlocktally.HeaderCall), qt.Equals, got.header.Get(hemlocktally.HeaderCall))
	c.Check(len(seen.Get(hemlocktally.HeaderDeadline)) <= 4, qt.IsTrue)
	c.Check(got.header.Get(hemlocktally.HeaderOutcome), qt.Equals, "Done")
	c.Check(got.header.Get("X-Hop"), qt.Equals, "")
	c.Check(h.granter.requests[0].Priority, qt.Equals, hemlocktally.PriorityNormal)
}

// Without a configuration an instance can't match requests to contracts, so it
// refuses them with the reason Starting.
func TestInstanceWithoutAConfigurationIsStarting(t *testing.T) {
	c := qt.New(t)
	target := startScriptedTarget(t, respondWith(okResponse))
	h := newHarness(t, hemlocktally.Contract{}, target)
	h.config.config = hemlocktally.Configuration{}
	got := h.send("GET", "/log", "")
	c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(got.header.Get("Retry-After"), qt.Equals, "1")
	c.Check(got.body, qt.Contains, `"Outcome":"NotRun","Reason":"Starting"`)
	c.Check(target.runs.Load(), qt.Equals, int64(0))
}
