package follower_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/follower"
	"hemlocktally/messenger"
)

// A follower whose hub stops answering asks another one. Hubs with the same entries must
// use the same version, so that nothing is sent again: a configuration of hundreds of
// kilobytes would saturate a weak hub's link when all followers move at once.
func TestOtherHubResendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFollowers(c, 1)
		time.Sleep(2 * time.Second)
		f.needTargetsFor(2 * time.Second)
		ctx := context.Background()
		for _, other := range f.hubs {
			other.NeedTargets()
		}
		time.Sleep(time.Second)
		entries, err := f.hubs[0].Sync(ctx, &messenger.SyncRequest{Instance: "x"})
		c.Assert(err, qt.IsNil)
		c.Assert(len(entries.GetEntriesGzip()) > 0, qt.IsTrue)
		again, err := f.hubs[1].Sync(ctx, &messenger.SyncRequest{Instance: "x", Version: entries.GetVersion()})
		c.Assert(err, qt.IsNil)
		c.Check(again.GetEntriesGzip(), qt.HasLen, 0)
		targets, err := f.hubs[0].Targets(ctx, &messenger.TargetsRequest{Instance: "x"})
		c.Assert(err, qt.IsNil)
		c.Assert(targets.GetTargets(), qt.HasLen, 40)
		same, err := f.hubs[1].Targets(ctx, &messenger.TargetsRequest{Instance: "x", Version: targets.GetVersion()})
		c.Assert(err, qt.IsNil)
		c.Check(same.GetTargets(), qt.HasLen, 0)
		f.stop()
	})
}

// A hub that is disconnected from the store may add entries but not remove any. Having
// received its version must not keep a follower from the full set of a connected hub, or a
// zone would stay out of service although the connected hub says that it is back.
func TestAddedEntriesAreNoFullVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		hub := follower.Hub{ID: "a1", Zone: "a", PeerAddress: "a1"}
		store := storeWithHubs(c, hub)
		one := newInstance("a1", "a", slowDirectory{store, storeDelay}, nil)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- one.Run(ctx) }()
		time.Sleep(2 * time.Second)
		whole, err := one.Sync(ctx, &messenger.SyncRequest{Instance: "x"})
		c.Assert(err, qt.IsNil)
		added, err := one.Sync(ctx, &messenger.SyncRequest{Instance: "x", Added: whole.GetVersion()})
		c.Assert(err, qt.IsNil)
		c.Check(len(added.GetEntriesGzip()) > 0, qt.IsTrue, qt.Commentf("a connected hub must send all entries to a follower that only added them"))
		store.unreachable.Store(true)
		time.Sleep(4 * time.Second)
		added, err = one.Sync(ctx, &messenger.SyncRequest{Instance: "x", Added: whole.GetVersion()})
		c.Assert(err, qt.IsNil)
		c.Check(added.GetEntriesGzip(), qt.HasLen, 0, qt.Commentf("a disconnected hub must not send them again"))
		cancel()
		c.Check(<-done, qt.IsNil)
	})
}
