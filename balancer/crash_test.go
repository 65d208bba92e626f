package balancer_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/balancer"
	"hemlocktally/imitator"
	"hemlocktally/platform"
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

// startCrashFleet starts a fleet whose targets crash under one request.
func startCrashFleet(t *testing.T, zones ...string) *fleet {
	t.Helper()
	f := startFleet(t, zones...)
	for _, u := range f.upstreams {
		u.ChangeFaults(func(faults *imitator.UpstreamFaults) { faults.CrashPath = crashPath })
	}
	return f
}

func (f *fleet) sendCrash(i *instance, id string) callResult {
	return f.send(i, http.MethodGet, crashPath, crashPrefix+id, "")
}

// askOperators sends a request to the operators' address of an instance.
func (f *fleet) askOperators(method, url, key string) (status int, body string) {
	f.t.Helper()
	request, err := http.NewRequest(method, url, http.NoBody)
	qt.Assert(f.t, err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := f.client.Do(request)
	qt.Assert(f.t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	qt.Assert(f.t, err, qt.IsNil)
	return response.StatusCode, string(text)
}

// heldAt returns the list of requests that the instance holds back.
func (f *fleet) heldAt(i *instance) (status int, list string) {
	f.t.Helper()
	return f.askOperators(http.MethodGet, "http://"+i.settings.Listen.Metrics+balancer.QuarantinePath, "")
}

// awaitHeld sends the request to the instances in turn until all of them refuse it and know it
// themselves: an isolated one hands it over to another one that refuses it.
func (f *fleet) awaitHeld(instances ...*instance) {
	f.t.Helper()
	held := 0
	for n := 0; held < len(instances); n++ {
		if n > 200 {
			f.t.Fatal("the request is not held back")
		}
		got := f.sendCrash(instances[n%len(instances)], fmt.Sprint("until-held-", n))
		held++
		_, list := f.heldAt(instances[n%len(instances)])
		if !strings.Contains(got.body, string(hemlocktally.ReasonQuarantined)) || list == "" {
			held = 0
		}
		time.Sleep(60 * time.Millisecond)
	}
}

// A request that crashes each target that runs it comes again and again, at any instance, and
// crashes target after target: nothing remembers it beyond one call.
func TestRequestThatCrashesTargetsIsHeldBack(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startCrashFleet(t, "a", "b", "c")
	var thirdCrash time.Time
	for n := 0; thirdCrash.IsZero() || time.Since(thirdCrash) < crashSettle+3*time.Second; n++ {
		c.Assert(n < 200, qt.IsTrue)
		f.sendCrash(f.instances[n%3], fmt.Sprint(n))
		if thirdCrash.IsZero() && len(f.crashArrivals()) >= crashesAllowed {
			thirdCrash = time.Now()
		}
		time.Sleep(80 * time.Millisecond)
	}
	late := slices.DeleteFunc(f.crashArrivals(), func(at time.Time) bool { return at.Before(thirdCrash.Add(crashSettle)) })
	c.Check(len(late) <= crashRetries, qt.IsTrue, qt.Commentf("%d requests reached targets", len(late)))
	for n, i := range f.instances {
		got := f.sendCrash(i, fmt.Sprint("last-", n))
		c.Check(got.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", got.body))
		c.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		got = f.call(i, http.MethodGet, "/read/x", fmt.Sprintf("other-%d", n))
		c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("another path: %s", got.body))
		got = f.call(i, http.MethodGet, crashPath, fmt.Sprintf("body-%d", n))
		c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("another body: %s", got.body))
	}
}

// The hubs that counted the crashes stop, and an instance starts that never saw one: the request
// stays held back.
func TestHeldRequestStaysHeldWhenHubsStop(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startCrashFleet(t, "a", "a", "b")
	f.awaitHeld(f.instances...)
	before := len(f.crashArrivals())
	f.instances[0].stop()
	f.instances[2].stop()
	fresh := f.startInstance("e-new", "b")
	f.instances = append(f.instances, fresh)
	f.awaitReady(fresh)
	survivor := f.instances[1]
	f.call(survivor, http.MethodGet, "/read/x", "talk") // Any call tells the new owner.
	for n := range 20 {
		got := f.sendCrash(survivor, fmt.Sprint("survivor-", n))
		c.Check(got.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%d: %s", n, got.body))
		f.call(survivor, http.MethodGet, "/read/x", fmt.Sprint("talk-", n))
		f.sendCrash(fresh, fmt.Sprint("fresh-", n))
		time.Sleep(100 * time.Millisecond)
	}
	c.Check(len(f.crashArrivals())-before <= crashRetries, qt.IsTrue, qt.Commentf("%d more requests reached targets", len(f.crashArrivals())-before))
	c.Check(f.sendCrash(fresh, "last").status, qt.Equals, http.StatusServiceUnavailable)
}

// Operators see what is held back and release it, with their key only.
func TestOperatorReleasesHeldRequest(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startCrashFleet(t, "a", "b")
	f.awaitHeld(f.instances...)
	address := "http://" + f.instances[0].settings.Listen.Metrics + balancer.QuarantinePath
	status, list := f.heldAt(f.instances[0])
	c.Check(status, qt.Equals, http.StatusOK)
	request, _, found := strings.Cut(list, " ")
	c.Assert(found, qt.IsTrue)
	for _, key := range []string{"", "wrong"} {
		status, _ = f.askOperators(http.MethodDelete, address+"/"+request, key)
		c.Check(status, qt.Equals, http.StatusForbidden)
	}
	status, _ = f.askOperators(http.MethodDelete, address+"/zz", operatorKey)
	c.Check(status, qt.Equals, http.StatusBadRequest)
	for _, u := range f.upstreams {
		u.SetFaults(imitator.UpstreamFaults{})
	}
	status, _ = f.askOperators(http.MethodDelete, address+"/"+request, operatorKey)
	c.Check(status, qt.Equals, http.StatusOK)
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		f.call(f.instances[1], http.MethodGet, "/read/x", fmt.Sprint(time.Now().UnixNano()))
		if f.sendCrash(f.instances[0], "a").status == http.StatusOK && f.sendCrash(f.instances[1], "b").status == http.StatusOK {
			break
		}
		if time.Now().After(end) {
			c.Fatal("the request is still held back")
		}
	}
}

// An instance that serves no calls learns what the others hold back from its hub, so that it knows
// when it becomes the hub itself.
func TestIdleInstanceLearnsOfHeldRequest(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startCrashFleet(t, "a", "a")
	hub, idle := f.instances[0], f.instances[1]
	f.awaitHeld(hub)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if _, list := f.heldAt(idle); list != "" {
			break
		}
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("the idle instance knows nothing"))
	}
}

// All instances are lost at once and new ones start: the request is held back from the start.
func TestHeldRequestOutlivesAllInstances(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startCrashFleet(t, "a", "b")
	f.awaitHeld(f.instances...)
	_, list := f.heldAt(f.instances[0])
	request, _, _ := strings.Cut(list, " ")
	parsed, err := hemlocktally.ParseFingerprint(request)
	c.Assert(err, qt.IsNil)
	key := platform.Translator{}.HeldRequestKey(parsed)
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if _, ok := f.directory.Get(key); ok {
			break
		}
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("nothing is kept"))
	}
	before := len(f.crashArrivals())
	for _, i := range f.instances {
		i.stop()
	}
	fresh := []*instance{f.startInstance("e-new-0", "a"), f.startInstance("e-new-1", "b")}
	f.instances = append(f.instances, fresh...)
	for _, i := range fresh {
		f.awaitReady(i)
	}
	for n := range 10 {
		got := f.sendCrash(fresh[n%2], fmt.Sprint("fresh-", n))
		c.Check(got.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", got.body))
	}
	c.Check(len(f.crashArrivals()), qt.Equals, before)
}
