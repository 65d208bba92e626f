package follower_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/follower"
	"hemlocktally/imitator"
	"hemlocktally/messenger"
)

// All hubs lose the store at once, and then an operator's change is accepted. Other
// instances still reach both the hubs and the store: the change must be in force there
// within two seconds.
func TestChangeAppliesAfterAllHubsLoseTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		hubs := []follower.Hub{
			{ID: "a1", Zone: "a", PeerAddress: "a1"}, {ID: "b1", Zone: "b", PeerAddress: "b1"}, {ID: "c1", Zone: "c", PeerAddress: "c1"},
		}
		peers := imitator.Network{}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 4)
		var hubStores []*directory
		for _, zone := range []string{"a", "b", "c"} {
			own := storeWithHubs(c, hubs...)
			hubStores = append(hubStores, own)
			hub := newInstance(hemlocktally.InstanceID(zone+"1"), hemlocktally.ZoneName(zone), slowDirectory{own, storeDelay}, peers)
			peers[zone+"1"] = messenger.NewRelayServer(hub)
			go func() { done <- hub.Run(ctx) }()
		}
		shared := storeWithHubs(c, hubs...)
		other := newInstance("a2", "a", slowDirectory{shared, storeDelay}, peers)
		go func() { done <- other.Run(ctx) }()
		time.Sleep(5 * time.Second)
		c.Assert(other.Current().Revision, qt.Equals, hemlocktally.Revision(4))
		for _, own := range hubStores {
			own.unreachable.Store(true)
		}
		shared.put("op/config", version("7"))
		accepted := time.Now()
		for other.Current().Revision != 7 && time.Since(accepted) < 10*time.Second {
			time.Sleep(time.Millisecond)
		}
		took := time.Since(accepted)
		c.Check(took < 2*time.Second, qt.IsTrue, qt.Commentf("%s", took))
		cancel()
		for range 4 {
			c.Check(<-done, qt.IsNil)
		}
	})
}

// All hubs have lost the store. It answers one of the other instances and rejects the
// rest, at the full price of a call. The rejected ones must limit their calls, and must
// not send requests to their hub without a pause.
func TestRejectedInstancesLimitCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		hub := follower.Hub{ID: "a1", Zone: "a", PeerAddress: "a1"}
		peers := imitator.Network{}
		ctx, cancel := context.WithCancel(context.Background())
		hubStore, servingStore, rejectingStore := storeWithHubs(c, hub), storeWithHubs(c, hub), storeWithHubs(c, hub)
		first := newInstance("a1", "a", slowDirectory{hubStore, storeDelay}, peers)
		relay := &countedRelay{Relay: first}
		peers["a1"] = messenger.NewRelayServer(relay)
		counted := countedDirectory{slowDirectory{rejectingStore, storeDelay}, &atomic.Int64{}, &atomic.Int64{}}
		all := []*follower.Follower{first, newInstance("a2", "a", slowDirectory{servingStore, storeDelay}, peers)}
		const rejectedCount = 10
		for n := range rejectedCount {
			all = append(all, newInstance(hemlocktally.InstanceID(fmt.Sprint("r", n)), "a", counted, peers))
		}
		done := make(chan error, len(all))
		for _, one := range all {
			go func() { done <- one.Run(ctx) }()
		}
		time.Sleep(3 * time.Second)
		hubStore.unreachable.Store(true)
		rejectingStore.fail("hemlocktally/hubs/", true)
		calls, requests := counted.others.Load(), relay.requests.Load()
		time.Sleep(5 * time.Second)
		c.Check(counted.others.Load()-calls <= 6*rejectedCount, qt.IsTrue, qt.Commentf("%d calls", counted.others.Load()-calls))
		c.Check(relay.requests.Load()-requests <= 20*5*(rejectedCount+1), qt.IsTrue, qt.Commentf("%d requests", relay.requests.Load()-requests))
		cancel()
		for range all {
			c.Check(<-done, qt.IsNil)
		}
	})
}

// countedRelay counts the Sync requests of followers.
type countedRelay struct {
	messenger.Relay
	requests atomic.Int64
}

func (r *countedRelay) Sync(ctx context.Context, in *messenger.SyncRequest) (*messenger.SyncResponse, error) {
	r.requests.Add(1)
	return r.Relay.Sync(ctx, in)
}

// Two hubs have lost the store and hold different entries. Their followers must receive
// the entries of each once and then ask at the usual rate: a hub must not send all its
// entries again because the other one sent different ones.
func TestDifferingHubsResendNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		hubs := []follower.Hub{{ID: "a1", Zone: "a", PeerAddress: "a1"}, {ID: "b1", Zone: "b", PeerAddress: "b1"}}
		peers := imitator.Network{}
		ctx, cancel := context.WithCancel(context.Background())
		var stores []*directory
		var relays []*countedRelay
		done := make(chan error, 3)
		for n, hub := range hubs {
			store := storeWithHubs(c, hubs...)
			store.put(fmt.Sprint("op/evacuate/z", n), "{}")
			one := newInstance(hub.ID, hub.Zone, slowDirectory{store, storeDelay}, peers)
			relay := &countedRelay{Relay: one}
			peers[hub.PeerAddress] = messenger.NewRelayServer(relay)
			stores, relays = append(stores, store), append(relays, relay)
			go func() { done <- one.Run(ctx) }()
		}
		own := storeWithHubs(c, hubs...)
		other := newInstance("a2", "a", slowDirectory{own, storeDelay}, peers)
		go func() { done <- other.Run(ctx) }()
		time.Sleep(3 * time.Second)
		for _, store := range append(stores, own) {
			store.unreachable.Store(true)
		}
		time.Sleep(2 * time.Second)
		before := relays[0].requests.Load() + relays[1].requests.Load()
		time.Sleep(5 * time.Second)
		requests := relays[0].requests.Load() + relays[1].requests.Load() - before
		c.Check(requests <= 20*5, qt.IsTrue, qt.Commentf("%d requests in 5 s", requests))
		cancel()
		for range 3 {
			c.Check(<-done, qt.IsNil)
		}
	})
}

// slowRelay takes time for each Sync, so that requests without a pause don't stop the clock.
type slowRelay struct{ countedRelay }

func (r *slowRelay) Sync(ctx context.Context, in *messenger.SyncRequest) (*messenger.SyncResponse, error) {
	time.Sleep(time.Millisecond)
	return r.countedRelay.Sync(ctx, in)
}

// The hub of the zone has lost the store and misses a change that a hub of another zone
// has. Its followers ask both, and must not receive all entries of both again and again.
func TestHubThatMissesAChangeResendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		hubs := []follower.Hub{{ID: "a1", Zone: "a", PeerAddress: "a1"}, {ID: "b1", Zone: "b", PeerAddress: "b1"}}
		peers := imitator.Network{}
		ctx, cancel := context.WithCancel(context.Background())
		var stores []*directory
		var relays []*slowRelay
		done := make(chan error, 3)
		for _, hub := range hubs {
			store := storeWithHubs(c, hubs...)
			one := newInstance(hub.ID, hub.Zone, slowDirectory{store, storeDelay}, peers)
			relay := &slowRelay{countedRelay{Relay: one}}
			peers[hub.PeerAddress] = messenger.NewRelayServer(relay)
			stores, relays = append(stores, store), append(relays, relay)
			go func() { done <- one.Run(ctx) }()
		}
		own := storeWithHubs(c, hubs...)
		other := newInstance("a2", "a", slowDirectory{own, storeDelay}, peers)
		go func() { done <- other.Run(ctx) }()
		time.Sleep(3 * time.Second)
		stores[0].unreachable.Store(true)
		own.unreachable.Store(true)
		stores[1].put("op/config", version("7"))
		before := relays[0].requests.Load() + relays[1].requests.Load()
		time.Sleep(5 * time.Second)
		requests := relays[0].requests.Load() + relays[1].requests.Load() - before
		c.Check(requests <= 20*5, qt.IsTrue, qt.Commentf("%d requests in 5 s", requests))
		c.Check(other.Current().Revision, qt.Equals, hemlocktally.Revision(7))
		cancel()
		for range 3 {
			c.Check(<-done, qt.IsNil)
		}
	})
}

// A hub's read hangs when the store comes back, since its connection does not. Guards against a
// change that is in force late because the read may wait as long as a watch, which returns early
// only where there are changes.
func TestChangeAppliesSoonAfterSilentOutage(t *testing.T) {
	const (
		bound  = 2500 * time.Millisecond // The bound on a change, with the slack that operators allow.
		outage = 3 * time.Second         // The shortest one; its end falls on all moments of a read.
	)
	for moment := range 16 {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			d := storeWithHubs(c, follower.Hub{ID: "a1", Zone: "a", PeerAddress: "a1"})
			hub := newInstance("a1", "a", slowDirectory{d, storeDelay}, imitator.Network{})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { done <- hub.Run(ctx) }()
			time.Sleep(4 * time.Second)
			d.unreachable.Store(true)
			time.Sleep(outage + time.Duration(moment)*200*time.Millisecond)
			d.unreachable.Store(false)
			time.Sleep(400 * time.Millisecond)
			d.put("op/config", version("7"))
			accepted := time.Now()
			for hub.Current().Revision != 7 && time.Since(accepted) < 10*time.Second {
				time.Sleep(time.Millisecond)
			}
			took := time.Since(accepted)
			c.Check(took < bound, qt.IsTrue, qt.Commentf("%s, outage of %s", took, outage+time.Duration(moment)*200*time.Millisecond))
			cancel()
			c.Check(<-done, qt.IsNil)
		})
	}
}
