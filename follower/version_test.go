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

// A follower whose hub falls silent asks another one. All hubs give what they have
// read the same name, so that nothing is sent again: a configuration of hundreds of
// kilobytes would fill a weak hub's link when all move at once.
func TestAnotherHubSendsNothingAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFollowers(c, 1)
		time.Sleep(2 * time.Second)
		f.need(2 * time.Second)
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

// A hub that is out of touch with the store may add to what a follower knows and
// remove nothing; what it passed on is no reason to keep a zone out that a hub in
// touch says is back.
func TestWhatWasAddedIsNoWholeVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		hub := follower.Hub{ID: "a1", Zone: "a", PeerAddress: "a1"}
		store := storeWithHubs(c, hub)
		one := instance("a1", "a", slowDirectory{store, usual}, nil)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- one.Run(ctx) }()
		time.Sleep(2 * time.Second)
		whole, err := one.Sync(ctx, &messenger.SyncRequest{Instance: "x"})
		c.Assert(err, qt.IsNil)
		added, err := one.Sync(ctx, &messenger.SyncRequest{Instance: "x", Added: whole.GetVersion()})
		c.Assert(err, qt.IsNil)
		c.Check(len(added.GetEntriesGzip()) > 0, qt.IsTrue, qt.Commentf("a hub in touch sends all to one that only added"))
		store.cut.Store(true)
		time.Sleep(4 * time.Second)
		added, err = one.Sync(ctx, &messenger.SyncRequest{Instance: "x", Added: whole.GetVersion()})
		c.Assert(err, qt.IsNil)
		c.Check(added.GetEntriesGzip(), qt.HasLen, 0, qt.Commentf("one out of touch sends nothing again"))
		cancel()
		c.Check(<-done, qt.IsNil)
	})
}
