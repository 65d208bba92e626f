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

// All hubs are cut off from the store at once, and then an operator's decision
// is accepted. The others still hear the hubs, and reach the store: the decision
// has to be in force there in two seconds.
func TestDecisionAfterAllHubsAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		hubs := []follower.Hub{
			{ID: "a1", Zone: "a", PeerAddress: "a1"}, {ID: "b1", Zone: "b", PeerAddress: "b1"}, {ID: "c1", Zone: "c", PeerAddress: "c1"},
		}
		peers := imitator.Network{}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 4)
		var cuts []*directory
		for _, zone := range []string{"a", "b", "c"} {
			own := storeWithHubs(c, hubs...)
			cuts = append(cuts, own)
			hub := instance(hemlocktally.InstanceID(zone+"1"), hemlocktally.ZoneName(zone), slowDirectory{own, usual}, peers)
			peers[zone+"1"] = messenger.NewRelayServer(hub)
			go func() { done <- hub.Run(ctx) }()
		}
		shared := storeWithHubs(c, hubs...)
		other := instance("a2", "a", slowDirectory{shared, usual}, peers)
		go func() { done <- other.Run(ctx) }()
		time.Sleep(5 * time.Second)
		c.Assert(other.Current().Revision, qt.Equals, hemlocktally.Revision(4))
		for _, own := range cuts {
			own.cut.Store(true)
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

// All hubs are cut off; the store answers one of the others and turns the rest away,
// at the full price of a call. Those ask rarely, and their hub not without a pause.
func TestRefusedInstancesAskRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		hub := follower.Hub{ID: "a1", Zone: "a", PeerAddress: "a1"}
		peers := imitator.Network{}
		ctx, cancel := context.WithCancel(context.Background())
		cut, served, refused := storeWithHubs(c, hub), storeWithHubs(c, hub), storeWithHubs(c, hub)
		first := instance("a1", "a", slowDirectory{cut, usual}, peers)
		relay := &countedRelay{Relay: first}
		peers["a1"] = messenger.NewRelayServer(relay)
		counted := countedDirectory{slowDirectory{refused, usual}, &atomic.Int64{}, &atomic.Int64{}}
		all := []*follower.Follower{first, instance("a2", "a", slowDirectory{served, usual}, peers)}
		const turnedAway = 10
		for n := range turnedAway {
			all = append(all, instance(hemlocktally.InstanceID(fmt.Sprint("r", n)), "a", counted, peers))
		}
		done := make(chan error, len(all))
		for _, one := range all {
			go func() { done <- one.Run(ctx) }()
		}
		time.Sleep(3 * time.Second)
		cut.cut.Store(true)
		refused.fail("hemlocktally/hubs/", true)
		calls, asked := counted.others.Load(), relay.asked.Load()
		time.Sleep(5 * time.Second)
		c.Check(counted.others.Load()-calls <= 6*turnedAway, qt.IsTrue, qt.Commentf("%d calls", counted.others.Load()-calls))
		c.Check(relay.asked.Load()-asked <= 20*5*(turnedAway+1), qt.IsTrue, qt.Commentf("%d questions", relay.asked.Load()-asked))
		cancel()
		for range all {
			c.Check(<-done, qt.IsNil)
		}
	})
}

// countedRelay counts the questions of followers.
type countedRelay struct {
	messenger.Relay
	asked atomic.Int64
}

func (r *countedRelay) Sync(ctx context.Context, in *messenger.SyncRequest) (*messenger.SyncResponse, error) {
	r.asked.Add(1)
	return r.Relay.Sync(ctx, in)
}

// Two hubs are cut off from the store and know different things. Their followers hear
// what each has to say once, and then as rarely as ever: neither sends all of it again
// because the other one did.
func TestHubsThatDifferAreAskedRarely(t *testing.T) {
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
			one := instance(hub.ID, hub.Zone, slowDirectory{store, usual}, peers)
			relay := &countedRelay{Relay: one}
			peers[hub.PeerAddress] = messenger.NewRelayServer(relay)
			stores, relays = append(stores, store), append(relays, relay)
			go func() { done <- one.Run(ctx) }()
		}
		own := storeWithHubs(c, hubs...)
		other := instance("a2", "a", slowDirectory{own, usual}, peers)
		go func() { done <- other.Run(ctx) }()
		time.Sleep(3 * time.Second)
		for _, store := range append(stores, own) {
			store.cut.Store(true)
		}
		time.Sleep(2 * time.Second)
		before := relays[0].asked.Load() + relays[1].asked.Load()
		time.Sleep(5 * time.Second)
		asked := relays[0].asked.Load() + relays[1].asked.Load() - before
		c.Check(asked <= 20*5, qt.IsTrue, qt.Commentf("%d questions in 5 s", asked))
		cancel()
		for range 3 {
			c.Check(<-done, qt.IsNil)
		}
	})
}
