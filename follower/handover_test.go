package follower_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
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

// storedFleet is a set of in-memory instances on an imitated store.
type storedFleet struct {
	store *imitator.Directory
	peers *dynamicNetwork
	done  chan error
	count int
}

// dynamicNetwork is a network to which instances are added while others make calls.
type dynamicNetwork struct {
	mu       sync.Mutex
	handlers imitator.Network
}

func (n *dynamicNetwork) add(address string, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = handler
}

// RoundTrip passes the request to the handler of its host.
func (n *dynamicNetwork) RoundTrip(r *http.Request) (*http.Response, error) {
	n.mu.Lock()
	one := imitator.Network{r.URL.Host: n.handlers[r.URL.Host]}
	n.mu.Unlock()
	return one.RoundTrip(r)
}

func newStoredFleet() *storedFleet {
	f := &storedFleet{store: &imitator.Directory{}, peers: &dynamicNetwork{handlers: imitator.Network{}}, done: make(chan error)}
	f.peers.add("store", f.store.Handler())
	f.store.Put("op/config", version("4"))
	return f
}

// add starts an instance in zone a.
func (f *storedFleet) add(ctx context.Context, id hemlocktally.InstanceID, weight float64) *follower.Follower {
	store := &platform.Store{Address: "store", HTTP: &http.Client{Transport: f.peers}}
	one := &follower.Follower{
		Self:      follower.Hub{ID: id, Incarnation: string(id) + "1", Zone: "a", PeerAddress: string(id), Weight: weight},
		Directory: store, Interpreter: platform.Translator{}, HTTP: &http.Client{Transport: f.peers},
	}
	store.OnGeneration = one.ObserveGeneration
	one.Prepare()
	f.peers.add(string(id), messenger.NewRelayServer(one))
	f.count++
	go func() { f.done <- one.Run(ctx) }()
	return one
}

func (f *storedFleet) wait(c *qt.C) {
	for range f.count {
		c.Check(<-f.done, qt.IsNil)
	}
}

// hubOf returns the hub of zone a as the instance knows it.
func hubOf(one *follower.Follower) hemlocktally.InstanceID { return one.FleetState().Hubs["a"].ID }

// The strong instances of a zone are stopped in turn, and a weak one becomes its hub. Once
// a strong one is back and stays, it must take over the role and keep it.
func TestWeakHubHandsOverItsRole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		f := newStoredFleet()
		weak := []*follower.Follower{f.add(ctx, "weak1", 0.16)}
		time.Sleep(2 * time.Second)
		c.Assert(hubOf(weak[0]), qt.Equals, hemlocktally.InstanceID("weak1"))
		for n := 2; n < 6; n++ {
			weak = append(weak, f.add(ctx, hemlocktally.InstanceID(fmt.Sprint("weak", n)), 0.16))
		}
		strong := f.add(ctx, "strong1", 0.8)
		time.Sleep(2 * time.Second)
		c.Check(hubOf(weak[2]), qt.Equals, hemlocktally.InstanceID("weak1"), qt.Commentf("no handover while instances start and stop"))
		time.Sleep(4 * time.Second)
		for _, one := range append(weak, strong) {
			c.Check(hubOf(one), qt.Equals, hemlocktally.InstanceID("strong1"))
			c.Check(one.Current().Revision, qt.Equals, hemlocktally.Revision(4))
		}
		f.add(ctx, "strong2", 0.8)
		time.Sleep(8 * time.Second)
		for _, one := range weak {
			c.Check(hubOf(one), qt.Equals, hemlocktally.InstanceID("strong1"), qt.Commentf("an equally strong instance must not take over"))
		}
		before := f.store.Calls()
		time.Sleep(4 * time.Second)
		c.Check(callsSince(f.store, before) <= 40, qt.IsTrue, qt.Commentf("%d calls: more than one instance reads the store", callsSince(f.store, before)))
		cancel()
		f.wait(c)
	})
}

// callsSince counts the calls to the store, of all kinds, since the given counts.
func callsSince(store *imitator.Directory, before map[string]int) int {
	calls := 0
	for kind, n := range store.Calls() {
		calls += n - before[kind]
	}
	return calls
}
