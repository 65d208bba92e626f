package placer_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/messenger"
	"hemlocktally/placer"
)

// fixedView is a view of the fleet that never changes.
type fixedView struct{ members []hemlocktally.Instance }

func (v fixedView) View() hemlocktally.View { return hemlocktally.View{Members: v.members} }

// idleProber answers every probe with the load of an idle target.
type idleProber struct{}

func (idleProber) Load(context.Context, hemlocktally.Target, string) (hemlocktally.ResponseInfo, error) {
	return hemlocktally.ResponseInfo{Load: &hemlocktally.Load{Slots: 2, Pace: 1}}, nil
}

// startServer starts a grant server that listens on loopback.
func startServer(t *testing.T, id hemlocktally.InstanceID, targets ...hemlocktally.Registration) (*placer.Server, hemlocktally.Instance) {
	t.Helper()
	server := &placer.Server{Self: id, Prober: idleProber{}, Bounds: placer.Bounds{RetryWindow: time.Second}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Run(ctx) }()
	server.Configure(map[hemlocktally.ServiceName]placer.TargetsMsg{"s": {
		Service: hemlocktally.Service{Name: "s", ProbePath: "/"}, Targets: targets,
	}})
	for len(targets) > 0 && !server.CanDecide("s") {
		time.Sleep(time.Millisecond)
	}
	listener := httptest.NewServer(messenger.NewPlacementServer(server))
	t.Cleanup(listener.Close)
	return server, hemlocktally.Instance{
		ID: id, PeerAddress: strings.TrimPrefix(listener.URL, "http://"), State: hemlocktally.InstanceServing,
	}
}

// An instance that started while the store was down knows no targets. It must not refuse calls
// of other instances that still consider it the owner.
func TestOwnerWithoutTargetsIsSkipped(t *testing.T) {
	c := qt.New(t)
	known := hemlocktally.Registration{Service: "s", Target: hemlocktally.Target{Name: "x", Address: "127.0.0.1:1", Zone: "a", Slots: 2}}
	_, empty := startServer(t, "empty")
	_, informed := startServer(t, "knowing", known)
	self, own := startServer(t, "self", known)
	members := []hemlocktally.Instance{empty, informed, own}
	alone := &placer.Server{Self: "self", Prober: idleProber{}, Alone: true}
	client := &placer.Client{Self: "self", Zone: "a", View: fixedView{members}, Server: self, Alone: alone, HTTP: http.DefaultClient}
	// The grant must succeed in every order of the members.
	for _, weight := range []float64{0, 1000} {
		members[0].Weight = weight
		grant, err := client.Acquire(context.Background(), hemlocktally.GrantRequest{
			Service: "s", Contract: "c", Deadline: time.Now().Add(5 * time.Second),
		})
		c.Assert(err, qt.IsNil)
		c.Assert(grant.Target.Name, qt.Equals, hemlocktally.TargetName("x"))
	}
}

// Guards against calls on draining targets: an owner whose list of targets is superseded must
// not choose for others, and goes on choosing for its own callers.
func TestOwnerWithSupersededListIsSkipped(t *testing.T) {
	c := qt.New(t)
	known := hemlocktally.Registration{Service: "s", Target: hemlocktally.Target{Name: "x", Address: "127.0.0.1:1", Zone: "a", Slots: 2}}
	owner, asInstance := startServer(t, "owner", known)
	var superseded atomic.Bool
	owner.Superseded = superseded.Load
	request := &messenger.PlaceRequest{Ticket: "1", Instance: "other", Service: "s", DeadlineMicroseconds: time.Second.Microseconds(), ObjectiveMicroseconds: time.Second.Microseconds()}
	placement := messenger.NewPlacementProtobufClient("http://"+asInstance.PeerAddress, http.DefaultClient)
	out, err := placement.Place(context.Background(), request)
	c.Assert(err, qt.IsNil)
	c.Check(out.GetTarget(), qt.Equals, "x")
	superseded.Store(true)
	request.Ticket = "2"
	out, err = placement.Place(context.Background(), request)
	c.Assert(err, qt.IsNil)
	c.Check(out.GetUnable(), qt.IsTrue)
	client := &placer.Client{Self: "owner", Zone: "a", View: fixedView{[]hemlocktally.Instance{asInstance}}, Server: owner, Alone: &placer.Server{Alone: true}}
	grant, err := client.Acquire(context.Background(), hemlocktally.GrantRequest{Service: "s", Contract: "c", Deadline: time.Now().Add(5 * time.Second)})
	c.Assert(err, qt.IsNil)
	c.Check(grant.Owner, qt.Equals, hemlocktally.InstanceID("owner"))
}

// A target leaves while the instance places no calls and therefore reads no list. Its next
// choice must not use the stale list.
func TestStaleTargetListIsRefreshedBeforeAChoice(t *testing.T) {
	c := qt.New(t)
	registration := func(name string) hemlocktally.Registration {
		return hemlocktally.Registration{Service: "s", Target: hemlocktally.Target{
			Name: hemlocktally.TargetName(name), Address: "127.0.0.1:1", Zone: "a", Slots: 2,
		}}
	}
	server, _ := startServer(t, "self", registration("left"))
	var at atomic.Int64
	at.Store(time.Now().Add(-time.Minute).UnixNano())
	server.TargetsRead = func() (time.Time, bool) { return time.Unix(0, at.Load()), true }
	server.RequestTargets = func() {
		go func() {
			time.Sleep(20 * time.Millisecond)
			server.Configure(map[hemlocktally.ServiceName]placer.TargetsMsg{"s": {
				Service: hemlocktally.Service{Name: "s", ProbePath: "/"}, Targets: []hemlocktally.Registration{registration("stays")},
			}})
			at.Store(time.Now().UnixNano())
		}()
	}
	client := &placer.Client{Self: "self", Zone: "a", View: fixedView{[]hemlocktally.Instance{{ID: "self", State: hemlocktally.InstanceServing}}}, Server: server}
	grant, err := client.Acquire(context.Background(), hemlocktally.GrantRequest{Service: "s", Contract: "c", Deadline: time.Now().Add(time.Second)})
	c.Assert(err, qt.IsNil)
	c.Assert(grant.Target.Name, qt.Equals, hemlocktally.TargetName("stays"))
}

// A list that stays stale although it could be read may contain targets that left long ago, so
// no choice is made from it. While the store is unavailable, the stale list is used.
func TestChoiceIsRefusedWhileTheTargetListStaysStale(t *testing.T) {
	c := qt.New(t)
	server, _ := startServer(t, "self", hemlocktally.Registration{Service: "s", Target: hemlocktally.Target{
		Name: "left", Address: "127.0.0.1:1", Zone: "a", Slots: 2,
	}})
	var readable atomic.Bool
	readable.Store(true)
	server.TargetsRead = func() (time.Time, bool) { return time.Now().Add(-time.Minute), readable.Load() }
	client := &placer.Client{Self: "self", Zone: "a", View: fixedView{[]hemlocktally.Instance{{ID: "self", State: hemlocktally.InstanceServing}}}, Server: server}
	request := hemlocktally.GrantRequest{Service: "s", Contract: "c", Deadline: time.Now().Add(5 * time.Second)}
	_, err := client.Acquire(context.Background(), request)
	var refused *hemlocktally.RefusedError
	c.Assert(errors.As(err, &refused), qt.IsTrue)
	c.Assert(refused.Outcome, qt.Equals, hemlocktally.OutcomeNotRun)
	readable.Store(false)
	_, err = client.Acquire(context.Background(), request)
	c.Assert(err, qt.IsNil)
}

// An instance without targets can't decide alone. While several owners are unreachable, it
// must go on asking until one answers.
func TestInstanceWithoutTargetsAsksFurtherOwners(t *testing.T) {
	c := qt.New(t)
	known := hemlocktally.Registration{Service: "s", Target: hemlocktally.Target{Name: "x", Address: "127.0.0.1:1", Zone: "a", Slots: 2}}
	_, member := startServer(t, "good", known)
	members := []hemlocktally.Instance{member}
	for id, address := range map[hemlocktally.InstanceID]string{"dead-1": "127.0.0.1:1", "dead-2": "127.0.0.1:2", "dead-3": "127.0.0.1:3"} {
		members = append(members, hemlocktally.Instance{ID: id, PeerAddress: address, Weight: 1000, State: hemlocktally.InstanceServing})
	}
	alone := &placer.Server{Self: "self", Prober: idleProber{}, Alone: true}
	client := &placer.Client{Self: "self", Zone: "a", View: fixedView{members}, Server: &placer.Server{}, Alone: alone, HTTP: http.DefaultClient}
	grant, err := client.Acquire(t.Context(), hemlocktally.GrantRequest{
		Service: "s", Contract: "c", Deadline: time.Now().Add(2 * time.Second), Objective: time.Now().Add(time.Second),
	})
	c.Assert(err, qt.IsNil)
	c.Check(grant.Owner, qt.Equals, hemlocktally.InstanceID("good"))
}

// failingProber fails every probe.
type failingProber struct{}

func (failingProber) Load(context.Context, hemlocktally.Target, string) (hemlocktally.ResponseInfo, error) {
	return hemlocktally.ResponseInfo{}, errors.New("no answer")
}

// Guards against a data race between failing probes and changes of the list of targets. Needs
// the race detector.
func TestFailedProbesDoNotRaceWithConfigure(t *testing.T) {
	c := qt.New(t)
	server := &placer.Server{Self: "o", Prober: failingProber{}, Bounds: placer.Bounds{RetryWindow: time.Second}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = server.Run(ctx) }()
	configure := func(revision hemlocktally.Revision) {
		server.Configure(map[hemlocktally.ServiceName]placer.TargetsMsg{"s": {
			Service: hemlocktally.Service{Name: "s", ProbePath: "/"}, Revision: revision,
			Targets: []hemlocktally.Registration{{Service: "s", Target: hemlocktally.Target{Name: "x", Address: "127.0.0.1:1", Zone: "a", Slots: 2}}},
		}})
	}
	configure(1)
	for !server.CanDecide("s") {
		time.Sleep(time.Millisecond)
	}
	for n := range 40 {
		msg := placer.AcquireMsg{Ticket: strconv.Itoa(n), From: "i", Zone: "a", Request: hemlocktally.GrantRequest{
			Service: "s", Contract: "c", Deadline: time.Now().Add(time.Second), Objective: time.Now().Add(time.Second),
		}}
		go configure(hemlocktally.Revision(n + 2))
		c.Check(server.Acquire(ctx, msg), qt.IsNotNil)
		time.Sleep(5 * time.Millisecond)
	}
}

// Configure and Release are still called while the server stops. They must not block on a task
// that has ended.
func TestSendToAStoppedServerDoesNotBlock(t *testing.T) {
	c := qt.New(t)
	server := &placer.Server{Self: "o", Prober: idleProber{}, Bounds: placer.Bounds{RetryWindow: time.Second}}
	ctx, cancel := context.WithCancel(context.Background())
	ran := make(chan error, 1)
	go func() { ran <- server.Run(ctx) }()
	services := map[hemlocktally.ServiceName]placer.TargetsMsg{"s": {
		Service: hemlocktally.Service{Name: "s"},
		Targets: []hemlocktally.Registration{{Service: "s", Target: hemlocktally.Target{Name: "x", Address: "127.0.0.1:1", Zone: "a", Slots: 2}}},
	}}
	server.Configure(services)
	for !server.CanDecide("s") {
		time.Sleep(time.Millisecond)
	}
	msg := placer.AcquireMsg{Ticket: "1", From: "i", Zone: "a", Request: hemlocktally.GrantRequest{
		Service: "s", Contract: "c", Deadline: time.Now().Add(time.Second), Objective: time.Now().Add(time.Second),
	}}
	granted, ok := server.Acquire(ctx, msg).(placer.GrantCmd)
	c.Assert(ok, qt.IsTrue)
	cancel()
	c.Assert(<-ran, qt.IsNil)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for range 1000 {
			server.Configure(services)
			server.Release(hemlocktally.GrantResult{Grant: granted.Grant})
		}
	}()
	select {
	case <-sent:
	case <-time.After(5 * time.Second):
		c.Fatal("a message to a stopped server blocks")
	}
}

// An owner reads its targets only when it is first asked, and must still answer that request.
// Otherwise clients skip it until it happens to read them, and meanwhile two owners issue
// grants on the same targets.
func TestFirstRequestMakesTheOwnerReadItsTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		known := hemlocktally.Registration{Service: "s", Target: hemlocktally.Target{Name: "x", Address: "x", Zone: "a", Slots: 2}}
		owner := &placer.Server{Self: "owner", Prober: idleProber{}, Bounds: placer.Bounds{RetryWindow: time.Second}}
		var reading sync.Once
		owner.RequestTargets = func() {
			reading.Do(func() {
				time.AfterFunc(12*time.Millisecond, func() {
					owner.Configure(map[hemlocktally.ServiceName]placer.TargetsMsg{"s": {
						Service: hemlocktally.Service{Name: "s", ProbePath: "/"}, Targets: []hemlocktally.Registration{known},
					}})
				})
			})
		}
		go func() { _ = owner.Run(ctx) }()
		synctest.Wait()
		out, err := owner.Place(ctx, &messenger.PlaceRequest{
			Ticket: "1", Service: "s", Contract: "c", Instance: "i", Zone: "a", DeadlineMicroseconds: 2_000_000, ObjectiveMicroseconds: 500_000,
		})
		c.Assert(err, qt.IsNil)
		c.Check(out.GetUnable(), qt.IsFalse)
		c.Check(out.GetTarget(), qt.Equals, "x")
		cancel()
		synctest.Wait()
	})
}
