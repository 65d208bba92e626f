package follower

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
)

// staleGenerationWindow is how long answers of a lower generation are dropped after the
// store last reported the current one. A store that reports only lower generations for
// this long has been set up anew, and its generation is adopted.
const staleGenerationWindow = 10 * time.Second

// errRestored cancels waiting calls when the store was restored from a backup.
var errRestored = errors.New("the store was restored from a backup")

// StaleGenerationError says that an answer of the store or of a hub belongs to an
// earlier generation than the known one.
type StaleGenerationError struct {
	Generation, Known hemlocktally.StoreGeneration
}

// Error names both generations.
func (e *StaleGenerationError) Error() string {
	return fmt.Sprintf("answer of store generation %d is stale, the current generation is %d", e.Generation, e.Known)
}

// generations tracks the store's generation. Its zero value knows none.
type generations struct {
	mu           sync.Mutex
	known        hemlocktally.StoreGeneration
	lowerSince   time.Time // lowerSince is when the store began to report only lower generations; zero if it does not.
	knewPrevious bool      // knewPrevious is set if this instance has seen the generation before the current one.
	staleDropped bool      // staleDropped is set once a stale answer was dropped since the last change.
	resetPending bool      // resetPending is set when a lower generation was adopted, until takeReset returns it.
	resetAt      time.Time // resetAt is when a lower generation was last adopted.
	calls        map[int]context.CancelCauseFunc
	next         int
}

// current returns the known generation; zero if none is known.
func (g *generations) current() hemlocktally.StoreGeneration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.known
}

// lowerPersists records a lower generation and reports whether only lower ones were
// reported for staleGenerationWindow.
func (g *generations) lowerPersists(now time.Time) bool {
	if g.lowerSince.IsZero() {
		g.lowerSince = now
	}
	return now.Sub(g.lowerSince) >= staleGenerationWindow
}

// takeReset returns a lower generation that was adopted. It reports each one once.
func (g *generations) takeReset() (to hemlocktally.StoreGeneration, adopted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	adopted, g.resetPending = g.resetPending, false
	return g.known, adopted
}

// knewBeforeRestore reports whether this instance has seen the store's content from
// before its last restore.
func (g *generations) knewBeforeRestore() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.knewPrevious
}

// generationChange is the result of observing a generation.
type generationChange struct {
	previous   hemlocktally.StoreGeneration
	changed    bool // changed is set if a known generation was replaced.
	stale      bool // stale is set if the answer belongs to an earlier generation.
	firstStale bool // firstStale is set for the first stale answer since the last change.
}

// observe records the generation that the store or a hub reports. Zero means that none
// was reported and is ignored.
func (g *generations) observe(reported hemlocktally.StoreGeneration, now time.Time, fromStore bool) generationChange {
	g.mu.Lock()
	defer g.mu.Unlock()
	change := generationChange{previous: g.known}
	switch {
	case reported == 0:
		return change
	case reported == g.known:
		if fromStore { // A hub's report may be older than what the hub itself has heard.
			g.lowerSince = time.Time{}
		}
		return change
	case reported < g.known && !g.lowerPersists(now), !fromStore && reported > g.known && now.Sub(g.resetAt) < staleGenerationWindow:
		change.stale, change.firstStale = true, !g.staleDropped
		g.staleDropped = true
		return change
	}
	change.changed = g.known != 0
	g.knewPrevious = change.changed
	if reported < g.known {
		g.resetPending, g.resetAt = true, now
	}
	g.known, g.lowerSince, g.staleDropped = reported, time.Time{}, false
	if change.changed {
		for _, cancel := range g.calls {
			cancel(errRestored)
		}
		clear(g.calls)
	}
	return change
}

// untilRestore returns a context that is cancelled when the store's generation changes.
func (g *generations) untilRestore(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.calls == nil {
		g.calls = map[int]context.CancelCauseFunc{}
	}
	id := g.next
	g.next++
	g.calls[id] = cancel
	return ctx, func() {
		g.mu.Lock()
		delete(g.calls, id)
		g.mu.Unlock()
		cancel(nil)
	}
}

// ObserveGeneration records the generation that any answer of the store reports, failed
// answers included. It returns a *StaleGenerationError for an earlier generation.
func (f *Follower) ObserveGeneration(reported hemlocktally.StoreGeneration) error {
	return f.noteGeneration(reported, true)
}

// noteHubGeneration records the generation that a hub reports.
func (f *Follower) noteHubGeneration(reported uint64) error {
	return f.noteGeneration(hemlocktally.StoreGeneration(reported), false)
}

func (f *Follower) noteGeneration(reported hemlocktally.StoreGeneration, fromStore bool) error {
	change := f.generations.observe(reported, time.Now(), fromStore)
	switch {
	case change.changed:
		f.Log.Log(logger.EventStoreRestored, logger.Fields{"Generation": reported, "Before": change.previous})
		f.wakeFeeds.signal()
	case change.stale:
		if change.firstStale {
			f.Log.Log(logger.EventStaleResponse, logger.Fields{"Generation": reported, "Known": change.previous})
		}
		return &StaleGenerationError{Generation: reported, Known: change.previous}
	}
	return nil
}

// Generation returns the store's generation; zero if it is unknown.
func (f *Follower) Generation() hemlocktally.StoreGeneration { return f.generations.current() }
