package balancer_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/balancer"
	"hemlocktally/imitator"
)

// rolloutFleet is a fleet with rollouts on and callers at all instances.
type rolloutFleet struct {
	*fleet
	calls  atomic.Int64
	failed atomic.Int64
}

func startRolloutFleet(t *testing.T) *rolloutFleet {
	t.Helper()
	f := &rolloutFleet{fleet: startFleetWith(t, func(s *balancer.Settings) { s.Rollouts.ExposureShare = 0.1 }, "a", "b", "c")}
	for worker := range 3 {
		f.spawn(func(ctx context.Context) error {
			for n := 0; ctx.Err() == nil; n++ {
				f.calls.Add(1)
				got := f.call(f.instances[worker], http.MethodGet, "/read/x", fmt.Sprintf("w-%d-%d", worker, n))
				if got.status != http.StatusOK && ctx.Err() == nil {
					f.failed.Add(1)
				}
				time.Sleep(15 * time.Millisecond)
			}
			return nil
		})
	}
	return f
}

// addVersion starts six targets of a version and returns them.
func (f *rolloutFleet) addVersion(version string, faults imitator.UpstreamFaults) []*imitator.Upstream {
	f.t.Helper()
	var list []*imitator.Upstream
	for i := range 6 {
		u := &imitator.Upstream{
			ID: fmt.Sprintf("%s-%d", version, i), Service: "s", Zone: string("abc"[i%3]), Slots: 2, Queue: 4, Work: 15 * time.Millisecond, Version: version,
		}
		u.SetFaults(faults)
		f.addUpstream(u)
		list = append(list, u)
	}
	return list
}

// order writes an order and waits until the status says that it has ended. It returns the status and
// the number of calls meanwhile.
func (f *rolloutFleet) order(version string) (status string, calls int) {
	f.t.Helper()
	before := f.calls.Load()
	f.directory.Put("op/rollout/s", `{"service":"s","targetVersion":"`+version+`","duration":"8s"}`)
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		status, _ = f.directory.Get("status/rollout/s")
		for _, state := range []string{"completed", "rolled_back"} {
			if status == `{"state":"`+state+`","targetVersion":"`+version+`"}` {
				return state, int(f.calls.Load() - before)
			}
		}
	}
	f.t.Fatalf("the rollout of %s did not end; status %s", version, status)
	return "", 0
}

func arrivals(list []*imitator.Upstream) int {
	sum := 0
	for _, u := range list {
		sum += u.Arrivals()
	}
	return sum
}

// Guards, over real sockets, against a good version that is not completed, calls to old targets after
// that, a bad version that gets more than its part, and calls to a version that was never ordered.
func TestRolloutsOverSockets(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startRolloutFleet(t)
	old := f.upstreams
	stray := f.addVersion("v9", imitator.UpstreamFaults{})
	time.Sleep(4 * time.Second)
	c.Check(arrivals(stray), qt.Equals, 0)

	next := f.addVersion("v2", imitator.UpstreamFaults{})
	state, _ := f.order("v2")
	c.Assert(state, qt.Equals, "completed")
	atCompletion := arrivals(old)
	time.Sleep(time.Second)
	c.Check(arrivals(old), qt.Equals, atCompletion)
	c.Check(arrivals(next) > 0, qt.IsTrue)

	bad := f.addVersion("v3", imitator.UpstreamFaults{Foreign: true})
	state, calls := f.order("v3")
	c.Assert(state, qt.Equals, "rolled_back")
	time.Sleep(500 * time.Millisecond)
	c.Check(arrivals(bad) <= calls/10+50, qt.IsTrue, qt.Commentf("%d of %d", arrivals(bad), calls))
	atRollback := arrivals(bad)
	time.Sleep(time.Second)
	c.Check(arrivals(bad), qt.Equals, atRollback)
	c.Check(arrivals(stray), qt.Equals, 0)
	c.Check(f.failed.Load(), qt.Equals, int64(0), qt.Commentf("of %s calls", strconv.FormatInt(f.calls.Load(), 10)))
}
