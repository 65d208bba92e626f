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
	ended  atomic.Bool // ended is set when the callers are to stop.
}

// startRolloutFleet starts the fleet, with callers at the given instances.
func startRolloutFleet(t *testing.T, called ...int) *rolloutFleet {
	t.Helper()
	f := &rolloutFleet{fleet: startFleetWith(t, func(s *balancer.Settings) { s.Rollouts.ExposureShare = 0.1 }, "a", "b", "c")}
	for _, worker := range called {
		f.spawn(func(ctx context.Context) error {
			for n := 0; ctx.Err() == nil && !f.ended.Load(); n++ {
				f.calls.Add(1)
				got := f.call(f.instances[worker], http.MethodGet, "/read/x", fmt.Sprintf("w-%d-%d", worker, n))
				if got.status != http.StatusOK && !f.ended.Load() {
					f.failed.Add(1)
					t.Logf("call %d of worker %d: status %d, error %v, %s", n, worker, got.status, got.err, got.body)
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
	return f.awaitEnd(version), int(f.calls.Load() - before)
}

// awaitEnd waits until the status says that the order has ended, and returns it.
func (f *rolloutFleet) awaitEnd(version string) string {
	f.t.Helper()
	status := ""
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		status, _ = f.directory.Get("status/rollout/s")
		for _, state := range []string{"completed", "rolled_back"} {
			if status == `{"state":"`+state+`","targetVersion":"`+version+`"}` {
				return state
			}
		}
	}
	f.t.Fatalf("the rollout of %s did not end; status %s", version, status)
	return ""
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
	f := startRolloutFleet(t, 0, 1, 2)
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
	f.ended.Store(true)
	c.Check(f.failed.Load(), qt.Equals, int64(0), qt.Commentf("of %s calls", strconv.FormatInt(f.calls.Load(), 10)))
}

// Guards against a rollout that ends with its decider, or with the store away for a while: two of
// three owners stop one after the other.
func TestRolloutOutlivesItsDeciders(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startRolloutFleet(t, 2)
	old := f.upstreams
	time.Sleep(4 * time.Second)
	next := f.addVersion("v2", imitator.UpstreamFaults{})
	f.directory.Put("op/rollout/s", `{"service":"s","targetVersion":"v2","duration":"12s"}`)
	time.Sleep(1500 * time.Millisecond)
	f.instances[0].stop()
	time.Sleep(1500 * time.Millisecond)
	f.directory.SetFaults(imitator.DirectoryFaults{Busy: true})
	time.Sleep(2 * time.Second)
	f.directory.SetFaults(imitator.DirectoryFaults{})
	time.Sleep(1500 * time.Millisecond)
	f.instances[1].stop()
	c.Assert(f.awaitEnd("v2"), qt.Equals, "completed")
	atCompletion := arrivals(old)
	time.Sleep(time.Second)
	c.Check(arrivals(old), qt.Equals, atCompletion)
	c.Check(arrivals(next) > 0, qt.IsTrue)
	f.ended.Store(true)
	c.Check(f.failed.Load(), qt.Equals, int64(0))
}

// Guards against an order for a service without calls that nobody carries out, and one that is
// deleted.
func TestRolloutWithoutCalls(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startRolloutFleet(t)
	f.addVersion("v2", imitator.UpstreamFaults{})
	state, _ := f.order("v2")
	c.Check(state, qt.Equals, "completed")
	f.directory.Put("op/rollout/s", `{"service":"s","targetVersion":"v3","duration":"60s"}`)
	time.Sleep(2 * time.Second)
	status, _ := f.directory.Get("status/rollout/s")
	c.Check(status, qt.Equals, `{"state":"running","targetVersion":"v3"}`)
	f.directory.Remove("op/rollout/s")
	c.Check(f.awaitEnd("v3"), qt.Equals, "rolled_back")
}
