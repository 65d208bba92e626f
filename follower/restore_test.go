package follower_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/follower"
)

// restoredFleet is a hub and two followers in zone a, on a store with the targets t0 to t3.
type restoredFleet struct {
	*storedFleet
	all    []*follower.Follower
	cancel context.CancelFunc
}

func newRestoredFleet() *restoredFleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &restoredFleet{storedFleet: newStoredFleet(), cancel: cancel}
	for n := range 4 {
		f.heartbeat(n, 1, "ready")
	}
	f.all = append(f.all, f.add(ctx, "hub", 0.8))
	time.Sleep(2 * time.Second)
	for n := range 2 {
		f.all = append(f.all, f.add(ctx, hemlocktally.InstanceID(fmt.Sprint("f", n)), 0.16))
	}
	f.needTargetsFor(2 * time.Second)
	return f
}

// heartbeat writes a target's entry with the given sequence number.
func (f *restoredFleet) heartbeat(n, sequence int, state string) {
	f.store.Put(fmt.Sprint("servers/t", n), fmt.Sprintf(
		`{"service":"s","address":"10.0.0.%d:1","zone":"a","slots":2,"state":%q,"born":1,"seq":%d}`, n, state, sequence,
	))
}

// needTargetsFor calls NeedTargets on all instances for the given time.
func (f *restoredFleet) needTargetsFor(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, one := range f.all {
			one.NeedTargets()
		}
	}
}

func (f *restoredFleet) finish(c *qt.C) {
	f.cancel()
	f.wait(c)
}

// usableTargets returns the names of the targets that are not draining.
func usableTargets(one *follower.Follower) []string {
	var names []string
	for _, r := range one.FleetState().Targets["s"] {
		if !r.Draining {
			names = append(names, string(r.Target.Name))
		}
	}
	return names
}

// The store is restored from a backup older than the last configuration. The configuration
// must stay in force, also on an instance that starts later. The next one must reach all
// instances, although the store assigns it a revision that was already used.
func TestConfigurationSurvivesRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newRestoredFleet()
		f.store.TakeCopy()
		f.store.Put("op/config", version("7"))
		for n := range 5 {
			f.store.Put(fmt.Sprint("op/else", n), "x")
		}
		f.needTargetsFor(time.Second)
		f.store.Restore()
		begun := time.Now()
		for time.Since(begun) < 3*time.Second {
			f.needTargetsFor(100 * time.Millisecond)
			for _, one := range f.all {
				c.Check(one.Current().Revision, qt.Equals, hemlocktally.Revision(7))
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		f.all = append(f.all, f.add(ctx, "late", 0.16))
		time.Sleep(time.Second)
		c.Check(f.all[3].Current().Revision, qt.Equals, hemlocktally.Revision(7), qt.Commentf("an instance started after the restore"))
		f.store.Put("op/config", version("8"))
		for n := range 9 {
			f.store.Put(fmt.Sprint("op/more", n), "x") // The revision exceeds those from before the restore.
		}
		time.Sleep(2 * time.Second)
		for _, one := range f.all {
			c.Check(one.Current().Revision, qt.Equals, hemlocktally.Revision(8))
		}
		cancel()
		f.finish(c)
	})
}

// outZones lists the zones that are out of service as the instance knows it.
func outZones(one *follower.Follower) []hemlocktally.ZoneName {
	var out []hemlocktally.ZoneName
	for _, zone := range one.Current().Zones {
		if zone.Out {
			out = append(out, zone.Name)
		}
	}
	return out
}

// moveZones makes a backup of the store, then takes zone "out" out of service and brings
// zone "back" back.
func (f *restoredFleet) moveZones() {
	f.store.Put("op/evacuate/back", "{}")
	f.needTargetsFor(time.Second)
	f.store.TakeCopy()
	f.store.Put("op/evacuate/out", "{}")
	f.store.Remove("op/evacuate/back")
	f.needTargetsFor(2 * time.Second)
}

// checkOut checks which zones are out of service on all instances.
func (f *restoredFleet) checkOut(c *qt.C, zones ...hemlocktally.ZoneName) {
	for _, one := range f.all {
		c.Check(outZones(one), qt.DeepEquals, zones)
	}
}

// checkUsable checks which targets are usable on all instances.
func (f *restoredFleet) checkUsable(c *qt.C, targets []string) {
	for _, one := range f.all {
		c.Check(usableTargets(one), qt.DeepEquals, targets)
	}
}

// After the backup was made, one zone was taken out of service and another brought back.
// Both changes must hold after the restore until they are written again, and at the end of
// the hold the store's content applies.
func TestZoneStopsSurviveRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newRestoredFleet()
		f.moveZones()
		f.store.Restore()
		for range 8 {
			f.needTargetsFor(time.Second)
			f.checkOut(c, "out")
		}
		f.store.Put("op/evacuate/out", "{}") // Both changes are written again.
		f.store.Remove("op/evacuate/back")
		f.needTargetsFor(5 * time.Second)
		f.checkOut(c, "out")
		f.finish(c)
	})
}

// If nobody writes the changes again, the hold must end and the store's content apply.
func TestHoldAfterRestoreEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newRestoredFleet()
		f.moveZones()
		f.store.Restore()
		f.needTargetsFor(13 * time.Second)
		f.checkOut(c, "back")
		f.finish(c)
	})
}

// An operator's change made after the restore must reach all instances at once, even
// during the hold.
func TestChangesDuringHoldApplyAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newRestoredFleet()
		f.store.Put("op/evacuate/z", "{}")
		f.needTargetsFor(time.Second)
		f.store.TakeCopy()
		f.store.Restore()
		f.needTargetsFor(time.Second)
		f.store.Remove("op/evacuate/z")
		f.needTargetsFor(2 * time.Second)
		for _, one := range f.all {
			c.Check(outZones(one), qt.HasLen, 0)
		}
		f.finish(c)
	})
}

// A target removed after the backup must stay removed, and a draining one must keep
// draining. Live targets must stay usable; each of them writes its entry again soon.
func TestRemovedTargetsStayRemovedAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newRestoredFleet()
		f.store.TakeCopy()
		f.store.Remove("servers/t0")
		f.heartbeat(1, 2, "draining")
		f.heartbeat(2, 2, "ready")
		f.heartbeat(9, 1, "ready") // Registered after the backup was made.
		f.needTargetsFor(2 * time.Second)
		want := []string{"t2", "t3", "t9"}
		f.store.Restore()
		f.needTargetsFor(500 * time.Millisecond)
		f.heartbeat(2, 3, "ready")
		f.heartbeat(3, 2, "ready")
		f.heartbeat(9, 2, "ready")
		for range 8 {
			f.needTargetsFor(time.Second)
			f.checkUsable(c, want)
		}
		f.store.Remove("servers/t0") // Both entries have lapsed from the backup by now.
		f.store.Remove("servers/t1")
		f.needTargetsFor(6 * time.Second)
		f.checkUsable(c, want)
		f.finish(c)
	})
}

// The hub's lease is lost by the restore, and its ID may be assigned to another instance.
// The hub must claim its role again within a second, and there must be one hub throughout.
func TestHubReclaimsItsRoleAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		f := newStoredFleet()
		f.store.TakeCopy() // There is no hub yet.
		hub := f.add(ctx, "hub", 0.8)
		time.Sleep(2 * time.Second)
		other := f.add(ctx, "other", 0.7)
		time.Sleep(2 * time.Second)
		before, _ := f.store.Get("hemlocktally/hubs/a")
		for range 2 {
			f.store.Restore()
			time.Sleep(1100 * time.Millisecond)
			after, ok := f.store.Get("hemlocktally/hubs/a")
			c.Check(ok, qt.IsTrue)
			c.Check(after, qt.Equals, before)
			time.Sleep(4 * time.Second)
			c.Check(hubOf(other), qt.Equals, hemlocktally.InstanceID("hub"))
			c.Check(hubOf(hub), qt.Equals, hemlocktally.InstanceID("hub"))
		}
		cancel()
		f.wait(c)
	})
}

// The backup names a hub that has handed over its role since. The current hub must
// overwrite that entry.
func TestHubOfBackupIsOverwritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		f := newStoredFleet()
		weak := f.add(ctx, "weak", 0.16)
		time.Sleep(2 * time.Second)
		f.store.TakeCopy()
		strong := f.add(ctx, "strong", 0.8)
		time.Sleep(6 * time.Second)
		c.Assert(hubOf(weak), qt.Equals, hemlocktally.InstanceID("strong"))
		f.store.Restore()
		time.Sleep(1500 * time.Millisecond)
		for _, one := range []*follower.Follower{weak, strong} {
			c.Check(hubOf(one), qt.Equals, hemlocktally.InstanceID("strong"))
		}
		cancel()
		f.wait(c)
	})
}

// A restore must cost the store one full read by each hub and a claim, and nothing for
// each follower.
func TestRestoreCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newRestoredFleet()
		calm := f.store.Calls()
		f.needTargetsFor(3 * time.Second)
		usual := callsSince(f.store, calm)
		f.store.TakeCopy()
		before := f.store.Calls()
		f.store.Restore()
		f.needTargetsFor(3 * time.Second)
		// Three full reads, a lease, a write and the cancelled watches.
		c.Check(callsSince(f.store, before) <= usual+10, qt.IsTrue, qt.Commentf("%d calls, normally %d", callsSince(f.store, before), usual))
		f.finish(c)
	})
}

// The generation header may hold any text. Nothing may be lost or crash, and the store
// must not be read repeatedly.
func TestInvalidGenerations(t *testing.T) {
	for _, named := range []string{"", " ", "x", "-1", "1.5", "99999999999999999999999", "0", "7", "4"} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			f := newRestoredFleet()
			calm := f.store.Calls()
			f.needTargetsFor(3 * time.Second)
			usual := callsSince(f.store, calm)
			f.store.NameEra(named)
			f.needTargetsFor(2 * time.Second)
			before := f.store.Calls()
			f.needTargetsFor(3 * time.Second)
			c.Check(callsSince(f.store, before) <= 2*usual+10, qt.IsTrue, qt.Commentf("%q: %d calls, normally %d", named, callsSince(f.store, before), usual))
			f.store.Put("op/config", version("9"))
			f.needTargetsFor(2 * time.Second)
			for _, one := range f.all {
				c.Check(one.Current().Revision, qt.Equals, hemlocktally.Revision(9), qt.Commentf("%q", named))
			}
			f.finish(c)
		})
	}
}

// The generation decreases, as when the store is set up anew. Its answers must be dropped
// while they may be late ones, and apply after that.
func TestGenerationDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newRestoredFleet()
		f.store.NameEra("9")
		f.needTargetsFor(3 * time.Second)
		f.store.NameEra("2")
		f.store.Put("op/config", version("5"))
		f.needTargetsFor(3 * time.Second)
		c.Check(f.all[0].Current().Revision, qt.Equals, hemlocktally.Revision(4), qt.Commentf("the answer may be a late one"))
		f.needTargetsFor(22 * time.Second) // The hub takes ten seconds, its followers ten more.
		for _, one := range f.all {
			c.Check(one.Current().Revision, qt.Equals, hemlocktally.Revision(5))
			c.Check(one.Generation(), qt.Equals, hemlocktally.StoreGeneration(2))
		}
		f.finish(c)
	})
}
