package experimenter

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/loader"
)

// TestPromisesHoldWhileTheOwnerCrashesAndTargetsTurnCold runs a small fleet
// under faults and asks for what must hold whatever the machine's speed.
func TestPromisesHoldWhileTheOwnerCrashesAndTargetsTurnCold(t *testing.T) {
	c := qt.New(t)
	run := BenchRun{Policy: loader.PolicyOwner, Seed: 5, Scenario: Scenario{
		Name: "test", For: 1500 * time.Millisecond, Load: 0.3, Instances: 4, Targets: 4, Mean: 10 * time.Millisecond,
		HighShare: 0.3, WriteShare: 0.3, ColdEvery: 400 * time.Millisecond, CrashAt: 600 * time.Millisecond,
		StraggleEvery: 300 * time.Millisecond, StraggleFor: 100 * time.Millisecond, StraggleSlow: 5,
		ZoneOutAt: 800 * time.Millisecond, ZoneBackAt: 1200 * time.Millisecond,
	}}
	result, err := run.Run(context.Background(), &BenchCounters{})
	c.Assert(err, qt.IsNil)
	c.Check(result.Counters.Done.Load() > 0, qt.IsTrue)
	c.Check(result.Counters.Wrong.Load(), qt.Equals, uint64(0))
	c.Check(result.Counters.Cut.Load(), qt.Equals, uint64(0))
	c.Check(result.Doubled, qt.Equals, 0)
	c.Check(result.FalseNotRun, qt.Equals, 0)
	c.Check(result.Broken, qt.Equals, uint64(0))
}
