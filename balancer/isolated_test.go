package balancer_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/imitator"
	"hemlocktally/placer"
)

// The bound on callers of isolated instances, as operators state it.
const (
	isolationSettle     = 3 * time.Second // isolationSettle is how long after the cut the bound starts to hold.
	isolatedShare       = 2.0 / 3         // isolatedShare is how often they are served, compared with the others.
	failuresAllowed     = 10              // failuresAllowed and failureShare bound how many first attempts fail in all before it counts.
	failureShare        = 1.0 / 50
	isolationWatched    = 3 * time.Second
	configurationSpread = 2 * time.Second
)

// Paths of idempotent requests. The objective of those of promptPath leaves no time to wait for
// a target that is not used for a while.
const (
	readPath   = "/read/x"
	promptPath = "/prompt/x"
)

var promptRoute = imitator.Route{Name: "prompt", Prefix: "/prompt/", Repeatable: true, Timeout: "400ms", Objective: "100ms", Rank: 1, Attempts: 2}

// Pauses between the requests at one instance. After rarely, a target's last report is outdated,
// so that the owner probes it first.
const (
	often  = 10 * time.Millisecond
	rarely = 120 * time.Millisecond
)

// firstAttempts counts the first attempts at one instance.
type firstAttempts struct{ sent, served int }

// sendFirstAttempts sends requests to all instances for the given time, idempotent ones and, but for
// promptPath, others, and checks that none that must not be repeated runs twice.
func (f *fleet) sendFirstAttempts(c *qt.C, read string, pause, span time.Duration, instances ...*instance) []firstAttempts {
	counts := make([]firstAttempts, len(instances))
	var group sync.WaitGroup
	end := time.Now().Add(span)
	for index, i := range instances {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				method, path := http.MethodGet, read
				if n%2 == 1 && read != promptPath {
					method, path = http.MethodPost, "/pay/x"
				}
				got := f.call(i, method, path, fmt.Sprintf("first-%d-%d-%d", index, n, end.UnixNano()))
				counts[index].sent++
				if got.status == http.StatusOK {
					counts[index].served++
				}
				time.Sleep(pause)
			}
		})
	}
	group.Wait()
	for _, u := range f.upstreams {
		for id, n := range u.UnrepeatableRuns() {
			c.Check(n, qt.Equals, 1, qt.Commentf("%s", id))
		}
	}
	return counts
}

// byRank returns the instances in the order in which they own the service.
func (f *fleet) byRank() []*instance {
	var members []hemlocktally.Instance
	for _, i := range f.instances {
		members = append(members, hemlocktally.Instance{ID: hemlocktally.InstanceID(i.settings.Instance.ID), Weight: 1})
	}
	var ranked []*instance
	for _, m := range placer.Ranked("s", members) {
		at := slices.IndexFunc(f.instances, func(i *instance) bool { return i.settings.Instance.ID == string(m.ID) })
		ranked = append(ranked, f.instances[at])
	}
	return ranked
}

// cutAndCount cuts the instances off, with requests going on, and counts first attempts from when
// the bound holds, at the cut and at the other instances.
func cutAndCount(c *qt.C, f *fleet, mode cutMode, read string, pause time.Duration, cut, others []*instance) (atCut, atOthers []firstAttempts) {
	all := slices.Concat(cut, others)
	f.sendFirstAttempts(c, read, pause, 500*time.Millisecond, all...)
	for _, i := range cut {
		i.network.cut(mode)
	}
	f.sendFirstAttempts(c, read, pause, isolationSettle, all...)
	counts := f.sendFirstAttempts(c, read, pause, isolationWatched, all...)
	return counts[:len(cut)], counts[len(cut):]
}

func sum(list []firstAttempts) (total firstAttempts) {
	for _, n := range list {
		total.sent += n.sent
		total.served += n.served
	}
	return total
}

// checkServed checks the bound.
func checkServed(c *qt.C, atCut, atOthers []firstAttempts) {
	cut, others := sum(atCut), sum(atOthers)
	failed := cut.sent + others.sent - cut.served - others.served
	allowed := failuresAllowed + failureShare*float64(cut.sent+others.sent)
	rate := func(n firstAttempts) float64 { return float64(n.served) / float64(max(1, n.sent)) }
	c.Check(float64(failed) <= allowed || rate(cut) >= isolatedShare*rate(others), qt.IsTrue,
		qt.Commentf("cut %d of %d, others %d of %d", cut.served, cut.sent, others.served, others.sent))
}

// An owner that is cut off from the targets keeps them out of use for all callers: it takes its
// own failed probes and connections for the targets' state.
func TestIsolatedOwnerDoesNotStopTheOthers(t *testing.T) {
	t.Parallel()
	for _, mode := range []cutMode{cutSilent, cutReset, cutRefuse} {
		t.Run(mode.String(), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := startFleet(t, "a", "b", "c")
			f.directory.Declare(document(9, promptRoute))
			time.Sleep(configurationSpread)
			ranked := f.byRank()
			_, others := cutAndCount(c, f, mode, promptPath, rarely, ranked[:1], ranked[1:])
			c.Check(float64(sum(others).served) >= 0.95*float64(sum(others).sent), qt.IsTrue, qt.Commentf("%+v", others))
		})
	}
}

// Callers of instances that reach no target are refused or not answered, although the instances
// reach others that reach the targets.
func TestCallersOfIsolatedInstancesAreServed(t *testing.T) {
	t.Parallel()
	for _, mode := range []cutMode{cutSilent, cutReset, cutRefuse, cutNew} {
		t.Run(mode.String(), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := startFleet(t, "a", "b", "c")
			ranked := f.byRank()
			cut, others := cutAndCount(c, f, mode, readPath, often, ranked[1:], ranked[:1])
			checkServed(c, cut, others)
			for _, i := range ranked[1:] {
				i.network.cut(cutNone)
			}
			f.sendFirstAttempts(c, readPath, often, time.Second, f.instances...)
			after := sum(f.sendFirstAttempts(c, readPath, often, time.Second, f.instances...))
			c.Check(float64(after.served) >= 0.95*float64(after.sent), qt.IsTrue, qt.Commentf("after the cut: %+v", after))
		})
	}
}

// The instance that serves a call of an isolated one stops: the call is not cut.
func TestPlannedStopFinishesCallsOfIsolatedInstances(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(t, "a", "b")
	ranked := f.byRank()
	taker, isolated := ranked[0], ranked[1]
	isolated.network.cut(cutRefuse)
	f.sendFirstAttempts(c, readPath, often, time.Second, isolated)
	for _, u := range f.upstreams {
		u.ChangeFaults(func(faults *imitator.UpstreamFaults) { faults.Pace = 20 })
	}
	results := make(chan callResult, 8)
	for n := range cap(results) {
		go func() { results <- f.call(isolated, http.MethodPost, "/pay/x", fmt.Sprint("stop-", n)) }()
	}
	time.Sleep(100 * time.Millisecond)
	taker.stop()
	for range cap(results) {
		got := <-results
		c.Check(got.err, qt.IsNil)
		c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
	}
}

// All hubs are cut off from the targets, and other instances are not: the callers of the hubs are
// served by those.
func TestCallersOfIsolatedHubsAreServed(t *testing.T) {
	t.Parallel()
	for _, mode := range []cutMode{cutSilent, cutReset, cutRefuse} {
		t.Run(mode.String(), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := startFleet(t, "a", "a", "b", "b")
			hubs, others := f.hubs()
			// An instance that follows the other zone's hub is ready before its own zone has one.
			for end := time.Now().Add(10 * time.Second); len(hubs) < 2 && time.Now().Before(end); hubs, others = f.hubs() {
				time.Sleep(10 * time.Millisecond)
			}
			c.Assert(hubs, qt.HasLen, 2)
			cut, rest := cutAndCount(c, f, mode, readPath, often, hubs, others)
			checkServed(c, cut, rest)
		})
	}
}

// hubs returns the instances that the store names as hubs, and all others.
func (f *fleet) hubs() (hubs, others []*instance) {
	for _, i := range f.instances {
		entry, _ := f.directory.Get("hemlocktally/hubs/" + i.settings.Instance.Zone)
		if strings.Contains(entry, `"`+i.settings.Instance.ID+`"`) {
			hubs = append(hubs, i)
		} else {
			others = append(others, i)
		}
	}
	return hubs, others
}
