package placer_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/imitator"
	"hemlocktally/messenger"
	"hemlocktally/placer"
)

// stallingPlacement does not answer its first requests, like an owner that is out of CPU quota
// for a tenth of a second.
type stallingPlacement struct {
	messenger.Placement
	stalls atomic.Int64
	asked  atomic.Int64
}

func (p *stallingPlacement) Place(ctx context.Context, in *messenger.PlaceRequest) (*messenger.PlaceResponse, error) {
	p.asked.Add(1)
	if p.stalls.Add(-1) >= 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return p.Placement.Place(ctx, in)
}

// newStallingOwner returns a client that can decide alone, and the only owner that it asks,
// which stalls.
func newStallingOwner(ctx context.Context, stalls int64) (*placer.Client, *stallingPlacement) {
	known := placer.TargetsMsg{
		Service: hemlocktally.Service{Name: "s", ProbePath: "/"},
		Targets: []hemlocktally.Registration{{Service: "s", Target: hemlocktally.Target{Name: "x", Address: "x", Zone: "a", Slots: 9}}},
	}
	serve := func(id hemlocktally.InstanceID, alone bool) *placer.Server {
		server := &placer.Server{Self: id, Prober: idleProber{}, Alone: alone, Bounds: placer.Bounds{RetryWindow: time.Second}}
		go func() { _ = server.Run(ctx) }()
		server.Configure(map[hemlocktally.ServiceName]placer.TargetsMsg{"s": known})
		return server
	}
	owner := &stallingPlacement{Placement: serve("owner", false)}
	owner.stalls.Store(stalls)
	members := []hemlocktally.Instance{{ID: "owner", PeerAddress: "owner", State: hemlocktally.InstanceServing, Weight: 1}}
	return &placer.Client{
		Self: "self", Zone: "a", View: fixedView{members}, Server: &placer.Server{}, Alone: serve("self", true),
		HTTP: &http.Client{Transport: imitator.Network{"owner": messenger.NewPlacementServer(owner)}},
	}, owner
}

// After an owner stalled for a moment in a burst, clients must soon ask it again. While some
// use it and others use the next owner, two owners decide for the same targets, and neither
// counts the grants of the other.
func TestStalledOwnerIsRetriedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		client, _ := newStallingOwner(ctx, 1)
		synctest.Wait()
		acquire := func() hemlocktally.Grant {
			grant, err := client.Acquire(ctx, hemlocktally.GrantRequest{Service: "s", Contract: "c", Deadline: time.Now().Add(time.Second)})
			c.Assert(err, qt.IsNil)
			return grant
		}
		c.Check(acquire().Alone, qt.IsTrue)
		time.Sleep(250 * time.Millisecond)
		c.Check(acquire().Alone, qt.IsFalse)
		cancel()
		synctest.Wait()
	})
}

// A dead owner must cost the instance's calls little: it is asked at ever longer intervals, at
// most ten times in ten seconds.
func TestSilentOwnerIsAskedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		client, owner := newStallingOwner(ctx, 1<<40)
		synctest.Wait()
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			grant, err := client.Acquire(ctx, hemlocktally.GrantRequest{Service: "s", Contract: "c", Deadline: time.Now().Add(time.Second)})
			c.Assert(err, qt.IsNil)
			client.Release(hemlocktally.GrantResult{Grant: grant, Outcome: hemlocktally.AttemptDone, Latency: time.Millisecond})
		}
		c.Check(owner.asked.Load() <= 10, qt.IsTrue, qt.Commentf("%d requests", owner.asked.Load()))
		cancel()
		synctest.Wait()
	})
}
