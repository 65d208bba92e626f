package follower

import (
	"context"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
	"hemlocktally/messenger"
)

// Bounds of the lists of targets that hubs pass on.
const (
	relayPace    = 500 * time.Millisecond  // relayPace is the time between two questions of an instance that needs targets.
	relayFresh   = 1200 * time.Millisecond // relayFresh is how old a list may be that a hub passes on without reading it again.
	relayWait    = 250 * time.Millisecond  // relayWait is how long a hub waits for a newer list.
	relayTimeout = relayWait + 150*time.Millisecond
	relayOld     = 1400 * time.Millisecond // relayOld is how old a list may be that ends the search for a newer one.
	relayMisses  = 2                       // relayMisses is how many rounds without a new list let the instance read the store itself.
)

// followTargets polls the targets often while this instance places work. A hub
// reads the store; it polls rarely while nobody places work. Others ask the hubs:
// when owners fall silent, all instances need the list at the same moment.
func (f *Follower) followTargets(ctx context.Context, inbox chan<- any) {
	t := &targetFeed{Follower: f, inbox: inbox}
	for ctx.Err() == nil {
		hub, needed := f.isHub.Load(), f.targetsNeeded()
		reads := hub || f.readsItself() || f.Off.Has(hemlocktally.MechanismRelayedLists)
		rested := t.polled.IsZero() || time.Since(t.polled) >= restingPace
		switch {
		case !needed && (!hub || !rested):
			t.known, t.missed = 0, 0
			sleepUntil(ctx, gateInterval, f.wakeFeeds.wait())
		case !reads && t.missed < relayMisses && t.ask(ctx):
			sleep(ctx, spread(t.untilNext()))
		case !reads && t.missed < relayMisses && len(f.hubs()) > 0:
			sleep(ctx, spread(firstBackoff))
		default:
			t.poll(ctx, needed)
		}
	}
}

// untilNext is how long a list that was passed on will do. One that is stale is asked
// for again soon, and less often the longer that is in vain.
func (t *targetFeed) untilNext() time.Duration {
	if at, readable := t.TargetsKnown(); readable && time.Since(at) > relayOld {
		t.eager = min(relayPace, max(firstBackoff, 2*t.eager))
		return t.eager
	}
	t.eager = 0
	return relayPace
}

// targetFeed is the task that follows the targets.
type targetFeed struct {
	*Follower
	inbox      chan<- any
	generation hemlocktally.StoreGeneration // generation is the one that known counts in.
	known      uint64                       // known is the store's revision up to which its changes are known.
	pause      time.Duration                // pause grows with failures in a row.
	polled     time.Time
	eager      time.Duration // eager is the pause before a stale list is asked for again.
	missed     int           // missed counts rounds in a row in which no hub passed a list on.
}

// poll reads the store.
func (t *targetFeed) poll(ctx context.Context, needed bool) {
	fd := feed{hemlocktally.EntryTarget, t.Interpreter.TargetPrefix(), targetWait, targetPace}
	if generation := t.Generation(); generation != t.generation {
		t.known, t.generation = 0, generation // Revisions of another generation tell nothing.
	}
	if t.known > 0 {
		t.mark(&t.watching)
	}
	msg, revision, err := t.Follower.poll(ctx, fd, t.known)
	t.watching.Store(0)
	t.polled = time.Now()
	if err != nil {
		t.unreadable.Store(true)
		t.known = t.failed(ctx, t.inbox, fd, t.known, err)
		t.pause = min(max(firstBackoff, 2*t.pause), longestBoff)
		sleep(ctx, spread(t.pause))
		return
	}
	t.answered()
	t.unreadable.Store(false)
	t.pause, t.missed, t.known = 0, 0, revision
	send(ctx, t.inbox, msg)
	switch {
	case needed && t.isHub.Load():
		sleep(ctx, fd.pace)
	case needed:
		sleep(ctx, alonePace)
	}
}

// ask asks the hubs in turn until one has a new list. Where none has, the newest
// old one is better than none. It reports whether a list was passed on.
func (t *targetFeed) ask(ctx context.Context) bool {
	var best *messenger.TargetsResponse
	asked, silent, held := time.Now(), false, t.Picture().ListName
	for _, hub := range t.hubs() {
		out, err := t.askHub(ctx, hub, held)
		if err != nil {
			silent = true
			if ctx.Err() == nil {
				t.Log.Log(logger.EventHubSilent, logger.Fields{"Hub": hub.ID, "Cause": err.Error()})
			}
			continue
		}
		if out.GetUnable() || t.noteRelayed(out.GetGeneration()) != nil {
			continue
		}
		if best == nil || out.GetAgeMicroseconds() < best.GetAgeMicroseconds() {
			best = out
		}
		if !out.GetUnreadable() && microseconds(out.GetAgeMicroseconds()) <= relayOld {
			break
		}
	}
	if best == nil {
		t.missed++
		if !silent {
			t.missed = relayMisses // All hubs are giving their places up: nobody else will have a list.
		}
		return false
	}
	t.missed, t.known = 0, 0
	t.unreadable.Store(best.GetUnreadable())
	send(ctx, t.inbox, TargetListMsg{
		At: asked.Add(-microseconds(best.GetAgeMicroseconds())), Name: best.GetVersion(), Unchanged: best.GetVersion() == held, Targets: registrationsOf(best.GetTargets()),
		Generation: hemlocktally.StoreGeneration(best.GetGeneration()),
	})
	return true
}

func (t *targetFeed) askHub(ctx context.Context, hub Hub, held string) (*messenger.TargetsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return t.hubClients.of(hub.PeerAddress, t.Follower).Targets(ctx, &messenger.TargetsRequest{Instance: string(t.Self.ID), Version: held})
}

// Targets passes the list of targets on. It implements messenger.Relay.
func (f *Follower) Targets(ctx context.Context, in *messenger.TargetsRequest) (*messenger.TargetsResponse, error) {
	f.awaitPlace(ctx)
	if !f.isHub.Load() || f.leaving.Load() {
		return &messenger.TargetsResponse{Unable: true}, nil
	}
	f.NeedTargets()
	p := f.awaitTargets(ctx)
	if p.TargetsAt.IsZero() {
		return &messenger.TargetsResponse{Unable: true}, nil
	}
	at, readable := f.TargetsKnown()
	name, list := f.relayedTargets.of(p)
	out := &messenger.TargetsResponse{
		Version: name, AgeMicroseconds: time.Since(at).Microseconds(), Unreadable: !readable, Generation: uint64(f.Generation()),
	}
	if name != in.GetVersion() {
		out.Targets = list
	}
	return out, nil
}

// awaitTargets waits a moment for a list that is new, where one can be read.
func (f *Follower) awaitTargets(ctx context.Context) *Picture {
	end := time.Now().Add(relayWait)
	for {
		published := f.published.wait()
		at, readable := f.TargetsKnown()
		left := time.Until(end)
		if time.Since(at) <= relayFresh || !readable || left <= 0 || ctx.Err() != nil {
			return f.Picture()
		}
		sleepUntil(ctx, left, published)
	}
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
