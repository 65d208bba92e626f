package placer_test

import (
	"context"
	"fmt"
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

// countedPlacement counts the questions to an owner.
type countedPlacement struct {
	messenger.Placement
	asked atomic.Int64
}

func (p *countedPlacement) Place(ctx context.Context, in *messenger.PlaceRequest) (*messenger.PlaceResponse, error) {
	p.asked.Add(1)
	return p.Placement.Place(ctx, in)
}

// A burst over the capacity: a hundred calls of another instance wait for the one
// owner of the service. What waits must not keep the owner busy: it answers a first
// question soon, to show that it is there, and those that wait rarely.
func TestWaitingCallsAskTheirOwnerRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const waiting = 100
		const span = time.Second
		ctx, cancel := context.WithCancel(context.Background())
		known := hemlocktally.Registration{Service: "s", Target: hemlocktally.Target{Name: "x", Address: "x", Zone: "a", Slots: 1}}
		serve := func(id hemlocktally.InstanceID) *placer.Server {
			server := &placer.Server{Self: id, Loads: calm{}, Bounds: placer.Bounds{RetryWindow: time.Second}}
			go func() { _ = server.Run(ctx) }()
			server.Configure(map[hemlocktally.ServiceName]placer.TargetsMsg{"s": {
				Service: hemlocktally.Service{Name: "s", ProbePath: "/"}, Targets: []hemlocktally.Registration{known},
			}})
			return server
		}
		owner := &countedPlacement{Placement: serve("owner")}
		members := []hemlocktally.Instance{{ID: "owner", PeerAddress: "owner", State: hemlocktally.InstanceServing, Weight: 1}}
		alone := &placer.Server{Self: "self", Loads: calm{}, Alone: true}
		client := &placer.Client{
			Self: "self", Zone: "a", View: view{members}, Server: serve("self"), Alone: alone,
			HTTP: &http.Client{Transport: imitator.Network{"owner": messenger.NewPlacementServer(owner)}},
		}
		synctest.Wait()
		ended := make(chan error, waiting+1)
		for n := range waiting + 1 {
			go func() {
				_, err := client.Acquire(ctx, hemlocktally.GrantRequest{
					Service: "s", Contract: hemlocktally.ContractName(fmt.Sprint("c", n)), Deadline: time.Now().Add(time.Minute),
				})
				ended <- err
			}()
		}
		c.Assert(<-ended, qt.IsNil) // The one slot is taken, all others wait.
		time.Sleep(span)
		c.Check(len(ended), qt.Equals, 0)
		// Seven questions a second and a first one for each: what waits costs the owner
		// less than what it grants.
		c.Check(owner.asked.Load() <= waiting*(7+1)+1, qt.IsTrue, qt.Commentf("%d questions", owner.asked.Load()))
		cancel()
		for range waiting {
			<-ended
		}
		synctest.Wait()
	})
}
