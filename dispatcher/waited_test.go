package dispatcher

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against callers that come back and are taken for those of a first try, and against a
// longest time that is remembered for ever.
func TestWaitedTrackerComparesWithFirstTries(t *testing.T) {
	c := qt.New(t)
	var tracker waitedTracker
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	key, other := waitedKey{customer: "a", contract: "x"}, waitedKey{customer: "b", contract: "x"}
	c.Check(tracker.observe(key, 4*time.Second, now), qt.Equals, time.Duration(0))
	c.Check(tracker.observe(key, 3*time.Second, now.Add(time.Second)), qt.Equals, time.Second)
	c.Check(tracker.observe(other, 3*time.Second, now.Add(time.Second)), qt.Equals, time.Duration(0))
	c.Check(tracker.observe(key, 3*time.Second, now.Add(11*time.Second)), qt.Equals, time.Second)
	c.Check(tracker.observe(key, 3*time.Second, now.Add(22*time.Second)), qt.Equals, time.Duration(0))
}
