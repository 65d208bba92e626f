package placer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// A warm target turns cold and says so in the response to a call, as it would in one to a probe.
// The owner must not send it its usual share until a probe happens to tell; the instance that
// got the response may be another than the owner.
func TestTargetThatTurnsColdInAResponseIsRateLimited(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("x", "a"))
	got := h.acquireFresh("x")
	c.Assert(got, qt.HasLen, 1)
	result := grantResult(newEndTurnRequest(hemlocktally.GrantResult{
		Grant: got[0], Contract: "c", Outcome: hemlocktally.AttemptDone, Latency: 100 * time.Millisecond,
		ReportedCold: true, ColdFor: 3 * time.Second,
	}))
	h.update(ReleaseMsg{Result: result})
	served := 0
	for range 40 {
		h.advance(20 * time.Millisecond)
		for _, grant := range h.acquireFresh("x") {
			c.Check(grant.Cold, qt.IsTrue)
			served++
			h.releaseWith(grant, func(*hemlocktally.GrantResult) {})
		}
	}
	c.Check(served <= 6, qt.IsTrue, qt.Commentf("%d calls in 0.8 s on a target that takes 6.5 a second", served))
}
