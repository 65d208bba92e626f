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

// maxStartTime bounds the time from an instance's start to its first answer after the loss
// of all instances at once: half of the shortest objective.
const maxStartTime = 100 * time.Millisecond

// storeDelay is the duration of a call to the store.
const storeDelay = 4 * time.Millisecond

// newInstance returns an in-memory follower with a small share of a core, in a fleet whose
// store still holds the hubs from before.
func newInstance(id hemlocktally.InstanceID, zone hemlocktally.ZoneName, store hemlocktally.Directory, peers imitator.Network) *follower.Follower {
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

// runUntilInformed runs the instances and returns the time until the last one has a
// configuration.
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

// All instances lost power. The first one that restarts was its zone's hub; the other hubs
// do not answer yet, and it must not wait for them.
func TestRestartedHubDoesNotWaitForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := storeWithHubs(c, follower.Hub{ID: "a1", Zone: "a", PeerAddress: "a1"}, follower.Hub{ID: "b1", Zone: "b", PeerAddress: "b1"})
		took := runUntilInformed(c, newInstance("a1", "a", slowDirectory{d, storeDelay}, imitator.Network{}))
		c.Check(took < maxStartTime, qt.IsTrue, qt.Commentf("%s", took))
	})
}

// An instance that starts next to connected hubs must follow one as soon as it has read
// their addresses.
func TestInstanceFollowsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := storeWithHubs(c, follower.Hub{ID: "a1", Zone: "a", PeerAddress: "a1"})
		peers := imitator.Network{}
		hub := newInstance("a1", "a", slowDirectory{d, storeDelay}, peers)
		peers["a1"] = messenger.NewRelayServer(hub)
		took := runUntilInformed(c, hub, newInstance("a2", "a", slowDirectory{d, storeDelay}, peers))
		c.Check(took < maxStartTime, qt.IsTrue, qt.Commentf("%s", took))
	})
}

// All instances restart at once. Those that ask their zone's hub before it has regained
// its role must get the answer as soon as it has.
func TestFollowersWaitForRestartedHub(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := storeWithHubs(c, follower.Hub{ID: "a1", Zone: "a", PeerAddress: "a1"})
		peers := imitator.Network{}
		const slow = 15 * time.Millisecond
		hub := newInstance("a1", "a", slowDirectory{d, slow}, peers)
		peers["a1"] = messenger.NewRelayServer(hub)
		others := slowDirectory{d, storeDelay}
		took := runUntilInformed(c, hub, newInstance("a2", "a", others, peers), newInstance("a3", "a", others, peers))
		c.Check(took < maxStartTime, qt.IsTrue, qt.Commentf("%s", took))
	})
}

// slowDirectory delays each call.
type slowDirectory struct {
	*directory
	delay time.Duration
}

func (d slowDirectory) Snapshot(ctx context.Context, prefix string, stale bool) (hemlocktally.Snapshot, error) {
	time.Sleep(d.delay)
	return d.directory.Snapshot(ctx, prefix, stale)
}

func (d slowDirectory) CompareAndSwap(ctx context.Context, entry hemlocktally.Entry) (hemlocktally.StoreVersion, error) {
	time.Sleep(d.delay)
	return d.directory.CompareAndSwap(ctx, entry)
}

func (d slowDirectory) Grant(ctx context.Context, ttl time.Duration) (hemlocktally.Lease, error) {
	time.Sleep(d.delay)
	return d.directory.Grant(ctx, ttl)
}
