package follower

import (
	"context"
	"slices"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
	"hemlocktally/messenger"
)

// Limits of the target lists that hubs send.
const (
	listRequestInterval = 500 * time.Millisecond  // listRequestInterval is the time between two requests of an instance that needs targets.
	freshListAge        = 1200 * time.Millisecond // freshListAge is the age up to which a hub sends a list without waiting for a newer one.
	freshListWait       = 250 * time.Millisecond  // freshListWait is how long a hub waits for a newer list.
	listRequestTimeout  = freshListWait + 150*time.Millisecond
	acceptableListAge   = 1400 * time.Millisecond // acceptableListAge is the age up to which a list ends the search for a newer one.
	maxListMisses       = 2                       // maxListMisses is after how many rounds without a list the instance reads the store itself.
)

// followTargets polls the targets often while this instance places work. A hub reads the
// store, and polls rarely while nobody places work. Other instances ask the hubs: when
// owners stop answering, all instances need the list at the same moment.
func (f *Follower) followTargets(ctx context.Context, inbox chan<- any) {
	t := &targetFeed{Follower: f, inbox: inbox}
	for ctx.Err() == nil {
		hub, needed := f.isHub.Load(), f.targetsNeeded()
		readsDirectly := t.noteReading(ctx, hub || f.readsStoreDirectly() || f.Disabled.Has(hemlocktally.MechanismRelayedLists))
		idleElapsed := t.polledAt.IsZero() || time.Since(t.polledAt) >= idlePollInterval
		switch {
		case !needed && (!hub || !idleElapsed):
			t.knownRevision, t.misses = 0, 0
			sleepUntil(ctx, directReadCheckInterval, f.wakeFeeds.wait())
		case !readsDirectly && t.misses < maxListMisses && t.requestList(ctx):
			sleep(ctx, jitter(t.nextRequestPause()))
		case !readsDirectly && t.misses < maxListMisses && len(f.hubs()) > 0:
			sleep(ctx, jitter(minBackoff))
		default:
			t.poll(ctx, needed)
		}
	}
}

// noteReading notes whether the targets are read from the store, and tells the state when that
// ends.
func (t *targetFeed) noteReading(ctx context.Context, reading bool) bool {
	if t.reading && !reading {
		send(ctx, t.inbox, FeedStoppedMsg{Kind: hemlocktally.EntryTarget})
	}
	t.reading = reading
	return reading
}

// nextRequestPause is the pause before the next request to the hubs. A stale list is
// requested again soon, with growing pauses while that fails; a recent one, at the latest
// when it becomes too old.
func (t *targetFeed) nextRequestPause() time.Duration {
	at, _ := t.TargetsFreshness()
	age := time.Since(at)
	if age > acceptableListAge {
		t.staleListPause = min(listRequestInterval, max(minBackoff, 2*t.staleListPause))
		return t.staleListPause
	}
	t.staleListPause = 0
	return min(listRequestInterval, max(minBackoff, hemlocktally.MaxTargetListAge-age))
}

// targetFeed is the task that follows the targets.
type targetFeed struct {
	*Follower
	inbox          chan<- any
	generation     hemlocktally.StoreGeneration // generation is the one that knownRevision belongs to.
	knownRevision  uint64                       // knownRevision is the store's revision up to which changes are known.
	failurePause   time.Duration                // failurePause grows with consecutive failures.
	polledAt       time.Time
	staleListPause time.Duration // staleListPause is the pause before a stale list is requested again.
	reading        bool          // reading is set while the targets are read from the store.
	misses         int           // misses counts consecutive rounds in which no hub sent a list.
}

// poll reads the targets from the store.
func (t *targetFeed) poll(ctx context.Context, needed bool) {
	fd := feed{hemlocktally.EntryTarget, t.Interpreter.TargetPrefix(), targetWatchTimeout, targetPollPause}
	if generation := t.Generation(); generation != t.generation {
		t.knownRevision, t.generation = 0, generation // Revisions of different generations are not comparable.
	}
	if t.knownRevision > 0 {
		t.mark(&t.targetWatchStartedAt)
	}
	began := time.Now()
	msg, revision, err := t.Follower.poll(ctx, fd, t.knownRevision)
	t.targetWatchStartedAt.Store(0)
	t.polledAt = time.Now()
	if err != nil {
		t.targetsUnreadable.Store(true)
		t.knownRevision = t.noteReadFailure(ctx, t.inbox, fd, t.knownRevision, err)
		t.failurePause = min(max(minBackoff, 2*t.failurePause), maxBackoff)
		t.misses = 0 // The hubs may have a list by now.
		sleep(ctx, jitter(t.failurePause))
		return
	}
	if t.knownRevision == 0 && t.outage.unsettled(time.Now()) {
		// Nobody needed the targets during the outage, so that only other calls have failed.
		send(ctx, t.inbox, ReadFailedMsg{Kind: hemlocktally.EntryTarget})
	}
	t.noteStoreAnswer(began)
	t.targetsUnreadable.Store(false)
	t.failurePause, t.misses, t.knownRevision = 0, 0, revision
	send(ctx, t.inbox, t.holdRemovals(msg))
	switch {
	case needed && t.isHub.Load():
		sleep(ctx, fd.pause)
	case needed:
		sleep(ctx, standalonePollPause)
	}
}

// requestList asks the hubs in turn until one sends a recent list. If none does, it uses
// the most recent of the older lists. It reports whether a list was received.
func (t *targetFeed) requestList(ctx context.Context) bool {
	asked, currentDigest := time.Now(), t.FleetState().TargetsDigest
	answers := t.requestLists(ctx, currentDigest)
	best := answers.best
	if best == nil {
		t.misses++
		if !answers.silent {
			t.misses = maxListMisses // All hubs answered and none has a list, as when they are leaving; another round would not help.
		}
		return false
	}
	t.misses, t.knownRevision = 0, 0
	if answers.superseded && best.GetUnreadable() {
		t.noteSuperseded()
		if t.failurePause == 0 {
			return false // The store has not failed to answer this instance yet.
		}
	}
	if t.isHub.Load() && best.GetUnreadable() {
		return false // A list that another hub can't read is no better than this hub's own.
	}
	t.noteReadability(best)
	send(ctx, t.inbox, TargetListMsg{
		At: asked.Add(-messenger.Duration(best.GetAgeMicroseconds())), Name: best.GetVersion(), Unchanged: best.GetVersion() == currentDigest, Targets: registrationsOf(best.GetTargets()),
		Generation: hemlocktally.StoreGeneration(best.GetGeneration()),
	})
	return true
}

// listAnswers is what the hubs answered to one round of requests.
type listAnswers struct {
	best       *messenger.TargetsResponse // best is the most recent list; nil if there is none.
	silent     bool                       // silent is set if a hub did not answer.
	superseded bool                       // superseded is set if the store answers some instances, but not a hub that was asked.
}

// requestLists asks the hubs in turn until one sends a recent list.
func (t *targetFeed) requestLists(ctx context.Context, currentDigest string) (answers listAnswers) {
	for _, hub := range t.hubs() {
		out, err := t.requestListFrom(ctx, hub, currentDigest)
		if err != nil {
			answers.silent = true
			if ctx.Err() == nil {
				t.Log.Log(logger.EventHubUnresponsive, logger.Fields{"Hub": hub.ID, "Cause": err.Error()})
			}
			continue
		}
		if out.GetUnable() || t.noteHubGeneration(out.GetGeneration()) != nil {
			continue
		}
		answers.superseded = answers.superseded || out.GetSuperseded()
		if answers.best == nil || out.GetAgeMicroseconds() < answers.best.GetAgeMicroseconds() {
			answers.best = out
		}
		if !out.GetUnreadable() && messenger.Duration(out.GetAgeMicroseconds()) <= acceptableListAge {
			break
		}
	}
	return answers
}

// noteReadability records whether the list can be read, by the answer of a hub. Another hub
// goes by a recent list only: an idle hub has not found out yet that the store does not answer.
func (t *targetFeed) noteReadability(best *messenger.TargetsResponse) {
	recent := messenger.Duration(best.GetAgeMicroseconds()) <= acceptableListAge
	if recent && !best.GetUnreadable() {
		t.failurePause = 0
	}
	if recent || !t.isHub.Load() {
		t.targetsUnreadable.Store(best.GetUnreadable())
	}
}

// noteSuperseded records that the store answers some instances while no hub can read it. A
// hub keeps this for its own followers; any other instance reads the store itself.
func (t *targetFeed) noteSuperseded() {
	t.outage.noteOthersServed(time.Now())
	if t.isHub.Load() {
		t.mark(&t.followerServedAt)
		return
	}
	t.misses = maxListMisses
}

func (t *targetFeed) requestListFrom(ctx context.Context, hub Hub, currentDigest string) (*messenger.TargetsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, listRequestTimeout)
	defer cancel()
	return t.hubClients.of(hub.PeerAddress, t.Follower).Targets(ctx, &messenger.TargetsRequest{Instance: string(t.Self.ID), Version: currentDigest})
}

// Targets sends the target list to another instance. It implements messenger.Relay.
func (f *Follower) Targets(ctx context.Context, in *messenger.TargetsRequest) (*messenger.TargetsResponse, error) {
	f.awaitHubRole(ctx)
	if !f.isHub.Load() || f.leaving.Load() {
		return &messenger.TargetsResponse{Unable: true}, nil
	}
	// Two hubs that the store does not answer must not keep each other polling.
	if !f.storeCallsFail() || !f.knowsHub(hemlocktally.InstanceID(in.GetInstance())) {
		f.NeedTargets()
	}
	p := f.awaitFreshList(ctx)
	if p.TargetsReadAt.IsZero() {
		return &messenger.TargetsResponse{Unable: true}, nil
	}
	at, readable := f.TargetsFreshness()
	digest, list := f.relayedTargets.of(p)
	out := &messenger.TargetsResponse{
		Version: digest, AgeMicroseconds: time.Since(at).Microseconds(), Unreadable: !readable, Generation: uint64(f.Generation()),
		Superseded: f.Superseded(),
	}
	if digest != in.GetVersion() {
		out.Targets = list
	}
	return out, nil
}

// knowsHub reports whether the instance is another hub.
func (f *Follower) knowsHub(id hemlocktally.InstanceID) bool {
	return slices.ContainsFunc(f.hubs(), func(hub Hub) bool { return hub.ID == id })
}

// awaitFreshList waits up to freshListWait for a recent list, if the store can be read.
func (f *Follower) awaitFreshList(ctx context.Context) *FleetState {
	end := time.Now().Add(freshListWait)
	for {
		published := f.published.wait()
		at, readable := f.TargetsFreshness()
		left := time.Until(end)
		if time.Since(at) <= freshListAge || !readable || left <= 0 || ctx.Err() != nil {
			return f.FleetState()
		}
		sleepUntil(ctx, left, published)
	}
}
