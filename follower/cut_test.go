package follower_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/follower"
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
		peers := network{}
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
