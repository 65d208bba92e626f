package configurator

import (
	"context"
	"slices"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
)

// restoreDelay is how long the store must return an older head before it is
// considered to have lost writes; until then, a lagging replica may be the reason.
const restoreDelay = 5 * time.Second

// staleTimer measures how long the store has returned an older head than the one
// in force, to decide when to restore it.
type staleTimer struct {
	since time.Time
}

// due records whether the last head was older, and reports whether older heads
// have been read for at least restoreDelay.
func (r *staleTimer) due(older bool, now time.Time) bool {
	switch {
	case !older:
		r.since = time.Time{}
	case r.since.IsZero():
		r.since = now
	}
	return older && now.Sub(r.since) >= restoreDelay
}

// restore replaces an older head in the store by one of the configuration in
// force. The swap expects the version that was read, so it fails if a lagging
// replica returned the old head. A nonempty head that is not in the retained history
// of this instance is not replaced.
func (c *Configurator) restore(ctx context.Context, old versionedHead) {
	c.mu.Lock()
	current := c.state.Accepted()
	recent := slices.Clone(c.state.recent)
	c.mu.Unlock()
	known := old.Revision == 0 || slices.ContainsFunc(recent, func(a hemlocktally.AcceptedChange) bool {
		return a.Revision == old.Revision && a.Hash == old.Hash
	})
	if !known || old.Revision >= current.Revision {
		return
	}
	saved, err := c.archive().save(ctx, current)
	if err != nil {
		return
	}
	next := head{Revision: current.Revision, Hash: current.Hash, Log: recent}
	for _, a := range recent {
		next.Names = append(next.Names, changeName{
			ID: a.Change.ID, Author: a.Change.Author, Revision: a.Revision, AcceptedAt: a.AcceptedAt, Hash: a.Hash,
		})
	}
	next = next.withSnapshot(saved)
	value, err := next.encode()
	if err == nil {
		_, err = c.Store.CompareAndSwap(ctx, hemlocktally.Entry{Key: headKey, Value: value, Version: old.version})
	}
	if err != nil {
		if !isUnknown(err) {
			c.archive().deleteKeys(ctx, saved.Keys)
		}
		return
	}
	c.Log.Log(logger.EventConfigurationRestored, logger.Fields{"Revision": current.Revision, "StoreRevision": old.Revision})
}
