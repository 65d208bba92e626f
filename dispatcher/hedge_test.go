package dispatcher_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

func TestSlowCallIsHedged(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	defer close(release)
	slow := serveRaw(t, func(n int64, _ *http.Request, conn net.Conn) bool {
		if n > 30 {
			<-release
		}
		return answer(conn, okAnswer)
	})
	fast := serveRaw(t, always(okAnswer))
	h := newHarness(t, hemlocktally.Contract{Hedge: true, Priority: hemlocktally.PriorityHigh, Deadline: time.Minute}, slow, fast)
	for range 30 {
		c.Assert(h.send("GET", "/log", "").body, qt.Equals, "ok")
	}
	first := fast.runs.Load()
	c.Assert(h.send("GET", "/log", "").body, qt.Equals, "ok")
	c.Check(fast.runs.Load(), qt.Equals, first+1)
	last := h.turns.requests[len(h.turns.requests)-1]
	c.Check(last.Kind, qt.Equals, hemlocktally.AttemptHedge)
	c.Check(last.Exclude, qt.DeepEquals, []hemlocktally.TargetName{"a"})
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		outcomes := h.turns.outcomes()
		if outcomes[len(outcomes)-1] == hemlocktally.AttemptCancelled {
			return
		}
	}
	t.Fatal("the loser's turn was not given back as cancelled")
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
	c.Check(h.turns.outcomes(), qt.DeepEquals, []hemlocktally.AttemptOutcome{
		hemlocktally.AttemptDone, hemlocktally.AttemptCancelled, hemlocktally.AttemptDone,
	})
}
