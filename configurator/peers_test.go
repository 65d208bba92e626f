package configurator_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/configurator"
	"hemlocktally/messenger"
)

// fleet is a set of Configurators that call one another over TCP connections. It
// is also their view of the members.
type fleet struct {
	c       *qt.C
	mu      sync.Mutex
	members []hemlocktally.Instance
	running sync.WaitGroup
	cancel  context.CancelFunc
	ctx     context.Context //nolint:containedctx // The members end together.
	client  *http.Client
	servers []*httptest.Server
}

func (f *fleet) View() hemlocktally.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return hemlocktally.View{Members: append([]hemlocktally.Instance(nil), f.members...)}
}

func newFleet(c *qt.C) *fleet {
	ctx, cancel := context.WithCancel(background)
	return &fleet{c: c, ctx: ctx, cancel: cancel, client: &http.Client{Transport: &http.Transport{}}}
}

func (f *fleet) start(id hemlocktally.InstanceID, store hemlocktally.Store) *configurator.Configurator {
	instance := &configurator.Configurator{Store: store, Self: id, Members: f, HTTP: f.client}
	mux := http.NewServeMux()
	mux.Handle(messenger.ConfigurationPathPrefix, messenger.NewConfigurationServer(instance))
	server := httptest.NewServer(mux)
	f.mu.Lock()
	f.servers = append(f.servers, server)
	f.members = append(f.members, hemlocktally.Instance{
		ID: id, Incarnation: string(id), Zone: "north", PeerAddress: server.Listener.Addr().String(), State: hemlocktally.InstanceServing,
	})
	f.mu.Unlock()
	f.running.Go(func() { f.c.Check(instance.Run(f.ctx), qt.IsNil) })
	return instance
}

func (f *fleet) shutDown() {
	f.cancel()
	f.running.Wait()
	f.client.CloseIdleConnections()
	for _, server := range f.servers {
		server.Close()
	}
}

func TestChangesReachPeersWithoutTheStore(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	defer f.shutDown()
	store, downStore := newStore(1), newStore(2)
	downStore.down = true
	first := f.start("a", store)
	second := f.start("b", downStore)
	accepted, err := first.Change(background, change("one", 0, service("log", 2)))
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(background, 20*time.Second)
	defer cancel()
	confirmed := 0
	c.Assert(first.WaitInForce(ctx, accepted.Revision, func(done, all int) { confirmed = done; c.Check(all, qt.Equals, 2) }), qt.IsNil)
	c.Check(confirmed, qt.Equals, 2)
	c.Check(second.Current().Revision, qt.Equals, accepted.Revision)

	store.set(func(s *fakeStore) { s.down = true })
	late := f.start("c", downStore)
	await(c, "a late instance gets it from peers", func() bool { return late.Current().Revision == accepted.Revision })
	c.Check(late.Current().Hash, qt.Equals, first.Current().Hash)
}

func TestWaitInForceReportsLaggingInstances(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	defer f.shutDown()
	first := f.start("a", newStore(1))
	f.mu.Lock()
	f.members = append(f.members, hemlocktally.Instance{ID: "gone", PeerAddress: "127.0.0.1:1", State: hemlocktally.InstanceSuspect})
	f.mu.Unlock()
	accepted, err := first.Change(background, change("one", 0, service("log", 2)))
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(background, 100*time.Millisecond)
	defer cancel()
	var lagging *hemlocktally.LaggingError
	c.Assert(errors.As(first.WaitInForce(ctx, accepted.Revision, nil), &lagging), qt.IsTrue)
	c.Check(lagging.Missing, qt.DeepEquals, []hemlocktally.InstanceID{"gone"})
}

func TestStopInAnOutageIsProvisionalThenSettled(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	defer f.shutDown()
	store := newStore(1)
	first, second := f.start("a", store), f.start("b", store)
	_, err := first.Change(background, change("one", 0, service("log", 2)))
	c.Assert(err, qt.IsNil)
	await(c, "both have revision 1", func() bool { return second.Current().Revision == 1 })
	store.set(func(s *fakeStore) { s.down = true })

	var bad *hemlocktally.ChangeError
	_, err = first.Stop(background, change("x", 1, zone(hemlocktally.CommandZoneBack)))
	c.Check(errors.As(err, &bad), qt.IsTrue)
	stopped, err := first.Stop(background, change("out", 1, zone(hemlocktally.CommandZoneOut)))
	c.Assert(err, qt.IsNil)
	c.Check(stopped.Accepted, qt.IsNil)
	c.Assert(stopped.Provisional, qt.IsNotNil)
	await(c, "the peer applies the stop", func() bool { return second.Current().ZoneOut("north") })
	c.Check(second.Current().Provisional, qt.HasLen, 1)
	c.Check(second.Current().Revision, qt.Equals, hemlocktally.Revision(1))

	store.set(func(s *fakeStore) { s.down = false })
	for _, instance := range []*configurator.Configurator{first, second} {
		await(c, "the stop is settled", func() bool {
			return instance.Current().Revision == 2 && len(instance.Current().Provisional) == 0
		})
		c.Check(instance.Current().ZoneOut("north"), qt.IsTrue)
		c.Check(instance.Current().ChangeID, qt.Equals, "out")
	}
	stopped, err = first.Stop(background, change("again", 2, zone(hemlocktally.CommandZoneOut)))
	c.Assert(err, qt.IsNil)
	c.Check(stopped.Accepted, qt.IsNotNil)
}

func TestChangeSettlesProvisionalStopsFirst(t *testing.T) {
	c := qt.New(t)
	store := newStore(1)
	instance := &configurator.Configurator{Store: store, Self: "a"}
	_, err := instance.Change(background, change("one", 0, service("log", 2)))
	c.Assert(err, qt.IsNil)
	store.down = true
	_, err = instance.Stop(background, change("out", 1, zone(hemlocktally.CommandZoneOut)))
	c.Assert(err, qt.IsNil)
	store.down = false
	var race *hemlocktally.RevisionConflictError
	_, err = instance.Change(background, change("back", 1, zone(hemlocktally.CommandZoneBack)))
	c.Assert(errors.As(err, &race), qt.IsTrue)
	c.Check(race.Winner.Change.ID, qt.Equals, "out")
	_, err = instance.Change(background, change("back", 2, zone(hemlocktally.CommandZoneBack)))
	c.Assert(err, qt.IsNil)
	c.Check(instance.Current().ZoneOut("north"), qt.IsFalse)
	c.Check(instance.Current().Provisional, qt.HasLen, 0)
}

func TestStopThatCannotBeAppliedIsDropped(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	defer f.shutDown()
	store, cut := newStore(1), newStore(1)
	other := &configurator.Configurator{Store: store}
	_, err := other.Change(background, change("one", 0, service("log", 2)))
	c.Assert(err, qt.IsNil)
	cut.entries = store.entries
	first := f.start("a", cut)
	await(c, "the instance has revision 1", func() bool { return first.Current().Revision == 1 })
	cut.set(func(s *fakeStore) { s.down = true })
	out := hemlocktally.Command{Kind: hemlocktally.CommandTargetOut, Name: "log", Target: "log-1"}
	_, err = first.Stop(background, change("out", 1, out))
	c.Assert(err, qt.IsNil)
	_, err = other.Change(background, change("two", 1, service("log", 1)))
	c.Assert(err, qt.IsNil)
	cut.set(func(s *fakeStore) { s.down = false })
	await(c, "the stop is dropped", func() bool { return len(first.Current().Provisional) == 0 && first.Current().Revision == 2 })
	c.Check(first.Current().ChangeID, qt.Equals, "two")
}

// TestWaitInForceHandlesConcurrentAnswers checks WaitInForce with so many peers
// that some answer while others are still being asked.
func TestWaitInForceHandlesConcurrentAnswers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	defer f.shutDown()
	store := newStore(1)
	first := f.start("a", store)
	for i := range 8 {
		f.start(hemlocktally.InstanceID(fmt.Sprintf("peer-%d", i)), store)
	}
	accepted, err := first.Change(background, change("one", 0, service("log", 2)))
	c.Assert(err, qt.IsNil)
	all := 0
	c.Assert(first.WaitInForce(background, accepted.Revision, func(_, members int) { all = members }), qt.IsNil)
	c.Check(all, qt.Equals, 9)
}
