package placer_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"hemlocktally"
	"hemlocktally/messenger"
	"hemlocktally/placer"
)

// BenchmarkOwner runs an owner that other instances ask over HTTP for 1,400 grants per second
// on 150 targets. Its CPU profile shows the cost of a grant.
func BenchmarkOwner(b *testing.B) {
	var list []hemlocktally.Registration
	for i := range 150 {
		list = append(list, hemlocktally.Registration{Service: "s", Target: hemlocktally.Target{
			Name: hemlocktally.TargetName(fmt.Sprint("t", i)), Address: "127.0.0.1:1", Zone: "a", Slots: 2,
		}})
	}
	server := &placer.Server{Self: "o", Prober: idleProber{}, Bounds: placer.Bounds{RetryWindow: time.Second}}
	go func() { _ = server.Run(b.Context()) }()
	server.Configure(map[hemlocktally.ServiceName]placer.TargetsMsg{"s": {Service: hemlocktally.Service{Name: "s", ProbePath: "/"}, Targets: list}})
	for !server.CanDecide("s") {
		time.Sleep(time.Millisecond)
	}
	l := httptest.NewUnstartedServer(messenger.NewPlacementServer(server))
	messenger.ConfigureServer(l.Config)
	l.Start()
	defer l.Close()
	var clients [128]messenger.Placement
	for i := range clients {
		tr := &http.Transport{}
		messenger.ConfigureTransport(tr)
		clients[i] = messenger.NewPlacementProtobufClient("http://"+strings.TrimPrefix(l.URL, "http://"), &http.Client{Transport: tr})
	}
	var group sync.WaitGroup
	next := time.Now()
	for n := range b.N {
		const interval, work = 700 * time.Microsecond, 130 * time.Millisecond
		next = next.Add(interval)
		time.Sleep(time.Until(next))
		group.Go(func() {
			c := clients[n%len(clients)]
			out, err := c.Place(b.Context(), &messenger.PlaceRequest{
				Ticket: fmt.Sprint(n), Service: "s", Contract: "c", Zone: "a", Instance: fmt.Sprint("i", n%128), DeadlineMicroseconds: 1e6, ObjectiveMicroseconds: 4e5,
			})
			if err != nil || out.GetGrant() == "" {
				return
			}
			time.Sleep(work)
			_, _ = c.EndTurn(b.Context(), &messenger.EndTurnRequest{
				Grant: out.GetGrant(), Service: "s", Target: out.GetTarget(), Contract: "c", LatencyMicroseconds: work.Microseconds(), Load: &messenger.TargetLoad{Running: 1, Slots: 2, PacePercent: 100},
			})
		})
	}
	group.Wait()
}
