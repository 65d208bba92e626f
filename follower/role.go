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

// The roles of an instance, and the events that change them.
const (
	roleSeeking   = "Seeking"   // roleSeeking knows no hub that answers.
	roleFollowing = "Following" // roleFollowing follows a hub.
	roleHub       = "Hub"       // roleHub reads the store for others.

	eventFound  = "Found"
	eventLost   = "Lost"
	eventChosen = "Chosen"
	eventEnded  = "Ended"
)

// Bounds of the roles.
const (
	hubTTL        = 2 * time.Second        // hubTTL is how long a silent hub keeps its place.
	renewInterval = 600 * time.Millisecond // renewInterval is the time between two renewals of a hub's place.
	renewTimeout  = 400 * time.Millisecond
	revokeTimeout = 300 * time.Millisecond
	inTouch       = 1300 * time.Millisecond // inTouch is how long after the store's last answer a hub speaks for it.
	disownLasts   = 300 * time.Millisecond  // disownLasts is that time where every hub that answers says that it is out of touch.
	followLasts   = 900 * time.Millisecond  // followLasts is how long an answer of a hub in touch keeps an instance from reading itself.
	longestPoll   = 2 * time.Second         // longestPoll is the longest time between two cheap questions to the store while no hub is in touch.
	servedLasts   = 3 * time.Second         // servedLasts is how long its answer lets the instance read the store itself.
	seekPause     = 150 * time.Millisecond
	claimDelay    = 600 * time.Millisecond // claimDelay holds instances with little of a core back, so that strong ones become hubs.
	claimSpread   = 350 * time.Millisecond // claimSpread is the random part, the same for all: a zone may have dozens of strong ones.
)

func newRole() *fsm.FSM {
	return fsm.NewFSM(roleSeeking, fsm.Events{
		{Name: eventFound, Src: []string{roleSeeking, roleFollowing}, Dst: roleFollowing},
		{Name: eventLost, Src: []string{roleSeeking, roleFollowing}, Dst: roleSeeking},
		{Name: eventChosen, Src: []string{roleSeeking, roleFollowing}, Dst: roleHub},
		{Name: eventEnded, Src: []string{roleHub}, Dst: roleSeeking},
	}, fsm.Callbacks{})
}

// readsItself reports whether the instance has to read the store itself: as a
// hub, or because no hub speaks for the store. The latter only once the store has
// answered a cheap question: in an outage each call of each instance would be
// priced and bring nothing.
func (f *Follower) readsItself() bool {
	if f.isHub.Load() {
		return true
	}
	lost := f.lostHubs() && (f.followed.Load() > 0 || f.seeksLong())
	return lost && f.since(&f.served) <= servedLasts
}

// lostHubs reports whether no hub speaks for the store any more. One that says
// so itself need not be waited for: what operators have declared meanwhile has
// to be in force soon.
func (f *Follower) lostHubs() bool {
	limit := followLasts
	if f.disowned.Load() {
		limit = disownLasts
	}
	return f.since(&f.followed) > limit
}

// seeksLong reports whether a starting instance has searched for a hub long enough.
func (f *Follower) seeksLong() bool { return time.Since(f.base) > claimDelay+claimSpread }

// role is the task that finds a hub, follows it, or is one.
type role struct {
	*Follower
	inbox   chan<- any
	machine *fsm.FSM
	lease   string
	renewed time.Time               // renewed is when the place was last renewed.
	failing bool                    // failing is set after a failed renewal or claim.
	claimAt time.Time               // claimAt is when the instance tries to become its zone's hub; zero while there is one.
	claimed hemlocktally.StorePoint // claimed is when this hub wrote its key.
	held    string                  // held names the entries that a hub passed on last and that were taken over as a whole.
	// added names those that each hub out of touch passed on since: two of them may differ,
	// and neither is to send its own again and again.
	added      map[hemlocktally.InstanceID]string
	polled     time.Time
	listed     bool // listed is set once a cheap question to the store has named hubs.
	mayPollNow bool // mayPollNow is set where a hub that is out of touch wants this instance to poll.
	// pollPause is the time from one cheap question to the store to the next.
	pollPause time.Duration
}

func (f *Follower) runRole(ctx context.Context, inbox chan<- any) {
	r := &role{Follower: f, inbox: inbox, machine: newRole(), added: map[hemlocktally.InstanceID]string{}}
	for ctx.Err() == nil && !f.leaving.Load() {
		switch r.machine.Current() {
		case roleHub:
			r.keep(ctx)
		default:
			r.seek(ctx)
		}
	}
	if r.lease != "" {
		f.isHub.Store(false)
		f.revoke(ctx, r.lease)
	}
	// A leaving instance still follows, so that it serves by what is in force.
	for ctx.Err() == nil {
		if !r.followAny(ctx) {
			sleep(ctx, seekPause)
		}
	}
}

// fire changes the role and logs it.
func (r *role) fire(ctx context.Context, event string, fields logger.Fields) {
	before := r.machine.Current()
	if err := r.machine.Event(ctx, event); err != nil && r.machine.Current() == before {
		return // The role stays as it is.
	}
	r.isHub.Store(r.machine.Current() == roleHub)
	r.wakeFeeds.signal()
	fields["From"], fields["To"] = before, r.machine.Current()
	r.Log.Log(logger.EventRole, fields)
}

// seek follows a hub that answers, and stands for the place of its zone where
// that is free.
func (r *role) seek(ctx context.Context) {
	r.stand(ctx)
	if r.machine.Current() == roleHub {
		return
	}
	if r.followAny(ctx) {
		r.fire(ctx, eventFound, logger.Fields{})
		return
	}
	r.fire(ctx, eventLost, logger.Fields{})
	if r.listed {
		r.listed = false
		return // The hubs that were just read are asked at once.
	}
	sleepUntil(ctx, spread(seekPause), r.wakeFeeds.wait())
}

// stand tries to take the place of the zone's hub, after a delay that is shorter
// for strong instances.
func (r *role) stand(ctx context.Context) {
	if r.since(&r.followed) > followLasts && r.since(&r.served) > servedLasts {
		return // Nothing says that the store answers.
	}
	hub, taken := r.Picture().Hubs[r.Self.Zone]
	mine := taken && hub.ID == r.Self.ID
	if taken && !mine {
		r.claimAt = time.Time{}
		return
	}
	if r.claimAt.IsZero() {
		delay := standDelay(r.Self.Weight, rand.Float64())
		if mine {
			delay = 0 // It is the place of this instance's earlier life.
		}
		r.claimAt = time.Now().Add(delay)
	}
	if time.Now().Before(r.claimAt) {
		return
	}
	r.claimAt = time.Time{}
	if !mine && r.takenMeanwhile(ctx) {
		return
	}
	r.become(ctx, 0)
}

// standDelay is how long an instance waits before it claims a free place. The
// random part, from 0 to 1, never lets one with a fifth of a core overtake one with
// most of a core: a zone may have two strong instances and fifty weak ones, and a
// hub on a weak link holds all its followers up.
func standDelay(weight, random float64) time.Duration {
	return time.Duration((1-min(1, weight))*float64(claimDelay) + random*float64(claimSpread))
}

// takenMeanwhile reads the list of hubs again, at a tenth of the price: that costs
// less than a claim that comes too late. Where the answer is old, the claim fails.
func (r *role) takenMeanwhile(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	all, err := r.Directory.Snapshot(ctx, r.Interpreter.HubPrefix(), true)
	if err != nil {
		r.failed(ctx, r.inbox, feed{kind: hemlocktally.EntryHub, prefix: r.Interpreter.HubPrefix()}, 0, err)
		return true
	}
	r.mark(&r.served)
	send(ctx, r.inbox, ChangesMsg{Kind: hemlocktally.EntryHub, Entries: all.Entries, Generation: all.Generation})
	return slices.ContainsFunc(all.Entries, func(e hemlocktally.DirectoryEntry) bool {
		return e.Key == r.placeKey() && !registers(e.Entry, r.Self.ID)
	})
}

// claim writes the key of the zone's hub under a new lease, over the version that is
// known, or over what an earlier life of the instance wrote. Where it was the hub until
// the store came back from a copy, it claims over whatever the copy names.
func (r *role) claim(ctx context.Context, over hemlocktally.StoreVersion, anyway bool) (lease string, claimed hemlocktally.StorePoint, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	granted, err := r.Directory.Grant(ctx, hubTTL)
	if err != nil {
		return "", claimed, err
	}
	value, err := json.Marshal(r.Self)
	if err != nil {
		return "", claimed, err
	}
	entry := hemlocktally.Entry{Key: r.placeKey(), Value: value, Lease: granted.ID, Version: over}
	version, err := r.Directory.Swap(ctx, entry)
	var conflict *hemlocktally.ConflictError
	if errors.As(err, &conflict) && (anyway || registers(conflict.Present, r.Self.ID)) {
		entry.Version = conflict.Present.Version
		version, err = r.Directory.Swap(ctx, entry)
	}
	if err != nil {
		r.revoke(ctx, granted.ID)
		return "", claimed, err
	}
	r.answered()
	return granted.ID, hemlocktally.StorePoint{Generation: r.Generation(), Version: version}, nil
}

// keep renews the hub's place once.
func (r *role) keep(ctx context.Context) {
	sleepUntil(ctx, renewInterval, nil)
	if r.leaving.Load() || ctx.Err() != nil {
		return
	}
	if r.displaced() {
		r.revoke(ctx, r.lease)
		r.end(ctx)
		return
	}
	err := r.renew(ctx)
	var conflict *hemlocktally.ConflictError
	switch {
	case err == nil:
		r.answered()
		r.renewed, r.failing = time.Now(), false
	case errors.As(err, &conflict):
		r.end(ctx)
	default:
		r.noteFailure(err)
		if time.Since(r.renewed) > hubTTL && r.othersInTouch(ctx) {
			r.end(ctx)
		}
	}
}

// renew keeps the hub's place. Where the lease has lapsed, as after an outage of
// the store, the place is taken anew at once if nobody else has it: else all
// instances would read the store at its return.
func (r *role) renew(ctx context.Context) error {
	restored := r.Generation() != r.claimed.Generation
	if r.lease != "" && !restored {
		bounded, cancel := context.WithTimeout(ctx, renewTimeout)
		defer cancel()
		err := r.Directory.Renew(bounded, r.lease)
		var absent *hemlocktally.AbsentError
		if !errors.As(err, &absent) {
			return err
		}
		r.lease = ""
	}
	// The lease of an earlier generation is gone; its number may be another's by now.
	lease, claimed, err := r.claim(ctx, 0, restored)
	r.lease = lease
	if err == nil {
		r.claimed = claimed
	}
	return err
}

// end gives the hub's place up.
func (r *role) end(ctx context.Context) {
	r.lease, r.failing = "", false
	r.fire(ctx, eventEnded, logger.Fields{})
}

// othersInTouch reports whether another hub hears the store, while this one does
// not: then its place is taken over by an instance that does. While no hub
// hears the store, all keep their places.
func (r *role) othersInTouch(ctx context.Context) bool {
	return slices.ContainsFunc(r.hubs(), func(hub Hub) bool {
		touch, _ := r.sync(ctx, hub, 0)
		return touch
	})
}

// noteFailure logs the first failure of a row.
func (r *role) noteFailure(err error) {
	if !r.failing {
		r.Log.Log(logger.EventRegistrationFailed, logger.Fields{"Instance": r.Self.ID, "Cause": err.Error()})
	}
	r.failing = true
}

// revoke ends a lease, so that the others need not wait for its end.
func (f *Follower) revoke(ctx context.Context, lease string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := f.Directory.Revoke(ctx, lease); err != nil {
		f.Log.Log(logger.EventRegistrationFailed, logger.Fields{"Instance": f.Self.ID, "Cause": err.Error()})
	}
}

// hubs lists the other hubs, the one of the own zone first.
func (f *Follower) hubs() []Hub {
	var list []Hub
	for _, hub := range f.Picture().Hubs {
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

// followAny asks the hubs in turn until one in touch with the store answers.
// While none is in touch, the answer of one that is not is better than none.
func (r *role) followAny(ctx context.Context) bool {
	heard := false
	r.mayPollNow = false
	hold := syncHold
	if r.disowned.Load() && r.since(&r.followed) <= followLasts {
		hold = disownLasts / 2 // Only until the store itself is asked; an outage may last.
	}
	for _, hub := range r.hubs() {
		touch, ok := r.sync(ctx, hub, hold)
		heard = heard || ok
		if touch {
			r.pollPause = 0
			r.served.Store(0)
			r.disowned.Store(false)
			return true
		}
		if ok {
			hold = 0 // It is out of touch; whether another one is not is to be known at once.
		}
	}
	r.disowned.Store(heard)
	switch {
	case !r.lostHubs():
	case !heard, r.mayPollNow && r.since(&r.served) > servedLasts/2:
		r.pollCheaply(ctx)
	}
	return heard
}

// pollCheaply reads the list of hubs by a call of a tenth of the price, less often
// the longer it is in vain. It finds hubs at a start, and whether the store
// answers this instance while it answers no hub.
func (r *role) pollCheaply(ctx context.Context) {
	if time.Since(r.polled) < r.pollPause {
		sleep(ctx, spread(seekPause)/2)
		return
	}
	r.polled, r.pollPause = time.Now(), spread(min(longestPoll, max(seekPause, 2*r.pollPause)))
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	all, err := r.Directory.Snapshot(ctx, r.Interpreter.HubPrefix(), true)
	if err != nil {
		if !r.storeOut.Swap(true) {
			r.Log.Log(logger.EventStoreDown, logger.Fields{"Store": r.Interpreter.HubPrefix(), "Cause": err.Error()})
		}
		return
	}
	r.mark(&r.served)
	r.wakeFeeds.signal()
	published := r.published.wait()
	send(ctx, r.inbox, ChangesMsg{Kind: hemlocktally.EntryHub, Entries: all.Entries, Generation: all.Generation})
	sleepUntil(ctx, seekPause, published)
	r.listed = len(all.Entries) > 0
}
