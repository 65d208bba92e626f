package dispatcher_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

func TestLargeBodiesAreStreamedBothWays(t *testing.T) {
	c := qt.New(t)
	echo := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}))
	defer echo.Close()
	h := newHarness(t, hemlocktally.Contract{Deadline: 10 * time.Second}, &scriptedTarget{address: strings.TrimPrefix(echo.URL, "http://")})
	body := strings.Repeat("0123456789", 90_000)
	got := h.send("POST", "/x", body)
	c.Assert(got.err, qt.IsNil)
	c.Check(got.body == body, qt.IsTrue)
	chunked, err := http.Post(h.url, "text/plain", io.MultiReader(strings.NewReader(body)))
	c.Assert(err, qt.IsNil)
	back, err := io.ReadAll(chunked.Body)
	c.Assert(err, qt.IsNil)
	c.Check(chunked.Body.Close(), qt.IsNil)
	c.Check(bytes.Equal(back, []byte(body)), qt.IsTrue)
}

// The owner prices traffic between zones by the size of responses, so each result must tell it,
// whether the response was buffered or streamed, with or without a length.
func TestResultsTellTheSizeOfTheResponse(t *testing.T) {
	const streamed = 900_000 // More than the buffer limit.
	for name, test := range map[string]struct {
		size    int
		chunked bool
	}{
		"buffered": {100, false}, "streamed": {streamed, false}, "streamed without a length": {streamed, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if test.chunked {
					w.(http.Flusher).Flush()
				}
				_, _ = w.Write(make([]byte, test.size))
			}))
			defer target.Close()
			h := newHarness(t, hemlocktally.Contract{Deadline: 10 * time.Second}, &scriptedTarget{address: strings.TrimPrefix(target.URL, "http://")})
			c.Assert(h.send("GET", "/x", "").err, qt.IsNil)
			h.granter.awaitOutcomes(t, hemlocktally.AttemptDone)
			c.Check(h.granter.results[0].ResponseBytes, qt.Equals, int64(test.size))
		})
	}
}

func TestStreamedBodyIsSentOnce(t *testing.T) {
	c := qt.New(t)
	second := startScriptedTarget(t, respondWith(okResponse))
	h := newHarness(t, hemlocktally.Contract{}, startScriptedTarget(t, respondAndClose("")), second)
	got := h.send("POST", "/x", strings.Repeat("x", 64<<10))
	c.Check(got.header.Get(hemlocktally.HeaderOutcome), qt.Equals, "Unknown")
	c.Check(second.runs.Load(), qt.Equals, int64(0))
}

func TestBodyOverTheLimitIsRefused(t *testing.T) {
	c := qt.New(t)
	target := startScriptedTarget(t, respondWith(okResponse))
	h := newHarness(t, hemlocktally.Contract{}, target)
	got := h.send("POST", "/x", strings.Repeat("x", 2<<20))
	c.Check(got.err != nil || got.status == http.StatusRequestEntityTooLarge, qt.IsTrue, qt.Commentf("%v", got.err))
	c.Check(target.runs.Load(), qt.Equals, int64(0))
	response, err := http.Post(h.url, "text/plain", io.MultiReader(strings.NewReader(strings.Repeat("x", 2<<20))))
	if err == nil {
		c.Check(response.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
		c.Check(response.Header.Get(hemlocktally.HeaderOutcome), qt.Equals, "Unknown")
		c.Check(response.Body.Close(), qt.IsNil)
	}
	c.Check(target.runs.Load(), qt.Equals, int64(0))
}

// A caller that stops sending its body must not keep an attempt open beyond the
// deadline.
func TestDeadlineEndsAStalledUpload(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, hemlocktally.Contract{Deadline: 200 * time.Millisecond}, startScriptedTarget(t, respondWith(okResponse)))
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 50_000))
	c.Assert(err, qt.IsNil)
	c.Assert(conn.SetReadDeadline(time.Now().Add(8*time.Second)), qt.IsNil)
	text, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Check(string(text), qt.Contains, "504 Gateway Timeout")
	c.Check(string(text), qt.Contains, "Hemlocktally-Outcome: Unknown")
}

// A response that arrives before the request body was sent is forwarded
// completely.
func TestEarlyResponseIsForwarded(t *testing.T) {
	c := qt.New(t)
	early := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(hemlocktally.HeaderNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer early.Close()
	h := newHarness(t, hemlocktally.Contract{NonIdempotent: true}, &scriptedTarget{address: strings.TrimPrefix(early.URL, "http://")})
	got := h.send("POST", "/x", strings.Repeat("x", 900_000))
	if got.err == nil {
		c.Check(got.status, qt.Equals, http.StatusBadGateway)
		c.Check(got.header.Get(hemlocktally.HeaderOutcome), qt.Equals, "NotRun")
	}
	c.Check(h.granter.outcomes()[0] == hemlocktally.AttemptRefused || h.granter.outcomes()[0] == hemlocktally.AttemptFailed, qt.IsTrue)
}

func TestIdempotentCallIsCancelledWithItsCaller(t *testing.T) {
	c := qt.New(t)
	cancelled := make(chan struct{})
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	}))
	defer target.Close()
	h := newHarness(t, hemlocktally.Contract{Deadline: time.Minute}, &scriptedTarget{address: strings.TrimPrefix(target.URL, "http://")})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url+"/log", nil)
	c.Assert(err, qt.IsNil)
	c.Assert(sendAndDiscard(request), qt.ErrorIs, context.DeadlineExceeded)
	select {
	case <-cancelled:
	case <-time.After(10 * time.Second):
		t.Fatal("the request to the target was not cancelled within 10 s")
	}
}
