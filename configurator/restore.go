package configurator

import (
	"context"
	"slices"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
)

// restoreDelay is how long the store must go on showing an older head before it
// is taken for one that lost writes, and not for a lagging replica.
const restoreDelay = 5 * time.Second

// restorer gives a store that lost writes the configuration back that the
// instances have in force.
type restorer struct {
	since time.Time
}

// due reports whether an older head has been seen for long enough.
func (r *restorer) due(older bool, now time.Time) bool {
	switch {
	case !older:
		r.since = time.Time{}
	case r.since.IsZero():
		r.since = now
	}
	return older && now.Sub(r.since) >= restoreDelay
}

// restore writes the configuration in force over an older head. The swap names
// the version that was read, so that a lagging replica's answer does no harm. A
// head of another lineage is left alone.
func (c *Configurator) restore(ctx context.Context, old versionedHead) {
	c.mu.Lock()
	present := c.state.Accepted()
	recent := slices.Clone(c.state.recent)
	c.mu.Unlock()
	known := old.Revision == 0 || slices.ContainsFunc(recent, func(a hemlocktally.Accepted) bool {
		return a.Revision == old.Revision && a.Hash == old.Hash
	})
	if !known || old.Revision >= present.Revision {
		return
	}
	saved, err := c.archive().save(ctx, present)
	if err != nil {
		return
	}
	next := head{Revision: present.Revision, Hash: present.Hash, Log: recent}
	for _, a := range recent {
		next.Names = append(next.Names, changeName{
			ID: a.Change.ID, Author: a.Change.Author, Revision: a.Revision, AcceptedAt: a.AcceptedAt, Hash: a.Hash,
		})
	}
	next = next.withSnapshot(saved)
	value, err := next.encode()
	if err == nil {
		_, err = c.Store.Swap(ctx, hemlocktally.Entry{Key: headKey, Value: value, Version: old.version})
	}
	if err != nil {
		if !isUnknown(err) {
			c.archive().remove(ctx, saved.Keys)
		}
		return
	}
	c.Log.Log(logger.EventConfigurationRestored, logger.Fields{"Revision": present.Revision, "StoreRevision": old.Revision})
}
