package allocator

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// A provisional stop changes the configuration but not its revision. It must
// still reach the owner.
func TestOwnerAppliesAStopWithoutARevision(t *testing.T) {
	c := qt.New(t)
	config := &storedConfiguration{}
	config.Store(&hemlocktally.Configuration{Revision: 1, Services: []hemlocktally.Service{{
		Name: "reads", Targets: []hemlocktally.Target{{Name: "t0", Address: "x", Zone: "a"}},
	}}})
	server := &Server{Self: "owner", Configuration: config, Grants: &GrantRegistry{}}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { c.Check(server.Run(ctx), qt.IsNil) })
	defer group.Wait()
	defer cancel()
	reason := func() string {
		for _, status := range server.Statuses() {
			return status.Reason
		}
		return ""
	}
	await := func(wanted bool) bool {
		const stopped = "operators took it or its zone out of service"
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if found := reason(); found != "" && (found == stopped) == wanted {
				return true
			}
		}
		return false
	}
	c.Assert(await(false), qt.IsTrue)
	c.Check(server.AppliedRevision(), qt.Equals, hemlocktally.Revision(1))
	stopped := *config.Current()
	stopped.Zones = []hemlocktally.AvailabilityZone{{Name: "a", Out: true}}
	config.Store(&stopped)
	c.Check(await(true), qt.IsTrue)
}

// Promises are renewed at the short interval only for services with cold targets
// and recent requests.
func TestColdTargetsWithoutDemandCanWait(t *testing.T) {
	c := qt.New(t)
	server := &Server{Self: "owner"}
	view := newOwnerView(server.currentView())
	now := time.Now()
	owner := &Owner{Started: now.Add(-time.Hour)}
	owners := map[hemlocktally.ServiceName]*Owner{"reads": owner}
	for _, test := range []struct {
		needsExclusivity bool
		sinceRequest     time.Duration
		urgent           bool
	}{{true, 0, true}, {true, demandDuration - time.Millisecond, true}, {true, demandDuration, false}, {false, 0, false}} {
		owner.summary.Store(&summary{needsExclusivity: test.needsExclusivity, lastRequestAt: now.Add(-test.sinceRequest)})
		urgent, newOwner := server.demand(view, owners, now)
		c.Check(urgent, qt.Equals, test.urgent, qt.Commentf("%+v", test))
		c.Check(newOwner, qt.IsFalse)
	}
}
