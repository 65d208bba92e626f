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

// restoredFleet is a hub and two followers of zone a whose store holds targets t0 to
// t3.
type restoredFleet struct {
	*storedFleet
	all    []*follower.Follower
	cancel context.CancelFunc
}

func newRestoredFleet() *restoredFleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &restoredFleet{storedFleet: newStoredFleet(), cancel: cancel}
	for n := range 4 {
		f.beat(n, 1, "ready")
	}
	f.all = append(f.all, f.add(ctx, "hub", 0.8))
	time.Sleep(2 * time.Second)
	for n := range 2 {
		f.all = append(f.all, f.add(ctx, hemlocktally.InstanceID(fmt.Sprint("f", n)), 0.16))
	}
	f.need(2 * time.Second)
	return f
}

// beat writes the entry of a target as its so-manieth write.
func (f *restoredFleet) beat(n, sequence int, state string) {
	f.store.Put(fmt.Sprint("servers/t", n), fmt.Sprintf(
		`{"service":"s","address":"10.0.0.%d:1","zone":"a","slots":2,"state":%q,"born":1,"seq":%d}`, n, state, sequence,
	))
}

// need lets all need their targets for the time.
func (f *restoredFleet) need(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, one := range f.all {
			one.NeedTargets()
		}
	}
}

func (f *restoredFleet) finish(c *qt.C) {
	f.cancel()
	f.end(c)
}

// usable names the targets that the instance may use.
func usable(one *follower.Follower) []string {
	var names []string
	for _, r := range one.Picture().Targets["s"] {
		if !r.Draining {
			names = append(names, string(r.Target.Name))
		}
	}
	return names
}

// The store comes back from a copy that is older than the last configuration. What is
// in force stays in force, also for an instance that starts after it; the next one,
// written under a revision that was given out before, reaches all.
func TestConfigurationOutlivesACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newRestoredFleet()
		f.store.TakeCopy()
		f.store.Put("op/config", version("7"))
		for n := range 5 {
			f.store.Put(fmt.Sprint("op/else", n), "x")
		}
		f.need(time.Second)
		f.store.Restore()
		begun := time.Now()
		for time.Since(begun) < 3*time.Second {
			f.need(100 * time.Millisecond)
			for _, one := range f.all {
				c.Check(one.Current().Revision, qt.Equals, hemlocktally.Revision(7))
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		f.all = append(f.all, f.add(ctx, "late", 0.16))
		time.Sleep(time.Second)
		c.Check(f.all[3].Current().Revision, qt.Equals, hemlocktally.Revision(7), qt.Commentf("one that started since"))
		f.store.Put("op/config", version("8"))
		for n := range 9 {
			f.store.Put(fmt.Sprint("op/more", n), "x") // Revisions pass those of before.
		}
		time.Sleep(2 * time.Second)
		for _, one := range f.all {
			c.Check(one.Current().Revision, qt.Equals, hemlocktally.Revision(8))
		}
		cancel()
		f.finish(c)
	})
}

// outZones lists the zones that the instance takes for out of service.
func outZones(one *follower.Follower) []hemlocktally.ZoneName {
	var out []hemlocktally.ZoneName
	for _, zone := range one.Current().Zones {
		if zone.Out {
			out = append(out, zone.Name)
		}
	}
	return out
}

// moveZones takes a copy of the store, and after it zone out out and zone back back.
func (f *restoredFleet) moveZones() {
	f.store.Put("op/evacuate/back", "{}")
	f.need(time.Second)
	f.store.TakeCopy()
	f.store.Put("op/evacuate/out", "{}")
	f.store.Remove("op/evacuate/back")
	f.need(2 * time.Second)
}

// checkOut checks which zones all instances take for out of service.
func (f *restoredFleet) checkOut(c *qt.C, zones ...hemlocktally.ZoneName) {
	for _, one := range f.all {
		c.Check(outZones(one), qt.DeepEquals, zones)
	}
}

// checkUsable checks which targets all instances may use.
func (f *restoredFleet) checkUsable(c *qt.C, targets []string) {
	for _, one := range f.all {
		c.Check(usable(one), qt.DeepEquals, targets)
	}
}

// A zone was taken out after the copy was made, and another one brought back. Both
// decisions hold until they are written again; at the end of the hold the store's word
// does.
func TestZoneStopsOutliveACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newRestoredFleet()
		f.moveZones()
		f.store.Restore()
		for range 8 {
			f.need(time.Second)
			f.checkOut(c, "out")
		}
		f.store.Put("op/evacuate/out", "{}") // Written again, and the other one taken back again.
		f.store.Remove("op/evacuate/back")
		f.need(5 * time.Second)
		f.checkOut(c, "out")
		f.finish(c)
	})
}

// Nobody writes the decisions again: the hold ends, and what the store says is in
// force.
func TestHoldOverACopyEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newRestoredFleet()
		f.moveZones()
		f.store.Restore()
		f.need(13 * time.Second)
		f.checkOut(c, "back")
		f.finish(c)
	})
}

// An operator's decision of after the copy reaches all at once, also while the hold
// lasts.
func TestDecisionsDuringTheHoldAreInForceAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newRestoredFleet()
		f.store.Put("op/evacuate/z", "{}")
		f.need(time.Second)
		f.store.TakeCopy()
		f.store.Restore()
		f.need(time.Second)
		f.store.Remove("op/evacuate/z")
		f.need(2 * time.Second)
		for _, one := range f.all {
			c.Check(outZones(one), qt.HasLen, 0)
		}
		f.finish(c)
	})
}

// A target that was removed after the copy stays away, one that drains keeps draining,
// and those that live are used on: each of them writes again soon.
func TestTargetsThatLeftStayAwayAfterACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newRestoredFleet()
		f.store.TakeCopy()
		f.store.Remove("servers/t0")
		f.beat(1, 2, "draining")
		f.beat(2, 2, "ready")
		f.beat(9, 1, "ready") // It came after the copy.
		f.need(2 * time.Second)
		want := []string{"t2", "t3", "t9"}
		f.store.Restore()
		f.need(500 * time.Millisecond)
		f.beat(2, 3, "ready")
		f.beat(3, 2, "ready")
		f.beat(9, 2, "ready")
		for range 8 {
			f.need(time.Second)
			f.checkUsable(c, want)
		}
		f.store.Remove("servers/t0") // Both have lapsed from the copy by now.
		f.store.Remove("servers/t1")
		f.need(6 * time.Second)
		f.checkUsable(c, want)
		f.finish(c)
	})
}

// The hub's lease is gone with the copy, and its number may be given to another. It
// claims its place again within a second, and there is one hub all the while.
func TestHubClaimsItsPlaceAgainAfterACopy(t *testing.T) {
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
		f.end(c)
	})
}

// The copy names a hub that has handed its place over since. The present one claims
// over it.
func TestHubOfACopyIsClaimedOver(t *testing.T) {
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
		f.end(c)
	})
}

// A return from a copy costs the store one whole reading by each hub and a claim, and
// nothing for each follower.
func TestReturnFromACopyCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newRestoredFleet()
		calm := f.store.Calls()
		f.need(3 * time.Second)
		usual := callsSince(f.store, calm)
		f.store.TakeCopy()
		before := f.store.Calls()
		f.store.Restore()
		f.need(3 * time.Second)
		// Three lists, a lease, a write and the watches that were cut.
		c.Check(callsSince(f.store, before) <= usual+10, qt.IsTrue, qt.Commentf("%d calls, %d usually", callsSince(f.store, before), usual))
		f.finish(c)
	})
}

// What the header says may make no sense: nothing is lost, nothing crashes, and the
// store is not read again and again.
func TestOddGenerations(t *testing.T) {
	for _, named := range []string{"", " ", "x", "-1", "1.5", "99999999999999999999999", "0", "7", "4"} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			f := newRestoredFleet()
			calm := f.store.Calls()
			f.need(3 * time.Second)
			usual := callsSince(f.store, calm)
			f.store.NameEra(named)
			f.need(2 * time.Second)
			before := f.store.Calls()
			f.need(3 * time.Second)
			c.Check(callsSince(f.store, before) <= 2*usual+10, qt.IsTrue, qt.Commentf("%q: %d calls, %d usually", named, callsSince(f.store, before), usual))
			f.store.Put("op/config", version("9"))
			f.need(2 * time.Second)
			for _, one := range f.all {
				c.Check(one.Current().Revision, qt.Equals, hemlocktally.Revision(9), qt.Commentf("%q", named))
			}
			f.finish(c)
		})
	}
}

// The count falls, as when the store is set up anew: its answers are dropped while they
// may be late ones, and hold after that.
func TestGenerationThatFalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newRestoredFleet()
		f.store.NameEra("9")
		f.need(3 * time.Second)
		f.store.NameEra("2")
		f.store.Put("op/config", version("5"))
		f.need(3 * time.Second)
		c.Check(f.all[0].Current().Revision, qt.Equals, hemlocktally.Revision(4), qt.Commentf("it may be a late answer"))
		f.need(22 * time.Second) // A hub takes ten seconds, a follower of it ten more.
		for _, one := range f.all {
			c.Check(one.Current().Revision, qt.Equals, hemlocktally.Revision(5))
			c.Check(one.Generation(), qt.Equals, hemlocktally.StoreGeneration(2))
		}
		f.finish(c)
	})
}
