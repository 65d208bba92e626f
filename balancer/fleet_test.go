package balancer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/balancer"
	"hemlocktally/imitator"
	"hemlocktally/platform"
)

// fleet is a set of instances on loopback in front of simulated targets that speak
// the platform's protocol.
type fleet struct {
	t         *testing.T
	directory *imitator.Directory
	upstreams []*imitator.Upstream
	instances []*instance
	client    *http.Client
	store     string
	// callDeadline is the deadline of all calls.
	callDeadline time.Duration
	// spawn runs a task until the test ends.
	spawn func(task func(context.Context) error)
}

// operatorKey is the operators' key of all instances.
const operatorKey = "opens"

// instance is one balancer of the fleet.
type instance struct {
	settings balancer.Settings
	network  *network // network is the way to the targets.
	stop     context.CancelFunc
	done     chan error
}

// document returns the operator's configuration of a version, with additional
// routes.
func document(version int, more ...imitator.Route) string {
	routes := []imitator.Route{
		{Name: "read", Prefix: "/read/", Repeatable: true, Timeout: "2000ms", Objective: "500ms", Rank: 1, Attempts: 2},
		{Name: "pay", Prefix: "/pay/", Timeout: "2000ms", Objective: "500ms", Attempts: 2},
	}
	return imitator.Document(version, "s", append(routes, more...)...)
}

var addedRoute = imitator.Route{Name: "new", Prefix: "/new/", Repeatable: true}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", uniqueIP()+":0") // On a shared address, clients of an earlier user of the port may still connect to it.
	qt.Assert(t, err, qt.IsNil)
	return l
}

// ipCount counts the loopback addresses that this program has used.
var ipCount atomic.Int32

// uniqueIP returns a loopback address that is used neither elsewhere in this
// program nor by test programs that run at the same time.
func uniqueIP() string {
	const octetValues = 200
	n := int(ipCount.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%octetValues, 1+(os.Getpid()/octetValues+n/octetValues)%octetValues, 1+n%octetValues)
}

func startFleet(t *testing.T, zones ...string) *fleet {
	t.Helper()
	return startFleetWith(t, func(*balancer.Settings) {}, zones...)
}

// startFleetWith starts a fleet whose instances have changed settings.
func startFleetWith(t *testing.T, change func(*balancer.Settings), zones ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, callDeadline: 2 * time.Second, directory: &imitator.Directory{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	run := func(task func(context.Context) error) { group.Go(func() { _ = task(ctx) }) }
	f.spawn = run
	store := listen(t)
	f.store = store.Addr().String()
	run(func(ctx context.Context) error { return f.directory.Serve(ctx, store) })
	for i := range 6 {
		f.addUpstream(&imitator.Upstream{
			ID: fmt.Sprintf("i-%d", i), Service: "s", Zone: zones[i%len(zones)], Slots: 2, Queue: 4, Work: 15 * time.Millisecond,
		})
	}
	f.directory.Declare(document(4))
	for i, zone := range zones {
		f.instances = append(f.instances, f.startInstance(fmt.Sprintf("e-%d", i), zone, change))
	}
	t.Cleanup(func() {
		for _, i := range f.instances {
			i.stop()
		}
		f.client.CloseIdleConnections()
		for _, i := range f.instances {
			qt.Check(t, <-i.done, qt.IsNil)
		}
		cancel()
		group.Wait()
	})
	for _, i := range f.instances {
		f.awaitReady(i)
	}
	return f
}

// addUpstream starts a target and adds it to the fleet.
func (f *fleet) addUpstream(u *imitator.Upstream) {
	f.t.Helper()
	l := listen(f.t)
	f.upstreams = append(f.upstreams, u)
	f.spawn(func(ctx context.Context) error { return runUpstream(ctx, u, l, f.directory) })
}

// upstreamRestart is how long a crashed upstream is away.
const upstreamRestart = 800 * time.Millisecond

// runUpstream starts the upstream again at the same address after each crash.
func runUpstream(ctx context.Context, u *imitator.Upstream, l net.Listener, d *imitator.Directory) error {
	for {
		if err := u.Start(ctx, l, d); err != nil || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(upstreamRestart):
		}
		again, err := net.Listen("tcp", l.Addr().String())
		if err != nil {
			return err
		}
		l = again
	}
}

func (f *fleet) startInstance(id, zone string, changes ...func(*balancer.Settings)) *instance {
	ip := uniqueIP()
	settings := balancer.Settings{
		Instance: balancer.InstanceSettings{ID: id, Zone: zone, Weight: 1},
		Listen:   balancer.ListenSettings{Callers: ip + ":8080", Ready: ip + ":8081", Peers: ip + ":8082", Metrics: ip + ":8083"},
		Platform: balancer.PlatformSettings{Store: f.store},
		Bounds:   balancer.BoundSettings{RetryRatio: 0.2, RetrySlack: 56}, Operators: balancer.OperatorSettings{Key: operatorKey},
	}.WithDefaults()
	for _, change := range changes {
		change(&settings)
	}
	ctx, stop := context.WithCancel(context.Background())
	i := &instance{settings: settings, network: &network{}, stop: stop, done: make(chan error, 1)}
	transport := balancer.StoreTransport()
	b := &balancer.Balancer{
		Settings: settings, Platform: platform.Translator{},
		Directory:  &platform.Store{Address: f.store, HTTP: &http.Client{Transport: transport}},
		DialTarget: i.network.dial,
	}
	go func() {
		err := b.Run(ctx)
		transport.CloseIdleConnections()
		i.done <- err
	}()
	return i
}

func (f *fleet) ready(i *instance) bool {
	response, err := f.client.Get("http://" + i.settings.Listen.Ready + "/")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

func (f *fleet) awaitReady(i *instance) {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); !f.ready(i); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("%s is not ready", i.settings.Instance.ID)
		}
	}
}

// callResult is the response that a caller got, or the error.
type callResult struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request whose body is its ID.
func (f *fleet) call(i *instance, method, path, id string) callResult {
	return f.send(i, method, path, id, id)
}

func (f *fleet) send(i *instance, method, path, id, body string) callResult {
	request, err := http.NewRequest(method, "http://"+i.settings.Listen.Callers+path, strings.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	imitator.SetCall(request, id, int(f.callDeadline.Milliseconds()))
	response, err := f.client.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

// runs returns how often each request ran, over all targets.
func (f *fleet) runs() map[string]int {
	total := map[string]int{}
	for _, u := range f.upstreams {
		for id, n := range u.Runs() {
			total[id] += n
		}
	}
	return total
}

func TestResponsesAreCompleteAndMatchTheirRequests(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(t, "a", "b", "c")
	var group sync.WaitGroup
	for worker := range 6 {
		group.Go(func() {
			for n := range 20 {
				id := fmt.Sprintf("r-%d-%d", worker, n)
				got := f.call(f.instances[worker%3], http.MethodPost, "/pay/x", id)
				c.Check(got.err, qt.IsNil)
				c.Check(got.status, qt.Equals, http.StatusOK)
				c.Check(strings.HasSuffix(got.body, "answers "+id+": "+id), qt.IsTrue, qt.Commentf("%s", got.body))
				c.Check(imitator.Sealed(got.header, got.body), qt.IsTrue)
			}
		})
	}
	group.Wait()
	for id, n := range f.runs() {
		c.Check(n, qt.Equals, 1, qt.Commentf("%s", id))
	}
	c.Check(f.call(f.instances[0], http.MethodGet, "/none/x", "q").status, qt.Equals, http.StatusNotFound)
}

// A non-idempotent call whose response is lost, or belongs to another request, is
// never run again and never reported as not run.
func TestLostAndForeignResponsesToNonIdempotentCalls(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(t, "a", "b")
	for n, faults := range []imitator.UpstreamFaults{{LoseAnswer: true}, {Foreign: true}} {
		for _, u := range f.upstreams {
			u.SetFaults(faults)
		}
		id := fmt.Sprintf("pay-%d", n)
		got := f.call(f.instances[0], http.MethodPost, "/pay/x", id)
		c.Check(got.status, qt.Equals, http.StatusBadGateway)
		c.Check(f.runs()[id], qt.Equals, 1)
	}
}

func TestShedCallsAreRefusedAsNotRun(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(t, "a", "b")
	for _, u := range f.upstreams {
		u.SetFaults(imitator.UpstreamFaults{Shed: true})
	}
	got := f.call(f.instances[0], http.MethodPost, "/pay/x", "pay")
	c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	c.Check(err, qt.IsNil)
	c.Check(after < 0.1, qt.IsTrue)
	c.Check(f.runs(), qt.HasLen, 0)
}

// A change reaches every instance, including those that follow a hub, although
// waiting watches get no events at first.
func TestChangeReachesEveryInstance(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(t, "a", "a", "b")
	f.directory.SetFaults(imitator.DirectoryFaults{Deaf: true})
	f.directory.Declare(document(9, addedRoute))
	time.Sleep(time.Second)
	f.directory.DropHistory()
	f.directory.SetFaults(imitator.DirectoryFaults{})
	for _, i := range f.instances {
		for end := time.Now().Add(4 * time.Second); f.call(i, http.MethodGet, "/new/x", "n").status != http.StatusOK; time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				c.Fatalf("%s does not serve the new route", i.settings.Instance.ID)
			}
		}
	}
	f.directory.Declare(document(7))
	time.Sleep(time.Second)
	for _, i := range f.instances {
		c.Check(f.call(i, http.MethodGet, "/new/x", "m").status, qt.Equals, http.StatusOK)
	}
}

func TestDrainingTargetGetsNoLateRequests(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(t, "a", "b")
	f.upstreams[0].Drain(f.directory, 2*time.Second)
	for end := time.Now().Add(3500 * time.Millisecond); time.Now().Before(end); {
		for _, i := range f.instances {
			c.Check(f.call(i, http.MethodGet, "/read/x", strconv.FormatInt(time.Now().UnixNano(), 10)).status, qt.Equals, http.StatusOK)
		}
	}
	c.Check(f.upstreams[0].Late(), qt.Equals, 0)
}

// A hub that stops hands over its role and its services; no call is interrupted.
func TestPlannedStopsInterruptNoCall(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(t, "a", "a", "b")
	stopped := make(chan struct{})
	var group sync.WaitGroup
	survivor := f.instances[1]
	for worker := range 4 {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stopped:
					return
				default:
				}
				i := f.instances[(worker+n)%3]
				if i != survivor && !f.ready(i) {
					i = survivor
				}
				id := fmt.Sprintf("s-%d-%d", worker, n)
				got := f.call(i, http.MethodPost, "/pay/x", id)
				c.Check(got.err, qt.IsNil)
				c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	f.instances[0].stop()
	time.Sleep(700 * time.Millisecond)
	f.instances[2].stop()
	time.Sleep(3 * time.Second)
	close(stopped)
	group.Wait()
	for id, n := range f.runs() {
		c.Check(n, qt.Equals, 1, qt.Commentf("%s", id))
	}
}

// During a store outage, the known configuration and targets stay in use. Targets
// whose entries expire meanwhile are kept until they have had time to register
// again.
func TestStoreOutageKeepsServing(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(t, "a", "b")
	c.Check(f.call(f.instances[0], http.MethodGet, "/read/x", "1").status, qt.Equals, http.StatusOK)
	f.directory.SetFaults(imitator.DirectoryFaults{Busy: true})
	time.Sleep(time.Second)
	for _, u := range f.upstreams {
		f.directory.Lapse(u.ID)
	}
	c.Check(f.call(f.instances[1], http.MethodGet, "/read/x", "2").status, qt.Equals, http.StatusOK)
	f.directory.SetFaults(imitator.DirectoryFaults{})
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		c.Check(f.call(f.instances[0], http.MethodGet, "/read/x", strconv.FormatInt(time.Now().UnixNano(), 10)).status, qt.Equals, http.StatusOK)
	}
	for _, u := range f.upstreams {
		u.Beat(f.directory)
	}
	time.Sleep(1500 * time.Millisecond)
	c.Check(f.call(f.instances[0], http.MethodGet, "/read/x", "3").status, qt.Equals, http.StatusOK)
}

// Leases expire in a store outage. The hub resumes its role when the store is back.
// Meanwhile the other instances don't all keep polling, because each call is
// billed.
func TestStoreOutageCausesNoFloodOfCalls(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(t, "a", "a", "a", "a")
	f.directory.SetFaults(imitator.DirectoryFaults{Busy: true})
	time.Sleep(6 * time.Second) // The hub's lease expires meanwhile.
	outage := f.directory.Calls()
	f.directory.SetFaults(imitator.DirectoryFaults{})
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, i := range f.instances {
			c.Check(f.call(i, http.MethodGet, "/read/x", strconv.FormatInt(time.Now().UnixNano(), 10)).status, qt.Equals, http.StatusOK)
		}
	}
	// The hub polls about four times a second; each of the three others makes one
	// stale read a second, at a tenth of the price.
	cost := float64(outage["range"]+outage["watch"]) + float64(outage["stale"])/10
	c.Check(cost <= 50, qt.IsTrue, qt.Commentf("%v", outage))
}
