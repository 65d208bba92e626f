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

// view is a fixed view of the fleet.
type view struct{ members []hemlocktally.Instance }

func (v view) View() hemlocktally.View { return hemlocktally.View{Members: v.members} }

// calm is a target's load prober that finds nothing to do anywhere.
type calm struct{}

func (calm) Load(context.Context, hemlocktally.Target, string) (hemlocktally.AnswerHeader, error) {
	return hemlocktally.AnswerHeader{Load: &hemlocktally.Load{Slots: 2, Pace: 1}}, nil
}

// instance starts a server of turns that listens on loopback.
func instance(t *testing.T, id hemlocktally.InstanceID, targets ...hemlocktally.Registration) (*placer.Server, hemlocktally.Instance) {
	t.Helper()
	server := &placer.Server{Self: id, Loads: calm{}, Bounds: placer.Bounds{RetryWindow: time.Second}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Run(ctx) }()
	server.Configure(map[hemlocktally.ServiceName]placer.TargetsMsg{"s": {
		Service: hemlocktally.Service{Name: "s", ProbePath: "/"}, Targets: targets,
	}})
	for len(targets) > 0 && !server.Able("s") {
		time.Sleep(time.Millisecond)
	}
	listener := httptest.NewServer(messenger.NewPlacementServer(server))
	t.Cleanup(listener.Close)
	return server, hemlocktally.Instance{
		ID: id, PeerAddress: strings.TrimPrefix(listener.URL, "http://"), State: hemlocktally.InstanceServing,
	}
}

// An instance that has started while the store is down knows no targets. It must
// not turn away the calls of the others that still take it for the owner.
func TestOwnerWithoutTargetsIsPassedOver(t *testing.T) {
	c := qt.New(t)
	known := hemlocktally.Registration{Service: "s", Target: hemlocktally.Target{Name: "x", Address: "127.0.0.1:1", Zone: "a", Slots: 2}}
	_, empty := instance(t, "empty")
	_, knowing := instance(t, "knowing", known)
	self, own := instance(t, "self", known)
	members := []hemlocktally.Instance{empty, knowing, own}
	alone := &placer.Server{Self: "self", Loads: calm{}, Alone: true}
	client := &placer.Client{Self: "self", Zone: "a", View: view{members}, Server: self, Alone: alone, HTTP: http.DefaultClient}
	// Every order of the members has to do.
	for _, weight := range []float64{0, 1000} {
		members[0].Weight = weight
		grant, err := client.Acquire(context.Background(), hemlocktally.GrantRequest{
			Service: "s", Contract: "c", Deadline: time.Now().Add(5 * time.Second),
		})
		c.Assert(err, qt.IsNil)
		c.Assert(grant.Target.Name, qt.Equals, hemlocktally.TargetName("x"))
	}
}

// A target leaves while the instance places no work and reads no list. Its next
// choice must not go by the old list.
func TestOldListIsReadAnewBeforeAChoice(t *testing.T) {
	c := qt.New(t)
	registration := func(name string) hemlocktally.Registration {
		return hemlocktally.Registration{Service: "s", Target: hemlocktally.Target{
			Name: hemlocktally.TargetName(name), Address: "127.0.0.1:1", Zone: "a", Slots: 2,
		}}
	}
	server, _ := instance(t, "self", registration("left"))
	var at atomic.Int64
	at.Store(time.Now().Add(-time.Minute).UnixNano())
	server.Known = func() (time.Time, bool) { return time.Unix(0, at.Load()), true }
	server.Needed = func() {
		go func() {
			time.Sleep(20 * time.Millisecond)
			server.Configure(map[hemlocktally.ServiceName]placer.TargetsMsg{"s": {
				Service: hemlocktally.Service{Name: "s", ProbePath: "/"}, Targets: []hemlocktally.Registration{registration("stays")},
			}})
			at.Store(time.Now().UnixNano())
		}()
	}
	client := &placer.Client{Self: "self", Zone: "a", View: view{[]hemlocktally.Instance{{ID: "self", State: hemlocktally.InstanceServing}}}, Server: server}
	grant, err := client.Acquire(context.Background(), hemlocktally.GrantRequest{Service: "s", Contract: "c", Deadline: time.Now().Add(time.Second)})
	c.Assert(err, qt.IsNil)
	c.Assert(grant.Target.Name, qt.Equals, hemlocktally.TargetName("stays"))
}

// A list that stays old although it could be read may name targets that left long
// ago: then nothing is chosen. While the store is out, the old list has to do.
func TestListThatStaysOldIsNotChosenBy(t *testing.T) {
	c := qt.New(t)
	server, _ := instance(t, "self", hemlocktally.Registration{Service: "s", Target: hemlocktally.Target{
		Name: "left", Address: "127.0.0.1:1", Zone: "a", Slots: 2,
	}})
	var readable atomic.Bool
	readable.Store(true)
	server.Known = func() (time.Time, bool) { return time.Now().Add(-time.Minute), readable.Load() }
	client := &placer.Client{Self: "self", Zone: "a", View: view{[]hemlocktally.Instance{{ID: "self", State: hemlocktally.InstanceServing}}}, Server: server}
	request := hemlocktally.GrantRequest{Service: "s", Contract: "c", Deadline: time.Now().Add(5 * time.Second)}
	_, err := client.Acquire(context.Background(), request)
	var refused *hemlocktally.RefusedError
	c.Assert(errors.As(err, &refused), qt.IsTrue)
	c.Assert(refused.Outcome, qt.Equals, hemlocktally.OutcomeNotRun)
	readable.Store(false)
	_, err = client.Acquire(context.Background(), request)
	c.Assert(err, qt.IsNil)
}

// An instance is cut off from the store and knows no targets, and hubs die in a
// burst: it asks on until one answers, for alone it could only refuse.
func TestInstanceThatKnowsNoTargetsAsksOn(t *testing.T) {
	c := qt.New(t)
	known := hemlocktally.Registration{Service: "s", Target: hemlocktally.Target{Name: "x", Address: "127.0.0.1:1", Zone: "a", Slots: 2}}
	_, member := instance(t, "good", known)
	members := []hemlocktally.Instance{member}
	for id, address := range map[hemlocktally.InstanceID]string{"dead-1": "127.0.0.1:1", "dead-2": "127.0.0.1:2", "dead-3": "127.0.0.1:3"} {
		members = append(members, hemlocktally.Instance{ID: id, PeerAddress: address, Weight: 1000, State: hemlocktally.InstanceServing})
	}
	alone := &placer.Server{Self: "self", Loads: calm{}, Alone: true}
	client := &placer.Client{Self: "self", Zone: "a", View: view{members}, Server: &placer.Server{}, Alone: alone, HTTP: http.DefaultClient}
	grant, err := client.Acquire(t.Context(), hemlocktally.GrantRequest{
		Service: "s", Contract: "c", Deadline: time.Now().Add(2 * time.Second), Objective: time.Now().Add(time.Second),
	})
	c.Assert(err, qt.IsNil)
	c.Check(grant.Owner, qt.Equals, hemlocktally.InstanceID("good"))
}

// deaf is a target's load prober that never gets an answer.
type deaf struct{}

func (deaf) Load(context.Context, hemlocktally.Target, string) (hemlocktally.AnswerHeader, error) {
	return hemlocktally.AnswerHeader{}, errors.New("no answer")
}

// Questions about load fail while the list of targets changes: the race detector
// finds nothing that two tasks share.
func TestFailedProbesShareNothingWithTheOwner(t *testing.T) {
	c := qt.New(t)
	server := &placer.Server{Self: "o", Loads: deaf{}, Bounds: placer.Bounds{RetryWindow: time.Second}}
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
	for !server.Able("s") {
		time.Sleep(time.Millisecond)
	}
	for n := range 40 {
		ask := placer.AskMsg{Ticket: strconv.Itoa(n), From: "i", Zone: "a", Request: hemlocktally.GrantRequest{
			Service: "s", Contract: "c", Deadline: time.Now().Add(time.Second), Objective: time.Now().Add(time.Second),
		}}
		go configure(hemlocktally.Revision(n + 2))
		c.Check(server.Ask(ctx, ask), qt.IsNotNil)
		time.Sleep(5 * time.Millisecond)
	}
}

// An instance stops while its follower still tells its owners of changes, and calls
// still give turns back: nobody waits for a task that has ended.
func TestNobodyWaitsForAnEndedOwner(t *testing.T) {
	c := qt.New(t)
	server := &placer.Server{Self: "o", Loads: calm{}, Bounds: placer.Bounds{RetryWindow: time.Second}}
	ctx, cancel := context.WithCancel(context.Background())
	ran := make(chan error, 1)
	go func() { ran <- server.Run(ctx) }()
	services := map[hemlocktally.ServiceName]placer.TargetsMsg{"s": {
		Service: hemlocktally.Service{Name: "s"},
		Targets: []hemlocktally.Registration{{Service: "s", Target: hemlocktally.Target{Name: "x", Address: "127.0.0.1:1", Zone: "a", Slots: 2}}},
	}}
	server.Configure(services)
	for !server.Able("s") {
		time.Sleep(time.Millisecond)
	}
	ask := placer.AskMsg{Ticket: "1", From: "i", Zone: "a", Request: hemlocktally.GrantRequest{
		Service: "s", Contract: "c", Deadline: time.Now().Add(time.Second), Objective: time.Now().Add(time.Second),
	}}
	granted, ok := server.Ask(ctx, ask).(placer.GrantCmd)
	c.Assert(ok, qt.IsTrue)
	cancel()
	c.Assert(<-ran, qt.IsNil)
	told := make(chan struct{})
	go func() {
		defer close(told)
		for range 1000 {
			server.Configure(services)
			server.End(hemlocktally.GrantResult{Grant: granted.Grant})
		}
	}()
	select {
	case <-told:
	case <-time.After(5 * time.Second):
		c.Fatal("a message to an ended owner is never taken")
	}
}

// An owner that nobody has asked yet has read no targets. The first question lets it
// read them and is answered; else all would pass it over until it happens to read
// them, and two owners would hand out the same targets meanwhile.
func TestFirstQuestionLetsTheOwnerReadItsTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		known := hemlocktally.Registration{Service: "s", Target: hemlocktally.Target{Name: "x", Address: "x", Zone: "a", Slots: 2}}
		owner := &placer.Server{Self: "owner", Loads: calm{}, Bounds: placer.Bounds{RetryWindow: time.Second}}
		var reading sync.Once
		owner.Needed = func() {
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
