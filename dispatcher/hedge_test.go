package dispatcher_test

import (
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/dialer"
)

func TestSlowCallIsHedged(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	defer close(release)
	// After 20 calls the contract's p95 latency is known. Earlier calls can't be
	// hedged.
	const warmupCalls = 20
	slow := startScriptedTarget(t, func(n int64, _ *http.Request, conn net.Conn) bool {
		if n > warmupCalls {
			<-release
		}
		return writeText(conn, okResponse)
	})
	fast := startScriptedTarget(t, respondWith(okResponse))
	h := newHarness(t, hemlocktally.Contract{Hedge: true, Priority: hemlocktally.PriorityHigh, Deadline: time.Minute}, slow, fast)
	for range warmupCalls {
		c.Assert(h.send("GET", "/log", "").body, qt.Equals, "ok")
	}
	runsBefore := fast.runs.Load()
	c.Assert(h.send("GET", "/log", "").body, qt.Equals, "ok")
	c.Check(fast.runs.Load(), qt.Equals, runsBefore+1)
	last := h.granter.requests[len(h.granter.requests)-1]
	c.Check(last.Kind, qt.Equals, hemlocktally.AttemptHedge)
	c.Check(last.Exclude, qt.DeepEquals, []hemlocktally.TargetName{"a"})
	h.granter.awaitOutcomes(t, append(slices.Repeat([]hemlocktally.AttemptOutcome{hemlocktally.AttemptDone}, warmupCalls+1), hemlocktally.AttemptCancelled)...)
}

func TestSilentConnectionIsClosedAndTheCallRetried(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	defer close(release)
	target := startScriptedTarget(t, func(n int64, _ *http.Request, conn net.Conn) bool {
		if n == 2 {
			<-release
		}
		return writeText(conn, okResponse)
	})
	h := newHarness(t, hemlocktally.Contract{Deadline: time.Minute}, target)
	c.Assert(h.send("GET", "/log", "").body, qt.Equals, "ok")
	time.Sleep(300 * time.Millisecond) // From here on, the connection counts as unproven.
	c.Assert(h.send("GET", "/log", "").body, qt.Equals, "ok")
	c.Check(target.runs.Load(), qt.Equals, int64(3))
	c.Check(h.granter.requests[2].Exclude, qt.HasLen, 0)
	h.granter.awaitOutcomes(t, hemlocktally.AttemptDone, hemlocktally.AttemptDone, hemlocktally.AttemptCancelled)
	c.Check(h.Links.(*dialer.Dialer).Links(target.address), qt.Equals, 1)
}

// A connection that seems dead, but whose target is only slow, is kept if no other
// attempt is allowed.
func TestSlowTargetOnASilentConnectionIsWaitedFor(t *testing.T) {
	c := qt.New(t)
	target := startScriptedTarget(t, func(n int64, _ *http.Request, conn net.Conn) bool {
		if n == 2 {
			time.Sleep(600 * time.Millisecond) // Longer than the silence timeout while the p95 is unknown.
		}
		return writeText(conn, okResponse)
	})
	h := newHarness(t, hemlocktally.Contract{Deadline: time.Minute}, target)
	h.granter.refuse = func(request hemlocktally.GrantRequest) error {
		if request.Kind == hemlocktally.AttemptRetry {
			return &hemlocktally.RefusedError{Outcome: hemlocktally.OutcomeNotRun, Reason: hemlocktally.ReasonRetryBudget}
		}
		return nil
	}
	c.Assert(h.send("GET", "/log", "").body, qt.Equals, "ok")
	time.Sleep(300 * time.Millisecond) // From here on, the connection counts as unproven.
	c.Check(h.send("GET", "/log", "").body, qt.Equals, "ok")
	c.Check(target.runs.Load(), qt.Equals, int64(2))
}
