package follower_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/follower"
	"hemlocktally/imitator"
	"hemlocktally/messenger"
	"hemlocktally/platform"
)

// slowOperators delays full reads of the operators' entries only.
type slowOperators struct {
	slowDirectory
	operatorDelay time.Duration
}

func (d slowOperators) Snapshot(ctx context.Context, prefix string, stale bool) (hemlocktally.Snapshot, error) {
	if prefix == (platform.Translator{}).OperatorPrefix() {
		time.Sleep(d.operatorDelay)
	}
	return d.slowDirectory.Snapshot(ctx, prefix, stale)
}

// zoneOut reports whether the instance knows that zone a is out of service.
func zoneOut(one *follower.Follower) bool {
	return one.Current().TargetOut(hemlocktally.Target{Zone: "a"})
}

// Guards against work for an evacuated zone after its hub has restarted: the hub regains its
// role before it has read the operators' entries, and must not pass on what it lacks.
func TestZoneStopSurvivesRestartOfHub(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := storeWithHubs(c, follower.Hub{ID: "a1", Zone: "a", PeerAddress: "a1"})
		d.put("op/evacuate/a", "{}")
		store := slowOperators{slowDirectory{d, storeDelay}, time.Second}
		peers := &dynamicNetwork{handlers: imitator.Network{}}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		done := make(chan error, 3)
		start := func(ctx context.Context, id hemlocktally.InstanceID) *follower.Follower {
			one := newInstance(id, "a", store, nil)
			one.HTTP.Transport = peers
			peers.add(string(id), messenger.NewRelayServer(one))
			go func() { done <- one.Run(ctx) }()
			return one
		}
		hubCtx, kill := context.WithCancel(ctx)
		start(hubCtx, "a1")
		other := start(ctx, "a2")
		time.Sleep(3 * time.Second)
		c.Assert(zoneOut(other), qt.IsTrue)
		kill()
		c.Check(<-done, qt.IsNil)
		hub := start(ctx, "a1")
		for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			c.Assert(zoneOut(other), qt.IsTrue)
		}
		c.Check(zoneOut(hub), qt.IsTrue)
		c.Check(hub.View().Members, qt.HasLen, 1)
		cancel()
		for range 2 {
			c.Check(<-done, qt.IsNil)
		}
	})
}

// Guards against a hub that counts as connected by its claim alone: an instance that becomes
// the hub knows the operators' entries only as far as it was told before.
func TestNewHubIsDisconnectedUntilItHasReadOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := &directory{}
		d.put("op/config", version("4"))
		const operatorDelay = 700 * time.Millisecond
		one := newInstance("a1", "a", slowOperators{slowDirectory{d, storeDelay}, operatorDelay}, imitator.Network{})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		begun := time.Now()
		go func() { done <- one.Run(ctx) }()
		for len(one.View().Members) == 0 && time.Since(begun) < 10*time.Second {
			time.Sleep(time.Millisecond)
		}
		age := func() time.Duration {
			out, err := one.Sync(ctx, &messenger.SyncRequest{Instance: "a2"})
			c.Assert(err, qt.IsNil)
			return time.Duration(out.GetStoreAgeMicroseconds()) * time.Microsecond
		}
		c.Check(one.Current().Revision, qt.Equals, hemlocktally.Revision(0))
		c.Check(age() > 2*time.Second, qt.IsTrue)
		time.Sleep(2 * time.Second)
		c.Check(one.Current().Revision, qt.Equals, hemlocktally.Revision(4))
		c.Check(age() < time.Second, qt.IsTrue)
		cancel()
		c.Check(<-done, qt.IsNil)
	})
}

// Guards against an older set of a hub that ends a zone stop which it has not read yet.
func TestOlderSetKeepsZoneStop(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1, 0)
	state := follower.State{Interpreter: platform.Translator{}}
	config := hemlocktally.DirectoryEntry{Entry: hemlocktally.Entry{Key: "op/config", Value: []byte(version("4")), Version: 10}}
	stop := hemlocktally.DirectoryEntry{Entry: hemlocktally.Entry{Key: "op/evacuate/a", Value: []byte("{}"), Version: 20}}
	relayed := func(revision uint64, entries ...hemlocktally.DirectoryEntry) {
		state.Update(follower.SnapshotMsg{Kind: hemlocktally.EntryConfiguration, Entries: entries, Revision: revision, Source: "b1"}, now)
	}
	out := func() bool {
		return state.FleetState().Configuration.TargetOut(hemlocktally.Target{Zone: "a"})
	}
	relayed(20, config, stop)
	c.Assert(out(), qt.IsTrue)
	relayed(19, config)
	c.Check(out(), qt.IsTrue)
	relayed(21, config)
	c.Check(out(), qt.IsFalse)
}

// Guards against requests to a former hub: a stale read of the store returns an entry that
// another instance has overwritten since.
func TestOlderHubDoesNotReplaceNewer(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1, 0)
	state := follower.State{Interpreter: platform.Translator{}}
	read := func(id string, version hemlocktally.StoreVersion) {
		entry := hemlocktally.Entry{Key: platform.Translator{}.HubPrefix() + "a", Value: []byte(`{"ID":"` + id + `","Zone":"a"}`), Version: version}
		state.Update(follower.ChangesMsg{Kind: hemlocktally.EntryHub, Entries: []hemlocktally.DirectoryEntry{{Entry: entry}}}, now)
	}
	read("a2", 20)
	read("a1", 12)
	c.Check(state.FleetState().Hubs["a"].ID, qt.Equals, hemlocktally.InstanceID("a2"))
	read("a3", 21)
	c.Check(state.FleetState().Hubs["a"].ID, qt.Equals, hemlocktally.InstanceID("a3"))
}

// The operators' entries count as complete from a full read of the store until the feed stops,
// not by what a hub sends.
func TestOperatorsAreCompleteByOwnReadsOnly(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1, 0)
	state := follower.State{Interpreter: platform.Translator{}}
	config := hemlocktally.DirectoryEntry{Entry: hemlocktally.Entry{Key: "op/config", Value: []byte(version("4")), Version: 10}}
	all := follower.SnapshotMsg{Kind: hemlocktally.EntryConfiguration, Entries: []hemlocktally.DirectoryEntry{config}, Revision: 12, Generation: 1}
	relayed := all
	relayed.Source = "b1"
	state.Update(relayed, now)
	c.Check(state.FleetState().Operators.Complete, qt.IsFalse)
	state.Update(all, now)
	c.Check(state.FleetState().Operators, qt.Equals, follower.OperatorFeed{Complete: true, At: hemlocktally.GenerationVersion{Generation: 1, Version: 12}})
	state.Update(follower.ChangesMsg{Kind: hemlocktally.EntryConfiguration, Revision: 15, Generation: 1}, now)
	c.Check(state.FleetState().Operators.At.Version, qt.Equals, hemlocktally.StoreVersion(15))
	changed, _ := state.Update(follower.FeedStoppedMsg{Kind: hemlocktally.EntryConfiguration}, now)
	c.Check(changed, qt.IsTrue)
	c.Check(state.FleetState().Operators.Complete, qt.IsFalse)
	state.Update(all, now)
	state.Update(follower.ChangesMsg{Kind: hemlocktally.EntryHub, Generation: 2}, now)
	c.Check(state.FleetState().Operators.Complete, qt.IsFalse)
}
