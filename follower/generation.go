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

// fallLasts is how long answers of an earlier generation are dropped after one of the
// present generation was heard. A store that names nothing but a lower generation for
// so long has been set up again, and what it says holds.
const fallLasts = 10 * time.Second

// errRestored ends the calls that wait while the store comes back from a copy.
var errRestored = errors.New("the store came back from a copy")

// StaleAnswerError says that an answer of the store, or of a hub, belongs to a
// generation before the one that is known.
type StaleAnswerError struct {
	Generation, Known hemlocktally.StoreGeneration
}

// Error names both generations.
func (e *StaleAnswerError) Error() string {
	return fmt.Sprintf("an answer of generation %d of the store, which is in generation %d", e.Generation, e.Known)
}

// generations follows the store's generation. Its zero value knows none.
type generations struct {
	mu      sync.Mutex
	known   hemlocktally.StoreGeneration
	lower   time.Time // lower is since when nothing but lower ones are named; zero while none is.
	seen    bool      // seen is set where this instance itself knew the generation before.
	dropped bool      // dropped is set once a stale answer has been dropped since the last rise.
	fell    bool      // fell is set once a lower one has been taken for the store's, until that is taken up.
	fellAt  time.Time // fellAt is when that was.
	calls   map[int]context.CancelCauseFunc
	next    int
}

// current returns the generation that is known; zero where none is.
func (g *generations) current() hemlocktally.StoreGeneration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.known
}

// lowerLong notes a lower one and reports whether nothing else has been named for long.
func (g *generations) lowerLong(now time.Time) bool {
	if g.lower.IsZero() {
		g.lower = now
	}
	return now.Sub(g.lower) >= fallLasts
}

// takeFall returns the generation that the store has fallen to, once.
func (g *generations) takeFall() (to hemlocktally.StoreGeneration, fell bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fell, g.fell = g.fell, false
	return g.known, fell
}

// sawReturn reports whether this instance knew what the store said before it came back
// from its last copy.
func (g *generations) sawReturn() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.seen
}

// generationNews is what an answer's generation tells.
type generationNews struct {
	before hemlocktally.StoreGeneration
	rose   bool // rose is set where the answer is of a generation that was not known.
	stale  bool // stale is set where the answer is of an earlier one.
	first  bool // first is set for the first stale one since the last rise.
}

// note takes in the generation that an answer of the store or of a hub names. One that
// names none tells nothing.
func (g *generations) note(named hemlocktally.StoreGeneration, now time.Time, byStore bool) generationNews {
	g.mu.Lock()
	defer g.mu.Unlock()
	news := generationNews{before: g.known}
	switch {
	case named == 0:
		return news
	case named == g.known:
		if byStore { // What a hub says is no newer than what the hub has heard.
			g.lower = time.Time{}
		}
		return news
	case named < g.known && !g.lowerLong(now), !byStore && named > g.known && now.Sub(g.fellAt) < fallLasts:
		news.stale, news.first = true, !g.dropped
		g.dropped = true
		return news
	}
	news.rose = g.known != 0
	g.seen = news.rose
	if named < g.known {
		g.fell, g.fellAt = true, now
	}
	g.known, g.lower, g.dropped = named, time.Time{}, false
	if news.rose {
		for _, cancel := range g.calls {
			cancel(errRestored)
		}
		clear(g.calls)
	}
	return news
}

// during returns a context that ends when the store comes back from a copy.
func (g *generations) during(ctx context.Context) (context.Context, context.CancelFunc) {
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

// NoteGeneration takes in the generation that any answer of the store names, also a
// failed one. It returns a *StaleAnswerError where the answer is of an earlier one.
func (f *Follower) NoteGeneration(named hemlocktally.StoreGeneration) error {
	return f.noteGeneration(named, true)
}

// noteRelayed takes in the generation that a hub names.
func (f *Follower) noteRelayed(named uint64) error {
	return f.noteGeneration(hemlocktally.StoreGeneration(named), false)
}

func (f *Follower) noteGeneration(named hemlocktally.StoreGeneration, byStore bool) error {
	news := f.generations.note(named, time.Now(), byStore)
	switch {
	case news.rose:
		f.Log.Log(logger.EventStoreRestored, logger.Fields{"Generation": named, "Before": news.before})
		f.wakeFeeds.signal()
	case news.stale:
		if news.first {
			f.Log.Log(logger.EventStaleAnswer, logger.Fields{"Generation": named, "Known": news.before})
		}
		return &StaleAnswerError{Generation: named, Known: news.before}
	}
	return nil
}

// Generation returns the store's generation as far as it is known.
func (f *Follower) Generation() hemlocktally.StoreGeneration { return f.generations.current() }
