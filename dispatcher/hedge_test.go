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
	// So many calls make the class known; none of them can be hedged itself.
	const learned = 20
	slow := serveRaw(t, func(n int64, _ *http.Request, conn net.Conn) bool {
		if n > learned {
			<-release
		}
		return answer(conn, okAnswer)
	})
	fast := serveRaw(t, always(okAnswer))
	h := newHarness(t, hemlocktally.Contract{Hedge: true, Priority: hemlocktally.PriorityHigh, Deadline: time.Minute}, slow, fast)
	for range learned {
		c.Assert(h.send("GET", "/log", "").body, qt.Equals, "ok")
	}
	first := fast.runs.Load()
	c.Assert(h.send("GET", "/log", "").body, qt.Equals, "ok")
	c.Check(fast.runs.Load(), qt.Equals, first+1)
	last := h.turns.requests[len(h.turns.requests)-1]
	c.Check(last.Kind, qt.Equals, hemlocktally.AttemptHedge)
	c.Check(last.Exclude, qt.DeepEquals, []hemlocktally.TargetName{"a"})
	h.turns.await(t, append(slices.Repeat([]hemlocktally.AttemptOutcome{hemlocktally.AttemptDone}, learned+1), hemlocktally.AttemptCancelled)...)
}

func TestSilentLinkIsDroppedAndTheCallRetried(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	defer close(release)
	target := serveRaw(t, func(n int64, _ *http.Request, conn net.Conn) bool {
		if n == 2 {
			<-release
		}
		return answer(conn, okAnswer)
	})
	h := newHarness(t, hemlocktally.Contract{Deadline: time.Minute}, target)
	c.Assert(h.send("GET", "/log", "").body, qt.Equals, "ok")
	time.Sleep(300 * time.Millisecond) // The link is unproven from here on.
	c.Assert(h.send("GET", "/log", "").body, qt.Equals, "ok")
	c.Check(target.runs.Load(), qt.Equals, int64(3))
	c.Check(h.turns.requests[2].Exclude, qt.HasLen, 0)
	h.turns.await(t, hemlocktally.AttemptDone, hemlocktally.AttemptDone, hemlocktally.AttemptCancelled)
	c.Check(h.Links.(*dialer.Dialer).Links(target.address), qt.Equals, 1)
}

// A link that only seems silent is kept while no other attempt is allowed.
func TestSlowTargetOnAQuietLinkIsWaitedFor(t *testing.T) {
	c := qt.New(t)
	target := serveRaw(t, func(n int64, _ *http.Request, conn net.Conn) bool {
		if n == 2 {
			time.Sleep(600 * time.Millisecond) // Longer than the patience with an unknown class.
		}
		return answer(conn, okAnswer)
	})
	h := newHarness(t, hemlocktally.Contract{Deadline: time.Minute}, target)
	h.turns.refuse = func(request hemlocktally.GrantRequest) error {
		if request.Kind == hemlocktally.AttemptRetry {
			return &hemlocktally.RefusedError{Outcome: hemlocktally.OutcomeNotRun, Reason: hemlocktally.ReasonRetryBudget}
		}
		return nil
	}
	c.Assert(h.send("GET", "/log", "").body, qt.Equals, "ok")
	time.Sleep(300 * time.Millisecond) // The link is unproven from here on.
	c.Check(h.send("GET", "/log", "").body, qt.Equals, "ok")
	c.Check(target.runs.Load(), qt.Equals, int64(2))
}
