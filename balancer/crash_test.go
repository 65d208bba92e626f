package balancer_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/imitator"
)

// The bound on requests that crash their targets, as operators state it.
const (
	crashesAllowed = 3               // crashesAllowed is how many targets such a request may crash before the bound counts.
	crashSettle    = 3 * time.Second // crashSettle is how long after the last of them the bound starts to hold.
	crashRetries   = 3               // crashRetries is how often the request may reach targets after that.
)

const (
	crashPath   = "/read/crash"
	crashPrefix = "crash-" // crashPrefix starts the IDs of requests that crash targets.
)

// crashArrivals returns when the requests that crash targets arrived, in order.
func (f *fleet) crashArrivals() []time.Time {
	var arrivals []time.Time
	for _, u := range f.upstreams {
		for _, a := range u.ArrivalList() {
			if strings.HasPrefix(a.ID, crashPrefix) {
				arrivals = append(arrivals, a.At)
			}
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	return arrivals
}

// A request that crashes each target that runs it comes again and again, at any instance, and
// crashes target after target: nothing remembers it beyond one call.
func TestRequestThatCrashesTargetsIsHeldBack(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(t, "a", "b", "c")
	for _, u := range f.upstreams {
		u.ChangeFaults(func(faults *imitator.UpstreamFaults) { faults.CrashPath = crashPath })
	}
	var thirdCrash time.Time
	for n := 0; thirdCrash.IsZero() || time.Since(thirdCrash) < crashSettle+3*time.Second; n++ {
		c.Assert(n < 200, qt.IsTrue)
		f.send(f.instances[n%3], http.MethodGet, crashPath, fmt.Sprintf("%s%d", crashPrefix, n), "")
		if thirdCrash.IsZero() && len(f.crashArrivals()) >= crashesAllowed {
			thirdCrash = time.Now()
		}
		time.Sleep(80 * time.Millisecond)
	}
	late := slices.DeleteFunc(f.crashArrivals(), func(at time.Time) bool { return at.Before(thirdCrash.Add(crashSettle)) })
	c.Check(len(late) <= crashRetries, qt.IsTrue, qt.Commentf("%d requests reached targets", len(late)))
	for n, i := range f.instances {
		got := f.send(i, http.MethodGet, crashPath, fmt.Sprintf("%slast-%d", crashPrefix, n), "")
		c.Check(got.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", got.body))
		c.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		got = f.call(i, http.MethodGet, "/read/x", fmt.Sprintf("other-%d", n))
		c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("another path: %s", got.body))
	}
}
