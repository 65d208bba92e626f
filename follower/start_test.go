package follower_test

import (
	"context"
	"encoding/json"
	"net/http"
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

// startsWithin is the time from an instance's start to its first answer that the
// loss of all instances at once leaves: half of the shortest objective.
const startsWithin = 100 * time.Millisecond

// usual is what a call of the store takes.
const usual = 4 * time.Millisecond

// instance is a follower in memory, with a little of a core, in a fleet whose
// store still names the hubs from before.
func instance(id hemlocktally.InstanceID, zone hemlocktally.ZoneName, store hemlocktally.Directory, peers imitator.Network) *follower.Follower {
	f := &follower.Follower{
		Self:      follower.Hub{ID: id, Zone: zone, PeerAddress: string(id), Weight: 0.2},
		Directory: store, Interpreter: platform.Translator{}, HTTP: &http.Client{Transport: peers},
	}
	f.Prepare()
	return f
}

func storeWithHubs(c *qt.C, hubs ...follower.Hub) *directory {
	d := &directory{}
	d.put("op/config", version("4"))
	for _, hub := range hubs {
		value, err := json.Marshal(hub)
		c.Assert(err, qt.IsNil)
		d.put(platform.Translator{}.HubPrefix()+string(hub.Zone), string(value))
	}
	return d
}

// runUntilInformed runs instances and returns how long the last one took.
func runUntilInformed(c *qt.C, instances ...*follower.Follower) time.Duration {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, len(instances))
	begun := time.Now()
	for _, f := range instances {
		go func() { done <- f.Run(ctx) }()
	}
	for _, f := range instances {
		for f.Current().Revision == 0 && time.Since(begun) < 10*time.Second {
			time.Sleep(time.Millisecond)
		}
	}
	took := time.Since(begun)
	cancel()
	for range instances {
		c.Check(<-done, qt.IsNil)
	}
	return took
}

// All instances lost power. The first that is back was its zone's hub; the
// machines of the other hubs do not answer yet.
func TestHubThatIsBackWaitsForNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := storeWithHubs(c, follower.Hub{ID: "a1", Zone: "a", PeerAddress: "a1"}, follower.Hub{ID: "b1", Zone: "b", PeerAddress: "b1"})
		took := runUntilInformed(c, instance("a1", "a", slowDirectory{d, usual}, imitator.Network{}))
		c.Check(took < startsWithin, qt.IsTrue, qt.Commentf("%s", took))
	})
}

// An instance that starts beside hubs in touch follows one as soon as it has read
// who they are.
func TestInstanceFollowsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := storeWithHubs(c, follower.Hub{ID: "a1", Zone: "a", PeerAddress: "a1"})
		peers := imitator.Network{}
		hub := instance("a1", "a", slowDirectory{d, usual}, peers)
		peers["a1"] = messenger.NewRelayServer(hub)
		took := runUntilInformed(c, hub, instance("a2", "a", slowDirectory{d, usual}, peers))
		c.Check(took < startsWithin, qt.IsTrue, qt.Commentf("%s", took))
	})
}

// All instances start anew at once. Those that ask their zone's hub before it
// has its place back get the answer as soon as it has.
func TestHubThatStartsKeepsItsFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := storeWithHubs(c, follower.Hub{ID: "a1", Zone: "a", PeerAddress: "a1"})
		peers := imitator.Network{}
		const slow = 15 * time.Millisecond
		hub := instance("a1", "a", slowDirectory{d, slow}, peers)
		peers["a1"] = messenger.NewRelayServer(hub)
		others := slowDirectory{d, usual}
		took := runUntilInformed(c, hub, instance("a2", "a", others, peers), instance("a3", "a", others, peers))
		c.Check(took < startsWithin, qt.IsTrue, qt.Commentf("%s", took))
	})
}

// slowDirectory takes a while for each call.
type slowDirectory struct {
	*directory
	takes time.Duration
}

func (d slowDirectory) Snapshot(ctx context.Context, prefix string, stale bool) (hemlocktally.Snapshot, error) {
	time.Sleep(d.takes)
	return d.directory.Snapshot(ctx, prefix, stale)
}

func (d slowDirectory) Swap(ctx context.Context, entry hemlocktally.Entry) (hemlocktally.StoreVersion, error) {
	time.Sleep(d.takes)
	return d.directory.Swap(ctx, entry)
}

func (d slowDirectory) Grant(ctx context.Context, ttl time.Duration) (hemlocktally.Lease, error) {
	time.Sleep(d.takes)
	return d.directory.Grant(ctx, ttl)
}
