package dispatcher_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// namingDialect is a protocol in which callers name their calls and targets repeat the name.
type namingDialect struct{}

const (
	headerTestCall   = "Test-Call"
	headerTestNotRun = "Test-Not-Run"
	headerTestLimit  = "Test-Limit"
)

func (namingDialect) CallID(header http.Header) hemlocktally.CallID {
	return hemlocktally.CallID(header.Get(headerTestCall))
}

func (namingDialect) TimeLeft(http.Header) (time.Duration, bool, error) { return 0, false, nil }

func (namingDialect) WriteAttempt(http.Header, hemlocktally.AttemptInfo) {}

func (d namingDialect) ReadResponse(_ int, header http.Header) hemlocktally.ResponseInfo {
	return hemlocktally.ResponseInfo{
		Call: d.CallID(header), NotRun: header.Get(headerTestNotRun) != "",
		Limit: &hemlocktally.RateLimit{Named: header.Get(headerTestLimit) != "", PerSecond: 1},
	}
}

func (namingDialect) WriteResponse(http.Header, hemlocktally.CallID) {}

func (namingDialect) WriteRefusal(header http.Header, refused *hemlocktally.RefusedError, _ hemlocktally.CallID) int {
	header.Set(hemlocktally.HeaderOutcome, string(refused.Outcome))
	if refused.Outcome == hemlocktally.OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

func (namingDialect) AllowsCloseDelimited() bool { return true }

// refuseAgain refuses the first request and sends a copy of the refusal in response to the
// second one, which it runs.
func refuseAgain(status string) func(int64, *http.Request, net.Conn) bool {
	refusal := "HTTP/1.1 " + status + "\r\n" + headerTestNotRun + ": 1\r\n" + hemlocktally.HeaderNotRun + ": true\r\nContent-Length: 0\r\n\r\n"
	return func(_ int64, _ *http.Request, conn net.Conn) bool { return writeText(conn, refusal) }
}

// Guards against "not run" for a non-idempotent call that its target runs: the target sends an
// earlier refusal, which names no call, once more on a kept connection. Only the refusal that
// comes first on its connection is believed.
func TestRefusalThatNamesNoCallIsBelievedOnceForEachConnection(t *testing.T) {
	for name, dialect := range map[string]hemlocktally.HeaderCodec{"own": nil, "naming": namingDialect{}} {
		for _, status := range []string{"503 Service Unavailable", "400 Bad Request", "421 Misdirected Request"} {
			t.Run(fmt.Sprintf("%s/%.3s", name, status), func(t *testing.T) {
				c := qt.New(t)
				target := startScriptedTarget(t, refuseAgain(status))
				h := newHarness(t, hemlocktally.Contract{NonIdempotent: true}, target)
				h.Dialect = dialect
				c.Check(h.send("POST", "/pay", "", headerTestCall, "c1").header.Get(hemlocktally.HeaderOutcome), qt.Equals, string(hemlocktally.OutcomeNotRun))
				c.Check(h.send("POST", "/pay", "", headerTestCall, "c2").header.Get(hemlocktally.HeaderOutcome), qt.Equals, string(hemlocktally.OutcomeUnknown))
				c.Check(target.runs.Load(), qt.Equals, int64(2))
				other := startScriptedTarget(t, respondWith(okResponse))
				h = newHarness(t, hemlocktally.Contract{NonIdempotent: true}, startScriptedTarget(t, refuseAgain(status)), other)
				h.Dialect = dialect
				h.granter.targets = h.granter.targets[:1]
				h.send("POST", "/pay", "", headerTestCall, "c1")
				h.granter.targets = h.granter.targets[:2]
				h.send("POST", "/pay", "", headerTestCall, "c2")
				c.Check(other.runs.Load(), qt.Equals, int64(0), qt.Commentf("the call ran twice"))
			})
		}
	}
}

// A refusal that names its call is believed on a kept connection, and what it says of its
// target counts.
func TestRefusalThatNamesItsCallIsBelieved(t *testing.T) {
	c := qt.New(t)
	target := startScriptedTarget(t, func(_ int64, r *http.Request, conn net.Conn) bool {
		return writeText(conn, "HTTP/1.1 503 Busy\r\n"+headerTestNotRun+": 1\r\n"+headerTestLimit+": 1\r\n"+headerTestCall+": "+r.Header.Get(headerTestCall)+"\r\nContent-Length: 0\r\n\r\n")
	})
	h := newHarness(t, hemlocktally.Contract{NonIdempotent: true}, target)
	h.Dialect = namingDialect{}
	for n := range 3 {
		c.Check(h.send("POST", "/pay", "", headerTestCall, fmt.Sprint("c", n)).status, qt.Equals, http.StatusServiceUnavailable)
	}
	for _, result := range h.granter.results {
		c.Check(result.Limit.Named, qt.IsTrue)
	}
}

// Guards against an earlier response that changes what is known of its target, here by naming
// no limit.
func TestResponseThatNamesNoCallTellsNothingOfItsTarget(t *testing.T) {
	c := qt.New(t)
	target := startScriptedTarget(t, respondWith("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"))
	h := newHarness(t, hemlocktally.Contract{NonIdempotent: true}, target)
	h.Dialect = namingDialect{}
	h.send("POST", "/pay", "", headerTestCall, "c1")
	h.send("POST", "/pay", "", headerTestCall, "c2")
	c.Assert(h.granter.results, qt.HasLen, 2)
	c.Check(h.granter.results[0].Limit, qt.IsNotNil, qt.Commentf("the first response on its connection"))
	c.Check(h.granter.results[1].Limit, qt.IsNil)
}

// A caller that gives no ID leaves its target nothing to repeat: its call gets a connection of
// its own, on which no other call's response can arrive.
func TestCallsWithoutIDGetFreshConnections(t *testing.T) {
	c := qt.New(t)
	const calls = 3
	connections := make(chan string, calls)
	target := startScriptedTarget(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
		connections <- conn.RemoteAddr().String()
		return writeText(conn, okResponse)
	})
	h := newHarness(t, hemlocktally.Contract{NonIdempotent: true}, target)
	h.Dialect = namingDialect{}
	used := map[string]bool{}
	for range calls {
		c.Check(h.send("POST", "/pay", "").status, qt.Equals, http.StatusOK)
		used[<-connections] = true
	}
	c.Check(used, qt.HasLen, calls)
}
