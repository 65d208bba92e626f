package follower_test

import (
	"context"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/follower"
	"hemlocktally/imitator"
	"hemlocktally/messenger"
)

// drainBound is how long after its report a draining target may still get calls.
const drainBound = 2 * time.Second

// isolatedHub is the hub of zone a on a store of its own, which can be made to serve it no
// longer, and other instances on another store.
type isolatedHub struct {
	hub      *follower.Follower
	others   []*follower.Follower
	hubStore *directory
	store    *directory
	stop     func()
}

// startIsolatedHub starts the hub and other instances of the zones.
func startIsolatedHub(c *qt.C, zones ...hemlocktally.ZoneName) *isolatedHub {
	hubs := []follower.Hub{{ID: "a1", Zone: "a", PeerAddress: "a1"}}
	for _, zone := range zones {
		if zone != "a" {
			hubs = append(hubs, follower.Hub{ID: hemlocktally.InstanceID(zone + "2"), Zone: zone, PeerAddress: string(zone + "2")})
		}
	}
	f := &isolatedHub{hubStore: storeWithHubs(c, hubs...), store: storeWithHubs(c, hubs...)}
	for _, d := range []*directory{f.hubStore, f.store} {
		putTarget(d, "t", "ready")
	}
	peers := imitator.Network{}
	f.hub = newInstance("a1", "a", slowDirectory{f.hubStore, storeDelay}, peers)
	all := []*follower.Follower{f.hub}
	for _, zone := range zones {
		all = append(all, newInstance(hemlocktally.InstanceID(zone+"2"), zone, slowDirectory{f.store, storeDelay}, peers))
	}
	f.others = all[1:]
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, len(all))
	for _, one := range all {
		peers[string(one.Self.ID)] = messenger.NewRelayServer(one)
	}
	for _, one := range all {
		go func() { done <- one.Run(ctx) }()
	}
	f.stop = func() {
		cancel()
		for range all {
			c.Check(<-done, qt.IsNil)
		}
	}
	return f
}

// cutOffs are the ways in which the store does not serve an instance.
var cutOffs = map[string]func(*directory){
	"Rejected": func(d *directory) { d.rejecting.Store(true) },
	"Silent":   func(d *directory) { d.unreachable.Store(true) },
}

// watch calls NeedTargets on the hub and the check on each millisecond of the span.
func (f *isolatedHub) watch(span time.Duration, check func()) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(time.Millisecond) {
		f.hub.NeedTargets()
		check()
	}
}

// Guards against calls on draining targets by an owner that the store turns away: as long as
// the store serves others, they must not use its list beyond the time that a target may
// still get calls. The cut comes at various moments between two reads.
func TestListOfHubThatTheStoreDoesNotServeIsSuperseded(t *testing.T) {
	ways := maps.Clone(cutOffs)
	ways["OnlyLeasesServed"] = func(d *directory) { d.fail("servers/", true) }
	for name, cutOff := range ways {
		for moment := range 7 {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					f := startIsolatedHub(c, "a")
					f.watch(4*time.Second+time.Duration(moment)*200*time.Millisecond, func() {})
					c.Assert(f.hub.View().Members, qt.HasLen, 1)
					known, _ := f.hub.TargetsFreshness()
					cutOff(f.hubStore)
					cut := time.Now()
					oldest := time.Duration(0)
					f.watch(2900*time.Millisecond, func() {
						if !f.hub.Superseded() {
							oldest = max(oldest, time.Since(later(known, f.hub.FleetState().TargetsReadAt)))
						}
					})
					c.Check(oldest < drainBound, qt.IsTrue, qt.Commentf("used at an age of %s, cut at an age of %s", oldest, cut.Sub(known)))
					f.stop()
				})
			})
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// While the store answers nobody, the old list must stay in use.
func TestListIsNotSupersededDuringOutage(t *testing.T) {
	for name, cutOff := range cutOffs {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := startIsolatedHub(c, "a", "b")
				f.watch(4*time.Second, func() {})
				cutOff(f.hubStore)
				cutOff(f.store)
				f.watch(8*time.Second, func() { c.Assert(f.hub.Superseded(), qt.IsFalse) })
				f.stop()
			})
		})
	}
}

// Guards against calls that are refused after an outage because no target is known: nobody needed
// the targets of a hub meanwhile, so that its first read is the first one to succeed, and entries
// that lapsed have not reappeared yet. Other hubs ask for its list.
func TestLapsedEntriesAreKeptAfterAnOutageWithoutReads(t *testing.T) {
	for name, cutOff := range cutOffs {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := startIsolatedHub(c, "b")
				idle := f.others[0]
				time.Sleep(time.Second)
				idle.NeedTargets()
				time.Sleep(5 * time.Second) // The need ends meanwhile.
				c.Assert(idle.FleetState().Targets["s"], qt.HasLen, 1)
				cutOff(f.store)
				time.Sleep(1500 * time.Millisecond)
				f.store.lapse("servers/t")
				f.store.rejecting.Store(false)
				f.store.unreachable.Store(false)
				for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
					idle.NeedTargets()
					c.Assert(idle.FleetState().Targets["s"], qt.HasLen, 1)
				}
				f.stop()
			})
		})
	}
}

// A hub that the store does not serve must get the list from a hub that can read it, so that
// it goes on deciding for its services.
func TestHubThatTheStoreDoesNotServeAsksOtherHubs(t *testing.T) {
	for name, cutOff := range cutOffs {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := startIsolatedHub(c, "a", "b")
				f.watch(4*time.Second, func() {})
				putTarget(f.store, "t", "draining")
				cutOff(f.hubStore)
				drained := time.Now()
				f.watch(2500*time.Millisecond, func() {
					list := f.hub.FleetState().Targets["s"]
					known := len(list) == 1 && list[0].Draining
					c.Assert(known || time.Since(drained) < drainBound, qt.IsTrue, qt.Commentf("%s", time.Since(drained)))
				})
				f.stop()
			})
		})
	}
}

// An instance that decides alone while the hubs' lists are superseded must read the store
// itself.
func TestInstanceReadsTargetsThatItsHubCannotRead(t *testing.T) {
	for name, cutOff := range cutOffs {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := startIsolatedHub(c, "a")
				other := f.others[0]
				f.watch(4*time.Second, other.NeedTargets)
				putTarget(f.store, "t", "draining")
				cutOff(f.hubStore)
				drained := time.Now()
				f.watch(2500*time.Millisecond, func() {
					other.NeedTargets()
					list := other.FleetState().Targets["s"]
					known := len(list) == 1 && list[0].Draining
					c.Assert(known || time.Since(drained) < drainBound, qt.IsTrue, qt.Commentf("%s", time.Since(drained)))
				})
				f.stop()
			})
		})
	}
}

// A hub takes a service over while the store answers nobody, and did not need the targets before.
// Guards against refusing all calls as long as its first read of the list waits for an answer:
// failed renewals show that there will be none.
func TestListIsUsedByHubThatTakesOverDuringOutage(t *testing.T) {
	for name, cutOff := range cutOffs {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := startIsolatedHub(c, "a", "b")
				f.watch(2*time.Second, func() {})
				time.Sleep(20 * time.Second) // Nobody needs the targets.
				cutOff(f.hubStore)
				cutOff(f.store)
				time.Sleep(2500 * time.Millisecond)
				refusing := time.Duration(0)
				f.watch(3*time.Second, func() {
					if at, readable := f.hub.TargetsFreshness(); readable && time.Since(at) > hemlocktally.MaxTargetListAge {
						refusing += time.Millisecond
					}
				})
				c.Check(refusing < 100*time.Millisecond, qt.IsTrue, qt.Commentf("no call was served for %s", refusing))
				f.stop()
			})
		})
	}
}
