package runner_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/experimenter"
)

// A planned stop under load cuts no call and turns none away.
func TestPlannedStopCutsNoCall(t *testing.T) {
	c := qt.New(t)
	fleet := startFleet(t)
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	time.AfterFunc(300*time.Millisecond, func() { fleet.StopInstance(1) })
	time.AfterFunc(800*time.Millisecond, func() { fleet.StopInstance(2) })
	var counters experimenter.LoadCounters
	experimenter.Load(ctx, fleet, []experimenter.Stream{
		{Name: "read", Method: "GET", Path: "/catalogue/", Rate: 200},
		{Name: "hold", Method: "POST", Path: "/holds/", Rate: 100, Keyed: true},
	}, 1, &counters)
	c.Check(counters.Broken.Load(), qt.Equals, uint64(0))
	c.Check(counters.Wrong.Load(), qt.Equals, uint64(0))
	c.Check(counters.Refused.Load(), qt.Equals, uint64(0))
	c.Check(counters.Done.Load(), qt.Equals, counters.Sent.Load())
	c.Check(fleet.Doubled(), qt.Equals, 0)
}
