package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
)

// Limits of the calls to the store. Each call is billed, so a watch that returns is
// followed by a pause in which changes accumulate.
const (
	// operatorWatchTimeout bounds a watch of operators' changes: a watch that waits while the
	// store drops its history may miss changes without an error.
	operatorWatchTimeout = 2200 * time.Millisecond
	hubWatchTimeout      = 10 * time.Second       // hubWatchTimeout bounds a watch of the hubs.
	watchPause           = 250 * time.Millisecond // watchPause is the pause between two watches of operators' changes or hubs.
	targetPollPause      = 700 * time.Millisecond // targetPollPause is the pause between two polls of the targets while they are needed.
	// targetWatchTimeout bounds a watch of the targets. While the watch waits, the list is as
	// recent as the start of the watch.
	targetWatchTimeout  = 700 * time.Millisecond
	targetWatchOverdue  = targetWatchTimeout + 250*time.Millisecond // targetWatchOverdue is after how long an unanswered watch shows that the list can't be read.
	standalonePollPause = time.Second                               // standalonePollPause is the pause between polls of an instance that is no hub and decides alone.
	idlePollInterval    = 8 * time.Second                           // idlePollInterval is how often a hub reads targets that nobody needs.
	callTimeout         = 800 * time.Millisecond                    // callTimeout bounds a call that does not wait for changes.
	minBackoff          = 100 * time.Millisecond
	maxBackoff          = 1100 * time.Millisecond // maxBackoff is the longest pause after failures, before jitter.
	backoffJitter       = 0.3                     // backoffJitter is the random part of a pause, as a fraction in both directions.
)

// feed describes a prefix of the store that is followed.
type feed struct {
	kind   hemlocktally.EntryKind
	prefix string
	wait   time.Duration
	pause  time.Duration
}

func (f *Follower) followOperators(ctx context.Context, inbox chan<- any) {
	f.follow(ctx, inbox, feed{hemlocktally.EntryConfiguration, f.Interpreter.OperatorPrefix(), operatorWatchTimeout, watchPause})
}

func (f *Follower) followHubs(ctx context.Context, inbox chan<- any) {
	f.follow(ctx, inbox, feed{hemlocktally.EntryHub, f.Interpreter.HubPrefix(), hubWatchTimeout, watchPause})
}

// awaitDirectRead waits until the instance has to read the store itself. It reports
// whether it had to wait; the feed has stopped then.
func (f *Follower) awaitDirectRead(ctx context.Context, inbox chan<- any, fd feed) (waited bool) {
	for !f.readsStoreDirectly() && ctx.Err() == nil {
		if !waited {
			send(ctx, inbox, FeedStoppedMsg{Kind: fd.kind})
		}
		waited = true
		sleepUntil(ctx, directReadCheckInterval, f.wakeFeeds.wait())
	}
	return waited
}

// follow reads all entries once and then their changes, while the instance has to read the
// store itself.
func (f *Follower) follow(ctx context.Context, inbox chan<- any, fd feed) {
	known, backoff, generation := uint64(0), minBackoff, f.Generation()
	for ctx.Err() == nil {
		if f.awaitDirectRead(ctx, inbox, fd) || f.Generation() != generation {
			known, generation = 0, f.Generation() // Revisions of different generations are not comparable.
		}
		if ctx.Err() != nil {
			return
		}
		began := time.Now()
		msg, revision, err := f.poll(ctx, fd, known)
		if err != nil {
			send(ctx, inbox, FeedStoppedMsg{Kind: fd.kind})
			f.noteReadFailure(ctx, inbox, fd, known, err)
			known = 0 // A full read returns what was missed at once; a watch may wait first.
			sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		f.noteStoreAnswer(began)
		backoff, known = minBackoff, revision
		send(ctx, inbox, f.holdRemovals(msg))
		sleep(ctx, fd.pause)
	}
}

func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - backoffJitter + 2*backoffJitter*rand.Float64()))
}

// poll makes one call: a full read if no revision is known, otherwise a watch for changes.
func (f *Follower) poll(ctx context.Context, fd feed, known uint64) (any, uint64, error) {
	if known == 0 {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		all, err := f.Directory.Snapshot(ctx, fd.prefix, false)
		return SnapshotMsg{Kind: fd.kind, Entries: f.takeHeldRequests(all.Entries), Revision: all.Revision, Generation: all.Generation}, all.Revision, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+fd.wait)
	defer cancel()
	ctx, end := f.generations.untilRestore(ctx)
	defer end()
	changes, err := f.Directory.Watch(ctx, fd.prefix, known, fd.wait)
	if err != nil && errors.Is(context.Cause(ctx), errRestored) {
		err = errRestored
	}
	revision := newestRevision(known, changes.Entries)
	return ChangesMsg{Kind: fd.kind, Entries: f.takeHeldRequests(changes.Entries), Revision: revision, Generation: changes.Generation}, revision, err
}

// newestRevision is the revision of the last change seen. An answer without changes does
// not advance it: the next watch starts from the same revision.
func newestRevision(known uint64, entries []hemlocktally.DirectoryEntry) uint64 {
	for _, entry := range entries {
		known = max(known, uint64(entry.Version))
	}
	return known
}

// noteReadFailure records a failure and returns the revision to continue from.
func (f *Follower) noteReadFailure(ctx context.Context, inbox chan<- any, fd feed, known uint64, err error) uint64 {
	var lost *hemlocktally.CompactedError
	if errors.As(err, &lost) || errors.Is(err, errRestored) {
		return 0
	}
	if ctx.Err() != nil {
		return known
	}
	f.outage.noteFailure(time.Now())
	if !f.storeDown.Swap(true) {
		f.Log.Log(logger.EventStoreUnavailable, logger.Fields{"Store": fd.prefix, "Cause": err.Error()})
	}
	send(ctx, inbox, ReadFailedMsg{Kind: fd.kind})
	return known
}

// holdRemovals adds to what was read until when missing entries may reappear.
func (f *Follower) holdRemovals(msg any) any {
	until := f.outage.holdRemovalsUntil(f.Heartbeat)
	switch msg := msg.(type) {
	case SnapshotMsg:
		msg.HoldRemovalsUntil = until
		return msg
	case ChangesMsg:
		msg.HoldRemovalsUntil = until
		return msg
	}
	return msg
}

// noteStoreAnswer records that the store answered a call that began at the given time.
func (f *Follower) noteStoreAnswer(began time.Time) {
	f.outage.noteAnswer(began, time.Now())
	f.mark(&f.storeAnsweredAt)
	if f.storeDown.Swap(false) {
		f.Log.Log(logger.EventStoreAvailable, logger.Fields{"Store": "directory"})
	}
}
