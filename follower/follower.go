// Package follower maintains an instance's view of the fleet: the operators'
// configuration, the targets and the hubs, as read from the platform's store.
//
// One instance of each availability zone, the hub, reads the store and relays its
// content; it holds this role by a leased key. All other instances follow a hub, and read
// the store themselves only while no hub that answers is connected to it. Any instance
// can become a hub; none is reserved for it.
package follower

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"hemlocktally"
	"hemlocktally/logger"
	"hemlocktally/quarantiner"
)

const (
	tickInterval            = 200 * time.Millisecond
	inboxLength             = 16
	targetNeedDuration      = 3 * time.Second        // targetNeedDuration is how long a call of NeedTargets stays in effect.
	directReadCheckInterval = 100 * time.Millisecond // directReadCheckInterval is the time between two checks whether a feed has to run.
)

// Follower follows the directory. Its exported fields are set before Prepare.
type Follower struct {
	Self        Hub // Self is how the instance registers itself as a hub.
	Directory   hemlocktally.Directory
	Interpreter hemlocktally.EntryDecoder
	HTTP        *http.Client // HTTP is the client for calls to hubs.
	Log         logger.Logger
	Disabled    hemlocktally.Mechanisms // Disabled holds the disabled mechanisms.
	// Suspects exchanges what is known of requests that crash targets; it may be nil.
	Suspects *quarantiner.Quarantiner
	// Isolated reports whether the instance reaches hardly any target of a service; it may be nil.
	Isolated  func() bool
	Heartbeat time.Duration // Heartbeat is the interval at which targets renew their entries; zero means 1.5 s.
	Rollouts  bool          // Rollouts is set if orders for rollouts are followed.
	// OnChange is called with each new FleetState, from one goroutine; it may be nil.
	OnChange func(*FleetState)

	startedAt            time.Time
	fleetState           atomic.Pointer[FleetState]
	published            *broadcast
	targetsNeededUntil   atomic.Int64 // targetsNeededUntil is when the need for targets ends, in nanoseconds since startedAt, like the times below.
	storeAnsweredAt      atomic.Int64 // storeAnsweredAt is when the store last answered.
	hubAnsweredAt        atomic.Int64 // hubAnsweredAt is when a hub connected to the store last answered.
	targetWatchStartedAt atomic.Int64 // targetWatchStartedAt is when the running watch of the targets began; 0 if none runs.
	cheapReadAnsweredAt  atomic.Int64 // cheapReadAnsweredAt is when the store last answered a cheap read; 0 once a connected hub has answered since.
	instances            atomic.Int64 // instances is the estimated number of instances.
	isHub                atomic.Bool
	leaving              atomic.Bool
	outage               outageTracker
	storeDown            atomic.Bool
	targetsUnreadable    atomic.Bool // targetsUnreadable is set while the target list can't be read.
	renewalFails         atomic.Bool // renewalFails is set while this hub can't renew its lease.
	hubsDisconnected     atomic.Bool // hubsDisconnected is set while every hub that answers is disconnected from the store.
	wakeFeeds            *broadcast
	// followerServedAt is when the store last answered a follower of this hub while it did
	// not answer the hub.
	followerServedAt atomic.Int64
	pollLimiter      pollLimiter
	followers        followers
	helpers          helperList
	handover         handoverOffers
	generations      generations
	versions         contentVersions
	compressed       compressedEntries
	// relayedTargets is the target list as a hub sends it.
	relayedTargets relayedTargets
	hubClients     hubClients
}

// Prepare initializes the follower; it is called before any other method.
func (f *Follower) Prepare() {
	f.startedAt = time.Now()
	f.published, f.wakeFeeds = newBroadcast(), newBroadcast()
}

// FleetState returns the current fleet state; it is never nil.
func (f *Follower) FleetState() *FleetState {
	if p := f.fleetState.Load(); p != nil {
		return p
	}
	return &FleetState{Configuration: &hemlocktally.Configuration{}}
}

// Current returns the configuration in force. It implements hemlocktally.ConfigurationSource.
func (f *Follower) Current() *hemlocktally.Configuration { return f.FleetState().Configuration }

// View returns the hubs, among which services are distributed. It implements
// hemlocktally.ViewSource.
func (f *Follower) View() hemlocktally.View {
	view := hemlocktally.View{Instances: int(f.instances.Load())}
	own := f.isHub.Load() && !f.leaving.Load()
	for zone, hub := range f.FleetState().Hubs {
		if hub.ID != f.Self.ID && (!own || zone != f.Self.Zone) {
			view.Members = append(view.Members, hub.asInstance())
		}
	}
	if own {
		view.Members = append(view.Members, f.Self.asInstance())
	}
	return view
}

func (h Hub) asInstance() hemlocktally.Instance {
	return hemlocktally.Instance{
		ID: h.ID, Incarnation: h.Incarnation, Zone: h.Zone, PeerAddress: h.PeerAddress, Weight: h.Weight,
		State: hemlocktally.InstanceServing,
	}
}

// Ready reports whether the instance can serve: it has a configuration, and either
// follows a hub or has read the targets itself.
func (f *Follower) Ready() bool {
	p := f.FleetState()
	return p.Configuration.Revision > 0 && (!p.TargetsReadAt.IsZero() || f.hubAnsweredAt.Load() > 0)
}

// Await waits for the first configuration while the instance starts, for startupWindow at
// most. It implements hemlocktally.StartupWaiter.
func (f *Follower) Await(ctx context.Context) {
	f.waitDuringStartup(ctx, f.published, func() bool { return !f.Ready() })
}

// waitDuringStartup waits while the condition holds, until startupWindow is over. It checks
// the condition again at each signal.
func (f *Follower) waitDuringStartup(ctx context.Context, signal *broadcast, holds func() bool) {
	for ctx.Err() == nil {
		woken := signal.wait()
		left := startupWindow - time.Since(f.startedAt)
		if left <= 0 || !holds() {
			return
		}
		sleepUntil(ctx, left, woken)
	}
}

// ResignHub gives up the hub role for good.
func (f *Follower) ResignHub() {
	f.leaving.Store(true)
	f.wakeFeeds.signal()
}

// NeedTargets requests up-to-date targets for the next targetNeedDuration.
func (f *Follower) NeedTargets() {
	if f.targetsNeededUntil.Swap(int64(time.Since(f.startedAt)+targetNeedDuration)) < int64(time.Since(f.startedAt)) {
		f.wakeFeeds.signal()
	}
}

// TargetsFreshness returns the time as of which the targets are known, and whether they can be
// read now. A watch that waits would have returned with changes made before it began, so
// its start counts; a watch that is overdue shows that the store does not answer. A failing
// renewal suggests that a watch, or a first read, will not reach the store either.
func (f *Follower) TargetsFreshness() (at time.Time, readable bool) {
	at, readable = f.FleetState().TargetsReadAt, !f.targetsUnreadable.Load()
	began := f.targetWatchStartedAt.Load()
	switch {
	case f.renewalFails.Load():
		return at, false
	case began == 0:
		return at, readable
	case f.since(&f.targetWatchStartedAt) > targetWatchOverdue:
		return at, false
	default:
		return later(at, f.startedAt.Add(time.Duration(began))), readable
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// InformationAges holds the times since the instance last received the fleet's state.
type InformationAges struct {
	Store time.Duration // Store is the time since the store last answered this instance.
	Hub   time.Duration // Hub is the time since a hub connected to the store last answered.
}

// InformationAges returns the maximum age of the instance's information.
func (f *Follower) InformationAges() InformationAges {
	return InformationAges{Store: f.since(&f.storeAnsweredAt), Hub: f.since(&f.hubAnsweredAt)}
}

func (f *Follower) targetsNeeded() bool {
	return int64(time.Since(f.startedAt)) < f.targetsNeededUntil.Load()
}

// since returns the time since a moment recorded by mark; an hour if there was none.
func (f *Follower) since(mark *atomic.Int64) time.Duration {
	at := mark.Load()
	if at == 0 {
		const never = time.Hour
		return never
	}
	return time.Since(f.startedAt) - time.Duration(at)
}

func (f *Follower) mark(at *atomic.Int64) { at.Store(int64(time.Since(f.startedAt))) }

// Run follows the directory until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	inbox := make(chan any, inboxLength)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	for _, task := range []func(context.Context, chan<- any){f.followOperators, f.followHubs, f.followTargets, f.askOtherHubs, f.runRole} {
		group.Add(func() error { task(ctx, inbox); return nil }, func(error) { cancel() })
	}
	group.Add(func() error { f.runState(ctx, inbox); return nil }, func(error) { cancel() })
	return group.Run()
}

// runState owns the state and applies all messages to it.
func (f *Follower) runState(ctx context.Context, inbox <-chan any) {
	state := State{Interpreter: f.Interpreter, Rollouts: f.Rollouts}
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
		if to, adopted := f.generations.takeReset(); adopted {
			state.Update(GenerationResetMsg{Generation: to}, time.Now())
		}
		changed, notes := state.Update(msg, time.Now())
		if changed {
			f.publish(state.FleetState())
		}
		f.logNotes(notes) // Last, because logging hundreds of targets takes long.
	}
}

func (f *Follower) publish(p *FleetState) {
	f.fleetState.Store(p)
	f.published.signal()
	if f.OnChange != nil {
		f.OnChange(p)
	}
}

// maxTargetLines is the number of target changes up to which each is logged on its own line.
const maxTargetLines = 32

// logNotes logs the notes of the state. More than maxTargetLines target changes at once
// are logged as one line.
func (f *Follower) logNotes(notes []any) {
	changes := map[string]int{}
	for _, n := range notes {
		if change, ok := n.(TargetChange); ok {
			changes[change.State]++
		}
	}
	summarize := changes[targetListed]+changes[targetDraining]+changes[targetRemoved] > maxTargetLines
	if summarize {
		f.Log.Log(logger.EventListedTargetsChanged, logger.Fields{
			"Listed": changes[targetListed], "Draining": changes[targetDraining], "Removed": changes[targetRemoved],
		})
	}
	for _, n := range notes {
		if _, ok := n.(TargetChange); ok && summarize {
			continue
		}
		switch n := n.(type) {
		case InvalidEntry:
			f.Log.Log(logger.EventStoreEntryInvalid, logger.Fields{"Key": n.Key, "Cause": n.Cause.Error()})
		case ConfigurationChange:
			f.Log.Log(logger.EventConfigurationInForce, logger.Fields{
				"Revision": n.Configuration.Revision, "Change": n.Configuration.ChangeID, "Author": n.Configuration.Author, "Source": "Store",
			})
		case ZoneStopChange:
			f.Log.Log(logger.EventZoneStop, logger.Fields{"Zone": n.Zone, "Out": n.Out, "Source": cmp.Or(n.Source, "Store")})
		case TargetChange:
			f.Log.Log(logger.EventListedTargetChanged, logger.Fields{"Service": n.Service, "Target": n.Target, "State": n.State})
		case RolloutOrderChange:
			f.Log.Log(logger.EventRolloutOrdered, logger.Fields{"Service": n.Service, "Version": n.Order.Version, "Duration": n.Order.Duration, "Removed": n.Removed})
		case HubChange:
			f.Log.Log(logger.EventHubChanged, logger.Fields{"Zone": n.Zone, "Hub": n.Hub})
		}
	}
}

// broadcast wakes all waiting goroutines.
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

// sleepUntil sleeps for the duration or until the wake channel is closed.
func sleepUntil(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}
