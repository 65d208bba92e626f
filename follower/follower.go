// Package follower keeps an instance's picture of the fleet: the operators'
// configuration, the targets and the hubs, as the platform's store tells them.
//
// One instance of each availability zone, the hub, reads the store and passes
// on what it reads; it holds its place by a leased key. All others follow a hub
// and read the store themselves only while no hub answers that is in touch with
// it. Any instance can be a hub; none is set aside for it.
package follower

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"hemlocktally"
	"hemlocktally/logger"
)

const (
	tickInterval = 200 * time.Millisecond
	inboxLength  = 16
	needLasts    = 3 * time.Second        // needLasts is how long a need for targets lasts without being renewed.
	gateInterval = 100 * time.Millisecond // gateInterval is the time between two checks whether a feed has to run.
)

// Follower follows the directory. Its fields are set before Prepare.
type Follower struct {
	Self        Hub // Self is how the instance registers itself as a hub.
	Directory   hemlocktally.Directory
	Interpreter hemlocktally.Interpreter
	HTTP        *http.Client // HTTP is for calls of hubs.
	Log         logger.Logger
	Off         hemlocktally.Mechanisms // Off are the mechanisms that are left off.
	// Changed is told of each new picture, from one goroutine; it may be nil.
	Changed func(*Picture)

	base       time.Time
	picture    atomic.Pointer[Picture]
	published  *broadcast
	needed     atomic.Int64 // needed is until when targets are needed, in nanoseconds since base.
	heard      atomic.Int64 // heard is when the store last answered, in nanoseconds since base.
	followed   atomic.Int64 // followed is when a hub in touch with the store last answered, likewise.
	watching   atomic.Int64 // watching is when the poll of the targets that waits for changes began, likewise; 0 while none does.
	served     atomic.Int64 // served is when the store last answered a cheap question while no hub was in touch, likewise.
	instances  atomic.Int64 // instances is how many instances there seem to be.
	isHub      atomic.Bool
	leaving    atomic.Bool
	storeOut   atomic.Bool
	unreadable atomic.Bool // unreadable is set while the list of targets can't be read.
	disowned   atomic.Bool // disowned is set while every hub that answers says that it is out of touch with the store.
	behind     atomic.Bool // behind is set while the feed of operators' decisions has failed and not caught up.
	wakeFeeds  *broadcast
	// othersServed is when the store last answered a follower of this hub while it
	// did not answer the hub, likewise.
	othersServed atomic.Int64
	polls        polls
	followers    followers
	handover     handover
	generations  generations
	versions     contentVersions
	packed       packed
	// relayedTargets is the list of targets as a hub passes it on.
	relayedTargets relayedTargets
	hubClients     hubClients
}

// Prepare readies the follower; it is called before anything else.
func (f *Follower) Prepare() {
	f.base = time.Now()
	f.published, f.wakeFeeds = newBroadcast(), newBroadcast()
}

// Picture returns the present picture; it is never nil.
func (f *Follower) Picture() *Picture {
	if p := f.picture.Load(); p != nil {
		return p
	}
	return &Picture{Configuration: &hemlocktally.Configuration{}}
}

// Current returns the configuration in force. It implements
// hemlocktally.Configurer.
func (f *Follower) Current() *hemlocktally.Configuration { return f.Picture().Configuration }

// View returns the hubs, among which services are dealt. It implements
// hemlocktally.Viewer.
func (f *Follower) View() hemlocktally.View {
	view := hemlocktally.View{Instances: int(f.instances.Load())}
	own := f.isHub.Load() && !f.leaving.Load()
	for zone, hub := range f.Picture().Hubs {
		if hub.ID != f.Self.ID && (!own || zone != f.Self.Zone) {
			view.Members = append(view.Members, hub.instance())
		}
	}
	if own {
		view.Members = append(view.Members, f.Self.instance())
	}
	return view
}

func (h Hub) instance() hemlocktally.Instance {
	return hemlocktally.Instance{
		ID: h.ID, Incarnation: h.Incarnation, Zone: h.Zone, PeerAddress: h.PeerAddress, Weight: h.Weight,
		State: hemlocktally.InstanceServing,
	}
}

// Informed reports whether the instance can serve: it has a configuration, and
// either follows a hub or has read the targets itself.
func (f *Follower) Informed() bool {
	p := f.Picture()
	return p.Configuration.Revision > 0 && (!p.TargetsAt.IsZero() || f.followed.Load() > 0)
}

// Await waits for the first configuration while the instance starts. It
// implements hemlocktally.Awaiter.
func (f *Follower) Await(ctx context.Context) {
	f.whileStarting(ctx, f.published, func() bool { return !f.Informed() })
}

// whileStarting waits while the condition holds, shortly after the start. The
// signal tells of changes to it.
func (f *Follower) whileStarting(ctx context.Context, signal *broadcast, holds func() bool) {
	for ctx.Err() == nil {
		woken := signal.wait()
		left := startSpan - time.Since(f.base)
		if left <= 0 || !holds() {
			return
		}
		sleepUntil(ctx, left, woken)
	}
}

// Leave gives the instance's place as a hub up.
func (f *Follower) Leave() {
	f.leaving.Store(true)
	f.wakeFeeds.signal()
}

// NeedTargets says that the targets are needed up to date for the next seconds.
func (f *Follower) NeedTargets() {
	if f.needed.Swap(int64(time.Since(f.base)+needLasts)) < int64(time.Since(f.base)) {
		f.wakeFeeds.signal()
	}
}

// TargetsKnown returns as of when the targets are known, and whether they can be
// read now. A poll that waits for changes would have returned with those made
// before it began; one that is overdue shows that the store does not answer.
func (f *Follower) TargetsKnown() (at time.Time, readable bool) {
	at, readable = f.Picture().TargetsAt, !f.unreadable.Load()
	if began := f.watching.Load(); began > 0 {
		at = later(at, f.base.Add(time.Duration(began)))
		readable = readable && f.since(&f.watching) <= targetOverdue
	}
	return at, readable
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Ages are the times since this instance last heard of the fleet.
type Ages struct {
	Store time.Duration // Store is for an answer of the store to this instance itself.
	Hub   time.Duration // Hub is for an answer of a hub in touch with the store.
}

// Ages returns how old what the instance believes is at the most.
func (f *Follower) Ages() Ages { return Ages{Store: f.since(&f.heard), Hub: f.since(&f.followed)} }

func (f *Follower) targetsNeeded() bool { return int64(time.Since(f.base)) < f.needed.Load() }

// since returns how long ago a time noted by mark was; very long where it never
// was.
func (f *Follower) since(mark *atomic.Int64) time.Duration {
	at := mark.Load()
	if at == 0 {
		const never = time.Hour
		return never
	}
	return time.Since(f.base) - time.Duration(at)
}

func (f *Follower) mark(at *atomic.Int64) { at.Store(int64(time.Since(f.base))) }

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	inbox := make(chan any, inboxLength)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	for _, task := range []func(context.Context, chan<- any){f.followOperators, f.followHubs, f.followTargets, f.runRole} {
		group.Add(func() error { task(ctx, inbox); return nil }, func(error) { cancel() })
	}
	group.Add(func() error { f.digest(ctx, inbox); return nil }, func(error) { cancel() })
	return group.Run()
}

// digest owns the state.
func (f *Follower) digest(ctx context.Context, inbox <-chan any) {
	state := State{Interpreter: f.Interpreter}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var msg any = TickMsg{}
		select {
		case <-ctx.Done():
			return
		case msg = <-inbox:
		case <-ticker.C:
		}
		if to, fell := f.generations.takeFall(); fell {
			state.Update(FellMsg{Generation: to}, time.Now())
		}
		changed, notes := state.Update(msg, time.Now())
		if changed {
			f.publish(state.Picture())
		}
		f.note(notes) // Last: a list of hundreds of targets takes long to log.
	}
}

func (f *Follower) publish(p *Picture) {
	f.picture.Store(p)
	f.published.signal()
	if f.Changed != nil {
		f.Changed(p)
	}
}

// mostTargetLines is how many changes of targets at once get a line each.
const mostTargetLines = 32

// note logs what the state noted. A whole list of targets gets one line.
func (f *Follower) note(notes []any) {
	changes := map[string]int{}
	for _, n := range notes {
		if change, ok := n.(TargetChange); ok {
			changes[change.State]++
		}
	}
	many := changes[targetListed]+changes[targetDraining]+changes[targetRemoved] > mostTargetLines
	if many {
		f.Log.Log(logger.EventTargetsListed, logger.Fields{
			"Listed": changes[targetListed], "Draining": changes[targetDraining], "Removed": changes[targetRemoved],
		})
	}
	for _, n := range notes {
		if _, ok := n.(TargetChange); ok && many {
			continue
		}
		switch n := n.(type) {
		case BadEntry:
			f.Log.Log(logger.EventEntryUnusable, logger.Fields{"Key": n.Key, "Cause": n.Cause.Error()})
		case InForce:
			f.Log.Log(logger.EventConfigurationInForce, logger.Fields{
				"Revision": n.Configuration.Revision, "Change": n.Configuration.ChangeID, "Author": n.Configuration.Author, "Source": "Store",
			})
		case ZoneStop:
			f.Log.Log(logger.EventZoneStop, logger.Fields{"Zone": n.Zone, "Out": n.Out})
		case TargetChange:
			f.Log.Log(logger.EventTargetListed, logger.Fields{"Service": n.Service, "Target": n.Target, "State": n.State})
		case HubChange:
			f.Log.Log(logger.EventHubListed, logger.Fields{"Zone": n.Zone, "Hub": n.Hub})
		}
	}
}

// broadcast wakes all who wait.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

func newBroadcast() *broadcast { return &broadcast{ch: make(chan struct{})} }

// wait returns a channel that is closed by the next signal.
func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ch
}

func (b *broadcast) signal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.ch)
	b.ch = make(chan struct{})
}

func send(ctx context.Context, inbox chan<- any, msg any) {
	select {
	case inbox <- msg:
	case <-ctx.Done():
	}
}

func sleep(ctx context.Context, d time.Duration) { sleepUntil(ctx, d, nil) }

// sleepUntil sleeps for the time or until it is woken.
func sleepUntil(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}
