package placer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/messenger"
)

// ownerOf is the owner of zone a of a service that has targets in two zones.
func ownerOf(targets ...hemlocktally.Registration) *desk {
	d := newDesk()
	d.update(TargetsMsg{
		Service: hemlocktally.Service{Name: "s", ProbePath: "/health", ColdPerSecond: 6.5}, Targets: targets,
		Share: OwnerShare{Owners: 2, Zones: map[hemlocktally.ZoneName]bool{"a": true}},
	})
	return d
}

func spills(commands []any) []SpillCmd {
	var list []SpillCmd
	for _, command := range commands {
		if spill, ok := command.(SpillCmd); ok {
			list = append(list, spill)
		}
	}
	return list
}

// The owner of a zone hands out that zone's targets alone; where none of them is
// quick, other zones are asked before the call waits or takes a slow one.
func TestOwnerOfAZoneSpillsWhatItCantServePromptly(t *testing.T) {
	c := qt.New(t)
	d := ownerOf(target("x", "a"), target("far", "b"))
	d.report("far", 1)
	d.report("x", 2.4)
	spilled := spills(d.update(d.request()))
	c.Assert(spilled, qt.HasLen, 1)
	c.Check(spilled[0].Empty, qt.IsFalse)
	c.Check(d.state.Waiting(), qt.Equals, 0)
	again := d.request()
	again.Spilled = true
	got := grants(d.update(again))
	c.Assert(got, qt.HasLen, 1)
	c.Check(got[0].Target.Name, qt.Equals, hemlocktally.TargetName("x"))
}

func TestOwnerWithoutTargetsOfItsZoneSaysSo(t *testing.T) {
	c := qt.New(t)
	draining := target("x", "a")
	draining.Draining = true
	d := ownerOf(draining, target("far", "b"))
	d.report("far", 1)
	c.Check(spills(d.update(d.request())), qt.DeepEquals, []SpillCmd{{Ticket: "1", Empty: true}})
}

// A visitor takes what is free and quick now, and never waits in the queue.
func TestVisitorsDontWait(t *testing.T) {
	c := qt.New(t)
	d := ownerOf(target("x", "a"))
	visit := func() []any {
		ask := d.request()
		ask.Visitor = true
		return d.update(ask)
	}
	d.report("x", 1)
	c.Check(grants(visit()), qt.HasLen, 1)
	c.Check(grants(visit()), qt.HasLen, 1)
	c.Check(spills(visit()), qt.HasLen, 1)
	c.Check(d.state.Waiting(), qt.Equals, 0)
	calls := len(d.state.spent.calls)
	c.Check(calls, qt.Equals, 0, qt.Commentf("visitors' calls count at their own owner"))
}

// zoneOwner is an owner of one zone on loopback.
func zoneOwner(t *testing.T, id hemlocktally.InstanceID, zone hemlocktally.ZoneName, targets ...hemlocktally.Registration) (*Server, hemlocktally.Instance) {
	t.Helper()
	server := &Server{Self: id, Bounds: Bounds{RetryWindow: time.Second}, Loads: silentLoads{}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Run(ctx) }()
	server.Configure(map[hemlocktally.ServiceName]TargetsMsg{"s": {
		Service: hemlocktally.Service{Name: "s"}, Targets: targets, Share: OwnerShare{Owners: 2, Zones: map[hemlocktally.ZoneName]bool{zone: true}},
	}})
	for !server.Able("s") {
		time.Sleep(time.Millisecond)
	}
	listener := httptest.NewServer(messenger.NewPlacementServer(server))
	t.Cleanup(listener.Close)
	return server, hemlocktally.Instance{
		ID: id, Zone: zone, PeerAddress: strings.TrimPrefix(listener.URL, "http://"), State: hemlocktally.InstanceServing,
	}
}

type splitView []hemlocktally.Instance

func (v splitView) View() hemlocktally.View {
	return hemlocktally.View{Members: v, Split: map[hemlocktally.ServiceName]bool{"s": true}}
}

// A zone's targets are all taken, or all gone: its callers get those of the other
// zone, each from the one owner that counts them, and wait at home while that one
// is full too.
func TestCallersOfAFullZoneAreServedByAnother(t *testing.T) {
	for name, own := range map[string][]hemlocktally.Registration{
		"all are taken": {target("x", "a"), target("y", "b"), target("z", "b")},
		"none is left":  {target("y", "b"), target("z", "b")},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			home, a := zoneOwner(t, "hub-a", "a", own...)
			_, b := zoneOwner(t, "hub-b", "b", own...)
			client := &Client{
				Self: "hub-a", Zone: "a", View: splitView{a, b}, Server: home, Alone: &Server{Self: "hub-a", Alone: true, Loads: silentLoads{}}, HTTP: http.DefaultClient,
			}
			acquire := func() (hemlocktally.Grant, error) {
				return client.Acquire(context.Background(), hemlocktally.GrantRequest{
					Service: "s", Contract: "c", Deadline: time.Now().Add(5 * time.Second), Objective: time.Now().Add(2 * time.Second),
				})
			}
			var held []hemlocktally.Grant
			zones := map[hemlocktally.ZoneName]int{}
			for range 2*len(own) - 1 {
				grant, err := acquire()
				c.Assert(err, qt.IsNil)
				zones[grant.Target.Zone]++
				held = append(held, grant)
			}
			c.Check(zones["b"] >= 3, qt.IsTrue, qt.Commentf("%v", zones))
			last := make(chan hemlocktally.Grant, 1)
			go func() {
				grant, err := acquire()
				c.Check(err, qt.IsNil)
				last <- grant
			}()
			select {
			case held0 := <-last:
				held = append(held, held0)
			case <-time.After(500 * time.Millisecond):
				c.Fatal("a slot was free")
			}
			waits := make(chan error, 1)
			go func() {
				_, err := acquire()
				waits <- err
			}()
			time.Sleep(50 * time.Millisecond)
			client.Release(hemlocktally.GrantResult{Grant: held[0], Contract: "c", Outcome: hemlocktally.AttemptDone, Latency: 30 * time.Millisecond})
			select {
			case err := <-waits:
				c.Check(err, qt.IsNil)
			case <-time.After(2 * time.Second):
				c.Fatal("the call that waits got no turn")
			}
		})
	}
}
