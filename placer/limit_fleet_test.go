package placer_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/imitator"
	"hemlocktally/messenger"
	"hemlocktally/placer"
)

// Bounds of what a limited target may get, as operators state them.
const (
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitSlack     = 5
	limitSettle    = 3 * time.Second        // limitSettle is how long after the first naming the bound starts to hold.
	limitToldAfter = 500 * time.Millisecond // limitToldAfter is how long after such a response an instance has to keep the limit.
)

// limitedTarget is a target that names a limit in its responses, and records what arrives.
type limitedTarget struct {
	mu       sync.Mutex
	limit    hemlocktally.RateLimit
	namedAt  time.Time                             // namedAt is when it first named a limit.
	told     map[hemlocktally.InstanceID]time.Time // told holds when each instance first got such a response.
	arrivals []limitedArrival
}

// limitedArrival is one request that reached the target.
type limitedArrival struct {
	at   time.Time
	told bool // told is set if the sending instance has to keep the limit.
}

// name sets the limit that the responses name from now on.
func (t *limitedTarget) name(perSecond float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = hemlocktally.RateLimit{PerSecond: perSecond, Named: true}
	if t.namedAt.IsZero() {
		t.namedAt = time.Now()
	}
}

// lift makes the responses name no limit from now on.
func (t *limitedTarget) lift() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = hemlocktally.RateLimit{}
}

func (t *limitedTarget) arrive(from hemlocktally.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	toldAt, told := t.told[from]
	t.arrivals = append(t.arrivals, limitedArrival{at: now, told: told && now.Sub(toldAt) >= limitToldAfter})
}

// respond returns what a response to the instance says about the limit.
func (t *limitedTarget) respond(to hemlocktally.InstanceID) *hemlocktally.RateLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.limit
	limit.At = time.Now()
	if _, told := t.told[to]; limit.Named && !told {
		if t.told == nil {
			t.told = map[hemlocktally.InstanceID]time.Time{}
		}
		t.told[to] = limit.At
	}
	return &limit
}

// most returns the most arrivals in any window that ends after the given time; toldOnly counts
// only those from instances that have to keep the limit.
func (t *limitedTarget) most(from time.Time, toldOnly bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	most := 0
	for last := range t.arrivals {
		end := t.arrivals[last].at
		if end.Before(from) {
			continue
		}
		n := 0
		for first := last; first >= 0 && end.Sub(t.arrivals[first].at) < limitWindow; first-- {
			if t.arrivals[first].told || !toldOnly {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// between returns how many requests arrived in the span.
func (t *limitedTarget) between(from, to time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, a := range t.arrivals {
		if !a.at.Before(from) && a.at.Before(to) {
			n++
		}
	}
	return n
}

// limitFleet is a number of instances, some of which own services, in front of limited
// targets. It has no network and runs under the clock of synctest.
type limitFleet struct {
	c         *qt.C
	ctx       context.Context //nolint:containedctx // The fleet ends with the test.
	targets   map[hemlocktally.TargetName]*limitedTarget
	msg       placer.TargetsMsg
	network   imitator.Network
	instances []*limitInstance
	work      time.Duration
	// mute makes answers to probes name no limits.
	mute bool

	mu      sync.Mutex
	served  int
	refused []*hemlocktally.RefusedError
	waits   []time.Duration // waits holds how long each refused call had waited.
}

// limitInstance is one instance of the fleet.
type limitInstance struct {
	fleet  *limitFleet
	id     hemlocktally.InstanceID
	client *placer.Client
	owner  *placer.Server
	view   *changingView
	cut    map[string]bool // cut holds the addresses that the instance doesn't reach.
}

// RoundTrip makes one call to another instance.
func (i *limitInstance) RoundTrip(r *http.Request) (*http.Response, error) {
	i.fleet.mu.Lock()
	handler := i.fleet.network[r.URL.Host]
	if i.cut[r.URL.Host] {
		handler = nil
	}
	i.fleet.mu.Unlock()
	return imitator.Network{r.URL.Host: handler}.RoundTrip(r)
}

// changingView is a view of the fleet that tests replace.
type changingView struct {
	mu      sync.Mutex
	members []hemlocktally.Instance
}

func (v *changingView) View() hemlocktally.View {
	v.mu.Lock()
	defer v.mu.Unlock()
	return hemlocktally.View{Members: slices.Clone(v.members)}
}

func (v *changingView) set(members []hemlocktally.Instance) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.members = members
}

// runLimitFleet runs the test with a fleet of idle targets of two slots each, under the clock
// of synctest. All instances see the first three as the owners.
func runLimitFleet(t *testing.T, instances, targets int, test func(f *limitFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &limitFleet{
			c: qt.New(t), ctx: ctx, targets: map[hemlocktally.TargetName]*limitedTarget{}, network: imitator.Network{}, work: 100 * time.Millisecond,
			msg: placer.TargetsMsg{Service: hemlocktally.Service{Name: "s", ProbePath: "/"}, Instances: instances},
		}
		for i := range targets {
			name := hemlocktally.TargetName(fmt.Sprintf("t-%d", i))
			f.targets[name] = &limitedTarget{}
			f.msg.Targets = append(f.msg.Targets, hemlocktally.Registration{
				Service: "s", Target: hemlocktally.Target{Name: name, Address: string(name), Zone: "a", Slots: 2, Started: 1},
			})
		}
		for i := range instances {
			f.addInstance(hemlocktally.InstanceID(fmt.Sprintf("e-%d", i)))
		}
		f.setOwners(f.instances, 0, 1, 2)
		synctest.Wait()
		test(f)
		cancel()
		synctest.Wait()
	})
}

// addInstance starts an instance, which other instances reach under its ID.
func (f *limitFleet) addInstance(id hemlocktally.InstanceID) {
	i := &limitInstance{fleet: f, id: id, view: &changingView{}, cut: map[string]bool{}}
	i.client = &placer.Client{
		Self: id, Zone: "a", Epoch: string(id), View: i.view, Alone: f.startServer(id, "alone", true, nil), HTTP: &http.Client{Transport: i},
	}
	f.instances = append(f.instances, i)
	f.restartOwner(i, "first")
}

// cutOff cuts the instances off the numbered one.
func (f *limitFleet) cutOff(instances []*limitInstance, from int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range instances {
		i.cut[string(f.instances[from].id)] = true
	}
}

// restartOwner replaces the server with which the instance decides for others.
func (f *limitFleet) restartOwner(i *limitInstance, epoch string) {
	i.owner = f.startServer(i.id, epoch, false, i.view)
	i.client.Server = i.owner
	synctest.Wait() // The server must run before it can decide.
	f.mu.Lock()
	defer f.mu.Unlock()
	f.network[string(i.id)] = messenger.NewPlacementServer(i.owner)
}

func (f *limitFleet) startServer(id hemlocktally.InstanceID, epoch string, alone bool, view hemlocktally.ViewSource) *placer.Server {
	server := &placer.Server{
		Self: id, Epoch: epoch, Prober: limitProber{fleet: f}, Alone: alone, View: view,
		Bounds: placer.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 56, ColdShare: 0.8},
	}
	go func() { _ = server.Run(f.ctx) }()
	server.Configure(map[hemlocktally.ServiceName]placer.TargetsMsg{"s": f.msg})
	return server
}

// setOwners makes the instances see the numbered ones as the owners, in this order.
func (f *limitFleet) setOwners(instances []*limitInstance, owners ...int) {
	members := make([]hemlocktally.Instance, 0, len(owners))
	weight := 1e9
	for _, n := range owners {
		id := f.instances[n].id
		members = append(members, hemlocktally.Instance{ID: id, PeerAddress: string(id), State: hemlocktally.InstanceServing, Weight: weight})
		weight /= 1e4
	}
	for _, i := range instances {
		i.view.set(members)
	}
}

// limitProber answers probes as the targets of the fleet do.
type limitProber struct{ fleet *limitFleet }

func (p limitProber) Load(_ context.Context, target hemlocktally.Target, _ string) (hemlocktally.ResponseInfo, error) {
	t := p.fleet.targets[target.Name]
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.limit
	if p.fleet.mute {
		limit = hemlocktally.RateLimit{}
	}
	return hemlocktally.ResponseInfo{Load: &hemlocktally.Load{Slots: 2, Pace: 1}, Limit: &limit}, nil
}

// call makes one call at the instance and returns the target that served it, or "".
func (f *limitFleet) call(i *limitInstance, priority hemlocktally.Priority) hemlocktally.TargetName {
	started := time.Now()
	grant, err := i.client.Acquire(f.ctx, hemlocktally.GrantRequest{
		Service: "s", Contract: "c", Priority: priority, Deadline: started.Add(2 * time.Second), Objective: started.Add(400 * time.Millisecond),
	})
	var refused *hemlocktally.RefusedError
	if errors.As(err, &refused) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.refused, f.waits = append(f.refused, refused), append(f.waits, time.Since(started))
		return ""
	}
	if err != nil {
		return "" // The test has ended.
	}
	target := f.targets[grant.Target.Name]
	target.arrive(i.id)
	time.Sleep(f.work)
	i.client.Release(hemlocktally.GrantResult{
		Grant: grant, Contract: "c", Outcome: hemlocktally.AttemptDone, Latency: f.work,
		Load: &hemlocktally.Load{Slots: 2, Pace: 1}, Limit: target.respond(i.id),
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.served++
	return grant.Target.Name
}

// load makes calls at the instances in turn, at a rate for all of them together, for the span.
// Callers don't wait for one another.
func (f *limitFleet) load(instances []*limitInstance, perSecond float64, span time.Duration) {
	random := rand.New(rand.NewPCG(1, 1))
	var group sync.WaitGroup
	defer group.Wait()
	for end := time.Now().Add(span); time.Now().Before(end); {
		i := instances[random.IntN(len(instances))]
		group.Go(func() { f.call(i, hemlocktally.PriorityNormal) })
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
	}
}

// checkBound checks what the target got against a limit that it has named without a change.
func (f *limitFleet) checkBound(target *limitedTarget, perSecond float64) {
	f.c.Helper()
	allowed := int(limitFactor*perSecond*limitWindow.Seconds()) + limitSlack
	told, all := target.most(target.namedAt.Add(limitSettle), true), target.most(target.namedAt.Add(limitSettle), false)
	f.c.Check(told <= allowed, qt.IsTrue, qt.Commentf("%d requests in %s from instances that it had told, %d allowed", told, limitWindow, allowed))
	f.c.Check(all <= allowed, qt.IsTrue, qt.Commentf("%d requests in %s from all instances, %d allowed", all, limitWindow, allowed))
}

// Guards against the incident LIMIT: a target named a limit of one request a second from all
// instances together and went on getting its usual share, a few requests a second from each of
// many instances.
func TestTargetGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	for _, limit := range []float64{0.25, 1, 5} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			runLimitFleet(t, 16, 6, func(f *limitFleet) {
				limited := f.targets["t-0"]
				f.load(f.instances, 70, 2*time.Second)
				limited.name(limit)
				f.load(f.instances, 70, 20*time.Second)
				f.checkBound(limited, limit)
			})
		})
	}
}
