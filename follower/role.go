package follower

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/looplab/fsm"

	"hemlocktally"
	"hemlocktally/logger"
)

// Roles of an instance, and the events that change them.
const (
	roleSeeking   = "Seeking"   // roleSeeking has no hub that answers.
	roleFollowing = "Following" // roleFollowing follows a hub.
	roleHub       = "Hub"       // roleHub reads the store on behalf of others.

	eventFound  = "Found"
	eventLost   = "Lost"
	eventChosen = "Chosen"
	eventEnded  = "Ended"
)

// Time limits of the roles.
const (
	hubTTL                 = 2 * time.Second        // hubTTL is the lease time of a hub's key: how long a silent hub keeps its role.
	renewInterval          = 600 * time.Millisecond // renewInterval is the time between two renewals of a hub's lease.
	renewTimeout           = 400 * time.Millisecond
	revokeTimeout          = 300 * time.Millisecond
	maxStoreSilence        = 1300 * time.Millisecond // maxStoreSilence is how long after the store's last answer a hub counts as connected to it.
	disconnectedHubTimeout = 300 * time.Millisecond  // disconnectedHubTimeout replaces hubTimeout while every hub that answers is disconnected from the store.
	hubTimeout             = 900 * time.Millisecond  // hubTimeout is how long after the answer of a connected hub an instance relies on hubs.
	maxCheapReadPause      = 2 * time.Second         // maxCheapReadPause is the longest time between two cheap reads of the store while no hub is connected to it.
	cheapReadValidity      = 3 * time.Second         // cheapReadValidity is how long after a successful cheap read the instance may read the store directly.
	hubSearchPause         = 150 * time.Millisecond
	claimDelay             = 600 * time.Millisecond // claimDelay delays claims of instances with a small share of a core, so that strong ones become hubs.
	claimJitter            = 350 * time.Millisecond // claimJitter is the random part, the same for all weights: a zone may have dozens of strong instances.
)

func newRoleMachine() *fsm.FSM {
	return fsm.NewFSM(roleSeeking, fsm.Events{
		{Name: eventFound, Src: []string{roleSeeking, roleFollowing}, Dst: roleFollowing},
		{Name: eventLost, Src: []string{roleSeeking, roleFollowing}, Dst: roleSeeking},
		{Name: eventChosen, Src: []string{roleSeeking, roleFollowing}, Dst: roleHub},
		{Name: eventEnded, Src: []string{roleHub}, Dst: roleSeeking},
	}, fsm.Callbacks{})
}

// readsStoreDirectly reports whether the instance has to read the store itself: as a
// hub, or because no hub is connected to the store. The latter requires a successful
// cheap read first: during an outage, calls of every instance would be billed and
// return nothing.
func (f *Follower) readsStoreDirectly() bool {
	if f.isHub.Load() {
		return true
	}
	lost := f.hubsLost() && (f.hubAnsweredAt.Load() > 0 || f.hubSearchTimedOut())
	return lost && f.since(&f.cheapReadAnsweredAt) <= cheapReadValidity
}

// hubsLost reports whether no hub is connected to the store any more. The timeout is
// shorter if the hubs report this themselves, because operators' changes made meanwhile
// must be in force soon.
func (f *Follower) hubsLost() bool {
	limit := hubTimeout
	if f.hubsDisconnected.Load() {
		limit = disconnectedHubTimeout
	}
	return f.since(&f.hubAnsweredAt) > limit
}

// hubSearchTimedOut reports whether a starting instance has searched for a hub long enough.
func (f *Follower) hubSearchTimedOut() bool { return time.Since(f.startedAt) > claimDelay+claimJitter }

// role is the task that searches for a hub, follows it, or acts as one.
type role struct {
	*Follower
	inbox         chan<- any
	machine       *fsm.FSM
	lease         string
	renewedAt     time.Time                      // renewedAt is when the hub's lease was last renewed.
	failing       bool                           // failing is set after a failed renewal or claim.
	claimAt       time.Time                      // claimAt is when the instance claims the role of its zone's hub; zero while the zone has a hub.
	claimPoint    hemlocktally.GenerationVersion // claimPoint is when this hub wrote its key.
	syncedVersion string                         // syncedVersion is the version of the entries that were last applied as a full set.
	// addedVersions holds the version that each disconnected hub sent last. Hubs may differ, and
	// none should send its entries again and again.
	addedVersions map[hemlocktally.InstanceID]string
	cheapReadAt   time.Time
	hubsListed    bool // hubsListed is set when a cheap read has returned hubs.
	hubAllowsPoll bool // hubAllowsPoll is set if a disconnected hub asks this instance to read the store.
	// cheapReadPause is the time between two cheap reads of the store.
	cheapReadPause time.Duration
}

func (f *Follower) runRole(ctx context.Context, inbox chan<- any) {
	r := &role{Follower: f, inbox: inbox, machine: newRoleMachine(), addedVersions: map[hemlocktally.InstanceID]string{}}
	for ctx.Err() == nil && !f.leaving.Load() {
		switch r.machine.Current() {
		case roleHub:
			r.renewOnce(ctx)
		default:
			r.findHub(ctx)
		}
	}
	if r.lease != "" {
		f.isHub.Store(false)
		f.revoke(ctx, r.lease)
	}
	// A leaving instance still follows, so that it serves by the configuration in force.
	for ctx.Err() == nil {
		if !r.followAny(ctx) {
			sleep(ctx, hubSearchPause)
		}
	}
}

// transition fires the event and logs the change of role.
func (r *role) transition(ctx context.Context, event string, fields logger.Fields) {
	before := r.machine.Current()
	if err := r.machine.Event(ctx, event); err != nil && r.machine.Current() == before {
		return // The role is unchanged.
	}
	r.isHub.Store(r.machine.Current() == roleHub)
	r.wakeFeeds.signal()
	fields["From"], fields["To"] = before, r.machine.Current()
	r.Log.Log(logger.EventRoleChanged, fields)
}

// findHub follows a hub that answers, and claims the role in its own zone if it is
// vacant.
func (r *role) findHub(ctx context.Context) {
	r.tryBecomeHub(ctx)
	if r.machine.Current() == roleHub {
		return
	}
	if r.followAny(ctx) {
		r.transition(ctx, eventFound, logger.Fields{})
		return
	}
	r.transition(ctx, eventLost, logger.Fields{})
	if r.hubsListed {
		r.hubsListed = false
		return // Ask the hubs that were just read without a pause.
	}
	sleepUntil(ctx, jitter(hubSearchPause), r.wakeFeeds.wait())
}

// tryBecomeHub claims the role of the zone's hub if it is vacant, after a delay that is
// shorter for strong instances.
func (r *role) tryBecomeHub(ctx context.Context) {
	if r.since(&r.hubAnsweredAt) > hubTimeout && r.since(&r.cheapReadAnsweredAt) > cheapReadValidity {
		return // Nothing indicates that the store answers.
	}
	hub, taken := r.FleetState().Hubs[r.Self.Zone]
	own := taken && hub.ID == r.Self.ID
	if taken && !own {
		r.claimAt = time.Time{}
		return
	}
	if r.claimAt.IsZero() {
		delay := weightedClaimDelay(r.Self.Weight, rand.Float64())
		if own {
			delay = 0 // The key was written by this instance before its restart.
		}
		r.claimAt = time.Now().Add(delay)
	}
	if time.Now().Before(r.claimAt) {
		return
	}
	r.claimAt = time.Time{}
	if !own && r.hubKeyTaken(ctx) {
		return
	}
	r.becomeHub(ctx, 0)
}

// weightedClaimDelay is how long an instance waits before it claims a vacant hub role.
// The random part, from 0 to 1, never lets an instance with a fifth of a core overtake
// one with most of a core: a zone may have two strong instances and fifty weak ones, and
// a hub on a slow link delays all its followers.
func weightedClaimDelay(weight, random float64) time.Duration {
	return time.Duration((1-min(1, weight))*float64(claimDelay) + random*float64(claimJitter))
}

// hubKeyTaken reads the list of hubs again by a stale read, at a tenth of the price: that
// costs less than a claim that comes too late. If the stale answer misses a hub, the
// claim fails.
func (r *role) hubKeyTaken(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	all, err := r.Directory.Snapshot(ctx, r.Interpreter.HubPrefix(), true)
	if err != nil {
		r.noteReadFailure(ctx, r.inbox, feed{kind: hemlocktally.EntryHub, prefix: r.Interpreter.HubPrefix()}, 0, err)
		return true
	}
	all.Entries = r.takeHeldRequests(all.Entries)
	r.mark(&r.cheapReadAnsweredAt)
	send(ctx, r.inbox, ChangesMsg{Kind: hemlocktally.EntryHub, Entries: all.Entries, Generation: all.Generation})
	return slices.ContainsFunc(all.Entries, func(e hemlocktally.DirectoryEntry) bool {
		return e.Key == r.hubKey() && !namesInstance(e.Entry, r.Self.ID)
	})
}

// claim writes the key of the zone's hub under a new lease, over the known version or
// over the entry that this instance wrote before a restart. With overwrite, which is set
// if the instance was the hub until the store was restored from a backup, it replaces
// whatever entry the backup holds.
func (r *role) claim(ctx context.Context, expectedVersion hemlocktally.StoreVersion, overwrite bool) (lease string, claimPoint hemlocktally.GenerationVersion, err error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	granted, err := r.Directory.Grant(ctx, hubTTL)
	if err != nil {
		return "", claimPoint, err
	}
	value, err := json.Marshal(r.Self)
	if err != nil {
		return "", claimPoint, err
	}
	entry := hemlocktally.Entry{Key: r.hubKey(), Value: value, Lease: granted.ID, Version: expectedVersion}
	version, err := r.Directory.CompareAndSwap(ctx, entry)
	var conflict *hemlocktally.ConflictError
	if errors.As(err, &conflict) && (overwrite || namesInstance(conflict.Current, r.Self.ID)) {
		entry.Version = conflict.Current.Version
		version, err = r.Directory.CompareAndSwap(ctx, entry)
	}
	if err != nil {
		r.revoke(ctx, granted.ID)
		return "", claimPoint, err
	}
	r.noteStoreAnswer(began)
	return granted.ID, hemlocktally.GenerationVersion{Generation: r.Generation(), Version: version}, nil
}

// renewOnce waits for the renew interval and renews the hub's lease.
func (r *role) renewOnce(ctx context.Context) {
	sleepUntil(ctx, renewInterval, nil)
	if r.leaving.Load() || ctx.Err() != nil {
		return
	}
	if r.displaced() {
		r.revoke(ctx, r.lease)
		r.resign(ctx)
		return
	}
	began := time.Now()
	err := r.renew(ctx)
	var conflict *hemlocktally.ConflictError
	switch {
	case err == nil:
		r.noteStoreAnswer(began)
		r.renewedAt, r.failing = time.Now(), false
		r.renewalFails.Store(false)
	case errors.As(err, &conflict):
		r.resign(ctx)
	default:
		r.noteFailure(err)
		r.outage.noteFailure(time.Now())
		r.renewalFails.Store(true)
		if time.Since(r.renewedAt) > hubTTL && r.otherHubConnected(ctx) {
			r.resign(ctx)
		}
	}
}

// renew renews the hub's lease. If the lease has expired, as after an outage of the store,
// the key is claimed again at once unless another instance holds it: otherwise all
// instances would read the store when it returns.
func (r *role) renew(ctx context.Context) error {
	restored := r.Generation() != r.claimPoint.Generation
	if r.lease != "" && !restored {
		renewCtx, cancel := context.WithTimeout(ctx, renewTimeout)
		defer cancel()
		err := r.Directory.Renew(renewCtx, r.lease)
		var absent *hemlocktally.NotFoundError
		if !errors.As(err, &absent) {
			return err
		}
		r.lease = ""
	}
	// A lease of an earlier generation no longer exists; its ID may belong to another instance.
	lease, claimPoint, err := r.claim(ctx, 0, restored)
	r.lease = lease
	if err == nil {
		r.claimPoint = claimPoint
	}
	return err
}

// resign gives up the hub role.
func (r *role) resign(ctx context.Context) {
	r.lease, r.failing = "", false
	r.renewalFails.Store(false)
	r.transition(ctx, eventEnded, logger.Fields{})
}

// otherHubConnected reports whether another hub is connected to the store while this one
// is not; a connected instance then takes over the role. While no hub is connected, all
// keep their roles.
func (r *role) otherHubConnected(ctx context.Context) bool {
	return slices.ContainsFunc(r.hubs(), func(hub Hub) bool {
		connected, _ := r.sync(ctx, hub, 0)
		return connected
	})
}

// noteFailure logs the first of consecutive failures.
func (r *role) noteFailure(err error) {
	if !r.failing {
		r.Log.Log(logger.EventRegistrationFailed, logger.Fields{"Instance": r.Self.ID, "Cause": err.Error()})
	}
	r.failing = true
}

// revoke ends a lease, so that other instances need not wait for it to expire.
func (f *Follower) revoke(ctx context.Context, lease string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := f.Directory.Revoke(ctx, lease); err != nil {
		f.Log.Log(logger.EventRegistrationFailed, logger.Fields{"Instance": f.Self.ID, "Cause": err.Error()})
	}
}

// hubs lists the other hubs, the one of this zone first.
func (f *Follower) hubs() []Hub {
	var list []Hub
	for _, hub := range f.FleetState().Hubs {
		if hub.ID != f.Self.ID {
			list = append(list, hub)
		}
	}
	slices.SortFunc(list, func(a, b Hub) int {
		if (a.Zone == f.Self.Zone) != (b.Zone == f.Self.Zone) {
			if a.Zone == f.Self.Zone {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return list
}

// followAny asks the hubs in turn until one that is connected to the store answers. While
// none is connected, it accepts the answer of a disconnected one.
func (r *role) followAny(ctx context.Context) bool {
	answered := false
	r.hubAllowsPoll = false
	hold := maxSyncWait
	if r.hubsDisconnected.Load() && r.since(&r.hubAnsweredAt) <= hubTimeout {
		hold = disconnectedHubTimeout / 2 // A short wait, only until the store itself is read; the outage may last.
	}
	for _, hub := range r.hubs() {
		connected, ok := r.sync(ctx, hub, hold)
		answered = answered || ok
		if connected {
			r.cheapReadPause = 0
			r.cheapReadAnsweredAt.Store(0)
			r.hubsDisconnected.Store(false)
			if r.hubAllowsPoll {
				r.readHubsCheaply(ctx) // The hub's calls to the store have begun to fail.
			}
			return true
		}
		if ok {
			hold = 0 // This hub is disconnected; find out at once whether another one is connected.
		}
	}
	r.hubsDisconnected.Store(answered)
	switch {
	case !r.hubsLost():
	case !answered, r.hubAllowsPoll && r.since(&r.cheapReadAnsweredAt) > cheapReadValidity/2:
		r.readHubsCheaply(ctx)
	}
	return answered
}

// readHubsCheaply reads the list of hubs by a stale read, at a tenth of the price, with
// growing pauses while it fails. It finds hubs at startup, and detects that the store
// answers this instance while it answers no hub.
func (r *role) readHubsCheaply(ctx context.Context) {
	if time.Since(r.cheapReadAt) < r.cheapReadPause {
		sleep(ctx, jitter(hubSearchPause)/2)
		return
	}
	r.cheapReadAt, r.cheapReadPause = time.Now(), jitter(min(maxCheapReadPause, max(hubSearchPause, 2*r.cheapReadPause)))
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	all, err := r.Directory.Snapshot(ctx, r.Interpreter.HubPrefix(), true)
	if err != nil {
		if !r.storeDown.Swap(true) {
			r.Log.Log(logger.EventStoreUnavailable, logger.Fields{"Store": r.Interpreter.HubPrefix(), "Cause": err.Error()})
		}
		return
	}
	all.Entries = r.takeHeldRequests(all.Entries)
	r.mark(&r.cheapReadAnsweredAt)
	r.wakeFeeds.signal()
	published := r.published.wait()
	send(ctx, r.inbox, ChangesMsg{Kind: hemlocktally.EntryHub, Entries: all.Entries, Generation: all.Generation})
	sleepUntil(ctx, hubSearchPause, published)
	r.hubsListed = slices.ContainsFunc(all.Entries, func(e hemlocktally.DirectoryEntry) bool {
		kind, _ := r.Interpreter.Kind(e.Key)
		return kind == hemlocktally.EntryHub
	})
}
