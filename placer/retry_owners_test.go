package placer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// In a burst the first owner of a service stalls at times, so that instances ask the further
// ones, until all owners count retries of the service at the same moment. The slack of the
// budget is one for the fleet: together they must not spend it several times over.
func TestOwnersThatCountAtOnceShareTheRetrySlack(t *testing.T) {
	c := qt.New(t)
	const owners, callsPerOwner = 5, 20
	granted := 0
	for n := range owners {
		h := newHarness()
		h.update(RankMsg{Rank: Rank{Further: n > 0, Others: owners - 1}})
		retries, window := &h.state.retries, h.state.Bounds.RetryWindow
		retries.recordCall(h.now, window)
		h.now = h.now.Add(time.Minute) // The owner has known the service for longer than the window.
		for range callsPerOwner {
			retries.recordCall(h.now, window)
		}
		for ; retries.allows(h.now, h.state.effectiveBounds(), retryShare(hemlocktally.AttemptRetry)); granted++ {
			retries.recordRetry(h.now)
		}
	}
	const allowed = 0.2*owners*callsPerOwner + 56
	c.Check(float64(granted) <= allowed, qt.IsTrue, qt.Commentf("%d retries, %.0f allowed", granted, allowed))
	c.Check(granted >= 40, qt.IsTrue, qt.Commentf("%d retries", granted))
}
