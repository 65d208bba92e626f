// Package follower keeps an instance's picture of the fleet: the operators'
// configuration, the targets and the other instances, as the platform's store
// tells them. It registers the instance itself by one leased key.
package follower

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"hemlocktally"
	"hemlocktally/logger"
)

// Bounds of the calls to the store. Each call is priced, so a watch that
// returns is followed by a pause in which changes gather.
const (
	// operatorWait is how long a watch of operators' decisions waits: one that
	// waits while the store drops its history may miss changes without a word.
	operatorWait = 2200 * time.Millisecond
	memberWait   = 10 * time.Second       // memberWait is how long a watch of the members waits.
	operatorPace = 250 * time.Millisecond // operatorPace is the least time between two such watches.
	targetPace   = 700 * time.Millisecond // targetPace is the time between two looks at the targets while they are needed.
	restingPace  = 8 * time.Second        // restingPace is that time while they are only kept for an emergency.
	targetWait   = time.Second            // targetWait is how long a look at the targets waits for a change.
	callTimeout  = 800 * time.Millisecond // callTimeout bounds a call that does not wait.
	firstBackoff = 100 * time.Millisecond
	longestBoff  = time.Second
	tickInterval = 200 * time.Millisecond
	inboxLength  = 16
	needLasts    = 3 * time.Second // needLasts is how long a need for targets lasts without being renewed.
	needInterval = 25 * time.Millisecond
)

// Follower follows the directory. Its fields are set before Run.
type Follower struct {
	Self        hemlocktally.InstanceID
	Member      Member
	Directory   hemlocktally.Directory
	Interpreter hemlocktally.Interpreter
	Log         logger.Logger
	// Changed is told of each new picture, from one goroutine; it may be nil.
	Changed func(*Picture)

	picture  atomic.Pointer[Picture]
	needed   atomic.Int64 // needed is until when targets are needed, in nanoseconds since base.
	base     time.Time
	leaving  atomic.Bool
	storeOut atomic.Bool
	// unregistered is used by the task that keeps the registration alone.
	unregistered bool
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

// View returns the members of the fleet, this instance included unless it
// leaves. It implements hemlocktally.Viewer.
func (f *Follower) View() hemlocktally.View {
	return f.Picture().view(f.Self, f.Member, f.leaving.Load())
}

// Leave takes the instance out of its own view; Run then ends its lease.
func (f *Follower) Leave() { f.leaving.Store(true) }

// NeedTargets says that the targets are needed up to date for the next seconds.
func (f *Follower) NeedTargets() {
	f.needed.Store(int64(time.Since(f.base) + needLasts))
}

func (f *Follower) targetsNeeded() bool { return int64(time.Since(f.base)) < f.needed.Load() }

// Prepare readies the follower; it is called before anything else.
func (f *Follower) Prepare() { f.base = time.Now() }

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	inbox := make(chan any, inboxLength)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	for _, task := range []func(context.Context, chan<- any){f.followOperators, f.followMembers, f.followTargets, f.keepRegistered} {
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
		changed, notes := state.Update(msg, time.Now())
		f.note(notes)
		if changed {
			p := state.Picture()
			f.picture.Store(p)
			if f.Changed != nil {
				f.Changed(p)
			}
		}
	}
}

// feed is one prefix that is followed.
type feed struct {
	kind   hemlocktally.EntryKind
	prefix string
	wait   time.Duration
	pace   time.Duration
}

func (f *Follower) followOperators(ctx context.Context, inbox chan<- any) {
	f.follow(ctx, inbox, feed{hemlocktally.EntryDeclaration, f.Interpreter.OperatorPrefix(), operatorWait, operatorPace})
}

func (f *Follower) followMembers(ctx context.Context, inbox chan<- any) {
	f.follow(ctx, inbox, feed{hemlocktally.EntryMember, f.Interpreter.MemberPrefix(), memberWait, operatorPace})
}

// follow reads everything once and then what changes.
func (f *Follower) follow(ctx context.Context, inbox chan<- any, fd feed) {
	known := uint64(0)
	backoff := firstBackoff
	for ctx.Err() == nil {
		msg, revision, err := f.look(ctx, fd, known)
		if err != nil {
			known = f.failed(ctx, inbox, fd, known, err)
			sleep(ctx, backoff)
			backoff = min(2*backoff, longestBoff)
			continue
		}
		f.answered()
		backoff = firstBackoff
		known = revision
		send(ctx, inbox, msg)
		sleep(ctx, fd.pace)
	}
}

// look makes one call: everything where nothing is known, else what changed.
func (f *Follower) look(ctx context.Context, fd feed, known uint64) (any, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+fd.wait)
	defer cancel()
	if known == 0 {
		all, err := f.Directory.Snapshot(ctx, fd.prefix, false)
		return SnapshotMsg{Kind: fd.kind, Entries: all.Entries}, all.Revision, err
	}
	changes, err := f.Directory.Follow(ctx, fd.prefix, known, fd.wait)
	return ChangesMsg{Kind: fd.kind, Entries: changes.Entries}, newest(known, changes.Entries), err
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
	if errors.As(err, &lost) {
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
	if f.storeOut.Swap(false) {
		f.Log.Log(logger.EventStoreBack, logger.Fields{"Store": "directory"})
	}
}

// followTargets looks at the targets often while this instance places work, and
// rarely otherwise.
func (f *Follower) followTargets(ctx context.Context, inbox chan<- any) {
	fd := feed{hemlocktally.EntryTarget, f.Interpreter.TargetPrefix(), targetWait, targetPace}
	known, backoff := uint64(0), firstBackoff
	var lookedAt time.Time
	for ctx.Err() == nil {
		needed := f.targetsNeeded()
		if !needed && !lookedAt.IsZero() && time.Since(lookedAt) < restingPace {
			sleep(ctx, needInterval)
			continue
		}
		var msg any
		var err error
		if needed {
			msg, known, err = f.look(ctx, fd, known)
		} else {
			known = 0
			msg, err = f.lookStale(ctx, fd)
		}
		lookedAt = time.Now()
		if err != nil {
			known = f.failed(ctx, inbox, fd, known, err)
			sleep(ctx, backoff)
			backoff = min(2*backoff, longestBoff)
			continue
		}
		f.answered()
		backoff = firstBackoff
		send(ctx, inbox, msg)
		if needed {
			sleep(ctx, fd.pace)
		}
	}
}

func (f *Follower) lookStale(ctx context.Context, fd feed) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	all, err := f.Directory.Snapshot(ctx, fd.prefix, true)
	return SnapshotMsg{Kind: fd.kind, Entries: all.Entries}, err
}

func send(ctx context.Context, inbox chan<- any, msg any) {
	select {
	case inbox <- msg:
	case <-ctx.Done():
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// note logs what the state noted.
func (f *Follower) note(notes []any) {
	for _, n := range notes {
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
		case MemberChange:
			f.Log.Log(logger.EventMemberListed, logger.Fields{"Member": n.Member, "Joined": n.Joined})
		}
	}
}
