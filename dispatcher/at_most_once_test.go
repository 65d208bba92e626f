package dispatcher_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/dialer"
	"hemlocktally/dispatcher"
)

func newDispatcher(config hemlocktally.ConfigurationSource, granter hemlocktally.Granter) *dispatcher.Dispatcher {
	return &dispatcher.Dispatcher{
		InstanceID: "entry-1", Configuration: config, Granter: granter, Links: &dialer.Dialer{},
		BodyLimit: 1 << 20, BufferLimit: 4 << 10,
	}
}

// respondOnce responds to the first request and closes the connection on all
// others without a response.
func respondOnce(n int64, _ *http.Request, conn net.Conn) bool {
	return n == 1 && writeText(conn, okResponse)
}

func TestNonIdempotentCallIsNotResentOnABrokenConnection(t *testing.T) {
	for _, method := range []string{"POST", "GET", "PUT", "DELETE"} {
		t.Run(method, func(t *testing.T) {
			c := qt.New(t)
			target := startScriptedTarget(t, respondOnce)
			h := newHarness(t, hemlocktally.Contract{NonIdempotent: true, Deadline: 2 * time.Second}, target)
			c.Assert(h.send(method, "/pay", "", "Idempotency-Key", "k1").status, qt.Equals, 200)
			got := h.send(method, "/pay", "", "Idempotency-Key", "k2")
			c.Check(got.header.Get(hemlocktally.HeaderOutcome), qt.Equals, "Unknown")
			c.Check(target.runs.Load(), qt.Equals, int64(2), qt.Commentf("each call must reach the target once"))
		})
	}
}

func TestOutcomeTellsWhetherTheCallMayHaveRun(t *testing.T) {
	cut := func(int64, *http.Request, net.Conn) bool { return false }
	declare := func(_ int64, _ *http.Request, conn net.Conn) bool {
		return writeText(conn, "HTTP/1.1 503 Busy\r\nHemlocktally-Not-Run: true\r\nContent-Length: 0\r\n\r\n")
	}
	switched := func(_ int64, _ *http.Request, conn net.Conn) bool {
		return writeText(conn, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n")
	}
	informed := func(_ int64, _ *http.Request, conn net.Conn) bool {
		return writeText(conn, "HTTP/1.1 103 Early Hints\r\n\r\n") && false
	}
	for _, test := range []struct {
		name       string
		first      func(int64, *http.Request, net.Conn) bool
		outcome    string
		secondRuns int64 // secondRuns is the expected number of requests at the second target.
	}{
		{"cut after the request", cut, "Unknown", 0},
		{"declared as not run", declare, "Done", 1},
		{"switched protocols", switched, "Unknown", 0},
		{"only an informational response", informed, "Unknown", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			first := startScriptedTarget(t, test.first)
			second := startScriptedTarget(t, func(_ int64, _ *http.Request, conn net.Conn) bool { return writeText(conn, okResponse) })
			h := newHarness(t, hemlocktally.Contract{NonIdempotent: true}, first, second)
			got := h.send("POST", "/pay", "body")
			c.Check(got.header.Get(hemlocktally.HeaderOutcome), qt.Equals, test.outcome)
			c.Check(first.runs.Load(), qt.Equals, int64(1))
			c.Check(second.runs.Load(), qt.Equals, test.secondRuns)
		})
	}
}

func TestUnreachableTargetIsNotRun(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(listener.Close(), qt.IsNil)
	h := newHarness(t, hemlocktally.Contract{NonIdempotent: true}, &scriptedTarget{address: listener.Addr().String()})
	got := h.send("POST", "/pay", "body")
	c.Check(got.header.Get(hemlocktally.HeaderOutcome), qt.Equals, "NotRun")
	c.Check(got.header.Get("Retry-After"), qt.Equals, "1")
	c.Check(h.granter.outcomes(), qt.DeepEquals, []hemlocktally.AttemptOutcome{hemlocktally.AttemptUnused})
}

func TestGrantIsNotUsedAfterItsLease(t *testing.T) {
	c := qt.New(t)
	target := startScriptedTarget(t, func(_ int64, _ *http.Request, conn net.Conn) bool { return writeText(conn, okResponse) })
	h := newHarness(t, hemlocktally.Contract{}, target)
	h.granter.leaseEnd = time.Now().Add(-time.Millisecond)
	got := h.send("GET", "/log", "")
	c.Check(got.header.Get(hemlocktally.HeaderOutcome), qt.Equals, "NotRun")
	c.Check(target.runs.Load(), qt.Equals, int64(0))
}

func TestTargetOutOfServiceGetsNoCalls(t *testing.T) {
	c := qt.New(t)
	out := startScriptedTarget(t, respondWith(okResponse))
	in := startScriptedTarget(t, respondWith(okResponse))
	h := newHarness(t, hemlocktally.Contract{NonIdempotent: true}, out, in)
	h.config.config.Services[0].Targets[0].Out = true // The granter does not know of it yet.
	c.Check(h.send("POST", "/pay", "body").body, qt.Equals, "ok")
	c.Check(out.runs.Load(), qt.Equals, int64(0))
	c.Check(in.runs.Load(), qt.Equals, int64(1))
}
