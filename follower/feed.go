package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
)

// Bounds of the calls to the store. Each call is priced, so a watch that
// returns is followed by a pause in which changes gather.
const (
	// operatorWait is how long a watch of operators' decisions waits: one that
	// waits while the store drops its history may miss changes without a word.
	operatorWait = 2200 * time.Millisecond
	hubWait      = 10 * time.Second       // hubWait is how long a watch of the hubs waits.
	rarePace     = 250 * time.Millisecond // rarePace is the least time between two watches of rare changes.
	targetPace   = 700 * time.Millisecond // targetPace is the time between two polls of the targets while they are needed.
	// targetWait is how long a poll of the targets waits for a change. While it
	// waits, the list is as new as the start of the poll.
	targetWait    = 700 * time.Millisecond
	targetOverdue = targetWait + 250*time.Millisecond // targetOverdue is when a poll that has no answer shows that the list can't be read.
	alonePace     = time.Second                       // alonePace is that time for an instance that is no hub and decides alone.
	restingPace   = 8 * time.Second                   // restingPace is how often a hub reads the targets that nobody needs.
	callTimeout   = 800 * time.Millisecond            // callTimeout bounds a call that does not wait.
	firstBackoff  = 100 * time.Millisecond
	longestBoff   = 1100 * time.Millisecond // longestBoff is the longest pause after failures, its random part left aside.
	spreadBoff    = 0.3                     // spreadBoff is the part of a pause that is random.
)

// feed is one prefix that is followed.
type feed struct {
	kind   hemlocktally.EntryKind
	prefix string
	wait   time.Duration
	pace   time.Duration
}

func (f *Follower) followOperators(ctx context.Context, inbox chan<- any) {
	f.follow(ctx, inbox, feed{hemlocktally.EntryDeclaration, f.Interpreter.OperatorPrefix(), operatorWait, rarePace})
}

func (f *Follower) followHubs(ctx context.Context, inbox chan<- any) {
	f.follow(ctx, inbox, feed{hemlocktally.EntryHub, f.Interpreter.HubPrefix(), hubWait, rarePace})
}

// gate waits until the instance has to read the store itself. It reports whether
// it had to wait.
func (f *Follower) gate(ctx context.Context) (waited bool) {
	for !f.readsItself() && ctx.Err() == nil {
		waited = true
		sleepUntil(ctx, gateInterval, f.wakeFeeds.wait())
	}
	return waited
}

// follow reads everything once and then what changes, while the instance has to
// read the store itself.
func (f *Follower) follow(ctx context.Context, inbox chan<- any, fd feed) {
	known, pause, generation := uint64(0), firstBackoff, f.Generation()
	for ctx.Err() == nil {
		if f.gate(ctx) || f.Generation() != generation {
			known, generation = 0, f.Generation() // Revisions of another generation tell nothing.
		}
		if ctx.Err() != nil {
			return
		}
		msg, revision, err := f.poll(ctx, fd, known)
		if err != nil {
			f.noteBehind(fd, true)
			f.failed(ctx, inbox, fd, known, err)
			known = 0 // Reading everything shows at once what was missed; a watch may wait first.
			sleep(ctx, spread(pause))
			pause = min(2*pause, longestBoff)
			continue
		}
		f.answered()
		pause, known = firstBackoff, revision
		send(ctx, inbox, msg)
		f.noteBehind(fd, false)
		sleep(ctx, fd.pace)
	}
}

// noteBehind keeps a hub from speaking for the store by its renewed lease alone.
func (f *Follower) noteBehind(fd feed, behind bool) {
	if fd.kind == hemlocktally.EntryDeclaration {
		f.behind.Store(behind)
	}
}

func spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - spreadBoff + 2*spreadBoff*rand.Float64()))
}

// poll makes one call: everything where nothing is known, else what changed.
func (f *Follower) poll(ctx context.Context, fd feed, known uint64) (any, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+fd.wait)
	defer cancel()
	if known == 0 {
		all, err := f.Directory.Snapshot(ctx, fd.prefix, false)
		return SnapshotMsg{Kind: fd.kind, Entries: all.Entries, Generation: all.Generation}, all.Revision, err
	}
	ctx, end := f.generations.during(ctx)
	defer end()
	changes, err := f.Directory.Follow(ctx, fd.prefix, known, fd.wait)
	if err != nil && errors.Is(context.Cause(ctx), errRestored) {
		err = errRestored
	}
	return ChangesMsg{Kind: fd.kind, Entries: changes.Entries, Generation: changes.Generation}, newest(known, changes.Entries), err
}

// newest is the revision of the last change seen. An answer without changes
// proves nothing: the next watch asks for the same ones again.
func newest(known uint64, entries []hemlocktally.DirectoryEntry) uint64 {
	for _, entry := range entries {
		known = max(known, uint64(entry.Version))
	}
	return known
}

// failed notes a failure and returns from which revision to go on.
func (f *Follower) failed(ctx context.Context, inbox chan<- any, fd feed, known uint64, err error) uint64 {
	var lost *hemlocktally.HistoryError
	if errors.As(err, &lost) || errors.Is(err, errRestored) {
		return 0
	}
	if ctx.Err() != nil {
		return known
	}
	if !f.storeOut.Swap(true) {
		f.Log.Log(logger.EventStoreDown, logger.Fields{"Store": fd.prefix, "Cause": err.Error()})
	}
	send(ctx, inbox, FailedMsg{Kind: fd.kind})
	return known
}

func (f *Follower) answered() {
	f.mark(&f.heard)
	if f.storeOut.Swap(false) {
		f.Log.Log(logger.EventStoreBack, logger.Fields{"Store": "directory"})
	}
}
