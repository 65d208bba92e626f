package balancer_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/balancer"
	"hemlocktally/imitator"
)

// shortStop gives an instance less time for a planned stop than a call that comes late in it may
// take.
func shortStop(settings *balancer.Settings) { settings.Bounds.StopTimeout = 4 * time.Second }

// lateArrival is how long after the start of a planned stop calls still arrive, and longWork how
// long they take: longer than what is left, and less than their deadline.
const (
	lateArrival = 1900 * time.Millisecond
	longWork    = 1850 * time.Millisecond
)

// startStopFleet starts a fleet whose targets take longWork for a call, and an instance with a
// short time for its stop.
func startStopFleet(t *testing.T, others ...string) (*fleet, *instance) {
	t.Helper()
	f := startFleet(t, others...)
	stopping := f.startInstance("e-stopping", "a", shortStop)
	f.instances = append(f.instances, stopping)
	f.awaitReady(stopping)
	for range 20 {
		qt.Assert(t, f.call(stopping, http.MethodGet, "/read/x", "warm").status, qt.Equals, http.StatusOK)
	}
	for _, u := range f.upstreams {
		u.ChangeFaults(func(faults *imitator.UpstreamFaults) { faults.Pace = float64(longWork) / float64(u.Work) })
	}
	return f, stopping
}

// A call that comes late in a planned stop and takes longer than what is left was passed on to a
// target, and cut without an answer at the end of the stop.
func TestLateCallOfPlannedStopIsAnswered(t *testing.T) {
	t.Parallel()
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f, stopping := startStopFleet(t, "a", "b")
			stopping.stop()
			time.Sleep(lateArrival)
			path := map[string]string{http.MethodPost: "/pay/x", http.MethodGet: "/read/x"}[method]
			got := f.call(stopping, method, path, "late")
			c.Check(got.err, qt.IsNil)
			c.Check(got.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", got.body))
			c.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
			c.Check(f.runs()["late"], qt.Equals, 0, qt.Commentf("it was refused as not run"))
		})
	}
}

// declareLongRoute declares a route of non-idempotent calls that may take longer than any stop.
func (f *fleet) declareLongRoute() {
	f.directory.Declare(document(9, imitator.Route{Name: "long", Prefix: "/long/", Timeout: "20000ms", Attempts: 2}))
	time.Sleep(configurationSpread)
	f.callDeadline = 20 * time.Second
}

// A call that was there before the stop and lasts longer than it has an answer at the end: it may
// have run.
func TestCallThatOutlivesPlannedStopIsAnswered(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f, stopping := startStopFleet(t, "a", "b")
	f.declareLongRoute()
	for _, u := range f.upstreams {
		u.ChangeFaults(func(faults *imitator.UpstreamFaults) { faults.Pace = 1000 })
	}
	result := make(chan callResult, 1)
	go func() { result <- f.call(stopping, http.MethodPost, "/long/x", "long") }()
	time.Sleep(200 * time.Millisecond)
	stopping.stop()
	got := <-result
	c.Check(got.err, qt.IsNil)
	c.Check(got.status, qt.Equals, http.StatusGatewayTimeout, qt.Commentf("%s", got.body))
	c.Check(f.runs()["long"], qt.Equals, 1)
}

// A call whose deadline lies after the end of the stop is refused at once, also by the last instance;
// one that is finished before is served to the end.
func TestCallsOfPlannedStopAreServedWhileTheyFit(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(t, "a")
	f.declareLongRoute()
	stopping := f.instances[0]
	stopping.stop()
	time.Sleep(lateArrival)
	sent := time.Now()
	got := f.call(stopping, http.MethodPost, "/long/x", "late")
	c.Check(got.err, qt.IsNil)
	c.Check(got.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", got.body))
	c.Check(time.Since(sent) < time.Second, qt.IsTrue)
	c.Check(f.runs()["late"], qt.Equals, 0)
	f.callDeadline = 2 * time.Second
	c.Check(f.call(stopping, http.MethodPost, "/pay/x", "fits").status, qt.Equals, http.StatusOK)
}
