package balancer_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/imitator"
)

// Bounds of what a target that names a limit may get, as operators state them.
const (
	limitSettle = 3 * time.Second
	limitWindow = 4 * time.Second
	limitSlack  = 5
)

// callAll makes calls at the instances in turn, several at a time, until the context ends. It
// returns the number of answers by status.
func (f *fleet) callAll(ctx context.Context, workers int, name string) map[int]int {
	var (
		mu     sync.Mutex
		counts = map[int]int{}
		group  sync.WaitGroup
	)
	for worker := range workers {
		group.Go(func() {
			for n := worker; ctx.Err() == nil; n++ {
				got := f.call(f.instances[n%len(f.instances)], http.MethodGet, "/read/x", fmt.Sprintf("%s-%d-%d", name, worker, n))
				mu.Lock()
				counts[got.status]++
				mu.Unlock()
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return counts
}

// Guards against the incident LIMIT over sockets: two targets name limits in all answers, also
// in those that reject a call, and six instances share what they allow while the hub that
// counts stops and another takes over.
func TestTargetsGetNoMoreThanTheirLimitsWhileTheHubStops(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(t, "a", "a", "a", "b", "b", "c")
	f.upstreams[0].SetFaults(imitator.UpstreamFaults{Limit: "1"})
	f.upstreams[1].SetFaults(imitator.UpstreamFaults{Limit: "0.5", Shed: true})
	named := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	stop := time.AfterFunc(5*time.Second, f.instances[0].stop)
	defer stop.Stop()
	counts := f.callAll(ctx, 12, "limit")
	c.Check(counts[http.StatusOK] > 1000, qt.IsTrue, qt.Commentf("%v", counts))
	for n, perSecond := range []float64{1, 0.5} {
		allowed := int(1.5*perSecond*limitWindow.Seconds()) + limitSlack
		got := imitator.MostArrivals(f.upstreams[n].ArrivalList(), named.Add(limitSettle), limitWindow)
		c.Check(got <= allowed, qt.IsTrue, qt.Commentf("%d requests in %s for a limit of %g, %d allowed", got, limitWindow, perSecond, allowed))
	}
}

// All targets name limits far below the load: what is beyond them is refused at once as not
// run, with a time to come back.
func TestCallsBeyondAllLimitsAreRefusedAsNotRun(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(t, "a", "b")
	for _, u := range f.upstreams {
		u.SetFaults(imitator.UpstreamFaults{Limit: "2"})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	f.callAll(ctx, 12, "warm")
	for n := range 20 {
		id := fmt.Sprintf("late-%d", n)
		started := time.Now()
		got := f.call(f.instances[n%2], http.MethodPost, "/pay/x", id)
		if got.status == http.StatusOK {
			continue
		}
		c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(got.body, qt.Contains, `"TargetLimit"`)
		c.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		c.Check(time.Since(started) < 500*time.Millisecond, qt.IsTrue)
		c.Check(f.runs()[id], qt.Equals, 0)
	}
}
